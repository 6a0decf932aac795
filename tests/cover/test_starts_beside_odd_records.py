"""The start of a node whose list of members cannot be read, or holds records of other
writers."""

import msgspec
import pytest

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

STRANGERS = 2_000
REAL_PORT = 8_000
FAR_FUTURE = builders.START + 1e12


def _record(
    name: str, port: int, *, at: float = builders.START, incarnation: int = 1
) -> messages.JoinRecord:
    return messages.JoinRecord(
        node=name,
        incarnation=incarnation,
        host="127.0.0.1",
        gossip_port=port,
        zone="bne-a",
        at=at,
    )


def _started() -> states.State:
    start = routed.started()
    state = reducer.new_state(start)
    put = builders.only(reducer.reduce(state, start), effects.PutRecord)
    reducer.reduce(state, events.RoutesReceived(now=state.now, table=routed.table()))
    reducer.reduce(state, events.PutDone(now=state.now, put=put.put))
    return state


def _own(state: states.State) -> messages.JoinRecord:
    assert state.membership.self_member is not None
    return joining._join_record(state, state.membership.self_member)


def _page(cursor: str = "") -> messages.Gossip:
    """Return a page of the members that its sender knows."""
    kind = messages.GossipKind.SYNC_PAGE
    return msgspec.structs.replace(builders.gossip(), kind=kind, cursor=cursor)


def _list(
    state: states.State, records: list[messages.JoinRecord]
) -> list[effects.Effect]:
    read = events.NewestRead(
        now=state.now,
        stream=streams.MEMBERS,
        records=tuple(messages.encode_record(record) for record in records),
        end=len(records),
        generation=state.streams[streams.MEMBERS].generation,
    )
    return reducer.reduce(state, read)


def _synced_ports(out: list[effects.Effect]) -> list[int]:
    return [
        effect.port
        for effect in builders.all_of(out, effects.SendGossip)
        if effect.message.kind is messages.GossipKind.SYNC_REQUEST
    ]


def _play(
    state: states.State, records: list[messages.JoinRecord], elapsed_ms: float
) -> list[tuple[float, int]]:
    """Answer each base read with the records; return times and ports of contacts."""
    contacts: list[tuple[float, int]] = []
    out = _list(state, records)
    ends_at = state.now + elapsed_ms
    while state.now < ends_at:
        contacts += [(state.now, port) for port in _synced_ports(out)]
        reads = [
            effect
            for effect in builders.all_of(out, effects.ReadNewest)
            if effect.stream == streams.MEMBERS
        ]
        due = reducer.next_tick(state)
        out = _list(state, records) if reads else []
        out += reducer.reduce(state, events.Tick(now=due))
    return contacts


# Guards against real members that are never contacted beside strangers' records.
@pytest.mark.parametrize("at", [builders.START + 60_000.0, FAR_FUTURE])
def test_a_real_member_is_contacted_beside_thousands_of_later_records(
    at: float,
) -> None:
    state = _started()
    begun = state.now
    real = _record("n2", REAL_PORT)
    strangers = [
        _record(f"stranger-{number}", 10_000 + number, at=at)
        for number in range(STRANGERS)
    ]
    contacts = _play(state, [*strangers, real, _own(state)], 10_000.0)
    found = [when - begun for when, port in contacts if port == REAL_PORT]
    assert found and found[0] <= 5_000.0
    for second in range(10):
        during = [
            when for when, _ in contacts if second <= (when - begun) // 1e3 < second + 1
        ]
        assert len(during) <= 600


def test_the_members_of_a_list_that_is_readable_in_part_are_contacted() -> None:
    state = _started()
    valid = messages.encode_record(_record("n2", REAL_PORT))
    nested = b'{"type":"join","x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    read = events.NewestRead(
        now=state.now,
        stream=streams.MEMBERS,
        records=(nested, b"{", valid, b"\xff"),
        end=4,
    )
    out = reducer.reduce(state, read)
    assert _synced_ports(out) == [REAL_PORT]
    assert readiness.is_ready(state)


def test_a_node_that_reached_a_member_contacts_few_others_at_once() -> None:
    state = _started()
    builders.add_members(state, builders.member("n2", "plans"))
    records = [_record(f"s-{number}", 10_000 + number) for number in range(STRANGERS)]
    contacts = _play(state, [*records, _own(state)], 5_000.0)
    assert len(contacts) <= 7 * joining.KEYED_CONTACTS


def test_the_nodes_to_be_contacted_are_bounded() -> None:
    state = _started()
    count = joining.MAX_UNCONTACTED + 500
    _list(state, [_record(f"s-{number}", 10_000) for number in range(count)])
    assert len(state.membership.uncontacted) <= joining.MAX_UNCONTACTED
    _list(state, [_record("n2", REAL_PORT)])
    assert set(state.membership.uncontacted) == {"n2"}


# Guards against a node that others no longer find by its record.
@pytest.mark.parametrize("replaced", [None, "older", "elsewhere"])
def test_a_record_that_was_deleted_or_replaced_is_put_again(
    replaced: str | None,
) -> None:
    state = _started()
    own = _own(state)
    records = {
        None: [],
        "older": [msgspec.structs.replace(own, incarnation=1)],
        "elsewhere": [msgspec.structs.replace(own, gossip_port=REAL_PORT)],
    }[replaced]
    _list(state, records)
    out = builders.advance(state, 3_000.0)
    assert builders.only(out, effects.PutRecord).key == state.node


def test_the_record_of_a_later_start_is_left_alone() -> None:
    state = _started()
    own = _own(state)
    later = msgspec.structs.replace(own, incarnation=own.incarnation + 1)
    _list(state, [later])
    assert not builders.all_of(builders.advance(state, 3_000.0), effects.PutRecord)


def test_a_record_of_a_live_node_with_any_incarnation_changes_no_member() -> None:
    state = _started()
    builders.add_members(state, builders.member("n2", "plans"))
    before = state.membership.members["n2"]
    stranger = _record("n2", 10_000, incarnation=messages.MAX_INCARNATION)
    _list(state, [stranger, _own(state)])
    builders.advance(state, 10_000.0)
    known = state.membership.members["n2"]
    assert (known.host, known.gossip_port) == (before.host, before.gossip_port)
    assert known.incarnation == before.incarnation
    assert not state.membership.uncontacted


def test_two_names_with_one_address_are_contacted_a_few_times_each() -> None:
    state = _started()
    records = [_record("n2", REAL_PORT), _record("n3", REAL_PORT)]
    builders.add_members(state, builders.member("n4", "plans"))
    contacts = _play(state, [*records, _own(state)], 4_000.0)
    assert len(contacts) == 2 * joining.CONTACT_ATTEMPTS


# Guards against a node that is not ready for good as its log cannot be read, although
# members have told it all that they know.
def test_a_node_that_members_reach_is_ready_without_the_list() -> None:
    state = _started()
    read = events.LogReadFailed(now=state.now, stream=streams.MEMBERS)
    reducer.reduce(state, read)
    assert readiness.unready(state) is readiness.Unready.MEMBERS_NOT_LISTED
    ping = builders.gossip(members=(builders.member("n2", "plans"),))
    reducer.reduce(state, builders.datagram("n2", ping, now=state.now))
    assert not readiness.is_ready(state)
    out = builders.advance(state, 2_000.0)
    assert _synced_ports(out)
    first = _page("n2")
    out = reducer.reduce(state, builders.datagram("n2", first, now=state.now))
    assert _synced_ports(out)
    assert not readiness.is_ready(state)
    last = _page()
    reducer.reduce(state, builders.datagram("n2", last, now=state.now))
    assert readiness.is_ready(state)


def test_a_node_without_list_and_members_stays_not_ready() -> None:
    state = _started()
    page = _page()
    reducer.reduce(state, builders.datagram("n1", page, now=state.now))
    builders.advance(state, 10_000.0)
    assert readiness.unready(state) is readiness.Unready.MEMBERS_NOT_LISTED
