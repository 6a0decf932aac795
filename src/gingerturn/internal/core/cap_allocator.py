"""The cap allocator, which leases each workspace's rate to nodes with demand.

Each node owns an equal share of every cap and delegates it for a short term to one
allocator, usually the first by :func:`.member_order.cap_allocator`. An allocator grants
no more than the shares delegated to it, so that the sides of a partitioned network,
each with an allocator of its own, exceed no cap together.

A delegation starts at a timestamp of the allocator's own clock, which the node echoes.
Requests that were delayed, for example by a process pause, therefore extend nothing.

The part of a cap that is not leased is granted as single tokens to calls that find
their node's bucket empty. A token is charged when granted and a lease as it accrues;
unused tokens are refunded (:mod:`.cap_window`).
"""

import math

import msgspec

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
"""Delegations and leases expire after this time. A node that was cut off may use its
lease for this long."""

HEADROOM = 1.1
"""Ratio of the leased rate to the demand. Bursts beyond it are served by single tokens,
at the price of one more request."""

LEASED_SHARE = 0.8
"""Largest part of a cap that is leased; the rest is left to single tokens."""

MIN_LEASED_DEMAND = 2.0
"""Lowest demand that gets a lease, in requests per second. Below it, most tokens of a
lease would find no request: a node without requests for 3 s drops them."""

MAX_RECENT_ANSWERS = 4
"""Answers kept for each node, which covers all pages of a renewal."""

TOTAL_DEPTH_SHARE = 0.2
"""Part of the allowed excess of a cap that all buckets together may hold. Nodes beyond
that get no lease and request single tokens. The rest covers changes of allocator."""


def grant(
    state: states.State, node: ids.NodeId, request: messages.CapRequest
) -> messages.CapAnswer:
    """Record a node's delegation and grant leases for its demand.

    A repeated request gets the same answer again, and is charged once.
    """
    allocator = state.cap_allocator
    recent = allocator.recent_answers.setdefault(node, {})
    number = request.number % messages.CAP_REPEAT_STEP
    known = recent.get(number)
    if known is not None:
        return msgspec.structs.replace(known, number=request.number)
    allocator.requests_answered += 1
    allocator.demands_answered += len(request.demands)
    if request.stamp > 0.0:
        _delegate(allocator, node, request.stamp + TERM_MS)
    cap_window.record_share(state, current_share(state))
    leases = []
    for demand in request.demands:
        cap = None if state.routes is None else state.routes.workspace(demand.workspace)
        if cap is not None and cap.rate > 0.0:
            leases.append(_lease(state, node, cap, demand))
    answer = messages.CapAnswer(
        number=request.number,
        stamp=state.now,
        leases=tuple(leases),
    )
    recent[number] = answer
    if len(recent) > MAX_RECENT_ANSWERS:
        del recent[next(iter(recent))]
    return answer


def current_share(state: states.State) -> float:
    """Return the share of every cap that is currently delegated to this node."""
    allocator = state.cap_allocator
    delegations = allocator.delegations
    if state.now >= allocator.delegated_until:
        for node in [node for node, until in delegations.items() if until <= state.now]:
            del delegations[node]
        allocator.delegated_until = min(delegations.values(), default=math.inf)
    return min(1.0, len(delegations) / member_order.cap_sharer_count(state))


def _delegate(
    allocator: states.CapAllocator, node: ids.NodeId, until: ids.Milliseconds
) -> None:
    until = max(until, allocator.delegations.get(node, 0.0))
    allocator.delegations[node] = until
    allocator.delegated_until = min(allocator.delegated_until, until)


def export_handover(state: states.State) -> messages.CapHandover:
    """Return the state for the next allocator, and reset it here."""
    allocator = state.cap_allocator
    cap_window.record_share(state, current_share(state))
    message = messages.CapHandover(
        share=cap_window.mean_share(state),
        delegations=tuple(
            (node, until - state.now) for node, until in allocator.delegations.items()
        ),
        used=tuple(
            cap_window.usage_of(state, name, window)
            for name, window in allocator.windows.items()
        ),
    )
    # If this node becomes the allocator again, it starts from an empty state.
    allocator.delegated_share = 0.0
    allocator.delegated_shares.clear()
    allocator.delegations.clear()
    allocator.delegated_until = math.inf
    allocator.windows.clear()
    allocator.grants.clear()
    allocator.recent_answers.clear()
    return message


def import_handover(state: states.State, message: messages.CapHandover) -> None:
    """Take over delegations and usage from an allocator that stops."""
    cap_window.import_usage(state, message)
    for node, left_ms in message.delegations:
        until = state.now + min(left_ms, TERM_MS)
        _delegate(state.cap_allocator, ids.NodeId(node), until)


def prune(state: states.State, now: ids.Milliseconds) -> None:
    """Drop expired grants, empty windows and answers that are no longer awaited."""
    recent_answers = state.cap_allocator.recent_answers
    for node, recent in list(recent_answers.items()):
        if now - max(answer.stamp for answer in recent.values()) > TERM_MS:
            del recent_answers[node]
    grants = state.cap_allocator.grants
    for workspace, granted in list(grants.items()):
        _drop_expired(granted, now)
        if not granted.by_node:
            del grants[workspace]
    cap_window.prune(state)


def _lease(
    state: states.State,
    node: ids.NodeId,
    cap: routes.Workspace,
    demand: messages.CapDemand,
) -> messages.CapLease:
    window = state.cap_allocator.windows.setdefault(cap.name, states.CapWindow())
    granted = state.cap_allocator.grants.setdefault(cap.name, states.CapGrants())
    previous = _drop(granted, node)
    _drop_expired(granted, state.now)
    if previous is not None:
        _refund_previous(state, window, previous, demand)
    room = cap_window.room(state, window, cap, TERM_MS)
    rate = demand.rate_milli / 1_000.0
    total_demand = rate + granted.demand_milli / 1_000.0
    rate_milli = int(1_000.0 * _fair_rate(rate, total_demand, room))
    depth = cap_buckets.depth_of(rate_milli)
    depth += cap_buckets.total_depth(granted.leased_count, granted.rate_milli)
    if depth > TOTAL_DEPTH_SHARE * state.cap_tolerance.allowed_excess(cap):
        rate_milli = 0
    available = room.tokens(rate_milli)
    tokens = max(0, min(demand.waiting, int(available)))
    until = state.now + TERM_MS
    cap_window.charge(state, window, tokens)
    cap_window.charge_lease(state, window, rate_milli, until)
    grant = states.CapGrant(
        demand_milli=demand.rate_milli, rate_milli=rate_milli, expires_at=until
    )
    _add(granted, node, grant)
    is_short = available - tokens < 1.0
    return messages.CapLease(cap.name, rate_milli, tokens, is_short)


def _refund_previous(
    state: states.State,
    window: states.CapWindow,
    previous: states.CapGrant,
    demand: messages.CapDemand,
) -> None:
    """Refund the tokens of the previous lease that the node can no longer use."""
    cap_window.refund(state, window, demand.overflowed_milli / 1_000.0)
    if demand.leased_milli == previous.rate_milli:
        # Otherwise that lease was lost, and the node still uses an earlier one.
        cap_window.charge_lease(
            state, window, -previous.rate_milli, previous.expires_at
        )


def _fair_rate(demand: float, total_demand: float, room: cap_window.Room) -> float:
    """Return the rate for a node, in proportion to its part of the total demand."""
    if demand < MIN_LEASED_DEMAND:
        return 0.0
    fair_rate = LEASED_SHARE * room.max_rate * demand / total_demand
    return min(HEADROOM * demand, fair_rate, room.rate())


def _add(granted: states.CapGrants, node: ids.NodeId, grant: states.CapGrant) -> None:
    """Add the grant of a node that has none. It expires after all others."""
    granted.by_node[node] = grant
    granted.demand_milli += grant.demand_milli
    granted.rate_milli += grant.rate_milli
    granted.leased_count += grant.rate_milli > 0


def _drop(granted: states.CapGrants, node: ids.NodeId) -> states.CapGrant | None:
    """Remove and return the grant of a node, if it has one."""
    grant = granted.by_node.pop(node, None)
    if grant is not None:
        granted.demand_milli -= grant.demand_milli
        granted.rate_milli -= grant.rate_milli
        granted.leased_count -= grant.rate_milli > 0
    return grant


def _drop_expired(granted: states.CapGrants, now: ids.Milliseconds) -> None:
    while granted.by_node:
        node, first = next(iter(granted.by_node.items()))
        if first.expires_at > now:
            return
        _drop(granted, node)
