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
    allowance,
    effects,
    events,
    messages,
    reducer,
    streams,
)
from gingerturn_fakes import backends, fake_log, links, parts

START = 1_800_000_000_000.0


class World:
    """A simulated deployment.

    :param seed: seeds every random choice.
    :param services: services of the deployment.
    :param documents: the configuration in force from the start.
    :param caller_ms: one-way delay between callers and nodes.
    :param table: route table for callers; with one, the log keeps keys.
    :param retry_bound: bound on the repeats of each service by all nodes together.
    :param revoke_ms: time within which a revoked key must stop working.
    :param apply_ms: time within which a confirmed route table must be active.
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
        retry_bound: allowance.Bound | None = None,
        revoke_ms: float = 0.0,
        apply_ms: float = 2_000.0,
    ) -> None:
        self.now = START
        self.random = random.Random(seed)
        self.services = {spec.name: spec for spec in services}
        self.configuration = configuration.Configuration(documents)
        self.log = fake_log.FakeLog()
        self._routed = table is not None
        # Status of a request one of whose own calls failed: behind routes an error,
        # elsewhere the refusal is passed on.
        self.child_failed_status = 500 if self._routed else 503
        self._retry_bound = retry_bound
        self._revoke_ms = revoke_ms
        self._apply_ms = apply_ms
        if table is not None:
            self.log.long_poll_ms = fake_log.KEYED_LONG_POLL_MS
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
        # Processor time that a datagram takes at its receiver, in ms.
        self.datagram_cost: collections.abc.Callable[[messages.Gossip], float] = (
            lambda message: 0.0
        )
        # Requests for these paths crash the backend servers that run them.
        self.deadly_paths: set[str] = set()
        self.gossip_on = False
        self._documents = documents
        self._zones = zones
        self._queue: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self._sequence = 0
        self._numbers = 0
        # Node names by port, requesters by level request, and the hosted call of each
        # attempt.
        self.addresses: dict[int, str] = {}
        self.level_requests: dict[int, tuple[parts.FakeNode, ids.KindName]] = {}
        self.homes: dict[tuple[str, int], tuple[parts.FakeNode, int]] = {}
        for spec in services:
            for index in range(spec.upstreams):
                zone = zones[index % len(zones)]
                self.add_node(f"{spec.name}-{index + 1}", spec, zone)
        self._join_members()

    def add_node(self, name: str, spec: parts.ServiceSpec, zone: str) -> parts.FakeNode:
        """Add a node and its backend server."""
        port = 10_000 + len(self.addresses)
        self.addresses[port] = name
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
            retry_bound=self._retry_bound,
            revoke_ms=self._revoke_ms,
            apply_ms=self._apply_ms,
        )
        node.state = reducer.new_state(started)
        node.state.configuration = self.configuration
        node.state.revisions.documents = dict(self._documents)
        node.tick_at = math.inf
        self.apply_to(node, started)
        # Stands for the listing and the sync with which a node joins.
        view = node.state.membership
        view.members_listed = view.synced = True
        self.announce(node)
        self._schedule_tick(node)

    def announce(self, node: parts.FakeNode) -> None:
        """Announce a node's backend server to it."""
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
                instance=self.instance_of(node),
                sequence=1,
            ),
        )

    def instance_of(self, node: parts.FakeNode) -> str:
        """Return the id of the present start of a node's backend server."""
        return f"{node.name}/{node.backend.crashes}"

    def _join_members(self) -> None:
        """Add every node to the members of every other."""
        members = tuple(n.state.membership.self_member for n in self.nodes.values())
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
        """Run an action after a delay in ms."""
        self._sequence += 1
        heapq.heappush(self._queue, (self.now + delay, self._sequence, action))

    def run(self, duration: float) -> None:
        """Run all actions that are due within a duration in ms."""
        end = self.now + duration
        while self._queue and self._queue[0][0] <= end:
            when, _, action = heapq.heappop(self._queue)
            self.now = when
            action()
        self.now = end

    # Callers.

    def send(
        self,
        root: parts.Root,
        *,
        entry: str | None = None,
        abandon_after_ms: float = 0.0,
    ) -> None:
        """Send a root request, through a random entry node if none is named.

        :param abandon_after_ms: time after which the caller cancels; 0 for never.
        """
        # Callers avoid entry nodes that do not answer.
        alive = [
            n for n in self.nodes.values() if n.alive and self.now >= n.paused_until
        ]
        node = self.nodes[entry] if entry else self.random.choice(alive)
        root.tries += 1
        self.at(self.caller_ms, lambda: self._arrive(node, root, abandon_after_ms))

    def _arrive(
        self, node: parts.FakeNode, root: parts.Root, abandon_after_ms: float
    ) -> None:
        if not node.alive:
            # No process listens there, so the connection is refused.
            self._answer_root(root, "refused", 0.0)
            return
        call = self.next_number()
        node.callers[call] = root
        if abandon_after_ms:
            self.at(abandon_after_ms, lambda: self._abandon(node, call, root))
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
            key_digest=root.key_digest,
        )
        accepted = node.state.calls.get(ids.CallId(call))
        self.on_arrival(root, None if accepted is None else accepted.root)

    def _abandon(self, node: parts.FakeNode, call: int, root: parts.Root) -> None:
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
        key_digest: str = "",
    ) -> None:
        """Send a call from a caller, or from the node's own backend server."""
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
                fingerprint=parts.fingerprint(service, method, path),
                key_digest=key_digest,
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

    def kill(self, name: str, *, with_backend: bool = True) -> None:
        """Kill a node, and usually its backend server.

        :param with_backend: otherwise the backend server goes on to run its requests.
        """
        node = self.nodes[name]
        node.alive = False
        node.incarnation += 1
        for call in list(node.callers):
            self._end_call(node, call, 502, "lost", 0.0)
        if with_backend:
            node.works.clear()
            node.backend.running = 0
            node.backend.waiting.clear()
        for other in self.nodes.values():
            if other.alive:
                self._lose_attempts(other, name)
                self._lose_hosted(other, name)

    def restart(self, name: str) -> None:
        """Restart a killed node with empty state."""
        node = self.nodes[name]
        node.alive = True
        node.busy_until = 0.0
        node.unread_datagrams = 0
        node.hosted_calls.clear()
        node.stored_answers.clear()
        node.stale_log_connections = 0
        node.silent_links.clear()
        for other in self.nodes.values():
            other.silent_links.discard(name)
        port = next(p for p, n in self.addresses.items() if n == name)
        self._boot(node, port)
        self._join_members()

    def pause(self, name: str, duration: float) -> None:
        """Pause a node's process; it handles pending events when it resumes."""
        node = self.nodes[name]
        node.paused_until = self.now + duration
        self.at(duration, lambda: self._resume(node))

    def _resume(self, node: parts.FakeNode) -> None:
        delayed, node.delayed_events = node.delayed_events, []
        for event in delayed:
            # Data buffered in the sockets is read when the process resumes.
            self.apply_to(node, parts.with_time(event, self.now))

    def _lose_attempts(self, node: parts.FakeNode, lost: str) -> None:
        for attempt in list(node.state.attempts.values()):
            if attempt.node == lost:
                event = events.AttemptLost(
                    now=self.now, attempt=attempt.id, reached=True
                )
                self.apply_to(node, event)

    def _lose_hosted(self, node: parts.FakeNode, lost: str) -> None:
        for hosted, (sender, _, _) in list(node.hosted_calls.items()):
            if sender == lost:
                event = events.CancelReceived(now=self.now, hosted=ids.HostedId(hosted))
                self.apply_to(node, event)

    def apply(self, name: str, event: events.Event) -> None:
        """Apply an event to the node of a name."""
        self.apply_to(self.nodes[name], event)

    # The core's effects.

    def apply_to(self, node: parts.FakeNode, event: events.Event) -> None:
        """Apply an event to a node and carry out its effects."""
        if not node.alive:
            return
        if self.now < node.paused_until and not isinstance(event, events.Started):
            node.delayed_events.append(event)
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
        delay = max(0.0, due - self.now)
        self.at(delay, lambda: self._tick(node, incarnation, due))

    def _relay(self, node: parts.FakeNode, effect: effects.RelayAnswer) -> None:
        status = node.attempt_statuses.pop(effect.attempt, 200)
        node.attempt_reports.pop(effect.attempt, None)
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

    def next_number(self) -> int:
        """Return a number that was not returned before."""
        self._numbers += 1
        return self._numbers


_HANDLERS: dict[
    type, collections.abc.Callable[[World, parts.FakeNode, typing.Any], None]
] = {
    effects.OpenAttempt: links.open_attempt,
    effects.CancelAttempt: links.cancel_attempt,
    effects.RelayAnswer: World._relay,
    effects.RefuseCall: World._refuse,
    effects.DispatchCall: backends.dispatch,
    effects.CancelBackend: backends.cancel_backend,
    effects.CheckBackend: backends.check,
    effects.SendAnswer: links.send_answer,
    effects.SendStoredAnswer: links.send_stored_answer,
    effects.SendRefusal: links.send_refusal,
    effects.RequestLevel: links.request_level,
    effects.ReportLevel: links.report_level,
    effects.SendGossip: links.gossip,
    effects.Append: fake_log.append,
    effects.PutRecord: fake_log.put,
    effects.ReadLog: fake_log.read,
    effects.ReadNewest: fake_log.read_newest,
    effects.FetchRoutes: links.fetch_routes,
}
