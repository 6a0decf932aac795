"""Limits of callers' requests and connections."""

import typing

from gingerturn import routes
from gingerturn.internal import ids

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes

CHECK_INTERVAL_MS = 250.0
"""Interval between checks of all connections, which avoid a timer per connection."""


def effective(node: "nodes.Node") -> routes.RequestLimits:
    """Return the limits of the current route table; without one, of the settings."""
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


def check_connections(node: "nodes.Node", now: ids.Milliseconds) -> None:
    """Close the connections that exceed a timeout."""
    for connection in list(node.caller_connections):
        connection.check_timeout(now)
