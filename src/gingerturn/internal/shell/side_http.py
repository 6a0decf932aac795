"""A small HTTP server for what is not a call: readiness, metrics, announcements.

The administration API is served by a framework; loading it takes 80 to 160 ms,
which a node that callers wait for cannot spend before it is ready.
"""

import asyncio
import collections.abc
import typing

import httptools
import msgspec

from gingerturn.internal import logs
from gingerturn.internal.shell import heads

MAX_BODY = 65_536
"""Bytes of a request's body: an announcement has some hundreds."""

_PART = "side"


class Request(msgspec.Struct, frozen=True):
    """A whole request."""

    method: str
    path: str
    body: bytes


class Reply(msgspec.Struct, frozen=True):
    """A whole answer."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


Handler = collections.abc.Callable[[Request], Reply]


class Connection(asyncio.Protocol):
    """One connection.

    :param handler: what answers its requests.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport = typing.cast(asyncio.Transport, None)
        self._target = b""
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the new connection."""
        self._transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            logs.write("WARNING", _PART, f"No valid request: {error}.")
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._target = b""
        self._body.clear()

    def on_url(self, url: bytes) -> None:
        """Gather the target; it may come in pieces."""
        self._target += url

    def on_body(self, body: bytes) -> None:
        """Gather the body, up to its bound."""
        if len(self._body) <= MAX_BODY:
            self._body += body

    def on_message_complete(self) -> None:
        """Answer the request."""
        reply = self._reply()
        keep = self._parser.should_keep_alive()
        head = heads.status_line(reply.status)
        head += b"content-type: %b\r\n" % reply.content_type.encode()
        head += b"content-length: %d\r\n" % len(reply.body)
        if not keep:
            head += b"connection: close\r\n"
        self._transport.write(head + b"\r\n" + reply.body)
        if not keep:
            self._transport.close()

    def _reply(self) -> Reply:
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
            # One bad request must not end the process that carries the calls.
            logs.write("ERROR", _PART, f"{request.path}: {error!r}.")
            return Reply(500)
