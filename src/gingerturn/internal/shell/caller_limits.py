"""Limits of callers' requests and connections."""

import typing

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.shell import caller_requests, clock, supervision

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes

CHECK_INTERVAL_MS = 250.0
"""Interval between checks of all connections, which avoid a timer per connection."""

IDLE_BEFORE_CLOSE_MS = 100.0
"""Time for which a connection is idle before it is closed for a new one."""

STALLED_BEFORE_CLOSE_MS = 1_000.0
"""Time without progress after which a connection that waits for its caller, to send or
to read, is closed for a new one."""

NO_DESCRIPTORS_CAUSE = "no file descriptors left"
"""Cause of a connection's close, for the log."""

MAX_CLOSED_AT_ONCE = 64


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


def body_timeout(
    node: "nodes.Node", request: caller_requests.Request
) -> ids.Milliseconds:
    """Return the time from the first byte of a request to the last one of its body:
    for as long as its caller waits for the answer, if it says so."""
    stated = caller_requests.number_header(request, node.dialect.timeout)
    limit = float(node.settings.limits.body_timeout_ms)
    return min(stated, limit) if stated else limit


def check_connections(node: "nodes.Node", now: ids.Milliseconds) -> None:
    """Close the connections that exceed a timeout."""
    for connection in list(node.caller_connections):
        with supervision.contained("ingress"):
            connection.check_timeout(now)


def close_idlest(node: "nodes.Node") -> int:
    """Close the connections that have been idle longest, to free their descriptors.

    One with unread input is not idle: its next request has arrived.

    :return: their number.
    """
    idle_before = clock.now() - IDLE_BEFORE_CLOSE_MS
    idle = sorted(
        (
            c
            for c in node.caller_connections
            if c.idle and not c.closing and c.idle_since < idle_before
        ),
        key=lambda c: c.idle_since,
    )
    closed = [c for c in idle[:MAX_CLOSED_AT_ONCE] if not c.has_unread_input]
    for connection in closed:
        connection.close(NO_DESCRIPTORS_CAUSE)
    return len(closed)


def give_up_stalled(node: "nodes.Node") -> int:
    """Give up the connections whose callers have made no progress for longest, to free
    their descriptors.

    :return: their number.
    """
    since_before = clock.now() - STALLED_BEFORE_CLOSE_MS
    stalled = sorted(
        (
            c
            for c in node.caller_connections
            if c.may_be_given_up and c.held_since < since_before
        ),
        key=lambda c: c.held_since,
    )
    given_up = [c for c in stalled[:MAX_CLOSED_AT_ONCE] if not c.has_unread_input]
    for connection in given_up:
        connection.give_up(NO_DESCRIPTORS_CAUSE)
    return len(given_up)
