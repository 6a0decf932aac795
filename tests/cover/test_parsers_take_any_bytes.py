"""Parsers of callers' and backend servers' bytes accept arbitrary input."""

import math
import re

import hypothesis
import pytest
from hypothesis import strategies as st

from gingerturn import dialect
from gingerturn.internal import ids
from gingerturn.internal.core import messages
from gingerturn.internal.shell import (
    backend_http,
    backend_pool,
    caller_requests,
    ingress,
    node as nodes,
)
from tests.common import builders, transports

PIECES = st.lists(
    st.one_of(
        st.binary(max_size=60),
        st.sampled_from(
            [
                b"GET / HTTP/1.1\r\n",
                b"PUT /x HTTP/1.1\r\n",
                b"host: plans\r\n",
                b"host: nobody\r\n",
                b"content-length: 3\r\n",
                b"content-length: 99999999999999999999\r\n",
                b"transfer-encoding: chunked\r\n",
                b"expect: 100-continue\r\n",
                b"idempotency-key: gt1.x\r\n",
                b"\r\n",
                b"abc",
                b"3\r\nabc\r\n0\r\n\r\n",
                b"HTTP/1.1 200 OK\r\n",
                b"gingerturn-load: 3,0,8,250\r\n",
                b"gingerturn-load: 3,0,0\r\n",
                b"HTTP/1.1 100 Continue\r\n\r\n",
                b"HTTP/1.1 204 No Content\r\n\r\n",
            ]
        ),
    ),
    max_size=14,
)


class Receiver:
    """Counts the final callbacks of an exchange."""

    def __init__(self) -> None:
        self.ends = 0
        self.failures = 0

    def on_report(self, rate_limit: float, *, leaving: bool) -> None:
        assert rate_limit == -1.0 or 0.0 <= rate_limit < math.inf

    def on_load(self, load: messages.BackendLoad) -> None:
        assert load.slots >= 1

    def on_head(
        self,
        status: int,
        head: bytes,
        length: int,
        *,
        rejection: backend_http.Rejection | None,
    ) -> None:
        assert 200 <= status <= 999

    def on_body(self, body: bytes) -> None:
        assert not self.ends

    def on_end(self) -> None:
        self.ends += 1

    def on_failure(self, *, dispatched: bool) -> None:
        self.failures += 1


@hypothesis.given(PIECES)
@hypothesis.settings(max_examples=200)
def test_any_bytes_of_a_caller_get_answers_or_nothing(pieces: list[bytes]) -> None:
    node = nodes.Node(builders.settings())
    connection = ingress.CallerConnection(node)
    transport = transports.Transport()
    connection.connection_made(transport)
    for piece in pieces:
        connection.data_received(piece)
    # No service is known, so every answer is a problem of the node.
    statuses = re.findall(rb"HTTP/1\.1 (\d\d\d) ", bytes(transport.written))
    assert set(statuses) <= {b"100", b"400", b"404", b"431"}
    assert transport.written.count(b"application/problem+json") == sum(
        1 for status in statuses if status != b"100"
    )
    connection.connection_lost(None)
    assert not node.caller_connections
    assert node.state.calls == {}


HEADS = st.builds(
    lambda lines, body: b"PUT /x HTTP/1.1\r\n" + b"".join(lines) + b"\r\n" + body,
    st.lists(
        st.sampled_from(
            [
                b"host: plans\r\n",
                b"content-length: 3\r\n",
                b"content-length: 4\r\n",
                b"transfer-encoding: chunked\r\n",
                b"transfer-encoding: gzip, chunked\r\n",
                b"x: y\r\n",
            ]
        ),
        max_size=4,
    ),
    st.sampled_from([b"", b"abc", b"abcd", b"3\r\nabc\r\n0\r\n\r\n"]),
)


def check_only_clear_framing_is_dispatched(stream: bytes) -> None:
    """Check that every dispatched request of a stream has unambiguous framing."""
    node = nodes.Node(builders.settings())
    node.knows_service = lambda service: True  # type: ignore[method-assign]
    dispatched: list[caller_requests.Request] = []
    node.entry.begin_request = (  # type: ignore[method-assign]
        lambda request, arrival: dispatched.append(request)
    )
    connection = ingress.CallerConnection(node)
    connection.connection_made(transports.Transport())  # type: ignore[arg-type]
    connection.data_received(stream)
    for request in dispatched:
        names = [name for name, _ in request.headers]
        assert names.count(b"host") == 1
        framed = names.count(b"content-length") + names.count(b"transfer-encoding")
        assert framed <= 1
        assert (b"transfer-encoding", b"gzip, chunked") not in request.headers


@hypothesis.given(st.lists(HEADS, min_size=1, max_size=3).map(b"".join))
@hypothesis.settings(max_examples=300)
def test_only_requests_of_clear_framing_are_dispatched(stream: bytes) -> None:
    check_only_clear_framing_is_dispatched(stream)


def test_the_framing_property_fails_without_the_check(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        caller_requests, "framing_problem", lambda request, version, **_: ""
    )
    with pytest.raises(AssertionError):
        check_only_clear_framing_is_dispatched(
            b"PUT /x HTTP/1.1\r\nhost: a\r\nhost: b\r\ncontent-length: 3\r\n\r\nabc"
        )


@hypothesis.given(PIECES, st.booleans())
@hypothesis.settings(max_examples=200)
def test_any_bytes_of_a_backend_server_end_an_exchange_at_most_once(
    pieces: list[bytes], head_only: bool
) -> None:
    pool = backend_pool.Pool(dialect.DEFAULT)
    put: list[backend_http.Connection] = []
    pool.put = put.append  # type: ignore[method-assign]
    connection = backend_http.Connection(pool)
    transport = transports.Transport()
    connection.connection_made(transport)  # type: ignore[arg-type]
    receiver = Receiver()
    connection.begin(
        receiver, b"GET / HTTP/1.1\r\n", b"", request_id=b"", head_only=head_only
    )
    for piece in pieces:
        if not transport.closed:
            connection.data_received(piece)
    connection.connection_lost(None)
    assert receiver.ends + receiver.failures == 1
    # The connection returns to the pool at most once, after a complete answer.
    assert len(put) <= receiver.ends


def test_numbers_of_a_node_are_unique() -> None:
    node = nodes.Node(builders.settings())
    numbers = [node.next_number() for _ in range(5)]
    assert len({ids.CallId(number) for number in numbers}) == 5
