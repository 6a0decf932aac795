"""Connections of the readiness, metrics and announcement addresses."""

import asyncio

import pytest
import uvloop

from gingerturn.internal.shell import clock, lingering, side_http
from tests.common import late_readers, transports

PIECE = b"u" * 1_000_000


def _play(*pieces: bytes) -> late_readers.Seen:
    """Return what a client sees that writes all pieces before it reads."""

    async def play() -> late_readers.Seen:
        def handle(request: side_http.Request) -> side_http.Reply:
            return side_http.Reply(200, b"handled")

        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: side_http.Connection(
                handle, lingering.Lingering(), side_http.Connections()
            ),
            "127.0.0.1",
            0,
        )
        port = server.sockets[0].getsockname()[1]
        try:
            return await asyncio.to_thread(
                late_readers.exchange, port, pieces, pause_s=0.01
            )
        finally:
            server.close()

    return uvloop.run(play())


# Guards against clients that see a reset, and cannot tell what was wrong.
@pytest.mark.parametrize("more", [(), (PIECE,) * 20], ids=["short", "long"])
def test_an_invalid_request_is_answered(more: tuple[bytes, ...]) -> None:
    seen = _play(b"no request at all\r\n\r\n", *more)
    assert seen.error == ""
    assert seen.received.startswith(b"HTTP/1.1 400 ")
    assert b"connection: close\r\n" in seen.received


# Guards against clients that see a reset in place of the status.
def test_an_answer_to_a_long_body_reaches_a_client_that_writes_it_whole() -> None:
    head = b"POST /x HTTP/1.1\r\nhost: n\r\nconnection: close\r\n%b\r\n\r\n"
    seen = _play(head % b"content-length: 20000000", *[PIECE] * 20)
    assert seen.error == ""
    assert seen.received.startswith(b"HTTP/1.1 413 ")


# Guards against answers that a reset takes away, since the client sent more behind a
# request after which the connection closes.
def test_an_answer_that_closes_reaches_a_client_that_sends_on() -> None:
    get = b"GET /x HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n"
    seen = _play(get, *[PIECE] * 20)
    assert seen.error == ""
    assert seen.received.startswith(b"HTTP/1.1 200 ")
    assert seen.received.endswith(b"handled")
    assert seen.received.count(b"HTTP/1.1 ") == 1


# Guards against a client that keeps the event loop busy, and the memory full, with
# answers that it does not read.
def test_requests_behind_an_unanswered_one_are_dropped() -> None:
    get = b"GET /x HTTP/1.1\r\nhost: n\r\n\r\n"
    seen = _play(get * 1_000)
    assert seen.error == ""
    assert seen.received.startswith(b"HTTP/1.1 200 ")
    assert b"connection: close\r\n" in seen.received
    assert seen.received.count(b"HTTP/1.1 ") == 1


# Guards against the same, with each request in a segment of its own.
def test_a_client_that_reads_no_answer_is_closed() -> None:
    connection, transport = _connect(side_http.Connections())
    get = b"GET /x HTTP/1.1\r\nhost: n\r\n\r\n"
    connection.data_received(get)
    connection.data_received(get)
    assert transport.written.count(b"HTTP/1.1 200 ") == 2
    transport.buffered = 1
    connection.data_received(get)
    assert transport.closed
    assert transport.written.count(b"HTTP/1.1 200 ") == 2


def _connect(
    connections: side_http.Connections,
) -> tuple[side_http.Connection, transports.Transport]:
    def handle(request: side_http.Request) -> side_http.Reply:
        return side_http.Reply(200)

    connection = side_http.Connection(handle, lingering.Lingering(), connections)
    transport = transports.Transport()
    connection.connection_made(transport)  # type: ignore[arg-type]
    return connection, transport


# Guards against clients that take all descriptors of a node at an address that is not
# for callers.
def test_the_connections_of_an_address_are_bounded() -> None:
    connections = side_http.Connections()
    first, first_transport = _connect(connections)
    _, second_transport = _connect(connections)
    for _ in range(side_http.MAX_CONNECTIONS - 2):
        _connect(connections)
    first.data_received(b"GET /x HTTP/1.1\r\nhost: n\r\n\r\n")
    _connect(connections)
    assert len(connections) == side_http.MAX_CONNECTIONS
    # The one that was used least recently made room.
    assert second_transport.closed
    assert not first_transport.closed


# Guards against connections that stay for as long as their clients do.
def test_an_idle_connection_of_an_address_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = 1_000.0
    monkeypatch.setattr(clock, "now", lambda: now)
    connections = side_http.Connections()
    _, transport = _connect(connections)
    now += side_http.IDLE_TIMEOUT_MS - 1.0
    assert connections.close_idle() == 0
    now += 2.0
    assert connections.close_idle() == 1
    assert transport.closed


def test_a_lost_connection_is_forgotten() -> None:
    connections = side_http.Connections()
    connection, _ = _connect(connections)
    connection.connection_lost(None)
    assert len(connections) == 0
