"""Checks of the guarantees, on what callers and backend servers observed."""

import collections
import collections.abc

import msgspec

from gingerturn_soak import (
    callers,
    ledger as ledgers,
    raw_callers,
    schedule,
    watch,
)

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
APPLY_MS = 2_000.0
"""Time after which a change is in force and an acknowledged drain holds."""

RECOVERY_MS = 3_000.0
"""Time after a fault before bounds on time hold again."""

STOP_GRACE_MS = 6_000.0
"""Longest duration of a planned stop."""

RETRY_WINDOW_MS = 10_000.0
RETRY_RATIO = 0.2
RETRY_SLACK = 49.0
MAX_CRASHES = 3
"""Crashes under one request until its quarantine, and runs tolerated after it."""

LIMIT_WINDOW_MS = 4_000.0
LIMIT_SETTLE_MS = 3_000.0
"""Time from the first report of a rate limit until it is checked."""

LIMIT_KNOWN_MS = 500.0
"""Time from the relay of a report until requests of that node count."""

LIMIT_EXCESS = 1.5
LIMIT_SLACK = 5.0

MIN_SERVED_SHARE = 0.95
"""Share of the requests that must be served once all faults are over."""


class Fault(msgspec.Struct):
    """A step that was run.

    :param node: the machine; empty for a step that affects all.
    :param exit_status: of a node that was stopped.
    """

    kind: schedule.Kind
    node: str
    began: float
    ended: float
    exit_status: int | None = None


class View(msgspec.Struct, frozen=True):
    """What a node knows at the end of a run.

    :param upstreams: backend servers that it knows, of all nodes.
    :param version: configuration version that it has in force.
    """

    node: str
    ready: bool
    upstreams: int
    version: int


class Observations(msgspec.Struct):
    """Everything that was observed in a run.

    :param published: when each configuration version was acknowledged.
    :param healed: when all faults were over; 0 where recovery is not checked.
    :param exchanges: requests of callers on raw sockets.
    :param ended: when the observation ended.
    :param odd: requests with odd values.
    :param views: what the nodes know at the end.
    :param upstreams: backend servers that run at the end.
    :param late_ms: by how much the callers themselves were late at most.
    """

    attempts: list[callers.Attempt]
    ledger: ledgers.Ledger
    faults: list[Fault]
    published: dict[int, float]
    healed: float
    exchanges: list[raw_callers.Exchange] = msgspec.field(default_factory=list)
    lives: list[watch.Life] = msgspec.field(default_factory=list)
    backend_ends: list[watch.BackendEnd] = msgspec.field(default_factory=list)
    ended: float = 0.0
    odd: list[raw_callers.Exchange] = msgspec.field(default_factory=list)
    views: list[View] = msgspec.field(default_factory=list)
    upstreams: int = 0
    late_ms: float = 0.0


Check = collections.abc.Callable[[Observations], collections.abc.Iterator[str]]
"""Yields a sentence for each violation."""


def at_most_once(observed: Observations) -> collections.abc.Iterator[str]:
    """An unrepeatable request runs at most once."""
    for attempt in observed.attempts:
        runs = observed.ledger.runs[attempt.id]
        if not attempt.repeatable and runs > 1:
            yield f"{attempt.id} ran {runs} times"


def not_run_is_true(observed: Observations) -> collections.abc.Iterator[str]:
    """A request answered as not run has not run, and never does."""
    for attempt in observed.attempts:
        promised = attempt.status in NOT_RUN_STATUSES
        if not attempt.repeatable and promised and observed.ledger.runs[attempt.id]:
            yield f"{attempt.id} was answered {attempt.status} and ran"


def answers_are_whole(observed: Observations) -> collections.abc.Iterator[str]:
    """A success is the backend server's complete answer to that request."""
    for attempt in observed.attempts:
        if not attempt.intact:
            yield f"{attempt.id} got a wrong or truncated answer"


def answers_come_in_time(observed: Observations) -> collections.abc.Iterator[str]:
    """A caller has its final answer shortly after its deadline at the latest."""
    for attempt in observed.attempts:
        late = attempt.ended - attempt.began > callers.DEADLINE_MS + RECOVERY_MS
        if late and not _overlaps_unplanned_fault(
            observed, attempt.began, attempt.ended
        ):
            yield f"{attempt.id} waited {attempt.ended - attempt.began:.0f} ms"


def leaving_gets_no_work(observed: Observations) -> collections.abc.Iterator[str]:
    """A backend server whose drain was acknowledged gets no new requests."""
    drained_at = {
        entry.instance: entry.at for entry in observed.ledger.of("acknowledged")
    }
    for entry in observed.ledger.of("run"):
        at = entry.reached or entry.at
        since = at - drained_at.get(entry.instance, at)
        if since > APPLY_MS:
            yield f"{entry.id} reached {entry.instance} {since:.0f} ms after its drain"


def limits_are_kept(observed: Observations) -> collections.abc.Iterator[str]:
    """A backend server gets no more than the rate limit it reports allows, counting the
    nodes that relayed such an answer."""
    periods = _limited_periods(observed)
    relayed = _relays(observed, lambda attempt: attempt.limited)
    sent = {attempt.id: attempt for attempt in observed.attempts}
    for instance, begin, end, limit in periods:
        times = []
        for entry in observed.ledger.of("arrived"):
            attempt = sent.get(entry.id)
            if entry.instance != instance or attempt is None:
                continue
            since = relayed.get((attempt.node, attempt.incarnation, instance))
            if _is_bound(observed, attempt, since, entry.at):
                times.append(entry.at)
        allowed = LIMIT_EXCESS * limit * LIMIT_WINDOW_MS / 1000.0 + LIMIT_SLACK
        for last in times:
            start = last - LIMIT_WINDOW_MS
            count = sum(start < at <= last for at in times)
            checked = begin + LIMIT_SETTLE_MS <= last <= end
            if not checked or count <= allowed:
                continue
            if not _is_link_delayed(observed, instance, start, last):
                yield f"{instance} got {count} requests in 4 s, allowed {allowed:.1f}"
                break


def reported_leaving_gets_no_work(
    observed: Observations,
) -> collections.abc.Iterator[str]:
    """A node that relayed an answer that reports leaving sends that backend server no
    request that began later than the time to drain."""
    relayed = _relays(observed, lambda attempt: attempt.leaving)
    sent = {attempt.id: attempt for attempt in observed.attempts}
    for entry in observed.ledger.of("arrived"):
        attempt = sent.get(entry.id)
        if attempt is None:
            continue
        since = relayed.get((attempt.node, attempt.incarnation, entry.instance))
        if since is None or attempt.began - since <= APPLY_MS:
            continue
        if not _is_paused(observed, attempt.node, since, entry.at):
            late = attempt.began - since
            yield f"{entry.id} reached {entry.instance} {late:.0f} ms after its report"


def _limited_periods(
    observed: Observations,
) -> list[tuple[str, float, float, float]]:
    """Return instance, begin, end and rate of each limit that was reported."""
    found = []
    open_periods: dict[str, tuple[float, float]] = {}
    for entry in observed.ledger.of("limit"):
        if entry.instance in open_periods:
            begin, limit = open_periods.pop(entry.instance)
            found.append((entry.instance, begin, entry.at, limit))
        if entry.id:
            open_periods[entry.instance] = (entry.at, float(entry.id))
    for instance, (begin, limit) in open_periods.items():
        found.append((instance, begin, float("inf"), limit))
    return found


def _relays(
    observed: Observations,
    reported: collections.abc.Callable[[callers.Attempt], bool],
) -> dict[tuple[str, int, str], float]:
    """Return when each start of a node first relayed a report of each instance."""
    found: dict[tuple[str, int, str], float] = {}
    for attempt in sorted(observed.attempts, key=lambda a: a.ended):
        if attempt.instance and reported(attempt):
            key = (attempt.node, attempt.incarnation, attempt.instance)
            found.setdefault(key, attempt.ended)
    return found


def _is_bound(
    observed: Observations, attempt: callers.Attempt, since: float | None, at: float
) -> bool:
    """Whether a request counts that arrived at a backend server with a rate limit.

    :param since: when its node first relayed a report of that limit, if it did.
    """
    if since is None or since > at - LIMIT_KNOWN_MS:
        return False
    return not _is_paused(observed, attempt.node, since, at)


def _is_paused(observed: Observations, node: str, begin: float, end: float) -> bool:
    """Whether a node was paused in a period."""
    return any(
        fault.kind is schedule.Kind.NODE_PAUSE
        and fault.node == node
        and overlaps(fault, begin, end)
        for fault in observed.faults
    )


def _is_link_delayed(
    observed: Observations, instance: str, begin: float, end: float
) -> bool:
    """Whether requests on the way to an instance were delayed in a period, so that they
    may have arrived together."""
    return any(
        fault.kind in {schedule.Kind.BACKEND_LINK, schedule.Kind.BACKEND_PAUSE}
        and f"{instance}-".startswith(f"i-{fault.node}-")
        and overlaps(fault, begin - RECOVERY_MS, end)
        for fault in observed.faults
    )


def stops_cut_nothing(observed: Observations) -> collections.abc.Iterator[str]:
    """A planned stop answers all accepted requests, and the node exits in time."""
    for stop in observed.faults:
        if stop.kind is not schedule.Kind.NODE_STOP:
            continue
        end = stop.began + STOP_GRACE_MS
        if _overlaps_unplanned_fault(observed, stop.began - RECOVERY_MS, end):
            continue
        # With requests that may outlast the grace, the ends of all processes are
        # checked with these requests (promises.processes_end_only_when_told).
        if stop.exit_status != 0 and not observed.exchanges:
            yield f"{stop.node} exited from its planned stop with {stop.exit_status}"
        for attempt in observed.attempts:
            inside = stop.began - RECOVERY_MS < attempt.began < end
            cut = attempt.error and observed.ledger.arrivals[attempt.id]
            if attempt.node == stop.node and inside and cut:
                yield f"{attempt.id} was cut by a planned stop ({attempt.error})"


def configuration_in_time(observed: Observations) -> collections.abc.Iterator[str]:
    """A change is in force in time at every node that no fault affects."""
    for attempt in observed.attempts:
        if not attempt.version or not attempt.unrouted:
            continue
        since = attempt.began - observed.published[attempt.version]
        begin = attempt.began - RECOVERY_MS - APPLY_MS
        near_fault = _overlaps_fault_of(observed, begin, attempt.ended, attempt.node)
        if since > APPLY_MS and not near_fault:
            yield (
                f"{attempt.node} did not know version {attempt.version} after"
                f" {since:.0f} ms"
            )


def configuration_never_back(observed: Observations) -> collections.abc.Iterator[str]:
    """A node that served by a version never serves by an older one again."""
    served: dict[tuple[str, int, int], float] = {}
    for attempt in sorted(observed.attempts, key=lambda a: a.ended):
        key = (attempt.node, attempt.incarnation, attempt.version)
        if attempt.version and attempt.status == 200:
            served.setdefault(key, attempt.ended)
        elif attempt.unrouted and attempt.began > served.get(key, float("inf")):
            yield f"{attempt.node} fell back behind version {attempt.version}"


def retries_are_bounded(observed: Observations) -> collections.abc.Iterator[str]:
    """The repeats of a service stay within their bound in every window."""
    by_service: dict[str, list[ledgers.Entry]] = collections.defaultdict(list)
    for entry in observed.ledger.of("arrived"):
        by_service[entry.service].append(entry)
    for service, entries in by_service.items():
        first: set[str] = set()
        arrivals = []
        for entry in entries:
            arrivals.append((entry.at, entry.id in first))
            first.add(entry.id)
        for start, _ in arrivals:
            inside = [
                is_repeat
                for at, is_repeat in arrivals
                if start <= at < start + RETRY_WINDOW_MS
            ]
            allowed = RETRY_RATIO * (len(inside) - sum(inside)) + RETRY_SLACK
            if sum(inside) > allowed:
                yield f"{service} got {sum(inside)} repeats in a window"
                break


def deadly_requests_are_kept_out(
    observed: Observations,
) -> collections.abc.Iterator[str]:
    """A request under which three backend servers crashed reaches at most three more,
    once the report of the third crash has spread."""
    runs = [
        e.at for e in observed.ledger.of("run") if e.id.startswith(callers.DEADLY_IDS)
    ]
    if len(runs) < MAX_CRASHES:
        return
    third = runs[MAX_CRASHES - 1]
    late = [at for at in runs if at > third + RECOVERY_MS]
    harmless = {schedule.Kind.DEADLY, schedule.Kind.ODD_ENTRIES}
    others = [f for f in observed.faults if f.kind not in harmless]
    near_fault = any(overlaps(f, third - RECOVERY_MS, runs[-1]) for f in others)
    if len(late) > MAX_CRASHES and not near_fault:
        yield f"a crashing request ran {len(late)} times after its quarantine"


def serves_again(observed: Observations) -> collections.abc.Iterator[str]:
    """Requests are served once the faults are over."""
    if not observed.healed:
        return
    late = [a for a in observed.attempts if a.began > observed.healed and not a.version]
    served = sum(attempt.status == 200 for attempt in late)
    if not late or served < MIN_SERVED_SHARE * len(late):
        yield f"{served} of {len(late)} served after the faults"


def every_node_recovers(observed: Observations) -> collections.abc.Iterator[str]:
    """Once all is over each node is ready, has the latest version in force, and knows
    every other one."""
    latest = max(observed.published, default=0)
    for view in observed.views:
        if not view.ready:
            yield f"{view.node} is not ready"
        if view.version != latest:
            yield f"{view.node} has version {view.version} in force, not {latest}"
        if view.upstreams != observed.upstreams:
            known = f"{view.upstreams} of {observed.upstreams}"
            yield f"{view.node} knows {known} backend servers"


SAFETY: tuple[Check, ...] = (
    at_most_once,
    not_run_is_true,
    answers_are_whole,
    configuration_never_back,
    every_node_recovers,
)
"""Checks that hold on any machine."""

TIMING: tuple[Check, ...] = (
    answers_come_in_time,
    leaving_gets_no_work,
    limits_are_kept,
    reported_leaving_gets_no_work,
    stops_cut_nothing,
    configuration_in_time,
    retries_are_bounded,
    deadly_requests_are_kept_out,
    serves_again,
)
"""Checks that need a machine on which the processes are scheduled in time."""


def violations(observed: Observations, *, timing: bool) -> list[str]:
    """Return a sentence for each violation."""
    found: list[str] = []
    for check in SAFETY + (TIMING if timing else ()):
        found += [f"{check.__name__}: {text}" for text in check(observed)]
    return found


def _overlaps_unplanned_fault(observed: Observations, begin: float, end: float) -> bool:
    """Return whether an unplanned fault overlaps a period."""
    return any(
        overlaps(fault, begin, end)
        for fault in observed.faults
        if fault.kind not in schedule.PLANNED_KINDS
    )


def _overlaps_fault_of(
    observed: Observations, begin: float, end: float, node: str
) -> bool:
    """Return whether a fault of a node or of the log overlaps a period."""
    return any(
        overlaps(fault, begin, end)
        for fault in observed.faults
        if fault.node in {node, ""} and fault.kind not in schedule.HARMLESS_KINDS
    )


def overlaps(fault: Fault, begin: float, end: float) -> bool:
    """Return whether a fault, with the time to recover from it, overlaps a period."""
    return fault.began < end and fault.ended + RECOVERY_MS > begin
