"""Announcements of the backend server: order, withdrawal and replaced instances."""

import pytest

from gingerturn import announcements, errors
from gingerturn.internal import ids
from gingerturn.internal.core import decisions, effects, events, messages, reducer
from tests.common import builders, routed


def _withdrawn(instance: str, now: float = builders.START) -> events.BackendWithdrawn:
    return events.BackendWithdrawn(now=now, instance=instance)


def _rule(out: list[effects.Effect]) -> decisions.Rule:
    return decisions.Rule(builders.only(out, effects.SendRefusal).refusal.rule)


def test_a_late_announcement_does_not_undo_leaving() -> None:
    state = routed.node_state(service="plans")
    reducer.reduce(state, _withdrawn("i-1"))
    reducer.reduce(state, routed.announced(sequence=9))
    out = reducer.reduce(state, builders.opened(1))
    assert _rule(out) is decisions.Rule.LEAVING


def test_an_overtaken_announcement_of_another_slot_count_is_ignored() -> None:
    state = routed.node_state(service="plans", slots=4)
    reducer.reduce(state, routed.announced(slots=8, sequence=5))
    reducer.reduce(state, routed.announced(slots=4, sequence=3))
    assert state.backend.slots == 8


def test_announcements_of_a_replaced_instance_are_ignored() -> None:
    state = routed.node_state(service="plans")
    reducer.reduce(state, _withdrawn("i-1"))
    reducer.reduce(state, routed.announced(instance="i-2"))
    reducer.reduce(state, routed.announced(instance="i-1", sequence=99))
    reducer.reduce(state, _withdrawn("i-1"))
    out = reducer.reduce(state, builders.opened(1))
    assert builders.only(out, effects.DispatchCall).instance == "i-2"


def test_a_late_announcement_after_a_node_restart_costs_at_most_one_call() -> None:
    # A restarted node has no record of the old instance and accepts its late
    # announcement; that must not make it ignore the current instance for good.
    state = routed.node_state(service="plans")
    reducer.reduce(state, routed.announced(instance="i-old", sequence=50))
    reducer.reduce(state, routed.announced(instance="i-1", sequence=2))
    reducer.reduce(state, builders.opened(1))
    misdirected = events.BackendAnswered(
        now=state.now, hosted=ids.HostedId(1), status=421, executed=False
    )
    reducer.reduce(state, misdirected)
    reducer.reduce(state, routed.announced(instance="i-1", sequence=3))
    out = reducer.reduce(state, builders.opened(2))
    assert builders.only(out, effects.DispatchCall).instance == "i-1"


# Guards against a new backend server that is shunned for good on the word about a
# request that was sent to the one before it.
def test_a_misdirected_request_to_a_former_instance_leaves_its_successor() -> None:
    state = routed.node_state(service="plans")
    reducer.reduce(state, routed.announced(instance="i-1"))
    reducer.reduce(state, builders.opened(1))
    reducer.reduce(state, routed.announced(instance="i-2"))
    misdirected = events.BackendAnswered(
        now=state.now, hosted=ids.HostedId(1), status=421, executed=False
    )
    refusal = builders.only(
        reducer.reduce(state, misdirected), effects.SendRefusal
    ).refusal
    assert refusal.outcome is messages.Outcome.NOT_RUN
    assert state.backend.present
    reducer.reduce(state, routed.announced(instance="i-2", sequence=2))
    out = reducer.reduce(state, builders.opened(2))
    assert builders.only(out, effects.DispatchCall).instance == "i-2"


def test_a_replaced_instance_does_not_return_beside_its_successor() -> None:
    state = routed.node_state(service="plans")
    reducer.reduce(state, routed.announced(instance="i-2"))
    reducer.reduce(state, routed.announced(instance="i-1", sequence=9))
    out = reducer.reduce(state, builders.opened(1))
    assert builders.only(out, effects.DispatchCall).instance == "i-2"


def test_a_replaced_instance_needs_a_later_announcement_to_return() -> None:
    state = routed.node_state(service="plans")
    reducer.reduce(state, routed.announced(sequence=7))
    reducer.reduce(state, routed.announced(instance="i-2"))
    reducer.reduce(state, _withdrawn("i-2"))
    reducer.reduce(state, routed.announced(sequence=7))
    out = reducer.reduce(state, builders.opened(1))
    assert _rule(out) is decisions.Rule.LEAVING


def test_leaving_refuses_what_is_queued_and_what_comes_later() -> None:
    state = routed.node_state(service="plans", slots=1)
    reducer.reduce(state, builders.opened(1))
    reducer.reduce(state, builders.opened(2))
    out = reducer.reduce(state, _withdrawn("i-1"))
    assert _rule(out) is decisions.Rule.LEAVING
    assert _rule(reducer.reduce(state, builders.opened(3))) is decisions.Rule.LEAVING


def test_a_misdirected_answer_takes_the_backend_server_out() -> None:
    state = routed.node_state(service="plans")
    reducer.reduce(state, builders.opened(1))
    out = reducer.reduce(
        state,
        events.BackendAnswered(
            now=state.now, hosted=ids.HostedId(1), status=421, executed=False
        ),
    )
    refusal = builders.only(out, effects.SendRefusal).refusal
    assert refusal.outcome is messages.Outcome.NOT_RUN
    assert not refusal.reached_backend
    assert _rule(reducer.reduce(state, builders.opened(2))) is decisions.Rule.NO_BACKEND
    me = state.membership.self_member
    assert me is not None and me.service == ""


def test_an_answer_that_says_not_executed_is_a_refusal_that_arrived() -> None:
    state = routed.node_state(service="plans")
    reducer.reduce(state, builders.opened(1))
    out = reducer.reduce(
        state,
        events.BackendAnswered(
            now=state.now, hosted=ids.HostedId(1), status=503, executed=False
        ),
    )
    refusal = builders.only(out, effects.SendRefusal).refusal
    assert refusal.outcome is messages.Outcome.NOT_RUN
    assert refusal.reached_backend


@pytest.mark.parametrize(
    ("field", "value"),
    [("slots", 0), ("port", 0), ("host", "plans.example"), ("sequence", -1)],
)
def test_a_bad_announcement_is_refused_with_field_and_value(
    field: str, value: object
) -> None:
    fields: dict[str, object] = {
        "service": "plans",
        "host": "127.0.0.1",
        "port": 1,
        "slots": 4,
    }
    fields[field] = value
    with pytest.raises(errors.InvalidArgument, match=f"{field} is {value!r}"):
        announcements.check_announcement(
            announcements.Announcement(**fields)  # type: ignore[arg-type]
        )
