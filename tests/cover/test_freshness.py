"""Revocation of API keys within the configured time, also at isolated nodes.

Guards against revoked keys that still work at a node that is partitioned from the log,
the members or both, is paused, or is suspended with requests in its sockets.
"""

import pytest

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    freshness,
    member_order,
    messages,
    reducer,
    state as states,
    streams,
)
from gingerturn_fakes import parts, world
from tests.common import builders, keyed, routed

ALLOWED_MS = keyed.REVOKE_MS - 1_000.0
"""Keys are refused from this age on, a second before the configured time."""


def _node() -> states.State:
    return keyed.node_state(revoke_ms=keyed.REVOKE_MS)


def _status(state: states.State, key: str = "shop", request: str = "") -> int:
    call = state.next_number()
    event = keyed.arrived(call, key, now=state.now, request=request)
    out = reducer.reduce(state, event)
    refused = builders.all_of(out, effects.RefuseCall)
    return refused[0].status if refused else 0


def test_an_isolated_node_refuses_keys_after_the_time_allowed() -> None:
    state = _node()
    state.now += ALLOWED_MS
    assert _status(state) == 0
    state.now += 1.0
    assert _status(state) == 503


def test_without_a_bound_an_isolated_node_accepts_keys() -> None:
    state = keyed.node_state()
    state.now += 60_000.0
    assert _status(state) == 0


def test_a_stale_node_does_not_refuse_a_key_as_unknown() -> None:
    state = _node()
    state.now += ALLOWED_MS + 1.0
    assert _status(state, "never") == 503


def test_public_routes_stay_open() -> None:
    plain = routed.route()
    fields = {name: getattr(plain, name) for name in plain.__struct_fields__}
    public = routes.Route(**{**fields, "public": True})
    state = keyed.node_state(listed=(public,), revoke_ms=keyed.REVOKE_MS)
    state.now += 60_000.0
    assert _status(state, "") == 0


def test_a_read_proves_the_time_at_which_it_began_not_that_of_its_answer() -> None:
    state = _node()
    asked = state.now + 100.0
    state.now += 3_000.0
    keyed.prove(state, requested_at=asked)
    assert freshness.age(state) == pytest.approx(2_900.0)


def test_a_long_poll_proves_that_there_was_no_record_meanwhile() -> None:
    state = _node()
    asked = state.now
    state.now += 1_010.0
    read = events.LogRead(
        now=state.now,
        stream=streams.ROUTES,
        first=1,
        records=(),
        oldest=0,
        end=1,
        requested_at=asked,
        held_open_ms=1_000.0,
    )
    reducer.reduce(state, read)
    assert freshness.age(state) == pytest.approx(10.0)


def test_a_read_that_did_not_reach_the_end_proves_nothing() -> None:
    state = _node()
    before = state.freshness.verified_at
    state.now += 500.0
    read = events.LogRead(
        now=state.now,
        stream=streams.ROUTES,
        first=1,
        records=(b"",),
        oldest=0,
        end=7,
        requested_at=state.now,
    )
    reducer.reduce(state, read)
    assert state.freshness.verified_at == before


def _newest(state: states.State, version: int, *, epoch: int) -> None:
    """Apply a base read of the route table."""
    table = keyed.table(version=version)
    read = events.NewestRead(
        now=state.now,
        stream=streams.ROUTES,
        records=(messages.encode_record(table),),
        end=version,
        requested_at=state.now,
        generation=state.streams[streams.ROUTES].generation,
        epoch=ids.LogEpoch(epoch),
    )
    reducer.reduce(state, read)


# Guards against revoked keys that work again after the log was restored to a table that
# still contains them.
def test_a_log_that_lost_the_table_in_force_proves_nothing_until_it_has_a_later() -> (
    None
):
    state = _node()
    _newest(state, 2, epoch=5)
    state.now += 1_000.0
    proven = state.freshness.verified_at
    _newest(state, 1, epoch=6)
    assert state.freshness.verified_at == proven
    state.now += 1_000.0
    _newest(state, 3, epoch=6)
    assert freshness.age(state) == 0.0


def test_a_log_that_was_restored_and_lost_nothing_proves_as_before() -> None:
    state = _node()
    _newest(state, 2, epoch=5)
    state.now += 1_000.0
    _newest(state, 2, epoch=6)
    assert freshness.age(state) == 0.0


def test_a_log_that_lacks_a_version_that_a_member_reported_proves_nothing() -> None:
    state = _node()
    _newest(state, 2, epoch=5)
    reducer.reduce(state, builders.datagram("home", _answer(0, version=3)))
    state.now += 1_000.0
    proven = state.freshness.verified_at
    _newest(state, 2, epoch=6)
    assert state.freshness.verified_at == proven


def test_an_offset_that_the_log_lacks_proves_nothing() -> None:
    state = _node()
    state.now += 1_000.0
    proven = state.freshness.verified_at
    missing = events.LogRead(
        now=state.now,
        stream=streams.ROUTES,
        first=0,
        records=(),
        oldest=0,
        end=0,
        requested_at=state.now,
        missing=True,
    )
    reducer.reduce(state, missing)
    assert state.freshness.verified_at == proven


def _query(state: states.State) -> int:
    """Advance a node until it queries a member; return the sequence number."""
    for _ in range(30):
        state.now += 100.0
        out = reducer.reduce(state, events.Tick(now=state.now))
        for sent in builders.all_of(out, effects.SendGossip):
            if sent.message.sequence in state.membership.probes:
                return sent.message.sequence
    raise AssertionError("no member was queried within 3 s")


def _answer(sequence: int, *, version: int = 1, age: float = 0.0) -> messages.Gossip:
    return messages.Gossip(
        kind=messages.GossipKind.ACK,
        sequence=sequence,
        revision=builders.gossip().revision,
        route_version=version,
        verified_age_ms=age,
    )


def test_an_answer_is_dated_by_its_query_however_late_it_arrives() -> None:
    state = _node()
    sequence = _query(state)
    asked = state.now
    state.now += 600.0
    reducer.reduce(
        state, builders.datagram("home", _answer(sequence, age=300.0), now=state.now)
    )
    assert state.freshness.verified_at - asked == pytest.approx(-300.0)


@pytest.mark.parametrize("fields", [{"version": 2}, {"age": -1.0}])
def test_an_answer_for_a_later_table_or_without_evidence_proves_nothing(
    fields: dict[str, float],
) -> None:
    state = _node()
    before = state.freshness.verified_at
    sequence = _query(state)
    answer = _answer(sequence, **fields)  # type: ignore[arg-type]
    reducer.reduce(state, builders.datagram("home", answer, now=state.now))
    assert state.freshness.verified_at == before


def test_an_unsolicited_report_proves_nothing() -> None:
    state = _node()
    before = state.freshness.verified_at
    state.now += 1_000.0
    unsolicited = _answer(123_456)
    reducer.reduce(state, builders.datagram("home", unsolicited, now=state.now))
    ping = messages.Gossip(
        kind=messages.GossipKind.PING,
        sequence=5,
        revision=builders.gossip().revision,
        route_version=1,
        verified_age_ms=0.0,
    )
    reducer.reduce(state, builders.datagram("home", ping, now=state.now))
    assert state.freshness.verified_at == before


def test_a_node_that_resumes_refuses_the_requests_in_its_sockets() -> None:
    """After a suspension, its sockets hold answers to queries from before it beside
    requests that were sent after the revocation."""
    state = _node()
    sequence = _query(state)
    state.now += 30_000.0
    assert _status(state) == 503
    reducer.reduce(state, events.Tick(now=state.now))
    late = builders.datagram("home", _answer(sequence), now=state.now)
    reducer.reduce(state, late)
    assert _status(state) == 503


def test_a_late_answer_to_an_earlier_start_is_none_to_this_one() -> None:
    first = routed.started()
    later = events.Started(
        **{
            **{name: getattr(first, name) for name in first.__struct_fields__},
            "now": first.now + 2_000.0,
            "incarnation": int(first.now) + 2_000,
        }
    )
    numbers = []
    for begin in (first, later):
        state = reducer.new_state(begin)
        reducer.reduce(state, begin)
        numbers.append(state.membership.sequence)
    assert numbers[1] - numbers[0] == 2_000


def _deployment(count: int) -> world.World:
    spec = parts.ServiceSpec("plans", count, 4, {"lookup": 5.0})
    made = world.World(
        seed=3,
        services=[spec],
        documents={},
        zones=["a", "b", "c"],
        table=keyed.table(keyed.workspace("shop")),
        revoke_ms=keyed.REVOKE_MS,
    )
    made.gossip_on = True
    made.run(5_000.0)
    return made


def _ages(made: world.World) -> list[float]:
    nodes = (node for node in made.nodes.values() if node.alive)
    return [made.now - node.state.freshness.verified_at for node in nodes]


def _worst(made: world.World, duration_ms: float) -> float:
    worst = 0.0
    for _ in range(int(duration_ms / 50.0)):
        made.run(50.0)
        for node in made.nodes.values():
            if node.alive and made.now >= node.paused_until:
                worst = max(worst, made.now - node.state.freshness.verified_at)
    return worst


@pytest.mark.parametrize("count", [3, 15, 68])
def test_in_normal_operation_no_keys_are_refused_and_few_nodes_read_the_log(
    count: int,
) -> None:
    made = _deployment(count)
    reads: list[str] = []
    made.on_effect = lambda node, effect: (
        reads.append(node.name)
        if isinstance(effect, effects.ReadLog) and effect.extra
        else None
    )
    assert _worst(made, 10_000.0) < ALLOWED_MS
    assert not reads


@pytest.mark.parametrize("count", [3, 15, 68])
def test_when_the_log_is_silent_all_nodes_refuse_keys_in_time_and_recover(
    count: int,
) -> None:
    made = _deployment(count)
    made.log.silent = True
    silent_from = made.now
    made.run(ALLOWED_MS + 50.0)
    assert made.now - silent_from < keyed.REVOKE_MS
    assert min(_ages(made)) > ALLOWED_MS
    made.run(3_000.0)
    made.log.silent = False
    made.run(3_500.0)
    assert max(_ages(made)) < ALLOWED_MS


def test_a_node_refused_by_the_log_relies_on_its_members() -> None:
    made = _deployment(15)
    made.log.refused_nodes = set(sorted(made.nodes)[::3])
    assert _worst(made, 10_000.0) < ALLOWED_MS


def test_when_all_heads_are_refused_by_the_log_the_others_read_it() -> None:
    made = _deployment(15)
    heads = {n.name for n in made.nodes.values() if member_order.is_zone_first(n.state)}
    assert len(heads) == 3
    made.log.refused_nodes = heads
    assert _worst(made, 10_000.0) < ALLOWED_MS


def test_a_node_partitioned_from_members_relies_on_its_own_reads() -> None:
    made = _deployment(15)
    alone = "plans-4"
    for name in made.nodes:
        made.cut |= {(alone, name), (name, alone)}
    assert _worst(made, 10_000.0) < ALLOWED_MS


def test_an_isolated_node_refuses_keys_in_time_and_recovers() -> None:
    made = _deployment(15)
    alone = made.nodes["plans-4"]
    for name in made.nodes:
        made.cut |= {(alone.name, name), (name, alone.name)}
    made.log.refused_nodes = {alone.name}
    made.run(ALLOWED_MS + 50.0)
    assert freshness.is_stale(alone.state)
    made.run(2_000.0)
    made.cut.clear()
    made.log.refused_nodes = set()
    made.run(1_500.0)
    assert not freshness.is_stale(alone.state)


def test_the_first_node_may_pause_or_crash() -> None:
    made = _deployment(15)
    first = next(n.name for n in made.nodes.values() if member_order.is_first(n.state))
    made.pause(first, 8_000.0)
    assert _worst(made, 7_900.0) < ALLOWED_MS
    made.run(3_000.0)
    made.kill(first)
    assert _worst(made, 8_000.0) < ALLOWED_MS


# Guards against a node that still pauses after an outage of the log while others have
# read a later table.
def test_news_of_a_later_table_ends_the_pause_after_failed_reads() -> None:
    state = keyed.node_state()
    state.freshness.apply_ms = 2_000.0
    state.freshness.failed_reads = 5
    state.freshness.next_read_at = state.now + 1_500.0
    state.streams[streams.ROUTES].caught_up = True
    state.now += 1_400.0
    ping = builders.gossip(route_version=9)
    reducer.reduce(state, builders.datagram("home", ping, now=state.now))
    out = reducer.reduce(state, events.Tick(now=state.now + 50.0))
    assert any(read.extra for read in builders.all_of(out, effects.ReadLog))
