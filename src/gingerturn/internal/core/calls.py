"""The entry side: calls from callers, their attempts and retries."""

import heapq

from gingerturn import configuration
from gingerturn.internal import ids
from gingerturn.internal.core import (
    admission,
    allowance,
    arrivals,
    decisions,
    effects,
    events,
    keys,
    messages,
    outbox,
    ranks,
    refusals,
    route_table,
    routing,
    settling,
    state as states,
)

MAX_REDIRECTS = 2
"""Times that a call which was certainly not run is offered to another upstream
without a token. Nothing ran, so this is no retry in the sense of the allowance;
two are enough to pass a full and a leaving upstream."""

GRACE_MS = 100.0
"""The home node ends a call at its deadline and knows whether it ran; the entry
node waits this much longer for that word before it must say ``unknown``."""

CALL_DEADLINE = 0
HOSTED_DEADLINE = 1
OVERLOAD_STATUSES = frozenset({429, 503})
FIRST_FAILURE_STATUS = 500
GATEWAY_TIMEOUT = 504
"""What a backend server answers at the deadline; then no time is left to repeat."""

REFUSED_KEPT_MS = 10.0
"""A rank that no upstream took is not tried again for this long: under a flood that
saves weighing every upstream for each call."""

AVOID_MS = 1_000.0
"""An upstream that said it has no backend server is passed over for 1 s, by when
gossip has told the rest."""

AVOID_LEAVING_MS = 10_000.0
"""One that said it is leaving for longer than it lingers, so that no call is under
way to it when it closes its connections."""

_DEADLINE_RULES = frozenset(
    {decisions.Rule.DEADLINE_PASSED, decisions.Rule.QUEUE_EXPIRED}
)
_ABSENT_RULES = frozenset(
    {
        decisions.Rule.LEAVING,
        decisions.Rule.STOPPING,
        decisions.Rule.NO_BACKEND,
        decisions.Rule.BACKEND_UNREACHABLE,
    }
)
_FINAL_RULES = frozenset({decisions.Rule.KEY_INVALID, decisions.Rule.NOT_IN_TIME})


def on_call_arrived(
    state: states.State, event: events.CallArrived, out: states.Effects
) -> None:
    """Classify a call, tie it to its parent, and send it or refuse it."""
    rule: configuration.KindRule | decisions.Rule
    if state.routed:
        rule = route_table.resolve(state, event)
        if isinstance(rule, decisions.Rule):
            refusals.refuse(
                state, arrivals.root_call(state, event, arrivals.UNROUTED), rule, out
            )
            return
    else:
        rule = state.configuration.classify(event.service, event.method, event.path)
    parent = arrivals.parent_of(state, event)
    if parent is None:
        call = arrivals.root_call(state, event, rule)
    else:
        call = arrivals.child_call(state, event, rule, parent)
    state.calls[call.id] = call
    if state.stopping and parent is None and not _served_while_stopping(state):
        refusals.refuse(state, call, decisions.Rule.STOPPING, out)
        return
    if not _key_fits(state, call, event, out):
        return
    heapq.heappush(state.deadlines, (call.deadline + GRACE_MS, CALL_DEADLINE, call.id))
    _earn(state, call)
    _send_first(state, call, out)


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
    routing.note_answer(state, attempt.node, failed=failed)
    if call is None:
        return
    call.attempt = None
    if _worth_repeating(state, call, event):
        call.first = False
        call.tried.append(attempt.node)
        if _retry(state, call, out):
            return
    decision = refusals.decide(
        state,
        call,
        decisions.Rule.SENT,
        out,
        upstream=attempt.node,
        status=event.status,
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
    own_failure = event.refusal.arrived or rule is decisions.Rule.OUTCOME_UNKNOWN
    routing.note_answer(state, attempt.node, failed=own_failure)
    if rule in _ABSENT_RULES:
        upstream = routing.upstream_of(state, attempt.node)
        avoid = AVOID_LEAVING_MS if event.report.leaving else AVOID_MS
        upstream.ejected_until = max(upstream.ejected_until, state.now + avoid)
    if call is None:
        return
    call.attempt = None
    call.cleared = event.refusal.outcome is messages.Outcome.NOT_RUN
    call.tried.append(attempt.node)
    if event.refusal.holder:
        _go_to_holder(state, call, event.refusal, out)
    elif event.refusal.outcome is messages.Outcome.ALREADY_RUN:
        refusals.refuse(state, call, rule, out, remote=event.refusal)
    elif event.refusal.outcome is messages.Outcome.UNKNOWN:
        call.first = False
        hopeless = rule in _DEADLINE_RULES or not _may_repeat(call)
        if hopeless or not _retry(state, call, out):
            refusals.refuse(state, call, rule, out, remote=event.refusal)
    elif event.refusal.arrived:
        if not _retry(state, call, out, ran=False):
            refusals.refuse(state, call, rule, out, remote=event.refusal)
    elif rule in _FINAL_RULES or not _redirect(state, call, out):
        refusals.refuse(state, call, rule, out, remote=event.refusal)


def on_attempt_lost(
    state: states.State, event: events.AttemptLost, out: states.Effects
) -> None:
    """Take in the loss of a connection; the tokens that went along are spent."""
    attempt = state.attempts.pop(event.attempt, None)
    if attempt is None:
        return
    _note_returned(state, attempt)
    if routing.note_failure(state, attempt.node):
        outbox.warn(out, "routing", f"Upstream {attempt.node} ejected after losses.")
    call = state.calls.get(attempt.call)
    if call is None:
        return
    call.attempt = None
    call.tried.append(attempt.node)
    if not event.reached:
        call.cleared = True
        call.tokens += attempt.tokens
        if not _redirect(state, call, out):
            refusals.refuse(state, call, decisions.Rule.NO_UPSTREAM, out)
        return
    call.first = False
    if _may_repeat(call) and _retry(state, call, out):
        return
    refusals.refuse(state, call, decisions.Rule.OUTCOME_UNKNOWN, out)


def on_node_silent(state: states.State, node: ids.NodeId, out: states.Effects) -> None:
    """Send repeatable calls that wait at a silent node to another one.

    Those that may not repeat, or find no other upstream, go on waiting: the node may
    be slow and answer yet.
    """
    waiting = [a for a in state.attempts.values() if a.node == node]
    for attempt in waiting:
        call = state.calls.get(attempt.call)
        if call is None or not _may_repeat(call) or not _can_go_elsewhere(state, call):
            continue
        call.first = False
        call.tried.append(node)
        _cancel_attempt(state, call, out)
        _retry(state, call, out)


def give_up_all(state: states.State, out: states.Effects) -> None:
    """Answer every call that is still held, since the process is about to end."""
    for call in list(state.calls.values()):
        if call.attempt is not None:
            call.first = False
        _cancel_attempt(state, call, out)
        refusals.refuse(state, call, decisions.Rule.STOPPING, out)


def on_level_told(
    state: states.State, event: events.LevelTold, out: states.Effects
) -> None:
    """Take in an upstream's answer to a question about its level."""
    upstream = routing.upstream_of(state, event.node)
    sent = upstream.since_report
    routing.hear(state, event.node, event.kind, event.report)
    # What was sent meanwhile may not be in the load that was told.
    upstream.since_report = sent


def on_deadline(state: states.State, call_id: ids.CallId, out: states.Effects) -> None:
    """Give up on a call whose home node said nothing by its deadline."""
    call = state.calls.get(call_id)
    if call is None:
        return
    attempt = None if call.attempt is None else state.attempts.get(call.attempt)
    if attempt is not None:
        call.first = False
        routing.note_failure(state, attempt.node)
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


def _budget(state: states.State, service: ids.ServiceName) -> allowance.Budget:
    budget = state.budgets.get(service)
    if budget is None:
        budget = allowance.Budget()
        if state.retry_bound is not None:
            # A node that has just started does not know how many others there are,
            # and when all start at once all would spend a share too large.
            budget.held = 0.0
        state.budgets[service] = budget
    return budget


def _earn(state: states.State, call: states.Call) -> None:
    """Let a first attempt earn its share of the service's retry budget."""
    budget = _budget(state, call.service)
    share = state.configuration.service(call.service).retry_share
    most = allowance.MAX_BUDGET
    bound = state.retry_bound
    if bound is not None:
        share = min(share, allowance.EARNED_SHARE * bound.ratio)
        allowance.count_first(budget, state.now, bound)
        nodes = len(state.membership.members) - len(state.membership.gone)
        most = allowance.shared_cap(budget, bound, nodes=nodes)
    if call.repeat:
        allowance.draw(budget)
    else:
        allowance.earn(budget, share, most=most)


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


def _send_first(state: states.State, call: states.Call, out: states.Effects) -> None:
    if call.holder:
        _send_to_holder(state, call, out)
        return
    nodes = routing.candidates(state, call.service)
    if not nodes:
        if not settling.hold(state, call):
            refusals.refuse(state, call, decisions.Rule.NO_UPSTREAM, out)
        return
    refused = (call.service, call.rule.name, call.rank & ranks.DEEP_BIT)
    if state.now - state.refused_since > REFUSED_KEPT_MS:
        state.refused.clear()
    if not call.key and call.rank <= state.refused.get(refused, -1):
        _refuse_by_level(state, call, out)
        return
    node = _pick(state, call, nodes)
    if node is None:
        if not state.refused:
            state.refused_since = state.now
        state.refused[refused] = call.rank
        routing.ask_levels(state, call.service, call.rule.name, out)
        _refuse_by_level(state, call, out)
        return
    _send(state, call, node, out)


def place_waiting(state: states.State, out: states.Effects) -> None:
    """Send the calls that waited for an upstream of their service, or give them up."""
    services = state.membership.by_service
    placeable = {ids.ServiceName(name) for name, nodes in services.items() if nodes}
    ready, over = settling.take_due(state, placeable)
    for call in ready:
        _send_first(state, call, out)
    for call in over:
        refusals.refuse(state, call, decisions.Rule.NO_UPSTREAM, out)


def _send_to_holder(
    state: states.State, call: states.Call, out: states.Effects
) -> None:
    """Send a call with a ticket to the one node that may run it.

    Where that incarnation is gone nobody can tell whether it ran.
    """
    member = _holding_member(state, call.holder)
    if member is None:
        refusals.refuse(state, call, decisions.Rule.OUTCOME_UNKNOWN, out)
        return
    _send(state, call, member.node, out)


def _holding_member(state: states.State, holder: str) -> messages.Member | None:
    name, _, incarnation = holder.rpartition("/")
    member = state.membership.members.get(name)
    if member is None or member.state is messages.MemberState.GONE:
        return None
    return member if str(member.incarnation) == incarnation else None


def _pick(
    state: states.State, call: states.Call, nodes: list[ids.NodeId]
) -> ids.NodeId | None:
    if call.key:
        # All sendings of one key meet at one node, where the second is told of
        # the first without the log. Safety does not rest on this.
        return keys.preferred(call.key, nodes)
    return routing.choose(state, nodes, call.rule.name, call.rank)


def _refuse_by_level(
    state: states.State, call: states.Call, out: states.Effects
) -> None:
    lowest = routing.service_level(state, call.service, call.rule.name)
    retry_after = admission.come_back_after(state, call.rank, lowest)
    figures = (float(lowest), 0.0, float(call.rank))
    refusals.refuse(
        state, call, decisions.Rule.LEVEL, out, retry_after=retry_after, figures=figures
    )


def _send(
    state: states.State, call: states.Call, node: ids.NodeId, out: states.Effects
) -> None:
    member = state.membership.members[node]
    attempt = ids.AttemptId(state.next_number())
    tokens = allowance.part_for_attempt(call.tokens)
    call.tokens -= tokens
    call.attempt = attempt
    call.attempts += 1
    call.cleared = False
    state.attempts[attempt] = states.Attempt(
        id=attempt, call=call.id, node=node, tokens=tokens
    )
    upstream = routing.upstream_of(state, node)
    upstream.outstanding += 1
    upstream.since_report += 1
    terms = messages.CallTerms(
        service=call.service,
        kind=call.rule.name,
        importance=call.importance,
        depth=call.depth,
        root=call.root,
        trace=call.trace,
        deadline_ms=max(0.0, call.deadline - state.now),
        tokens=tokens,
        repeatable=call.rule.repeatable,
        key=call.key,
        key_derived=call.key_derived,
        first=call.first,
        ticket=call.holder,
        repeat=call.repeat,
    )
    out.append(
        effects.OpenAttempt(
            attempt=attempt,
            call=call.id,
            node=node,
            host=member.host,
            port=member.peers_port,
            terms=terms,
        )
    )


def _may_repeat(call: states.Call) -> bool:
    return call.rule.repeatable and call.replayable


def _others(state: states.State, call: states.Call) -> list[ids.NodeId]:
    nodes = routing.candidates(state, call.service)
    return [node for node in nodes if node not in call.tried]


def _can_go_elsewhere(state: states.State, call: states.Call) -> bool:
    if call.tokens < 1 or _budget(state, call.service).held < 1.0:
        return False
    node = routing.choose(state, _others(state, call), call.rule.name, call.rank)
    return node is not None and state.now < call.deadline


def _redirect(state: states.State, call: states.Call, out: states.Effects) -> bool:
    """Offer a call that was certainly not run to another upstream."""
    if call.redirects >= MAX_REDIRECTS or not call.replayable or call.holder:
        return False
    if state.now >= call.deadline:
        return False
    node = routing.choose(state, _others(state, call), call.rule.name, call.rank)
    if node is None:
        return False
    _offer(state, call, node, out)
    return True


def _offer(
    state: states.State, call: states.Call, node: ids.NodeId, out: states.Effects
) -> None:
    """Send a call that was not run where it was to another node."""
    call.redirects += 1
    rule = decisions.Rule.REDIRECTED
    refusals.decide(state, call, rule, out, upstream=call.tried[-1])
    _send(state, call, node, out)


def _go_to_holder(
    state: states.State,
    call: states.Call,
    refusal: messages.Refusal,
    out: states.Effects,
) -> None:
    """Follow a key's claim to the node that holds it."""
    call.first = False
    member = _holding_member(state, refusal.holder)
    known = member is not None and member.node not in call.tried and call.replayable
    if member is None or not known or call.redirects >= MAX_REDIRECTS:
        refusals.refuse(state, call, decisions.Rule.OUTCOME_UNKNOWN, out)
        return
    _offer(state, call, member.node, out)


def _retry(
    state: states.State, call: states.Call, out: states.Effects, *, ran: bool = True
) -> bool:
    """Send a call again, for a token and out of the budget.

    :param ran: the last attempt may have run, so that only a repeatable call goes
        again.
    """
    budget = _budget(state, call.service)
    figures = (float(call.tokens), budget.held, float(call.attempts))
    allowed = _may_repeat(call) if ran else call.replayable and not call.holder
    if not allowed or state.now >= call.deadline:
        return False
    if call.tokens < 1:
        refusals.decide(state, call, decisions.Rule.RETRY_NO_ALLOWANCE, out, figures)
        return False
    node = routing.choose(state, _others(state, call), call.rule.name, call.rank)
    if node is None:
        refusals.decide(state, call, decisions.Rule.RETRY_NO_UPSTREAM, out, figures)
        return False
    if not allowance.spend(budget):
        refusals.decide(state, call, decisions.Rule.RETRY_NO_BUDGET, out, figures)
        return False
    call.tokens -= 1
    call.repeat = True
    refusals.decide(state, call, decisions.Rule.RETRIED, out, figures)
    _send(state, call, node, out)
    return True


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
    routing.hear(state, attempt.node, kind, report)
    if call is not None:
        call.tokens += allowance.returned(taken=attempt.tokens, reported=tokens)
    return call


def _note_returned(state: states.State, attempt: states.Attempt) -> None:
    upstream = routing.upstream_of(state, attempt.node)
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
