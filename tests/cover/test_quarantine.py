"""Attribution of crashes to requests, and quarantine of those that cause them."""

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


def _crash(
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


def _update(crash_count: int, *, request: int = DEADLY, age: float = 0.0) -> object:
    return messages.QuarantineUpdate(
        request=request, crash_count=crash_count, age_ms=age
    )


def deliver(
    state: states.State, *reports: object, digest: int = 0, sender: str = "h1"
) -> list[effects.Effect]:
    """Deliver crash reports and quarantine updates to a node."""
    gossip = messages.QuarantineGossip(
        crashes=tuple(n for n in reports if isinstance(n, messages.BackendCrash)),
        updates=tuple(n for n in reports if isinstance(n, messages.QuarantineUpdate)),
        digest=digest,
    )
    message = messages.Gossip(
        kind=messages.GossipKind.ACK,
        sequence=0,
        revision=ids.Revision(0),
        quarantine=gossip,
    )
    return reducer.reduce(state, builders.datagram(sender, message, now=state.now))


def _entry_node(kind: routes.RouteType = routes.RouteType.SAFE) -> states.State:
    state = routed.node_state(routed.route(kind=kind, timeout_ms=5_000))
    builders.add_members(
        state, builders.member("h1", "plans"), builders.member("h2", "plans")
    )
    return state


def _home_node(*, slots: int = 4) -> states.State:
    return routed.node_state(service="plans", slots=slots)


def _arrive(
    state: states.State, call: int, request: int = DEADLY
) -> list[effects.Effect]:
    event = routed.arrived(call, now=state.now)
    fields = {name: getattr(event, name) for name in event.__struct_fields__}
    fields["fingerprint"] = request
    return reducer.reduce(state, events.CallArrived(**fields))


def _open(
    state: states.State, hosted: int, request: int, **terms: object
) -> list[effects.Effect]:
    called = builders.call_metadata(fingerprint=request, **terms)
    return reducer.reduce(state, builders.opened(hosted, called, now=state.now))


def _crash_under(
    state: states.State, first: int, *requests: int
) -> list[effects.Effect]:
    """Crash the backend server with some requests in progress, and restart it."""
    hosted = range(first, first + len(requests))
    for number, request in zip(hosted, requests, strict=True):
        _open(state, number, request)
    for number in hosted:
        event = events.BackendFailed(
            now=state.now, hosted=ids.HostedId(number), dispatched=True
        )
        reducer.reduce(state, event)
    out = reducer.reduce(state, events.BackendChecked(now=state.now, refused=True))
    instance = f"i-{first}"
    reducer.reduce(state, routed.announced(instance=instance, now=state.now))
    return out


def quarantined(state: states.State) -> set[int]:
    """Return the requests that a node has quarantined."""
    return set(state.quarantine.quarantined)


# Attribution.


def test_a_request_shared_by_three_crashes_is_quarantined() -> None:
    state = _entry_node()
    deliver(state, _crash(DEADLY, 100), _crash(DEADLY, 101, node="h2"))
    assert quarantined(state) == set()
    deliver(state, _crash(DEADLY, 102, node="h3"))
    assert quarantined(state) == {DEADLY}


def test_a_crash_that_is_reported_twice_counts_once() -> None:
    state = _entry_node()
    for sender in ("h1", "h2", "h3"):
        deliver(state, _crash(DEADLY), sender=sender)
    assert quarantined(state) == set()


def test_a_crash_that_is_reported_in_parts_counts_once() -> None:
    state = _entry_node()
    for part in range(3):
        deliver(state, _crash(DEADLY, part=part))
    assert quarantined(state) == set()


def test_crashes_reported_by_different_nodes_count_together() -> None:
    # Each of three home nodes has seen one crash only.
    home = _home_node()
    deliver(home, _crash(DEADLY, node="h2"), _crash(DEADLY, node="h3"))
    _crash_under(home, 1, DEADLY)
    assert quarantined(home) == {DEADLY}


def test_a_harmless_request_retried_into_three_crashes_is_not_quarantined() -> None:
    state = _entry_node()
    deliver(state, *(_crash(DEADLY, 100, node=node) for node in ("h1", "h2", "h3")))
    deliver(state, _crash(DEADLY, node="h4"))
    assert quarantined(state) == {DEADLY}


@hypothesis.given(st.data())
def test_the_common_cause_is_found_whatever_else_was_in_progress(
    data: st.DataObject,
) -> None:
    state = _entry_node()
    others = st.lists(st.sampled_from(OTHERS), max_size=12, unique=True)
    count = data.draw(st.integers(crash_attribution.CRASHES_TO_QUARANTINE, 12))
    for number in range(count):
        crash = _crash(DEADLY, *data.draw(others), node=f"h{number}")
        deliver(state, crash)
    assert DEADLY in quarantined(state)
    # All quarantined requests share as many crashes as the deadly one.
    assert {w.crash_count for w in state.quarantine.quarantined.values()} == {count}


def test_several_deadly_requests_are_each_quarantined() -> None:
    state = _entry_node()
    deadly = [1, 2, 3, 4]
    for request in deadly:
        deliver(
            state, *(_crash(request, node=f"h{request}", number=n) for n in range(3))
        )
    assert quarantined(state) == set(deadly)


@hypothesis.given(st.permutations(range(6)))
def test_the_order_of_reports_does_not_matter(order: list[int]) -> None:
    state = _entry_node()
    crashes = [_crash(DEADLY, 100 + n // 2, node=f"h{n}") for n in range(6)]
    for index in order:
        deliver(state, crashes[index])
    assert quarantined(state) == {DEADLY}


# Harmless requests and trials.


def test_a_popular_request_in_progress_in_every_crash_is_not_quarantined() -> None:
    # As in a rolling kill or the loss of a zone.
    popular = OTHERS[0]
    state = _entry_node()
    for number in range(3):
        home = _home_node()
        _open(home, 1, popular)
        answered = events.BackendAnswered(
            now=home.now, hosted=ids.HostedId(1), status=200
        )
        reducer.reduce(home, answered)
        _crash_under(home, 2, popular)
        deliver(state, *_reported_crashes(home, node=f"h{number}"))
    assert quarantined(state) == set()


def _reported_crashes(home: states.State, *, node: str) -> list[messages.BackendCrash]:
    return [
        _crash(*crash.requests, node=node, number=crash.crash.number)
        for crash in home.quarantine.crashes.values()
    ]


@pytest.mark.parametrize(("status", "expected"), [(200, set()), (500, {DEADLY})])
def test_an_answer_clears_a_request_and_a_server_error_does_not(
    status: int, expected: set[int]
) -> None:
    home = _home_node()
    deliver(home, _crash(DEADLY, node="h1"), _crash(DEADLY, node="h2"))
    _open(home, 1, DEADLY)
    event = events.BackendAnswered(now=home.now, hosted=ids.HostedId(1), status=status)
    reducer.reduce(home, event)
    deliver(home, _crash(DEADLY, node="h3"))
    assert quarantined(home) == expected


def test_a_broken_connection_is_no_crash() -> None:
    home = _home_node()
    for number in range(1, 6):
        _open(home, number, DEADLY)
        event = events.BackendFailed(
            now=home.now, hosted=ids.HostedId(number), dispatched=True
        )
        reducer.reduce(home, event)
        out = reducer.reduce(home, events.BackendChecked(now=home.now, refused=False))
        refusal = builders.only(out, effects.SendRefusal).refusal
        assert refusal.rule == decisions.Rule.OUTCOME_UNKNOWN
    assert not home.quarantine.crashes


def test_a_planned_stop_of_a_backend_server_is_no_crash() -> None:
    home = _home_node()
    _open(home, 1, DEADLY)
    reducer.reduce(home, events.BackendWithdrawn(now=home.now, instance="i-1"))
    failed = events.BackendFailed(now=home.now, hosted=ids.HostedId(1), dispatched=True)
    reducer.reduce(home, failed)
    reducer.reduce(home, events.BackendChecked(now=home.now, refused=True))
    assert not home.quarantine.crashes


def test_a_harmless_request_in_quarantine_is_tried_and_cleared() -> None:
    home = _home_node()
    deliver(home, *(_crash(DEADLY, node=node) for node in ("h1", "h2", "h3")))
    refused = builders.only(_open(home, 1, DEADLY), effects.SendRefusal).refusal
    assert refused.rule == decisions.Rule.QUARANTINED
    assert refused.outcome is messages.Outcome.NOT_RUN
    builders.advance(home, quarantine.TRIAL_PAUSE_MS + 20.0)
    reducer.reduce(home, routed.announced(sequence=2, now=home.now))
    assert builders.all_of(_open(home, 2, DEADLY), effects.DispatchCall)
    # One trial at a time.
    assert not builders.all_of(_open(home, 3, DEADLY), effects.DispatchCall)
    answered = events.BackendAnswered(now=home.now, hosted=ids.HostedId(2), status=200)
    reducer.reduce(home, answered)
    assert quarantined(home) == set()
    assert builders.all_of(_open(home, 4, DEADLY), effects.DispatchCall)


def test_a_trial_that_crashes_the_backend_server_makes_the_pause_longer() -> None:
    home = _home_node()
    deliver(home, *(_crash(DEADLY, node=node) for node in ("h1", "h2", "h3")))
    builders.advance(home, quarantine.TRIAL_PAUSE_MS + 20.0)
    reducer.reduce(home, routed.announced(sequence=2, now=home.now))
    _crash_under(home, 1, DEADLY)
    due = quarantine.trial_due_in(home, DEADLY)
    assert due == quarantine.TRIAL_PAUSE_MS * quarantine.TRIAL_PAUSE_FACTOR


def test_only_one_home_tries_a_request() -> None:
    state = _entry_node()
    age = quarantine.TRIAL_PAUSE_MS + 20.0
    deliver(state, *(_crash(DEADLY, node=node, age=age) for node in ("h1", "h2", "h3")))
    nodes = {routed.sent_to(_arrive(state, call)).node for call in range(1, 9)}
    assert len(nodes) == 1


# Refusals.


@pytest.mark.parametrize("kind", [routes.RouteType.SAFE, routes.RouteType.UNREPEATABLE])
def test_an_entry_node_refuses_it_before_any_work_with_a_retry_delay(
    kind: routes.RouteType,
) -> None:
    state = _entry_node(kind)
    deliver(state, *(_crash(DEADLY, node=node) for node in ("h1", "h2", "h3")))
    out = _arrive(state, 1)
    refused = builders.only(out, effects.RefuseCall)
    assert not builders.all_of(out, effects.OpenAttempt)
    assert (refused.status, refused.title) == (503, "quarantined")
    assert refused.outcome is messages.Outcome.NOT_RUN
    assert refused.retry_after_ms >= quarantine.TRIAL_PAUSE_MS
    found = state.decisions.find(refused.decision)
    assert found is not None
    assert found.figures["backend servers ended"] == 3.0
    assert builders.all_of(_arrive(state, 2, OTHERS[0]), effects.OpenAttempt)


def test_a_request_that_crashed_its_upstream_is_retried_until_it_is_quarantined() -> (
    None
):
    state = _entry_node()
    first = routed.sent_to(_arrive(state, 1))
    unknown = messages.Outcome.UNKNOWN
    ended = decisions.Rule.BACKEND_ENDED
    out = reducer.reduce(
        state,
        routed.refused(first.attempt, rule=ended, outcome=unknown, now=state.now),
    )
    second = routed.sent_to(out)
    assert second.node != first.node


def test_it_is_not_retried_once_its_home_node_has_quarantined_it() -> None:
    state = _entry_node()
    first = routed.sent_to(_arrive(state, 1))
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
    # It ran, so the outcome is unknown.
    assert builders.only(out, effects.RefuseCall).status == 502


def test_the_third_crash_refuses_the_request_as_quarantined() -> None:
    home = _home_node()
    deliver(home, _crash(DEADLY, node="h1"), _crash(DEADLY, node="h2"))
    out = _crash_under(home, 1, DEADLY, OTHERS[0])
    rules = {
        e.hosted: e.refusal.rule for e in builders.all_of(out, effects.SendRefusal)
    }
    assert rules == {
        1: decisions.Rule.QUARANTINED,
        2: decisions.Rule.BACKEND_ENDED,
    }


def test_a_queued_call_is_refused_once_it_is_quarantined() -> None:
    home = _home_node(slots=1)
    _open(home, 1, OTHERS[0])
    _open(home, 2, DEADLY)
    deliver(home, *(_crash(DEADLY, node=node) for node in ("h1", "h2", "h3")))
    answered = events.BackendAnswered(now=home.now, hosted=ids.HostedId(1), status=200)
    out = reducer.reduce(home, answered)
    assert not builders.all_of(out, effects.DispatchCall)
    refusal = builders.only(out, effects.SendRefusal).refusal
    assert refusal.outcome is messages.Outcome.NOT_RUN


def test_a_stream_that_breaks_in_a_crash_counts_as_in_progress() -> None:
    home = _home_node()
    deliver(home, _crash(DEADLY, node="h1"), _crash(DEADLY, node="h2"))
    _open(home, 1, DEADLY)
    begun = events.BackendAnswered(
        now=home.now, hosted=ids.HostedId(1), status=200, whole=False
    )
    reducer.reduce(home, begun)
    failed = events.BackendFailed(now=home.now, hosted=ids.HostedId(1), dispatched=True)
    reducer.reduce(home, failed)
    reducer.reduce(home, events.BackendChecked(now=home.now, refused=True))
    assert quarantined(home) == {DEADLY}


def test_a_restart_under_the_same_id_is_a_crash_of_the_previous_process() -> None:
    home = _home_node()
    first = routed.announced(sequence=2, now=home.now)
    fields = {name: getattr(first, name) for name in first.__struct_fields__}
    reducer.reduce(home, events.BackendAnnounced(**{**fields, "started_ms": 1_000}))
    _open(home, 1, DEADLY)
    reducer.reduce(home, events.BackendAnnounced(**{**fields, "started_ms": 2_000}))
    assert [crash.requests for crash in home.quarantine.crashes.values()] == [(DEADLY,)]


def _crashes_after_restart(
    home: states.State, *, answered: bool
) -> list[tuple[int, ...]]:
    """Break a connection while others are accepted, then restart the backend."""
    _open(home, 1, DEADLY)
    _open(home, 2, OTHERS[0])
    failed = events.BackendFailed(now=home.now, hosted=ids.HostedId(1), dispatched=True)
    reducer.reduce(home, failed)
    reducer.reduce(home, events.BackendChecked(now=home.now, refused=False))
    if answered:
        now = home.now + backend_crashes.IN_FLIGHT_ANSWER_MS + 1.0
        event = events.BackendAnswered(now=now, hosted=ids.HostedId(2), status=200)
        reducer.reduce(home, event)
    reducer.reduce(home, routed.announced(instance="i-2", now=home.now + 1_000.0))
    return [crash.requests for crash in home.quarantine.crashes.values()]


def test_a_crash_hidden_by_a_proxy_is_detected_at_the_next_start() -> None:
    assert _crashes_after_restart(_home_node(), answered=False) == [(DEADLY, OTHERS[0])]


def test_an_answer_in_flight_at_a_crash_does_not_hide_it() -> None:
    home = _home_node()
    for number, request in enumerate([DEADLY, *OTHERS[:2]], 1):
        _open(home, number, request)
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
    (crash,) = home.quarantine.crashes.values()
    assert crash.requests == (DEADLY, OTHERS[1])


def test_calls_that_break_after_a_crash_do_not_hide_its_cause() -> None:
    home = _home_node()
    for number, request in enumerate([DEADLY, *OTHERS[:3]], 1):
        _open(home, number, request)
        event = events.BackendFailed(
            now=home.now, hosted=ids.HostedId(number), dispatched=True
        )
        reducer.reduce(home, event)
        reducer.reduce(home, events.BackendChecked(now=home.now, refused=False))
        home.now += 300.0
    reducer.reduce(home, routed.announced(instance="i-2", now=home.now))
    (crash,) = home.quarantine.crashes.values()
    assert DEADLY in crash.requests


def test_a_call_lost_before_a_later_answer_is_no_part_of_a_crash() -> None:
    assert _crashes_after_restart(_home_node(), answered=True) == []


def test_a_start_after_a_planned_stop_is_no_crash() -> None:
    home = _home_node()
    _open(home, 1, DEADLY)
    reducer.reduce(home, events.BackendWithdrawn(now=home.now, instance="i-1"))
    reducer.reduce(home, routed.announced(instance="i-2", now=home.now))
    assert not home.quarantine.crashes


# Gossip, records on the log and retention.


def test_a_node_with_a_different_digest_is_sent_the_entries_again() -> None:
    informed, late = _entry_node(), _entry_node()
    deliver(informed, *(_crash(DEADLY, node=node) for node in ("h1", "h2", "h3")))
    for _ in range(200):
        # Exhaust the transmissions without the late node.
        quarantine_gossip.outgoing(informed)
    informed.now += quarantine_gossip.RESEND_INTERVAL_MS
    deliver(informed, digest=late.quarantine.digest)
    gossip = quarantine_gossip.outgoing(informed)
    message = messages.Gossip(
        kind=messages.GossipKind.ACK,
        sequence=0,
        revision=ids.Revision(0),
        quarantine=gossip,
    )
    reducer.reduce(late, builders.datagram("h1", message, now=late.now))
    assert quarantined(late) == {DEADLY}
    assert late.quarantine.digest == informed.quarantine.digest


def _sent_crashes(out: list[effects.Effect]) -> list[messages.BackendCrash]:
    sent = builders.all_of(out, effects.SendGossip)
    return [crash for effect in sent for crash in effect.message.quarantine.crashes]


def test_crashes_with_a_request_in_common_are_sent_on_at_once() -> None:
    state = _entry_node()
    builders.advance(state, 1_000.0)
    # A first crash is attached to regular messages.
    assert not _sent_crashes(deliver(state, _crash(DEADLY, 100)))
    assert _sent_crashes(deliver(state, _crash(DEADLY, 101, node="h2")))
    state.now += 1_000.0
    assert _sent_crashes(deliver(state, _crash(DEADLY, 102, node="h3")))
    # The request is quarantined now, and a further crash changes nothing.
    state.now += 1_000.0
    assert not _sent_crashes(deliver(state, _crash(DEADLY, 103, node="h4")))


def test_nodes_that_start_read_quarantined_requests_from_the_log() -> None:
    home = _home_node()
    deliver(home, _crash(DEADLY, node="h1"), _crash(DEADLY, node="h2"))
    out = _crash_under(home, 1, DEADLY)
    put = builders.only(out, effects.PutRecord)
    started = routed.node_state()
    join = started.membership.join_put_number
    reducer.reduce(started, events.PutDone(now=started.now, put=join))
    read = events.NewestRead(
        now=started.now, stream=streams.MEMBERS, records=(put.record,), end=1
    )
    reducer.reduce(started, read)
    assert quarantined(started) == {DEADLY}


def test_a_record_that_the_log_did_not_take_is_put_again() -> None:
    home = _home_node()
    deliver(home, _crash(DEADLY, node="h1"), _crash(DEADLY, node="h2"))
    put = builders.only(_crash_under(home, 1, DEADLY), effects.PutRecord)
    reducer.reduce(home, events.PutFailed(now=home.now, put=put.put))
    again = builders.all_of(builders.advance(home, 1_200.0), effects.PutRecord)
    assert [e.key for e in again] == [put.key]


# Guards against a quarantine that is lost in a restart of all nodes, after the log was
# restored from a backup without its record.
def test_a_record_is_put_again_when_the_log_was_restored() -> None:
    home = _home_node()
    deliver(home, _crash(DEADLY, node="h1"), _crash(DEADLY, node="h2"))
    put = builders.only(_crash_under(home, 1, DEADLY), effects.PutRecord)
    done = events.PutDone(now=home.now, put=put.put, epoch=ids.LogEpoch(5))
    reducer.reduce(home, done)
    gossip = msgspec.structs.replace(builders.gossip(), log_epoch=ids.LogEpoch(6))
    reducer.reduce(home, builders.datagram("h1", gossip, now=home.now))
    again = builders.all_of(builders.advance(home, 1_200.0), effects.PutRecord)
    assert put.key in [e.key for e in again]


@pytest.mark.parametrize("keyed", [True, False], ids=["keyed", "appended"])
def test_an_acknowledgement_from_before_the_log_was_restored_is_none(
    keyed: bool,
) -> None:
    home = _home_node()
    deliver(home, _crash(DEADLY, node="h1"), _crash(DEADLY, node="h2"))
    put = builders.only(_crash_under(home, 1, DEADLY), effects.PutRecord)
    for epoch in (5, 6):
        gossip = msgspec.structs.replace(
            builders.gossip(), log_epoch=ids.LogEpoch(epoch)
        )
        reducer.reduce(home, builders.datagram("h1", gossip, now=home.now))
    before = ids.LogEpoch(5)
    late: events.Event = events.PutDone(now=home.now, put=put.put, epoch=before)
    if not keyed:
        late = events.AppendDone(now=home.now, append=put.put, offset=0, epoch=before)
    reducer.reduce(home, late)
    again = builders.all_of(builders.advance(home, 1_200.0), effects.PutRecord)
    assert put.key in [e.key for e in again]


def test_the_record_of_a_cleared_request_is_deleted() -> None:
    home = _home_node()
    deliver(home, _crash(DEADLY, node="h1"), _crash(DEADLY, node="h2"))
    put = builders.only(_crash_under(home, 1, DEADLY), effects.PutRecord)
    cleared = events.RequestCleared(now=home.now, request=DEADLY, author="me")
    out = reducer.reduce(home, cleared)
    assert quarantined(home) == set()
    dropped = builders.only(out, effects.PutRecord)
    assert (dropped.key, dropped.record) == (put.key, b"")
    trail = builders.only(out, effects.Append)
    assert trail.stream == streams.AUDIT
    assert b'"who":"me"' in trail.record
    # Clearing it again has no effect.
    out = reducer.reduce(home, cleared)
    assert not builders.all_of(out, effects.PutRecord)


def test_an_update_that_clears_a_request_is_applied_by_other_nodes() -> None:
    state = _entry_node()
    deliver(
        state, *(_crash(DEADLY, node=node, age=50.0) for node in ("h1", "h2", "h3"))
    )
    deliver(state, _update(0))
    assert quarantined(state) == set()
    # An older update does not quarantine it again.
    deliver(state, _update(3, age=60_000.0))
    assert quarantined(state) == set()


def test_entries_outlive_the_crashes_that_they_are_derived_from() -> None:
    state = routed.node_state()
    deliver(state, *(_crash(DEADLY, node=node) for node in ("h1", "h2", "h3")))
    deliver(state, _crash(OTHERS[0], node="h4"))
    state.now += quarantine_gossip.CRASH_RETENTION_MS
    builders.advance(state, 2_000.0)
    assert not state.quarantine.crashes
    assert quarantined(state) == {DEADLY}
    state.now += quarantine_gossip.ENTRY_RETENTION_MS
    out = builders.advance(state, 2_000.0)
    assert quarantined(state) == set()
    # One of the remaining nodes deletes the record.
    puts = [e for e in builders.all_of(out, effects.PutRecord) if e.key != state.node]
    assert [put.record for put in puts] == [b""]


def test_a_table_that_fills_up_drops_the_oldest() -> None:
    state = _entry_node()
    for request in range(1, quarantine_table.MAX_QUARANTINED + 50):
        state.now += 1.0
        deliver(state, _update(3, request=request))
    known = state.quarantine
    assert len(known.quarantined) == quarantine_table.MAX_QUARANTINED
    assert 1 not in known.quarantined
    for number in range(quarantine_table.MAX_CRASHES + 20):
        deliver(state, _crash(1_000 + number, node="h9", number=number))
    assert len(known.crashes) == quarantine_table.MAX_CRASHES


def test_a_crash_with_many_requests_is_reported_in_parts() -> None:
    count = quarantine.REQUESTS_PER_MESSAGE + 5
    home = _home_node(slots=count)
    _crash_under(home, 1, *range(1, count + 1))
    sizes = sorted(len(crash.requests) for crash in home.quarantine.crashes.values())
    assert sizes == [5, quarantine.REQUESTS_PER_MESSAGE]


def test_a_crash_report_fits_into_a_packet() -> None:
    home = _home_node(slots=64)
    _crash_under(home, 1, *range(1 << 47, (1 << 47) + 64))
    members = tuple(builders.member(f"service-{n}-node-{n}", "s") for n in range(5))
    updates = tuple(
        messages.QuarantineUpdate((1 << 47) + n, 3, 1e9)
        for n in range(quarantine_gossip.UPDATES_PER_MESSAGE)
    )
    gossip = quarantine_gossip.outgoing(home)
    message = messages.Gossip(
        kind=messages.GossipKind.PING,
        sequence=1 << 31,
        revision=ids.Revision(1 << 40),
        members=members,
        quarantine=messages.QuarantineGossip(gossip.crashes, updates, 1 << 31),
    )
    datagram = datagrams.encode(b"a secret of the tests", home.node, 5.0, message)
    assert len(datagram) < 1_200
