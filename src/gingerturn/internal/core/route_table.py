"""The route table in force: whole, by version, never back."""

import typing

import msgspec

from gingerturn import configuration, errors, routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    decisions,
    effects,
    events,
    operator_log,
    slot_costs,
    state as states,
    workspaces,
)

FETCH_EVERY_MS = 300.0
"""Pause between two questions to peers for a later table: an answer takes a few
milliseconds, so a lost one is asked for again well within the two seconds in which
operators expect a change to be in force."""

_PART = "routes"


class Resolved(msgspec.Struct, frozen=True, gc=False):
    """By which rule a request is treated, and in whose name it runs."""

    rule: configuration.KindRule
    workspace: ids.WorkspaceName


def put(state: states.State, table: routes.RouteTable, out: states.Effects) -> bool:
    """Put a table in force if it is later than the present one.

    A table that is not allowed changes nothing: the one before stays in force.

    :return: whether it is in force now.
    """
    present = 0 if state.routes is None else state.routes.version
    if table.version <= present:
        return False
    try:
        routes.check_table(table, origin=f"version {table.version}")
    except errors.InvalidDocument as error:
        operator_log.warn(out, _PART, f"Table refused: {error}.")
        return False
    state.routes = routes.RouteIndex(table)
    names = {route.name for route in table.routes}
    by_kind: tuple[dict[str, typing.Any], ...] = (
        state.split_credits,
        state.traffic,
        state.mean_answer_ms,
        *slot_costs.by_kind(state.costs),
    )
    for known in by_kind:
        for name in [name for name in known if name not in names]:
            del known[name]
    for service, kind in list(state.levels):
        if kind and kind not in names:
            del state.levels[(service, kind)]
    text = f"Version {table.version} is in force, {len(table.routes)} routes."
    operator_log.info(out, _PART, text)
    return True


def on_peer_version(
    state: states.State, node: ids.NodeId, version: int, out: states.Effects
) -> None:
    """Fetch the table from a peer that has a later one."""
    state.highest_routes_version = max(state.highest_routes_version, version)
    present = 0 if state.routes is None else state.routes.version
    if version <= present or state.now - state.routes_fetched_at < FETCH_EVERY_MS:
        return
    member = state.membership.members.get(node)
    if member is None:
        return
    state.routes_fetched_at = state.now
    out.append(effects.FetchRoutes(node=node, host=member.host, port=member.peers_port))


def resolve(
    state: states.State, event: events.CallArrived, parent: states.Hosted | None
) -> Resolved | decisions.Rule:
    """Return the rule for a request and whose it is, or why it has none.

    :param parent: the request that runs here which it is part of, if any.
    """
    index = state.routes
    if index is None:
        return decisions.Rule.NO_CONFIGURATION
    route = index.match(event.service, event.path)
    if route is None:
        return decisions.Rule.NO_ROUTE
    name = ids.WorkspaceName("")
    workspace = None
    if parent is None:
        found = workspaces.of_request(state, event, route)
        if isinstance(found, decisions.Rule):
            return found
        workspace = found
        name = ids.WorkspaceName("" if found is None else found.name)
    elif index.needs_keys and not route.public:
        name = parent.metadata.workspace
    rule = index.rule(route, _service(state, route), workspace)
    return Resolved(rule=rule, workspace=name)


def _service(state: states.State, route: routes.Route) -> str:
    """Return whose turn it is by weight (smooth weighted round robin).

    Drawing at random instead strays from the weights by several parts in a hundred
    over some hundred requests; taking turns keeps them to a single request.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    turns = state.split_credits.setdefault(route.name, {})
    total = sum(share.weight for share in route.shares)
    for share in route.shares:
        if share.service not in turns:
            # A random start, so that nodes that start together do not send the
            # same requests of a rare route to the same service.
            turns[share.service] = share.weight * state.random.random()
        turns[share.service] += share.weight
    weighted = [share for share in route.shares if share.weight > 0]
    chosen = max(weighted, key=lambda share: turns[share.service]).service
    turns[chosen] -= total
    return chosen
