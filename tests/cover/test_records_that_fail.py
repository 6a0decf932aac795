"""Records of the log that are valid and whose application raises an error."""

import asyncio
import typing

import pytest

from gingerturn.internal.core import messages, quarantine_gossip, reducer, streams
from gingerturn.internal.shell import supervision
from tests.common import scripted_logs

pytestmark = pytest.mark.unhandled_errors


def _quarantine(request: int) -> bytes:
    record = messages.QuarantineRecord(request=request, ends=1, at=1.0)
    return messages.encode_record(record)


# Guards against one record that keeps those behind it from being applied, and its
# stream from ending its reads, at every node.
def test_a_record_that_fails_is_skipped_and_those_behind_it_are_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        log = scripted_logs.Log()
        original = log._contents
        extra = [_quarantine(5), _quarantine(6)]

        def contents(stream: str) -> list[bytes]:
            return original(stream) + (extra if stream == streams.MEMBERS else [])

        monkeypatch.setattr(log, "_contents", contents)
        applied: list[int] = []
        apply = quarantine_gossip.on_record

        def on_record(state: typing.Any, record: typing.Any, out: typing.Any) -> None:
            if record.request == 5:
                raise KeyError("value")
            applied.append(record.request)
            apply(state, record, out)

        monkeypatch.setattr(quarantine_gossip, "on_record", on_record)
        before = supervision.errors_by_part().get("events", 0)
        running = scripted_logs.RunningNode(monkeypatch, log)
        running.begin()
        await running.advance(10_000.0)
        assert running.is_ready
        reads = log.calls["newest", streams.MEMBERS]
        assert applied == [6] * reads
        assert running.state.skipped_entries[streams.MEMBERS].total == reads
        assert supervision.errors_by_part().get("events", 0) == before
        await running.close()

    asyncio.run(run())


# Guards against a route table that is skipped for good after a passing error.
def test_a_route_table_that_fails_once_is_read_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        calls = 0
        original = reducer._apply_routes

        def apply_routes(*arguments: typing.Any, **options: typing.Any) -> None:
            nonlocal calls
            calls += 1
            if calls == 1:
                raise MemoryError
            original(*arguments, **options)

        monkeypatch.setattr(reducer, "_apply_routes", apply_routes)
        running = scripted_logs.RunningNode(monkeypatch)
        running.begin()
        await running.advance(20_000.0)
        assert running.is_ready
        assert running.state.routes is not None
        assert running.state.routes.version == running.log.version
        await running.close()

    asyncio.run(run())
