"""Single decisions: tokens, keys, deadlines, levels, choice of upstream."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from gingerturn.internal import ids
from gingerturn.internal.core import (
    admission,
    decisions,
    effects,
    events,
    levels,
    messages,
    ranks,
    reducer,
    routing,
    state as states,
    upstreams,
)
from gingerturn_fakes import parts
from tests.common import builders, routed, small


def _entry(*upstreams: str) -> states.State:
    """Return an entry node that knows upstreams of Plans."""
    state = builders.node_state("entry")
    builders.add_members(state, *[builders.member(name, "plans") for name in upstreams])
    return state


def _answer(
    state: states.State, attempt: int, *, status: int = 200, tokens: int = 0
) -> list[effects.Effect]:
    return reducer.reduce(
        state,
        builders.answered(attempt, status=status, tokens=tokens, now=state.now),
    )


def test_a_503_is_sent_again_to_another_upstream_for_a_token() -> None:
    state = _entry("p1", "p2")
    first = builders.only(
        reducer.reduce(state, builders.arrived(1)), effects.OpenAttempt
    )
    second = builders.only(
        _answer(state, first.attempt, status=503), effects.OpenAttempt
    )
    assert second.node != first.node
    # Two tokens: the attempt carried one and did not return it, the retry spent one.
    assert state.calls[ids.CallId(1)].tokens == 0
    assert builders.only(_answer(state, second.attempt), effects.RelayAnswer).call == 1


def test_an_unrepeatable_call_that_may_have_run_is_unknown() -> None:
    state = builders.node_state("entry")
    builders.add_members(
        state, builders.member("q1", "porting"), builders.member("q2", "porting")
    )
    key = builders.key_at(builders.START)
    out = reducer.reduce(
        state, builders.arrived(1, service="porting", method="POST", key=key, sending=1)
    )
    attempt = builders.only(out, effects.OpenAttempt).attempt
    lost = events.AttemptLost(now=state.now, attempt=attempt, reached=True)
    refusal = builders.only(reducer.reduce(state, lost), effects.RefuseCall)
    assert refusal.outcome is messages.Outcome.UNKNOWN
    assert refusal.status == 502


def test_an_attempt_that_never_left_goes_elsewhere_for_free() -> None:
    state = _entry("p1", "p2")
    first = builders.only(
        reducer.reduce(state, builders.arrived(1)), effects.OpenAttempt
    )
    lost = events.AttemptLost(now=state.now, attempt=first.attempt, reached=False)
    second = builders.only(reducer.reduce(state, lost), effects.OpenAttempt)
    assert second.node != first.node
    assert second.metadata.tokens + state.calls[ids.CallId(1)].tokens == 2


@pytest.mark.parametrize("key", ["", "x", "0a2372b7-7814-4000-80d8-2119ba9fd248"])
def test_an_unrepeatable_root_needs_a_proper_key(key: str) -> None:
    state = builders.node_state("entry")
    out = reducer.reduce(
        state, builders.arrived(1, service="porting", method="POST", key=key)
    )
    refusal = builders.only(out, effects.RefuseCall)
    assert refusal.status == (400 if key else 428)
    assert refusal.retry_after_ms == 0


def test_a_key_out_of_its_window_is_refused() -> None:
    for minted in (builders.START - 1_000_000, builders.START + 100_000):
        state = builders.node_state("entry")
        builders.add_members(state, builders.member("q1", "porting"))
        key = builders.key_at(minted)
        out = reducer.reduce(
            state, builders.arrived(1, service="porting", method="POST", key=key)
        )
        assert builders.only(out, effects.RefuseCall).status == 400


def run_key_at_two_homes() -> int:
    """Send one key to two home nodes at the same time; return how often it ran."""
    made = small.new_world(seed=3)
    truth = small.Truth(made)
    key = small.key_of(made, 1)
    terms = builders.call_metadata(
        service="porting",
        kind="port-request",
        importance=1,
        repeatable=False,
        key=key,
        deadline_ms=6_000.0,
    )
    made.run(500.0)
    for number, name in enumerate(("porting-1", "porting-2")):
        made.nodes[name].hosted_calls[900 + number] = ("plans-1", 900 + number, terms)
        made.nodes[name].requests[-(900 + number)] = ("POST", "/ports")
        made.apply(name, builders.opened(900 + number, terms, now=made.now))
    made.run(5_000.0)
    return 2 if key in truth.twice else int(key in truth.run_keys)


def test_one_key_at_two_homes_at_once_runs_once() -> None:
    assert run_key_at_two_homes() == 1


def test_a_claim_of_an_earlier_incarnation_is_never_run_again() -> None:
    state = builders.node_state("q1", service="porting")
    key = builders.key_at(builders.START)
    old = messages.ClaimBatch(
        claims=(messages.ClaimRecord(key=key, claim="old", node="q1/1"),)
    )
    reducer.reduce(state, builders.log_read("claims.porting", old))
    terms = builders.call_metadata(
        service="porting", kind="port-request", repeatable=False, key=key
    )
    out = reducer.reduce(state, builders.opened(5, terms))
    refusal = builders.only(out, effects.SendRefusal).refusal
    assert refusal.holder == "q1/1"
    assert not builders.all_of(out, effects.DispatchCall)


TICKET = f"q1/{int(builders.START)}"


def _ticket_terms(holder: str = TICKET) -> messages.CallMetadata:
    return builders.call_metadata(
        service="porting",
        kind="port-request",
        repeatable=False,
        key="gt1.x",
        ticket=holder,
    )


def test_a_ticket_runs_once_and_without_the_log() -> None:
    state = builders.node_state("q1", service="porting")
    state.streams.clear()
    out = reducer.reduce(state, builders.opened(1, _ticket_terms()))
    assert builders.only(out, effects.DispatchCall).hosted == 1
    assert not builders.all_of(out, effects.Append)
    out = reducer.reduce(state, builders.opened(2, _ticket_terms()))
    # The only effect is the log line that it waits for the first call.
    assert [type(effect) for effect in out] == [effects.LogDecision]
    done = events.BackendAnswered(now=state.now, hosted=ids.HostedId(1), status=200)
    out = reducer.reduce(state, done)
    assert builders.only(out, effects.SendAnswer).hosted == 1
    assert builders.only(out, effects.SendStoredAnswer).hosted == 2


def test_a_ticket_of_an_earlier_incarnation_is_unknown() -> None:
    state = builders.node_state("q1", service="porting")
    out = reducer.reduce(state, builders.opened(1, _ticket_terms("q1/1")))
    refusal = builders.only(out, effects.SendRefusal).refusal
    assert refusal.outcome is messages.Outcome.UNKNOWN
    assert not builders.all_of(out, effects.DispatchCall)


def test_a_call_that_cannot_finish_in_time_is_not_begun() -> None:
    state = builders.node_state("p1", service="plans")
    state.backend.times["plan-status"] = states.ServiceTime(
        mean_ms=400.0, measured_at=builders.START
    )
    late = builders.call_metadata(deadline_ms=300.0)
    out = reducer.reduce(state, builders.opened(1, late))
    refusal = builders.only(out, effects.SendRefusal).refusal
    assert refusal.rule == decisions.Rule.NOT_IN_TIME
    assert refusal.outcome is messages.Outcome.NOT_RUN


def test_a_deeper_call_that_finds_a_free_slot_is_tried_with_less_time() -> None:
    # Refusing it although slots are free would fail the request that it belongs to.
    state = routed.node_state(service="plans", slots=1)
    state.backend.times["plan-status"] = states.ServiceTime(
        mean_ms=400.0, measured_at=builders.START
    )
    late = builders.call_metadata(depth=1, deadline_ms=300.0)
    out = reducer.reduce(state, builders.opened(1, late))
    assert builders.only(out, effects.DispatchCall).hosted == 1
    # Without a free slot it would delay other calls.
    out = reducer.reduce(state, builders.opened(2, late))
    rule = builders.only(out, effects.SendRefusal).refusal.rule
    assert rule == decisions.Rule.NOT_IN_TIME


def test_an_unconfirmed_service_time_decays() -> None:
    state = builders.node_state("p1", service="plans")
    state.backend.times["plan-status"] = states.ServiceTime(
        mean_ms=4_000.0, measured_at=builders.START
    )
    state.now = builders.START + 20_000
    assert admission.service_time(state, "plan-status") < 10


def _second_of_two(*, calls_others: bool) -> int:
    """Return which call is dispatched next: 2, a deeper call, or 3, a root of the same
    class with the higher hash."""
    state = routed.node_state(service="plans", slots=1)
    if calls_others:
        state.child_kinds["sim-view"] = {("porting", "lookup"): builders.START}
    reducer.reduce(state, builders.opened(1))
    deeper = builders.call_metadata(depth=2, root=1 << 48)
    reducer.reduce(state, builders.opened(2, deeper))
    root = builders.call_metadata(depth=0, root=2 << 48, kind="sim-view")
    reducer.reduce(state, builders.opened(3, root))
    answer = events.BackendAnswered(
        now=builders.START, hosted=ids.HostedId(1), status=200
    )
    out = reducer.reduce(state, answer)
    return int(builders.only(out, effects.DispatchCall).hosted)


def test_a_root_that_calls_nobody_does_not_wait_behind_all_deeper_calls() -> None:
    # Otherwise an overloaded service at the leaves of trees would serve hardly any of
    # its own roots.
    assert _second_of_two(calls_others=False) == 3


def test_a_root_that_calls_others_comes_after_deeper_calls() -> None:
    assert _second_of_two(calls_others=True) == 2


def test_a_higher_class_takes_the_place_of_a_lower_one_in_the_queue() -> None:
    state = builders.node_state("p1", service="plans", slots=1)
    reducer.reduce(state, builders.opened(1))
    for hosted in range(2, 2 + admission.MIN_QUEUE):
        reducer.reduce(state, builders.opened(hosted))
    out = reducer.reduce(
        state, builders.opened(99, builders.call_metadata(importance=3))
    )
    refused = builders.only(out, effects.SendRefusal)
    assert refused.hosted != 99
    assert refused.refusal.retry_after_ms > 0
    done = events.BackendAnswered(now=state.now, hosted=ids.HostedId(1), status=200)
    assert builders.only(reducer.reduce(state, done), effects.DispatchCall).hosted == 99


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 7), st.integers(0, 9), st.integers(0, 2**64 - 1)),
        min_size=2,
        max_size=30,
    )
)
def test_ranks_order_by_class_then_depth_then_root(calls: list) -> None:
    def rank(call: tuple[int, int, int]) -> int:
        importance, depth, root = call
        return ranks.rank_of(importance=importance, depth=depth, root=root)

    wanted = sorted(calls, key=lambda c: (c[0], c[1] > 0, c[2] >> 48))
    assert [rank(c) for c in wanted] == sorted(rank(c) for c in calls)


def test_a_child_of_a_shed_service_does_not_cut_the_parents_limit() -> None:
    state = builders.node_state("p1", service="plans", slots=10)
    dispatched = builders.only(
        reducer.reduce(state, builders.opened(1)), effects.DispatchCall
    )
    reducer.reduce(
        state,
        builders.arrived(7, service="porting", span=dispatched.span, now=state.now),
    )
    answer = events.BackendAnswered(now=state.now, hosted=ids.HostedId(1), status=503)
    reducer.reduce(state, answer)
    assert state.backend.limit == 10


def test_a_backend_servers_own_refusal_cuts_the_limit() -> None:
    state = builders.node_state("p1", service="plans", slots=10)
    reducer.reduce(state, builders.opened(1))
    answer = events.BackendAnswered(now=state.now, hosted=ids.HostedId(1), status=503)
    reducer.reduce(state, answer)
    assert state.backend.limit < 10


def test_a_cold_backend_server_is_loaded_slowly() -> None:
    state = builders.node_state("p1")
    reducer.reduce(state, builders.announced("plans", slots=20, cold=True))
    assert int(state.backend.limit) == 4
    for hosted in range(40):
        reducer.reduce(state, builders.opened(hosted))
        running = [
            h.id for h in state.hosted.values() if h.state is states.HostedState.RUNNING
        ]
        done = events.BackendAnswered(now=state.now, hosted=running[0], status=200)
        if len(running) >= int(state.backend.limit):
            reducer.reduce(state, done)
    assert state.backend.limit == 20


def test_ejection_never_takes_more_than_the_declared_share() -> None:
    state = _entry("p1", "p2", "p3", "p4")
    for name in ("p1", "p2"):
        for _ in range(upstreams.FAILURES_TO_EJECT):
            upstreams.record_failure(state, ids.NodeId(name))
    plans = ids.ServiceName("plans")
    assert sorted(upstreams.candidates(state, plans)) == ["p3", "p4"]
    for _ in range(upstreams.FAILURES_TO_EJECT):
        upstreams.record_failure(state, ids.NodeId("p3"))
    assert len(upstreams.candidates(state, plans)) == 4


def test_levels_refuse_roots_before_any_work() -> None:
    state = _entry("p1", "p2")
    high = builders.report(level=ranks.HIGHEST)
    for name in ("p1", "p2"):
        routing.on_load_report(state, ids.NodeId(name), "plan-status", high)
    out = reducer.reduce(state, builders.arrived(1))
    refusal = builders.only(out, effects.RefuseCall)
    assert refusal.outcome is messages.Outcome.NOT_RUN
    assert refusal.status == 503
    assert refusal.retry_after_ms >= 1_000


def test_a_stale_level_is_requested() -> None:
    state = _entry("p1")
    high = builders.report(level=ranks.HIGHEST)
    routing.on_load_report(state, ids.NodeId("p1"), "plan-status", high)
    later = state.now + routing.LEVEL_REQUEST_INTERVAL_MS + 1
    out = reducer.reduce(state, builders.arrived(1, now=later))
    assert builders.only(out, effects.RequestLevel).node == "p1"
    reported = events.LevelReported(
        now=later + 1,
        node=ids.NodeId("p1"),
        kind=ids.KindName("plan-status"),
        report=builders.report(),
    )
    reducer.reduce(state, reported)
    again = reducer.reduce(state, builders.arrived(2, now=later + 2))
    assert builders.all_of(again, effects.OpenAttempt)


def test_a_level_without_reports_decays() -> None:
    reported = states.ReportedLevel(level=ranks.HIGHEST, reported_at=builders.START)
    soon = builders.START + levels.FRESH_MS
    assert levels.decayed(reported, soon) == ranks.HIGHEST
    assert levels.decayed(reported, soon + 3_000) == ranks.LOWEST


def test_calls_stay_in_the_zone_until_it_is_busier() -> None:
    state = _entry("p1")
    builders.add_members(state, builders.member("far", "plans", zone="tsv"))
    nodes = [ids.NodeId("p1"), ids.NodeId("far")]

    def share_near() -> float:
        chosen = [
            routing.choose(state, nodes, "plan-status", ranks.HIGHEST)
            for _ in range(400)
        ]
        return chosen.count(ids.NodeId("p1")) / len(chosen)

    # One of two random draws is the node in the same zone in three of four cases.
    assert share_near() > 0.7
    busy = builders.report(load=9, limit=10)
    routing.on_load_report(state, ids.NodeId("p1"), "plan-status", busy)
    assert share_near() < 0.3


def test_of_many_upstreams_too_calls_stay_in_the_zone_until_it_is_busier() -> None:
    state = _entry("p1")
    zones = ("bne-a", "bne-b", "tsv")
    members = [builders.member(f"u{n}", "plans", zone=zones[n % 3]) for n in range(30)]
    builders.add_members(state, *members)
    nodes = [member.node for member in members]
    near = {member.node for member in members if member.zone == state.zone}

    def share_near() -> float:
        chosen = [
            routing.choose(state, nodes, "plan-status", ranks.HIGHEST)
            for _ in range(400)
        ]
        return sum(node in near for node in chosen) / len(chosen)

    # One of two draws over all zones is in the same zone in five of nine cases.
    assert share_near() > 0.9
    for node in near:
        busy = builders.report(load=9, limit=10)
        routing.on_load_report(state, node, "plan-status", busy)
    assert share_near() < 0.2


def test_one_upstream_of_many_that_takes_a_call_is_found() -> None:
    state = _entry("p1")
    members = [builders.member(f"u{n}", "plans") for n in range(30)]
    builders.add_members(state, *members)
    high = builders.report(level=ranks.HIGHEST)
    routing.on_load_report(state, members[0].node, "plan-status", builders.report())
    for member in members[1:]:
        routing.on_load_report(state, member.node, "plan-status", high)
    nodes = [member.node for member in members]
    assert routing.choose(state, nodes, "plan-status", ids.Rank(1)) == "u0"
    routing.on_load_report(state, members[0].node, "plan-status", high)
    assert routing.choose(state, nodes, "plan-status", ids.Rank(1)) is None


class _Tree:
    """Tree of calls that may fail or be lost at random, without a network."""

    def __init__(self, seed: int, depth: int, allowance: int) -> None:
        self.rng = random.Random(seed)
        self.depth = depth
        self.allowance = allowance
        self.retries = 0

    def run(self) -> None:
        """Run one whole request."""
        self._call(self.allowance, 0)

    def _call(self, tokens: int, depth: int) -> int:
        """Run a call with its attempts; return the tokens that it returns."""
        state = _entry("p1", "p2", "p3", "p4")
        out = reducer.reduce(state, builders.arrived(1))
        call = state.calls[ids.CallId(1)]
        attempt = builders.only(out, effects.OpenAttempt)
        # Set the call's tokens to those that its parent passed to it.
        call.tokens = tokens - tokens // 2
        state.attempts[attempt.attempt].tokens = tokens // 2
        held = tokens // 2
        while True:
            left = self._home(held, depth)
            draw = self.rng.random()
            if draw < 0.3:
                event: events.Event = events.AttemptLost(
                    now=state.now, attempt=attempt.attempt, reached=True
                )
            else:
                status = 503 if draw < 0.7 else 200
                event = builders.answered(
                    attempt.attempt, status=status, tokens=left, now=state.now
                )
            out = reducer.reduce(state, event)
            opened = builders.all_of(out, effects.OpenAttempt)
            if not opened:
                return max(0, call.tokens)
            self.retries += 1
            attempt = opened[0]
            held = attempt.metadata.tokens

    def _home(self, tokens: int, depth: int) -> int:
        """Run a home node whose backend server makes up to two calls."""
        if depth >= self.depth:
            return tokens
        for _ in range(self.rng.randint(0, 2)):
            part = (tokens + 1) // 2
            tokens = tokens - part + self._call(part, depth + 1)
        return tokens


@hypothesis.given(st.integers(0, 2**32), st.integers(0, 3), st.integers(0, 16))
@hypothesis.settings(max_examples=60)
def test_attempts_in_a_tree_never_exceed_the_allowance(
    seed: int, depth: int, allowance: int
) -> None:
    tree = _Tree(seed, depth, allowance)
    tree.run()
    assert tree.retries <= allowance


def test_the_fakes_have_the_tests_kinds() -> None:
    assert set(small.KINDS) == {
        rule.name for rule in small.new_world().configuration.kinds()
    }
    assert isinstance(small.KINDS["provision"], parts.KindSpec)
