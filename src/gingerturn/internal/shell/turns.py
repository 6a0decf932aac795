"""Turns of connections whose input takes much work.

Cost follows the number of messages and pieces in the input rather than its bytes, so a
connection can keep the event loop busy with little. After a bounded amount of work it
waits for its turn, and others are read in between.
"""

import asyncio
import collections.abc

from gingerturn.internal.shell import supervision

AT_ONCE = 8
"""Turns taken before other events are handled."""

GoOn = collections.abc.Callable[[], None]


class Turns:
    """The connections that wait, in the order in which they began to."""

    def __init__(self) -> None:
        self._waiting: dict[object, GoOn] = {}
        self._timer: asyncio.TimerHandle | None = None
        self.taken = 0

    def wait(self, waiter: object, go_on: GoOn) -> None:
        """Call a function at the turn of a connection, unless it waits already."""
        self._waiting.setdefault(waiter, go_on)
        self._schedule()

    def forget(self, waiter: object) -> None:
        """Remove a connection that is closed."""
        self._waiting.pop(waiter, None)

    def _schedule(self) -> None:
        if self._timer is None:
            self._timer = supervision.call_later(
                0.0, self._take, part="turns", failed=self._schedule
            )

    def _take(self) -> None:
        self._timer = None
        for _ in range(min(AT_ONCE, len(self._waiting))):
            waiter = next(iter(self._waiting))
            go_on = self._waiting.pop(waiter)
            self.taken += 1
            with supervision.contained("turns"):
                go_on()
        if self._waiting:
            self._schedule()
