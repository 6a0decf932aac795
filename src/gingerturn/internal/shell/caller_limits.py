"""Limits of callers' requests and connections."""

import collections.abc
import typing

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.shell import caller_requests, clock, supervision

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import ingress, node as nodes

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

    :return: their number.
    """
    idle = [c for c in node.caller_connections if c.idle and not c.closing]
    closed = _oldest(idle, lambda c: c.idle_since, IDLE_BEFORE_CLOSE_MS)
    for connection in closed:
        connection.close(NO_DESCRIPTORS_CAUSE)
    return len(closed)


def give_up_stalled(node: "nodes.Node") -> int:
    """Give up the connections whose callers have made no progress for longest, to free
    their descriptors.

    :return: their number.
    """
    stalled = [c for c in node.caller_connections if c.may_be_given_up]
    given_up = _oldest(stalled, lambda c: c.held_since, STALLED_BEFORE_CLOSE_MS)
    for connection in given_up:
        connection.give_up(NO_DESCRIPTORS_CAUSE)
    return len(given_up)


def _oldest(
    connections: "collections.abc.Iterable[ingress.CallerConnection]",
    since: "collections.abc.Callable[[ingress.CallerConnection], ids.Milliseconds]",
    age_ms: ids.Milliseconds,
) -> "list[ingress.CallerConnection]":
    """Return the connections in a state for longest, at least for a time.

    One with unread input is none: its caller has made progress.

    :param since: returns when a connection got into its state.
    """
    before = clock.now() - age_ms
    found = sorted((c for c in connections if since(c) < before), key=since)
    return [c for c in found[:MAX_CLOSED_AT_ONCE] if not c.has_unread_input]
