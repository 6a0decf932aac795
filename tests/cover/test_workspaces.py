"""Workspaces of requests, by API key at the entry node.

Guards against callers that name another workspace in a header or send unknown keys, and
against child calls, which carry no key, that lose their workspace.
"""

import typing

import pytest

from gingerturn import dialect, errors, routes
from gingerturn.internal import ids
from gingerturn.internal.core import decisions, effects, events, messages, reducer
from gingerturn.internal.shell import caller_requests, ingress, node as nodes
from tests.common import builders, keyed, routed, transports


def _refusal(out: list[effects.Effect]) -> effects.RefuseCall:
    assert not builders.all_of(out, effects.OpenAttempt)
    return builders.only(out, effects.RefuseCall)


def test_a_request_runs_for_the_workspace_of_its_key() -> None:
    state = keyed.node_state(keyed.workspace("shop"), keyed.workspace("depot", "k2"))
    out = reducer.reduce(state, keyed.arrived(1, "k2"))
    assert routed.sent_to(out).metadata.workspace == "depot"


@pytest.mark.parametrize("key", ["", "never", "shop "])
def test_a_key_that_no_workspace_has_is_refused_before_any_work(key: str) -> None:
    out = reducer.reduce(keyed.node_state(), keyed.arrived(1, key))
    refusal = _refusal(out)
    assert refusal.status == 401
    assert refusal.retry_after_ms == 0


def test_without_a_configuration_no_key_is_refused_as_unknown() -> None:
    begin = routed.started()
    state = reducer.new_state(begin)
    reducer.reduce(state, begin)
    refusal = _refusal(reducer.reduce(state, keyed.arrived(1)))
    assert refusal.status == 503
    assert refusal.retry_after_ms > 0


def test_a_key_that_a_later_configuration_may_hold_is_not_told_unknown() -> None:
    state = keyed.node_state()
    gossip = builders.gossip(route_version=2)
    out = reducer.reduce(state, builders.datagram("home", gossip))
    assert builders.only(out, effects.FetchRoutes)
    refusal = _refusal(reducer.reduce(state, keyed.arrived(1, "new")))
    assert refusal.status == 503
    assert 0 < refusal.retry_after_ms <= 1_000
    later = keyed.table(keyed.workspace("shop", "shop", "new"), version=2)
    reducer.reduce(state, events.RoutesReceived(now=state.now, table=later))
    out = reducer.reduce(state, keyed.arrived(2, "new"))
    assert routed.sent_to(out).metadata.workspace == "shop"


@pytest.mark.parametrize("key", ["", "shop", "never"])
def test_a_public_route_asks_for_no_key_and_names_no_workspace(key: str) -> None:
    public = _public()
    state = keyed.node_state(listed=(public, routed.route("other", prefix="/b/")))
    out = reducer.reduce(state, keyed.arrived(1, key))
    assert routed.sent_to(out).metadata.workspace == ""


def _public() -> routes.Route:
    plain = routed.route()
    fields = {name: getattr(plain, name) for name in plain.__struct_fields__}
    return routes.Route(**{**fields, "public": True})


def test_without_workspaces_in_the_configuration_no_key_is_asked_for() -> None:
    state = routed.node_state()
    builders.add_members(state, builders.member("home", "plans"))
    out = reducer.reduce(state, keyed.arrived(1, ""))
    assert routed.sent_to(out).metadata.workspace == ""


def _hosting(workspace: str) -> typing.Any:
    """Return a node beside a backend server that runs a request ``whole``."""
    state = keyed.node_state(keyed.workspace("shop"), keyed.workspace("depot"))
    reducer.reduce(state, routed.announced("plans"))
    terms = messages.CallMetadata(
        service=ids.ServiceName("plans"),
        kind=ids.KindName("lookup"),
        importance=5,
        depth=0,
        root=ids.RootHash(1),
        trace="whole",
        deadline_ms=5_000.0,
        tokens=1,
        repeatable=True,
        workspace=ids.WorkspaceName(workspace),
    )
    opened = events.OpenReceived(
        now=state.now,
        hosted=ids.HostedId(9),
        sender=ids.NodeId("entry"),
        metadata=terms,
    )
    reducer.reduce(state, opened)
    return state


def test_a_call_of_a_running_request_belongs_to_its_workspace() -> None:
    state = _hosting("depot")
    out = reducer.reduce(state, keyed.arrived(1, "", request="whole.1"))
    sent = builders.only(out, effects.OpenAttempt)
    assert sent.metadata.workspace == "depot"
    assert sent.metadata.depth == 1


def test_a_request_with_a_key_is_a_root_request_whatever_its_id() -> None:
    state = _hosting("depot")
    out = reducer.reduce(state, keyed.arrived(1, "shop", request="whole.1"))
    sent = builders.only(out, effects.OpenAttempt)
    assert sent.metadata.workspace == "shop"
    assert sent.metadata.depth == 0


def test_a_call_of_an_unknown_parent_may_be_retried() -> None:
    """A restarted node does not know which requests its backend server still runs."""
    refusal = _refusal(
        reducer.reduce(keyed.node_state(), keyed.arrived(1, "", request="lost.1"))
    )
    assert refusal.status == 503
    assert refusal.outcome is messages.Outcome.NOT_RUN


def test_the_priority_of_a_workspace_goes_before_that_of_the_route() -> None:
    urgent = routed.route("urgent", prefix="/u/", priority=0)
    state = keyed.node_state(
        keyed.workspace("first", priority=1),
        keyed.workspace("second", priority=2),
        listed=(routed.route(priority=2), urgent),
    )
    ranks = []
    for call, (key, path) in enumerate(
        [("first", "/u/x"), ("first", "/a/x"), ("second", "/u/x"), ("second", "/a/x")]
    ):
        reducer.reduce(state, keyed.arrived(call + 1, key, path=path))
        ranks.append(state.calls[ids.CallId(call + 1)].rule.importance)
    assert ranks == sorted(ranks, reverse=True)
    assert len(set(ranks)) == 4


def test_workspaces_of_one_priority_leave_the_order_to_the_routes() -> None:
    route = routed.route(priority=2)
    plain = routes.RouteIndex(routed.table(route)).rule(route, "plans")
    index = routes.RouteIndex(keyed.table(keyed.workspace(priority=1), listed=(route,)))
    assert index.rule(route, "plans", index.workspace("shop")) == plain


@pytest.mark.parametrize(
    ("workspaces", "named"),
    [
        ((keyed.workspace("a", "k"), keyed.workspace("b", "k")), "'a' has too"),
        ((keyed.workspace("a"), keyed.workspace("a", "k")), "the name is taken"),
        ((keyed.workspace("a", rate=-1.0),), "rate is -1"),
        ((keyed.workspace("a", priority=-1),), "priority is -1"),
        ((routes.Workspace("a", (), burst=2.0),), "burst is 2.0 without a rate"),
        ((routes.Workspace("a", ("key itself",)),), "key_digests holds 'key itself'"),
        ((keyed.workspace("a\r\nx: y", "k"),), "printable ASCII"),
    ],
)
def test_a_bad_workspace_refuses_the_whole_table(
    workspaces: tuple[routes.Workspace, ...], named: str
) -> None:
    state = keyed.node_state()
    bad = keyed.table(*workspaces, version=2)
    with pytest.raises(errors.InvalidDocument, match=named):
        routes.check_table(bad, origin="a test")
    reducer.reduce(state, events.RoutesReceived(now=state.now, table=bad))
    assert state.version == 1


DIALECT = dialect.Dialect(api_key=b"x-key", workspace=b"x-workspace")


def _dispatched(head: bytes) -> tuple[transports.Transport, list[typing.Any]]:
    node = nodes.Node(builders.settings(), dialect=DIALECT)
    node.knows_service = lambda service: True  # type: ignore[method-assign]
    found: list[typing.Any] = []
    node.entry.begin_request = (  # type: ignore[method-assign]
        lambda request, arrival: found.append((request, arrival))
    )
    connection = ingress.CallerConnection(node)
    transport = transports.Transport()
    connection.connection_made(transport)  # type: ignore[arg-type]
    connection.data_received(b"GET /a/x HTTP/1.1\r\nhost: shop.example\r\n" + head)
    return transport, found


def test_neither_the_key_nor_a_workspace_header_is_forwarded() -> None:
    _, found = _dispatched(b"X-Key: marked-key\r\nX-Workspace: another\r\n\r\n")
    request, arrival = found[0]
    assert b"marked-key" not in request.head
    assert b"another" not in request.head
    assert "marked-key" not in repr(arrival)
    assert arrival.key_digest == routes.key_digest(b"marked-key")


def test_two_keys_in_one_request_are_refused() -> None:
    transport, found = _dispatched(b"x-key: a\r\nx-key: b\r\n\r\n")
    assert not found
    assert transport.written.startswith(b"HTTP/1.1 400 ")


@pytest.mark.parametrize("key", [b"", b"\xff\xfe", b"k" * 4_096])
def test_any_bytes_of_a_key_are_only_a_key_that_is_not_known(key: bytes) -> None:
    _, found = _dispatched(b"x-key: " + key + b"\r\n\r\n")
    arrival = found[0][1]
    assert arrival.key_digest == routes.key_digest(key)


def test_requests_of_two_workspaces_have_different_fingerprints() -> None:
    request = caller_requests.Request(None)  # type: ignore[arg-type]
    one = caller_requests.fingerprint(request, "plans", "", routes.key_digest(b"a"))
    other = caller_requests.fingerprint(request, "plans", "", routes.key_digest(b"b"))
    assert one != other


def test_every_rule_has_a_description() -> None:
    for rule in decisions.Rule:
        assert decisions.description_of(rule)
