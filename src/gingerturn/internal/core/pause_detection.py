"""Detection of process pauses, for example by SIGSTOP or a suspended machine.

Messages that arrived during a pause are unread or lost, so the silence of other nodes
is no evidence. Timeouts for them restart, while the deadlines of callers keep running.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import operator_log, state as states

PAUSE_THRESHOLD_MS = 500.0
"""A longer interval between ticks is a pause. Ticks are due every 100 ms, and the
shortest timeout that restarts is 700 ms."""


def check(
    state: states.State, now: ids.Milliseconds, out: states.Effects
) -> ids.Milliseconds:
    """Restart the timeouts for other nodes after a pause.

    :return: the length of the pause in ms; 0 without one.
    """
    elapsed = now - state.last_tick_at if state.last_tick_at else 0.0
    state.last_tick_at = now
    if elapsed < PAUSE_THRESHOLD_MS:
        return 0.0
    membership = state.membership
    for probe in membership.probes.values():
        probe.timeout_base = now
    for node in membership.suspected:
        membership.suspected[node] = now
    # Heartbeats of the backend server were not received either.
    state.backend.expires_at += elapsed
    operator_log.warn(out, "node", f"Process was paused for {elapsed:.0f} ms.")
    return elapsed
