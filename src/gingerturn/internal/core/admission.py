"""Admission to the backend server: limit and queue.

The limit is the concurrency handed to the backend server. The queue is short,
ordered by rank, and holds only what can still be run in time. What cannot be carried
raises the level that callers' nodes are told (:mod:`.level_control`).
"""

import bisect
import math

from gingerturn.internal import ids
from gingerturn.internal.core import (
    levels,
    messages,
    ranks,
    routing,
    saturation,
    slot_costs,
    state as states,
)

QUEUE_MS = 400.0
"""The queue holds what starts within this time. Chosen with the gains of the level by a
sweep over 150 to 600 ms on three seeds (docs/design/levels.md): shorter queues lose
bursts, longer ones add to what must be shed once they are full."""

MIN_QUEUE = 4
"""Room for the chance meetings of calls where few slots turn over slowly."""

ROOT_WAIT_FACTOR = 2
"""A root leaves the queue after twice the time that the queue is meant to hold."""

DEEP_QUEUE_FACTOR = 4
"""A call deeper in a tree may wait several times as long before it is shed,
since the work done for it would be lost; the level rises long before."""

ROUTED_DEEP_FACTOR = 2
"""On routes half of that, for the same reason as :data:`ROUTED_OVERAGE`."""

SLOW_START_SHARE = 0.2
"""A cold backend server begins with a fifth of its slots and doubles each round."""

FULL_OCCUPANCY = 0.75
"""A backend server that announced its slots and turns calls away while fewer than this
share of them are taken is faulty, not full: a lower limit would only turn away more."""

LIMIT_CUT_FACTOR = 0.9
LIMIT_CUT_INTERVAL_MS = 100.0
"""A tenth for each refusal, once a window: a burst of refusals is one message."""

SERVICE_TIME_WEIGHT = 0.1
SERVICE_TIME_HALF_LIFE_MS = 2_000.0
"""An estimate that nothing confirms halves every 2 s: else a service that was
slow once would be refused for ever, as nothing would measure it again."""

MAX_SAMPLES = 4_096
"""Arrivals kept of one window, a bound on memory: 40,000 calls a second."""


def announce(
    state: states.State, now: ids.Milliseconds, *, slots: int, cold: bool
) -> None:
    """Set the limits of a backend server that announces or renews itself."""
    backend = state.backend
    if not backend.present:
        share = SLOW_START_SHARE if cold else 1.0
        backend.limit = max(1.0, slots * share)
        backend.slow_start = cold
        backend.running_since = now
    backend.slots = slots
    backend.limit = min(backend.limit, float(slots))


def reset_measurements(state: states.State) -> None:
    """Forget what was measured of the backend server before a new start of it."""
    backend = state.backend
    backend.level = ranks.LOWEST
    backend.windows = [states.Window()]
    backend.last_cut_at = 0.0


def queue_bound(state: states.State, kind: str) -> int:
    """Return how many calls may wait, from the observed service time."""
    backend = state.backend
    service_ms = max(1.0, service_time(state, kind))
    bound = math.ceil(backend.limit * QUEUE_MS / service_ms)
    return max(MIN_QUEUE, min(bound, int(backend.limit)))


def _record_queue_length(state: states.State, kind: str) -> None:
    """Keep the least length of the queue in this window; a queue that never runs
    dry is a standing one."""
    window = state.backend.windows[-1]
    length = len(state.backend.queue)
    if length < window.least_queue:
        window.least_queue = length
    if kind:
        window.target_queue = max(2, queue_bound(state, kind) // 2)


def service_time(state: states.State, kind: str) -> float:
    """Return the observed time of a kind in ms; 0 when nothing is known."""
    measured = state.backend.times.get(kind)
    if measured is None:
        return 0.0
    age = state.now - measured.measured_at
    if age <= SERVICE_TIME_HALF_LIFE_MS / 4:
        return measured.mean_ms
    return float(measured.mean_ms * 0.5 ** (age / SERVICE_TIME_HALF_LIFE_MS))


def record_service_time(state: states.State, kind: str, elapsed: float) -> None:
    """Take in the time of a finished call."""
    measured = state.backend.times.get(kind)
    if measured is None:
        state.backend.times[kind] = states.ServiceTime(
            mean_ms=elapsed, measured_at=state.now
        )
        return
    measured.mean_ms += SERVICE_TIME_WEIGHT * (elapsed - measured.mean_ms)
    measured.measured_at = state.now


def record_arrival(state: states.State, rank: ids.Rank) -> None:
    """Count an arriving call in the current window."""
    window = state.backend.windows[-1]
    if len(window.ranks) < MAX_SAMPLES:
        # On routes a level tells which requests to refuse at their root, whether the
        # root itself or its calls come here; so both are put on one scale.
        window.ranks.append(ranks.deep_rank(rank) if state.routed else rank)


def has_slot(state: states.State) -> bool:
    """Tell whether a call may be handed over now."""
    backend = state.backend
    return backend.running < min(int(backend.limit), saturation.usable_slots(state))


def take_slot(state: states.State) -> None:
    """Occupy a slot."""
    accumulate_busy_time(state)
    state.backend.running += 1
    state.backend.windows[-1].dispatched += 1


def free_slot(state: states.State) -> None:
    """Give a slot back."""
    accumulate_busy_time(state)
    state.backend.running -= 1


def enqueue(state: states.State, hosted: states.Hosted) -> ids.HostedId | None:
    """Queue a call.

    :return: the call that has to leave the queue for it, which may be itself.
    """
    backend = state.backend
    entry = (hosted.rank, -state.next_number(), hosted.id)
    bisect.insort(backend.queue, entry)
    bound = queue_bound(state, hosted.metadata.kind)
    if ranks.is_deep(hosted.rank):
        bound *= _deep_factor(state)
    _record_queue_length(state, hosted.metadata.kind)
    if len(backend.queue) <= bound:
        return None
    dropped = backend.queue.pop(0)
    backend.windows[-1].shed += 1
    return dropped[2]


def _deep_factor(state: states.State) -> int:
    return ROUTED_DEEP_FACTOR if state.routed else DEEP_QUEUE_FACTOR


def dequeue(state: states.State) -> ids.HostedId | None:
    """Take the highest ranked call out of the queue."""
    backend = state.backend
    if not backend.queue:
        backend.windows[-1].least_queue = 0
        return None
    found = backend.queue.pop()[2]
    _record_queue_length(state, "")
    return found


def remove(state: states.State, hosted: ids.HostedId) -> None:
    """Take a call out of the queue wherever it stands."""
    queue = state.backend.queue
    queue[:] = [entry for entry in queue if entry[2] != hosted]


def expected_wait(state: states.State, kind: str, rank: ids.Rank) -> float:
    """Return the time in ms that a call of this rank would wait in the queue."""
    backend = state.backend
    if has_slot(state):
        return 0.0
    ahead = len(backend.queue) - bisect.bisect_left(backend.queue, (rank, 0, 0))
    return (ahead + 1) * service_time(state, kind) / max(1.0, backend.limit)


def has_room(state: states.State) -> bool:
    """Tell whether a backend server that turns a call away does so with slots free."""
    backend = state.backend
    return backend.running < FULL_OCCUPANCY * backend.slots


def record_backend_refusal(state: states.State) -> None:
    """Cut the limit: the backend server itself shed a call."""
    backend = state.backend
    backend.slow_start = False
    if state.now - backend.last_cut_at < LIMIT_CUT_INTERVAL_MS:
        return
    if state.routed and has_room(state):
        return
    backend.last_cut_at = state.now
    backend.limit = max(
        1.0, min(backend.limit, float(backend.running)) * LIMIT_CUT_FACTOR
    )


def record_backend_success(state: states.State) -> None:
    """Let the limit grow after a success, if it was what held calls back."""
    backend = state.backend
    if backend.limit >= backend.slots or backend.running + 1 < int(backend.limit):
        return
    if backend.slow_start:
        backend.limit += 1.0
    else:
        backend.limit += 1.0 / backend.limit
    backend.limit = min(backend.limit, float(backend.slots))


def expire_queued(state: states.State) -> list[ids.HostedId]:
    """Take out of the queue what waited longer than the queue is meant to hold.

    A call of low rank can be overtaken for seconds; meanwhile it holds the slots of
    the calls above it, which cost more slot time than all shed calls together.
    """
    backend = state.backend
    found = []
    for _, _, hosted_id in backend.queue:
        hosted = state.hosted[hosted_id]
        deep = hosted.metadata.depth > 0
        factor = _deep_factor(state) if deep else ROOT_WAIT_FACTOR
        if state.now - hosted.arrived_at > QUEUE_MS * factor:
            found.append(hosted_id)
    for hosted_id in found:
        remove(state, hosted_id)
        backend.windows[-1].shed += 1
    return found


def tree_level(state: states.State, kind: str) -> ids.Rank:
    """Return the level of the services that calls of a kind go on to."""
    children = state.child_kinds.get(kind)
    if not children:
        return ranks.LOWEST
    return max(
        routing.service_level(state, ids.ServiceName(service), child)
        for service, child in children
    )


def request_child_levels(state: states.State, kind: str, out: states.Effects) -> None:
    """Ask the services that calls of a kind go on to for their present levels."""
    for service, child in state.child_kinds.get(kind, {}):
        routing.request_levels(state, ids.ServiceName(service), child, out)


def load_report(state: states.State, kind: str) -> messages.LoadReport:
    """Return the load report that rides on an answer."""
    backend = state.backend
    cost = slot_costs.report_of(state, kind)
    word = levels.latest_report(state, cost.service)
    return messages.LoadReport(
        level=backend.level,
        tree_level=tree_level(state, kind),
        load=backend.running + len(backend.queue),
        limit=int(backend.limit),
        leaving=backend.leaving or state.departed,
        bottleneck=cost.service,
        bottleneck_slot_ms=round(cost.slot_ms),
        bottleneck_level=word.level,
        bottleneck_age_ms=round(state.now - word.reported_at),
    )


def retry_after_ms(state: states.State, rank: int, level: int) -> float:
    """Return when a refused caller should come back, in ms.

    From the observed state: a level falls by one band in about a second once
    demand falls, so the distance from rank to level tells the earliest time at
    which the answer can differ. A random part spreads the callers.
    """
    bands = max(0, level - rank) / ranks.BAND
    base = 1_000.0 * (1.0 + min(bands, 8.0))
    return base * (1.0 + state.random.random())


def accumulate_busy_time(state: states.State) -> None:
    """Count the slot time since it was last counted to the present window."""
    backend = state.backend
    elapsed = state.now - backend.running_since
    backend.windows[-1].busy_ms += elapsed * backend.running
    backend.running_since = state.now
