"""Retry delay of refused calls (Retry-After).

Where the level of the service is falling, its slope gives the time until it passes the
rank of the call. Otherwise the end of the overload is not predictable, and the delay is
the longest after which the call can still be answered within its latency target, by
the current answer time of its kind.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import routing, state as states

MIN_DELAY_MS = 100.0
"""Minimum delay, within which new levels are usually not reported yet."""

SLOPE_INTERVAL_MS = 300.0
"""Minimum time between the two levels that a slope is computed from: three control
windows, so that the noise of one window is no trend."""

JITTER = 0.25
"""Share of the delay over which callers are spread, so that those refused at the same
time do not return as one burst, which would be refused again."""

DEFAULT_DELAY_MS = 1_000.0
"""Delay before jitter where there is neither a slope nor time left within the target.
Once demand ends, a level falls by one band in about this time."""

ANSWER_TIME_MARGIN = 1.5
"""Multiple of the mean answer time to reserve for the retried request. Of log-normal
times with a sigma of 0.8, four in five are shorter."""

ANSWER_TIME_WEIGHT = 0.05
"""Weight of one answer in the moving average of answer times."""


def record_answer_time(
    state: states.State, kind: str, elapsed: ids.Milliseconds
) -> None:
    """Record the time of a whole request from its arrival to its answer."""
    known = state.mean_answer_ms.get(kind)
    if known is None:
        state.mean_answer_ms[kind] = elapsed
    else:
        state.mean_answer_ms[kind] = known + ANSWER_TIME_WEIGHT * (elapsed - known)


def for_call(
    state: states.State, call: states.Call, level: ids.Rank | None = None
) -> ids.Milliseconds:
    """Return the retry delay of a refused call.

    :param level: expected level of its service and kind; ``None`` to look it up.
    """
    latest = _latest_useful_delay(state, call)
    admitted_in = _delay_until_admitted(state, call, level)
    if admitted_in is None:
        delay = DEFAULT_DELAY_MS if latest is None else latest * (1.0 - JITTER)
    else:
        delay = (
            admitted_in if latest is None else min(admitted_in, latest * (1.0 - JITTER))
        )
    delay = max(MIN_DELAY_MS, delay)
    return delay * (1.0 + JITTER * state.random.random())


def _latest_useful_delay(
    state: states.State, call: states.Call
) -> ids.Milliseconds | None:
    """Return the longest delay after which a call can be answered within its target, or
    ``None`` if no time is left."""
    expected = ANSWER_TIME_MARGIN * state.mean_answer_ms.get(call.rule.name, 0.0)
    latest = call.arrived_at + call.rule.target_ms - expected - state.now
    return latest if latest > MIN_DELAY_MS else None


def _delay_until_admitted(
    state: states.State, call: states.Call, level: ids.Rank | None
) -> ids.Milliseconds | None:
    """Return the time until the level falls to the rank of a call, or ``None`` if it is
    not falling."""
    if level is None:
        level = routing.service_level(state, call.service, call.rule.name)
    trend = state.trends.get(call.service)
    if trend is None or state.now - trend.updated_at > 2 * SLOPE_INTERVAL_MS:
        state.trends[call.service] = states.Trend(updated_at=state.now, level=level)
        return None
    elapsed = state.now - trend.updated_at
    if elapsed >= SLOPE_INTERVAL_MS:
        trend.slope = (level - trend.level) / elapsed
        trend.updated_at = state.now
        trend.level = level
    if trend.slope >= 0.0:
        return None
    return max(0.0, (level - call.rank) / -trend.slope)
