"""Backend servers that slow down when they are nearly full: leave the last slots free.

Some serve fewer calls a second with every slot taken than with a few left free. One
whose calls take 1.3 times as long then loses a quarter of what it can carry, just when
it is short: in the model of 194 nodes under a burst worth 0.71 in place of 0.81.

Calls that call nobody else are compared with those of their kind that were begun while
there was room, which tells what a kind takes also after seconds of overload. Where the
full ones take longer the last slots are left free for a trial: if calls do not become
faster by it, something else made them slow, and the slots are used again.
"""

import math

from gingerturn.internal import ids
from gingerturn.internal.core import state as states

SATURATED_OCCUPANCY = 0.95
"""Share of the slots from which a backend server counts as nearly full."""

UNSATURATED_OCCUPANCY = 0.85
"""Up to this share it counts as having room; between the two nothing is compared."""

MIN_SAMPLES = 40
"""Calls of each sort before they are compared: the times of one kind vary by half of
their mean, so the means of 40 differ by a tenth only now and then by chance."""

MIN_SLOWDOWN = 1.15
"""A slowdown that outweighs the slots that are left free: with 5 % fewer slots the
rate falls by 5 %, so anything above that gains; the rest is a margin for chance."""

MEAN_WEIGHT = 1.0 / MIN_SAMPLES
TRIAL_MS = 30_000.0
"""How long the slots are left free, or used again after a trial that changed nothing,
before the comparison begins anew."""


def record_time(
    state: states.State, hosted: states.Hosted, elapsed: ids.Milliseconds
) -> None:
    """Take in the time of a call that called nobody else."""
    kind = hosted.metadata.kind
    if state.child_kinds.get(kind):
        return
    knee = state.backend.saturation
    if hosted.occupancy <= UNSATURATED_OCCUPANCY:
        _add(knee.unsaturated.setdefault(kind, states.Mean()), elapsed)
        return
    usual = knee.unsaturated.get(kind)
    if usual is None or usual.count < MIN_SAMPLES or usual.mean <= 0.0:
        return
    relative = elapsed / usual.mean
    if knee.limited_until and state.now >= knee.limited_until:
        # What was compared before the trial says nothing of today.
        knee.saturated = states.Mean()
        knee.limited_until = 0.0
    if state.now < knee.limited_until:
        _evaluate_trial(state, hosted, relative)
    elif hosted.occupancy >= SATURATED_OCCUPANCY and state.now >= knee.next_trial_at:
        _add(knee.saturated, relative)
        if knee.saturated.count >= MIN_SAMPLES and knee.saturated.mean > MIN_SLOWDOWN:
            knee.limited_until = state.now + TRIAL_MS
            knee.limited = states.Mean()


def _evaluate_trial(
    state: states.State, hosted: states.Hosted, relative: float
) -> None:
    """Use the last slots again if leaving them free makes no call faster."""
    knee = state.backend.saturation
    at_most = _limited_slots(state.backend) / max(1, state.backend.slots)
    if hosted.started_at < knee.limited_until - TRIAL_MS or hosted.occupancy < at_most:
        return
    _add(knee.limited, relative)
    if (
        knee.limited.count == MIN_SAMPLES
        and knee.saturated.mean < MIN_SLOWDOWN * knee.limited.mean
    ):
        knee.limited_until = state.now
        knee.next_trial_at = state.now + TRIAL_MS
        knee.saturated = states.Mean()


def _add(mean: states.Mean, value: float) -> None:
    mean.count += 1
    mean.mean += max(MEAN_WEIGHT, 1.0 / mean.count) * (value - mean.mean)


def usable_slots(state: states.State) -> int:
    """Return the slots that are worth using."""
    backend = state.backend
    if state.now >= backend.saturation.limited_until:
        return backend.slots
    return _limited_slots(backend)


def _limited_slots(backend: states.Backend) -> int:
    return max(1, math.ceil(SATURATED_OCCUPANCY * backend.slots) - 1)
