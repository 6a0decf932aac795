"""Refusals: the problem sent to the caller, and the decision recorded and logged."""

from gingerturn.internal import ids
from gingerturn.internal.core import (
    cap_buckets,
    decisions,
    effects,
    messages,
    retry_delay,
    startup_waits,
    state as states,
    workspace_shares,
)

_SHED_RULES = frozenset(
    {
        decisions.Rule.LEVEL,
        decisions.Rule.TREE_LEVEL,
        decisions.Rule.QUEUE_FULL,
        decisions.Rule.QUEUE_EXPIRED,
        decisions.Rule.BACKEND_REFUSED,
        decisions.Rule.RATE_LIMITED,
    }
)
_STATUS = {
    decisions.Rule.KEY_REQUIRED: 428,
    decisions.Rule.KEY_INVALID: 400,
    decisions.Rule.ALREADY_RUN: 409,
    decisions.Rule.DEADLINE_PASSED: 504,
    decisions.Rule.NO_ROUTE: 404,
    decisions.Rule.KEY_UNKNOWN: 401,
    decisions.Rule.OVER_CAP: 429,
    decisions.Rule.CAP_UNANSWERED: 429,
}
FIRST_ERROR_STATUS = 400
_DEFAULT_DELAY_MS = 1_000.0
"""Retry delay before jitter where no other is known."""

_FINAL_RULES = frozenset(
    {
        decisions.Rule.KEY_REQUIRED,
        decisions.Rule.KEY_INVALID,
        decisions.Rule.ALREADY_RUN,
        decisions.Rule.NO_ROUTE,
        decisions.Rule.KEY_UNKNOWN,
    }
)


def finish(state: states.State, call: states.Call, *, failed: bool = False) -> None:
    """Remove a call, returning its tokens to its parent and recording a failure there.

    On routes no tokens are returned.
    """
    state.calls.pop(call.id, None)
    if call.parent is None:
        return
    parent = state.hosted.get(call.parent)
    if parent is not None:
        if not state.routed:
            parent.tokens += call.tokens
        parent.child_failed |= failed


def decide(
    state: states.State,
    call: states.Call,
    rule: decisions.Rule,
    out: states.Effects,
    figures: tuple[float, ...] = (),
    *,
    upstream: str = "",
    status: int = 0,
) -> str:
    """Record and log a decision; return its id."""
    decision = state.decisions.record(
        rule,
        now=state.now,
        root=call.root,
        kind=call.rule.name,
        rank=call.rank,
        revision=state.revisions.revision,
        figures=figures,
    )
    out.append(
        effects.LogDecision(
            part="entry",
            request=call.trace,
            decision=decision,
            rule=int(rule),
            kind=call.rule.name,
            upstream=upstream,
            figures=figures,
            version=state.version,
            waited_ms=state.now - call.arrived_at,
            status=status,
            workspace=call.workspace,
            outcome_fact=not call.rule.repeatable and not _is_relayed(rule, status),
        )
    )
    return decision


def _is_relayed(rule: decisions.Rule, status: int) -> bool:
    """Whether a successful answer is relayed, which says nothing of 'not run'."""
    return rule is decisions.Rule.SENT and status < FIRST_ERROR_STATUS


def refuse(
    state: states.State,
    call: states.Call,
    rule: decisions.Rule,
    out: states.Effects,
    *,
    remote: messages.Refusal | None = None,
    retry_after: float = 0.0,
    figures: tuple[float, ...] = (),
    level: ids.Rank | None = None,
) -> None:
    """Answer a call with a problem and remove it.

    :param remote: refusal received from the home node.
    :param retry_after: retry delay in ms; 0 to derive it.
    :param level: expected level of the call's service and kind, if it is known.
    """
    outcome = messages.Outcome.UNKNOWN if call.unproven else messages.Outcome.NOT_RUN
    if call.holder and remote is not None:
        # Only the holder of a ticket may run the call, so its outcome is final.
        outcome = remote.outcome
    if rule is decisions.Rule.ALREADY_RUN:
        outcome = messages.Outcome.ALREADY_RUN
    not_run = outcome is messages.Outcome.NOT_RUN
    status = _STATUS.get(rule, 503 if not_run else 502)
    if status == 504 and not_run:
        status = 503
    if status == 429 and not not_run:
        status = 502
    if not_run and call.took_cap_token:
        # The token was not used and is available to the workspace again.
        cap_buckets.return_token(state, call.workspace)
    upstream = call.tried_upstreams[-1] if call.tried_upstreams else ""
    own_decision = decide(
        state, call, rule, out, figures, upstream=upstream, status=status
    )
    # The decision of a home node that refused has the cause of the refusal.
    decision = (remote.decision if remote else "") or own_decision
    delay_ms = retry_after or (remote.retry_after_ms if remote else 0.0)
    is_overload = rule in _SHED_RULES or (
        rule is decisions.Rule.NO_UPSTREAM and startup_waits.is_starting_up(state)
    )
    if call.share_factor > 1.0 and rule in _SHED_RULES:
        workspace_shares.count_refusal(state, call)
    if is_overload and call.rule.target_ms:
        delay_ms = retry_delay.for_call(state, call, level)
    if not delay_ms and rule not in _FINAL_RULES:
        delay_ms = _DEFAULT_DELAY_MS * (1.0 + state.random.random())
    out.append(
        effects.RefuseCall(
            call=call.id,
            status=status,
            outcome=outcome,
            title=rule.name.lower().replace("_", " "),
            retry_after_ms=delay_ms,
            decision=decision,
        )
    )
    finish(state, call, failed=True)
