"""The reducer: one function over all events, with effects as data.

``reduce`` changes the state and returns what the shell is to do. It does no I/O,
reads no clock and draws randomness only from the generator that the first event
seeds, so the same events give the same effects.
"""

import collections.abc
import contextlib
import heapq
import math
import traceback
import typing

from gingerturn import errors, log_service, routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    backend_reports,
    calls,
    cap_requests,
    caps,
    claims,
    decisions,
    departures,
    effects,
    events,
    freshness,
    freshness_renewal,
    hosting,
    instances,
    joining,
    keys,
    level_control,
    log_epochs,
    member_table,
    membership,
    messages,
    operator_log,
    pace,
    pause_detection,
    pollers,
    presence,
    quarantine,
    quarantine_gossip,
    replies,
    revisions,
    route_table,
    run_times,
    sending,
    state as states,
    streams,
    timers,
    upstreams,
    version_bound,
)

_Skip = collections.abc.Callable[
    [int, messages.LogRecord], contextlib.AbstractContextManager[None]
]

SLOW_CHECK_MS = 1_000.0
STOP_LINGER_MS = 1_500.0
"""A stopping node stays this long to refuse calls that are already on their way: a
connection closed under such a call would leave its outcome unknown. The departure is
gossiped at once and reaches every entry node within a few rounds."""

ROUTED_LINGER_MS = 3_000.0
"""Where callers find nodes by readiness checks, a stopping node continues to serve them
this long: two failed checks a second apart, and time for calls in flight. Until the
last :data:`STOP_LINGER_MS` of it, calls are still dispatched to the backend server
beside it, which does not stop and which no other node can reach."""

GRACE_MARGIN_MS = 100.0
"""How long before the end of its grace a node answers all open calls. A reported
unknown outcome is more useful to a caller than a broken connection."""

FIRST_SEQUENCES = 1 << 30
"""The first ping number is the start time in ms modulo this, so a restarted node uses
new numbers: no node sends a thousand pings a second."""

PRUNE_MS = 30_000.0
CHILD_KIND_TTL_MS = 60_000.0
"""Retention of the services that calls of a kind go on to."""


def new_state(event: events.Started) -> states.State:
    """Return the state from which a node starts."""
    return states.State(
        node=event.node, seed=event.seed, decision_count=event.decisions
    )


def reduce(state: states.State, event: events.Event) -> list[effects.Effect]:
    """Apply one event.

    :param state: changed in place.
    :return: the effects, in the order of execution.
    """
    out: states.Effects = []
    apply(state, event, out)
    return out


def apply(state: states.State, event: events.Event, out: states.Effects) -> None:
    """Apply one event.

    :param state: changed in place.
    :param out: the effects are appended to it. After an error they are those of the
        part of the event that was applied.
    """
    # Time in the core is monotonic, even if the clock was set back.
    if event.now > state.now:
        state.now = event.now
    _HANDLERS[type(event)](state, event, out)
    if state.departures.held:
        for held in departures.take_held(state):
            _on_announced(state, held, out)
    if state.departures.is_unsaved:
        departures.save(state, out)
    if state.claim_batch:
        claims.flush(state, out)
    if state.stopping and not state.stopped:
        _check_stopped(state, out)


def _on_started(
    state: states.State, event: events.Started, out: states.Effects
) -> None:
    state.started_at = event.now
    state.incarnation = event.incarnation
    state.zone = event.zone
    state.region = event.region
    state.seeds = event.seeds
    state.routed = event.routed
    state.keyed_log = event.keyed_log
    state.lineage = event.lineage
    state.retry_bound = event.retry_bound
    state.freshness.apply_ms = event.apply_ms
    state.freshness.revoke_ms = event.revoke_ms
    state.cap_tolerance = event.cap_tolerance
    # A late answer to a previous incarnation must not match a ping of this one.
    state.membership.sequence = event.incarnation % FIRST_SEQUENCES
    state.revisions.snapshot_at = event.now
    me = messages.Member(
        node=event.node,
        incarnation=event.incarnation,
        version=1,
        state=messages.MemberState.ALIVE,
        host=event.host,
        peers_port=event.peers_port,
        gossip_port=event.gossip_port,
        zone=event.zone,
    )
    for name, (period, _) in _TIMERS.items():
        if event.routed or name not in _ROUTED_ONLY:
            timers.subscribe(state, name=name, period=period, now=event.now)
    joining.start(state, me, out)
    if event.routed:
        # Whether to long poll for the next table is decided once members are known.
        streams.follow(state, streams.ROUTES, out, keyed=True, followed=False)
    if event.keyed_log:
        return
    streams.follow(state, streams.MEMBERS, out)
    streams.follow(state, streams.CONFIG, out)


def _on_tick(state: states.State, event: events.Tick, out: states.Effects) -> None:
    """Run what is due.

    :raises ExceptionGroup: with the errors of some of it; the rest has run.
    """
    now = state.now
    failed: list[Exception] = []
    with timers.collected(failed):
        pause_detection.check(state, now, out)
    while state.deadlines and state.deadlines[0][0] <= now:
        _, which, number = heapq.heappop(state.deadlines)
        with timers.collected(failed):
            _on_deadline(state, which, number, out)
    timers.run_due(state, now, _TIMER_HANDLERS, out, failed)
    with timers.collected(failed):
        streams.retry_due(state, out)
    if failed:
        raise ExceptionGroup("parts of a tick failed", failed)


def _on_deadline(
    state: states.State, which: states.Deadline, number: int, out: states.Effects
) -> None:
    if which == states.Deadline.CALL:
        calls.on_deadline(state, ids.CallId(number), out)
    elif which == states.Deadline.TOKEN:
        hosting.on_token_due(state, ids.HostedId(number), out)
    elif which == states.Deadline.WAIT:
        hosting.on_wait_due(state, ids.HostedId(number), out)
    elif which == states.Deadline.CAP_REQUEST:
        caps.on_request_due(state, number, out)
    elif which == states.Deadline.CAP_REPEAT:
        cap_requests.repeat_unanswered(state, out)
    else:
        hosting.on_deadline(state, ids.HostedId(number), out)


def next_tick(state: states.State) -> ids.Milliseconds:
    """Return when the next tick is due; later events may make it earlier."""
    if state.stopping:
        return state.now + timers.TICK_MS
    deadlines = state.deadlines
    while deadlines and not _is_pending(state, deadlines[0]):
        heapq.heappop(deadlines)
    first = deadlines[0][0] if deadlines else math.inf
    due = min(first, timers.next_due(state), streams.next_retry_at(state))
    return max(due, state.now + timers.TICK_MS)


def _is_pending(
    state: states.State, entry: tuple[ids.Milliseconds, states.Deadline, int]
) -> bool:
    _, which, number = entry
    if which == states.Deadline.CALL:
        return ids.CallId(number) in state.calls
    if which == states.Deadline.CAP_REQUEST:
        return caps.is_request_due(state, number)
    if which == states.Deadline.CAP_REPEAT:
        return number in state.caps.pending_requests
    return ids.HostedId(number) in state.hosted


def _on_log_read(
    state: states.State, event: events.LogRead, out: states.Effects
) -> None:
    stream = state.streams.get(event.stream)
    if stream is None:
        return
    if event.extra:
        freshness_renewal.on_read_ended(state)
    if _is_usable(state, stream, event, out):
        _apply_read(state, stream, event, out)
        if not event.extra:
            stream.consecutive_unapplied = 0
    if event.stream == streams.ROUTES:
        pollers.set_read_times(state, stream)
    streams.retry_due(state, out)


def _is_usable(
    state: states.State,
    stream: states.Stream,
    event: events.LogRead | events.NewestRead,
    out: states.Effects,
) -> bool:
    """Whether an answer describes the log as it is now."""
    if event.generation != stream.generation:
        return False
    if log_epochs.accept(state, event.epoch, out):
        return True
    if event.generation == stream.generation and not _is_extra(event):
        streams.on_read_failed(state, stream, out)
    return False


def _is_extra(event: events.LogRead | events.NewestRead) -> bool:
    return isinstance(event, events.LogRead) and event.extra


def _apply_read(
    state: states.State,
    stream: states.Stream,
    event: events.LogRead,
    out: states.Effects,
) -> None:
    """Apply records that were read from an offset."""
    if event.generation != stream.generation:
        # The offset belongs to the previous epoch.
        return
    streams.record_missing(stream, event, out)
    if event.missing:
        if event.first > stream.offset or stream.consecutive_missing > 1:
            streams.skip_missing(state, stream, event.first)
        else:
            log_epochs.on_stream_shortened(state, stream, event.first, out)
        return
    start = stream.offset
    gap = streams.advance(
        state,
        stream,
        out,
        first=event.first,
        count=len(event.records),
        end=event.end,
        extra=event.extra,
    )
    if event.stream == streams.CONFIG:
        revisions.on_read(state, first=event.first, oldest=event.oldest, gap=gap)
    joins: list[messages.JoinRecord] = []
    unread = max(0, start - event.first)
    decoded = _decode_records(
        state, event.stream, event.records[unread:], out, first=event.first + unread
    )
    with _skipping(state, event.stream, out) as skip:
        for offset, record in decoded:
            if isinstance(record, messages.JoinRecord):
                joins.append(record)
                continue
            with skip(offset, record):
                _on_record(state, event.stream, offset, record, out)
        if joins:
            with skip(log_service.NO_OFFSET, joins[-1]):
                joining.on_join_records(state, joins, out)
    reached = event.first + len(event.records) >= event.end
    if event.stream == streams.ROUTES and reached and not gap and event.requested_at:
        freshness.on_read(state, event.requested_at, held_open_ms=event.held_open_ms)


def _decode_records(
    state: states.State,
    stream: str,
    contents: tuple[bytes, ...],
    out: states.Effects,
    *,
    first: int | None = None,
) -> list[tuple[int, messages.LogRecord]]:
    """Return the records that can be used, with their offsets.

    :param contents: empty ones stand for entries that the node does not use.
    :param first: offset of the first one; ``None`` if the offsets are not known.
    """
    skipped = log_service.NOTHING_SKIPPED
    decoded: list[tuple[int, messages.LogRecord]] = []
    for index, content in enumerate(contents):
        offset = log_service.NO_OFFSET if first is None else first + index
        if not content:
            continue
        try:
            decoded.append((offset, streams.decode_record(stream, content)))
        except errors.DecodeError as error:
            skipped = skipped.and_entry(b"", offset, error.message)
    streams.record_skipped(state, stream, skipped, out)
    return decoded


@contextlib.contextmanager
def _skipping(
    state: states.State, stream: str, out: states.Effects
) -> collections.abc.Iterator[_Skip]:
    """Provide a context in which a record is applied.

    One that raises an error is skipped, since it may raise it at every read, and keep
    those behind it from being applied. What it has changed remains.

    :raises Exception: of the newest route table, which is to be read again: the tables
        before it are no substitute.
    """
    skipped = log_service.NOTHING_SKIPPED
    failed: Exception | None = None

    @contextlib.contextmanager
    def skip(offset: int, record: messages.LogRecord) -> collections.abc.Iterator[None]:
        nonlocal skipped, failed
        failed = None
        try:
            yield
        except Exception as error:
            failed = error
            place = traceback.extract_tb(error.__traceback__)[-1]
            kind = type(record).__name__
            problem = f"{type(error).__name__} for a {kind} in {place.name}"
            skipped = skipped.and_entry(b"", offset, f"{problem}, line {place.lineno}")

    yield skip
    streams.record_skipped(state, stream, skipped, out)
    if failed is not None and stream == streams.ROUTES:
        raise failed


def _on_entries_skipped(
    state: states.State, event: events.EntriesSkipped, out: states.Effects
) -> None:
    streams.record_skipped(state, event.stream, event.skipped, out)


def _on_record(
    state: states.State,
    stream: str,
    offset: int,
    record: messages.LogRecord,
    out: states.Effects,
) -> None:
    changed = False
    if isinstance(record, messages.QuarantineRecord):
        if stream == streams.MEMBERS:
            quarantine_gossip.on_record(state, record, out)
    elif isinstance(record, messages.DepartureRecord):
        if record.node == state.node:
            _learn_departures(state, record.departed, out)
            departures.on_listed(state, record)
    elif isinstance(record, messages.ClaimBatch):
        # The stream is not read again if the service of its claims is announced later.
        if keys.is_stream(stream):
            claims.on_record(state, record, out)
    elif isinstance(record, routes.RouteTable) and stream == streams.ROUTES:
        freshness.on_table(state, record.version)
        _apply_routes(state, record, "the log", out)
    elif stream != streams.CONFIG:
        return
    elif isinstance(record, messages.PublishRecord):
        changed = revisions.on_publish(state, offset, record, out)
    elif isinstance(record, messages.ConfigSnapshot):
        changed = revisions.on_snapshot(state, record, out)
    if changed:
        _on_revision(state, out)


def _on_newest_read(
    state: states.State, event: events.NewestRead, out: states.Effects
) -> None:
    stream = state.streams.get(event.stream)
    if stream is None:
        return
    if not _is_usable(state, stream, event, out):
        streams.retry_due(state, out)
        return
    decoded = _decode_records(state, event.stream, event.records, out)
    sufficient = event.complete or _is_sufficient(state, event.stream, decoded)
    if sufficient:
        streams.on_base_read(state, stream, end=event.end, out=out)
    else:
        streams.on_read_failed(state, stream, out, incomplete=True)
    if event.stream == streams.MEMBERS:
        joins = [r for _, r in decoded if isinstance(r, messages.JoinRecord)]
        departed = [r for _, r in decoded if isinstance(r, messages.DepartureRecord)]
        departures.delete_outdated(state, departed, out)
        joining.on_base_read(
            state, joins, out, complete=event.complete, sufficient=sufficient
        )
    with _skipping(state, event.stream, out) as skip:
        for _, record in decoded:
            if isinstance(record, messages.JoinRecord):
                continue
            with skip(log_service.NO_OFFSET, record):
                _on_record(state, event.stream, event.end, record, out)
    if event.stream == streams.ROUTES and event.requested_at and sufficient:
        freshness.on_read(state, event.requested_at)
    stream.consecutive_unapplied = 0
    streams.retry_due(state, out)


def _is_sufficient(
    state: states.State, stream: str, decoded: list[tuple[int, messages.LogRecord]]
) -> bool:
    """Whether a base read that ended early found what the stream is read for."""
    if stream == streams.MEMBERS:
        return bool(member_table.reachable(state))
    return bool(decoded)


def _on_put_done(
    state: states.State, event: events.PutDone, out: states.Effects
) -> None:
    log_epochs.on_reported_epoch(state, event.epoch, "a put", out)
    durable = not log_epochs.is_earlier(state, event.epoch)
    quarantine.on_saved(state, event.put, done=durable)
    joining.on_put_ended(state, event.put, out, done=durable)
    departures.on_put_ended(state, event.put, out, done=durable)
    streams.retry_due(state, out)


def _on_put_failed(
    state: states.State, event: events.PutFailed, out: states.Effects
) -> None:
    log_epochs.on_reported_epoch(state, event.epoch, "a put", out)
    quarantine.on_saved(state, event.put, done=False)
    joining.on_put_ended(state, event.put, out, done=False)
    departures.on_put_ended(state, event.put, out, done=False)


def _on_routes(
    state: states.State, event: events.RoutesReceived, out: states.Effects
) -> None:
    _apply_routes(state, event.table, event.source or "a peer", out)


def _apply_routes(
    state: states.State, table: routes.RouteTable, source: str, out: states.Effects
) -> None:
    if route_table.activate(state, table, out, source=source):
        membership.push(state, out)


def _on_revision(state: states.State, out: states.Effects) -> None:
    membership.push(state, out)
    _follow_claims(state, out)


def _on_log_read_failed(
    state: states.State, event: events.LogReadFailed, out: states.Effects
) -> None:
    log_epochs.on_reported_epoch(state, event.epoch, "a refused read", out)
    if event.extra:
        freshness_renewal.on_read_ended(state)
        if event.unapplied:
            streams.reread(state, event.stream)
        return
    stream = state.streams.get(event.stream)
    if stream is not None and event.generation == stream.generation:
        streams.on_read_failed(state, stream, out, unapplied=event.unapplied)


def _on_append_done(
    state: states.State, event: events.AppendDone, out: states.Effects
) -> None:
    state.appends.pop(event.append, None)
    log_epochs.on_reported_epoch(state, event.epoch, "an append", out)
    # An acknowledgement does not decide claims and publications: they take effect
    # when they are read back in the order of the log.
    durable = not log_epochs.is_earlier(state, event.epoch)
    quarantine.on_saved(state, event.append, done=durable)


def _on_append_failed(
    state: states.State, event: events.AppendFailed, out: states.Effects
) -> None:
    log_epochs.on_reported_epoch(state, event.epoch, "an append", out)
    if quarantine.on_saved(state, event.append, done=False):
        return
    if event.append in state.appends:
        claims.on_append_failed(state, event.append, event.certain, out)
    elif event.certain:
        revisions.on_append_failed(state, event.append, out)


def _on_datagram(
    state: states.State, event: events.DatagramReceived, out: states.Effects
) -> None:
    message = event.message.caps
    if isinstance(message, messages.CapRequest):
        caps.on_request(state, event.sender, event.host, event.port, message, out)
        return
    if isinstance(message, messages.CapAnswer):
        caps.on_answer(state, event.sender, message, out)
        return
    if isinstance(message, messages.CapHandover):
        caps.on_handover(state, event.sender, message, out)
        return
    log_epochs.on_reported_epoch(state, event.message.log_epoch, event.sender, out)
    membership.on_gossip(
        state, event.sender, event.host, event.port, event.message, out
    )
    _learn_departures(state, departures.told_by(state, event.message), out)
    if state.waiting_calls:
        sending.send_waiting(state, out)


def _on_snapshot(
    state: states.State, event: events.SnapshotReceived, out: states.Effects
) -> None:
    if revisions.on_snapshot(state, event.snapshot, out):
        _on_revision(state, out)


def _on_announced(
    state: states.State, event: events.BackendAnnounced, out: states.Effects
) -> None:
    backend = state.backend
    announced = (event.instance, event.sequence, event.started_ms)
    if departures.holds(state, event):
        return
    if instances.is_outdated(state, *announced):
        departures.report_outdated(state, event, out)
        return
    before = _advertised(backend)
    presence.on_announced(state, event, out)
    after = _advertised(backend)
    if after != before and not state.stopping:
        membership.update_self(
            state,
            out,
            service=backend.service,
            slots=backend.slots,
            backend_started_ms=backend.started_ms,
            member_state=messages.MemberState.ALIVE,
        )
    if state.waiting_calls:
        sending.send_waiting(state, out)
    _follow_claims(state, out)


def _advertised(backend: states.Backend) -> tuple[object, ...]:
    """Return what is advertised to the other members of the backend server."""
    return (
        backend.service,
        backend.slots,
        backend.present,
        backend.leaving,
        backend.started_ms,
    )


def _on_backend_answered(
    state: states.State, event: events.BackendAnswered, out: states.Effects
) -> None:
    present = state.backend.present
    hosting.on_backend_answered(state, event, out)
    if present and not state.backend.present:
        _advertise_no_backend(state, out)


def _on_backend_checked(
    state: states.State, event: events.BackendChecked, out: states.Effects
) -> None:
    if hosting.on_backend_checked(state, event, out):
        membership.push(state, out)


def _on_request_cleared(
    state: states.State, event: events.RequestCleared, out: states.Effects
) -> None:
    quarantine.on_cleared(state, event, out)
    membership.push(state, out)


def _on_backend_reported(
    state: states.State, event: events.BackendReported, out: states.Effects
) -> None:
    backend_reports.on_reported(state, event, out)
    hosted = state.hosted.get(event.hosted)
    if event.leaving and hosted is not None:
        _withdraw(state, hosted.instance, 0, out)


def _on_open(
    state: states.State, event: events.OpenReceived, out: states.Effects
) -> None:
    status = event.metadata.status
    if status is not None:
        backend_reports.on_known_status(state, status, out)
        if status.leaving and status.instance:
            _withdraw(state, status.instance, status.started_ms, out)
    if event.metadata.knows_pace:
        pace.expect(state.backend.pace_tracker, state.now)
    hosting.on_open(state, event, out)


def _withdraw(
    state: states.State, instance: str, started_ms: int, out: states.Effects
) -> None:
    """Withdraw a start that reported in an answer that it is leaving."""
    withdrawn = events.BackendWithdrawn(
        now=state.now, instance=instance, started_ms=started_ms
    )
    _on_withdrawn(state, withdrawn, out)


def _on_withdrawn(
    state: states.State, event: events.BackendWithdrawn, out: states.Effects
) -> None:
    if presence.on_withdrawn(state, event, out):
        _advertise_no_backend(state, out)


def _learn_departures(
    state: states.State,
    departed: tuple[messages.DepartedStart, ...],
    out: states.Effects,
) -> None:
    """Apply departures that were confirmed before this node started."""
    for start in departed:
        if departures.is_news(state, start):
            text = f"{start.instance} has left before this node started."
            operator_log.info(out, "backend", text)
            _withdraw(state, start.instance, start.started_ms, out)


def _advertise_no_backend(state: states.State, out: states.Effects) -> None:
    """Advertise to the members that no backend server takes work here."""
    membership.update_self(state, out, service=ids.ServiceName(""), slots=0)


def _on_stop_requested(
    state: states.State, event: events.StopRequested, out: states.Effects
) -> None:
    if state.stopping:
        return
    state.stopping = True
    linger = ROUTED_LINGER_MS if state.routed else STOP_LINGER_MS
    state.stop_after = state.now + linger
    state.depart_at = state.stop_after - STOP_LINGER_MS
    if event.grace_ms > 0:
        state.stop_by = state.now + max(0.0, event.grace_ms - GRACE_MARGIN_MS)
        # What the calls that are taken last may last; 0 is no bound.
        room_ms = round(state.stop_by - state.depart_at)
        room_ms = max(1, min(room_ms, messages.MAX_ROOM_MS))
        membership.update_self(state, out, room_ms=room_ms)
    operator_log.info(out, "node", "Planned stop begins.")


def _depart(state: states.State, out: states.Effects) -> None:
    """Take no more work for the backend server, and notify the members."""
    state.departed = True
    operator_log.info(out, "node", "No more calls are taken for the backend server.")
    replies.refuse_queue(state, decisions.Rule.STOPPING, out)
    membership.update_self(state, out, member_state=messages.MemberState.LEAVING)
    if state.keyed_log:
        out.append(
            effects.PutRecord(
                put=state.next_number(),
                stream=streams.MEMBERS,
                key=state.node,
                record=b"",
            )
        )
        return
    record = messages.LeaveRecord(
        node=state.node, incarnation=state.incarnation, at=state.now
    )
    out.append(
        effects.Append(
            append=state.next_number(),
            stream=streams.MEMBERS,
            record=messages.encode_record(record),
        )
    )


def _on_settings_changed(
    state: states.State, event: events.SettingsChanged, out: states.Effects
) -> None:
    state.retry_bound = event.retry_bound


def _check_stopped(state: states.State, out: states.Effects) -> None:
    if not state.departed and state.now >= state.depart_at:
        _depart(state, out)
    if state.now >= state.stop_by:
        calls.refuse_all(state, out)
    elif state.calls or state.hosted or state.now < state.stop_after:
        return
    state.stopped = True
    out.append(effects.Stopped())


def _check_members(
    state: states.State, now: ids.Milliseconds, out: states.Effects
) -> None:
    joining.contact_while_alone(state, out)
    doubted = state.membership.doubted
    doubted.update(membership.check(state, now, out))
    for node in sorted(doubted):
        if node not in state.membership.suspected:
            doubted.discard(node)
        elif upstreams.is_unresponsive(state, node):
            doubted.discard(node)
            calls.on_node_unresponsive(state, node, out)
    if state.waiting_calls:
        sending.send_waiting(state, out)


def _control(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    hosting.drop_overdue(state, out)
    level_control.control(state, now, out)
    if presence.expire(state, now, out):
        _advertise_no_backend(state, out)


def _check_slowly(
    state: states.State, now: ids.Milliseconds, out: states.Effects
) -> None:
    claims.update_append_interval(state)
    claims.check_timeouts(state, now, out)
    revisions.check_timeouts(state, now, out)
    revisions.renew_snapshot(state, now, out)
    joining.contact_seeds(state, now, out)
    quarantine.check(state, now, out)
    departures.check(state, now, out)
    _follow_claims(state, out)


def _prune(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    run_times.prune(state.hosted_times, now)
    run_times.prune(state.relayed_times, now)
    for key in keys.prune(state, now):
        out.append(effects.DeleteStoredAnswer(key=key))
    for children in state.child_kinds.values():
        old = [c for c, seen in children.items() if now - seen > CHILD_KIND_TTL_MS]
        for child in old:
            del children[child]


def _follow_claims(state: states.State, out: states.Effects) -> None:
    """Follow the claims of the local service once it has unrepeatable kinds."""
    service = state.backend.service
    if not service or keys.stream_name(service) in state.streams:
        return
    rules = state.configuration.kinds()
    if any(rule.service == service and not rule.repeatable for rule in rules):
        streams.follow(state, keys.stream_name(service), out)


Handler = collections.abc.Callable[[states.State, typing.Any, states.Effects], None]

_TIMERS: dict[str, tuple[ids.Milliseconds, timers.Handler]] = {
    "admission": (level_control.WINDOW_MS, _control),
    "probe": (membership.PROBE_INTERVAL_MS, membership.probe),
    "membership": (membership.CHECK_INTERVAL_MS, _check_members),
    "slow": (SLOW_CHECK_MS, _check_slowly),
    "revive": (joining.GONE_PROBE_INTERVAL_MS, joining.probe_gone_member),
    "prune": (PRUNE_MS, _prune),
    "pollers": (pollers.CHECK_INTERVAL_MS, pollers.check),
    "freshness": (version_bound.CHECK_MS, freshness_renewal.check),
    "caps": (cap_requests.CHECK_MS, caps.check),
}
_ROUTED_ONLY = frozenset({"pollers", "freshness", "caps"})
"""Parts that only run on nodes with a route table."""

_TIMER_HANDLERS = {name: handler for name, (_, handler) in _TIMERS.items()}

_HANDLERS: dict[type[events.Event], Handler] = {
    events.Started: _on_started,
    events.Tick: _on_tick,
    events.CallArrived: calls.on_call_arrived,
    events.CallerGone: calls.on_caller_gone,
    events.AttemptAnswered: calls.on_attempt_answered,
    events.AttemptRefused: calls.on_attempt_refused,
    events.AttemptLost: calls.on_attempt_lost,
    events.AttemptsSilent: calls.on_attempts_silent,
    events.AnswerRelayed: calls.on_answer_relayed,
    events.OpenReceived: _on_open,
    events.LevelRequested: hosting.on_level_requested,
    events.LevelReported: calls.on_level_reported,
    events.CancelReceived: hosting.on_cancel,
    events.BackendReported: _on_backend_reported,
    events.BackendAnswered: _on_backend_answered,
    events.UnprovenRefusal: hosting.on_unproven_refusal,
    events.BackendFinished: hosting.on_backend_finished,
    events.BackendFailed: hosting.on_backend_failed,
    events.BackendChecked: _on_backend_checked,
    events.BackendAnnounced: _on_announced,
    events.BackendWithdrawn: _on_withdrawn,
    events.LogRead: _on_log_read,
    events.NewestRead: _on_newest_read,
    events.PutDone: _on_put_done,
    events.PutFailed: _on_put_failed,
    events.RoutesReceived: _on_routes,
    events.SettingsChanged: _on_settings_changed,
    events.EntriesSkipped: _on_entries_skipped,
    events.LogReadFailed: _on_log_read_failed,
    events.AppendDone: _on_append_done,
    events.AppendFailed: _on_append_failed,
    events.DatagramReceived: _on_datagram,
    events.PublishRequested: revisions.publish,
    events.RequestCleared: _on_request_cleared,
    events.SnapshotReceived: _on_snapshot,
    events.StopRequested: _on_stop_requested,
}
