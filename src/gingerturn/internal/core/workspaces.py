"""Authentication of requests by API key, at the entry node.

The key is not forwarded; other nodes receive the name of the workspace. Calls that
backend servers make for a running request carry no key and inherit its workspace, even
if its key has been revoked meanwhile.
"""

from gingerturn import routes
from gingerturn.internal.core import (
    decisions,
    events,
    freshness,
    state as states,
)

RETRY_DELAY_MS = 500.0
"""Retry delay for callers whose route or key may be in a later route table. It leaves
time for a second attempt to fetch that table."""

_RETRIED_RULES = frozenset(
    {
        decisions.Rule.KEYS_STALE,
        decisions.Rule.KEY_UNSETTLED,
        decisions.Rule.ROUTE_UNSETTLED,
    }
)


def of_request(
    state: states.State, event: events.CallArrived, route: routes.Route
) -> routes.Workspace | decisions.Rule | None:
    """Return the workspace of a root request, or the rule that refuses it.

    :return: ``None`` if no key is required.
    """
    index = state.routes
    if index is None or not index.needs_keys or route.public:
        return None
    if event.span != event.trace and state.lineage and not event.key_digest:
        # The parent may have been lost in a restart of this node. With KEY_UNKNOWN the
        # backend server would not retry.
        return decisions.Rule.PARENT_UNKNOWN
    if freshness.is_stale(state):
        return decisions.Rule.KEYS_STALE
    workspace = index.workspace_of(event.key_digest) if event.key_digest else None
    if workspace is not None:
        return workspace
    if event.key_digest and state.highest_routes_version > index.version:
        return decisions.Rule.KEY_UNSETTLED
    return decisions.Rule.KEY_UNKNOWN


def decision_figures(state: states.State, rule: decisions.Rule) -> tuple[float, ...]:
    """Return the figures of a refusal by :func:`of_request`."""
    if rule is decisions.Rule.KEYS_STALE:
        return (freshness.age(state), freshness.allowed_ms(state))
    if rule is decisions.Rule.KEY_UNSETTLED:
        return (float(state.version), float(state.highest_routes_version))
    return ()


def retry_delay(state: states.State, rule: decisions.Rule) -> float:
    """Return the retry delay for a refused caller, in ms; 0 if it should not retry."""
    if rule in _RETRIED_RULES:
        return RETRY_DELAY_MS * (1.0 + state.random.random())
    return 0.0
