"""Group membership and failure detection, after SWIM (Das et al., 2002).

In each period a node pings one member; member updates are piggybacked on pings and
acknowledgements. A member that answers neither direct nor indirect probes is suspected,
and declared gone unless it refutes the suspicion. The bandwidth of a node does not
depend on the number of members: one probe a period, with a bounded number of updates.
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

PROBE_INTERVAL_MS = 500.0
CHECK_INTERVAL_MS = 100.0
INDIRECT_PROBE_AFTER_MS = 300.0
SUSPECT_AFTER_MS = 700.0
"""Bounds how long calls wait at a frozen node before other nodes avoid it."""

GONE_AFTER_MS = 4_000.0
INDIRECT_PROBES = 2
SYNC_PAGE_SIZE = 8
MIN_PUSH_INTERVAL_MS = 250.0
PUSH_FANOUT = 4
"""Members that are pinged at once on an urgent change. Each forwards it to as many, so
that a few rounds reach all members even if a tenth of the datagrams is lost."""

ISOLATION_THRESHOLD = 0.5
"""Above this share of suspected members this node is taken to be cut off itself, and
declares no member gone until some of them answer again."""

_MEMBER_KINDS = frozenset({messages.GossipKind.PING, messages.GossipKind.ACK})
"""Kinds of messages that a node sends only to its members."""


def update_self(
    state: states.State,
    out: states.Effects,
    *,
    service: ids.ServiceName | None = None,
    slots: int | None = None,
    backend_started_ms: int | None = None,
    member_state: messages.MemberState | None = None,
    room_ms: int | None = None,
    departed: tuple[messages.DepartedStart, ...] | None = None,
    urgent: bool = True,
) -> None:
    """Advertise a change of this node; fields that are ``None`` stay.

    :param departed: the starts of backend servers that left last.
    :param urgent: notify some members at once instead of with the next probes.
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
        room_ms=me.room_ms if room_ms is None else room_ms,
        departed=me.departed if departed is None else departed,
    )
    state.membership.self_member = changed
    member_table.update(state, changed, out)
    if urgent:
        push(state, out)


def push(state: states.State, out: states.Effects) -> None:
    """Send pending updates to some random members at once.

    Pushes are rate limited; updates that arrive in between are sent with the next one.
    Without that, the loss of a zone of 525 members would cause a push for each of them.
    """
    membership = state.membership
    if state.now < membership.next_push:
        membership.push_pending = True
        return
    membership.next_push = state.now + MIN_PUSH_INTERVAL_MS
    membership.push_pending = False
    for node in member_table.random_members(state, PUSH_FANOUT):
        ping(state, node, out)


def probe(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    """Ping the next member of the current round, which visits all in random order."""
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
    """Check the timeouts of probes and suspicions.

    :return: members that became suspect by the probes of this node.
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
        elif waited > INDIRECT_PROBE_AFTER_MS and not probed.indirect:
            probed.indirect = True
            _probe_indirectly(state, sequence, probed.node, out)
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
    """Handle a membership message."""
    state.membership.last_datagram_at = state.now
    _queue_suspicion(state, sender)
    kinds = messages.GossipKind
    from_sync = message.kind is kinds.SYNC_PAGE
    updated = [
        member
        for member in message.members
        if _merge(state, sender, member, out, from_sync=from_sync)
    ]
    if message.kind is kinds.PING:
        without_updates = message.without_updates
        answer = _message(
            state, kinds.ACK, message.sequence, without_updates=without_updates
        )
        out.append(effects.SendGossip(host=host, port=port, message=answer))
    elif message.kind is kinds.ACK:
        _on_ack(state, message, out)
    elif message.kind is kinds.PING_REQUEST:
        _on_ping_request(state, host, port, message, out)
    elif message.kind is kinds.SYNC_REQUEST:
        _send_page(state, host, port, message, out)
    elif message.kind is kinds.SYNC_PAGE and message.cursor:
        sync(state, host, port, message.cursor, out)
    elif message.kind is kinds.SYNC_PAGE and sender != state.node:
        state.membership.synced = True
    urgent = any(member.state is messages.MemberState.LEAVING for member in updated)
    if message.kind in _MEMBER_KINDS:
        urgent |= quarantine_gossip.on_gossip(state, message.quarantine, out)
    if urgent:
        push(state, out)
    if sender not in state.membership.members and message.kind in _MEMBER_KINDS:
        # After a restart without the log, peers are unknown, and they no longer gossip
        # their own records.
        sync(state, host, port, "", out)
    revisions.on_peer_revision(
        state, sender, message.revision, message.config_digest, out
    )
    route_table.on_peer_version(state, sender, message.route_version, out)


def _queue_suspicion(state: states.State, sender: ids.NodeId) -> None:
    """Queue the update on a suspect or gone sender again, so that it can refute it.

    During a partition all transmissions of an update may be lost; without this a
    suspicion would remain after the partition heals.
    """
    membership = state.membership
    if sender in membership.suspected or sender in membership.gone:
        membership.pending_updates.put(sender, member_table.transmission_count(state))


def _merge(
    state: states.State,
    sender: ids.NodeId,
    received: messages.Member,
    out: states.Effects,
    *,
    from_sync: bool,
) -> bool:
    """Merge an update about a member.

    :param from_sync: the update is part of a full sync.

    :return: whether it changed the member table.
    """
    me = state.membership.self_member
    if received.node == state.node and me is not None:
        return _refute(state, me, received, out)
    known = state.membership.members.get(received.node)
    if known is not None and member_table.precedence(
        received
    ) <= member_table.precedence(known):
        return False
    if known is None and received.state is messages.MemberState.GONE:
        return False
    if known is not None:
        received = _with_departures(received, known)
    if known is not None and _has_restarted(known, received):
        # Reports from before the restart are obsolete.
        _reset_upstream(
            state, received.node, same_backend=not _backend_restarted(known, received)
        )
    member_table.update(state, received, out, source=sender, from_sync=from_sync)
    return True


def _with_departures(
    received: messages.Member, known: messages.Member
) -> messages.Member:
    """Return an update with the departures that are known of the member: one that has
    restarted learns of them from the others."""
    lacking = [s for s in known.departed if s not in received.departed]
    if not lacking:
        return received
    departed = (*lacking, *received.departed)[-messages.MAX_DEPARTED :]
    return msgspec.structs.replace(received, departed=departed)


def _has_restarted(known: messages.Member, received: messages.Member) -> bool:
    """Whether a member, or the backend server beside it, was restarted."""
    return received.incarnation > known.incarnation or _backend_restarted(
        known, received
    )


def _backend_restarted(known: messages.Member, received: messages.Member) -> bool:
    before, now = known.backend_started_ms, received.backend_started_ms
    return bool(before and now) and before != now


def _reset_upstream(
    state: states.State, node: ids.NodeId, *, same_backend: bool
) -> None:
    """Forget what an upstream reported, except on its backend server.

    :param same_backend: the backend server may have outlived the node beside it.
    """
    known = state.upstreams.pop(node, None)
    if known is None:
        return
    # Attempts in flight still complete and are subtracted.
    # The status names its instance, which may outlive the node beside it.
    state.upstreams[node] = states.Upstream(
        node=node,
        own_level=states.NO_REPORTED_LEVEL,
        outstanding=known.outstanding,
        status=known.status,
        pace=known.pace if same_backend else 0,
        pace_reported_at=known.pace_reported_at,
    )


def _refute(
    state: states.State,
    me: messages.Member,
    received: messages.Member,
    out: states.Effects,
) -> bool:
    if received.incarnation > me.incarnation:
        # Incarnations are taken from the wall clock, which was set back before this
        # start. With the lower incarnation other members would ignore this node.
        operator_log.warn(
            out,
            "membership",
            f"Peers know the later incarnation {received.incarnation} of {me.node}.",
        )
        state.incarnation = ids.Incarnation(received.incarnation + 1)
        state.membership.self_member = msgspec.structs.replace(
            me, incarnation=state.incarnation
        )
        update_self(state, out)
        return False
    if member_table.precedence(received) > member_table.precedence(me):
        version = max(me.version, received.version)
        state.membership.self_member = msgspec.structs.replace(me, version=version)
        update_self(state, out, urgent=False)
    return False


def ping(
    state: states.State,
    node: ids.NodeId,
    out: states.Effects,
    *,
    track: bool = False,
    without_updates: bool = False,
) -> None:
    """Ping a member.

    :param track: suspect the member unless it answers in time.
    :param without_updates: neither the ping nor its answer carries updates. For members
        that are pinged often: an update is sent a limited number of times and would
        reach few others.
    """
    membership = state.membership
    membership.sequence += 1
    if track:
        membership.probes[membership.sequence] = states.Probe(
            node=node, timeout_base=state.now, sent_at=state.now
        )
    _ping(state, node, membership.sequence, out, without_updates=without_updates)


def _ping(
    state: states.State,
    node: ids.NodeId,
    sequence: int,
    out: states.Effects,
    *,
    without_updates: bool = False,
) -> None:
    member = state.membership.members[node]
    kind = messages.GossipKind.PING
    message = _message(state, kind, sequence, without_updates=without_updates)
    out.append(
        effects.SendGossip(host=member.host, port=member.gossip_port, message=message)
    )


def _gossip(
    state: states.State,
    kind: messages.GossipKind,
    sequence: int = 0,
    **fields: typing.Any,
) -> messages.Gossip:
    """Return a message with the fields that every message carries.

    :param fields: further fields of the message.
    """
    return messages.Gossip(
        kind=kind,
        sequence=sequence,
        revision=state.revisions.revision,
        route_version=0 if state.routes is None else state.routes.version,
        log_epoch=state.log.highest,
        config_digest=revisions.config_digest(state),
        read_age_ms=freshness.advertised_read_age_ms(state),
        **fields,
    )


def _message(
    state: states.State,
    kind: messages.GossipKind,
    sequence: int,
    *,
    without_updates: bool = False,
) -> messages.Gossip:
    return _gossip(
        state,
        kind,
        sequence,
        members=() if without_updates else member_table.updates_to_send(state),
        quarantine=quarantine_gossip.without_updates(state)
        if without_updates
        else quarantine_gossip.outgoing(state),
        verified_age_ms=freshness.advertised_age_ms(state),
        without_updates=without_updates,
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


def _probe_indirectly(
    state: states.State, sequence: int, node: ids.NodeId, out: states.Effects
) -> None:
    """Repeat an unanswered ping, directly and through other members, so that a lost
    datagram alone does not raise a suspicion."""
    _ping(state, node, sequence, out)
    relays = [
        other
        for other in member_table.random_members(state, INDIRECT_PROBES + 1)
        if other != node
    ]
    for relay in relays[:INDIRECT_PROBES]:
        member = state.membership.members[relay]
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
    return others > 2 and len(state.membership.suspected) > others * ISOLATION_THRESHOLD


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
    """Request a page of the members that a node knows, and advertise this node."""
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
    page = names[:SYNC_PAGE_SIZE]
    cursor = page[-1] if len(names) > SYNC_PAGE_SIZE else ""
    message = _gossip(
        state,
        messages.GossipKind.SYNC_PAGE,
        members=tuple(members[name] for name in page),
        cursor=cursor,
    )
    out.append(effects.SendGossip(host=host, port=port, message=message))
