"""What is held against a request, and what keeps a harmless one from being kept out."""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    backend_crashes,
    crash_attribution,
    decisions,
    effects,
    events,
    messages,
    quarantine,
    quarantine_gossip,
    quarantine_table,
    reducer,
    state as states,
    streams,
)
from gingerturn.internal.wire import datagrams
from tests.common import builders, routed

DEADLY = ids.Fingerprint(7)
OTHERS = [ids.Fingerprint(number) for number in range(100, 140)]


def _end(
    *requests: int, node: str = "h1", number: int = 1, part: int = 0, age: float = 0.0
) -> messages.BackendCrash:
    return messages.BackendCrash(
        node=ids.NodeId(node),
        incarnation=ids.Incarnation(1),
        number=number,
        part=part,
        requests=requests,
        age_ms=age,
    )


def _word(ends: int, *, request: int = DEADLY, age: float = 0.0) -> object:
    return messages.QuarantineUpdate(request=request, crash_count=ends, age_ms=age)


def hear(
    state: states.State, *news: object, digest: int = 0, sender: str = "h1"
) -> list[effects.Effect]:
    """Let a node hear of ends and of words on requests."""
    told = messages.QuarantineGossip(
        crashes=tuple(n for n in news if isinstance(n, messages.BackendCrash)),
        updates=tuple(n for n in news if isinstance(n, messages.QuarantineUpdate)),
        digest=digest,
    )
    message = messages.Gossip(
        kind=messages.GossipKind.ACK,
        sequence=0,
        revision=ids.Revision(0),
        quarantine=told,
    )
    return reducer.reduce(state, builders.datagram(sender, message, now=state.now))


def _entry(kind: routes.RouteType = routes.RouteType.SAFE) -> states.State:
    state = routed.node_state(routed.route(kind=kind, timeout_ms=5_000))
    builders.add_members(
        state, builders.member("h1", "plans"), builders.member("h2", "plans")
    )
    return state


def _home(*, slots: int = 4) -> states.State:
    return routed.node_state(service="plans", slots=slots)


def _arrives(
    state: states.State, call: int, request: int = DEADLY
) -> list[effects.Effect]:
    event = routed.arrived(call, now=state.now)
    fields = {name: getattr(event, name) for name in event.__struct_fields__}
    fields["fingerprint"] = request
    return reducer.reduce(state, events.CallArrived(**fields))


def _opens(
    state: states.State, hosted: int, request: int, **terms: object
) -> list[effects.Effect]:
    called = builders.call_terms(fingerprint=request, **terms)
    return reducer.reduce(state, builders.opened(hosted, called, now=state.now))


def _ends_under(
    state: states.State, first: int, *requests: int
) -> list[effects.Effect]:
    """Let the backend server end while it is at some requests, and come back."""
    hosted = range(first, first + len(requests))
    for number, request in zip(hosted, requests, strict=True):
        _opens(state, number, request)
    for number in hosted:
        event = events.BackendFailed(
            now=state.now, hosted=ids.HostedId(number), dispatched=True
        )
        reducer.reduce(state, event)
    out = reducer.reduce(state, events.BackendChecked(now=state.now, refused=True))
    instance = f"i-{first}"
    reducer.reduce(state, routed.announced(instance=instance, now=state.now))
    return out


def kept_out(state: states.State) -> set[int]:
    """Return what a node keeps out."""
    return set(state.quarantine.quarantined)


# What is to blame.


def test_what_three_ends_have_in_common_is_kept_out() -> None:
    state = _entry()
    hear(state, _end(DEADLY, 100), _end(DEADLY, 101, node="h2"))
    assert kept_out(state) == set()
    hear(state, _end(DEADLY, 102, node="h3"))
    assert kept_out(state) == {DEADLY}


def test_an_end_that_is_told_twice_counts_once() -> None:
    state = _entry()
    for sender in ("h1", "h2", "h3"):
        hear(state, _end(DEADLY), sender=sender)
    assert kept_out(state) == set()


def test_an_end_that_is_told_in_parts_counts_once() -> None:
    state = _entry()
    for part in range(3):
        hear(state, _end(DEADLY, part=part))
    assert kept_out(state) == set()


def test_ends_that_two_nodes_tell_each_for_itself_count_together() -> None:
    # Each of three homes has seen one end only.
    home = _home()
    hear(home, _end(DEADLY, node="h2"), _end(DEADLY, node="h3"))
    _ends_under(home, 1, DEADLY)
    assert kept_out(home) == {DEADLY}


def test_a_request_that_was_sent_on_into_three_ends_is_not_blamed() -> None:
    state = _entry()
    hear(state, *(_end(DEADLY, 100, node=node) for node in ("h1", "h2", "h3")))
    hear(state, _end(DEADLY, node="h4"))
    assert kept_out(state) == {DEADLY}


@hypothesis.given(st.data())
def test_one_common_cause_is_found_whatever_else_was_under_way(
    data: st.DataObject,
) -> None:
    state = _entry()
    others = st.lists(st.sampled_from(OTHERS), max_size=12, unique=True)
    count = data.draw(st.integers(crash_attribution.CRASHES_TO_QUARANTINE, 12))
    for number in range(count):
        end = _end(DEADLY, *data.draw(others), node=f"h{number}")
        hear(state, end)
    assert DEADLY in kept_out(state)
    # All that is kept out explains as many ends as the deadly one.
    assert {w.crash_count for w in state.quarantine.quarantined.values()} == {count}


def test_several_deadly_requests_are_kept_out_each() -> None:
    state = _entry()
    deadly = [1, 2, 3, 4]
    for request in deadly:
        hear(state, *(_end(request, node=f"h{request}", number=n) for n in range(3)))
    assert kept_out(state) == set(deadly)


@hypothesis.given(st.permutations(range(6)))
def test_the_order_of_news_does_not_matter(order: list[int]) -> None:
    state = _entry()
    ends = [_end(DEADLY, 100 + n // 2, node=f"h{n}") for n in range(6)]
    for index in order:
        hear(state, ends[index])
    assert kept_out(state) == {DEADLY}


# What is harmless.


def test_a_popular_request_under_way_in_every_end_is_not_kept_out() -> None:
    # A rolling kill, or the loss of a zone, meets what is always under way.
    popular = OTHERS[0]
    state = _entry()
    for number in range(3):
        home = _home()
        _opens(home, 1, popular)
        answered = events.BackendAnswered(
            now=home.now, hosted=ids.HostedId(1), status=200
        )
        reducer.reduce(home, answered)
        _ends_under(home, 2, popular)
        hear(state, *_told_ends(home, node=f"h{number}"))
    assert kept_out(state) == set()


def _told_ends(home: states.State, *, node: str) -> list[messages.BackendCrash]:
    return [
        _end(*end.requests, node=node, number=end.crash.number)
        for end in home.quarantine.crashes.values()
    ]


@pytest.mark.parametrize(("status", "held"), [(200, set()), (500, {DEADLY})])
def test_a_run_to_an_answer_clears_a_request_and_a_failure_of_its_own_does_not(
    status: int, held: set[int]
) -> None:
    home = _home()
    hear(home, _end(DEADLY, node="h1"), _end(DEADLY, node="h2"))
    _opens(home, 1, DEADLY)
    event = events.BackendAnswered(now=home.now, hosted=ids.HostedId(1), status=status)
    reducer.reduce(home, event)
    hear(home, _end(DEADLY, node="h3"))
    assert kept_out(home) == held


def test_a_connection_that_breaks_is_no_end() -> None:
    home = _home()
    for number in range(1, 6):
        _opens(home, number, DEADLY)
        event = events.BackendFailed(
            now=home.now, hosted=ids.HostedId(number), dispatched=True
        )
        reducer.reduce(home, event)
        out = reducer.reduce(home, events.BackendChecked(now=home.now, refused=False))
        refusal = builders.only(out, effects.SendRefusal).refusal
        assert refusal.rule == decisions.Rule.OUTCOME_UNKNOWN
    assert not home.quarantine.crashes


def test_the_end_of_a_backend_server_that_leaves_is_held_against_nothing() -> None:
    home = _home()
    _opens(home, 1, DEADLY)
    reducer.reduce(home, events.BackendWithdrawn(now=home.now, instance="i-1"))
    failed = events.BackendFailed(now=home.now, hosted=ids.HostedId(1), dispatched=True)
    reducer.reduce(home, failed)
    reducer.reduce(home, events.BackendChecked(now=home.now, refused=True))
    assert not home.quarantine.crashes


def test_a_request_that_is_kept_out_by_mistake_is_tried_and_cleared() -> None:
    home = _home()
    hear(home, *(_end(DEADLY, node=node) for node in ("h1", "h2", "h3")))
    refused = builders.only(_opens(home, 1, DEADLY), effects.SendRefusal).refusal
    assert refused.rule == decisions.Rule.QUARANTINED
    assert refused.outcome is messages.Outcome.NOT_RUN
    builders.passed(home, quarantine.TRIAL_PAUSE_MS + 20.0)
    reducer.reduce(home, routed.announced(sequence=2, now=home.now))
    assert builders.all_of(_opens(home, 2, DEADLY), effects.DispatchCall)
    # One at a time: what comes meanwhile waits for what the trial tells.
    assert not builders.all_of(_opens(home, 3, DEADLY), effects.DispatchCall)
    answered = events.BackendAnswered(now=home.now, hosted=ids.HostedId(2), status=200)
    reducer.reduce(home, answered)
    assert kept_out(home) == set()
    assert builders.all_of(_opens(home, 4, DEADLY), effects.DispatchCall)


def test_a_trial_that_ends_the_backend_server_makes_the_pause_longer() -> None:
    home = _home()
    hear(home, *(_end(DEADLY, node=node) for node in ("h1", "h2", "h3")))
    builders.passed(home, quarantine.TRIAL_PAUSE_MS + 20.0)
    reducer.reduce(home, routed.announced(sequence=2, now=home.now))
    _ends_under(home, 1, DEADLY)
    due = quarantine.trial_due_in(home, DEADLY)
    assert due == quarantine.TRIAL_PAUSE_MS * quarantine.TRIAL_FACTOR


def test_only_one_home_tries_a_request() -> None:
    state = _entry()
    age = quarantine.TRIAL_PAUSE_MS + 20.0
    hear(state, *(_end(DEADLY, node=node, age=age) for node in ("h1", "h2", "h3")))
    nodes = {routed.sent_to(_arrives(state, call)).node for call in range(1, 9)}
    assert len(nodes) == 1


# What callers and entry nodes are told.


@pytest.mark.parametrize("kind", [routes.RouteType.SAFE, routes.RouteType.UNREPEATABLE])
def test_an_entry_refuses_it_before_any_work_and_says_when_to_come_back(
    kind: routes.RouteType,
) -> None:
    state = _entry(kind)
    hear(state, *(_end(DEADLY, node=node) for node in ("h1", "h2", "h3")))
    out = _arrives(state, 1)
    refused = builders.only(out, effects.RefuseCall)
    assert not builders.all_of(out, effects.OpenAttempt)
    assert (refused.status, refused.title) == (503, "quarantined")
    assert refused.outcome is messages.Outcome.NOT_RUN
    assert refused.retry_after_ms >= quarantine.TRIAL_PAUSE_MS
    found = state.decisions.find(refused.decision)
    assert found is not None
    assert found.figures["backend servers ended"] == 3.0
    assert builders.all_of(_arrives(state, 2, OTHERS[0]), effects.OpenAttempt)


def test_what_ended_its_upstream_is_sent_on_until_it_is_kept_out() -> None:
    state = _entry()
    first = routed.sent_to(_arrives(state, 1))
    unknown = messages.Outcome.UNKNOWN
    ended = decisions.Rule.BACKEND_ENDED
    out = reducer.reduce(
        state,
        routed.refused(first.attempt, rule=ended, outcome=unknown, now=state.now),
    )
    second = routed.sent_to(out)
    assert second.node != first.node


def test_it_is_not_sent_on_once_its_home_keeps_it_out() -> None:
    state = _entry()
    first = routed.sent_to(_arrives(state, 1))
    out = reducer.reduce(
        state,
        routed.refused(
            first.attempt,
            rule=decisions.Rule.QUARANTINED,
            outcome=messages.Outcome.UNKNOWN,
            now=state.now,
        ),
    )
    assert not builders.all_of(out, effects.OpenAttempt)
    # It ran; nothing else may be said.
    assert builders.only(out, effects.RefuseCall).status == 502


def test_the_entry_of_the_third_end_hears_that_it_is_kept_out() -> None:
    home = _home()
    hear(home, _end(DEADLY, node="h1"), _end(DEADLY, node="h2"))
    out = _ends_under(home, 1, DEADLY, OTHERS[0])
    rules = {
        e.hosted: e.refusal.rule for e in builders.all_of(out, effects.SendRefusal)
    }
    assert rules == {
        1: decisions.Rule.QUARANTINED,
        2: decisions.Rule.BACKEND_ENDED,
    }


def test_a_queued_call_is_refused_once_it_is_kept_out() -> None:
    home = _home(slots=1)
    _opens(home, 1, OTHERS[0])
    _opens(home, 2, DEADLY)
    hear(home, *(_end(DEADLY, node=node) for node in ("h1", "h2", "h3")))
    answered = events.BackendAnswered(now=home.now, hosted=ids.HostedId(1), status=200)
    out = reducer.reduce(home, answered)
    assert not builders.all_of(out, effects.DispatchCall)
    refusal = builders.only(out, effects.SendRefusal).refusal
    assert refusal.outcome is messages.Outcome.NOT_RUN


def test_a_stream_that_breaks_with_the_backend_server_is_held_against_it() -> None:
    home = _home()
    hear(home, _end(DEADLY, node="h1"), _end(DEADLY, node="h2"))
    _opens(home, 1, DEADLY)
    begun = events.BackendAnswered(
        now=home.now, hosted=ids.HostedId(1), status=200, whole=False
    )
    reducer.reduce(home, begun)
    failed = events.BackendFailed(now=home.now, hosted=ids.HostedId(1), dispatched=True)
    reducer.reduce(home, failed)
    reducer.reduce(home, events.BackendChecked(now=home.now, refused=True))
    assert kept_out(home) == {DEADLY}


def test_a_new_start_under_the_same_id_is_an_end_of_the_one_before() -> None:
    home = _home()
    first = routed.announced(sequence=2, now=home.now)
    fields = {name: getattr(first, name) for name in first.__struct_fields__}
    reducer.reduce(home, events.BackendAnnounced(**{**fields, "started_ms": 1_000}))
    _opens(home, 1, DEADLY)
    reducer.reduce(home, events.BackendAnnounced(**{**fields, "started_ms": 2_000}))
    assert [end.requests for end in home.quarantine.crashes.values()] == [(DEADLY,)]


def _broken_then(home: states.State, *, answered: bool) -> list[tuple[int, ...]]:
    """Let a connection break though a new one opens, and another start follow."""
    _opens(home, 1, DEADLY)
    _opens(home, 2, OTHERS[0])
    failed = events.BackendFailed(now=home.now, hosted=ids.HostedId(1), dispatched=True)
    reducer.reduce(home, failed)
    reducer.reduce(home, events.BackendChecked(now=home.now, refused=False))
    if answered:
        now = home.now + backend_crashes.TOGETHER_MS + 1.0
        event = events.BackendAnswered(now=now, hosted=ids.HostedId(2), status=200)
        reducer.reduce(home, event)
    reducer.reduce(home, routed.announced(instance="i-2", now=home.now + 1_000.0))
    return [end.requests for end in home.quarantine.crashes.values()]


def test_an_end_that_something_in_between_hides_shows_by_the_next_start() -> None:
    assert _broken_then(_home(), answered=False) == [(DEADLY, OTHERS[0])]


def test_an_answer_read_among_the_connections_that_break_hides_nothing() -> None:
    home = _home()
    for number, request in enumerate([DEADLY, *OTHERS[:2]], 1):
        _opens(home, number, request)
    for number in (1, 3):
        event = events.BackendFailed(
            now=home.now, hosted=ids.HostedId(number), dispatched=True
        )
        reducer.reduce(home, event)
        answered = events.BackendAnswered(
            now=home.now + 0.1, hosted=ids.HostedId(2), status=200
        )
        reducer.reduce(home, answered)
    reducer.reduce(home, events.BackendChecked(now=home.now, refused=True))
    (end,) = home.quarantine.crashes.values()
    assert end.requests == (DEADLY, OTHERS[1])


def test_calls_that_break_while_it_is_down_do_not_hide_what_ended_it() -> None:
    home = _home()
    for number, request in enumerate([DEADLY, *OTHERS[:3]], 1):
        _opens(home, number, request)
        event = events.BackendFailed(
            now=home.now, hosted=ids.HostedId(number), dispatched=True
        )
        reducer.reduce(home, event)
        reducer.reduce(home, events.BackendChecked(now=home.now, refused=False))
        home.now += 300.0
    reducer.reduce(home, routed.announced(instance="i-2", now=home.now))
    (end,) = home.quarantine.crashes.values()
    assert DEADLY in end.requests


def test_a_call_lost_before_the_former_start_answered_again_is_no_part_of_it() -> None:
    assert _broken_then(_home(), answered=True) == []


def test_a_start_after_a_planned_stop_tells_of_no_end() -> None:
    home = _home()
    _opens(home, 1, DEADLY)
    reducer.reduce(home, events.BackendWithdrawn(now=home.now, instance="i-1"))
    reducer.reduce(home, routed.announced(instance="i-2", now=home.now))
    assert not home.quarantine.crashes


# How it spreads and how long it lasts.


def test_a_node_that_keeps_out_other_requests_is_told_again() -> None:
    informed, late = _entry(), _entry()
    hear(informed, *(_end(DEADLY, node=node) for node in ("h1", "h2", "h3")))
    for _ in range(200):
        # The news has gone round, without the late node.
        quarantine_gossip.outgoing(informed)
    informed.now += quarantine_gossip.TELL_AGAIN_MS
    hear(informed, digest=late.quarantine.digest)
    told = quarantine_gossip.outgoing(informed)
    message = messages.Gossip(
        kind=messages.GossipKind.ACK,
        sequence=0,
        revision=ids.Revision(0),
        quarantine=told,
    )
    reducer.reduce(late, builders.datagram("h1", message, now=late.now))
    assert kept_out(late) == {DEADLY}
    assert late.quarantine.digest == informed.quarantine.digest


def _pushed(out: list[effects.Effect]) -> list[messages.BackendCrash]:
    sent = builders.all_of(out, effects.SendGossip)
    return [end for effect in sent for end in effect.message.quarantine.crashes]


def test_ends_with_a_request_in_common_are_passed_on_at_once() -> None:
    state = _entry()
    builders.passed(state, 1_000.0)
    # Nothing follows from a first one: it rides on the messages that go anyway.
    assert not _pushed(hear(state, _end(DEADLY, 100)))
    assert _pushed(hear(state, _end(DEADLY, 101, node="h2")))
    state.now += 1_000.0
    assert _pushed(hear(state, _end(DEADLY, 102, node="h3")))
    # By now it is kept out, and one end more changes nothing.
    state.now += 1_000.0
    assert not _pushed(hear(state, _end(DEADLY, 103, node="h4")))


def test_the_log_is_told_and_tells_nodes_that_start_anew() -> None:
    home = _home()
    hear(home, _end(DEADLY, node="h1"), _end(DEADLY, node="h2"))
    out = _ends_under(home, 1, DEADLY)
    put = builders.only(out, effects.PutRecord)
    started = routed.node_state()
    join = started.membership.join_put_number
    reducer.reduce(started, events.PutDone(now=started.now, put=join))
    read = events.NewestRead(
        now=started.now, stream=streams.MEMBERS, records=(put.record,), end=1
    )
    reducer.reduce(started, read)
    assert kept_out(started) == {DEADLY}


def test_a_record_that_the_log_did_not_take_is_put_again() -> None:
    home = _home()
    hear(home, _end(DEADLY, node="h1"), _end(DEADLY, node="h2"))
    put = builders.only(_ends_under(home, 1, DEADLY), effects.PutRecord)
    reducer.reduce(home, events.PutFailed(now=home.now, put=put.put))
    again = builders.all_of(builders.passed(home, 1_200.0), effects.PutRecord)
    assert [e.key for e in again] == [put.key]


# Guards against a request that all nodes let in again after a loss of power, since the
# log was restored from a backup without the record of it.
def test_a_record_is_put_again_when_the_log_was_restored() -> None:
    home = _home()
    hear(home, _end(DEADLY, node="h1"), _end(DEADLY, node="h2"))
    put = builders.only(_ends_under(home, 1, DEADLY), effects.PutRecord)
    done = events.PutDone(now=home.now, put=put.put, epoch=ids.LogEpoch(5))
    reducer.reduce(home, done)
    told = msgspec.structs.replace(builders.gossip(), log_epoch=ids.LogEpoch(6))
    reducer.reduce(home, builders.datagram("h1", told, now=home.now))
    again = builders.all_of(builders.passed(home, 1_200.0), effects.PutRecord)
    assert put.key in [e.key for e in again]


@pytest.mark.parametrize("keyed", [True, False], ids=["keyed", "appended"])
def test_an_acknowledgement_from_before_the_log_was_restored_is_none(
    keyed: bool,
) -> None:
    home = _home()
    hear(home, _end(DEADLY, node="h1"), _end(DEADLY, node="h2"))
    put = builders.only(_ends_under(home, 1, DEADLY), effects.PutRecord)
    for epoch in (5, 6):
        told = msgspec.structs.replace(builders.gossip(), log_epoch=ids.LogEpoch(epoch))
        reducer.reduce(home, builders.datagram("h1", told, now=home.now))
    before = ids.LogEpoch(5)
    late: events.Event = events.PutDone(now=home.now, put=put.put, epoch=before)
    if not keyed:
        late = events.AppendDone(now=home.now, append=put.put, offset=0, epoch=before)
    reducer.reduce(home, late)
    again = builders.all_of(builders.passed(home, 1_200.0), effects.PutRecord)
    assert put.key in [e.key for e in again]


def test_the_log_forgets_what_was_cleared() -> None:
    home = _home()
    hear(home, _end(DEADLY, node="h1"), _end(DEADLY, node="h2"))
    put = builders.only(_ends_under(home, 1, DEADLY), effects.PutRecord)
    cleared = events.RequestCleared(now=home.now, request=DEADLY, author="me")
    out = reducer.reduce(home, cleared)
    assert kept_out(home) == set()
    dropped = builders.only(out, effects.PutRecord)
    assert (dropped.key, dropped.record) == (put.key, b"")
    trail = builders.only(out, effects.Append)
    assert trail.stream == streams.AUDIT
    assert b'"who":"me"' in trail.record
    # A second time there is nothing to clear.
    out = reducer.reduce(home, cleared)
    assert not builders.all_of(out, effects.PutRecord)


def test_a_word_that_clears_reaches_nodes_that_keep_it_out() -> None:
    state = _entry()
    hear(state, *(_end(DEADLY, node=node, age=50.0) for node in ("h1", "h2", "h3")))
    hear(state, _word(0))
    assert kept_out(state) == set()
    # An older word does not bring it back.
    hear(state, _word(3, age=60_000.0))
    assert kept_out(state) == set()


def test_ends_are_forgotten_but_what_is_kept_out_stays_so() -> None:
    state = routed.node_state()
    hear(state, *(_end(DEADLY, node=node) for node in ("h1", "h2", "h3")))
    hear(state, _end(OTHERS[0], node="h4"))
    state.now += quarantine_gossip.KEPT_MS
    builders.passed(state, 2_000.0)
    assert not state.quarantine.crashes
    assert kept_out(state) == {DEADLY}
    state.now += quarantine_gossip.FORGOTTEN_MS
    out = builders.passed(state, 2_000.0)
    assert kept_out(state) == set()
    # Of the nodes that are left one takes it off the log.
    assert builders.only(out, effects.PutRecord).record == b""


def test_a_table_that_fills_up_drops_the_oldest() -> None:
    state = _entry()
    for request in range(1, quarantine_table.MAX_QUARANTINED + 50):
        state.now += 1.0
        hear(state, _word(3, request=request))
    known = state.quarantine
    assert len(known.quarantined) == quarantine_table.MAX_QUARANTINED
    assert 1 not in known.quarantined
    for number in range(quarantine_table.MAX_CRASHES + 20):
        hear(state, _end(1_000 + number, node="h9", number=number))
    assert len(known.crashes) == quarantine_table.MAX_CRASHES


def test_more_requests_than_one_message_takes_travel_in_parts() -> None:
    count = quarantine.REQUESTS_AN_END + 5
    home = _home(slots=count)
    _ends_under(home, 1, *range(1, count + 1))
    sizes = sorted(len(end.requests) for end in home.quarantine.crashes.values())
    assert sizes == [5, quarantine.REQUESTS_AN_END]


def test_news_of_an_end_fits_into_a_packet() -> None:
    home = _home(slots=64)
    _ends_under(home, 1, *range(1 << 47, (1 << 47) + 64))
    members = tuple(builders.member(f"service-{n}-node-{n}", "s") for n in range(5))
    words = tuple(
        messages.QuarantineUpdate((1 << 47) + n, 3, 1e9)
        for n in range(quarantine_gossip.WORDS_A_MESSAGE)
    )
    told = quarantine_gossip.outgoing(home)
    message = messages.Gossip(
        kind=messages.GossipKind.PING,
        sequence=1 << 31,
        revision=ids.Revision(1 << 40),
        members=members,
        quarantine=messages.QuarantineGossip(told.crashes, words, 1 << 31),
    )
    datagram = datagrams.encode(b"a secret of the tests", home.node, 5.0, message)
    assert len(datagram) < 1_200
