"""What a planned stop waits for, and how it closes the callers' door."""

import asyncio
import collections.abc
import contextlib
import socket
import typing

import pytest
import uvloop

from gingerturn.internal import ids
from gingerturn.internal.core import events, reducer
from gingerturn.internal.shell import (
    clock,
    ingress,
    listeners,
    node as nodes,
    open_work,
    sockets,
    stops,
    syn_filter,
)
from tests.common import builders, routed, transports

HEAD = b"HTTP/1.1 200 OK\r\n"
WAIT_S = 5.0

Phase = open_work.Phase


class _Caller:
    """A connection to a node with a route table, whose requests are not answered."""

    def __init__(self) -> None:
        self.node = nodes.Node(builders.settings())
        self.node.state = routed.node_state()
        self.node.entry.begin_request = (  # type: ignore[method-assign]
            lambda request, arrival: None
        )
        self.connection = ingress.CallerConnection(self.node)
        self.transport = transports.Transport()
        self.connection.connection_made(self.transport)  # type: ignore[arg-type]

    def send(self, target: str, *, method: str = "GET", more: str = "") -> None:
        head = f"{method} {target} HTTP/1.1\r\nhost: shop.example\r\n{more}\r\n"
        self.connection.data_received(head.encode())

    def phases(self) -> list[open_work.Phase]:
        return [item.phase for item in open_work.items(self.node)]


def test_an_idle_connection_is_no_open_work() -> None:
    caller = _Caller()
    assert not caller.phases()
    caller.connection.data_received(b"GET /a/x HTTP/1.1\r\nhost: ")
    assert not caller.phases()


def test_a_request_is_open_from_its_head_to_its_delivery() -> None:
    caller = _Caller()
    caller.send("/a/x", method="POST", more="content-length: 4\r\n")
    assert caller.phases() == [Phase.BODY]
    caller.connection.data_received(b"body")
    assert caller.phases() == [Phase.RUNNING]
    (request,) = caller.connection.accepted_requests
    caller.connection.send_streaming(request, HEAD, 8)
    caller.connection.send_piece(request, b"four", last=False)
    assert caller.phases() == [Phase.ANSWERING]
    caller.transport.buffered = 9
    caller.connection.send_piece(request, b"more", last=True)
    assert caller.phases() == [Phase.DELIVERING]
    caller.transport.buffered = 0
    assert not caller.phases()


def test_a_request_that_waits_for_a_caller_that_does_not_read_is_open() -> None:
    caller = _Caller()
    caller.connection.pause_writing()
    caller.send("/a/x")
    assert caller.phases() == [Phase.QUEUED]


def test_a_hosted_call_is_open_while_its_entry_node_waits_for_it() -> None:
    node = nodes.Node(builders.settings())
    node.state = routed.node_state(service="plans")
    terms = builders.call_metadata(trace="r1", repeatable=False)
    reducer.reduce(node.state, builders.opened(1, terms))
    (item,) = open_work.items(node)
    assert (item.phase, item.request) == (Phase.HOSTED, "r1")
    cancelled = events.CancelReceived(now=node.state.now, hosted=ids.HostedId(1))
    reducer.reduce(node.state, cancelled)
    assert node.state.hosted
    assert not list(open_work.items(node))


def test_few_lines_are_written_about_much_that_is_cut(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(
        open_work.logs,
        "write",
        lambda level, part, text, **fields: lines.append((text, fields)),
    )
    items = [open_work.Item(Phase.BODY, f"r{n}", n, "n2") for n in range(1_000)]
    open_work.log_cut(items)
    assert len(lines) == open_work.MAX_LOGGED + 1
    assert lines[3][1] == {
        "request": "r3",
        "phase": "body",
        "bytes": 3,
        "upstream": "n2",
    }
    assert "980 more" in lines[-1][0]


def _run(main: collections.abc.Coroutine[None, None, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)


# Guards against answers that are counted as delivered once the kernel has taken them.
def test_bytes_are_undelivered_until_the_peer_acknowledges_them() -> None:
    async def play() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listening:
            # A small window, so that the kernel keeps the rest.
            peer = socket.socket()
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            peer.connect(listening.getsockname())
            accepted, _ = listening.accept()
        peer.setblocking(False)
        transport, _ = await loop.connect_accepted_socket(asyncio.Protocol, accepted)
        count = 100_000
        transport.write(b"x" * count)
        async with asyncio.timeout(WAIT_S):
            while transport.get_write_buffer_size():
                await asyncio.sleep(0.01)
            assert sockets.undelivered_bytes(transport) > 0
            while count:
                count -= len(await loop.sock_recv(peer, 65_536))
            while sockets.undelivered_bytes(transport):
                await asyncio.sleep(0.01)
        transport.close()
        peer.close()

    _run(play())


class _RacedSocket(socket.socket):
    """A listening socket at which a caller connects behind each accept of the last
    connection in its queue."""

    connected: typing.ClassVar[list[socket.socket]] = []

    def accept(self) -> tuple[socket.socket, typing.Any]:
        try:
            return super().accept()
        except BlockingIOError:
            caller = socket.socket()
            caller.setblocking(False)
            caller.connect_ex(self.getsockname())
            with contextlib.suppress(OSError):
                caller.getpeername()
                self.connected.append(caller)
            raise


def _acceptor(node: nodes.Node, listening: socket.socket) -> listeners.Acceptor:
    return listeners.Acceptor(
        listening, lambda: ingress.CallerConnection(node), node.descriptors, False
    )


async def _close(server: listeners.Acceptor) -> None:
    async with asyncio.timeout(WAIT_S):
        while not server.close_when_empty():
            await asyncio.sleep(0.005)


def _ask(caller: socket.socket) -> None:
    caller.sendall(b"GET /tickets/none HTTP/1.1\r\nhost: gingerturn\r\n\r\n")


async def _assert_served(callers: collections.abc.Iterable[socket.socket]) -> None:
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(WAIT_S):
        for caller in callers:
            answer = await loop.sock_recv(caller, 65_536)
            assert answer.startswith(b"HTTP/1.1 404 ")
            caller.close()


# Guards against connections that are reset unanswered, since the listening socket was
# closed while they waited in its queue.
def test_connections_in_the_accept_queue_are_served() -> None:
    async def play() -> None:
        node = nodes.Node(builders.settings())
        node.state = routed.node_state()
        listening = listeners.bind("127.0.0.1", 0, socket.SOCK_STREAM)
        listening.listen()
        address = listening.getsockname()
        server = _acceptor(node, listening)
        callers = [socket.create_connection(address) for _ in range(20)]
        for caller in callers:
            caller.setblocking(False)
            _ask(caller)
        # No wait since: the event loop has not accepted any of them.
        assert not node.caller_connections
        assert not server.close_when_empty()
        await _close(server)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
        await _assert_served(callers)

    _run(play())


# Guards against connections that are reset unanswered, since the kernel completed their
# handshake between the last accept and the close of the listening socket.
def test_connections_behind_the_last_accept_are_served() -> None:
    async def play() -> None:
        node = nodes.Node(builders.settings())
        node.state = routed.node_state()
        _RacedSocket.connected.clear()
        bound = listeners.bind("127.0.0.1", 0, socket.SOCK_STREAM)
        listening = _RacedSocket(fileno=bound.detach())
        listening.listen()
        listening.setblocking(False)
        await _close(_acceptor(node, listening))
        for caller in _RacedSocket.connected:
            _ask(caller)
        await _assert_served(_RacedSocket.connected)

    _run(play())


# Guards against an address that stays open where the system has no socket filters.
def test_an_address_closes_without_socket_filters(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        monkeypatch.setattr(syn_filter, "attach", lambda sock: False)
        node = nodes.Node(builders.settings())
        listening = listeners.bind("127.0.0.1", 0, socket.SOCK_STREAM)
        listening.listen()
        address = listening.getsockname()
        assert _acceptor(node, listening).close_when_empty()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)

    _run(play())


# Guards against a stop that reports answers as cut which the kernel still delivers.
@pytest.mark.parametrize(("buffered", "cut"), [(0, []), (9, [Phase.DELIVERING])])
def test_an_answer_that_the_kernel_has_taken_is_not_cut(
    buffered: int, cut: list[open_work.Phase], monkeypatch: pytest.MonkeyPatch
) -> None:
    caller = _Caller()
    monkeypatch.setattr(sockets, "undelivered_bytes", lambda transport: 9)
    caller.transport.buffered = buffered
    assert caller.phases() == (cut or [Phase.SENT])
    assert [item.phase for item in open_work.cut_by_end(caller.node)] == cut


# Guards against an answer that a reset discards, as the process ends while its caller
# still sends.
def test_a_stop_waits_for_a_caller_that_sends_after_its_answer() -> None:
    async def play() -> None:
        loop = asyncio.get_running_loop()
        node = nodes.Node(builders.settings())
        node.state = routed.node_state()
        node.state.stop_by = clock.now() + 1_000.0 * WAIT_S
        node.stopped.set()
        listening = socket.create_server(("127.0.0.1", 0))
        with listening, socket.create_connection(listening.getsockname()) as caller:
            accepted, _ = listening.accept()
            await loop.connect_accepted_socket(
                lambda: ingress.CallerConnection(node), accepted
            )
            caller.sendall(b"POST /a/x HTTP/1.1\r\ncontent-length: 9\r\n\r\n")
            async with asyncio.timeout(WAIT_S):
                while not len(node.lingering):
                    await asyncio.sleep(0.01)
                ended = asyncio.create_task(stops.run(node))
                await asyncio.sleep(10 * stops.CHECK_INTERVAL_S)
                assert not ended.done()
                caller.shutdown(socket.SHUT_WR)
                await ended

    _run(play())
