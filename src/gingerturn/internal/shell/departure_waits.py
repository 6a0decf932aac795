"""Confirmations of departures that wait until the departures are saved.

A confirmed departure binds this node also after a restart, so the log is to have it
before the backend server is told.
"""

import asyncio
import functools

from gingerturn.internal.core import effects
from gingerturn.internal.shell import supervision

LIMIT_MS = 500.0
"""Longest wait, half of the time within which a backend server expects its answer. The
other members know the departure by then."""


class DepartureWaits:
    """The confirmations that wait."""

    def __init__(self) -> None:
        self._saved: asyncio.Future[None] | None = None

    def begin(self) -> asyncio.Future[None]:
        """Return a future that is done once they are saved, or at the limit."""
        if self._saved is None:
            self._saved = asyncio.get_running_loop().create_future()
            end = functools.partial(self._end, self._saved)
            supervision.call_later(LIMIT_MS / 1_000.0, end, part="backend")
        return self._saved

    def on_saved(self, effect: effects.DeparturesSaved) -> None:
        """End the wait."""
        if self._saved is not None:
            self._end(self._saved)

    def _end(self, saved: asyncio.Future[None]) -> None:
        if not saved.done():
            saved.set_result(None)
        if self._saved is saved:
            self._saved = None
