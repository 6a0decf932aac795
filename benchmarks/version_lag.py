"""How late versions of the route table are active under overlapping faults.

``python -m benchmarks.version_lag [--nodes N] [--seeds FIRST LAST] [--calm]`` plays one
deployment a seed on the fake clock: a version every 0.3 to 2 s, and one to four faults
that overlap. It prints each node that has an old version later than allowed, and the
reads of the log.

``--costs [--apply-ms MS]`` prints what the bound costs instead: datagrams of a node in
calm, and reads of the table while the log answers nobody.
"""

import argparse
import collections
import collections.abc
import enum
import random

import msgspec

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import effects, messages, streams
from gingerturn.internal.wire import datagrams
from gingerturn_fakes import links, parts, world as worlds

APPLY_MS = 2_000.0
"""Time within which an acknowledged version must be active."""

CONTACT_MS = 3_000.0
"""Time after a fault of its own in which a node is excused."""

SETTLE_MS = 4_000.0
FAULTS_MS = 14_000.0
AFTER_MS = 6_000.0
SAMPLE_MS = 50.0
COSTS_FROM_MS = 8_000.0
COSTS_MS = 5_000.0
OUTAGE_MS = 8_000.0
ZONES = ["a", "b", "c"]


class Fault(enum.Enum):
    """Kinds of faults."""

    CUT = "cut off"
    ONE_WAY = "cut off in one direction"
    PARTS = "three parts"
    KILL = "killed"
    PAUSE = "paused"
    LOG_REFUSES = "refused by the log"
    LOG_SILENT_FOR = "not answered by the log"
    LOG_SILENT = "log silent"
    LOG_DOWN = "log down"
    CONNECTIONS = "connections silent"


class Late(msgspec.Struct, frozen=True):
    """A node with an old version.

    :param age_ms: time since the next version was acknowledged.
    """

    node: str
    at_ms: float
    active: int
    acknowledged: int
    age_ms: float


class Result(msgspec.Struct):
    """The result of a run.

    :param late: the worst sample of each node.
    :param reverted: nodes that activated a lower version than before.
    """

    seed: int
    faults: list[str]
    late: list[Late]
    reverted: list[str]
    reads: int
    versions: int


class Run:
    """One deployment with its faults.

    :param faults: number of faults to draw; by the seed if ``None``.
    """

    def __init__(self, seed: int, *, nodes: int, faults: int | None = None) -> None:
        self._random = random.Random(seed)
        self._seed = seed
        self._fault_count = faults
        self._table = _table(1)
        half = (nodes + 1) // 2
        specs = [
            parts.ServiceSpec("plans", half, 4, {"lookup": 5.0}),
            parts.ServiceSpec("porting", nodes - half, 4, {"lookup": 5.0}),
        ]
        self.world = worlds.World(
            seed=seed, services=specs, documents={}, zones=ZONES, table=self._table
        )
        self.world.gossip_on = True
        self.world.on_effect = self._count
        self._acknowledged = [(1, self.world.now)]
        self._excused_until: dict[str, float] = collections.defaultdict(float)
        self._active: dict[str, tuple[int, int]] = {}
        self._worst: dict[str, Late] = {}
        self._log: list[str] = []
        self._reverted: list[str] = []
        self._reads = 0

    def play(self) -> Result:
        """Play the run."""
        self.world.run(SETTLE_MS)
        self._reads = 0
        end = self.world.now + FAULTS_MS
        self._publish_until(end)
        self._schedule_faults()
        while self.world.now < end + AFTER_MS:
            self.world.run(SAMPLE_MS)
            self._sample()
        late = sorted(self._worst.values(), key=lambda each: -each.age_ms)
        versions = len(self._acknowledged) - 1
        return Result(
            self._seed, self._log, late, self._reverted, self._reads, versions
        )

    # Versions.

    def publish(self) -> None:
        """Publish the next version."""
        version = self._acknowledged[-1][0] + self._random.randint(1, 4)
        record = messages.encode_record(_table(version))
        self.world.log.put(streams.ROUTES, "table", record)
        self._acknowledged.append((version, self.world.now))

    def _publish_until(self, end: float) -> None:
        def publish() -> None:
            if self.world.now >= end:
                return
            if not (self.world.log.down or self.world.log.silent):
                self.publish()
            self.world.at(self._random.uniform(300.0, 2_000.0), publish)

        self.world.at(self._random.uniform(0.0, 1_000.0), publish)

    def _sample(self) -> None:
        now = self.world.now
        for node in self.world.nodes.values():
            if not node.alive or now < node.paused_until:
                continue
            index = node.state.routes
            active = 0 if index is None else index.version
            self._check_order(node, active)
            if now < self._excused_until[node.name]:
                continue
            later = [each for each in self._acknowledged if each[0] > active]
            if later and now - later[0][1] > APPLY_MS:
                self._record(node.name, active, *later[0])

    def _check_order(self, node: parts.FakeNode, active: int) -> None:
        incarnation, before = self._active.get(node.name, (0, 0))
        if incarnation == node.incarnation and active < before:
            self._reverted.append(f"{node.name}: {before} to {active}")
        self._active[node.name] = (node.incarnation, active)

    def _record(self, name: str, active: int, version: int, at: float) -> None:
        age = self.world.now - at
        known = self._worst.get(name)
        if known is None or known.age_ms < age:
            when = self.world.now - worlds.START
            self._worst[name] = Late(name, when, active, version, age)

    def _count(self, node: parts.FakeNode, effect: effects.Effect) -> None:
        is_read = isinstance(effect, effects.ReadLog | effects.ReadNewest)
        if is_read and effect.stream == streams.ROUTES:
            self._reads += 1

    # Faults.

    def _schedule_faults(self) -> None:
        count = self._fault_count
        if count is None:
            count = self._random.randint(1, 4)
        for _ in range(count):
            at = self._random.uniform(0.0, FAULTS_MS - 4_000.0)
            kind = self._random.choice(list(Fault))
            self.world.at(at, lambda kind=kind: self._begin(kind))

    def _begin(self, kind: Fault) -> None:
        duration = self._random.uniform(300.0, 8_000.0)
        names = sorted(self.world.nodes)
        most = max(1, len(names) // 2)
        chosen = self._random.sample(names, self._random.randint(1, most))
        when = self.world.now - worlds.START
        text = f"{when:.0f} {kind.value} for {duration:.0f}"
        if kind not in {Fault.LOG_SILENT, Fault.LOG_DOWN, Fault.CONNECTIONS}:
            text += f": {' '.join(chosen)}"
        self._log.append(text)
        undo = _BEGIN[kind](self, chosen, duration)
        if self._random.random() < 0.5 and self._log_is_up():
            self.world.at(50.0, self.publish)
        self.world.at(duration, lambda: self._end(undo))

    def _end(self, undo: collections.abc.Callable[[], None]) -> None:
        undo()
        if self._random.random() < 0.5 and self._log_is_up():
            self.publish()

    def _log_is_up(self) -> bool:
        return not (self.world.log.down or self.world.log.silent)

    def _excuse(self, names: collections.abc.Iterable[str], duration: float) -> None:
        until = self.world.now + duration + CONTACT_MS
        for name in names:
            self._excused_until[name] = max(self._excused_until[name], until)

    def _cut(self, pairs: set[tuple[str, str]]) -> collections.abc.Callable[[], None]:
        added = pairs - self.world.cut
        self.world.cut |= added

        def undo() -> None:
            self.world.cut -= added

        return undo

    def _cut_off(
        self, chosen: list[str], duration: float
    ) -> collections.abc.Callable[[], None]:
        others = set(self.world.nodes) - set(chosen)
        pairs = {(one, other) for one in chosen for other in others}
        return self._cut(pairs | {(other, one) for one, other in pairs})

    def _cut_one_way(
        self, chosen: list[str], duration: float
    ) -> collections.abc.Callable[[], None]:
        others = set(self.world.nodes) - set(chosen)
        return self._cut({(other, one) for one in chosen for other in others})

    def _cut_in_parts(
        self, chosen: list[str], duration: float
    ) -> collections.abc.Callable[[], None]:
        part = {name: self._random.randrange(3) for name in self.world.nodes}
        return self._cut({(a, b) for a in part for b in part if part[a] != part[b]})

    def _kill(
        self, chosen: list[str], duration: float
    ) -> collections.abc.Callable[[], None]:
        killed = [name for name in chosen[:3] if self.world.nodes[name].alive]
        self._excuse(killed, duration)
        for name in killed:
            self.world.kill(name)

        def undo() -> None:
            for name in killed:
                self.world.restart(name)

        return undo

    def _pause(
        self, chosen: list[str], duration: float
    ) -> collections.abc.Callable[[], None]:
        self._excuse(chosen, duration)
        for name in chosen:
            if self.world.nodes[name].alive:
                self.world.pause(name, duration)
        return _nothing

    def _refuse(
        self, chosen: list[str], duration: float
    ) -> collections.abc.Callable[[], None]:
        return self._log_fault(self.world.log.refused_nodes, chosen, duration)

    def _do_not_answer(
        self, chosen: list[str], duration: float
    ) -> collections.abc.Callable[[], None]:
        return self._log_fault(self.world.log.silent_nodes, chosen, duration)

    def _log_fault(
        self, affected: set[str], chosen: list[str], duration: float
    ) -> collections.abc.Callable[[], None]:
        added = set(chosen) - affected
        self._excuse(added, duration)
        affected |= added
        return lambda: affected.difference_update(added)

    def _silence_log(
        self, chosen: list[str], duration: float
    ) -> collections.abc.Callable[[], None]:
        self._excuse(self.world.nodes, duration)
        self.world.log.silent = True
        return lambda: setattr(self.world.log, "silent", False)

    def _stop_log(
        self, chosen: list[str], duration: float
    ) -> collections.abc.Callable[[], None]:
        self._excuse(self.world.nodes, duration)
        self.world.log.down = True
        return lambda: setattr(self.world.log, "down", False)

    def _silence_connections(
        self, chosen: list[str], duration: float
    ) -> collections.abc.Callable[[], None]:
        self._excuse(self.world.nodes, 0.0)
        links.silence(self.world)
        return _nothing


def _nothing() -> None:
    """Undo nothing."""


_BEGIN = {
    Fault.CUT: Run._cut_off,
    Fault.ONE_WAY: Run._cut_one_way,
    Fault.PARTS: Run._cut_in_parts,
    Fault.KILL: Run._kill,
    Fault.PAUSE: Run._pause,
    Fault.LOG_REFUSES: Run._refuse,
    Fault.LOG_SILENT_FOR: Run._do_not_answer,
    Fault.LOG_SILENT: Run._silence_log,
    Fault.LOG_DOWN: Run._stop_log,
    Fault.CONNECTIONS: Run._silence_connections,
}


def _table(version: int) -> routes.RouteTable:
    route = routes.Route(
        name="lookup",
        host="shop.example",
        path_prefix="/a/",
        type=routes.RouteType.SAFE,
        timeout_ms=1_000,
        target_ms=500,
        priority=2,
        max_attempts=2,
        shares=(routes.Share("plans"),),
    )
    return routes.RouteTable(version=version, routes=(route,))


def _calm_world(nodes: int, apply_ms: float) -> worlds.World:
    spec = parts.ServiceSpec("plans", nodes, 4, {"lookup": 5.0})
    world = worlds.World(
        seed=3,
        services=[spec],
        documents={},
        zones=ZONES,
        table=_table(1),
        apply_ms=apply_ms,
    )
    world.gossip_on = True
    world.run(COSTS_FROM_MS)
    return world


def _print_datagrams(nodes: int, apply_ms: float) -> None:
    """Print the datagrams and bytes that a node sends a second, mean and most."""
    world = _calm_world(nodes, apply_ms)
    sizes: dict[str, list[int]] = collections.defaultdict(list)

    def measure(node: parts.FakeNode, effect: effects.Effect) -> None:
        if isinstance(effect, effects.SendGossip):
            sender = ids.NodeId(node.name)
            datagram = datagrams.encode(b"s", sender, world.now, effect.message)
            sizes[node.name].append(len(datagram))

    world.on_effect = measure
    world.run(COSTS_MS)
    seconds = COSTS_MS / 1_000.0
    counts = [len(each) / seconds for each in sizes.values()]
    sent = [sum(each) / seconds for each in sizes.values()]
    print(
        f"{nodes} nodes, bound {apply_ms:.0f} ms: datagrams a second"
        f" {sum(counts) / nodes:.1f}, most {max(counts):.1f}; bytes a second"
        f" {sum(sent) / nodes:.0f}, most {max(sent):.0f}"
    )


def _print_outage(nodes: int, apply_ms: float, fault: str) -> None:
    """Print the reads of the table while the log answers nobody, and afterwards.

    :param fault: field of the fake log.
    """
    world = _calm_world(nodes, apply_ms)
    reads = 0

    def count(node: parts.FakeNode, effect: effects.Effect) -> None:
        nonlocal reads
        is_read = isinstance(effect, effects.ReadLog | effects.ReadNewest)
        reads += is_read and effect.stream == streams.ROUTES

    world.on_effect = count
    setattr(world.log, fault, True)
    world.run(OUTAGE_MS)
    setattr(world.log, fault, False)
    during = reads
    world.run(COSTS_MS)
    print(f"log {fault} for 8 s: {during} reads, {reads - during} in the 5 s after it")


def _print_costs(nodes: int, apply_ms: float) -> None:
    _print_datagrams(nodes, apply_ms)
    for fault in ("silent", "down"):
        _print_outage(nodes, apply_ms, fault)


def main() -> None:
    """Play runs and print their results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", type=int, default=18)
    parser.add_argument("--seeds", type=int, nargs=2, default=[0, 100])
    parser.add_argument("--calm", action="store_true", help="without faults")
    parser.add_argument("--costs", action="store_true", help="what the bound costs")
    parser.add_argument("--apply-ms", type=float, default=APPLY_MS)
    options = parser.parse_args()
    if options.costs:
        _print_costs(options.nodes, options.apply_ms)
        return
    late_runs, worst, reads = 0, 0.0, 0
    first, last = options.seeds
    for seed in range(first, last):
        run = Run(seed, nodes=options.nodes, faults=0 if options.calm else None)
        result = run.play()
        reads += result.reads
        for text in result.reverted:
            print(f"seed {seed}: REVERTED {text}")
        if not result.late:
            continue
        late_runs += 1
        worst = max(worst, result.late[0].age_ms)
        print(f"seed {seed}: {len(result.late)} nodes late; {'; '.join(result.faults)}")
        for each in result.late[:3]:
            print(
                f"  {each.node} at {each.at_ms:.0f}: active {each.active},"
                f" {each.acknowledged} acknowledged {each.age_ms:.0f} ms before"
            )
    runs = last - first
    seconds = runs * (FAULTS_MS + AFTER_MS) / 1_000.0
    print(
        f"{late_runs} of {runs} runs late, worst {worst:.0f} ms;"
        f" {reads / seconds:.2f} reads of the table a second by {options.nodes} nodes"
    )


if __name__ == "__main__":
    main()
