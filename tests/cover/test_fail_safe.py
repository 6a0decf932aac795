"""Outcomes after an internal error: never 'not run' for a call that may have run."""

import pytest

from gingerturn import routes
from gingerturn.internal.core import (
    calls,
    decisions,
    effects,
    events,
    messages,
    reducer,
    upstreams,
)
from tests.common import builders, routed


def test_a_failure_to_process_a_refusal_does_not_report_a_sent_call_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # An error after the attempt was removed must not make the call count as never sent
    # when its deadline passes.
    state = routed.node_state(
        routed.route(kind=routes.RouteType.UNREPEATABLE, timeout_ms=800)
    )
    builders.add_members(state, builders.member("n2", "plans"))
    sent = routed.sent_to(reducer.reduce(state, routed.arrived(1)))

    def broken(*arguments: object, **options: object) -> None:
        raise AttributeError("a fault of the program")

    with monkeypatch.context() as patch:
        patch.setattr(upstreams, "record_answer", broken)
        refusal = routed.refused(
            sent.attempt,
            rule=int(decisions.Rule.DEADLINE_PASSED),
            outcome=messages.Outcome.UNKNOWN,
        )
        with pytest.raises(AttributeError):
            reducer.reduce(state, refusal)
    late = builders.START + 800 + calls.GRACE_MS + 10
    out = reducer.reduce(state, events.Tick(now=late))
    reported = builders.only(out, effects.RefuseCall)
    assert reported.outcome is messages.Outcome.UNKNOWN
    assert reported.status == 504


def test_a_call_refused_unrun_by_its_home_is_reported_as_not_run() -> None:
    state = routed.node_state(routed.route(kind=routes.RouteType.UNREPEATABLE))
    builders.add_members(state, builders.member("n2", "plans"))
    sent = routed.sent_to(reducer.reduce(state, routed.arrived(1)))
    out = reducer.reduce(
        state, routed.refused(sent.attempt, rule=int(decisions.Rule.LEAVING))
    )
    reported = builders.only(out, effects.RefuseCall)
    assert reported.outcome is messages.Outcome.NOT_RUN
    assert reported.status == 503
