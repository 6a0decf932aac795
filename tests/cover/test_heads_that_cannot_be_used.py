"""Requests whose heads are valid HTTP and hold values that cannot be used."""

import pytest

from gingerturn import dialect
from gingerturn.internal.shell import (
    connection_ends,
    ingress,
    node as nodes,
    open_work,
)
from tests.common import builders, routed, transports

TIMEOUT = dialect.DEFAULT.timeout.decode()


def _answer(request: bytes) -> bytes:
    node = nodes.Node(builders.settings())
    node.state = routed.node_state()
    connection = ingress.CallerConnection(node)
    transport = transports.Transport()
    connection.connection_made(transport)  # type: ignore[arg-type]
    connection.data_received(request)
    return bytes(transport.written)


# Guards against a request that is read and never answered, since its target raised.
@pytest.mark.parametrize("target", ["http://[::1/a", "http://a]/x"])
def test_a_target_that_is_no_url_is_answered_400(target: str) -> None:
    head = f"GET {target} HTTP/1.1\r\nhost: shop.example\r\n\r\n"
    assert _answer(head.encode()).startswith(b"HTTP/1.1 400 ")


# Guards against a request that is read and never answered, since a digit of another
# alphabet raised.
@pytest.mark.parametrize("name", [TIMEOUT, "gingerturn-sending"])
def test_a_number_with_other_digits_counts_as_none(name: str) -> None:
    head = f"GET /none/x HTTP/1.1\r\nhost: other.example\r\n{name}: ".encode()
    assert _answer(head + b"\xb2\r\n\r\n").startswith(b"HTTP/1.1 ")


# Guards against an error that leaves a request without an answer.
@pytest.mark.unhandled_errors
def test_a_request_is_refused_after_an_error_in_its_dispatch() -> None:
    def fail(request: object, arrival: object) -> None:
        raise RuntimeError

    node = nodes.Node(builders.settings())
    node.state = routed.node_state()
    node.entry.begin_request = fail  # type: ignore[method-assign]
    connection = ingress.CallerConnection(node)
    transport = transports.Transport()
    connection.connection_made(transport)  # type: ignore[arg-type]
    connection.data_received(b"GET /a/x HTTP/1.1\r\nhost: shop.example\r\n\r\n")
    assert transport.written.startswith(b"HTTP/1.1 503 ")
    assert not node.state.calls
    assert not list(open_work.items(node))


# Guards against a rejected request that logs and metrics report as unanswered.
def test_a_rejected_request_is_not_open_at_the_end_of_its_connection() -> None:
    node = nodes.Node(builders.settings())
    connection = ingress.CallerConnection(node)
    transport = transports.Transport()
    connection.connection_made(transport)  # type: ignore[arg-type]
    connection.data_received(b"POST /a HTTP/1.1\r\ncontent-length: 9\r\n\r\n")
    connection.connection_lost(None)
    assert transport.written.startswith(b"HTTP/1.1 400 ")
    ((_, side, _, phase),) = node.counters.ends
    assert side is connection_ends.Side.NODE
    assert not phase
