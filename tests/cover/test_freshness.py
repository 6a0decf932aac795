"""Keys that are taken away cease to work in time, also where nobody can be asked.

The pattern: a key is taken away a moment before a node is cut off from the log, from
the members or from both, stands still or is suspended with requests in its sockets.
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
"""Nothing is let in by then, a second before operators count it as broken."""


def _node() -> states.State:
    return keyed.node_state(revoke_ms=keyed.REVOKE_MS)


def _status(state: states.State, key: str = "shop", request: str = "") -> int:
    call = state.next_number()
    event = keyed.arrived(call, key, now=state.now, request=request)
    out = reducer.reduce(state, event)
    refused = builders.all_of(out, effects.RefuseCall)
    return refused[0].status if refused else 0


def test_a_node_that_hears_nothing_lets_no_key_in_after_the_time_allowed() -> None:
    state = _node()
    state.now += ALLOWED_MS
    assert _status(state) == 0
    state.now += 1.0
    assert _status(state) == 503


def test_without_a_bound_a_node_that_is_cut_off_goes_on() -> None:
    state = keyed.node_state()
    state.now += 60_000.0
    assert _status(state) == 0


def test_an_unknown_key_is_not_told_so_by_a_node_that_knows_nothing_newer() -> None:
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
    keyed.prove(state, asked=asked)
    assert freshness.age(state) == pytest.approx(2_900.0)


def test_a_read_held_open_for_news_proves_that_there_were_none_meanwhile() -> None:
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
    """Let a node read the newest table of a log."""
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


# Guards against keys that were taken away and work again, since a log that lost the
# table without them was believed to hold the newest.
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


def test_a_log_that_lacks_what_a_member_told_of_proves_nothing() -> None:
    state = _node()
    _newest(state, 2, epoch=5)
    reducer.reduce(state, builders.datagram("home", _word(0, version=3)))
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


def _asked(state: states.State) -> int:
    """Let time pass until a member is asked; return the number of the question."""
    for _ in range(30):
        state.now += 100.0
        out = reducer.reduce(state, events.Tick(now=state.now))
        for sent in builders.all_of(out, effects.SendGossip):
            if sent.message.sequence in state.membership.probes:
                return sent.message.sequence
    raise AssertionError("nobody was asked")


def _word(sequence: int, *, version: int = 1, age: float = 0.0) -> messages.Gossip:
    return messages.Gossip(
        kind=messages.GossipKind.ACK,
        sequence=sequence,
        revision=builders.gossip().revision,
        route_version=version,
        verified_age_ms=age,
    )


def test_a_members_word_counts_from_the_question_however_late_it_comes() -> None:
    state = _node()
    sequence = _asked(state)
    asked = state.now
    state.now += 600.0
    reducer.reduce(
        state, builders.datagram("home", _word(sequence, age=300.0), now=state.now)
    )
    assert state.freshness.verified_at - asked == pytest.approx(-300.0)


@pytest.mark.parametrize("word", [{"version": 2}, {"age": -1.0}])
def test_a_word_on_a_later_table_or_without_evidence_proves_nothing(
    word: dict[str, float],
) -> None:
    state = _node()
    before = state.freshness.verified_at
    sequence = _asked(state)
    told = _word(sequence, **word)  # type: ignore[arg-type]
    reducer.reduce(state, builders.datagram("home", told, now=state.now))
    assert state.freshness.verified_at == before


def test_a_word_that_nobody_asked_for_proves_nothing() -> None:
    state = _node()
    before = state.freshness.verified_at
    state.now += 1_000.0
    unasked = _word(123_456)
    reducer.reduce(state, builders.datagram("home", unasked, now=state.now))
    ping = messages.Gossip(
        kind=messages.GossipKind.PING,
        sequence=5,
        revision=builders.gossip().revision,
        route_version=1,
        verified_age_ms=0.0,
    )
    reducer.reduce(state, builders.datagram("home", ping, now=state.now))
    assert state.freshness.verified_at == before


def test_a_node_that_wakes_with_requests_waiting_lets_none_of_them_in() -> None:
    """Its machine was suspended: what was asked before, and answered meanwhile, lies
    in its sockets beside requests that were sent long after the key was gone."""
    state = _node()
    sequence = _asked(state)
    state.now += 30_000.0
    assert _status(state) == 503
    reducer.reduce(state, events.Tick(now=state.now))
    late = builders.datagram("home", _word(sequence), now=state.now)
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
    return [freshness.age(n.state) for n in made.nodes.values() if n.alive]


def _worst(made: world.World, duration_ms: float) -> float:
    worst = 0.0
    for _ in range(int(duration_ms / 50.0)):
        made.run(50.0)
        for node in made.nodes.values():
            if node.alive and made.now >= node.paused_until:
                worst = max(worst, made.now - node.state.freshness.verified_at)
    return worst


@pytest.mark.parametrize("count", [3, 15, 68])
def test_in_calm_nothing_is_closed_and_few_read_the_log(count: int) -> None:
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
def test_when_the_log_is_silent_all_are_closed_in_time_and_open_soon_after(
    count: int,
) -> None:
    made = _deployment(count)
    made.log.silent = True
    fell_silent = made.now
    made.run(ALLOWED_MS + 50.0)
    assert made.now - fell_silent < keyed.REVOKE_MS
    assert min(_ages(made)) > ALLOWED_MS
    made.run(3_000.0)
    made.log.silent = False
    made.run(3_500.0)
    assert max(_ages(made)) < ALLOWED_MS


def test_a_node_refused_by_the_log_lives_by_what_members_tell() -> None:
    made = _deployment(15)
    made.log.refuses = set(sorted(made.nodes)[::3])
    assert _worst(made, 10_000.0) < ALLOWED_MS


def test_when_all_heads_are_refused_by_the_log_the_others_read_it() -> None:
    made = _deployment(15)
    heads = {n.name for n in made.nodes.values() if member_order.is_zone_first(n.state)}
    assert len(heads) == 3
    made.log.refuses = heads
    assert _worst(made, 10_000.0) < ALLOWED_MS


def test_a_node_cut_off_from_members_lives_by_its_own_reads() -> None:
    made = _deployment(15)
    alone = "plans-4"
    for name in made.nodes:
        made.cut |= {(alone, name), (name, alone)}
    assert _worst(made, 10_000.0) < ALLOWED_MS


def test_a_node_cut_off_from_all_is_closed_in_time_and_open_soon_after() -> None:
    made = _deployment(15)
    alone = made.nodes["plans-4"]
    for name in made.nodes:
        made.cut |= {(alone.name, name), (name, alone.name)}
    made.log.refuses = {alone.name}
    made.run(ALLOWED_MS + 50.0)
    assert freshness.is_stale(alone.state)
    made.run(2_000.0)
    made.cut.clear()
    made.log.refuses = set()
    made.run(1_500.0)
    assert not freshness.is_stale(alone.state)


def test_the_first_node_may_stand_still_or_end() -> None:
    made = _deployment(15)
    first = next(n.name for n in made.nodes.values() if member_order.is_first(n.state))
    made.pause(first, 8_000.0)
    assert _worst(made, 7_900.0) < ALLOWED_MS
    made.run(3_000.0)
    made.kill(first)
    assert _worst(made, 8_000.0) < ALLOWED_MS
