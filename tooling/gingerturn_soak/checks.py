"""The promises, checked by what callers and backend servers saw."""

import collections
import collections.abc

import msgspec

from gingerturn_soak import callers, ledger as ledgers, schedule

PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
APPLY_MS = 2_000.0
"""A change is in force, and an acknowledged leaving holds, after this time."""

TOUCH_MS = 3_000.0
"""After a fault a node is given this long before bounds on time hold for it again."""

GRACE_MS = 6_000.0
"""A planned stop takes at most this long."""

WINDOW_MS = 10_000.0
RATIO = 0.2
SLACK = 49.0
ENDS = 3
"""Ends under one request until it is kept out, and runs that are borne after it."""

SERVED_AGAIN = 0.95
"""Share of the requests that is served once all faults are over."""


class Fault(msgspec.Struct):
    """A step that was carried out.

    :param node: the machine, empty where all are meant.
    :param code: exit status of a node that was stopped.
    """

    kind: schedule.Kind
    node: str
    began: float
    ended: float
    code: int | None = None


class Seen(msgspec.Struct):
    """Everything that was seen of a run.

    :param published: when each version of the configuration was acknowledged.
    :param healed: when all faults were over; 0 where that is not checked.
    """

    attempts: list[callers.Attempt]
    ledger: ledgers.Ledger
    faults: list[Fault]
    published: dict[int, float]
    healed: float


Check = collections.abc.Callable[[Seen], collections.abc.Iterator[str]]
"""Yields a sentence for each promise that was broken."""


def at_most_once(seen: Seen) -> collections.abc.Iterator[str]:
    """What may not be repeated runs at most once."""
    for attempt in seen.attempts:
        runs = seen.ledger.runs[attempt.id]
        if not attempt.repeatable and runs > 1:
            yield f"{attempt.id} ran {runs} times"


def not_run_is_true(seen: Seen) -> collections.abc.Iterator[str]:
    """What was said not to have run has not run, and never does."""
    for attempt in seen.attempts:
        promised = attempt.status in PROMISES_NOT_RUN
        if not attempt.repeatable and promised and seen.ledger.runs[attempt.id]:
            yield f"{attempt.id} was answered {attempt.status} and ran"


def answers_are_whole(seen: Seen) -> collections.abc.Iterator[str]:
    """A success is the backend server's own answer to that request, whole."""
    for attempt in seen.attempts:
        if not attempt.whole:
            yield f"{attempt.id} got another or half an answer"


def answers_come_in_time(seen: Seen) -> collections.abc.Iterator[str]:
    """A caller has its final answer soon after its deadline at the latest."""
    for attempt in seen.attempts:
        late = attempt.ended - attempt.began > callers.DEADLINE_MS + TOUCH_MS
        if late and not _disturbed(seen, attempt.began, attempt.ended):
            yield f"{attempt.id} waited {attempt.ended - attempt.began:.0f} ms"


def leaving_gets_no_work(seen: Seen) -> collections.abc.Iterator[str]:
    """A backend server whose leaving was acknowledged gets no new work."""
    left = {entry.instance: entry.at for entry in seen.ledger.of("acknowledged")}
    for entry in seen.ledger.of("run"):
        since = entry.at - left.get(entry.instance, entry.at)
        if since > APPLY_MS:
            yield f"{entry.id} came to {entry.instance} {since:.0f} ms after it left"


def stops_cut_nothing(seen: Seen) -> collections.abc.Iterator[str]:
    """A planned stop answers what it took in, and ends in time by itself."""
    for stop in seen.faults:
        if stop.kind is not schedule.Kind.NODE_STOP:
            continue
        end = stop.began + GRACE_MS
        if _disturbed(seen, stop.began - TOUCH_MS, end):
            continue
        if stop.code != 0:
            yield f"{stop.node} ended its planned stop with {stop.code}"
        for attempt in seen.attempts:
            inside = stop.began - TOUCH_MS < attempt.began < end
            cut = attempt.problem and seen.ledger.arrivals[attempt.id]
            if attempt.node == stop.node and inside and cut:
                yield f"{attempt.id} was cut by a planned stop ({attempt.problem})"


def configuration_in_time(seen: Seen) -> collections.abc.Iterator[str]:
    """A change is in force in time at every node that is in touch."""
    for attempt in seen.attempts:
        if not attempt.version or attempt.status != 404:
            continue
        since = attempt.began - seen.published[attempt.version]
        begin = attempt.began - TOUCH_MS - APPLY_MS
        near = _out_of_touch(seen, begin, attempt.ended, attempt.node)
        if since > APPLY_MS and not near:
            yield (
                f"{attempt.node} did not know version {attempt.version} after"
                f" {since:.0f} ms"
            )


def configuration_never_back(seen: Seen) -> collections.abc.Iterator[str]:
    """A node that served by a version never falls behind it again."""
    served: dict[tuple[str, int, int], float] = {}
    for attempt in sorted(seen.attempts, key=lambda a: a.ended):
        place = (attempt.node, attempt.incarnation, attempt.version)
        if attempt.version and attempt.status == 200:
            served.setdefault(place, attempt.ended)
        elif attempt.status == 404 and attempt.began > served.get(place, float("inf")):
            yield f"{attempt.node} went back behind version {attempt.version}"


def retries_are_bounded(seen: Seen) -> collections.abc.Iterator[str]:
    """In no window has a service more repeats than allowed."""
    by_service: dict[str, list[ledgers.Entry]] = collections.defaultdict(list)
    for entry in seen.ledger.of("arrived"):
        by_service[entry.service].append(entry)
    for service, entries in by_service.items():
        first: set[str] = set()
        arrivals = []
        for entry in entries:
            arrivals.append((entry.at, entry.id in first))
            first.add(entry.id)
        for start, _ in arrivals:
            inside = [
                again for at, again in arrivals if start <= at < start + WINDOW_MS
            ]
            allowed = RATIO * (len(inside) - sum(inside)) + SLACK
            if sum(inside) > allowed:
                yield f"{service} got {sum(inside)} repeats in a window"
                break


def deadly_requests_are_kept_out(seen: Seen) -> collections.abc.Iterator[str]:
    """A request under which three backend servers ended reaches at most three more,
    once nodes had time to hear of the third."""
    runs = [e.at for e in seen.ledger.of("run") if e.id.startswith(callers.DEADLY_IDS)]
    if len(runs) < ENDS:
        return
    third = runs[ENDS - 1]
    late = [at for at in runs if at > third + TOUCH_MS]
    others = [f for f in seen.faults if f.kind is not schedule.Kind.DEADLY]
    near = any(_touches(f, third - TOUCH_MS, runs[-1]) for f in others)
    if len(late) > ENDS and not near:
        yield f"a deadly request ran {len(late)} times more"


def serves_again(seen: Seen) -> collections.abc.Iterator[str]:
    """Once the faults are over, requests are served."""
    if not seen.healed:
        return
    late = [a for a in seen.attempts if a.began > seen.healed and not a.version]
    served = sum(attempt.status == 200 for attempt in late)
    if not late or served < SERVED_AGAIN * len(late):
        yield f"{served} of {len(late)} served after the faults"


SAFETY: tuple[Check, ...] = (
    at_most_once,
    not_run_is_true,
    answers_are_whole,
    configuration_never_back,
)
"""These hold whatever the machine does."""

TIMING: tuple[Check, ...] = (
    answers_come_in_time,
    leaving_gets_no_work,
    stops_cut_nothing,
    configuration_in_time,
    retries_are_bounded,
    deadly_requests_are_kept_out,
    serves_again,
)
"""These hold on a machine that gives the processes their time."""


def broken(seen: Seen, *, timing: bool) -> list[str]:
    """Return a sentence for each promise that was broken."""
    found: list[str] = []
    for check in SAFETY + (TIMING if timing else ()):
        found += [f"{check.__name__}: {text}" for text in check(seen)]
    return found


def _disturbed(seen: Seen, begin: float, end: float) -> bool:
    """Tell whether any unplanned fault touches a time."""
    return any(
        _touches(fault, begin, end)
        for fault in seen.faults
        if fault.kind not in schedule.PLANNED
    )


def _out_of_touch(seen: Seen, begin: float, end: float, node: str) -> bool:
    """Tell whether something was done to a node, or to the log, at a time."""
    return any(
        _touches(fault, begin, end)
        for fault in seen.faults
        if fault.node in {node, ""} and fault.kind is not schedule.Kind.CONFIGURE
    )


def _touches(fault: Fault, begin: float, end: float) -> bool:
    return fault.began < end and fault.ended + TOUCH_MS > begin
