"""State of upstreams, and the pools of healthy ones by service.

A pool is rebuilt only after a change of membership or health, since checking every
upstream for each call is slow in large deployments.
"""

import math

from gingerturn.internal import ids
from gingerturn.internal.core import state as states

RECENT_ANSWER_MS = 700.0
"""Time after an answer for which a suspicion of its node is ignored. It is as long as
a probe waits before it raises a suspicion."""

ERROR_WEIGHT = 0.05
"""Weight of one answer in the error rate of its upstream."""

FAILURES_TO_EJECT = 5
"""Consecutive lost calls that eject an upstream; fewer may be due to a connection."""

EJECT_MS = 5_000.0
MAX_EJECTIONS = 6
"""Bound of the linear backoff: the n-th ejection in a row is n times as long, so that
an unstable upstream is tried less and less often."""


def upstream_of(state: states.State, node: ids.NodeId) -> states.Upstream:
    """Return the state of an upstream, and create it for an unknown one."""
    upstream = state.upstreams.get(node)
    if upstream is None:
        upstream = states.Upstream(node=node, own_level=states.NO_REPORTED_LEVEL)
        state.upstreams[node] = upstream
    return upstream


def candidates(state: states.State, service: ids.ServiceName) -> list[ids.NodeId]:
    """Return the upstreams of a service that are neither unresponsive nor ejected."""
    return pool_of(state, service).nodes


def pool_of(state: states.State, service: ids.ServiceName) -> states.Pool:
    """Return the current pool of healthy upstreams of a service."""
    pool = state.pools.get(service)
    version = state.membership.version
    if pool is None or pool.version != version or state.now >= pool.valid_until:
        pool = state.pools[service] = _build_pool(state, service)
    return pool


def _build_pool(state: states.State, service: ids.ServiceName) -> states.Pool:
    """Build the pool of healthy upstreams.

    All upstreams are used when more than the configured share of them is unhealthy,
    since then the fault is likely common to them.
    """
    membership = state.membership
    nodes = membership.by_service.get(service, [])
    healthy = [
        node
        for node in nodes
        if not is_unresponsive(state, node) and not _ejected(state, node)
    ]
    share = state.configuration.service(service).eject_share
    if len(nodes) - len(healthy) > share * len(nodes):
        healthy = list(nodes)
    zone = state.zone
    return states.Pool(
        nodes=healthy,
        same_zone=[node for node in healthy if membership.members[node].zone == zone],
        version=membership.version,
        valid_until=min(
            (_next_change(state, node) for node in nodes), default=math.inf
        ),
    )


def _next_change(state: states.State, node: ids.NodeId) -> ids.Milliseconds:
    """Return when the health of an upstream changes by time alone."""
    upstream = state.upstreams.get(node)
    if upstream is None:
        return math.inf
    due = math.inf
    if node in state.membership.suspected and not is_unresponsive(state, node):
        # Add 1 ms, since the time counts as passed only after it.
        due = upstream.load_reported_at + RECENT_ANSWER_MS + 1.0
    if _ejected(state, node):
        due = min(due, upstream.ejected_until)
    return due


def is_unresponsive(state: states.State, node: ids.NodeId) -> bool:
    """Whether a node is suspected and has not answered a call recently.

    Probes are datagrams, whose loss raises suspicions of healthy members. Avoiding one
    of few upstreams until it refutes the suspicion would overload the others.
    """
    if node not in state.membership.suspected:
        return False
    upstream = state.upstreams.get(node)
    return upstream is None or state.now - upstream.load_reported_at > RECENT_ANSWER_MS


def record_answer(
    state: states.State, node: ids.NodeId, *, failed: bool = False
) -> None:
    """Record that an upstream answered.

    :param failed: the answer is a failure of its own, or a rejection of the call.
    """
    upstream = upstream_of(state, node)
    upstream.consecutive_failures = 0
    upstream.ejections = 0
    upstream.error_rate += ERROR_WEIGHT * (failed - upstream.error_rate)


def record_failure(state: states.State, node: ids.NodeId) -> bool:
    """Record that an upstream lost or failed a call.

    :return: whether the upstream was ejected.
    """
    upstream = upstream_of(state, node)
    upstream.consecutive_failures += 1
    if upstream.consecutive_failures < FAILURES_TO_EJECT:
        return False
    upstream.consecutive_failures = 0
    upstream.ejections = min(MAX_EJECTIONS, upstream.ejections + 1)
    eject(state, upstream, EJECT_MS * upstream.ejections)
    return True


def eject(
    state: states.State, upstream: states.Upstream, duration: ids.Milliseconds
) -> None:
    """Eject an upstream for at least a duration."""
    upstream.ejected_until = max(upstream.ejected_until, state.now + duration)
    state.membership.version += 1


def _ejected(state: states.State, node: ids.NodeId) -> bool:
    upstream = state.upstreams.get(node)
    return upstream is not None and state.now < upstream.ejected_until
