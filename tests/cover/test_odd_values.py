"""Odd values in each field of what other writers put into the log.

Guards against a reader that ends at a value for which its decoder raises another error
than the documented one: nested deeply, long numbers, text that is not UTF-8.
"""

import asyncio
import base64
import collections.abc
import json
import struct
import typing

import pytest

from gingerturn import errors, log_service, routes
from gingerturn.internal import decoding, ids
from gingerturn.internal.core import (
    effects,
    events,
    messages,
    reducer,
    state as states,
    streams,
)
from gingerturn.internal.shell import (
    http_calls,
    log_client,
    log_entries,
    log_side,
    node as nodes,
    probes,
)
from gingerturn.internal.wire import datagrams
from gingerturn_platform import store
from tests.common import builders, routed

DEPTH = 100_000
VALUES = {
    "nested arrays": b"[" * DEPTH + b"]" * DEPTH,
    "nested objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "nested to the limit": b"[" * 60 + b"]" * 60,
    "open arrays": b"[" * DEPTH,
    "40 digits": b"1" * 40,
    "6,000 digits": b"1" * 6_000,
    "6,000 digits of text": b'"' + b"1" * 6_000 + b'"',
    "too large a float": b"1e400",
    "a large float": b"1e300",
    "many digits behind the point": b"0." + b"3" * 6_000,
    "negative": b"-1",
    "beyond 63 bits": str(1 << 63).encode(),
    "beyond 64 bits": str(1 << 64).encode(),
    "no number": b"NaN",
    "null": b"null",
    "a surrogate": rb'"\ud800"',
    "no UTF-8": b'"\xff\xfe"',
    "a null character": rb'"\u0000"',
    "a long name": b'"' + b"x" * 300_000 + b'"',
    "a long array": b"[" + b"1," * 100_000 + b"1]",
    "true": b"true",
    "an object": b"{}",
}

JOIN: dict[str, object] = {
    "type": "join",
    "node": "x9",
    "incarnation": 5,
    "host": "10.0.0.8",
    "gossip_port": 7620,
    "zone": "a",
    "at": 1.0,
}
QUARANTINE: dict[str, object] = {"type": "quarantine", "request": 5, "ends": 2, "at": 1}
CONFIG: dict[str, typing.Any] = {
    "version": "00000002",
    "routes": [
        {
            "name": "r-1",
            "hostname": "shop.example",
            "path_prefix": "/a/",
            "route_type": "safe",
            "timeout_ms": 800,
            "target_latency_ms": 1500,
            "priority": 1,
            "max_attempts": 2,
            "traffic_split": [{"service_name": "plans", "weight": 1}],
        }
    ],
    "services": [{"name": "plans"}],
    "limits": {
        "max_header_bytes": 9_000,
        "max_body_bytes": 9_000,
        "header_timeout_ms": 900,
        "idle_timeout_ms": 900,
    },
    "tenants": [
        {"name": "t", "api_keys": ["k"], "priority": 1, "rate_per_s": 5, "burst": 2}
    ],
}

_MARK = "@value@"
UNKNOWN_FIELD = "a_new_field"
MAX_PROBLEM = 2_000


def _places(document: typing.Any) -> collections.abc.Iterator[list[typing.Any]]:
    """Return the path of each value, and of an unknown field in each object."""
    if isinstance(document, dict):
        yield [UNKNOWN_FIELD]
        for name, inner in document.items():
            yield [name]
            yield from ([name, *rest] for rest in _places(inner))
    elif isinstance(document, list):
        for index, inner in enumerate(document):
            yield [index]
            yield from ([index, *rest] for rest in _places(inner))


def _with(document: object, place: list[typing.Any], value: bytes) -> bytes:
    """Return a document as JSON with a value replaced."""
    found = json.loads(json.dumps(document))
    holder = found
    for step in place[:-1]:
        holder = holder[step]
    holder[place[-1]] = _MARK
    return json.dumps(found).encode().replace(f'"{_MARK}"'.encode(), value)


def _all(document: object) -> list[typing.Any]:
    return [
        pytest.param(_with(document, place, value), id=f"{place}: {name}"[:80])
        for place in _places(document)
        for name, value in VALUES.items()
    ]


class _Answers(store.Store):
    """A store whose answers are given."""

    def __init__(self, *contents: bytes) -> None:
        super().__init__(builders.settings().log)
        self._contents = list(contents)

    async def _call(self, *args: typing.Any, **kwargs: typing.Any) -> typing.Any:
        return http_calls.Answer(200, self._contents.pop(0))


def _read(stream: str, key: bytes, *values: bytes) -> log_service.Records:
    """Read entries from offset 7 on."""
    records = [bytes([len(key)]) + key + value for value in values]
    body = b"".join(struct.pack(">I", len(r)) + r for r in records)
    page = struct.pack(">QQ", 40, 3) + body
    return asyncio.run(_Answers(page).read(stream, 7))


def _check_skipped(read: log_service.Records, key: bytes) -> None:
    """Check that the second entry of a read is either used or named."""
    if read.contents[1]:
        assert read.skipped.count == 0
        return
    assert read.skipped.count == 1
    (entry,) = read.skipped.examples
    assert (entry.key, entry.offset) == (key, 8)
    assert 0 < len(entry.problem) < MAX_PROBLEM


def _following_state() -> states.State:
    """Return a node that reads the records of members."""
    state = routed.node_state()
    streams.follow(state, streams.MEMBERS, [], keyed=True, followed=False)
    return state


def _apply(stream: str, read: log_service.Records) -> None:
    """Apply records to a node, and encode what it sends for them."""
    state = _following_state()
    newest = events.NewestRead(
        now=state.now, stream=stream, records=read.contents, end=read.end
    )
    out = reducer.reduce(state, newest)
    later = reducer.reduce(state, events.Tick(now=state.now + 1_100.0))
    for effect in [*out, *later]:
        if isinstance(effect, effects.SendGossip):
            sender = ids.NodeId("n1")
            content = datagrams.encode(b"s", sender, 1.0, effect.message)
            assert datagrams.decode([b"s"], content)


@pytest.mark.parametrize("odd", [*_all(JOIN), *_all(QUARANTINE)])
def test_an_odd_record_of_a_member_is_used_or_skipped_and_named(odd: bytes) -> None:
    good = json.dumps(JOIN).encode()
    read = _read(streams.MEMBERS, b"x9", good, odd, good)
    assert read.contents[0] == read.contents[2] == good
    _check_skipped(read, b"x9")
    _apply(streams.MEMBERS, read)


@pytest.mark.parametrize("odd", _all(CONFIG))
def test_an_odd_configuration_is_used_or_skipped_and_named(odd: bytes) -> None:
    earlier = json.dumps({**CONFIG, "version": "00000001"}).encode()
    later = json.dumps({**CONFIG, "version": "7fffffffffffffff"}).encode()
    read = _read(streams.ROUTES, b"config", earlier, odd, later)
    assert read.contents[0]
    assert read.contents[2]
    _check_skipped(read, b"config")
    state = routed.node_state()
    event = events.LogRead(
        now=state.now, stream="routes", first=7, records=read.contents, oldest=3, end=10
    )
    state.streams["routes"].base_read = True
    reducer.reduce(state, event)
    assert state.routes is not None
    assert state.routes.version == routes.MAX_VERSION


ITEM = {
    "key": "x9",
    "value": base64.b64encode(json.dumps(JOIN).encode()).decode(),
    "offset": 3,
}


@pytest.mark.parametrize("odd", [*_all(ITEM), *(value for value in VALUES.values())])
def test_an_odd_item_leaves_the_others_on_its_page(odd: bytes) -> None:
    good = json.dumps(ITEM).encode()
    page = b'{"items": [%b, %b, %b], "end_offset": 9}' % (good, odd, good)
    is_open = odd.count(b"[") - odd.count(b"]") == DEPTH
    if is_open or VALUES["no number"] in odd:
        # It is no JSON, so that neither is its page.
        with pytest.raises(errors.LogServiceError, match="newest of members"):
            asyncio.run(_Answers(page).newest(streams.MEMBERS))
        return
    found = asyncio.run(_Answers(page).newest(streams.MEMBERS))
    assert found.contents[0] == found.contents[2] == json.dumps(JOIN).encode()
    assert found.skipped.count == (not found.contents[1])


PAGE = {"items": [], "end_offset": 9, "has_more": False}


@pytest.mark.parametrize("odd", _all(PAGE))
def test_an_odd_page_is_read_or_an_error_that_names_its_stream(odd: bytes) -> None:
    try:
        found = asyncio.run(_Answers(odd).newest(streams.MEMBERS))
    except errors.LogServiceError as error:
        assert error.step == "newest of members"
        return
    assert 0 <= found.end <= decoding.MAX_WHOLE


@pytest.mark.parametrize("place", [0, 8])
def test_offsets_beyond_63_bits_are_an_error_that_names_the_offset(place: int) -> None:
    page = bytearray(struct.pack(">QQ", 40, 3))
    page[place] = 0xFF
    with pytest.raises(errors.LogServiceError, match="read members from offset 7"):
        asyncio.run(_Answers(bytes(page)).read(streams.MEMBERS, 7))


def test_a_hexadecimal_version_of_6000_digits_is_refused_and_named() -> None:
    odd = json.dumps({**CONFIG, "version": "0" * 100 + "f" * 6_000}).encode()
    read = _read(streams.ROUTES, b"config", b"", odd)
    (entry,) = read.skipped.examples
    assert "version is '000" in entry.problem
    assert len(entry.problem) < MAX_PROBLEM


def test_a_record_of_a_member_has_a_largest_size() -> None:
    record = json.dumps(JOIN).encode()
    largest = record + b" " * (streams.MAX_MEMBER_RECORD - len(record))
    read = _read(streams.MEMBERS, b"x9", largest, largest + b" ")
    assert read.contents == (largest, b"")
    assert "allowed are 2048" in read.skipped.examples[0].problem


def _client_read(*records: object) -> log_service.Records:
    client = log_client.LogClient(builders.settings().log)
    reply = {"first": 5, "oldest": 0, "end": 5 + len(records), "records": records}

    async def call(*_: object, **__: object) -> http_calls.Answer:
        return http_calls.Answer(200, json.dumps(reply).encode())

    client._peer.call = call  # type: ignore[method-assign]
    return asyncio.run(client.read(streams.CONFIG, 5))


def test_a_record_that_is_no_base64_leaves_the_others() -> None:
    read = _client_read("YQ==", "no base64!", 7, None, [[1]], "Yg==")
    assert read.contents == (b"a", b"", b"", b"", b"", b"b")
    assert [entry.offset for entry in read.skipped.examples] == [6, 7, 8, 9]


def _node_after(event: events.Event) -> nodes.Node:
    node = nodes.Node(builders.settings())
    node.apply(event)
    return node


def test_entries_that_are_skipped_are_counted_and_named(
    capsys: pytest.CaptureFixture[str],
) -> None:
    skipped = log_service.NOTHING_SKIPPED
    for number in range(5_000):
        skipped = skipped.and_entry(b"k" * 300, number, "no record")
    event = events.EntriesSkipped(now=builders.START, stream="members", skipped=skipped)
    state = routed.node_state()
    out = reducer.reduce(state, event)
    written = [e for e in out if isinstance(e, effects.WriteLog)]
    assert {e.part for e in written} == {"log"}
    lines = [e.text for e in written]
    assert len(lines) == streams.MAX_SKIPPED_LINES_PER_S
    shown = "k" * log_service.MAX_KEY_SHOWN
    assert lines[0] == f"Entry of members '{shown}' at offset 0 skipped: no record."
    assert not [e for e in reducer.reduce(state, event) if e in out]
    text = probes.metrics(_node_after(event)).decode()
    assert 'gingerturn_log_entries_skipped_total{stream="members"} 5000' in text


def test_records_that_the_core_cannot_use_are_counted_and_named() -> None:
    state = _following_state()
    claim = messages.encode_record(messages.ClaimBatch(claims=()))
    records = (claim, b"[" * DEPTH, json.dumps(JOIN).encode(), b"")
    event = events.NewestRead(
        now=state.now, stream=streams.MEMBERS, records=records, end=3
    )
    out = reducer.reduce(state, event)
    lines = [e.text for e in out if isinstance(e, effects.WriteLog)]
    assert sum(line.startswith("Entry of members skipped: ") for line in lines) == 2
    assert state.skipped_entries[streams.MEMBERS].total == 2
    assert builders.only(out, effects.SendGossip).host == JOIN["host"]


def test_what_is_nested_too_deeply_does_not_depend_on_the_stack() -> None:
    limit = decoding.MAX_NESTING
    decode = decoding.json_decoder(dict)  # type: ignore[type-var]
    for brackets in (b"[]", b"{}"):
        opening = brackets[:1] if brackets == b"[]" else b'{"a":'
        inner = opening * (limit - 1) + b"1" + brackets[1:] * (limit - 1)
        assert decode(b'{"a":' + inner + b"}")
        with pytest.raises(errors.DecodeError, match="nested too deeply"):
            decode(b'{"a":[' + inner + b"]}")


@pytest.mark.parametrize("text", [rb'"[[[["', rb'"\"[["', rb'"\\"', rb'"\\\"]]"'])
def test_brackets_in_strings_do_not_count_as_nesting(text: bytes) -> None:
    whole = b"[" + b",".join([text] * 200) + b"]"
    assert not decoding.is_nested_too_deeply(whole)
    deep = b"[" * 80 + text + b"]" * 80
    pruned = json.loads(decoding.salvage(b"[%b,%b,%b]" % (text, deep, text)))
    assert pruned[0] == pruned[2] == json.loads(text)


def _item(key: str, offset: int = 3) -> bytes:
    return json.dumps({**ITEM, "key": key, "offset": offset}).encode()


def _page(*items: bytes, end: int = 9, more: bool = True) -> log_entries.Page:
    content = b'{"items": [%b], "end_offset": %d, "has_more": %b}' % (
        b",".join(items),
        end,
        b"true" if more else b"false",
    )
    answers = _Answers(content)
    return asyncio.run(answers._newest_page(streams.MEMBERS, b""))


class _Pages:
    """Pages of the newest records; the last one is repeated."""

    def __init__(self, *pages: log_entries.Page) -> None:
        self._pages = list(pages)
        self.places: list[bytes] = []

    async def read(self, after: bytes) -> log_entries.Page:
        self.places.append(after)
        return self._pages.pop(0) if len(self._pages) > 1 else self._pages[0]

    def all(self) -> log_service.Newest:
        return asyncio.run(log_entries.read_newest(streams.MEMBERS, self.read))


def test_paging_ends_where_each_page_is_the_same() -> None:
    pages = _Pages(_page(_item("n1"), _item("n2")))
    found = pages.all()
    assert pages.places == [b"", b"n2"]
    assert any(found.contents)
    assert not found.complete
    (entry,) = found.skipped.examples
    assert "no new key" in entry.problem


def test_paging_ends_where_keys_alternate() -> None:
    one, two = _page(_item("n1")), _page(_item("n2"))
    pages = _Pages(one, two, one, two, one, two)
    assert pages.all().skipped.count == 1
    assert pages.places == [b"", b"n1", b"n2"]


def test_pages_whose_keys_go_backwards_are_read() -> None:
    names = [f"n{number}" for number in range(9, 0, -1)]
    pages = _Pages(*(_page(_item(n), more=n != "n1") for n in names))
    found = pages.all()
    assert len(found.contents) == 9
    assert found.skipped.count == 0
    assert found.complete


def test_paging_ends_where_each_page_has_a_new_key() -> None:
    places = []

    async def read(after: bytes) -> log_entries.Page:
        places.append(after)
        name = f"n{len(places)}".encode()
        entry = log_service.Entry(name, json.dumps(JOIN).encode(), offset=1)
        return log_entries.Page((entry,), 9, has_more=True)

    found = asyncio.run(log_entries.read_newest(streams.MEMBERS, read))
    assert len(places) == log_entries.MAX_PAGES
    assert "pages behind it" in found.skipped.examples[0].problem
    assert not found.complete


def test_paging_ends_where_its_records_take_too_much_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(log_entries, "MAX_LISTED_BYTES", 1_000)
    pages = _Pages(*(_page(*[_item(f"n{n}")] * 3) for n in range(20)))
    found = pages.all()
    assert sum(map(len, found.contents)) < 2_000
    assert "more than 1000 bytes" in found.skipped.examples[0].problem
    assert not found.complete


# Guards against a node that is never ready: a listing that takes longer than a base
# read may failed each time, and began again.
def test_a_listing_that_takes_too_long_ends_with_what_was_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert 1_000.0 * log_entries.MAX_LISTING_S < log_side.BASE_READ_LIMIT_MS
    monkeypatch.setattr(log_entries, "MAX_LISTING_S", 0.0)
    pages = _Pages(_page(_item("n1")), _page(_item("n2"), more=False))
    found = pages.all()
    assert len(found.contents) == 1
    assert "0 s for the pages" in found.skipped.examples[0].problem
    assert not found.complete


def test_a_listing_whose_end_goes_back_is_followed_from_the_lowest_one() -> None:
    pages = _Pages(
        _page(_item("n1"), end=40),
        _page(_item("n2"), end=12),
        _page(_item("n3"), end=50, more=False),
    )
    assert pages.all().end == 12


def test_a_page_without_a_key_ends_the_listing() -> None:
    pages = _Pages(_page(b"7", b"{}"))
    found = pages.all()
    assert pages.places == [b""]
    assert found.skipped.count == 3


# Guards against a listing that goes on from a key that is not the one in the log: it
# skipped or repeated entries.
def test_a_listing_continues_from_the_last_key_that_is_known_exactly() -> None:
    pages = _Pages(
        _page(_item("n1"), _item("n2"), _item("n\N{REPLACEMENT CHARACTER}")),
        _page(_item("n3"), more=False),
    )
    assert len(pages.all().contents) == 4
    assert pages.places == [b"", b"n2"]


def _hidden_page(*, more: bool = True) -> log_entries.Page:
    """Return a page whose keys are not those in the log."""
    return _page(*[_item("a" + 3 * "\N{REPLACEMENT CHARACTER}")] * 3, more=more)


# Guards against keys of another writer that hide those behind them: more than a page of
# them looked the same, so the listing ended there.
def test_a_listing_continues_behind_the_known_beginning_of_hidden_keys() -> None:
    last = _page(_item("n1"), more=False)
    pages = _Pages(_hidden_page(), _hidden_page(), last)
    found = pages.all()
    hidden = "a\N{REPLACEMENT CHARACTER}\N{REPLACEMENT CHARACTER}".encode()
    assert pages.places[1].startswith(hidden)
    assert pages.places[2] == b"a".ljust(log_entries.MAX_KEY, b"\xff")
    assert len(found.contents) == 7
    assert found.complete


def test_a_listing_ends_where_nothing_is_behind_the_known_beginning() -> None:
    pages = _Pages(_hidden_page())
    assert not pages.all().complete
    assert len(pages.places) == 3


def test_a_place_that_the_store_refuses_ends_the_listing() -> None:
    pages = _Pages(_hidden_page())

    async def read(after: bytes) -> log_entries.Page:
        if after.endswith(b"\xff"):
            raise errors.LogServiceError(
                "status 400", step="newest", peer="store", took_effect=None
            )
        return await pages.read(after)

    found = asyncio.run(log_entries.read_newest(streams.MEMBERS, read))
    assert len(found.contents) == 6
    assert not found.complete
    assert "status 400" in found.skipped.examples[-1].problem


def test_a_refused_page_behind_a_listed_key_fails_the_listing() -> None:
    first = _page(_item("n1"))

    async def read(after: bytes) -> log_entries.Page:
        if after:
            raise errors.LogServiceError(
                "status 500", step="newest", peer="store", took_effect=None
            )
        return first

    with pytest.raises(errors.LogServiceError, match="status 500"):
        asyncio.run(log_entries.read_newest(streams.MEMBERS, read))


def _turns_during(read: collections.abc.Awaitable[object]) -> int:
    """Return how often other work of the event loop runs during a read."""

    async def count() -> int:
        turns = 0
        task = asyncio.ensure_future(read)
        while not task.done():
            turns += 1
            await asyncio.sleep(0)
        await task
        return turns

    return asyncio.run(count())


# Guards against a page of another writer that keeps all requests waiting for a second.
@pytest.mark.parametrize("stream", [streams.MEMBERS, streams.ROUTES])
def test_other_work_has_its_turn_while_a_page_is_decoded(stream: str) -> None:
    turns = 5_000 // log_entries.ENTRIES_AT_ONCE
    record = b"\x06config{"
    body = (struct.pack(">I", len(record)) + record) * 5_000
    answers = _Answers(struct.pack(">QQ", 5_000, 0) + body)
    assert _turns_during(answers.read(stream, 0)) >= turns
    items = b",".join([_item("config")] * 5_000)
    content = b'{"items": [%b], "end_offset": 9, "has_more": false}' % items
    assert _turns_during(_Answers(content).newest(stream)) >= turns


def test_a_key_that_is_not_utf_8_is_kept_as_its_bytes() -> None:
    page = _page(_item("nX").replace(b"nX", b"n\xff\xc3"), _item("n1"))
    assert [entry.key for entry in page.entries] == [b"n\xff\xc3", b"n1"]
    assert all(entry.value for entry in page.entries)
    assert page.entries[0].offset == 3


def test_the_place_of_a_page_is_sent_as_the_bytes_of_its_key() -> None:
    answers = store.Store(builders.settings().log)
    resources: list[str] = []

    async def call(_: str, resource: str, **__: object) -> http_calls.Answer:
        resources.append(resource)
        return http_calls.Answer(200, json.dumps(PAGE).encode())

    answers._peer.call = call  # type: ignore[method-assign]
    asyncio.run(answers._newest_page(streams.MEMBERS, b"n\xff\xc3&"))
    assert resources[0].endswith("&after=n%FF%C3%26")
