"""Requests of callers at the entry node, and their attempts."""

import collections.abc
import typing

from gingerturn.internal import ids, logs
from gingerturn.internal.core import effects, events
from gingerturn.internal.shell import caller_requests, clock, links, supervision
from gingerturn.internal.wire import frames

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes


MAX_DURATION_US = 60_000_000

OVERDUE_AFTER_MS = 10_000.0
"""Time after its deadline, or without one after its arrival, in which a request has had
an outcome."""

ERROR_CAUSE = "an error of this node"
"""Cause of a connection's close, for the log."""


class PendingAttempt:
    """An attempt whose answer has not arrived, or is still streamed.

    :param upstream: the node that it was sent to.
    :param kind: the kind of the call.
    """

    def __init__(
        self,
        request: caller_requests.Request,
        carrier: links.Carrier,
        upstream: ids.NodeId,
        kind: ids.KindName,
    ) -> None:
        self.request = request
        self.carrier = carrier
        self.upstream = upstream
        self.kind = kind
        self.answer: frames.Answer | None = None
        self.relaying = False


class EntrySide:
    """Open requests of callers, and their attempts.

    :param node: this node.
    """

    def __init__(self, node: "nodes.Node") -> None:
        self._node = node
        self._requests: dict[ids.CallId, tuple[caller_requests.Request, float]] = {}
        self._attempts: dict[int, PendingAttempt] = {}
        self._durations_ms: list[ids.Milliseconds] = []

    def handlers(self) -> "nodes.Handlers":
        """Return the handlers of the effects on requests and attempts."""
        return {
            effects.OpenAttempt: self._open_attempt,
            effects.CancelAttempt: self._cancel_attempt,
            effects.RelayAnswer: self._relay_answer,
            effects.RefuseCall: self._refuse_call,
        }

    def begin_request(
        self, request: caller_requests.Request, arrival: events.CallArrived
    ) -> None:
        """Register a request and apply its arrival to the core."""
        self._requests[request.call] = (request, arrival.now)
        self._node.apply(arrival)

    def forget_request(self, request: caller_requests.Request) -> None:
        """Remove a request that is answered, or whose caller disconnected."""
        removed = self._requests.pop(request.call, None)
        if removed is not None and request.answered:
            self._durations_ms.append(clock.now() - removed[1])
            self._node.counters.answered += 1
        self._drop_attempt_of(request)

    def attempt_of(self, request: caller_requests.Request) -> PendingAttempt | None:
        """Return the open attempt of a request; ``None`` if it has none."""
        pending = self._attempts.get(request.attempt)
        return pending if pending is not None and pending.request is request else None

    def on_frame(self, frame: frames.Frame) -> None:
        """Handle a frame from a home node."""
        pending = self._attempts.get(frame.call)
        if pending is None:
            return
        try:
            self._on_frame(pending, frame)
        except Exception as error:
            subject = f"{type(frame).__name__} of request {pending.request.call}"
            supervision.record("entry", error, subject=subject)
            self._end(pending, frame.call)

    def _end(self, pending: PendingAttempt, call: int) -> None:
        """End an attempt, and close its caller's connection: after a lost piece, the
        later ones would make a body that looks complete."""
        try:
            pending.request.connection.close(ERROR_CAUSE)
            self._drop_attempt(call, cancel=True)
        except Exception:
            pending.request.connection.abort_transport()
            raise

    def _on_frame(self, pending: PendingAttempt, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Answer):
            pending.answer = frame
            self._node.apply(
                events.AttemptAnswered(
                    now=clock.now(),
                    attempt=ids.AttemptId(frame.call),
                    status=frame.status,
                    tokens=frame.tokens,
                    report=frame.report,
                    child_failed=frame.child_failed,
                    size=_size(pending.request, frame),
                    whole=frame.whole,
                )
            )
        elif isinstance(frame, frames.Refuse):
            self._drop_attempt(frame.call, cancel=False)
            self._node.apply(
                events.AttemptRefused(
                    now=clock.now(),
                    attempt=ids.AttemptId(frame.call),
                    refusal=frame.refusal,
                    tokens=frame.tokens,
                    report=frame.report,
                )
            )
        elif isinstance(frame, frames.Chunk):
            self._on_answer_chunk(pending, frame)
        elif isinstance(frame, frames.Credit):
            pending.request.connection.add_credit(pending.request, frame.count)
        elif isinstance(frame, frames.Broken):
            self._drop_attempt(frame.call, cancel=False)
            pending.request.connection.abort(pending.request)

    def on_lost(self, call: int, *, reached: bool) -> None:
        """Handle the loss of the connection that carried an attempt."""
        pending = self._attempts.pop(call, None)
        if pending is None:
            return
        pending.request.body_sink = None
        if pending.relaying:
            pending.request.connection.abort(pending.request)
            return
        self._node.apply(
            events.AttemptLost(
                now=clock.now(), attempt=ids.AttemptId(call), reached=reached
            )
        )

    def on_silent(self, calls: list[int]) -> None:
        """Handle attempts whose connection fell silent before their answers."""
        attempts = tuple(
            ids.AttemptId(call)
            for call in calls
            if call in self._attempts and not self._attempts[call].relaying
        )
        if attempts:
            self._node.apply(events.AttemptsSilent(now=clock.now(), attempts=attempts))

    def abort_streamed(self, calls: list[int]) -> None:
        """Abort the answers among some calls that are being streamed."""
        for call in calls:
            pending = self._attempts.get(call)
            if pending is not None and pending.relaying:
                self._drop_attempt(call, cancel=True)
                pending.request.connection.abort(pending.request)

    def refuse_unapplied(self, call: ids.CallId) -> None:
        """Refuse a call whose arrival could not be applied. One with an attempt ends by
        its answer or its deadline."""
        registered = self._requests.get(call)
        if registered is None or self.attempt_of(registered[0]) is not None:
            return
        self.refuse_for_error(registered[0])

    def refuse_for_error(self, request: caller_requests.Request) -> None:
        """Refuse a request as not run, after an error. The connection of one that was
        sent before, or that cannot be withdrawn, is closed."""
        is_withdrawn = self._withdraw(request.call)
        if request.attempt or not is_withdrawn:
            request.connection.close(ERROR_CAUSE)
        else:
            request.connection.refuse_for_error(request)

    def _withdraw(self, call: ids.CallId) -> bool:
        """Withdraw a call from the core; return whether that did not fail."""
        with supervision.contained("entry", subject=f"request {call}"):
            self._node.apply(events.CallerGone(now=clock.now(), call=call))
            # An event that waits for others is applied later. An attempt that is opened
            # before it is not sent, as the request is answered by then.
            return self._node.is_applying or call not in self._node.state.calls
        return False

    def lose_attempt(self, attempt: ids.AttemptId) -> None:
        """Handle an error while an attempt was sent."""
        if attempt in self._attempts:
            # A part of it may have been sent.
            self.on_lost(attempt, reached=True)
            return
        self._node.apply(
            events.AttemptLost(now=clock.now(), attempt=attempt, reached=False)
        )

    def end_overdue(self, now: ids.Milliseconds) -> None:
        """Close the connections of requests that the core should have ended, and whose
        end an error has prevented."""
        for call, (request, arrived_at) in list(self._requests.items()):
            if not self._is_overdue(request, arrived_at, now):
                continue
            text = f"Request {call} has no outcome; its connection is closed."
            if logs.may_write_error():
                logs.write("ERROR", "entry", text)
            self._node.apply(events.CallerGone(now=now, call=call))
            request.connection.close(ERROR_CAUSE)

    def _is_overdue(
        self,
        request: caller_requests.Request,
        arrived_at: ids.Milliseconds,
        now: ids.Milliseconds,
    ) -> bool:
        call = self._node.state.calls.get(request.call)
        if call is not None:
            return now > call.deadline + OVERDUE_AFTER_MS
        is_waiting = not request.answered and self.attempt_of(request) is None
        return is_waiting and now > arrived_at + OVERDUE_AFTER_MS

    def abort_answer(self, attempt: ids.AttemptId) -> None:
        """Handle an error while an answer was written to its caller."""
        pending = self._attempts.get(attempt)
        if pending is not None:
            self._drop_attempt(attempt, cancel=True)
            pending.request.connection.close(ERROR_CAUSE)

    def close_connection(self, call: ids.CallId) -> None:
        """Handle an error while a refusal was written to its caller."""
        registered = self._requests.get(call)
        if registered is not None:
            registered[0].connection.close(ERROR_CAUSE)

    def record_durations(self) -> None:
        """Record the durations since the last tick in the histogram.

        It runs in the tick, so that no call waits for it.
        """
        for elapsed_ms in self._durations_ms:
            value = int(elapsed_ms * 1000.0)
            self._node.durations.record_value(max(1, min(value, MAX_DURATION_US)))
        self._durations_ms.clear()

    def _open_attempt(self, effect: effects.OpenAttempt) -> None:
        registered = self._requests.get(effect.call)
        if registered is None or registered[0].answered:
            return
        request = registered[0]
        self._drop_attempt_of(request)
        carrier = self._node.links.carrier(
            effect.node, ids.Address(effect.host, effect.port)
        )
        self._attempts[effect.attempt] = PendingAttempt(
            request, carrier, effect.node, effect.metadata.kind
        )
        request.attempt = effect.attempt
        carrier.send(
            frames.Open(
                call=effect.attempt,
                terms=effect.metadata,
                head=request.head + self._workspace_line(effect.metadata.workspace),
                body=bytes(request.body),
                whole=request.complete,
            )
        )
        if not request.complete and effect.attempt in self._attempts:
            request.connection.start_streaming(
                request, self._upload_sink(effect.attempt, carrier)
            )

    def _workspace_line(self, workspace: ids.WorkspaceName) -> bytes:
        name = self._node.dialect.workspace
        if not (workspace and name):
            return b""
        return b"%b: %b\r\n" % (name, workspace.encode("ascii"))

    def _upload_sink(
        self, attempt: int, carrier: links.Carrier
    ) -> caller_requests.BodySink:
        def sink(body: bytes, last: bool) -> None:
            if attempt in self._attempts:
                carrier.send(frames.Chunk(call=attempt, body=body, last=last))

        return sink

    def _cancel_attempt(self, effect: effects.CancelAttempt) -> None:
        self._drop_attempt(effect.attempt, cancel=True)

    def _relay_answer(self, effect: effects.RelayAnswer) -> None:
        pending = self._attempts.get(effect.attempt)
        if pending is None or pending.answer is None:
            return
        answer = pending.answer
        head = answer.head
        name = self._node.dialect.decision
        if name:
            head += b"%b: %b\r\n" % (name, answer.decision.encode())
        request = pending.request
        if request.answered:
            self._drop_attempt(effect.attempt, cancel=not answer.whole)
            return
        if answer.whole:
            self._attempts.pop(effect.attempt)
            try:
                pending.carrier.forget(effect.attempt)
                request.connection.send_whole(request, head, answer.body)
            except Exception:
                request.connection.close(ERROR_CAUSE)
                raise
            return
        pending.relaying = True
        request.grant_credit = self._credit_granter(effect.attempt, pending.carrier)
        request.connection.send_streaming(request, head, answer.length)
        request.connection.send_piece(request, answer.body, last=False)

    def _credit_granter(
        self, attempt: int, carrier: links.Carrier
    ) -> collections.abc.Callable[[int], None]:
        def grant(count: int) -> None:
            if attempt in self._attempts and count:
                carrier.send(frames.Credit(call=attempt, count=count))

        return grant

    def _on_answer_chunk(self, pending: PendingAttempt, chunk: frames.Chunk) -> None:
        request = pending.request
        if chunk.last:
            self._drop_attempt(chunk.call, cancel=False)
            self._record_relayed(pending)
        request.connection.send_piece(request, chunk.body, last=chunk.last)

    def _record_relayed(self, pending: PendingAttempt) -> None:
        registered = self._requests.get(pending.request.call)
        if registered is None:
            return
        now = clock.now()
        elapsed_ms = now - registered[1]
        self._node.apply(
            events.AnswerRelayed(now=now, kind=pending.kind, elapsed_ms=elapsed_ms)
        )

    def _refuse_call(self, effect: effects.RefuseCall) -> None:
        registered = self._requests.get(effect.call)
        counts = self._node.counters.refused
        counts[effect.title] = counts.get(effect.title, 0) + 1
        if registered is not None:
            registered[0].connection.send_problem(registered[0], effect)

    def _drop_attempt_of(self, request: caller_requests.Request) -> None:
        """Cancel the open attempt of a request, if any."""
        if self.attempt_of(request) is not None:
            self._drop_attempt(request.attempt, cancel=True)

    def _drop_attempt(self, number: int, *, cancel: bool) -> None:
        pending = self._attempts.pop(number, None)
        if pending is None:
            return
        if cancel:
            pending.carrier.send(frames.Cancel(call=number))
        pending.carrier.forget(number)


def _size(request: caller_requests.Request, answer: frames.Answer) -> int:
    """Return the bytes of a call and its answer, without streamed pieces."""
    answer_size = len(answer.head) + max(len(answer.body), answer.length)
    return len(request.head) + len(request.body) + answer_size
