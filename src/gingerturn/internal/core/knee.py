"""Backend servers that slow down when they are nearly full: leave the last slots free.

Some serve fewer calls a second with every slot taken than with a few left free. That
shows in the times of calls that call nobody else: those begun while nearly every slot
was taken are compared with those begun while there was room.
"""

import math

from gingerturn.internal import ids
from gingerturn.internal.core import state as states

NEARLY_FULL = 0.95
"""Share of the slots from which a backend server counts as nearly full."""

ROOMY = 0.85
"""Up to this share it counts as having room; between the two nothing is compared."""

ENOUGH = 40
"""Calls of each sort before they are compared: the times of one kind vary by half of
their mean, so the means of 40 differ by a tenth only now and then by chance."""

SLOWDOWN = 1.15
"""A slowdown that outweighs the slots that are left free: with 5 % fewer slots the
rate falls by 5 %, so anything above that gains; the rest is a margin for chance."""

WEIGHT = 1.0 / ENOUGH
HOLD_MS = 30_000.0
"""How long the slots are left free before the comparison begins anew, since without
calls in them nothing tells whether it still holds."""


def note(
    state: states.State, hosted: states.Hosted, elapsed: ids.Milliseconds, mean: float
) -> None:
    """Take in the time of a call that called nobody else.

    :param mean: what calls of its kind take on average.
    """
    if mean <= 0.0 or state.children_of.get(hosted.terms.kind):
        return
    knee = state.backend.knee
    relative = elapsed / mean
    if hosted.occupancy >= NEARLY_FULL:
        knee.full_count += 1
        knee.full += max(WEIGHT, 1.0 / knee.full_count) * (relative - knee.full)
    elif hosted.occupancy <= ROOMY:
        knee.roomy_count += 1
        knee.roomy += max(WEIGHT, 1.0 / knee.roomy_count) * (relative - knee.roomy)
    if min(knee.full_count, knee.roomy_count) < ENOUGH:
        return
    if knee.full > SLOWDOWN * knee.roomy:
        knee.held_until = state.now + HOLD_MS
    knee.full_count = knee.roomy_count = 0


def usable_slots(state: states.State) -> int:
    """Return the slots that are worth using."""
    backend = state.backend
    if state.now >= backend.knee.held_until:
        return backend.slots
    return max(1, math.ceil(NEARLY_FULL * backend.slots) - 1)
