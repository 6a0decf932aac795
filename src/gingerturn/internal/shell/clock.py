"""The one clock of a node."""

import time

from gingerturn.internal import ids

_EPOCH = time.time() * 1000.0 - time.monotonic() * 1000.0
"""When the monotonic clock began, by the wall clock."""


def now() -> ids.Milliseconds:
    """Return milliseconds since the epoch that never run backwards.

    The wall clock is read once; from there the monotonic clock counts, so that a
    correction of the wall clock moves no deadline.
    """
    return _EPOCH + time.monotonic() * 1000.0
