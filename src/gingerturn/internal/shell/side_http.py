"""Minimal HTTP server for readiness, metrics and announcements.

The web framework of the administration API is not used here, since importing it would
delay a node's start.
"""

import asyncio
import collections.abc
import typing

import httptools
import msgspec

from gingerturn.internal import ids, logs
from gingerturn.internal.shell import clock, heads, lingering, request_parser

MAX_BODY = 65_536
"""Limit of a request's body, in bytes."""

_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})

MAX_TARGET = 8_192
"""Limit of a request's target, in bytes."""

_PART = "side"


class Request(msgspec.Struct, frozen=True):
    """A complete request."""

    method: str
    path: str
    body: bytes


class Reply(msgspec.Struct, frozen=True):
    """A complete response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


class DelayedReply(msgspec.Struct, frozen=True):
    """A complete response that is sent once a future is done."""

    reply: Reply
    after: "asyncio.Future[None]"


AnyReply = Reply | DelayedReply
Handler = collections.abc.Callable[[Request], AnyReply]


def reply_after(after: "asyncio.Future[None] | None", reply: Reply) -> AnyReply:
    """Return a response that waits for a future, if there is one."""
    return reply if after is None else DelayedReply(reply, after)


MAX_CONNECTIONS = 64
"""Connections of an address. The one that was used least recently makes room."""

IDLE_TIMEOUT_MS = 60_000.0
"""Time without a complete request after which a connection is closed."""

IDLE_BEFORE_CLOSE_MS = 100.0
"""The same time while descriptors are short."""


class Connections:
    """The connections of an address, in the order of their last use.

    Invariant: at most :data:`MAX_CONNECTIONS`.
    """

    def __init__(self) -> None:
        self._used_at: dict[Connection, ids.Milliseconds] = {}

    def __len__(self) -> int:
        return len(self._used_at)

    def note_use(self, connection: "Connection") -> None:
        """Add a connection, or note that it was used."""
        self._used_at.pop(connection, None)
        self._used_at[connection] = clock.now()
        if len(self._used_at) > MAX_CONNECTIONS:
            self._close(next(iter(self._used_at)))

    def forget(self, connection: "Connection") -> None:
        """Remove a connection that is closed."""
        self._used_at.pop(connection, None)

    def close_idle(self, idle_ms: ids.Milliseconds = IDLE_TIMEOUT_MS) -> int:
        """Close the connections that were not used for a time; return their number."""
        used_before = clock.now() - idle_ms
        idle = [c for c, used_at in self._used_at.items() if used_at < used_before]
        for connection in idle:
            self._close(connection)
        return len(idle)

    def _close(self, connection: "Connection") -> None:
        self.forget(connection)
        connection.close()


class Connection(asyncio.Protocol):
    """A client connection, on which one request is answered at a time.

    A client that sends another one before the answer to the first is written would make
    any number of answers and read none; its connection closes with the first.

    Invariant: nothing is written once ``_closing`` is set.

    :param handler: answers its requests.
    :param lingering_set: the lingering connections of the node.
    :param connections: those of its address.
    """

    def __init__(
        self,
        handler: Handler,
        lingering_set: lingering.Lingering,
        connections: Connections,
    ) -> None:
        self._handler = handler
        self._lingering_set = lingering_set
        self._connections = connections
        self._closing = False
        self._parser = request_parser.RequestParser(self)
        self._transport: asyncio.Transport = typing.cast(asyncio.Transport, None)
        self._target = b""
        self._body = bytearray()
        self._framing = b""
        self._answer: AnyReply | None = None
        self._awaits_reply = False
        self._keeps_alive = True
        self._has_more = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and register the connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._connections.note_use(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from those of its address."""
        self._connections.forget(self)

    def close(self) -> None:
        """Close the connection."""
        self._closing = True
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and answer the request that they complete; answer an
        invalid one and close the connection."""
        if self._closing:
            return
        if self._awaits_reply:
            self._has_more = True
            return
        if self._transport.get_write_buffer_size():
            # Its client has not read the answer before.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._has_more = True
            if self._answer is None:
                logs.write("WARNING", _PART, f"Invalid request: {error}.")
                self._answer = Reply(400)
        if self._answer is not None:
            answer, self._answer = self._answer, None
            if isinstance(answer, DelayedReply):
                self._write_after(answer)
            else:
                self._write(answer)

    def on_message_begin(self) -> None:
        """Reset the state of the previous request."""
        if self._answer is not None:
            self._has_more = True
        self._target = b""
        self._framing = b""
        self._body.clear()

    def on_url(self, url: bytes) -> None:
        """Collect the target, which may arrive in pieces, up to its limit."""
        if len(self._target) <= MAX_TARGET:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note the header that frames the body."""
        if name.lower() in _FRAMING_HEADERS:
            self._framing = b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        """Do nothing; the request is answered once it is complete."""

    def framing_line(self) -> bytes:
        """Return the header line that frames the body of the current request."""
        return self._framing

    def on_body(self, body: bytes) -> None:
        """Collect the body, up to its limit."""
        if len(self._body) <= MAX_BODY:
            self._body += body

    def on_message_complete(self) -> None:
        """Answer the request; those behind it are dropped."""
        if self._answer is None:
            self._keeps_alive = self._parser.should_keep_alive()
            self._connections.note_use(self)
            self._answer = self._reply()

    def _write_after(self, delayed: DelayedReply) -> None:
        def write(_: "asyncio.Future[None]") -> None:
            self._awaits_reply = False
            if not self._closing and not self._transport.is_closing():
                self._write(delayed.reply)

        self._awaits_reply = True
        delayed.after.add_done_callback(write)

    def _write(self, reply: Reply) -> None:
        closes = self._has_more or not self._keeps_alive
        head = heads.status_line(reply.status)
        head += b"content-type: %b\r\n" % reply.content_type.encode()
        head += b"content-length: %d\r\n" % len(reply.body)
        if closes:
            head += b"connection: close\r\n"
        self._transport.write(head + b"\r\n" + reply.body)
        if closes:
            self._closing = True
            self._connections.forget(self)
            self._lingering_set.close(self._transport, self, is_sending=self._has_more)

    def _reply(self) -> AnyReply:
        if len(self._target) > MAX_TARGET:
            return Reply(414)
        if len(self._body) > MAX_BODY:
            return Reply(413)
        request = Request(
            method=self._parser.get_method().decode("ascii"),
            path=self._target.split(b"?", 1)[0].decode("latin-1"),
            body=bytes(self._body),
        )
        try:
            return self._handler(request)
        except Exception as error:
            # A handler's error must not end the process.
            logs.write("ERROR", _PART, f"{request.path}: {error!r}.")
            return Reply(500)
