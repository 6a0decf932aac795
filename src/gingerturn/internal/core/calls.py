"""Entry side: calls from callers, and the results of their attempts."""

import heapq

from gingerturn import configuration
from gingerturn.internal import ids
from gingerturn.internal.core import (
    allowance,
    arrivals,
    backend_reports,
    caps,
    decisions,
    effects,
    events,
    keys,
    messages,
    operator_log,
    refusals,
    retry_delay,
    route_table,
    routing,
    run_times,
    sending,
    slot_costs,
    state as states,
    upstream_costs,
    upstreams,
    workspaces,
)

GRACE_MS = 100.0
"""Time after the deadline of a call for which the entry node waits for the home node's
refusal, which says whether the call ran, before it answers that this is unknown."""

OVERLOAD_STATUSES = frozenset({429, 503})
FIRST_FAILURE_STATUS = 500
GATEWAY_TIMEOUT = 504
"""Status of a backend server at the deadline, when no time is left for a retry."""

NO_BACKEND_EJECT_MS = 1_000.0
"""Ejection of an upstream without a backend server. It lasts until gossip has spread
the change."""

LEAVING_EJECT_MS = 10_000.0
"""Ejection of a leaving upstream. It outlasts the upstream's linger time, so that no
call is in flight when the upstream closes its connections."""

_DEADLINE_RULES = frozenset(
    {decisions.Rule.DEADLINE_PASSED, decisions.Rule.QUEUE_EXPIRED}
)
_NO_REPEAT_RULES = _DEADLINE_RULES | {decisions.Rule.QUARANTINED}
_UNAVAILABLE_RULES = frozenset(
    {
        decisions.Rule.LEAVING,
        decisions.Rule.STOPPING,
        decisions.Rule.NO_BACKEND,
        decisions.Rule.BACKEND_UNREACHABLE,
        decisions.Rule.BACKEND_ENDED,
    }
)
_UNKNOWN_OUTCOME_RULES = frozenset(
    {
        decisions.Rule.OUTCOME_UNKNOWN,
        decisions.Rule.BACKEND_ENDED,
        decisions.Rule.QUARANTINED,
    }
)
_NO_REDIRECT_RULES = frozenset(
    {
        decisions.Rule.KEY_INVALID,
        decisions.Rule.NOT_IN_TIME,
        decisions.Rule.QUARANTINED,
    }
)


def on_call_arrived(
    state: states.State, event: events.CallArrived, out: states.Effects
) -> None:
    """Classify a call, link it to its parent, and send or refuse it."""
    parent = arrivals.find_parent(state, event)
    workspace = ids.WorkspaceName("")
    if state.routed:
        resolved = route_table.resolve(state, event, parent)
        if isinstance(resolved, decisions.Rule):
            _refuse_unresolved(state, event, resolved, out)
            return
        rule, workspace = resolved.rule, resolved.workspace
    else:
        rule = state.configuration.classify(event.service, event.method, event.path)
    if parent is None:
        call = arrivals.root_call(state, event, rule, workspace)
    else:
        call = arrivals.child_call(state, event, rule, parent)
        call.workspace = workspace
    state.calls[call.id] = call
    if state.stopping and not _served_while_stopping(state, parent):
        refusals.refuse(state, call, decisions.Rule.STOPPING, out)
        return
    if sending.refuse_without_room(state, call, out):
        return
    if not _check_key(state, call, event, out):
        return
    heapq.heappush(
        state.deadlines, (call.deadline + GRACE_MS, states.Deadline.CALL, call.id)
    )
    if parent is not None or caps.admit(state, call, out):
        sending.begin(state, call, out)


def _refuse_unresolved(
    state: states.State,
    event: events.CallArrived,
    rule: decisions.Rule,
    out: states.Effects,
) -> None:
    """Refuse a request that could not be resolved to a route and a workspace."""
    figures = (
        route_table.decision_figures(state)
        if rule is decisions.Rule.ROUTE_UNSETTLED
        else workspaces.decision_figures(state, rule)
    )
    refusals.refuse(
        state,
        arrivals.root_call(state, event, arrivals.UNROUTED),
        rule,
        out,
        retry_after=workspaces.retry_delay(state, rule),
        figures=figures,
    )


def on_answer_relayed(
    state: states.State, event: events.AnswerRelayed, out: states.Effects
) -> None:
    """Record how long a request with a streamed answer lasted."""
    run_times.record(state.relayed_times, event.kind, event.elapsed_ms, now=state.now)


def on_caller_gone(
    state: states.State, event: events.CallerGone, out: states.Effects
) -> None:
    """Cancel the attempt of a call whose caller has disconnected."""
    call = state.calls.get(event.call)
    if call is None:
        return
    refusals.decide(state, call, decisions.Rule.CALLER_GONE, out)
    _cancel_attempt(state, call, out)
    refusals.finish(state, call)


def on_attempt_answered(
    state: states.State, event: events.AttemptAnswered, out: states.Effects
) -> None:
    """Relay an answer to the caller, or retry the call where that is allowed."""
    attempt = state.attempts.pop(event.attempt, None)
    if attempt is None:
        return
    call = _settle_attempt(state, attempt, event.tokens, event.report, answered=True)
    failed = event.status >= FIRST_FAILURE_STATUS and not event.child_failed
    upstreams.record_answer(state, attempt.node, failed=failed)
    if event.report.leaving:
        upstream = upstreams.upstream_of(state, attempt.node)
        upstreams.eject(state, upstream, LEAVING_EJECT_MS)
    if call is None:
        return
    if event.status < FIRST_FAILURE_STATUS:
        elapsed = state.now - attempt.sent_at
        kind = call.rule.name
        upstream_costs.record_traffic(state, attempt.node, kind, elapsed, event.size)
        if event.whole:
            lasted = state.now - call.arrived_at
            run_times.record(state.relayed_times, kind, lasted, now=state.now)
    call.attempt = None
    if _should_retry(state, call, event):
        call.tried_upstreams.append(attempt.node)
        if sending.retry(state, call, out):
            return
    decision = refusals.decide(
        state,
        call,
        decisions.Rule.SENT,
        out,
        upstream=attempt.node,
        status=event.status,
    )
    if call.parent is None and not failed:
        retry_delay.record_answer_time(
            state, call.rule.name, state.now - call.arrived_at
        )
    out.append(effects.RelayAnswer(call=call.id, attempt=attempt.id, decision=decision))
    refusals.finish(state, call, failed=event.status >= FIRST_FAILURE_STATUS)


def on_attempt_refused(
    state: states.State, event: events.AttemptRefused, out: states.Effects
) -> None:
    """Handle a home node's refusal: redirect, retry or refuse the call."""
    attempt = state.attempts.pop(event.attempt, None)
    if attempt is None:
        return
    call = _settle_attempt(
        state,
        attempt,
        event.tokens,
        event.report,
        answered=event.refusal.reached_backend,
    )
    rule = decisions.known_rule(event.refusal.rule)
    own_failure = event.refusal.reached_backend or rule in _UNKNOWN_OUTCOME_RULES
    upstreams.record_answer(state, attempt.node, failed=own_failure)
    if rule in _UNAVAILABLE_RULES:
        upstream = upstreams.upstream_of(state, attempt.node)
        duration = LEAVING_EJECT_MS if event.report.leaving else NO_BACKEND_EJECT_MS
        upstreams.eject(state, upstream, duration)
    if call is None:
        return
    call.attempt = None
    if event.refusal.outcome is messages.Outcome.NOT_RUN:
        call.unproven -= 1
    call.tried_upstreams.append(attempt.node)
    if event.refusal.holder:
        sending.redirect_to_holder(state, call, event.refusal, out)
    elif event.refusal.outcome is messages.Outcome.ALREADY_RUN:
        refusals.refuse(state, call, rule, out, remote=event.refusal)
    elif event.refusal.outcome is messages.Outcome.UNKNOWN:
        final = rule in _NO_REPEAT_RULES or not sending.may_repeat(call)
        if final or not sending.retry(state, call, out):
            refusals.refuse(state, call, rule, out, remote=event.refusal)
    elif event.refusal.reached_backend:
        had_free_slots = event.refusal.had_free_slots
        if not sending.retry(
            state, call, out, may_have_run=False, had_free_slots=had_free_slots
        ):
            refusals.refuse(state, call, rule, out, remote=event.refusal)
    elif rule in _NO_REDIRECT_RULES or not sending.redirect(state, call, out):
        refusals.refuse(state, call, rule, out, remote=event.refusal)


def on_attempt_lost(
    state: states.State, event: events.AttemptLost, out: states.Effects
) -> None:
    """Handle the loss of an attempt's connection.

    The tokens of an attempt that reached its upstream are spent.
    """
    attempt = state.attempts.pop(event.attempt, None)
    if attempt is None:
        return
    _release_attempt(state, attempt)
    if upstreams.record_failure(state, attempt.node):
        operator_log.warn(
            out, "routing", f"Upstream {attempt.node} ejected after lost calls."
        )
    call = state.calls.get(attempt.call)
    if call is None:
        return
    call.attempt = None
    call.tried_upstreams.append(attempt.node)
    if not event.reached:
        call.unproven -= 1
        call.tokens += attempt.tokens
        if not sending.redirect(state, call, out):
            refusals.refuse(state, call, decisions.Rule.NO_UPSTREAM, out)
        return
    if sending.may_repeat(call) and sending.retry(state, call, out):
        return
    refusals.refuse(state, call, decisions.Rule.OUTCOME_UNKNOWN, out)


def on_node_unresponsive(
    state: states.State, node: ids.NodeId, out: states.Effects
) -> None:
    """Retry the repeatable calls in flight to an unresponsive node elsewhere.

    Other calls keep waiting, since the node may only be slow.
    """
    waiting = [a for a in state.attempts.values() if a.node == node]
    for attempt in waiting:
        _retry_elsewhere(state, attempt, out)


def on_attempts_silent(
    state: states.State, event: events.AttemptsSilent, out: states.Effects
) -> None:
    """Retry the repeatable calls of a silent connection elsewhere.

    Other calls keep waiting, and the upstream keeps its place among the healthy ones,
    since it can be reached over a new connection.
    """
    for number in event.attempts:
        attempt = state.attempts.get(number)
        if attempt is not None:
            _retry_elsewhere(state, attempt, out)


def _retry_elsewhere(
    state: states.State, attempt: states.Attempt, out: states.Effects
) -> None:
    """Retry a call elsewhere if that is allowed; otherwise it keeps waiting."""
    call = state.calls.get(attempt.call)
    if call is None or not sending.may_repeat(call):
        return
    # Without this the check could pass for the upstream that the call waits for.
    call.tried_upstreams.append(attempt.node)
    if not sending.can_retry_elsewhere(state, call):
        call.tried_upstreams.pop()
        return
    _cancel_attempt(state, call, out)
    if not sending.retry(state, call, out):
        refusals.refuse(state, call, decisions.Rule.OUTCOME_UNKNOWN, out)


def refuse_all(state: states.State, out: states.Effects) -> None:
    """Refuse every open call, since the process is about to end."""
    for call in list(state.calls.values()):
        _cancel_attempt(state, call, out)
        refusals.refuse(state, call, decisions.Rule.STOPPING, out)


def on_level_reported(
    state: states.State, event: events.LevelReported, out: states.Effects
) -> None:
    """Record an upstream's response to a level request."""
    upstream = upstreams.upstream_of(state, event.node)
    sent_since_report = upstream.sent_since_report
    backend_reports.record_status(
        state, event.node, event.report.status, answered=False
    )
    _record_report(state, event.node, event.kind, event.report)
    # The reported load may not include attempts sent since the request.
    upstream.sent_since_report = sent_since_report


def on_deadline(state: states.State, call_id: ids.CallId, out: states.Effects) -> None:
    """Refuse a call whose home node did not respond by its deadline."""
    call = state.calls.get(call_id)
    if call is None:
        return
    attempt = None if call.attempt is None else state.attempts.get(call.attempt)
    if attempt is not None:
        upstreams.record_failure(state, attempt.node)
    _cancel_attempt(state, call, out)
    refusals.refuse(state, call, decisions.Rule.DEADLINE_PASSED, out)


def _should_retry(
    state: states.State, call: states.Call, event: events.AttemptAnswered
) -> bool:
    """Whether another upstream may answer successfully where this one failed."""
    if not call.rule.repeatable:
        return False
    if event.status in OVERLOAD_STATUSES:
        return True
    if not state.routed or event.child_failed or event.status == GATEWAY_TIMEOUT:
        return False
    return event.status >= FIRST_FAILURE_STATUS


def _served_while_stopping(state: states.State, parent: states.Hosted | None) -> bool:
    """Whether a stopping node still serves a call.

    A call that the backend server beside makes is served for the sake of its parent.
    For others, a load balancer notices the node's readiness with a delay of seconds, in
    which the node can still send calls to other upstreams.
    """
    if state.stopped:
        return False
    return parent is not None or (state.routed and state.now < state.stop_after)


def _check_key(
    state: states.State,
    call: states.Call,
    event: events.CallArrived,
    out: states.Effects,
) -> bool:
    if call.rule.repeatable or call.key_derived:
        return True
    if not call.key:
        if call.parent is None and call.rule.key is configuration.KeyRule.REQUIRED:
            refusals.refuse(state, call, decisions.Rule.KEY_REQUIRED, out)
            return False
        return True
    if call.holder or keys.key_in_window(event.key, event.now):
        return True
    refusals.refuse(state, call, decisions.Rule.KEY_INVALID, out)
    return False


def _settle_attempt(
    state: states.State,
    attempt: states.Attempt,
    tokens: int,
    report: messages.LoadReport,
    *,
    answered: bool,
) -> states.Call | None:
    """Record an attempt's load report, and return its tokens to the call.

    :param answered: the backend server itself answered.
    """
    _release_attempt(state, attempt)
    backend_reports.record_status(state, attempt.node, report.status, answered=answered)
    call = state.calls.get(attempt.call)
    kind = call.rule.name if call is not None else ""
    _record_report(state, attempt.node, kind, report)
    if call is not None:
        call.tokens += allowance.returned_tokens(taken=attempt.tokens, reported=tokens)
    return call


def _record_report(
    state: states.State, node: ids.NodeId, kind: str, report: messages.LoadReport
) -> None:
    routing.on_load_report(state, node, kind, report)
    slot_costs.on_report(state.costs, kind, report)


def _release_attempt(state: states.State, attempt: states.Attempt) -> None:
    upstream = upstreams.upstream_of(state, attempt.node)
    upstream.outstanding -= 1


def _cancel_attempt(
    state: states.State, call: states.Call, out: states.Effects
) -> None:
    if call.attempt is None:
        return
    attempt = state.attempts.pop(call.attempt, None)
    call.attempt = None
    if attempt is None:
        return
    _release_attempt(state, attempt)
    out.append(effects.CancelAttempt(attempt=attempt.id))
