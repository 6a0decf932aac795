"""Reports of the load of a backend server: how they are read, counted and logged."""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from gingerturn import dialect
from gingerturn.internal import ids, logs
from gingerturn.internal.core import messages, pace
from gingerturn.internal.shell import (
    backend_pool,
    clock,
    exchanges,
    node as nodes,
    probes,
)
from gingerturn.internal.wire import frames
from tests.common import builders

NAME = b"gingerturn-load"


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,0,8", messages.BackendLoad(3, 0, 8)),
        (b"3, 12 ,8,250", messages.BackendLoad(3, 12, 8, 250)),
        (b"80,0,8,1", messages.BackendLoad(80, 0, 8, 1)),
        (b"0,0,1,10000", messages.BackendLoad(0, 0, 1, 10_000)),
    ],
)
def test_three_or_four_whole_numbers_are_a_load(
    value: bytes, load: messages.BackendLoad
) -> None:
    assert pace.parse(value) == load


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"3,0",
        b"3,0,8,100,1",
        b"3,0,0",
        b"3,-1,8",
        b"81,0,8",
        b"3,0,8,0",
        b"3,0,8,10001",
        b"3,0,8,1.5",
        b"3,0,8,",
        b"+3,0,8",
        b"3,0,8_0",
        b"3 0 8",
        b"3,0," + b"0" * 70 + b"8",
        "3,0,\u0668".encode(),
        b"3,0,nan",
    ],
)
def test_another_value_is_an_error_that_names_it(value: bytes) -> None:
    with pytest.raises(ValueError, match="is no load; allowed are") as found:
        pace.parse(value)
    assert repr(value[:16].decode("latin-1"))[:-1] in str(found.value)


FIGURES = st.lists(st.integers(-3, 11_000), max_size=6).map(
    lambda figures: ",".join(map(str, figures)).encode()
)


# Guards against a report that stops the node or exceeds its bounds.
@hypothesis.given(st.one_of(st.binary(max_size=80), FIGURES))
@hypothesis.settings(max_examples=500)
def test_any_bytes_are_a_load_within_bounds_or_an_error(value: bytes) -> None:
    try:
        load = pace.parse(value)
    except ValueError:
        return
    assert load.slots >= 1
    assert 0 <= load.running <= pace.MAX_RUNNING_SHARE * load.slots
    assert load.waiting >= 0
    assert 0 <= load.pace <= pace.MAX_PACE


# Guards against one log line for each answer with another invalid value.
def test_invalid_loads_are_counted_and_logged_once_a_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = 1_000_000.0
    skipped: list[str] = []
    monkeypatch.setattr(clock, "now", lambda: now)
    monkeypatch.setattr(
        logs, "warn_skipped", lambda what, key, problem: skipped.append(problem)
    )
    pool = backend_pool.Pool(dialect.DEFAULT)
    for number in range(30):
        value = b"%d,0,0" % number
        assert pool.read_load([(NAME, value)], {NAME: value}) is None
        now += 100.0
    assert pool.invalid_load_reports == 30
    assert len(skipped) == 3
    assert pool.read_load([(NAME, b"1,0,2")], {NAME: b"1,0,2"}) is not None
    assert pool.load_reports == 1


def test_of_two_headers_none_is_used() -> None:
    pool = backend_pool.Pool(dialect.DEFAULT)
    headers = [(NAME, b"1,0,2"), (NAME, b"1,0,2,250")]
    assert pool.read_load(headers, dict(headers)) is None


def test_metrics_show_the_pace_with_its_age_and_count_reports() -> None:
    node = nodes.Node(builders.settings())
    tracker = node.state.backend.pace_tracker
    assert b"gingerturn_backend_pace_age_ms -1\n" in probes.metrics(node)
    pace.record(tracker, messages.BackendLoad(3, 0, 8, 250), 3, 1_000.0)
    node.state.now = 1_040.0
    node.home.pool.read_load([(NAME, b"3,0,8")], {NAME: b"3,0,8"})
    node.home.pool.read_load([(NAME, b"x")], {NAME: b"x"})
    lines = probes.metrics(node).decode().splitlines()
    for line in (
        "gingerturn_backend_pace 250",
        "gingerturn_backend_pace_age_ms 40",
        "gingerturn_backend_load_reports_total 1",
        "gingerturn_backend_invalid_load_reports_total 1",
        "gingerturn_upstreams_slow 0",
    ):
        assert line in lines


class _Channel:
    """A channel to an entry node that records the frames sent."""

    peer = ids.NodeId("entry")

    is_backed_up = False

    def __init__(self) -> None:
        self.hosted: dict[int, ids.HostedId] = {}
        self.sent: list[frames.Frame] = []

    def send(self, frame: frames.Frame) -> None:
        self.sent.append(frame)


# Guards against a report that is read and never reaches the entry nodes.
@pytest.mark.parametrize("length", [3, 10_000_000])
def test_an_answer_with_a_load_carries_the_pace_to_the_entry_node(
    monkeypatch: pytest.MonkeyPatch, length: int
) -> None:
    monkeypatch.setattr(exchanges.HostedExchange, "dispatch", lambda self, effect: None)
    channel = _Channel()
    node = nodes.Node(builders.settings("home"))
    node.apply(builders.announced("plans", now=clock.now()))
    opened = frames.Open(
        call=7,
        terms=builders.call_metadata(),
        head=b"GET / HTTP/1.1\r\n",
        body=b"",
        whole=True,
    )
    node.home.on_frame(channel, opened)  # type: ignore[arg-type]
    (exchange,) = node.home._exchanges.values()
    exchange.on_load(messages.BackendLoad(3, 0, 8, 250))
    exchange.on_head(200, b"HTTP/1.1 200 OK\r\n", length, rejection=None)
    if length == 3:
        exchange.on_body(b"abc")
        exchange.on_end()
    (answer,) = channel.sent
    assert isinstance(answer, frames.Answer)
    assert answer.report.pace == 250
    assert answer.report.pace_age_ms < 1_000
    # The frame of a node of an earlier version has no pace.
    earlier = msgspec.msgpack.encode(answer.report)
    fields = msgspec.msgpack.decode(earlier)[:-2]
    decoded = msgspec.convert(fields, messages.LoadReport)
    assert decoded == msgspec.structs.replace(answer.report, pace=0, pace_age_ms=0)
