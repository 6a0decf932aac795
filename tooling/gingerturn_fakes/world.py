"""The fake world: nodes, backend servers, callers and the log on one clock."""

import collections
import collections.abc
import heapq
import math
import random
import typing

from gingerturn import configuration, routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    messages,
    reducer,
    streams,
)
from gingerturn_fakes import backends, fake_log, parts

START = 1_800_000_000_000.0
ZONE_MS = 1.0
"""One way between availability zones, as the brief gives it."""


class World:
    """All of it, on one clock.

    :param seed: seeds every random choice.
    :param services: the services of the graph.
    :param documents: the configuration in force from the start.
    :param caller_ms: one way between callers and nodes.
    :param table: callers are served by this route table; then the log keeps keys.
    """

    def __init__(
        self,
        *,
        seed: int,
        services: list[parts.ServiceSpec],
        documents: dict[str, str],
        zones: list[str],
        caller_ms: float = 8.0,
        table: routes.RouteTable | None = None,
    ) -> None:
        self.now = START
        self.random = random.Random(seed)
        self.services = {spec.name: spec for spec in services}
        self.configuration = configuration.Configuration(documents)
        self.log = fake_log.FakeLog()
        self._routed = table is not None
        if table is not None:
            record = messages.encode_record(table)
            self.log.put(streams.ROUTES, "table", record)
        self.nodes: dict[str, parts.FakeNode] = {}
        self.caller_ms = caller_ms
        self.on_root_end: collections.abc.Callable[[parts.Root], None] = lambda root: (
            None
        )
        self.on_execution: collections.abc.Callable[
            [parts.FakeNode, parts.Work], None
        ] = lambda node, work: None
        self.on_work_end: collections.abc.Callable[
            [parts.FakeNode, parts.Work, float], None
        ] = lambda node, work, elapsed: None
        self.on_arrival: collections.abc.Callable[[parts.Root, int | None], None] = (
            lambda root, hash_: None
        )
        self.on_effect: collections.abc.Callable[
            [parts.FakeNode, effects.Effect], None
        ] = lambda node, effect: None
        self.cut: set[tuple[str, str]] = set()
        self.drop_gossip = 0.0
        self.gossip_on = False
        self._documents = documents
        self._zones = zones
        self._queue: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self._sequence = 0
        self._numbers = 0
        self._addresses: dict[int, str] = {}
        self._questions: dict[int, tuple[parts.FakeNode, ids.KindName]] = {}
        self._homes: dict[tuple[str, int], tuple[parts.FakeNode, int]] = {}
        for spec in services:
            for index in range(spec.upstreams):
                zone = zones[index % len(zones)]
                self.add_node(f"{spec.name}-{index + 1}", spec, zone)
        self._introduce()

    def add_node(self, name: str, spec: parts.ServiceSpec, zone: str) -> parts.FakeNode:
        """Add a node and the backend server beside it."""
        port = 10_000 + len(self._addresses)
        self._addresses[port] = name
        node = parts.FakeNode(
            name=name, zone=zone, state=None, backend=parts.FakeBackend(spec)
        )
        self.nodes[name] = node
        self._boot(node, port)
        return node

    def _boot(self, node: parts.FakeNode, port: int) -> None:
        started = events.Started(
            now=self.now,
            seed=self.random.getrandbits(48),
            node=ids.NodeId(node.name),
            incarnation=ids.Incarnation(int(self.now)),
            host="127.0.0.1",
            peers_port=port,
            gossip_port=port,
            zone=node.zone,
            region="r",
            decisions=1024,
            routed=self._routed,
            keyed_log=self._routed,
        )
        node.state = reducer.new_state(started)
        node.state.configuration = self.configuration
        node.state.revisions.documents = dict(self._documents)
        node.tick_at = math.inf
        self.apply_to(node, started)
        self._announce(node)
        self._schedule_tick(node)

    def _announce(self, node: parts.FakeNode) -> None:
        spec = node.backend.spec
        self.apply_to(
            node,
            events.BackendAnnounced(
                now=self.now,
                service=ids.ServiceName(spec.name),
                host="127.0.0.1",
                port=1,
                slots=spec.slots,
                connections=spec.slots * 7,
                ttl_ms=1e12,
            ),
        )

    def _introduce(self) -> None:
        """Let every node know every other: membership has tests of its own."""
        members = tuple(n.state.membership.me for n in self.nodes.values())
        for node in self.nodes.values():
            message = messages.Gossip(
                kind=messages.GossipKind.ACK,
                sequence=0,
                revision=ids.Revision(0),
                members=members,
            )
            self.apply_to(
                node,
                events.DatagramReceived(
                    now=self.now,
                    sender=ids.NodeId("seed"),
                    host="127.0.0.1",
                    port=1,
                    message=message,
                ),
            )

    # Time.

    def at(self, delay: float, action: collections.abc.Callable[[], None]) -> None:
        """Do something after a delay in ms."""
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + delay, self._sequence, action))

    def run(self, duration: float) -> None:
        """Let time pass."""
        end = self.now + duration
        while self._queue and self._queue[0][0] <= end:
            when, _, action = heapq.heappop(self._queue)
            self.now = when
            action()
        self.now = end

    # Callers.

    def send(
        self, root: parts.Root, *, entry: str | None = None, patience: float = 0.0
    ) -> None:
        """Send a whole request, through a random entry if none is named.

        :param patience: the caller goes away after this time; 0 for never.
        """
        # Callers notice an entry that does not answer, and use another.
        alive = [
            n for n in self.nodes.values() if n.alive and self.now >= n.paused_until
        ]
        node = self.nodes[entry] if entry else self.random.choice(alive)
        root.tries += 1
        self.at(self.caller_ms, lambda: self._arrive(node, root, patience))

    def _arrive(self, node: parts.FakeNode, root: parts.Root, patience: float) -> None:
        if not node.alive:
            # No process listens there: the connection itself is refused.
            self._answer_root(root, "refused", 0.0)
            return
        call = self.next_number()
        node.callers[call] = root
        if patience:
            self.at(patience, lambda: self._go_away(node, call, root))
        self.call(
            node,
            call,
            root.kind.service,
            root.kind.method,
            root.kind.path,
            f"{root.id:016x}",
            root.key,
            sending=root.tries,
            holder=root.holder,
        )
        accepted = node.state.calls.get(ids.CallId(call))
        self.on_arrival(root, None if accepted is None else accepted.root)

    def _go_away(self, node: parts.FakeNode, call: int, root: parts.Root) -> None:
        if node.callers.pop(call, None) is None:
            return
        node.requests.pop(call, None)
        self.apply_to(node, events.CallerGone(now=self.now, call=ids.CallId(call)))
        self._answer_root(root, "gone", 0.0)

    def call(
        self,
        node: parts.FakeNode,
        call: int,
        service: str,
        method: str,
        path: str,
        span: str,
        key: str = "",
        sending: int = 0,
        holder: str = "",
    ) -> None:
        """Let a caller, or the backend server beside a node, call a service."""
        node.requests[call] = (method, path)
        self.apply_to(
            node,
            events.CallArrived(
                now=self.now,
                call=ids.CallId(call),
                service=ids.ServiceName(service),
                method=method,
                path=path,
                trace=f"{call:032x}",
                span=ids.SpanId(span),
                key=key,
                sending=sending,
                holder=holder,
            ),
        )

    def _answer_root(self, root: parts.Root, answer: str, retry_after: float) -> None:
        root.answer = answer
        root.retry_after = retry_after
        root.answered = self.now
        self.on_root_end(root)

    def _end_call(
        self,
        node: parts.FakeNode,
        call: int,
        status: int,
        answer: str,
        retry_after: float,
    ) -> None:
        node.requests.pop(call, None)
        waiting = node.callers.pop(call, None)
        if isinstance(waiting, parts.Root):
            self.at(
                self.caller_ms, lambda: self._answer_root(waiting, answer, retry_after)
            )
        elif isinstance(waiting, parts.Work):
            self.at(
                backends.LOCAL_MS,
                lambda: backends.child_ended(self, node, waiting, status),
            )

    # Faults.

    def kill(self, name: str) -> None:
        """Kill a node and its backend server."""
        node = self.nodes[name]
        node.alive = False
        node.incarnation += 1
        for call in list(node.callers):
            self._end_call(node, call, 502, "lost", 0.0)
        node.works.clear()
        node.backend.running = 0
        node.backend.waiting.clear()
        for other in self.nodes.values():
            if other.alive:
                self._lose_attempts(other, name)
                self._lose_hosted(other, name)

    def restart(self, name: str) -> None:
        """Start a killed node again, with nothing kept."""
        node = self.nodes[name]
        node.alive = True
        node.terms.clear()
        node.kept.clear()
        port = next(p for p, n in self._addresses.items() if n == name)
        self._boot(node, port)
        self._introduce()

    def pause(self, name: str, duration: float) -> None:
        """Freeze a node's process; what reaches it is handled when it wakes."""
        node = self.nodes[name]
        node.paused_until = self.now + duration
        self.at(duration, lambda: self._wake(node))

    def _wake(self, node: parts.FakeNode) -> None:
        held, node.held = node.held, []
        for event in held:
            # What was in the sockets is read on waking, at the time of waking.
            self.apply_to(node, parts.moved(event, self.now))

    def _lose_attempts(self, node: parts.FakeNode, lost: str) -> None:
        for attempt in list(node.state.attempts.values()):
            if attempt.node == lost:
                event = events.AttemptLost(
                    now=self.now, attempt=attempt.id, reached=True
                )
                self.apply_to(node, event)

    def _lose_hosted(self, node: parts.FakeNode, lost: str) -> None:
        for hosted, (sender, _, _) in list(node.terms.items()):
            if sender == lost:
                event = events.CancelReceived(now=self.now, hosted=ids.HostedId(hosted))
                self.apply_to(node, event)

    def apply(self, name: str, event: events.Event) -> None:
        """Let something happen to a node."""
        self.apply_to(self.nodes[name], event)

    # The core's effects.

    def apply_to(self, node: parts.FakeNode, event: events.Event) -> None:
        """Apply an event to a node and carry out its effects."""
        if not node.alive:
            return
        if self.now < node.paused_until and not isinstance(event, events.Started):
            node.held.append(event)
            return
        for effect in reducer.reduce(node.state, event):
            self.on_effect(node, effect)
            handler = _HANDLERS.get(type(effect))
            if handler is not None:
                handler(self, node, effect)
        deadlines = node.state.deadlines
        if deadlines and deadlines[0][0] < node.tick_at:
            self._schedule_tick(node)

    def _tick(self, node: parts.FakeNode, incarnation: int, due: float) -> None:
        if not node.alive or (node.incarnation, node.tick_at) != (incarnation, due):
            return
        if self.now < node.paused_until:
            node.tick_at = node.paused_until
            self._tick_later(node)
            return
        node.tick_at = math.inf
        self.apply_to(node, events.Tick(now=self.now))
        self._schedule_tick(node)

    def _schedule_tick(self, node: parts.FakeNode) -> None:
        due = reducer.next_tick(node.state)
        if due < node.tick_at:
            node.tick_at = due
            self._tick_later(node)

    def _tick_later(self, node: parts.FakeNode) -> None:
        due, incarnation = node.tick_at, node.incarnation
        pause = max(0.0, due - self.now)
        self.at(pause, lambda: self._tick(node, incarnation, due))

    def _delay(self, one: parts.FakeNode, other: parts.FakeNode) -> float:
        return backends.LOCAL_MS if one.zone == other.zone else ZONE_MS

    def _to(
        self,
        sender: parts.FakeNode,
        receiver: parts.FakeNode,
        action: collections.abc.Callable[[], None],
    ) -> None:
        """Deliver between nodes, unless either was replaced meanwhile."""
        before = (sender.incarnation, receiver.incarnation)

        def deliver() -> None:
            if (sender.incarnation, receiver.incarnation) == before:
                action()

        if (sender.name, receiver.name) not in self.cut:
            self.at(self._delay(sender, receiver), deliver)

    def _open_attempt(self, node: parts.FakeNode, effect: effects.OpenAttempt) -> None:
        home = self.nodes[effect.node]
        if not home.alive or (node.name, home.name) in self.cut:
            reached = home.alive
            event = events.AttemptLost(
                now=self.now, attempt=effect.attempt, reached=reached
            )
            self.at(
                backends.LOCAL_MS,
                lambda: self.apply_to(node, parts.moved(event, self.now)),
            )
            return
        hosted = self.next_number()
        request = node.requests.get(effect.call, ("GET", "/"))

        self._homes[(node.name, effect.attempt)] = (home, hosted)

        def arrive() -> None:
            home.terms[hosted] = (node.name, effect.attempt, effect.terms)
            home.requests[-hosted] = request
            self.apply_to(
                home,
                events.OpenReceived(
                    now=self.now,
                    hosted=ids.HostedId(hosted),
                    sender=ids.NodeId(node.name),
                    call=effect.terms,
                ),
            )

        self._to(node, home, arrive)

    def _cancel_attempt(
        self, node: parts.FakeNode, effect: effects.CancelAttempt
    ) -> None:
        known = self._homes.pop((node.name, effect.attempt), None)
        if known is None:
            return
        home, hosted = known

        def arrive() -> None:
            self.apply_to(
                home,
                events.CancelReceived(now=self.now, hosted=ids.HostedId(hosted)),
            )

        self._to(node, home, arrive)

    def _relay(self, node: parts.FakeNode, effect: effects.RelayAnswer) -> None:
        status = node.state_status.pop(effect.attempt, 200)
        answer = "ok" if status == 200 else f"status-{status}"
        self._end_call(node, effect.call, status, answer, 0.0)

    def _refuse(self, node: parts.FakeNode, effect: effects.RefuseCall) -> None:
        self._end_call(
            node,
            effect.call,
            effect.status,
            effect.outcome.value,
            effect.retry_after_ms,
        )

    def _send_answer(self, node: parts.FakeNode, effect: effects.SendAnswer) -> None:
        self._answer_back(node, effect.hosted, effect.tokens, effect.report)

    def _send_kept(self, node: parts.FakeNode, effect: effects.SendKeptAnswer) -> None:
        self._answer_back(node, effect.hosted, effect.tokens, effect.report)

    def _answer_back(
        self,
        node: parts.FakeNode,
        hosted: int,
        tokens: int,
        report: messages.LoadReport,
    ) -> None:
        known = node.terms.pop(hosted, None)
        if known is None:
            return
        sender, attempt, _ = known
        entry = self.nodes[sender]
        self._homes.pop((sender, attempt), None)
        status = node.statuses.pop(hosted, 200)

        def arrive() -> None:
            entry.state_status[attempt] = status
            self.apply_to(
                entry,
                events.AttemptAnswered(
                    now=self.now,
                    attempt=ids.AttemptId(attempt),
                    status=status,
                    tokens=tokens,
                    report=report,
                ),
            )

        self._to(node, entry, arrive)

    def _send_refusal(self, node: parts.FakeNode, effect: effects.SendRefusal) -> None:
        known = node.terms.pop(effect.hosted, None)
        if known is None:
            return
        sender, attempt, _ = known
        entry = self.nodes[sender]
        self._homes.pop((sender, attempt), None)

        def arrive() -> None:
            self.apply_to(
                entry,
                events.AttemptRefused(
                    now=self.now,
                    attempt=ids.AttemptId(attempt),
                    refusal=effect.refusal,
                    tokens=effect.tokens,
                    report=effect.report,
                ),
            )

        self._to(node, entry, arrive)

    def _ask_level(self, node: parts.FakeNode, effect: effects.AskLevel) -> None:
        home = self.nodes[effect.node]
        question = self.next_number()
        self._questions[question] = (node, effect.kind)

        def arrive() -> None:
            self.apply_to(
                home,
                events.LevelAsked(now=self.now, question=question, kind=effect.kind),
            )

        self._to(node, home, arrive)

    def _tell_level(self, node: parts.FakeNode, effect: effects.TellLevel) -> None:
        asker, kind = self._questions.pop(effect.question)

        def arrive() -> None:
            told = events.LevelTold(
                now=self.now,
                node=ids.NodeId(node.name),
                kind=kind,
                report=effect.report,
            )
            self.apply_to(asker, told)

        self._to(node, asker, arrive)

    def _gossip(self, node: parts.FakeNode, effect: effects.SendGossip) -> None:
        if not self.gossip_on:
            self._gossip_quietly(node, effect)
            return
        name = self._addresses.get(effect.port)
        if name is None or self.random.random() < self.drop_gossip:
            return
        receiver = self.nodes[name]
        port = node.state.membership.me.gossip_port
        self._to(
            node,
            receiver,
            lambda: self.apply_to(
                receiver,
                events.DatagramReceived(
                    now=self.now,
                    sender=ids.NodeId(node.name),
                    host="127.0.0.1",
                    port=port,
                    message=effect.message,
                ),
            ),
        )

    def _gossip_quietly(self, node: parts.FakeNode, effect: effects.SendGossip) -> None:
        """Acknowledge pings without the other's reducer, while membership is not
        what a run is about: it saves half of the run's time."""
        if effect.message.kind is not messages.GossipKind.PING:
            return
        name = self._addresses.get(effect.port)
        if name is None or not self.nodes[name].alive:
            return
        message = messages.Gossip(
            kind=messages.GossipKind.ACK,
            sequence=effect.message.sequence,
            revision=ids.Revision(0),
        )
        event = events.DatagramReceived(
            now=self.now,
            sender=ids.NodeId(name),
            host="127.0.0.1",
            port=effect.port,
            message=message,
        )
        self.at(
            backends.LOCAL_MS, lambda: self.apply_to(node, parts.moved(event, self.now))
        )

    def _fetch_routes(self, node: parts.FakeNode, effect: effects.FetchRoutes) -> None:
        peer = self.nodes[effect.node]

        def arrive() -> None:
            index = peer.state.routes
            if index is not None and peer.alive:
                self.apply_to(
                    node, events.RoutesReceived(now=self.now, table=index.table)
                )

        self._to(peer, node, arrive)

    def next_number(self) -> int:
        """Return a number that was never given before."""
        self._numbers += 1
        return self._numbers


_HANDLERS: dict[
    type, collections.abc.Callable[[World, parts.FakeNode, typing.Any], None]
] = {
    effects.OpenAttempt: World._open_attempt,
    effects.CancelAttempt: World._cancel_attempt,
    effects.RelayAnswer: World._relay,
    effects.RefuseCall: World._refuse,
    effects.HandOver: backends.hand_over,
    effects.CancelBackend: backends.cancel_backend,
    effects.SendAnswer: World._send_answer,
    effects.SendKeptAnswer: World._send_kept,
    effects.SendRefusal: World._send_refusal,
    effects.AskLevel: World._ask_level,
    effects.TellLevel: World._tell_level,
    effects.SendGossip: World._gossip,
    effects.Append: fake_log.append,
    effects.PutRecord: fake_log.put,
    effects.ReadLog: fake_log.read,
    effects.ReadNewest: fake_log.read_newest,
    effects.FetchRoutes: World._fetch_routes,
}
