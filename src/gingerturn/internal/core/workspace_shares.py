"""Shares of workspaces at the bottleneck service.

A rank holds the class and a hash of the root but no workspace, so a workspace that
sends several times its usual load causes shedding for all others of its class. Each
home node counts the slot time of each workspace. While it sheds, it keeps a factor for
each one above its fair share, and its load reports carry the largest ones to the entry
nodes. These raise the hash of a root to the power of the factor, which orders it
further down inside its class. The hash travels with the call, so all hops shed the same
calls.

The fair share is weighted max-min: what a workspace leaves unused goes to the others in
the same computation. The weight of a workspace is its usual share of the slot time;
with equal weights, workspaces of uneven size would be shed for their size and not for
what they send beyond it. A workspace that uses less than an equal part never gets a
factor.

The demand that entry nodes refuse is estimated from the factor and the level.
"""

import math

from gingerturn.internal import ids
from gingerturn.internal.core import messages, ranks, slot_costs, state as states

WINDOW_MS = 100.0
"""Interval between two runs of the controller, which is a window of the level's."""

RECENT_MS = 1_000.0
"""Time constant of the slot time in use. Its mean age is that of a window of 2 s."""

USUAL_MS = 20_000.0
"""Time constant of the usual shares while the node does not shed."""

USUAL_SHED_MS = 300_000.0
"""The same while it sheds: a lasting change becomes usual, a burst does not."""

LEAST_LEARNED = 0.15
"""Least weight of the measurements in the usual shares, reached after about 3 s without
shedding. Before, all workspaces weigh the same."""

LEAST_WEIGHT = 1e-4
"""Least usual share, that of a workspace which was not seen before."""

MAX_FACTOR = 8.0
"""Bound of a factor. In a class of which half is shed, a workspace with this factor is
served one request in twelve."""

MAX_UNLEARNED_FACTOR = 2.0
"""The same while usual shares are not known, after a restart of the node. A workspace
that is only large is then served at least half as often as the others."""

MARGIN = 1.25
"""Multiple of the fair share above which a factor is raised."""

DEVIATIONS = 2.0
"""Standard deviations, for calls at random times, by which the slot time must exceed
the fair share as well, since that of a small workspace is a few calls. One call comes
on top: a single long call of a small workspace is often above its share. Without it, a
workspace of ordinary load was served 0.44 where all others were served 0.64; with 3
deviations the others lost 0.005 to 0.01 more to a noisy one."""

GAIN = 0.3
MAX_RAISE = 0.5
MAX_LOWER = 0.03
"""Gain and largest steps of the logarithm of a factor in one window. A workspace at
eight times its share reaches the highest factor in about a second; with half the gain
the others lost 0.01 more, since it took two. A factor falls from there to 1 in 7 s or
more, so that it does not swing with the slot time, which follows later."""

MIN_KEPT = 1.0 / 8
"""Lower bound of the share of a workspace that is estimated to be admitted."""

MAX_COUNTED = 512
KEPT = 256
"""Workspaces counted at a node: at most the former between two windows, and after each
window the latter with the highest use. A workspace that becomes noisy is so counted
within a window, whichever came first."""

MAX_REPORTED = 4
"""Factors in a load report. With more, several of them are of small workspaces, whose
slot time over 2 s is a few calls."""

LEAST_REPORTED = 1.1
"""Factors below it are not reported."""

LEAST_KEPT = 1.01
"""Averaged factors below it are dropped."""

FRESH_MS = 1_000.0
"""Age up to which reported factors are used, as long as a reported level is."""

AVERAGED_MS = 300.0
"""Time constant of the factors kept for a service, whose home nodes differ. A node that
receives few reports of it takes over most of each."""

_NEGLIGIBLE_MS = 0.01
"""Slot time below which a workspace without a usual share is no longer counted."""


def max_min(
    demands: dict[str, float], weights: dict[str, float], capacity: float
) -> dict[str, float]:
    """Return the weighted max-min fair shares of a capacity.

    Each share is the demand, or a part of the capacity in proportion to the weight that
    is the same for all whose demand is not met.

    :param weights: above 0, for each of the demands.
    """
    left = capacity
    weight_left = sum(weights[name] for name in demands)
    by_ratio = sorted(demands, key=lambda name: demands[name] / weights[name])
    shares: dict[str, float] = {}
    for name in by_ratio:
        part = left * weights[name] / weight_left if weight_left > 0.0 else left
        share = min(demands[name], max(0.0, part))
        shares[name] = share
        left -= share
        weight_left -= weights[name]
    return shares


def record_slot_time(
    state: states.State, workspace: ids.WorkspaceName, kind: str
) -> None:
    """Count the expected slot time of a call that is dispatched.

    At the end of the call its slot time would be known, but long calls of a workspace
    that becomes noisy would be seen seconds later.
    """
    measured = state.backend.times.get(kind)
    if measured is None:
        return
    uses = state.workspace_shares.uses
    use = uses.get(workspace)
    if use is None:
        if len(uses) >= MAX_COUNTED:
            return
        use = uses[workspace] = states.WorkspaceUse()
    use.recent_ms += measured.mean_ms
    use.variance += measured.mean_ms**2


def control(state: states.State) -> None:
    """Update the factors at the end of a control window of the level."""
    shares = state.workspace_shares
    if not shares.uses:
        return
    if not _has_workspaces(state):
        state.workspace_shares = states.WorkspaceShares()
        return
    sheds = state.backend.level > ranks.LOWEST
    total_ms = sum(use.recent_ms for use in shares.uses.values())
    if sheds and total_ms > 0.0:
        _raise_factors(state, total_ms)
    else:
        for use in shares.uses.values():
            use.factor = max(1.0, use.factor * math.exp(-MAX_LOWER))
    _age(shares, total_ms, sheds=sheds)
    shares.reported = _largest(shares) if sheds else ()


def _has_workspaces(state: states.State) -> bool:
    return state.routes is not None and state.routes.needs_keys


def _raise_factors(state: states.State, total_ms: float) -> None:
    """Raise the factors of workspaces above their fair share, and lower the others."""
    uses = state.workspace_shares.uses
    position = (state.backend.level % ranks.BAND) / ranks.BAND
    demands = {
        name: use.recent_ms / _kept(use.factor, position) for name, use in uses.items()
    }
    shares = state.workspace_shares
    fair = max_min(demands, _weights(shares), total_ms)
    equal_ms = total_ms / len(uses)
    is_learned = shares.learned >= LEAST_LEARNED
    highest = MAX_FACTOR if is_learned else MAX_UNLEARNED_FACTOR
    for name, use in uses.items():
        allowed_ms = max(MARGIN * fair[name], equal_ms)
        is_above = use.recent_ms > allowed_ms
        if is_above and not _is_significant(use, fair[name]):
            continue
        if not is_above and use.factor == 1.0:
            continue
        step = _step(use.recent_ms, allowed_ms)
        use.factor = min(highest, max(1.0, use.factor * math.exp(step)))


def _is_significant(use: states.WorkspaceUse, fair_ms: float) -> bool:
    """Whether the slot time is more than chance above the fair share."""
    if not use.recent_ms:
        return False
    call_ms = use.variance / use.recent_ms
    chance_ms = DEVIATIONS * math.sqrt(fair_ms * call_ms) + call_ms
    return use.recent_ms > fair_ms + chance_ms


def _step(used_ms: float, allowed_ms: float) -> float:
    """Return by how much to raise the logarithm of a factor."""
    if used_ms <= 0.0:
        return -MAX_LOWER
    step = GAIN * math.log(used_ms / allowed_ms)
    return max(-MAX_LOWER, min(MAX_RAISE, step))


def _kept(factor: float, position: float) -> float:
    """Return the estimated share of a workspace's roots above the level.

    :param position: of the level in its band.
    """
    return max(MIN_KEPT, 1.0 - math.pow(position, 1.0 / factor))


def _weights(shares: states.WorkspaceShares) -> dict[str, float]:
    """Return the usual share of each workspace, or equal ones while not known."""
    if shares.learned < LEAST_LEARNED:
        return dict.fromkeys(shares.uses, 1.0)
    return {
        name: max(LEAST_WEIGHT, use.usual / shares.learned)
        for name, use in shares.uses.items()
    }


def _age(shares: states.WorkspaceShares, total_ms: float, *, sheds: bool) -> None:
    """Let the counted slot time decay, and learn the usual shares."""
    uses = shares.uses
    if total_ms > 0.0:
        gain = WINDOW_MS / (USUAL_SHED_MS if sheds else USUAL_MS)
        shares.learned += gain * (1.0 - shares.learned)
        for use in uses.values():
            use.usual += gain * (use.recent_ms / total_ms - use.usual)
    decay = math.exp(-WINDOW_MS / RECENT_MS)
    for name, use in list(uses.items()):
        use.recent_ms *= decay
        use.variance *= decay
        if use.recent_ms < _NEGLIGIBLE_MS and use.usual * len(uses) < 0.01:
            del uses[name]
    if len(uses) > KEPT:
        by_use = sorted(uses, key=lambda name: uses[name].recent_ms, reverse=True)
        for name in by_use[KEPT:]:
            del uses[name]


def _largest(shares: states.WorkspaceShares) -> messages.WorkspaceFactors:
    return _report(
        {name: use.factor for name, use in shares.uses.items() if use.factor > 1.0}
    )


def _report(factors: dict[str, float]) -> messages.WorkspaceFactors:
    """Return the largest factors, as load reports carry them."""
    largest = sorted(factors.items(), key=lambda item: (-item[1], item[0]))
    return tuple(
        (ids.WorkspaceName(name), round(factor * 1_000.0))
        for name, factor in largest[:MAX_REPORTED]
        if factor >= LEAST_REPORTED
    )


def report_of(
    state: states.State, service: ids.ServiceName
) -> messages.WorkspaceFactors:
    """Return the factors of a service for a load report: this node's own or those
    reported to it."""
    backend = state.backend
    if service == backend.service and backend.present:
        return state.workspace_shares.reported
    known = _fresh(state, service)
    return () if known is None else _report(known.factors)


def on_report(
    state: states.State,
    service: ids.ServiceName,
    report: messages.LoadReport,
) -> None:
    """Record the factors in the load report of an upstream.

    :param service: of the upstream, which relays the factors of another one. Those of
        several home nodes or relaying nodes are averaged; older ones are ignored.
    """
    known = state.reported_factors.get(report.bottleneck)
    if known is None and not report.bottleneck_factors:
        return
    if known is None or _is_expired(state, known):
        known = states.ReportedFactors()
        state.reported_factors[report.bottleneck] = known
    age_ms = 0.0 if report.bottleneck == service else report.bottleneck_age_ms
    reported_at = state.now - max(0.0, age_ms)
    if reported_at > known.reported_at:
        elapsed = reported_at - known.reported_at
        weight = 1.0 - math.exp(-elapsed / AVERAGED_MS) if known.reported_at else 1.0
        _average(known.factors, report.bottleneck_factors, weight)
        known.reported_at = reported_at


def _average(
    factors: dict[str, float],
    reported: messages.WorkspaceFactors,
    weight: float,
) -> None:
    """Include a report in the known factors; those that it does not name are 1."""
    for name in factors:
        factors[name] += weight * (1.0 - factors[name])
    for name, factor_milli in reported[:MAX_REPORTED]:
        excess = min(MAX_FACTOR, max(1.0, factor_milli / 1_000.0)) - 1.0
        factors[name] = factors.get(name, 1.0) + weight * excess
    for name in [name for name, factor in factors.items() if factor < LEAST_KEPT]:
        del factors[name]


def _is_expired(state: states.State, known: states.ReportedFactors) -> bool:
    return state.now - known.reported_at > FRESH_MS


def _fresh(
    state: states.State, service: ids.ServiceName
) -> states.ReportedFactors | None:
    known = state.reported_factors.get(service)
    return None if known is None or _is_expired(state, known) else known


def factor_of(
    state: states.State, kind: str, service: ids.ServiceName, workspace: str
) -> float:
    """Return the factor of a workspace for a root of a kind, 1 if there is none.

    :param service: of the kind.
    """
    if not workspace:
        return 1.0
    cost = state.costs.reported.get(kind)
    bottleneck = service if cost is None else cost.service
    backend = state.backend
    if bottleneck == backend.service and backend.present:
        return own_factors(state).get(workspace, 1.0)
    known = _fresh(state, bottleneck)
    return 1.0 if known is None else known.factors.get(workspace, 1.0)


def own_factors(state: states.State) -> dict[str, float]:
    """Return the factors that this node reports for its own service."""
    reported = state.workspace_shares.reported
    return {name: factor_milli / 1_000.0 for name, factor_milli in reported}


def shedding_hash(root: int, factor: float) -> ids.RootHash:
    """Return the hash of a root, lowered by the factor of its workspace."""
    return slot_costs.lowered_hash(root, factor)


def count_refusal(state: states.State, call: states.Call) -> None:
    """Count a root that was shed while the factor of its workspace was above 1."""
    usage = state.caps.usage
    counted = usage.get(call.workspace) or usage.get(states.OTHER_WORKSPACES)
    if counted is not None:
        counted.shed_for_share += 1
