"""Detection of a crashed backend server by new connections to it.

A process that crashes may accept one more connection before it refuses others.
"""

import asyncio
import types
import typing

import pytest

from gingerturn import dialect
from gingerturn.internal.core import effects, events
from gingerturn.internal.shell import home

CHECK = effects.CheckBackend(host="127.0.0.1", port=1)


class _Connection:
    """A connection that is open or already broken."""

    def __init__(self, *, usable: bool) -> None:
        self.usable = usable


class _Pool:
    """A pool that returns the connections, or raises the errors, of a list."""

    def __init__(self, found: list[_Connection | Exception]) -> None:
        self._found = found
        self.kept: list[_Connection] = []

    def set_address(self, host: str, port: int) -> None:
        assert (host, port) == (CHECK.host, CHECK.port)

    async def connect(self, timeout_s: float) -> _Connection:
        found = self._found.pop(0)
        if isinstance(found, Exception):
            raise found
        return found

    def put(self, connection: _Connection) -> None:
        self.kept.append(connection)


def _checked(*found: _Connection | Exception) -> tuple[bool, _Pool]:
    applied: list[events.BackendChecked] = []
    node = types.SimpleNamespace(dialect=dialect.DEFAULT, apply=applied.append)
    side = home.HomeSide(typing.cast(typing.Any, node))
    pool = _Pool(list(found))
    side.pool = typing.cast(typing.Any, pool)
    asyncio.run(side._check(CHECK))
    (event,) = applied
    return event.refused, pool


OPEN = _Connection(usable=True)
BROKEN = _Connection(usable=False)
REFUSED = ConnectionRefusedError()


def test_a_refused_connection_means_a_crash() -> None:
    assert _checked(REFUSED)[0]


def test_a_connection_that_stays_open_is_kept_for_the_next_call() -> None:
    refused, pool = _checked(OPEN)
    assert not refused
    assert pool.kept == [OPEN]


@pytest.mark.parametrize("first", [BROKEN, TimeoutError(), OSError()])
def test_a_connection_accepted_during_a_crash_does_not_hide_it(
    first: _Connection | Exception,
) -> None:
    refused, pool = _checked(first, REFUSED)
    assert refused
    assert not pool.kept


def test_broken_connections_without_a_refusal_are_no_crash() -> None:
    # The backend server is at its limit of connections.
    refused, pool = _checked(BROKEN, BROKEN, BROKEN)
    assert not refused
    assert not pool.kept
