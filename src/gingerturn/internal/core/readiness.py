"""Readiness of a node to serve callers."""

from gingerturn.internal.core import state as states


def is_ready(state: states.State) -> bool:
    """Whether new callers may be sent to this node."""
    if state.stopping:
        return False
    if state.routed and state.routes is None:
        return False
    return state.membership.members_listed or not state.keyed_log
