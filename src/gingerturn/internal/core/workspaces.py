"""Whose request it is: by its API key, at the node that the caller sends to.

The key itself ends at the edge; inside, the workspace's name goes with the request.
Calls that backend servers make for it carry no key: they belong to the request that
runs here, whatever its workspace's keys are by then, since the work done for it would
be lost.
"""

from gingerturn import routes
from gingerturn.internal.core import (
    decisions,
    events,
    freshness,
    state as states,
)

FETCH_MS = 500.0
"""When a caller whose key may be in a later configuration comes back: by then a lost
answer to the first question has been asked for again."""


def of_request(
    state: states.State, event: events.CallArrived, route: routes.Route
) -> routes.Workspace | decisions.Rule | None:
    """Return whose a whole request is, or why it is refused.

    :return: ``None`` where no key is needed.
    """
    index = state.routes
    if index is None or not index.needs_keys or route.public:
        return None
    if event.span != event.trace and state.lineage and not event.key_digest:
        # It may be part of a request that this node no longer knows, after a restart
        # beside a backend server that went on. Told that its key is unknown, the
        # backend server would not try again.
        return decisions.Rule.PARENT_UNKNOWN
    if freshness.is_stale(state):
        return decisions.Rule.KEYS_STALE
    workspace = index.workspace_of(event.key_digest) if event.key_digest else None
    if workspace is not None:
        return workspace
    if event.key_digest and state.highest_routes_version > index.version:
        return decisions.Rule.KEY_UNSETTLED
    return decisions.Rule.KEY_UNKNOWN


def figures(state: states.State, rule: decisions.Rule) -> tuple[float, ...]:
    """Return what a refusal by :func:`of_request` saw."""
    if rule is decisions.Rule.KEYS_STALE:
        return (freshness.age(state), freshness.allowed_ms(state))
    if rule is decisions.Rule.KEY_UNSETTLED:
        return (float(state.version), float(state.highest_routes_version))
    return ()


def come_back_after(state: states.State, rule: decisions.Rule) -> float:
    """Return when a refused caller should come back, in ms; 0 where that is no use."""
    if rule in {decisions.Rule.KEYS_STALE, decisions.Rule.KEY_UNSETTLED}:
        return FETCH_MS * (1.0 + state.random.random())
    return 0.0
