"""Comparison of methods to enforce caps and to keep evidence about keys verified.

``python -m benchmarks.workspaces [NODES...]`` prints four tables, on the fake clock.
One method of each is the product's; the others disable parts of it.
"""

import collections.abc
import contextlib
import sys
import time
import typing
import unittest.mock

from gingerturn import routes
from gingerturn.internal.core import (
    cap_allocator,
    caps,
    effects,
    freshness,
    freshness_renewal,
    member_order,
    state as states,
    version_bound,
)
from gingerturn.internal.wire import datagrams
from gingerturn_fakes import capped, parts, world as worlds

Patches = list[tuple[typing.Any, str, object]]

RATE = 50.0
MODERATE_RATE = RATE / 1.6
SECONDS = 8
REVOKE_MS = 5_000.0


def _nothing(*arguments: object) -> None:
    """Replace a part that is disabled."""


CAP_VARIANTS: dict[str, Patches] = {
    "equal parts": [(caps, "request_leases", _nothing), (caps, "MAX_WAIT_MS", 0.0)],
    "each request counted at the keeper": [(cap_allocator, "LEASED_SHARE", 0.0)],
    "leases and single tokens (kept)": [],
}

KEY_VARIANTS: dict[str, Patches] = {
    "own reads": [
        (freshness_renewal, "_query_member", _nothing),
        (version_bound, "FIRST_READ_AGE_SHARE", version_bound.QUERY_AGE_SHARE),
        (version_bound, "READ_AGE_SHARE", version_bound.QUERY_AGE_SHARE),
    ],
    "members only": [(freshness_renewal, "_read_log", _nothing)],
    "both (kept)": [],
}


@contextlib.contextmanager
def _patched(patches: Patches) -> collections.abc.Iterator[None]:
    with contextlib.ExitStack() as stack:
        for owner, name, replacement in patches:
            patch = unittest.mock.patch.object(owner, name, replacement)
            stack.enter_context(patch)
        yield


def _deployment(nodes: int, *, rate: float = RATE) -> capped.Deployment:
    cap = routes.workspace("shop", ["shop"], rate=rate, burst=rate)
    return capped.Deployment(cap, nodes=nodes)


def _served(deployment: capped.Deployment) -> float:
    return len(deployment.admitted["shop"]) / max(1, deployment.sent["shop"])


def _calm(nodes: int) -> float:
    deployment = _deployment(nodes)
    deployment.load(
        "shop", deployment.names, rate=MODERATE_RATE, duration_ms=1_000.0 * SECONDS
    )
    deployment.world.run(1_000.0 * SECONDS + 500.0)
    return _served(deployment)


def _skewed(nodes: int) -> float:
    deployment = _deployment(nodes)
    deployment.load(
        "shop", deployment.names[:2], rate=MODERATE_RATE, duration_ms=1_000.0 * SECONDS
    )
    deployment.world.run(1_000.0 * SECONDS + 500.0)
    return _served(deployment)


def _moving(nodes: int) -> float:
    deployment = _deployment(nodes)
    for second in range(SECONDS):
        node = deployment.names[second % nodes]
        deployment.load("shop", [node], rate=MODERATE_RATE, duration_ms=1_000.0)
        deployment.world.run(1_000.0)
    return _served(deployment)


def _partitioned(nodes: int) -> float:
    deployment = _deployment(nodes)
    deployment.load(
        "shop", deployment.names, rate=MODERATE_RATE, duration_ms=1_000.0 * SECONDS
    )
    deployment.world.run(1_000.0)
    deployment.partition(set(deployment.names[: max(1, nodes * 2 // 5)]))
    deployment.world.run(1_000.0 * SECONDS)
    return _served(deployment)


def _restarted(nodes: int) -> float:
    deployment = _deployment(nodes)
    deployment.world.run(3_000.0)
    for name in deployment.names:
        deployment.world.kill(name)
    deployment.world.run(1_000.0)
    for name in deployment.names:
        deployment.world.restart(name)
    deployment.world.run(1_000.0)
    deployment.load(
        "shop", deployment.names, rate=MODERATE_RATE, duration_ms=1_000.0 * SECONDS
    )
    deployment.world.run(1_000.0 * SECONDS + 500.0)
    return _served(deployment)


def _share_of_allowed(deployment: capped.Deployment) -> float:
    """Return the admitted requests over those that a sliding window of the cap without
    tolerance would have admitted."""
    allowed = deployment.max_allowed("shop", RATE * 5.0 + RATE, 5_000.0)
    return len(deployment.admitted["shop"]) / max(1, allowed)


def _near(nodes: int, *, load: float = 1.05, retry_share: float = 0.0) -> float:
    """Demand slightly above the rate of the cap, of which each node gets little."""
    deployment = _deployment(nodes)
    deployment.retry_share = retry_share
    deployment.load(
        "shop", deployment.names, rate=load * RATE, duration_ms=2_000.0 * SECONDS
    )
    deployment.world.run(2_000.0 * SECONDS + 500.0)
    return _share_of_allowed(deployment)


def _burst(nodes: int, *, factor: float, duration_ms: float) -> float:
    """Usual demand, then a burst; only requests of the burst count."""
    deployment = _deployment(nodes)
    deployment.load(
        "shop", deployment.names, rate=MODERATE_RATE, duration_ms=5_000.0 + duration_ms
    )
    deployment.world.run(5_000.0)
    deployment.load(
        "shop",
        deployment.names,
        rate=(factor - 1.0) * MODERATE_RATE,
        duration_ms=duration_ms,
    )
    deployment.world.run(duration_ms + 500.0)
    return _share_of_allowed(deployment)


def _long_burst(nodes: int) -> float:
    return _burst(nodes, factor=1.7, duration_ms=18_000.0)


def _short_burst(nodes: int) -> float:
    return _burst(nodes, factor=2.4, duration_ms=3_000.0)


def _uneven(nodes: int) -> float:
    """As near the cap, with half of all requests at one node in ten."""
    deployment = _deployment(nodes)
    few = deployment.names[: max(1, nodes // 10)]
    for names in (few, deployment.names):
        deployment.load("shop", names, rate=0.525 * RATE, duration_ms=2_000.0 * SECONDS)
    deployment.world.run(2_000.0 * SECONDS + 500.0)
    return _share_of_allowed(deployment)


def _retried(nodes: int) -> float:
    """Twice the cap, and 0.35 of the callers retry 3 times immediately."""
    return _near(nodes, load=2.0, retry_share=0.35)


def _lost(nodes: int) -> float:
    """Usual demand while all nodes are killed and restarted a second later."""
    deployment = _deployment(nodes)
    deployment.load(
        "shop", deployment.names, rate=MODERATE_RATE, duration_ms=1_000.0 * SECONDS
    )
    deployment.world.run(2_000.0)
    for name in deployment.names:
        deployment.world.kill(name)
    deployment.world.run(1_000.0)
    for name in deployment.names:
        deployment.world.restart(name)
    deployment.world.run(1_000.0 * SECONDS - 2_500.0)
    return _served(deployment)


def _overloaded(nodes: int) -> tuple[float, float]:
    """Return the maximum requests admitted in a window over its bound and the cap."""
    deployment = _deployment(nodes)
    deployment.load(
        "shop", deployment.names, rate=4.7 * RATE, duration_ms=1_000.0 * SECONDS
    )
    deployment.world.run(1_000.0 * SECONDS)
    window = RATE * 5.0 + RATE
    most = deployment.max_in_window("shop", 5_000.0)
    return most / (1.1 * window + 20.0), most / window


def _cost(nodes: int, workspaces: int) -> tuple[float, float, float]:
    """Return microseconds of processor time a request at its node, and bytes a second
    sent for caps by a node and by the cap allocator."""
    names = [f"w{number}" for number in range(workspaces)]
    listed = [routes.workspace(name, [name], rate=RATE, burst=RATE) for name in names]
    deployment = capped.Deployment(*listed, nodes=nodes)
    sent: dict[str, int] = {}
    inner = deployment.world.on_effect

    def count(node: parts.FakeNode, effect: effects.Effect) -> None:
        inner(node, effect)
        if isinstance(effect, effects.SendGossip) and effect.message.caps is not None:
            data = datagrams.encode(b"s", "n", deployment.world.now, effect.message)
            sent[node.name] = sent.get(node.name, 0) + len(data)

    deployment.world.on_effect = count
    spent = 0.0
    admitted = 0
    admit = caps.admit

    def timed(*arguments: typing.Any) -> bool:
        nonlocal spent, admitted
        begun = time.process_time()
        passed = admit(*arguments)
        spent += time.process_time() - begun
        admitted += 1
        return passed

    rate = min(20.0 * nodes, 2_000.0) / workspaces
    for index, name in enumerate(names):
        at = [
            deployment.names[(index * 7 + step) % nodes]
            for step in range(min(nodes, 10))
        ]
        deployment.load(name, at, rate=rate, duration_ms=4_000.0)
    with unittest.mock.patch.object(caps, "admit", timed):
        deployment.world.run(4_000.0)
    allocator = next(iter(deployment.world.nodes.values())).state.caps.allocator
    others = [count / 4.0 for name, count in sent.items() if name != allocator]
    node_bytes = sum(others) / max(1, len(others))
    return 1e6 * spent / max(1, admitted), node_bytes, sent.get(allocator, 0) / 4.0


NEAR_SCENARIOS = {
    "1.0 of the rate": lambda nodes: _near(nodes, load=1.0),
    "1.1 of the rate": lambda nodes: _near(nodes, load=1.1),
    "uneven": _uneven,
    "1.7 for 18 s": _long_burst,
    "2.4 for 3 s": _short_burst,
    "twice, retried": _retried,
    "all lost, served": _lost,
}


def compare_near(sizes: list[int]) -> None:
    """Print the share admitted of what a window of the cap allows, near the cap."""
    print("way | nodes | " + " | ".join(NEAR_SCENARIOS))
    for way, patches in CAP_VARIANTS.items():
        for nodes in sizes:
            with _patched(patches):
                shares = [f"{run(nodes):.3f}" for run in NEAR_SCENARIOS.values()]
            print(f"{way} | {nodes} | " + " | ".join(shares), flush=True)


def compare_caps(sizes: list[int]) -> None:
    """Print the share that each method admits, by number of nodes."""
    print("way | nodes | calm | skewed | moving | parted | restarted | most of bound")
    for way, patches in CAP_VARIANTS.items():
        for nodes in sizes:
            with _patched(patches):
                row = [_calm, _skewed, _moving, _partitioned, _restarted]
                shares = " | ".join(f"{measure(nodes):.3f}" for measure in row)
                most, _ = _overloaded(nodes)
            print(f"{way} | {nodes} | {shares} | {most:.2f}", flush=True)
    print("way | nodes | workspaces | us a request | bytes/s a node | at the keeper")
    for way, patches in CAP_VARIANTS.items():
        for nodes in sizes:
            for workspaces in (76, 2_000):
                with _patched(patches):
                    us, node_bytes, allocator_bytes = _cost(nodes, workspaces)
                row = f"{way} | {nodes} | {workspaces} | {us:.1f}"
                print(f"{row} | {node_bytes:.0f} | {allocator_bytes:.0f}", flush=True)


def _keyed_world(nodes: int) -> worlds.World:
    spec = parts.ServiceSpec(capped.SERVICE, nodes, 100, {"lookup": 5.0})
    world = worlds.World(
        seed=3,
        services=[spec],
        documents={},
        zones=["a", "b", "c"],
        table=capped.table(routes.workspace("shop", ["shop"])),
        revoke_ms=REVOKE_MS,
    )
    world.gossip_on = True
    world.run(5_000.0)
    return world


def _observe(world: worlds.World, duration_ms: float) -> tuple[float, float]:
    """Return the maximum age of evidence and the node-seconds of refused keys."""
    oldest = closed = 0.0
    for _ in range(int(duration_ms / 50.0)):
        world.run(50.0)
        for node in world.nodes.values():
            oldest = max(oldest, world.now - node.state.freshness.verified_at)
            closed += 0.05 * _is_stale(node.state, world.now)
    return oldest, closed


def _is_stale(state: states.State, now: float) -> bool:
    return now - state.freshness.verified_at > freshness.allowed_ms(state)


def compare_keys(sizes: list[int]) -> None:
    """Print the cost of each method to keep evidence about keys verified."""
    print(
        "way | nodes | reads/s | bytes/s a node | oldest ms | heads refused: closed"
        " node-s | silent: all closed after ms | open again after ms"
    )
    for way, patches in KEY_VARIANTS.items():
        for nodes in sizes:
            with _patched(patches):
                _print_keys(way, nodes)


def _print_keys(way: str, nodes: int) -> None:
    world = _keyed_world(nodes)
    reads = sent = 0

    def count(node: parts.FakeNode, effect: effects.Effect) -> None:
        nonlocal reads, sent
        if isinstance(effect, effects.ReadLog):
            reads += 1
        elif isinstance(effect, effects.SendGossip):
            sent += len(datagrams.encode(b"s", "n", world.now, effect.message))

    world.on_effect = count
    oldest, _ = _observe(world, 6_000.0)
    calm_reads, calm_sent = reads / 6.0, sent / 6.0 / nodes
    world.log.refused_nodes = {
        n.name for n in world.nodes.values() if member_order.is_zone_first(n.state)
    }
    _, closed = _observe(world, 6_000.0)
    world.log.refused_nodes = set()
    world.run(3_000.0)
    world.log.silent = True
    all_closed = _time_until(world, lambda age: age > freshness_limit())
    world.log.silent = False
    opened = _time_until(world, lambda age: age <= freshness_limit())
    row = f"{way} | {nodes} | {calm_reads:.1f} | {calm_sent:.0f} | {oldest:.0f}"
    print(f"{row} | {closed:.1f} | {all_closed:.0f} | {opened:.0f}", flush=True)


def freshness_limit() -> float:
    """Return the maximum age of the evidence at which keys are accepted."""
    return REVOKE_MS - freshness.MARGIN_MS


def _time_until(
    world: worlds.World, wanted: collections.abc.Callable[[float], bool]
) -> float:
    begun = world.now
    while world.now - begun < 20_000.0:
        world.run(50.0)
        ages = [world.now - n.state.freshness.verified_at for n in world.nodes.values()]
        if all(map(wanted, ages)):
            break
    return world.now - begun


def main() -> None:
    """Print all tables."""
    sizes = [int(argument) for argument in sys.argv[1:]] or [4, 68]
    compare_caps(sizes)
    compare_near(sizes)
    compare_keys(sizes)


if __name__ == "__main__":
    main()
