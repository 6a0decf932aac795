"""Admission to the backend server: concurrency limit and queue.

The queue is short and ordered by rank. Calls beyond its bound are shed, which raises
the level that load reports carry to the nodes of callers (:mod:`.level_control`).
"""

import bisect
import math

from gingerturn.internal import ids
from gingerturn.internal.core import (
    levels,
    messages,
    pace,
    queue_slack,
    ranks,
    rate_limits,
    routing,
    saturation,
    slot_costs,
    state as states,
    workspace_shares,
)

QUEUE_MS = 400.0
"""Target queueing delay, from which the length of the queue is bounded. Shorter queues
shed short bursts, longer ones delay the rise of the level and add to what must be shed
once they are full (docs/design/levels.md). The gains of the level were set with it."""

MIN_QUEUE = 4
"""Lower bound of the queue length, for coinciding arrivals at few slots."""

ROOT_WAIT_FACTOR = 2
"""Maximum wait of a root in the queue, as a multiple of :data:`QUEUE_MS`."""

DEEP_QUEUE_FACTOR = 4
"""Multiple of the queue bound and of :data:`QUEUE_MS` that applies to calls below a
root, since shedding them wastes the work already done for their request."""

ROUTED_DEEP_FACTOR = 2
"""The same on routes, where sequential calls wait in several queues within one timeout;
see :data:`.level_control.ROUTED_OVERAGE`."""

LIMITED_QUEUE_MS = 25.0
"""In place of :data:`QUEUE_MS` while the backend server reports a rate limit: another
upstream may take the call at once."""

SLOW_START_SHARE = 0.2
"""Share of the slots that a cold backend server begins with. The limit grows by one
with each success, so it doubles each round."""

FULL_OCCUPANCY = 0.75
"""Occupancy below which a refusal by the backend server counts as a fault and not as
overload. On routes it then does not lower the limit, which would only make this node
refuse more calls."""

LIMIT_CUT_FACTOR = 0.9
LIMIT_CUT_INTERVAL_MS = 100.0
"""Minimum interval between two cuts of the limit, so that a burst of refusals counts as
one."""

SERVICE_TIME_WEIGHT = 0.1
SERVICE_TIME_HALF_LIFE_MS = 2_000.0
"""Half-life of a service time without new measurements. Without decay, a kind that was
slow once could be refused forever, since refused calls are not measured."""

MAX_SAMPLES = 4_096
"""Maximum number of ranks recorded in one window, to bound memory: 40,000 calls a
second."""


def announce(
    state: states.State, now: ids.Milliseconds, *, slots: int, cold: bool
) -> None:
    """Set the limits of a backend server from its announcement or renewal."""
    backend = state.backend
    if not backend.present:
        share = SLOW_START_SHARE if cold else 1.0
        backend.limit = max(1.0, slots * share)
        backend.slow_start = cold
        backend.running_since = now
    backend.slots = slots
    backend.limit = min(backend.limit, float(slots))


def reset_measurements(state: states.State) -> None:
    """Reset the measurements of a backend server that started again."""
    backend = state.backend
    backend.level = ranks.LOWEST
    backend.windows = [states.Window()]
    backend.last_cut_at = 0.0


def queue_bound(state: states.State, kind: str) -> int:
    """Return how many calls may be queued, from the observed service time."""
    backend = state.backend
    service_ms = max(1.0, service_time(state, kind))
    limit = _usable_limit(state)
    bound = math.ceil(limit * QUEUE_MS / service_ms)
    bound = max(MIN_QUEUE, min(bound, int(limit)))
    if backend.limiter.limited:
        tokens = rate_limits.tokens_in(backend.limiter, LIMITED_QUEUE_MS, state.now)
        return min(bound, tokens)
    return bound


def _queue_ms(state: states.State) -> ids.Milliseconds:
    return LIMITED_QUEUE_MS if state.backend.limiter.limited else QUEUE_MS


def _max_wait(state: states.State, hosted: states.Hosted) -> ids.Milliseconds:
    """Return the maximum wait of a call in the queue."""
    common = _common_max_wait(state, deep=hosted.metadata.depth > 0)
    if not hosted.max_wait:
        return common
    limited = state.backend.limiter.limited
    return min(hosted.max_wait, common) if limited else hosted.max_wait


def _common_max_wait(state: states.State, *, deep: bool) -> ids.Milliseconds:
    return _queue_ms(state) * (_deep_factor(state) if deep else ROOT_WAIT_FACTOR)


def _record_queue_length(state: states.State, kind: str) -> None:
    """Record the minimum queue length of the current window, which detects a standing
    queue."""
    window = state.backend.windows[-1]
    length = level_queue_length(state)
    if length < window.least_queue:
        window.least_queue = length
    if kind:
        window.target_queue = max(2, queue_bound(state, kind) // 2)


def service_time(state: states.State, kind: str) -> float:
    """Return the expected service time of a kind in ms, or 0 if it was not observed.

    It is the usual time, longer while the backend server reports a high pace.
    """
    measured = state.backend.times.get(kind)
    if measured is None:
        return 0.0
    age = state.now - measured.measured_at
    mean_ms = measured.mean_ms
    if age > SERVICE_TIME_HALF_LIFE_MS / 4:
        mean_ms = float(mean_ms * 0.5 ** (age / SERVICE_TIME_HALF_LIFE_MS))
    if state.child_kinds.get(kind):
        return mean_ms
    tracker = state.backend.pace_tracker
    return mean_ms * pace.factor(tracker.pace, tracker.reported_at, state.now)


def record_service_time(state: states.State, kind: str, elapsed: float) -> None:
    """Update the service time of a kind with a finished call.

    :param elapsed: time that it would have taken at the usual pace.
    """
    measured = state.backend.times.get(kind)
    if measured is None:
        state.backend.times[kind] = states.ServiceTime(
            mean_ms=elapsed, measured_at=state.now
        )
        return
    measured.mean_ms += SERVICE_TIME_WEIGHT * (elapsed - measured.mean_ms)
    measured.measured_at = state.now


def record_arrival(state: states.State, hosted: states.Hosted) -> None:
    """Record the rank of an arriving call in the current window."""
    rank = hosted.rank
    window = state.backend.windows[-1]
    if len(window.ranks) < MAX_SAMPLES:
        # On routes the level decides which requests are refused at their root, so roots
        # and the calls below them are recorded on the same scale.
        rank = ranks.deep_rank(rank) if state.routed else rank
        window.ranks.append(rank)
        if rank < window.lowest_common and not hosted.has_long_limit:
            window.lowest_common = rank


def has_slot(state: states.State) -> bool:
    """Whether a call may be dispatched now."""
    return _has_free_slot(state) and rate_limits.has_token(
        state.backend.limiter, state.now
    )


def _has_free_slot(state: states.State) -> bool:
    running = state.backend.running
    if running >= int(_usable_limit(state)):
        return False
    return running < saturation.usable_slots(state)


def _usable_limit(state: states.State) -> float:
    """Return the limit without slots that an earlier start of this node holds."""
    backend = state.backend
    tracker = backend.pace_tracker
    if not tracker.foreign and not tracker.expected_at:
        return backend.limit
    usable = pace.usable_slots(tracker, backend.slots, state.now)
    return min(backend.limit, float(usable))


def is_rate_limited(state: states.State) -> bool:
    """Whether calls wait only for the rate limit of the backend server."""
    return state.backend.limiter.limited and _has_free_slot(state)


def token_wait(state: states.State, rank: ids.Rank) -> ids.Milliseconds:
    """Return how long the rate limit delays a call of this rank."""
    if not state.backend.limiter.limited:
        return 0.0
    return rate_limits.wait_ms(state.backend.limiter, _ahead(state, rank), state.now)


def exceeds_rate_limit(state: states.State, hosted: states.Hosted) -> bool:
    """Whether the rate limit delays a call longer than it may be queued."""
    if not state.backend.limiter.limited:
        return False
    return token_wait(state, hosted.rank) > _max_wait(state, hosted)


def exceeds_wait_limit(hosted: states.Hosted) -> bool:
    """Whether a call would wait longer than its own limit."""
    return 0.0 < hosted.max_wait < hosted.expected_wait


def set_limits(state: states.State, hosted: states.Hosted) -> None:
    """Set the limits of a call that arrives where kinds have their own."""
    targets = queue_slack.targets(state)
    if not targets:
        return
    kind = hosted.metadata.kind
    hosted.max_wait = queue_slack.wait_limit(state, hosted.metadata)
    hosted.has_long_limit = hosted.max_wait > ROOT_WAIT_FACTOR * QUEUE_MS
    hosted.service_ms = service_time(state, kind)
    # A kind that this node's table does not have yet is started early.
    hosted.start_by = hosted.arrived_at + targets.get(kind, 0) - hosted.service_ms


def record_shed(state: states.State, hosted: states.Hosted) -> None:
    """Count a call that was shed."""
    window = state.backend.windows[-1]
    if hosted.has_long_limit:
        window.shed_with_long_limit += 1
    else:
        window.shed += 1


def level_queue_length(state: states.State) -> int:
    """Return the number of queued calls that may raise the level."""
    backend = state.backend
    return len(backend.queue) - backend.slack.long_limited


def take_slot(state: states.State) -> None:
    """Occupy a slot for a dispatched call."""
    accumulate_busy_time(state)
    rate_limits.take(state.backend.limiter)
    state.backend.running += 1
    state.backend.windows[-1].dispatched += 1


def free_slot(state: states.State) -> None:
    """Release the slot of a finished call."""
    accumulate_busy_time(state)
    state.backend.running -= 1


def enqueue(state: states.State, hosted: states.Hosted) -> ids.HostedId | None:
    """Queue a call.

    :return: the call that is shed for it, which may be the call itself.
    """
    backend = state.backend
    number = state.next_number()
    bisect.insort(backend.queue, (hosted.rank, -number, hosted.id))
    queue_slack.insert(state, hosted, number)
    length, bound = _length_and_bound(state, hosted)
    _record_queue_length(state, "" if hosted.has_long_limit else hosted.metadata.kind)
    if length <= bound:
        return None
    dropped = state.hosted[backend.queue.pop(0)[2]]
    queue_slack.discard(state, dropped)
    record_shed(state, dropped)
    return dropped.id


def _length_and_bound(state: states.State, hosted: states.Hosted) -> tuple[int, int]:
    """Return the length of the queue that counts for a call, and its bound.

    Where roots have their own limits, they and the calls below a root are counted
    separately, since their bounds differ several times over.
    """
    backend = state.backend
    kind = hosted.metadata.kind
    if not queue_slack.is_active(state) or backend.limiter.limited:
        bound = queue_bound(state, kind)
        if ranks.is_deep(hosted.rank):
            bound *= _deep_factor(state)
        return len(backend.queue), bound
    has_limit = hosted.max_wait > 0.0
    if not has_limit:
        length = len(backend.queue) - backend.slack.limited
        return length, queue_bound(state, kind) * _deep_factor(state)
    service_ms = max(1.0, service_time(state, kind))
    bound = math.ceil(_usable_limit(state) * hosted.max_wait / service_ms)
    return backend.slack.limited, max(MIN_QUEUE, bound)


def _deep_factor(state: states.State) -> int:
    return ROUTED_DEEP_FACTOR if state.routed else DEEP_QUEUE_FACTOR


def dequeue(state: states.State) -> ids.HostedId | None:
    """Remove and return the call to start next."""
    backend = state.backend
    if not backend.queue:
        backend.windows[-1].least_queue = 0
        return None
    first = queue_slack.first(state)
    position = -1 if first is None else bisect.bisect_left(backend.queue, first)
    found = backend.queue.pop(position)[2]
    queue_slack.discard(state, state.hosted[found])
    _record_queue_length(state, "")
    return found


def remove(state: states.State, hosted: ids.HostedId) -> None:
    """Remove a call from the queue, at any position."""
    queue = state.backend.queue
    queue[:] = [entry for entry in queue if entry[2] != hosted]
    queue_slack.discard(state, state.hosted[hosted])


def expected_wait(state: states.State, hosted: states.Hosted) -> ids.Milliseconds:
    """Return the expected queueing delay of a call that arrives."""
    if has_slot(state):
        return 0.0
    wait = token_wait(state, hosted.rank)
    if is_rate_limited(state):
        return wait
    slots = max(1.0, _usable_limit(state))
    if queue_slack.is_active(state):
        slots = max(1.0, min(slots, saturation.usable_slots(state)))
        return max(wait, queue_slack.expected_wait(state, hosted, slots=slots))
    ahead = _ahead(state, hosted.rank)
    slots_ms = (ahead + 1) * service_time(state, hosted.metadata.kind) / slots
    return max(wait, slots_ms)


def _ahead(state: states.State, rank: ids.Rank) -> int:
    """Return how many queued calls go before one of this rank."""
    queue = state.backend.queue
    return len(queue) - bisect.bisect_left(queue, (rank, 0, 0))


def has_room(state: states.State) -> bool:
    """Whether the backend server has slots free, so that its refusal is a fault."""
    backend = state.backend
    return backend.running < FULL_OCCUPANCY * backend.slots


def record_backend_refusal(state: states.State) -> None:
    """Cut the limit after the backend server itself refused a call."""
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
    """Raise the limit after a success, if the limit was reached."""
    backend = state.backend
    if backend.limit >= backend.slots or backend.running + 1 < int(backend.limit):
        return
    if backend.slow_start:
        backend.limit += 1.0
    else:
        backend.limit += 1.0 / backend.limit
    backend.limit = min(backend.limit, float(backend.slots))


def expire_queued(state: states.State) -> list[ids.HostedId]:
    """Remove and return the queued calls that exceeded their maximum wait.

    A call of low rank can be overtaken for seconds, while the calls above it in its
    tree occupy their slots.
    """
    backend = state.backend
    found = []
    for _, _, hosted_id in backend.queue:
        hosted = state.hosted[hosted_id]
        max_wait = _max_wait(state, hosted)
        if state.now - hosted.arrived_at > max_wait:
            found.append(hosted_id)
    for hosted_id in found:
        remove(state, hosted_id)
        record_shed(state, state.hosted[hosted_id])
    return found


def tree_level(state: states.State, kind: str) -> ids.Rank:
    """Return the highest level of the services that calls of a kind call."""
    children = state.child_kinds.get(kind)
    if not children:
        return ranks.LOWEST
    return max(
        routing.service_level(state, ids.ServiceName(service), child)
        for service, child in children
    )


def request_child_levels(state: states.State, kind: str, out: states.Effects) -> None:
    """Request the current levels of the services that calls of a kind call."""
    for service, child in state.child_kinds.get(kind, {}):
        routing.request_levels(state, ids.ServiceName(service), child, out)


def load_report(state: states.State, kind: str) -> messages.LoadReport:
    """Return the load report to attach to an answer."""
    backend = state.backend
    cost = slot_costs.report_of(state, kind)
    bottleneck = levels.latest_report(state, cost.service)
    tracker = backend.pace_tracker
    return messages.LoadReport(
        level=backend.level,
        tree_level=tree_level(state, kind),
        load=_reported_load(state),
        limit=int(backend.limit),
        leaving=backend.leaving or state.departed,
        bottleneck=cost.service,
        bottleneck_slot_ms=round(cost.slot_ms),
        bottleneck_level=bottleneck.level,
        bottleneck_age_ms=round(state.now - bottleneck.reported_at),
        status=status_of(backend),
        bottleneck_factors=workspace_shares.report_of(state, cost.service),
        pace=tracker.pace,
        pace_age_ms=round(state.now - tracker.reported_at) if tracker.pace else 0,
    )


def status_of(backend: states.Backend) -> messages.BackendStatus | None:
    """Return what the backend server reported; ``None`` if that is nothing."""
    if not backend.limiter.limited and not backend.leaving:
        return None
    return messages.BackendStatus(
        instance=backend.instance,
        rate_limit=backend.limiter.limit,
        leaving=backend.leaving,
        started_ms=backend.started_ms,
    )


def _reported_load(state: states.State) -> int:
    """Return the load to report; without a token of the rate limit it is full."""
    backend = state.backend
    load = backend.running + len(backend.queue)
    if backend.pace_tracker.foreign:
        load += pace.foreign_calls(backend.pace_tracker, state.now)
    if rate_limits.has_token(backend.limiter, state.now):
        return load
    return max(load, int(backend.limit))


def retry_after_ms(state: states.State, rank: int, level: int) -> float:
    """Return the retry delay of a refused caller in ms.

    Once demand falls, a level falls by one band in about a second, so the distance
    between rank and level gives the earliest time at which the call may be admitted.
    Jitter spreads the callers.
    """
    bands = max(0, level - rank) / ranks.BAND
    base = 1_000.0 * (1.0 + min(bands, 8.0))
    return base * (1.0 + state.random.random())


def accumulate_busy_time(state: states.State) -> None:
    """Add the slot time since the last update to the current window."""
    backend = state.backend
    elapsed = state.now - backend.running_since
    backend.windows[-1].busy_ms += elapsed * backend.running
    backend.running_since = state.now
