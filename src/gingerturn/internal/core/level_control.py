"""The shedding level of a home: raised by what it cannot carry, lowered by idle slots.

The level is what callers' nodes are told: calls of lower rank are not worth sending.
"""

import math

from gingerturn.internal import ids
from gingerturn.internal.core import admission, ranks, state as states

WINDOW_MS = 100.0
"""Length of a control window; some tens of calls at the sizes of today."""

MAX_WINDOWS = 32
MIN_WINDOWS = 8
MIN_DISPATCHED = 40
"""The level looks back on as many windows as handed over 40 calls, at least 8 and
at most 32. Calls that run for seconds free few slots in a window; a level from 13
calls jumped by a quarter of a band for no reason but chance."""

OVERAGE = 1.05
"""Admit 5 % more than was handed over, so that the queue never runs dry."""

ROUTED_OVERAGE = 1.0
"""On routes no more than that: where a tree calls a service several times in a row
inside a timeout of less than a second, each 5 % too many wait in every one of the
queues, and whole requests time out."""

RAISE_GAIN = 0.25
ONSET_GAIN = 0.75
LOWER_GAIN = 0.04
IDLE_GAIN = 0.8
LARGE_IDLE_SHARE = 0.3
"""The part of a correction made in one window. A root admitted now reaches the
deepest service about a second, ten windows, later; larger gains correct the same
error several times over and the level swings, which wastes work below."""

IDLE_DEADBAND = 0.02
"""Idle shares up to 2 % are noise of a few slots and move no level."""

MIN_DENSITY_SAMPLES = 3
"""Fewer arrivals above the level tell no density; the step is then a fixed one."""


def control(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    """Close a control window and move the level."""
    backend = state.backend
    if not backend.present:
        backend.level = ranks.LOWEST
        return
    admission.accumulate_busy_time(state)
    closed = backend.windows[-1]
    if closed.shed or closed.least_queue >= closed.target_queue:
        overage = ROUTED_OVERAGE if state.routed else OVERAGE
        backend.level = _raised(backend, overage)
    elif closed.least_queue == 0:
        backend.level = _lowered(backend, closed)
    backend.windows.append(
        states.Window(
            ranks=[],
            least_queue=len(backend.queue),
            target_queue=closed.target_queue,
        )
    )
    del backend.windows[:-MAX_WINDOWS]


def _recent_windows(backend: states.Backend) -> list[states.Window]:
    """Return the latest windows that tell enough."""
    handed = 0
    count = 0
    for window in reversed(backend.windows):
        handed += window.dispatched
        count += 1
        if count >= MIN_WINDOWS and handed >= MIN_DISPATCHED:
            break
    return backend.windows[-count:]


def _raised(backend: states.Backend, overage: float) -> ids.Rank:
    """Return the level raised so far that a part of the excess ranks below it.

    By number of calls and not by distance in rank: half of all ranks belong to classes
    that no kind here has, and the way through them took 1.5 s, in which every request
    too many failed after its work.
    """
    above: list[int] = []
    handed = 0
    recent = _recent_windows(backend)
    for window in recent:
        above.extend(rank for rank in window.ranks if rank >= backend.level)
        handed += window.dispatched
    excess = len(above) - int(handed * overage) - 1
    if excess <= 0:
        return backend.level
    closed = backend.windows[-1]
    gain = ONSET_GAIN if closed.shed > closed.dispatched else RAISE_GAIN
    gain *= MIN_WINDOWS / max(MIN_WINDOWS, len(recent))
    above.sort()
    return ids.Rank(max(backend.level + 1, above[math.ceil(gain * excess)]))


def _lowered(backend: states.Backend, closed: states.Window) -> ids.Rank:
    if backend.level <= 0 or backend.queue:
        return backend.level
    used = closed.busy_ms / (WINDOW_MS * max(1.0, backend.limit))
    idle = max(0.0, 1.0 - used)
    if idle <= IDLE_DEADBAND:
        return backend.level
    return ids.Rank(max(0, int(backend.level - _lowering_step(backend, idle))))


def _lowering_step(backend: states.Backend, idle: float) -> float:
    """Return by how much to lower the level so as to fill the idle slots.

    Calls below the level do not arrive, so how many there are is taken from the
    density of those just above it.
    """
    band_end = (backend.level // ranks.BAND + 1) * ranks.BAND
    recent = _recent_windows(backend)
    handed = sum(window.dispatched for window in recent)
    near = sum(
        1
        for window in recent
        for rank in window.ranks
        if backend.level <= rank < band_end
    )
    if near < MIN_DENSITY_SAMPLES:
        return ranks.BAND * max(1.0 / 16, idle)
    density = near / (band_end - backend.level)
    missing = handed * idle / max(0.2, 1.0 - idle)
    gain = LOWER_GAIN + IDLE_GAIN * max(0.0, idle - LARGE_IDLE_SHARE)
    return min(float(ranks.BAND), max(1.0, gain * missing / density))
