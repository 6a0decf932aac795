"""Heads of callers and of backend servers with odd numbers and texts.

Guards against a head that ends its connection without an answer, and against numbers
that pass and that frames cannot hold.
"""

import re
import typing

import pytest

from gingerturn import dialect, errors
from gingerturn.internal import decoding
from gingerturn.internal.core import events, rate_limits
from gingerturn.internal.shell import (
    backend_http,
    backend_pool,
    caller_requests,
    heads,
    ingress,
    node as nodes,
    side_http,
    tickets,
)
from tests.common import builders, transports

SECRET = b"a secret of the tests"


def _serve(
    *headers: bytes, body: bytes = b""
) -> tuple[int, list[tuple[caller_requests.Request, events.CallArrived]]]:
    """Return the status of the node's own answer, if any, and what it dispatched."""
    node = nodes.Node(builders.settings())
    node.knows_service = lambda service: True  # type: ignore[method-assign]
    dispatched: list[tuple[caller_requests.Request, events.CallArrived]] = []
    node.entry.begin_request = (  # type: ignore[method-assign]
        lambda request, arrival: dispatched.append((request, arrival))
    )
    connection = ingress.CallerConnection(node)
    transport = transports.Transport()
    connection.connection_made(transport)  # type: ignore[arg-type]
    head = b"\r\n".join((b"POST /x HTTP/1.1", b"host: plans", *headers))
    connection.data_received(head + b"\r\n\r\n" + body)
    status = re.match(rb"HTTP/1\.1 (\d\d\d) ", bytes(transport.written))
    assert status or dispatched
    return int(status[1]) if status else 0, dispatched


def test_a_content_length_with_many_leading_zeros_is_served() -> None:
    length = b"content-length: " + b"0" * 5_000 + b"3"
    _, dispatched = _serve(length, body=b"abc")
    assert bytes(dispatched[0][0].body) == b"abc"


def test_a_streamed_body_is_announced_by_a_length_without_leading_zeros() -> None:
    node = nodes.Node(builders.settings())
    size = node.settings.limits.body_buffer + 10
    length = b"content-length: " + b"0" * 5_000 + b"%d" % size
    _, dispatched = _serve(length, body=b"x" * (size - 5))
    head = dispatched[0][0].head
    assert b"\r\ncontent-length: %d\r\n" % size in head


@pytest.mark.parametrize("length", [1 << 63, (1 << 64) - 1])
def test_a_content_length_beyond_every_limit_is_refused(length: int) -> None:
    status, dispatched = _serve(b"content-length: %d" % length)
    assert (status, dispatched) == (413, [])


@pytest.mark.parametrize("tag", [b"\xe9", b"\xff" * 32, b"", b"0" * 5_000])
def test_a_ticket_that_is_not_authentic_is_refused_whatever_its_characters(
    tag: bytes,
) -> None:
    status, dispatched = _serve(b"idempotency-key: gt1.1.2.3.plans.n1." + tag)
    assert (status, dispatched) == (400, [])


@pytest.mark.parametrize("text", ["gt1.x", "gt1.é", "gt1.1.2.3.plans.n1.é", "gt1."])
def test_the_check_of_a_ticket_raises_only_its_own_error(text: str) -> None:
    with pytest.raises(errors.InvalidArgument, match="check a ticket"):
        tickets.check([SECRET], text, service="plans", now=builders.START)


@pytest.mark.parametrize("digit", ["+", "-", "_", " ", "g", "é", "x"])
def test_a_traceparent_with_other_characters_than_digits_is_ignored(digit: str) -> None:
    trace, span = f"1{digit}{'1' * 30}", f"1{digit}{'2' * 14}"
    for value in (f"00-{trace}-{'2' * 16}-01", f"00-{'1' * 32}-{span}-01"):
        assert heads.parse_traceparent(value.encode("latin-1")) is None
    valid = f"00-{'f' * 32}-{'F' * 16}-01".encode()
    assert heads.parse_traceparent(valid) == ("f" * 32, "f" * 16)


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"0", 0.0),
        (b"250", 250.0),
        (b"0" * 5_000 + b"250", 250.0),
        (b"999999999", 999_999_999.0),
        (b"1000000000", 0.0),
        (b"9" * 5_000, 0.0),
        (b"1_0", 0.0),
        (b"-1", 0.0),
        (b"1e9", 0.0),
        (b"\xb2", 0.0),
    ],
)
def test_a_timeout_out_of_range_counts_as_none(value: bytes, expected: float) -> None:
    _, dispatched = _serve(b"gingerturn-timeout-ms: " + value)
    assert dispatched[0][1].timeout_ms == expected


class _Receiver:
    """Records the callbacks of an exchange."""

    def __init__(self) -> None:
        self.lengths: list[int] = []
        self.heads: list[bytes] = []
        self.rates: list[float] = []
        self.ends = 0
        self.failures = 0

    def on_report(self, rate_limit: float, *, leaving: bool) -> None:
        self.rates.append(rate_limit)

    def on_load(self, load: object) -> None:
        pass

    def on_head(
        self, status: int, head: bytes, length: int, *, rejection: object
    ) -> None:
        self.lengths.append(length)
        self.heads.append(head)

    def on_body(self, body: bytes) -> None:
        pass

    def on_end(self) -> None:
        self.ends += 1

    def on_failure(self, *, dispatched: bool) -> None:
        self.failures += 1


def _answer(
    *headers: bytes, body: bytes = b"", head_only: bool = False
) -> tuple[_Receiver, transports.Transport]:
    connection = backend_http.Connection(backend_pool.Pool(dialect.DEFAULT))
    transport = transports.Transport()
    connection.connection_made(transport)  # type: ignore[arg-type]
    receiver = _Receiver()
    connection.begin(
        typing.cast(backend_http.Receiver, receiver),
        b"GET / HTTP/1.1\r\n",
        b"",
        request_id=b"",
        head_only=head_only,
    )
    head = b"\r\n".join((b"HTTP/1.1 200 OK", *headers))
    connection.data_received(head + b"\r\n\r\n" + body)
    return receiver, transport


def test_an_answer_whose_length_has_many_leading_zeros_is_passed_on() -> None:
    length = b"content-length: " + b"0" * 5_000 + b"3"
    receiver, _ = _answer(length, body=b"abc")
    assert (receiver.lengths, receiver.ends, receiver.failures) == ([3], 1, 0)


def test_an_answer_to_head_is_passed_on_with_a_length_without_leading_zeros() -> None:
    receiver, _ = _answer(b"content-length: " + b"0" * 5_000 + b"3", head_only=True)
    assert receiver.heads[0].endswith(b"\r\ncontent-length: 3\r\n")


@pytest.mark.parametrize("length", [1 << 63, (1 << 64) - 1])
def test_an_answer_whose_length_frames_cannot_hold_fails(length: int) -> None:
    receiver, transport = _answer(b"content-length: %d" % length)
    assert (receiver.lengths, receiver.failures) == ([], 1)
    assert transport.closed


@pytest.mark.parametrize("value", [b"9" * 60, b"1e99", b"1e10"])
def test_a_rate_limit_is_at_most_the_largest_that_nodes_pass_on(value: bytes) -> None:
    receiver, _ = _answer(
        b"content-length: 0", dialect.DEFAULT.rate_limit + b": " + value
    )
    assert receiver.rates == [rate_limits.MAX_LIMIT]
    assert rate_limits.MAX_LIMIT < decoding.MAX_NUMBER


def test_a_long_target_of_a_report_is_refused() -> None:
    replies: list[side_http.Request] = []

    def handle(request: side_http.Request) -> side_http.Reply:
        replies.append(request)
        return side_http.Reply(200)

    lingering = nodes.Node(builders.settings()).lingering
    connections = side_http.Connections()
    connection = side_http.Connection(handle, lingering, connections)
    transport = transports.Transport()
    connection.connection_made(transport)  # type: ignore[arg-type]
    connection.data_received(b"GET /")
    for _ in range(40):
        connection.data_received(b"i" * 1_000)
    connection.data_received(b" HTTP/1.1\r\nhost: n\r\n\r\n")
    assert bytes(transport.written).startswith(b"HTTP/1.1 414 ")
    assert not replies
