"""Order of shedding by the cost of a kind at its bottleneck service."""

import random

import pytest

from benchmarks import deployments, sites
from gingerturn import configuration
from gingerturn.internal import ids
from gingerturn.internal.core import (
    arrivals,
    events,
    reducer,
    slot_costs,
    state as states,
)
from tests.common import builders, routed

CHEAP, COSTLY, UNREPORTED = "listing", "status", "alone"
TOP = configuration.IMPORTANCE_CLASSES - 1


def _costs(**slot_ms: float) -> states.Costs:
    costs = states.Costs()
    for kind, cost in slot_ms.items():
        costs.reported[kind] = states.TreeCost(ids.ServiceName("tracker"), cost)
        costs.root_importance[kind] = 5
    return costs


def _admitted(costs: states.Costs, kind: str, level: float) -> float:
    """Return the share of a kind's requests whose hash is not below a level.

    :param level: as a share of the range of hashes.
    """
    generator = random.Random(1)
    roots = [generator.getrandbits(64) for _ in range(4_000)]
    lowered = [slot_costs.shedding_hash(costs, kind, 5, root) for root in roots]
    return sum(root >= level * 2**64 for root in lowered) / len(lowered)


def test_the_costlier_of_two_kinds_is_shed_first() -> None:
    costs = _costs(listing=120.0, status=480.0)
    assert _admitted(costs, CHEAP, 0.5) == pytest.approx(0.5, abs=0.03)
    assert _admitted(costs, COSTLY, 0.5) == pytest.approx(1 - 0.5**0.25, abs=0.03)
    # The order is not strict: some of the costly kind precedes some of the cheap one.
    assert _admitted(costs, COSTLY, 0.1) > 0.3


def test_kinds_of_another_priority_or_bottleneck_do_not_change_the_order() -> None:
    costs = _costs(listing=120.0, status=480.0)
    costs.root_importance[CHEAP] = 7
    assert slot_costs.shedding_hash(costs, COSTLY, 5, 1 << 63) == 1 << 63
    costs = _costs(listing=120.0, status=480.0)
    costs.reported[CHEAP].service = ids.ServiceName("calendar")
    assert slot_costs.shedding_hash(costs, COSTLY, 5, 1 << 63) == 1 << 63


def test_a_kind_without_a_reported_cost_keeps_its_order() -> None:
    assert slot_costs.shedding_hash(_costs(), UNREPORTED, 5, 12_345) == 12_345


def test_a_home_node_reports_the_cost_at_the_bottleneck_service_below() -> None:
    state = routed.node_state(
        routed.route("top"),
        routed.route("below", prefix="/b/", shares=(("tracker", 1),)),
        service="plans",
        slots=50,
    )
    builders.add_members(state, builders.member("n2", "tracker"))
    for run in range(10):
        terms = builders.call_metadata(kind="top", trace=f"r{run}")
        reducer.reduce(state, builders.opened(run, terms))
        for call in range(4):
            number = 1_000 + 10 * run + call
            request = f"r{run}.c{call}"
            event = routed.arrived(number, path="/b/x", request=request)
            sent = routed.sent_to(reducer.reduce(state, event))
            child_report = builders.report(
                level=1_000, bottleneck="tracker", bottleneck_slot_ms=30.0
            )
            answer = builders.answered(
                sent.attempt, load_report=child_report, now=state.now
            )
            reducer.reduce(state, answer)
    state.now += slot_costs.RECOMPUTE_INTERVAL_MS
    report = slot_costs.report_of(state, "top")
    assert (report.service, report.slot_ms) == ("tracker", 120.0)


def test_the_counts_of_runs_and_calls_stay_bounded() -> None:
    costs = states.Costs()
    for _ in range(10_000):
        slot_costs.record_run(costs, "top")
        for _ in range(3):
            slot_costs.record_child_call(
                costs, "top", ids.ServiceName("s"), ids.KindName("below")
            )
    fanout = costs.fanouts["top"]
    assert fanout.runs <= slot_costs.MAX_RUNS
    (count,) = fanout.calls.values()
    assert count / fanout.runs == pytest.approx(3.0, rel=0.05)


def test_the_statistics_of_a_kind_are_dropped_with_its_route() -> None:
    state = routed.node_state(routed.route("top"), service="plans")
    sent = routed.sent_to(reducer.reduce(state, routed.arrived(1)))
    cost_report = builders.report(bottleneck="tracker", bottleneck_slot_ms=30.0)
    reducer.reduce(
        state, builders.answered(sent.attempt, load_report=cost_report, now=state.now)
    )
    assert "top" in state.costs.reported
    assert "top" in state.mean_answer_ms
    table = routed.table(routed.route("other"), version=2)
    reducer.reduce(state, events.RoutesReceived(now=state.now, table=table))
    kept = (state.traffic, state.mean_answer_ms, *slot_costs.by_kind(state.costs))
    assert not any(kept)


def test_an_eighth_of_a_costly_kind_keeps_the_first_priority() -> None:
    state = routed.node_state(routed.route(COSTLY, priority=5))
    builders.add_members(state, builders.member("n2", "plans"))
    state.costs = _costs(listing=10.0, status=1_000.0)
    state.costs.root_importance = dict.fromkeys(state.costs.root_importance, 2)
    sent = [
        routed.sent_to(reducer.reduce(state, routed.arrived(n))).metadata
        for n in range(2_000)
    ]
    protected = [metadata for metadata in sent if metadata.importance == TOP]
    assert 0.1 < len(protected) / len(sent) < 0.15
    assert all(metadata.root >= arrivals.PROTECTED_FROM for metadata in protected)


def test_more_whole_requests_complete_where_the_cheaper_kind_goes_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def played() -> sites.Result:
        site = deployments.MAWID
        run = sites.Run(site, seed=1, seconds=9.0)
        run.demand = 1.5
        run.world.at(1_000.0, lambda: run.world.kill("tracker-3"))
        return run.play()

    by_cost = played()
    monkeypatch.setattr(
        slot_costs, "shedding_hash", lambda costs, kind, importance, root: root
    )
    by_hash = played()
    assert by_cost.worth > by_hash.worth + 0.01
    served = by_cost.tallies["status-check"].share
    shares = [tally.share for tally in by_cost.tallies.values()]
    assert served > sum(shares) / len(shares) / 4
