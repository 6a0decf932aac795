"""Queueing time limits at a service whose kinds have very different latency targets.

At such a service a root may wait for a share of its own target and is refused on
arrival if it would wait longer. Of the queued calls of the highest class, the one with
the least slack is started first: its target minus its age and its expected service
time. Elsewhere all kinds have the same limits, and calls start by rank
(:mod:`.admission`). Whether it applies follows from the targets in the route table.
"""

import bisect
import collections.abc
import math
import operator

from gingerturn.internal import ids
from gingerturn.internal.core import messages, ranks, state as states

WAIT_SHARE = 0.25
"""Share of its target for which a root may wait. Callers accept a rejection after this
time, which leaves most of the target for another attempt."""

LOAD_WEIGHT = 0.2
"""Weight of one control window in the moving mean of the load, which covers the latest
half second. A single window has only about ten calls of a kind."""

MAX_OVERTAKING = 0.8
"""Maximum share of the slots that later calls which start first are assumed to take.
The expected wait is divided by the rest: nearer to 1, the noise of the measured load
alone decides. At 0.95, twice as many long reads were rejected after they had waited."""

_service_ms = operator.itemgetter(3)


def targets(state: states.State) -> collections.abc.Mapping[str, int]:
    """Return the latency targets in ms by kind, empty where no limits apply."""
    if state.routes is None:
        return {}
    return state.routes.spread_targets(state.backend.service)


def is_active(state: states.State) -> bool:
    """Whether the limits apply at this backend server."""
    return bool(targets(state))


def wait_limit(
    state: states.State, metadata: messages.CallMetadata
) -> ids.Milliseconds:
    """Return how long a root may wait, or 0 for a call with the common limit."""
    if metadata.depth > 0:
        return 0.0
    return WAIT_SHARE * targets(state).get(metadata.kind, 0)


def insert(state: states.State, hosted: states.Hosted, number: int) -> None:
    """Add a call that is queued.

    :param number: greater than those of the calls queued before.
    """
    if not hosted.start_by:
        return
    slack = state.backend.slack
    entry = (hosted.start_by, number, hosted.id, hosted.service_ms)
    bisect.insort(slack.order.setdefault(_class_of(hosted.rank), []), entry)
    slack.limited += hosted.max_wait > 0.0
    slack.long_limited += hosted.has_long_limit


def discard(state: states.State, hosted: states.Hosted) -> None:
    """Remove a call that is no longer queued."""
    if not hosted.start_by:
        return
    slack = state.backend.slack
    own_class = _class_of(hosted.rank)
    entries = slack.order[own_class]
    position = bisect.bisect_left(entries, (hosted.start_by,))
    while entries[position][2] != hosted.id:
        position += 1
    del entries[position]
    if not entries:
        del slack.order[own_class]
    slack.limited -= hosted.max_wait > 0.0
    slack.long_limited -= hosted.has_long_limit


def first(state: states.State) -> tuple[int, int, ids.HostedId] | None:
    """Return the entry in the queue of the call to start next, or ``None`` for that of
    the highest rank."""
    backend = state.backend
    entries = backend.slack.order.get(_class_of(backend.queue[-1][0]))
    if not entries or not is_active(state):
        return None
    _, number, hosted_id, _ = entries[0]
    return (state.hosted[hosted_id].rank, -number, hosted_id)


def _class_of(rank: int) -> int:
    return rank >> ranks.CLASS_SHIFT


def record_admitted(state: states.State, hosted: states.Hosted) -> None:
    """Add the work of a call that is started or queued to the current window."""
    if not is_active(state):
        return
    arriving = state.backend.slack.arriving_ms
    key = (_class_of(hosted.rank), hosted.metadata.kind)
    arriving[key] = arriving.get(key, 0.0) + hosted.service_ms


def close_window(state: states.State, window_ms: ids.Milliseconds) -> None:
    """Update the load by class and kind with the window that ends."""
    slack = state.backend.slack
    if not is_active(state):
        if slack.load or slack.waits:
            slack.load.clear()
            slack.arriving_ms.clear()
            slack.waits.clear()
        return
    for key in {**slack.load, **slack.arriving_ms}:
        latest = slack.arriving_ms.get(key, 0.0) / window_ms
        former = slack.load.get(key, latest)
        slack.load[key] = former + LOAD_WEIGHT * (latest - former)
    slack.arriving_ms.clear()


def expected_wait(
    state: states.State, hosted: states.Hosted, *, slots: float
) -> ids.Milliseconds:
    """Return the expected wait of a call that arrives while all slots are in use.

    It is the work that starts before the call, over the slots that calls which arrive
    later and start first leave to it.
    """
    windows = state.backend.windows
    closed = windows[-2] if len(windows) > 1 else windows[-1]
    # The first slot is released after the mean time that one is held, over all slots.
    first_ms = closed.busy_ms / max(1, closed.dispatched)
    overtaking = _overtaking(state, hosted) / slots
    share_left = max(1.0 - MAX_OVERTAKING, 1.0 - overtaking)
    return (_work_ahead(state, hosted) + first_ms) / (slots * share_left)


def _overtaking(state: states.State, hosted: states.Hosted) -> float:
    """Return how many slots the calls take that arrive after this one and start before
    it: those of higher classes, and those with shorter targets."""
    by_kind = targets(state)
    target = by_kind.get(hosted.metadata.kind, 0)
    own_class = _class_of(hosted.rank)
    total = 0.0
    for (other_class, other), load in state.backend.slack.load.items():
        shorter = other_class == own_class and by_kind.get(other, 0) < target
        if other_class > own_class or shorter:
            total += load
    return total


def _work_ahead(state: states.State, hosted: states.Hosted) -> ids.Milliseconds:
    """Return the slot time of the queued calls that start before a call."""
    own_class = _class_of(hosted.rank)
    total = 0.0
    for other_class, entries in state.backend.slack.order.items():
        if other_class == own_class:
            end = bisect.bisect_right(entries, (hosted.start_by, math.inf))
            total += sum(map(_service_ms, entries[:end]))
        elif other_class > own_class:
            total += sum(map(_service_ms, entries))
    return total


def record_wait(state: states.State, hosted: states.Hosted) -> None:
    """Count the wait of a call that is started."""
    target_ms = targets(state).get(hosted.metadata.kind)
    if target_ms is None:
        return
    counts = counts_of(state, hosted)
    waited = state.now - hosted.arrived_at
    counts.started += 1
    counts.waited_ms += waited
    counts.over_share += waited > WAIT_SHARE * target_ms


def counts_of(state: states.State, hosted: states.Hosted) -> states.WaitCounts:
    """Return the counts of the kind of a call.

    Kinds that no route leads here any more are dropped, so that their number is bounded
    by that of the routes.
    """
    waits = state.backend.slack.waits
    counts = waits.get(hosted.metadata.kind)
    if counts is None:
        known = targets(state)
        for kind in [kind for kind in waits if kind not in known]:
            del waits[kind]
        counts = waits[hosted.metadata.kind] = states.WaitCounts()
    return counts
