"""Nodes and backend servers that say nothing: slots, repeats, and the last answers."""

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    hosting,
    membership,
    messages,
    reducer,
    state as states,
)
from tests.common import builders, routed


def _entry(kind: routes.RouteType) -> tuple[states.State, effects.OpenAttempt]:
    state = routed.node_state(routed.route(kind=kind, timeout_ms=5_000))
    builders.add_members(
        state, builders.member("n2", "plans"), builders.member("n3", "plans")
    )
    return state, routed.sent_to(reducer.reduce(state, routed.arrived(1)))


def test_a_lost_answer_to_an_unrepeatable_call_holds_its_slot_not_for_long() -> None:
    # With one minute, a service whose answers got lost ran out of slots.
    state = routed.node_state(service="porting", slots=1)
    terms = builders.call_terms(service="porting", repeatable=False, deadline_ms=800.0)
    reducer.reduce(state, builders.opened(1, terms))
    out = builders.passed(state, 800.0 + hosting.UNKEYED_ORPHAN_MS + 50.0)
    refusal = builders.only(out, effects.SendRefusal).refusal
    assert refusal.outcome is messages.Outcome.UNKNOWN
    assert builders.only(out, effects.CancelBackend).hosted == 1
    assert state.backend.running == 0


def test_a_repeatable_call_at_a_silent_node_goes_elsewhere() -> None:
    state, first = _entry(routes.RouteType.SAFE)
    out = builders.passed(state, 4 * membership.PROBE_MS + membership.SUSPECT_AFTER_MS)
    again = builders.all_of(out, effects.OpenAttempt)
    assert [e.node != first.node for e in again] == [True]
    assert builders.only(out, effects.CancelAttempt).attempt == first.attempt


def test_an_unrepeatable_call_at_a_silent_node_waits_for_it() -> None:
    state, _ = _entry(routes.RouteType.UNREPEATABLE)
    out = builders.passed(state, 4 * membership.PROBE_MS + membership.SUSPECT_AFTER_MS)
    assert not builders.all_of(out, effects.OpenAttempt)
    assert not builders.all_of(out, effects.CancelAttempt)


def test_a_node_whose_grace_ends_answers_what_it_still_holds() -> None:
    # A request to a silent upstream was cut when the process ended.
    state, _ = _entry(routes.RouteType.UNREPEATABLE)
    reducer.reduce(state, events.StopRequested(now=state.now, grace_ms=2_000.0))
    out = builders.passed(state, 2_000.0 - reducer.LAST_ANSWERS_MS + 20.0)
    refusal = builders.only(out, effects.RefuseCall)
    assert refusal.status == 502
    assert refusal.outcome is messages.Outcome.UNKNOWN
    assert builders.only(out, effects.Stopped)


def test_turned_away_calls_of_a_backend_server_with_free_slots_keep_its_limit() -> None:
    # A faulty one that turned half of its calls away was left with one slot of twenty.
    state = routed.node_state(service="plans", slots=20)
    for number in range(1, 40):
        now = state.now + 150.0
        reducer.reduce(state, builders.opened(number, now=now))
        answer = events.BackendAnswered(
            now=now, hosted=ids.HostedId(number), status=503, executed=False
        )
        reducer.reduce(state, answer)
    assert state.backend.limit == 20
