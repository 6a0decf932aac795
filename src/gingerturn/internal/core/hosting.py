"""The home side: calls for the backend server beside this node."""

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
    quarantine,
    ranks,
    replies,
    saturation,
    slot_costs,
    state as states,
)

UNREACHABLE_MS = 500.0
"""Pause after the backend server refused a connection; one call then tries."""

ORPHAN_MS = 60_000.0
"""An unrepeatable call whose caller is gone keeps its slot for at most this long past
its deadline, so that its answer can be kept for the caller's repeat; the backend
server was handed the deadline too and should be done well before."""

UNKEYED_ORPHAN_MS = 500.0
"""One without a key, which nobody can ask about again, keeps its slot only this long:
an answer that was lost on its way would otherwise hold the slot for a minute."""

SUNK_SHARE = 0.5
"""A call deeper in a tree that finds a free slot is begun if half of the usual time is
left: refusing it loses for certain what its parents have spent, and trying costs a slot
that nobody waits for."""

_SLOTLESS_STATES = frozenset({states.HostedState.WAITING, states.HostedState.CHECKING})


def on_open(
    state: states.State, event: events.OpenReceived, out: states.Effects
) -> None:
    """Admit, queue or refuse a call."""
    terms = event.metadata
    hosted = states.Hosted(
        id=event.hosted,
        sender=event.sender,
        metadata=terms,
        rank=_rank(state, terms),
        deadline=event.now + terms.deadline_ms,
        tokens=terms.tokens,
        arrived_at=event.now,
        children={},
    )
    state.hosted[hosted.id] = hosted
    if terms.ticket and terms.ticket != keys.own_name(state):
        # A ticket of an earlier incarnation, which may have run it.
        replies.refuse(state, hosted, decisions.Rule.OUTCOME_UNKNOWN, out, handed=True)
        return
    if terms.key and replies.is_repeat(state, hosted, out):
        return
    rule = _unfit(state, hosted)
    # Mostly nothing is kept out, and then no call pays for the question.
    kept_out = state.quarantine.quarantined
    if rule is None and kept_out and not quarantine.admits(state, hosted):
        rule = decisions.Rule.QUARANTINED
    if rule is not None:
        replies.refuse(state, hosted, rule, out)
        return
    admission.record_arrival(state, hosted.rank)
    if not _worth_starting(state, hosted, out):
        return
    heapq.heappush(state.deadlines, (hosted.deadline, calls.HOSTED_DEADLINE, hosted.id))
    if admission.has_slot(state):
        start(state, hosted, out)
        return
    _enqueue(state, hosted, out)


def _rank(state: states.State, terms: messages.CallMetadata) -> ids.Rank:
    """Return the rank of a call in the queue here.

    On routes a root that calls nobody ranks with the deeper calls of its class: its
    slot brings a whole request, theirs a part of one. Behind all of them it waited
    until its target had passed wherever the service that trees end at was full.
    """
    rank = ranks.rank_of(
        importance=terms.importance, depth=terms.depth, root=terms.root
    )
    if state.routed and not state.child_kinds.get(terms.kind):
        return ranks.deep_rank(rank)
    return rank


def on_level_requested(
    state: states.State, event: events.LevelRequested, out: states.Effects
) -> None:
    """Tell a peer what is shed at present; what is known only from long ago is
    asked for in turn, for the next question."""
    admission.request_child_levels(state, event.kind, out)
    report = admission.load_report(state, event.kind)
    out.append(effects.ReportLevel(request=event.request, report=report))


def on_cancel(
    state: states.State, event: events.CancelReceived, out: states.Effects
) -> None:
    """Cancel a call whose entry node gave up on it."""
    hosted = state.hosted.get(event.hosted)
    if hosted is None or hosted.orphaned:
        return
    hosted.orphaned = True
    if hosted.state is states.HostedState.CHECKING:
        out.append(effects.CancelBackend(hosted=hosted.id))
        replies.forget(state, hosted)
        return
    running = states.HostedState.RUNNING
    if hosted.state is running and not hosted.metadata.repeatable:
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
        _end_slot(state, hosted, out)


def on_backend_answered(
    state: states.State, event: events.BackendAnswered, out: states.Effects
) -> None:
    """Send the backend server's answer to the entry node."""
    hosted = state.hosted.get(event.hosted)
    if hosted is None or hosted.state is not states.HostedState.RUNNING:
        return
    if not event.executed:
        _on_turned_away(state, hosted, event.status, out)
        return
    state.backend.answered_at = event.now
    if event.status in calls.OVERLOAD_STATUSES:
        # A backend server passes on that a service below it shed. Taken for its
        # own shedding, that cut the limits of every service above the full one.
        if not hosted.child_failed:
            admission.record_backend_refusal(state)
    else:
        _note_times(state, hosted, event.now - hosted.started_at)
        admission.record_backend_success(state)
    if event.whole and event.status < calls.FIRST_FAILURE_STATUS:
        quarantine.record_run(state, hosted.metadata.fingerprint, out)
    if event.whole:
        _end_slot(state, hosted, out, pump=False)
    else:
        hosted.state = states.HostedState.STREAMING
    replies.send_answer(state, hosted, out, whole=event.whole)
    if hosted.metadata.key:
        replies.finish_key(state, hosted, out, kept=event.whole, certain=True)
    if event.whole:
        start_queued(state, out)


def on_backend_finished(
    state: states.State, event: events.BackendFinished, out: states.Effects
) -> None:
    """Free the slot of a long answer."""
    hosted = state.hosted.get(event.hosted)
    if hosted is None or hosted.state is not states.HostedState.STREAMING:
        return
    quarantine.record_run(state, hosted.metadata.fingerprint, out)
    _end_slot(state, hosted, out)


def on_backend_failed(
    state: states.State, event: events.BackendFailed, out: states.Effects
) -> None:
    """Take in a failed exchange with the backend server."""
    hosted = state.hosted.get(event.hosted)
    if hosted is None:
        return
    if hosted.state is states.HostedState.STREAMING:
        backend_crashes.record_broken_call(state, hosted, out)
        _end_slot(state, hosted, out)
        return
    if hosted.state is not states.HostedState.RUNNING:
        return
    if event.dispatched:
        _on_broken(state, hosted, out)
        return
    state.backend.unreachable_until = event.now + UNREACHABLE_MS
    _end_slot(state, hosted, out, pump=False)
    if hosted.metadata.key:
        replies.fail_key(state, hosted, out, handed=False)
    if not hosted.orphaned:
        replies.refuse(state, hosted, decisions.Rule.BACKEND_UNREACHABLE, out)
    start_queued(state, out)


def _on_broken(state: states.State, hosted: states.Hosted, out: states.Effects) -> None:
    """Take in that the connection under a call broke.

    What its entry node is told waits for the answer to whether the backend server
    ended: a call that ended it should not be sent to the next one as any other is.
    """
    backend_crashes.record_broken_call(state, hosted, out)
    if hosted.metadata.key:
        replies.fail_key(state, hosted, out, handed=True)
    _end_slot(state, hosted, out, pump=False)
    if not hosted.orphaned:
        hosted.state = states.HostedState.CHECKING
        state.hosted[hosted.id] = hosted
    start_queued(state, out)


def on_backend_checked(
    state: states.State, event: events.BackendChecked, out: states.Effects
) -> bool:
    """Tell the entry nodes of broken calls what became of the backend server.

    :return: whether it ended by itself.
    """
    ended = backend_crashes.on_checked(state, refused=event.refused, out=out)
    for hosted in list(state.hosted.values()):
        if hosted.state is not states.HostedState.CHECKING:
            continue
        rule = decisions.Rule.OUTCOME_UNKNOWN
        if quarantine.entry_of(state, hosted.metadata.fingerprint):
            rule = decisions.Rule.QUARANTINED
        elif ended:
            rule = decisions.Rule.BACKEND_ENDED
        replies.refuse(state, hosted, rule, out, handed=True)
    return ended


def _note_times(
    state: states.State, hosted: states.Hosted, elapsed: ids.Milliseconds
) -> None:
    saturation.record_time(state, hosted, elapsed)
    admission.record_service_time(state, hosted.metadata.kind, elapsed)


def _on_turned_away(
    state: states.State, hosted: states.Hosted, status: int, out: states.Effects
) -> None:
    """Take in that the backend server said that it did not run a call."""
    room = admission.has_room(state)
    _end_slot(state, hosted, out, pump=False)
    if hosted.metadata.key:
        replies.fail_key(state, hosted, out, handed=False)
    if status == messages.MISDIRECTED:
        # Another instance has the address now; the announced one is gone.
        _lose_backend(state, out)
        replies.refuse(state, hosted, decisions.Rule.NO_BACKEND, out)
        return
    admission.record_backend_refusal(state)
    if not hosted.orphaned:
        rule = decisions.Rule.BACKEND_REFUSED
        replies.refuse(state, hosted, rule, out, arrived=True, room=room)
    start_queued(state, out)


def _lose_backend(state: states.State, out: states.Effects) -> None:
    backend = state.backend
    if backend.present:
        text = f"{backend.service} {backend.instance} no longer has its address."
        operator_log.warn(out, "backend", text)
    backend.present = False
    instances.record_departure(state, backend.instance)
    replies.refuse_queue(state, decisions.Rule.NO_BACKEND, out)


def fail_running(state: states.State, out: states.Effects) -> None:
    """End the calls that the backend server had when it started anew.

    It knows nothing of them. They may have run, so that none is said not to have, and
    the entry node sends only repeatable ones again.
    """
    rule = decisions.Rule.OUTCOME_UNKNOWN
    for hosted in list(state.hosted.values()):
        if hosted.state is states.HostedState.STREAMING:
            out.append(effects.CancelBackend(hosted=hosted.id))
            _end_slot(state, hosted, out, pump=False)
        elif hosted.state is states.HostedState.RUNNING:
            if hosted.metadata.key:
                replies.fail_key(state, hosted, out, handed=True)
            if not hosted.orphaned:
                replies.refuse(state, hosted, rule, out, handed=True, ended=False)
            out.append(effects.CancelBackend(hosted=hosted.id))
            _end_slot(state, hosted, out, pump=False)


def drop_overdue(state: states.State, out: states.Effects) -> None:
    """Refuse queued calls that waited for too long."""
    for hosted_id in admission.expire_queued(state):
        replies.refuse(
            state, state.hosted[hosted_id], decisions.Rule.QUEUE_EXPIRED, out
        )


def on_deadline(
    state: states.State, hosted_id: ids.HostedId, out: states.Effects
) -> None:
    """End a call at its deadline; the entry node hears at once whether it ran."""
    hosted = state.hosted.get(hosted_id)
    if hosted is None:
        return
    if hosted.state is states.HostedState.QUEUED:
        admission.remove(state, hosted.id)
        replies.refuse(state, hosted, decisions.Rule.QUEUE_EXPIRED, out)
    elif hosted.state is states.HostedState.CLAIMING:
        keys.detach(state, hosted)
        _end_slot(state, hosted, out, pump=False)
        replies.refuse(state, hosted, decisions.Rule.LOG_UNAVAILABLE, out)
        start_queued(state, out)
    elif hosted.state in _SLOTLESS_STATES:
        replies.refuse(state, hosted, decisions.Rule.DEADLINE_PASSED, out, handed=True)
    elif hosted.state is states.HostedState.RUNNING:
        _end_running(state, hosted, out)


def _end_running(
    state: states.State, hosted: states.Hosted, out: states.Effects
) -> None:
    if not hosted.orphaned:
        rule = decisions.Rule.DEADLINE_PASSED
        replies.refuse(state, hosted, rule, out, handed=True, ended=False)
    if hosted.metadata.repeatable:
        out.append(effects.CancelBackend(hosted=hosted.id))
        _end_slot(state, hosted, out)
        return
    keep_ms = ORPHAN_MS if hosted.metadata.key else UNKEYED_ORPHAN_MS
    if hosted.orphaned and state.now >= hosted.deadline + keep_ms:
        out.append(effects.CancelBackend(hosted=hosted.id))
        if hosted.metadata.key:
            replies.fail_key(state, hosted, out, handed=True)
        _end_slot(state, hosted, out)
        return
    # An unrepeatable call that has begun is not cancelled: its answer is kept
    # for the caller's repeat.
    hosted.orphaned = True
    again = max(state.now, hosted.deadline + keep_ms)
    heapq.heappush(state.deadlines, (again, calls.HOSTED_DEADLINE, hosted.id))


def start(state: states.State, hosted: states.Hosted, out: states.Effects) -> None:
    """Occupy a slot; claim the key first where there is one."""
    admission.take_slot(state)
    if not hosted.metadata.key:
        dispatch(state, hosted, out)
        return
    entry = state.keys.get(hosted.metadata.key)
    if entry is None and hosted.metadata.ticket:
        entry = keys.own(state, hosted.metadata.key)
    if entry is not None and _settled(state, hosted, entry, out):
        return
    if not keys.claims_usable(state) or not keys.covered(state, hosted):
        withdraw(state, hosted, decisions.Rule.LOG_UNAVAILABLE, out)
        return
    hosted.state = states.HostedState.CLAIMING
    keys.attach(state, hosted)


def _settled(
    state: states.State,
    hosted: states.Hosted,
    entry: states.KeyEntry,
    out: states.Effects,
) -> bool:
    """Deal with a call whose key was settled while it was queued.

    :return: whether nothing is left to be done for it.
    """
    if entry.phase is states.KeyPhase.OURS_IDLE:
        entry.hosted = hosted.id
        keys.mark_running(entry)
        dispatch(state, hosted, out)
        return True
    if entry.phase is states.KeyPhase.CLAIMING and entry.hosted is None:
        return False
    admission.free_slot(state)
    replies.is_repeat(state, hosted, out)
    start_queued(state, out)
    return True


def dispatch(state: states.State, hosted: states.Hosted, out: states.Effects) -> None:
    """Hand a call that occupies a slot to the backend server."""
    backend = state.backend
    hosted.state = states.HostedState.RUNNING
    hosted.started_at = state.now
    slot_costs.record_run(state.costs, hosted.metadata.kind)
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
    """Start queued calls while there are slots."""
    while admission.has_slot(state):
        hosted_id = admission.dequeue(state)
        if hosted_id is None:
            return
        hosted = state.hosted[hosted_id]
        if not quarantine.admits(state, hosted):
            replies.refuse(state, hosted, decisions.Rule.QUARANTINED, out)
            continue
        needed = admission.service_time(state, hosted.metadata.kind)
        if state.now + needed > hosted.deadline:
            replies.refuse(state, hosted, decisions.Rule.QUEUE_EXPIRED, out)
            continue
        start(state, hosted, out)


def withdraw(
    state: states.State,
    hosted: states.Hosted,
    rule: decisions.Rule,
    out: states.Effects,
    *,
    holder: str = "",
) -> None:
    """Refuse a call that holds a slot and was not handed over."""
    admission.free_slot(state)
    if hosted.orphaned:
        replies.forget(state, hosted)
    else:
        replies.refuse(state, hosted, rule, out, holder=holder)
    start_queued(state, out)


def _unfit(state: states.State, hosted: states.Hosted) -> decisions.Rule | None:
    backend = state.backend
    if backend.leaving or state.departed:
        return decisions.Rule.LEAVING
    if not backend.present or backend.service != hosted.metadata.service:
        return decisions.Rule.NO_BACKEND
    if state.now < backend.unreachable_until:
        return decisions.Rule.BACKEND_UNREACHABLE
    return None


def _worth_starting(
    state: states.State, hosted: states.Hosted, out: states.Effects
) -> bool:
    """Refuse what could not finish in time, or whose children would be shed."""
    kind = hosted.metadata.kind
    needed = admission.service_time(state, kind)
    wait = admission.expected_wait(state, kind, hosted.rank)
    left = hosted.deadline - state.now
    if hosted.metadata.depth > 0 and not wait:
        needed *= SUNK_SHARE
    if left <= 0 or needed + wait > left:
        rule = decisions.Rule.NOT_IN_TIME
        replies.refuse(state, hosted, rule, out, figures=(left, needed, wait))
        return False
    below = admission.tree_level(state, kind)
    if below > ranks.LOWEST:
        admission.request_child_levels(state, kind, out)
    spared = state.routed and hosted.metadata.depth > 0
    if not spared and ranks.deep_rank(hosted.rank) < below:
        figures = (float(below), float(ranks.deep_rank(hosted.rank)))
        replies.refuse(state, hosted, decisions.Rule.TREE_LEVEL, out, figures=figures)
        return False
    return True


def _enqueue(state: states.State, hosted: states.Hosted, out: states.Effects) -> None:
    dropped = admission.enqueue(state, hosted)
    if dropped is not None:
        replies.refuse(state, state.hosted[dropped], decisions.Rule.QUEUE_FULL, out)


def _end_slot(
    state: states.State,
    hosted: states.Hosted,
    out: states.Effects,
    *,
    pump: bool = True,
) -> None:
    admission.free_slot(state)
    replies.forget(state, hosted)
    if pump:
        start_queued(state, out)
