"""Streamed answers whose backend server stops sending."""

import asyncio
import collections.abc

import pytest

from gingerturn.internal.core import events
from gingerturn.internal.shell import clock, exchanges
from gingerturn.internal.wire import frames
from tests.common import home_nodes

SIZE = 400_000
FIRST = b"x" * 270_000
WITH_LENGTH = b"Content-Length: %d\r\n\r\n" % SIZE + FIRST
IN_CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % SIZE + FIRST
UNTIL_CLOSE = b"\r\n" + FIRST
INTERVAL_S = 0.004


@pytest.fixture(autouse=True)
def _short_interval(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(exchanges, "PROGRESS_INTERVAL_S", INTERVAL_S, raising=False)


async def _streamed(form: bytes, *, deadline_ms: float) -> home_nodes.HomeNode:
    """Return a home node with an answer of which the first part has arrived."""
    home = home_nodes.HomeNode()
    await home.open(b"r1", repeatable=True, method=b"GET", deadline_ms=deadline_ms)
    (connection,) = home.connections
    connection.data_received(b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" + form)
    return home


async def _wait_until(condition: collections.abc.Callable[[], bool]) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(INTERVAL_S)


def _is_broken(home: home_nodes.HomeNode) -> bool:
    return any(isinstance(frame, frames.Broken) for frame in home.channel.sent)


# Guards against an answer that hangs behind its first part, for which no deadline held.
@pytest.mark.parametrize(
    "form", [WITH_LENGTH, IN_CHUNKS, UNTIL_CLOSE], ids=["length", "chunks", "close"]
)
def test_an_answer_that_stops_is_broken_off_at_its_deadline(form: bytes) -> None:
    async def play() -> None:
        began = clock.now()
        home = await _streamed(form, deadline_ms=50.0)
        home.credit(1, SIZE)
        assert home.node.state.backend.running == 1
        await _wait_until(lambda: _is_broken(home))
        assert clock.now() - began >= 50.0
        assert home.node.state.backend.running == 0
        assert home_nodes.transport_of(home.connections[0]).closed
        assert home.node.home.stalled_answers == 1

    asyncio.run(play())


def test_an_answer_that_stops_goes_on_until_its_deadline() -> None:
    async def play() -> None:
        home = await _streamed(WITH_LENGTH, deadline_ms=60_000.0)
        home.credit(1, SIZE)
        await asyncio.sleep(20 * INTERVAL_S)
        assert not _is_broken(home)
        assert home.node.state.backend.running == 1

    asyncio.run(play())


def test_an_answer_that_makes_progress_goes_on_past_its_deadline() -> None:
    async def play() -> None:
        home = await _streamed(WITH_LENGTH, deadline_ms=1.0)
        home.credit(1, SIZE)
        (connection,) = home.connections
        for _ in range(30):
            connection.data_received(b"x")
            await asyncio.sleep(INTERVAL_S / 2)
        assert not _is_broken(home)
        connection.data_received(b"x" * (SIZE - len(FIRST) - 30))
        assert home.node.state.backend.running == 0
        last = home.channel.sent[-1]
        assert isinstance(last, frames.Chunk)
        assert last.last

    asyncio.run(play())


def test_an_answer_that_waits_for_its_caller_goes_on_past_its_deadline() -> None:
    async def play() -> None:
        home = await _streamed(WITH_LENGTH, deadline_ms=1.0)
        await asyncio.sleep(20 * INTERVAL_S)
        assert not _is_broken(home)
        home.credit(1, SIZE)
        await _wait_until(lambda: _is_broken(home))

    asyncio.run(play())


def test_no_check_remains_of_an_answer_that_has_ended() -> None:
    async def play() -> None:
        home = await _streamed(WITH_LENGTH, deadline_ms=1.0)
        home.credit(1, SIZE)
        home.node.apply(
            events.CancelReceived(
                now=clock.now(), hosted=next(iter(home.node.state.hosted))
            )
        )
        before = list(home.channel.sent)
        await asyncio.sleep(10 * INTERVAL_S)
        assert home.channel.sent == before
        assert home.node.home.stalled_answers == 0

    asyncio.run(play())
