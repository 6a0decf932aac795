"""What a backend server reports of itself in its answers: rate limit and leaving."""

from gingerturn.internal import ids
from gingerturn.internal.core import (
    events,
    operator_log,
    state as states,
)

LOG_INTERVAL_MS = 1_000.0
"""Minimum time between two log lines about a limit that changes."""


def is_limited(state: states.State) -> bool:
    """Whether the latest answer of the backend server reported a rate limit."""
    return state.backend.reported_limit >= 0.0


def on_reported(
    state: states.State, event: events.BackendReported, out: states.Effects
) -> None:
    """Record a report in the head of an answer."""
    hosted = state.hosted.get(event.hosted)
    if hosted is None or hosted.instance != state.backend.instance:
        return
    if event.rate_limit != state.backend.reported_limit:
        state.backend.reported_limit = event.rate_limit
        _log_limit(state, event.rate_limit, out)
    if event.leaving and not state.backend.reported_leaving:
        state.backend.reported_leaving = True
        name = f"{state.backend.service} {state.backend.instance}"
        operator_log.info(out, "backend", f"{name} reports that it is leaving.")


def _log_limit(
    state: states.State, limit: ids.RequestsPerSecond, out: states.Effects
) -> None:
    backend = state.backend
    if limit >= 0.0 and state.now - backend.limit_logged_at < LOG_INTERVAL_MS:
        return
    backend.limit_logged_at = state.now
    text = f"a rate limit of {limit:g} requests a second"
    if limit < 0.0:
        text = "no rate limit any more"
    name = f"{backend.service} {backend.instance}"
    operator_log.info(out, "backend", f"{name} reports {text}.")
