"""The node: applies events to the core and carries out its effects."""

import asyncio
import collections
import collections.abc
import contextlib
import math
import os
import socket
import time
import typing

import msgspec
from hdrh import histogram

from gingerturn import (
    announcements,
    dialect as dialects,
    errors,
    log_service,
    settings,
)
from gingerturn.internal import ids, logs, outcome_log
from gingerturn.internal.core import (
    allowance,
    decisions,
    departures,
    effects,
    events,
    histograms,
    readiness,
    reducer,
    tolerance,
    trace,
)
from gingerturn.internal.shell import (
    acknowledgements,
    caller_input,
    caller_limits,
    clock,
    connection_ends,
    departure_waits,
    descriptors,
    entry,
    gossip,
    held_bytes,
    home,
    ingress,
    lingering,
    links,
    listeners,
    log_client,
    log_side,
    peers,
    probes,
    process_end,
    side_http,
    starting,
    supervision,
    turns,
    unapplied,
)

_FIXED_PARTS = (
    "node",
    "log",
    "secret",
    "routing",
    "limits",
    "workspaces",
)
"""Sections of the settings that take effect only at a restart."""

REPORT_INTERVAL_MS = 1_000.0
"""Interval between reports of dropped log lines and of the event loop's lag."""

MIN_REPORTED_LAG_MS = 100.0

UNREADY_LINE_INTERVAL_MS = 5_000.0
"""Interval between log lines of a node that stays not ready."""

MIN_GRACE_MS = 1.0
"""Least grace of a planned stop, where its signal was handled late."""

FLUSH_TIMEOUT_S = 0.1
"""Time for which a node that closes waits until its connections are flushed."""

FLUSH_CHECK_S = 0.005

CLOSE_LIMIT_MS = 1_000.0
"""Time for which a node that closes waits for its tasks, and for the log service."""

MIN_CLOSE_MS = 20.0
"""Time for which it waits past the limit of a stop."""

MAX_NAMED = 10
"""Tasks without an end that a line names."""

Handlers = dict[type[effects.Effect], collections.abc.Callable[[typing.Any], None]]
"""The handler of each type of effect."""


MAX_OUTCOMES = 1_000
"""Pairs of kind and rule with counters of their own; the first ones that occur."""


class Counters(msgspec.Struct):
    """Counts since the start, for the metrics.

    :param outcomes: calls that ended at this entry node, by kind and last rule.
    :param loop_lag: delay of the tick, which is that of any other event.
    """

    answered: int = 0
    refused: dict[str, int] = {}
    control_seconds: float = 0.0
    events: int = 0
    lines_dropped: int = 0
    connections_replaced: int = 0
    ends: dict[connection_ends.End, int] = {}
    outcomes: dict[tuple[str, decisions.Rule], int] = {}
    loop_lag: histograms.Histogram = msgspec.field(default_factory=histograms.Histogram)


class Node:
    """One node.

    Invariants: events are applied one at a time; the effects of an event are carried
    out before the next event is applied, also when an effect causes further events; no
    external event is applied before :class:`events.Started`.

    :param loaded: settings of the node.
    :param record: binary file to which events are recorded, if any.
    :param dialect: header names used with callers and the backend server.
    :param log: the log service; :class:`log_client.LogClient` by default.
    """

    def __init__(
        self,
        loaded: settings.Settings,
        *,
        record: typing.BinaryIO | None = None,
        dialect: dialects.Dialect = dialects.DEFAULT,
        log: log_service.LogService | None = None,
    ) -> None:
        self.settings = loaded
        self.dialect = dialect
        self.written_headers = dialect.written_by_nodes()
        self.name = loaded.node.id
        self.incarnation = int(time.time() * 1000)
        self.secrets = [
            secret.encode()
            for secret in (loaded.secret.current, loaded.secret.previous)
            if secret
        ]
        self._started = self._started_event()
        self.state = reducer.new_state(self._started)
        self.watch = acknowledgements.Watch()
        self.accepted: set[peers.Accepted] = set()
        self.compressing: set[peers.FrameProtocol] = set()
        self.caller_connections: set[ingress.CallerConnection] = set()
        self.lingering = lingering.Lingering()
        self._side_connections: list[side_http.Connections] = []
        self._departure_waits = departure_waits.DepartureWaits()
        self.turns = turns.Turns()
        self.held = held_bytes.Account(held_bytes.limit_of(loaded.limits.memory_mb))
        self.read_buffer = memoryview(bytearray(caller_input.READ_BYTES))
        self.counters = Counters(refused={})
        self.durations = histogram.HdrHistogram(1, entry.MAX_DURATION_US, 2)
        self.descriptors = descriptors.Reserve(
            lambda: len(self.caller_connections),
            self.free_descriptors,
        )
        self.stop_begun = asyncio.Event()
        self.stopped = asyncio.Event()
        self.gossip = gossip.GossipProtocol(self)
        self.links = links.Links(self)
        self.entry = entry.EntrySide(self)
        self.home = home.HomeSide(self)
        self.home.pool.reserve = self.descriptors
        self.log = log_side.LogSide(self, log or log_client.LogClient(loaded.log))
        self._record = record
        self._recorder = None if record is None else trace.Recorder(record)
        self._publications: dict[str, asyncio.Future[effects.PublishEnded]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.listeners = listeners.Listeners(loaded.node.host, self.descriptors)
        self._queue: collections.deque[events.Event] = collections.deque()
        self._applying = False
        self._begun = False
        self._tick_work: tuple[collections.abc.Callable[[], None], ...] = (
            self.home.pool.close_idle,
            self.entry.record_durations,
            self._log_readiness,
            self._check_callers,
        )
        self._ticker: asyncio.TimerHandle | None = None
        self._tick_at = math.inf
        self._last_number = 0
        # A node begins without configuration, which is logged if it lasts.
        self._unready = readiness.unready(self.state)
        self._next_unready_line = clock.now() + UNREADY_LINE_INTERVAL_MS
        self._next_report = 0.0
        self._max_lag_ms = 0.0
        self._stop_began = math.inf
        self._next_caller_check = 0.0
        self._handlers: Handlers = {
            **self.entry.handlers(),
            **self.home.handlers(),
            **self.links.handlers(),
            **self.log.handlers(),
            effects.SendGossip: self.gossip.send,
            effects.PublishEnded: self._publish_ended,
            effects.WriteLog: self._write_log,
            effects.LogDecision: self._log_decision,
            effects.Stopped: self._on_stopped,
            effects.DeparturesSaved: self._departure_waits.on_saved,
        }

    def __repr__(self) -> str:
        return f"Node(name={self.name!r}, incarnation={self.incarnation})"

    @property
    def begun(self) -> bool:
        """Whether the node has applied :class:`events.Started`."""
        return self._begun

    @property
    def stopping(self) -> bool:
        """Whether a planned stop is in progress."""
        return self.state.stopping

    @property
    def callers_server(self) -> listeners.Acceptor | None:
        """The listener of callers' connections, once the node has started."""
        return self.listeners.server(self.settings.node.calls_port)

    @property
    def publications(self) -> collections.abc.Iterable[str]:
        """Ids of the publications whose outcome is not known yet."""
        return self._publications.keys()

    @property
    def stop_age_ms(self) -> int:
        """Time since the planned stop began; -1 if none is in progress."""
        if self._stop_began == math.inf:
            return -1
        return round(clock.now() - self._stop_began)

    def begin_stop(self, at: ids.Milliseconds = math.inf) -> None:
        """Begin a planned stop, unless one is in progress.

        During the start this only notes when it was asked for.

        :param at: when it was asked for, from which its limits count; now at the
            latest.
        """
        if self.stopping:
            logs.write("INFO", "node", "A planned stop is already in progress.")
            return
        now = clock.now()
        self._stop_began = min(self._stop_began, at, now)
        if not self._begun:
            return
        self.stop_begun.set()
        grace_ms = self.settings.node.drain_timeout_ms - (now - self._stop_began)
        # No grace would be no limit.
        grace_ms = max(MIN_GRACE_MS, grace_ms)
        self.apply(events.StopRequested(now=now, grace_ms=grace_ms))

    async def start(self) -> None:
        """Bind all addresses, apply the start event, then accept connections.

        Addresses that another process holds are tried again for a while.

        :raises GingerturnError: when an address cannot be bound.
        """
        node_settings = self.settings.node
        for port in (node_settings.ready_port, node_settings.metrics_port):
            if port:
                await self.serve_http(probes.ready_handler(self), port)
        self.listeners.add(node_settings.peers_port, lambda: peers.Accepted(self))
        self.listeners.add(
            node_settings.calls_port,
            lambda: ingress.CallerConnection(self),
            yields=True,
        )
        await starting.retry(self._open_addresses)
        self.descriptors.hold()
        self.apply(self._started)
        self._begun = True
        self.listeners.serve()
        self._tick()

    async def serve_http(self, handler: side_http.Handler, port: int) -> None:
        """Serve HTTP requests other than calls on a separate port, from the start of
        this node until it closes.

        :raises GingerturnError: when the node has started and the address cannot be
            bound.
        """
        connections = side_http.Connections()
        self._side_connections.append(connections)
        self.listeners.add(
            port, lambda: side_http.Connection(handler, self.lingering, connections)
        )
        if self._begun:
            self.listeners.bind()
            self.listeners.listen()
            self.listeners.serve()

    def announce(
        self, announcement: announcements.Announcement
    ) -> asyncio.Future[None] | None:
        """Apply an announcement of the backend server.

        :return: done once it may be confirmed; ``None`` if it may be at once.
        :raises InvalidArgument: for a value that is not allowed.
        """
        announcements.check_announcement(announcement)
        self._check_service(announcement)
        if announcement.leaving:
            return self.withdraw(announcement.instance, announcement.started_ms)
        self.apply(
            events.BackendAnnounced(
                now=clock.now(),
                service=ids.ServiceName(announcement.service),
                host=announcement.host,
                port=announcement.port,
                slots=announcement.slots,
                connections=announcement.connections,
                cold=announcement.cold,
                load=announcement.load,
                ttl_ms=announcement.ttl_ms,
                instance=announcement.instance,
                sequence=announcement.sequence,
                started_ms=announcement.started_ms,
            )
        )
        return None

    def _check_service(self, announcement: announcements.Announcement) -> None:
        """Reject announcements of services that the route table does not declare.

        Such an announcement would be treated as a restart and replace the backend
        server of this node.
        """
        table = self.state.routes
        if table is None or table.table.names_service(announcement.service):
            return
        raise errors.InvalidArgument(
            f"service is {announcement.service!r}; allowed is one of the configuration",
            step="take an announcement",
            peer=announcement.instance,
        )

    def reload(self, reloaded: settings.Settings) -> None:
        """Apply reloaded settings.

        Sections that cannot change while the process runs take effect at the next
        start; those that differ are named in the log.
        """
        later = [
            part
            for part in _FIXED_PARTS
            if getattr(reloaded, part) != getattr(self.settings, part)
        ]
        self.settings.retries = reloaded.retries
        self.settings.backend = reloaded.backend
        self.apply(
            events.SettingsChanged(
                now=clock.now(), retry_bound=_retry_bound(reloaded.retries)
            )
        )
        text = "Settings read again."
        if later:
            text += f" Changes of {', '.join(later)} take effect at the next start."
        logs.write("INFO", "node", text)

    def withdraw(
        self, instance: str = "", started_ms: int = 0
    ) -> asyncio.Future[None] | None:
        """Stop dispatching to the backend server, or to one start of it.

        :return: done once it may be confirmed; ``None`` if it may be at once.
        :raises InvalidArgument: for a value that is not allowed.
        """
        announcements.check_start(instance, started_ms)
        self.apply(
            events.BackendWithdrawn(
                now=clock.now(), instance=instance, started_ms=started_ms
            )
        )
        if not departures.is_saving(self.state, instance):
            return None
        return self._departure_waits.begin()

    async def close(self) -> None:
        """Close all connections and tasks; calls in flight are aborted.

        What does not end within the limit of a planned stop, or :data:`CLOSE_LIMIT_MS`
        without one, is left and named in the log.
        """
        if self._ticker is not None:
            self._ticker.cancel()
        # Keeps events that are still applied from scheduling another tick.
        self._tick_at = -math.inf
        self.listeners.close()
        self.descriptors.close()
        for connection in list(self.caller_connections):
            connection.close("the process ends")
        self.links.close()
        for accepted in list(self.accepted):
            accepted.close()
        self.gossip.close()
        await self.lingering.wait(self._linger_limit_ms())
        await self._flush()
        await self._end_tasks()
        outcome_log.flush()
        if self._recorder is not None:
            recorded, digest = self._recorder.events, self._recorder.digest
            text = f"Recorded {recorded} events, digest {digest}."
            logs.write("INFO", "node", text)
            # Announcements received during the close would not be covered by the
            # logged digest.
            self._recorder = None

    def free_descriptors(self) -> int:
        """Close what needs no descriptor any more, and connections that wait for their
        peers; return the number of those of callers."""
        now = clock.now()
        for accepted in list(self.accepted):
            accepted.free_descriptor(now)
        self.lingering.end_flushed()
        for connections in self._side_connections:
            connections.close_idle(side_http.IDLE_BEFORE_CLOSE_MS)
        return caller_limits.close_idlest(self) or caller_limits.give_up_stalled(self)

    def stop_left_ms(self, margin_ms: ids.Milliseconds = 0.0) -> ids.Milliseconds:
        """Return what is left of the drain timeout of a planned stop and a margin
        beyond it; infinite without a stop."""
        if self._stop_began == math.inf:
            return math.inf
        ends_at = self._stop_began + self.settings.node.drain_timeout_ms + margin_ms
        return max(0.0, ends_at - clock.now())

    def flush_recording(self) -> None:
        """Write what is buffered of the recording of events, if there is one."""
        if self._record is not None:
            self._record.flush()

    async def _end_tasks(self) -> None:
        """Cancel the tasks and close the log service; log what does not end."""
        tasks: dict[asyncio.Task[None], str] = {
            task: task.get_name() for task in self._tasks
        }
        for task in tasks:
            task.cancel()
        # Tasks may use the log service until they end.
        waiting = await self._await_ends(tasks)
        closing = supervision.awaited(self.log.close())
        waiting |= await self._await_ends([closing])
        if closing not in waiting:
            closing.result()
        tasks[closing] = "log service"
        if waiting:
            names = ", ".join(sorted(tasks[task] for task in waiting)[:MAX_NAMED])
            text = f"Closed without waiting for {len(waiting)} tasks: {names}."
            logs.write("WARNING", "node", text)

    async def _await_ends(
        self, tasks: collections.abc.Iterable[asyncio.Task[None]]
    ) -> set[asyncio.Task[None]]:
        """Wait until tasks end, within the limit of a close; return the others.

        Ends that are due in the next turns of the event loop are awaited in any case.
        """
        left_ms = self.stop_left_ms(process_end.CLOSE_MARGIN_MS)
        limit_ms = max(MIN_CLOSE_MS, min(CLOSE_LIMIT_MS, left_ms))
        listed = list(tasks)
        if not listed:
            return set()
        _, waiting = await asyncio.wait(listed, timeout=limit_ms / 1000.0)
        return waiting

    def _linger_limit_ms(self) -> ids.Milliseconds:
        """Return the time for which the end may wait for lingering connections."""
        limit_ms = lingering.STOP_WAIT_MS
        if self.stop_age_ms < 0:
            return limit_ms
        left_ms = self.settings.node.drain_timeout_ms - self.stop_age_ms
        return max(0.0, min(limit_ms, left_ms))

    async def _flush(self) -> None:
        """Wait until closed connections are flushed, and abort those that are not.

        The event loop would drop what they buffer when it closes.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                while self.caller_connections or self.accepted:
                    await asyncio.sleep(FLUSH_CHECK_S)
        for connection in list(self.caller_connections):
            connection.abort_transport()
        for accepted in list(self.accepted):
            accepted.abort_transport()
        # Lets the event loop report the aborted connections as lost.
        await asyncio.sleep(0)

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
        deadlines = self.state.deadlines
        if deadlines and deadlines[0][0] < self._tick_at and self._begun:
            self._schedule_tick()

    @property
    def is_applying(self) -> bool:
        """Whether an event is being applied; others wait until it has been."""
        return self._applying

    def next_number(self) -> int:
        """Return an id that is unique within this node, for calls, hosted calls and
        queries."""
        self._last_number += 1
        return self._last_number

    def keep_task(self, task: asyncio.Task[None]) -> None:
        """Hold a reference to a task until it ends; the event loop holds a weak one."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def spawn(
        self,
        coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None],
        *,
        part: str,
        subject: str = "",
        failed: supervision.Failed | None = None,
    ) -> None:
        """Run a coroutine as a task, which is cancelled when the node closes.

        :param part: of the node, and ``subject`` what it works on, for the log.
        :param failed: called if an error ends it.
        """
        self.keep_task(
            supervision.spawn(coroutine, part=part, subject=subject, failed=failed)
        )

    def knows_service(self, service: str) -> bool:
        """Whether a service is configured or announced by any member."""
        if service in self.state.membership.by_service:
            return True
        return service in self.state.configuration.services

    async def publish(
        self, *, team: ids.TeamName, author: str, base: ids.Revision, text: str
    ) -> effects.PublishEnded:
        """Publish a team's document and wait for the outcome."""
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

    async def _open_addresses(self) -> None:
        """Bind all addresses, then listen at them.

        :raises GingerturnError: when one of them cannot be used.
        """
        node_settings = self.settings.node
        host, port = node_settings.host, node_settings.gossip_port
        self.listeners.bind()
        try:
            sock = listeners.bind(host, port, socket.SOCK_DGRAM)
            await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: self.gossip, sock=sock
            )
            self.listeners.listen()
        except errors.GingerturnError:
            self.listeners.unbind()
            self.gossip.close()
            raise

    def _apply_one(self, event: events.Event) -> None:
        """Apply an event. After an error, what it has changed so far takes effect."""
        self.counters.events += 1
        out: list[effects.Effect] = []
        if self._recorder is not None:
            with supervision.contained("recorder"):
                self._recorder.record(event)
        try:
            reducer.apply(self.state, event, out)
        except Exception as error:
            supervision.record("events", error, subject=type(event).__name__)
            failed: supervision.Failed | None = unapplied.outcome(self, event)
        else:
            failed = None
        if self._recorder is not None:
            with supervision.contained("recorder"):
                self._recorder.record_effects(out)
        for effect in out:
            self._carry_out(effect)
        if failed is not None:
            with supervision.contained("events", subject=type(event).__name__):
                failed()

    def _carry_out(self, effect: effects.Effect) -> None:
        """Carry out an effect. An error does not affect those that follow."""
        kind = type(effect)
        try:
            self._handlers[kind](effect)
        except Exception as error:
            supervision.record("effects", error, subject=kind.__name__)
            with supervision.contained("effects", subject=kind.__name__):
                unapplied.on_effect_failed(self, effect)

    def _log_readiness(self) -> None:
        """Log changes of readiness, and periodically dropped log lines and lag."""
        now = clock.now()
        self._log_readiness_change(now)
        outcome_log.flush()
        if now >= self._next_report:
            self._next_report = now + REPORT_INTERVAL_MS
            self.descriptors.probe()
            self.counters.lines_dropped += logs.report_dropped()
            if self._max_lag_ms >= MIN_REPORTED_LAG_MS:
                text = f"Event loop was late by up to {self._max_lag_ms:.0f} ms."
                logs.write("WARNING", "node", text)
            self._max_lag_ms = 0.0

    def _log_readiness_change(self, now: ids.Milliseconds) -> None:
        """Log a change of readiness, and again while the node stays not ready."""
        reason = readiness.unready(self.state)
        if reason is self._unready and now < self._next_unready_line:
            return
        self._unready = reason
        self._next_unready_line = math.inf
        if reason is not None:
            self._next_unready_line = now + UNREADY_LINE_INTERVAL_MS
        self._write_readiness(reason)

    def _write_readiness(self, reason: readiness.Unready | None) -> None:
        version = self.state.version
        if reason is None:
            logs.write("INFO", "node", "Ready for callers.", version=version)
            return
        logs.write(
            "INFO",
            "node",
            f"Not ready for callers: {readiness.description(self.state, reason)}",
            version=version,
            reason=reason.value,
        )

    def _check_callers(self) -> None:
        now = clock.now()
        if now >= self._next_caller_check:
            self._next_caller_check = now + caller_limits.CHECK_INTERVAL_MS
            caller_limits.check_connections(self, now)
            self.entry.end_overdue(now)
            self.lingering.check(now)
            for connections in self._side_connections:
                connections.close_idle()

    def _publish_ended(self, effect: effects.PublishEnded) -> None:
        future = self._publications.pop(effect.request, None)
        if future is not None and not future.done():
            future.set_result(effect)

    def _write_log(self, effect: effects.WriteLog) -> None:
        if logs.may_write_change():
            logs.write(effect.level, effect.part, effect.text)

    def _log_decision(self, effect: effects.LogDecision) -> None:
        self._count_outcome(effect)
        if effect.outcome_fact:
            _record_outcome_fact(effect)
        # Most lines are dropped, so check before building one.
        failure = decisions.is_failure(effect.rule, effect.status)
        if not logs.may_write_decision(failure=failure):
            return
        rule = decisions.Rule(effect.rule)
        logs.write(
            "WARNING" if failure else "INFO",
            effect.part,
            decisions.description_of(rule),
            request=effect.request,
            rule=rule.name.lower(),
            kind=effect.kind,
            upstream=effect.upstream,
            status=effect.status,
            figures=decisions.named_figures(rule, effect.figures),
            version=effect.version,
            waited_ms=round(effect.waited_ms, 1),
            workspace=effect.workspace,
            decision=effect.decision,
        )

    def _count_outcome(self, effect: effects.LogDecision) -> None:
        rule = decisions.Rule(effect.rule)
        # A call that goes on, or is about to be refused, has no status yet.
        ended = effect.status or rule is decisions.Rule.CALLER_GONE
        if effect.part != "entry" or not ended:
            return
        counts = self.counters.outcomes
        outcome = (effect.kind, rule)
        if outcome in counts or len(counts) < MAX_OUTCOMES:
            counts[outcome] = counts.get(outcome, 0) + 1

    def _on_stopped(self, effect: effects.Stopped) -> None:
        self.stopped.set()

    def _started_event(self) -> events.Started:
        node_settings = self.settings.node
        return events.Started(
            now=clock.now(),
            seed=int.from_bytes(os.urandom(8)) >> 1,
            node=ids.NodeId(self.name),
            incarnation=ids.Incarnation(self.incarnation),
            host=node_settings.host,
            peers_port=node_settings.advertised_peers_port or node_settings.peers_port,
            gossip_port=node_settings.gossip_port,
            zone=node_settings.zone,
            region=node_settings.region,
            decisions=self.settings.limits.decisions,
            seeds=tuple(self.settings.peers),
            routed=self.settings.routing.table,
            keyed_log=self.settings.log.keyed,
            retry_bound=_retry_bound(self.settings.retries),
            lineage=bool(self.dialect.lineage),
            revoke_ms=float(self.settings.workspaces.revoke_ms),
            cap_tolerance=_cap_tolerance(self.settings.workspaces),
            apply_ms=float(self.settings.routing.apply_ms),
        )

    def _tick(self) -> None:
        due, self._tick_at = self._tick_at, math.inf
        if due < math.inf:
            lag_ms = max(0.0, clock.now() - due)
            self.counters.loop_lag.record(lag_ms)
            self._max_lag_ms = max(self._max_lag_ms, lag_ms)
        begun = time.thread_time()
        self.apply(events.Tick(now=clock.now()))
        for work in self._tick_work:
            with supervision.contained("tick", subject=work.__qualname__):
                work()
        self.counters.control_seconds += time.thread_time() - begun
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        """Schedule the next tick of the core, unless an earlier one is scheduled."""
        due = reducer.next_tick(self.state)
        if due >= self._tick_at:
            # Rescheduling would let a steady flow of events postpone an expired
            # deadline indefinitely.
            return
        if self._ticker is not None:
            self._ticker.cancel()
        self._tick_at = due
        # Timers of the event loop have a resolution of 1 ms. One that fires early runs
        # nothing, and another tick has to follow it.
        pause_ms = math.ceil(max(0.0, self._tick_at - clock.now())) + 1
        self._ticker = supervision.call_later(
            pause_ms / 1000.0, self._tick, part="tick", failed=self._schedule_tick
        )


def _record_outcome_fact(effect: effects.LogDecision) -> None:
    rule = decisions.Rule(effect.rule)
    if not outcome_log.may_record(dispatch=rule is decisions.Rule.RUN):
        return
    outcome_log.record(
        effect.request,
        effect.part,
        rule.name.lower(),
        upstream=effect.upstream,
        status=effect.status,
        decision=effect.decision,
        waited_ms=round(effect.waited_ms, 1),
    )


def _retry_bound(retries: settings.Retries) -> allowance.Bound | None:
    if retries.slack is None:
        return None
    return allowance.Bound(retries.slack, retries.ratio, float(retries.window_ms))


def _cap_tolerance(workspaces: settings.Workspaces) -> tolerance.Tolerance:
    return tolerance.Tolerance(
        window_ms=float(workspaces.cap_window_ms),
        over=workspaces.cap_over,
        slack=workspaces.cap_slack,
    )
