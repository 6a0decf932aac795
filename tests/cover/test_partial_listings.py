"""Nodes whose listing of the newest records ended before the last key."""

import msgspec

from gingerturn.internal.core import (
    effects,
    events,
    joining,
    messages,
    readiness,
    reducer,
    state as states,
    streams,
)
from tests.common import builders, routed


def _started() -> states.State:
    start = routed.started()
    state = reducer.new_state(start)
    put = builders.only(reducer.reduce(state, start), effects.PutRecord)
    reducer.reduce(state, events.PutDone(now=state.now, put=put.put))
    return state


def _listed(
    state: states.State, stream: str, *records: messages.LogRecord, complete: bool
) -> list[effects.Effect]:
    event = events.NewestRead(
        now=state.now,
        stream=stream,
        records=tuple(messages.encode_record(record) for record in records),
        end=7,
        generation=state.streams[stream].generation,
        requested_at=state.now,
        complete=complete,
    )
    return reducer.reduce(state, event)


def _lines(out: list[effects.Effect]) -> list[str]:
    return [effect.text for effect in builders.all_of(out, effects.WriteLog)]


def _join(name: str) -> messages.JoinRecord:
    return messages.JoinRecord(
        node=name,
        incarnation=1,
        host="127.0.0.1",
        gossip_port=8_000,
        zone="bne-a",
        at=builders.START,
    )


def _list_members(state: states.State, *, complete: bool) -> list[effects.Effect]:
    return _listed(state, streams.MEMBERS, complete=complete)


# Guards against a node without configuration for good: a listing that ended before it
# counted as complete, and the stream was followed from its end on.
def test_a_partial_listing_without_a_table_is_repeated() -> None:
    state = _started()
    for tries in range(1, 4):
        out = _listed(state, streams.ROUTES, complete=False)
        assert not builders.all_of(out, effects.ReadNewest)
        assert ("Stream routes is read in part only." in _lines(out)) == (tries == 1)
        reason = readiness.Unready.NO_CONFIGURATION
        assert readiness.unready(state) is reason
        expected = f"stream routes is read in part only, {tries} tries."
        assert readiness.description(state, reason).endswith(expected)
        out = builders.advance(state, 2.0 * streams.KEYED_RETRY_MAX_MS)
        reads = builders.all_of(out, effects.ReadNewest)
        assert [r.stream for r in reads].count(streams.ROUTES) == 1
    out = _listed(state, streams.ROUTES, routed.table(), complete=True)
    assert state.routes is not None
    assert not state.streams[streams.ROUTES].incomplete
    assert "Stream routes can be read again, after 3 tries." in _lines(out)


def test_a_partial_listing_with_a_table_is_not_repeated() -> None:
    state = _started()
    _listed(state, streams.ROUTES, routed.table(), complete=False)
    assert state.routes is not None
    assert state.streams[streams.ROUTES].failures == 0
    assert state.streams[streams.ROUTES].base_read


# Guards against nodes that are ready while each knows itself alone.
def test_a_partial_listing_of_members_does_not_make_a_lone_node_ready() -> None:
    state = _started()
    _listed(state, streams.ROUTES, routed.table(), complete=True)
    out = _list_members(state, complete=False)
    assert "Stream members is read in part only." in _lines(out)
    assert readiness.unready(state) is readiness.Unready.MEMBERS_NOT_LISTED
    out = builders.advance(state, 2.0 * streams.KEYED_RETRY_MAX_MS)
    assert streams.MEMBERS in [
        effect.stream for effect in builders.all_of(out, effects.ReadNewest)
    ]
    _list_members(state, complete=True)
    assert readiness.is_ready(state)


def test_members_of_a_partial_listing_are_contacted() -> None:
    state = _started()
    out = _listed(state, streams.MEMBERS, _join("n2"), complete=False)
    assert builders.only(out, effects.SendGossip).port == 8_000
    assert not state.membership.members_listed


def test_a_partial_listing_counts_once_a_member_was_reached() -> None:
    state = _started()
    _listed(state, streams.ROUTES, routed.table(), complete=True)
    builders.add_members(state, builders.member("n2", "plans"))
    _list_members(state, complete=False)
    assert readiness.is_ready(state)


# Guards against a node that puts its record over and over: a listing that ended before
# it counted as one without it.
def test_a_record_behind_the_end_of_a_partial_listing_is_not_put_again() -> None:
    state = _started()
    _list_members(state, complete=False)
    assert state.membership.join_put_number == 0


def test_the_pauses_before_a_record_that_stays_unlisted_is_put_again_grow() -> None:
    state = _started()
    pauses = []
    for _ in range(2 * joining.MAX_REWRITE_DOUBLINGS):
        _list_members(state, complete=True)
        view = state.membership
        pauses.append(view.join_retry_at - state.now)
        view.join_put_number = 0
    assert pauses[0] <= 1_000.0
    assert max(pauses) > 8_000.0
    assert max(pauses) <= 1_000.0 * 2**joining.MAX_REWRITE_DOUBLINGS
    assert state.membership.self_member is not None
    own = joining._join_record(state, state.membership.self_member)
    _listed(state, streams.MEMBERS, msgspec.structs.replace(own), complete=True)
    assert state.membership.join_rewrites == 0
