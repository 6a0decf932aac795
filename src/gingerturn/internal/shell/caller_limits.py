"""Bounds on what callers send, and on how long their connections may take."""

import typing

from gingerturn import routes
from gingerturn.internal import ids

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes

CHECK_MS = 250.0
"""How often connections are looked at. Bounds on time are seconds long, so a quarter of
a second more does no harm, and a timer for each connection would cost more."""


def in_force(node: "nodes.Node") -> routes.RequestLimits:
    """Return the bounds of the route table in force; those of the settings without."""
    index = node.state.routes
    if index is not None:
        return index.table.limits
    limits = node.settings.limits
    return routes.RequestLimits(
        head_bytes=limits.head_bytes,
        body_bytes=limits.body_bytes,
        head_timeout_ms=limits.head_timeout_ms,
        idle_timeout_ms=limits.idle_timeout_ms,
    )


def check_times(node: "nodes.Node", now: ids.Milliseconds) -> None:
    """End the connections that take too long."""
    for connection in list(node.caller_connections):
        connection.check_time(now)
