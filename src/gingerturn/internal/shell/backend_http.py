"""HTTP/1.1 connections to the backend server of this node."""

import asyncio
import collections.abc
import typing

import httptools
import msgspec

from gingerturn.internal import decoding, ids, logs, outcome_log
from gingerturn.internal.core import messages
from gingerturn.internal.shell import (
    acknowledgements,
    clock,
    connection_ends,
    heads,
    sockets,
    supervision,
)

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import backend_pool

_PART = "backend"

BODILESS = frozenset({204, 304})

FIRST_STATUS, LAST_STATUS = 100, 599
"""Valid statuses (RFC 9110, section 15). The parser takes any three digits."""

LEAVING = b"1"
"""Value of the header by which a backend server reports that it is leaving."""


MAX_HEAD_BYTES = 65_536
"""Limit of the head of an answer, and of what follows its body. The parser copies what
it has of an unfinished line with each piece that arrives."""

MAX_REJECTED_IDS = 64
"""Rejected requests after which a connection is closed, which bounds their list."""

MAX_ANSWERED_IDS = 64
"""Other answered requests whose ids a connection remembers, the latest ones."""


def _content_length(values: list[bytes]) -> int | None:
    """Return the length that headers give, -1 without a header.

    :return: ``None`` if they differ, or give no number in range.
    """
    if not values:
        return -1
    text = values[0].strip().decode("latin-1")
    length = decoding.parse_whole(text, most=decoding.MAX_WHOLE)
    if length is None or len(set(values)) > 1:
        shown = decoding.shown(b", ".join(values).decode("latin-1"))
        problem = f"{shown} is no length; allowed is 0 to {decoding.MAX_WHOLE}"
        logs.warn_skipped("Answer with the header", b"content-length", problem)
        return None
    return length


class Rejection(msgspec.Struct, frozen=True):
    """An answer that says that its request did not run.

    :param answer_id: the request id in the answer; empty if it has none.
    :param connection: number of the connection that it arrived on.
    :param exchange: number of the exchange on that connection, from 1.
    :param after_ms: time since the request was written.
    """

    status: int
    answer_id: str
    connection: int
    exchange: int
    after_ms: ids.Milliseconds


class Receiver(typing.Protocol):
    """Callbacks of an exchange."""

    def on_report(self, rate_limit: float, *, leaving: bool) -> None:
        """Handle what the head of the answer reports of the backend server.

        :param rate_limit: requests a second; :data:`rate_limits.NO_LIMIT` if none.
        :param leaving: it takes no new requests.
        """

    def on_load(self, load: messages.BackendLoad) -> None:
        """Handle the load that the head of the answer reports."""

    def on_head(
        self, status: int, head: bytes, length: int, *, rejection: Rejection | None
    ) -> None:
        """Handle the head of the answer.

        :param length: length of the body; -1 if it is not known.
        :param rejection: what says that the request did not run, if anything does.
        """

    def on_body(self, body: bytes) -> None:
        """Handle a piece of the body."""

    def on_end(self) -> None:
        """Handle the end of a complete answer."""

    def on_failure(self, *, dispatched: bool) -> None:
        """Handle a failure, the last callback of its exchange.

        :param dispatched: whether the request was written.
        """


class Connection(asyncio.Protocol):
    """A connection to the backend server, for one exchange at a time.

    Invariant: it returns to the pool only after a complete answer with no bytes after
    it. It is closed after a cancelled or failed exchange, and after an answer to
    another request. So one that left a request unanswered is never reused. It carries
    no request id again that was answered on it: a second answer to the first sending
    could not be told from the answer to the next one.

    :param pool: the pool that it returns to.
    """

    def __init__(self, pool: "backend_pool.Pool") -> None:
        self._pool = pool
        self._number = pool.next_connection_number()
        self._exchanges = 0
        self.address = pool.address
        self._transport: asyncio.Transport = typing.cast(asyncio.Transport, None)
        self._watched = typing.cast(acknowledgements.Watched, None)
        self._silence: TimeoutError | None = None
        self._parser: typing.Any = None
        self._receiver: Receiver | None = None
        self._head_only = False
        self._informational = False
        self._headers: list[heads.Header] = []
        self._reusable = False
        self._chunked = False
        self._written = False
        self._answered = False
        self._complete = False
        self._upload_ended = True
        self._request_id = b""
        self._rejected_ids: set[bytes] = set()
        # In the order of their answers.
        self._answered_ids: dict[bytes, None] = {}
        self._unrelated = False
        self._in_sync = True
        self._until_close = False
        self._on_writable: list[collections.abc.Callable[[], None]] = []
        # Idle time before the current exchange; 0 for a new connection.
        self._idle_ms = 0.0
        self._begun_at = 0.0
        self._recorded_unanswered = False
        self._head_bytes = 0
        self._unparsed_bytes = 0
        self.write_paused = False
        self.idle_since = 0.0

    @property
    def usable(self) -> bool:
        """Whether a new exchange may begin."""
        return not self._transport.is_closing()

    def may_carry(self, request_id: bytes) -> bool:
        """Whether an answer to a request with this id can be told from others.

        :param request_id: empty if the request has none.
        """
        if not request_id and self._pool.dialect.request_id:
            return self._exchanges == 0
        is_known = request_id in self._rejected_ids or request_id in self._answered_ids
        return not is_known

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable the detection of a silent backend server."""
        self._transport = typing.cast(asyncio.Transport, transport)
        sockets.enable_keepalive(transport)
        self._watched = acknowledgements.Watched(self._transport, self._on_silent)

    def eof_received(self) -> None:
        """Complete an answer that is delimited by the end of the connection.

        It is not called for a connection that was reset, whose answer is incomplete.
        """
        if self._until_close and self._receiver is not None and not self._unrelated:
            self._end()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the current exchange, unless its whole answer has been received."""
        if error is not None:
            self._read_undelivered()
        error = error or self._silence
        self._pool.discard(self)
        if self._receiver is not None and self._written:
            connection_ends.record_backend(
                self._pool.connection_ends,
                error,
                request=self._request_id.decode("latin-1"),
                answered=self._answered,
                exchange=self._exchanges,
            )
        if self._receiver is not None and not self._answered and self._idle_ms > 0:
            self._pool.record_idle_loss(self._idle_ms)
        if isinstance(error, TimeoutError):
            # The peer is silent.
            self.record_unanswered()
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.on_failure(dispatched=self._written)

    def begin(
        self,
        receiver: Receiver,
        head: bytes,
        body: bytes,
        *,
        request_id: bytes,
        head_only: bool,
        whole: bool = True,
    ) -> None:
        """Begin an exchange: write the head and the first part of the body.

        :param request_id: the id in the head; empty if it has none.
        :param whole: whether the body is complete; otherwise pieces follow.
        """
        self._receiver = receiver
        self._exchanges += 1
        self._parser = httptools.HttpResponseParser(self)
        self._head_only = head_only
        self._informational = False
        self._unrelated = False
        self._until_close = False
        self._upload_ended = whole
        self._request_id = request_id
        self._chunked = b"\ntransfer-encoding: chunked\r\n" in head
        self._written = True
        self._answered = False
        self._complete = False
        self._begun_at = clock.now()
        self._recorded_unanswered = False
        self._head_bytes = 0
        self._unparsed_bytes = 0
        self._idle_ms = self._begun_at - self.idle_since if self.idle_since else 0.0
        self._pool.watch.add(self._watched)
        if body and not self._chunked:
            self._transport.writelines((head, b"\r\n", body))
            return
        self._transport.write(head + b"\r\n")
        if body:
            self.write(body)
        if whole and self._chunked:
            self.write_end()

    def write(self, body: bytes) -> None:
        """Write a piece of a streamed body."""
        self._pool.watch.add(self._watched)
        if self._chunked:
            self._transport.write(b"%x\r\n%b\r\n" % (len(body), body))
        else:
            self._transport.write(body)

    def write_end(self) -> None:
        """End a streamed body."""
        self._upload_ended = True
        if self._chunked:
            self._pool.watch.add(self._watched)
            self._transport.write(b"0\r\n\r\n")

    def pause_writing(self) -> None:
        """Record that the write buffer is full."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Run the functions that waited for the write buffer to drain."""
        self.write_paused = False
        waiting, self._on_writable = self._on_writable, []
        for function in waiting:
            function()

    def when_writable(self, function: collections.abc.Callable[[], None]) -> None:
        """Run a function once the write buffer has drained."""
        self._on_writable.append(function)

    def pause(self) -> None:
        """Stop reading until :meth:`resume`."""
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def abandon(self) -> None:
        """Close the connection, which cancels the call at the backend server."""
        self.record_unanswered()
        self._receiver = None
        self._transport.abort()

    def record_unanswered(self) -> None:
        """Tell the pool, once, if the request of the current exchange is unanswered."""
        if self._receiver is None or self._answered or self._recorded_unanswered:
            return
        self._recorded_unanswered = True
        self._pool.record_unanswered(clock.now() - self._begun_at)

    def data_received(self, data: bytes) -> None:
        """Feed the parser, then end the exchange if its answer is complete.

        Not before: the next request may be written as soon as the exchange ends, and
        the bytes behind the answer would be read as a part of the next one.
        """
        if self._receiver is None:
            # Unsolicited bytes must not be read as the next answer.
            self._pool.unrelated_answers += 1
            self._transport.abort()
            return
        self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
            if self._unparsed_bytes > MAX_HEAD_BYTES and not self._complete:
                # The parser reports a header only once its line is complete.
                self._fail_for_head()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if isinstance(error.__context__, _TooLarge):
                if not self._complete:
                    self._fail_for_head()
            elif isinstance(error, httptools.HttpParserCallbackError):
                # Not an answer that is invalid, but an error while it was handled.
                cause = error.__context__ or error
                supervision.record(_PART, cause, subject=self._subject)
            if not self._complete:
                self._fail()
            self._reusable = False
        if self._complete:
            self._end()

    # Callbacks of httptools.HttpResponseParser.

    def on_message_begin(self) -> None:
        """Start an answer."""
        self._headers = []
        self._head_bytes = 0
        if self._complete:
            self._pool.unrelated_answers += 1
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers.append((name.lower(), value))
        self._head_bytes += len(name) + len(value) + 4
        if self._head_bytes > MAX_HEAD_BYTES:
            raise _TooLarge

    def on_headers_complete(self) -> None:
        """Handle the complete head."""
        self._unparsed_bytes = 0
        if self._complete:
            return
        status = self._parser.get_status_code()
        if not FIRST_STATUS <= status <= LAST_STATUS:
            self._fail_for_status(status)
            return
        self._answered = True
        self._informational = status < 200
        if self._informational or self._receiver is None:
            return
        values = dict(self._headers)
        self._unrelated = self._is_unrelated(values)
        if self._unrelated:
            # The expected answer may still follow.
            self._in_sync = False
            self._record_unrelated(status, values)
            return
        lengths = []
        if b"content-length" in values:
            lengths = [value for n, value in self._headers if n == b"content-length"]
        chunked = b"transfer-encoding" in values
        bodiless = self._head_only or status in BODILESS
        length = _content_length(lengths)
        if length is None:
            self._fail()
            return
        self._until_close = not (lengths or chunked or bodiless)
        is_identified = bool(self._request_id) or not self._pool.dialect.request_id
        self._reusable = (
            self._in_sync
            and is_identified
            and self._parser.should_keep_alive()
            and not self._until_close
        )
        keep_alive = values.get(b"keep-alive")
        if keep_alive is not None:
            self._pool.update_keep_alive(keep_alive)
        head = heads.status_line(status) + heads.forwarded_lines(self._headers)
        if self._head_only and lengths:
            head += b"content-length: %d\r\n" % length
        if chunked:
            length = -1
        is_misdirected = status == messages.MISDIRECTED
        if not is_misdirected:
            # Another instance sends 421, and its limit is not that of the intended one.
            self._relay_reports(self._receiver, values)
        rejection = None
        if is_misdirected or self._pool.dialect.not_executed in values:
            rejection = self._rejection(status, values)
        self._forbid_request_id(is_rejected=rejection is not None)
        self._receiver.on_head(
            status, head, 0 if bodiless else length, rejection=rejection
        )
        if self._head_only:
            self._reusable = False
            self._complete = True

    def on_body(self, body: bytes) -> None:
        """Handle a piece of the body."""
        self._unparsed_bytes = 0
        is_own = not (self._informational or self._unrelated or self._complete)
        if self._receiver is not None and is_own:
            self._receiver.on_body(body)

    def on_message_complete(self) -> None:
        """Note that the answer is complete."""
        if self._complete:
            return
        if self._unrelated:
            if not self._parser.should_keep_alive():
                self._fail()
            return
        if not self._informational and self._receiver is not None:
            self._complete = True

    def _read_undelivered(self) -> None:
        """Read an answer whose sender has reset the connection behind it.

        A backend server that answers before it has read a request, and closes, resets
        the connection; what is written of the request then fails.
        """
        for data in sockets.read_undelivered(self._transport):
            if self._receiver is None:
                return
            self.data_received(data)

    def _end(self) -> None:
        self._complete = False
        receiver, self._receiver = self._receiver, None
        if self._reusable and self._upload_ended:
            # Reading may be paused for lack of credit, which would block the next
            # exchange on this connection.
            self.resume()
            self._pool.put(self)
        else:
            self._transport.close()
        if receiver is None:
            return
        try:
            receiver.on_end()
        except Exception as error:
            supervision.record(_PART, error, subject=self._subject)
            receiver.on_failure(dispatched=True)

    @property
    def _subject(self) -> str:
        request_id = self._request_id.decode("latin-1")
        return f"answer to {request_id or 'a request without an id'}"

    def _relay_reports(self, receiver: Receiver, values: dict[bytes, bytes]) -> None:
        """Relay what the head reports of the backend server."""
        receiver.on_report(
            self._pool.read_rate_limit(self._headers, values),
            leaving=values.get(self._pool.dialect.leaving) == LEAVING,
        )
        load = self._pool.read_load(self._headers, values)
        if load is not None:
            receiver.on_load(load)

    def _forbid_request_id(self, *, is_rejected: bool) -> None:
        """Keep the answered request from returning over this connection."""
        if not self._request_id:
            return
        if not is_rejected:
            self._answered_ids[self._request_id] = None
            if len(self._answered_ids) > MAX_ANSWERED_IDS:
                del self._answered_ids[next(iter(self._answered_ids))]
            return
        self._rejected_ids.add(self._request_id)
        if len(self._rejected_ids) >= MAX_REJECTED_IDS:
            self._reusable = False

    def _is_unrelated(self, values: dict[bytes, bytes]) -> bool:
        """Whether the answer belongs to another request or to none.

        An answer without the id of the request may be bytes that belong to none.

        :param values: the last value of each header.
        """
        name = self._pool.dialect.request_id
        if not name:
            return False
        if name not in values:
            return bool(self._request_id)
        if len(values) == len(self._headers):
            return values[name] != self._request_id
        return any(n == name and v != self._request_id for n, v in self._headers)

    def _rejection(self, status: int, values: dict[bytes, bytes]) -> Rejection:
        return Rejection(
            status=status,
            answer_id=self._answer_id(values),
            connection=self._number,
            exchange=self._exchanges,
            after_ms=clock.now() - self._begun_at,
        )

    def _answer_id(self, values: dict[bytes, bytes]) -> str:
        return values.get(self._pool.dialect.request_id, b"").decode("latin-1")

    def _record_unrelated(self, status: int, values: dict[bytes, bytes]) -> None:
        """Record an answer that belongs to another request or to none."""
        self._pool.unrelated_answers += 1
        if not outcome_log.may_record(dispatch=False):
            return
        outcome_log.record(
            self._request_id.decode("latin-1"),
            "backend",
            outcome_log.UNRELATED_ANSWER,
            status=status,
            waited_ms=round(clock.now() - self._begun_at, 1),
            connection=self._number,
            exchange=self._exchanges,
            answer_id=self._answer_id(values),
        )

    def _on_silent(self) -> None:
        self._silence = TimeoutError("the peer acknowledges nothing")
        self._transport.abort()

    def _fail_for_head(self) -> None:
        if logs.may_write_change():
            text = (
                f"Head of the {self._subject} is too long; allowed are"
                f" {MAX_HEAD_BYTES} bytes."
            )
            logs.write("WARNING", _PART, text)
        self._fail()

    def _fail_for_status(self, status: int) -> None:
        """Fail the exchange for an answer that is none, whatever its headers state."""
        if self._receiver is None:
            return
        self._pool.invalid_statuses += 1
        if logs.may_write_change():
            host, port = self.address
            text = (
                f"Status {status:03} in the {self._subject} of {host}:{port}; allowed"
                f" are {FIRST_STATUS} to {LAST_STATUS}."
            )
            logs.write("WARNING", _PART, text)
        self._fail()

    def _fail(self) -> None:
        receiver, self._receiver = self._receiver, None
        self._transport.abort()
        if receiver is not None:
            receiver.on_failure(dispatched=True)


class _TooLarge(Exception):
    """The head exceeds :data:`MAX_HEAD_BYTES`."""
