"""Discovery of members by join records on a keyed log."""

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


def _started() -> tuple[states.State, list[effects.Effect]]:
    begin = routed.started()
    state = reducer.new_state(begin)
    return state, reducer.reduce(state, begin)


def _put_done(state: states.State, put: int) -> list[effects.Effect]:
    return reducer.reduce(state, events.PutDone(now=state.now, put=put))


def _listed(
    state: states.State, *names: str, incarnation: int = 1
) -> list[effects.Effect]:
    records = [
        messages.JoinRecord(
            node=name,
            incarnation=incarnation,
            host="127.0.0.1",
            gossip_port=9000 + index,
            zone="bne-a",
            at=builders.START,
        )
        for index, name in enumerate(names)
    ]
    return reducer.reduce(
        state,
        events.NewestRead(
            now=state.now,
            stream=streams.MEMBERS,
            records=tuple(messages.encode_record(record) for record in records),
            end=len(records),
        ),
    )


def test_the_own_record_is_put_before_the_others_are_read() -> None:
    state, out = _started()
    put = builders.only(out, effects.PutRecord)
    assert put.key == "n1"
    read = [e.stream for e in builders.all_of(out, effects.ReadNewest)]
    assert streams.MEMBERS not in read
    out = _put_done(state, put.put)
    assert builders.only(out, effects.ReadNewest).stream == streams.MEMBERS


def test_a_record_that_was_not_acknowledged_is_put_again() -> None:
    state, out = _started()
    put = builders.only(out, effects.PutRecord)
    reducer.reduce(state, events.PutFailed(now=state.now, put=put.put))
    out = builders.advance(state, 2_500.0)
    assert builders.all_of(out, effects.PutRecord)


def test_listed_nodes_are_contacted_again_until_they_are_members() -> None:
    state, out = _started()
    _put_done(state, builders.only(out, effects.PutRecord).put)
    out = _listed(state, "n2", "n3")
    assert {e.port for e in builders.all_of(out, effects.SendGossip)} == {9000, 9001}
    builders.add_members(state, builders.member("n2", "plans"))
    out = builders.advance(state, 5_000.0)
    contacted = [
        e.port
        for e in builders.all_of(out, effects.SendGossip)
        if e.message.kind is messages.GossipKind.SYNC_REQUEST
    ]
    assert set(contacted) == {9001}
    assert len(contacted) == joining.CONTACT_ATTEMPTS - 1


def test_a_node_is_ready_once_it_has_routes_and_the_members_were_read() -> None:
    state, out = _started()
    assert not readiness.is_ready(state)
    reducer.reduce(state, events.RoutesReceived(now=state.now, table=routed.table()))
    assert not readiness.is_ready(state)
    _put_done(state, builders.only(out, effects.PutRecord).put)
    _listed(state)
    assert readiness.is_ready(state)
    reducer.reduce(state, events.StopRequested(now=state.now))
    assert not readiness.is_ready(state)


def test_members_are_read_again_if_a_read_was_under_way_when_the_own_record_came() -> (
    None
):
    # That read may have missed a node which itself read before this node's record was
    # put, so that neither would find the other.
    state, out = _started()
    put = builders.only(out, effects.PutRecord).put
    reducer.reduce(state, events.PutFailed(now=state.now, put=put))
    out = builders.advance(
        state, 2 * joining.PUT_RETRY_MS + joining.GONE_PROBE_INTERVAL_MS
    )
    _put_done(state, builders.only(out, effects.PutRecord).put)
    out = [*_listed(state), *builders.advance(state, 50.0)]
    read = [e.stream for e in builders.all_of(out, effects.ReadNewest)]
    assert read == [streams.MEMBERS]
    builders.add_members(state, builders.member("n2", "plans"))
    _listed(state)
    assert not builders.all_of(builders.advance(state, 3_000.0), effects.ReadNewest)


def test_a_failed_read_is_tried_again_within_a_second() -> None:
    state, out = _started()
    _put_done(state, builders.only(out, effects.PutRecord).put)
    for _ in range(12):
        failed = events.LogReadFailed(now=state.now, stream=streams.MEMBERS)
        reducer.reduce(state, failed)
        out = builders.advance(state, streams.KEYED_RETRY_MAX_MS + 20.0)
        read = [e.stream for e in builders.all_of(out, effects.ReadNewest)]
        assert streams.MEMBERS in read


def test_history_that_was_dropped_leads_back_to_the_newest_record() -> None:
    state, _ = _started()
    record = messages.encode_record(routed.table(version=3))
    stream = streams.ROUTES
    reducer.reduce(
        state,
        events.NewestRead(now=state.now, stream=stream, records=(record,), end=7),
    )
    assert state.routes is not None and state.routes.version == 3
    gap = events.LogRead(
        now=state.now, stream=stream, first=20, records=(), oldest=20, end=20
    )
    out = [*reducer.reduce(state, gap), *builders.advance(state, 50.0)]
    assert builders.only(out, effects.ReadNewest).stream == stream


def test_a_sender_that_is_not_known_is_asked_who_there_is() -> None:
    # After a restart without the log, the peers are unknown, and their own records are
    # no longer gossiped.
    state, _ = _started()
    ping = builders.gossip(route_version=3)
    out = reducer.reduce(state, builders.datagram("n2", ping, now=state.now))
    kinds = [e.message.kind for e in builders.all_of(out, effects.SendGossip)]
    assert messages.GossipKind.SYNC_REQUEST in kinds
    builders.add_members(state, builders.member("n2", "plans"))
    out = reducer.reduce(state, builders.datagram("n2", ping, now=state.now))
    kinds = [e.message.kind for e in builders.all_of(out, effects.SendGossip)]
    assert messages.GossipKind.SYNC_REQUEST not in kinds


def test_members_held_for_gone_are_pinged_so_that_parted_sides_meet_again() -> None:
    state = routed.node_state()
    gone = messages.MemberState.GONE
    known = builders.member("n2", "plans")
    builders.add_members(state, known)
    builders.add_members(state, messages.Member(*_fields(known, gone)))
    out = builders.advance(state, 2_100.0)
    assert any(e.port == 9001 for e in builders.all_of(out, effects.SendGossip))


def _fields(
    member: messages.Member, changed: messages.MemberState
) -> tuple[object, ...]:
    return tuple(
        changed if name == "state" else getattr(member, name)
        for name in member.__struct_fields__
    )


def test_a_start_with_a_clock_set_back_outdoes_its_earlier_incarnation() -> None:
    state = routed.node_state()
    me = state.membership.self_member
    assert me is not None
    earlier = messages.Member(
        *(
            me.incarnation + 5_000 if name == "incarnation" else getattr(me, name)
            for name in me.__struct_fields__
        )
    )
    builders.add_members(state, builders.member("n2", "plans"), earlier)
    assert state.membership.self_member is not None
    assert state.membership.self_member.incarnation > earlier.incarnation
