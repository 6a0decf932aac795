"""Quarantine of requests that crash backend servers.

When a backend server crashes, its node gossips the fingerprints of the requests that
were in progress (:mod:`.quarantine_gossip`). Each node attributes the known crashes to
the requests that they share (:mod:`.crash_attribution`). A request to which three
crashes are attributed is quarantined: entry nodes refuse it before any work, and home
nodes refuse it from entry nodes that do not know of it yet.

A request that completes with an answer is cleared of earlier crashes, so popular
requests are not quarantined. A quarantined request is retried by one home node, after a
pause that grows with each crash.
"""

import collections.abc

from gingerturn.internal import ids
from gingerturn.internal.core import (
    crash_attribution,
    events,
    keys,
    member_table,
    messages,
    quarantine_gossip,
    quarantine_table as table,
    state as states,
    streams,
)

TRIAL_PAUSE_MS = 30_000.0
TRIAL_PAUSE_FACTOR = 4.0
MAX_TRIAL_PAUSE_MS = 3_600_000.0
"""A quarantined request is tried again after this pause, which grows by the factor with
each further crash, up to the maximum. The first pause bounds how long a harmless
request is refused, and the last one how often a crashing request reaches a backend
server: twice more in its first ten minutes, in the end once an hour while it comes."""

REQUESTS_PER_MESSAGE = 32
"""Requests of a crash in one message, 6 bytes each, so that a datagram fits into one
packet."""

MAX_REQUESTS = 4 * REQUESTS_PER_MESSAGE
"""Requests reported per crash; if more were in progress, a random sample is."""

MAX_RECENT_RUNS = 4_096
"""Requests remembered as recently completed at this node, which are no suspects when
its backend server crashes."""


def record_crash(
    state: states.State, requests: collections.abc.Sequence[int], out: states.Effects
) -> None:
    """Record a crash of the backend server of this node.

    :param requests: fingerprints of the requests that were in progress.
    """
    quarantine = state.quarantine
    suspects = [
        request for request in requests if request not in quarantine.recent_runs
    ]
    for request in requests:
        # The request may behave differently now; only a new run clears it again.
        quarantine.recent_runs.pop(request, None)
    if len(suspects) > MAX_REQUESTS:
        recurring = [request for request in suspects if request in quarantine.suspects]
        others = [request for request in suspects if request not in quarantine.suspects]
        suspects = [*recurring, *state.random.sample(others, len(others))]
        del suspects[MAX_REQUESTS:]
    number = state.backend.crash_count
    for part, first in enumerate(range(0, len(suspects), REQUESTS_PER_MESSAGE)):
        crash = messages.BackendCrash(
            node=state.node,
            incarnation=state.incarnation,
            number=number,
            part=part,
            requests=tuple(suspects[first : first + REQUESTS_PER_MESSAGE]),
        )
        table.add_crash(state, crash)
    table.update_quarantined(state, out)


def record_run(state: states.State, request: int, out: states.Effects) -> None:
    """Record that a request completed at the backend server of this node."""
    quarantine = state.quarantine
    quarantine.recent_runs.pop(request, None)
    quarantine.recent_runs[request] = None
    if len(quarantine.recent_runs) > MAX_RECENT_RUNS:
        del quarantine.recent_runs[next(iter(quarantine.recent_runs))]
    if request in quarantine.suspects or request in quarantine.quarantined:
        _clear(state, request, out)


def entry_of(state: states.State, request: int) -> states.QuarantineEntry | None:
    """Return the quarantine entry of a request, or ``None``."""
    return state.quarantine.quarantined.get(request)


def trial_due_in(state: states.State, request: int) -> ids.Milliseconds:
    """Return the time until a quarantined request is tried again."""
    quarantine = state.quarantine
    entry = quarantine.quarantined[request]
    trial = quarantine.trials.get(request)
    last_run_at = (
        entry.last_crash_at
        if trial is None
        else max(entry.last_crash_at, trial.started_at)
    )
    return max(0.0, last_run_at + _trial_pause(entry.crash_count) - state.now)


def trial_node(state: states.State, call: states.Call) -> ids.NodeId | None:
    """Return the home node that is to try a request now, if a trial is due."""
    if trial_due_in(state, call.fingerprint) > 0.0:
        return None
    return _trial_home(state, call.fingerprint, call.service)


def admits(state: states.State, hosted: states.Hosted) -> bool:
    """Whether a call may run here: it is not quarantined, or this is its trial."""
    quarantine = state.quarantine
    request = hosted.metadata.fingerprint
    if request not in quarantine.quarantined:
        return True
    trial = quarantine.trials.get(request)
    if trial is not None and trial.hosted == hosted.id:
        return True
    if trial_due_in(state, request) > 0.0:
        return False
    if _trial_home(state, request, hosted.metadata.service) != state.node:
        return False
    quarantine.trials[request] = states.Trial(hosted=hosted.id, started_at=state.now)
    return True


def decision_figures(state: states.State, request: int) -> tuple[float, ...]:
    """Return the figures of a decision to refuse a quarantined request."""
    entry = state.quarantine.quarantined[request]
    since_s = (state.now - entry.last_crash_at) / 1000.0
    return (float(entry.crash_count), since_s, trial_due_in(state, request) / 1000.0)


def on_cleared(
    state: states.State, event: events.RequestCleared, out: states.Effects
) -> None:
    """Clear a request on behalf of an operator."""
    was_quarantined = event.request in state.quarantine.quarantined
    if was_quarantined:
        _clear(state, event.request, out)
    record = messages.AuditRecord(
        at=state.now,
        who=event.author,
        what="clear",
        subject=ids.fingerprint_text(event.request),
        outcome="accepted" if was_quarantined else "not kept out",
    )
    streams.audit(state, record, out)


def on_saved(state: states.State, number: int, *, done: bool) -> bool:
    """Record whether the log accepted a record; rejected ones are written again.

    :return: whether it was a quarantine record.
    """
    quarantine = state.quarantine
    request = quarantine.pending_saves.pop(number, None)
    if request is None:
        return False
    (quarantine.saved if done else quarantine.unsaved).add(request)
    return True


def rewrite_records(state: states.State) -> None:
    """Write the records of this node again, as the log may have lost them."""
    quarantine = state.quarantine
    quarantine.unsaved |= quarantine.saved & _requests_on_log(quarantine)
    quarantine.saved.clear()


def _requests_on_log(quarantine: states.Quarantine) -> set[int]:
    """Return the requests that should have a record on the log."""
    return quarantine.quarantined.keys() | quarantine.cleared_at.keys()


def check(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    """Drop expired crashes and entries, and retry failed writes to the log."""
    quarantine = state.quarantine
    for request in sorted(quarantine.unsaved):
        quarantine.unsaved.discard(request)
        table.save(state, request, out)
    expired_crashes = [
        id_
        for id_, crash in quarantine.crashes.items()
        if now - crash.crashed_at >= quarantine_gossip.CRASH_RETENTION_MS
    ]
    expired = [
        fingerprint
        for fingerprint, entry in quarantine.reported.items()
        if now - entry.last_crash_at >= quarantine_gossip.ENTRY_RETENTION_MS
    ]
    if not expired_crashes and not expired:
        return
    # Entries outlive the crashes that they are derived from.
    quarantine.reported.update(quarantine.quarantined)
    for id_ in expired_crashes:
        del quarantine.crashes[id_]
    for request in expired:
        quarantine.reported.pop(request, None)
    for request, at in list(quarantine.cleared_at.items()):
        if now - at >= quarantine_gossip.ENTRY_RETENTION_MS:
            del quarantine.cleared_at[request]
    table.update_quarantined(state, out)
    quarantine.saved &= _requests_on_log(quarantine)
    for request in expired:
        if _deletes_record(state, request):
            table.save(state, request, out)


def _clear(state: states.State, request: int, out: states.Effects) -> None:
    """Clear a request at all nodes, and delete its record from the log."""
    was_quarantined = request in state.quarantine.quarantined
    table.clear(state, request, state.now, out)
    if was_quarantined:
        table.save(state, request, out)


def _deletes_record(state: states.State, request: int) -> bool:
    """Whether this node is the one to delete the record of an expired request.

    All nodes drop the entry at about the same time.
    """
    nodes = [state.node, *member_table.reachable(state)]
    return keys.preferred_node(ids.fingerprint_text(request), nodes) == state.node


def _trial_pause(crash_count: int) -> ids.Milliseconds:
    factor = TRIAL_PAUSE_FACTOR ** min(
        crash_count - crash_attribution.CRASHES_TO_QUARANTINE, 8
    )
    return min(TRIAL_PAUSE_MS * factor, MAX_TRIAL_PAUSE_MS)


def _trial_home(
    state: states.State, request: int, service: ids.ServiceName
) -> ids.NodeId | None:
    nodes = state.membership.by_service.get(service)
    return keys.preferred_node(ids.fingerprint_text(request), nodes) if nodes else None
