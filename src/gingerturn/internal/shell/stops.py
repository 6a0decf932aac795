"""The end of a planned stop, after its linger time."""

import asyncio
import os
import socket
import typing

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
    await close_callers_door(node)
    idle_checks = 0
    has_refused = False
    while True:
        if not has_refused and clock.now() >= node.state.stop_by:
            has_refused = True
            for connection in list(node.caller_connections):
                connection.dispatch_all()
        has_work = next(open_work.items(node), None) is not None
        idle_checks = 0 if has_work else idle_checks + 1
        if idle_checks == IDLE_CHECKS:
            return
        await asyncio.sleep(CHECK_INTERVAL_S)


async def close_callers_door(node: "nodes.Node") -> None:
    """Let the kernel refuse further connections of callers.

    The connections that the kernel has accepted would be reset together with the
    listening socket, so they are taken over first.
    """
    server = node.callers_server
    if server is None:
        return
    accepted: list[socket.socket] = []
    for listening in server.sockets:
        with socket.socket(fileno=os.dup(listening.fileno())) as duplicate:
            duplicate.setblocking(False)
            accepted += _accept_all(duplicate)
    server.close()
    loop = asyncio.get_running_loop()
    for connection in accepted:
        await loop.connect_accepted_socket(
            lambda: ingress.CallerConnection(node), connection
        )


def _accept_all(listening: socket.socket) -> list[socket.socket]:
    accepted: list[socket.socket] = []
    while True:
        try:
            connection, _ = listening.accept()
        except ConnectionAbortedError:
            continue
        except OSError:
            return accepted
        connection.setblocking(False)
        accepted.append(connection)
