"""The reserve of file descriptors, with errors in place of a full table."""

import asyncio
import collections.abc
import errno
import os
import types
import typing

import pytest

from gingerturn import dialect
from gingerturn.internal.core import effects, events
from gingerturn.internal.shell import (
    caller_limits,
    clock,
    descriptors,
    home,
    node as nodes,
    peers,
)
from tests.common import builders, transports

NO_DESCRIPTOR = OSError(errno.EMFILE, "Too many open files")


def _reserve(*, callers: int = 0) -> descriptors.Reserve:
    reserve = descriptors.Reserve(lambda: callers, lambda: 0)
    reserve.hold()
    return reserve


def _failing(times: int) -> collections.abc.Callable[[], typing.Any]:
    """Return a function that opens a connection after some failures."""
    left = [times]

    async def connect() -> str:
        left[0] -= 1
        if left[0] >= 0:
            raise NO_DESCRIPTOR
        return "connection"

    return connect


async def _wait_until(condition: collections.abc.Callable[[], bool]) -> None:
    async with asyncio.timeout(30.0):
        while not condition():
            await asyncio.sleep(0.01)


def test_a_connection_is_opened_from_the_reserve_which_is_then_held_again() -> None:
    async def run() -> None:
        reserve = _reserve()
        resumed: list[bool] = []
        assert await descriptors.use(reserve, _failing(1)) == "connection"
        assert reserve.short
        assert not reserve.is_held
        reserve.begin_shortage(lambda: resumed.append(True))
        await _wait_until(lambda: not reserve.short)
        assert reserve.is_held
        assert resumed == [True]
        assert reserve.shortages == 1
        reserve.close()

    asyncio.run(run())


@pytest.mark.parametrize("held", [True, False])
def test_a_connection_that_cannot_be_opened_fails(held: bool) -> None:
    async def run() -> None:
        reserve = _reserve() if held else None
        with pytest.raises(OSError, match="Too many"):
            await descriptors.use(reserve, _failing(2))
        if reserve is not None:
            reserve.close()

    asyncio.run(run())


def test_other_errors_begin_no_shortage() -> None:
    async def refuse() -> None:
        raise ConnectionRefusedError

    async def run() -> None:
        reserve = _reserve()
        with pytest.raises(ConnectionRefusedError):
            await descriptors.use(reserve, refuse)
        assert not reserve.short
        reserve.close()

    asyncio.run(run())


class _Caller:
    def __init__(
        self,
        *,
        idle_ms: float,
        unread: bool = False,
        idle: bool = True,
        closing: bool = False,
    ) -> None:
        self.idle = idle
        self.closing = closing
        self.idle_since = clock.now() - idle_ms
        self.has_unread_input = unread
        self.closed = False

    def close(self, cause: str) -> None:
        self.closed = True


def test_only_idle_connections_without_input_make_room() -> None:
    # Guards against the close of a connection whose next request has arrived.
    idle = _Caller(idle_ms=5_000.0)
    others = [
        _Caller(idle_ms=5_000.0, unread=True),
        _Caller(idle_ms=5_000.0, idle=False),
        _Caller(idle_ms=9_000.0, closing=True),
        _Caller(idle_ms=0.0),
    ]
    node = types.SimpleNamespace(caller_connections={idle, *others})
    assert caller_limits.close_idlest(typing.cast(typing.Any, node)) == 1
    assert idle.closed
    assert not any(other.closed for other in others)


def test_a_check_without_a_descriptor_is_no_evidence_of_a_crash() -> None:
    # Guards against a shortage of this node that counts as a crash of its backend
    # server.
    applied: list[events.Event] = []
    node = types.SimpleNamespace(dialect=dialect.DEFAULT, apply=applied.append)

    async def connect(timeout_s: float) -> typing.NoReturn:
        raise NO_DESCRIPTOR

    async def run() -> None:
        side = home.HomeSide(typing.cast(typing.Any, node))
        side.pool = typing.cast(
            typing.Any,
            types.SimpleNamespace(set_address=lambda *_: None, connect=connect),
        )
        await side._check(effects.CheckBackend(host="127.0.0.1", port=1))

    asyncio.run(run())
    (checked,) = applied
    assert isinstance(checked, events.BackendChecked)
    assert not checked.refused


# Guards against a shortage that ends and begins again all the time, in which nothing is
# closed to make room for the callers that wait.
def test_the_reserve_is_held_again_once_a_caller_can_be_accepted_too(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    left = [descriptors.RESERVE - 1]
    duplicate = os.dup

    def dup(descriptor: int) -> int:
        if not left[0]:
            raise NO_DESCRIPTOR
        left[0] -= 1
        return duplicate(descriptor)

    async def run() -> None:
        rooms: list[int] = []
        resumed: list[bool] = []
        reserve = descriptors.Reserve(lambda: 100, lambda: rooms.append(1) or 1)
        monkeypatch.setattr(descriptors.os, "dup", dup)
        reserve.hold()
        assert reserve.is_held
        left[0] = descriptors.RESERVE - 1
        reserve.begin_shortage(lambda: resumed.append(True))

        def has_made_room() -> bool:
            # What was released may be taken again.
            left[0] = descriptors.RESERVE - 1
            return len(rooms) >= 3

        await _wait_until(has_made_room)
        assert not resumed
        assert reserve.shortages == 1
        monkeypatch.setattr(descriptors.os, "dup", duplicate)
        await _wait_until(lambda: bool(resumed))
        assert reserve.is_held
        reserve.close()

    asyncio.run(run())


# Guards against descriptors that are held by connections which are never authenticated.
def test_handshakes_that_take_long_make_room(monkeypatch: pytest.MonkeyPatch) -> None:
    now = 1_000.0
    monkeypatch.setattr(clock, "now", lambda: now)

    async def run() -> None:
        nonlocal now
        node = nodes.Node(builders.settings())
        transport = transports.Transport()
        accepted = peers.Accepted(node)
        accepted.connection_made(transport)  # type: ignore[arg-type]
        now += peers.SHORT_HANDSHAKE_MS - 1.0
        node.free_descriptors()
        assert not transport.closed
        now += 2.0
        node.free_descriptors()
        assert transport.closed
        accepted.connection_lost(None)

    asyncio.run(run())
