"""The keeper of caps: one node leases each workspace's rate to those with demand.

Whoever is first by :func:`.member_order.keeper` keeps them, as far as it is followed.
Each node owns one of as many parts of every cap as there are nodes, and lends its
parts for a short term to the one keeper that it follows. So a keeper hands out what
its followers own and no more: the sides of a parted network, each with a keeper of its
own, together let pass no more than the cap, without having to know of one another.

A loan begins with a stamp of the keeper's own clock, which the follower sends back: a
word that lay in a socket while either stood still is an old one and lends nothing.

Leases let a node go on without asking. What of a cap is not leased is given in single
tokens for requests that find none in their node's bucket. A token counts when it is
given, a lease as it comes in, and what a node had no use for is taken back
(:mod:`.cap_window`).
"""

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    cap_buckets,
    cap_window,
    member_order,
    messages,
    state as states,
)

TERM_MS = 1_000.0
"""Loans to a keeper and its leases end by themselves after this time. For so long a
node that was cut off may go on beside its successors in the use of a cap."""

HEADROOM = 1.1
"""Of its demand a node is leased so much. What it asks for beyond that, since demand
comes in bursts, it gets in single tokens, one question later."""

LEASED_SHARE = 0.8
"""Part of a cap that is leased at most; the rest is left to single tokens."""

LEASED_AHEAD_MS = 1_000.0
"""Of what is left in the window so much is leased in this time. The less is left, the
more is given in single tokens, to whoever asks first."""

DEPTHS_SHARE = 0.3
"""Part of what a cap may be passed by that all buckets together may hold. Nodes beyond
that have no lease and ask for each request; the rest is for moments in which a keeper
is replaced."""


def grant(
    state: states.State, node: ids.NodeId, ask: messages.CapRequest
) -> messages.CapAnswer:
    """Take in a node's loan and demand, and lease it what it may use."""
    keeper = state.cap_allocator
    if ask.stamp > 0.0:
        keeper.delegations[node] = max(
            keeper.delegations.get(node, 0.0), ask.stamp + TERM_MS
        )
    cap_window.record_share(state, current_share(state))
    leases = []
    for demand in ask.demands:
        cap = None if state.routes is None else state.routes.workspace(demand.workspace)
        if cap is not None and cap.rate > 0.0:
            leases.append(_lease(state, node, cap, demand))
    return messages.CapAnswer(number=ask.number, stamp=state.now, leases=tuple(leases))


def current_share(state: states.State) -> float:
    """Return the share of every cap that is lent to this node at present."""
    loans = state.cap_allocator.delegations
    for node in [node for node, until in loans.items() if until <= state.now]:
        del loans[node]
    return min(1.0, len(loans) / member_order.cap_sharer_count(state))


def export_handover(state: states.State) -> messages.CapHandover:
    """Return what the next keeper has to know, and cease to lease anything."""
    keeper = state.cap_allocator
    cap_window.record_share(state, current_share(state))
    message = messages.CapHandover(
        share=keeper.delegated_share,
        delegations=tuple(
            (node, until - state.now) for node, until in keeper.delegations.items()
        ),
        used=tuple(
            cap_window.usage_of(state, name, window)
            for name, window in keeper.windows.items()
        ),
    )
    # Should it keep the caps once more, it begins like one that knows nothing.
    keeper.delegated_share = 0.0
    keeper.delegated_shares.clear()
    keeper.delegations.clear()
    keeper.windows.clear()
    keeper.grants.clear()
    return message


def import_handover(state: states.State, message: messages.CapHandover) -> None:
    """Go on as the keeper where another one stops."""
    cap_window.import_usage(state, message)
    loans = state.cap_allocator.delegations
    for node, left_ms in message.delegations:
        until = state.now + min(left_ms, TERM_MS)
        loans[ids.NodeId(node)] = max(until, loans.get(ids.NodeId(node), 0.0))


def prune(state: states.State, now: ids.Milliseconds) -> None:
    """Drop what has ended."""
    grants = state.cap_allocator.grants
    for workspace, by_node in list(grants.items()):
        _prune(by_node, now)
        if not by_node:
            del grants[workspace]
    cap_window.prune(state)


def _lease(
    state: states.State,
    node: ids.NodeId,
    cap: routes.Workspace,
    demand: messages.CapDemand,
) -> messages.CapLease:
    window = state.cap_allocator.windows.setdefault(cap.name, states.CapWindow())
    by_node = state.cap_allocator.grants.setdefault(cap.name, {})
    before = by_node.pop(node, None)
    _prune(by_node, state.now)
    if before is not None:
        _take_back(state, window, before, demand)
    left = cap_window.remaining(state, window, cap)
    wanted = demand.rate_milli / 1_000.0
    asked_for = wanted + sum(grant.demand for grant in by_node.values())
    rate_milli = int(1_000.0 * _fair_rate(state, cap, wanted, asked_for, left))
    depth = cap_buckets.depth_of(rate_milli)
    held = sum(grant.depth for grant in by_node.values())
    if depth + held > DEPTHS_SHARE * state.cap_tolerance.allowed_excess(cap):
        rate_milli = 0
        depth = 0.0
    leased = rate_milli * TERM_MS / 1e6
    tokens = max(0, min(demand.waiting, int(left - leased)))
    until = state.now + TERM_MS
    cap_window.charge(state, window, tokens)
    cap_window.charge_lease(state, window, rate_milli, until)
    by_node[node] = states.CapGrant(
        demand=wanted, rate_milli=rate_milli, depth=depth, expires_at=until
    )
    none_left = left - leased - tokens < 1.0
    return messages.CapLease(cap.name, rate_milli, tokens, none_left)


def _take_back(
    state: states.State,
    window: states.CapWindow,
    before: states.CapGrant,
    demand: messages.CapDemand,
) -> None:
    """Take back what is certainly not let pass by a node's earlier lease."""
    cap_window.refund(state, window, demand.overflowed_milli / 1_000.0)
    if demand.leased_milli == before.rate_milli:
        # Otherwise it did not get that lease, and goes on by the one before it.
        cap_window.charge_lease(state, window, -before.rate_milli, before.expires_at)


def _fair_rate(
    state: states.State,
    cap: routes.Workspace,
    demand: float,
    asked_for: float,
    left: float,
) -> float:
    """Return what to lease to a node, by its part of all that is asked for."""
    if asked_for <= 0.0:
        return 0.0
    sustained = cap_window.allowed(state, cap) / state.cap_tolerance.window_ms
    ahead = max(0.0, left) / LEASED_AHEAD_MS
    most = 1_000.0 * min(LEASED_SHARE * sustained, ahead)
    return min(HEADROOM * demand, most * demand / asked_for)


def _prune(by_node: dict[ids.NodeId, states.CapGrant], now: ids.Milliseconds) -> None:
    for node in [node for node, grant in by_node.items() if grant.expires_at <= now]:
        del by_node[node]
