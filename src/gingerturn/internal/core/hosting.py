"""Home side: calls to the local backend server."""

import heapq

from gingerturn.internal import ids
from gingerturn.internal.core import (
    admission,
    backend_crashes,
    calls,
    decisions,
    effects,
    events,
    instances,
    keys,
    messages,
    operator_log,
    pace,
    quarantine,
    queue_slack,
    ranks,
    rate_limits,
    replies,
    run_times,
    saturation,
    slot_costs,
    state as states,
    stop_room,
    workspace_shares,
)

UNREACHABLE_PAUSE_MS = 500.0
"""Time without dispatches after the backend server refused a connection."""

ORPHAN_MS = 60_000.0
"""Time after its deadline for which an orphaned unrepeatable call with a key keeps its
slot, so that its answer can be stored for the caller's repeat. The backend server
knows the deadline and should end well before."""

UNKEYED_ORPHAN_MS = 500.0
"""Time after its deadline for which an orphaned call without a key keeps its slot. Its
answer cannot be requested again, and a lost answer should not hold the slot."""

MIN_TOKEN_WAIT_MS = 1.0
"""Minimum time until a queued call tries again to get a token of the rate limit."""

MIN_CHILD_TIME_SHARE = 0.5
"""Share of the usual service time that must be left for a child call to start in a free
slot. Refusing it certainly wastes the work of its parents, and trying it costs only an
idle slot."""

_AT_WORK = frozenset({states.HostedState.RUNNING, states.HostedState.STREAMING})
_SLOTLESS_STATES = frozenset({states.HostedState.WAITING, states.HostedState.CHECKING})


def on_open(
    state: states.State, event: events.OpenReceived, out: states.Effects
) -> None:
    """Start, queue or refuse a call."""
    metadata = event.metadata
    hosted = states.Hosted(
        id=event.hosted,
        sender=event.sender,
        metadata=metadata,
        rank=_rank(state, metadata),
        deadline=event.now + metadata.deadline_ms,
        tokens=metadata.tokens,
        arrived_at=event.now,
        children={},
    )
    state.hosted[hosted.id] = hosted
    if metadata.ticket and metadata.ticket != keys.own_name(state):
        # The ticket names an earlier incarnation, which may have run the call.
        hosted.evidence = states.Evidence.NONE
        replies.refuse(state, hosted, decisions.Rule.OUTCOME_UNKNOWN, out)
        return
    if metadata.key and replies.handle_repeat(state, hosted, out):
        return
    rule = _unavailable_rule(state, hosted)
    # The table is usually empty, which spares the check.
    quarantined = state.quarantine.quarantined
    if rule is None and quarantined and not quarantine.admits(state, hosted):
        rule = decisions.Rule.QUARANTINED
    if rule is not None:
        replies.refuse(state, hosted, rule, out)
        return
    admission.set_limits(state, hosted)
    admission.record_arrival(state, hosted)
    if admission.exceeds_rate_limit(state, hosted):
        admission.record_shed(state, hosted)
        _refuse_shed(state, hosted, decisions.Rule.RATE_LIMITED, out)
        return
    if not _worth_starting(state, hosted, out):
        return
    if admission.exceeds_wait_limit(hosted):
        _refuse_waiting(state, hosted, out)
        return
    if _refuse_without_room(state, hosted, out, wait=hosted.expected_wait):
        return
    queue_slack.record_admitted(state, hosted)
    heapq.heappush(
        state.deadlines, (hosted.deadline, states.Deadline.HOSTED, hosted.id)
    )
    if admission.has_slot(state):
        start(state, hosted, out)
        return
    _enqueue(state, hosted, out)


def _refuse_waiting(
    state: states.State, hosted: states.Hosted, out: states.Effects
) -> None:
    """Refuse a call on arrival that would wait longer than it may."""
    admission.record_shed(state, hosted)
    queue_slack.counts_of(state, hosted).refused += 1
    queued = float(len(state.backend.queue))
    figures = (hosted.expected_wait, hosted.max_wait, queued)
    rule = decisions.Rule.WAIT_TOO_LONG
    replies.refuse(state, hosted, rule, out, figures=figures)


def _refuse_without_room(
    state: states.State,
    hosted: states.Hosted,
    out: states.Effects,
    *,
    wait: ids.Milliseconds = 0.0,
) -> bool:
    """Refuse a call that would outlast the planned stop of this node.

    :param wait: how long it is expected to wait before it starts.
    :return: whether it was refused.
    """
    if not state.stopping:
        return False
    left, expected = stop_room.left_ms(state), _expected_ms(state, hosted)
    if wait + expected <= left:
        return False
    figures = (left, expected)
    replies.refuse(state, hosted, decisions.Rule.OUTLASTS_STOP, out, figures=figures)
    return True


def _expected_ms(state: states.State, hosted: states.Hosted) -> ids.Milliseconds:
    """Return the time that a call is expected to take once it starts."""
    kind = hosted.metadata.kind
    ages = (
        state.now - running.started_at
        for running in state.hosted.values()
        if running.metadata.kind == kind and running.state in _AT_WORK
    )
    repeatable, limit = hosted.metadata.repeatable, hosted.deadline - state.now
    return stop_room.expected_ms(
        state.hosted_times,
        kind,
        repeatable=repeatable,
        limit=limit,
        assumed=stop_room.assumed_ms(repeatable=repeatable, limit=limit),
        ages=ages,
    )


def _refuse_shed(
    state: states.State,
    hosted: states.Hosted,
    rule: decisions.Rule,
    out: states.Effects,
) -> None:
    """Refuse a call that is shed, for the rate limit if only that delays it."""
    figures = None
    if admission.is_rate_limited(state):
        rule = decisions.Rule.RATE_LIMITED
        state.backend.rate_limited_count += 1
        limiter = state.backend.limiter
        figures = (
            limiter.limit,
            limiter.tokens,
            float(len(state.backend.queue)),
            admission.token_wait(state, hosted.rank),
        )
    replies.refuse(state, hosted, rule, out, figures=figures)


def _rank(state: states.State, metadata: messages.CallMetadata) -> ids.Rank:
    """Return the rank of a call in the local queue.

    On routes, a root whose kind makes no calls ranks with the deeper calls of its
    class, since its slot completes a whole request. Ranked behind them, it would not
    be served in time by a full service at the bottom of trees.
    """
    rank = ranks.rank_of(
        importance=metadata.importance, depth=metadata.depth, root=metadata.root
    )
    if state.routed and not state.child_kinds.get(metadata.kind):
        return ranks.deep_rank(rank)
    return rank


def on_level_requested(
    state: states.State, event: events.LevelRequested, out: states.Effects
) -> None:
    """Report the current levels to a peer.

    Stale levels of child services are requested for the next report.
    """
    admission.request_child_levels(state, event.kind, out)
    report = admission.load_report(state, event.kind)
    out.append(effects.ReportLevel(request=event.request, report=report))


def on_cancel(
    state: states.State, event: events.CancelReceived, out: states.Effects
) -> None:
    """Cancel a call on behalf of its entry node."""
    hosted = state.hosted.get(event.hosted)
    if hosted is None or hosted.orphaned:
        return
    hosted.orphaned = True
    if hosted.state is states.HostedState.CHECKING:
        out.append(effects.CancelBackend(hosted=hosted.id))
        replies.forget(state, hosted)
        return
    if hosted.state is states.HostedState.RUNNING and _may_still_end(hosted, event):
        return
    out.append(effects.CancelBackend(hosted=hosted.id))
    if hosted.state is states.HostedState.QUEUED:
        admission.remove(state, hosted.id)
        replies.forget(state, hosted)
    elif hosted.state is states.HostedState.WAITING:
        replies.forget(state, hosted)
    else:
        if hosted.state is states.HostedState.CLAIMING:
            keys.detach(state, hosted)
        _release_slot(state, hosted, out)


def _may_still_end(hosted: states.Hosted, event: events.CancelReceived) -> bool:
    """Whether the backend server is to end its work on a call that was cancelled.

    It cannot where the rest of the body will not arrive. A call with a key is left
    alone, since its outcome is stored.
    """
    if hosted.metadata.repeatable:
        return False
    return event.body_whole or bool(hosted.metadata.key)


def on_backend_answered(
    state: states.State, event: events.BackendAnswered, out: states.Effects
) -> None:
    """Send the backend server's answer to the entry node."""
    hosted = state.hosted.get(event.hosted)
    if hosted is None or hosted.state is not states.HostedState.RUNNING:
        return
    if event.load is not None and hosted.instance == state.backend.instance:
        backend = state.backend
        pace.record(backend.pace_tracker, event.load, backend.running, event.now)
    if not event.executed:
        _on_not_executed(state, hosted, event.status, out)
        return
    state.backend.answered_at = event.now
    if event.status in calls.OVERLOAD_STATUSES:
        # A backend server may relay the refusal of a service below it, which must
        # not reduce the limit here.
        if not hosted.child_failed:
            admission.record_backend_refusal(state)
    else:
        _record_times(state, hosted, event.now - hosted.started_at)
        admission.record_backend_success(state)
    if event.whole and event.status < calls.FIRST_FAILURE_STATUS:
        quarantine.record_run(state, hosted.metadata.fingerprint, out)
    if event.whole:
        if event.status < calls.FIRST_FAILURE_STATUS:
            _record_run_time(state, hosted)
        _release_slot(state, hosted, out, start_next=False)
    else:
        hosted.state = states.HostedState.STREAMING
    replies.send_answer(state, hosted, out, whole=event.whole)
    if hosted.metadata.key:
        replies.finish_key(
            state, hosted, out, answer_stored=event.whole, outcome_known=True
        )
    if event.whole:
        start_queued(state, out)


def on_unproven_refusal(
    state: states.State, event: events.UnprovenRefusal, out: states.Effects
) -> None:
    """Refuse a call, as of unknown outcome, in place of its answer."""
    hosted = state.hosted.get(event.hosted)
    if hosted is None or hosted.state is not states.HostedState.RUNNING:
        return
    state.backend.answered_at = event.now
    if event.status in calls.OVERLOAD_STATUSES and not hosted.child_failed:
        admission.record_backend_refusal(state)
    if hosted.metadata.key:
        replies.fail_key(state, hosted, out, dispatched=True)
    _release_slot(state, hosted, out, start_next=False)
    if not hosted.orphaned:
        rule = decisions.Rule.OUTCOME_UNKNOWN
        replies.refuse(state, hosted, rule, out)
    start_queued(state, out)


def on_backend_finished(
    state: states.State, event: events.BackendFinished, out: states.Effects
) -> None:
    """Release the slot of a streamed answer."""
    hosted = state.hosted.get(event.hosted)
    if hosted is None or hosted.state is not states.HostedState.STREAMING:
        return
    quarantine.record_run(state, hosted.metadata.fingerprint, out)
    _record_run_time(state, hosted)
    _release_slot(state, hosted, out)


def on_backend_failed(
    state: states.State, event: events.BackendFailed, out: states.Effects
) -> None:
    """Handle a failed exchange with the backend server."""
    hosted = state.hosted.get(event.hosted)
    if hosted is None:
        return
    if hosted.state is states.HostedState.STREAMING:
        backend_crashes.record_broken_call(state, hosted, out)
        _release_slot(state, hosted, out)
        return
    if hosted.state is not states.HostedState.RUNNING:
        return
    if event.dispatched:
        _on_connection_broken(state, hosted, out)
        return
    hosted.evidence = states.Evidence.NOT_WRITTEN
    state.backend.unreachable_until = event.now + UNREACHABLE_PAUSE_MS
    _release_slot(state, hosted, out, start_next=False)
    if hosted.metadata.key:
        replies.fail_key(state, hosted, out, dispatched=False)
    if not hosted.orphaned:
        replies.refuse(state, hosted, decisions.Rule.BACKEND_UNREACHABLE, out)
    start_queued(state, out)


def _on_connection_broken(
    state: states.State, hosted: states.Hosted, out: states.Effects
) -> None:
    """Handle the loss of the connection of a dispatched call.

    The refusal is sent after a check whether the backend server crashed, since a call
    that may have crashed it must not be retried like others.
    """
    backend_crashes.record_broken_call(state, hosted, out)
    if hosted.metadata.key:
        replies.fail_key(state, hosted, out, dispatched=True)
    _release_slot(state, hosted, out, start_next=False)
    if not hosted.orphaned:
        hosted.state = states.HostedState.CHECKING
        state.hosted[hosted.id] = hosted
    start_queued(state, out)


def on_backend_checked(
    state: states.State, event: events.BackendChecked, out: states.Effects
) -> bool:
    """Refuse the calls that waited for the check of the backend server.

    :return: whether the backend server crashed.
    """
    crashed = backend_crashes.on_checked(state, refused=event.refused, out=out)
    for hosted in list(state.hosted.values()):
        if hosted.state is not states.HostedState.CHECKING:
            continue
        rule = decisions.Rule.OUTCOME_UNKNOWN
        if quarantine.entry_of(state, hosted.metadata.fingerprint):
            rule = decisions.Rule.QUARANTINED
        elif crashed:
            rule = decisions.Rule.BACKEND_ENDED
        replies.refuse(state, hosted, rule, out)
    return crashed


def _record_times(
    state: states.State, hosted: states.Hosted, elapsed: ids.Milliseconds
) -> None:
    kind = hosted.metadata.kind
    if not state.child_kinds.get(kind):
        # Most of the time of a call with child calls passes in other services.
        clock = pace.usual_clock(state.backend.pace_tracker, state.now)
        elapsed = clock - hosted.usual_started_at
    saturation.record_time(state, hosted, elapsed)
    admission.record_service_time(state, kind, elapsed)


def _record_run_time(state: states.State, hosted: states.Hosted) -> None:
    """Record how long a call lasted at the backend server, with its whole answer."""
    run_times.record(
        state.hosted_times,
        hosted.metadata.kind,
        state.now - hosted.started_at,
        now=state.now,
    )


def _on_not_executed(
    state: states.State, hosted: states.Hosted, status: int, out: states.Effects
) -> None:
    """Handle a backend server's answer that it did not run a call."""
    hosted.evidence = states.Evidence.REJECTED
    had_free_slots = admission.has_room(state)
    _release_slot(state, hosted, out, start_next=False)
    if hosted.metadata.key:
        replies.fail_key(state, hosted, out, dispatched=False)
    if status == messages.MISDIRECTED:
        if hosted.instance == state.backend.instance:
            # Its address belongs to another instance, so it has departed.
            _mark_backend_absent(state, out)
        replies.refuse(state, hosted, decisions.Rule.NO_BACKEND, out)
        start_queued(state, out)
        return
    admission.record_backend_refusal(state)
    if not hosted.orphaned:
        rule = decisions.Rule.BACKEND_REFUSED
        replies.refuse(
            state,
            hosted,
            rule,
            out,
            reached_backend=True,
            had_free_slots=had_free_slots,
        )
    start_queued(state, out)


def _mark_backend_absent(state: states.State, out: states.Effects) -> None:
    backend = state.backend
    if backend.present:
        text = f"Backend server {backend.service} {backend.instance} lost its address."
        operator_log.warn(out, "backend", text)
    backend.present = False
    instances.record_departure(state, backend.instance)
    replies.refuse_queue(state, decisions.Rule.NO_BACKEND, out)


def fail_running(state: states.State, out: states.Effects) -> None:
    """Fail the calls that were running when the backend server restarted.

    They may have run, so that their outcome is unknown and entry nodes retry only
    repeatable ones.
    """
    rule = decisions.Rule.OUTCOME_UNKNOWN
    for hosted in list(state.hosted.values()):
        if hosted.state is states.HostedState.STREAMING:
            out.append(effects.CancelBackend(hosted=hosted.id))
            _release_slot(state, hosted, out, start_next=False)
        elif hosted.state is states.HostedState.RUNNING:
            if hosted.metadata.key:
                replies.fail_key(state, hosted, out, dispatched=True)
            if not hosted.orphaned:
                replies.refuse(state, hosted, rule, out, finished=False)
            out.append(effects.CancelBackend(hosted=hosted.id))
            _release_slot(state, hosted, out, start_next=False)


def drop_overdue(state: states.State, out: states.Effects) -> None:
    """Refuse the queued calls that waited too long."""
    for hosted_id in admission.expire_queued(state):
        _refuse_shed(state, state.hosted[hosted_id], decisions.Rule.QUEUE_EXPIRED, out)


def on_deadline(
    state: states.State, hosted_id: ids.HostedId, out: states.Effects
) -> None:
    """End a call at its deadline, and report to its entry node whether it ran."""
    hosted = state.hosted.get(hosted_id)
    if hosted is None:
        return
    if hosted.state is states.HostedState.QUEUED:
        admission.remove(state, hosted.id)
        replies.refuse(state, hosted, decisions.Rule.QUEUE_EXPIRED, out)
    elif hosted.state is states.HostedState.CLAIMING:
        keys.detach(state, hosted)
        _release_slot(state, hosted, out, start_next=False)
        replies.refuse(state, hosted, decisions.Rule.LOG_UNAVAILABLE, out)
        start_queued(state, out)
    elif hosted.state in _SLOTLESS_STATES:
        # The first call of its key, which a waiting one repeats, may have run.
        hosted.evidence = states.Evidence.NONE
        replies.refuse(state, hosted, decisions.Rule.DEADLINE_PASSED, out)
    elif hosted.state is states.HostedState.RUNNING or (
        hosted.orphaned and hosted.state is states.HostedState.STREAMING
    ):
        _end_running(state, hosted, out)


def _end_running(
    state: states.State, hosted: states.Hosted, out: states.Effects
) -> None:
    if not hosted.orphaned:
        rule = decisions.Rule.DEADLINE_PASSED
        replies.refuse(state, hosted, rule, out, finished=False)
    if hosted.metadata.repeatable:
        out.append(effects.CancelBackend(hosted=hosted.id))
        _release_slot(state, hosted, out)
        return
    keep_ms = ORPHAN_MS if hosted.metadata.key else UNKEYED_ORPHAN_MS
    if hosted.orphaned and state.now >= hosted.deadline + keep_ms:
        out.append(effects.CancelBackend(hosted=hosted.id))
        if hosted.metadata.key and hosted.state is states.HostedState.RUNNING:
            replies.fail_key(state, hosted, out, dispatched=True)
        _release_slot(state, hosted, out)
        return
    # A running unrepeatable call is not cancelled, and its answer is stored for
    # the caller's repeat.
    hosted.orphaned = True
    next_deadline = max(state.now, hosted.deadline + keep_ms)
    heapq.heappush(state.deadlines, (next_deadline, states.Deadline.HOSTED, hosted.id))


def start(state: states.State, hosted: states.Hosted, out: states.Effects) -> None:
    """Take a slot, and dispatch a call or claim its key first."""
    admission.take_slot(state)
    if not hosted.metadata.key:
        dispatch(state, hosted, out)
        return
    entry = state.keys.get(hosted.metadata.key)
    if entry is None and hosted.metadata.ticket:
        entry = keys.register_ticket(state, hosted.metadata.key)
    if entry is not None and _handle_known_key(state, hosted, entry, out):
        return
    if not keys.claims_usable(state) or not keys.covered(state, hosted):
        withdraw(state, hosted, decisions.Rule.LOG_UNAVAILABLE, out)
        return
    hosted.state = states.HostedState.CLAIMING
    keys.attach(state, hosted)


def _handle_known_key(
    state: states.State,
    hosted: states.Hosted,
    entry: states.KeyEntry,
    out: states.Effects,
) -> bool:
    """Handle a call whose key became known here while it was queued.

    :return: whether the call is handled.
    """
    if entry.phase is states.KeyPhase.OURS_IDLE:
        entry.hosted = hosted.id
        keys.mark_running(entry)
        dispatch(state, hosted, out)
        return True
    if entry.phase is states.KeyPhase.CLAIMING and entry.hosted is None:
        return False
    admission.free_slot(state)
    replies.handle_repeat(state, hosted, out)
    start_queued(state, out)
    return True


def dispatch(state: states.State, hosted: states.Hosted, out: states.Effects) -> None:
    """Dispatch a call that holds a slot to the backend server."""
    backend = state.backend
    hosted.state = states.HostedState.RUNNING
    hosted.evidence = states.Evidence.NONE
    hosted.started_at = state.now
    hosted.instance = backend.instance
    hosted.usual_started_at = pace.usual_clock(backend.pace_tracker, state.now)
    backend.dispatch_count += 1
    metadata = hosted.metadata
    slot_costs.record_run(state.costs, metadata.kind)
    if metadata.workspace:
        workspace_shares.record_slot_time(state, metadata.workspace, metadata.kind)
    queue_slack.record_wait(state, hosted)
    hosted.occupancy = backend.running / max(1, backend.slots)
    hosted.span = (
        ids.SpanId(hosted.metadata.trace) if state.lineage else state.next_span()
    )
    state.hosted_by_span[hosted.span] = hosted.id
    figures = (
        float(backend.running),
        backend.limit,
        float(len(backend.queue)),
        state.now - hosted.arrived_at,
    )
    hosted.decision = replies.decide(state, hosted, decisions.Rule.RUN, out, figures)
    out.append(
        effects.DispatchCall(
            hosted=hosted.id,
            host=backend.host,
            port=backend.port,
            span=hosted.span,
            deadline_ms=max(0.0, hosted.deadline - state.now),
            instance=backend.instance,
        )
    )


def start_queued(state: states.State, out: states.Effects) -> None:
    """Start queued calls while there are free slots."""
    while admission.has_slot(state):
        hosted_id = admission.dequeue(state)
        if hosted_id is None:
            return
        hosted = state.hosted[hosted_id]
        rule = _absence_rule(state, hosted)
        if rule is None and not quarantine.admits(state, hosted):
            rule = decisions.Rule.QUARANTINED
        if rule is not None:
            replies.refuse(state, hosted, rule, out)
            continue
        kind = hosted.metadata.kind
        if state.now + admission.service_time(state, kind) > hosted.deadline:
            replies.refuse(state, hosted, decisions.Rule.QUEUE_EXPIRED, out)
            continue
        if _refuse_without_room(state, hosted, out):
            continue
        start(state, hosted, out)


def refuse_other_services(state: states.State, out: states.Effects) -> None:
    """Refuse the queued calls for services that the backend server does not offer.

    Other upstreams may still accept them.
    """
    for _, _, hosted_id in list(state.backend.queue):
        hosted = state.hosted[hosted_id]
        if hosted.metadata.service != state.backend.service:
            admission.remove(state, hosted_id)
            replies.refuse(state, hosted, decisions.Rule.NO_BACKEND, out)


def withdraw(
    state: states.State,
    hosted: states.Hosted,
    rule: decisions.Rule,
    out: states.Effects,
    *,
    holder: str = "",
) -> None:
    """Refuse a call that holds a slot and was not dispatched."""
    admission.free_slot(state)
    rate_limits.refund(state.backend.limiter)
    if hosted.orphaned:
        replies.forget(state, hosted)
    else:
        replies.refuse(state, hosted, rule, out, holder=holder)
    start_queued(state, out)


def _unavailable_rule(
    state: states.State, hosted: states.Hosted
) -> decisions.Rule | None:
    rule = _absence_rule(state, hosted)
    if rule is None and state.now < state.backend.unreachable_until:
        return decisions.Rule.BACKEND_UNREACHABLE
    return rule


def _absence_rule(state: states.State, hosted: states.Hosted) -> decisions.Rule | None:
    """Return why no backend server of the call's service takes work here, or ``None``.

    This may change while a call is queued.
    """
    backend = state.backend
    if backend.leaving or state.departed:
        return decisions.Rule.LEAVING
    if not backend.present or backend.service != hosted.metadata.service:
        return decisions.Rule.NO_BACKEND
    return None


def _worth_starting(
    state: states.State, hosted: states.Hosted, out: states.Effects
) -> bool:
    """Refuse a call that cannot finish in time, or whose children would be shed.

    :return: whether the call may start or be queued.
    """
    kind = hosted.metadata.kind
    needed = admission.service_time(state, kind)
    wait = admission.expected_wait(state, hosted)
    hosted.expected_wait = wait
    left = hosted.deadline - state.now
    if hosted.metadata.depth > 0 and not wait:
        needed *= MIN_CHILD_TIME_SHARE
    if left <= 0 or needed + wait > left:
        rule = decisions.Rule.NOT_IN_TIME
        replies.refuse(state, hosted, rule, out, figures=(left, needed, wait))
        return False
    below = admission.tree_level(state, kind)
    if below > ranks.LOWEST:
        admission.request_child_levels(state, kind, out)
    exempt = state.routed and hosted.metadata.depth > 0
    if not exempt and ranks.deep_rank(hosted.rank) < below:
        figures = (float(below), float(ranks.deep_rank(hosted.rank)))
        replies.refuse(state, hosted, decisions.Rule.TREE_LEVEL, out, figures=figures)
        return False
    return True


def _enqueue(state: states.State, hosted: states.Hosted, out: states.Effects) -> None:
    dropped = admission.enqueue(state, hosted)
    if dropped is not None:
        _refuse_shed(state, state.hosted[dropped], decisions.Rule.QUEUE_FULL, out)
    if dropped != hosted.id:
        _await_token(state, hosted)
        if hosted.max_wait:
            due = hosted.arrived_at + hosted.max_wait
            heapq.heappush(state.deadlines, (due, states.Deadline.WAIT, hosted.id))


def on_wait_due(
    state: states.State, hosted_id: ids.HostedId, out: states.Effects
) -> None:
    """Refuse a call that was queued for as long as it may wait."""
    hosted = state.hosted.get(hosted_id)
    if hosted is None or hosted.state is not states.HostedState.QUEUED:
        return
    admission.remove(state, hosted_id)
    admission.record_shed(state, hosted)
    queue_slack.counts_of(state, hosted).expired += 1
    _refuse_shed(state, hosted, decisions.Rule.QUEUE_EXPIRED, out)


def _await_token(state: states.State, hosted: states.Hosted) -> None:
    """Schedule the time at which the rate limit permits a queued call to start."""
    if state.backend.limiter.limited:
        wait = max(MIN_TOKEN_WAIT_MS, admission.token_wait(state, hosted.rank))
        due = state.now + wait
        heapq.heappush(state.deadlines, (due, states.Deadline.TOKEN, hosted.id))


def on_token_due(
    state: states.State, hosted_id: ids.HostedId, out: states.Effects
) -> None:
    """Start queued calls, and wait again for one that was overtaken."""
    start_queued(state, out)
    hosted = state.hosted.get(hosted_id)
    if hosted is not None and hosted.state is states.HostedState.QUEUED:
        _await_token(state, hosted)


def _release_slot(
    state: states.State,
    hosted: states.Hosted,
    out: states.Effects,
    *,
    start_next: bool = True,
) -> None:
    admission.free_slot(state)
    replies.forget(state, hosted)
    if start_next:
        start_queued(state, out)
