"""A node that has confirmed the leaving of its upstream forgets it in a restart."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness_2 as harness  # noqa: E402

RECORD = pathlib.Path(__file__).resolve().with_name("record.txt")
PLANS, BOOKING = "plans", "booking"
INTERVAL_S = 0.1
WORK_S = 0.2
DOWN_S = 1.0
LATE_S = 3.0
SERVES_S = 9.0
CONTACT_S = 3.0
UP_S = 0.5


async def main(played: harness.Deployment) -> str:
    """Play the case; return how the rule was broken."""
    played.configure(
        harness.route("r-order", "/o/", PLANS, "non_idempotent"),
        harness.route("r-book", "/b/", BOOKING, "non_idempotent"),
    )
    machines = [await played.add(service) for service in (PLANS, PLANS, BOOKING)]
    home, entry = machines[0], machines[2]
    made = [
        await played.add_upstream(machine, work=harness.works(WORK_S))
        for machine in machines
    ]
    leaving = made[0]
    await played.wait_ready()
    asked: list[asyncio.Task[int]] = []

    async def ask() -> None:
        """Send requests at the machine that is never touched."""
        number = 0
        while True:
            number += 1
            request = entry.ask(f"q{number}", method="POST", path="/o/x", body=b"one")
            asked.append(asyncio.create_task(request))
            await asyncio.sleep(INTERVAL_S)

    asking = asyncio.create_task(ask())
    await asyncio.sleep(2.0)
    # Sent before the upstream leaves, and late where there is trouble.
    report = leaving.beat()
    leaving.stop_beats()
    if not harness.TROUBLE:
        await leaving.report(report)
    leaving.state = "draining"
    if await leaving.report(b"", "deregister") != 200:
        raise harness.NotPlayed("the leaving was not confirmed")
    left_at = played.record.write(f"leaving of {leaving.instance} is confirmed")
    started_at = left_at
    if harness.TROUBLE:
        home.signal_node(signal.SIGKILL)
        await home.wait_node()
        await asyncio.sleep(DOWN_S)
        started_at = played.record.now()
        await home.start_node()
        await asyncio.sleep(left_at + LATE_S - played.record.now())
        status = await leaving.report(report)
        played.record.write(f"late report of {leaving.instance} is answered {status}")
    await asyncio.sleep(left_at + SERVES_S - played.record.now())
    leaving.end()
    await asyncio.sleep(1.0)
    asking.cancel()
    await asyncio.gather(*asked)
    # All machines are in touch from here on.
    counts_from = max(
        left_at + harness.DRAIN_MS / 1000.0, started_at + UP_S + CONTACT_S
    )
    late = [at - left_at for at, _ in leaving.runs if at > counts_from]
    if not late:
        return ""
    return f"{len(late)} requests reached it {min(late):.1f} to {max(late):.1f} s later"


if __name__ == "__main__":
    harness.play(RECORD, main)
