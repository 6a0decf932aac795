"""When a refused caller should come back.

A caller is best served by the earliest moment at which there will be room, and by no
moment at which an answer is of no use any more. Where the level is falling, its slope
tells when it passes the caller's rank. Where it is not, nobody knows when the overload
ends: the caller is then asked to come back as late as it can still be answered within
the latency target, by what such requests take at present.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import routing, state as states

MIN_DELAY_MS = 100.0
"""Nobody is sent back sooner than answers with new levels come."""

SLOPE_INTERVAL_MS = 300.0
"""Between the two levels that tell a slope: some three control windows, so that one
window's noise is no trend."""

JITTER = 0.25
"""Callers refused at one moment come back over a quarter of their wait: as one burst
they would only be refused again."""

DEFAULT_DELAY_MS = 1_000.0
"""Where nothing tells when: after one to one and a quarter seconds, as long as a level
takes to fall by one band when demand ends."""

ANSWER_TIME_MARGIN = 1.5
"""Times the mean time of answers that is left for the next one. Of a log-normal with a
sigma of 0.8, as the work of the users' kinds has, four in five take less."""

ANSWER_TIME_WEIGHT = 0.05
"""Of one answer in the mean time, over some twenty."""


def record_answer_time(
    state: states.State, kind: str, elapsed: ids.Milliseconds
) -> None:
    """Take in how long a whole request took from its arrival to its answer."""
    known = state.mean_answer_ms.get(kind)
    if known is None:
        state.mean_answer_ms[kind] = elapsed
    else:
        state.mean_answer_ms[kind] = known + ANSWER_TIME_WEIGHT * (elapsed - known)


def for_call(state: states.State, call: states.Call) -> ids.Milliseconds:
    """Return in how many ms a caller whose call is refused should come back."""
    latest = _latest_useful_delay(state, call)
    room = _delay_until_admitted(state, call)
    if room is None:
        wait = DEFAULT_DELAY_MS if latest is None else latest * (1.0 - JITTER)
    else:
        wait = room if latest is None else min(room, latest * (1.0 - JITTER))
    wait = max(MIN_DELAY_MS, wait)
    return wait * (1.0 + JITTER * state.random.random())


def _latest_useful_delay(
    state: states.State, call: states.Call
) -> ids.Milliseconds | None:
    """Return in how many ms it may come at the latest to be answered on target."""
    usual = ANSWER_TIME_MARGIN * state.mean_answer_ms.get(call.rule.name, 0.0)
    latest = call.arrived_at + call.rule.target_ms - usual - state.now
    return latest if latest > MIN_DELAY_MS else None


def _delay_until_admitted(
    state: states.State, call: states.Call
) -> ids.Milliseconds | None:
    """Return in how many ms the level will have fallen to the rank of a call, where it
    is falling."""
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
