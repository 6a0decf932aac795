"""What a call at an upstream is expected to cost: how busy and slow it is, and whether
it lies in another zone.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import messages, state as states, upstreams

ZONE_PENALTY = 0.15
"""Added to the occupancy of an upstream in another zone: calls stay in the zone
until its upstreams are busier by 15 % of their limit, which bounds both the
traffic between zones and the imbalance that staying may cause."""

MAX_ZONE_PENALTY_FACTOR = 4.0
"""The penalty grows with the size of a kind over the mean of all calls, up to this:
large bodies leave the zone last, so that the same balance moves fewer bytes. With
bodies of 5 and 7 kB in two kinds of seven, 0.044 GB went between zones in 50 s of some
400 requests a second, 0.059 GB with one penalty for all."""

SLOWNESS_PENALTY = 0.1
"""Added in proportion to the time of an upstream's answers over the mean of their
kinds. One that turns twelve times slower costs as much as a full one and gets few
calls, so that trees which call it several times in a row do not time out there: worth
0.974 to 0.985 in the model of one such upstream of three. Where speeds differ by two or
three times, as they always do, it moves little, and all of the capacity is used."""

TRAFFIC_WEIGHT = 0.05
"""Of one answer in the mean time and size of its kind, over some twenty."""

MEAN_SIZE_WEIGHT = 0.01
"""Of one answer in the mean size of all, over some hundred calls of unlike kinds."""

SLOWNESS_WEIGHT = 0.1
"""Of one answer in the slowness of its upstream, over some ten."""

MAX_SLOWNESS = 20.0
"""One answer counts as at most so many times the mean of its kind."""

SLOWNESS_HALF_LIFE_MS = 2_000.0
"""What nothing confirms halves in 2 s: a slow upstream gets a few calls every some
seconds, which tell whether it still is."""

LOAD_FRESH_MS = 1_000.0
"""A load counts as told for this long; after it an upstream is taken to be as busy as
others of its service on the same side, in the own zone or out of it. By loads of half
a minute ago, as an entry has them of 95 upstreams, far ones that were idle then would
be preferred to near ones: in the model of 194 nodes under a burst 0.44 of the calls
of one service leave their zone by such loads, 0.14 by the mean."""

OCCUPANCY_WEIGHT = 0.2
"""Of one report in the mean occupancy of a side, over some five: few calls leave the
zone, and each tells whether more should."""

OCCUPANCY_HALF_LIFE_MS = 5_000.0
"""What nothing confirms halves in 5 s, so that a busy zone tries the others again."""

ERROR_PENALTY = 2.0
"""Added to the occupancy of an upstream in proportion to its share of failures. One
that fails half of its calls is chosen when the others are full; its share shows by
what calls met, which a health check does not."""

JITTER = 0.04
"""Random part of the occupancy, so that entries that know the same do not all choose
the same upstream."""


def record_occupancy(
    state: states.State, member: messages.Member, report: messages.LoadReport
) -> None:
    """Take in how busy an upstream said it was."""
    told = report.load / max(1, report.limit)
    side = (member.service, member.zone == state.zone)
    known = state.occupancies.get(side)
    if known is None:
        state.occupancies[side] = states.Occupancy(mean=told, reported_at=state.now)
        return
    mean = _mean_occupancy(state, member)
    known.mean = mean + OCCUPANCY_WEIGHT * (told - mean)
    known.reported_at = state.now


def _mean_occupancy(state: states.State, member: messages.Member) -> float:
    """Return what part of the limit is taken at upstreams of the same service, of the
    own zone or of the others."""
    known = state.occupancies.get((member.service, member.zone == state.zone))
    if known is None:
        return 0.0
    faded: float = 0.5 ** ((state.now - known.reported_at) / OCCUPANCY_HALF_LIFE_MS)
    return known.mean * faded


def record_traffic(
    state: states.State,
    node: ids.NodeId,
    kind: str,
    elapsed: ids.Milliseconds,
    size: int,
) -> None:
    """Take in how long an answered call took, and how large it was."""
    known = state.traffic.get(kind)
    if known is None:
        known = state.traffic[kind] = states.KindTraffic(elapsed, float(size))
    known.elapsed += TRAFFIC_WEIGHT * (elapsed - known.elapsed)
    known.size += TRAFFIC_WEIGHT * (size - known.size)
    weight = MEAN_SIZE_WEIGHT if state.mean_call_size else 1.0
    state.mean_call_size += weight * (size - state.mean_call_size)
    relative = min(MAX_SLOWNESS, elapsed / max(1.0, known.elapsed))
    upstream = upstreams.upstream_of(state, node)
    upstream.slowness = _slowness(upstream, state.now)
    upstream.slowness += SLOWNESS_WEIGHT * (relative - upstream.slowness)
    upstream.slowness_measured_at = state.now


def _slowness(upstream: states.Upstream, now: ids.Milliseconds) -> float:
    """Return the slowness of an upstream, faded since it was measured."""
    age = now - upstream.slowness_measured_at
    if age <= 0.0:
        return upstream.slowness
    left: float = 0.5 ** (age / SLOWNESS_HALF_LIFE_MS)
    return 1.0 + (upstream.slowness - 1.0) * left


def zone_penalty(state: states.State, kind: str) -> float:
    """Return what another zone costs a call of a kind, by its size."""
    known = state.traffic.get(kind)
    if known is None or state.mean_call_size <= 0.0:
        return ZONE_PENALTY
    share = known.size / state.mean_call_size
    return ZONE_PENALTY * min(MAX_ZONE_PENALTY_FACTOR, max(1.0, share))


def cost_of(state: states.State, node: ids.NodeId, other_zone_penalty: float) -> float:
    """Return what is to be expected of an upstream: a measure of its queue and speed,
    with penalties for another zone and for failures, and a small random part.

    :param apart: what another zone costs.
    """
    member = state.membership.members.get(node)
    penalty = JITTER * state.random.random()
    if member is not None and member.zone != state.zone:
        penalty += other_zone_penalty
    upstream = state.upstreams.get(node)
    if upstream is None:
        usual = 0.0 if member is None else _mean_occupancy(state, member)
        return usual + SLOWNESS_PENALTY + penalty
    penalty += ERROR_PENALTY * upstream.error_rate
    slowness = _slowness(upstream, state.now)
    return _occupancy(state, member, upstream) + SLOWNESS_PENALTY * slowness + penalty


def _occupancy(
    state: states.State, member: messages.Member | None, upstream: states.Upstream
) -> float:
    """Return what part of an upstream's limit is expected to be taken."""
    limit = upstream.limit or (member.slots if member else 0) or 1
    if state.now - upstream.load_reported_at <= LOAD_FRESH_MS or member is None:
        return (upstream.load + upstream.sent_since_report) / limit
    return _mean_occupancy(state, member) + upstream.sent_since_report / limit
