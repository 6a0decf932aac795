"""Checks of what was promised to requests that last, and of how processes end."""

import collections.abc
import signal

from gingerturn_soak import (
    checks,
    ledger as ledgers,
    raw_callers,
    schedule,
    watch,
)

GRACE_MS = checks.STOP_GRACE_MS
LATE_GRACE_MS = GRACE_MS * 5.0 / 6.0
"""Time from a SIGTERM after which a request that an upstream still works at may be
ended."""

LAST_SENT_MS = 3_000.0
"""Time from a SIGTERM until which such a request was sent."""

LOSS_SLACK_MS = 200.0
"""Longest time from the last byte of a request to the end of its connection, if it
crossed that end and was not read."""

RECOVER_MS = 15_000.0
"""Time from its start, and from the last fault, in which a node becomes ready."""

CUT_STATUS = 3
"""Exit status of a stop that cut requests."""

_Ending = raw_callers.Ending


def passed_on_requests_are_answered(
    observed: checks.Observations,
) -> collections.abc.Iterator[str]:
    """A request that reached an upstream gets one whole answer."""
    for exchange in observed.exchanges:
        arrived = observed.ledger.arrivals[exchange.id] > 0
        if arrived and _is_unanswered(exchange) and not _excuse(observed, exchange):
            yield _describe(observed, exchange)


def read_requests_are_answered(
    observed: checks.Observations,
) -> collections.abc.Iterator[str]:
    """A request that was sent whole gets one whole answer, unless it crossed the end of
    its connection."""
    for exchange in observed.exchanges:
        if observed.ledger.arrivals[exchange.id] or not exchange.sent:
            continue
        waited = (exchange.ended - exchange.sent) * 1_000.0
        crossed = waited <= LOSS_SLACK_MS or exchange.behind_close
        if crossed or not _is_unanswered(exchange) or _excuse(observed, exchange):
            continue
        yield _describe(observed, exchange)


def uploads_are_not_cut(
    observed: checks.Observations,
) -> collections.abc.Iterator[str]:
    """An upload that is under way at a planned stop is read until the grace nearly
    ends."""
    for exchange in observed.exchanges:
        if exchange.sent or not _is_unanswered(exchange):
            continue
        began, ended = exchange.began * 1_000.0, exchange.ended * 1_000.0
        is_under_way = ended - began > LOSS_SLACK_MS
        late = any(
            stop + LATE_GRACE_MS < ended
            for stop in _stops(observed, {exchange.node}, began, ended)
        )
        if is_under_way and not late and not _excuse(observed, exchange):
            yield _describe(observed, exchange)


def connections_are_accepted(
    observed: checks.Observations,
) -> collections.abc.Iterator[str]:
    """A node that is ready and was not told to stop accepts connections."""
    for exchange in observed.exchanges:
        if exchange.ending is not _Ending.REFUSED:
            continue
        if _must_serve(observed, exchange, exchange.began):
            yield _describe(observed, exchange)


def odd_requests_are_answered(
    observed: checks.Observations,
) -> collections.abc.Iterator[str]:
    """A request with odd values gets an answer, and fails in no node."""
    for exchange in observed.odd:
        answered = exchange.ending is _Ending.ANSWERED and exchange.status != 500
        if not answered and _must_serve(observed, exchange, exchange.ended):
            yield _describe(observed, exchange)


def no_false_success(
    observed: checks.Observations,
) -> collections.abc.Iterator[str]:
    """A whole success has the signature and the length of an upstream's answer, and no
    bytes arrive that belong to no request."""
    for exchange in observed.exchanges:
        if exchange.surplus or exchange.ending is _Ending.GARBLED:
            if not _has_broken_backend(observed, exchange):
                yield f"surplus bytes: {_describe(observed, exchange)}"
            continue
        if exchange.ending is not _Ending.ANSWERED or exchange.status >= 400:
            continue
        short = exchange.expected not in {-1, exchange.body}
        if short or not exchange.signed:
            yield f"not the upstream's answer: {_describe(observed, exchange)}"


def replaced_answers_have_an_excuse(
    observed: checks.Observations,
) -> collections.abc.Iterator[str]:
    """A planned stop does not replace the answer of an upstream at work."""
    for exchange in observed.exchanges:
        own = exchange.status >= 500 and not exchange.signed
        arrived = observed.ledger.arrivals[exchange.id] > 0
        if exchange.ending is not _Ending.ANSWERED or not (own and arrived):
            continue
        if exchange.status in checks.NOT_RUN_STATUSES:
            continue
        began, ended = exchange.began * 1_000.0, exchange.ended * 1_000.0
        if not _stops(observed, {exchange.node}, began, ended):
            continue
        if not _excuse(observed, exchange):
            yield _describe(observed, exchange)


def not_run_is_true_of_lasting_requests(
    observed: checks.Observations,
) -> collections.abc.Iterator[str]:
    """An unrepeatable request runs at most once, and not if answered as not run."""
    for exchange in observed.exchanges:
        runs = observed.ledger.runs[exchange.id]
        if exchange.repeatable:
            continue
        promised = (
            exchange.ending is _Ending.ANSWERED
            and exchange.status in checks.NOT_RUN_STATUSES
            and not exchange.signed
        )
        if runs > 1 or (promised and runs):
            yield f"ran {runs} times: {_describe(observed, exchange)}"


def processes_end_only_when_told(
    observed: checks.Observations,
) -> collections.abc.Iterator[str]:
    """A process ends only when told, and with 0 after a stop that cut nothing."""
    for life in observed.lives:
        if life.status is None:
            continue
        terminated = life.signalled(signal.SIGTERM)
        overdue = any(told.overdue for told in life.told)
        if overdue and not _is_paused(observed, life.node, terminated, life.ended):
            lasted = life.ended - terminated
            yield f"{life.node} still ran {lasted:.0f} ms after its SIGTERM"
        elif life.signalled(signal.SIGKILL):
            continue
        elif not terminated:
            yield f"{life.node} ended by itself with {life.status}"
        elif life.status == CUT_STATUS and _may_cut(observed, life.node, terminated):
            continue
        elif life.status:
            after = (terminated - life.began) / 1_000.0
            yield (
                f"{life.node} ended with {life.status} after a SIGTERM"
                f" {after:.2f} s after its start"
            )


def starts_become_ready(
    observed: checks.Observations,
) -> collections.abc.Iterator[str]:
    """A process that is not told to end becomes ready in time."""
    for life in observed.lives:
        end = life.ready or life.ended or observed.ended
        if life.ready and life.ready - life.began <= RECOVER_MS:
            continue
        if any(told.number in _ENDING for told in life.told):
            continue
        disturbed = [
            fault.ended
            for fault in observed.faults
            if fault.node in {life.node, ""}
            and fault.kind not in schedule.HARMLESS_KINDS
            and life.began < fault.ended < end
        ]
        waited = end - max([life.began, *disturbed])
        if waited > RECOVER_MS:
            yield f"{life.node} was not ready {waited:.0f} ms after its start"


def lasting_requests_are_served_again(
    observed: checks.Observations,
) -> collections.abc.Iterator[str]:
    """Requests that last are served as before once the faults are over, and what
    callers that left took is free again."""
    late = [
        exchange
        for exchange in observed.exchanges
        if observed.healed
        and exchange.began * 1_000.0 > observed.healed
        and exchange.ending is not _Ending.LEFT
    ]
    for probes in (False, True):
        chosen = [e for e in late if e.shape.startswith("probe") is probes]
        served = sum(
            e.ending is _Ending.ANSWERED and 200 <= e.status < 400 for e in chosen
        )
        if served < checks.MIN_SERVED_SHARE * len(chosen):
            failed = sorted(
                f"{e.shape} {e.ending.value} {e.status} {e.title[:60]}"
                for e in chosen
                if e.ending is not _Ending.ANSWERED or e.status >= 400
            )
            label = "probes" if probes else "requests"
            yield f"{served} of {len(chosen)} {label} served: {failed[:5]}"


PROMISES: tuple[checks.Check, ...] = (
    passed_on_requests_are_answered,
    uploads_are_not_cut,
    no_false_success,
    replaced_answers_have_an_excuse,
    not_run_is_true_of_lasting_requests,
    processes_end_only_when_told,
    odd_requests_are_answered,
)
"""Checks that hold on any machine."""

TIMED_PROMISES: tuple[checks.Check, ...] = (
    read_requests_are_answered,
    connections_are_accepted,
    starts_become_ready,
    lasting_requests_are_served_again,
)
"""Checks that need a machine on which the processes are scheduled in time."""

_ENDING = frozenset({signal.SIGTERM, signal.SIGKILL})


def violations(observed: checks.Observations, *, timing: bool) -> list[str]:
    """Return a sentence for each violation."""
    found: list[str] = []
    for check in PROMISES + (TIMED_PROMISES if timing else ()):
        found += [f"{check.__name__}: {text}" for text in check(observed)]
    return found


def _must_serve(
    observed: checks.Observations, exchange: raw_callers.Exchange, until: float
) -> bool:
    """Whether the node of a request was ready and not disturbed, and until a time not
    told to stop."""
    end = until * 1_000.0 + LOSS_SLACK_MS
    # A node that ended by itself is reported by another check.
    serving = any(
        life.node == exchange.node
        and 0.0 < life.ready < exchange.began * 1_000.0
        and not (life.ended and life.ended < end)
        and not _was_told_to_end(life, end)
        for life in observed.lives
    )
    return serving and not _is_disturbed(observed, {exchange.node}, exchange)


def _is_unanswered(exchange: raw_callers.Exchange) -> bool:
    return exchange.ending in {_Ending.FIN, _Ending.RESET, _Ending.TIMEOUT}


def _excuse(observed: checks.Observations, exchange: raw_callers.Exchange) -> bool:
    """Whether a request need not get a whole answer."""
    nodes = {exchange.node, *_homes(observed.ledger, exchange.id)}
    began, ended = exchange.began * 1_000.0, exchange.ended * 1_000.0
    if _is_disturbed(observed, nodes, exchange):
        return True
    if exchange.ending is not _Ending.TIMEOUT and _is_due(exchange):
        return True
    broke_off = any(
        end.node in nodes and began < end.at < ended + checks.RECOVERY_MS
        for end in observed.backend_ends
    )
    return broke_off or _is_cut_late(observed, exchange, nodes)


def _is_due(exchange: raw_callers.Exchange) -> bool:
    """Whether a request lasted until its deadline."""
    lasted_ms = (exchange.ended - exchange.began) * 1_000.0
    return 0 < exchange.deadline_ms <= lasted_ms


def _is_cut_late(
    observed: checks.Observations, exchange: raw_callers.Exchange, nodes: set[str]
) -> bool:
    """Whether an upstream was still at work on a request when the grace of a stop that
    began before it, or shortly before, was nearly over."""
    began, ended = exchange.began * 1_000.0, exchange.ended * 1_000.0
    arrived = [entry.at for entry in observed.ledger.arrived.get(exchange.id, ())]
    if not arrived:
        return False
    stalled_ms = _stalled_ms(observed, exchange, max(arrived))
    works_until = max(arrived) + exchange.lasts_s * 1_000.0 + stalled_ms
    return any(
        stop + LATE_GRACE_MS < min(ended, works_until) and began <= stop + LAST_SENT_MS
        for stop in _stops(observed, nodes, began, ended)
    )


def _stalled_ms(
    observed: checks.Observations, exchange: raw_callers.Exchange, arrived: float
) -> float:
    """Return how long upstreams that a request reached were stopped meanwhile."""
    homes = _homes(observed.ledger, exchange.id)
    ended = exchange.ended * 1_000.0
    return sum(
        max(0.0, min(fault.ended, ended) - max(fault.began, arrived))
        for fault in observed.faults
        if fault.kind is schedule.Kind.BACKEND_STALL and fault.node in homes
    )


def _stops(
    observed: checks.Observations, nodes: set[str], began: float, ended: float
) -> list[float]:
    """Return the SIGTERMs of nodes within whose grace a request was open."""
    found = [
        life.signalled(signal.SIGTERM)
        for life in observed.lives
        if life.node in nodes and life.signalled(signal.SIGTERM)
    ]
    return [at for at in found if at < ended and began < at + GRACE_MS]


def _homes(ledger: ledgers.Ledger, number: str) -> set[str]:
    """Return the machines whose upstreams a request reached."""
    instances = {entry.instance for entry in ledger.arrived.get(number, ())}
    return {instance.split("-")[1] for instance in instances if "-" in instance}


def _is_disturbed(
    observed: checks.Observations, nodes: set[str], exchange: raw_callers.Exchange
) -> bool:
    """Whether an unplanned fault at nodes, their links or upstreams excuses a request.

    Faults of the store alone excuse nothing, nor does an upstream that is silent.
    """
    began, ended = exchange.began * 1_000.0, exchange.ended * 1_000.0
    for fault in observed.faults:
        if fault.kind in schedule.PLANNED_KINDS or fault.kind in _EXCUSES_NOTHING:
            continue
        if fault.kind is schedule.Kind.NODE_STARVED and not exchange.first:
            continue
        everywhere = fault.kind in {
            schedule.Kind.CONNECTIONS_SILENT,
            schedule.Kind.DEADLY,
            schedule.Kind.POWER_LOSS,
        }
        concerned = everywhere or fault.node in nodes
        if concerned and checks.overlaps(fault, began, ended):
            return True
    return False


_EXCUSES_NOTHING = frozenset(
    {kind for kind in schedule.Kind if kind.value.startswith("log-")}
    | {schedule.Kind.BACKEND_STALL}
)


def _has_broken_backend(
    observed: checks.Observations, exchange: raw_callers.Exchange
) -> bool:
    """Whether an upstream sent bytes that belong to no request or broke answers off."""
    began, ended = exchange.began * 1_000.0, exchange.ended * 1_000.0
    kinds = {schedule.Kind.BACKEND_CUT}
    return any(
        fault.kind in kinds and checks.overlaps(fault, began, ended)
        for fault in observed.faults
    )


def _is_paused(
    observed: checks.Observations, node: str, begin: float, end: float
) -> bool:
    kinds = {schedule.Kind.NODE_PAUSE, schedule.Kind.NODE_STOP_PAUSE}
    return any(
        fault.node == node
        and fault.kind in kinds
        and checks.overlaps(fault, begin, end)
        for fault in observed.faults
    )


def _may_cut(observed: checks.Observations, node: str, terminated: float) -> bool:
    """Whether a stop may cut requests: one outlasted the grace, or a fault held some
    up."""
    end = terminated + GRACE_MS
    for exchange in observed.exchanges:
        whole = exchange.ending is _Ending.ANSWERED and exchange.signed
        if whole or exchange.ending is _Ending.LEFT:
            continue
        nodes = {exchange.node, *_homes(observed.ledger, exchange.id)}
        if node in nodes and _is_cut_late(observed, exchange, {node}):
            return True
    return any(
        fault.kind not in schedule.PLANNED_KINDS
        and fault.kind not in _EXCUSES_NOTHING
        and checks.overlaps(fault, terminated, end)
        for fault in observed.faults
    )


def _was_told_to_end(life: watch.Life, by: float) -> bool:
    return any(told.number in _ENDING and told.at <= by for told in life.told)


def _describe(observed: checks.Observations, exchange: raw_callers.Exchange) -> str:
    """Return a request, how it ended, and how that relates to stops and homes."""
    waited = (exchange.ended - exchange.sent) if exchange.sent else -1.0
    lasted = exchange.ended - exchange.began
    homes = sorted(_homes(observed.ledger, exchange.id))
    nodes = {exchange.node, *homes}
    stops = [
        f"{exchange.ended - at / 1_000.0:.2f} s after SIGTERM"
        for at in _stops(
            observed, nodes, exchange.began * 1_000.0, exchange.ended * 1_000.0
        )
    ]
    kept = "new" if exchange.first else "kept"
    return (
        f"{exchange.id} {exchange.shape} ({kept}) at {exchange.node}:"
        f" {exchange.ending.value} {exchange.status} {exchange.title[:60]!r}"
        f" {exchange.received} bytes, after {lasted:.2f} s,"
        f" {waited:.2f} s after its last byte, homes {homes}, {stops or 'no stop'}"
    )
