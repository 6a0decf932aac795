"""Selection of the nodes that long-poll the log for a new route table.

Each change of the table ends every long poll, and calls to the log are expensive, so
only a few nodes poll. All others learn of a new version by gossip, which carries the
version in force in every message, and fetch it from a peer.

Two nodes of each zone poll, so that one may fail and a zone may be cut off. A node that
receives no gossip polls by itself.
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
"""How often a node checks whether it is a poller. A poller that fails is replaced once
it is suspected; the others poll meanwhile."""

POLLERS_PER_ZONE = 2
"""Nodes of each zone that long-poll the log."""

STARTUP_MS = 1_000.0
"""Time after a start in which no poller is selected, as a node that does not know the
members yet would select itself."""

FIRST_NODE_LONG_POLL_MS = 3_000
"""Long poll of the first of all nodes, unless evidence is needed more often. Short, so
that a log that stopped answering is noticed soon."""

ISOLATED_AFTER_MS = 1_500.0
"""A node that received no datagram for three probe intervals may be cut off."""


def check(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    """Start or stop following the route table on the log."""
    stream = state.streams.get(streams.ROUTES)
    if stream is None or now - state.started_at < STARTUP_MS:
        return
    stream.followed = is_poller(state, now)
    stream.long_poll_ms = _long_poll_ms(state)
    streams.retry_due(state, out)


def _long_poll_ms(state: states.State) -> int:
    """Return the time for which the log holds a read open; 0 for that in the settings.

    A read that the log never answers blocks for longer than that. One node polls with a
    shorter time, so that a log which stops answering does not block all pollers.
    """
    if not member_order.is_first(state):
        return 0
    return (
        freshness_renewal.LONG_POLL_MS
        if freshness.is_bounded(state)
        else FIRST_NODE_LONG_POLL_MS
    )


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
