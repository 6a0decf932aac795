"""Choice of an upstream by reported levels and expected cost."""

import math

from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    levels,
    messages,
    ranks,
    state as states,
    upstream_costs,
    upstreams,
)

LEVEL_REQUEST_INTERVAL_MS = 150.0
"""Age from which a level that refuses calls is requested again. Probing with a real
call instead would waste the work that is lost when the call is shed further down: with
decay alone, a kind that was shed whole sent a burst of hopeless calls every 3 s."""

LEVEL_REQUEST_FANOUT = 4
"""Upstreams of a service that are queried per level request, sampled each time, so
that the number of queries does not grow with the service."""

FULL_COMPARISON_LIMIT = 8
"""Up to this many upstreams are all compared, so that one in the own zone is found
whenever there is one. Larger services are sampled: comparing hundreds takes time, and
all entry nodes would choose the same upstream by the same old reports."""

SAME_ZONE_SAMPLE = 3
ANY_ZONE_SAMPLE = 2
"""Sample sizes for a large service: upstreams of the own zone, and of any zone. The
latter let calls leave a zone whose upstreams are all busy."""


def on_load_report(
    state: states.State,
    node: ids.NodeId,
    kind: str,
    report: messages.LoadReport,
) -> None:
    """Record the load report of an answer."""
    state.refused_ranks.clear()
    upstream = upstreams.upstream_of(state, node)
    if node in state.membership.suspected:
        # The report may end its unresponsiveness, so pools are rebuilt.
        state.membership.version += 1
    upstream.load_reported_at = state.now
    upstream.own_level = states.ReportedLevel(level=report.level, reported_at=state.now)
    upstream.load = report.load
    upstream.limit = report.limit
    upstream.sent_since_report = 0
    upstream.pace = report.pace
    upstream.pace_reported_at = state.now - max(0, report.pace_age_ms)
    member = state.membership.members.get(node)
    if member is not None and member.service:
        levels.record_report(state, member.service, node, kind, report)
        upstream_costs.record_occupancy(state, member, report)


def choose(
    state: states.State,
    nodes: list[ids.NodeId],
    kind: str,
    rank: ids.Rank,
) -> ids.NodeId | None:
    """Choose the cheapest of the upstreams that are expected to accept a call.

    :param nodes: upstreams of one service.
    :return: ``None`` when all of them shed calls of this rank.
    """
    if not nodes:
        return None
    service = state.membership.members[nodes[0]].service
    if not _children_accept(state, service, kind, rank):
        return None
    is_large = len(nodes) > FULL_COMPARISON_LIMIT
    sampled = _sample_candidates(state, service, nodes) if is_large else nodes
    accepting = _accepting(state, service, sampled, rank)
    if not accepting and is_large:
        accepting = _find_accepting(state, service, nodes, rank)
    if not accepting:
        return None
    other_zone_penalty = upstream_costs.zone_penalty(state, kind)
    chosen, least_cost = accepting[0], math.inf
    for node in accepting:
        cost = upstream_costs.cost_of(state, node, other_zone_penalty)
        if cost < least_cost:
            chosen, least_cost = node, cost
    return chosen


def _find_accepting(
    state: states.State,
    service: ids.ServiceName,
    nodes: list[ids.NodeId],
    rank: ids.Rank,
) -> list[ids.NodeId]:
    """Search a large service for an upstream that is expected to accept a call.

    The comparison with the lowest level spares the search for most refused calls.
    """
    if _own_rank(state, rank) < levels.lowest_reported(state, service):
        return []
    start = int(state.random.random() * len(nodes))
    for offset in range(len(nodes)):
        node = nodes[(start + offset) % len(nodes)]
        if _accepting(state, service, [node], rank):
            return [node]
    return []


def _children_accept(
    state: states.State, service: ids.ServiceName, kind: str, rank: ids.Rank
) -> bool:
    """Whether the services below are expected to accept the child calls of a call.

    The result does not depend on the upstream.
    """
    if state.routed and ranks.is_deep(rank):
        return True
    known = levels.child_level(state, service, kind)
    if not ranks.is_deep(rank):
        levels.record_age(state, known)
    return ranks.deep_rank(rank) >= known.level


def _accepting(
    state: states.State,
    service: ids.ServiceName,
    nodes: list[ids.NodeId],
    rank: ids.Rank,
) -> list[ids.NodeId]:
    """Return the upstreams whose own level is expected to accept a call of this rank.

    An upstream without a fresh report is judged by the level of its service.
    """
    if state.routed and ranks.is_deep(rank):
        # Levels refuse only roots: refusing a deeper call wastes the work done above
        # it, and its home node sheds deeper calls last.
        return nodes
    rank = _own_rank(state, rank)
    fallback_level = levels.own_level(state, service).level
    fresh_from = state.now - levels.FRESH_MS
    accepting = []
    known = state.upstreams
    for node in nodes:
        upstream = known.get(node)
        level = fallback_level
        if upstream is not None:
            reported = upstream.own_level
            if reported.reported_at >= fresh_from:
                level = reported.level
        if rank >= level:
            accepting.append(node)
    return accepting


def _own_rank(state: states.State, rank: ids.Rank) -> ids.Rank:
    """Return the rank that upstreams compare with their own levels."""
    return ranks.deep_rank(rank) if state.routed else rank


def _sample_candidates(
    state: states.State, service: ids.ServiceName, nodes: list[ids.NodeId]
) -> list[ids.NodeId]:
    """Sample a large service: upstreams of the own zone, then of any zone."""
    pool = upstreams.pool_of(state, service)
    if nodes is pool.nodes:
        same_zone = pool.same_zone
    else:
        members = state.membership.members
        same_zone = [node for node in nodes if members[node].zone == state.zone]
    return _sample(state, same_zone, SAME_ZONE_SAMPLE) + _sample(
        state, nodes, ANY_ZONE_SAMPLE
    )


def _sample(
    state: states.State, nodes: list[ids.NodeId], count: int
) -> list[ids.NodeId]:
    """Sample nodes at equal distances from a random start.

    This is much faster than ``random.sample()``, which would dominate the choice.
    """
    size = len(nodes)
    if size <= count:
        return nodes
    position = int(state.random.random() * size)
    step = 1 + int(state.random.random() * (size - 1))
    sample = []
    for _ in range(count):
        sample.append(nodes[position % size])
        position += step
    return sample


def ticket_holder(state: states.State, service: ids.ServiceName) -> str:
    """Return the node for which to mint a ticket, as ``node/incarnation``.

    The node is chosen as for a call; the result is empty when no upstream of the
    service is available.
    """
    nodes = upstreams.candidates(state, service)
    node = choose(state, nodes, "", ranks.HIGHEST)
    if node is None:
        return ""
    return f"{node}/{state.membership.members[node].incarnation}"


def service_level(state: states.State, service: ids.ServiceName, kind: str) -> ids.Rank:
    """Return the rank from which a service is expected to accept calls of a kind,
    including the levels of the services below it."""
    return levels.expected_level(state, service, kind).level


def request_levels(
    state: states.State, service: ids.ServiceName, kind: str, out: states.Effects
) -> None:
    """Request the level of a service that refuses calls by an old level."""
    expected = levels.expected_level(state, service, kind)
    if (
        expected.level <= 0
        or state.now - expected.reported_at < LEVEL_REQUEST_INTERVAL_MS
    ):
        return
    known = levels.service_level_of(state, service, kind)
    if state.now - known.requested_at < LEVEL_REQUEST_INTERVAL_MS:
        return
    known.requested_at = state.now
    for node in _sample(
        state, upstreams.candidates(state, service), LEVEL_REQUEST_FANOUT
    ):
        member = state.membership.members[node]
        out.append(
            effects.RequestLevel(
                node=node,
                host=member.host,
                port=member.peers_port,
                kind=ids.KindName(kind),
            )
        )
