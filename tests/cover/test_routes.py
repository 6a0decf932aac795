"""Route tables: prefix matching, validation, versions and weights."""

import collections

import hypothesis
import pytest
from hypothesis import strategies as st

from gingerturn import errors, routes
from gingerturn.internal import ids
from gingerturn.internal.core import decisions, effects, events, reducer
from tests.common import builders, routed


def test_the_longest_prefix_of_the_host_wins() -> None:
    index = routes.RouteIndex(
        routed.table(
            routed.route("short", prefix="/a/"),
            routed.route("long", prefix="/a/b/"),
            routed.route("other", host="else.example", prefix="/a/b/c/"),
        )
    )
    found = index.match("shop.example", "/a/b/c/d")
    assert found is not None and found.name == "long"
    found = index.match("shop.example", "/a/bc")
    assert found is not None and found.name == "short"
    assert index.match("shop.example", "/ab/c") is None
    assert index.match("nobody.example", "/a/b") is None


PREFIXES = st.lists(st.sampled_from(["a", "b", "ab"]), max_size=4).map(
    lambda parts: "/" + "".join(f"{part}/" for part in parts)
)


@hypothesis.given(
    st.lists(PREFIXES, unique=True, min_size=1),
    st.lists(st.sampled_from(["a", "b", "ab", ""]), max_size=5),
)
def test_matching_is_the_longest_prefix_tried_one_by_one(
    prefixes: list[str], parts: list[str]
) -> None:
    path = "/" + "/".join(parts)
    index = routes.RouteIndex(
        routed.table(*(routed.route(prefix, prefix=prefix) for prefix in prefixes))
    )
    fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
    found = index.match("shop.example", path)
    assert (found.name if found else None) == max(fitting, key=len, default=None)


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"prefix": "a/"}, "path_prefix is 'a/'"),
        ({"shares": ()}, "no service with a weight"),
        ({"max_attempts": 0}, "max_attempts is 0; allowed is 1 to 16"),
        ({"timeout_ms": 0}, "timeout_ms is 0"),
        ({"shares": (("plans", -1),)}, "weight is -1"),
    ],
)
def test_a_bad_table_is_refused_with_route_field_and_value(
    change: dict[str, object], named: str
) -> None:
    bad = routed.table(routed.route("one", **change))  # type: ignore[arg-type]
    with pytest.raises(errors.InvalidDocument) as caught:
        routes.check_table(bad, origin="op")
    assert "route 'one'" in str(caught.value)
    assert named in str(caught.value)


def test_a_bad_table_leaves_the_last_one_in_force() -> None:
    state = routed.node_state()
    bad = routed.table(routed.route(prefix="a"), version=9)
    out = reducer.reduce(state, events.RoutesReceived(now=state.now, table=bad))
    assert state.routes is not None and state.routes.version == 1
    assert "path_prefix is 'a'" in builders.only(out, effects.WriteLog).text


@hypothesis.given(st.lists(st.integers(1, 20), min_size=1, max_size=12))
def test_the_version_in_force_never_goes_down(versions: list[int]) -> None:
    state = routed.node_state()
    highest = 1
    for version in versions:
        table = routed.table(version=version)
        reducer.reduce(state, events.RoutesReceived(now=state.now, table=table))
        highest = max(highest, version)
        assert state.routes is not None and state.routes.version == highest


def test_a_later_version_in_gossip_is_fetched_from_that_peer() -> None:
    state = routed.node_state()
    builders.add_members(state, builders.member("n2", "plans"))
    message = builders.gossip(route_version=7)
    out = reducer.reduce(state, builders.datagram("n2", message, now=state.now + 1e3))
    assert builders.only(out, effects.FetchRoutes).node == "n2"


def test_an_older_version_in_gossip_is_not_fetched() -> None:
    state = routed.node_state()
    builders.add_members(state, builders.member("n2", "plans"))
    message = builders.gossip(route_version=1)
    out = reducer.reduce(state, builders.datagram("n2", message, now=state.now + 1e3))
    assert not builders.all_of(out, effects.FetchRoutes)


def test_without_a_table_a_call_is_refused_with_a_retry_delay() -> None:
    begin = routed.started()
    state = reducer.new_state(begin)
    reducer.reduce(state, begin)
    out = reducer.reduce(state, routed.arrived(1))
    refusal = builders.only(out, effects.RefuseCall)
    assert refusal.status == 503
    assert refusal.retry_after_ms > 0


def test_without_a_route_a_caller_gets_404() -> None:
    state = routed.node_state()
    out = reducer.reduce(state, routed.arrived(1, path="/zzz/"))
    refusal = builders.only(out, effects.RefuseCall)
    assert refusal.status == 404
    assert refusal.title == decisions.Rule.NO_ROUTE.name.lower().replace("_", " ")


@hypothesis.given(
    st.lists(st.integers(0, 9), min_size=2, max_size=4).filter(any),
    st.integers(1, 300),
)
def test_requests_are_split_by_weight_within_two_requests(
    weights: list[int], count: int
) -> None:
    shares = tuple((f"s{n}", weight) for n, weight in enumerate(weights))
    members = [builders.member(f"m{n}", f"s{n}") for n in range(len(weights))]
    state = routed.node_state(routed.route(shares=shares))
    builders.add_members(state, *members)
    sent = collections.Counter()
    for call in range(count):
        out = reducer.reduce(state, routed.arrived(call))
        sent[routed.sent_to(out).metadata.service] += 1
    total = sum(weights)
    for service, weight in shares:
        assert abs(sent[service] - count * weight / total) <= 2.0


def test_refusals_of_a_service_in_a_split_are_not_rerouted() -> None:
    shares = (("plans", 1), ("porting", 1))
    state = routed.node_state(routed.route(shares=shares))
    builders.add_members(state, builders.member("n2", "plans"))
    answers = []
    for call in range(10):
        out = reducer.reduce(state, routed.arrived(call))
        answers.append(type(out[-1]))
    assert answers.count(effects.RefuseCall) == 5


def test_the_log_says_by_which_way_a_table_came_and_how_long_it_was_known() -> None:
    state = routed.node_state()
    builders.add_members(state, builders.member("n2", "plans"))
    message = builders.gossip(route_version=7)
    reducer.reduce(state, builders.datagram("n2", message, now=state.now))
    table = routed.table(version=7)
    received = events.RoutesReceived(
        now=state.now + 350.0, table=table, source=ids.NodeId("n2")
    )
    out = reducer.reduce(state, received)
    assert builders.only(out, effects.WriteLog).text == (
        "Route table 7 is active, 1 routes; source: n2; version 7 known for 350 ms."
    )


# Guards against a final refusal by a table whose age is not known.
@pytest.mark.parametrize(
    ("age_ms", "known", "status"),
    [(0.0, 1, 404), (2_000.0, 1, 404), (2_001.0, 1, 503), (0.0, 2, 503)],
)
def test_a_missing_route_is_final_only_by_the_latest_table(
    age_ms: float, known: int, status: int
) -> None:
    state = routed.node_state()
    state.freshness.apply_ms = 2_000.0
    state.freshness.read_at = state.now
    state.highest_routes_version = known
    state.now += age_ms
    out = reducer.reduce(state, routed.arrived(1, path="/zzz/", now=state.now))
    refusal = builders.only(out, effects.RefuseCall)
    assert refusal.status == status
    assert (refusal.retry_after_ms > 0) is (status == 503)


def test_without_a_bound_a_missing_route_is_final_at_any_age() -> None:
    state = routed.node_state()
    state.now += 60_000.0
    out = reducer.reduce(state, routed.arrived(1, path="/zzz/", now=state.now))
    assert builders.only(out, effects.RefuseCall).status == 404
