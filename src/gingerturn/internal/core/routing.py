"""Choice of an upstream from what answers told, and outlier handling."""

import math

from gingerturn.internal import ids
from gingerturn.internal.core import effects, levels, messages, ranks, state as states

ASK_AFTER_MS = 150.0
"""A level that keeps calls back is asked for anew after this time. Sending a call
to find out costs the work that is lost when it is shed further down: with fading
alone, a kind that was shed whole sent a burst of hopeless calls every 3 s."""

ASKED_AT_ONCE = 4
"""Upstreams asked at once, drawn anew each time, so that a large service costs no
more questions than a small one."""

ANSWERED_LATELY_MS = 700.0
"""An answer counts against a suspicion for as long as a probe waits before it raises
one: a node that froze is passed over no later than by the next suspicion."""

ZONE_PENALTY = 0.15
"""Added to the occupancy of an upstream in another zone: calls stay in the zone
until its upstreams are busier by 15 % of their limit, which bounds both the
traffic between zones and the imbalance that staying may cause."""

MOST_ZONE_SHARE = 4.0
"""The penalty grows with the size of a kind over the mean of all calls, up to this:
large bodies leave the zone last, so that the same balance moves fewer bytes. With
bodies of 5 and 7 kB in two kinds of seven, 0.044 GB went between zones in 50 s of some
400 requests a second, 0.059 GB with one penalty for all."""

SLOW_PENALTY = 0.1
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

MOST_SLOWNESS = 20.0
"""One answer counts as at most so many times the mean of its kind."""

SLOWNESS_HALF_LIFE_MS = 2_000.0
"""What nothing confirms halves in 2 s: a slow upstream gets a few calls every some
seconds, which tell whether it still is."""

LOAD_FRESH_MS = 1_000.0
"""A load counts as told for this long; after it an upstream is taken to be as busy as
others of its service on the same side, in the own zone or out of it. By loads of half
a minute ago, as an entry has them of 95 upstreams, far ones that were idle then were
preferred to near ones: 0.44 of the calls of one service left their zone in the model of
194 nodes under a burst, 0.14 since."""

OCCUPANCY_WEIGHT = 0.2
"""Of one report in the mean occupancy of a side, over some five: few calls leave the
zone, and each tells whether more should."""

OCCUPANCY_HALF_LIFE_MS = 5_000.0
"""What nothing confirms halves in 5 s, so that a busy zone tries the others again."""

ERROR_WEIGHT = 0.05
"""Weight of one answer in the share of failures: the memory is some twenty answers."""

ERROR_PENALTY = 2.0
"""Added to the occupancy of an upstream in proportion to its share of failures. One
that fails half of its calls is chosen when the others are full; its share shows by
what calls met, which a health check does not."""

ALL_WEIGHED = 8
"""Up to so many upstreams are all weighed against each other, so that a near one is
found whenever there is one. Of more, some are drawn: weighing hundreds costs time, and
all entries would choose the same one by the same old reports."""

NEAR_DRAWN = 3
ANY_DRAWN = 2
"""Drawn of many: three in the own zone, and two anywhere, by which a zone whose
upstreams are all busy spills. Of two drawn anywhere, in three zones, both are in other
zones four times in nine."""

JITTER = 0.04
"""Random part of the occupancy, so that entries that know the same do not all choose
the same upstream."""

FAILURES_TO_EJECT = 5
EJECT_MS = 5_000.0
MAX_EJECTIONS = 6


def upstream_of(state: states.State, node: ids.NodeId) -> states.Upstream:
    """Return what is known of an upstream; starts afresh for an unknown one."""
    upstream = state.upstreams.get(node)
    if upstream is None:
        upstream = states.Upstream(node=node, own=states.UNHEARD)
        state.upstreams[node] = upstream
    return upstream


def hear(
    state: states.State,
    node: ids.NodeId,
    kind: str,
    report: messages.LoadReport,
) -> None:
    """Take in the load report of an answer."""
    state.refused.clear()
    upstream = upstream_of(state, node)
    if node in state.membership.suspected:
        # It may not count as silent any more.
        state.membership.version += 1
    upstream.answered = state.now
    upstream.own = states.HeardLevel(level=report.level, heard=state.now)
    upstream.load = report.load
    upstream.limit = report.limit
    upstream.since_report = 0
    member = state.membership.members.get(node)
    if member is not None and member.service:
        levels.hear(state, member.service, node, kind, report)
        _note_occupancy(state, member, report)


def _note_occupancy(
    state: states.State, member: messages.Member, report: messages.LoadReport
) -> None:
    told = report.load / max(1, report.limit)
    side = (member.service, member.zone == state.zone)
    known = state.occupancies.get(side)
    if known is None:
        state.occupancies[side] = states.Occupancy(mean=told, heard=state.now)
        return
    mean = _usual_occupancy(state, member)
    known.mean = mean + OCCUPANCY_WEIGHT * (told - mean)
    known.heard = state.now


def _usual_occupancy(state: states.State, member: messages.Member) -> float:
    """Return what part of the limit is taken at upstreams of the same service, of the
    own zone or of the others."""
    known = state.occupancies.get((member.service, member.zone == state.zone))
    if known is None:
        return 0.0
    faded: float = 0.5 ** ((state.now - known.heard) / OCCUPANCY_HALF_LIFE_MS)
    return known.mean * faded


def candidates(state: states.State, service: ids.ServiceName) -> list[ids.NodeId]:
    """Return the upstreams of a service that are neither silent nor ejected."""
    return _pool(state, service).nodes


def _pool(state: states.State, service: ids.ServiceName) -> states.Pool:
    """Return the healthy upstreams of a service, looked up anew only after a change.

    Asking each upstream for each call cost 200 us with 95 of them, and among 194
    members somebody is suspected nearly all the time.
    """
    pool = state.pools.get(service)
    version = state.membership.version
    if pool is None or pool.version != version or state.now >= pool.until:
        pool = state.pools[service] = _look_up(state, service)
    return pool


def _look_up(state: states.State, service: ids.ServiceName) -> states.Pool:
    """Find out which upstreams are healthy.

    At most the declared share is ejected: where more are, ejection is passed
    over for all, since then the fault is more likely common to them.
    """
    membership = state.membership
    nodes = membership.by_service.get(service, [])
    healthy = [
        node
        for node in nodes
        if not is_silent(state, node) and not _ejected(state, node)
    ]
    share = state.configuration.service(service).eject_share
    if len(nodes) - len(healthy) > share * len(nodes):
        healthy = list(nodes)
    zone = state.zone
    return states.Pool(
        nodes=healthy,
        near=[node for node in healthy if membership.members[node].zone == zone],
        version=membership.version,
        until=min((_next_change(state, node) for node in nodes), default=math.inf),
    )


def _next_change(state: states.State, node: ids.NodeId) -> ids.Milliseconds:
    """Return when the health of an upstream changes by time alone."""
    upstream = state.upstreams.get(node)
    if upstream is None:
        return math.inf
    due = math.inf
    if node in state.membership.suspected and not is_silent(state, node):
        # One more than the time itself: only then does it count as passed.
        due = upstream.answered + ANSWERED_LATELY_MS + 1.0
    if _ejected(state, node):
        due = min(due, upstream.ejected_until)
    return due


def is_silent(state: states.State, node: ids.NodeId) -> bool:
    """Tell whether a node is suspected and has answered no call of late.

    Probes are datagrams: where a tenth of them is lost somebody suspects a sound
    member each few seconds. With two upstreams left, passing one over for the second
    or two until it has refuted that overloaded the other.
    """
    if node not in state.membership.suspected:
        return False
    upstream = state.upstreams.get(node)
    return upstream is None or state.now - upstream.answered > ANSWERED_LATELY_MS


def choose(
    state: states.State,
    nodes: list[ids.NodeId],
    kind: str,
    rank: ids.Rank,
) -> ids.NodeId | None:
    """Choose the least busy of a few upstreams that take it.

    :param nodes: upstreams of one service.
    :return: ``None`` when every one sheds calls of this rank.
    """
    if not nodes:
        return None
    service = state.membership.members[nodes[0]].service
    if not _passes_below(state, service, kind, rank):
        return None
    many = len(nodes) > ALL_WEIGHED
    few = _drawn(state, service, nodes) if many else nodes
    taking = _taking(state, service, few, rank)
    if not taking and many:
        taking = _found(state, service, nodes, rank)
    if not taking:
        return None
    apart = _zone_penalty(state, kind)
    return min(taking, key=lambda node: _cost(state, node, apart))


def _found(
    state: states.State,
    service: ids.ServiceName,
    nodes: list[ids.NodeId],
    rank: ids.Rank,
) -> list[ids.NodeId]:
    """Search many upstreams for one that takes a call, where one is known to.

    Most refusals end with the comparison: all are searched only for the few calls that
    rank between the least level and the others.
    """
    if _own_rank(state, rank) < levels.lowest(state, service):
        return []
    start = int(state.random.random() * len(nodes))
    for offset in range(len(nodes)):
        node = nodes[(start + offset) % len(nodes)]
        if _taking(state, service, [node], rank):
            return [node]
    return []


def _passes_below(
    state: states.State, service: ids.ServiceName, kind: str, rank: ids.Rank
) -> bool:
    """Tell whether the services below are expected to take what a call goes on to.

    That is the same whichever upstream is asked.
    """
    if state.routed and ranks.is_deep(rank):
        return True
    known = levels.below(state, service, kind)
    if not ranks.is_deep(rank):
        levels.note_age(state, known)
    return ranks.deep_rank(rank) >= known.level


def _taking(
    state: states.State,
    service: ids.ServiceName,
    few: list[ids.NodeId],
    rank: ids.Rank,
) -> list[ids.NodeId]:
    """Return the upstreams that are expected to take a call of this rank themselves.

    One that told nothing of late is judged by what the others did.
    """
    if state.routed and ranks.is_deep(rank):
        # Only roots are refused by a level: the work above a deeper call is spent, and
        # its home sheds it last if it must.
        return few
    rank = _own_rank(state, rank)
    others = levels.own(state, service).level
    fresh_from = state.now - levels.FRESH_MS
    taking = []
    for node in few:
        upstream = state.upstreams.get(node)
        known = upstream is not None and upstream.own.heard >= fresh_from
        level = upstream.own.level if upstream is not None and known else others
        if rank >= level:
            taking.append(node)
    return taking


def _own_rank(state: states.State, rank: ids.Rank) -> ids.Rank:
    """Return the rank of a call as upstreams compare it with their own levels."""
    return ranks.deep_rank(rank) if state.routed else rank


def _drawn(
    state: states.State, service: ids.ServiceName, nodes: list[ids.NodeId]
) -> list[ids.NodeId]:
    """Draw some of many upstreams, near ones first."""
    pool = _pool(state, service)
    if nodes is pool.nodes:
        near = pool.near
    else:
        members = state.membership.members
        near = [node for node in nodes if members[node].zone == state.zone]
    return _some(state, near, NEAR_DRAWN) + _some(state, nodes, ANY_DRAWN)


def _some(state: states.State, nodes: list[ids.NodeId], count: int) -> list[ids.NodeId]:
    """Draw a few at equal distances from a random one on.

    With 34 upstreams random.sample() took 3.7 us, longer than the rest of a choice.
    """
    if len(nodes) <= count:
        return nodes
    start = int(state.random.random() * len(nodes))
    step = 1 + int(state.random.random() * (len(nodes) - 1))
    return [nodes[(start + step * turn) % len(nodes)] for turn in range(count)]


def ticket_holder(state: states.State, service: ids.ServiceName) -> str:
    """Return the node for which to mint a ticket, as ``node/incarnation``.

    The less busy of two, as for a call; an empty string when nobody offers the
    service.
    """
    nodes = candidates(state, service)
    node = choose(state, nodes, "", ranks.HIGHEST)
    if node is None:
        return ""
    return f"{node}/{state.membership.members[node].incarnation}"


def service_level(state: states.State, service: ids.ServiceName, kind: str) -> ids.Rank:
    """Return the rank from which a service is expected to take calls of a kind, the
    levels of the services below it included."""
    return levels.of_service(state, service, kind).level


def ask_levels(
    state: states.State, service: ids.ServiceName, kind: str, out: states.Effects
) -> None:
    """Ask some upstreams of a service whose level is in force but not fresh."""
    held = levels.of_service(state, service, kind)
    if held.level <= 0 or state.now - held.heard < ASK_AFTER_MS:
        return
    known = state.levels.get((service, kind))
    if known is None:
        known = state.levels[(service, kind)] = states.ServiceLevel(told={}, ranked=[])
    if state.now - known.asked < ASK_AFTER_MS:
        return
    known.asked = state.now
    for node in _some(state, candidates(state, service), ASKED_AT_ONCE):
        member = state.membership.members[node]
        out.append(
            effects.AskLevel(
                node=node,
                host=member.host,
                port=member.peers_port,
                kind=ids.KindName(kind),
            )
        )


def note_answer(state: states.State, node: ids.NodeId, *, failed: bool = False) -> None:
    """Take in that an upstream answered.

    :param failed: with a failure of its own, or by turning the call away.
    """
    upstream = upstream_of(state, node)
    upstream.failures = 0
    upstream.ejections = 0
    upstream.error += ERROR_WEIGHT * (failed - upstream.error)


def note_failure(state: states.State, node: ids.NodeId) -> bool:
    """Take in that an upstream lost or failed a call.

    :return: whether it was ejected by this.
    """
    upstream = upstream_of(state, node)
    upstream.failures += 1
    if upstream.failures < FAILURES_TO_EJECT:
        return False
    upstream.failures = 0
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


def note_traffic(
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
    weight = MEAN_SIZE_WEIGHT if state.mean_size else 1.0
    state.mean_size += weight * (size - state.mean_size)
    relative = min(MOST_SLOWNESS, elapsed / max(1.0, known.elapsed))
    upstream = upstream_of(state, node)
    upstream.slowness = _slowness(upstream, state.now)
    upstream.slowness += SLOWNESS_WEIGHT * (relative - upstream.slowness)
    upstream.timed = state.now


def _slowness(upstream: states.Upstream, now: ids.Milliseconds) -> float:
    """Return the slowness of an upstream, faded since it was measured."""
    age = now - upstream.timed
    if age <= 0.0:
        return upstream.slowness
    left: float = 0.5 ** (age / SLOWNESS_HALF_LIFE_MS)
    return 1.0 + (upstream.slowness - 1.0) * left


def _zone_penalty(state: states.State, kind: str) -> float:
    """Return what another zone costs a call of a kind, by its size."""
    known = state.traffic.get(kind)
    if known is None or state.mean_size <= 0.0:
        return ZONE_PENALTY
    share = known.size / state.mean_size
    return ZONE_PENALTY * min(MOST_ZONE_SHARE, max(1.0, share))


def _cost(state: states.State, node: ids.NodeId, apart: float) -> float:
    """Return what is to be expected of an upstream: a measure of its queue and speed,
    with penalties for another zone and for failures, and a small random part.

    :param apart: what another zone costs.
    """
    member = state.membership.members.get(node)
    penalty = JITTER * state.random.random()
    if member is not None and member.zone != state.zone:
        penalty += apart
    upstream = state.upstreams.get(node)
    if upstream is None:
        usual = 0.0 if member is None else _usual_occupancy(state, member)
        return usual + SLOW_PENALTY + penalty
    penalty += ERROR_PENALTY * upstream.error
    slowness = _slowness(upstream, state.now)
    return _occupancy(state, member, upstream) + SLOW_PENALTY * slowness + penalty


def _occupancy(
    state: states.State, member: messages.Member | None, upstream: states.Upstream
) -> float:
    """Return what part of an upstream's limit is expected to be taken."""
    limit = upstream.limit or (member.slots if member else 0) or 1
    if state.now - upstream.answered <= LOAD_FRESH_MS or member is None:
        return (upstream.load + upstream.since_report) / limit
    return _usual_occupancy(state, member) + upstream.since_report / limit
