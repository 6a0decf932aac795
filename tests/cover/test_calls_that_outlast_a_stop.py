"""Planned stops under calls that may last longer than the time that a stop leaves."""

import msgspec
import pytest

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    caps,
    decisions,
    effects,
    events,
    messages,
    reducer,
    run_times,
    sending,
    state as states,
)
from gingerturn_fakes import parts, world as worlds
from tests.common import builders, routed

GRACE_MS = 5_500.0
TIMEOUT_MS = 7_000
LONG_MS = 4_200.0
LONG, SHORT = "long", "short"
ROUTES = (
    routed.route(LONG, prefix="/l/", timeout_ms=TIMEOUT_MS),
    routed.route(SHORT, prefix="/s/", timeout_ms=TIMEOUT_MS),
)
PLANS = ids.ServiceName("plans")


def _world(*, entries: int = 1) -> worlds.World:
    """Return a world with three upstreams of long calls, and other nodes as entries."""
    table = routed.table(*ROUTES)
    plans = parts.ServiceSpec(
        name="plans",
        upstreams=3,
        slots=50,
        service_ms={LONG: LONG_MS, SHORT: 20.0},
    )
    other = parts.ServiceSpec(name="other", upstreams=entries, slots=1, service_ms={})
    made = worlds.World(
        seed=7, services=[plans, other], documents={}, zones=["z"], table=table
    )
    made.gossip_on = True
    made.run(3_000.0)
    return made


def _send(made: worlds.World, kind: str, number: int) -> parts.Root:
    spec = parts.KindSpec(kind, "shop.example", "GET", f"/{kind[0]}/x")
    root = parts.Root(id=number, kind=spec, key="", sent=made.now)
    made.send(root, entry="other-1")
    return root


# Guards against calls that a stopping node takes beside its backend server and cuts,
# at entry nodes that do not stop.
def test_long_calls_are_served_elsewhere_while_the_node_beside_stops() -> None:
    made = _world()
    for number in range(40):
        _send(made, LONG, number)
        made.run(50.0)
    made.run(8_000.0)
    begun: list[tuple[str, float]] = []
    made.on_execution = lambda node, work: begun.append((node.name, made.now))
    stopped_at = made.now
    made.apply("plans-1", events.StopRequested(now=made.now, grace_ms=GRACE_MS))
    sent = []
    for number in range(100, 130):
        sent.append(_send(made, LONG, number))
        made.run(50.0)
    made.at(stopped_at + GRACE_MS - made.now, lambda: made.kill("plans-1"))
    made.run(9_000.0)
    assert [root.answer for root in sent] == ["ok"] * len(sent)
    assert not [at for name, at in begun if name == "plans-1"]
    assert len(begun) == len(sent)


# Guards against an idle backend server during a stop that leaves time for its calls.
def test_short_calls_are_still_taken_beside_a_stopping_node() -> None:
    made = _world()
    for number in range(40):
        _send(made, LONG, number)
        _send(made, SHORT, 1_000 + number)
        made.run(50.0)
    made.run(8_000.0)
    begun: list[str] = []
    made.on_execution = lambda node, work: begun.append(node.name)
    made.apply("plans-1", events.StopRequested(now=made.now, grace_ms=GRACE_MS))
    made.run(500.0)
    sent = []
    for number in range(2_000, 2_040):
        sent.append(_send(made, SHORT, number))
        made.run(10.0)
    made.run(1_000.0)
    assert [root.answer for root in sent] == ["ok"] * len(sent)
    assert begun.count("plans-1") > len(sent) / 6


def _home(*, lasts_ms: float, samples: int = 20) -> states.State:
    """Return a home node whose calls have lasted so long."""
    state = routed.node_state(*ROUTES, service="plans", slots=50)
    for number in range(samples):
        _open(state, 1_000 + number)
    _advance(state, lasts_ms)
    for number in range(samples):
        done = events.BackendAnswered(
            now=state.now, hosted=ids.HostedId(1_000 + number), status=200
        )
        reducer.reduce(state, done)
    return state


def _assert_not_run(out: list[effects.Effect]) -> None:
    assert not builders.all_of(out, effects.DispatchCall)
    refusal = builders.only(out, effects.SendRefusal).refusal
    assert refusal.outcome is messages.Outcome.NOT_RUN


def _open(
    state: states.State,
    hosted: int,
    *,
    deadline_ms: float = TIMEOUT_MS,
    repeatable: bool = True,
) -> list[effects.Effect]:
    terms = builders.call_metadata(
        kind=LONG, deadline_ms=deadline_ms, repeatable=repeatable
    )
    return reducer.reduce(state, builders.opened(hosted, terms, now=state.now))


def _advance(state: states.State, duration: float) -> list[effects.Effect]:
    return reducer.reduce(state, events.Tick(now=state.now + duration))


def _stop(state: states.State, *, grace_ms: float = GRACE_MS) -> list[effects.Effect]:
    return reducer.reduce(state, events.StopRequested(now=state.now, grace_ms=grace_ms))


def test_a_call_that_cannot_end_in_time_is_refused_as_not_run() -> None:
    state = _home(lasts_ms=LONG_MS)
    _stop(state)
    _advance(state, 1_300.0)
    out = _open(state, 1)
    refusal = builders.only(out, effects.SendRefusal).refusal
    assert refusal.outcome is messages.Outcome.NOT_RUN
    assert not builders.all_of(out, effects.DispatchCall)
    # Entry nodes of earlier versions do not know the rule.
    assert decisions.Rule(refusal.rule) is decisions.Rule.QUEUE_FULL


# Guards against refusals by a guess.
@pytest.mark.parametrize("samples", [0, run_times.MIN_SAMPLES - 1])
def test_a_call_of_an_unknown_time_is_taken(samples: int) -> None:
    state = _home(lasts_ms=LONG_MS, samples=samples)
    _stop(state)
    _advance(state, 1_300.0)
    assert builders.all_of(_open(state, 1), effects.DispatchCall)


# Guards against unrepeatable calls that a stopping node takes and cuts, as nothing is
# known of the time that they take.
@pytest.mark.parametrize("samples", [0, run_times.MIN_SAMPLES - 1])
def test_an_unrepeatable_call_of_an_unknown_time_is_refused(samples: int) -> None:
    state = _home(lasts_ms=LONG_MS, samples=samples)
    _stop(state)
    _advance(state, 1_300.0)
    _assert_not_run(_open(state, 1, repeatable=False))
    # It ends in time in any case.
    in_time = _open(state, 2, repeatable=False, deadline_ms=LONG_MS - 200.0)
    assert builders.all_of(in_time, effects.DispatchCall)


# Guards against unrepeatable calls of a kind whose longest ones a stop cuts.
@pytest.mark.parametrize("repeatable", [True, False])
def test_the_longest_calls_of_a_kind_count_for_unrepeatable_ones(
    *, repeatable: bool
) -> None:
    state = _home(lasts_ms=20.0, samples=57)
    for _ in range(3):
        run_times.record(state.hosted_times, LONG, LONG_MS, now=state.now)
    _stop(state)
    _advance(state, 1_300.0)
    out = _open(state, 1, repeatable=repeatable)
    if repeatable:
        assert builders.all_of(out, effects.DispatchCall)
    else:
        _assert_not_run(out)


# Guards against unrepeatable calls of a kind that has become slow, whose earlier calls
# were short.
def test_open_calls_count_for_unrepeatable_ones() -> None:
    state = _home(lasts_ms=20.0, samples=100)
    for number in range(3):
        _open(state, 10 + number, repeatable=False, deadline_ms=30_000.0)
    _advance(state, LONG_MS)
    _stop(state)
    _advance(state, 1_300.0)
    _assert_not_run(_open(state, 1, repeatable=False))


# Guards against unrepeatable calls that are taken and cut at a node just started, where
# young open calls made the time of their kind known as short.
@pytest.mark.parametrize("count", [1, run_times.MIN_SAMPLES, 20])
def test_open_calls_alone_do_not_make_the_time_of_a_kind_known(count: int) -> None:
    state = _home(lasts_ms=0.0, samples=0)
    _stop(state)
    for number in range(count):
        in_time = _open(state, 10 + number, repeatable=False, deadline_ms=4_000.0)
        assert builders.all_of(in_time, effects.DispatchCall)
    _advance(state, 1_300.0)
    _assert_not_run(_open(state, 1, repeatable=False))


# Guards against unrepeatable calls that are taken and cut as their kind has become slow
# since the signal, and whose open calls have not lasted long yet.
def test_an_open_call_that_lasts_longer_than_usual_makes_its_kind_slow() -> None:
    state = _home(lasts_ms=20.0, samples=200)
    _stop(state)
    assert builders.all_of(_open(state, 10, repeatable=False), effects.DispatchCall)
    _advance(state, 300.0)
    _assert_not_run(_open(state, 1, repeatable=False))
    in_time = _open(state, 2, repeatable=False, deadline_ms=2_000.0)
    assert builders.all_of(in_time, effects.DispatchCall)


# Guards against streamed answers that count only until their heads.
def test_a_streamed_answer_counts_until_its_end() -> None:
    state = routed.node_state(*ROUTES, service="plans", slots=50)
    for number in range(20):
        _open(state, 1_000 + number)
        head = events.BackendAnswered(
            now=state.now, hosted=ids.HostedId(1_000 + number), status=200, whole=False
        )
        reducer.reduce(state, head)
    _advance(state, LONG_MS)
    for number in range(20):
        end = events.BackendFinished(now=state.now, hosted=ids.HostedId(1_000 + number))
        reducer.reduce(state, end)
    _stop(state)
    _advance(state, 1_300.0)
    assert builders.all_of(_open(state, 1), effects.SendRefusal)


# Guards against queued calls that are dispatched when the time left is too short.
def test_a_queued_call_is_refused_when_no_time_is_left_for_it() -> None:
    state = _home(lasts_ms=LONG_MS)
    state.backend.limit = state.backend.slots = 1
    _open(state, 1)
    queued = _open(state, 2, deadline_ms=30_000.0)
    assert not builders.all_of(queued, effects.SendRefusal)
    _stop(state, grace_ms=LONG_MS)
    done = events.BackendAnswered(now=state.now, hosted=ids.HostedId(1), status=200)
    out = reducer.reduce(state, done)
    assert not builders.all_of(out, effects.DispatchCall)
    refused = builders.only(out, effects.SendRefusal)
    assert refused.refusal.outcome is messages.Outcome.NOT_RUN


def _entry(*listed: routes.Route) -> states.State:
    state = routed.node_state(*(listed or ROUTES))
    builders.add_members(
        state, builders.member("n2", "plans"), builders.member("n3", "plans")
    )
    return state


def _record_relayed(state: states.State, *, count: int, lasts_ms: float) -> None:
    for _ in range(count):
        relayed = events.AnswerRelayed(
            now=state.now, kind=ids.KindName(LONG), elapsed_ms=lasts_ms
        )
        reducer.reduce(state, relayed)


# Guards against requests that a stopping entry node takes and cuts.
@pytest.mark.parametrize("known", [True, False])
def test_a_stopping_entry_node_refuses_what_cannot_end_in_time(*, known: bool) -> None:
    state = _entry()
    _record_relayed(state, count=20 * known, lasts_ms=LONG_MS)
    _stop(state)
    in_time = routed.arrived(1, path="/l/x", now=state.now + 100.0)
    assert routed.sent_to(reducer.reduce(state, in_time))
    late = routed.arrived(2, path="/l/x", now=state.now + 2_000.0)
    out = reducer.reduce(state, late)
    if not known:
        assert routed.sent_to(out)
        return
    refused = builders.only(out, effects.RefuseCall)
    assert (refused.status, refused.outcome) == (503, messages.Outcome.NOT_RUN)
    # Another node can serve it at once.
    assert refused.retry_after_ms < 500.0
    short = routed.arrived(3, path="/s/x", now=state.now)
    assert routed.sent_to(reducer.reduce(state, short))


# Guards against unrepeatable requests that a stopping entry node takes and cuts, as
# nothing is known of their time or their kind has become slow.
@pytest.mark.parametrize("samples", [0, 100])
def test_a_stopping_entry_node_refuses_unrepeatable_requests_that_may_be_cut(
    samples: int,
) -> None:
    kind = routes.RouteType.UNREPEATABLE
    order = routed.route(LONG, prefix="/l/", timeout_ms=30_000, kind=kind)
    state = _entry(order)
    _record_relayed(state, count=samples, lasts_ms=20.0)
    for number in range(10, 13 if samples else 10):
        reducer.reduce(state, routed.arrived(number, path="/l/x", now=state.now))
    _advance(state, LONG_MS)
    _stop(state)
    late = routed.arrived(1, path="/l/x", now=state.now + 1_300.0)
    _assert_refused(reducer.reduce(state, late))


def _assert_refused(out: list[effects.Effect]) -> None:
    assert not builders.all_of(out, effects.OpenAttempt)
    refused = builders.only(out, effects.RefuseCall)
    assert (refused.status, refused.outcome) == (503, messages.Outcome.NOT_RUN)
    assert refused.title == "outlasts stop"
    assert refused.retry_after_ms < 500.0


# Guards against a call that waits for a token until it cannot end any more, and is
# then sent and cut.
def test_a_call_that_waited_for_a_token_is_compared_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    state = _entry()
    _record_relayed(state, count=20, lasts_ms=LONG_MS)
    _stop(state)

    def wait(state: states.State, call: states.Call, out: states.Effects) -> bool:
        state.caps.waiting_calls[call.id] = state.now + 5_000.0
        return False

    monkeypatch.setattr(caps, "admit", wait)
    assert not reducer.reduce(state, routed.arrived(1, path="/l/x", now=state.now))
    state.now += 2_000.0
    earned = sending._budget(state, PLANS).balance
    out: list[effects.Effect] = []
    caps.admit_waiting(state, out)
    _assert_refused(out)
    assert sending._budget(state, PLANS).balance == earned


# Guards against a call that waits for an upstream until it cannot end any more.
def test_a_call_that_waited_for_an_upstream_is_compared_again() -> None:
    state = routed.node_state(*ROUTES)
    state.started_at = state.now
    _record_relayed(state, count=20, lasts_ms=LONG_MS)
    arrival = routed.arrived(1, path="/l/x", now=state.now, timeout_ms=TIMEOUT_MS)
    reducer.reduce(state, arrival)
    assert state.waiting_calls
    _stop(state, grace_ms=LONG_MS)
    message = builders.gossip(members=(builders.member("n2", "plans"),))
    out = reducer.reduce(state, builders.datagram("n2", message, now=state.now))
    _assert_refused(out)


# Guards against a call that did not run, and is sent again when it cannot end any more.
@pytest.mark.parametrize("reached", [True, False])
def test_a_call_that_did_not_run_is_compared_before_it_is_sent_again(
    *, reached: bool
) -> None:
    state = _entry()
    _record_relayed(state, count=20, lasts_ms=LONG_MS)
    attempt = _attempt(state, 1)
    _stop(state)
    rule = decisions.Rule.BACKEND_REFUSED if reached else decisions.Rule.QUEUE_FULL
    refused = routed.refused(
        attempt, rule=int(rule), reached_backend=reached, now=state.now + 2_000.0
    )
    _assert_refused(reducer.reduce(state, refused))


# Guards against an answer that is replaced by a refusal, as the call may have run.
def test_a_call_that_may_have_run_is_sent_again_as_before() -> None:
    state = _entry()
    _record_relayed(state, count=20, lasts_ms=LONG_MS)
    attempt = _attempt(state, 1)
    _stop(state)
    lost = events.AttemptLost(now=state.now + 2_000.0, attempt=attempt, reached=True)
    assert routed.sent_to(reducer.reduce(state, lost))


# Guards against a call that fails below a request which still runs here.
def test_calls_of_the_backend_server_beside_are_served_however_long_they_last() -> None:
    state = routed.node_state(*ROUTES, service="other", slots=4)
    builders.add_members(state, builders.member("n2", "plans"))
    _record_relayed(state, count=20, lasts_ms=LONG_MS)
    terms = builders.call_metadata(trace="r1", service="other", kind=SHORT)
    reducer.reduce(state, builders.opened(1, terms, now=state.now))
    _stop(state)
    child = routed.arrived(10, path="/l/x", request="r1.c", now=state.now + 2_900.0)
    assert routed.sent_to(reducer.reduce(state, child))


def _child_after(
    stop_ms: float,
    *,
    lasts_ms: float = 0.0,
    deadline_ms: float = 5_000.0,
    repeatable: bool = False,
) -> list[effects.Effect]:
    """Return the effects of a call that the backend server beside makes in a stop.

    :param stop_ms: time since the signal.
    :param lasts_ms: how long recent calls of its kind lasted; 0 for none.
    """
    kind = routes.RouteType.SAFE if repeatable else routes.RouteType.UNREPEATABLE
    made = routed.route(LONG, prefix="/l/", timeout_ms=TIMEOUT_MS, kind=kind)
    state = routed.node_state(made, ROUTES[1], service="other", slots=4)
    builders.add_members(state, builders.member("n2", "plans"))
    if lasts_ms:
        _record_relayed(state, count=20, lasts_ms=lasts_ms)
    terms = builders.call_metadata(
        trace="r1",
        service="other",
        kind=SHORT,
        deadline_ms=60_000.0,
        never_ran=True,
        repeatable=False,
    )
    reducer.reduce(state, builders.opened(1, terms, now=state.now))
    _stop(state)
    child = routed.arrived(
        10,
        path="/l/x",
        request="r1.c",
        now=state.now + stop_ms,
        timeout_ms=deadline_ms,
    )
    return reducer.reduce(state, child)


# Guards against calls of the backend server beside that a stopping node passes on late
# in the grace, and breaks off while they are at work.
@pytest.mark.parametrize(
    ("stop_ms", "lasts_ms", "repeatable"),
    [
        (3_500.0, 0.0, False),
        (3_500.0, 2_100.0, False),
        (3_500.0, 2_100.0, True),
        (5_000.0, 500.0, False),
        (5_000.0, 500.0, True),
        (2_900.0, LONG_MS, False),
    ],
)
def test_late_calls_of_the_backend_server_beside_that_cannot_end_are_refused(
    stop_ms: float, lasts_ms: float, *, repeatable: bool
) -> None:
    _assert_refused(_child_after(stop_ms, lasts_ms=lasts_ms, repeatable=repeatable))


# Guards against requests that fail though their late calls would end in time.
@pytest.mark.parametrize(
    ("stop_ms", "lasts_ms", "deadline_ms", "repeatable"),
    [
        (3_500.0, 0.0, 1_800.0, False),
        (3_500.0, 1_000.0, 5_000.0, False),
        (3_500.0, 0.0, 5_000.0, True),
        (5_000.0, 200.0, 5_000.0, True),
        (2_900.0, 0.0, 5_000.0, False),
        (2_900.0, 2_000.0, 5_000.0, False),
    ],
)
def test_late_calls_of_the_backend_server_beside_that_can_end_are_served(
    stop_ms: float, lasts_ms: float, deadline_ms: float, *, repeatable: bool
) -> None:
    out = _child_after(
        stop_ms, lasts_ms=lasts_ms, deadline_ms=deadline_ms, repeatable=repeatable
    )
    assert routed.sent_to(out)


# Guards against a redirect for each long call while a node beside an upstream stops.
def test_peers_prefer_other_upstreams_for_calls_that_may_outlast_a_stop() -> None:
    state = _entry()
    room_ms = round(GRACE_MS - 1_500.0)
    stopping = builders.member("n2", "plans")
    builders.add_members(
        state, msgspec.structs.replace(stopping, version=2, room_ms=room_ms)
    )
    chosen = {_chosen(state, number, LONG) for number in range(20)}
    assert chosen == {"n3"}
    # No other upstream is left.
    out = reducer.reduce(
        state,
        routed.refused(_attempt(state, 100), rule=int(decisions.Rule.QUEUE_FULL)),
    )
    assert routed.sent_to(out).node == "n2"
    _record_relayed(state, count=20, lasts_ms=100.0)
    assert {_chosen(state, 200 + number, LONG) for number in range(20)} == {"n2", "n3"}


def _attempt(state: states.State, call: int) -> ids.AttemptId:
    arrival = routed.arrived(call, path="/l/x", now=state.now, timeout_ms=TIMEOUT_MS)
    out = reducer.reduce(state, arrival)
    return routed.sent_to(out).attempt


def _chosen(state: states.State, call: int, kind: str) -> str:
    arrival = routed.arrived(call, path=f"/{kind[0]}/x", now=state.now)
    sent = routed.sent_to(reducer.reduce(state, arrival))
    return sent.node


def test_a_stop_is_told_to_peers_at_once() -> None:
    state = _home(lasts_ms=100.0)
    builders.add_members(state, builders.member("n2", "other"))
    _stop(state)
    me = state.membership.self_member
    assert me is not None
    assert me.state is messages.MemberState.ALIVE
    assert 3_000 < me.room_ms < GRACE_MS - 1_500.0


# Guards against answers that are replaced on the bound of the last sixth of the grace.
def test_work_under_way_is_awaited_past_the_last_sixth_of_the_grace() -> None:
    state = _entry()
    sent = _attempt(state, 1)
    _stop(state)
    out = _advance(state, 5_200.0)
    assert not builders.all_of(out, effects.RefuseCall)
    relayed = reducer.reduce(state, builders.answered(sent, now=state.now))
    assert builders.only(relayed, effects.RelayAnswer)


# Guards against open calls that the end of the process cuts without an answer.
def test_work_that_does_not_end_is_answered_before_the_drain_timeout() -> None:
    state = _entry()
    _attempt(state, 1)
    _stop(state)
    out = _advance(state, GRACE_MS - 50.0)
    assert builders.only(out, effects.RefuseCall).status == 502


# Guards against memory that grows with kinds that no route has any more.
def test_times_of_routes_that_are_gone_are_forgotten() -> None:
    state = _home(lasts_ms=100.0)
    _record_relayed(state, count=5, lasts_ms=100.0)
    table = routed.table(routed.route(SHORT, prefix="/s/"), version=2)
    reducer.reduce(state, events.RoutesReceived(now=state.now, table=table))
    assert LONG not in state.hosted_times.kinds
    assert LONG not in state.relayed_times.kinds


def test_the_usual_time_is_that_of_nine_in_ten_recent_calls() -> None:
    times = run_times.RunTimes()
    for number in range(100):
        elapsed = 4_000.0 if number % 5 == 0 else 20.0
        run_times.record(times, "k", elapsed, now=0.0)
    assert 4_000.0 <= run_times.usual_ms(times, "k") <= 4_400.0
    for _ in range(100):
        run_times.record(times, "k", 20.0, now=run_times.WINDOW_MS + 1.0)
    for _ in range(100):
        run_times.record(times, "k", 20.0, now=2.0 * run_times.WINDOW_MS + 2.0)
    assert run_times.usual_ms(times, "k") <= run_times.SHORTEST_MS


# Guards against times of hours ago that count as recent.
def test_the_times_of_a_kind_without_recent_calls_are_forgotten() -> None:
    state = _home(lasts_ms=LONG_MS)
    _advance(state, 2.0 * run_times.WINDOW_MS + reducer.PRUNE_MS)
    assert not state.hosted_times.kinds


# Guards against calls of many minutes that count as shorter than a long stop.
def test_calls_longer_than_the_histogram_holds_outlast_every_stop() -> None:
    times = run_times.RunTimes()
    for _ in range(run_times.MIN_SAMPLES):
        run_times.record(times, "k", 600_000.0, now=0.0)
    assert run_times.usual_ms(times, "k") > 600_000.0


# Guards against memory that grows with names of kinds or with durations.
def test_usual_times_take_bounded_memory() -> None:
    times = run_times.RunTimes()
    for number in range(3 * run_times.MAX_KINDS):
        run_times.record(times, f"k{number}", 10.0, now=0.0)
    assert len(times.kinds) == run_times.MAX_KINDS
    for number in range(5_000):
        run_times.record(times, "k1", 1.2**number if number < 200 else 1e9, now=0.0)
    assert len(times.kinds["k1"].counts) < 100
