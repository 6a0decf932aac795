"""A confirmed route table is active in time, whatever became of other nodes and of open
connections."""

import itertools

import pytest

from benchmarks import version_lag
from gingerturn import routes
from gingerturn.internal.core import messages, pollers, streams
from gingerturn_fakes import links, parts, world as worlds
from tests.common import routed

ZONES = ["a", "b", "c"]
SETTLE_MS = 4_000.0

SEEDS = [3, 8, 9, 13, 28, 31, 38, 45, 91, 92, 93, 107, 134, 178, 190, 210, 217]
"""Runs with overlapping faults, about half of them without silent connections."""


def _world(*, upstreams: int = 15) -> worlds.World:
    spec = parts.ServiceSpec("plans", upstreams, 4, {"lookup": 5.0})
    table = routed.table(routed.route())
    made = worlds.World(seed=3, services=[spec], documents={}, zones=ZONES, table=table)
    made.gossip_on = True
    made.run(SETTLE_MS)
    return made


def _publish(world: worlds.World, version: int) -> None:
    table = routes.RouteTable(version=version, routes=(routed.route(),))
    world.log.put(streams.ROUTES, "table", messages.encode_record(table))


def _versions(world: worlds.World, *names: str) -> set[int]:
    return {world.nodes[name].state.version for name in names or world.nodes}


# Guards against reads that nobody answers: all pollers waited for the end of a long
# poll on a connection that had fallen silent.
def test_a_change_is_active_in_time_though_all_open_connections_are_silent() -> None:
    late = []
    for phase_ms in range(0, 3_200, 200):
        world = _world()
        world.run(float(phase_ms))
        links.silence(world)
        world.run(100.0)
        _publish(world, 2)
        world.run(version_lag.CONTACT_MS - 100.0)
        if _versions(world) != {2}:
            late.append(phase_ms)
    assert not late


# Guards against a part without a poller: nodes that hear only one another waited for
# pollers that neither reached.
def test_a_change_is_active_in_time_at_two_nodes_that_hear_only_each_other() -> None:
    late = []
    names = sorted(_world().nodes)
    for pair in itertools.combinations(names, 2):
        world = _world()
        others = set(names) - set(pair)
        world.cut |= set(itertools.product(pair, others))
        world.cut |= set(itertools.product(others, pair))
        _publish(world, 2)
        world.run(version_lag.APPLY_MS)
        if _versions(world, *pair) != {2}:
            late.append(pair)
    assert not late


def _pollers(world: worlds.World) -> set[str]:
    nodes = world.nodes.values()
    return {n.name for n in nodes if pollers.is_poller(n.state, n.state.now)}


# Guards against nodes that wait for a table that a paused peer was to send.
@pytest.mark.parametrize("delay_ms", [0.0, 20.0, 50.0, 100.0])
def test_a_change_is_active_in_time_though_all_pollers_pause_meanwhile(
    delay_ms: float,
) -> None:
    world = _world()
    paused = _pollers(world)
    _publish(world, 2)
    world.run(delay_ms)
    for name in paused:
        world.pause(name, 6_000.0)
    world.run(version_lag.APPLY_MS - delay_ms)
    assert _versions(world, *(set(world.nodes) - paused)) == {2}


# Guards against nodes that rely on pollers whose own way to the log is refused or
# silent, while they are alive to their peers.
@pytest.mark.parametrize("fault", ["refused_nodes", "silent_nodes"])
@pytest.mark.parametrize("delay_ms", [0.0, 500.0, 1_500.0])
def test_a_change_is_active_in_time_though_the_log_serves_no_poller(
    fault: str, delay_ms: float
) -> None:
    world = _world()
    affected = _pollers(world)
    setattr(world.log, fault, affected)
    world.run(delay_ms)
    _publish(world, 2)
    world.run(version_lag.APPLY_MS)
    assert _versions(world, *(set(world.nodes) - affected)) == {2}


# Guards against the same two causes and others where faults overlap.
def test_changes_are_active_in_time_under_overlapping_faults() -> None:
    late = {}
    for seed in SEEDS:
        result = version_lag.Run(seed, nodes=18).play()
        assert not result.reverted
        if result.late:
            late[seed] = result.late[0]
    assert not late


# Guards against a check that cannot fail.
@pytest.mark.parametrize("learns", [True, False])
def test_the_check_reports_a_node_that_learns_nothing(learns: bool) -> None:
    run = version_lag.Run(1, nodes=6, faults=0)
    if not learns:
        name = sorted(run.world.nodes)[0]
        others = set(run.world.nodes) - {name}
        run.world.cut |= {(other, name) for other in others}
        run.world.log.refused_nodes.add(name)
    result = run.play()
    assert bool(result.late) == (not learns)
