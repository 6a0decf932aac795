"""What a node believes of the other members, and what of it is still passed on.

Invariants: ``by_service`` lists just the members that offer a service and do not leave;
a member is in ``suspected`` or ``gone`` exactly while its state says so.
"""

import math

import msgspec

from gingerturn.internal import ids
from gingerturn.internal.core import messages, operator_log, state as states

FORGET_AFTER_MS = 300_000.0

UPDATES_PER_MESSAGE = 5
"""About 70 bytes each, packed. With 6 a node sent 2.2 kB/s while the news of a lost
zone spread, with 5 it stays under the 2 kB/s that control may use."""

LISTED_PART = 3
"""What came with a list of all members is passed on a third as often. After 194 nodes
have started at once each would tell of all the others 24 times, for two and a half
minutes, in messages five times as long as otherwise."""

SMALL = 64
"""Below this size the few members that are not gone are listed before drawing, so
that a draw cannot miss all of them."""

_STATE_WORDS = {
    messages.MemberState.ALIVE: "is alive",
    messages.MemberState.SUSPECT: "is suspected",
    messages.MemberState.LEAVING: "is leaving",
    messages.MemberState.GONE: "is gone",
}

_BAD_STATES = frozenset({messages.MemberState.SUSPECT, messages.MemberState.GONE})


def precedence(member: messages.Member) -> tuple[int, int, int]:
    """Return what orders two words on a member: the higher one holds."""
    return (member.incarnation, member.version, member.state)


def update(
    state: states.State,
    member: messages.Member,
    out: states.Effects,
    *,
    source: str = "its silence",
    listed: bool = False,
) -> None:
    """Take what is known of a member, and let it be passed on.

    :param source: who or what tells it, for the log.
    :param listed: it came with the list of all members, so that it is no news to most.
    """
    membership = state.membership
    old = membership.members.get(member.node)
    if member.node != state.node:
        _log_change(old, member, source, out)
    membership.version += 1
    membership.members[member.node] = member
    times = transmission_count(state)
    membership.pending_updates.put(
        member.node, times // LISTED_PART if listed else times
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
    if old is not None:
        _unlist(state, old)
    if member.service and member.state < messages.MemberState.LEAVING:
        membership.by_service.setdefault(member.service, []).append(member.node)


def _log_change(
    old: messages.Member | None,
    member: messages.Member,
    source: str,
    out: states.Effects,
) -> None:
    """Write what this node believes from now on, if that is another thing."""
    offers_other = old is None or old.service != member.service
    anew = old is not None and old.incarnation != member.incarnation
    if old is not None and old.state is member.state and not offers_other and not anew:
        return
    words = _STATE_WORDS[member.state]
    if old is None:
        words = "is known from now on"
    elif anew:
        words = "started anew"
    elif member.state is messages.MemberState.ALIVE and old.state is not member.state:
        words = "is alive again"
    offer = f", offers {member.service or 'nothing'}" if offers_other else ""
    text = f"{member.node} {words}, version {member.version}{offer}, as {source} tells."
    if member.state in _BAD_STATES:
        operator_log.warn(out, "membership", text)
    else:
        operator_log.info(out, "membership", text)


def _unlist(state: states.State, member: messages.Member) -> None:
    nodes = state.membership.by_service.get(member.service)
    if nodes and member.node in nodes:
        nodes.remove(member.node)


def transmission_count(state: states.State) -> int:
    """Return how often an update is passed on until nearly all have heard it."""
    return 3 * math.ceil(math.log2(len(state.membership.members) + 2))


def reachable(state: states.State) -> list[ids.NodeId]:
    """Return the other members that are not held for gone."""
    return [
        member.node
        for member in state.membership.members.values()
        if member.node != state.node and member.state < messages.MemberState.GONE
    ]


def random_members(state: states.State, count: int) -> list[ids.NodeId]:
    """Return some random members that are not gone.

    Drawn by index: shuffling all of 4,200 took 4 ms at each push.
    """
    members = state.membership.members
    if len(members) < SMALL:
        pool = sorted(reachable(state))
        return state.random.sample(pool, min(count, len(pool)))
    drawn = state.random.sample(list(members), 2 * count)
    return [
        ids.NodeId(name)
        for name in drawn
        if name != state.node and members[name].state < messages.MemberState.GONE
    ][:count]


def updates_to_send(state: states.State) -> tuple[messages.Member, ...]:
    """Return the updates that were passed on least often so far."""
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
    """Take in that a member, as it is known, has come to another state."""
    update(state, msgspec.structs.replace(member, state=new_state), out)


def prune_gone(state: states.State, now: ids.Milliseconds) -> None:
    """Forget the members that have been gone for long."""
    membership = state.membership
    for node, since in list(membership.gone.items()):
        if now - since < FORGET_AFTER_MS:
            continue
        del membership.gone[node]
        membership.version += 1
        membership.members.pop(node, None)
        membership.departed.pop(ids.NodeId(node), None)
        membership.pending_updates.drop(node)
        state.upstreams.pop(ids.NodeId(node), None)
