"""Choice of an upstream by zone, call size and slowness."""

import collections

import pytest

from benchmarks import deployments, sites
from gingerturn.internal import ids
from gingerturn.internal.core import (
    messages,
    ranks,
    reducer,
    routing,
    state as states,
    upstream_costs,
    upstreams,
)
from tests.common import builders, routed

SMALL, LARGE = "small", "large"


def _entry() -> states.State:
    state = routed.node_state(
        routed.route(SMALL), routed.route(LARGE, prefix="/b/"), name="n1"
    )
    state.zone = "z1"
    builders.add_members(
        state,
        builders.member("near", "plans", zone="z1"),
        builders.member("far", "plans", zone="z2"),
    )
    return state


def _run_call(state: states.State, kind: str, size: int, call: int) -> None:
    path = {SMALL: "/a/x", LARGE: "/b/x"}[kind]
    event = routed.arrived(call, path=path, now=state.now)
    sent = routed.sent_to(reducer.reduce(state, event))
    done = builders.answered(sent.attempt, size=size, now=state.now + 10.0)
    reducer.reduce(state, done)


def _chosen(state: states.State, kind: str, near_load: int) -> collections.Counter[str]:
    for node, load in (("near", near_load), ("far", 10)):
        report = builders.report(load=load, limit=100)
        routing.on_load_report(state, ids.NodeId(node), kind, report)
    nodes = upstreams.candidates(state, ids.ServiceName("plans"))
    chosen = (routing.choose(state, nodes, kind, ranks.HIGHEST) for _ in range(50))
    return collections.Counter(str(node) for node in chosen)


def test_large_bodies_leave_the_zone_after_small_ones() -> None:
    state = _entry()
    # Both upstreams have reported once, whatever the choice.
    for node in ("near", "far"):
        report = builders.report(load=1, limit=100)
        routing.on_load_report(state, ids.NodeId(node), SMALL, report)
    for call in range(1_000, 2_000, 2):
        _run_call(state, SMALL, 400, call)
        _run_call(state, LARGE, 20_000, call + 1)
    assert set(_chosen(state, SMALL, near_load=30)) == {"far"}
    assert set(_chosen(state, LARGE, near_load=30)) == {"near"}
    # A zone whose upstreams are full is left by all calls.
    assert set(_chosen(state, LARGE, near_load=95)) == {"far"}


def _report_by_zone(
    state: states.State, *, near_load: int, far_load: int, far_age_ms: float
) -> None:
    """Record a load of 20 upstreams in the own zone, and an older one of 75 others."""
    near = [builders.member(f"near-{n}", "plans", zone="z1") for n in range(20)]
    far = [builders.member(f"far-{n}", "plans", zone="z2") for n in range(75)]
    builders.add_members(state, *near, *far)
    for member in far:
        report = builders.report(load=far_load, limit=100)
        routing.on_load_report(state, member.node, SMALL, report)
    state.now += far_age_ms
    for member in near:
        report = builders.report(load=near_load, limit=100)
        routing.on_load_report(state, member.node, SMALL, report)


def _same_zone_share(state: states.State) -> float:
    nodes = upstreams.candidates(state, ids.ServiceName("plans"))
    chosen = (routing.choose(state, nodes, SMALL, ranks.HIGHEST) for _ in range(300))
    return sum("near" in str(node) for node in chosen) / 300


def test_stale_idle_loads_do_not_draw_calls_out_of_the_zone() -> None:
    state = routed.node_state(routed.route(SMALL), name="n1")
    state.zone = "z1"
    _report_by_zone(state, near_load=40, far_load=25, far_age_ms=2_000.0)
    for _ in range(5):
        # The few others that were tried report that they are busier now.
        report = builders.report(load=45, limit=100)
        routing.on_load_report(state, ids.NodeId("far-0"), SMALL, report)
    assert _same_zone_share(state) > 0.9


def test_calls_leave_a_zone_much_busier_than_the_reported_mean_of_others() -> None:
    state = routed.node_state(routed.route(SMALL), name="n1")
    state.zone = "z1"
    _report_by_zone(state, near_load=90, far_load=25, far_age_ms=2_000.0)
    assert _same_zone_share(state) < 0.2


def test_a_slow_upstream_gets_few_calls_and_is_tried_again_later() -> None:
    state = routed.node_state()
    names = ("n2", "n3", "n4")
    builders.add_members(state, *(builders.member(name, "plans") for name in names))
    idle = messages.LoadReport(
        level=ranks.LOWEST, tree_level=ranks.LOWEST, load=1, limit=100
    )
    for _ in range(200):
        for name in names:
            node = ids.NodeId(name)
            routing.on_load_report(state, node, "lookup", idle)
            elapsed = 360.0 if name == "n2" else 30.0
            upstream_costs.record_traffic(state, node, "lookup", elapsed, 500)
        state.now += 1.0
    nodes = upstreams.candidates(state, ids.ServiceName("plans"))
    first = [routing.choose(state, nodes, "lookup", 0) for _ in range(200)]
    assert first.count(ids.NodeId("n2")) == 0
    state.now += 8 * upstream_costs.SLOWNESS_HALF_LIFE_MS
    later = [routing.choose(state, nodes, "lookup", 0) for _ in range(200)]
    assert later.count(ids.NodeId("n2")) > 20


def test_slowness_penalty_keeps_requests_completing_beside_a_slow_upstream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def played() -> sites.Result:
        site = deployments.MAWID
        run = sites.Run(site, seed=1, seconds=8.0)
        backend = run.world.nodes["tracker-1"].backend
        slow = 12.0 * backend.slow
        run.world.at(2_000.0, lambda: setattr(backend, "slow", slow))
        return run.play()

    with_penalty = played()
    monkeypatch.setattr(upstream_costs, "SLOWNESS_PENALTY", 0.0)
    without_penalty = played()
    assert with_penalty.worth > without_penalty.worth + 0.005
