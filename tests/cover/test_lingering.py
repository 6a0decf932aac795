"""Bounds of connections that linger after their close."""

import asyncio
import collections.abc
import contextlib
import errno
import socket
import typing

import pytest
import uvloop

from gingerturn import routes
from gingerturn.internal.core import events
from gingerturn.internal.shell import (
    caller_requests,
    clock,
    ingress,
    lingering,
    node as nodes,
)
from tests.common import builders, routed, transports

TIMEOUT_S = 30.0
GET = b"GET /a/ HTTP/1.1\r\nhost: shop.example\r\n\r\n"
UPLOAD = b"POST /a/ HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 9000000\r\n\r\n"
PIECE = b"u" * 500_000
HEAD = b"HTTP/1.1 200 OK\r\n"

Play = collections.abc.Callable[["Entry"], collections.abc.Awaitable[None]]


class Entry:
    """A node whose callers are connected over sockets, and whose calls the test
    answers. It must be used inside a running event loop."""

    def __init__(self) -> None:
        self.node = nodes.Node(builders.settings())
        self.node.state.routed = True
        self.node.state.routes = routes.RouteIndex(routed.table())
        self.dispatched: list[caller_requests.Request] = []
        self.node.entry.begin_request = (  # type: ignore[method-assign]
            lambda request, arrival: self.dispatched.append(request)
        )
        self.events: list[events.Event] = []
        self.node.apply = self.events.append  # type: ignore[method-assign]
        self._stack = contextlib.ExitStack()
        self.port = 0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: ingress.CallerConnection(self.node), "127.0.0.1", 0, backlog=1_000
        )
        self.port = server.sockets[0].getsockname()[1]
        self._stack.callback(server.close)

    def close(self) -> None:
        self._stack.close()

    async def connect(self) -> tuple[socket.socket, ingress.CallerConnection]:
        before = set(self.node.caller_connections)
        sock = self._stack.enter_context(
            socket.create_connection(("127.0.0.1", self.port))
        )
        sock.setblocking(False)
        await until(lambda: bool(self.node.caller_connections - before))
        (connection,) = self.node.caller_connections - before
        return sock, connection

    def check(self, elapsed_ms: float) -> None:
        self.node.lingering.check(clock.now() + elapsed_ms)


async def until(condition: collections.abc.Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


async def send(sock: socket.socket, data: bytes) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.wait_for(loop.sock_sendall(sock, data), TIMEOUT_S)


async def receive(sock: socket.socket) -> bytes:
    """Return what arrives until the end of the connection."""
    loop = asyncio.get_running_loop()
    received = b""
    while data := await asyncio.wait_for(loop.sock_recv(sock, 65_536), TIMEOUT_S):
        received += data
    return received


def run(play: Play) -> None:
    async def played() -> None:
        entry = Entry()
        await entry.start()
        try:
            await play(entry)
        finally:
            entry.close()

    uvloop.run(played())


# Guards against connections that stay open for good, of callers that never close them.
def test_a_caller_that_does_not_close_is_closed_after_the_bound() -> None:
    async def play(entry: Entry) -> None:
        sock, connection = await entry.connect()
        connection.close("the test ends it")
        assert await receive(sock) == b""
        entry.check(0)
        entry.check(lingering.LINGER_MS - 1_000)
        await asyncio.sleep(0.05)
        assert entry.node.caller_connections
        entry.check(lingering.LINGER_MS + 1_000)
        await until(lambda: not entry.node.caller_connections)
        assert not len(entry.node.lingering)

    run(play)


# Guards against callers that keep a node busy by sending on without end.
def test_a_caller_that_sends_without_end_is_cut_after_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lingering, "MAX_DISCARDED_BYTES", 2_000_000)

    async def play(entry: Entry) -> None:
        sock, connection = await entry.connect()
        connection.close("the test ends it")
        with pytest.raises(OSError):
            while True:
                await send(sock, PIECE)
                entry.check(0)
        await until(lambda: not entry.node.caller_connections)

    run(play)


# Guards against file descriptors that run out while connections linger.
def test_the_oldest_connection_is_closed_for_one_more() -> None:
    async def play(entry: Entry) -> None:
        first, connection = await entry.connect()
        connection.close("the test ends it")
        for _ in range(lingering.MAX_LINGERING):
            _, connection = await entry.connect()
            connection.close("the test ends it")
        await until(
            lambda: len(entry.node.caller_connections) == lingering.MAX_LINGERING
        )
        assert len(entry.node.lingering) == lingering.MAX_LINGERING
        assert await receive(first) == b""

    run(play)


# Guards against uploads that are reset, as many others linger without one.
def test_a_connection_that_is_not_awaited_makes_room_first() -> None:
    async def play(entry: Entry) -> None:
        sending, connection = await entry.connect()
        await send(sending, b"POST /a/x HTTP/1.1\r\nhost: shop.example\r\n")
        await until(lambda: not connection.idle)
        connection.close("the test ends it")
        assert connection.owes_answer
        for _ in range(lingering.MAX_LINGERING):
            _, other = await entry.connect()
            other.close("the test ends it")
        await until(
            lambda: len(entry.node.caller_connections) == lingering.MAX_LINGERING
        )
        assert connection.owes_answer
        sending.close()

    run(play)


# Guards against answers to slow readers that are cut by the bound.
def test_the_bound_counts_once_everything_is_sent() -> None:
    body = b"x" * 20_000_000

    async def play(entry: Entry) -> None:
        sock, connection = await entry.connect()
        await send(sock, GET.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n"))
        await until(lambda: bool(entry.dispatched))
        connection.send_whole(entry.dispatched[0], HEAD, body)
        for elapsed_ms in (0, lingering.LINGER_MS + 1_000):
            entry.check(elapsed_ms)
            assert connection.owes_answer
            assert len(entry.node.lingering) == 1
        assert (await receive(sock)).endswith(body)
        sock.close()
        await until(lambda: not entry.node.caller_connections)

    run(play)


# Guards against slots that are held for callers whose connection is closed.
def test_the_calls_of_a_closed_connection_end_at_once() -> None:
    async def play(entry: Entry) -> None:
        sock, connection = await entry.connect()
        await send(sock, GET)
        await until(lambda: bool(entry.dispatched))
        connection.close("the test ends it")
        (event,) = entry.events
        assert isinstance(event, events.CallerGone)
        assert event.call == entry.dispatched[0].call
        assert await receive(sock) == b""
        sock.close()
        await until(lambda: not entry.node.caller_connections)
        assert len(entry.events) == 1

    run(play)


def test_a_connection_owes_an_answer_from_the_request_to_its_last_byte() -> None:
    async def play(entry: Entry) -> None:
        sock, connection = await entry.connect()
        assert not connection.owes_answer
        await send(sock, GET[:10])
        await until(lambda: connection.owes_answer)
        await send(sock, GET[10:])
        await until(lambda: bool(entry.dispatched))
        assert connection.owes_answer
        connection.send_whole(entry.dispatched[0], HEAD, b"")
        await until(lambda: not connection.owes_answer)
        connection.close("the test ends it")
        await until(lambda: not connection.owes_answer)
        assert (await receive(sock)).startswith(HEAD)

    run(play)


# Guards against answers that the end of the process takes away: its connections are
# reset if their callers still send.
def test_an_answer_is_owed_until_the_caller_has_ended_its_upload() -> None:
    async def play(entry: Entry) -> None:
        sock, connection = await entry.connect()
        await send(sock, UPLOAD + PIECE)
        await until(lambda: bool(entry.dispatched))
        connection.send_whole(entry.dispatched[0], HEAD, b"whole")
        await asyncio.sleep(0.05)
        assert connection.owes_answer
        await send(sock, PIECE)
        assert connection.owes_answer
        waiting = asyncio.ensure_future(entry.node.lingering.wait())
        await asyncio.sleep(0.05)
        assert not waiting.done()
        assert (await receive(sock)).endswith(b"whole")
        sock.close()
        await asyncio.wait_for(waiting, TIMEOUT_S)
        assert not connection.owes_answer

    run(play)


# Guards against a stop that waits for callers without end.
def test_the_end_of_a_node_waits_for_a_bounded_time() -> None:
    async def play(entry: Entry) -> None:
        sock, connection = await entry.connect()
        await send(sock, UPLOAD + PIECE)
        await until(lambda: bool(entry.dispatched))
        connection.send_whole(entry.dispatched[0], HEAD, b"whole")
        await asyncio.wait_for(entry.node.lingering.wait(), TIMEOUT_S)
        assert connection.owes_answer

    run(play)


# Guards against bytes behind the last answer: the next request on a connection
# that a stopping node closes asks for its body to be sent.
def test_nothing_is_written_behind_an_answer_that_closes_the_connection() -> None:
    problems: list[dict[str, object]] = []

    async def play(entry: Entry) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: problems.append(context))

        def answer(request: caller_requests.Request, arrival: object) -> None:
            entry.node.state.stopping = True
            request.connection.send_whole(request, HEAD, b"")

        entry.node.entry.begin_request = answer  # type: ignore[method-assign]
        sock, _ = await entry.connect()
        asking = UPLOAD.replace(b"\r\n\r\n", b"\r\nexpect: 100-continue\r\n\r\n")
        await send(sock, GET + asking + GET)
        received = await receive(sock)
        assert received.count(b"HTTP/1.1") == 1
        assert b"connection: close\r\n" in received

    run(play)
    assert not problems


# Guards against whole answers that are discarded with a later one that broke off, of a
# caller that has not read them yet.
def test_answers_before_one_that_broke_off_arrive_whole() -> None:
    body = b"x" * 20_000_000

    async def play(entry: Entry) -> None:
        sock, connection = await entry.connect()
        await send(sock, GET + GET)
        await until(lambda: len(entry.dispatched) == 2)
        first, second = entry.dispatched
        connection.send_whole(first, HEAD, body)
        connection.send_streaming(second, HEAD, 100)
        connection.send_piece(second, b"part", last=False)
        connection.abort(second)
        await asyncio.sleep(0.05)
        received = await receive(sock)
        assert body in received
        assert received.count(HEAD) == 2
        assert received.endswith(b"content-length: 100\r\n\r\npart")

    run(play)


# Guards against a reset of the peer that keeps other effects from being carried out.
def test_a_connection_that_the_peer_has_reset_is_closed_at_once() -> None:
    class Reset(transports.Transport):
        def write_eof(self) -> None:
            raise OSError(errno.ENOTCONN, "Transport endpoint is not connected")

    transport = Reset()
    kept = lingering.Lingering()
    kept.close(
        typing.cast(asyncio.Transport, transport), asyncio.Protocol(), is_sending=True
    )
    assert transport.closed
    assert not len(kept)
