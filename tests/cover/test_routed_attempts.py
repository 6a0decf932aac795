"""Attempts on routes: redirects, retries and their bounds."""

import collections

import hypothesis
import pytest
from hypothesis import strategies as st

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    allowance,
    calls,
    decisions,
    effects,
    events,
    messages,
    ranks,
    reducer,
    state as states,
)
from tests.common import builders, routed

FULL = int(decisions.Rule.BACKEND_REFUSED)
LEAVING = int(decisions.Rule.LEAVING)


def _state(count: int = 3, **route: object) -> states.State:
    state = routed.node_state(routed.route(**route))  # type: ignore[arg-type]
    builders.add_members(
        state, *(builders.member(f"n{n}", "plans") for n in range(2, 2 + count))
    )
    return state


def test_a_call_turned_away_unrun_goes_elsewhere_even_if_unrepeatable() -> None:
    state = _state(kind=routes.RouteType.UNREPEATABLE)
    first = routed.sent_to(reducer.reduce(state, routed.arrived(1)))
    refusal = routed.refused(first.attempt, rule=FULL, reached_backend=True)
    again = routed.sent_to(reducer.reduce(state, refusal))
    assert again.node != first.node


def test_arrivals_stay_within_the_attempts_of_the_route() -> None:
    state = _state(count=5, max_attempts=2)
    attempt = routed.sent_to(reducer.reduce(state, routed.arrived(1))).attempt
    sent = 1
    while True:
        refusal = routed.refused(attempt, rule=FULL, reached_backend=True)
        out = reducer.reduce(state, refusal)
        if builders.all_of(out, effects.RefuseCall):
            break
        attempt = routed.sent_to(out).attempt
        sent += 1
    assert sent == 2


def test_a_home_that_refuses_costs_no_attempt() -> None:
    state = _state(count=5, max_attempts=1)
    first = routed.sent_to(reducer.reduce(state, routed.arrived(1)))
    out = reducer.reduce(state, routed.refused(first.attempt, rule=LEAVING))
    assert routed.sent_to(out).node != first.node


def test_an_unrepeatable_call_with_unknown_outcome_is_never_sent_again() -> None:
    state = _state(kind=routes.RouteType.UNREPEATABLE, max_attempts=3)
    first = routed.sent_to(reducer.reduce(state, routed.arrived(1)))
    lost = events.AttemptLost(now=state.now, attempt=first.attempt, reached=True)
    out = reducer.reduce(state, lost)
    assert not builders.all_of(out, effects.OpenAttempt)
    refusal = builders.only(out, effects.RefuseCall)
    assert refusal.status == 502
    assert refusal.outcome is messages.Outcome.UNKNOWN


def test_a_route_timeout_is_answered_with_504_soon_after_the_deadline() -> None:
    state = _state(kind=routes.RouteType.UNREPEATABLE, timeout_ms=800)
    reducer.reduce(state, routed.arrived(1))
    late = builders.START + 800 + calls.GRACE_MS + 10
    out = reducer.reduce(state, events.Tick(now=late))
    assert builders.only(out, effects.RefuseCall).status == 504


def test_a_call_of_a_hosted_request_inherits_its_rank_and_deadline() -> None:
    state = routed.node_state(
        routed.route("top", priority=0),
        routed.route("below", prefix="/b/", priority=1, shares=(("porting", 1),)),
        service="plans",
    )
    builders.add_members(state, builders.member("n2", "porting"))
    terms = builders.call_metadata(importance=3, trace="r1", deadline_ms=300.0)
    reducer.reduce(state, builders.opened(1, terms))
    out = reducer.reduce(state, routed.arrived(5, path="/b/x", request="r1.c1"))
    child = routed.sent_to(out).metadata
    assert child.depth == 1
    # Its own route has a higher class, which does not apply.
    assert child.importance == 3
    assert child.deadline_ms <= 300.0
    assert child.root == terms.root


def test_a_level_refuses_roots_by_their_order_and_never_their_calls() -> None:
    state = routed.node_state(
        routed.route("top", shares=(("porting", 1),)), service="plans"
    )
    builders.add_members(state, builders.member("n2", "porting"))
    half = ranks.rank_of(importance=5, depth=1, root=ids.RootHash(1 << 63))
    first = routed.sent_to(reducer.reduce(state, routed.arrived(1)))
    report = builders.answered(first.attempt, tree_level=half)
    reducer.reduce(state, report)
    refused = 0
    for call in range(100, 200):
        out = reducer.reduce(state, routed.arrived(call))
        refused += len(builders.all_of(out, effects.RefuseCall))
    assert 25 < refused < 75
    terms = builders.call_metadata(importance=5, root=1, trace="r1")
    reducer.reduce(state, builders.opened(1, terms))
    out = reducer.reduce(state, routed.arrived(5, request="r1.c1"))
    assert routed.sent_to(out).metadata.root == 1


def test_an_id_that_continues_no_request_here_is_a_request_of_its_own() -> None:
    state = _state()
    out = reducer.reduce(state, routed.arrived(5, request="elsewhere.c1"))
    assert routed.sent_to(out).metadata.depth == 0


def check_repeats_stay_within_the_bound(
    nodes: int, steps: list[tuple[int, bool]], ratio: float = 0.2
) -> None:
    """Send requests, reject some of them on every attempt, and check the number of
    repeats in every window."""
    window, slack = 10_000.0, 49.0
    bound = allowance.Bound(slack, ratio, window)
    state = routed.node_state(routed.route(max_attempts=4), retry_bound=bound)
    builders.add_members(
        state, *(builders.member(f"m{n}", "plans") for n in range(nodes))
    )
    firsts: list[float] = []
    repeats: list[float] = []
    now = builders.START
    for number, (pause, rejected) in enumerate(steps):
        now += pause
        out = reducer.reduce(state, routed.arrived(number, now=now))
        opened = builders.all_of(out, effects.OpenAttempt)
        if not opened:
            continue
        firsts.append(now)
        attempt = opened[0].attempt
        while rejected:
            refusal = routed.refused(attempt, rule=FULL, reached_backend=True, now=now)
            opened = builders.all_of(
                reducer.reduce(state, refusal), effects.OpenAttempt
            )
            if not opened:
                break
            repeats.append(now)
            attempt = opened[0].attempt
        if not rejected:
            done = builders.answered(attempt, now=now)
            reducer.reduce(state, done)
    for end in repeats:
        inside = [at for at in repeats if end - window <= at <= end]
        # The bound counts the requests of this window or of the one before it.
        in_window = sum(end - window <= at <= end for at in firsts)
        in_previous_window = sum(
            end - 2 * window <= at <= end - window for at in firsts
        )
        allowed = ratio * max(in_window, in_previous_window) + slack / (nodes + 1)
        assert len(inside) <= allowed


STEPS = st.lists(st.tuples(st.integers(0, 400), st.booleans()), max_size=200)


@hypothesis.given(st.integers(1, 20), STEPS, st.sampled_from([0.0, 0.02, 0.1, 0.2]))
def test_repeats_stay_within_the_bound_over_all_nodes(
    nodes: int, steps: list[tuple[int, bool]], ratio: float
) -> None:
    check_repeats_stay_within_the_bound(nodes, steps, ratio)


def test_a_low_ratio_bounds_a_long_run_of_failures() -> None:
    # Guards against a fixed share per first attempt that ignores the configured ratio.
    steps = [(20, number % 4 == 0) for number in range(2_000)]
    check_repeats_stay_within_the_bound(5, steps, 0.05)


def test_the_bound_check_fails_where_each_node_spends_the_whole_slack(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        allowance, "balance_limit", lambda budget, bound, *, nodes: bound.slack
    )
    steps = [(10, False)] * 400 + [(20_000, True)] + [(0, True)] * 20
    with pytest.raises(AssertionError):
        check_repeats_stay_within_the_bound(20, steps)


def test_a_node_that_has_just_started_has_no_retry_budget() -> None:
    state = _state(max_attempts=4)
    state.retry_bound = allowance.Bound(49.0)
    attempt = routed.sent_to(reducer.reduce(state, routed.arrived(1))).attempt
    refusal = routed.refused(attempt, rule=FULL, reached_backend=True)
    assert not builders.all_of(reducer.reduce(state, refusal), effects.OpenAttempt)


def test_calls_of_a_repeated_request_draw_on_the_budget_of_their_service() -> None:
    state = routed.node_state(
        routed.route("top"),
        routed.route("below", prefix="/b/", shares=(("porting", 1),)),
        service="plans",
        retry_bound=allowance.Bound(49.0),
    )
    builders.add_members(state, builders.member("n2", "porting"))
    for number, repeat in enumerate((False, True)):
        terms = builders.call_metadata(trace=f"r{number}", repeat=repeat)
        reducer.reduce(state, builders.opened(number, terms))
        request = f"r{number}.c"
        call = routed.arrived(10 + number, path="/b/x", request=request)
        sent = routed.sent_to(reducer.reduce(state, call))
        assert sent.metadata.repeat is repeat
    assert state.budgets[ids.ServiceName("porting")].balance < 0.0


def test_the_backend_server_of_a_stopping_routed_node_gets_calls_for_a_while() -> None:
    # Guards against an idle backend server during the whole stop and start.
    state = routed.node_state(service="plans")
    out = reducer.reduce(state, events.StopRequested(now=state.now, grace_ms=5_500.0))
    assert not builders.all_of(out, effects.PutRecord)
    assert builders.all_of(
        reducer.reduce(state, builders.opened(1)), effects.DispatchCall
    )
    departs = state.now + reducer.ROUTED_LINGER_MS - reducer.STOP_LINGER_MS
    out = reducer.reduce(state, events.Tick(now=departs))
    assert builders.only(out, effects.PutRecord).record == b""
    me = state.membership.self_member
    assert me is not None and me.state is messages.MemberState.LEAVING
    refusal = builders.only(
        reducer.reduce(state, builders.opened(2)), effects.SendRefusal
    )
    assert decisions.Rule(refusal.refusal.rule) is decisions.Rule.LEAVING
    assert refusal.report.leaving


def test_a_stopping_routed_node_still_serves_its_callers() -> None:
    state = _state()
    reducer.reduce(state, events.StopRequested(now=state.now))
    out = reducer.reduce(state, routed.arrived(1))
    assert routed.sent_to(out).metadata.service == "plans"
    late = state.now + reducer.ROUTED_LINGER_MS + 1
    out = reducer.reduce(state, routed.arrived(2, now=late))
    assert builders.only(out, effects.RefuseCall).status == 503


def test_a_cancelled_queued_call_is_never_dispatched() -> None:
    state = routed.node_state(service="plans", slots=1)
    reducer.reduce(state, builders.opened(1))
    reducer.reduce(state, builders.opened(2))
    reducer.reduce(state, events.CancelReceived(now=state.now, hosted=ids.HostedId(2)))
    done = events.BackendAnswered(now=state.now, hosted=ids.HostedId(1), status=200)
    out = reducer.reduce(state, done)
    assert not builders.all_of(out, effects.DispatchCall)


def test_a_caller_that_disconnects_cancels_its_attempt_at_once() -> None:
    state = _state()
    sent = routed.sent_to(reducer.reduce(state, routed.arrived(1)))
    gone = events.CallerGone(now=state.now, call=ids.CallId(1))
    out = reducer.reduce(state, gone)
    assert builders.only(out, effects.CancelAttempt).attempt == sent.attempt
    assert not state.calls and not state.attempts


def test_a_cancelled_repeatable_call_is_cancelled_at_the_backend_server() -> None:
    state = routed.node_state(service="plans", slots=1)
    reducer.reduce(state, builders.opened(1))
    cancel = events.CancelReceived(now=state.now, hosted=ids.HostedId(1))
    out = reducer.reduce(state, cancel)
    assert builders.all_of(out, effects.CancelBackend)
    assert state.backend.running == 0


def test_an_eighth_of_every_kind_gets_the_first_priority() -> None:
    # Guards against starvation of the lower priorities when capacity is short.
    state = _state(priority=5)
    classes = collections.Counter(
        routed.sent_to(reducer.reduce(state, routed.arrived(n))).metadata.importance
        for n in range(2_000)
    )
    assert set(classes) == {2, 7}
    assert 0.1 < classes[7] / 2_000 < 0.15
