"""Selection of the nodes that long-poll the log, and propagation of route tables."""

import pytest

from gingerturn import routes
from gingerturn.internal.core import (
    effects,
    events,
    freshness,
    messages,
    pollers,
    reducer,
    state as states,
    streams,
    version_bound,
)
from gingerturn_fakes import parts, world
from tests.common import builders, routed

ZONES = ["a", "b", "c", "d", "e"]
IN_FORCE_MS = 2_000.0
"""Time within which a change must be in force."""

SETTLED_MS = 3_000.0
"""Time allowed after a fault of the log before that applies again."""


def _node(name: str, *others: messages.Member) -> states.State:
    state = routed.node_state(name=name)
    state.zone = "a"
    builders.add_members(state, builders.member(name, "plans", zone="a"), *others)
    return state


def _members(count: int, *, zone: str = "a") -> list[messages.Member]:
    return [builders.member(f"{zone}{n}", "plans", zone=zone) for n in range(count)]


def _pollers(count: int) -> list[str]:
    members = _members(count)
    names = []
    for member in members:
        state = _node(member.node, *members, *_members(20, zone="b"))
        if pollers.is_poller(state, state.now):
            names.append(str(member.node))
    return names


@pytest.mark.parametrize(("count", "expected"), [(1, 1), (2, 2), (5, 2), (60, 2)])
def test_two_nodes_of_a_zone_poll_whatever_its_size(count: int, expected: int) -> None:
    assert len(_pollers(count)) == expected


def test_when_one_is_suspected_the_next_takes_its_place() -> None:
    first = _pollers(10)
    members = _members(10)
    suspect = builders.member(first[0], "plans", zone="a")
    fields = {name: getattr(suspect, name) for name in suspect.__struct_fields__}
    fields["state"] = messages.MemberState.SUSPECT
    remaining = []
    for member in members:
        state = _node(member.node, *members)
        if member.node != first[0]:
            builders.add_members(state, messages.Member(**fields))
        if pollers.is_poller(state, state.now):
            remaining.append(str(member.node))
    assert len(set(remaining) - {first[0]}) == 2


def test_a_node_that_receives_no_gossip_polls_itself() -> None:
    members = _members(10)
    name = next(str(m.node) for m in members if m.node not in _pollers(10))
    state = _node(name, *members)
    assert not pollers.is_poller(state, state.now)
    assert pollers.is_poller(state, state.now + pollers.ISOLATED_AFTER_MS + 1.0)


def test_a_node_that_is_no_poller_makes_no_further_read() -> None:
    members = _members(10)
    name = next(str(m.node) for m in members if m.node not in _pollers(10))
    state = _node(name, *members)
    newest = events.NewestRead(now=state.now, stream=streams.ROUTES, end=4, records=())
    out = reducer.reduce(state, newest)
    # Shorter than the probe timeout, as no member answers probes here.
    for _ in range(6):
        state.now += 100.0
        out += reducer.reduce(state, events.Tick(now=state.now))
    assert not builders.all_of(out, effects.ReadLog)


def test_a_change_reaches_all_nodes_well_within_two_seconds() -> None:
    spec = parts.ServiceSpec("plans", 60, 4, {"lookup": 5.0})
    table = routed.table(routed.route())
    made = world.World(seed=3, services=[spec], documents={}, zones=ZONES, table=table)
    made.gossip_on = True
    readers: set[str] = set()

    def count(node: parts.FakeNode, effect: effects.Effect) -> None:
        if isinstance(effect, effects.ReadLog):
            readers.add(node.name)

    made.on_effect = count
    made.run(4_000.0)
    later = routes.RouteTable(version=2, routes=table.routes)
    readers.clear()
    made.log.put(streams.ROUTES, "table", messages.encode_record(later))
    made.run(1_500.0)
    versions = {node.state.version for node in made.nodes.values()}
    assert versions == {2}
    assert len(readers) == pollers.POLLERS_PER_ZONE * len(ZONES)


def test_a_change_made_while_the_log_is_silent_is_in_force_soon_after() -> None:
    """Guards against pollers that all wait for the timeout of a long poll which the log
    never answers."""
    spec = parts.ServiceSpec("plans", 15, 4, {"lookup": 5.0})
    table = routed.table(routed.route())
    made = world.World(seed=3, services=[spec], documents={}, zones=ZONES, table=table)
    made.gossip_on = True
    made.run(4_000.0)
    made.log.silent = True
    made.run(1_000.0)
    later = routes.RouteTable(version=2, routes=table.routes)
    made.log.put(streams.ROUTES, "table", messages.encode_record(later))
    made.run(2_600.0)
    made.log.silent = False
    made.run(IN_FORCE_MS)
    versions = {node.state.version for node in made.nodes.values()}
    assert versions == {2}


# Guards against a long poll that the log never answers and that lasts longer than a
# change may take to be in force.
@pytest.mark.parametrize("phase_ms", range(0, 4_500, 100))
def test_a_change_is_in_force_in_time_whenever_a_silence_of_the_log_began(
    phase_ms: int,
) -> None:
    spec = parts.ServiceSpec("plans", 6, 4, {"lookup": 5.0})
    table = routed.table(routed.route())
    made = world.World(
        seed=3, services=[spec], documents={}, zones=ZONES[:3], table=table
    )
    made.gossip_on = True
    made.run(4_000.0 + phase_ms)
    made.log.silent = True
    made.run(100.0)
    made.log.silent = False
    made.run(SETTLED_MS)
    later = routes.RouteTable(version=2, routes=table.routes)
    made.log.put(streams.ROUTES, "table", messages.encode_record(later))
    made.run(IN_FORCE_MS)
    versions = {node.state.version for node in made.nodes.values()}
    assert versions == {2}


def test_ids_decide_and_not_the_order_in_which_members_came() -> None:
    members = _members(10)
    one = _node("a3", *members)
    other = _node("a3", *reversed(members))
    assert pollers.is_poller(one, one.now) == pollers.is_poller(other, other.now)


@pytest.mark.parametrize("upstreams", [15, 60])
def test_without_faults_the_age_of_what_is_known_of_the_log_stays_below_the_bound(
    upstreams: int,
) -> None:
    spec = parts.ServiceSpec("plans", upstreams, 4, {"lookup": 5.0})
    table = routed.table(routed.route())
    made = world.World(
        seed=3, services=[spec], documents={}, zones=ZONES[:3], table=table
    )
    made.gossip_on = True
    made.run(4_000.0)
    extra: list[str] = []
    made.on_effect = lambda node, effect: (
        extra.append(node.name)
        if isinstance(effect, effects.ReadLog) and effect.extra
        else None
    )
    worst = 0.0
    for version in range(2, 10):
        later = routes.RouteTable(version=version, routes=table.routes)
        made.log.put(streams.ROUTES, "table", messages.encode_record(later))
        for _ in range(14):
            made.run(50.0)
            ages = (freshness.read_age(n.state) for n in made.nodes.values())
            worst = max(worst, *ages)
    assert worst < version_bound.READ_AGE_SHARE * IN_FORCE_MS
    assert not extra


def test_the_times_on_the_way_of_a_version_add_up_to_less_than_the_bound() -> None:
    shares = (
        version_bound.READ_AGE_SHARE
        + version_bound.READ_TIMEOUT_SHARE
        + version_bound.PAUSE_SHARE
    )
    # The age and the end of the pause are checked at the next run of the timer.
    assert shares * IN_FORCE_MS + 2 * version_bound.CHECK_MS < IN_FORCE_MS


def test_a_log_that_answers_nobody_is_not_read_more_often_with_time() -> None:
    spec = parts.ServiceSpec("plans", 15, 4, {"lookup": 5.0})
    table = routed.table(routed.route())
    made = world.World(
        seed=3, services=[spec], documents={}, zones=ZONES[:3], table=table
    )
    made.gossip_on = True
    made.run(4_000.0)
    made.log.silent = True
    made.run(6_000.0)
    reads = 0

    def count(node: parts.FakeNode, effect: effects.Effect) -> None:
        nonlocal reads
        reads += isinstance(effect, effects.ReadLog) and effect.extra

    made.on_effect = count
    made.run(10_000.0)
    interval_ms = version_bound.LATER_PAUSE_SHARE * IN_FORCE_MS / 2.0
    assert 0 < reads <= len(made.nodes) * 10_000.0 / interval_ms
