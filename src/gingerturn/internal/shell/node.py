"""The node: applies events to the core and carries out its effects."""

import asyncio
import collections
import collections.abc
import contextlib
import math
import os
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
from gingerturn.internal import ids, logs
from gingerturn.internal.core import (
    allowance,
    decisions,
    effects,
    events,
    readiness,
    reducer,
    tolerance,
    trace,
)
from gingerturn.internal.shell import (
    caller_limits,
    clock,
    entry,
    gossip,
    home,
    ingress,
    links,
    log_client,
    log_side,
    peers,
    probes,
    side_http,
)

_FIXED_PARTS = (
    "node",
    "log",
    "secret",
    "backend",
    "routing",
    "limits",
    "workspaces",
)
"""Parts of the settings that come into force with a start."""

REPORT_MS = 1_000.0
"""How often it is told what the logs left out."""

Handlers = dict[type[effects.Effect], collections.abc.Callable[[typing.Any], None]]
"""What carries out each type of effect."""


class Counters(msgspec.Struct):
    """Counts since the start, for the metrics."""

    answered: int = 0
    refused: dict[str, int] = {}
    control_seconds: float = 0.0
    events: int = 0
    lines_dropped: int = 0


class Node:
    """One node.

    Invariants: events are applied one at a time and the effects of one are carried
    out before the next is applied, also when carrying out one makes another; nothing
    that comes from outside is applied before the start.

    :param chosen: its settings.
    :param record: binary file to which events are recorded, if any.
    :param dialect: names of headers towards callers and the backend server.
    :param log: the log service, if not one of gingerturn's own form.
    """

    def __init__(
        self,
        chosen: settings.Settings,
        *,
        record: typing.BinaryIO | None = None,
        dialect: dialects.Dialect = dialects.DEFAULT,
        log: log_service.LogService | None = None,
    ) -> None:
        self.settings = chosen
        self.dialect = dialect
        self.written_headers = dialect.written_by_nodes()
        self.name = chosen.node.id
        self.incarnation = int(time.time() * 1000)
        self.secrets = [
            secret.encode()
            for secret in (chosen.secret.current, chosen.secret.previous)
            if secret
        ]
        self._started = self._started_event()
        self.state = reducer.new_state(self._started)
        self.accepted: set[peers.Accepted] = set()
        self.compressing: set[peers.FrameProtocol] = set()
        self.caller_connections: set[ingress.CallerConnection] = set()
        self.counters = Counters(refused={})
        self.durations = histogram.HdrHistogram(1, entry.MAX_DURATION_US, 2)
        self.stopped = asyncio.Event()
        self.gossip = gossip.GossipProtocol(self)
        self.links = links.Links(self)
        self.entry = entry.EntrySide(self)
        self.home = home.HomeSide(self)
        self.log = log_side.LogSide(self, log or log_client.LogClient(chosen.log))
        self._recorder = None if record is None else trace.Recorder(record)
        self._publications: dict[str, asyncio.Future[effects.PublishEnded]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._servers: list[asyncio.Server] = []
        self._queue: collections.deque[events.Event] = collections.deque()
        self._applying = False
        self._begun = False
        self._ticker: asyncio.TimerHandle | None = None
        self._tick_at = math.inf
        self._numbers = 0
        self._was_ready = False
        self._report_at = 0.0
        self._check_callers_at = 0.0
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
        }

    def __repr__(self) -> str:
        return f"Node(name={self.name!r}, incarnation={self.incarnation})"

    @property
    def begun(self) -> bool:
        """Whether the start has been applied."""
        return self._begun

    @property
    def stopping(self) -> bool:
        """Whether a planned stop is under way."""
        return self.state.stopping

    async def start(self) -> None:
        """Bind the addresses, begin, and only then take what comes in.

        :raises GingerturnError: naming the address that cannot be bound.
        """
        place = self.settings.node
        await self._bind(lambda: ingress.CallerConnection(self), place.calls_port)
        await self._bind(lambda: peers.Accepted(self), place.peers_port)
        for port in (place.ready_port, place.metrics_port):
            if port:
                await self.serve_beside(probes.ready_handler(self), port)
        with listening(place.host, place.gossip_port):
            await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: self.gossip, (place.host, place.gossip_port)
            )
        self.apply(self._started)
        self._begun = True
        for server in self._servers:
            await server.start_serving()
        self._tick()

    async def serve_beside(self, handler: side_http.Handler, port: int) -> None:
        """Serve what is not a call on a port of its own, from the start of this node
        until it closes.

        :raises GingerturnError: when the address cannot be bound.
        """
        await self._bind(lambda: side_http.Connection(handler), port)

    def announce(self, announcement: announcements.Announcement) -> None:
        """Take what the backend server tells of itself.

        :raises InvalidArgument: for a value that is not allowed.
        """
        announcements.check_announcement(announcement)
        self._check_service(announcement)
        if announcement.leaving:
            self.withdraw(announcement.instance, announcement.started_ms)
            return
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

    def _check_service(self, announcement: announcements.Announcement) -> None:
        """Refuse the word of others than the backend servers of this graph.

        Taken for a new start it would put the backend server out.
        """
        table = self.state.routes
        if table is None or table.table.names_service(announcement.service):
            return
        raise errors.InvalidArgument(
            f"service is {announcement.service!r}; allowed is one of the configuration",
            step="take an announcement",
            peer=announcement.instance,
        )

    def reload(self, chosen: settings.Settings) -> None:
        """Take settings that were read again.

        Addresses, names and the log cannot change while the process runs; what of
        them differs is named in the log and comes into force with the next start.
        """
        later = [
            part
            for part in _FIXED_PARTS
            if getattr(chosen, part) != getattr(self.settings, part)
        ]
        self.settings.retries = chosen.retries
        self.apply(
            events.SettingsChanged(
                now=clock.now(), retry_bound=_retry_bound(chosen.retries)
            )
        )
        text = "Settings read again."
        if later:
            text += f" Changes of {', '.join(later)} wait for the next start."
        logs.write("INFO", "node", text)

    def withdraw(self, instance: str = "", started_ms: int = 0) -> None:
        """Take that the backend server, or one start of it, takes no new work."""
        self.apply(
            events.BackendWithdrawn(
                now=clock.now(), instance=instance, started_ms=started_ms
            )
        )

    async def close(self) -> None:
        """Close everything; what is in flight is cut."""
        if self._ticker is not None:
            self._ticker.cancel()
        # Earlier than any tick that an event may still ask for.
        self._tick_at = -math.inf
        for server in self._servers:
            server.close()
        for connection in list(self.caller_connections):
            connection.close()
        self.links.close()
        for accepted in list(self.accepted):
            accepted.close()
        self.gossip.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.log.close()
        if self._recorder is not None:
            recorded, digest = self._recorder.events, self._recorder.digest
            text = f"Recorded {recorded} events, digest {digest}."
            logs.write("INFO", "node", text)
            # An announcement may still come in while the node closes; recorded, it
            # would not be in the digest that was told.
            self._recorder = None

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

    def next_number(self) -> int:
        """Return a number never given before by this node: for calls, hosted calls
        and questions."""
        self._numbers += 1
        return self._numbers

    def keep_task(self, task: asyncio.Task[None]) -> None:
        """Hold a task until it ends; the loop itself holds only a weak reference."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def spawn(self, coroutine: collections.abc.Coroutine[None, None, None]) -> None:
        """Run a task until it ends or the node closes."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.keep_task(task)

    def knows_service(self, service: str) -> bool:
        """Tell whether a service is declared, or was announced by some member."""
        if service in self.state.membership.by_service:
            return True
        return service in self.state.configuration.services

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

    async def _bind(
        self, make: collections.abc.Callable[[], asyncio.Protocol], port: int
    ) -> None:
        """Bind an address; it takes connections once the node has begun.

        An announcement that came before the start was taken into a state that no
        member was told of, and since the following ones changed nothing, the backend
        server stayed unknown to the others for as long as the node ran.
        """
        host = self.settings.node.host
        with listening(host, port):
            server = await asyncio.get_running_loop().create_server(
                make, host, port, start_serving=self._begun
            )
        self._servers.append(server)

    def _apply_one(self, event: events.Event) -> None:
        if self._recorder is not None:
            self._recorder.record(event)
        self.counters.events += 1
        out = reducer.reduce(self.state, event)
        if self._recorder is not None:
            self._recorder.record_effects(out)
        for effect in out:
            self._handlers[type(effect)](effect)

    def _note_readiness(self) -> None:
        """Write when the readiness changed, and each second what was left out."""
        ready = readiness.is_ready(self.state)
        if ready != self._was_ready:
            self._was_ready = ready
            text = "Ready for callers." if ready else "Not ready for callers."
            logs.write("INFO", "node", text, version=self.state.version)
        now = clock.now()
        if now >= self._report_at:
            self._report_at = now + REPORT_MS
            self.counters.lines_dropped += logs.report_dropped()

    def _check_callers(self) -> None:
        now = clock.now()
        if now >= self._check_callers_at:
            self._check_callers_at = now + caller_limits.CHECK_MS
            caller_limits.check_times(self, now)

    def _publish_ended(self, effect: effects.PublishEnded) -> None:
        future = self._publications.pop(effect.request, None)
        if future is not None and not future.done():
            future.set_result(effect)

    def _write_log(self, effect: effects.WriteLog) -> None:
        if logs.may_write_change():
            logs.write(effect.level, effect.part, effect.text)

    def _log_decision(self, effect: effects.LogDecision) -> None:
        # Most lines are left out, so this comes before anything is made for one.
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

    def _on_stopped(self, effect: effects.Stopped) -> None:
        self.stopped.set()

    def _started_event(self) -> events.Started:
        place = self.settings.node
        return events.Started(
            now=clock.now(),
            seed=int.from_bytes(os.urandom(8)) >> 1,
            node=ids.NodeId(self.name),
            incarnation=ids.Incarnation(self.incarnation),
            host=place.host,
            peers_port=place.advertised_peers_port or place.peers_port,
            gossip_port=place.gossip_port,
            zone=place.zone,
            region=place.region,
            decisions=self.settings.limits.decisions,
            seeds=tuple(self.settings.peers),
            routed=self.settings.routing.table,
            keyed_log=self.settings.log.keyed,
            retry_bound=_retry_bound(self.settings.retries),
            lineage=bool(self.dialect.lineage),
            revoke_ms=float(self.settings.workspaces.revoke_ms),
            cap_tolerance=_cap_tolerance(self.settings.workspaces),
        )

    def _tick(self) -> None:
        self._tick_at = math.inf
        begun = time.thread_time()
        self.apply(events.Tick(now=clock.now()))
        self.home.pool.close_idle()
        self.entry.record_durations()
        self._note_readiness()
        self._check_callers()
        self.counters.control_seconds += time.thread_time() - begun
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        """Tick when the core is next due, unless a tick is due as early already."""
        due = reducer.next_tick(self.state)
        if due >= self._tick_at:
            # Never put off: a deadline that has just passed would be, by each event.
            return
        if self._ticker is not None:
            self._ticker.cancel()
        self._tick_at = due
        pause = max(0.0, self._tick_at - clock.now()) / 1000.0
        loop = asyncio.get_running_loop()
        self._ticker = loop.call_later(pause, self._tick)


def _retry_bound(chosen: settings.Retries) -> allowance.Bound | None:
    if chosen.slack is None:
        return None
    return allowance.Bound(chosen.slack, chosen.ratio, float(chosen.window_ms))


def _cap_tolerance(chosen: settings.Workspaces) -> tolerance.Tolerance:
    return tolerance.Tolerance(
        window_ms=float(chosen.cap_window_ms),
        over=chosen.cap_over,
        slack=chosen.cap_slack,
    )


@contextlib.contextmanager
def listening(host: str, port: int) -> collections.abc.Iterator[None]:
    """Name the address that cannot be bound.

    :raises GingerturnError: instead of the system's own error, which names none.
    """
    try:
        yield
    except OSError as error:
        raise errors.GingerturnError(
            f"cannot listen: {error.strerror or error}",
            step="listen",
            peer=f"{host}:{port}",
        ) from None


async def run(node: Node) -> None:
    """Run a node until it has stopped, or its drain takes too long."""
    await node.stopped.wait()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(1.0):
            while not all(c.idle for c in node.caller_connections):
                await asyncio.sleep(0.01)
