"""A node is stopped while a request beside it goes on to make a call."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness_2 as harness  # noqa: E402

RECORD = pathlib.Path(__file__).resolve().with_name("record.txt")
PLANS, BOOKING = "plans", "booking"
BUDGET_MS = 6_000
REQUESTS = 10
BEFORE_STOP_S = 0.2
CALL_AFTER_S = 3.5
CALL_WORK_S = 2.1
LATER_THAN_S = 3.0
GRACE_S = 6.0


async def main(played: harness.Deployment) -> str:
    """Play the case; return how the rule was broken."""
    played.configure(
        harness.route("r-order", "/o/", PLANS, "non_idempotent", timeout_ms=BUDGET_MS),
        harness.route("r-book", "/b/", BOOKING, "non_idempotent", timeout_ms=BUDGET_MS),
    )
    stop = asyncio.Event()
    stopped_at = 0.0
    broken: list[str] = []

    async def order(
        upstream: harness.Upstream,
        request: harness.Message,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Work for a while, and then make a call through the node beside."""
        await stop.wait()
        await asyncio.sleep(stopped_at + CALL_AFTER_S - played.record.now())
        number = request.headers["request-id"]
        sent_at = played.record.now()
        # The call expires with the time budget of the request that it is made for.
        status = await stopping.ask(
            f"{number}.1",
            method="POST",
            path="/b/x",
            deadline_ms=BUDGET_MS - int(1000 * (sent_at - asked_at)),
            body=b"one",
        )
        ended_at = played.record.now()
        is_late = sent_at - stopped_at > LATER_THAN_S
        if harness.TROUBLE and is_late and status not in (200, 503):
            broken.append(f"{number}.1: {status} after {ended_at - stopped_at:.2f} s")
        headers = harness.signed(upstream, request)
        writer.write(harness.answer(200 if status == 200 else 500, headers))

    machines = [await played.add(service) for service in (PLANS, BOOKING)]
    stopping, entry = machines
    await played.add_upstream(stopping, work=order, slots=2 * REQUESTS)
    work = harness.works(CALL_WORK_S)
    called = await played.add_upstream(entry, work=work, slots=2 * REQUESTS)
    await played.wait_ready()
    asked_at = played.record.now()
    asked = [
        entry.ask(
            f"q{number}",
            method="POST",
            path="/o/x",
            deadline_ms=BUDGET_MS,
            body=b"one",
        )
        for number in range(REQUESTS)
    ]
    asking = asyncio.gather(*asked)
    await asyncio.sleep(BEFORE_STOP_S)
    stopped_at = played.record.now()
    if harness.TROUBLE:
        stopping.signal_node(signal.SIGTERM)
    stop.set()
    statuses = await asking
    if not harness.TROUBLE:
        return "" if set(statuses) == {200} else f"without trouble: {statuses}"
    await asyncio.sleep(max(0.0, stopped_at + GRACE_S - played.record.now()))
    ran = {request.headers["request-id"] for _, request in called.runs}
    cut = [text for text in broken if text.partition(":")[0] in ran]
    if not cut:
        return ""
    return f"{len(cut)} of {len(ran)} calls broken off while at work: {cut[0]}"


if __name__ == "__main__":
    harness.play(RECORD, main)
