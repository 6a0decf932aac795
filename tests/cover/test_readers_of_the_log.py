"""Readers of the log after errors that nothing expected."""

import asyncio
import collections.abc

import pytest

from gingerturn.internal.core import streams
from tests.common import scripted_logs

ERRORS = [
    RecursionError("maximum recursion depth exceeded"),
    KeyError("value"),
    MemoryError(),
    OverflowError("int too large"),
]
pytestmark = pytest.mark.unhandled_errors

FIRST_CALLS = [("put", "members"), ("newest", "members"), ("newest", "routes")]

Check = collections.abc.Callable[
    [scripted_logs.RunningNode], collections.abc.Awaitable[None]
]


def _run(monkeypatch: pytest.MonkeyPatch, check: Check, log: scripted_logs.Log) -> None:
    async def run() -> None:
        running = scripted_logs.RunningNode(monkeypatch, log)
        running.begin()
        try:
            await check(running)
        finally:
            await running.close()

    asyncio.run(run())


# Guards against a read whose task ended by an error counting as pending for ever.
@pytest.mark.parametrize("error", ERRORS, ids=lambda error: type(error).__name__)
@pytest.mark.parametrize("call", FIRST_CALLS, ids=".".join)
def test_a_call_that_fails_once_by_any_error_is_repeated(
    monkeypatch: pytest.MonkeyPatch, error: Exception, call: tuple[str, str]
) -> None:
    log = scripted_logs.Log()
    log.failures[call] = [error]

    async def check(running: scripted_logs.RunningNode) -> None:
        await running.advance(3_000.0)
        assert log.calls[call] >= 2
        assert running.is_ready

    _run(monkeypatch, check, log)


# Guards against a reader that ends with its first error, after the node was ready.
@pytest.mark.parametrize("error", ERRORS, ids=lambda error: type(error).__name__)
def test_a_version_behind_an_error_of_a_read_is_put_in_force(
    monkeypatch: pytest.MonkeyPatch, error: Exception
) -> None:
    log = scripted_logs.Log()

    async def check(running: scripted_logs.RunningNode) -> None:
        await running.advance(3_000.0)
        log.failures["read", "routes"] = [error]
        for _ in range(2):
            log.publish()
            await running.advance(3_000.0)
        assert not log.failures["read", "routes"]
        assert running.state.routes is not None
        assert running.state.routes.version == log.version

    _run(monkeypatch, check, log)


# Guards against errors of one stream that keep others from being read, and against
# reads without a pause.
def test_a_stream_that_fails_for_ever_is_read_at_growing_intervals(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    log = scripted_logs.Log()
    call = ("newest", "members")
    log.failures[call] = [RecursionError()]
    log.lasting.add(call)

    async def check(running: scripted_logs.RunningNode) -> None:
        await running.advance(20_000.0)
        assert running.state.routes is not None
        assert not running.is_ready
        assert 10 <= log.calls[call] <= 20_000.0 / (streams.KEYED_RETRY_MAX_MS / 2)
        log.failures.clear()
        await running.advance(2 * streams.KEYED_RETRY_MAX_MS)
        assert running.is_ready

    _run(monkeypatch, check, log)


# Guards against a read that is pending for ever as the log service never returns.
@pytest.mark.parametrize("call", FIRST_CALLS, ids=".".join)
def test_a_call_that_never_returns_is_repeated(
    monkeypatch: pytest.MonkeyPatch, call: tuple[str, str]
) -> None:
    log = scripted_logs.Log()
    log.silent.add(call)

    async def check(running: scripted_logs.RunningNode) -> None:
        await running.advance(5_000.0)
        log.silent.clear()
        await running.advance(streams.MAX_PENDING_MS + 10_000.0)
        assert log.calls[call] >= 2
        assert running.is_ready

    _run(monkeypatch, check, log)
