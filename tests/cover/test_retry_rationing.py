"""Rationing of a short retry budget, and upstreams that refuse calls with slots free.

Guards against a budget that is spent in the order of arrival, on requests that fail at
a later call.
"""

import random

import pytest

from benchmarks import deployments, sites
from gingerturn.internal import ids
from gingerturn.internal.core import (
    allowance,
    calls,
    decisions,
    effects,
    ranks,
    rationing,
    reducer,
    state as states,
)
from tests.common import builders, routed

REFUSED = decisions.Rule.BACKEND_REFUSED


def _demand(count: int, *, over_ms: float) -> rationing.RetryDemand:
    demand = rationing.RetryDemand()
    drawn = random.Random(1)
    for number in range(count):
        rank = ids.Rank(drawn.randrange(1000))
        rationing.record_demand(demand, rank, number * over_ms / count)
    return demand


def test_a_sufficient_budget_rations_no_call() -> None:
    demand = _demand(100, over_ms=1_000.0)
    assert rationing.minimum_rank(demand, 200.0, 1_000.0) == ranks.LOWEST


@pytest.mark.parametrize(("supply", "share"), [(25.0, 0.5), (5.0, 0.1), (0.0, 0.0)])
def test_a_short_budget_goes_to_the_highest_ranks(supply: float, share: float) -> None:
    # A demand of 100 a second is 50 within the horizon of half a second.
    demand = _demand(100, over_ms=1_000.0)
    min_rank = rationing.minimum_rank(demand, supply, 1_000.0)
    covered = [rank for _, rank in demand.samples if rank >= min_rank]
    assert len(covered) == pytest.approx(100 * share, abs=1)


def test_old_demand_is_ignored() -> None:
    demand = _demand(100, over_ms=1_000.0)
    assert rationing.minimum_rank(demand, 1.0, 60_000.0) == ranks.LOWEST


def test_kept_demand_is_bounded() -> None:
    demand = _demand(10_000, over_ms=1_000.0)
    assert len(demand.samples) <= 2 * rationing.MAX_SAMPLES
    # The rate is still correct: the supply covers a tenth of the demand.
    min_rank = rationing.minimum_rank(demand, 500.0, 1_000.0)
    assert 850 < min_rank < 950


def _refused(
    state: states.State, attempt: ids.AttemptId, *, room: bool
) -> list[effects.Effect]:
    refusal = routed.refused(
        attempt, rule=REFUSED, reached_backend=True, had_free_slots=room
    )
    return reducer.reduce(state, refusal)


def _entry(*upstreams: str) -> states.State:
    state = routed.node_state(retry_bound=allowance.Bound(50.0))
    builders.add_members(state, *(builders.member(name, "plans") for name in upstreams))
    # First attempts, so that the budget has a balance.
    for call in range(1_000, 1_300):
        sent = routed.sent_to(reducer.reduce(state, routed.arrived(call)))
        reducer.reduce(state, builders.answered(sent.attempt, now=state.now))
    return state


def test_a_call_turned_away_with_room_goes_back_where_no_other_upstream_is_left() -> (
    None
):
    state = _entry("n2")
    first = routed.sent_to(reducer.reduce(state, routed.arrived(1)))
    second = routed.sent_to(_refused(state, first.attempt, room=True))
    assert second.node == first.node


def test_a_call_turned_away_by_a_full_upstream_does_not_go_back() -> None:
    state = _entry("n2")
    first = routed.sent_to(reducer.reduce(state, routed.arrived(1)))
    out = _refused(state, first.attempt, room=False)
    assert not builders.all_of(out, effects.OpenAttempt)


def test_a_call_that_goes_back_meets_no_more_upstreams_than_its_route_allows() -> None:
    state = _entry("n2", "n3", "n4")
    sent = routed.sent_to(reducer.reduce(state, routed.arrived(1)))
    nodes = {sent.node}
    attempts = 1
    while True:
        opened = builders.all_of(
            _refused(state, sent.attempt, room=True), effects.OpenAttempt
        )
        if not opened:
            break
        sent = opened[0]
        nodes.add(sent.node)
        attempts += 1
    assert len(nodes) == 2
    assert attempts > 2


def test_a_call_below_the_minimum_rank_is_not_retried_and_logged() -> None:
    state = _entry("n2", "n3")
    budget = state.budgets[ids.ServiceName("plans")]
    for _ in range(2_000):
        rationing.record_demand(budget.demand, ids.Rank(ranks.HIGHEST), state.now)
    first = routed.sent_to(reducer.reduce(state, routed.arrived(1)))
    out = _refused(state, first.attempt, room=True)
    assert not builders.all_of(out, effects.OpenAttempt)
    rules = [line.rule for line in builders.all_of(out, effects.LogDecision)]
    assert decisions.Rule.RETRY_RATIONED in rules


def test_a_call_that_cannot_be_retried_stays_at_an_unresponsive_node() -> None:
    # Cancelling the attempt before the budget is checked leaves its caller unanswered.
    state = _entry("n2", "n3")
    sent = routed.sent_to(reducer.reduce(state, routed.arrived(1)))
    budget = state.budgets[ids.ServiceName("plans")]
    assert budget.balance >= 1.0
    for _ in range(2_000):
        rationing.record_demand(budget.demand, ids.Rank(ranks.HIGHEST), state.now)
    out: list[effects.Effect] = []
    calls.on_node_unresponsive(state, sent.node, out)
    assert not builders.all_of(out, effects.CancelAttempt)
    assert state.calls[ids.CallId(1)].attempt == sent.attempt


def _played(share: float, *, seconds: float = 8.0) -> sites.Result:
    site = deployments.MAWID
    run = sites.Run(site, seed=1, seconds=seconds)
    run.world.at(3_000.0, lambda: run.refuse_calls(site.bottleneck, share))
    return run.play()


def test_whole_requests_complete_where_a_quarter_of_the_calls_is_turned_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    by_rank = _played(0.25)
    monkeypatch.setattr(
        rationing, "minimum_rank", lambda demand, supply, now: ranks.LOWEST
    )
    by_arrival = _played(0.25)
    assert by_rank.worth > by_arrival.worth + 0.01
    assert by_rank.repeats <= 0.2
