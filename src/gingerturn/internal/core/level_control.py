"""Control of a home node's shedding level: raised by overload, lowered by idle slots.

Load reports carry the level to the nodes of callers, which refuse calls of lower rank.
"""

import math

from gingerturn.internal import ids
from gingerturn.internal.core import (
    admission,
    queue_slack,
    ranks,
    rate_limits,
    state as states,
    workspace_shares,
)

WINDOW_MS = 100.0
"""Length of a control window."""

MAX_WINDOWS = 32
MIN_WINDOWS = 8
MIN_DISPATCHED = 40
"""The level is computed from the latest windows that together dispatched
:data:`MIN_DISPATCHED` calls, within the two bounds of their number. Calls that run for
seconds free few slots in a window, and a level computed from few calls is noisy: from
13 calls it jumped by a quarter of a band."""

OVERAGE = 1.05
"""Arrivals to admit for each dispatched call; above 1 to keep the queue filled."""

ROUTED_OVERAGE = 1.0
"""The same on routes, without an excess: a tree that calls a service several times in
sequence would wait in the queue each time and exceed its timeout."""

RAISE_GAIN = 0.25
ONSET_GAIN = 0.75
LOWER_GAIN = 0.04
IDLE_GAIN = 0.8
LARGE_IDLE_SHARE = 0.3
"""Gains, the part of a correction made in one window. The onset gain applies where more
calls were shed than dispatched; the idle gain adds to the gain of lowering for the idle
share above :data:`LARGE_IDLE_SHARE`. A root admitted now reaches the deepest service
about ten windows later, so larger gains correct the same error several times and the
level oscillates."""

IDLE_DEADBAND = 0.02
"""Idle share up to which the level is not lowered, since a few slots are noise."""

MIN_DENSITY_SAMPLES = 3
"""Arrivals just above the level that an estimate of their density needs. With fewer,
the step depends on the idle share alone."""


def control(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    """Close a control window and adjust the level."""
    backend = state.backend
    if not backend.present:
        backend.level = ranks.LOWEST
        return
    admission.accumulate_busy_time(state)
    queue_slack.close_window(state, WINDOW_MS)
    closed = backend.windows[-1]
    if closed.shed or closed.least_queue >= closed.target_queue:
        overage = ROUTED_OVERAGE if state.routed else OVERAGE
        backend.level = _raised(backend, overage)
    elif closed.shed_with_long_limit:
        raised = _raised(backend, ROUTED_OVERAGE)
        backend.level = max(backend.level, min(raised, _lowest_common_band(backend)))
    elif closed.least_queue == 0:
        backend.level = _lowered(backend, closed, now)
    workspace_shares.control(state)
    backend.windows.append(
        states.Window(
            ranks=[],
            least_queue=admission.level_queue_length(state),
            target_queue=closed.target_queue,
        )
    )
    del backend.windows[:-MAX_WINDOWS]


def _lowest_common_band(backend: states.Backend) -> ids.Rank:
    """Return the lowest rank of the lowest band with calls that may not wait longer.

    Only calls that may wait longer stand in the queue or are shed here, so that the
    level must not reach the others.
    """
    lowest = min(window.lowest_common for window in backend.windows)
    return ids.Rank(lowest - lowest % ranks.BAND)


def dispatch_rate(backend: states.Backend) -> ids.RequestsPerSecond:
    """Return the calls a second that were dispatched in the latest windows."""
    dispatched = sum(window.dispatched for window in backend.windows)
    return 1_000.0 * dispatched / (WINDOW_MS * len(backend.windows))


def _recent_windows(backend: states.Backend) -> list[states.Window]:
    """Return the latest windows with enough dispatched calls."""
    dispatched = 0
    count = 0
    for window in reversed(backend.windows):
        dispatched += window.dispatched
        count += 1
        if count >= MIN_WINDOWS and dispatched >= MIN_DISPATCHED:
            break
    return backend.windows[-count:]


def _raised(backend: states.Backend, overage: float) -> ids.Rank:
    """Return the level that sheds a part of the excess arrivals.

    The step counts calls and not distance in rank, so that ranks of classes without
    calls do not delay it. Half of all ranks belong to such classes, and passing them
    took 1.5 s, in which all excess requests failed after their work.
    """
    above: list[int] = []
    dispatched = 0
    recent = _recent_windows(backend)
    for window in recent:
        above.extend(rank for rank in window.ranks if rank >= backend.level)
        dispatched += window.dispatched
    excess = len(above) - int(dispatched * overage) - 1
    if excess <= 0:
        return backend.level
    closed = backend.windows[-1]
    gain = ONSET_GAIN if closed.shed > closed.dispatched else RAISE_GAIN
    gain *= MIN_WINDOWS / max(MIN_WINDOWS, len(recent))
    above.sort()
    return ids.Rank(max(backend.level + 1, above[math.ceil(gain * excess)]))


def _lowered(
    backend: states.Backend, closed: states.Window, now: ids.Milliseconds
) -> ids.Rank:
    if backend.level <= 0 or backend.queue:
        return backend.level
    used = closed.busy_ms / (WINDOW_MS * max(1.0, backend.limit))
    idle = max(0.0, 1.0 - used)
    if backend.limiter.limited:
        idle = min(idle, rate_limits.idle_share(backend.limiter, now))
    if idle <= IDLE_DEADBAND:
        return backend.level
    return ids.Rank(max(0, int(backend.level - _lowering_step(backend, idle))))


def _lowering_step(backend: states.Backend, idle: float) -> float:
    """Return by how much to lower the level to fill the idle slots.

    Calls below the level do not arrive, so their density is estimated from the arrivals
    just above it.
    """
    band_end = (backend.level // ranks.BAND + 1) * ranks.BAND
    recent = _recent_windows(backend)
    dispatched = sum(window.dispatched for window in recent)
    above = sum(
        1
        for window in recent
        for rank in window.ranks
        if backend.level <= rank < band_end
    )
    if above < MIN_DENSITY_SAMPLES:
        return ranks.BAND * max(1.0 / 16, idle)
    density = above / (band_end - backend.level)
    missing = dispatched * idle / max(0.2, 1.0 - idle)
    gain = LOWER_GAIN + IDLE_GAIN * max(0.0, idle - LARGE_IDLE_SHARE)
    return min(float(ranks.BAND), max(1.0, gain * missing / density))
