"""The one clock of a node."""

import time

from gingerturn.internal import ids

_START_WALL = time.time() * 1000.0
_START_MONOTONIC = time.monotonic() * 1000.0


def now() -> ids.Milliseconds:
    """Return milliseconds since the epoch that never run backwards.

    The wall clock is read once; from there the monotonic clock counts, so that a
    correction of the wall clock moves no deadline.
    """
    return _START_WALL + time.monotonic() * 1000.0 - _START_MONOTONIC
