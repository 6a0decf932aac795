"""Messages between fake nodes: calls, answers, load reports, gossip and routes."""

import collections.abc
import typing

from gingerturn.internal import ids
from gingerturn.internal.core import effects, events, messages
from gingerturn.internal.shell import links
from gingerturn_fakes import backends, parts

if typing.TYPE_CHECKING:
    from gingerturn_fakes import world as worlds

ZONE_MS = 1.0
"""One-way delay between availability zones."""

RECEIVE_BUFFER = 256
"""Datagrams that a socket holds until they are handled."""

IDLE_LOG_CONNECTIONS = 2
"""Idle connections to the log that a node keeps."""


def open_attempt(
    world: "worlds.World", node: parts.FakeNode, effect: effects.OpenAttempt
) -> None:
    """Deliver a call to its home node, or report that it cannot be reached."""
    home = world.nodes[effect.node]
    if not home.alive or (node.name, home.name) in world.cut:
        reached = home.alive
        event = events.AttemptLost(
            now=world.now, attempt=effect.attempt, reached=reached
        )
        world.at(
            backends.LOCAL_MS,
            lambda: world.apply_to(node, parts.with_time(event, world.now)),
        )
        return
    hosted = world.next_number()
    request = node.requests.get(effect.call, ("GET", "/"))

    world.homes[(node.name, effect.attempt)] = (home, hosted)

    def arrive() -> None:
        home.hosted_calls[hosted] = (node.name, effect.attempt, effect.metadata)
        home.requests[-hosted] = request
        world.apply_to(
            home,
            events.OpenReceived(
                now=world.now,
                hosted=ids.HostedId(hosted),
                sender=ids.NodeId(node.name),
                metadata=effect.metadata,
            ),
        )

    _deliver(world, node, home, arrive)


def cancel_attempt(
    world: "worlds.World", node: parts.FakeNode, effect: effects.CancelAttempt
) -> None:
    """Notify a home node that its answer is no longer wanted."""
    known = world.homes.pop((node.name, effect.attempt), None)
    if known is None:
        return
    home, hosted = known

    def arrive() -> None:
        world.apply_to(
            home,
            events.CancelReceived(now=world.now, hosted=ids.HostedId(hosted)),
        )

    _deliver(world, node, home, arrive)


def send_answer(
    world: "worlds.World", node: parts.FakeNode, effect: effects.SendAnswer
) -> None:
    """Deliver an answer to its entry node."""
    _return_answer(
        world,
        node,
        effect.hosted,
        effect.tokens,
        effect.report,
        child_failed=effect.child_failed,
    )


def send_stored_answer(
    world: "worlds.World", node: parts.FakeNode, effect: effects.SendStoredAnswer
) -> None:
    """Deliver a stored answer to its entry node."""
    _return_answer(world, node, effect.hosted, effect.tokens, effect.report)


def _return_answer(
    world: "worlds.World",
    node: parts.FakeNode,
    hosted: int,
    tokens: int,
    report: messages.LoadReport,
    *,
    child_failed: bool = False,
) -> None:
    known = node.hosted_calls.pop(hosted, None)
    if known is None:
        return
    sender, attempt, _ = known
    entry = world.nodes[sender]
    world.homes.pop((sender, attempt), None)
    status = node.statuses.pop(hosted, 200)
    backend_report = node.reports.pop(hosted, None)

    def arrive() -> None:
        entry.attempt_statuses[attempt] = status
        if backend_report is not None:
            entry.attempt_reports[attempt] = backend_report
        world.apply_to(
            entry,
            events.AttemptAnswered(
                now=world.now,
                attempt=ids.AttemptId(attempt),
                status=status,
                tokens=tokens,
                report=report,
                child_failed=child_failed,
            ),
        )

    _deliver(world, node, entry, arrive)


def send_refusal(
    world: "worlds.World", node: parts.FakeNode, effect: effects.SendRefusal
) -> None:
    """Deliver a refusal to its entry node."""
    known = node.hosted_calls.pop(effect.hosted, None)
    if known is None:
        return
    sender, attempt, _ = known
    entry = world.nodes[sender]
    world.homes.pop((sender, attempt), None)

    def arrive() -> None:
        world.apply_to(
            entry,
            events.AttemptRefused(
                now=world.now,
                attempt=ids.AttemptId(attempt),
                refusal=effect.refusal,
                tokens=effect.tokens,
                report=effect.report,
            ),
        )

    _deliver(world, node, entry, arrive)


def request_level(
    world: "worlds.World", node: parts.FakeNode, effect: effects.RequestLevel
) -> None:
    """Deliver a request for the reported level of a kind."""
    home = world.nodes[effect.node]
    request = world.next_number()
    world.level_requests[request] = (node, effect.kind)

    def arrive() -> None:
        world.apply_to(
            home,
            events.LevelRequested(now=world.now, request=request, kind=effect.kind),
        )

    _deliver(world, node, home, arrive)


def report_level(
    world: "worlds.World", node: parts.FakeNode, effect: effects.ReportLevel
) -> None:
    """Deliver the load report that answers a level request."""
    requester, kind = world.level_requests.pop(effect.request)

    def arrive() -> None:
        event = events.LevelReported(
            now=world.now,
            node=ids.NodeId(node.name),
            kind=kind,
            report=effect.report,
        )
        world.apply_to(requester, event)

    _deliver(world, node, requester, arrive)


def gossip(
    world: "worlds.World", node: parts.FakeNode, effect: effects.SendGossip
) -> None:
    """Deliver a membership message, or drop it."""
    if not world.gossip_on:
        _acknowledge_ping(world, node, effect)
        return
    name = world.addresses.get(effect.port)
    if name is None or world.random.random() < world.drop_gossip:
        return
    receiver = world.nodes[name]
    port = node.state.membership.self_member.gossip_port

    def handle() -> None:
        event = events.DatagramReceived(
            now=world.now,
            sender=ids.NodeId(node.name),
            host="127.0.0.1",
            port=port,
            message=effect.message,
        )
        world.apply_to(receiver, event)

    _deliver(
        world, node, receiver, lambda: _receive(world, receiver, effect.message, handle)
    )


def _receive(
    world: "worlds.World",
    node: parts.FakeNode,
    message: messages.Gossip,
    handle: collections.abc.Callable[[], None],
) -> None:
    """Handle a datagram once all earlier ones are handled, or drop it."""
    cost = world.datagram_cost(message)
    if cost <= 0.0:
        handle()
        return
    if node.unread_datagrams >= RECEIVE_BUFFER:
        return
    node.unread_datagrams += 1
    node.datagram_ms += cost
    node.busy_until = max(world.now, node.busy_until) + cost
    incarnation = node.incarnation

    def finish() -> None:
        if node.incarnation == incarnation:
            node.unread_datagrams -= 1
            handle()

    world.at(node.busy_until - world.now, finish)


def _acknowledge_ping(
    world: "worlds.World", node: parts.FakeNode, effect: effects.SendGossip
) -> None:
    """Acknowledge a ping without running the receiver's reducer.

    Runs that do not examine membership take half the time with it.
    """
    if effect.message.kind is not messages.GossipKind.PING:
        return
    name = world.addresses.get(effect.port)
    if name is None or not world.nodes[name].alive:
        return
    message = messages.Gossip(
        kind=messages.GossipKind.ACK,
        sequence=effect.message.sequence,
        revision=ids.Revision(0),
    )
    event = events.DatagramReceived(
        now=world.now,
        sender=ids.NodeId(name),
        host="127.0.0.1",
        port=effect.port,
        message=message,
    )
    world.at(
        backends.LOCAL_MS,
        lambda: world.apply_to(node, parts.with_time(event, world.now)),
    )


def fetch_routes(
    world: "worlds.World", node: parts.FakeNode, effect: effects.FetchRoutes
) -> None:
    """Deliver a peer's route table; later if the connection to it was silent."""
    peer = world.nodes[effect.node]
    if peer.name not in node.silent_links:
        _request_routes(world, node, peer)
        return
    node.silent_links.discard(peer.name)
    incarnation = node.incarnation

    def resend() -> None:
        if node.incarnation == incarnation:
            _request_routes(world, node, peer)

    world.at(1_000.0 * links.SILENCE_S, resend)


def _request_routes(
    world: "worlds.World", node: parts.FakeNode, peer: parts.FakeNode
) -> None:
    if (node.name, peer.name) in world.cut:
        return
    if world.now < peer.paused_until:
        # The request waits in the socket until the peer resumes.
        resumes_in = peer.paused_until - world.now
        world.at(resumes_in, lambda: _request_routes(world, node, peer))
        return

    def arrive() -> None:
        index = peer.state.routes
        if index is not None and peer.alive:
            event = events.RoutesReceived(
                now=world.now, table=index.table, source=ids.NodeId(peer.name)
            )
            world.apply_to(node, event)

    _deliver(world, peer, node, arrive)


def silence(world: "worlds.World") -> None:
    """Let all open connections of all nodes fall silent for good; new ones work."""
    for node in world.nodes.values():
        node.connection_silences += 1
        node.stale_log_connections = IDLE_LOG_CONNECTIONS
        node.silent_links = set(world.nodes)


def _deliver(
    world: "worlds.World",
    sender: parts.FakeNode,
    receiver: parts.FakeNode,
    action: collections.abc.Callable[[], None],
) -> None:
    """Deliver between nodes, unless either was restarted meanwhile."""
    before = (sender.incarnation, receiver.incarnation)

    def deliver() -> None:
        if (sender.incarnation, receiver.incarnation) == before:
            action()

    if (sender.name, receiver.name) not in world.cut:
        world.at(_delay(world, sender, receiver), deliver)


def _delay(world: "worlds.World", one: parts.FakeNode, other: parts.FakeNode) -> float:
    return backends.LOCAL_MS if one.zone == other.zone else ZONE_MS
