"""Calls that wait, shortly after a start, for the first upstream of their service.

After a restart of all nodes, upstreams become known only with their next heartbeats. A
call refused before that fails the whole request that it belongs to.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import state as states

STARTUP_MS = 3_000.0
"""Time after the start of a node in which calls may wait: two heartbeats of a backend
server at 1.5 s each."""

DEEP_WAIT_MS = 1_000.0
"""Maximum wait of a call below a root. Most upstreams are known by then, and a longer
wait would leave little time before most deadlines."""

ROOT_WAIT_MS = 300.0
"""Maximum wait of a root, which has done no work yet and can be refused with a retry
delay. Nodes that are restarted together discover one another within this time."""


def is_starting_up(state: states.State) -> bool:
    """Whether this node started so recently that it may not know all upstreams."""
    return state.now < state.started_at + STARTUP_MS and not state.stopping


def enqueue(state: states.State, call: states.Call) -> bool:
    """Let a call wait for the first upstream of its service.

    :return: whether it waits; otherwise it should be refused at once.
    """
    if not is_starting_up(state):
        return False
    deep = call.depth > 0
    max_wait = DEEP_WAIT_MS if deep else ROOT_WAIT_MS
    until = call.arrived_at + max_wait
    if until <= state.now:
        return False
    state.waiting_calls[call.id] = until
    return True


def take_due(
    state: states.State, available: set[ids.ServiceName]
) -> tuple[list[states.Call], list[states.Call]]:
    """Remove the calls that need not or may not wait any longer.

    :param available: services of which an upstream is known.
    :return: calls that can be sent, and calls that exceeded their maximum wait.
    """
    ready: list[states.Call] = []
    expired: list[states.Call] = []
    for call_id, until in list(state.waiting_calls.items()):
        call = state.calls.get(call_id)
        if call is None:
            del state.waiting_calls[call_id]
        elif call.service in available:
            ready.append(call)
            del state.waiting_calls[call_id]
        elif state.now >= until:
            expired.append(call)
            del state.waiting_calls[call_id]
    return ready, expired
