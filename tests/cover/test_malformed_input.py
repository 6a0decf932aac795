"""Malformed entries of the store, heartbeats, settings and datagrams.

Guards against one invalid entry, for example from another writer to the same topic,
that stops reading or invalidates the entries beside it.
"""

import asyncio
import base64
import collections.abc
import contextlib
import json
import pathlib
import struct
import typing

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from gingerturn import errors, log_service, routes
from gingerturn.internal.core import events, messages, reducer, streams
from gingerturn.internal.shell import http_calls, node as nodes, side_http
from gingerturn.internal.wire import datagrams
from gingerturn_platform import beats, boot, configs, pages, store
from tests.common import builders, routed

JOIN = messages.JoinRecord(
    node="n2", incarnation=5, host="10.0.0.8", gossip_port=7620, zone="a", at=1.0
)
MEMBERS = "members"


def _read_page(*records: bytes, cut: int = 0) -> bytes:
    body = b"".join(struct.pack(">I", len(record)) + record for record in records)
    whole = struct.pack(">QQ", 40, 3) + body
    return whole[: len(whole) - cut]


def _keyed(key: bytes, value: bytes) -> bytes:
    return bytes([len(key)]) + key + value


def _valid_record() -> bytes:
    return messages.encode_record(JOIN)


BAD_VALUES = [
    b"\xff\xfe\x00",
    b"{",
    b"[]",
    b'{"type": "join"}',
    b'{"type": "join", "node": 7, "incarnation": 5, "host": "10.0.0.8",'
    b' "gossip_port": 7620, "zone": "a", "at": 1}',
    _valid_record().replace(b"10.0.0.8", b"store.example"),
    _valid_record().replace(b"7620", b"0"),
    _valid_record().replace(b"7620", b"99999"),
    _valid_record().replace(b'"incarnation":5', b'"incarnation":-1'),
    _valid_record().replace(
        b'"incarnation":5', b'"incarnation":99999999999999999999999'
    ),
    _valid_record().replace(b'"node":"n2"', b'"node":""'),
]


class _ScriptedStore(store.Store):
    """A store whose calls are answered from a list."""

    def __init__(self, *contents: bytes) -> None:
        super().__init__(builders.settings().log)
        self._contents = list(contents)
        self.queries: list[dict[str, object]] = []

    async def _call(self, *args: typing.Any, **kwargs: typing.Any) -> typing.Any:
        self.queries.append(dict(args[3]))
        return http_calls.Answer(200, self._contents.pop(0))


@pytest.mark.parametrize("bad", BAD_VALUES, ids=repr)
def test_an_entry_that_cannot_be_read_leaves_the_others_on_its_page(bad: bytes) -> None:
    page = _read_page(
        _keyed(b"n2", _valid_record()),
        _keyed(b"n3", bad),
        _keyed(b"n4", _valid_record()),
    )
    records = asyncio.run(_ScriptedStore(page).read(MEMBERS, 7))
    assert [bool(record) for record in records.contents] == [True, False, True]


def test_a_key_that_is_longer_than_its_record_names_nothing() -> None:
    page = pages.decode_read(
        _read_page(b"\xffshort", b"", _keyed(b"n2", _valid_record()))
    )
    assert [bool(entry.problem) for entry in page.entries] == [True, True, False]


def test_reading_goes_on_behind_the_last_whole_record_of_a_cut_page() -> None:
    records = (_keyed(b"n2", _valid_record()), _keyed(b"n3", _valid_record()))
    assert len(pages.decode_read(_read_page(*records, cut=9)).entries) == 1


@pytest.mark.parametrize("content", [b"", b"short", _read_page(b"abcdef", cut=3)])
def test_an_invalid_page_is_an_error_that_names_the_step(content: bytes) -> None:
    with pytest.raises(errors.LogServiceError, match="read members"):
        asyncio.run(_ScriptedStore(content).read(MEMBERS, 0))


def _newest_page(*items: object, more: bool = False) -> bytes:
    whole = {"items": list(items), "end_offset": 9, "has_more": more}
    return json.dumps(whole).encode()


def _item(key: object, value: bytes = b"") -> dict[str, object]:
    content = value or _valid_record()
    return {"key": key, "value": base64.b64encode(content).decode(), "offset": 3}


BAD_ITEMS = [
    {},
    7,
    None,
    "text",
    {"key": "n3"},
    {"key": "n3", "value": 5},
    {"key": "n3", "value": "no base64!"},
    {"key": "n3", "value": "abc"},
    _item(7),
    _item("n3", b"\xff"),
]


@pytest.mark.parametrize("bad", BAD_ITEMS, ids=repr)
def test_an_item_that_cannot_be_read_leaves_the_others_on_its_page(bad: object) -> None:
    page = _newest_page(_item("n2"), bad, _item("n4"))
    found = asyncio.run(_ScriptedStore(page).newest(MEMBERS))
    assert [bool(content) for content in found.contents] == [True, False, True]


def test_pages_go_on_behind_an_item_that_cannot_be_read() -> None:
    answers = _ScriptedStore(
        _newest_page(_item("n2"), {"key": "n3", "value": 5}, more=True),
        _newest_page(_item("n4")),
    )
    found = asyncio.run(answers.newest(MEMBERS))
    assert [bool(content) for content in found.contents] == [True, False, True]
    assert answers.queries[1] == {"after": "n3"}


def test_pages_that_name_no_key_to_go_on_from_end() -> None:
    answers = _ScriptedStore(_newest_page(7, {}, more=True))
    assert len(asyncio.run(answers.newest(MEMBERS)).contents) == 2


def test_invalid_utf_8_invalidates_one_item() -> None:
    page = _newest_page(_item("n2"), _item("nX")).replace(b"nX", b"n\xff")
    assert len(pages.decode_newest(page).entries) == 2


def _node_with_routes(services: tuple[str, ...]) -> nodes.Node:
    node = nodes.Node(builders.settings())
    table = routes.RouteTable(version=1, routes=(routed.route(),), services=services)
    node.apply(events.RoutesReceived(now=builders.START, table=table))
    return node


BEAT: dict[str, typing.Any] = {
    "address": "10.0.0.7:8080",
    "node_info": {"service_name": "plans", "version": "v1", "zone": "a", "slots": 9},
    "status": {"state": "ready", "sequence": 4, "cold_remaining_ms": 120},
}


def _with(place: str, value: object) -> dict[str, typing.Any]:
    beat = json.loads(json.dumps(BEAT))
    *outer, last = place.split(".")
    inner = beat
    for name in outer:
        inner = inner[name]
    if value is _MISSING:
        del inner[last]
    else:
        inner[last] = value
    return typing.cast(dict[str, typing.Any], beat)


_MISSING = object()
BAD_BEATS = [
    ("address", _MISSING),
    ("address", 5),
    ("address", "host.example:80"),
    ("address", "10.0.0.7"),
    ("node_info", _MISSING),
    ("node_info", []),
    ("node_info.service_name", _MISSING),
    ("node_info.service_name", "other-teams"),
    ("node_info.service_name", 4),
    ("node_info.slots", "9"),
    ("node_info.slots", -1),
    ("status.state", _MISSING),
    ("status.state", "starting"),
    ("status.state", None),
    ("status.sequence", "4"),
    ("status.sequence", -4),
    ("status.cold_remaining_ms", "soon"),
]


def _post(node: nodes.Node, body: bytes, *, path: str = "heartbeat") -> int:
    handle = beats.handler(node)
    request = side_http.Request("POST", f"/instances/i-9/{path}", body)
    return handle(request).status


@pytest.mark.parametrize(("place", "value"), BAD_BEATS)
def test_an_invalid_heartbeat_does_not_change_the_backend_server(
    place: str, value: object
) -> None:
    node = _node_with_routes(("plans", "porting"))
    node.announce(beats.decode("i-1", json.dumps(BEAT).encode()))
    assert _post(node, json.dumps(_with(place, value)).encode()) == 400
    backend = node.state.backend
    assert (backend.instance, backend.service, backend.slots) == ("i-1", "plans", 9)


def test_where_the_configuration_names_no_services_every_one_is_taken() -> None:
    node = _node_with_routes(())
    beat = _with("node_info.service_name", "new-one")
    assert _post(node, json.dumps(beat).encode()) == 200


@hypothesis.given(st.binary(max_size=300))
def test_any_bytes_for_a_report_are_taken_or_refused(body: bytes) -> None:
    node = _node_with_routes(("plans",))
    assert _post(node, body) in {200, 400}
    assert _post(node, body, path="deregister") in {200, 400}


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


def _mutated(document: object) -> st.SearchStrategy[bytes]:
    """Return documents with one value replaced."""
    whole = json.dumps(document)

    def put(place: int, value: object) -> bytes:
        found = json.loads(whole)
        locations = list(_locations(found))
        holder, name = locations[place % len(locations)]
        holder[name] = value
        return json.dumps(found).encode()

    return st.builds(put, st.integers(0, 99), JSON)


def _locations(
    value: typing.Any,
) -> collections.abc.Iterator[tuple[typing.Any, object]]:
    items: collections.abc.Iterable[tuple[object, object]] = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for name, inner in items:
        yield value, name
        yield from _locations(inner)


@hypothesis.given(_mutated(BEAT) | st.binary(max_size=200))
@hypothesis.settings(max_examples=300)
def test_any_report_is_an_announcement_or_the_documented_error(body: bytes) -> None:
    try:
        assert beats.decode("i-1", body).instance == "i-1"
    except errors.InvalidArgument as error:
        assert error.step == "read heartbeat"


CONFIG = {
    "version": "0000001c",
    "routes": [
        {
            "name": "r-1",
            "hostname": "shop.example",
            "path_prefix": "/a/",
            "route_type": "safe",
            "timeout_ms": 800,
            "target_latency_ms": 1500,
            "traffic_split": [{"service_name": "plans", "weight": 1}],
        }
    ],
    "services": [{"name": "plans"}],
    "limits": {"max_header_bytes": 1},
}


@hypothesis.given(_mutated(CONFIG) | st.binary(max_size=200))
@hypothesis.settings(max_examples=300)
def test_any_configuration_is_put_in_force_or_refused_whole(
    content: bytes,
) -> None:
    try:
        table = configs.decode(content)
    except errors.InvalidDocument:
        return
    state = routed.node_state()
    reducer.reduce(state, events.RoutesReceived(now=state.now, table=table))
    assert state.routes is not None
    assert state.routes.version in {1, table.version}


@hypothesis.given(st.binary(max_size=200) | _mutated(msgspec.to_builtins(JOIN)))
@hypothesis.settings(max_examples=300)
def test_any_bytes_are_a_record_or_the_documented_error(content: bytes) -> None:
    try:
        record = messages.decode_record(content)
    except errors.DecodeError:
        return
    if isinstance(record, messages.JoinRecord):
        state = routed.node_state()
        streams.follow(state, MEMBERS, [], keyed=True, followed=False)
        newest = events.NewestRead(
            now=state.now, stream=MEMBERS, end=1, records=(content,)
        )
        reducer.reduce(state, newest)


@hypothesis.given(st.binary(max_size=200) | st.binary(max_size=60).map(_read_page))
@hypothesis.settings(max_examples=300)
def test_any_bytes_are_a_page_or_the_documented_error(content: bytes) -> None:
    for decode in (pages.decode_read, pages.decode_newest):
        try:
            page: typing.Any = decode(content)
        except errors.FrameError:
            continue
        assert all(isinstance(entry, log_service.Entry) for entry in page.entries)


@hypothesis.given(_mutated(json.loads(_newest_page(_item("n2"), _item("n3")))))
@hypothesis.settings(max_examples=200)
def test_any_listing_is_a_page_or_the_documented_error(content: bytes) -> None:
    with contextlib.suppress(errors.FrameError):
        assert pages.decode_newest(content).end is not None


BOOT = {
    "node_id": "n-1",
    "ip": "10.0.0.7",
    "zone": "a",
    "region": "r",
    "listen": {"inbound": "1", "outbound": "2", "ready": "3", "control": "4"},
    "port_range": [7620, 7635],
    "bounds": {"grace_s": 6, "retry_budget_slack": 49},
    "service_name": "plans",
    "platform_config": {"address": "10.9.0.1:8309"},
}


@hypothesis.given(_mutated(BOOT) | st.binary(max_size=200))
@hypothesis.settings(
    max_examples=200,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
def test_any_settings_file_is_read_or_refused(
    tmp_path: pathlib.Path, content: bytes
) -> None:
    file = tmp_path / "settings"
    file.write_bytes(content)
    try:
        boot.to_settings(boot.load(file))
    except errors.InvalidDocument as error:
        assert error.problems


@hypothesis.given(st.binary(max_size=200))
@hypothesis.settings(max_examples=300)
def test_any_authentic_bytes_are_a_membership_message_or_an_error(
    content: bytes,
) -> None:
    secret = b"s"
    datagram = datagrams.mac(secret, content) + content
    try:
        sender, _, _ = datagrams.decode([secret], datagram)
        assert isinstance(sender, str)
    except errors.FrameError as error:
        assert error.step == "decode a datagram"
