"""Any bytes, any JSON and any value in each field of what the log holds and answers are
decoded to bounded values or refused by the documented error.

Guards against a reader that ends at an error that no caller expects.
"""

import asyncio
import base64
import collections.abc
import functools
import json
import math
import struct
import typing

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from gingerturn import errors, log_service, routes
from gingerturn.internal import checks, decoding
from gingerturn.internal.core import messages, streams
from gingerturn.internal.shell import http_calls, log_client, log_entries
from gingerturn_platform import configs, pages, store
from gingerturn_standins import http_server, platform_store
from tests.common import builders

EXAMPLES = 300

NUMBERS = st.one_of(
    st.integers(),
    st.integers(40, 7_000).map(lambda digits: 10**digits if digits < 4_000 else 7),
    st.sampled_from([(1 << 63) - 1, 1 << 63, (1 << 64) - 1, 1 << 64, -(1 << 63), -1]),
    st.floats(allow_nan=False, allow_infinity=False),
    st.sampled_from([1e300, -1e300, 1e15, 1.5]),
)
TEXTS = st.one_of(
    st.text(st.characters(exclude_categories=()), max_size=8),
    st.sampled_from(["", "\0", "\ud800", "x" * 70_000, "1" * 6_000, "fe80::1%x"]),
)
JSON = st.recursive(
    st.none() | st.booleans() | NUMBERS | TEXTS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
DEPTH = 3_000
ODD = [
    b"-1",
    b"1" * 40,
    b"1" * 6_000,
    str(1 << 63).encode(),
    str(1 << 64).encode(),
    b"1e300",
    b"1e400",
    b"1.5",
    b"NaN",
    b"null",
    b'"' + b"1" * 6_000 + b'"',
    b'"' + b"x" * 70_000 + b'"',
    b'"\xff"',
    rb'"\udcff"',
    rb'"\u0000"',
    b"[" * DEPTH + b"]" * DEPTH,
    b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    b"[[[[",
]
RAW = st.one_of(
    st.sampled_from(ODD),
    JSON.map(lambda value: json.dumps(value).encode()),
    st.integers(1, 3_000).map(lambda depth: b"[" * depth + b"]" * depth),
    st.integers(1, 3_000).map(lambda depth: b'{"a":' * depth + b"1" + b"}" * depth),
    st.binary(max_size=20),
)
"""Values as bytes, some of which are not JSON."""

_MARK = "@value@"
NEW_FIELD = "a_new_field"


def _places(value: typing.Any) -> collections.abc.Iterator[list[typing.Any]]:
    items: collections.abc.Iterable[tuple[typing.Any, typing.Any]] = ()
    if isinstance(value, dict):
        yield [NEW_FIELD]
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for name, inner in items:
        yield [name]
        yield from ([name, *rest] for rest in _places(inner))


def _documents(document: object) -> st.SearchStrategy[bytes]:
    """Return bytes, among them documents with one value replaced or added."""
    whole = json.dumps(document).encode()
    places = st.sampled_from(list(_places(document)))
    replaced = st.builds(_with, st.just(document), places, RAW)
    cut = st.integers(0, len(whole)).map(lambda size: whole[:size])
    return st.one_of(replaced, RAW, cut, st.binary(max_size=200))


def _with(document: object, place: list[typing.Any], value: bytes) -> bytes:
    """Return a document as JSON with one value replaced or added."""
    found = json.loads(json.dumps(document))
    holder = found
    for step in place[:-1]:
        holder = holder[step]
    holder[place[-1]] = _MARK
    return json.dumps(found).encode().replace(f'"{_MARK}"'.encode(), value)


RECORDS: list[messages.LogRecord] = [
    messages.JoinRecord(
        node="n2", incarnation=5, host="10.0.0.8", gossip_port=7620, zone="a", at=1.0
    ),
    messages.LeaveRecord(node="n2", incarnation=5, at=1.0),
    messages.QuarantineRecord(request=5, ends=2, at=1.0),
    messages.ClaimBatch(claims=(messages.ClaimRecord("k", "c", "n"),)),
    messages.PublishRecord("i", "shop", "a", 3, "text", 1.0),
    messages.ConfigSnapshot(3, {"shop": "text"}, {"shop": 3}, "d"),
    messages.AuditRecord(1.0, "w", "publish", "shop", "accepted", 2, 3),
    routes.RouteTable(
        version=4,
        routes=(
            routes.Route(
                name="r",
                host="shop.example",
                path_prefix="/a/",
                type=routes.RouteType.SAFE,
                timeout_ms=900,
                target_ms=200,
                shares=(routes.Share("plans", 3),),
            ),
        ),
        services=("plans",),
        workspaces=(routes.workspace("w", ["k"], rate=3.0, burst=2.0, priority=1),),
    ),
]
STREAMS = [streams.MEMBERS, streams.ROUTES, streams.CONFIG, streams.AUDIT, "claims.x"]


def check_bounded(value: object) -> None:
    """Check that each number in a decoded value is bounded."""
    if isinstance(value, dict):
        for name, inner in value.items():
            check_bounded(name)
            check_bounded(inner)
    elif isinstance(value, list | tuple):
        for inner in value:
            check_bounded(inner)
    elif isinstance(value, float):
        assert abs(value) <= decoding.MAX_NUMBER
    elif isinstance(value, int):
        assert abs(value) <= decoding.MAX_WHOLE


def _check(decode: collections.abc.Callable[[], object]) -> None:
    """Check that a decoder gives a bounded value or the documented error."""
    try:
        value = decode()
    except errors.DecodeError as error:
        assert error.message
        assert len(error.message) <= decoding.MAX_SHOWN
        return
    check_bounded(msgspec.to_builtins(value))


@pytest.mark.parametrize("record", RECORDS, ids=lambda record: type(record).__name__)
@hypothesis.given(data=st.data())
@hypothesis.settings(max_examples=EXAMPLES)
def test_any_bytes_are_a_bounded_record_or_refused(
    record: messages.LogRecord, data: st.DataObject
) -> None:
    _check_record(data.draw(_documents(msgspec.to_builtins(record))))


def _check_record(content: bytes) -> None:
    _check(lambda: messages.decode_record(content))
    for name in STREAMS:
        _check(functools.partial(streams.decode_record, name, content))


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
    "limits": {"max_header_bytes": 1, "header_timeout_ms": 5},
    "tenants": [{"name": "t", "api_keys": ["k"], "rate_per_s": 5, "burst": 2}],
}


@hypothesis.given(_documents(CONFIG))
@hypothesis.settings(max_examples=EXAMPLES)
def test_any_configuration_is_bounded_or_refused(content: bytes) -> None:
    _check_config(content)


def _check_config(content: bytes) -> None:
    try:
        table = configs.decode(content)
    except errors.InvalidDocument as error:
        assert error.problems
        assert len(error.message) < 4 * decoding.MAX_SHOWN
        return
    check_bounded(msgspec.to_builtins(table))
    # What is written to the events is read by the same bounds.
    encoded = messages.encode_record(table)
    assert streams.decode_record(streams.ROUTES, encoded) == table


def _newest(*keys: str) -> dict[str, object]:
    value = base64.b64encode(messages.encode_record(RECORDS[0])).decode()
    items = [{"key": key, "value": value, "offset": 3} for key in keys]
    return {"items": items, "end_offset": 9, "has_more": False}


def _read_pages() -> st.SearchStrategy[bytes]:
    keyed = st.builds(
        lambda length, rest: bytes([length]) + rest,
        st.integers(0, 255),
        st.binary(max_size=40),
    )
    body = st.lists(keyed | st.just(b""), max_size=5).map(
        lambda records: b"".join(struct.pack(">I", len(r)) + r for r in records)
    )
    ends = st.binary(min_size=16, max_size=16) | st.just(struct.pack(">QQ", 40, 3))
    return st.builds(lambda a, b, c: a + b + c, ends, body, st.binary(max_size=6))


@hypothesis.given(
    st.one_of(_documents(_newest("n2", "n3")), _read_pages(), st.binary(max_size=200)),
    st.integers(0, decoding.MAX_WHOLE // 2),
)
@hypothesis.settings(max_examples=2 * EXAMPLES)
def test_any_bytes_are_a_bounded_page_or_refused(content: bytes, first: int) -> None:
    _check_page(content, first)


def _check_page(content: bytes, first: int = 0) -> None:
    for decode in (
        lambda: pages.decode_read(content, first=first),
        lambda: pages.decode_newest(content),
    ):
        try:
            page = decode()
        except errors.FrameError as error:
            assert error.step == "decode a page"
            continue
        offsets = [entry.offset for entry in page.entries]
        check_bounded((page.end, page.oldest, offsets))
        assert all(isinstance(entry, log_service.Entry) for entry in page.entries)


MAX_PAGES = 30
"""More than the pages with keys that one example has."""


class _Answers(store.Store):
    """A store whose answers are given; the last one is repeated."""

    def __init__(self, *contents: bytes) -> None:
        super().__init__(builders.settings().log)
        self._contents = list(contents)
        self.calls = 0

    async def _call(self, *args: typing.Any, **kwargs: typing.Any) -> typing.Any:
        self.calls += 1
        last = self._contents[min(self.calls, len(self._contents)) - 1]
        return http_calls.Answer(200, last)


@hypothesis.given(
    st.lists(
        _documents({**_newest("n2", "n3"), "has_more": True})
        | st.lists(st.sampled_from("abcd"), max_size=3).map(
            lambda keys: json.dumps({**_newest(*keys), "has_more": True}).encode()
        ),
        min_size=1,
        max_size=6,
    )
)
@hypothesis.settings(max_examples=EXAMPLES)
def test_a_listing_of_any_pages_ends(contents: list[bytes]) -> None:
    answers = _Answers(*contents)
    try:
        with pytest.MonkeyPatch.context() as limits:
            limits.setattr(log_entries, "MAX_PAGES", MAX_PAGES)
            found = asyncio.run(answers.newest(streams.MEMBERS))
    except errors.LogServiceError as error:
        assert "newest of members" in error.step
    else:
        check_bounded(found.end)
        used = [content for content in found.contents if content]
        assert all(streams.decode_record(streams.MEMBERS, c) for c in used)
    keys = {key for content in contents for key in _keys(content)}
    assert answers.calls <= 1 + len(keys)


def _keys(content: bytes) -> set[bytes]:
    try:
        return {entry.key for entry in pages.decode_newest(content).entries}
    except errors.FrameError:
        return set()


class _Served(store.Store):
    """A client of the stand-in of the store, without connections."""

    def __init__(self, served: platform_store.Store) -> None:
        super().__init__(builders.settings().log)
        self._served = served
        self._peer.call = self._answer  # type: ignore[method-assign]

    async def _answer(
        self, method: str, resource: str, *, body: bytes = b"", **_: object
    ) -> http_calls.Answer:
        request = http_server.Request(method, resource, {}, body)
        response = await self._served.handle(request)
        return http_calls.Answer(response.status, response.body, epoch=1)


@hypothesis.given(
    st.lists(st.binary(min_size=1, max_size=6), unique=True, max_size=12),
    st.sampled_from(["raw", "replace", "escape"]),
    st.integers(1, 3),
)
@hypothesis.settings(max_examples=EXAMPLES, deadline=None)
def test_a_listing_beside_any_keys_has_each_entry_with_a_key_of_text(
    keys: list[bytes], key_form: str, page_size: int
) -> None:
    served = platform_store.Store()
    served.faults.key_form = key_form
    with pytest.MonkeyPatch.context() as limits:
        limits.setattr(platform_store, "MAX_ITEMS", page_size)
        found = asyncio.run(_listed(served, keys))
    listed = {json.loads(c)["incarnation"] for c in found.contents if c}
    if key_form == "raw":
        assert listed == set(range(len(keys)))
    elif not found.skipped.count:
        plain = [n for n, key in enumerate(keys) if _is_text(key)]
        assert listed >= set(plain)


async def _listed(
    served: platform_store.Store, keys: list[bytes]
) -> log_service.Newest:
    client = _Served(served)
    for number, key in enumerate(keys):
        join = msgspec.structs.replace(RECORDS[0], incarnation=number)
        value = messages.encode_record(join)
        await client.append(streams.MEMBERS, bytes([len(key)]) + key + value)
    return await client.newest(streams.MEMBERS)


def _is_text(key: bytes) -> bool:
    return key.isascii()


READ_REPLY = {"first": 5, "oldest": 2, "end": 9, "records": ["YQ==", "Yg=="]}


@hypothesis.given(_documents(READ_REPLY))
@hypothesis.settings(max_examples=EXAMPLES)
def test_any_answer_of_the_log_service_is_bounded_or_refused(content: bytes) -> None:
    _check_reply(content)


def _check_reply(content: bytes) -> None:
    client = log_client.LogClient(builders.settings().log)

    async def call(*_: object, **__: object) -> http_calls.Answer:
        return http_calls.Answer(200, content)

    client._peer.call = call  # type: ignore[method-assign]
    for request in (
        lambda: client.read("config", 5),
        lambda: client.newest("config"),
        lambda: client.append("config", b"r"),
    ):
        try:
            found = asyncio.run(request())
        except errors.LogServiceError as error:
            assert error.step
            continue
        numbers = [
            getattr(found, name, 0) for name in ("first", "oldest", "end", "offset")
        ]
        check_bounded(numbers)


@pytest.mark.parametrize(
    ("document", "check"),
    [
        *((msgspec.to_builtins(record), _check_record) for record in RECORDS),
        (CONFIG, _check_config),
        (_newest("n2", "n3"), _check_page),
        (READ_REPLY, _check_reply),
    ],
)
def test_each_odd_value_in_each_field_is_bounded_or_refused(
    document: object, check: collections.abc.Callable[[bytes], None]
) -> None:
    for place in _places(document):
        for value in ODD:
            check(_with(document, place, value))


@hypothesis.given(RAW | st.binary(max_size=300))
@hypothesis.settings(max_examples=EXAMPLES)
def test_what_is_salvaged_from_any_bytes_is_not_nested_too_deeply(
    content: bytes,
) -> None:
    salvaged = decoding.salvage(content)
    try:
        value = json.loads(content, parse_constant=_refuse)
    except (ValueError, RecursionError):
        return
    assert not decoding.is_nested_too_deeply(salvaged)
    if _depth(value) <= decoding.MAX_NESTING and b"\\ud" not in content:
        assert salvaged == content
    msgspec.json.decode(salvaged, type=msgspec.Raw)


def _refuse(name: str) -> typing.NoReturn:
    raise ValueError(name)


def _depth(value: object) -> int:
    depth = 0
    level = [value]
    while level := [v for v in level if isinstance(v, list | dict)]:
        depth += 1
        level = [
            inner
            for outer in level
            for inner in (outer.values() if isinstance(outer, dict) else outer)
        ]
    return depth


@hypothesis.given(JSON | st.integers(1, 200).map(lambda levels: _nest(levels)))
def test_nesting_is_measured_as_levels(value: object) -> None:
    content = json.dumps(value).encode()
    deep = _depth(value) > decoding.MAX_NESTING
    assert decoding.is_nested_too_deeply(content) == deep


def _nest(levels: int) -> object:
    value: object = "[{"
    for level in range(levels):
        value = [value, "]"] if level % 2 else {'"[': value}
    return value


@hypothesis.given(
    st.text(max_size=30) | st.integers().map(str) | st.integers(0).map("{:x}".format),
    st.sampled_from([10, 16]),
    st.sampled_from([255, checks.MAX_PORT, decoding.MAX_WHOLE]),
    st.sampled_from(["", "0" * 5_000, "1" * 5_000]),
)
def test_a_text_is_a_whole_number_up_to_the_limit_or_none(
    text: str, base: int, most: int, before: str
) -> None:
    number = decoding.parse_whole(before + text, most=most, base=base)
    digits = "0123456789abcdefABCDEF" if base == 16 else "0123456789"
    is_number = bool(before + text) and set(before + text) <= set(digits)
    if number is None:
        assert not is_number or "1" in before or int(text or "0", base) > most
        return
    assert is_number
    assert number == int(text or "0", base) <= most


@hypothesis.given(st.text(max_size=40) | st.binary(max_size=40).map(repr))
def test_any_text_is_base64_or_refused(text: str) -> None:
    try:
        content = decoding.decode_base64(text)
    except errors.DecodeError:
        return
    assert base64.b64encode(content).decode()[:-4] in text


NAMES = st.from_regex(checks.NAME_PATTERN, fullmatch=True)
WHOLE = st.integers(0, decoding.MAX_WHOLE)
TIMES = st.floats(0.0, 1e14)
LONG_HOSTS = [
    "ffff:" * 6 + "255.255.255.255",
    "ffff:" * 6 + "255.255.255.255%" + "x" * 15,
]
WRITTEN = st.one_of(
    st.builds(
        messages.JoinRecord,
        node=NAMES,
        incarnation=WHOLE,
        host=st.ip_addresses().map(str) | st.sampled_from(LONG_HOSTS),
        gossip_port=st.integers(1, checks.MAX_PORT),
        zone=NAMES | st.just(""),
        at=TIMES,
    ),
    st.builds(messages.LeaveRecord, node=NAMES, incarnation=WHOLE, at=TIMES),
    st.builds(
        messages.QuarantineRecord,
        request=st.integers(1, messages.MAX_FINGERPRINT),
        ends=st.integers(0, messages.MAX_ENDS),
        at=TIMES,
    ),
)


# Guards against a record of our own that other nodes skip.
@hypothesis.given(WRITTEN)
def test_each_record_of_a_member_that_a_node_writes_can_be_read(
    record: messages.LogRecord,
) -> None:
    content = messages.encode_record(record)
    assert 2 * len(content) < streams.MAX_MEMBER_RECORD
    assert streams.decode_record(streams.MEMBERS, content) == record


# Guards against nodes of two versions that do not know each other during a change of
# version: a record with fields of a later version is read without them.
@pytest.mark.parametrize("record", RECORDS, ids=lambda record: type(record).__name__)
def test_a_record_with_fields_of_a_later_version_is_read(
    record: messages.LogRecord,
) -> None:
    later = {**msgspec.to_builtins(record), "weights": [{"a": [1.5, None]}], "era": 7}
    assert messages.decode_record(msgspec.json.encode(later)) == record


def test_a_record_of_a_kind_of_a_later_version_is_refused_and_named() -> None:
    with pytest.raises(errors.DecodeError, match="'gathering'"):
        messages.decode_record(b'{"type":"gathering","node":"n2","at":1.0}')


def test_an_infinite_time_is_refused() -> None:
    content = messages.encode_record(RECORDS[0]).replace(b'"at":1.0', b'"at":1e308')
    assert math.isfinite(1e308)
    with pytest.raises(errors.DecodeError, match="at"):
        messages.decode_record(content)
