"""Cost of a whole request at its bottleneck service, and the order of shedding by it.

Of two kinds of one priority, the one that is cheaper at the bottleneck service is
admitted first, since its slots then serve more callers. The order is graded and not
strict, and the protected share of every kind is left out of it, so that no kind is
starved.

Each home node reports with its answers which service below it sheds most, and how many
ms of slot time a request of the answered kind takes there: its own time, or that of its
child calls together.
"""

import typing

from gingerturn.internal import ids
from gingerturn.internal.core import messages, routing, state as states

WEIGHT = 0.1
"""Weight of one report in the mean cost of a kind."""

RECOMPUTE_INTERVAL_MS = 100.0
"""Least time between two computations of the cost of a kind, which changes slowly and
is part of each answer."""

MAX_RUNS = 256
"""Counted runs of a kind at which the counts of its runs and child calls are halved."""

MAX_EXPONENT = 8.0
"""Bound of the ratio of costs. At this ratio almost all of the costlier kind is shed
except for its protected share."""

_HASH_RANGE = float(1 << 64)


def by_kind(costs: states.Costs) -> tuple[dict[str, typing.Any], ...]:
    """Return the tables that are keyed by kind, for the removal of deleted kinds."""
    return costs.reported, costs.local, costs.fanouts, costs.root_importance


def record_run(costs: states.Costs, kind: str) -> None:
    """Count a run of a kind at the local backend server."""
    fanout = costs.fanouts.setdefault(kind, states.Fanout())
    fanout.runs += 1.0
    if fanout.runs < MAX_RUNS:
        return
    fanout.runs /= 2.0
    fanout.calls = {called: count / 2.0 for called, count in fanout.calls.items()}


def record_child_call(
    costs: states.Costs, kind: str, service: ids.ServiceName, called: ids.KindName
) -> None:
    """Count a child call of a run of a kind."""
    calls = costs.fanouts.setdefault(kind, states.Fanout()).calls
    calls[(service, called)] = calls.get((service, called), 0.0) + 1.0


def on_report(costs: states.Costs, kind: str, report: messages.LoadReport) -> None:
    """Record the cost of a kind that a home node reported."""
    if not report.bottleneck:
        return
    known = costs.reported.get(kind)
    if known is None or known.service != report.bottleneck:
        costs.reported[kind] = states.TreeCost(
            report.bottleneck, report.bottleneck_slot_ms
        )
        return
    known.slot_ms += WEIGHT * (report.bottleneck_slot_ms - known.slot_ms)


def shedding_hash(
    costs: states.Costs, kind: str, importance: int, root: int
) -> ids.RootHash:
    """Return the hash of a root, lowered by the ratio of its kind's cost to that of the
    cheapest kind of its importance with the same bottleneck service."""
    costs.root_importance[kind] = importance
    exponent = _exponent(costs, kind, importance)
    return lowered_hash(root, exponent)


def lowered_hash(root: int, exponent: float) -> ids.RootHash:
    """Return a hash to the power of an exponent from 1, as a part of one."""
    if exponent <= 1.0:
        return ids.RootHash(root)
    lowered = (root / _HASH_RANGE) ** exponent
    return ids.RootHash(min(root, int(lowered * _HASH_RANGE)))


def _exponent(costs: states.Costs, kind: str, importance: int) -> float:
    own = costs.reported.get(kind)
    if own is None or own.slot_ms <= 0.0:
        return 1.0
    least = own.slot_ms
    for other, other_importance in costs.root_importance.items():
        cost = costs.reported.get(other)
        if other_importance != importance or cost is None:
            continue
        if cost.service == own.service and 0.0 < cost.slot_ms < least:
            least = cost.slot_ms
    return min(MAX_EXPONENT, own.slot_ms / least)


def report_of(state: states.State, kind: str) -> states.TreeCost:
    """Return the cost of a request of a kind at the service that sheds most, which is
    the local one or one below."""
    known = state.costs.local.get(kind)
    if known is not None and state.now - known[0] < RECOMPUTE_INTERVAL_MS:
        return known[1]
    cost = _compute_cost(state, kind)
    state.costs.local[kind] = (state.now, cost)
    return cost


def _compute_cost(state: states.State, kind: str) -> states.TreeCost:
    backend = state.backend
    highest = backend.level
    measured = backend.times.get(kind)
    own_ms = 0.0 if measured is None else measured.mean_ms
    found = states.TreeCost(backend.service, own_ms)
    fanout = state.costs.fanouts.get(kind)
    if fanout is None or not fanout.runs:
        return found
    for (service, called), count in fanout.calls.items():
        below = state.costs.reported.get(called)
        if below is None:
            continue
        level = routing.service_level(state, service, called)
        # Without shedding, report the deepest service, where overload usually begins,
        # so that the order is known at its onset.
        if level > highest or not highest:
            highest = level
            per_run = count / fanout.runs
            found = states.TreeCost(below.service, below.slot_ms * per_run)
    return found
