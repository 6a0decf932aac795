"""Requests that offer another protocol (``Upgrade``), which a server may ignore."""

import httptools
import hypothesis
import pytest
from hypothesis import strategies as st

from gingerturn.internal.shell import lingering, request_parser, side_http
from tests.common import transports
from tests.cover import test_pipelined_requests as pipelined

OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AA\r\n"
BODY = b"amount=7&to=1234"


def _request(
    method: bytes,
    target: bytes,
    *,
    fields: bytes = b"",
    body: bytes = b"",
    size: int = 0,
) -> bytes:
    """Return a request, its body in chunks of ``size`` bytes if that is set."""
    head = method + b" " + target + b" HTTP/1.1\r\nHost: shop.example\r\n" + fields
    if size:
        pieces = [body[at : at + size] for at in range(0, len(body), size)]
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces)
        return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
    if body:
        head += b"Content-Length: %d\r\n" % len(body)
    return head + b"\r\n" + body


# An order with an offer ran with an empty body, and the refusal of the offer answered
# the next request of its connection.
@pytest.mark.parametrize("size", [0, 5], ids=["length", "chunks"])
@pytest.mark.parametrize("step", [1, 7, 10_000])
def test_a_request_with_an_offer_keeps_its_body(step: int, size: int) -> None:
    caller = pipelined.Caller()
    order = _request(b"POST", b"/post/1", fields=OFFER, body=BODY, size=size)
    sent = order + _request(b"GET", b"/a/2")
    for at in range(0, len(sent), step):
        caller.receive(sent[at : at + step])
    assert bytes(caller.dispatched[0].body) == BODY
    assert caller.dispatched[0].complete
    caller.answer(0)
    assert [r.target for r in caller.dispatched] == [b"/post/1", b"/a/2"]
    caller.answer(1)
    assert caller.bodies() == [b"/post/1", b"/a/2"]
    assert b" 400 " not in caller.transport.written


def test_an_offer_is_not_passed_on() -> None:
    caller = pipelined.Caller()
    caller.receive(_request(b"POST", b"/post/1", fields=OFFER, body=BODY))
    head = caller.dispatched[0].head.lower()
    assert b"upgrade" not in head
    assert b"http2-settings" not in head
    assert b"content-length: 16\r\n" in head


def test_a_request_with_an_offer_may_close_its_connection() -> None:
    caller = pipelined.Caller()
    closing = b"Connection: close, Upgrade\r\nUpgrade: h2c\r\n"
    caller.receive(_request(b"POST", b"/post/1", fields=closing, body=BODY))
    caller.answer(0)
    assert b"connection: close\r\n" in caller.transport.written
    assert caller.connection.closing


def test_a_tunnel_is_refused() -> None:
    caller = pipelined.Caller()
    caller.receive(b"CONNECT shop.example:80 HTTP/1.1\r\nHost: shop.example\r\n\r\nab")
    assert b" 400 " in caller.transport.written
    assert not caller.dispatched


# Announcements with an offer lost their body, too.
def test_a_report_with_an_offer_keeps_its_body() -> None:
    bodies: list[bytes] = []

    def handle(request: side_http.Request) -> side_http.Reply:
        bodies.append(request.body)
        return side_http.Reply(200, b"{}")

    connection = side_http.Connection(
        handle, lingering.Lingering(), side_http.Connections()
    )
    transport = transports.Transport()
    connection.connection_made(transport)  # type: ignore[arg-type]
    for _ in range(2):
        connection.data_received(_request(b"POST", b"/x", fields=OFFER, body=BODY))
    assert bodies == [BODY, BODY]
    assert transport.written.count(b"HTTP/1.1 200 ") == 2


class _Recorded:
    """The requests that a parser reports."""

    def __init__(self) -> None:
        self.requests: list[tuple[bytes, bytes, bytes]] = []
        self._target = b""
        self._body = b""
        self._framing = b""
        self.parser = request_parser.RequestParser(self)

    def on_message_begin(self) -> None:
        self._target = self._body = self._framing = b""

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() in {b"content-length", b"transfer-encoding"}:
            self._framing = b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        pass

    def framing_line(self) -> bytes:
        return self._framing

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        found = (self.parser.get_method(), self._target, self._body)
        self.requests.append(found)


REQUESTS = st.lists(
    st.tuples(
        st.sampled_from([b"GET", b"POST", b"PUT", b"HEAD"]),
        st.binary(max_size=20),
        st.booleans(),
        st.sampled_from([0, 1, 4]),
    ),
    min_size=1,
    max_size=5,
)


# Any requests, with and without offers, in any framing and cut at any places.
@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
@hypothesis.given(REQUESTS, st.lists(st.integers(1, 60), min_size=1, max_size=10))
def test_requests_are_reported_as_they_were_sent(
    requests: list[tuple[bytes, bytes, bool, int]], steps: list[int]
) -> None:
    sent = b""
    expected = []
    for number, (method, body, offers, size) in enumerate(requests):
        target = b"/%d" % number
        fields = OFFER if offers else b""
        sent += _request(method, target, fields=fields, body=body, size=size)
        expected.append((method, target, body))
    recorded = _Recorded()
    while sent:
        step = steps[len(sent) % len(steps)]
        recorded.parser.feed_data(sent[:step])
        sent = sent[step:]
    assert recorded.requests == expected


def test_bytes_that_are_no_request_behind_an_offer_are_an_error() -> None:
    recorded = _Recorded()
    recorded.parser.feed_data(_request(b"GET", b"/1", fields=OFFER))
    with pytest.raises(httptools.HttpParserError):
        recorded.parser.feed_data(b"\x16\x03\x01\r\n\r\n")
