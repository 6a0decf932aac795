"""First attempts, redirects and retries of calls."""

from gingerturn.internal import ids
from gingerturn.internal.core import (
    admission,
    allowance,
    decisions,
    effects,
    keys,
    levels,
    messages,
    quarantine,
    ranks,
    rationing,
    refusals,
    routing,
    startup_waits,
    state as states,
    stop_room,
    upstreams,
)

MAX_REDIRECTS = 2
"""Redirects of a call to another upstream that cost no token, since the call certainly
did not run. Two pass a full and a leaving upstream."""

MAX_REJECTED_ATTEMPTS = 8
"""Attempts up to which a call may be sent back, without a token, to an upstream that
rejected it with slots free. The retry budget bounds the sum over all calls."""

QUARANTINE_RETRY_JITTER_MS = 1_000.0
"""Callers of a quarantined request are asked to return this long, or up to twice as
long, after its next trial is due, so that they do not return together."""

OTHER_NODE_DELAY_MS = 100.0
"""Minimum retry delay, before jitter, where any other node can serve the request at
once."""

REFUSED_RANK_TTL_MS = 10.0
"""Time for which a rank that all upstreams shed is refused without a new comparison of
the upstreams, which saves work under overload."""


def begin(state: states.State, call: states.Call, out: states.Effects) -> None:
    """Credit the retry budget for a new call, and send the call.

    It may have waited for a token, so the time that a stop leaves is compared again.
    """
    if refuse_without_room(state, call, out):
        return
    earn_retry_budget(state, call)
    send_first(state, call, out)


def refuse_without_room(
    state: states.State, call: states.Call, out: states.Effects
) -> bool:
    """Refuse a call that would outlast the planned stop of this node.

    A request that may have run goes on, as its answer may still come in time.

    :return: whether it was refused.
    """
    if not state.stopping or (call.parent is None and call.unproven):
        return False
    left, expected = stop_room.left_ms(state), _expected_ms(state, call)
    if expected <= left:
        return False
    refusals.refuse(
        state,
        call,
        decisions.Rule.OUTLASTS_STOP,
        out,
        retry_after=OTHER_NODE_DELAY_MS * (1.0 + state.random.random()),
        figures=(left, expected),
    )
    return True


def _expected_ms(state: states.State, call: states.Call) -> ids.Milliseconds:
    """Return the time that a call is expected to take until its answer is relayed."""
    kind, repeatable = call.rule.name, call.rule.repeatable
    limit = call.deadline - state.now
    assumed = stop_room.assumed_ms(repeatable=repeatable, limit=limit)
    if call.parent is not None and state.now < state.stop_after:
        # A refusal ends the call that makes it, and no other node can take it: until
        # the node takes nothing else, one that may end in time is tried.
        if repeatable:
            return 0.0
        assumed = 0.0
    ages = (
        state.now - other.arrived_at
        for other in state.calls.values()
        if other.rule.name == kind and other.id != call.id
    )
    return stop_room.expected_ms(
        state.relayed_times,
        kind,
        repeatable=repeatable,
        limit=limit,
        assumed=assumed,
        ages=ages,
    )


def send_first(state: states.State, call: states.Call, out: states.Effects) -> None:
    """Send the first attempt of a call, let it wait for an upstream, or refuse it."""
    if call.holder:
        _send_to_holder(state, call, out)
        return
    if quarantine.entry_of(state, call.fingerprint) is not None:
        _send_trial_or_refuse(state, call, out)
        return
    nodes = upstreams.candidates(state, call.service)
    if not nodes:
        if not startup_waits.enqueue(state, call):
            refusals.refuse(state, call, decisions.Rule.NO_UPSTREAM, out)
        return
    refusal_key = (call.service, call.rule.name, call.rank & ranks.DEEP_BIT)
    if state.now - state.refused_since > REFUSED_RANK_TTL_MS:
        state.refused_ranks.clear()
    if not call.key and call.rank <= state.refused_ranks.get(refusal_key, -1):
        _refuse_by_level(state, call, out)
        return
    node = _first_upstream(state, call, nodes)
    if node is None:
        if not state.refused_ranks:
            state.refused_since = state.now
        state.refused_ranks[refusal_key] = call.rank
        routing.request_levels(state, call.service, call.rule.name, out)
        _refuse_by_level(state, call, out)
        return
    _send(state, call, node, out)


def _send_trial_or_refuse(
    state: states.State, call: states.Call, out: states.Effects
) -> None:
    """Send a quarantined call to the home node of its trial, or refuse it."""
    node = quarantine.trial_node(state, call)
    if node is not None:
        _send(state, call, node, out)
        return
    _refuse_quarantined(state, call, out)


def _refuse_quarantined(
    state: states.State, call: states.Call, out: states.Effects
) -> None:
    """Refuse a quarantined call, with the time until its next trial."""
    wait = quarantine.trial_due_in(state, call.fingerprint)
    refusals.refuse(
        state,
        call,
        decisions.Rule.QUARANTINED,
        out,
        retry_after=wait + QUARANTINE_RETRY_JITTER_MS * (1.0 + state.random.random()),
        figures=quarantine.decision_figures(state, call.fingerprint),
    )


def send_waiting(state: states.State, out: states.Effects) -> None:
    """Send or refuse the calls that waited for an upstream of their service."""
    services = state.membership.by_service
    placeable = {ids.ServiceName(name) for name, nodes in services.items() if nodes}
    ready, expired = startup_waits.take_due(state, placeable)
    for call in ready:
        if not refuse_without_room(state, call, out):
            send_first(state, call, out)
    for call in expired:
        refusals.refuse(state, call, decisions.Rule.NO_UPSTREAM, out)


def may_repeat(call: states.Call) -> bool:
    """Whether a call may be sent again though it may have run."""
    return call.rule.repeatable and call.replayable


def can_retry_elsewhere(state: states.State, call: states.Call) -> bool:
    """Whether a call that may have run can be sent to another upstream now."""
    if not may_repeat(call) or quarantine.entry_of(state, call.fingerprint):
        return False
    budget = _budget(state, call.service)
    if call.tokens < 1 or budget.balance < 1.0 or call.rank < _retry_cut(state, budget):
        return False
    node = _choose(state, call, _untried_upstreams(state, call))
    return node is not None and state.now < call.deadline


def redirect(state: states.State, call: states.Call, out: states.Effects) -> bool:
    """Send a call that certainly did not run to another upstream.

    :return: whether it was sent, or refused as it would outlast a stop.
    """
    if call.redirects >= MAX_REDIRECTS or not call.replayable or call.holder:
        return False
    if state.now >= call.deadline or quarantine.entry_of(state, call.fingerprint):
        return False
    node = _choose(state, call, _untried_upstreams(state, call))
    if node is None:
        return False
    if not refuse_without_room(state, call, out):
        _send_redirected(state, call, node, out)
    return True


def redirect_to_holder(
    state: states.State,
    call: states.Call,
    refusal: messages.Refusal,
    out: states.Effects,
) -> None:
    """Send a call to the node that holds the claim of its key."""
    # The holder may have run it.
    call.unproven += 1
    member = _holding_member(state, refusal.holder)
    reachable = (
        member is not None
        and member.node not in call.tried_upstreams
        and call.replayable
    )
    if member is None or not reachable or call.redirects >= MAX_REDIRECTS:
        refusals.refuse(state, call, decisions.Rule.OUTCOME_UNKNOWN, out)
        return
    _send_redirected(state, call, member.node, out)


def retry(
    state: states.State,
    call: states.Call,
    out: states.Effects,
    *,
    may_have_run: bool = True,
    had_free_slots: bool = False,
) -> bool:
    """Send a call again, at the cost of a token and of the retry budget.

    :param may_have_run: the last attempt may have run, so that only a repeatable call
        is sent again.
    :param had_free_slots: the upstream rejected the call though it had free slots, so
        that the call may be sent back to it without a token.
    :return: whether it was sent, or refused as it would outlast a stop.
    """
    budget = _budget(state, call.service)
    figures = (float(call.tokens), budget.balance, float(call.attempts))
    allowed = may_repeat(call) if may_have_run else call.replayable and not call.holder
    if not allowed or state.now >= call.deadline:
        return False
    if quarantine.entry_of(state, call.fingerprint):
        found = quarantine.decision_figures(state, call.fingerprint)
        refusals.decide(state, call, decisions.Rule.QUARANTINED, out, found)
        return False
    allow_tried = had_free_slots and call.attempts < MAX_REJECTED_ATTEMPTS
    if call.tokens < 1 and not allow_tried:
        refusals.decide(state, call, decisions.Rule.RETRY_NO_ALLOWANCE, out, figures)
        return False
    node = _next_upstream(state, call, allow_tried=allow_tried)
    if node is None:
        refusals.decide(state, call, decisions.Rule.RETRY_NO_UPSTREAM, out, figures)
        return False
    if refuse_without_room(state, call, out):
        return True
    rationing.record_demand(budget.demand, call.rank, state.now)
    minimum_rank = _retry_cut(state, budget)
    if call.rank < minimum_rank:
        figures = (budget.balance, float(minimum_rank), float(call.rank))
        refusals.decide(state, call, decisions.Rule.RETRY_RATIONED, out, figures)
        return False
    if not allowance.spend(budget):
        refusals.decide(state, call, decisions.Rule.RETRY_NO_BUDGET, out, figures)
        return False
    if node not in call.tried_upstreams:
        call.tokens -= 1
    call.repeat = True
    refusals.decide(state, call, decisions.Rule.RETRIED, out, figures)
    _send(state, call, node, out)
    return True


def _next_upstream(
    state: states.State, call: states.Call, *, allow_tried: bool
) -> ids.NodeId | None:
    """Return the upstream of a retry: an untried one for a token, or a tried one.

    :param allow_tried: the call may go back to an upstream that rejected it.
    """
    if call.tokens >= 1:
        node = _choose(state, call, _untried_upstreams(state, call))
        if node is not None or not allow_tried:
            return node
    nodes = [
        n
        for n in upstreams.candidates(state, call.service)
        if n in call.tried_upstreams
    ]
    return _choose(state, call, nodes)


def _retry_cut(state: states.State, budget: allowance.Budget) -> ids.Rank:
    """Return the lowest rank that may draw on a retry budget."""
    window_ms = _window_ms(state)
    supply = allowance.expected_supply(budget, rationing.HORIZON_MS, window_ms)
    return rationing.minimum_rank(budget.demand, supply, state.now)


def _window_ms(state: states.State) -> float:
    bound = state.retry_bound
    return allowance.WINDOW_MS if bound is None else bound.window_ms


def earn_retry_budget(state: states.State, call: states.Call) -> None:
    """Credit the retry budget of a service for a first attempt."""
    budget = _budget(state, call.service)
    share = state.configuration.service(call.service).retry_share
    max_budget = allowance.MAX_BUDGET
    bound = state.retry_bound
    allowance.record_first_attempt(budget, state.now, _window_ms(state))
    if bound is not None:
        share = min(share, allowance.EARNED_SHARE * bound.ratio)
        nodes = len(state.membership.members) - len(state.membership.gone)
        max_budget = allowance.balance_limit(budget, bound, nodes=nodes)
    if call.repeat:
        allowance.charge_forced_repeat(budget)
    else:
        allowance.earn(budget, share, limit=max_budget)


def _budget(state: states.State, service: ids.ServiceName) -> allowance.Budget:
    budget = state.budgets.get(service)
    if budget is None:
        budget = allowance.Budget()
        if state.retry_bound is not None:
            # A node that has just started does not know the number of members, so
            # that its share of the slack would be too large.
            budget.balance = 0.0
        state.budgets[service] = budget
    return budget


def _send_to_holder(
    state: states.State, call: states.Call, out: states.Effects
) -> None:
    """Send a call with a ticket to the only node that may run it.

    The outcome is unknown when that incarnation has departed.
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


def _first_upstream(
    state: states.State, call: states.Call, nodes: list[ids.NodeId]
) -> ids.NodeId | None:
    if call.key:
        # All requests with one key prefer the same node, which detects repeats
        # without the log. Safety does not depend on this.
        return keys.preferred_node(call.key, nodes)
    return _choose(state, call, nodes)


def _choose(
    state: states.State, call: states.Call, nodes: list[ids.NodeId]
) -> ids.NodeId | None:
    """Choose an upstream, if possible one whose planned stop does not cut the call."""
    kind = call.rule.name
    preferred = stop_room.preferred(state, kind, nodes)
    node = routing.choose(state, preferred, kind, call.rank)
    if node is None and len(preferred) < len(nodes):
        return routing.choose(state, nodes, kind, call.rank)
    return node


def _refuse_by_level(
    state: states.State, call: states.Call, out: states.Effects
) -> None:
    known = levels.expected_level(state, call.service, call.rule.name)
    retry_after = admission.retry_after_ms(state, call.rank, known.level)
    figures: tuple[float, ...] = (
        float(known.level),
        state.now - known.reported_at,
        float(call.rank),
    )
    if call.share_factor > 1.0:
        figures = (*figures, call.share_factor)
    refusals.refuse(
        state,
        call,
        decisions.Rule.LEVEL,
        out,
        retry_after=retry_after,
        figures=figures,
        level=known.level,
    )


def _untried_upstreams(state: states.State, call: states.Call) -> list[ids.NodeId]:
    nodes = upstreams.candidates(state, call.service)
    return [node for node in nodes if node not in call.tried_upstreams]


def _send_redirected(
    state: states.State, call: states.Call, node: ids.NodeId, out: states.Effects
) -> None:
    """Record a redirect of a call, and send the call to its new node."""
    call.redirects += 1
    rule = decisions.Rule.REDIRECTED
    refusals.decide(state, call, rule, out, upstream=call.tried_upstreams[-1])
    _send(state, call, node, out)


def _send(
    state: states.State, call: states.Call, node: ids.NodeId, out: states.Effects
) -> None:
    member = state.membership.members[node]
    attempt = ids.AttemptId(state.next_number())
    tokens = allowance.tokens_for_attempt(call.tokens)
    call.tokens -= tokens
    call.attempt = attempt
    call.attempts += 1
    never_ran = call.unproven == 0
    call.unproven += 1
    state.attempts[attempt] = states.Attempt(
        id=attempt, call=call.id, node=node, tokens=tokens, sent_at=state.now
    )
    upstream = upstreams.upstream_of(state, node)
    upstream.outstanding += 1
    upstream.sent_since_report += 1
    metadata = messages.CallMetadata(
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
        never_ran=never_ran,
        ticket=call.holder,
        repeat=call.repeat,
        fingerprint=call.fingerprint,
        workspace=call.workspace,
        status=upstream.status,
        knows_pace=upstream.pace > 0,
    )
    out.append(
        effects.OpenAttempt(
            attempt=attempt,
            call=call.id,
            node=node,
            host=member.host,
            port=member.peers_port,
            metadata=metadata,
        )
    )
