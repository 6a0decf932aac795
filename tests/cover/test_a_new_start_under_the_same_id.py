"""A backend server that restarts under the same instance id.

Late heartbeats of the former start must not override those of the new one.
"""

import json

import pytest

from gingerturn import errors
from gingerturn.internal import ids
from gingerturn.internal.core import (
    decisions,
    effects,
    events,
    messages,
    reducer,
    state as states,
    upstreams,
)
from gingerturn.internal.wire import datagrams
from gingerturn_platform import beats
from tests.common import builders, routed

FIRST_MS = 1_800_000_000_000
SECOND_MS = FIRST_MS + 60_000


def _announced(
    *, started_ms: int, sequence: int = 1, slots: int = 4, instance: str = "i-1"
) -> events.BackendAnnounced:
    event = routed.announced(slots=slots, sequence=sequence, instance=instance)
    fields = {name: getattr(event, name) for name in event.__struct_fields__}
    return events.BackendAnnounced(**{**fields, "started_ms": started_ms})


def _home_node(*, sequence: int = 40) -> states.State:
    state = routed.node_state()
    first = _announced(started_ms=FIRST_MS, sequence=sequence)
    reducer.reduce(state, first)
    return state


def test_the_first_report_of_a_new_start_counts_despite_its_lower_sequence() -> None:
    state = _home_node(sequence=40)
    reducer.reduce(state, _announced(started_ms=SECOND_MS, sequence=0, slots=9))
    assert (state.backend.slots, state.backend.started_ms) == (9, SECOND_MS)


@pytest.mark.parametrize("sequence", [0, 1, 99])
def test_a_late_report_of_the_former_start_changes_nothing(sequence: int) -> None:
    state = _home_node(sequence=40)
    reducer.reduce(state, _announced(started_ms=SECOND_MS, slots=9))
    late = _announced(started_ms=FIRST_MS, sequence=sequence, slots=4)
    assert reducer.reduce(state, late) == []
    assert (state.backend.slots, state.backend.started_ms) == (9, SECOND_MS)


def test_reports_of_one_start_are_ordered_by_their_sequence() -> None:
    state = _home_node(sequence=40)
    reducer.reduce(state, _announced(started_ms=FIRST_MS, sequence=41, slots=9))
    reducer.reduce(state, _announced(started_ms=FIRST_MS, sequence=39, slots=4))
    assert state.backend.slots == 9


def test_one_that_left_and_started_again_gets_work() -> None:
    state = _home_node()
    reducer.reduce(state, events.BackendWithdrawn(now=state.now, instance="i-1"))
    reducer.reduce(state, _announced(started_ms=FIRST_MS, sequence=50))
    refused = builders.only(
        reducer.reduce(state, builders.opened(1)), effects.SendRefusal
    )
    assert refused.refusal.rule == decisions.Rule.LEAVING
    reducer.reduce(state, _announced(started_ms=SECOND_MS, sequence=1))
    out = reducer.reduce(state, builders.opened(2))
    assert builders.only(out, effects.DispatchCall).instance == "i-1"


def test_a_late_leaving_of_the_former_start_takes_nothing_away() -> None:
    state = _home_node()
    reducer.reduce(state, _announced(started_ms=SECOND_MS))
    leaving = events.BackendWithdrawn(
        now=state.now, instance="i-1", started_ms=FIRST_MS
    )
    reducer.reduce(state, leaving)
    out = reducer.reduce(state, builders.opened(1))
    assert builders.all_of(out, effects.DispatchCall)


def test_one_that_was_replaced_and_started_again_takes_over() -> None:
    state = _home_node()
    reducer.reduce(state, _announced(started_ms=FIRST_MS + 1, instance="i-2"))
    reducer.reduce(state, _announced(started_ms=FIRST_MS, sequence=90))
    assert state.backend.instance == "i-2"
    reducer.reduce(state, _announced(started_ms=SECOND_MS))
    assert state.backend.instance == "i-1"


def test_calls_of_the_former_start_end_unclear_and_free_their_slots() -> None:
    state = _home_node()
    for hosted, repeatable in ((1, True), (2, False)):
        terms = builders.call_metadata(repeatable=repeatable)
        reducer.reduce(state, builders.opened(hosted, terms))
    out = reducer.reduce(state, _announced(started_ms=SECOND_MS))
    refusals = builders.all_of(out, effects.SendRefusal)
    assert [r.refusal.outcome for r in refusals] == [messages.Outcome.UNKNOWN] * 2
    assert {e.hosted for e in builders.all_of(out, effects.CancelBackend)} == {1, 2}
    assert state.backend.running == 0
    # Late answers of the former start are dropped.
    late = events.BackendAnswered(now=state.now, hosted=ids.HostedId(2), status=200)
    assert reducer.reduce(state, late) == []


def test_an_entry_never_sends_again_what_may_have_run_once() -> None:
    state = routed.node_state(
        routed.route(kind=routed.routes.RouteType.UNREPEATABLE), name="n1"
    )
    builders.add_members(
        state, builders.member("n2", "plans"), builders.member("n3", "plans")
    )
    sent = routed.sent_to(reducer.reduce(state, routed.arrived(1)))
    out = reducer.reduce(
        state,
        routed.refused(
            sent.attempt,
            rule=int(decisions.Rule.OUTCOME_UNKNOWN),
            outcome=messages.Outcome.UNKNOWN,
        ),
    )
    assert not builders.all_of(out, effects.OpenAttempt)
    assert builders.only(out, effects.RefuseCall).outcome is messages.Outcome.UNKNOWN


def test_nothing_measured_of_the_former_start_holds() -> None:
    state = _home_node()
    backend = state.backend
    backend.level = ids.Rank(70_000)
    backend.times["lookup"] = states.ServiceTime(mean_ms=900.0, measured_at=state.now)
    backend.unreachable_until = state.now + 400.0
    reducer.reduce(state, _announced(started_ms=SECOND_MS))
    assert (backend.level, backend.times, backend.unreachable_until) == (0, {}, 0.0)


def _member(started_ms: int, version: int) -> messages.Member:
    known = builders.member("n2", "plans")
    fields = {name: getattr(known, name) for name in known.__struct_fields__}
    changed = {"version": version, "backend_started_ms": started_ms}
    return messages.Member(**{**fields, **changed})


def test_others_learn_of_it_by_gossip_and_forget_what_they_knew() -> None:
    state = routed.node_state(name="n1")
    builders.add_members(state, _member(FIRST_MS, 1))
    node = ids.NodeId("n2")
    sent = routed.sent_to(reducer.reduce(state, routed.arrived(1)))
    for _ in range(upstreams.FAILURES_TO_EJECT):
        upstreams.record_failure(state, node)
    builders.add_members(state, _member(SECOND_MS, 2))
    upstream = state.upstreams[node]
    assert (upstream.ejected_until, upstream.error_rate, upstream.load) == (0.0, 0.0, 0)
    reducer.reduce(state, builders.answered(sent.attempt))
    assert upstream.outstanding == 0


def test_a_home_advertises_the_start_of_its_backend_server() -> None:
    state = _home_node()
    before = state.membership.self_member
    reducer.reduce(state, _announced(started_ms=SECOND_MS))
    me = state.membership.self_member
    assert before is not None and me is not None
    assert (before.backend_started_ms, me.backend_started_ms) == (FIRST_MS, SECOND_MS)
    assert me.version > before.version
    secret = b"s"
    message = builders.gossip(members=(me,))
    encoded = datagrams.encode(secret, ids.NodeId("n1"), state.now, message)
    assert datagrams.decode([secret], encoded)[2].members == (me,)


def test_without_a_start_time_the_sequence_decides() -> None:
    state = routed.node_state()
    reducer.reduce(state, routed.announced(slots=9, sequence=7))
    reducer.reduce(state, routed.announced(slots=4, sequence=2))
    assert state.backend.slots == 9


BEAT = {
    "address": "10.0.0.7:8080",
    "node_info": {"service_name": "plans", "version": "v1", "zone": "a", "slots": 9},
    "status": {"state": "ready", "sequence": 0, "cold_remaining_ms": 0},
}


def test_the_time_of_the_start_is_read_from_a_heartbeat() -> None:
    heartbeat = beats.decode("i-1", json.dumps({**BEAT, "born": SECOND_MS}).encode())
    assert heartbeat.started_ms == SECOND_MS
    assert beats.decode("i-1", json.dumps(BEAT).encode()).started_ms == 0
    assert beats.decode_leaving("i-1", b"") == 0
    assert beats.decode_leaving("i-1", b'{"born": 7}') == 7


@pytest.mark.parametrize("value", [None, 1.5, "1800000000000", True, [1], {}])
def test_a_start_that_is_no_whole_number_is_a_bad_report(value: object) -> None:
    with pytest.raises(errors.InvalidArgument, match="born"):
        beats.decode("i-1", json.dumps({**BEAT, "born": value}).encode())
    with pytest.raises(errors.InvalidArgument, match="born"):
        beats.decode_leaving("i-1", json.dumps({"born": value}).encode())
