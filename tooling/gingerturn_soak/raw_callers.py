"""Callers on raw sockets, which record how each connection ended.

An HTTP client library hides whether a request was written whole, and whether a
connection ended by FIN or by a reset.
"""

import asyncio
import enum
import socket
import time

import httptools
import msgspec

HOST = "shop.example"
CONNECT_TIMEOUT_S = 5.0
ANSWER_TIMEOUT_S = 12.0
SLOW_READ_BYTES = 4_096
UPLOAD_PIECES = 20


class Ending(enum.Enum):
    """How an exchange ended."""

    ANSWERED = "answered"
    FIN = "fin"
    RESET = "reset"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    """The connection could not be opened."""

    LEFT = "left"
    """The caller itself closed the connection."""


class Shape(msgspec.Struct, frozen=True):
    """What a caller sends, and how it reads.

    :param body: length of the request's body in bytes.
    :param chunked: the body is sent in chunks, without a length.
    :param upload_s: time over which the body is written.
    :param read_s: pause between reads of :data:`SLOW_READ_BYTES`; 0 to read at once.
    :param leave_s: time after which the caller closes the connection; 0 for never.
    """

    name: str
    method: str = "GET"
    path: str = "/a/x"
    deadline_ms: int = 7_000
    body: int = 0
    chunked: bool = False
    upload_s: float = 0.0
    read_s: float = 0.0
    leave_s: float = 0.0


class Exchange(msgspec.Struct):
    """One request and its result; times in seconds since the epoch.

    :param sent: when the last byte was written; 0 if it was not.
    :param received: bytes of the answer that arrived.
    :param signed: the answer has the signature of a backend server.
    :param first: first request of its connection.
    """

    id: str
    shape: str
    node: str
    began: float
    sent: float = 0.0
    ended: float = 0.0
    ending: Ending = Ending.TIMEOUT
    status: int = 0
    received: int = 0
    signed: bool = False
    title: str = ""
    first: bool = True


class _Answer:
    """Parses one answer."""

    def __init__(self, exchange: Exchange, *, head_only: bool) -> None:
        self._exchange = exchange
        self._head_only = head_only
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self.complete = False
        self.closes = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        self._exchange.received += len(data)
        self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note the signature."""
        self._exchange.signed |= name.lower() == b"response-signature"

    def on_headers_complete(self) -> None:
        """Note the status."""
        status = self._parser.get_status_code()
        if status >= 200:
            self._exchange.status = status
            self.closes = not self._parser.should_keep_alive()
            self.complete = self._head_only

    def on_body(self, body: bytes) -> None:
        """Keep the beginning of the body, which names the reason of a problem."""
        if len(self._body) < 1_000:
            self._body += body

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        if self._parser.get_status_code() >= 200:
            self.complete = True
            if not self._exchange.signed:
                self._exchange.title = self._body.decode("latin-1")[:200]


class Caller:
    """A caller with one connection at a time.

    :param name: prefix of its request ids.
    :param port: where it connects.
    :param kept: it keeps its connection for further requests.
    :param receive_bytes: size of its receive buffer; 0 for the system's.
    """

    def __init__(
        self, name: str, node: str, port: int, *, kept: bool, receive_bytes: int = 0
    ) -> None:
        self._name = name
        self._node = node
        self._port = port
        self._kept = kept
        self._receive_bytes = receive_bytes
        self._socket: socket.socket | None = None
        self._count = 0
        self.exchanges: list[Exchange] = []

    async def run(
        self, stop: asyncio.Event, shapes: list[Shape], interval_s: float
    ) -> None:
        """Send requests one after the other until stopped."""
        number = 0
        while not stop.is_set():
            begun = time.monotonic()
            await self.send(shapes[number % len(shapes)])
            number += 1
            await asyncio.sleep(max(0.0, interval_s - (time.monotonic() - begun)))
        self._close()

    async def send(self, shape: Shape) -> Exchange:
        """Send a request and wait for its answer."""
        self._count += 1
        exchange = Exchange(
            id=f"{self._name}-{self._count}",
            shape=shape.name,
            node=self._node,
            began=time.time(),
            first=self._socket is None,
        )
        self.exchanges.append(exchange)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                if self._socket is None:
                    self._socket = await self._connect()
                keep = await self._exchange(self._socket, shape, exchange)
        except TimeoutError:
            keep = False
        except ConnectionRefusedError:
            exchange.ending, keep = Ending.REFUSED, False
        except OSError:
            exchange.ending, keep = Ending.RESET, False
        exchange.ended = time.time()
        if not (keep and self._kept):
            self._close()
        return exchange

    async def _connect(self) -> socket.socket:
        made = socket.socket()
        made.setblocking(False)
        if self._receive_bytes:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(made, ("127.0.0.1", self._port))
        except BaseException:
            made.close()
            raise
        return made

    async def _exchange(
        self, connection: socket.socket, shape: Shape, exchange: Exchange
    ) -> bool:
        """Run an exchange; return whether the connection can be used again."""
        # An answer may come before the body is written, so both run at once.
        writing = asyncio.create_task(self._write(connection, shape, exchange))
        try:
            if shape.leave_s:
                async with asyncio.timeout(shape.leave_s):
                    return await self._read(connection, shape, exchange) and bool(
                        exchange.sent
                    )
            keep = await self._read(connection, shape, exchange)
            return keep and bool(exchange.sent)
        except TimeoutError:
            if shape.leave_s:
                exchange.ending = Ending.LEFT
            return False
        finally:
            writing.cancel()
            await asyncio.gather(writing, return_exceptions=True)

    async def _write(
        self, connection: socket.socket, shape: Shape, exchange: Exchange
    ) -> None:
        loop = asyncio.get_running_loop()
        head = (
            f"{shape.method} {shape.path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {exchange.id}\r\nDeadline-Ms: {shape.deadline_ms}\r\n"
        )
        if shape.chunked:
            head += "Transfer-Encoding: chunked\r\n"
        elif shape.body or shape.method == "POST":
            head += f"Content-Length: {shape.body}\r\n"
        if not self._kept:
            head += "Connection: close\r\n"
        data = head.encode() + b"\r\n"
        step = -(-shape.body // UPLOAD_PIECES)
        for number in range(UPLOAD_PIECES if shape.body else 0):
            size = max(0, min(step, shape.body - number * step))
            piece = b"u" * size
            if shape.chunked and size:
                piece = b"%x\r\n%b\r\n" % (size, piece)
            data += piece
            if shape.upload_s:
                await loop.sock_sendall(connection, data)
                data = b""
                await asyncio.sleep(shape.upload_s / UPLOAD_PIECES)
        if shape.chunked:
            data += b"0\r\n\r\n"
        await loop.sock_sendall(connection, data)
        exchange.sent = time.time()

    async def _read(
        self, connection: socket.socket, shape: Shape, exchange: Exchange
    ) -> bool:
        loop = asyncio.get_running_loop()
        answer = _Answer(exchange, head_only=shape.method == "HEAD")
        size = SLOW_READ_BYTES if shape.read_s else 1 << 18
        while not answer.complete:
            try:
                data = await loop.sock_recv(connection, size)
            except ConnectionError:
                exchange.ending = Ending.RESET
                return False
            if not data:
                exchange.ending = Ending.FIN
                return False
            answer.feed(data)
            if shape.read_s:
                await asyncio.sleep(shape.read_s)
        exchange.ending = Ending.ANSWERED
        return not answer.closes

    def _close(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None
