"""A node that stood still: its process was stopped, or its machine suspended.

What others said meanwhile lies unread in its sockets, or was lost; either way their
silence proves nothing. So waits for others begin anew, while deadlines of callers,
who did not stand still, have passed.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import operator_log, state as states

STOOD_STILL_MS = 500.0
"""Ticks are due each 100 ms at the latest. One that comes later by several of them was
held up; no wait for others that begins anew is shorter than 700 ms."""


def check(
    state: states.State, now: ids.Milliseconds, out: states.Effects
) -> ids.Milliseconds:
    """Let waits for others begin anew after a standstill.

    :return: how long it was; 0 where there was none.
    """
    elapsed = now - state.last_tick_at if state.last_tick_at else 0.0
    state.last_tick_at = now
    if elapsed < STOOD_STILL_MS:
        return 0.0
    membership = state.membership
    for probed in membership.probes.values():
        probed.timeout_base = now
    for node in membership.suspected:
        membership.suspected[node] = now
    # The backend server beside it could not be heard either.
    state.backend.expires_at += elapsed
    operator_log.warn(out, "node", f"This node stood still for {elapsed:.0f} ms.")
    return elapsed
