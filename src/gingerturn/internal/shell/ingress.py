"""Connections of callers, over HTTP/1.1."""

import asyncio
import collections
import collections.abc
import json
import typing

import httptools

from gingerturn import errors, routes
from gingerturn.internal import ids, logs
from gingerturn.internal.core import effects, events, messages, routing
from gingerturn.internal.shell import (
    caller_input,
    caller_limits,
    caller_requests,
    clock,
    connection_ends,
    entry,
    heads,
    held_bytes,
    request_parser,
    sockets,
    supervision,
    tickets,
)

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes


MAX_PIPELINED = 8
"""Requests of one connection that are read ahead and may run at once. Callers without
pipelining open about as many connections to one host (browsers: six)."""

MAX_HELD_BYTES = 65_536
"""Answers that wait for earlier ones on their connection, above which no further
request of it is dispatched ahead of its turn."""

PARALLEL_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS"})
"""Methods of pipelined requests that may run in parallel (RFC 9112, 9.3.2)."""

OWN_AUTHORITY = "gingerturn"
"""Authority (``Host``) of the requests that the node answers itself."""

MIN_COUNTED_BYTES = 4_096
"""Bodies below are not counted once they are complete."""

NO_MEMORY_CAUSE = "no memory left"
"""Cause of a connection's close, for the log."""

EXHAUSTED_RETRY_MS = 1_000.0
"""Retry delay of a request that was refused for lack of memory or descriptors."""

ERROR_RETRY_MS = 1_000.0
"""Retry delay of a request that was refused for an error of this node."""

_PART = "ingress"


class CallerConnection(asyncio.BufferedProtocol):
    """One connection of a caller; its requests are answered in order.

    Pipelined requests that are safe run in parallel, since one that waits for the
    answers before it can miss its latency target while upstreams are idle.

    Invariants: answers are written only for ``_requests[0]``, others are held; nothing
    behind a request after which the connection closes is dispatched; input is ignored
    once ``_final_response`` is set or the connection closes.

    :param node: the node that serves the connection.
    """

    def __init__(self, node: "nodes.Node") -> None:
        self._node = node
        self._parser = request_parser.RequestParser(self)
        self._transport: asyncio.Transport = typing.cast(asyncio.Transport, None)
        self._requests: collections.deque[caller_requests.Request] = collections.deque()
        self._reading: caller_requests.Request | None = None
        self._in_head = False
        self._head_bytes = 0
        self._unparsed_bytes = 0
        # Heads and pieces of bodies that the parser has reported.
        self._reports = 0
        self._pieces: list[bytes] = []
        self._input = caller_input.Input(
            node.turns,
            parse=self._parse,
            step_bytes=self._step_bytes,
            parsed=self._on_parsed,
        )
        # As set in the account of the node.
        self._held = 0
        self._limits = caller_limits.effective(node)
        # Time at which the head being read began, the last piece of a body arrived, or
        # the last request ended.
        self._waiting_since = clock.now()
        # The error response to bad input; sent after the answers to earlier requests.
        self._final_response = b""
        self._closing = False
        # Why this node closes the connection, for the log.
        self._close_cause = ""
        self._is_end_recorded = False
        self._write_paused = False
        # When the caller stopped reading, while writing is paused.
        self._unread_since = 0.0
        self._dispatching = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the node."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._input.connect(self._transport)
        self._node.caller_connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the calls that the caller waited for."""
        self._record_end(error)
        self._closing = True
        self._node.caller_connections.discard(self)
        self._input.close()
        self._drop_requests()
        self._set_held(0)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer of the node, whose content is copied at once."""
        return self._node.read_buffer

    def buffer_updated(self, count: int) -> None:
        """Take what was read into the buffer."""
        self.data_received(bytes(self._node.read_buffer[:count]))

    def data_received(self, data: bytes) -> None:
        """Take what was read."""
        self._input.receive(data)

    def _step_bytes(self) -> int:
        """Return how much input is parsed at once: the rest of a body of known length,
        which is one piece, or a step."""
        request = self._reading
        if request is None or self._in_head:
            return caller_input.STEP_BYTES
        return max(caller_input.STEP_BYTES, request.length - request.body_bytes)

    def _on_parsed(self) -> None:
        if self._held or self._reading is not None:
            self._count_held()

    def _parse(self, data: bytes) -> None:
        """Feed the parser; reject input that is not valid and close the connection."""
        if self._closing or self._final_response:
            return
        try:
            request, reports = self._reading, self._reports
            self._parser.feed_data(data)
            self._take_pieces()
            if self._reading is not None and (request, reports) == (
                self._reading,
                self._reports,
            ):
                # The parser reports lines only once they are complete, and extensions
                # of chunks never, so their bytes are bounded here.
                self._count_unparsed(len(data))
        except _TooLarge:
            self._reject_head()
        except httptools.HttpParserUpgrade:
            # The request for a tunnel was rejected at its head.
            pass
        except httptools.HttpParserError as error:
            cause = error.__context__ if error.__context__ else error
            if isinstance(cause, _TooLarge):
                self._reject_head()
                return
            if isinstance(error, httptools.HttpParserCallbackError):
                supervision.record(_PART, cause)
                self._on_read_error()
                return
            self._reject(400, f"not a valid HTTP/1.1 request: {error}")
        except Exception as error:
            supervision.record(_PART, error)
            self._on_read_error()
        finally:
            self._pieces.clear()

    def pause_writing(self) -> None:
        """Withhold credit until the caller has read what is buffered."""
        self._write_paused = True
        self._unread_since = clock.now()
        self._count_held()

    def resume_writing(self) -> None:
        """Grant the withheld credit, and dispatch what waited."""
        self._write_paused = False
        self._count_held()
        if not self._requests:
            return
        self._grant_withheld(self._requests[0])
        self._dispatch_ready()

    # Callbacks of request_parser.RequestParser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reading = caller_requests.Request(self)
        self._in_head = True
        self._head_bytes = 0
        self._unparsed_bytes = 0
        self._limits = caller_limits.effective(self._node)
        self._waiting_since = self._reading.began_at = clock.now()

    def on_url(self, url: bytes) -> None:
        """Append to the target, which may arrive in several pieces."""
        request = self._current()
        request.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are only counted.

        Merged into the head, a trailer could stand for a header that was checked or is
        written by nodes (RFC 9110, 6.5.1).
        """
        if self._in_head:
            request = self._reading or self._current()
            request.headers.append((name.lower(), value))
        # As in _count_head(), without the call: this runs for each header.
        self._head_bytes += len(name) + len(value) + 4
        if self._head_bytes > self._limits.head_bytes:
            raise _TooLarge

    def on_headers_complete(self) -> None:
        """Check the complete head."""
        self._in_head = False
        self._note_report(caller_input.HEAD_COST)
        if self._closing or self._final_response:
            return
        request = self._current()
        request.index_headers()
        request.method = self._parser.get_method()
        request.length = caller_requests.declared_length(request)
        request.close_after = not self._parser.should_keep_alive()
        self._requests.append(request)
        version = self._parser.get_http_version()
        problem = caller_requests.framing_problem(
            request, version, api_key=self._node.dialect.api_key
        )
        if problem:
            self._reject(400, problem)
            return
        if request.length > self._limits.body_bytes:
            self._reject_body()
            return
        if not self._is_first(request):
            return
        if self._node.stopped.is_set() and caller_requests.has_body(request):
            # Refused before the caller has sent its body.
            self._dispatch(request)
            return
        self._ask_for_body(request)

    def framing_line(self) -> bytes:
        """Return the header line that frames the body of the current request."""
        return caller_requests.framing_line(self._current())

    def on_body(self, body: bytes) -> None:
        """Collect a piece of a body, which may be as small as a byte."""
        self._note_report(caller_input.PIECE_COST)
        if not (self._closing or self._final_response):
            self._pieces.append(body)

    def _take_pieces(self) -> None:
        """Join the pieces that were parsed at once, and take them as one."""
        pieces = self._pieces
        if not pieces:
            return
        body = pieces[0] if len(pieces) == 1 else b"".join(pieces)
        pieces.clear()
        self._take_body(self._current(), body)

    def _take_body(self, request: caller_requests.Request, body: bytes) -> None:
        """Buffer a piece of a body, or stream it to the home node."""
        request.body_bytes += len(body)
        self._waiting_since = clock.now()
        if request.body_bytes > self._limits.body_bytes:
            self._reject_body()
            return
        if request.body_sink is not None:
            self._stream_in(request, body)
            return
        request.body += body
        if len(request.body) > MIN_COUNTED_BYTES:
            self._count_held()
            if self._final_response:
                return
        limit = self._node.settings.limits.body_buffer
        if len(request.body) <= limit or request.answered:
            if request.answered:
                request.body.clear()
            return
        self._input.pause(caller_input.Pause.BODY)
        if request is self._requests[0] and not request.dispatched:
            self._dispatch(request)

    def on_message_complete(self) -> None:
        """Dispatch the complete request if it is first in line."""
        self._take_pieces()
        request = self._current()
        request.complete = True
        self._reading = None
        if self._input.is_paused:
            # Nothing of its body is left to be passed on.
            self._input.resume(caller_input.Pause.BODY)
        if self._closing or self._final_response:
            return
        if request.body_sink is not None:
            request.body_sink(b"", True)
            return
        if len(self._requests) > MAX_PIPELINED:
            self._input.pause(caller_input.Pause.PIPELINE)
        self._dispatch_ready()

    # Called by the node.

    def start_streaming(
        self, request: caller_requests.Request, sink: caller_requests.BodySink
    ) -> None:
        """Stream the rest of a request body to a sink as it arrives."""
        request.body_sink = sink
        request.credit = caller_requests.WINDOW_BYTES - len(request.body)
        if request.complete:
            sink(b"", True)
            return
        if request.credit > 0:
            self._input.resume(caller_input.Pause.BODY)

    def add_credit(self, request: caller_requests.Request, count: int) -> None:
        """Add credit for a streamed request body; resume reading if it is positive."""
        request.credit += count
        if request.credit > 0:
            self._input.resume(caller_input.Pause.BODY)

    def send_whole(
        self, request: caller_requests.Request, head: bytes, body: bytes
    ) -> None:
        """Write a complete answer."""
        if self._closing or request.answered:
            return
        if b"\ncontent-length:" not in head:
            # An answer to HEAD has the Content-Length of the backend server.
            head += b"content-length: %d\r\n" % len(body)
        without_body = request.method == b"HEAD"
        self._write_head(request, head, b"" if without_body else body)
        self._finish(request)

    def send_streaming(
        self, request: caller_requests.Request, head: bytes, length: int
    ) -> None:
        """Write the head of a streamed answer; :meth:`send_piece` writes its body."""
        if self._closing or request.answered:
            return
        request.streaming_out = True
        request.chunked_out = length < 0
        if length < 0:
            head += b"transfer-encoding: chunked\r\n"
        else:
            head += b"content-length: %d\r\n" % length
        self._write_head(request, head)

    def send_piece(
        self, request: caller_requests.Request, body: bytes, *, last: bool
    ) -> None:
        """Write a piece of a streamed answer and grant credit for its length."""
        if self._closing:
            return
        if body and request.chunked_out:
            self._write(request, b"%x\r\n%b\r\n" % (len(body), body))
        elif body:
            self._write(request, body)
        if last:
            if request.chunked_out:
                self._write(request, b"0\r\n\r\n")
            self._finish(request)
            return
        if self._write_paused or not self._is_first(request):
            request.withheld_credit += len(body)
        elif request.grant_credit is not None:
            request.grant_credit(len(body))

    def abort(self, request: caller_requests.Request) -> None:
        """Abort a streamed answer that cannot be completed.

        The caller sees a body shorter than Content-Length, or no last chunk, and so
        detects the truncation. An answer of which nothing was written yet is replaced
        by a problem, so that the requests around it keep their connection.
        """
        if self._closing:
            return
        if self._is_first(request):
            # Not aborted: whole answers before it may wait in the write buffer.
            self.close("the answer broke off")
            return
        request.held_output.clear()
        request.answered = False
        unknown = messages.Outcome.UNKNOWN
        self._answer_problem(request, 502, "the answer broke off", outcome=unknown)

    def send_problem(
        self, request: caller_requests.Request, refusal: effects.RefuseCall
    ) -> None:
        """Write a problem response."""
        if self._closing or request.answered:
            return
        close = self._closes_after(request)
        self._write(
            request,
            heads.problem(
                status=refusal.status,
                outcome=refusal.outcome,
                title=refusal.title,
                retry_after_ms=refusal.retry_after_ms,
                decision=refusal.decision,
                close=close,
                with_body=request.method != b"HEAD",
                dialect=self._node.dialect,
                request_id=request.request_id,
            ),
        )
        request.close_after = close
        self._finish(request)

    @property
    def held_since(self) -> ids.Milliseconds:
        """When the caller last sent a part of a request, or began not to read."""
        return self._unread_since if self._write_paused else self._waiting_since

    @property
    def may_be_given_up(self) -> bool:
        """Whether the caller is waited for, to send or to read."""
        return not self._closing and (self._write_paused or self._reading is not None)

    def give_up(self, cause: str = NO_MEMORY_CAUSE) -> None:
        """Free what is held for a caller that is waited for, and end the connection."""
        reading = self._reading
        if reading is None or reading.dispatched or self._write_paused:
            self.close(cause)
            # What the caller does not read would stay in the write buffer.
            self._transport.abort()
            return
        self._reject(503, cause, retry_after_ms=EXHAUSTED_RETRY_MS)
        reading.body.clear()
        if not self._closing:
            self._count_held()

    def _count_held(self) -> None:
        """Set in the account what is held for the caller."""
        requests = list(self._requests)
        if self._reading is not None and self._reading not in requests:
            requests.append(self._reading)
        held = self._input.waiting_bytes + self._transport.get_write_buffer_size()
        held += sum(request.held_bytes for request in requests)
        if requests:
            held += held_bytes.CONNECTION_BYTES + self._head_bytes
        self._set_held(0 if self._closing else held)

    def _set_held(self, count: int) -> None:
        if count != self._held:
            self._held = count
            self._node.held.set(self, count)

    @property
    def idle(self) -> bool:
        """Whether no request is being served or read."""
        return not self._requests and self._reading is None

    @property
    def idle_since(self) -> ids.Milliseconds:
        """Time at which the last request ended, or the connection was made."""
        return self._waiting_since

    @property
    def has_unread_input(self) -> bool:
        """Whether this node, or the kernel, has received what is not parsed yet."""
        return bool(self._input.waiting_bytes) or sockets.has_unread(self._transport)

    @property
    def closing(self) -> bool:
        """Whether the node has closed the connection, which may still linger."""
        return self._closing

    @property
    def open_requests(self) -> list[caller_requests.Request]:
        """Requests that were read at least in part and whose answer is not written."""
        found = [request for request in self._requests if not request.finished]
        reading = self._reading
        if reading is None or reading.finished or not reading.headers:
            return found
        if self._final_response:
            # It is rejected, and that is its answer.
            return found
        if reading not in self._requests:
            found.append(reading)
        return found

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the kernel has not taken yet."""
        return self._transport.get_write_buffer_size()

    @property
    def owes_answer(self) -> bool:
        """Whether an end of the process could cost the caller a part of an answer.

        So it is while a request is read or served, bytes wait in the write buffer, or
        the caller still sends on a connection that lingers.
        """
        if self._closing:
            return self._node.lingering.awaits(self._transport)
        return not self.idle or self._transport.get_write_buffer_size() > 0

    @property
    def accepted_requests(self) -> tuple[caller_requests.Request, ...]:
        """Requests whose head was read and whose answer is not written, in order."""
        return tuple(self._requests)

    @property
    def undelivered_bytes(self) -> int:
        """Bytes of answers that the caller's machine has not acknowledged."""
        return sockets.undelivered_bytes(self._transport)

    def dispatch_all(self) -> None:
        """Dispatch every request, also before its body has arrived.

        For the end of a stop, when every call is refused on its arrival.
        """
        for request in self.accepted_requests:
            if self._closing or self._final_response:
                return
            if not request.dispatched:
                self._dispatch(request)

    def check_timeout(self, now: ids.Milliseconds) -> None:
        """Close the connection if a head, a body or the next request did not arrive in
        time.

        What arrived in time may not have been read yet, after a pause of the process.
        """
        if self._closing or self._final_response:
            return
        if self._reading is not None and not self._in_head:
            self._check_body(self._reading, now)
            return
        if self._requests:
            return
        limits = caller_limits.effective(self._node)
        is_idle = self._reading is None
        limit_ms = limits.idle_timeout_ms if is_idle else limits.head_timeout_ms
        is_late = now - self._waiting_since > limit_ms
        if not is_late or self.has_unread_input:
            return
        if is_idle:
            self.close("idle")
        else:
            self._reject(408, "the request's head took too long")

    def _check_body(
        self, request: caller_requests.Request, now: ids.Milliseconds
    ) -> None:
        """Reject a request whose body stopped, or took longer than its caller waits.

        One that is dispatched ends by its deadline.
        """
        if request.dispatched or self._input.is_paused:
            return
        idle_ms = caller_limits.effective(self._node).idle_timeout_ms
        has_stopped = now - self._waiting_since > idle_ms
        is_late = now - request.began_at > caller_limits.body_timeout(
            self._node, request
        )
        if not (has_stopped or is_late) or self.has_unread_input:
            return
        self._reject(408, "the request's body took too long")

    def close(self, cause: str) -> None:
        """Close the connection after the write buffer is flushed.

        It lingers, since its caller may still send. Requests without an answer end at
        once.

        :param cause: for the log.
        """
        if self._closing:
            return
        self._closing = True
        self._close_cause = cause
        if self.open_requests:
            self._record_end(None)
        is_sending = self._reading is not None or bool(self._final_response)
        self._input.close()
        self._drop_requests()
        self._set_held(0)
        self._node.lingering.close(self._transport, self, is_sending=is_sending)

    def _record_end(self, error: Exception | None) -> None:
        """Record the end of the connection and its open requests, once."""
        if self._is_end_recorded:
            return
        self._is_end_recorded = True
        connection_ends.record_caller(
            self._node,
            self.open_requests,
            error,
            by_node=self._closing,
            cause=self._close_cause,
        )

    def _drop_requests(self) -> None:
        """Cancel the calls that the caller waits for."""
        while self._requests:
            request = self._requests.popleft()
            if request.dispatched and not request.answered:
                self._node.apply(events.CallerGone(now=clock.now(), call=request.call))
            if request.dispatched:
                self._node.entry.forget_request(request)
        self._reading = None

    def abort_transport(self) -> None:
        """Close the connection without flushing the write buffer."""
        self._transport.abort()

    def _current(self) -> caller_requests.Request:
        if self._reading is None:
            self._reading = caller_requests.Request(self)
        return self._reading

    def _count_head(self, count: int) -> None:
        self._head_bytes += count
        if self._head_bytes > self._limits.head_bytes:
            raise _TooLarge

    def _note_report(self, cost: int) -> None:
        self._reports += 1
        self._input.add_cost(cost)
        self._unparsed_bytes = 0

    def _count_unparsed(self, count: int) -> None:
        self._unparsed_bytes += count
        if self._unparsed_bytes > self._limits.head_bytes:
            raise _TooLarge

    def _stream_in(self, request: caller_requests.Request, body: bytes) -> None:
        if request.body_sink is None:
            return
        request.credit -= len(body)
        if request.credit <= 0:
            self._input.pause(caller_input.Pause.BODY)
        request.body_sink(body, False)

    def refuse_for_error(self, request: caller_requests.Request) -> None:
        """Refuse a request that was not sent and will not be, after an error."""
        retry_ms = ERROR_RETRY_MS
        try:
            self._answer_problem(
                request, 503, entry.ERROR_CAUSE, retry_after_ms=retry_ms
            )
        except Exception as error:
            supervision.record(_PART, error)
            self.close(entry.ERROR_CAUSE)

    def _on_read_error(self) -> None:
        """Answer the request that is being read, and close the connection, as the rest
        of the input cannot be read any more."""
        reading = self._reading
        if reading is None or reading.dispatched:
            self.close(entry.ERROR_CAUSE)
            return
        try:
            self._reject(503, entry.ERROR_CAUSE)
        except Exception as error:
            supervision.record(_PART, error)
            self.close(entry.ERROR_CAUSE)

    def _dispatch(self, request: caller_requests.Request) -> None:
        """Dispatch a request; one that cannot be, because of an error, is refused."""
        try:
            self._dispatch_request(request)
        except Exception as error:
            supervision.record(_PART, error, subject=f"request {request.call}")
            self._node.entry.refuse_for_error(request)

    def _dispatch_request(self, request: caller_requests.Request) -> None:
        request.dispatched = True
        request.call = ids.CallId(self._node.next_number())
        if request.body and self._node.held.is_full:
            retry_ms = EXHAUSTED_RETRY_MS
            self._answer_problem(request, 503, NO_MEMORY_CAUSE, retry_after_ms=retry_ms)
            return
        service, path, target = caller_requests.destination(request)
        if not service:
            self._reject(400, "the request names no service in Host", request)
            return
        dialect = self._node.dialect
        if dialect.request_id:
            request.request_id = caller_requests.header(request, dialect.request_id)
        if service == OWN_AUTHORITY:
            self._answer_ticket_request(request, path)
            return
        if not self._node.state.routed and not self._node.knows_service(service):
            self._answer_unknown(request, service)
            return
        key = caller_requests.text_header(request, dialect.key)
        holder = ""
        if tickets.is_ticket(key):
            try:
                holder = tickets.check(
                    self._node.secrets, key, service=service, now=clock.now()
                )
            except errors.InvalidArgument as error:
                self._reject(400, error.message, request)
                return
        trace, span = caller_requests.trace_context(request, dialect)
        digest = caller_requests.digest(request.body) if request.body else ""
        key_digest = caller_requests.api_key_digest(request, dialect)
        request.head = caller_requests.request_head(request, target, self._node)
        arrival = events.CallArrived(
            now=clock.now(),
            call=request.call,
            service=ids.ServiceName(service),
            method=request.method.decode("ascii"),
            path=path,
            trace=trace,
            span=span,
            key=key,
            holder=holder,
            timeout_ms=caller_requests.number_header(request, dialect.timeout),
            replayable=request.complete,
            body_digest=digest,
            sending=int(caller_requests.number_header(request, heads.SENDING_HEADER)),
            fingerprint=caller_requests.fingerprint(
                request, service, digest, key_digest
            ),
            key_digest=key_digest,
        )
        self._node.entry.begin_request(request, arrival)

    def _answer_problem(
        self,
        request: caller_requests.Request,
        status: int,
        title: str,
        *,
        outcome: messages.Outcome = messages.Outcome.NOT_RUN,
        retry_after_ms: ids.Milliseconds = 0.0,
    ) -> None:
        """Write a problem response that the core has not decided on."""
        refusal = effects.RefuseCall(
            call=request.call,
            status=status,
            outcome=outcome,
            title=title,
            retry_after_ms=retry_after_ms,
            decision="",
        )
        self.send_problem(request, refusal)

    def _answer_ticket_request(
        self, request: caller_requests.Request, path: str
    ) -> None:
        """Answer ``POST /tickets/SERVICE`` with ``Host: gingerturn``."""
        service = ids.ServiceName(path.removeprefix("/tickets/"))
        holder = ""
        if request.method == b"POST" and path.startswith("/tickets/"):
            holder = routing.ticket_holder(self._node.state, service)
        if not holder:
            self._answer_unknown(request, f"{OWN_AUTHORITY}{path}")
            return
        key = tickets.mint(
            self._node.secrets[0], holder=holder, service=service, now=clock.now()
        )
        head = heads.status_line(201) + b"content-type: application/json\r\n"
        self.send_whole(request, head, json.dumps({"key": key}).encode())

    def _answer_unknown(self, request: caller_requests.Request, service: str) -> None:
        logs.write("WARNING", _PART, f"Service {service[:64]!r} is not known.")
        title = f"service {service[:64]!r} is neither declared nor announced"
        self._answer_problem(request, 404, title)

    def _write_head(
        self, request: caller_requests.Request, head: bytes, body: bytes = b""
    ) -> None:
        request.answered = True
        request.close_after = self._closes_after(request)
        if request.close_after:
            head += b"connection: close\r\n"
        self._write(request, head, b"\r\n", body)

    def _write(self, request: caller_requests.Request, *pieces: bytes) -> None:
        """Write a part of an answer, or hold it until the earlier ones are written."""
        if self._is_first(request):
            # All pieces go out in one system call.
            self._transport.writelines(pieces)
        else:
            request.held_output.extend(pieces)
        if self._write_paused:
            self._count_held()

    def _is_first(self, request: caller_requests.Request) -> bool:
        return bool(self._requests) and self._requests[0] is request

    def _closes_after(self, request: caller_requests.Request) -> bool:
        """Whether the connection closes after the answer to a request.

        A stopping node first answers the requests whose heads it has read, and so does
        one without free descriptors.
        """
        if request.close_after or not request.complete:
            return True
        ends = self._node.stopping or self._node.descriptors.short
        return ends and not self._has_read_after(request)

    def _has_read_after(self, request: caller_requests.Request) -> bool:
        return bool(self._requests) and self._requests[-1] is not request

    def _finish(self, request: caller_requests.Request) -> None:
        request.answered = True
        request.finished = True
        request.streaming_out = False
        self._waiting_since = clock.now()
        if self._is_first(request):
            self._write_finished()

    def _write_finished(self) -> None:
        """Remove the finished requests at the front, and write what was held for them
        and for the request behind them."""
        while self._requests and self._requests[0].finished:
            finished = self._requests.popleft()
            # Not before: its duration includes the time for which its answer was held.
            self._node.entry.forget_request(finished)
            if finished.close_after:
                self.close("answered")
                return
            if self._requests:
                self._write_held(self._requests[0])
        if self._final_response and not self._requests:
            self._send_final_response()
            return
        if self._requests and not self._requests[0].complete:
            self._ask_for_body(self._requests[0])
        self._dispatch_ready()
        self._pass_body_on()
        if self._held:
            self._count_held()
        if not self._requests:
            self._input.begin_turn()
        if self._input.is_paused and len(self._requests) <= MAX_PIPELINED:
            self._input.resume(caller_input.Pause.PIPELINE)

    def _pass_body_on(self) -> None:
        """Dispatch a request whose body filled the buffer behind earlier requests."""
        request = self._reading
        is_waiting = self._input.is_paused_for(caller_input.Pause.BODY)
        if request is None or not is_waiting:
            return
        if self._is_first(request) and not request.dispatched:
            self._dispatch(request)

    def _ask_for_body(self, request: caller_requests.Request) -> None:
        """Answer ``Expect: 100-continue`` of the first request."""
        if b"expect" in request.values:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _write_held(self, request: caller_requests.Request) -> None:
        """Write what was held for a request that is now the first."""
        if request.held_output:
            self._transport.writelines(request.held_output)
            request.held_output.clear()
        if not self._write_paused:
            self._grant_withheld(request)

    def _grant_withheld(self, request: caller_requests.Request) -> None:
        if request.withheld_credit and request.grant_credit is not None:
            withheld, request.withheld_credit = request.withheld_credit, 0
            request.grant_credit(withheld)

    def _dispatch_ready(self) -> None:
        """Dispatch the first request, and those that may run beside it.

        An answer that the node gives itself leads back here. The outer call continues
        in that case, since the depth of a recursion would not be bounded.
        """
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while (request := self._next_to_dispatch()) is not None:
                self._dispatch(request)
        finally:
            self._dispatching = False

    def _next_to_dispatch(self) -> caller_requests.Request | None:
        if self._closing or self._write_paused:
            # Answers to a caller that does not read would fill the memory.
            return None
        for position, request in enumerate(self._requests):
            if not request.dispatched:
                is_allowed = position == 0 or self._may_run_ahead(request, position)
                return request if request.complete and is_allowed else None
            if request.close_after:
                return None
            if len(self._requests) > 1 and not self._is_parallel(request):
                return None
        return None

    def _may_run_ahead(self, request: caller_requests.Request, position: int) -> bool:
        """Whether a request may be dispatched before the earlier ones are answered.

        :param position: number of earlier requests that are not answered yet.
        """
        if position >= MAX_PIPELINED or self._node.stopping:
            return False
        if not self._is_parallel(request):
            return False
        held = sum(len(piece) for r in self._requests for piece in r.held_output)
        return held <= MAX_HELD_BYTES

    def _is_parallel(self, request: caller_requests.Request) -> bool:
        """Whether a request may run beside others of its connection.

        A request behind an answer that closes the connection is sent again by its
        caller, so it must be repeatable.
        """
        if request.method not in PARALLEL_METHODS:
            return False
        service, path, _ = caller_requests.destination(request)
        state = self._node.state
        if not state.routed:
            method = request.method.decode("ascii")
            return state.configuration.classify(service, method, path).repeatable
        index = state.routes
        if index is None:
            return True
        route = index.match(service, path)
        return route is None or route.type is not routes.RouteType.UNREPEATABLE

    def _reject_head(self) -> None:
        limit = self._limits.head_bytes
        part = "head" if self._in_head else "trailer section or a chunk's head"
        self._reject(431, f"the request's {part} is longer than {limit} bytes")

    def _reject_body(self) -> None:
        limit = self._limits.body_bytes
        self._reject(413, f"the request's body is longer than {limit} bytes")

    def _reject(
        self,
        status: int,
        title: str,
        bad: caller_requests.Request | None = None,
        *,
        retry_after_ms: ids.Milliseconds = 0.0,
    ) -> None:
        """Answer bad input and close the connection.

        The bytes that follow cannot be separated from the rest of the bad request.

        :param bad: the bad request; ``None`` for the one that is being read.
        """
        if self._closing or self._final_response:
            return
        logs.write("WARNING", _PART, f"Request rejected with {status}: {title[:120]}.")
        rejected = bad or self._reading
        is_sent = rejected is not None and rejected.attempt != 0
        outcome = messages.Outcome.UNKNOWN if is_sent else messages.Outcome.NOT_RUN
        self._final_response = heads.problem(
            status=status,
            outcome=outcome,
            title=title[:200],
            retry_after_ms=retry_after_ms,
            decision="",
            close=True,
            dialect=self._node.dialect,
        )
        self._drop_from(rejected)
        if not self._requests:
            self._send_final_response()

    def _drop_from(self, bad: caller_requests.Request | None) -> None:
        """Drop a bad request and those after it.

        Earlier requests are answered first, since a caller matches answers to requests
        by their order.
        """
        if bad is None or bad not in self._requests:
            return
        while self._requests.pop() is not bad:
            pass
        if bad.answered:
            self._final_response = b""
        if bad.dispatched:
            self._node.apply(events.CallerGone(now=clock.now(), call=bad.call))
            self._node.entry.forget_request(bad)

    def _send_final_response(self) -> None:
        self._transport.write(self._final_response)
        self.close("bad input")


class _TooLarge(Exception):
    """The head exceeds ``head_bytes``."""
