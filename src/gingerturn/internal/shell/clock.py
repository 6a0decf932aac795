"""The one clock of a node."""

import time

from gingerturn.internal import ids

_SOURCE = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Counts on while the machine is suspended, where there is such a clock. The monotonic
clock stands still then: deadlines would last longer by that time, what was heard before
would count as fresh, and after half a minute in all, every datagram of this node would
be taken for a replay."""

_EPOCH = time.time() * 1000.0 - time.clock_gettime(_SOURCE) * 1000.0
"""When that clock began, by the wall clock."""


def now() -> ids.Milliseconds:
    """Return milliseconds since the epoch that never run backwards.

    The wall clock is read once; from there a clock counts that nobody sets, so that a
    correction of the wall clock moves no deadline.
    """
    return _EPOCH + time.clock_gettime(_SOURCE) * 1000.0
