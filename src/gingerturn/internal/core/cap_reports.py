"""Log lines about the use of caps, at most one of each in a second."""

from gingerturn.internal.core import operator_log, state as states

REPORT_INTERVAL_MS = 1_000.0
"""Interval between log lines about caps."""

MIN_REPORTED_DEMANDS = 200
"""Workspaces named in requests, from which on their number is logged."""


def write(state: states.State, out: states.Effects) -> None:
    """Log how busy this node is as the allocator, and refusals without its answer."""
    caps = state.caps
    if state.now - caps.reported.at < REPORT_INTERVAL_MS:
        return
    allocator = state.cap_allocator
    unanswered = sum(usage.refused_unanswered for usage in caps.usage.values())
    now = states.CapReport(
        at=state.now,
        requests_answered=allocator.requests_answered,
        demands_answered=allocator.demands_answered,
        refused_unanswered=unanswered,
    )
    before, caps.reported = caps.reported, now
    seconds = (now.at - before.at) / 1_000.0
    demands = now.demands_answered - before.demands_answered
    if before.at and demands >= MIN_REPORTED_DEMANDS:
        requests = now.requests_answered - before.requests_answered
        text = (
            f"Answered {requests} requests about {demands} workspaces of"
            f" {len(allocator.delegations)} nodes in {seconds:.1f} s."
        )
        operator_log.info(out, "caps", text)
    if unanswered > before.refused_unanswered:
        silent_ms = state.now - max(caps.answered_at, state.started_at)
        text = (
            f"Refused {unanswered - before.refused_unanswered} calls without an answer"
            f" of cap allocator {caps.allocator}, which last answered"
            f" {silent_ms:.0f} ms ago."
        )
        operator_log.warn(out, "caps", text)
