"""When the signals arrive that begin a planned stop.

The event loop handles them in one of its turns, which a callback that runs long delays.
The time limits of a stop count from their arrival.
"""

import math
import signal
import types

from gingerturn.internal import ids
from gingerturn.internal.shell import clock


class Arrivals:
    """The time of the first signal that begins a stop."""

    def __init__(self) -> None:
        self._first_at = math.inf

    def watch(self, number: signal.Signals) -> None:
        """Note when a signal arrives that the event loop handles already."""
        previous = signal.getsignal(number)

        def note(received: int, frame: types.FrameType | None) -> None:
            self._first_at = min(self._first_at, clock.now())
            if callable(previous):
                previous(received, frame)

        signal.signal(number, note)
        # As the event loop has set it, which the line above has undone.
        signal.siginterrupt(number, False)

    @property
    def first_at(self) -> ids.Milliseconds:
        """When the first one arrived; now if none was noted."""
        return min(self._first_at, clock.now())
