"""The entry side: calls from callers, their attempts and retries."""

import heapq

from gingerturn import configuration
from gingerturn.internal import ids
from gingerturn.internal.core import (
    allowance,
    arrivals,
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
    sending,
    slot_costs,
    state as states,
    upstream_costs,
    upstreams,
    workspaces,
)

GRACE_MS = 100.0
"""The home node ends a call at its deadline and knows whether it ran; the entry
node waits this much longer for that word before it must say ``unknown``."""

CALL_DEADLINE = 0
HOSTED_DEADLINE = 1
OVERLOAD_STATUSES = frozenset({429, 503})
FIRST_FAILURE_STATUS = 500
GATEWAY_TIMEOUT = 504
"""What a backend server answers at the deadline; then no time is left to repeat."""

AVOID_MS = 1_000.0
"""An upstream that said it has no backend server is passed over for 1 s, by when
gossip has told the rest."""

AVOID_LEAVING_MS = 10_000.0
"""One that said it is leaving for longer than it lingers, so that no call is under
way to it when it closes its connections."""

_DEADLINE_RULES = frozenset(
    {decisions.Rule.DEADLINE_PASSED, decisions.Rule.QUEUE_EXPIRED}
)
_NO_REPEAT_RULES = _DEADLINE_RULES | {decisions.Rule.QUARANTINED}
_ABSENT_RULES = frozenset(
    {
        decisions.Rule.LEAVING,
        decisions.Rule.STOPPING,
        decisions.Rule.NO_BACKEND,
        decisions.Rule.BACKEND_UNREACHABLE,
        decisions.Rule.BACKEND_ENDED,
    }
)
_UNCLEAR_RULES = frozenset(
    {
        decisions.Rule.OUTCOME_UNKNOWN,
        decisions.Rule.BACKEND_ENDED,
        decisions.Rule.QUARANTINED,
    }
)
_FINAL_RULES = frozenset(
    {
        decisions.Rule.KEY_INVALID,
        decisions.Rule.NOT_IN_TIME,
        decisions.Rule.QUARANTINED,
    }
)


def on_call_arrived(
    state: states.State, event: events.CallArrived, out: states.Effects
) -> None:
    """Classify a call, tie it to its parent, and send it or refuse it."""
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
        call = arrivals.root_call(state, event, rule)
    else:
        call = arrivals.child_call(state, event, rule, parent)
    call.workspace = workspace
    state.calls[call.id] = call
    if state.stopping and parent is None and not _served_while_stopping(state):
        refusals.refuse(state, call, decisions.Rule.STOPPING, out)
        return
    if not _key_fits(state, call, event, out):
        return
    heapq.heappush(state.deadlines, (call.deadline + GRACE_MS, CALL_DEADLINE, call.id))
    if parent is not None or caps.admit(state, call, out):
        sending.begin(state, call, out)


def _refuse_unresolved(
    state: states.State,
    event: events.CallArrived,
    rule: decisions.Rule,
    out: states.Effects,
) -> None:
    """Refuse a request that the configuration does not allow, or may not."""
    refusals.refuse(
        state,
        arrivals.root_call(state, event, arrivals.UNROUTED),
        rule,
        out,
        retry_after=workspaces.retry_delay(state, rule),
        figures=workspaces.decision_figures(state, rule),
    )


def on_caller_gone(
    state: states.State, event: events.CallerGone, out: states.Effects
) -> None:
    """Cancel the tree below a call that nobody waits for any more."""
    call = state.calls.get(event.call)
    if call is None:
        return
    refusals.decide(state, call, decisions.Rule.CALLER_GONE, out)
    _cancel_attempt(state, call, out)
    refusals.finish(state, call)


def on_attempt_answered(
    state: states.State, event: events.AttemptAnswered, out: states.Effects
) -> None:
    """Pass an answer on, or send the call again where that is allowed."""
    attempt = state.attempts.pop(event.attempt, None)
    if attempt is None:
        return
    call = _returned(state, attempt, event.tokens, event.report)
    failed = event.status >= FIRST_FAILURE_STATUS and not event.child_failed
    upstreams.record_answer(state, attempt.node, failed=failed)
    if call is None:
        return
    if event.status < FIRST_FAILURE_STATUS:
        elapsed = state.now - attempt.sent_at
        kind = call.rule.name
        upstream_costs.record_traffic(state, attempt.node, kind, elapsed, event.size)
    call.attempt = None
    if _worth_repeating(state, call, event):
        call.never_ran = False
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
    """Take in a home node's refusal: go elsewhere, send again, or give up."""
    attempt = state.attempts.pop(event.attempt, None)
    if attempt is None:
        return
    call = _returned(state, attempt, event.tokens, event.report)
    rule = decisions.Rule(event.refusal.rule)
    own_failure = event.refusal.reached_backend or rule in _UNCLEAR_RULES
    upstreams.record_answer(state, attempt.node, failed=own_failure)
    if rule in _ABSENT_RULES:
        upstream = upstreams.upstream_of(state, attempt.node)
        avoid = AVOID_LEAVING_MS if event.report.leaving else AVOID_MS
        upstreams.eject(state, upstream, avoid)
    if call is None:
        return
    call.attempt = None
    call.attempts_settled = event.refusal.outcome is messages.Outcome.NOT_RUN
    call.tried_upstreams.append(attempt.node)
    if event.refusal.holder:
        sending.redirect_to_holder(state, call, event.refusal, out)
    elif event.refusal.outcome is messages.Outcome.ALREADY_RUN:
        refusals.refuse(state, call, rule, out, remote=event.refusal)
    elif event.refusal.outcome is messages.Outcome.UNKNOWN:
        call.never_ran = False
        hopeless = rule in _NO_REPEAT_RULES or not sending.may_repeat(call)
        if hopeless or not sending.retry(state, call, out):
            refusals.refuse(state, call, rule, out, remote=event.refusal)
    elif event.refusal.reached_backend:
        room = event.refusal.had_free_slots
        if not sending.retry(state, call, out, ran=False, room=room):
            refusals.refuse(state, call, rule, out, remote=event.refusal)
    elif rule in _FINAL_RULES or not sending.redirect(state, call, out):
        refusals.refuse(state, call, rule, out, remote=event.refusal)


def on_attempt_lost(
    state: states.State, event: events.AttemptLost, out: states.Effects
) -> None:
    """Take in the loss of a connection; the tokens that went along are spent."""
    attempt = state.attempts.pop(event.attempt, None)
    if attempt is None:
        return
    _note_returned(state, attempt)
    if upstreams.record_failure(state, attempt.node):
        operator_log.warn(
            out, "routing", f"Upstream {attempt.node} ejected after losses."
        )
    call = state.calls.get(attempt.call)
    if call is None:
        return
    call.attempt = None
    call.tried_upstreams.append(attempt.node)
    if not event.reached:
        call.attempts_settled = True
        call.tokens += attempt.tokens
        if not sending.redirect(state, call, out):
            refusals.refuse(state, call, decisions.Rule.NO_UPSTREAM, out)
        return
    call.never_ran = False
    if sending.may_repeat(call) and sending.retry(state, call, out):
        return
    refusals.refuse(state, call, decisions.Rule.OUTCOME_UNKNOWN, out)


def on_node_unresponsive(
    state: states.State, node: ids.NodeId, out: states.Effects
) -> None:
    """Send repeatable calls that wait at a silent node to another one.

    Those that may not repeat, or find no other upstream, go on waiting: the node may
    be slow and answer yet.
    """
    waiting = [a for a in state.attempts.values() if a.node == node]
    for attempt in waiting:
        call = state.calls.get(attempt.call)
        if (
            call is None
            or not sending.may_repeat(call)
            or not sending.can_go_elsewhere(state, call)
        ):
            continue
        call.never_ran = False
        call.tried_upstreams.append(node)
        _cancel_attempt(state, call, out)
        sending.retry(state, call, out)


def give_up_all(state: states.State, out: states.Effects) -> None:
    """Answer every call that is still held, since the process is about to end."""
    for call in list(state.calls.values()):
        if call.attempt is not None:
            call.never_ran = False
        _cancel_attempt(state, call, out)
        refusals.refuse(state, call, decisions.Rule.STOPPING, out)


def on_level_reported(
    state: states.State, event: events.LevelReported, out: states.Effects
) -> None:
    """Take in an upstream's answer to a question about its level."""
    upstream = upstreams.upstream_of(state, event.node)
    sent = upstream.sent_since_report
    _hear(state, event.node, event.kind, event.report)
    # What was sent meanwhile may not be in the load that was told.
    upstream.sent_since_report = sent


def on_deadline(state: states.State, call_id: ids.CallId, out: states.Effects) -> None:
    """Give up on a call whose home node said nothing by its deadline."""
    call = state.calls.get(call_id)
    if call is None:
        return
    attempt = None if call.attempt is None else state.attempts.get(call.attempt)
    if attempt is not None:
        call.never_ran = False
        upstreams.record_failure(state, attempt.node)
    _cancel_attempt(state, call, out)
    refusals.refuse(state, call, decisions.Rule.DEADLINE_PASSED, out)


def _worth_repeating(
    state: states.State, call: states.Call, event: events.AttemptAnswered
) -> bool:
    """Tell whether another upstream may well answer better than this one did."""
    if not call.rule.repeatable:
        return False
    if event.status in OVERLOAD_STATUSES:
        return True
    if not state.routed or event.child_failed or event.status == GATEWAY_TIMEOUT:
        return False
    return event.status >= FIRST_FAILURE_STATUS


def _served_while_stopping(state: states.State) -> bool:
    """Tell whether a stopping node still serves callers that come to it.

    Where callers are led here by readiness they notice the stop only after some
    seconds; the node knows the other upstreams and can serve them meanwhile.
    """
    return state.routed and state.now < state.stop_after


def _key_fits(
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


def _returned(
    state: states.State,
    attempt: states.Attempt,
    tokens: int,
    report: messages.LoadReport,
) -> states.Call | None:
    """Take back an attempt's tokens and its load report."""
    _note_returned(state, attempt)
    call = state.calls.get(attempt.call)
    kind = call.rule.name if call is not None else ""
    _hear(state, attempt.node, kind, report)
    if call is not None:
        call.tokens += allowance.returned_tokens(taken=attempt.tokens, reported=tokens)
    return call


def _hear(
    state: states.State, node: ids.NodeId, kind: str, report: messages.LoadReport
) -> None:
    routing.on_load_report(state, node, kind, report)
    slot_costs.on_report(state.costs, kind, report)


def _note_returned(state: states.State, attempt: states.Attempt) -> None:
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
    _note_returned(state, attempt)
    out.append(effects.CancelAttempt(attempt=attempt.id))
