"""Callers on raw sockets, which record how each connection ended.

An HTTP client library hides whether a request was written whole, and whether a
connection ended by FIN or by a reset.
"""

import asyncio
import enum
import secrets
import socket
import time
import uuid

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

    GARBLED = "garbled"
    """The node sent bytes that are no answer."""


class Shape(msgspec.Struct, frozen=True):
    """What a caller sends, and how it reads.

    :param body: length of the request's body in bytes.
    :param chunked: the body is sent in chunks, without a length.
    :param upload_s: time over which the body is written.
    :param read_s: pause between reads of :data:`SLOW_READ_BYTES`; 0 to read at once.
    :param leave_s: time after which the caller closes the connection; 0 for never.
    :param leave_bytes: bytes of the answer after which it does; 0 for never.
    :param lasts_s: how long an upstream works and writes.
    :param answer: length of a successful answer's body in bytes; -1 for any.
    :param keyed: the request has an ``Idempotency-Key``.
    :param api_key: the API key that it has; empty for none.
    :param pair: two such requests are written at once.
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
    leave_bytes: int = 0
    lasts_s: float = 0.0
    answer: int = -1
    keyed: bool = False
    api_key: str = ""
    pair: bool = False


class Exchange(msgspec.Struct):
    """One request and its result; times in seconds since the epoch.

    :param sent: when the last byte was written; 0 if it was not.
    :param received: bytes of the answer that arrived.
    :param signed: the answer has the signature of a backend server.
    :param first: first request of its connection.
    :param behind_close: written behind a request whose answer closed the connection.
    :param body: bytes of the answer's body that arrived.
    :param surplus: bytes that arrived behind the answer and belong to no request.
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
    behind_close: bool = False
    body: int = 0
    expected: int = -1
    surplus: int = 0
    deadline_ms: int = 0
    lasts_s: float = 0.0
    repeatable: bool = True


class _Answers:
    """Parses the answers to the requests of a connection, in their order."""

    def __init__(self, exchanges: list[Exchange], *, head_only: bool) -> None:
        self._waiting = list(exchanges)
        self._current = self._waiting.pop(0)
        self._head_only = head_only
        self._parser = httptools.HttpResponseParser(self)
        self._beginning = bytearray()
        self.complete = False
        self.closes = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.complete:
            self._current.surplus += len(data)
            return
        self._current.received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            # Bytes behind a whole answer do not change how its exchange ended.
            if self.complete:
                self._current.surplus += 1
                return
            raise

    def on_message_begin(self) -> None:
        """Note an answer that belongs to no request."""
        self._beginning.clear()
        if self.complete:
            self._current.surplus += 1

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note the signature."""
        if not self.complete:
            self._current.signed |= name.lower() == b"response-signature"

    def on_headers_complete(self) -> None:
        """Note the status."""
        status = self._parser.get_status_code()
        if status >= 200 and not self.complete:
            self._current.status = status
            self.closes = not self._parser.should_keep_alive()
            if self._head_only:
                self._finish()

    def on_body(self, body: bytes) -> None:
        """Keep the beginning of the body, which names the reason of a problem."""
        if self.complete:
            self._current.surplus += len(body)
            return
        self._current.body += len(body)
        if len(self._beginning) < 1_000:
            self._beginning += body

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        if self._parser.get_status_code() >= 200 and not self.complete:
            if not self._current.signed:
                self._current.title = self._beginning.decode("latin-1")[:200]
            self._finish()

    def _finish(self) -> None:
        self._current.ending = Ending.ANSWERED
        self._current.ended = time.time()
        if self.closes:
            for exchange in self._waiting:
                exchange.behind_close = True
        if self._waiting and not self.closes:
            self._current = self._waiting.pop(0)
        else:
            self.complete = True


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
        """Send a request, or a pair, and wait for the answers."""
        self._close_if_ended()
        exchanges = [self._begin(shape) for _ in range(2 if shape.pair else 1)]
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                if self._socket is None:
                    self._socket = await self._connect()
                keep = await self._exchange(self._socket, shape, exchanges)
        except TimeoutError:
            keep = False
        except ConnectionRefusedError:
            keep = _end(exchanges, Ending.REFUSED)
        except OSError:
            keep = _end(exchanges, Ending.RESET)
        except httptools.HttpParserError:
            keep = _end(exchanges, Ending.GARBLED)
        for exchange in exchanges:
            exchange.ended = exchange.ended or time.time()
        if not (keep and self._kept):
            self._close()
        return exchanges[0]

    def _begin(self, shape: Shape) -> Exchange:
        self._count += 1
        exchange = Exchange(
            id=f"{self._name}-{self._count}",
            shape=shape.name,
            node=self._node,
            began=time.time(),
            first=self._socket is None,
            expected=shape.answer,
            deadline_ms=shape.deadline_ms,
            lasts_s=shape.lasts_s,
            repeatable=shape.method != "POST",
        )
        self.exchanges.append(exchange)
        return exchange

    def _close_if_ended(self) -> None:
        """Close a kept connection that the node closed, or on which it sent bytes that
        belong to no request."""
        if self._socket is None:
            return
        try:
            surplus = self._socket.recv(1 << 16)
        except BlockingIOError:
            return
        except OSError:
            surplus = b""
        if surplus and self.exchanges:
            self.exchanges[-1].surplus += len(surplus)
        self._close()

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
        self, connection: socket.socket, shape: Shape, exchanges: list[Exchange]
    ) -> bool:
        """Run an exchange; return whether the connection can be used again."""
        # An answer may come before the body is written, so both run at once.
        writing = asyncio.create_task(self._write(connection, shape, exchanges))
        try:
            if shape.leave_s:
                async with asyncio.timeout(shape.leave_s):
                    keep = await self._read(connection, shape, exchanges)
            else:
                keep = await self._read(connection, shape, exchanges)
            return keep and bool(exchanges[-1].sent)
        except TimeoutError:
            return _end(exchanges, Ending.LEFT) if shape.leave_s else False
        finally:
            writing.cancel()
            await asyncio.gather(writing, return_exceptions=True)

    async def _write(
        self, connection: socket.socket, shape: Shape, exchanges: list[Exchange]
    ) -> None:
        for exchange in exchanges:
            await self._write_one(connection, shape, exchange)

    async def _write_one(
        self, connection: socket.socket, shape: Shape, exchange: Exchange
    ) -> None:
        loop = asyncio.get_running_loop()
        head = (
            f"{shape.method} {shape.path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {exchange.id}\r\nDeadline-Ms: {shape.deadline_ms}\r\n"
        )
        if shape.keyed:
            head += f"Idempotency-Key: {_new_key()}\r\n"
        if shape.api_key:
            head += f"Key: {shape.api_key}\r\n"
        if shape.chunked:
            head += "Transfer-Encoding: chunked\r\n"
        elif shape.body or shape.method == "POST":
            head += f"Content-Length: {shape.body}\r\n"
        if not self._kept and not shape.pair:
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
        self, connection: socket.socket, shape: Shape, exchanges: list[Exchange]
    ) -> bool:
        loop = asyncio.get_running_loop()
        answers = _Answers(exchanges, head_only=shape.method == "HEAD")
        size = SLOW_READ_BYTES if shape.read_s else 1 << 18
        while not answers.complete:
            try:
                data = await loop.sock_recv(connection, size)
            except ConnectionError:
                return _end(exchanges, Ending.RESET)
            if not data:
                return _end(exchanges, Ending.FIN)
            answers.feed(data)
            if shape.leave_bytes and exchanges[0].received >= shape.leave_bytes:
                return _end(exchanges, Ending.LEFT)
            if shape.read_s:
                await asyncio.sleep(shape.read_s)
        # Requests behind an answer that closes the connection get none.
        _end(exchanges, Ending.FIN)
        return not answers.closes

    def _close(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def _end(exchanges: list[Exchange], ending: Ending) -> bool:
    """Set how the exchanges without an answer ended; return ``False``."""
    for exchange in exchanges:
        if exchange.ending is not Ending.ANSWERED:
            exchange.ending = ending
    return False


def _new_key() -> uuid.UUID:
    """Return a new UUIDv7 (RFC 9562)."""
    stamped = time.time_ns() // 1_000_000 << 80 | secrets.randbits(80)
    version = stamped & ~(0xF << 76) | 7 << 76
    return uuid.UUID(int=version & ~(3 << 62) | 2 << 62)
