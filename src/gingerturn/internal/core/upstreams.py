"""What is known of each upstream, and which of a service can be chosen.

Who is healthy stands in a pool that is looked up anew only after a change: asking each
upstream for each call took 200 us with 95 of them, and among 194 members somebody is
suspected nearly all the time.
"""

import math

from gingerturn.internal import ids
from gingerturn.internal.core import state as states

RECENT_ANSWER_MS = 700.0
"""An answer counts against a suspicion for as long as a probe waits before it raises
one: a node that froze is passed over no later than by the next suspicion."""

ERROR_WEIGHT = 0.05
"""Weight of one answer in the share of failures: the memory is some twenty answers."""

FAILURES_TO_EJECT = 5
"""Calls lost in a row: one or two are the fault of a connection."""

EJECT_MS = 5_000.0
MAX_EJECTIONS = 6
"""Each further ejection in a row is longer by as much, up to half a minute: one that
comes and goes is tried less and less often."""


def upstream_of(state: states.State, node: ids.NodeId) -> states.Upstream:
    """Return what is known of an upstream; starts afresh for an unknown one."""
    upstream = state.upstreams.get(node)
    if upstream is None:
        upstream = states.Upstream(node=node, own_level=states.NO_REPORTED_LEVEL)
        state.upstreams[node] = upstream
    return upstream


def candidates(state: states.State, service: ids.ServiceName) -> list[ids.NodeId]:
    """Return the upstreams of a service that are neither silent nor ejected."""
    return pool_of(state, service).nodes


def pool_of(state: states.State, service: ids.ServiceName) -> states.Pool:
    """Return the healthy upstreams of a service."""
    pool = state.pools.get(service)
    version = state.membership.version
    if pool is None or pool.version != version or state.now >= pool.valid_until:
        pool = state.pools[service] = _build_pool(state, service)
    return pool


def _build_pool(state: states.State, service: ids.ServiceName) -> states.Pool:
    """Find out which upstreams are healthy.

    At most the declared share is ejected: where more are, ejection is passed
    over for all, since then the fault is more likely common to them.
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
        # One more than the time itself: only then does it count as passed.
        due = upstream.load_reported_at + RECENT_ANSWER_MS + 1.0
    if _ejected(state, node):
        due = min(due, upstream.ejected_until)
    return due


def is_unresponsive(state: states.State, node: ids.NodeId) -> bool:
    """Tell whether a node is suspected and has answered no call of late.

    Probes are datagrams: where a tenth of them is lost somebody suspects a sound
    member each few seconds. With two upstreams left, passing one over for the second
    or two until it has refuted that overloaded the other.
    """
    if node not in state.membership.suspected:
        return False
    upstream = state.upstreams.get(node)
    return upstream is None or state.now - upstream.load_reported_at > RECENT_ANSWER_MS


def record_answer(
    state: states.State, node: ids.NodeId, *, failed: bool = False
) -> None:
    """Take in that an upstream answered.

    :param failed: with a failure of its own, or by turning the call away.
    """
    upstream = upstream_of(state, node)
    upstream.consecutive_failures = 0
    upstream.ejections = 0
    upstream.error_rate += ERROR_WEIGHT * (failed - upstream.error_rate)


def record_failure(state: states.State, node: ids.NodeId) -> bool:
    """Take in that an upstream lost or failed a call.

    :return: whether it was ejected by this.
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
    """Pass an upstream over for some time, at least."""
    upstream.ejected_until = max(upstream.ejected_until, state.now + duration)
    state.membership.version += 1


def _ejected(state: states.State, node: ids.NodeId) -> bool:
    upstream = state.upstreams.get(node)
    return upstream is not None and state.now < upstream.ejected_until
