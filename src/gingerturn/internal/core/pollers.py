"""Which nodes wait at the platform's log for a new route table; the others hear of it
from them.

A call on the log costs its owners as much as some requests, and each change of the
table ends every waiting read: were all 194 nodes of a deployment to wait, they would
make 1,760 calls in 42 s with three changes, in place of some 650. Members tell one
another the version in force with every datagram, and one that hears of a later one
fetches it, so a few that wait are enough.
The spread takes some tenths of a second, of the two that operators allow.

Two a zone, so that one may die and a zone may be cut off from the others. A node that
hears from no member waits at the log itself. Where the log refuses some nodes, those of
other zones hear of the change.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import (
    freshness,
    freshness_renewal,
    member_order,
    messages,
    state as states,
    streams,
)

CHECK_INTERVAL_MS = 500.0
"""How often a node asks itself; a dead one is noticed in about two seconds, in which
the others still wait."""

POLLERS_PER_ZONE = 2
"""Nodes of each zone that wait."""

STARTUP_MS = 1_000.0
"""After its start a node has read the table and soon knows the members; before, each
would take itself for the only one."""

FIRST_NODE_LONG_POLL_MS = 3_000
"""How long the first of all nodes lets the log hold a read open, where nothing asks for
evidence more often. It finds out after a second more that the log has fallen silent,
which leaves a second of the five within which a change is to be known after a fault."""

ISOLATED_AFTER_MS = 1_500.0
"""Three periods of probes: a node that got no datagram for so long may be cut off."""


def check(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    """Begin or cease to wait for a new table."""
    stream = state.streams.get(streams.ROUTES)
    if stream is None or now - state.started_at < STARTUP_MS:
        return
    stream.followed = is_poller(state, now)
    stream.long_poll_ms = _long_poll_ms(state)
    streams.retry_due(state, out)


def _long_poll_ms(state: states.State) -> int:
    """Return for how long the log is to hold a read open; 0 leaves it to the settings.

    A read that the log never answers hangs for that time and longer. Were all to wait
    for long, a log that falls silent for a moment would leave all of them in the dark.
    """
    if not member_order.is_first(state):
        return 0
    return (
        freshness_renewal.HOLD_MS
        if freshness.is_bounded(state)
        else FIRST_NODE_LONG_POLL_MS
    )


def is_poller(state: states.State, now: ids.Milliseconds) -> bool:
    """Tell whether this node is one of those that wait at the log."""
    if now - state.membership.last_datagram_at > ISOLATED_AFTER_MS:
        return True
    before = 0
    own = member_order.sort_key(state.node)
    for member in state.membership.members.values():
        if member.zone != state.zone or member.state is not messages.MemberState.ALIVE:
            continue
        before += member_order.sort_key(member.node) < own
        if before >= POLLERS_PER_ZONE:
            return False
    return True
