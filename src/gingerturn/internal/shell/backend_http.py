"""Exchanges with the backend server beside this node, over HTTP/1.1."""

import asyncio
import collections.abc
import typing

import httptools

from gingerturn.internal.core import messages
from gingerturn.internal.shell import clock, heads, sockets

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import backend_pool

BODILESS = frozenset({204, 304})


class Receiver(typing.Protocol):
    """What an exchange tells the node."""

    def on_head(self, status: int, head: bytes, length: int, *, executed: bool) -> None:
        """Take the head; ``length`` is -1 when it is not announced.

        :param executed: ``False`` when it says that the request did not run.
        """

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""

    def on_end(self) -> None:
        """Take the end of a whole answer."""

    def on_failure(self, *, handed: bool) -> None:
        """Take a failure; nothing more follows."""


class Connection(asyncio.Protocol):
    """One connection to the backend server, for one exchange at a time.

    Invariant: it goes back to the pool only after a whole answer with nothing left
    over; a cancelled or failed exchange closes it, and so does one on which an answer
    to another request came.

    :param pool: where it goes back to.
    """

    def __init__(self, pool: "backend_pool.Pool") -> None:
        self._pool = pool
        self._transport: asyncio.Transport = typing.cast(asyncio.Transport, None)
        self._parser: typing.Any = None
        self._receiver: Receiver | None = None
        self._head_only = False
        self._informational = False
        self._headers: list[heads.Header] = []
        self._reusable = False
        self._chunked = False
        self._written = False
        self._answered = False
        self._upload_ended = True
        self._request_id = b""
        self._foreign = False
        self._trusted = True
        self._until_close = False
        self._on_writable: list[collections.abc.Callable[[], None]] = []
        # How long it had rested when the exchange under way began; 0 for a new one.
        self._rested_ms = 0.0
        self.write_paused = False
        self.idle_since = 0.0

    @property
    def usable(self) -> bool:
        """Whether a new exchange may begin on it."""
        return not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the new connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        sockets.set_dead_peer_timeouts(transport)

    def eof_received(self) -> None:
        """End an answer without a length: its end is that of the connection.

        A connection that was reset comes to :meth:`connection_lost` without this,
        and its answer is not whole.
        """
        if self._until_close and self._receiver is not None and not self._foreign:
            self._end()

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the exchange that it failed."""
        self._pool.discard(self)
        if self._receiver is not None and not self._answered and self._rested_ms > 0:
            self._pool.note_forgotten(self._rested_ms)
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.on_failure(handed=self._written)

    def begin(
        self,
        receiver: Receiver,
        head: bytes,
        body: bytes,
        *,
        head_only: bool,
        whole: bool = True,
    ) -> None:
        """Begin an exchange: write the head and what there is of the body.

        :param whole: the body is complete; otherwise pieces follow.
        """
        self._receiver = receiver
        self._parser = httptools.HttpResponseParser(self)
        self._head_only = head_only
        self._informational = False
        self._foreign = False
        self._until_close = False
        self._upload_ended = whole
        self._request_id = heads.value_in(head, self._pool.dialect.request_id)
        self._chunked = b"\ntransfer-encoding: chunked\r\n" in head
        self._written = True
        self._answered = False
        self._rested_ms = clock.now() - self.idle_since if self.idle_since else 0.0
        if body and not self._chunked:
            self._transport.writelines((head, b"\r\n", body))
            return
        self._transport.write(head + b"\r\n")
        if body:
            self.write(body)

    def write(self, body: bytes) -> None:
        """Write a piece of a long body."""
        if self._chunked:
            self._transport.write(b"%x\r\n%b\r\n" % (len(body), body))
        else:
            self._transport.write(body)

    def write_end(self) -> None:
        """End a long body."""
        self._upload_ended = True
        if self._chunked:
            self._transport.write(b"0\r\n\r\n")

    def pause_writing(self) -> None:
        """Note that the backend server reads slowly."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Run what waited for the backend server to read."""
        self.write_paused = False
        waiting, self._on_writable = self._on_writable, []
        for function in waiting:
            function()

    def when_writable(self, function: collections.abc.Callable[[], None]) -> None:
        """Run a function once the backend server has read what was written."""
        self._on_writable.append(function)

    def pause(self) -> None:
        """Stop reading until :meth:`resume`."""
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read again."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def abandon(self) -> None:
        """Close the connection; the backend server takes that as cancellation."""
        self._receiver = None
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._receiver is None:
            # Bytes that belong to no exchange: never read them as an answer.
            self._transport.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail()

    # Callbacks of the parser, which names them.

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._headers = []
        if self._receiver is None:
            # A second answer right behind the first: the connection cannot be
            # trusted to begin the next exchange at its own answer.
            self._reusable = False
            self._transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Gather a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Pass the head on."""
        status = self._parser.get_status_code()
        self._answered = True
        self._informational = status < 200
        if self._informational or self._receiver is None:
            return
        self._foreign = self._is_foreign()
        if self._foreign:
            # A late second answer to an earlier request; ours may still follow.
            self._trusted = False
            return
        values = dict(self._headers)
        lengths = []
        if b"content-length" in values:
            lengths = [value for n, value in self._headers if n == b"content-length"]
        chunked = b"transfer-encoding" in values
        bodiless = self._head_only or status in BODILESS
        if len(lengths) > 1 and len(set(lengths)) > 1:
            self._fail()
            return
        self._until_close = not (lengths or chunked or bodiless)
        self._reusable = (
            self._trusted and self._parser.should_keep_alive() and not self._until_close
        )
        told = values.get(b"keep-alive")
        if told is not None:
            self._pool.note_keep_alive(told)
        head = heads.status_line(status) + heads.passed_on(self._headers)
        if self._head_only and lengths:
            head += b"content-length: %b\r\n" % lengths[0]
        length = int(lengths[0]) if lengths and not chunked else -1
        mark = self._pool.dialect.not_executed
        executed = status != messages.MISDIRECTED and mark not in values
        self._receiver.on_head(
            status, head, 0 if bodiless else length, executed=executed
        )
        if self._head_only:
            self._reusable = False
            self._end()

    def on_body(self, body: bytes) -> None:
        """Pass a piece of the body on."""
        if self._receiver is not None and not self._informational and not self._foreign:
            self._receiver.on_body(body)

    def on_message_complete(self) -> None:
        """End the exchange."""
        if self._foreign:
            return
        if not self._informational and self._receiver is not None:
            self._end()

    def _end(self) -> None:
        receiver, self._receiver = self._receiver, None
        if self._reusable and self._upload_ended:
            # The last pieces may have used up the credit; a connection that went
            # back paused let the next exchange on it hang.
            self.resume()
            self._pool.put(self)
        else:
            self._transport.close()
        if receiver is not None:
            receiver.on_end()

    def _is_foreign(self) -> bool:
        """Tell whether an answer names another request than the one under way."""
        name = self._pool.dialect.request_id
        if not name or not self._request_id:
            return False
        return any(n == name and v != self._request_id for n, v in self._headers)

    def _fail(self) -> None:
        receiver, self._receiver = self._receiver, None
        self._transport.abort()
        if receiver is not None:
            receiver.on_failure(handed=True)
