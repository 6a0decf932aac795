"""The fake world: nodes, backend servers, callers and the log on one clock."""

import collections
import collections.abc
import dataclasses
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
    state as states,
    streams,
)
from gingerturn_fakes import fake_log

START = 1_800_000_000_000.0
ZONE_MS = 1.0
"""One way between availability zones, as the brief gives it."""

LOCAL_MS = 0.1
"""One way inside a zone or an instance; the brief gives none, chosen small."""


@dataclasses.dataclass
class ServiceSpec:
    """A service: how many upstreams, and what its calls take.

    :param service_ms: time of work at the backend server for each kind.
    :param calls: services that calls of a kind go on to, one after another, after
        the own work.
    """

    name: str
    upstreams: int
    slots: int
    service_ms: dict[str, float]
    calls: dict[str, list[str]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class KindSpec:
    """What a caller sends: where, how, and how often it repeats it."""

    name: str
    service: str
    method: str
    path: str
    keyed: bool = False


@dataclasses.dataclass
class Work:
    """One request being worked on at a fake backend server."""

    hosted: int
    kind: str
    key: str
    span: str
    path: str
    method: str
    steps: list[str]
    began: float
    root: int = 0
    waiting_child: int = 0
    started: bool = False
    cancelled: bool = False
    done: bool = False


@dataclasses.dataclass
class FakeBackend:
    """A backend server with slots; what it is given beyond them waits inside.

    :param slow: factor on the time of work.
    """

    spec: ServiceSpec
    slow: float = 1.0
    paused: bool = False
    up: bool = True
    refuse_beyond: bool = False
    running: int = 0
    busy_ms: float = 0.0
    waiting: collections.deque[Work] = dataclasses.field(
        default_factory=collections.deque
    )
    executions: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    executed: int = 0


@dataclasses.dataclass
class Root:
    """A whole request as its caller sees it."""

    id: int
    kind: KindSpec
    sent: float
    key: str
    holder: str = ""
    tries: int = 0
    answer: str = ""
    answered: float = 0.0
    retry_after: float = 0.0


@dataclasses.dataclass
class FakeNode:
    """A node: the real reducer, and the fake backend server beside it."""

    name: str
    zone: str
    state: states.State
    backend: FakeBackend
    alive: bool = True
    paused_until: float = 0.0
    held: list[events.Event] = dataclasses.field(default_factory=list)
    works: dict[int, Work] = dataclasses.field(default_factory=dict)
    terms: dict[int, tuple[str, int, messages.CallTerms]] = dataclasses.field(
        default_factory=dict
    )
    kept: dict[str, int] = dataclasses.field(default_factory=dict)
    callers: dict[int, typing.Any] = dataclasses.field(default_factory=dict)
    requests: dict[int, tuple[str, str]] = dataclasses.field(default_factory=dict)
    statuses: dict[int, int] = dataclasses.field(default_factory=dict)
    state_status: dict[int, int] = dataclasses.field(default_factory=dict)
    incarnation: int = 1
    tick_at: float = math.inf


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
        services: list[ServiceSpec],
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
        self.nodes: dict[str, FakeNode] = {}
        self.caller_ms = caller_ms
        self.on_root_end: collections.abc.Callable[[Root], None] = lambda root: None
        self.on_execution: collections.abc.Callable[[FakeNode, Work], None] = (
            lambda node, work: None
        )
        self.on_work_end: collections.abc.Callable[[FakeNode, Work, float], None] = (
            lambda node, work, elapsed: None
        )
        self.on_arrival: collections.abc.Callable[[Root, int | None], None] = (
            lambda root, hash_: None
        )
        self.on_effect: collections.abc.Callable[[FakeNode, effects.Effect], None] = (
            lambda node, effect: None
        )
        self.cut: set[tuple[str, str]] = set()
        self.drop_gossip = 0.0
        self.gossip_on = False
        self._documents = documents
        self._zones = zones
        self._queue: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self._sequence = 0
        self._numbers = 0
        self._addresses: dict[int, str] = {}
        self._questions: dict[int, tuple[FakeNode, ids.KindName]] = {}
        self._homes: dict[tuple[str, int], tuple[FakeNode, int]] = {}
        for spec in services:
            for index in range(spec.upstreams):
                zone = zones[index % len(zones)]
                self.add_node(f"{spec.name}-{index + 1}", spec, zone)
        self._introduce()

    def add_node(self, name: str, spec: ServiceSpec, zone: str) -> FakeNode:
        """Add a node and the backend server beside it."""
        port = 10_000 + len(self._addresses)
        self._addresses[port] = name
        node = FakeNode(name=name, zone=zone, state=None, backend=FakeBackend(spec))
        self.nodes[name] = node
        self._boot(node, port)
        return node

    def _boot(self, node: FakeNode, port: int) -> None:
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
        self._apply(node, started)
        self._announce(node)
        self._schedule_tick(node)

    def _announce(self, node: FakeNode) -> None:
        spec = node.backend.spec
        self._apply(
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
            self._apply(
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
        self, root: Root, *, entry: str | None = None, patience: float = 0.0
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

    def _arrive(self, node: FakeNode, root: Root, patience: float) -> None:
        if not node.alive:
            # No process listens there: the connection itself is refused.
            self._answer_root(root, "refused", 0.0)
            return
        call = self._number()
        node.callers[call] = root
        if patience:
            self.at(patience, lambda: self._go_away(node, call, root))
        self._call(
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

    def _go_away(self, node: FakeNode, call: int, root: Root) -> None:
        if node.callers.pop(call, None) is None:
            return
        node.requests.pop(call, None)
        self._apply(node, events.CallerGone(now=self.now, call=ids.CallId(call)))
        self._answer_root(root, "gone", 0.0)

    def _call(
        self,
        node: FakeNode,
        call: int,
        service: str,
        method: str,
        path: str,
        span: str,
        key: str = "",
        sending: int = 0,
        holder: str = "",
    ) -> None:
        node.requests[call] = (method, path)
        self._apply(
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

    def _answer_root(self, root: Root, answer: str, retry_after: float) -> None:
        root.answer = answer
        root.retry_after = retry_after
        root.answered = self.now
        self.on_root_end(root)

    def _end_call(
        self, node: FakeNode, call: int, status: int, answer: str, retry_after: float
    ) -> None:
        node.requests.pop(call, None)
        waiting = node.callers.pop(call, None)
        if isinstance(waiting, Root):
            self.at(
                self.caller_ms, lambda: self._answer_root(waiting, answer, retry_after)
            )
        elif isinstance(waiting, Work):
            self.at(LOCAL_MS, lambda: self._child_ended(node, waiting, status))

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

    def _wake(self, node: FakeNode) -> None:
        held, node.held = node.held, []
        for event in held:
            # What was in the sockets is read on waking, at the time of waking.
            self._apply(node, _moved(event, self.now))

    def _lose_attempts(self, node: FakeNode, lost: str) -> None:
        for attempt in list(node.state.attempts.values()):
            if attempt.node == lost:
                event = events.AttemptLost(
                    now=self.now, attempt=attempt.id, reached=True
                )
                self._apply(node, event)

    def _lose_hosted(self, node: FakeNode, lost: str) -> None:
        for hosted, (sender, _, _) in list(node.terms.items()):
            if sender == lost:
                event = events.CancelReceived(now=self.now, hosted=ids.HostedId(hosted))
                self._apply(node, event)

    def apply(self, name: str, event: events.Event) -> None:
        """Let something happen to a node."""
        self._apply(self.nodes[name], event)

    # The core's effects.

    def _apply(self, node: FakeNode, event: events.Event) -> None:
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

    def _tick(self, node: FakeNode, incarnation: int, due: float) -> None:
        if not node.alive or (node.incarnation, node.tick_at) != (incarnation, due):
            return
        if self.now < node.paused_until:
            node.tick_at = node.paused_until
            self._tick_later(node)
            return
        node.tick_at = math.inf
        self._apply(node, events.Tick(now=self.now))
        self._schedule_tick(node)

    def _schedule_tick(self, node: FakeNode) -> None:
        due = reducer.next_tick(node.state)
        if due < node.tick_at:
            node.tick_at = due
            self._tick_later(node)

    def _tick_later(self, node: FakeNode) -> None:
        due, incarnation = node.tick_at, node.incarnation
        pause = max(0.0, due - self.now)
        self.at(pause, lambda: self._tick(node, incarnation, due))

    def _delay(self, one: FakeNode, other: FakeNode) -> float:
        return LOCAL_MS if one.zone == other.zone else ZONE_MS

    def _to(
        self,
        sender: FakeNode,
        receiver: FakeNode,
        action: collections.abc.Callable[[], None],
    ) -> None:
        """Deliver between nodes, unless either was replaced meanwhile."""
        before = (sender.incarnation, receiver.incarnation)

        def deliver() -> None:
            if (sender.incarnation, receiver.incarnation) == before:
                action()

        if (sender.name, receiver.name) not in self.cut:
            self.at(self._delay(sender, receiver), deliver)

    def _open_attempt(self, node: FakeNode, effect: effects.OpenAttempt) -> None:
        home = self.nodes[effect.node]
        if not home.alive or (node.name, home.name) in self.cut:
            reached = home.alive
            event = events.AttemptLost(
                now=self.now, attempt=effect.attempt, reached=reached
            )
            self.at(LOCAL_MS, lambda: self._apply(node, _moved(event, self.now)))
            return
        hosted = self._number()
        request = node.requests.get(effect.call, ("GET", "/"))

        self._homes[(node.name, effect.attempt)] = (home, hosted)

        def arrive() -> None:
            home.terms[hosted] = (node.name, effect.attempt, effect.terms)
            home.requests[-hosted] = request
            self._apply(
                home,
                events.OpenReceived(
                    now=self.now,
                    hosted=ids.HostedId(hosted),
                    sender=ids.NodeId(node.name),
                    call=effect.terms,
                ),
            )

        self._to(node, home, arrive)

    def _cancel_attempt(self, node: FakeNode, effect: effects.CancelAttempt) -> None:
        known = self._homes.pop((node.name, effect.attempt), None)
        if known is None:
            return
        home, hosted = known

        def arrive() -> None:
            self._apply(
                home,
                events.CancelReceived(now=self.now, hosted=ids.HostedId(hosted)),
            )

        self._to(node, home, arrive)

    def _relay(self, node: FakeNode, effect: effects.RelayAnswer) -> None:
        status = node.state_status.pop(effect.attempt, 200)
        answer = "ok" if status == 200 else f"status-{status}"
        self._end_call(node, effect.call, status, answer, 0.0)

    def _refuse(self, node: FakeNode, effect: effects.RefuseCall) -> None:
        self._end_call(
            node,
            effect.call,
            effect.status,
            effect.outcome.value,
            effect.retry_after_ms,
        )

    def _send_answer(self, node: FakeNode, effect: effects.SendAnswer) -> None:
        self._answer_back(node, effect.hosted, effect.tokens, effect.report)

    def _send_kept(self, node: FakeNode, effect: effects.SendKeptAnswer) -> None:
        self._answer_back(node, effect.hosted, effect.tokens, effect.report)

    def _answer_back(
        self, node: FakeNode, hosted: int, tokens: int, report: messages.LoadReport
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
            self._apply(
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

    def _send_refusal(self, node: FakeNode, effect: effects.SendRefusal) -> None:
        known = node.terms.pop(effect.hosted, None)
        if known is None:
            return
        sender, attempt, _ = known
        entry = self.nodes[sender]
        self._homes.pop((sender, attempt), None)

        def arrive() -> None:
            self._apply(
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

    def _ask_level(self, node: FakeNode, effect: effects.AskLevel) -> None:
        home = self.nodes[effect.node]
        question = self._number()
        self._questions[question] = (node, effect.kind)

        def arrive() -> None:
            self._apply(
                home,
                events.LevelAsked(now=self.now, question=question, kind=effect.kind),
            )

        self._to(node, home, arrive)

    def _tell_level(self, node: FakeNode, effect: effects.TellLevel) -> None:
        asker, kind = self._questions.pop(effect.question)

        def arrive() -> None:
            told = events.LevelTold(
                now=self.now,
                node=ids.NodeId(node.name),
                kind=kind,
                report=effect.report,
            )
            self._apply(asker, told)

        self._to(node, asker, arrive)

    def _gossip(self, node: FakeNode, effect: effects.SendGossip) -> None:
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
            lambda: self._apply(
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

    def _gossip_quietly(self, node: FakeNode, effect: effects.SendGossip) -> None:
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
        self.at(LOCAL_MS, lambda: self._apply(node, _moved(event, self.now)))

    def _fetch_routes(self, node: FakeNode, effect: effects.FetchRoutes) -> None:
        peer = self.nodes[effect.node]

        def arrive() -> None:
            index = peer.state.routes
            if index is not None and peer.alive:
                self._apply(
                    node, events.RoutesReceived(now=self.now, table=index.table)
                )

        self._to(peer, node, arrive)

    # The fake backend servers.

    def _hand_over(self, node: FakeNode, effect: effects.HandOver) -> None:
        known = node.terms.get(effect.hosted)
        terms = node.state.hosted[effect.hosted].terms if known is None else known[2]
        method, path = node.requests.pop(-effect.hosted, ("GET", "/"))
        work = Work(
            hosted=effect.hosted,
            kind=terms.kind,
            key=terms.key,
            span=effect.span,
            path=path,
            method=method,
            root=terms.root,
            steps=list(node.backend.spec.calls.get(terms.kind, [])),
            began=self.now,
        )
        if not node.backend.up:
            event = events.BackendFailed(
                now=self.now, hosted=effect.hosted, handed=False
            )
            self.at(LOCAL_MS, lambda: self._apply(node, _moved(event, self.now)))
            return
        node.works[effect.hosted] = work
        self.at(LOCAL_MS, lambda: self._begin(node, work))

    def _begin(self, node: FakeNode, work: Work) -> None:
        if work.cancelled or node.works.get(work.hosted) is not work:
            return
        backend = node.backend
        if backend.running >= backend.spec.slots:
            if backend.refuse_beyond:
                self._end_work(node, work, 503, held=False)
                return
            backend.waiting.append(work)
            return
        backend.running += 1
        backend.executed += 1
        work.began = self.now
        work.started = True
        if work.key:
            backend.executions[work.key] += 1
        self.on_execution(node, work)
        mean = backend.spec.service_ms.get(work.kind, 10.0) * backend.slow
        self.at(
            mean * self.random.uniform(0.7, 1.3), lambda: self._next_step(node, work)
        )

    def _next_step(self, node: FakeNode, work: Work) -> None:
        if work.done or node.works.get(work.hosted) is not work:
            return
        if not work.steps:
            self._end_work(node, work, 200)
            return
        service, _, rest = work.steps.pop(0).partition(" ")
        method, _, path = rest.partition(" ")
        call = self._number()
        node.callers[call] = work
        work.waiting_child = call
        self._call(node, call, service, method, path, work.span)

    def _child_ended(self, node: FakeNode, work: Work, status: int) -> None:
        if work.done or node.works.get(work.hosted) is not work:
            return
        work.waiting_child = 0
        if status != 200:
            self._end_work(node, work, 503)
            return
        self._next_step(node, work)

    def _end_work(
        self, node: FakeNode, work: Work, status: int, *, held: bool = True
    ) -> None:
        work.done = True
        node.works.pop(work.hosted, None)
        node.statuses[work.hosted] = status
        event = events.BackendAnswered(
            now=self.now, hosted=ids.HostedId(work.hosted), status=status
        )
        self.at(LOCAL_MS, lambda: self._apply(node, _moved(event, self.now)))
        if held:
            self._free(node, work)

    def _free(self, node: FakeNode, work: Work) -> None:
        backend = node.backend
        backend.running -= 1
        backend.busy_ms += self.now - work.began
        self.on_work_end(node, work, self.now - work.began)
        while backend.waiting and backend.running < backend.spec.slots:
            following = backend.waiting.popleft()
            if not following.cancelled:
                self._begin(node, following)

    def _cancel_backend(self, node: FakeNode, effect: effects.CancelBackend) -> None:
        node.terms.pop(effect.hosted, None)
        work = node.works.pop(effect.hosted, None)
        if work is None:
            return
        work.cancelled = True
        work.done = True
        if not work.started:
            if work in node.backend.waiting:
                node.backend.waiting.remove(work)
            return
        if work.waiting_child:
            gone = events.CallerGone(now=self.now, call=ids.CallId(work.waiting_child))
            node.callers.pop(work.waiting_child, None)
            self.at(LOCAL_MS, lambda: self._apply(node, _moved(gone, self.now)))
        self._free(node, work)

    def _number(self) -> int:
        self._numbers += 1
        return self._numbers


def _moved(event: events.Event, now: float) -> events.Event:
    """Return an event as it is seen later."""
    fields = {name: getattr(event, name) for name in event.__struct_fields__}
    fields["now"] = now
    return type(event)(**fields)


_HANDLERS: dict[type, collections.abc.Callable[[World, FakeNode, typing.Any], None]] = {
    effects.OpenAttempt: World._open_attempt,
    effects.CancelAttempt: World._cancel_attempt,
    effects.RelayAnswer: World._relay,
    effects.RefuseCall: World._refuse,
    effects.HandOver: World._hand_over,
    effects.CancelBackend: World._cancel_backend,
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
