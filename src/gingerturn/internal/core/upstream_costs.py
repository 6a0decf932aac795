"""Expected cost of a call at an upstream: occupancy, slowness, pace, failures, zone."""

from gingerturn.internal import ids
from gingerturn.internal.core import messages, pace, state as states, upstreams

ZONE_PENALTY = 0.15
"""Added to the occupancy of an upstream in another zone. It bounds both the traffic
between zones and the imbalance caused by preferring the own zone."""

MAX_ZONE_PENALTY_FACTOR = 4.0
"""Bound of the factor by which the zone penalty grows with the mean size of a kind
over that of all calls: large bodies leave the zone last, so that balancing the load
moves fewer bytes between zones."""

SLOWNESS_PENALTY = 0.1
"""Added per unit of slowness, the time of an upstream's answers over the mean of their
kinds. An upstream that turns ten times slower costs as much as a full one, so that
trees which call it repeatedly do not time out; the usual differences in speed change
the choice little."""

PACE_PENALTY = 0.3
"""Added per unit of slowness for each multiple of the usual time by which work takes
longer at the pace that an upstream reported lately. With 0.6 more calls avoid slow
upstreams, but a tenth more of them leave the zone; with 0.15 fewer trees are on time
(docs/design/heavy-load.md)."""

TRAFFIC_WEIGHT = 0.05
"""Weight of one answer in the mean time and size of its kind."""

MEAN_SIZE_WEIGHT = 0.01
"""Weight of one answer in the mean size of all calls."""

SLOWNESS_WEIGHT = 0.1
"""Weight of one answer in the slowness of its upstream."""

MAX_SLOWNESS = 20.0
"""Upper bound of the slowness that one answer contributes."""

SLOWNESS_HALF_LIFE_MS = 2_000.0
"""Half-life of slowness without new answers, so that a slow upstream is tried again
every few seconds."""

LOAD_FRESH_MS = 1_000.0
"""Age up to which a reported load is used. An older one is replaced by the mean
occupancy of the service's upstreams in the own zone, or in the other zones: stale
reports of idle upstreams would draw calls out of the zone."""

OCCUPANCY_WEIGHT = 0.2
"""Weight of one report in the mean occupancy. It is large since few calls leave the
zone and report on the others."""

OCCUPANCY_HALF_LIFE_MS = 5_000.0
"""Half-life of the mean occupancy without reports, so that busy zones are retried."""

ERROR_PENALTY = 2.0
"""Added to the occupancy of an upstream in proportion to its error rate. One that
fails half of its calls is chosen only when the others are full."""

JITTER = 0.04
"""Upper bound of the random part of a cost, so that entry nodes with the same reports
do not all choose the same upstream."""


def record_occupancy(
    state: states.State, member: messages.Member, report: messages.LoadReport
) -> None:
    """Record the occupancy that an upstream reported.

    That of a rate-limited one is no evidence on the others.
    """
    if report.status is not None and report.status.rate_limit >= 0.0:
        return
    reported = report.load / max(1, report.limit)
    side = (member.service, member.zone == state.zone)
    known = state.occupancies.get(side)
    if known is None:
        state.occupancies[side] = states.Occupancy(mean=reported, reported_at=state.now)
        return
    mean = _mean_occupancy(state, member)
    known.mean = mean + OCCUPANCY_WEIGHT * (reported - mean)
    known.reported_at = state.now


def _mean_occupancy(state: states.State, member: messages.Member) -> float:
    """Return the mean occupancy of the upstreams of a member's service that share its
    side: the own zone, or the other zones."""
    known = state.occupancies.get((member.service, member.zone == state.zone))
    if known is None:
        return 0.0
    decay: float = 0.5 ** ((state.now - known.reported_at) / OCCUPANCY_HALF_LIFE_MS)
    return known.mean * decay


def record_traffic(
    state: states.State,
    node: ids.NodeId,
    kind: str,
    elapsed: ids.Milliseconds,
    size: int,
) -> None:
    """Record the time and the size of an answered call.

    The time counts at the usual pace, so that a slowdown of moments does not make the
    upstream a slow one, and a false pace is offset by the slowness.
    """
    upstream = upstreams.upstream_of(state, node)
    elapsed /= pace.factor(upstream.pace, upstream.pace_reported_at, state.now)
    known = state.traffic.get(kind)
    if known is None:
        known = state.traffic[kind] = states.KindTraffic(elapsed, float(size))
    known.elapsed += TRAFFIC_WEIGHT * (elapsed - known.elapsed)
    known.size += TRAFFIC_WEIGHT * (size - known.size)
    weight = MEAN_SIZE_WEIGHT if state.mean_call_size else 1.0
    state.mean_call_size += weight * (size - state.mean_call_size)
    relative = min(MAX_SLOWNESS, elapsed / max(1.0, known.elapsed))
    upstream.slowness = _slowness(upstream, state.now)
    upstream.slowness += SLOWNESS_WEIGHT * (relative - upstream.slowness)
    upstream.slowness_measured_at = state.now


def _slowness(upstream: states.Upstream, now: ids.Milliseconds) -> float:
    """Return the slowness of an upstream, decayed since it was measured."""
    age = now - upstream.slowness_measured_at
    if age <= 0.0:
        return upstream.slowness
    decay: float = 0.5 ** (age / SLOWNESS_HALF_LIFE_MS)
    return 1.0 + (upstream.slowness - 1.0) * decay


def zone_penalty(state: states.State, kind: str) -> float:
    """Return the penalty of another zone for calls of a kind, by their size."""
    known = state.traffic.get(kind)
    if known is None or state.mean_call_size <= 0.0:
        return ZONE_PENALTY
    relative_size = known.size / state.mean_call_size
    return ZONE_PENALTY * min(MAX_ZONE_PENALTY_FACTOR, max(1.0, relative_size))


def cost_of(state: states.State, node: ids.NodeId, other_zone_penalty: float) -> float:
    """Return the expected cost of an upstream: its occupancy, with penalties for
    slowness, a slow pace, failures and another zone, and a small random part.

    :param other_zone_penalty: penalty of an upstream in another zone.
    """
    member = state.membership.members.get(node)
    penalty = JITTER * state.random.random()
    if member is not None and member.zone != state.zone:
        penalty += other_zone_penalty
    upstream = state.upstreams.get(node)
    if upstream is None:
        occupancy = 0.0 if member is None else _mean_occupancy(state, member)
        return occupancy + SLOWNESS_PENALTY + penalty
    penalty += ERROR_PENALTY * upstream.error_rate
    slowness = _slowness(upstream, state.now)
    if upstream.pace:
        factor = pace.factor(upstream.pace, upstream.pace_reported_at, state.now)
        penalty += PACE_PENALTY * slowness * (factor - 1.0)
    return _occupancy(state, member, upstream) + SLOWNESS_PENALTY * slowness + penalty


def count_slow(state: states.State) -> int:
    """Return how many upstreams lately reported a pace that is slower than usual."""
    return sum(
        pace.factor(upstream.pace, upstream.pace_reported_at, state.now) > 1.0
        for upstream in state.upstreams.values()
    )


def _occupancy(
    state: states.State, member: messages.Member | None, upstream: states.Upstream
) -> float:
    """Return the share of an upstream's limit that is expected to be in use."""
    limit = upstream.limit or (member.slots if member else 0) or 1
    if state.now - upstream.load_reported_at <= LOAD_FRESH_MS or member is None:
        return (upstream.load + upstream.sent_since_report) / limit
    return _mean_occupancy(state, member) + upstream.sent_since_report / limit
