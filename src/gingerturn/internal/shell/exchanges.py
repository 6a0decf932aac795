"""Exchange of a call between the entry node and the backend server."""

import asyncio
import collections.abc
import typing

import msgspec

from gingerturn.internal import ids, logs, outcome_log
from gingerturn.internal.core import backend_reports, effects, events, messages
from gingerturn.internal.shell import backend_http, clock, supervision
from gingerturn.internal.wire import frames

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes


WINDOW_BYTES = 262_144
"""Bytes of a streamed body that may be sent ahead of the receiver's credit."""


STALL_CHECK_INTERVAL_S = 1.0

STALL_CHECKS = 60
"""A streamed answer that gets no credit for this many checks is aborted: its entry node
may be gone, or the caller does not read. Checks are counted rather than time, since a
node that was paused has not read the credit that arrived."""

PROGRESS_INTERVAL_S = 0.1

PROGRESS_CHECKS = 4
"""A streamed answer of which nothing arrives for this many checks is ended, but not
before its deadline. Checks are counted for the reason given for :data:`STALL_CHECKS`.
"""

CONNECT_TRIES = 2
"""Connections that are opened for a call while the backend server resets them at once,
as it does where it has too many."""

_PART = "home"


class StoredAnswer(msgspec.Struct, frozen=True):
    """A complete answer, stored for repeats of an unrepeatable call."""

    status: int
    head: bytes
    body: bytes


class Channel(typing.Protocol):
    """The channel to the entry node."""

    peer: ids.NodeId
    hosted: dict[int, ids.HostedId]

    @property
    def is_backed_up(self) -> bool:
        """Whether the entry node does not read what is sent to it."""

    def send(self, frame: frames.Frame) -> None:
        """Send a frame."""

    def when_writable(self, function: collections.abc.Callable[[], None]) -> None:
        """Call a function once the entry node has read, or the channel is lost."""


class HostedExchange:
    """Relays one call to the backend server and its answer to the entry node.

    Invariant: frames are sent only while ``_open``. After a cancel, a refusal or the
    end of the answer the entry node no longer has the call id.

    :param node: this node.
    :param channel: the channel to the entry node.
    :param opened: the frame that opened the call.
    :param hosted: the id of the call in the core.
    """

    def __init__(
        self,
        node: "nodes.Node",
        channel: Channel,
        opened: frames.Open,
        hosted: ids.HostedId,
    ) -> None:
        self._node = node
        self._channel = channel
        self._opened = opened
        self._hosted = hosted
        self._request_id = b""
        self._open = True
        self._connection: backend_http.Connection | None = None
        self._abandoned = False
        self._upload: list[frames.Chunk] = []
        self._body_whole = opened.whole
        self._status = 0
        self._executed = True
        self._unproven = False
        self._is_relayed = True
        self._load: messages.BackendLoad | None = None
        self._head = b""
        self._length = -1
        self._body = bytearray()
        self._streaming = False
        self._credit = WINDOW_BYTES
        self._stall_timer: asyncio.TimerHandle | None = None
        self._stalled_checks = 0
        self._deadline: ids.Milliseconds = 0.0
        self._progress_timer: asyncio.TimerHandle | None = None
        self._has_progressed = False
        self._idle_checks = 0

    def dispatch(self, effect: effects.DispatchCall) -> None:
        """Dispatch the call to the backend server."""
        self._deadline = clock.now() + effect.deadline_ms
        pool = self._node.home.pool
        pool.set_address(effect.host, effect.port)
        self._request_id = pool.request_id_of(self._opened.head)
        connection = pool.take(
            request_id=self._request_id,
            recently_used=not self._opened.terms.repeatable,
        )
        if connection is not None:
            self._begin(connection, effect)
            return
        self._node.keep_task(
            supervision.spawn(self._connect(effect), part="exchanges", failed=self.fail)
        )

    def on_chunk(self, chunk: frames.Chunk) -> None:
        """Handle a piece of a streamed request body."""
        self._body_whole = self._body_whole or chunk.last
        if self._connection is None:
            self._upload.append(chunk)
            return
        self._write_chunk(chunk)

    def add_credit(self, count: int) -> None:
        """Add credit for a streamed answer; resume reading if it is positive."""
        self._credit += count
        self._stalled_checks = 0
        if self._credit > 0 and self._connection is not None:
            self._connection.resume()

    def abandon(self) -> None:
        """Close the exchange with the backend server."""
        self._abandoned = True
        self._cancel_progress_check()
        if self._streaming:
            self._send(frames.Broken(call=self._opened.call))
            self._open = False
        if self._connection is not None:
            self._connection.abandon()
            self._connection = None

    def fail(self) -> None:
        """Handle an error after which the connection is in an unknown state, and may
        have sent a part of the call."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abandon()
        self.on_failure(dispatched=True)

    def break_off(self) -> None:
        """End the call at the entry node without an answer."""
        self._send(frames.Broken(call=self._opened.call))
        self._open = False

    def detach(self) -> None:
        """Stop sending frames; the entry node no longer waits for the call."""
        self._open = False

    def refuse(self, effect: effects.SendRefusal) -> None:
        """Send a refusal.

        An unrepeatable call that was dispatched keeps its connection, over which its
        answer may still arrive.
        """
        if self._connection is not None:
            self._connection.record_unanswered()
        self._send(
            frames.Refuse(
                call=self._opened.call,
                refusal=effect.refusal,
                tokens=effect.tokens,
                report=effect.report,
            )
        )
        self._open = False

    def send_answer(self, effect: effects.SendAnswer) -> None:
        """Send the answer; of a streamed one, the head and the first piece."""
        self._send(
            frames.Answer(
                call=self._opened.call,
                status=self._status,
                tokens=effect.tokens,
                report=effect.report,
                decision=effect.decision,
                head=self._head,
                body=bytes(self._body),
                whole=not self._streaming,
                length=self._length,
                child_failed=effect.child_failed,
            )
        )
        if self._streaming:
            self._use_credit(len(self._body))
            self._body.clear()
            return
        self._open = False

    def send_stored(
        self, effect: effects.SendStoredAnswer, stored: StoredAnswer
    ) -> None:
        """Send the stored answer of an earlier call."""
        self._send(
            frames.Answer(
                call=self._opened.call,
                status=stored.status,
                tokens=effect.tokens,
                report=effect.report,
                decision=effect.decision,
                head=stored.head,
                body=stored.body,
                whole=True,
            )
        )
        self._open = False

    def stored_answer(self) -> StoredAnswer:
        """Return the complete answer in the form in which it is stored."""
        return StoredAnswer(
            status=self._status, head=self._head, body=bytes(self._body)
        )

    # Called by the connection to the backend server.

    def on_report(self, rate_limit: float, *, leaving: bool) -> None:
        """Apply what the backend server reports, before the body is received."""
        reports_nothing = rate_limit < 0.0 and not leaving
        if reports_nothing and not backend_reports.expects_report(self._node.state):
            return
        self._node.apply(
            events.BackendReported(
                now=clock.now(),
                hosted=self._hosted,
                rate_limit=rate_limit,
                leaving=leaving,
            )
        )

    def on_load(self, load: messages.BackendLoad) -> None:
        """Keep the reported load for the event of the answer."""
        self._load = load

    def on_head(
        self,
        status: int,
        head: bytes,
        length: int,
        *,
        rejection: backend_http.Rejection | None,
    ) -> None:
        """Handle the head of the answer."""
        self._status = status
        self._executed = rejection is None
        if rejection is not None and not self._opened.terms.repeatable:
            self._record_rejection(rejection)
        self._head = head
        self._length = length
        self._unproven = self._is_unproven(status, rejection)
        self._is_relayed = rejection is None and not self._unproven
        if self._is_relayed and length > self._node.settings.limits.body_buffer:
            self._start_streaming()

    def on_body(self, body: bytes) -> None:
        """Buffer a piece of the answer, or stream it to the entry node."""
        if not self._is_relayed:
            return
        self._has_progressed = True
        if self._streaming:
            if self._open:
                self._send(frames.Chunk(call=self._opened.call, body=body, last=False))
                self._use_credit(len(body))
            return
        self._body += body
        if len(self._body) > self._node.settings.limits.body_buffer:
            self._start_streaming()

    def on_end(self) -> None:
        """Handle the end of the answer. It waits, and keeps its slot, while the entry
        node does not read."""
        self._connection = None
        self._cancel_progress_check()
        if self._open and not self._streaming and self._channel.is_backed_up:
            self._channel.when_writable(self._end)
            return
        self._end()

    def _end(self) -> None:
        if self._streaming:
            self._send(frames.Chunk(call=self._opened.call, body=b"", last=True))
            self._open = False
            event: events.Event = events.BackendFinished(
                now=clock.now(), hosted=self._hosted
            )
        elif self._unproven:
            event = events.UnprovenRefusal(
                now=clock.now(), hosted=self._hosted, status=self._status
            )
        else:
            event = events.BackendAnswered(
                now=clock.now(),
                hosted=self._hosted,
                status=self._status,
                executed=self._executed,
                load=self._load,
            )
        self._node.apply(event)
        self._node.home.drop_exchange(self._hosted)

    def on_failure(self, *, dispatched: bool) -> None:
        """Handle a failure of the exchange."""
        self._connection = None
        self._cancel_progress_check()
        if self._abandoned:
            return
        if self._streaming:
            self._send(frames.Broken(call=self._opened.call))
            self._open = False
        self._node.apply(
            events.BackendFailed(
                now=clock.now(), hosted=self._hosted, dispatched=dispatched
            )
        )
        if self._hosted not in self._node.state.hosted:
            self._node.home.drop_exchange(self._hosted)

    @property
    def body_whole(self) -> bool:
        """Whether the whole body of the request has arrived."""
        return self._body_whole

    @property
    def call(self) -> int:
        """The id of the call on its channel."""
        return self._opened.call

    @property
    def channel(self) -> Channel:
        """The channel to the entry node."""
        return self._channel

    def _send(self, frame: frames.Frame) -> None:
        if self._open:
            self._channel.send(frame)

    async def _connect(self, effect: effects.DispatchCall) -> None:
        for _ in range(CONNECT_TRIES):
            try:
                connection = await self._node.home.pool.connect()
            except (OSError, TimeoutError):
                break
            if self._abandoned:
                self._node.home.pool.put(connection)
                return
            if connection.usable:
                self._begin(connection, effect)
                return
        self.on_failure(dispatched=False)

    def _begin(
        self, connection: backend_http.Connection, effect: effects.DispatchCall
    ) -> None:
        self._connection = connection
        opened = self._opened
        connection.begin(
            self,
            self._backend_head(effect),
            opened.body,
            request_id=self._request_id,
            head_only=opened.head.startswith(b"HEAD "),
            whole=opened.whole,
        )
        if not opened.whole:
            self._grant(len(opened.body))
        for chunk in self._upload:
            self._write_chunk(chunk)
        self._upload.clear()

    def _backend_head(self, effect: effects.DispatchCall) -> bytes:
        dialect = self._node.dialect
        opened = self._opened
        head = opened.head
        if dialect.trace:
            head += b"traceparent: 00-%b-%b-01\r\n" % (
                opened.terms.trace.encode("ascii"),
                effect.span.encode("ascii"),
            )
        head += b"%b: %d\r\n" % (dialect.deadline, int(effect.deadline_ms))
        if dialect.instance and effect.instance:
            head += b"%b: %b\r\n" % (dialect.instance, effect.instance.encode())
        return head

    def _write_chunk(self, chunk: frames.Chunk) -> None:
        if self._connection is None:
            return
        if chunk.body:
            self._connection.write(chunk.body)
            self._grant(len(chunk.body))
        if chunk.last:
            self._connection.write_end()

    def _grant(self, count: int) -> None:
        if self._connection is not None and self._connection.write_paused:
            self._connection.when_writable(lambda: self._grant(count))
            return
        if count:
            self._send(frames.Credit(call=self._opened.call, count=count))

    def _is_unproven(
        self, status: int, rejection: backend_http.Rejection | None
    ) -> bool:
        """Whether the status states without proof that the request did not run."""
        if rejection is not None or self._opened.terms.repeatable:
            return False
        return status in self._node.dialect.not_run_statuses

    def _record_rejection(self, rejection: backend_http.Rejection) -> None:
        if not outcome_log.may_record(dispatch=False):
            return
        hosted = self._node.state.hosted.get(self._hosted)
        outcome_log.record(
            self._opened.terms.trace,
            "backend",
            outcome_log.NOT_EXECUTED,
            status=rejection.status,
            waited_ms=round(rejection.after_ms, 1),
            instance="" if hosted is None else hosted.instance,
            connection=rejection.connection,
            exchange=rejection.exchange,
            answer_id=rejection.answer_id,
        )

    def _start_streaming(self) -> None:
        self._streaming = True
        if not self._open:
            # Nobody gives credit for it: the rest is read and dropped.
            self._body.clear()
        if self._connection is not None:
            left_s = (self._deadline - clock.now()) / 1_000.0
            checked_s = PROGRESS_CHECKS * PROGRESS_INTERVAL_S
            self._schedule_progress_check(max(0.0, left_s - checked_s))
        self._node.apply(
            events.BackendAnswered(
                now=clock.now(),
                hosted=self._hosted,
                status=self._status,
                whole=False,
                load=self._load,
            )
        )

    def _schedule_progress_check(self, delay_s: float) -> None:
        self._progress_timer = supervision.call_later(
            delay_s + PROGRESS_INTERVAL_S, self._check_progress, part="exchanges"
        )

    def _cancel_progress_check(self) -> None:
        if self._progress_timer is not None:
            self._progress_timer.cancel()
            self._progress_timer = None

    def _check_progress(self) -> None:
        """End a streamed answer that makes no progress at its deadline or later.

        One that waits for credit waits for its caller and not for the backend server.
        """
        self._progress_timer = None
        if self._has_progressed or self._credit <= 0:
            self._has_progressed = False
            self._idle_checks = 0
        else:
            self._idle_checks += 1
        is_overdue = clock.now() >= self._deadline
        if self._idle_checks < PROGRESS_CHECKS or not is_overdue:
            self._schedule_progress_check(0.0)
            return
        self._node.home.stalled_answers += 1
        if logs.may_write_end():
            text = (
                f"Answer to {self._request_id.decode('latin-1')!r} ended: it is past"
                f" its deadline, and the backend server sends nothing."
            )
            logs.write("WARNING", _PART, text)
        self._node.apply(events.CancelReceived(now=clock.now(), hosted=self._hosted))

    def _use_credit(self, count: int) -> None:
        self._credit -= count
        if self._credit <= 0 and self._connection is not None:
            self._connection.pause()
            if self._stall_timer is None:
                self._schedule_stall_check()

    def _schedule_stall_check(self) -> None:
        self._stall_timer = supervision.call_later(
            STALL_CHECK_INTERVAL_S, self._check_for_stall, part="exchanges"
        )

    def _check_for_stall(self) -> None:
        self._stall_timer = None
        if self._credit > 0 or self._connection is None:
            return
        self._stalled_checks += 1
        if self._stalled_checks < STALL_CHECKS:
            self._schedule_stall_check()
            return
        logs.write(
            "WARNING",
            _PART,
            f"Answer to {self._request_id.decode('latin-1')!r} aborted: no credit from"
            f" {self._channel.peer} for {STALL_CHECKS * STALL_CHECK_INTERVAL_S:.0f} s.",
        )
        self._node.apply(events.CancelReceived(now=clock.now(), hosted=self._hosted))
