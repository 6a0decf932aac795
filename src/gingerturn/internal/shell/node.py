"""The node: applies events to the core and carries out its effects."""

import asyncio
import collections
import collections.abc
import contextlib
import os
import time
import typing

import msgspec
from hdrh import histogram

from gingerturn import errors, settings
from gingerturn.internal import ids, logs
from gingerturn.internal.core import (
    decisions,
    effects,
    events,
    messages,
    reducer,
    revisions,
    timers,
    trace,
)
from gingerturn.internal.shell import (
    backend_http,
    clock,
    exchanges,
    gossip,
    ingress,
    log_client,
    peers,
)
from gingerturn.internal.wire import frames

BodySink = collections.abc.Callable[[bytes, bool], None]
"""Takes a piece of a body and whether it is the last."""

ASK_TIMEOUT_S = 2.0
MAX_KEPT_BYTES = 65_536
MAX_DURATION_US = 60_000_000
_ASK_BASE = 1 << 62
"""Questions share the frames' call ids with attempts; theirs begin here."""


class KeptAnswer(msgspec.Struct, frozen=True):
    """A whole answer kept for repeats of an unrepeatable call."""

    status: int
    head: bytes
    body: bytes


class Carrier(typing.Protocol):
    """The way to a home node."""

    def send(self, frame: frames.Frame) -> None:
        """Send a frame."""

    def forget(self, call: int) -> None:
        """Forget a call that has ended."""


class PendingAttempt:
    """An attempt whose answer, or the end of whose answer, is awaited."""

    def __init__(self, request: ingress.Request, carrier: Carrier) -> None:
        self.request = request
        self.carrier = carrier
        self.answer: frames.Answer | None = None
        self.relaying = False


class LocalCarrier:
    """The way from a node to itself, without a connection or a codec."""

    def __init__(self, node: "Node") -> None:
        self._node = node
        self._channel = LocalChannel(node)

    def send(self, frame: frames.Frame) -> None:
        """Hand a frame to the hosting side."""
        self._node.on_accepted_frame(self._channel, frame)

    def forget(self, call: int) -> None:
        """Nothing is kept."""


class LocalChannel:
    """The way back from a node to itself."""

    def __init__(self, node: "Node") -> None:
        self._node = node
        self.hosted: dict[int, ids.HostedId] = {}
        self.peer = ids.NodeId(node.name)

    def send(self, frame: frames.Frame) -> None:
        """Hand a frame to the entry side."""
        self._node.on_link_frame(frame)


class Counters(msgspec.Struct):
    """Counts since the start, for the metrics."""

    answered: int = 0
    refused: dict[str, int] = {}
    control_seconds: float = 0.0
    events: int = 0


class Node:
    """One node.

    Invariant: events are applied one at a time and the effects of one are carried
    out before the next is applied, also when carrying out one makes another.

    :param chosen: its settings.
    :param record: binary file to which events are recorded, if any.
    """

    def __init__(
        self, chosen: settings.Settings, *, record: typing.BinaryIO | None = None
    ) -> None:
        self.settings = chosen
        self.name = chosen.node.id
        self.incarnation = int(time.time() * 1000)
        self.secrets = [
            secret.encode()
            for secret in (chosen.secret.current, chosen.secret.previous)
            if secret
        ]
        started = self._started_event()
        self.state = reducer.new_state(started)
        self.pool = backend_http.Pool()
        self.accepted: set[peers.Accepted] = set()
        self.caller_connections: set[ingress.CallerConnection] = set()
        self.gossip = gossip.GossipProtocol(self)
        self.counters = Counters(refused={})
        self.durations = histogram.HdrHistogram(1, MAX_DURATION_US, 2)
        self.stopped = asyncio.Event()
        self._started = started
        self._recorder = None if record is None else trace.Recorder(record)
        self._log = log_client.LogClient(chosen.log)
        self._links: dict[ids.Address, peers.Link] = {}
        self._local = LocalCarrier(self)
        self._requests: dict[ids.CallId, tuple[ingress.Request, float]] = {}
        self._attempts: dict[int, PendingAttempt] = {}
        self._exchanges: dict[ids.HostedId, exchanges.HostedExchange] = {}
        self._kept: dict[str, KeptAnswer] = {}
        self._asks: dict[int, asyncio.Future[bytes]] = {}
        self._level_asks: dict[int, tuple[ids.NodeId, ids.KindName, ids.Address]] = {}
        self._level_questions: dict[int, tuple[peers.Accepted | LocalChannel, int]] = {}
        self._publications: dict[str, asyncio.Future[effects.PublishEnded]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._servers: list[asyncio.Server] = []
        self._queue: collections.deque[events.Event] = collections.deque()
        self._applying = False
        self._ticker: asyncio.TimerHandle | None = None
        self._numbers = 0
        self._elapsed: list[ids.Milliseconds] = []
        self._handlers: dict[type, collections.abc.Callable[[typing.Any], None]] = {
            effects.OpenAttempt: self._open_attempt,
            effects.CancelAttempt: self._cancel_attempt,
            effects.RelayAnswer: self._relay_answer,
            effects.RefuseCall: self._refuse_call,
            effects.HandOver: self._hand_over,
            effects.CancelBackend: self._cancel_backend,
            effects.SendAnswer: self._send_answer,
            effects.SendKeptAnswer: self._send_kept_answer,
            effects.KeepAnswer: self._keep_answer,
            effects.ForgetAnswer: self._forget_answer,
            effects.SendRefusal: self._send_refusal,
            effects.AskLevel: self._ask_level,
            effects.TellLevel: self._tell_level,
            effects.ReadLog: self._read_log,
            effects.Append: self._append,
            effects.SendGossip: self.gossip.send,
            effects.FetchSnapshot: self._fetch_snapshot,
            effects.PublishEnded: self._publish_ended,
            effects.WriteLog: self._write_log,
            effects.Stopped: self._on_stopped,
        }

    def __repr__(self) -> str:
        return f"Node(name={self.name!r}, incarnation={self.incarnation})"

    @property
    def stopping(self) -> bool:
        """Whether a planned stop is under way."""
        return self.state.stopping

    async def start(self) -> None:
        """Open the sockets and begin.

        :raises OSError: when an address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        place = self.settings.node
        self._servers.append(
            await loop.create_server(
                lambda: ingress.CallerConnection(self), place.host, place.calls_port
            )
        )
        self._servers.append(
            await loop.create_server(
                lambda: peers.Accepted(self), place.host, place.peers_port
            )
        )
        await loop.create_datagram_endpoint(
            lambda: self.gossip, (place.host, place.gossip_port)
        )
        self.apply(self._started)
        self._tick()

    async def close(self) -> None:
        """Close everything; what is in flight is cut."""
        if self._ticker is not None:
            self._ticker.cancel()
        for server in self._servers:
            server.close()
        for connection in list(self.caller_connections):
            connection.close()
        for link in self._links.values():
            link.close()
        for accepted in list(self.accepted):
            accepted.close()
        self.gossip.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._log.close()

    def apply(self, event: events.Event) -> None:
        """Apply an event and carry out its effects."""
        self._queue.append(event)
        if self._applying:
            return
        self._applying = True
        try:
            while self._queue:
                self._apply_one(self._queue.popleft())
        finally:
            self._applying = False

    def next_call(self) -> ids.CallId:
        """Return an id for a call."""
        self._numbers += 1
        return ids.CallId(self._numbers)

    def keep_task(self, task: asyncio.Task[None]) -> None:
        """Hold a task until it ends; the loop itself holds only a weak reference."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def knows_service(self, service: str) -> bool:
        """Tell whether a service is declared, or was announced by some member."""
        if service in self.state.membership.by_service:
            return True
        return service in self.state.configuration.services

    # The entry side.

    def begin_request(
        self, request: ingress.Request, arrival: events.CallArrived
    ) -> None:
        """Take a caller's request."""
        self._requests[request.call] = (request, arrival.now)
        self.apply(arrival)

    def forget_request(self, request: ingress.Request) -> None:
        """Forget a request that is answered, or whose caller is gone."""
        known = self._requests.pop(request.call, None)
        if known is not None and request.answered:
            self._elapsed.append(clock.now() - known[1])
            self.counters.answered += 1
        for number in [n for n, p in self._attempts_of(request)]:
            self._drop_attempt(number, cancel=True)

    def on_link_frame(self, frame: frames.Frame) -> None:
        """Take a frame from a home node."""
        if isinstance(frame, frames.Reply):
            self._on_reply(frame)
            return
        if isinstance(frame, frames.TellLevel):
            self._on_level_told(frame)
            return
        pending = self._attempts.get(frame.call)
        if pending is None:
            return
        if isinstance(frame, frames.Answer):
            pending.answer = frame
            self.apply(
                events.AttemptAnswered(
                    now=clock.now(),
                    attempt=ids.AttemptId(frame.call),
                    status=frame.status,
                    tokens=frame.tokens,
                    report=frame.report,
                )
            )
        elif isinstance(frame, frames.Refuse):
            self._drop_attempt(frame.call, cancel=False)
            self.apply(
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
            pending.request.connection.cut(pending.request)

    def on_link_lost(self, call: int, *, reached: bool) -> None:
        """Take the loss of the connection that carried an attempt."""
        self._level_asks.pop(call, None)
        ask = self._asks.pop(call, None)
        if ask is not None and not ask.done():
            ask.set_exception(ConnectionError("the peer cannot be reached"))
        pending = self._attempts.pop(call, None)
        if pending is None:
            return
        pending.request.streaming_in = None
        if pending.relaying:
            pending.request.connection.cut(pending.request)
            return
        self.apply(
            events.AttemptLost(
                now=clock.now(), attempt=ids.AttemptId(call), reached=reached
            )
        )

    # The home side.

    def on_accepted_frame(
        self, channel: "peers.Accepted | LocalChannel", frame: frames.Frame
    ) -> None:
        """Take a frame from an entry node."""
        if isinstance(frame, frames.Open):
            self._on_open(channel, frame)
            return
        if isinstance(frame, frames.AskLevel):
            self._on_level_asked(channel, frame)
            return
        if isinstance(frame, frames.Ask):
            channel.send(frames.Reply(frame.call, self._answer_question(frame)))
            return
        hosted = channel.hosted.get(frame.call)
        exchange = None if hosted is None else self._exchanges.get(hosted)
        if hosted is None or exchange is None:
            return
        if isinstance(frame, frames.Chunk):
            exchange.on_chunk(frame)
        elif isinstance(frame, frames.Credit):
            exchange.add_credit(frame.count)
        elif isinstance(frame, frames.Cancel | frames.Broken):
            channel.hosted.pop(frame.call, None)
            if isinstance(frame, frames.Broken):
                exchange.abandon()
            self.on_cancelled(hosted)

    def on_cancelled(self, hosted: ids.HostedId) -> None:
        """Take the entry node's word, or loss, that ends its interest."""
        exchange = self._exchanges.get(hosted)
        if exchange is None:
            return
        exchange.detach()
        self.apply(events.CancelReceived(now=clock.now(), hosted=hosted))

    def drop_exchange(self, hosted: ids.HostedId) -> None:
        """Forget an exchange that has ended."""
        exchange = self._exchanges.pop(hosted, None)
        if exchange is not None:
            exchange.channel.hosted.pop(exchange.call, None)

    # Operators.

    async def publish(
        self, *, team: ids.TeamName, author: str, base: ids.Revision, text: str
    ) -> effects.PublishEnded:
        """Publish a team's document and wait until its fate is known."""
        request = os.urandom(8).hex()
        future: asyncio.Future[effects.PublishEnded] = (
            asyncio.get_running_loop().create_future()
        )
        self._publications[request] = future
        self.apply(
            events.PublishRequested(
                now=clock.now(),
                request=request,
                team=team,
                author=author,
                base=base,
                text=text,
            )
        )
        return await future

    async def why(self, decision_id: str) -> decisions.Decision | None:
        """Return a decision of this node or of the one that its id names.

        :raises GingerturnError: when that node cannot be asked.
        """
        name = decision_id.rpartition(":")[0]
        if name == self.name:
            return self.state.decisions.find(decision_id)
        member = self.state.membership.members.get(name)
        if member is None:
            raise errors.GingerturnError(
                f"node {name!r} is not known (any more)", step="why", peer=name
            )
        question = frames.Ask(call=self._next_ask(), decision=decision_id)
        address = ids.Address(member.host, member.peers_port)
        content = await self._ask(address, question)
        if not content:
            return None
        return msgspec.json.decode(content, type=decisions.Decision)

    async def audit(self) -> list[messages.AuditRecord]:
        """Return the trail of changes that the log still holds.

        :raises LogServiceError: when the log cannot be read.
        """
        found: list[messages.AuditRecord] = []
        offset = 0
        while True:
            reply, records = await self._log.read("audit", offset, wait=False)
            decoded = [messages.decode_record(record) for record in records]
            found += [r for r in decoded if isinstance(r, messages.AuditRecord)]
            offset = reply.first + len(records)
            if offset >= reply.end:
                return found

    # Effects.

    def _apply_one(self, event: events.Event) -> None:
        if self._recorder is not None:
            self._recorder.record(event)
        self.counters.events += 1
        for effect in reducer.reduce(self.state, event):
            self._handlers[type(effect)](effect)

    def _open_attempt(self, effect: effects.OpenAttempt) -> None:
        known = self._requests.get(effect.call)
        if known is None:
            return
        request = known[0]
        for number in [n for n, p in self._attempts_of(request)]:
            self._drop_attempt(number, cancel=True)
        carrier = self._carrier(effect.node, ids.Address(effect.host, effect.port))
        self._attempts[effect.attempt] = PendingAttempt(request, carrier)
        request.attempt = effect.attempt
        carrier.send(
            frames.Open(
                call=effect.attempt,
                terms=effect.terms,
                head=request.head,
                body=bytes(request.body),
                whole=request.complete,
            )
        )
        if not request.complete and effect.attempt in self._attempts:
            request.connection.start_streaming(
                request, self._upload_sink(effect.attempt, carrier)
            )

    def _upload_sink(self, attempt: int, carrier: Carrier) -> BodySink:
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
        head = answer.head + b"gingerturn-decision: %b\r\n" % answer.decision.encode()
        request = pending.request
        if answer.whole:
            self._attempts.pop(effect.attempt)
            pending.carrier.forget(effect.attempt)
            request.connection.send_whole(request, head, answer.body)
            return
        pending.relaying = True
        request.resume_credit = self._credit_granter(effect.attempt, pending.carrier)
        request.connection.send_streaming(request, head, answer.length)
        request.connection.send_piece(request, answer.body, last=False)

    def _credit_granter(
        self, attempt: int, carrier: Carrier
    ) -> collections.abc.Callable[[int], None]:
        def grant(count: int) -> None:
            if attempt in self._attempts and count:
                carrier.send(frames.Credit(call=attempt, count=count))

        return grant

    def _on_answer_chunk(self, pending: PendingAttempt, chunk: frames.Chunk) -> None:
        request = pending.request
        if chunk.last:
            self._drop_attempt(chunk.call, cancel=False)
        request.connection.send_piece(request, chunk.body, last=chunk.last)

    def _refuse_call(self, effect: effects.RefuseCall) -> None:
        known = self._requests.get(effect.call)
        counts = self.counters.refused
        counts[effect.title] = counts.get(effect.title, 0) + 1
        if known is not None:
            known[0].connection.send_problem(known[0], effect)

    def _on_open(
        self, channel: "peers.Accepted | LocalChannel", frame: frames.Open
    ) -> None:
        self._numbers += 1
        hosted = ids.HostedId(self._numbers)
        channel.hosted[frame.call] = hosted
        self._exchanges[hosted] = exchanges.HostedExchange(self, channel, frame, hosted)
        self.apply(
            events.OpenReceived(
                now=clock.now(), hosted=hosted, sender=channel.peer, call=frame.terms
            )
        )

    def _hand_over(self, effect: effects.HandOver) -> None:
        self._exchanges[effect.hosted].hand_over(effect)

    def _cancel_backend(self, effect: effects.CancelBackend) -> None:
        exchange = self._exchanges.get(effect.hosted)
        if exchange is not None:
            exchange.abandon()
            self.drop_exchange(effect.hosted)

    def _send_answer(self, effect: effects.SendAnswer) -> None:
        exchange = self._exchanges[effect.hosted]
        if effect.keep_as:
            self._keep(effect.keep_as, exchange)
        exchange.send_answer(effect)

    def _send_kept_answer(self, effect: effects.SendKeptAnswer) -> None:
        exchange = self._exchanges[effect.hosted]
        kept = self._kept.get(effect.key)
        if kept is not None:
            exchange.send_kept(effect, kept)
        else:
            exchange.refuse(self._too_long_to_keep(effect))
        self.drop_exchange(effect.hosted)

    def _too_long_to_keep(self, effect: effects.SendKeptAnswer) -> effects.SendRefusal:
        return effects.SendRefusal(
            hosted=effect.hosted,
            refusal=messages.Refusal(
                rule=int(decisions.Rule.ALREADY_RUN),
                outcome=messages.Outcome.ALREADY_RUN,
                retry_after_ms=0.0,
                decision=effect.decision,
            ),
            tokens=effect.tokens,
            report=effect.report,
        )

    def _keep_answer(self, effect: effects.KeepAnswer) -> None:
        exchange = self._exchanges.get(effect.hosted)
        if exchange is not None:
            self._keep(effect.key, exchange)

    def _keep(self, key: str, exchange: exchanges.HostedExchange) -> None:
        kept = exchange.kept_answer()
        if len(kept.body) <= MAX_KEPT_BYTES:
            self._kept[key] = kept

    def _forget_answer(self, effect: effects.ForgetAnswer) -> None:
        self._kept.pop(effect.key, None)

    def _send_refusal(self, effect: effects.SendRefusal) -> None:
        exchange = self._exchanges.get(effect.hosted)
        if exchange is None:
            return
        exchange.refuse(effect)
        if effect.hosted not in self.state.hosted:
            self.drop_exchange(effect.hosted)

    def _ask_level(self, effect: effects.AskLevel) -> None:
        address = ids.Address(effect.host, effect.port)
        number = self._next_ask()
        self._level_asks[number] = (effect.node, effect.kind, address)
        self._carrier(effect.node, address).send(
            frames.AskLevel(call=number, kind=effect.kind)
        )

    def _on_level_asked(
        self, channel: "peers.Accepted | LocalChannel", frame: frames.AskLevel
    ) -> None:
        question = self._next_ask()
        self._level_questions[question] = (channel, frame.call)
        self.apply(
            events.LevelAsked(
                now=clock.now(), question=question, kind=ids.KindName(frame.kind)
            )
        )

    def _tell_level(self, effect: effects.TellLevel) -> None:
        channel, call = self._level_questions.pop(effect.question)
        channel.send(frames.TellLevel(call=call, report=effect.report))

    def _on_level_told(self, frame: frames.TellLevel) -> None:
        known = self._level_asks.pop(frame.call, None)
        if known is None:
            return
        node, kind, address = known
        self._carrier(node, address).forget(frame.call)
        self.apply(
            events.LevelTold(now=clock.now(), node=node, kind=kind, report=frame.report)
        )

    def _read_log(self, effect: effects.ReadLog) -> None:
        self._spawn(self._read_stream(effect))

    async def _read_stream(self, effect: effects.ReadLog) -> None:
        stream = effect.stream
        try:
            reply, records = await self._log.read(
                stream, effect.offset, wait=effect.wait
            )
        except errors.LogServiceError:
            self.apply(events.LogReadFailed(now=clock.now(), stream=stream))
            return
        self.apply(
            events.LogRead(
                now=clock.now(),
                stream=stream,
                first=reply.first,
                records=records,
                oldest=reply.oldest,
                end=reply.end,
            )
        )

    def _append(self, effect: effects.Append) -> None:
        self._spawn(self._append_record(effect))

    async def _append_record(self, effect: effects.Append) -> None:
        try:
            offset = await self._log.append(effect.stream, effect.record)
        except errors.LogServiceError as error:
            logs.write("WARNING", "log", f"{error}.")
            certain = error.took_effect is False
            self.apply(
                events.AppendFailed(
                    now=clock.now(), append=effect.append, certain=certain
                )
            )
            return
        self.apply(
            events.AppendDone(now=clock.now(), append=effect.append, offset=offset)
        )

    def _fetch_snapshot(self, effect: effects.FetchSnapshot) -> None:
        self._spawn(self._fetch(effect))

    async def _fetch(self, effect: effects.FetchSnapshot) -> None:
        question = frames.Ask(call=self._next_ask(), since=effect.since)
        try:
            content = await self._ask(ids.Address(effect.host, effect.port), question)
            snapshot = msgspec.json.decode(content, type=messages.ConfigSnapshot)
        except (errors.GingerturnError, msgspec.MsgspecError) as error:
            logs.write(
                "WARNING", "config", f"No configuration from {effect.node}: {error}."
            )
            return
        self.apply(events.SnapshotReceived(now=clock.now(), snapshot=snapshot))

    def _publish_ended(self, effect: effects.PublishEnded) -> None:
        future = self._publications.pop(effect.request, None)
        if future is not None and not future.done():
            future.set_result(effect)

    def _write_log(self, effect: effects.WriteLog) -> None:
        logs.write(effect.level, effect.part, effect.text)

    def _on_stopped(self, effect: effects.Stopped) -> None:
        self.stopped.set()

    # Questions between nodes.

    async def _ask(self, address: ids.Address, question: frames.Ask) -> bytes:
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._asks[question.call] = future
        self._link(address).send(question)
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                return await future
        except (TimeoutError, ConnectionError) as error:
            raise errors.GingerturnError(
                f"no answer: {error}", step="ask a peer", peer=str(address)
            ) from None
        finally:
            self._asks.pop(question.call, None)
            self._link(address).forget(question.call)

    def _on_reply(self, frame: frames.Reply) -> None:
        future = self._asks.get(frame.call)
        if future is not None and not future.done():
            future.set_result(frame.content)

    def _answer_question(self, question: frames.Ask) -> bytes:
        if question.decision:
            found = self.state.decisions.find(question.decision)
            return b"" if found is None else msgspec.json.encode(found)
        return messages.encode_record(
            revisions.snapshot(self.state, since=question.since)
        )

    def _next_ask(self) -> int:
        self._numbers += 1
        return _ASK_BASE + self._numbers

    # Small parts.

    def _started_event(self) -> events.Started:
        place = self.settings.node
        return events.Started(
            now=clock.now(),
            seed=int.from_bytes(os.urandom(8)) >> 1,
            node=ids.NodeId(self.name),
            incarnation=ids.Incarnation(self.incarnation),
            host=place.host,
            peers_port=place.peers_port,
            gossip_port=place.gossip_port,
            zone=place.zone,
            region=place.region,
            decisions=self.settings.limits.decisions,
            seeds=tuple(self.settings.peers),
        )

    def _tick(self) -> None:
        begun = time.thread_time()
        self.apply(events.Tick(now=clock.now()))
        self.pool.close_idle()
        self._record_durations()
        self.counters.control_seconds += time.thread_time() - begun
        loop = asyncio.get_running_loop()
        self._ticker = loop.call_later(timers.TICK_MS / 1000.0, self._tick)

    def _record_durations(self) -> None:
        """Put the durations since the last tick into the histogram, off the way of
        any call."""
        for elapsed_ms in self._elapsed:
            value = int(elapsed_ms * 1000.0)
            self.durations.record_value(max(1, min(value, MAX_DURATION_US)))
        self._elapsed.clear()

    def _carrier(self, node: ids.NodeId, address: ids.Address) -> Carrier:
        return self._local if node == self.name else self._link(address)

    def _link(self, address: ids.Address) -> peers.Link:
        link = self._links.get(address)
        if link is None:
            link = peers.Link(self, address)
            self._links[address] = link
        return link

    def _attempts_of(
        self, request: ingress.Request
    ) -> list[tuple[int, PendingAttempt]]:
        pending = self._attempts.get(request.attempt)
        if pending is None or pending.request is not request:
            return []
        return [(request.attempt, pending)]

    def _drop_attempt(self, number: int, *, cancel: bool) -> None:
        pending = self._attempts.pop(number, None)
        if pending is None:
            return
        if cancel:
            pending.carrier.send(frames.Cancel(call=number))
        pending.carrier.forget(number)

    def _spawn(self, coroutine: collections.abc.Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.keep_task(task)


async def run(node: Node) -> None:
    """Run a node until it has stopped, or its drain takes too long."""
    await node.stopped.wait()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(1.0):
            while not all(c.idle for c in node.caller_connections):
                await asyncio.sleep(0.01)
