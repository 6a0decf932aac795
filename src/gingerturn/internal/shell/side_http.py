"""Minimal HTTP server for readiness, metrics and announcements.

The web framework of the administration API is not used here, since importing it would
delay a node's start.
"""

import asyncio
import collections.abc
import typing

import httptools
import msgspec

from gingerturn.internal import logs
from gingerturn.internal.shell import heads, lingering

MAX_BODY = 65_536
"""Limit of a request's body, in bytes."""

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


Handler = collections.abc.Callable[[Request], Reply]


class Connection(asyncio.Protocol):
    """A client connection.

    Invariant: nothing is written once ``_closing`` is set.

    :param handler: answers its requests.
    :param lingering_set: the lingering connections of the node.
    """

    def __init__(self, handler: Handler, lingering_set: lingering.Lingering) -> None:
        self._handler = handler
        self._lingering_set = lingering_set
        self._closing = False
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport = typing.cast(asyncio.Transport, None)
        self._target = b""
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; answer an invalid request and close the connection."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._closing:
                return
            logs.write("WARNING", _PART, f"Invalid request: {error}.")
            self._write(Reply(400), keep_alive=False, is_sending=True)

    def on_message_begin(self) -> None:
        """Reset the state of the previous request."""
        self._target = b""
        self._body.clear()

    def on_url(self, url: bytes) -> None:
        """Collect the target, which may arrive in pieces, up to its limit."""
        if len(self._target) <= MAX_TARGET:
            self._target += url

    def on_body(self, body: bytes) -> None:
        """Collect the body, up to its limit."""
        if len(self._body) <= MAX_BODY:
            self._body += body

    def on_message_complete(self) -> None:
        """Answer the request."""
        if self._closing:
            return
        keep_alive = self._parser.should_keep_alive()
        self._write(self._reply(), keep_alive=keep_alive, is_sending=False)

    def _write(self, reply: Reply, *, keep_alive: bool, is_sending: bool) -> None:
        head = heads.status_line(reply.status)
        head += b"content-type: %b\r\n" % reply.content_type.encode()
        head += b"content-length: %d\r\n" % len(reply.body)
        if not keep_alive:
            head += b"connection: close\r\n"
        self._transport.write(head + b"\r\n" + reply.body)
        if not keep_alive:
            self._closing = True
            self._lingering_set.close(self._transport, self, is_sending=is_sending)

    def _reply(self) -> Reply:
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
