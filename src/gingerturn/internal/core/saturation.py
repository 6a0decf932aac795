"""Detection of backend servers that slow down when nearly every slot is taken.

Some serve fewer calls a second with every slot taken than with a few left free: one
whose calls take 1.3 times as long loses a quarter of its capacity when it is scarce.
The times of calls started at high occupancy are compared with those of the same kind
started at lower occupancy, which remain valid through an overload. Only calls without
child calls are compared. Where calls take longer at high occupancy, the last slots are
left free for a trial; if that makes calls no faster, they are used again.
"""

import math

from gingerturn.internal import ids
from gingerturn.internal.core import state as states

SATURATED_OCCUPANCY = 0.95
"""Occupancy from which a backend server counts as saturated."""

UNSATURATED_OCCUPANCY = 0.85
"""Occupancy up to which it counts as unsaturated; calls started between the two are not
compared."""

MIN_SAMPLES = 40
"""Calls in each mean before they are compared, so that the comparison is not noise. The
times of one kind vary by half of their mean, the means of 40 rarely by a tenth."""

MIN_SLOWDOWN = 1.15
"""Relative slowdown from which leaving the last slots free is tried: the 5 % of the
capacity that this costs, and a margin for noise."""

MEAN_WEIGHT = 1.0 / MIN_SAMPLES
TRIAL_MS = 30_000.0
"""How long the slots are left free after a slowdown, and how long they are used after
an unsuccessful trial before the next one."""


def record_time(
    state: states.State, hosted: states.Hosted, elapsed: ids.Milliseconds
) -> None:
    """Record the time of a finished call, unless calls of its kind make child calls."""
    kind = hosted.metadata.kind
    if state.child_kinds.get(kind):
        return
    times = state.backend.saturation
    if hosted.occupancy <= UNSATURATED_OCCUPANCY:
        _add(times.unsaturated.setdefault(kind, states.Mean()), elapsed)
        return
    baseline = times.unsaturated.get(kind)
    if baseline is None or baseline.count < MIN_SAMPLES or baseline.mean <= 0.0:
        return
    relative = elapsed / baseline.mean
    if times.limited_until and state.now >= times.limited_until:
        # The comparison from before the trial is out of date.
        times.saturated = states.Mean()
        times.limited_until = 0.0
    if state.now < times.limited_until:
        _evaluate_trial(state, hosted, relative)
    elif hosted.occupancy >= SATURATED_OCCUPANCY and state.now >= times.next_trial_at:
        _add(times.saturated, relative)
        if times.saturated.count >= MIN_SAMPLES and times.saturated.mean > MIN_SLOWDOWN:
            times.limited_until = state.now + TRIAL_MS
            times.limited = states.Mean()


def _evaluate_trial(
    state: states.State, hosted: states.Hosted, relative: float
) -> None:
    """End the trial if leaving the last slots free makes calls no faster."""
    times = state.backend.saturation
    threshold = _limited_slots(state.backend) / max(1, state.backend.slots)
    if (
        hosted.started_at < times.limited_until - TRIAL_MS
        or hosted.occupancy < threshold
    ):
        return
    _add(times.limited, relative)
    if (
        times.limited.count == MIN_SAMPLES
        and times.saturated.mean < MIN_SLOWDOWN * times.limited.mean
    ):
        times.limited_until = state.now
        times.next_trial_at = state.now + TRIAL_MS
        times.saturated = states.Mean()


def _add(mean: states.Mean, value: float) -> None:
    mean.count += 1
    mean.mean += max(MEAN_WEIGHT, 1.0 / mean.count) * (value - mean.mean)


def usable_slots(state: states.State) -> int:
    """Return how many slots to use at most."""
    backend = state.backend
    if state.now >= backend.saturation.limited_until:
        return backend.slots
    return _limited_slots(backend)


def _limited_slots(backend: states.Backend) -> int:
    return max(1, math.ceil(SATURATED_OCCUPANCY * backend.slots) - 1)
