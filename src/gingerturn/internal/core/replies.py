"""Replies to the entry nodes of hosted calls: answers, refusals and stored answers."""

import heapq

from gingerturn.internal import ids
from gingerturn.internal.core import (
    admission,
    decisions,
    effects,
    keys,
    messages,
    quarantine,
    state as states,
)

_SENT_RULES = {
    decisions.Rule.WAIT_TOO_LONG: decisions.Rule.QUEUE_FULL,
    decisions.Rule.OUTLASTS_STOP: decisions.Rule.QUEUE_FULL,
}
"""Rules that nodes of earlier versions do not know, and those that are sent for them.
Entry nodes handle both alike."""


def refuse(
    state: states.State,
    hosted: states.Hosted,
    rule: decisions.Rule,
    out: states.Effects,
    *,
    outcome: messages.Outcome | None = None,
    holder: str = "",
    finished: bool = True,
    figures: tuple[float, ...] | None = None,
    reached_backend: bool = False,
    had_free_slots: bool = False,
) -> None:
    """Send a refusal of a call to its entry node.

    It states that the call did not run only on the evidence in the call.

    :param outcome: another outcome than follows from the evidence.
    :param finished: the call is forgotten; one that is still running keeps its slot.
    :param reached_backend: the backend server rejected the call.
    :param had_free_slots: the call was rejected though slots were free.
    """
    backend = state.backend
    if rule is decisions.Rule.QUARANTINED:
        figures = quarantine.decision_figures(state, hosted.metadata.fingerprint)
    if figures is None:
        figures = (
            float(backend.running),
            backend.limit,
            float(len(backend.queue)),
            state.now - hosted.arrived_at,
        )
    decision = decide(state, hosted, rule, out, figures)
    if outcome is None:
        proven = hosted.evidence is not states.Evidence.NONE
        outcome = messages.Outcome.NOT_RUN if proven else messages.Outcome.UNKNOWN
    report = admission.load_report(state, hosted.metadata.kind)
    level = max(report.level, report.tree_level)
    retry_after_ms = admission.retry_after_ms(state, hosted.rank, level)
    if rule is decisions.Rule.QUARANTINED:
        retry_after_ms += quarantine.trial_due_in(state, hosted.metadata.fingerprint)
    out.append(
        effects.SendRefusal(
            hosted=hosted.id,
            refusal=messages.Refusal(
                rule=int(_SENT_RULES.get(rule, rule)),
                outcome=outcome,
                retry_after_ms=retry_after_ms,
                decision=decision,
                holder=holder,
                reached_backend=reached_backend,
                had_free_slots=had_free_slots,
            ),
            tokens=hosted.tokens,
            report=report,
        )
    )
    if finished:
        forget(state, hosted)


def refuse_waiter(
    state: states.State,
    hosted_id: ids.HostedId,
    rule: decisions.Rule,
    out: states.Effects,
    *,
    holder: str = "",
) -> None:
    """Refuse a repeat that waits for the first call of its key."""
    hosted = state.hosted.get(hosted_id)
    if hosted is None or hosted.state is not states.HostedState.WAITING:
        return
    refuse(state, hosted, rule, out, holder=holder)


def refuse_queue(
    state: states.State, rule: decisions.Rule, out: states.Effects
) -> None:
    """Refuse every queued call; other upstreams may still accept them."""
    while (hosted_id := admission.dequeue(state)) is not None:
        refuse(state, state.hosted[hosted_id], rule, out)


def send_answer(
    state: states.State, hosted: states.Hosted, out: states.Effects, *, whole: bool
) -> None:
    """Send the backend server's answer, and store a complete one under its key.

    :param whole: the answer is complete, not streamed.
    """
    store_key = hosted.metadata.key if whole else ""
    if hosted.orphaned:
        if store_key:
            out.append(effects.StoreAnswer(hosted=hosted.id, key=store_key))
        return
    out.append(
        effects.SendAnswer(
            hosted=hosted.id,
            tokens=hosted.tokens,
            report=admission.load_report(state, hosted.metadata.kind),
            decision=hosted.decision,
            store_key=store_key,
            child_failed=hosted.child_failed,
        )
    )


def decide(
    state: states.State,
    hosted: states.Hosted,
    rule: decisions.Rule,
    out: states.Effects,
    figures: tuple[float, ...],
) -> str:
    """Record and log a decision, and return its id."""
    decision = state.decisions.record(
        rule,
        now=state.now,
        root=hosted.metadata.root,
        kind=hosted.metadata.kind,
        rank=hosted.rank,
        revision=state.revisions.revision,
        figures=figures,
    )
    out.append(
        effects.LogDecision(
            part="home",
            request=hosted.metadata.trace,
            decision=decision,
            rule=int(rule),
            kind=hosted.metadata.kind,
            upstream=hosted.sender,
            figures=figures,
            version=state.version,
            waited_ms=state.now - hosted.arrived_at,
            outcome_fact=not hosted.metadata.repeatable,
        )
    )
    return decision


def forget(state: states.State, hosted: states.Hosted) -> None:
    """Remove a call that was answered or refused."""
    state.hosted.pop(hosted.id, None)
    state.hosted_by_span.pop(hosted.span, None)


def handle_repeat(
    state: states.State, hosted: states.Hosted, out: states.Effects
) -> bool:
    """Answer a call whose key is known here, or let it wait for the first one.

    :return: ``False`` when the call has to pass admission.
    """
    entry = state.keys.get(hosted.metadata.key)
    if entry is None or entry.phase is states.KeyPhase.OURS_IDLE:
        return False
    if entry.phase is states.KeyPhase.FOREIGN:
        rule = decisions.Rule.CLAIM_LOST
        refuse(state, hosted, rule, out, holder=entry.holder)
        return True
    if entry.phase is states.KeyPhase.OURS_DONE:
        _answer_done(state, hosted, entry, out)
        return True
    if entry.hosted is None:
        return False
    hosted.state = states.HostedState.WAITING
    entry.waiters.append(hosted.id)
    decide(state, hosted, decisions.Rule.JOINED_FIRST, out, ())
    heapq.heappush(
        state.deadlines, (hosted.deadline, states.Deadline.HOSTED, hosted.id)
    )
    return True


def _answer_done(
    state: states.State,
    hosted: states.Hosted,
    entry: states.KeyEntry,
    out: states.Effects,
) -> None:
    if not entry.outcome_known:
        unknown = messages.Outcome.UNKNOWN
        refuse(state, hosted, decisions.Rule.OUTCOME_UNKNOWN, out, outcome=unknown)
        return
    if not entry.answer_stored:
        outcome = messages.Outcome.ALREADY_RUN
        refuse(state, hosted, decisions.Rule.ALREADY_RUN, out, outcome=outcome)
        return
    decision = decide(state, hosted, decisions.Rule.ALREADY_RUN, out, ())
    out.append(
        effects.SendStoredAnswer(
            hosted=hosted.id,
            key=entry.key,
            tokens=hosted.tokens,
            report=admission.load_report(state, hosted.metadata.kind),
            decision=decision,
        )
    )
    forget(state, hosted)


def finish_key(
    state: states.State,
    hosted: states.Hosted,
    out: states.Effects,
    *,
    answer_stored: bool,
    outcome_known: bool,
) -> None:
    """Mark a key as done, and answer the repeats that wait for it.

    :param answer_stored: the answer is stored for repeats.
    :param outcome_known: the call certainly ran.
    """
    entry = state.keys[hosted.metadata.key]
    keys.mark_done(entry, answer_stored=answer_stored, outcome_known=outcome_known)
    waiters = list(entry.waiters)
    entry.waiters.clear()
    for waiter_id in waiters:
        waiter = state.hosted.get(waiter_id)
        if waiter is not None:
            _answer_done(state, waiter, entry, out)


def fail_key(
    state: states.State, hosted: states.Hosted, out: states.Effects, *, dispatched: bool
) -> None:
    """Handle the failure of the call that holds a key.

    :param dispatched: the backend server may have run the call.
    """
    if dispatched:
        finish_key(state, hosted, out, answer_stored=False, outcome_known=False)
        return
    entry = state.keys[hosted.metadata.key]
    keys.mark_not_dispatched(entry)
    waiters = list(entry.waiters)
    entry.waiters.clear()
    for waiter in waiters:
        refuse_waiter(state, waiter, decisions.Rule.BACKEND_UNREACHABLE, out)
