"""Selection of the nodes that long-poll the log for a new route table.

Each change of the table ends every long poll, and calls to the log are expensive, so
only a few nodes poll: if all did, 194 nodes would make 1,760 calls in 42 s with three
changes. All others learn of a new version by gossip, which carries the
version in force in every message, and fetch it from a peer.

Two nodes of each zone poll, so that one may fail and a zone may be cut off. A node that
receives no gossip polls by itself.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import (
    member_order,
    messages,
    state as states,
    streams,
    version_bound,
)

CHECK_INTERVAL_MS = 500.0
"""How often a node checks whether it is a poller. A poller that fails is replaced once
it is suspected; the others poll meanwhile."""

POLLERS_PER_ZONE = 2
"""Nodes of each zone that long-poll the log."""

STARTUP_MS = 1_000.0
"""Time after a start in which no poller is selected, as a node that does not know the
members yet would select itself."""

ISOLATED_AFTER_MS = 1_500.0
"""A node that received no datagram for three probe intervals may be cut off."""


def check(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    """Start or stop following the route table on the log."""
    stream = state.streams.get(streams.ROUTES)
    if stream is None or now - state.started_at < STARTUP_MS:
        return
    stream.followed = is_poller(state, now)
    set_read_times(state, stream)
    streams.retry_due(state, out)


def set_read_times(state: states.State, stream: states.Stream) -> None:
    """Set the duration and the time-out of the next long poll.

    The evidence of all nodes depends on the reads of the first one. Elsewhere both are
    left to the settings.
    """
    is_first = member_order.is_first(state)
    stream.long_poll_ms = version_bound.long_poll_ms(state) if is_first else 0
    stream.timeout_ms = version_bound.read_timeout_ms(state) if is_first else 0


def is_poller(state: states.State, now: ids.Milliseconds) -> bool:
    """Whether this node long-polls the log."""
    if now - state.membership.last_datagram_at > ISOLATED_AFTER_MS:
        return True
    preceding = 0
    own = member_order.sort_key(state.node)
    for member in state.membership.members.values():
        if member.zone != state.zone or member.state is not messages.MemberState.ALIVE:
            continue
        preceding += member_order.sort_key(member.node) < own
        if preceding >= POLLERS_PER_ZONE:
            return False
    return True
