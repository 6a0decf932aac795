"""Requests that end the backend servers which run them, and are kept out for it.

A node beside a backend server that ended by itself tells all others which requests were
under way there, by their fingerprints (:mod:`.quarantine_news`). Each node works out
from all such ends what they have in common: the request that most of them share is to
blame, and explains those ends, so that nothing else is blamed for them
(:mod:`.blame`). One that is to blame for three is sent nowhere any more: entry nodes
refuse it before any work, homes do so for entry nodes that have not heard of it.

A request that ran to an answer is no such request, whatever it was under way in
before: what is popular shows that by itself, many times a second. What is kept out
shows it by a trial, at one home, after a pause that grows with each end.
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
TRIAL_FACTOR = 4.0
MAX_TRIAL_PAUSE_MS = 3_600_000.0
"""A request that is kept out is tried after 30 s, once: so long is a harmless one kept
out by mistake. Each end more makes the pause four times as long, up to an hour, so that
a deadly one costs two backend servers more in its first ten minutes, and in the end one
in each hour in which it comes."""

REQUESTS_AN_END = 32
"""An end is told in messages of up to 32 requests, 6 bytes each, so that a datagram
stays within one packet."""

MAX_REQUESTS = 4 * REQUESTS_AN_END
"""Of more under way than fit into four messages some are left out at random."""

RUNS_KEPT = 4_096
"""Requests that ran to an answer here lately, half a minute of them at the design size.
What is under way in many backend servers at once is among them."""


def record_crash(
    state: states.State, requests: collections.abc.Sequence[int], out: states.Effects
) -> None:
    """Take in that the backend server beside this node ended by itself.

    :param requests: what was under way there.
    """
    known = state.quarantine
    suspects = [found for found in requests if found not in known.recent_runs]
    for found in requests:
        # It may have become deadly since; the next run here tells anew.
        known.recent_runs.pop(found, None)
    if len(suspects) > MAX_REQUESTS:
        recurring = [found for found in suspects if found in known.suspects]
        others = [found for found in suspects if found not in known.suspects]
        suspects = [*recurring, *state.random.sample(others, len(others))]
        del suspects[MAX_REQUESTS:]
    number = state.backend.crash_count
    for part, first in enumerate(range(0, len(suspects), REQUESTS_AN_END)):
        end = messages.BackendCrash(
            node=state.node,
            incarnation=state.incarnation,
            number=number,
            part=part,
            requests=tuple(suspects[first : first + REQUESTS_AN_END]),
        )
        table.add_crash(state, end)
    table.update_quarantined(state, out)


def record_run(state: states.State, request: int, out: states.Effects) -> None:
    """Take in that a request ran to an answer at the backend server of this node."""
    known = state.quarantine
    known.recent_runs.pop(request, None)
    known.recent_runs[request] = None
    if len(known.recent_runs) > RUNS_KEPT:
        del known.recent_runs[next(iter(known.recent_runs))]
    if request in known.suspects or request in known.quarantined:
        _clear(state, request, out)


def entry_of(state: states.State, request: int) -> states.QuarantineEntry | None:
    """Return why a request is kept out, or ``None`` where it is not."""
    return state.quarantine.quarantined.get(request)


def trial_due_in(state: states.State, request: int) -> ids.Milliseconds:
    """Return how long it takes until a request that is kept out is tried again."""
    known = state.quarantine
    word = known.quarantined[request]
    trial = known.trials.get(request)
    last = (
        word.last_crash_at
        if trial is None
        else max(word.last_crash_at, trial.started_at)
    )
    return max(0.0, last + _pause(word.crash_count) - state.now)


def trial_node(state: states.State, call: states.Call) -> ids.NodeId | None:
    """Return the one home at which a request is to be tried now, if it is."""
    if trial_due_in(state, call.fingerprint) > 0.0:
        return None
    return _trial_home(state, call.fingerprint, call.service)


def admits(state: states.State, hosted: states.Hosted) -> bool:
    """Tell whether a call may run here: it is not kept out, or this is its trial."""
    known = state.quarantine
    request = hosted.metadata.fingerprint
    if request not in known.quarantined:
        return True
    trial = known.trials.get(request)
    if trial is not None and trial.hosted == hosted.id:
        return True
    if trial_due_in(state, request) > 0.0:
        return False
    if _trial_home(state, request, hosted.metadata.service) != state.node:
        return False
    known.trials[request] = states.Trial(hosted=hosted.id, started_at=state.now)
    return True


def decision_figures(state: states.State, request: int) -> tuple[float, ...]:
    """Return what a decision to keep a request out saw."""
    word = state.quarantine.quarantined[request]
    since_s = (state.now - word.last_crash_at) / 1000.0
    return (float(word.crash_count), since_s, trial_due_in(state, request) / 1000.0)


def on_cleared(
    state: states.State, event: events.RequestCleared, out: states.Effects
) -> None:
    """Let a request run again, since an operator says so."""
    kept_out = event.request in state.quarantine.quarantined
    if kept_out:
        _clear(state, event.request, out)
    record = messages.AuditRecord(
        at=state.now,
        who=event.author,
        what="clear",
        subject=ids.fingerprint_text(event.request),
        outcome="accepted" if kept_out else "not kept out",
    )
    streams.audit(state, record, out)


def on_saved(state: states.State, number: int, *, done: bool) -> bool:
    """Take in whether the log took a record; one that it did not is put again.

    :return: whether the record was one of these.
    """
    known = state.quarantine
    request = known.pending_saves.pop(number, None)
    if request is None:
        return False
    (known.saved if done else known.unsaved).add(request)
    return True


def rewrite_records(state: states.State) -> None:
    """Put again what this node put on the log, as the log may have lost it."""
    known = state.quarantine
    known.unsaved |= known.saved & _held(known)
    known.saved.clear()


def _held(known: states.Quarantine) -> set[int]:
    """Return the requests of which the log is to tell."""
    return known.quarantined.keys() | known.cleared_at.keys()


def check(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    """Forget what is old, and put on the log what it did not take."""
    known = state.quarantine
    for request in sorted(known.unsaved):
        known.unsaved.discard(request)
        table.save(state, request, out)
    old_ends = [
        id_
        for id_, end in known.crashes.items()
        if now - end.crashed_at >= quarantine_gossip.KEPT_MS
    ]
    old = [
        r
        for r, word in known.reported.items()
        if now - word.last_crash_at >= quarantine_gossip.FORGOTTEN_MS
    ]
    if not old_ends and not old:
        return
    # What is kept out stays so when the ends that tell of it are forgotten.
    known.reported.update(known.quarantined)
    for id_ in old_ends:
        del known.crashes[id_]
    for request in old:
        known.reported.pop(request, None)
    for request, at in list(known.cleared_at.items()):
        if now - at >= quarantine_gossip.FORGOTTEN_MS:
            del known.cleared_at[request]
    table.update_quarantined(state, out)
    known.saved &= _held(known)
    for request in old:
        if _drops_record(state, request):
            table.save(state, request, out)


def _clear(state: states.State, request: int, out: states.Effects) -> None:
    """Hold nothing against a request any more, here, at other nodes and on the log."""
    on_log = request in state.quarantine.quarantined
    table.clear(state, request, state.now, out)
    if on_log:
        table.save(state, request, out)


def _drops_record(state: states.State, request: int) -> bool:
    """Tell whether it is on this node to take a forgotten request off the log; all
    nodes forget it at about the same time."""
    nodes = [state.node, *member_table.reachable(state)]
    return keys.preferred_node(ids.fingerprint_text(request), nodes) == state.node


def _pause(ends: int) -> ids.Milliseconds:
    factor = TRIAL_FACTOR ** min(ends - crash_attribution.CRASHES_TO_QUARANTINE, 8)
    return min(TRIAL_PAUSE_MS * factor, MAX_TRIAL_PAUSE_MS)


def _trial_home(
    state: states.State, request: int, service: ids.ServiceName
) -> ids.NodeId | None:
    nodes = state.membership.by_service.get(service)
    return keys.preferred_node(ids.fingerprint_text(request), nodes) if nodes else None
