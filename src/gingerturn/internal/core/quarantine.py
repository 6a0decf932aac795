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
    blame,
    events,
    keys,
    member_table,
    messages,
    quarantine_news,
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


def note_end(
    state: states.State, requests: collections.abc.Sequence[int], out: states.Effects
) -> None:
    """Take in that the backend server beside this node ended by itself.

    :param requests: what was under way there.
    """
    known = state.quarantine
    suspects = [found for found in requests if found not in known.runs]
    for found in requests:
        # It may have become deadly since; the next run here tells anew.
        known.runs.pop(found, None)
    if len(suspects) > MAX_REQUESTS:
        recurring = [found for found in suspects if found in known.suspects]
        others = [found for found in suspects if found not in known.suspects]
        suspects = [*recurring, *state.random.sample(others, len(others))]
        del suspects[MAX_REQUESTS:]
    number = state.backend.ends
    for part, first in enumerate(range(0, len(suspects), REQUESTS_AN_END)):
        end = messages.BackendEnd(
            node=state.node,
            incarnation=state.incarnation,
            number=number,
            part=part,
            requests=tuple(suspects[first : first + REQUESTS_AN_END]),
        )
        table.keep_end(state, end)
    table.judge(state, out)


def note_run(state: states.State, request: int, out: states.Effects) -> None:
    """Take in that a request ran to an answer at the backend server of this node."""
    known = state.quarantine
    known.runs.pop(request, None)
    known.runs[request] = None
    if len(known.runs) > RUNS_KEPT:
        del known.runs[next(iter(known.runs))]
    if request in known.suspects or request in known.kept_out:
        _clear(state, request, out)


def word_on(state: states.State, request: int) -> states.Word | None:
    """Return why a request is kept out, or ``None`` where it is not."""
    return state.quarantine.kept_out.get(request)


def trial_due_in(state: states.State, request: int) -> ids.Milliseconds:
    """Return how long it takes until a request that is kept out is tried again."""
    known = state.quarantine
    word = known.kept_out[request]
    trial = known.trials.get(request)
    last = word.at if trial is None else max(word.at, trial.at)
    return max(0.0, last + _pause(word.ends) - state.now)


def trial_node(state: states.State, call: states.Call) -> ids.NodeId | None:
    """Return the one home at which a request is to be tried now, if it is."""
    if trial_due_in(state, call.fingerprint) > 0.0:
        return None
    return _trial_home(state, call.fingerprint, call.service)


def admits(state: states.State, hosted: states.Hosted) -> bool:
    """Tell whether a call may run here: it is not kept out, or this is its trial."""
    known = state.quarantine
    request = hosted.terms.fingerprint
    if request not in known.kept_out:
        return True
    trial = known.trials.get(request)
    if trial is not None and trial.hosted == hosted.id:
        return True
    if trial_due_in(state, request) > 0.0:
        return False
    if _trial_home(state, request, hosted.terms.service) != state.node:
        return False
    known.trials[request] = states.Trial(hosted=hosted.id, at=state.now)
    return True


def figures_on(state: states.State, request: int) -> tuple[float, ...]:
    """Return what a decision to keep a request out saw."""
    word = state.quarantine.kept_out[request]
    since_s = (state.now - word.at) / 1000.0
    return (float(word.ends), since_s, trial_due_in(state, request) / 1000.0)


def on_cleared(
    state: states.State, event: events.RequestCleared, out: states.Effects
) -> None:
    """Let a request run again, since an operator says so."""
    kept_out = event.request in state.quarantine.kept_out
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
    request = known.saving.pop(number, None)
    if request is None:
        return False
    (known.saved if done else known.unsaved).add(request)
    return True


def write_again(state: states.State) -> None:
    """Put again what this node put on the log, as the log may have lost it."""
    known = state.quarantine
    known.unsaved |= known.saved & _held(known)
    known.saved.clear()


def _held(known: states.Quarantine) -> set[int]:
    """Return the requests of which the log is to tell."""
    return known.kept_out.keys() | known.cleared.keys()


def check(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    """Forget what is old, and put on the log what it did not take."""
    known = state.quarantine
    for request in sorted(known.unsaved):
        known.unsaved.discard(request)
        table.save(state, request, out)
    old_ends = [
        id_
        for id_, end in known.ends.items()
        if now - end.at >= quarantine_news.KEPT_MS
    ]
    old = [
        r
        for r, word in known.told.items()
        if now - word.at >= quarantine_news.FORGOTTEN_MS
    ]
    if not old_ends and not old:
        return
    # What is kept out stays so when the ends that tell of it are forgotten.
    known.told.update(known.kept_out)
    for id_ in old_ends:
        del known.ends[id_]
    for request in old:
        known.told.pop(request, None)
    for request, at in list(known.cleared.items()):
        if now - at >= quarantine_news.FORGOTTEN_MS:
            del known.cleared[request]
    table.judge(state, out)
    known.saved &= _held(known)
    for request in old:
        if _drops_record(state, request):
            table.save(state, request, out)


def _clear(state: states.State, request: int, out: states.Effects) -> None:
    """Hold nothing against a request any more, here, at other nodes and on the log."""
    on_log = request in state.quarantine.kept_out
    table.clear(state, request, state.now, out)
    if on_log:
        table.save(state, request, out)


def _drops_record(state: states.State, request: int) -> bool:
    """Tell whether it is on this node to take a forgotten request off the log; all
    nodes forget it at about the same time."""
    nodes = [state.node, *member_table.reachable(state)]
    return keys.preferred(ids.fingerprint_text(request), nodes) == state.node


def _pause(ends: int) -> ids.Milliseconds:
    factor = TRIAL_FACTOR ** min(ends - blame.ENDS_TO_KEEP_OUT, 8)
    return min(TRIAL_PAUSE_MS * factor, MAX_TRIAL_PAUSE_MS)


def _trial_home(
    state: states.State, request: int, service: ids.ServiceName
) -> ids.NodeId | None:
    nodes = state.membership.by_service.get(service)
    return keys.preferred(ids.fingerprint_text(request), nodes) if nodes else None
