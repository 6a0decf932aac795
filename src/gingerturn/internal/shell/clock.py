"""The clock of a node."""

import time

from gingerturn.internal import ids

_SOURCE = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Includes time during which the machine is suspended, where such a clock exists. With
the monotonic clock, deadlines and the age of reports would exclude that time, and peers
would reject this node's datagrams as replays."""

_EPOCH = time.time() * 1000.0 - time.clock_gettime(_SOURCE) * 1000.0
"""Wall clock time at which that clock was zero, in milliseconds."""


def now() -> ids.Milliseconds:
    """Return milliseconds since the Unix epoch, which never decrease.

    The wall clock is read only once, so that its corrections move no deadline.
    """
    return _EPOCH + time.clock_gettime(_SOURCE) * 1000.0
