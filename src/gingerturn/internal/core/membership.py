"""Who the members are: gossip in the manner of SWIM (Das et al., 2002).

Each period a node pings one member; updates about members ride on pings and
acknowledgements. A member that answers neither directly nor through others is
suspected, and gone if it does not refute that. Bytes a second are bounded
whatever the size: one probe a period, a bounded number of updates each.
"""

import typing

import msgspec

from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    freshness,
    member_table,
    messages,
    operator_log,
    quarantine_gossip,
    revisions,
    route_table,
    state as states,
)

PROBE_MS = 500.0
CHECK_MS = 100.0
INDIRECT_AFTER_MS = 300.0
SUSPECT_AFTER_MS = 700.0
"""A frozen node is suspected, and passed over, within two seconds at the sizes of
today: calls that it holds wait for their deadlines, so each second counts. At the
design size somebody probes each member about twice a second whatever their number,
and what it finds spreads by gossip."""

GONE_AFTER_MS = 4_000.0
INDIRECT_PROBES = 2
SYNC_PAGE = 8
PUSH_EVERY_MS = 250.0
URGENT_FANOUT = 4
"""Members told at once of a departure or a new revision; each passes news on to
as many, so that a few rounds reach all even where a tenth is lost."""

ISOLATED_SHARE = 0.5
"""Where more than half of the members seem unreachable, the fault is more likely
this node's own network: nobody is declared gone until some answer again."""


_OF_MEMBERS = frozenset({messages.GossipKind.PING, messages.GossipKind.ACK})
"""Kinds of messages that a node gets only from one that takes it for a member."""


def update_self(
    state: states.State,
    out: states.Effects,
    *,
    service: ids.ServiceName | None = None,
    slots: int | None = None,
    backend_started_ms: int | None = None,
    member_state: messages.MemberState | None = None,
    urgent: bool = True,
) -> None:
    """Tell the others of a change of this node; what is ``None`` stays.

    :param urgent: tell some members at once instead of with the next probes.
    """
    me = state.membership.self_member
    if me is None:
        return
    changed = msgspec.structs.replace(
        me,
        version=me.version + 1,
        service=me.service if service is None else service,
        slots=me.slots if slots is None else slots,
        backend_started_ms=me.backend_started_ms
        if backend_started_ms is None
        else backend_started_ms,
        state=me.state if member_state is None else member_state,
    )
    state.membership.self_member = changed
    member_table.update(state, changed, out)
    if urgent:
        push(state, out)


def push(state: states.State, out: states.Effects) -> None:
    """Tell some members at once what there is to tell.

    News that come thick are told together: when a zone of 525 members was lost,
    each of its departures would have been a push of its own.
    """
    membership = state.membership
    if state.now < membership.next_push:
        membership.push_pending = True
        return
    membership.next_push = state.now + PUSH_EVERY_MS
    membership.push_pending = False
    for node in member_table.random_members(state, URGENT_FANOUT):
        ping(state, node, out)


def probe(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    """Ping the next member of a shuffled round."""
    membership = state.membership
    if not membership.probe_order:
        membership.probe_order = [str(node) for node in member_table.reachable(state)]
        state.random.shuffle(membership.probe_order)
    while membership.probe_order:
        node = membership.probe_order.pop()
        member = membership.members.get(node)
        if member is not None and member.state is not messages.MemberState.GONE:
            ping(state, ids.NodeId(node), out, track=True)
            return


def check(
    state: states.State, now: ids.Milliseconds, out: states.Effects
) -> list[ids.NodeId]:
    """Move on unanswered probes and suspicions.

    :return: members that this node itself suspects from now on.
    """
    membership = state.membership
    suspected: list[ids.NodeId] = []
    for sequence, probed in list(membership.probes.items()):
        waited = now - probed.timeout_base
        if probed.for_sequence:
            if waited > SUSPECT_AFTER_MS:
                del membership.probes[sequence]
        elif waited > SUSPECT_AFTER_MS:
            del membership.probes[sequence]
            _suspect(state, probed.node, out)
            suspected.append(probed.node)
        elif waited > INDIRECT_AFTER_MS and not probed.indirect:
            probed.indirect = True
            _probe_again(state, sequence, probed.node, out)
    if membership.push_pending:
        push(state, out)
    if not _isolated(state):
        _declare_gone(state, now, out)
    member_table.prune_gone(state, now)
    return suspected


def on_gossip(
    state: states.State,
    sender: ids.NodeId,
    host: str,
    port: int,
    message: messages.Gossip,
    out: states.Effects,
) -> None:
    """Take in a membership message and answer it."""
    state.membership.last_datagram_at = state.now
    _tell_of_doubt(state, sender)
    kinds = messages.GossipKind
    listed = message.kind is kinds.SYNC_PAGE
    news = [
        member
        for member in message.members
        if _merge(state, sender, member, out, listed=listed)
    ]
    if message.kind is kinds.PING:
        _answer(state, kinds.ACK, message.sequence, host, port, out)
    elif message.kind is kinds.ACK:
        _on_ack(state, message, out)
    elif message.kind is kinds.PING_REQUEST:
        _on_ping_request(state, host, port, message, out)
    elif message.kind is kinds.SYNC_REQUEST:
        _send_page(state, host, port, message, out)
    elif message.kind is kinds.SYNC_PAGE and message.cursor:
        sync(state, host, port, message.cursor, out)
    urgent = any(member.state is messages.MemberState.LEAVING for member in news)
    if message.kind in _OF_MEMBERS:
        urgent |= quarantine_gossip.on_gossip(state, message.quarantine, out)
    if urgent:
        push(state, out)
    if sender not in state.membership.members and message.kind in _OF_MEMBERS:
        # A node that was restarted while the log was away hears from peers that it
        # does not know: their own records have long ceased to ride along.
        sync(state, host, port, "", out)
    revisions.on_peer_revision(
        state, sender, message.revision, message.config_digest, out
    )
    route_table.on_peer_version(state, sender, message.route_version, out)


def _tell_of_doubt(state: states.State, sender: ids.NodeId) -> None:
    """Let a sender that is held for suspect or gone hear of it, to refute it.

    While the sides of a parted network could not reach one another, all rumours were
    spent into the void; after the merge a suspicion would have stood for ever.
    """
    membership = state.membership
    if sender in membership.suspected or sender in membership.gone:
        membership.pending_updates.put(sender, member_table.transmission_count(state))


def _merge(
    state: states.State,
    sender: ids.NodeId,
    heard: messages.Member,
    out: states.Effects,
    *,
    listed: bool,
) -> bool:
    """Merge what a sender told of a member.

    :param listed: it told of all members.

    :return: whether it was news.
    """
    me = state.membership.self_member
    if heard.node == state.node and me is not None:
        return _hear_of_self(state, me, heard, out)
    known = state.membership.members.get(heard.node)
    if known is not None and member_table.precedence(heard) <= member_table.precedence(
        known
    ):
        return False
    if known is None and heard.state is messages.MemberState.GONE:
        return False
    if known is not None and _started_anew(known, heard):
        # Nothing that the old one told counts any more.
        _forget_upstream(state, heard.node)
    member_table.update(state, heard, out, source=sender, listed=listed)
    return True


def _started_anew(known: messages.Member, heard: messages.Member) -> bool:
    """Tell whether a member, or the backend server beside it, is another start."""
    if heard.incarnation > known.incarnation:
        return True
    before, now = known.backend_started_ms, heard.backend_started_ms
    return bool(before and now) and before != now


def _forget_upstream(state: states.State, node: ids.NodeId) -> None:
    known = state.upstreams.pop(node, None)
    if known is None:
        return
    # Attempts that are under way there still end.
    state.upstreams[node] = states.Upstream(
        node=node, own_level=states.NO_REPORTED_LEVEL, outstanding=known.outstanding
    )


def _hear_of_self(
    state: states.State,
    me: messages.Member,
    heard: messages.Member,
    out: states.Effects,
) -> bool:
    if heard.incarnation > me.incarnation:
        # The wall clock from which incarnations are taken was set back before this
        # start; keeping the lower number would leave this node out for good.
        operator_log.warn(
            out, "membership", f"A later incarnation of {me.node} was known."
        )
        state.incarnation = ids.Incarnation(heard.incarnation + 1)
        state.membership.self_member = msgspec.structs.replace(
            me, incarnation=state.incarnation
        )
        update_self(state, out)
        return False
    if member_table.precedence(heard) > member_table.precedence(me):
        version = max(me.version, heard.version)
        state.membership.self_member = msgspec.structs.replace(me, version=version)
        update_self(state, out, urgent=False)
    return False


def ping(
    state: states.State,
    node: ids.NodeId,
    out: states.Effects,
    *,
    track: bool = False,
) -> None:
    """Ping a member.

    :param track: miss its answer.
    """
    membership = state.membership
    membership.sequence += 1
    if track:
        membership.probes[membership.sequence] = states.Probe(
            node=node, timeout_base=state.now, sent_at=state.now
        )
    _ping(state, node, membership.sequence, out)


def _ping(
    state: states.State, node: ids.NodeId, sequence: int, out: states.Effects
) -> None:
    member = state.membership.members[node]
    message = _message(state, messages.GossipKind.PING, sequence)
    out.append(
        effects.SendGossip(host=member.host, port=member.gossip_port, message=message)
    )


def _gossip(
    state: states.State,
    kind: messages.GossipKind,
    sequence: int = 0,
    **riding: typing.Any,
) -> messages.Gossip:
    """Return a message with what every one tells of its sender.

    :param riding: further fields of the message.
    """
    return messages.Gossip(
        kind=kind,
        sequence=sequence,
        revision=state.revisions.revision,
        route_version=0 if state.routes is None else state.routes.version,
        log_epoch=state.log.highest,
        config_digest=revisions.config_digest(state),
        **riding,
    )


def _message(
    state: states.State, kind: messages.GossipKind, sequence: int
) -> messages.Gossip:
    return _gossip(
        state,
        kind,
        sequence,
        members=member_table.updates_to_send(state),
        quarantine=quarantine_gossip.outgoing(state),
        verified_age_ms=freshness.advertised_age_ms(state),
    )


def _answer(
    state: states.State,
    kind: messages.GossipKind,
    sequence: int,
    host: str,
    port: int,
    out: states.Effects,
) -> None:
    message = _message(state, kind, sequence)
    out.append(effects.SendGossip(host=host, port=port, message=message))


def _on_ack(state: states.State, message: messages.Gossip, out: states.Effects) -> None:
    probed = state.membership.probes.pop(message.sequence, None)
    if probed is None:
        return
    freshness.on_peer_age(state, probed.sent_at, message)
    if probed.for_sequence:
        _answer(
            state,
            messages.GossipKind.ACK,
            probed.for_sequence,
            probed.for_host,
            probed.for_port,
            out,
        )


def _on_ping_request(
    state: states.State,
    host: str,
    port: int,
    message: messages.Gossip,
    out: states.Effects,
) -> None:
    if message.target not in state.membership.members:
        return
    ping(state, ids.NodeId(message.target), out, track=True)
    probed = state.membership.probes[state.membership.sequence]
    probed.for_host = host
    probed.for_port = port
    probed.for_sequence = message.sequence


def _probe_again(
    state: states.State, sequence: int, node: ids.NodeId, out: states.Effects
) -> None:
    """Ping a member that has not answered once more, and through others: one lost
    datagram in ten must not make suspects of a tenth of all members."""
    _ping(state, node, sequence, out)
    helpers = [
        other
        for other in member_table.random_members(state, INDIRECT_PROBES + 1)
        if other != node
    ]
    for helper in helpers[:INDIRECT_PROBES]:
        member = state.membership.members[helper]
        message = _gossip(
            state,
            messages.GossipKind.PING_REQUEST,
            sequence,
            target=node,
        )
        out.append(
            effects.SendGossip(
                host=member.host, port=member.gossip_port, message=message
            )
        )


def _suspect(state: states.State, node: ids.NodeId, out: states.Effects) -> None:
    member = state.membership.members.get(node)
    if member is None or member.state is not messages.MemberState.ALIVE:
        if member is not None and member.state is messages.MemberState.LEAVING:
            member_table.set_state(state, member, messages.MemberState.GONE, out)
        return
    member_table.set_state(state, member, messages.MemberState.SUSPECT, out)


def _isolated(state: states.State) -> bool:
    membership = state.membership
    others = len(membership.members) - len(membership.gone) - 1
    return others > 2 and len(state.membership.suspected) > others * ISOLATED_SHARE


def _declare_gone(
    state: states.State, now: ids.Milliseconds, out: states.Effects
) -> None:
    for node, since in list(state.membership.suspected.items()):
        if now - since < GONE_AFTER_MS:
            continue
        member = state.membership.members[node]
        member_table.set_state(state, member, messages.MemberState.GONE, out)


def sync(
    state: states.State, host: str, port: int, cursor: str, out: states.Effects
) -> None:
    """Ask a node for the members that it knows, by pages, and tell it of this one."""
    me = state.membership.self_member
    message = _gossip(
        state,
        messages.GossipKind.SYNC_REQUEST,
        members=(me,) if me is not None else (),
        cursor=cursor,
    )
    out.append(effects.SendGossip(host=host, port=port, message=message))


def _send_page(
    state: states.State,
    host: str,
    port: int,
    request: messages.Gossip,
    out: states.Effects,
) -> None:
    members = state.membership.members
    names = sorted(name for name in members if name > request.cursor)
    page = names[:SYNC_PAGE]
    cursor = page[-1] if len(names) > SYNC_PAGE else ""
    message = _gossip(
        state,
        messages.GossipKind.SYNC_PAGE,
        members=tuple(members[name] for name in page),
        cursor=cursor,
    )
    out.append(effects.SendGossip(host=host, port=port, message=message))
