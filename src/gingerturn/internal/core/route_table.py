"""Activation of route tables and resolution of requests against the active one."""

import typing

import msgspec

from gingerturn import configuration, errors, routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    decisions,
    effects,
    events,
    freshness,
    operator_log,
    slot_costs,
    state as states,
    workspaces,
)

FETCH_INTERVAL_MS = 300.0
"""Interval between two fetches of a later table, so that a lost answer is repeated well
within the two seconds in which a change must be active."""

_PART = "routes"


class Resolved(msgspec.Struct, frozen=True, gc=False):
    """The rule that applies to a request, and its workspace."""

    rule: configuration.KindRule
    workspace: ids.WorkspaceName


def activate(
    state: states.State,
    table: routes.RouteTable,
    out: states.Effects,
    *,
    source: str = "the log",
) -> bool:
    """Activate a table if it is later than the active one.

    An invalid table is refused as a whole, and the active one stays.

    :param source: origin of the table, for the log.
    :return: whether the table was activated.
    """
    active_version = 0 if state.routes is None else state.routes.version
    if table.version <= active_version:
        return False
    try:
        routes.check_table(table, origin=f"version {table.version}")
    except errors.InvalidDocument as error:
        operator_log.warn(out, _PART, f"Route table refused: {error}.")
        return False
    state.routes = routes.RouteIndex(table)
    names = {route.name for route in table.routes}
    by_kind: tuple[dict[str, typing.Any], ...] = (
        state.split_credits,
        state.traffic,
        state.mean_answer_ms,
        state.hosted_times.kinds,
        state.relayed_times.kinds,
        *slot_costs.by_kind(state.costs),
    )
    for values in by_kind:
        for name in [name for name in values if name not in names]:
            del values[name]
    for service, kind in list(state.levels):
        if kind and kind not in names:
            del state.levels[(service, kind)]
    text = (
        f"Route table {table.version} is active, {len(table.routes)} routes; source:"
        f" {source}{_heard_before(state, table.version)}."
    )
    operator_log.info(out, _PART, text)
    return True


def _heard_before(state: states.State, version: int) -> str:
    """Return how long a version was known of before it was received, for the log."""
    if not 0 < version <= state.highest_routes_version:
        return ""
    waited_ms = state.now - state.routes_announced_at
    return f"; version {state.highest_routes_version} known for {waited_ms:.0f} ms"


def on_peer_version(
    state: states.State, node: ids.NodeId, version: int, out: states.Effects
) -> None:
    """Fetch the table from a peer that advertises a later version."""
    if version > state.highest_routes_version:
        state.highest_routes_version = version
        state.routes_announced_at = state.now
        # The log answers some nodes, so it may answer this one again.
        freshness.retry_reads(state)
    active_version = 0 if state.routes is None else state.routes.version
    if (
        version <= active_version
        or state.now - state.routes_fetched_at < FETCH_INTERVAL_MS
    ):
        return
    member = state.membership.members.get(node)
    if member is None:
        return
    state.routes_fetched_at = state.now
    out.append(effects.FetchRoutes(node=node, host=member.host, port=member.peers_port))


def resolve(
    state: states.State, event: events.CallArrived, parent: states.Hosted | None
) -> Resolved | decisions.Rule:
    """Return the rule and workspace of a request, or the rule that refuses it.

    :param parent: the running request that it is part of, if any.
    """
    index = state.routes
    if index is None:
        return decisions.Rule.NO_CONFIGURATION
    route = index.match(event.service, event.path)
    if route is None:
        return (
            decisions.Rule.ROUTE_UNSETTLED
            if _may_be_outdated(state, index)
            else decisions.Rule.NO_ROUTE
        )
    name = ids.WorkspaceName("")
    workspace = None
    if parent is None:
        identified = workspaces.of_request(state, event, route)
        if isinstance(identified, decisions.Rule):
            return identified
        workspace = identified
        name = ids.WorkspaceName("" if identified is None else identified.name)
    elif index.needs_keys and not route.public:
        name = parent.metadata.workspace
    rule = index.rule(route, _choose_service(state, route), workspace)
    return Resolved(rule=rule, workspace=name)


def decision_figures(state: states.State) -> tuple[float, ...]:
    """Return the figures of a refusal by :attr:`.decisions.Rule.ROUTE_UNSETTLED`."""
    return (
        float(state.version),
        float(state.highest_routes_version),
        freshness.read_age(state),
        state.freshness.apply_ms,
    )


def _may_be_outdated(state: states.State, index: routes.RouteIndex) -> bool:
    """Whether a later table may be active elsewhere, so that callers must not be told
    for good that a route does not exist."""
    if state.highest_routes_version > index.version:
        return True
    bound = state.freshness.apply_ms
    return bound > 0.0 and freshness.read_age(state) > bound


def _choose_service(state: states.State, route: routes.Route) -> str:
    """Return the next service of a split by smooth weighted round robin.

    Unlike a random draw it keeps to the weights within a single request.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    credits = state.split_credits.setdefault(route.name, {})
    total = sum(share.weight for share in route.shares)
    for share in route.shares:
        if share.service not in credits:
            # A random offset, so that nodes which start together do not all choose the
            # same service first.
            credits[share.service] = share.weight * state.random.random()
        credits[share.service] += share.weight
    weighted = [share for share in route.shares if share.weight > 0]
    chosen = max(weighted, key=lambda share: credits[share.service]).service
    credits[chosen] -= total
    return chosen
