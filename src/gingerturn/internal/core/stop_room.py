"""The time that planned stops leave for calls.

A call that usually takes longer than is left would be cut by the end of the process. It
is refused, as not run, before it starts, and served by another node.
"""

import collections.abc

from gingerturn.internal import ids
from gingerturn.internal.core import run_times, state as states


def left_ms(state: states.State) -> ids.Milliseconds:
    """Return how long calls that start now may last; infinite without a planned stop
    whose end is known."""
    return state.stop_by - state.now


def expected_ms(
    times: run_times.RunTimes,
    kind: str,
    *,
    repeatable: bool,
    limit: ids.Milliseconds,
    assumed: ids.Milliseconds,
    ages: collections.abc.Iterable[ids.Milliseconds],
) -> ids.Milliseconds:
    """Return the time that a call is expected to take, with which the time left is
    compared.

    Nobody knows of an unrepeatable call that is cut whether it ran, so nearly all calls
    of its kind have to end in time. The time of the kind is not known, either, while an
    open call lasts longer than that: the kind has become slow.

    :param limit: the longest time that the call may take.
    :param assumed: the time that counts where that of its kind is not known.
    :param ages: of the open calls of its kind.
    """
    if repeatable:
        return run_times.usual_ms(times, kind) or assumed
    nearly_all = run_times.usual_ms(times, kind, share=run_times.NEARLY_ALL)
    oldest = max(ages, default=0.0)
    if nearly_all and oldest <= nearly_all:
        return min(limit, nearly_all)
    return min(limit, max(assumed, nearly_all, oldest))


def assumed_ms(*, repeatable: bool, limit: ids.Milliseconds) -> ids.Milliseconds:
    """Return the time that counts for a call that other nodes can serve, where the time
    of its kind is not known.

    A repeatable call that is cut can be sent again, so it counts as short. Another one
    counts as taking as long as it may.
    """
    return 0.0 if repeatable else limit


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
