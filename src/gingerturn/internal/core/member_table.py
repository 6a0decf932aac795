"""The table of members, with the updates that are still to be gossiped.

Invariants: ``by_service`` lists the members that offer a service and are not leaving; a
member is in ``suspected`` or ``gone`` exactly while its state says so.
"""

import math

import msgspec

from gingerturn.internal import ids
from gingerturn.internal.core import messages, operator_log, state as states

GONE_RETENTION_MS = 300_000.0

UPDATES_PER_MESSAGE = 5
"""Bounds the size of a message: an encoded update takes about 70 bytes."""

SYNC_UPDATE_DIVISOR = 3
"""Updates from a full sync are sent this many times less often than others, since most
members know them already."""

FULL_SCAN_LIMIT = 64
"""With fewer members than this, random members are drawn from a filtered list, so that
a draw cannot hit only members that are gone."""

_STATE_TEXTS = {
    messages.MemberState.ALIVE: "is alive",
    messages.MemberState.SUSPECT: "is suspected",
    messages.MemberState.LEAVING: "is leaving",
    messages.MemberState.GONE: "is gone",
}

_FAILED_STATES = frozenset({messages.MemberState.SUSPECT, messages.MemberState.GONE})


def precedence(member: messages.Member) -> tuple[int, int, int]:
    """Return the sort key of updates about one member; the highest one wins."""
    return (member.incarnation, member.version, member.state)


def update(
    state: states.State,
    member: messages.Member,
    out: states.Effects,
    *,
    source: str = "probe timeout",
    from_sync: bool = False,
) -> None:
    """Store an update about a member and queue it for gossip.

    :param source: origin of the update, for the log.
    :param from_sync: it came with a full sync, so most members know it already.
    """
    membership = state.membership
    old = membership.members.get(member.node)
    if member.node != state.node:
        _log_change(old, member, source, out)
    membership.version += 1
    membership.members[member.node] = member
    times = transmission_count(state)
    membership.pending_updates.put(
        member.node, times // SYNC_UPDATE_DIVISOR if from_sync else times
    )
    if member.state is messages.MemberState.SUSPECT:
        membership.suspected.setdefault(member.node, state.now)
    else:
        membership.suspected.pop(member.node, None)
    if member.state is messages.MemberState.GONE:
        membership.gone[member.node] = state.now
    else:
        membership.gone.pop(member.node, None)
    if member.state is messages.MemberState.LEAVING:
        membership.departed[member.node] = member.incarnation
    if member.room_ms and member.state < messages.MemberState.LEAVING:
        membership.stopping.add(member.node)
    else:
        membership.stopping.discard(member.node)
    if old is not None:
        _remove_from_service(state, old)
    if member.service and member.state < messages.MemberState.LEAVING:
        membership.by_service.setdefault(member.service, []).append(member.node)


def _log_change(
    old: messages.Member | None,
    member: messages.Member,
    source: str,
    out: states.Effects,
) -> None:
    """Log a new member, or a change of its state, service or incarnation."""
    new_service = old is None or old.service != member.service
    restarted = old is not None and old.incarnation != member.incarnation
    if (
        old is not None
        and old.state is member.state
        and not new_service
        and not restarted
    ):
        return
    change = _STATE_TEXTS[member.state]
    if old is None:
        change = "is a new member"
    elif restarted:
        change = "restarted"
    elif member.state is messages.MemberState.ALIVE and old.state is not member.state:
        change = "is alive again"
    offer = f", offers {member.service or 'nothing'}" if new_service else ""
    text = f"{member.node} {change}, version {member.version}{offer}; source: {source}."
    if member.state in _FAILED_STATES:
        operator_log.warn(out, "membership", text)
    else:
        operator_log.info(out, "membership", text)


def _remove_from_service(state: states.State, member: messages.Member) -> None:
    nodes = state.membership.by_service.get(member.service)
    if nodes and member.node in nodes:
        nodes.remove(member.node)


def transmission_count(state: states.State) -> int:
    """Return how often to send an update so that it reaches nearly all members."""
    return 3 * math.ceil(math.log2(len(state.membership.members) + 2))


def reachable(state: states.State) -> list[ids.NodeId]:
    """Return the other members that are not gone."""
    own, gone = state.node, messages.MemberState.GONE
    return [
        member.node
        for member in state.membership.members.values()
        if member.node != own and member.state < gone
    ]


def random_members(state: states.State, count: int) -> list[ids.NodeId]:
    """Return random members that are not gone, at most ``count``.

    Large tables are sampled instead of shuffled, to bound the cost of a push.
    """
    members = state.membership.members
    if len(members) < FULL_SCAN_LIMIT:
        pool = sorted(reachable(state))
        return state.random.sample(pool, min(count, len(pool)))
    sampled = state.random.sample(list(members), 2 * count)
    return [
        ids.NodeId(name)
        for name in sampled
        if name != state.node and members[name].state < messages.MemberState.GONE
    ][:count]


def updates_to_send(state: states.State) -> tuple[messages.Member, ...]:
    """Return the updates for the next message, those sent least often first."""
    membership = state.membership
    chosen = membership.pending_updates.take(UPDATES_PER_MESSAGE)
    return tuple(
        membership.members[node] for node in chosen if node in membership.members
    )


def set_state(
    state: states.State,
    member: messages.Member,
    new_state: messages.MemberState,
    out: states.Effects,
) -> None:
    """Update only the state of a known member."""
    update(state, msgspec.structs.replace(member, state=new_state), out)


def prune_gone(state: states.State, now: ids.Milliseconds) -> None:
    """Remove members that have been gone for longer than the retention period."""
    membership = state.membership
    for node, since in list(membership.gone.items()):
        if now - since < GONE_RETENTION_MS:
            continue
        del membership.gone[node]
        membership.version += 1
        membership.members.pop(node, None)
        membership.departed.pop(ids.NodeId(node), None)
        membership.stopping.discard(ids.NodeId(node))
        membership.pending_updates.drop(node)
        state.upstreams.pop(ids.NodeId(node), None)
