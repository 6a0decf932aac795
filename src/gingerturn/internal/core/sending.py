"""Where a call is sent first, and whether it is sent again."""

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
    upstreams,
)

MAX_REDIRECTS = 2
"""Times that a call which was certainly not run is offered to another upstream
without a token. Nothing ran, so this is no retry in the sense of the allowance;
two are enough to pass a full and a leaving upstream."""

MAX_TURNED_AWAY = 8
"""Attempts of one call that upstreams turn away though they have room. Where they turn
away 55 % of what comes, 8 attempts reach 99 % of it; the budget bounds the sum."""

COME_BACK_SPREAD_MS = 1_000.0
"""Callers of a request that is kept out come back one to two seconds after it may be
tried, so that they do not come together."""

REFUSED_KEPT_MS = 10.0
"""A rank that no upstream took is not tried again for this long: under a flood that
saves weighing every upstream for each call."""


def begin(state: states.State, call: states.Call, out: states.Effects) -> None:
    """Let a call begin."""
    earn(state, call)
    send_first(state, call, out)


def send_first(state: states.State, call: states.Call, out: states.Effects) -> None:
    """Send a call for the first time, let it wait for an upstream, or refuse it."""
    if call.holder:
        _send_to_holder(state, call, out)
        return
    if quarantine.entry_of(state, call.fingerprint) is not None:
        _try_or_refuse(state, call, out)
        return
    nodes = upstreams.candidates(state, call.service)
    if not nodes:
        if not startup_waits.enqueue(state, call):
            refusals.refuse(state, call, decisions.Rule.NO_UPSTREAM, out)
        return
    refused = (call.service, call.rule.name, call.rank & ranks.DEEP_BIT)
    if state.now - state.refused_since > REFUSED_KEPT_MS:
        state.refused_ranks.clear()
    if not call.key and call.rank <= state.refused_ranks.get(refused, -1):
        _refuse_by_level(state, call, out)
        return
    node = _pick(state, call, nodes)
    if node is None:
        if not state.refused_ranks:
            state.refused_since = state.now
        state.refused_ranks[refused] = call.rank
        routing.request_levels(state, call.service, call.rule.name, out)
        _refuse_by_level(state, call, out)
        return
    _send(state, call, node, out)


def _try_or_refuse(state: states.State, call: states.Call, out: states.Effects) -> None:
    """Refuse a call that is kept out, or send it to the home that is to try it."""
    node = quarantine.trial_node(state, call)
    if node is not None:
        _send(state, call, node, out)
        return
    _keep_out(state, call, out)


def _keep_out(state: states.State, call: states.Call, out: states.Effects) -> None:
    """Refuse a call that is kept out; its callers hear when it may be tried again."""
    wait = quarantine.trial_due_in(state, call.fingerprint)
    refusals.refuse(
        state,
        call,
        decisions.Rule.QUARANTINED,
        out,
        retry_after=wait + COME_BACK_SPREAD_MS * (1.0 + state.random.random()),
        figures=quarantine.decision_figures(state, call.fingerprint),
    )


def send_waiting(state: states.State, out: states.Effects) -> None:
    """Send the calls that waited for an upstream of their service, or give them up."""
    services = state.membership.by_service
    placeable = {ids.ServiceName(name) for name, nodes in services.items() if nodes}
    ready, over = startup_waits.take_due(state, placeable)
    for call in ready:
        send_first(state, call, out)
    for call in over:
        refusals.refuse(state, call, decisions.Rule.NO_UPSTREAM, out)


def may_repeat(call: states.Call) -> bool:
    """Tell whether a call may be sent again though it may have run."""
    return call.rule.repeatable and call.replayable


def can_go_elsewhere(state: states.State, call: states.Call) -> bool:
    """Tell whether a call that may have run can be sent to another upstream now."""
    if not may_repeat(call) or quarantine.entry_of(state, call.fingerprint):
        return False
    budget = _budget(state, call.service)
    if call.tokens < 1 or budget.balance < 1.0 or call.rank < _retry_cut(state, budget):
        return False
    node = routing.choose(state, _others(state, call), call.rule.name, call.rank)
    return node is not None and state.now < call.deadline


def redirect(state: states.State, call: states.Call, out: states.Effects) -> bool:
    """Offer a call that was certainly not run to another upstream."""
    if call.redirects >= MAX_REDIRECTS or not call.replayable or call.holder:
        return False
    if state.now >= call.deadline or quarantine.entry_of(state, call.fingerprint):
        return False
    node = routing.choose(state, _others(state, call), call.rule.name, call.rank)
    if node is None:
        return False
    _offer(state, call, node, out)
    return True


def redirect_to_holder(
    state: states.State,
    call: states.Call,
    refusal: messages.Refusal,
    out: states.Effects,
) -> None:
    """Follow a key's claim to the node that holds it."""
    call.never_ran = False
    member = _holding_member(state, refusal.holder)
    known = (
        member is not None
        and member.node not in call.tried_upstreams
        and call.replayable
    )
    if member is None or not known or call.redirects >= MAX_REDIRECTS:
        refusals.refuse(state, call, decisions.Rule.OUTCOME_UNKNOWN, out)
        return
    _offer(state, call, member.node, out)


def retry(
    state: states.State,
    call: states.Call,
    out: states.Effects,
    *,
    ran: bool = True,
    room: bool = False,
) -> bool:
    """Send a call again, for a token and out of the budget.

    :param ran: the last attempt may have run, so that only a repeatable call goes
        again.
    :param room: the upstream turned it away though it had room; then it may take it
        the next time.
    """
    budget = _budget(state, call.service)
    figures = (float(call.tokens), budget.balance, float(call.attempts))
    allowed = may_repeat(call) if ran else call.replayable and not call.holder
    if not allowed or state.now >= call.deadline:
        return False
    if quarantine.entry_of(state, call.fingerprint):
        found = quarantine.decision_figures(state, call.fingerprint)
        refusals.decide(state, call, decisions.Rule.QUARANTINED, out, found)
        return False
    back = room and call.attempts < MAX_TURNED_AWAY
    if call.tokens < 1 and not back:
        refusals.decide(state, call, decisions.Rule.RETRY_NO_ALLOWANCE, out, figures)
        return False
    node = _next_upstream(state, call, back=back)
    if node is None:
        refusals.decide(state, call, decisions.Rule.RETRY_NO_UPSTREAM, out, figures)
        return False
    rationing.record_demand(budget.demand, call.rank, state.now)
    cut = _retry_cut(state, budget)
    if call.rank < cut:
        figures = (budget.balance, float(cut), float(call.rank))
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
    state: states.State, call: states.Call, *, back: bool
) -> ids.NodeId | None:
    """Return where to send a call again: to another upstream for a token, or back to
    one that turned it away though it had room."""
    kind = call.rule.name
    if call.tokens >= 1:
        node = routing.choose(state, _others(state, call), kind, call.rank)
        if node is not None or not back:
            return node
    nodes = [
        n
        for n in upstreams.candidates(state, call.service)
        if n in call.tried_upstreams
    ]
    return routing.choose(state, nodes, kind, call.rank)


def _retry_cut(state: states.State, budget: allowance.Budget) -> ids.Rank:
    """Return the rank from which calls may draw on a budget."""
    window_ms = _window_ms(state)
    supply = allowance.expected_supply(budget, rationing.HORIZON_MS, window_ms)
    return rationing.minimum_rank(budget.demand, supply, state.now)


def _window_ms(state: states.State) -> float:
    bound = state.retry_bound
    return allowance.WINDOW_MS if bound is None else bound.window_ms


def earn(state: states.State, call: states.Call) -> None:
    """Let a first attempt earn its share of the service's retry budget."""
    budget = _budget(state, call.service)
    share = state.configuration.service(call.service).retry_share
    most = allowance.MAX_BUDGET
    bound = state.retry_bound
    allowance.record_first_attempt(budget, state.now, _window_ms(state))
    if bound is not None:
        share = min(share, allowance.EARNED_SHARE * bound.ratio)
        nodes = len(state.membership.members) - len(state.membership.gone)
        most = allowance.balance_limit(budget, bound, nodes=nodes)
    if call.repeat:
        allowance.charge_forced_repeat(budget)
    else:
        allowance.earn(budget, share, limit=most)


def _budget(state: states.State, service: ids.ServiceName) -> allowance.Budget:
    budget = state.budgets.get(service)
    if budget is None:
        budget = allowance.Budget()
        if state.retry_bound is not None:
            # A node that has just started does not know how many others there are,
            # and when all start at once all would spend a share too large.
            budget.balance = 0.0
        state.budgets[service] = budget
    return budget


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
        return keys.preferred_node(call.key, nodes)
    return routing.choose(state, nodes, call.rule.name, call.rank)


def _refuse_by_level(
    state: states.State, call: states.Call, out: states.Effects
) -> None:
    known = levels.expected_level(state, call.service, call.rule.name)
    retry_after = admission.retry_after_ms(state, call.rank, known.level)
    figures = (float(known.level), state.now - known.reported_at, float(call.rank))
    refusals.refuse(
        state, call, decisions.Rule.LEVEL, out, retry_after=retry_after, figures=figures
    )


def _others(state: states.State, call: states.Call) -> list[ids.NodeId]:
    nodes = upstreams.candidates(state, call.service)
    return [node for node in nodes if node not in call.tried_upstreams]


def _offer(
    state: states.State, call: states.Call, node: ids.NodeId, out: states.Effects
) -> None:
    """Send a call that was not run where it was to another node."""
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
    call.attempts_settled = False
    state.attempts[attempt] = states.Attempt(
        id=attempt, call=call.id, node=node, tokens=tokens, sent_at=state.now
    )
    upstream = upstreams.upstream_of(state, node)
    upstream.outstanding += 1
    upstream.sent_since_report += 1
    terms = messages.CallMetadata(
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
        never_ran=call.never_ran,
        ticket=call.holder,
        repeat=call.repeat,
        fingerprint=call.fingerprint,
        workspace=call.workspace,
    )
    out.append(
        effects.OpenAttempt(
            attempt=attempt,
            call=call.id,
            node=node,
            host=member.host,
            port=member.peers_port,
            metadata=terms,
        )
    )
