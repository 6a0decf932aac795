"""An upstream falls silent, and its address goes to an upstream of another service."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness_2 as harness  # noqa: E402

RECORD = pathlib.Path(__file__).resolve().with_name("record.txt")
PLANS, BOOKING = "plans", "booking"
REUSE_AFTER_S = 2.0
INTERVAL_S = 0.02
WORK_S = 0.1
PLANS_SLOTS, BOOKING_SLOTS = 2, 8
LASTS_S = 4.0


async def main(played: harness.Deployment) -> str:
    """Play the case; return how the rule was broken."""
    played.configure(
        harness.route("r-lookup", "/a/", PLANS, "safe"),
        harness.route("r-order", "/o/", PLANS, "non_idempotent"),
        harness.route("r-book", "/b/", BOOKING, "non_idempotent"),
    )
    silent = asyncio.Event()

    async def work(upstream: harness.Upstream, *request: object) -> None:
        if silent.is_set() and upstream is first:
            await asyncio.Event().wait()
        await harness.works(WORK_S)(upstream, *request)

    services = [PLANS, PLANS, PLANS, BOOKING]
    machines = [await played.add(service) for service in services]
    made = []
    for machine, service in zip(machines, services, strict=True):
        slots = PLANS_SLOTS if service == PLANS else BOOKING_SLOTS
        made.append(await played.add_upstream(machine, work=work, slots=slots))
    first = made[0]
    await played.wait_ready()
    asked: list[asyncio.Task[int]] = []

    async def ask() -> None:
        """Send requests for the first service at machines in turn."""
        number = 0
        while True:
            number += 1
            kind = ("GET", "/a/x") if number % 2 else ("POST", "/o/x")
            machine = machines[number % len(machines)]
            asked.append(
                asyncio.create_task(
                    machine.ask(f"q{number}", method=kind[0], path=kind[1])
                )
            )
            await asyncio.sleep(INTERVAL_S)

    asking = asyncio.create_task(ask())
    await asyncio.sleep(2.0)
    if harness.TROUBLE:
        silent.set()
        first.stop_beats()
        played.record.write(f"upstream {first.instance} falls silent")
        await asyncio.sleep(REUSE_AFTER_S + 0.5)
        first.stop_listening()
        await played.add_upstream(
            machines[0], work=work, slots=BOOKING_SLOTS, service=BOOKING
        )
    await asyncio.sleep(LASTS_S)
    asking.cancel()
    await asyncio.gather(*asked)
    wrong = [
        request.headers["request-id"]
        for upstream in played.upstreams
        if upstream.service == BOOKING
        for _, request in upstream.runs
        if not request.first.split(" ")[1].startswith("/b/")
    ]
    return f"{BOOKING} has run requests for {PLANS}: {wrong}" if wrong else ""


if __name__ == "__main__":
    harness.play(RECORD, main)
