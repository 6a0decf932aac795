"""Cost of the control plane for a node: processor time, bytes and memory by size.

Feeds the reducer the events that one node of a network of a given size receives, on a
fake clock; datagrams are encoded and decoded as on the wire.
"""

import dataclasses
import gc
import os
import random
import time
import uuid

from benchmarks import graphs
from gingerturn import configuration
from gingerturn.internal import ids
from gingerturn.internal.core import (
    decisions,
    effects,
    events,
    gossip_queue,
    messages,
    reducer,
    state as states,
    timers,
)
from gingerturn.internal.wire import datagrams
from gingerturn_fakes import parts, world

START = 1_800_000_000_000.0
SECRET = b"a secret of the benchmarks"
UDP_HEADERS = 28
"""Bytes of the IPv4 and UDP headers of each datagram."""

SERVICES = 110
ZONES = 8


@dataclasses.dataclass
class ControlPlaneCost:
    """Cost of the control plane for one node at a size.

    :param cpu_share: share of a core.
    :param bytes_per_second: sent; about as much is received.
    """

    members: int
    cpu_share: float
    bytes_per_second: float
    state_mb: float


def rss_mb() -> float:
    """Return this process's resident memory."""
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def member(index: int, *, version: int = 1) -> messages.Member:
    """Return a member of the network at the design size."""
    return messages.Member(
        node=ids.NodeId(f"service-{index % SERVICES}-node-{index}"),
        incarnation=ids.Incarnation(1_800_000_000_000 + index),
        version=version,
        state=messages.MemberState.ALIVE,
        host=f"10.{index >> 14 & 63}.{index >> 7 & 127}.{index & 127}",
        peers_port=9000,
        gossip_port=9000,
        zone=f"zone-{index % ZONES}",
        service=ids.ServiceName(f"service-{index % SERVICES}"),
        slots=100,
    )


def node_with_members(count: int) -> states.State:
    """Return a node with so many members in its table and no pending updates."""
    started = events.Started(
        now=START,
        seed=1,
        node=ids.NodeId("me"),
        incarnation=ids.Incarnation(1),
        host="10.255.0.1",
        peers_port=9000,
        gossip_port=9000,
        zone="zone-0",
        region="r",
        decisions=65_536,
    )
    state = reducer.new_state(started)
    reducer.reduce(state, started)
    for first in range(0, count, 100):
        members = tuple(member(i) for i in range(first, min(first + 100, count)))
        reducer.reduce(state, _gossip(START, members, messages.GossipKind.ACK))
    state.membership.pending_updates = gossip_queue.GossipQueue()
    return state


def _gossip(
    now: float,
    members: tuple[messages.Member, ...],
    kind: messages.GossipKind,
    sequence: int = 0,
) -> events.DatagramReceived:
    return events.DatagramReceived(
        now=now,
        sender=ids.NodeId("service-1-node-1"),
        host="10.0.0.1",
        port=9000,
        message=messages.Gossip(
            kind=kind, sequence=sequence, revision=ids.Revision(0), members=members
        ),
    )


def control_plane_cost(
    members: int, *, changes_per_day: float, seconds: int = 60
) -> ControlPlaneCost:
    """Measure one node over some seconds of the fake clock.

    :param changes_per_day: member updates in the whole network; each replaced
        instance causes about four (departure, join, announcement, warm).
    """
    gc.collect()
    before = rss_mb()
    state = node_with_members(members)
    memory = rss_mb() - before
    rng = random.Random(1)
    updates_per_second = changes_per_day / 86_400.0
    sent = 0
    spent = 0.0
    now = START
    versions = 2
    next_ping = START
    for _ in range(int(seconds * 1000 / timers.TICK_MS)):
        now += timers.TICK_MS
        batch: list[events.Event] = [events.Tick(now=now)]
        if now >= next_ping:
            # Each member probes about twice a second, so this node gets as many probes.
            next_ping = now + 500.0
            updates: tuple[messages.Member, ...] = ()
            if rng.random() < min(1.0, updates_per_second * 0.5):
                versions += 1
                updates = (member(rng.randrange(max(1, members)), version=versions),)
            batch.append(_gossip(now, updates, messages.GossipKind.PING))
        begun = time.thread_time()
        for event in batch:
            if isinstance(event, events.DatagramReceived):
                _round_trip(event.message, now)
            for effect in reducer.reduce(state, event):
                sent += _execute(state, effect, now)
        spent += time.thread_time() - begun
    return ControlPlaneCost(
        members=members,
        cpu_share=spent / seconds,
        bytes_per_second=sent / seconds,
        state_mb=memory,
    )


def _round_trip(message: messages.Gossip, now: float) -> int:
    """Encode and decode a message, and return its bytes on the wire."""
    datagram = datagrams.encode(SECRET, ids.NodeId("me"), now, message)
    datagrams.decode([SECRET], datagram)
    return len(datagram) + UDP_HEADERS


def _execute(state: states.State, effect: effects.Effect, now: float) -> int:
    """Acknowledge a sent message and return its bytes on the wire."""
    if not isinstance(effect, effects.SendGossip):
        return 0
    size = _round_trip(effect.message, now)
    if effect.message.kind is messages.GossipKind.PING:
        answer = _gossip(now, (), messages.GossipKind.ACK, effect.message.sequence)
        _round_trip(answer.message, now)
        reducer.reduce(state, answer)
    return size


def documents(count: int = SERVICES) -> dict[str, str]:
    """Return the design's configuration: one document a service, five kinds each."""
    found = {}
    for index in range(count):
        lines = [
            f'[[importance]]\nname = "class-{index}"',
            f'[[service]]\nname = "service-{index}"',
        ]
        lines += [
            f'[[kind]]\nname = "kind-{index}-{kind}"\nservice = "service-{index}"\n'
            f'importance = "class-{index}"\npath_prefix = "/path/{kind}"\n'
            "timeout_ms = 1000\nretry_allowance = 2"
            for kind in range(5)
        ]
        found[f"team-{index}"] = "\n\n".join(lines) + "\n"
    return found


@dataclasses.dataclass
class ConfigurationCost:
    """Cost of the configuration for a node.

    :param change_ms: processor time to apply one changed document.
    :param change_bytes: bytes sent for one changed document.
    """

    load_ms: float
    change_ms: float
    change_bytes: int
    memory_mb: float


def configuration_cost() -> ConfigurationCost:
    """Measure the configuration at the design size."""
    texts = documents()
    gc.collect()
    before = rss_mb()
    begun = time.thread_time()
    whole = configuration.Configuration(texts)
    load_ms = (time.thread_time() - begun) * 1000
    memory = rss_mb() - before
    changes = 50
    begun = time.thread_time()
    for number in range(changes):
        changed = dict(texts)
        changed["team-7"] = texts["team-7"] + f"# change {number}\n"
        configuration.Configuration(changed)
    change_ms = (time.thread_time() - begun) * 1000 / changes
    snapshot = messages.ConfigSnapshot(
        revision=1,
        documents={"team-7": texts["team-7"]},
        revisions=dict.fromkeys(texts, 1),
        digest=whole.digest,
    )
    return ConfigurationCost(
        load_ms=load_ms,
        change_ms=change_ms,
        change_bytes=len(messages.encode_record(snapshot)),
        memory_mb=max(0.0, memory),
    )


def decisions_cost() -> tuple[float, float]:
    """Return the memory of full decision rings in MB, and us for one record."""
    gc.collect()
    before = rss_mb()
    log = decisions.DecisionLog(node=ids.NodeId("me"), size=65_536)
    begun = time.thread_time()
    count = 200_000
    for number in range(count):
        rule = decisions.Rule.RUN if number % 2 else decisions.Rule.QUEUE_FULL
        log.record(
            rule,
            now=START,
            root=ids.RootHash(number),
            kind="kind",
            rank=ids.Rank(1),
            revision=ids.Revision(1),
            figures=(1.0, 2.0, 3.0, 4.0),
        )
    each = (time.thread_time() - begun) / count * 1e6
    return rss_mb() - before, each


def key_cost(count: int = 20_000) -> float:
    """Return the bytes of state kept for one idempotency key."""
    gc.collect()
    before = rss_mb()
    table = {
        key: states.KeyEntry(
            key=key,
            phase=states.KeyPhase.FOREIGN,
            since=START,
            holder="service-1-node-1/1800000000000",
            waiters=[],
        )
        for key in (f"01a2372b-7814-7000-80d8-{n:012x}" for n in range(count))
    }
    return (rss_mb() - before) * 1e6 / len(table)


def claim_appends(rate: float, *, seconds: int = 20) -> float:
    """Return the appends a second for keyed port requests at a rate, on the fakes.

    Four nodes of Porting claim; each may append 50 times a second.
    """
    graph = graphs.brolga()
    fake_world = world.World(
        seed=1,
        services=graph.services,
        documents={"shop": graphs.BROLGA_DOCUMENT.replace('key = "generated"\n', "")},
        zones=graph.zones,
    )
    fake_world.run(2_000)
    before = fake_world.log.appends
    total = int(rate * seconds)
    for number in range(total):
        fake_world.at(
            number * 1_000.0 / rate, lambda n=number: _send_keyed(fake_world, graph, n)
        )
    fake_world.run(seconds * 1_000.0)
    return (fake_world.log.appends - before) / seconds


def _send_keyed(fake_world: world.World, graph: graphs.Graph, number: int) -> None:
    key = uuid.UUID(int=(int(fake_world.now) << 80) | (7 << 76) | (2 << 62) | number)
    kind = graph.kinds["port-request"]
    fake_world.send(
        parts.Root(id=number + 1, kind=kind, sent=fake_world.now, key=str(key))
    )


def main() -> None:
    """Print the figures."""
    for size in (10, 100, 1_000, 4_200, 5_000):
        print(control_plane_cost(size, changes_per_day=4_032, seconds=30))
    print(configuration_cost())
    print("decisions: MB, us", decisions_cost())
    print("key: bytes", key_cost())


if __name__ == "__main__":
    main()
