"""Decoders take any input: they return values within bounds or raise an error of ours.

Each property is checked to fail without the mechanism that it rests on.
"""

import collections.abc
import io
import json
import math
import pathlib
import typing

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from gingerturn import announcements, configuration, errors, explain, metrics_text
from gingerturn.internal import checks, decoding, ids
from gingerturn.internal.core import (
    decisions,
    messages,
    pace,
    rate_limits,
    trace,
)
from gingerturn.internal.shell import (
    caller_requests,
    heads,
    node as nodes,
    side_http,
    tickets,
)
from gingerturn.internal.wire import datagrams, frames, schema
from gingerturn_platform import beats, boot
from tests.common import builders

SECRET = b"a secret of the tests"
DEEP = 100_000

numbers = st.one_of(
    st.integers(),
    st.integers(min_value=-(1 << 70), max_value=1 << 70),
    st.sampled_from([(1 << 62) + 1, 1 << 63, (1 << 64) - 1, -1, 0, 10**40]),
    st.floats(allow_nan=False, allow_infinity=False),
)
values = st.recursive(
    st.one_of(st.none(), st.booleans(), numbers, st.text(max_size=40)),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
long_numbers = st.integers(min_value=1, max_value=6_000).map(lambda n: "9" * n)
raw_values = st.one_of(
    values.map(json.dumps),
    long_numbers,
    st.sampled_from(["1e400", "-1e400", "NaN", '"\\ud800"', "0." + "3" * 5_000]),
    st.sampled_from([1_000, DEEP]).map(lambda n: "[" * n + "]" * n),
    st.sampled_from([1_000, DEEP]).map(lambda n: '{"a":' * n + "1" + "}" * n),
    st.integers(min_value=1_000, max_value=60_000).map(lambda n: f'"{"x" * n}"'),
)
some = hypothesis.settings(
    max_examples=100,
    deadline=None,
    suppress_health_check=[
        hypothesis.HealthCheck.function_scoped_fixture,
        hypothesis.HealthCheck.too_slow,
    ],
)


def _texts(sample: dict[str, object]) -> collections.abc.Iterator[tuple[str, ...]]:
    """Yield the path of each field."""
    for name, value in sample.items():
        yield (name,)
        if isinstance(value, dict):
            for path in _texts(value):
                yield (name, *path)


def _with(sample: dict[str, typing.Any], path: tuple[str, ...], value: str) -> bytes:
    """Return a sample as JSON, with other JSON in one place."""
    copied = json.loads(json.dumps(sample))
    *outer, last = path
    inner = copied
    for name in outer:
        inner = inner[name]
    inner[last] = "HERE"
    return json.dumps(copied).replace('"HERE"', value).encode(errors="replace")


BEAT: dict[str, typing.Any] = {
    "address": "10.0.0.7:8080",
    "node_info": {"service_name": "plans", "slots": 9},
    "status": {"state": "ready", "sequence": 4, "cold_remaining_ms": 0},
    "born": 0,
    "other": 1,
}


def check_heartbeat(body: bytes, path: str = "heartbeat") -> None:
    """Check that a report is taken or refused, and that what is taken can be sent."""
    node = nodes.Node(builders.settings())
    handle = beats.handler(node)
    reply = handle(side_http.Request("POST", f"/instances/i-9/{path}", body))
    assert reply.status in {200, 400}
    assert len(reply.body) <= 4_096
    backend = node.state.backend
    assert 0 <= backend.slots <= announcements.MAX_SLOTS
    if reply.status == 200:
        msgspec.msgpack.encode(backend.slots)
        assert 0 <= backend.started_ms <= announcements.MAX_TIME_MS


@some
@hypothesis.given(st.sampled_from(list(_texts(BEAT))), raw_values)
def test_any_value_in_any_field_of_a_heartbeat(
    path: tuple[str, ...], value: str
) -> None:
    check_heartbeat(_with(BEAT, path, value))


@some
@hypothesis.given(st.one_of(st.binary(), raw_values.map(str.encode)))
def test_any_bytes_as_a_report(body: bytes) -> None:
    check_heartbeat(body)
    check_heartbeat(body, "deregister")


BOOT: dict[str, typing.Any] = {
    "node_id": "n1",
    "ip": "127.0.0.1",
    "zone": "a",
    "region": "r",
    "listen": {
        "inbound": "127.0.0.1:1",
        "outbound": "127.0.0.1:2",
        "ready": "127.0.0.1:3",
        "control": "127.0.0.1:4",
    },
    "port_range": [7_000, 7_010],
    "service_name": "plans",
    "platform_config": {"address": "127.0.0.1:9"},
    "bounds": {"grace_s": 6, "retry_window_s": 10, "revoke_ms": 5, "fail_closed": True},
    "other": 1,
}


def check_boot(path: pathlib.Path, content: bytes) -> None:
    """Check that the platform's settings give valid ones, or an error of ours."""
    path.write_bytes(content)
    try:
        found = boot.to_settings(boot.load(path))
    except errors.InvalidDocument:
        return
    assert 0 < found.node.gossip_port <= checks.MAX_PORT
    assert 0 <= found.node.drain_timeout_ms <= 600_000


@some
@hypothesis.given(st.sampled_from(list(_texts(BOOT))), raw_values)
def test_any_value_in_any_field_of_the_platforms_settings(
    tmp_path: pathlib.Path, path: tuple[str, ...], value: str
) -> None:
    check_boot(tmp_path / "boot.json", _with(BOOT, path, value))


toml_values = st.one_of(
    long_numbers,
    st.sampled_from(["nan", "inf", "-1", "1979-05-27", "0x" + "f" * 5_000]),
    st.sampled_from([100, 3_000]).map(lambda n: "[" * n + "]" * n),
    st.text(max_size=40),
)


@some
@hypothesis.given(st.sampled_from(["slots", "retry_share", "name", "x"]), toml_values)
def test_any_value_in_a_document_of_a_team(field: str, value: str) -> None:
    text = f'[[service]]\n{field} = {value}\n[[kind]]\nname = "top"\n'
    try:
        found = configuration.parse(text, "plans.toml")
    except errors.InvalidDocument:
        return
    for service in found.service:
        assert 0.0 <= service.retry_share <= decoding.MAX_NUMBER


def check_datagram(content: bytes) -> None:
    """Check that a datagram is refused, or that what it says can be sent on."""
    datagram = datagrams.mac(SECRET, content) + content
    try:
        sender, _, message = datagrams.decode([SECRET], datagram)
    except errors.FrameError:
        return
    for member in message.members:
        assert checks.NAME_PATTERN.match(member.node)
    datagrams.encode(SECRET, sender, 1.0, message)


NUMBERS_OF_MEMBERS = {
    "incarnation": 64,
    "version": 32,
    "state": 8,
    "peersPort": 16,
    "gossipPort": 16,
    "slots": 32,
    "backendStartedMs": 64,
}
member_fields = st.one_of(
    st.sampled_from(list(NUMBERS_OF_MEMBERS)).flatmap(
        lambda field: st.tuples(
            st.just(field), st.integers(0, (1 << NUMBERS_OF_MEMBERS[field]) - 1)
        )
    ),
    st.tuples(
        st.sampled_from(["node", "host", "zone", "service"]),
        st.text(st.characters(exclude_categories=["Cs"]), max_size=80),
    ),
)
message_fields = st.one_of(
    st.tuples(st.just("kind"), st.integers(0, 255)),
    st.tuples(
        st.sampled_from(["sequence", "logEpoch", "configDigest"]),
        st.integers(0, (1 << 32) - 1),
    ),
    st.tuples(
        st.sampled_from(["revision", "routeVersion"]), st.integers(0, (1 << 64) - 1)
    ),
    st.tuples(
        st.sampled_from(["provenAgeMs", "readAgeMs", "sentAtMs"]), st.floats(width=32)
    ),
    st.tuples(
        st.sampled_from(["target", "cursor", "sender"]),
        st.text(st.characters(exclude_categories=["Cs"]), max_size=80),
    ),
    st.tuples(st.just("caps"), st.binary(max_size=60)),
)


def message_with(
    fields: list[tuple[str, object]], members: list[list[tuple[str, object]]]
) -> bytes:
    """Return the content of a datagram with these fields."""
    root = schema.peer.Gossip.new_message()
    root.sender, root.sentAtMs = "n2", 1.0
    for field, value in fields:
        setattr(root, field, value)
    usual = [
        ("node", "n3"),
        ("host", "10.0.0.3"),
        ("zone", "a"),
        ("peersPort", 7_000),
        ("gossipPort", 7_000),
    ]
    slots = root.init("members", len(members))
    for slot, changes in zip(slots, members, strict=True):
        for field, value in [*usual, *changes]:
            setattr(slot, field, value)
    content: bytes = root.to_bytes_packed()
    return content


@some
@hypothesis.given(
    st.lists(message_fields, max_size=3),
    st.lists(st.lists(member_fields, max_size=2), max_size=3),
)
def test_any_value_in_any_field_of_a_datagram(
    fields: list[tuple[str, object]], members: list[list[tuple[str, object]]]
) -> None:
    check_datagram(message_with(fields, members))


@some
@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 90), st.integers(0, 255)), max_size=5)
)
def test_any_changed_bytes_of_a_datagram(changes: list[tuple[int, int]]) -> None:
    content = bytearray(message_with([], [[], [], []]))
    for position, byte in changes:
        content[position % len(content)] = byte
    check_datagram(bytes(content))


FRAMES: list[list[typing.Any]] = [
    [1, 1, ["plans", "top", 1, 0, 5, "t", 900.0, 0, True], b"", b"", True],
    [
        2,
        1,
        200,
        0,
        [0, 0, 1, 8, False, "", 0.0, 0, 0.0, ["i", 1.0]],
        "",
        b"",
        b"",
        True,
    ],
    [3, 1, [4, "not-run", 5.0, ""], 0, [0, 0, 1, 8]],
    [4, 1, b"x", True],
    [5, 1],
    [7, 1, 5],
    [8, 0, "n", 5, b"n"],
    [9, 1, "", 5, False],
    [12, 1, [0, 0, 1, 8]],
    [13, 0],
]
packed_values = st.one_of(
    st.integers(-(1 << 63), (1 << 64) - 1),
    st.floats(),
    st.binary(max_size=20),
    st.text(st.characters(exclude_categories=["Cs"]), max_size=20),
    st.sampled_from([math.nan, math.inf, (1 << 64) - 1, -1, None, [], {}]),
)


def check_frame(content: bytes) -> None:
    """Check that a frame is refused, or that what it says can be used."""
    try:
        frame = frames.decode(content)
    except errors.FrameError:
        return
    assert frames.decode(frames.encode(frame)[frames.LENGTH_BYTES :]) == frame
    if isinstance(frame, frames.Open):
        assert math.isfinite(frame.terms.deadline_ms)
        assert 0 <= frame.terms.root < 1 << 64
        assert 0 <= frame.terms.importance <= messages.MAX_IMPORTANCE
    if isinstance(frame, frames.Refuse):
        heads.problem(
            status=503,
            outcome=frame.refusal.outcome,
            title="refused",
            retry_after_ms=frame.refusal.retry_after_ms,
            decision=frame.refusal.decision,
            close=False,
        )
        decisions.known_rule(frame.refusal.rule)
    if isinstance(frame, frames.Answer):
        assert heads.status_line(frame.status)


@some
@hypothesis.given(st.sampled_from(FRAMES), st.data())
def test_any_value_in_any_field_of_a_frame(
    sample: list[typing.Any], data: st.DataObject
) -> None:
    frame = msgspec.msgpack.decode(msgspec.msgpack.encode(sample))
    part = frame
    nested = [value for value in frame if isinstance(value, list)]
    if nested and data.draw(st.booleans()):
        part = nested[0]
    position = data.draw(st.integers(1, len(part) - 1)) if part is frame else None
    if position is None:
        position = data.draw(st.integers(0, len(part) - 1))
    part[position] = data.draw(packed_values)
    check_frame(msgspec.msgpack.encode(frame))


@some
@hypothesis.given(
    st.one_of(
        st.binary(),
        st.sampled_from([b"\x91", b"\x81\xa1a", b"\xdd\xff\xff\xff\xff"]).map(
            lambda level: b"\x93\x05\x01" + level * DEEP
        ),
    )
)
def test_any_bytes_as_a_frame_an_event_a_line_and_a_ticket(content: bytes) -> None:
    check_frame(content)
    check_datagram(content)
    framed = len(content).to_bytes(4, "big") + content
    try:
        list(trace.read(io.BytesIO(framed)))
    except errors.InvalidArgument as error:
        assert "no event" in str(error)
    explain.read([io.BytesIO(content)])
    text = content.decode("latin-1")
    with pytest.raises(errors.InvalidArgument):
        tickets.check([SECRET], text, service="plans", now=builders.START)
    try:
        metrics_text.summary(metrics_text.parse(text, origin="n1"))
    except errors.InvalidArgument as error:
        assert "metrics" in str(error) or "sample" in str(error)
    heads.parse_traceparent(content)
    log = decisions.DecisionLog(node=ids.NodeId("n1"), size=4)
    assert log.find(f"n1:{text}") is None


header_values = st.one_of(
    st.binary(max_size=70),
    st.from_regex(rb"[0-9., eE+\-]{0,70}", fullmatch=True),
    st.integers(0, 1 << 70).map(lambda n: b"%d" % n),
    st.integers(1, 6_000).map(lambda n: b"0" * n + b"7"),
    long_numbers.map(str.encode),
)


def check_header(value: bytes) -> None:
    """Check the numbers that are read of the heads of callers and backend servers."""
    request = caller_requests.Request(typing.cast(typing.Any, None))
    request.headers = [(b"content-length", value), (b"x", value)]
    request.index_headers()
    assert 0 <= caller_requests.declared_length(request) <= decoding.MAX_WHOLE
    number = caller_requests.number_header(request, b"x")
    assert 0.0 <= number <= caller_requests.MAX_HEADER_NUMBER
    try:
        assert 0.0 <= rate_limits.parse(value) <= rate_limits.MAX_LIMIT
    except ValueError as error:
        assert "is no rate limit" in str(error)
    try:
        load = pace.parse(value)
    except ValueError as error:
        assert "is no load" in str(error)
    else:
        assert 0 < load.slots < 10**9


@some
@hypothesis.given(header_values)
def test_any_value_of_a_header_with_a_number(value: bytes) -> None:
    check_header(value)


# Guards against properties that hold whether or not the mechanism works.
def test_the_property_of_reports_fails_without_the_boundary(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    nested = _with(BEAT, ("other",), "[" * DEEP + "]" * DEEP)
    check_heartbeat(nested)
    monkeypatch.setattr(
        decoding, "json_decoder", lambda kind: msgspec.json.Decoder(kind).decode
    )
    with pytest.raises(RecursionError):
        check_heartbeat(nested)


def test_the_property_of_settings_fails_without_the_range_of_numbers(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    content = _with(BOOT, ("bounds", "retry_window_s"), "1e306")
    check_boot(tmp_path / "boot.json", content)
    monkeypatch.setattr(decoding, "MAX_NUMBER", decoding.MAX_FLOAT)
    with pytest.raises(OverflowError):
        check_boot(tmp_path / "boot.json", content)


def test_the_property_of_datagrams_fails_without_the_check_of_members(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    content = message_with([], [[("node", "é")]])
    check_datagram(content)
    monkeypatch.setattr(datagrams, "_check_member", lambda member: None)
    with pytest.raises(AssertionError):
        check_datagram(content)


def test_the_property_of_frames_fails_without_the_boundary(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    nested = b"\x93\x05\x01" + b"\x91" * DEEP + b"\x01"
    check_frame(nested)
    monkeypatch.setattr(frames, "_decode", msgspec.msgpack.Decoder(frames.Frame).decode)
    with pytest.raises(RecursionError):
        check_frame(nested)


def test_the_property_of_headers_fails_without_the_bounded_parser(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    check_header(b"9" * 5_000)
    monkeypatch.setattr(decoding, "parse_whole", lambda text, *, most: int(text))
    with pytest.raises(ValueError, match="digits"):
        check_header(b"9" * 5_000)
