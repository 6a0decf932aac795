"""The time that planned stops leave for calls.

A call that usually takes longer than is left would be cut by the end of the process. It
is refused, as not run, before it starts, and served by another node.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import run_times, state as states


def left_ms(state: states.State) -> ids.Milliseconds:
    """Return how long calls that start now may last; infinite without a planned stop
    whose end is known."""
    return state.stop_by - state.now


def has_room(
    state: states.State,
    times: run_times.RunTimes,
    kind: str,
    *,
    wait: ids.Milliseconds = 0.0,
) -> bool:
    """Whether a call usually ends before the end of a planned stop of this node.

    A call of a kind whose time is not known counts as short.

    :param wait: how long it is expected to wait before it starts.
    """
    if not state.stopping:
        return True
    return wait + run_times.usual_ms(times, kind) <= left_ms(state)


def figures(
    state: states.State, times: run_times.RunTimes, kind: str
) -> tuple[float, ...]:
    """Return the figures of a refusal."""
    return (left_ms(state), run_times.usual_ms(times, kind))


def preferred(
    state: states.State, kind: str, nodes: list[ids.NodeId]
) -> list[ids.NodeId]:
    """Return the upstreams that do not stop, or whose stop leaves time for a call.

    A call of a kind whose time is not known may last longer than that.
    """
    stopping = state.membership.stopping
    if not stopping:
        return nodes
    members = state.membership.members
    usual = run_times.usual_ms(state.relayed_times, kind)
    found = [
        node
        for node in nodes
        if node not in stopping or 0.0 < usual <= members[node].room_ms
    ]
    return nodes if len(found) == len(nodes) else found
