"""What travels between fake nodes: calls and answers, questions, membership."""

import collections.abc
import typing

from gingerturn.internal import ids
from gingerturn.internal.core import effects, events, messages
from gingerturn_fakes import backends, parts

if typing.TYPE_CHECKING:
    from gingerturn_fakes import world as worlds

ZONE_MS = 1.0
"""One way between availability zones, as the brief gives it."""


def open_attempt(
    world: "worlds.World", node: parts.FakeNode, effect: effects.OpenAttempt
) -> None:
    """Carry a call to its home node, or tell that it cannot be reached."""
    home = world.nodes[effect.node]
    if not home.alive or (node.name, home.name) in world.cut:
        reached = home.alive
        event = events.AttemptLost(
            now=world.now, attempt=effect.attempt, reached=reached
        )
        world.at(
            backends.LOCAL_MS,
            lambda: world.apply_to(node, parts.moved(event, world.now)),
        )
        return
    hosted = world.next_number()
    request = node.requests.get(effect.call, ("GET", "/"))

    world.homes[(node.name, effect.attempt)] = (home, hosted)

    def arrive() -> None:
        home.terms[hosted] = (node.name, effect.attempt, effect.metadata)
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

    _to(world, node, home, arrive)


def cancel_attempt(
    world: "worlds.World", node: parts.FakeNode, effect: effects.CancelAttempt
) -> None:
    """Tell a home node that its answer is not wanted any more."""
    known = world.homes.pop((node.name, effect.attempt), None)
    if known is None:
        return
    home, hosted = known

    def arrive() -> None:
        world.apply_to(
            home,
            events.CancelReceived(now=world.now, hosted=ids.HostedId(hosted)),
        )

    _to(world, node, home, arrive)


def send_answer(
    world: "worlds.World", node: parts.FakeNode, effect: effects.SendAnswer
) -> None:
    """Carry an answer back to its entry node."""
    _answer_back(
        world,
        node,
        effect.hosted,
        effect.tokens,
        effect.report,
        child_failed=effect.child_failed,
    )


def send_kept(
    world: "worlds.World", node: parts.FakeNode, effect: effects.SendStoredAnswer
) -> None:
    """Carry an answer that was kept for repeats back."""
    _answer_back(world, node, effect.hosted, effect.tokens, effect.report)


def _answer_back(
    world: "worlds.World",
    node: parts.FakeNode,
    hosted: int,
    tokens: int,
    report: messages.LoadReport,
    *,
    child_failed: bool = False,
) -> None:
    known = node.terms.pop(hosted, None)
    if known is None:
        return
    sender, attempt, _ = known
    entry = world.nodes[sender]
    world.homes.pop((sender, attempt), None)
    status = node.statuses.pop(hosted, 200)

    def arrive() -> None:
        entry.state_status[attempt] = status
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

    _to(world, node, entry, arrive)


def send_refusal(
    world: "worlds.World", node: parts.FakeNode, effect: effects.SendRefusal
) -> None:
    """Carry a refusal back to its entry node."""
    known = node.terms.pop(effect.hosted, None)
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

    _to(world, node, entry, arrive)


def ask_level(
    world: "worlds.World", node: parts.FakeNode, effect: effects.RequestLevel
) -> None:
    """Carry a question for what is shed at present."""
    home = world.nodes[effect.node]
    question = world.next_number()
    world.questions[question] = (node, effect.kind)

    def arrive() -> None:
        world.apply_to(
            home,
            events.LevelRequested(now=world.now, request=question, kind=effect.kind),
        )

    _to(world, node, home, arrive)


def tell_level(
    world: "worlds.World", node: parts.FakeNode, effect: effects.ReportLevel
) -> None:
    """Carry the answer to that question."""
    asker, kind = world.questions.pop(effect.request)

    def arrive() -> None:
        told = events.LevelReported(
            now=world.now,
            node=ids.NodeId(node.name),
            kind=kind,
            report=effect.report,
        )
        world.apply_to(asker, told)

    _to(world, node, asker, arrive)


def gossip(
    world: "worlds.World", node: parts.FakeNode, effect: effects.SendGossip
) -> None:
    """Carry a membership message, or lose it."""
    if not world.gossip_on:
        _gossip_quietly(world, node, effect)
        return
    name = world.addresses.get(effect.port)
    if name is None or world.random.random() < world.drop_gossip:
        return
    receiver = world.nodes[name]
    port = node.state.membership.self_member.gossip_port
    _to(
        world,
        node,
        receiver,
        lambda: world.apply_to(
            receiver,
            events.DatagramReceived(
                now=world.now,
                sender=ids.NodeId(node.name),
                host="127.0.0.1",
                port=port,
                message=effect.message,
            ),
        ),
    )


def _gossip_quietly(
    world: "worlds.World", node: parts.FakeNode, effect: effects.SendGossip
) -> None:
    """Acknowledge pings without the other's reducer, while membership is not
    what a run is about: it saves half of the run's time."""
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
        backends.LOCAL_MS, lambda: world.apply_to(node, parts.moved(event, world.now))
    )


def fetch_routes(
    world: "worlds.World", node: parts.FakeNode, effect: effects.FetchRoutes
) -> None:
    """Hand a peer's route table over."""
    peer = world.nodes[effect.node]

    def arrive() -> None:
        index = peer.state.routes
        if index is not None and peer.alive:
            world.apply_to(
                node, events.RoutesReceived(now=world.now, table=index.table)
            )

    _to(world, peer, node, arrive)


def _to(
    world: "worlds.World",
    sender: parts.FakeNode,
    receiver: parts.FakeNode,
    action: collections.abc.Callable[[], None],
) -> None:
    """Deliver between nodes, unless either was replaced meanwhile."""
    before = (sender.incarnation, receiver.incarnation)

    def deliver() -> None:
        if (sender.incarnation, receiver.incarnation) == before:
            action()

    if (sender.name, receiver.name) not in world.cut:
        world.at(_delay(world, sender, receiver), deliver)


def _delay(world: "worlds.World", one: parts.FakeNode, other: parts.FakeNode) -> float:
    return backends.LOCAL_MS if one.zone == other.zone else ZONE_MS
