"""File descriptors: the limit, and a reserve for all but callers.

Callers open connections without bound. They may use a descriptor only while the node
holds a reserve of others; when there is none left, the reserve is given up to the
node's other connections, and new callers wait in the kernel until it is held again. It
needs no count of descriptors and no knowledge of the limit.
"""

import asyncio
import collections.abc
import errno
import os
import socket
import time
import typing

from gingerturn.internal import logs
from gingerturn.internal.shell import supervision

RESERVE = 32
MIN_RESERVE = 8
"""Descriptors of the reserve, and those that suffice for a few callers."""

FEW_CALLERS = 8

EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

RETRY_INTERVAL_S = 0.02
"""Interval between tries to hold the reserve again."""

LOG_INTERVAL_S = 1.0

_T = typing.TypeVar("_T")


class Reserve:
    """The reserve, and the state of a shortage.

    Invariant: outside of a shortage the whole reserve is held.

    :param count_callers: returns the number of open connections of callers.
    :param make_room: closes idle connections of callers, and returns their number.
    """

    def __init__(
        self,
        count_callers: collections.abc.Callable[[], int],
        make_room: collections.abc.Callable[[], int],
    ) -> None:
        self._count_callers = count_callers
        self._make_room = make_room
        self._held: list[int] = []
        self._short = False
        self._waiting: list[collections.abc.Callable[[], None]] = []
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False
        self._next_line = 0.0
        self.shortages = 0
        self.closed_idle = 0

    @property
    def short(self) -> bool:
        """Whether there is a shortage, in which connections of callers are not kept."""
        return self._short

    @property
    def is_held(self) -> bool:
        """Whether connections of callers may be accepted."""
        return bool(self._held)

    def hold(self) -> None:
        """Take the reserve for the first time."""
        if not self._acquire(RESERVE):
            self.begin_shortage(None)

    def probe(self) -> None:
        """Begin a shortage if no descriptor is left beside the reserve."""
        if self._short or self._closed:
            return
        try:
            os.close(os.dup(self._held[0]))
        except OSError:
            self.begin_shortage(None)

    def begin_shortage(self, resume: collections.abc.Callable[[], None] | None) -> None:
        """Give up the reserve until it can be held again.

        :param resume: called then.
        """
        self._release()
        if resume is not None and resume not in self._waiting:
            self._waiting.append(resume)
        if not self._short:
            self._short = True
            self.shortages += 1
        now = time.monotonic()
        if now >= self._next_line:
            self._next_line = now + LOG_INTERVAL_S
            logs.write(
                "WARNING",
                "node",
                "No file descriptors left; new connections of callers wait.",
                callers=self._count_callers(),
                shortages=self.shortages,
                closed_idle=self.closed_idle,
            )
        if self._timer is None and not self._closed:
            self._schedule_retry()

    def close(self) -> None:
        """Give up the reserve for good."""
        self._closed = True
        self._release()
        if self._timer is not None:
            self._timer.cancel()

    def _retry(self) -> None:
        self._timer = None
        if self._closed:
            return
        if not self._hold_again():
            self.closed_idle += self._make_room()
            self._schedule_retry()
            return
        self._short = len(self._held) < RESERVE
        waiting, self._waiting = self._waiting, []
        for resume in waiting:
            with supervision.contained("descriptors"):
                resume()
        if self._short and self._timer is None:
            self._schedule_retry()

    def _schedule_retry(self) -> None:
        self._timer = supervision.call_later(
            RETRY_INTERVAL_S,
            self._retry,
            part="descriptors",
            failed=self._schedule_retry,
        )

    def _hold_again(self) -> bool:
        """Take the reserve again, if a descriptor is left beside it for a caller who
        waits; return whether it is held."""
        extra = bool(self._waiting)
        few = self._count_callers() < FEW_CALLERS
        for count in (RESERVE, MIN_RESERVE) if few else (RESERVE,):
            if self._acquire(count + extra):
                if extra:
                    os.close(self._held.pop())
                return True
        return False

    def _acquire(self, count: int) -> bool:
        try:
            if not self._held:
                # A socket: systems may limit these apart from files.
                reserved = socket.socket(type=socket.SOCK_DGRAM)
                self._held.append(reserved.detach())
            while len(self._held) < count:
                self._held.append(os.dup(self._held[0]))
        except OSError:
            self._release()
            return False
        return True

    def _release(self) -> None:
        while self._held:
            os.close(self._held.pop())


async def use(
    reserve: Reserve | None,
    connect: collections.abc.Callable[
        [], collections.abc.Coroutine[typing.Any, typing.Any, _T]
    ],
) -> _T:
    """Open a connection of the node, from the reserve if need be.

    :param reserve: ``None`` if there is none.
    :raises OSError: if it cannot be opened.
    """
    try:
        return await connect()
    except OSError as error:
        if error.errno not in EXHAUSTED or reserve is None or not reserve.is_held:
            raise
    reserve.begin_shortage(None)
    return await connect()
