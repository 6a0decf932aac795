"""The time within which a confirmed route table is active at a node, as one sum.

The bound holds at each node that reaches the log, whatever became of its peers. A node
knows how old its latest evidence is that the active table is the newest
(:mod:`.freshness`), and reads the log itself before that is older than the bound::

    READ_AGE_SHARE          age at which any node reads the log itself
    + CHECK_MS              until the age is checked
    + READ_TIMEOUT_SHARE    if the read is sent on a connection that fell silent
    + PAUSE_SHARE           until it is repeated, on a new connection
    + the time that the log takes to answer

Evidence from peers is normally younger than that: the first node holds its reads for
``LONG_POLL_SHARE``, and each level of the tree (:mod:`.member_order`) adds at most
``QUERY_INTERVAL_SHARE``. All times are shares of the bound.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import freshness, state as states

CHECK_MS = 100.0
"""Interval between checks of the age of the evidence."""

LONG_POLL_SHARE = 0.25
"""How long the log holds a read of the first node open, less the age of its evidence: a
read that returns a record is evidence only of the time at which it began."""

MIN_LONG_POLL_SHARE = 0.05

QUERY_AGE_SHARE = 0.225
"""Age from which evidence is renewed by a query."""

QUERY_INTERVAL_SHARE = 0.1
"""Interval between two queries."""

FIRST_READ_AGE_SHARE = 0.45
"""Age from which the first nodes of zones read the log; all others depend on them."""

READ_AGE_SHARE = 0.65
"""Age from which any other node reads the log. The evidence of a zone of 525 nodes,
which has three levels below its first node, is at most this old without faults."""

READ_TIMEOUT_SHARE = 0.15
"""Time-out of such a read. It doubles with each one that gives no evidence, as the log
may be slow."""

MAX_READ_TIMEOUT_SHARE = 0.5
MAX_DOUBLINGS = 5
PAUSE_SHARE = 0.05
"""Pause before such a read is repeated once."""

LATER_PAUSE_SHARE = 0.9
"""Pause before each further one. It bounds the load on a log that answers nobody; with
the time-out it is shorter than the time after an outage in which a node may be late."""


def bound_ms(state: states.State) -> ids.Milliseconds:
    """Return the maximum age of the evidence; 0 if none is configured."""
    bounds = [state.freshness.apply_ms]
    if freshness.is_bounded(state):
        bounds.append(freshness.allowed_ms(state))
    return min((bound for bound in bounds if bound > 0.0), default=0.0)


def long_poll_ms(state: states.State) -> int:
    """Return for how long the log holds the next read of the first node open."""
    bound = bound_ms(state)
    remaining = LONG_POLL_SHARE * bound - freshness.read_age(state)
    return int(max(MIN_LONG_POLL_SHARE * bound, remaining))


def read_timeout_ms(state: states.State) -> int:
    """Return the time-out of a read beyond the time for which it waits."""
    doublings = min(state.freshness.failed_reads, MAX_DOUBLINGS)
    share = min(MAX_READ_TIMEOUT_SHARE, READ_TIMEOUT_SHARE * 2.0**doublings)
    return int(share * bound_ms(state))


def pause_ms(state: states.State) -> ids.Milliseconds:
    """Return the pause after a read that gave no evidence, with jitter."""
    is_repeated = state.freshness.failed_reads > 1
    share = LATER_PAUSE_SHARE if is_repeated else PAUSE_SHARE
    pause = share * bound_ms(state)
    return pause * (0.5 + 0.5 * state.random.random())
