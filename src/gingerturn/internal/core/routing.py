"""Choice of an upstream from what answers told, and outlier handling."""

from gingerturn.internal import ids
from gingerturn.internal.core import effects, messages, ranks, state as states

LEVEL_FRESH_MS = 1_000.0
"""A level counts as told for this long. While a deep service is slow a node hears
from each of its upstreams only some times a second; with 300 ms the level faded
between two answers and let in roots that were shed below."""

ASK_AFTER_MS = 150.0
"""A level that keeps calls back is asked for anew after this time. Sending a call
to find out costs the work that is lost when it is shed further down: with fading
alone, a kind that was shed whole sent a burst of hopeless calls every 3 s."""

ASKED_AT_ONCE = 4
"""Upstreams asked at once; each has its turn, so that a large service costs no
more questions than a small one."""

FADE_STEP_MS = 100.0
FADE_FIRST_STEP = ranks.BAND // 64
"""Without news a level falls by 1/64 of a band, then twice that, each 100 ms: the
first steps let few calls through to ask, and after about a second any level is
gone, so that a silent upstream is never avoided for long."""

FADE_MAX_STEPS = 16

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


def faded(heard: states.HeardLevel, now: ids.Milliseconds) -> ids.Rank:
    """Return what a level heard some time ago counts for now."""
    silence = now - heard.heard - LEVEL_FRESH_MS
    if silence <= 0 or heard.level <= 0:
        return heard.level
    steps = min(FADE_MAX_STEPS, int(silence / FADE_STEP_MS) + 1)
    return ids.Rank(max(0, heard.level - FADE_FIRST_STEP * ((1 << steps) - 1)))


def upstream_of(state: states.State, node: ids.NodeId) -> states.Upstream:
    """Return what is known of an upstream; starts afresh for an unknown one."""
    upstream = state.upstreams.get(node)
    if upstream is None:
        silent = states.HeardLevel(level=ranks.LOWEST, heard=state.now)
        upstream = states.Upstream(node=node, own=silent, tree={})
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
    upstream.answered = state.now
    upstream.own.level = report.level
    upstream.own.heard = state.now
    tree = upstream.tree.get(kind)
    if tree is None:
        upstream.tree[kind] = states.HeardLevel(
            level=report.tree_level, heard=state.now
        )
    else:
        tree.level = report.tree_level
        tree.heard = state.now
    upstream.load = report.load
    upstream.limit = report.limit
    upstream.since_report = 0


def levels(
    state: states.State, upstream: states.Upstream, kind: str
) -> tuple[ids.Rank, ids.Rank]:
    """Return the own level and the tree level of an upstream, faded."""
    tree = upstream.tree.get(kind)
    tree_level = faded(tree, state.now) if tree else ranks.LOWEST
    return faded(upstream.own, state.now), tree_level


def _sheds_nothing(upstream: states.Upstream, kind: str) -> bool:
    """Tell at little cost what holds for all upstreams most of the time."""
    tree = upstream.tree.get(kind)
    return upstream.own.level <= 0 and (tree is None or tree.level <= 0)


def takes(state: states.State, node: ids.NodeId, kind: str, rank: ids.Rank) -> bool:
    """Tell whether an upstream is expected to take a call of this rank."""
    upstream = state.upstreams.get(node)
    if upstream is None or _sheds_nothing(upstream, kind):
        return True
    own, tree = levels(state, upstream, kind)
    if not state.routed:
        return rank >= own and ranks.deep_rank(rank) >= tree
    # Only roots are refused by a level: the work above a deeper call is spent, and its
    # home sheds it last if it must.
    return ranks.is_deep(rank) or ranks.deep_rank(rank) >= max(own, tree)


def candidates(state: states.State, service: ids.ServiceName) -> list[ids.NodeId]:
    """Return the upstreams of a service that are neither silent nor ejected.

    At most the declared share is ejected: where more are, ejection is passed
    over for all, since then the fault is more likely common to them.
    """
    nodes = state.membership.by_service.get(service, [])
    if not nodes or not (state.membership.suspected or state.now < state.ejections_end):
        return nodes
    healthy = [
        node
        for node in nodes
        if not is_silent(state, node) and not _ejected(state, node)
    ]
    share = state.configuration.service(service).eject_share
    if len(nodes) - len(healthy) > share * len(nodes):
        return nodes
    return healthy


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

    :return: ``None`` when every one sheds calls of this rank.
    """
    few = nodes if len(nodes) <= ALL_WEIGHED else _drawn(state, nodes)
    taking = [node for node in few if takes(state, node, kind, rank)]
    if taking:
        apart = _zone_penalty(state, kind)
        return min(taking, key=lambda node: _cost(state, node, apart))
    return _draw(state, nodes, kind, rank) if len(few) < len(nodes) else None


def _drawn(state: states.State, nodes: list[ids.NodeId]) -> list[ids.NodeId]:
    """Draw some of many upstreams, near ones first."""
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
    """Return the rank from which a service as a whole is expected to take calls,
    the levels of the services below it included.

    The mean over its upstreams: the lowest would let in what only one upstream
    takes, and all of that would meet there.
    """
    total = 0
    nodes = candidates(state, service)
    for node in nodes:
        upstream = state.upstreams.get(node)
        if upstream is not None and not _sheds_nothing(upstream, kind):
            total += max(levels(state, upstream, kind))
    return ids.Rank(total // len(nodes)) if nodes else ranks.LOWEST


def ask_levels(
    state: states.State, service: ids.ServiceName, kind: str, out: states.Effects
) -> None:
    """Ask some upstreams of a service whose levels are in force but not fresh."""
    nodes = candidates(state, service)
    asked = 0
    start = int(state.random.random() * len(nodes)) if nodes else 0
    for offset in range(len(nodes)):
        node = nodes[(start + offset) % len(nodes)]
        upstream = state.upstreams.get(node)
        if upstream is None or not _wants_asking(state, upstream, kind):
            continue
        upstream.asked = state.now
        member = state.membership.members[node]
        out.append(
            effects.AskLevel(
                node=node,
                host=member.host,
                port=member.peers_port,
                kind=ids.KindName(kind),
            )
        )
        asked += 1
        if asked == ASKED_AT_ONCE:
            return


def _wants_asking(state: states.State, upstream: states.Upstream, kind: str) -> bool:
    if state.now - upstream.asked < ASK_AFTER_MS:
        return False
    tree = upstream.tree.get(kind)
    heard = upstream.own.heard if tree is None else min(tree.heard, upstream.own.heard)
    in_force = upstream.own.level > 0 or (tree is not None and tree.level > 0)
    return in_force and state.now - heard >= ASK_AFTER_MS


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
    state.ejections_end = max(state.ejections_end, upstream.ejected_until)


def _ejected(state: states.State, node: ids.NodeId) -> bool:
    upstream = state.upstreams.get(node)
    return upstream is not None and state.now < upstream.ejected_until


def _draw(
    state: states.State, nodes: list[ids.NodeId], kind: str, rank: ids.Rank
) -> ids.NodeId | None:
    """Return a random upstream that takes the call; tries all from there on."""
    start = int(state.random.random() * len(nodes))
    for offset in range(len(nodes)):
        node = nodes[(start + offset) % len(nodes)]
        if takes(state, node, kind, rank):
            return node
    return None


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
        return SLOW_PENALTY + penalty
    penalty += ERROR_PENALTY * upstream.error
    limit = upstream.limit or (member.slots if member else 0) or 1
    occupancy = (upstream.load + upstream.since_report) / limit
    slowness = _slowness(upstream, state.now)
    return occupancy + SLOW_PENALTY * slowness + penalty
