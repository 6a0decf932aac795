"""Calls that come before this node knows who offers their service.

After all nodes were restarted each learns of the upstreams with their next heartbeats,
a second or so later. A call of a backend server that is refused until then fails the
whole request, whose work is lost; so for a moment such calls wait.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import state as states

STARTUP_MS = 3_000.0
"""From the start of a node: two heartbeats of a backend server, at the 1.5 s of today's
deployments."""

DEEP_WAIT_MS = 1_000.0
"""Most of that time is over by the next heartbeat, and little is left of most deadlines
after more."""

ROOT_WAIT_MS = 300.0
"""A whole request, for which nothing has been done yet, waits as long as nodes that
were all restarted take to know one another: 0.2 to 0.3 s from the first that
is ready, measured in their logs. It is refused then, with the time to come back."""


def is_starting_up(state: states.State) -> bool:
    """Tell whether this node started so lately that it may not know all upstreams."""
    return state.now < state.started_at + STARTUP_MS and not state.stopping


def enqueue(state: states.State, call: states.Call) -> bool:
    """Let a call wait for the first upstream of its service.

    :return: whether it waits; otherwise there is no use in it.
    """
    if not is_starting_up(state):
        return False
    deep = call.depth > 0
    most = DEEP_WAIT_MS if deep else ROOT_WAIT_MS
    until = call.arrived_at + most
    if until <= state.now:
        return False
    state.waiting_calls[call.id] = until
    return True


def take_due(
    state: states.State, available: set[ids.ServiceName]
) -> tuple[list[states.Call], list[states.Call]]:
    """Take out the calls that wait no longer.

    :param placeable: services of which an upstream is known.
    :return: those that can be sent, and those that have waited long enough.
    """
    ready: list[states.Call] = []
    over: list[states.Call] = []
    for number, until in list(state.waiting_calls.items()):
        call = state.calls.get(number)
        if call is None:
            del state.waiting_calls[number]
        elif call.service in available:
            ready.append(call)
            del state.waiting_calls[number]
        elif state.now >= until:
            over.append(call)
            del state.waiting_calls[number]
    return ready, over
