"""What a backend server reports of itself in its answers.

The node beside it applies a report at once. Load reports carry it to the entry nodes,
and these return it with their calls: a home node that has restarted knows of it again
before it dispatches one of them.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import (
    events,
    instances,
    messages,
    operator_log,
    rate_limits,
    state as states,
    upstreams,
)

LOG_INTERVAL_MS = 1_000.0
"""Minimum time between two log lines about a limit that changes."""


def expects_report(state: states.State) -> bool:
    """Whether an answer that reports nothing changes what is known: it may end a limit,
    and the first one of an instance goes before what entry nodes know."""
    limiter = state.backend.limiter
    return limiter.limited or not limiter.observed


def on_reported(
    state: states.State, event: events.BackendReported, out: states.Effects
) -> None:
    """Apply a report in the head of an answer."""
    hosted = state.hosted.get(event.hosted)
    if hosted is None or hosted.instance != state.backend.instance:
        return
    state.backend.limiter.observed = True
    _apply_limit(state, event.rate_limit, out)


def on_known_status(
    state: states.State, status: messages.BackendStatus, out: states.Effects
) -> None:
    """Apply the limit that an entry node knows, unless an answer arrived here since the
    start of this node."""
    backend = state.backend
    started_ms = status.started_ms
    if status.instance != backend.instance or instances.is_of_earlier_start(
        backend, status.instance, started_ms
    ):
        return
    if status.rate_limit >= 0.0 and not backend.limiter.observed:
        _apply_limit(state, status.rate_limit, out)


def record_status(
    state: states.State,
    node: ids.NodeId,
    status: messages.BackendStatus | None,
    *,
    answered: bool,
) -> None:
    """Record the status of an upstream from its load report.

    :param answered: the report came with an answer of the backend server. Only then
        does a report without a status end the known one.
    """
    upstream = upstreams.upstream_of(state, node)
    if status is not None or answered:
        upstream.status = status


def _apply_limit(
    state: states.State, limit: ids.RequestsPerSecond, out: states.Effects
) -> None:
    limiter = state.backend.limiter
    rate_limits.report(limiter, limit, state.now)
    _log_limit(state, rate_limits.limit_in_force(limiter, state.now), out)


def _log_limit(
    state: states.State, limit: ids.RequestsPerSecond, out: states.Effects
) -> None:
    """Log a limit that changed; a change within the interval is logged later."""
    backend = state.backend
    if limit == backend.logged_limit:
        return
    if state.now - backend.limit_logged_at < LOG_INTERVAL_MS:
        return
    backend.logged_limit = limit
    backend.limit_logged_at = state.now
    text = f"a rate limit of {limit:g} requests a second"
    if limit < 0.0:
        text = "no rate limit any more"
    name = f"{backend.service} {backend.instance}"
    operator_log.info(out, "backend", f"{name} reports {text}.")
