"""Builders for nodes whose callers authenticate with API keys."""

import msgspec

from gingerturn import routes
from gingerturn.internal.core import (
    events,
    messages,
    reducer,
    state as states,
    streams,
)
from tests.common import builders, routed

REVOKE_MS = 5_000.0
"""Time within which a revoked key must be refused, in ms."""


def workspace(
    name: str = "shop",
    *keys: str,
    priority: int | None = None,
    rate: float = 0.0,
    burst: float = 0.0,
) -> routes.Workspace:
    """Return a workspace; its only key is its name unless keys are given."""
    return routes.workspace(
        name, keys or (name,), priority=priority, rate=rate, burst=burst
    )


def table(
    *workspaces: routes.Workspace,
    version: int = 1,
    listed: tuple[routes.Route, ...] = (),
) -> routes.RouteTable:
    """Return a table of routes and workspaces."""
    return routes.RouteTable(
        version=version,
        routes=listed or (routed.route(),),
        workspaces=workspaces or (workspace(),),
    )


def node_state(
    *workspaces: routes.Workspace,
    name: str = "n1",
    listed: tuple[routes.Route, ...] = (),
    revoke_ms: float = 0.0,
    upstream: bool = True,
) -> states.State:
    """Return a node with a table of workspaces in force that was just verified."""
    start = msgspec.structs.replace(routed.started(name), revoke_ms=revoke_ms)
    state = reducer.new_state(start)
    reducer.reduce(state, start)
    state.started_at = start.now - 10_000.0
    record = table(*workspaces, listed=listed)
    prove(state, record)
    if upstream:
        builders.add_members(state, builders.member("home", "plans"))
    return state


def prove(
    state: states.State,
    *tables: routes.RouteTable,
    requested_at: float | None = None,
) -> None:
    """Deliver a base read of the route stream to a node."""
    reducer.reduce(
        state,
        events.NewestRead(
            now=state.now,
            stream=streams.ROUTES,
            records=tuple(messages.encode_record(table) for table in tables),
            end=1,
            requested_at=state.now if requested_at is None else requested_at,
        ),
    )


def arrived(
    call: int,
    key: str = "shop",
    *,
    path: str = "/a/x",
    request: str = "",
    now: float = builders.START,
) -> events.CallArrived:
    """Return the arrival of a request; an empty key sends none."""
    event = routed.arrived(call, path=path, request=request, now=now)
    digest = routes.key_digest(key.encode()) if key else ""
    return msgspec.structs.replace(event, key_digest=digest)
