"""How a node finds the others: by the log, by the peers of its settings, and again
after both sides of a parted network gave each other up.
"""

import math

from gingerturn.internal import ids
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
"""Nodes contacted at once from the members that a keyed log lists, the latest first:
some of them may be gone for good and never answer."""

CONTACT_TRIES = 4
REVIVE_MS = 1_000.0
"""Each second one member that is held for gone is pinged: after both sides of a
parted network gave each other up, nothing else would bring them together."""

WRITES_PER_SECOND = 100.0
"""Join records that all nodes together write after the log was restored from a backup:
a quarter of the writes that it takes, at a time when it has just come up."""

RECENT_START_MS = 30_000.0
"""Whoever started longer ago has been heard of by all others."""

PUT_RETRY_MS = 500.0
"""Pause, before a random part, until a join record that the log did not acknowledge
is put again."""


def start(state: states.State, me: messages.Member, out: states.Effects) -> None:
    """Enter the membership as its only member and tell the log."""
    state.membership.self_member = me
    member_table.update(state, me, out)
    put_join_record(state, out)
    if not state.keyed_log:
        contact_seeds(state, state.now, out)


def put_join_record(state: states.State, out: states.Effects) -> None:
    """Put this node's place on the log, under its key if the log has keys; others read
    it when they start."""
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
    out.append(
        effects.PutRecord(
            put=number, stream=streams.MEMBERS, key=state.node, record=record
        )
    )


def rewrite_join_record(state: states.State) -> None:
    """Put the join record again, as the log may have lost it; not all nodes at once."""
    view = state.membership
    if state.departed:
        return
    spread = 1_000.0 * max(1.0, len(view.members) / WRITES_PER_SECOND)
    view.join_put_number = state.next_number()
    view.join_retry_at = state.now + spread * state.random.random()


def on_put_ended(
    state: states.State, put: int, out: states.Effects, *, done: bool
) -> None:
    """Take in whether the join record was put, and read who else there is.

    The list is read after the own record is there: so of two nodes that start at
    the same time the later one finds the earlier.
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
        # A read that is under way began before the record was there.
        streams.reread(state, streams.MEMBERS, anew=True)
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


def on_listed(
    state: states.State,
    records: list[messages.JoinRecord],
    out: states.Effects,
) -> None:
    """Take in who joined by a keyed log: contact those not known yet."""
    view = state.membership
    view.members_listed = True
    members = view.members
    latest = sorted(records, key=lambda record: -record.at)
    for record in latest:
        known = members.get(record.node)
        if record.node == state.node or (
            known is not None and known.incarnation >= record.incarnation
        ):
            continue
        view.uncontacted[record.node] = (record, 0)
    contact_unknown(state, state.now, out)


def contact_unknown(
    state: states.State, now: ids.Milliseconds, out: states.Effects
) -> None:
    """Contact nodes that joined by the log and were not heard of yet; datagrams may
    be lost, so each is tried a few times."""
    view = state.membership
    contacted = 0
    for node, (record, tries) in list(view.uncontacted.items()):
        known = view.members.get(node)
        met = known is not None and known.incarnation >= record.incarnation
        if met or tries >= CONTACT_TRIES:
            del view.uncontacted[node]
            continue
        if contacted < KEYED_CONTACTS:
            view.uncontacted[node] = (record, tries + 1)
            membership.sync(state, record.host, record.gossip_port, "", out)
            contacted += 1


def probe_gone_member(
    state: states.State, now: ids.Milliseconds, out: states.Effects
) -> None:
    """Ping a member that is held for gone, and renew what the log must hold."""
    view = state.membership
    gone = [node for node in view.gone if node in view.members]
    if gone and not state.stopping:
        membership.ping(state, ids.NodeId(state.random.choice(gone)), out)
    if view.join_put_number and now >= view.join_retry_at:
        put_join_record(state, out)
    contact_unknown(state, now, out)
    if state.keyed_log and not member_table.reachable(state) and view.members_listed:
        # Alone: the others may have been replaced while this node was cut off.
        streams.reread(state, streams.MEMBERS)


def contact_seeds(
    state: states.State, now: ids.Milliseconds, out: states.Effects
) -> None:
    """Ask the peers of the settings while nobody else is known."""
    if len(state.membership.members) > 1 or state.stopping:
        return
    for seed in state.seeds:
        host, _, port = seed.rpartition(":")
        membership.sync(state, host, int(port), "", out)


def on_join_records(
    state: states.State, records: list[messages.JoinRecord], out: states.Effects
) -> None:
    """Contact nodes that joined by the log, the latest first."""
    latest: dict[str, messages.JoinRecord] = {r.node: r for r in records}
    latest.pop(state.node, None)
    unknown = [
        record
        for record in latest.values()
        if record.node not in state.membership.members
    ]
    for record in unknown[-JOIN_CONTACTS:]:
        membership.sync(state, record.host, record.gossip_port, "", out)
