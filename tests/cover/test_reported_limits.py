"""Rate limits that backend servers report in their answers."""

import random

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from benchmarks import deployments, sites
from gingerturn.internal import ids
from gingerturn.internal.core import (
    backend_reports,
    decisions,
    effects,
    events,
    messages,
    rate_limits,
    reducer,
    state as states,
)
from gingerturn_fakes import world
from tests.common import builders, reports, routed


def _limited_run(
    limits: dict[str, float], *, seconds: float = 12.0, seed: int = 1
) -> tuple[sites.Run, reports.Reports]:
    """Return a run of brolga in which backend servers report limits from 2 s on."""
    run = sites.Run(deployments.BROLGA, seed=seed, seconds=seconds)
    observed = reports.Reports(run.world)
    for name, rate in limits.items():
        run.world.at(2_000.0, lambda name=name, rate=rate: observed.limit(name, rate))
    return run, observed


# Guards against a reported rate limit that no node applies.
def test_a_backend_server_gets_no_more_than_the_rate_limit_it_reports() -> None:
    run, observed = _limited_run({"plans-1": 7.4, "plans-4": 11.9})
    run.play()
    assert observed.violations() == []


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("limit", [0.0, 0.3, 2.5, 11.9, 60.0, 1e6])
def test_any_limit_holds_at_one_of_several_upstreams(seed: int, limit: float) -> None:
    run, observed = _limited_run({"plans-3": limit}, seconds=8.0, seed=seed)
    result = run.play()
    assert observed.violations() == []
    # The others have room for what it does not take.
    assert result.tallies["plan-lookup"].share > 0.99


def test_a_limited_upstream_gets_most_of_what_it_accepts() -> None:
    run, observed = _limited_run({"plans-1": 7.4, "plans-4": 11.9})
    run.play()
    assert observed.rate("plans-1/0", *_seconds(4.0, 12.0)) > 0.8 * 7.4
    assert observed.rate("plans-4/0", *_seconds(4.0, 12.0)) > 0.8 * 11.9


# Guards against an upstream that is avoided for a limit which it does not reach.
def test_a_limit_above_the_usual_rate_changes_nothing() -> None:
    run, observed = _limited_run({"plans-4": 60.0}, seconds=8.0)
    run.play()
    before = observed.rate("plans-4/0", *_seconds(0.0, 2.0))
    assert before < 60.0
    assert observed.rate("plans-4/0", *_seconds(3.0, 8.0)) > 0.8 * before


# Guards against limited upstreams that decide for a service where others have room.
@pytest.mark.parametrize(("limit", "demand"), [(5.0, 0.6), (125.0, 0.8)])
def test_nothing_is_refused_while_one_upstream_has_room(
    limit: float, demand: float
) -> None:
    limits = {"provisioning-1": limit, "provisioning-2": limit}
    run, observed = _limited_run(limits, seconds=8.0)
    run.demand = demand
    result = run.play()
    assert observed.violations() == []
    assert all(tally.share > 0.995 for tally in result.tallies.values())


# Guards against a limit that holds for each entry node by itself.
def test_the_limits_of_a_whole_service_shed_roots_in_the_order_of_rank() -> None:
    limits = {f"provisioning-{number}": 100.0 for number in range(1, 4)}
    run, observed = _limited_run(limits, seconds=9.0)
    result = run.play()
    assert observed.violations() == []
    served = {name: tally.share for name, tally in result.tallies.items()}
    assert served["esim-profile"] > 0.99
    assert result.useful > 0.6


def test_traffic_returns_gradually_once_no_limit_is_reported() -> None:
    run, observed = _limited_run({"plans-4": 11.9}, seconds=14.0)
    run.world.at(6_000.0, lambda: observed.limit("plans-4", -1.0))
    run.play()
    before = observed.rate("plans-4/0", *_seconds(0.0, 2.0))
    assert observed.rate("plans-4/0", *_seconds(6.0, 7.0)) < 0.5 * before
    assert observed.rate("plans-4/0", *_seconds(10.0, 14.0)) > 0.7 * before


# Guards against a node that forgets the limit of its backend server when it restarts.
def test_the_limit_holds_across_a_restart_of_the_node_beside_it() -> None:
    run, observed = _limited_run({"plans-4": 3.0})
    for at in (4_000.0, 7_000.0):
        run.world.at(at, lambda: run.world.kill("plans-4"))
        run.world.at(at, lambda: observed.excuse("plans-4"))
        run.world.at(at + 500.0, lambda: run.world.restart("plans-4"))
    run.play()
    assert observed.violations() == []
    assert len(observed.arrivals["plans-4/0"]) > 10


def test_a_pause_of_the_node_beside_it_lets_no_burst_through() -> None:
    run, observed = _limited_run({"plans-4": 6.0})
    run.world.at(5_000.0, lambda: run.world.pause("plans-4", 2_500.0))
    run.play()
    assert observed.violations() == []


def test_a_limit_that_changes_with_each_answer_holds() -> None:
    run, observed = _limited_run({})
    draw = random.Random(1)
    for step in range(40):
        at, rate = 2_000.0 + 200.0 * step, draw.uniform(2.0, 20.0)
        run.world.at(at, lambda rate=rate: observed.limit("plans-4", rate))
    run.play()
    assert observed.violations() == []


# Guards against the limit of a former instance that binds the next one.
def test_a_new_instance_has_no_limit() -> None:
    state = _limited_node(2.0)
    reducer.reduce(state, routed.announced(instance="i-2"))
    # One of the four slots is in use.
    assert _dispatched(state, count=3) == 3


def test_an_entry_node_tells_a_restarted_home_node_of_the_limit() -> None:
    state = routed.node_state(service="plans")
    status = messages.BackendStatus(instance="i-1", rate_limit=2.0)
    assert _dispatched(state, count=4, status=status) <= 1


def test_what_an_entry_node_knows_of_another_instance_is_ignored() -> None:
    state = routed.node_state(service="plans")
    status = messages.BackendStatus(instance="i-0", rate_limit=2.0)
    assert _dispatched(state, count=4, status=status) == 4


def test_an_answer_goes_before_what_an_entry_node_knows() -> None:
    state = routed.node_state(service="plans")
    reducer.reduce(state, builders.opened(1))
    reducer.reduce(state, _reported(1, -1.0))
    status = messages.BackendStatus(instance="i-1", rate_limit=2.0)
    assert _dispatched(state, count=3, status=status) == 3


# Guards against a limit that has ended and returns with a call of an entry node.
def test_the_first_answer_of_an_instance_is_expected_to_report() -> None:
    state = routed.node_state(service="plans")
    assert backend_reports.expects_report(state)
    reducer.reduce(state, builders.opened(1))
    reducer.reduce(state, _reported(1, -1.0))
    assert not backend_reports.expects_report(state)
    reducer.reduce(state, routed.announced(instance="i-2"))
    assert backend_reports.expects_report(state)


def test_a_refusal_does_not_end_what_an_entry_node_knows() -> None:
    # A home node that has restarted reports no limit until it is told.
    state = routed.node_state()
    builders.add_members(state, builders.member("n2", "plans"))
    limited = builders.report()
    status = messages.BackendStatus(instance="i-1", rate_limit=2.0)
    limited = msgspec.structs.replace(limited, status=status)
    first = routed.sent_to(reducer.reduce(state, routed.arrived(1)))
    answer = builders.answered(first.attempt, load_report=limited)
    reducer.reduce(state, answer)
    second = routed.sent_to(reducer.reduce(state, routed.arrived(2)))
    assert second.metadata.status == status
    rule = int(decisions.Rule.NO_BACKEND)
    reducer.reduce(state, routed.refused(second.attempt, rule=rule))
    assert state.upstreams[ids.NodeId("n2")].status == status
    builders.add_members(state, builders.member("n3", "plans"))
    third = routed.sent_to(reducer.reduce(state, routed.arrived(3)))
    assert third.node == "n3"
    assert third.metadata.status is None


def test_a_refusal_for_the_limit_names_its_inputs() -> None:
    state = _limited_node(2.0)
    reducer.reduce(state, builders.opened(2))
    out = reducer.reduce(state, builders.opened(3))
    refusal = builders.only(out, effects.SendRefusal).refusal
    assert refusal.rule == decisions.Rule.RATE_LIMITED
    assert refusal.outcome is messages.Outcome.NOT_RUN
    line = builders.only(out, effects.LogDecision)
    rule = decisions.Rule(line.rule)
    named = decisions.named_figures(rule, line.figures)
    assert named["requests a second"] == 2.0
    assert named["ms of wait"] > 0.0
    assert line.upstream == "entry"


def test_one_answer_without_a_limit_does_not_end_it() -> None:
    state = _limited_node(2.0)
    reducer.reduce(state, _reported(1, -1.0, after=10.0))
    reducer.reduce(state, _reported(1, 2.0, after=20.0))
    assert state.backend.limiter.limit == 2.0
    assert not state.backend.limiter.lifted_at


LIMITS = st.lists(
    st.tuples(st.floats(0.0, 300.0), st.sampled_from([0.0, 0.3, 2.5, 7.4, 60.0])),
    min_size=1,
    max_size=30,
)


@hypothesis.given(LIMITS, st.lists(st.floats(0.0, 60.0), min_size=50, max_size=400))
def test_a_bucket_never_lets_more_through_than_its_limits_allow(
    changes: list[tuple[float, float]], gaps: list[float]
) -> None:
    limiter = rate_limits.Limiter()
    rate_limits.report(limiter, 7.4, 0.0)
    reports_at = [(0.0, 7.4)]
    at = 0.0
    for pause, limit in changes:
        at += pause
        reports_at.append((at, limit))
    pending = reports_at[1:]
    taken: list[float] = []
    now = 0.0
    for gap in gaps:
        now += gap
        while pending and pending[0][0] <= now:
            since, limit = pending.pop(0)
            rate_limits.report(limiter, limit, since)
        if limiter.limited and rate_limits.has_token(limiter, now):
            rate_limits.take(limiter)
            taken.append(now)
    highest = max(rate for _, rate in reports_at)
    for start in taken:
        inside = sum(start <= time <= start + 1_000.0 for time in taken)
        assert inside <= 1.2 * highest + 2.0


def test_the_check_fails_where_a_restarted_node_is_not_told(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        backend_reports, "on_known_status", lambda state, status, out: None
    )
    run, observed = _limited_run({"plans-4": 0.0})
    run.world.at(6_000.0, lambda: run.world.kill("plans-4"))
    run.world.at(6_000.0, lambda: observed.excuse("plans-4"))
    run.world.at(6_500.0, lambda: run.world.restart("plans-4"))
    run.play()
    assert observed.violations() != []


def test_the_check_fails_where_each_call_finds_a_token(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(rate_limits, "has_token", lambda limiter, now: True)
    monkeypatch.setattr(rate_limits, "wait_ms", lambda limiter, ahead, now: 0.0)
    # All are limited: calls would go to those with room otherwise.
    limits = {f"plans-{number}": 5.0 for number in range(1, 6)}
    run, observed = _limited_run(limits, seconds=8.0)
    run.play()
    assert observed.violations() != []


# Guards against a limit that each of many entry nodes uses by itself.
@pytest.mark.parametrize("nodes", [57, 194])
def test_small_limits_hold_over_many_nodes(nodes: int) -> None:
    run = sites.Run(deployments.large(nodes), seed=1, seconds=6.0)
    observed = reports.Reports(run.world)
    for name, rate in (("plans-1", 2.5), ("plans-2", 11.9)):
        run.world.at(1_000.0, lambda name=name, rate=rate: observed.limit(name, rate))
    result = run.play()
    assert observed.violations() == []
    assert result.tallies["plan-lookup"].share > 0.99
    assert observed.rate("plans-2/0", *_seconds(2.0, 6.0)) > 2.0


def _limited_node(limit: float) -> states.State:
    """Return a home node whose backend server reported a limit in an answer."""
    state = routed.node_state(service="plans")
    reducer.reduce(state, builders.opened(1))
    reducer.reduce(state, _reported(1, limit))
    return state


def _reported(
    hosted: int, rate: float, *, after: float = 0.0
) -> events.BackendReported:
    return events.BackendReported(
        now=builders.START + after, hosted=ids.HostedId(hosted), rate_limit=rate
    )


def _dispatched(
    state: states.State, *, count: int, status: messages.BackendStatus | None = None
) -> int:
    """Return how many of some calls are dispatched when they arrive."""
    metadata = builders.call_metadata(status=status)
    return sum(
        len(
            builders.all_of(
                reducer.reduce(state, builders.opened(100 + number, metadata)),
                effects.DispatchCall,
            )
        )
        for number in range(count)
    )


def _seconds(start: float, end: float) -> tuple[float, float]:
    return world.START + 1_000.0 * start, world.START + 1_000.0 * end
