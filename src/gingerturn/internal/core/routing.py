"""Choice of an upstream from what answers told."""

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

ASK_AFTER_MS = 150.0
"""A level that keeps calls back is asked for anew after this time. Sending a call
to find out costs the work that is lost when it is shed further down: with fading
alone, a kind that was shed whole sent a burst of hopeless calls every 3 s."""

ASKED_AT_ONCE = 4
"""Upstreams asked at once, drawn anew each time, so that a large service costs no
more questions than a small one."""

ALL_WEIGHED = 8
"""Up to so many upstreams are all weighed against each other, so that a near one is
found whenever there is one. Of more, some are drawn: weighing hundreds costs time, and
all entries would choose the same one by the same old reports."""

NEAR_DRAWN = 3
ANY_DRAWN = 2
"""Drawn of many: three in the own zone, and two anywhere, by which a zone whose
upstreams are all busy spills. Of two drawn anywhere, in three zones, both are in other
zones four times in nine."""


def on_load_report(
    state: states.State,
    node: ids.NodeId,
    kind: str,
    report: messages.LoadReport,
) -> None:
    """Take in the load report of an answer."""
    state.refused_ranks.clear()
    upstream = upstreams.upstream_of(state, node)
    if node in state.membership.suspected:
        # It may not count as silent any more.
        state.membership.version += 1
    upstream.load_reported_at = state.now
    upstream.own_level = states.ReportedLevel(level=report.level, reported_at=state.now)
    upstream.load = report.load
    upstream.limit = report.limit
    upstream.sent_since_report = 0
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
    apart = upstream_costs.zone_penalty(state, kind)
    return min(taking, key=lambda node: upstream_costs.cost_of(state, node, apart))


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
    if _own_rank(state, rank) < levels.lowest_reported(state, service):
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
    known = levels.child_level(state, service, kind)
    if not ranks.is_deep(rank):
        levels.record_age(state, known)
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
    others = levels.own_level(state, service).level
    fresh_from = state.now - levels.FRESH_MS
    taking = []
    for node in few:
        upstream = state.upstreams.get(node)
        known = upstream is not None and upstream.own_level.reported_at >= fresh_from
        level = upstream.own_level.level if upstream is not None and known else others
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
    pool = upstreams.pool_of(state, service)
    if nodes is pool.nodes:
        near = pool.same_zone
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
    nodes = upstreams.candidates(state, service)
    node = choose(state, nodes, "", ranks.HIGHEST)
    if node is None:
        return ""
    return f"{node}/{state.membership.members[node].incarnation}"


def service_level(state: states.State, service: ids.ServiceName, kind: str) -> ids.Rank:
    """Return the rank from which a service is expected to take calls of a kind, the
    levels of the services below it included."""
    return levels.expected_level(state, service, kind).level


def request_levels(
    state: states.State, service: ids.ServiceName, kind: str, out: states.Effects
) -> None:
    """Ask some upstreams of a service whose level is in force but not fresh."""
    held = levels.expected_level(state, service, kind)
    if held.level <= 0 or state.now - held.reported_at < ASK_AFTER_MS:
        return
    known = levels.service_level_of(state, service, kind)
    if state.now - known.requested_at < ASK_AFTER_MS:
        return
    known.requested_at = state.now
    for node in _some(state, upstreams.candidates(state, service), ASKED_AT_ONCE):
        member = state.membership.members[node]
        out.append(
            effects.RequestLevel(
                node=node,
                host=member.host,
                port=member.peers_port,
                kind=ids.KindName(kind),
            )
        )
