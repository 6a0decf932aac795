"""Reported levels of services and their age.

A node keeps one level per service, updated by the load report of any of its upstreams.
An entry node that spreads few requests over many upstreams receives reports of a
service often, but of each single upstream rarely: with two requests a second over a
hundred upstreams each half second and once a minute. With a level per upstream, unheard
ones counted as free, a fifth of the requests of 194 overloaded nodes failed after their
work instead of being refused.

Load reports also carry the latest level of the bottleneck service of the answered kind,
with its age, from the nodes that call that service up the trees. Each node keeps the
latest one, so it reaches the entry nodes with the first answers and is not averaged at
each hop. With 194 nodes and trees of four hops it takes 0.3 s; means of means took
over three seconds.

A service's level is the median of the latest reports of its upstreams. The lowest would
admit what a single upstream accepts, and all of it would be sent there. The mean would
follow a single slow upstream, whose level rises by classes since calls below the root
reach it whatever it reports; one of ten lifted the mean by a whole class.

Invariant: ``sorted_levels`` holds the levels of ``by_upstream``, which is ordered by
the time of the report.
"""

import bisect

from gingerturn.internal import ids
from gingerturn.internal.core import (
    messages,
    ranks,
    state as states,
    workspace_shares,
)

FRESH_MS = 1_000.0
"""Age up to which a reported level is used as it is. Long enough that levels do not
decay between two answers of a slow service; with 300 ms they did, and roots were
admitted that were shed below."""

DECAY_STEP_MS = 100.0
DECAY_FIRST_STEP = ranks.BAND // 64
"""Without reports a level falls by 1/64 of a band and by twice as much in each further
step. The first steps admit only few calls, which return new reports, and the level of
an upstream without reports decays to zero after about a second, so that a silent one is
not avoided for long."""

DECAY_MAX_STEPS = 16

AGE_BOUNDS_MS = (50.0, 100.0, 200.0, 500.0, 1_000.0)
"""Bucket bounds of the histogram of ages. Reports older than half a second make the
level oscillate, and those past :data:`FRESH_MS` decay."""

_OWN_LEVEL = ""
"""Key in place of a kind: the levels of the upstreams themselves, for every kind."""

_LIMITED_LEVEL = "*"
"""The same of upstreams with a rate limit. They decide for the service only where it
has no others, since what they shed is sent to the others."""


def decayed(reported: states.ReportedLevel, now: ids.Milliseconds) -> ids.Rank:
    """Return a reported level, decayed by its age."""
    overdue = now - reported.reported_at - FRESH_MS
    if overdue <= 0 or reported.level <= 0:
        return reported.level
    steps = min(DECAY_MAX_STEPS, int(overdue / DECAY_STEP_MS) + 1)
    return ids.Rank(max(0, reported.level - DECAY_FIRST_STEP * ((1 << steps) - 1)))


def record_report(
    state: states.State,
    service: ids.ServiceName,
    node: ids.NodeId,
    kind: str,
    report: messages.LoadReport,
) -> None:
    """Record the load report of an upstream of a service.

    :param kind: of the answered call; empty if the report came without one.
    """
    is_limited = report.status is not None and report.status.rate_limit >= 0.0
    own = _LIMITED_LEVEL if is_limited else _OWN_LEVEL
    _record(service_level_of(state, service, own), node, report.level, state.now)
    if kind:
        _record(
            service_level_of(state, service, kind), node, report.tree_level, state.now
        )
    if not report.bottleneck:
        return
    workspace_shares.on_report(state, service, report)
    if report.bottleneck != service:
        _record_relayed(state, report)


def _record_relayed(state: states.State, report: messages.LoadReport) -> None:
    """Record the bottleneck level that a node relayed, if it is the latest."""
    reported_at = state.now - max(0.0, report.bottleneck_age_ms)
    known = state.relayed_levels.get(report.bottleneck)
    if known is None or reported_at > known.reported_at:
        relayed = states.ReportedLevel(
            level=report.bottleneck_level, reported_at=reported_at
        )
        state.relayed_levels[report.bottleneck] = relayed


def own_level(state: states.State, service: ids.ServiceName) -> states.ReportedLevel:
    """Return the rank below which the service itself sheds calls."""
    if (service, _LIMITED_LEVEL) in state.levels and _all_limited(state, service):
        return _service_median(state, service, _LIMITED_LEVEL)
    return _service_median(state, service, _OWN_LEVEL)


def _all_limited(state: states.State, service: ids.ServiceName) -> bool:
    """Whether every upstream of a service is known to have a rate limit."""
    for node in state.membership.by_service.get(service, ()):
        upstream = state.upstreams.get(node)
        status = None if upstream is None else upstream.status
        if status is None or status.rate_limit < 0.0:
            return False
    return True


def child_level(
    state: states.State, service: ids.ServiceName, kind: str
) -> states.ReportedLevel:
    """Return the rank below which calls made for a kind are shed.

    It is the level of the kind's bottleneck service while that is fresh, otherwise the
    median of the reports of the service's home nodes.
    """
    cost = state.costs.reported.get(kind)
    if cost is not None and cost.service != service:
        bottleneck = latest_report(state, cost.service)
        if state.now - bottleneck.reported_at <= FRESH_MS:
            return bottleneck
    return _service_median(state, service, kind)


def record_age(state: states.State, known: states.ReportedLevel) -> None:
    """Count the age of the level that decides on a whole request.

    The last bucket counts the decisions without any report.
    """
    bucket = len(AGE_BOUNDS_MS) + 1
    if known.reported_at:
        bucket = bisect.bisect_left(AGE_BOUNDS_MS, state.now - known.reported_at)
    state.level_age_counts[bucket] += 1


def latest_report(
    state: states.State, service: ids.ServiceName
) -> states.ReportedLevel:
    """Return the latest level of a service.

    It is that of this node if its backend server offers the service without a rate
    limit, otherwise the latest one of those reported by upstreams and those relayed by
    nodes that call it.
    """
    backend = state.backend
    is_own = service == backend.service and backend.present
    if is_own and not backend.limiter.limited:
        return states.ReportedLevel(level=state.backend.level, reported_at=state.now)
    direct = own_level(state, service)
    relayed = state.relayed_levels.get(service, states.NO_REPORTED_LEVEL)
    if relayed.reported_at <= direct.reported_at:
        return direct
    return states.ReportedLevel(
        level=decayed(relayed, state.now), reported_at=relayed.reported_at
    )


def expected_level(
    state: states.State, service: ids.ServiceName, kind: str
) -> states.ReportedLevel:
    """Return the rank from which calls of a kind are expected to be admitted, by the
    service and by the services that it calls."""
    own = own_level(state, service)
    child = child_level(state, service, kind)
    return own if own.level > child.level else child


def lowest_reported(state: states.State, service: ids.ServiceName) -> ids.Rank:
    """Return the lowest level in the recent reports of a service's upstreams."""
    known = state.levels.get((service, _OWN_LEVEL))
    if known is None:
        return ranks.LOWEST
    _drop_expired(known, state.now)
    return ids.Rank(known.sorted_levels[0]) if known.sorted_levels else known.level


def service_level_of(
    state: states.State, service: ids.ServiceName, kind: str
) -> states.ServiceLevel:
    """Return the level kept for a service and kind, creating it if there is none."""
    known = state.levels.get((service, kind))
    if known is None:
        known = state.levels[(service, kind)] = states.ServiceLevel(
            by_upstream={}, sorted_levels=[]
        )
    return known


def _record(
    known: states.ServiceLevel,
    node: ids.NodeId,
    level: ids.Rank,
    now: ids.Milliseconds,
) -> None:
    reports = known.by_upstream
    former = reports.pop(node, None)
    if former is not None:
        del known.sorted_levels[bisect.bisect_left(known.sorted_levels, former.level)]
    reports[node] = states.ReportedLevel(level=level, reported_at=now)
    bisect.insort(known.sorted_levels, level)
    _drop_expired(known, now)
    levels = known.sorted_levels
    known.level = ids.Rank(levels[(len(levels) - 1) // 2])
    known.reported_at = now


def _service_median(
    state: states.State, service: ids.ServiceName, kind: str
) -> states.ReportedLevel:
    known = state.levels.get((service, kind))
    if known is None:
        return states.NO_REPORTED_LEVEL
    _drop_expired(known, state.now)
    levels = known.sorted_levels
    if levels:
        known.level = ids.Rank(levels[(len(levels) - 1) // 2])
        return states.ReportedLevel(level=known.level, reported_at=known.reported_at)
    last = states.ReportedLevel(level=known.level, reported_at=known.reported_at)
    return states.ReportedLevel(
        level=decayed(last, state.now), reported_at=known.reported_at
    )


def _drop_expired(known: states.ServiceLevel, now: ids.Milliseconds) -> None:
    """Drop the reports that are no longer fresh; the last median stays, and decays."""
    reports = known.by_upstream
    while reports:
        node, oldest = next(iter(reports.items()))
        if now - oldest.reported_at <= FRESH_MS:
            return
        _drop(known, node)


def _drop(known: states.ServiceLevel, node: str) -> None:
    level = known.by_upstream.pop(node).level
    del known.sorted_levels[bisect.bisect_left(known.sorted_levels, level)]
