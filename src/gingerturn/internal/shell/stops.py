"""The end of a planned stop, after its linger time."""

import asyncio
import typing

from gingerturn.internal import logs
from gingerturn.internal.shell import clock, ingress, open_work

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes

CHECK_INTERVAL_S = 0.02
"""Interval between checks for open work at the end of a stop."""

IDLE_CHECKS = 2
"""Checks in a row without open work after which a stop ends. What arrived between them
is read, and so answered, before connections are closed."""


async def run(node: "nodes.Node") -> None:
    """Wait for the end of a node's planned stop.

    It ends once the core has stopped and there is no open work. Requests that are not
    dispatched at the end of the grace are refused.
    """
    await node.stopped.wait()
    server = node.callers_server
    idle_checks = 0
    has_refused = False
    while True:
        if not has_refused and clock.now() >= node.state.stop_by:
            has_refused = True
            for connection in list(node.caller_connections):
                _dispatch_all(connection)
        is_accepting = server is not None and not server.close_when_empty()
        has_work = is_accepting or _has_work(node)
        idle_checks = 0 if has_work else idle_checks + 1
        if idle_checks == IDLE_CHECKS:
            return
        await asyncio.sleep(CHECK_INTERVAL_S)


def _dispatch_all(connection: ingress.CallerConnection) -> None:
    """Dispatch every request of a connection; an error ends this one alone."""
    try:
        connection.dispatch_all()
    except Exception as error:
        logs.write("ERROR", "node", f"Request not dispatched at a stop: {error!r}.")
        connection.close("an error of this node")


def _has_work(node: "nodes.Node") -> bool:
    """Whether there is open work, or input of a caller that was not read yet.

    Until the end of the grace, so are callers that still send after their answer, which
    a reset would discard.
    """
    if next(open_work.items(node), None) is not None:
        return True
    may_linger = clock.now() < node.state.stop_by
    return any(
        may_linger and connection.owes_answer
        if connection.closing
        else connection.has_unread_input
        for connection in node.caller_connections
    )
