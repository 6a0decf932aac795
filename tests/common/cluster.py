"""Nodes that share a log and exchange datagrams at once, without a network."""

import collections

import msgspec

from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    messages,
    reducer,
    state as states,
    streams,
)
from tests.common import builders, routed

FIRST_PORT = 9_001


class Cluster:
    """Nodes with a route table; events are applied in the order in which they arise.

    :param names: of the nodes, which start at once.
    :param log_works: whether the log can be read and written.
    """

    def __init__(self, *names: str, log_works: bool = True) -> None:
        self.now = builders.START
        self.nodes: dict[str, states.State] = {}
        self.log: dict[str, bytes] = {}
        self.log_works = log_works
        self.dispatched: list[tuple[str, effects.DispatchCall]] = []
        self.puts: list[effects.PutRecord] = []
        self.refused: list[tuple[str, effects.SendRefusal]] = []
        self._ports = {name: FIRST_PORT + n for n, name in enumerate(names)}
        self._pending: collections.deque[tuple[str, events.Event]] = collections.deque()
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a node, or start it again without anything that it knew."""
        port = self._ports[name]
        begin = msgspec.structs.replace(
            routed.started(name),
            now=self.now,
            incarnation=ids.Incarnation(int(self.now)),
            seed=int(self.now) % 1_000,
            peers_port=port,
            gossip_port=port,
        )
        self.nodes[name] = reducer.new_state(begin)
        self.apply(name, begin)

    def kill(self, name: str) -> None:
        """End a node at once."""
        del self.nodes[name]

    def advance(self, duration: float) -> None:
        """Let time pass in ticks of 50 ms."""
        until = self.now + duration
        while self.now < until:
            self.now = min(until, self.now + 50.0)
            for name in list(self.nodes):
                self.apply(name, events.Tick(now=self.now))

    def apply(self, name: str, event: events.Event) -> None:
        """Apply an event, and those that follow from it."""
        self._pending.append((name, event))
        while self._pending:
            target, following = self._pending.popleft()
            state = self.nodes.get(target)
            if state is None:
                continue
            for effect in reducer.reduce(state, following):
                self._carry_out(target, effect)

    def _carry_out(self, name: str, effect: effects.Effect) -> None:
        if isinstance(effect, effects.SendGossip):
            self._send(name, effect)
        elif isinstance(effect, effects.PutRecord):
            self._put(name, effect)
        elif isinstance(effect, effects.ReadNewest):
            self._read(name, effect)
        elif isinstance(effect, effects.DispatchCall):
            self.dispatched.append((name, effect))
        elif isinstance(effect, effects.SendRefusal):
            self.refused.append((name, effect))

    def _send(self, name: str, effect: effects.SendGossip) -> None:
        for target, port in self._ports.items():
            if port == effect.port and target != name:
                arrival = events.DatagramReceived(
                    now=self.now,
                    sender=ids.NodeId(name),
                    host="127.0.0.1",
                    port=self._ports[name],
                    message=effect.message,
                )
                self._pending.append((target, arrival))

    def _put(self, name: str, effect: effects.PutRecord) -> None:
        self.puts.append(effect)
        if not self.log_works:
            failed = events.PutFailed(now=self.now, put=effect.put)
            self._pending.append((name, failed))
            return
        if effect.record:
            self.log[effect.key] = effect.record
        else:
            self.log.pop(effect.key, None)
        self._pending.append((name, events.PutDone(now=self.now, put=effect.put)))

    def _read(self, name: str, effect: effects.ReadNewest) -> None:
        records: tuple[bytes, ...] = ()
        if effect.stream == streams.MEMBERS:
            records = tuple(self.log.values())
        elif effect.stream == streams.ROUTES:
            records = (messages.encode_record(routed.table()),)
        is_readable = self.log_works or effect.stream == streams.ROUTES
        read: events.Event = events.NewestRead(
            now=self.now,
            stream=effect.stream,
            records=records,
            end=len(records),
            generation=effect.generation,
        )
        if not is_readable:
            read = events.LogReadFailed(
                now=self.now, stream=effect.stream, generation=effect.generation
            )
        self._pending.append((name, read))
