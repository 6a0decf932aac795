"""What a node knows of the levels of services, and how old that is.

A service's level is one piece of knowledge, renewed by an answer of any of its
upstreams: an entry that spreads two requests a second over a hundred upstreams hears
from each once in a minute, but from the service each half second. Kept by upstream,
with the unheard taken for free, a fifth of the requests of an overloaded deployment of
194 nodes fail after their work in place of being refused.

Answers also carry the latest word on the service that sheds most on the way of the
answered kind, with its age: from nodes that call that service to those that called
them, and so on up the trees. Each node keeps the latest word of all, so it reaches the
roots' entries by whichever answers come first and is not averaged anew at each hop.
With 194 nodes and trees of four hops shedding reaches the roots 0.3 s after it begins;
by means of means it takes over three seconds.

A service's level is the median of what its upstreams told. The lowest would let in
what only one upstream takes, and all of that would meet there. The mean follows the
one that is slow or badly placed: deeper calls come to it whatever it tells, so its
level climbs into the classes above, and one such among ten lifts the mean by a whole
class.

Invariant: ``ranked`` holds the levels of ``told``, which is ordered by when it was
heard.
"""

import bisect

from gingerturn.internal import ids
from gingerturn.internal.core import messages, ranks, state as states

FRESH_MS = 1_000.0
"""A level counts as told for this long. While a deep service is slow a node hears
from each of its upstreams only some times a second; with 300 ms the level faded
between two answers and let in roots that were shed below."""

DECAY_STEP_MS = 100.0
DECAY_FIRST_STEP = ranks.BAND // 64
"""Without news a level falls by 1/64 of a band, then twice that, each 100 ms: the
first steps let few calls through to ask, and after about a second any level is
gone, so that a silent upstream is never avoided for long."""

DECAY_MAX_STEPS = 16

AGE_BOUNDS_MS = (50.0, 100.0, 200.0, 500.0, 1_000.0)
"""Bounds of the histogram of ages. Words of over half a second make the level swing,
past a second they fade."""

_OWN_LEVEL = ""
"""In place of a kind: what upstreams shed themselves, whichever kind they answered."""


def decayed(reported: states.ReportedLevel, now: ids.Milliseconds) -> ids.Rank:
    """Return what a level heard some time ago counts for now."""
    silence = now - reported.reported_at - FRESH_MS
    if silence <= 0 or reported.level <= 0:
        return reported.level
    steps = min(DECAY_MAX_STEPS, int(silence / DECAY_STEP_MS) + 1)
    return ids.Rank(max(0, reported.level - DECAY_FIRST_STEP * ((1 << steps) - 1)))


def record_report(
    state: states.State,
    service: ids.ServiceName,
    node: ids.NodeId,
    kind: str,
    report: messages.LoadReport,
) -> None:
    """Take in what an upstream of a service told with its answer to a kind."""
    _record(service_level_of(state, service, _OWN_LEVEL), node, report.level, state.now)
    if kind:
        _record(
            service_level_of(state, service, kind), node, report.tree_level, state.now
        )
    if report.bottleneck and report.bottleneck != service:
        _record_relayed(state, report)


def _record_relayed(state: states.State, report: messages.LoadReport) -> None:
    """Keep the word that a node passed on, if it is the latest."""
    told = state.now - max(0.0, report.bottleneck_age_ms)
    known = state.relayed_levels.get(report.bottleneck)
    if known is None or told > known.reported_at:
        word = states.ReportedLevel(level=report.bottleneck_level, reported_at=told)
        state.relayed_levels[report.bottleneck] = word


def own_level(state: states.State, service: ids.ServiceName) -> states.ReportedLevel:
    """Return the rank below which the upstreams of a service shed, as a whole."""
    return _service_median(state, service, _OWN_LEVEL)


def child_level(
    state: states.State, service: ids.ServiceName, kind: str
) -> states.ReportedLevel:
    """Return the rank below which calls that a kind goes on to are shed.

    The word on the service that sheds most on its way, or while there is none what its
    homes told.
    """
    cost = state.costs.reported.get(kind)
    if cost is not None and cost.service != service:
        word = latest_report(state, cost.service)
        if state.now - word.reported_at <= FRESH_MS:
            return word
    return _service_median(state, service, kind)


def record_age(state: states.State, known: states.ReportedLevel) -> None:
    """Count how old the word is that decides on a whole request; in the last place
    those of which nothing was ever told."""
    place = len(AGE_BOUNDS_MS) + 1
    if known.reported_at:
        place = bisect.bisect_left(AGE_BOUNDS_MS, state.now - known.reported_at)
    state.level_age_counts[place] += 1


def latest_report(
    state: states.State, service: ids.ServiceName
) -> states.ReportedLevel:
    """Return the latest word on a service: of this node where it is a home of it, from
    its upstreams, or from nodes that call it."""
    if service == state.backend.service and state.backend.present:
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
    """Return the rank from which a service as a whole is expected to take calls of a
    kind, the services below it included."""
    here = own_level(state, service)
    deeper = child_level(state, service, kind)
    return here if here.level > deeper.level else deeper


def lowest_reported(state: states.State, service: ids.ServiceName) -> ids.Rank:
    """Return the least level that an upstream of a service told of late."""
    known = state.levels.get((service, _OWN_LEVEL))
    if known is None:
        return ranks.LOWEST
    _drop_expired(known, state.now)
    return ids.Rank(known.sorted_levels[0]) if known.sorted_levels else known.level


def service_level_of(
    state: states.State, service: ids.ServiceName, kind: str
) -> states.ServiceLevel:
    """Return what is kept of a service's level; starts afresh for an unknown one."""
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
    told = known.by_upstream
    if node in told:
        _drop(known, node)
    told[node] = states.ReportedLevel(level=level, reported_at=now)
    bisect.insort(known.sorted_levels, level)
    _drop_expired(known, now)
    known.level = _lower_median(known.sorted_levels)
    known.reported_at = now


def _lower_median(sorted_levels: list[int]) -> ids.Rank:
    return ids.Rank(sorted_levels[(len(sorted_levels) - 1) // 2])


def _service_median(
    state: states.State, service: ids.ServiceName, kind: str
) -> states.ReportedLevel:
    known = state.levels.get((service, kind))
    if known is None:
        return states.NO_REPORTED_LEVEL
    _drop_expired(known, state.now)
    if known.sorted_levels:
        known.level = _lower_median(known.sorted_levels)
        return states.ReportedLevel(level=known.level, reported_at=known.reported_at)
    last = states.ReportedLevel(level=known.level, reported_at=known.reported_at)
    return states.ReportedLevel(
        level=decayed(last, state.now), reported_at=known.reported_at
    )


def _drop_expired(known: states.ServiceLevel, now: ids.Milliseconds) -> None:
    """Drop what upstreams told too long ago; the last median stays, to fade."""
    told = known.by_upstream
    while told:
        node = next(iter(told))
        if now - told[node].reported_at <= FRESH_MS:
            return
        _drop(known, node)


def _drop(known: states.ServiceLevel, node: str) -> None:
    level = known.by_upstream.pop(node).level
    del known.sorted_levels[bisect.bisect_left(known.sorted_levels, level)]
