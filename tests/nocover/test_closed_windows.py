"""Connections whose other side acknowledges but does not read, or does neither."""

import asyncio
import collections.abc
import contextlib
import ctypes
import pathlib
import signal
import socket
import struct
import threading
import time

from gingerturn import dialect
from gingerturn.internal import ids
from gingerturn.internal.shell import backend_http, backend_pool, node as nodes, peers
from gingerturn.internal.wire import frames
from gingerturn_standins import platform_processes
from tests.common import builders, raw

PAUSE_S = 4.5
"""Time without reading, longer than a connection may stay unacknowledged."""

UNACKNOWLEDGED_S = 3.0
"""Time after which a connection with unacknowledged bytes is to be closed."""

SCHEDULING_S = 15.0
"""Allowance for a busy machine."""

BODY = b"u" * 4_000_000
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n" % len(BODY)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SO_ATTACH_FILTER = 26
QUERIES = 2_000

ROUTE = {
    "name": "r-upload",
    "hostname": "shop.example",
    "path_prefix": "/p/",
    "route_type": "non_idempotent",
    "timeout_ms": 9_000,
    "target_latency_ms": 1_500,
    "priority": 0,
    "service_name": "porting",
    "max_attempts": 1,
}
UPLOAD_BYTES = 20_000_000


class _Receiver:
    """Records the end of an exchange."""

    def __init__(self) -> None:
        self.ended = asyncio.Event()
        self.whole = False

    def on_report(self, rate_limit: float, *, leaving: bool) -> None:
        """Ignore the report."""

    def on_head(
        self,
        status: int,
        head: bytes,
        length: int,
        *,
        rejection: backend_http.Rejection | None,
    ) -> None:
        """Ignore the head."""

    def on_body(self, body: bytes) -> None:
        """Ignore the body."""

    def on_end(self) -> None:
        self.whole = True
        self.ended.set()

    def on_failure(self, *, dispatched: bool) -> None:
        self.ended.set()


def _listener() -> socket.socket:
    """Return a listening socket whose connections have a small receive buffer."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    listener.setblocking(False)
    return listener


def _drop_segments(sock: socket.socket) -> None:
    """Let the kernel drop whatever arrives on a connection, as if it had no host."""
    drop = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))
    program = struct.pack("HP", 1, ctypes.addressof(drop))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


@contextlib.asynccontextmanager
async def _exchange() -> collections.abc.AsyncIterator[tuple[_Receiver, socket.socket]]:
    """Yield the receiver of an upload, and the backend server's connection."""
    loop = asyncio.get_running_loop()
    listener = _listener()
    pool = backend_pool.Pool(dialect.DEFAULT)
    pool.set_address(*listener.getsockname())
    connecting = loop.create_task(pool.connect())
    backend, _ = await loop.sock_accept(listener)
    connection = await connecting
    receiver = _Receiver()
    connection.begin(
        receiver,  # type: ignore[arg-type]
        HEAD,
        BODY,
        request_id=b"",
        head_only=False,
    )
    try:
        yield receiver, backend
    finally:
        connection.abandon()
        backend.close()
        listener.close()


# Guards against an upload of unknown outcome to a backend server that was slow to read.
def test_a_backend_server_that_does_not_read_for_seconds_keeps_its_request() -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        async with _exchange() as (receiver, backend):
            await asyncio.sleep(PAUSE_S)
            assert not receiver.ended.is_set()
            remaining = len(HEAD) + 2 + len(BODY)
            while remaining:
                remaining -= len(await loop.sock_recv(backend, 1 << 20))
            await loop.sock_sendall(backend, ANSWER)
            await receiver.ended.wait()
            assert receiver.whole

    asyncio.run(asyncio.wait_for(run(), 60.0))


# Guards against calls that wait for their deadline on a connection without a peer.
def test_a_connection_that_acknowledges_nothing_is_closed() -> None:
    async def run() -> None:
        async with _exchange() as (receiver, backend):
            _drop_segments(backend)
            async with asyncio.timeout(UNACKNOWLEDGED_S + SCHEDULING_S):
                await receiver.ended.wait()
            assert not receiver.whole

    asyncio.run(asyncio.wait_for(run(), 60.0))


# Guards against the loss of all calls on a connection to a node that got no processor
# time.
def test_a_node_that_does_not_read_for_seconds_keeps_its_calls() -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        accepted: list[peers.Accepted] = []
        home, entry = (nodes.Node(builders.settings(name)) for name in ("h", "e"))

        def accept() -> peers.Accepted:
            accepted.append(peers.Accepted(home))
            return accepted[-1]

        listener = _listener()
        server = await loop.create_server(accept, sock=listener)
        lost: list[int] = []
        replied: set[int] = set()
        entry.links.on_link_lost = (  # type: ignore[method-assign]
            lambda call, reached: lost.append(call)
        )
        entry.links.on_link_frame = (  # type: ignore[method-assign]
            lambda frame: replied.add(frame.call)
        )
        host, port = listener.getsockname()
        link = entry.links._link(ids.Address(host, port))
        link.send(frames.Query(call=0, routes=True))
        while not replied:
            await asyncio.sleep(0.01)
        (connection,) = accepted
        connection._transport.pause_reading()
        for call in range(1, QUERIES):
            link.send(frames.Query(call=call, decision="x" * 2_000))
        await asyncio.sleep(PAUSE_S)
        assert not lost
        connection._transport.resume_reading()
        while len(replied) < QUERIES and not lost:
            await asyncio.sleep(0.01)
        assert not lost
        entry.links.close()
        server.close()

    asyncio.run(asyncio.wait_for(run(), 60.0))


# Guards against an upload that ends without an answer since its upstream was paused.
def test_an_upload_outlasts_a_pause_of_its_upstream(tmp_path: pathlib.Path) -> None:
    with platform_processes.Platform(tmp_path) as platform:
        platform.configure(ROUTE)
        entry = platform.add("plans-1", service="plans")
        home = platform.add("porting-1", service="porting")
        platform.wait_ready()
        received: list[bytes] = []
        head = (
            b"POST /p/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: u1\r\n"
            b"Deadline-Ms: 9000\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
        ) % UPLOAD_BYTES

        def upload() -> None:
            received.append(
                raw.exchange(
                    entry.ports["outbound"], head, b"u" * UPLOAD_BYTES, timeout=12.0
                )
            )

        caller = threading.Thread(target=upload)
        home.upstream.send_signal(signal.SIGSTOP)
        caller.start()
        time.sleep(4.0)
        home.upstream.send_signal(signal.SIGCONT)
        caller.join()
        assert received and received[0].startswith(b"HTTP/1.1 200 ")
        assert home.counts()["runs"].get("u1") == 1
