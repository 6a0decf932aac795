"""Discovery of members: by join records on the log, by the peers in the settings, and
by probing gone members after a network partition.
"""

import math

from gingerturn.internal import checks, ids
from gingerturn.internal.core import (
    effects,
    member_table,
    membership,
    messages,
    state as states,
    streams,
)

JOIN_CONTACTS = 3
KEYED_CONTACTS = 16
"""Nodes contacted at once from the join records of a keyed log, the latest first. Some
of the nodes may no longer exist."""

CONTACTS_WHILE_ALONE = 48
"""Nodes contacted in each :data:`membership.CHECK_INTERVAL_MS` by a node that has
reached none. One that answers knows the others."""

MAX_UNCONTACTED = 10_000
"""Nodes that are kept to be contacted. Of more, random ones are."""

CONTACT_ATTEMPTS = 4
GONE_PROBE_INTERVAL_MS = 1_000.0
"""How often a gone member is pinged, so that both sides of a network partition merge
once it heals."""

REWRITES_PER_SECOND = 100.0
"""Join records written by all nodes together after the log was restored from a backup.
Bounds the load on a log that has just started."""

MAX_REWRITE_DOUBLINGS = 6
"""Limit of the growth of the delay before a join record is put again that one base
read after another lacks."""

RECENT_START_MS = 30_000.0
"""All members know a node that started longer ago than this."""

PUT_RETRY_MS = 500.0
"""Delay until an unacknowledged join record is put again, before jitter."""


LIST_WITHOUT_PUT_MS = 5_000.0
"""Time after a start in which the other join records are read only once the own one
was put, or could not be."""


def start(state: states.State, me: messages.Member, out: states.Effects) -> None:
    """Enter the membership as its only member, and put the join record on the log."""
    state.membership.self_member = me
    member_table.update(state, me, out)
    put_join_record(state, out)
    if not state.keyed_log:
        contact_seeds(state, state.now, out)


def put_join_record(state: states.State, out: states.Effects) -> None:
    """Put the address of this node on the log, under its key if the log has keys. Other
    nodes read it when they start."""
    view = state.membership
    if view.self_member is None:
        return
    number = state.next_number()
    record = messages.encode_record(_join_record(state, view.self_member))
    view.join_retry_at = math.inf
    if not state.keyed_log:
        view.join_put_number = 0
        out.append(effects.Append(append=number, stream=streams.MEMBERS, record=record))
        return
    view.join_put_number = number
    view.join_retry_at = state.now + streams.MAX_PENDING_MS
    out.append(
        effects.PutRecord(
            put=number, stream=streams.MEMBERS, key=state.node, record=record
        )
    )


def rewrite_join_record(state: states.State, *, delay_factor: float = 1.0) -> None:
    """Schedule another put of the join record, as a restored log may have lost it.

    Nodes put theirs at random times, to spread the load.

    :param delay_factor: by which the delay is longer than usually.
    """
    view = state.membership
    if state.departed:
        return
    spread_ms = 1_000.0 * max(1.0, len(view.members) / REWRITES_PER_SECOND)
    view.join_put_number = state.next_number()
    delay_ms = delay_factor * spread_ms * state.random.random()
    view.join_retry_at = state.now + delay_ms


def on_put_ended(
    state: states.State, put: int, out: states.Effects, *, done: bool
) -> None:
    """Handle the result of putting the join record, and read the other ones.

    They are read after the own record was put, so that of two nodes that start at the
    same time at least one finds the other.
    """
    view = state.membership
    if put != view.join_put_number:
        return
    if done:
        view.join_put_number = 0
    else:
        pause = PUT_RETRY_MS * (1.0 + state.random.random())
        view.join_retry_at = state.now + pause
    is_known = view.members_listed and state.now - state.started_at > RECENT_START_MS
    if done and not is_known:
        # A pending read began before the record was put.
        streams.reread(state, streams.MEMBERS, restart_pending=True)
    streams.follow(state, streams.MEMBERS, out, keyed=True, followed=False)


def _join_record(state: states.State, me: messages.Member) -> messages.JoinRecord:
    return messages.JoinRecord(
        node=me.node,
        incarnation=me.incarnation,
        host=me.host,
        gossip_port=me.gossip_port,
        zone=me.zone,
        at=state.now,
    )


def on_base_read(
    state: states.State,
    records: list[messages.JoinRecord],
    out: states.Effects,
    *,
    complete: bool = True,
    sufficient: bool = True,
) -> None:
    """Handle a base read of join records: contact nodes that are not members yet.

    :param complete: whether it includes each key.
    :param sufficient: whether the members count as listed by it.
    """
    view = state.membership
    view.members_listed |= sufficient
    if _is_own_record_lost(state, records, complete=complete):
        rewrite_join_record(state, delay_factor=2.0**view.join_rewrites)
        view.join_rewrites = min(view.join_rewrites + 1, MAX_REWRITE_DOUBLINGS)
    elif complete and not view.join_put_number:
        view.join_rewrites = 0
    unknown = _in_order(state, [r for r in records if _is_unknown(state, r)])
    listed = {record.node for record in unknown}
    kept = {n: found for n, found in view.uncontacted.items() if n in listed}
    for record in unknown[:MAX_UNCONTACTED]:
        # Those that were contacted keep their place behind the others.
        if record.node not in kept or kept[record.node][0] != record:
            kept[record.node] = (record, 0)
    view.uncontacted = kept
    contact_unknown(state, state.now, out)


def _is_own_record_lost(
    state: states.State, records: list[messages.JoinRecord], *, complete: bool
) -> bool:
    """Whether the acknowledged join record was deleted or replaced. One of a later
    start of this node is left alone.

    :param complete: whether the records include each key.
    """
    view = state.membership
    me = view.self_member
    if me is None or view.join_put_number:
        return False
    own = next((record for record in records if record.node == state.node), None)
    if own is None:
        return complete
    if own.incarnation < me.incarnation:
        return True
    is_same = (own.host, own.gossip_port) == (me.host, me.gossip_port)
    return own.incarnation == me.incarnation and not is_same


def _is_unknown(state: states.State, record: messages.JoinRecord) -> bool:
    """Whether a record is of another node, or a start of it, that is no member yet."""
    if record.node == state.node:
        return False
    known = state.membership.members.get(record.node)
    return known is None or known.incarnation < record.incarnation


def _in_order(
    state: states.State, records: list[messages.JoinRecord]
) -> list[messages.JoinRecord]:
    """Return the records in the order of contact: the latest, then the others in random
    order, as other writers may state any time."""
    latest = sorted(records, key=lambda record: -record.at)
    others = latest[KEYED_CONTACTS:]
    state.random.shuffle(others)
    return latest[:KEYED_CONTACTS] + others


def contact_unknown(
    state: states.State, now: ids.Milliseconds, out: states.Effects
) -> None:
    """Contact nodes with a join record that are not members yet, each a few times, as
    datagrams may be lost. Those that were contacted least often are next."""
    _contact(state, KEYED_CONTACTS, out)


def contact_while_alone(state: states.State, out: states.Effects) -> None:
    """Contact further nodes while none was reached: most records may be of nodes that
    do not exist."""
    view = state.membership
    if len(view.uncontacted) <= KEYED_CONTACTS or member_table.reachable(state):
        return
    if any(tries == 0 for _, tries in view.uncontacted.values()):
        _contact(state, CONTACTS_WHILE_ALONE, out)


def _contact(state: states.State, count: int, out: states.Effects) -> None:
    uncontacted = state.membership.uncontacted
    for node, (record, tries) in list(uncontacted.items()):
        if tries >= CONTACT_ATTEMPTS or not _is_unknown(state, record):
            del uncontacted[node]
    for node in list(uncontacted)[:count]:
        record, tries = uncontacted.pop(node)
        uncontacted[node] = (record, tries + 1)
        membership.sync(state, record.host, record.gossip_port, "", out)


def probe_gone_member(
    state: states.State, now: ids.Milliseconds, out: states.Effects
) -> None:
    """Ping a gone member, and retry what discovery by the log still needs: the put of
    the own join record, contacts, and a base read while no member is reachable."""
    view = state.membership
    gone = [node for node in view.gone if node in view.members]
    if gone and not state.stopping:
        membership.ping(state, ids.NodeId(state.random.choice(gone)), out)
    if view.join_put_number and now >= view.join_retry_at:
        put_join_record(state, out)
    if state.keyed_log and now - state.started_at > LIST_WITHOUT_PUT_MS:
        streams.follow(state, streams.MEMBERS, out, keyed=True, followed=False)
    if state.keyed_log and not view.members_listed and not view.synced:
        _sync_with_a_member(state, out)
    contact_unknown(state, now, out)
    if state.keyed_log and not member_table.reachable(state) and view.members_listed:
        # All other members may have been replaced while this node was cut off.
        streams.reread(state, streams.MEMBERS)


def _sync_with_a_member(state: states.State, out: states.Effects) -> None:
    """Ask a member that has contacted this node for all others, while the log cannot be
    read."""
    for node in member_table.random_members(state, 1):
        member = state.membership.members[node]
        membership.sync(state, member.host, member.gossip_port, "", out)


def contact_seeds(
    state: states.State, now: ids.Milliseconds, out: states.Effects
) -> None:
    """Contact the peers in the settings while no other member is known."""
    if len(state.membership.members) > 1 or state.stopping:
        return
    for seed in state.seeds:
        host, port = checks.check_address("peers", seed)
        membership.sync(state, host, port, "", out)


def on_join_records(
    state: states.State, records: list[messages.JoinRecord], out: states.Effects
) -> None:
    """Contact the latest nodes with a join record that are not members yet."""
    latest: dict[str, messages.JoinRecord] = {r.node: r for r in records}
    latest.pop(state.node, None)
    unknown = [
        record
        for record in latest.values()
        if record.node not in state.membership.members
    ]
    for record in unknown[-JOIN_CONTACTS:]:
        membership.sync(state, record.host, record.gossip_port, "", out)
