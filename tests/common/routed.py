"""Builders for nodes with a route table in force."""

import msgspec

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    allowance,
    effects,
    events,
    messages,
    reducer,
    startup_waits,
    state as states,
)
from tests.common import builders


def route(
    name: str = "lookup",
    *,
    host: str = "shop.example",
    prefix: str = "/a/",
    kind: routes.RouteType = routes.RouteType.SAFE,
    shares: tuple[tuple[str, int], ...] = (("plans", 1),),
    priority: int = 2,
    max_attempts: int = 2,
    timeout_ms: int = 1_000,
) -> routes.Route:
    """Return a route."""
    return routes.Route(
        name=name,
        host=host,
        path_prefix=prefix,
        type=kind,
        timeout_ms=timeout_ms,
        target_ms=500,
        priority=priority,
        max_attempts=max_attempts,
        shares=tuple(routes.Share(service, weight) for service, weight in shares),
    )


def table(*listed: routes.Route, version: int = 1) -> routes.RouteTable:
    """Return a table of routes."""
    return routes.RouteTable(version=version, routes=listed or (route(),))


def started(
    name: str = "n1", *, retry_bound: allowance.Bound | None = None
) -> events.Started:
    """Return the start event of a node with a route table."""
    return msgspec.structs.replace(
        builders.started(name),
        routed=True,
        keyed_log=True,
        lineage=True,
        retry_bound=retry_bound,
    )


def node_state(
    *listed: routes.Route,
    name: str = "n1",
    service: str = "",
    slots: int = 4,
    retry_bound: allowance.Bound | None = None,
) -> states.State:
    """Return a node with a route table in force and its startup period over."""
    start = started(name, retry_bound=retry_bound)
    state = reducer.new_state(start)
    reducer.reduce(state, start)
    state.started_at = start.now - startup_waits.STARTUP_MS
    reducer.reduce(state, events.RoutesReceived(now=start.now, table=table(*listed)))
    if service:
        reducer.reduce(state, announced(service, slots=slots))
    return state


def announced(
    service: str = "plans",
    *,
    slots: int = 4,
    instance: str = "i-1",
    sequence: int = 1,
    now: float = builders.START,
) -> events.BackendAnnounced:
    """Return an announcement with instance and sequence."""
    return events.BackendAnnounced(
        now=now,
        service=ids.ServiceName(service),
        host="127.0.0.1",
        port=9100,
        slots=slots,
        connections=0,
        ttl_ms=10_000,
        instance=instance,
        sequence=sequence,
    )


def arrived(
    call: int,
    *,
    host: str = "shop.example",
    path: str = "/a/x",
    request: str = "",
    now: float = builders.START,
    timeout_ms: float = 5_000,
) -> events.CallArrived:
    """Return the arrival of a request by host and path.

    :param request: id of the request; the part before its last dot names its parent.
    """
    request_id = request or f"r{call}"
    return events.CallArrived(
        now=now,
        call=ids.CallId(call),
        service=ids.ServiceName(host),
        method="GET",
        path=path,
        trace=request_id,
        span=ids.SpanId(request_id.rpartition(".")[0] or request_id),
        timeout_ms=timeout_ms,
    )


def refused(
    attempt: int,
    *,
    rule: int,
    reached_backend: bool = False,
    had_free_slots: bool = False,
    outcome: messages.Outcome = messages.Outcome.NOT_RUN,
    now: float = builders.START,
) -> events.AttemptRefused:
    """Return a home node's refusal of an attempt."""
    return events.AttemptRefused(
        now=now,
        attempt=ids.AttemptId(attempt),
        refusal=messages.Refusal(
            rule=rule,
            outcome=outcome,
            retry_after_ms=500.0,
            decision="",
            reached_backend=reached_backend,
            had_free_slots=had_free_slots,
        ),
        tokens=0,
        report=builders.report(),
    )


def sent_to(out: list[effects.Effect]) -> effects.OpenAttempt:
    """Return the only attempt that was opened."""
    return builders.only(out, effects.OpenAttempt)
