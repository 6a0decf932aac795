"""One order of the members that every node works out alike, and what follows from it.

By a hash of their ids, so that what falls to the first ones is spread over zones and
services, and stays where it is when others come and go.
"""

import collections.abc
import heapq
import zlib

from gingerturn.internal import ids
from gingerturn.internal.core import messages, state as states

MAX_CAP_ALLOCATORS = 16
"""Nodes that may keep the caps; more are never passed over at once."""

FANOUT = 8
"""Nodes of a zone that ask one node above them."""


def sort_key(node: str) -> tuple[int, str]:
    """Return what orders a node among the others."""
    return zlib.crc32(node.encode()), node


def parent(state: states.State) -> ids.NodeId | None:
    """Return the node above this one: ``None`` for the first of all, the first of all
    for the first of a zone, else one of the own zone."""
    order = _order(state)
    if order.first == state.node:
        return None
    if order.index == 0:
        return order.first
    return order.zone[(order.index - 1) // FANOUT]


def cap_allocator(
    state: states.State, *, passed_over: frozenset[ids.NodeId]
) -> ids.NodeId:
    """Return the node that keeps the caps of workspaces.

    :param passed_over: nodes that are not to be asked.
    """
    for node in _order(state).cap_allocators:
        if node not in passed_over:
            return node
    return state.node


def is_live(state: states.State, node: ids.NodeId) -> bool:
    """Tell whether a node is a member that is neither suspected nor leaving."""
    member = state.membership.members.get(node)
    return member is not None and member.state is messages.MemberState.ALIVE


def cap_sharer_count(state: states.State) -> int:
    """Return how many nodes own a part of each cap: also those that are suspected or
    gone, since they may be at work on the other side of a parted network."""
    return _order(state).cap_sharers


def is_first(state: states.State) -> bool:
    """Tell whether this node is the first of all."""
    return _order(state).first == state.node


def is_zone_first(state: states.State) -> bool:
    """Tell whether this node is the first of its zone."""
    return _order(state).index == 0


def _keeper_place(node: str) -> tuple[int, str]:
    return sort_key(f"keeper {node}")


def _left(
    view: states.Membership,
) -> collections.abc.Callable[[messages.Member], bool]:
    """Return what tells whether a member has left by a planned stop."""

    def left(member: messages.Member) -> bool:
        return view.departed.get(member.node) == member.incarnation

    return left


def _order(state: states.State) -> states.MemberOrder:
    """Return the order among the members that are not suspected."""
    view = state.membership
    known = view.order_cache
    if known is not None and known.version == view.version:
        return known
    live = [
        member
        for member in view.members.values()
        if member.state is messages.MemberState.ALIVE or member.node == state.node
    ]
    first = min((member.node for member in live), key=sort_key, default=state.node)
    zone = sorted((m.node for m in live if m.zone == state.zone), key=sort_key)
    index = zone.index(state.node) if state.node in zone else 0
    names = (member.node for member in live)
    view.order_cache = states.MemberOrder(
        first=first,
        zone=zone,
        index=index,
        cap_sharers=max(
            1, len(view.members) - sum(map(_left(view), view.members.values()))
        ),
        cap_allocators=heapq.nsmallest(MAX_CAP_ALLOCATORS, names, key=_keeper_place),
        version=view.version,
    )
    return view.order_cache
