"""A deterministic order of the members, and the roles derived from it.

Members are ordered by a hash of their ids, which spreads the roles over zones and
services and keeps them in place when other members join or leave.
"""

import collections.abc
import heapq
import zlib

from gingerturn.internal import ids
from gingerturn.internal.core import messages, state as states

MAX_CAP_ALLOCATORS = 16
"""Candidates for the cap allocator, and thus the most that can be excluded."""

TREE_FANOUT = 8
"""Children of each node in the tree of a zone."""


def sort_key(node: str) -> tuple[int, str]:
    """Return the sort key of a node."""
    return zlib.crc32(node.encode()), node


def parent(state: states.State) -> ids.NodeId | None:
    """Return the parent of this node in the tree of members.

    The first member of all is the root; the first member of each zone is its child,
    and all other nodes have a parent in their own zone.
    """
    order = _order(state)
    if order.first == state.node:
        return None
    if order.index == 0:
        return order.first
    return order.zone[(order.index - 1) // TREE_FANOUT]


def cap_allocator(
    state: states.State, *, passed_over: frozenset[ids.NodeId]
) -> ids.NodeId:
    """Return the node that allocates the caps of workspaces.

    :param passed_over: nodes to exclude.
    """
    for node in _order(state).cap_allocators:
        if node not in passed_over:
            return node
    return state.node


def is_live(state: states.State, node: ids.NodeId) -> bool:
    """Whether a node is a member that is neither suspected nor leaving."""
    member = state.membership.members.get(node)
    return member is not None and member.state is messages.MemberState.ALIVE


def cap_sharer_count(state: states.State) -> int:
    """Return how many nodes own a share of each cap.

    Suspected and gone members count, since they may still be running on the other side
    of a network partition.
    """
    return _order(state).cap_sharers


def is_first(state: states.State) -> bool:
    """Whether this node is the first of all members."""
    return _order(state).first == state.node


def is_zone_first(state: states.State) -> bool:
    """Whether this node is the first member of its zone."""
    return _order(state).index == 0


def _cap_allocator_key(node: str) -> tuple[int, str]:
    return sort_key(f"keeper {node}")


def _has_departed(
    view: states.Membership,
) -> collections.abc.Callable[[messages.Member], bool]:
    """Return a predicate for members that left by a planned stop."""

    def departed(member: messages.Member) -> bool:
        return view.departed.get(member.node) == member.incarnation

    return departed


def _order(state: states.State) -> states.MemberOrder:
    """Return the order of the live members, cached until the membership changes."""
    view = state.membership
    cached = view.order_cache
    if cached is not None and cached.version == view.version:
        return cached
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
            1, len(view.members) - sum(map(_has_departed(view), view.members.values()))
        ),
        cap_allocators=heapq.nsmallest(
            MAX_CAP_ALLOCATORS, names, key=_cap_allocator_key
        ),
        version=view.version,
    )
    return view.order_cache
