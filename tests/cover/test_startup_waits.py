"""Calls that arrive after a start, before upstreams are known, wait for them."""

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    reducer,
    startup_waits,
    state as states,
)
from tests.common import builders, routed

TARGET_MS = routed.route().target_ms
CHECK_MS = 120.0
"""Longer than the period of the check for calls that exceeded their maximum wait."""


def _started() -> states.State:
    """Return a node that has just started, with a route for its backend server."""
    table = (
        routed.route(),
        routed.route("below", prefix="/b/", shares=(("stock", 1),)),
    )
    state = routed.node_state(*table, service="plans", slots=9)
    state.started_at = state.now
    return state


def _call_of_a_running_request(state: states.State) -> list[effects.Effect]:
    """Let the backend server, while it runs a request, call the service below."""
    terms = builders.call_metadata(kind="lookup", trace="r1", deadline_ms=900.0)
    reducer.reduce(state, builders.opened(1, terms))
    return reducer.reduce(state, routed.arrived(7, path="/b/x", request="r1.c1"))


def test_a_call_of_a_running_request_waits_for_the_first_upstream() -> None:
    # After a restart of all nodes, refusing such calls before the next heartbeats of
    # the upstreams fails the requests that they belong to.
    state = _started()
    out = _call_of_a_running_request(state)
    assert not builders.all_of(out, effects.RefuseCall)
    assert not builders.all_of(builders.advance(state, 500.0), effects.RefuseCall)
    message = builders.gossip(members=(builders.member("n2", "stock"),))
    out = reducer.reduce(state, builders.datagram("n2", message, now=state.now))
    assert routed.sent_to(out).node == "n2"
    assert not state.waiting_calls


def test_a_waiting_call_is_sent_only_once() -> None:
    state = _started()
    _call_of_a_running_request(state)
    builders.add_members(state, builders.member("n2", "stock"))
    out = builders.advance(state, 300.0)
    builders.add_members(state, builders.member("n3", "stock"))
    assert not builders.all_of(out, effects.OpenAttempt)
    assert len(state.attempts) == 1


def test_a_waiting_call_is_refused_after_its_maximum_wait() -> None:
    state = _started()
    terms = builders.call_metadata(kind="lookup", trace="r1", deadline_ms=4_000.0)
    reducer.reduce(state, builders.opened(1, terms))
    reducer.reduce(state, routed.arrived(7, path="/b/x", request="r1.c1"))
    out = builders.advance(state, startup_waits.DEEP_WAIT_MS - 20.0)
    assert not builders.all_of(out, effects.RefuseCall)
    refusal = builders.only(builders.advance(state, CHECK_MS), effects.RefuseCall)
    assert refusal.status == 503
    assert not state.waiting_calls


def test_a_new_request_waits_briefly_and_gets_a_short_retry_delay() -> None:
    state = _started()
    out = reducer.reduce(state, routed.arrived(1, path="/b/x"))
    out += builders.advance(state, startup_waits.ROOT_WAIT_MS - 20.0)
    assert not builders.all_of(out, effects.RefuseCall)
    refusal = builders.only(builders.advance(state, CHECK_MS), effects.RefuseCall)
    assert 0 < refusal.retry_after_ms <= TARGET_MS / 2


def test_a_node_past_its_startup_refuses_at_once() -> None:
    state = _started()
    state.started_at = state.now - startup_waits.STARTUP_MS
    refusal = builders.only(_call_of_a_running_request(state), effects.RefuseCall)
    assert refusal.title == "no upstream"


def test_a_waiting_call_whose_caller_leaves_is_forgotten() -> None:
    state = _started()
    reducer.reduce(state, routed.arrived(1, path="/b/x"))
    reducer.reduce(state, events.CallerGone(now=state.now, call=ids.CallId(1)))
    builders.add_members(state, builders.member("n2", "stock"))
    assert not state.attempts and not state.waiting_calls


def test_an_unrepeatable_waiting_call_is_refused_as_not_run() -> None:
    route = routed.route(
        prefix="/b/", kind=routes.RouteType.UNREPEATABLE, shares=(("stock", 1),)
    )
    state = routed.node_state(route)
    state.started_at = state.now
    reducer.reduce(state, routed.arrived(1, path="/b/x"))
    refusal = builders.only(builders.advance(state, TARGET_MS), effects.RefuseCall)
    assert refusal.status == 503
    assert refusal.title == "no upstream"
