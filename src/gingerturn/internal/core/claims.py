"""Claims of keys on the log: batched appends, and their outcome by the log's order."""

from gingerturn.internal import ids
from gingerturn.internal.core import (
    decisions,
    effects,
    hosting,
    keys,
    messages,
    replies,
    state as states,
    streams,
)

APPENDS_PER_SECOND = 200.0
"""Claim appends of all nodes together. Each node that may claim keeps to a share, which
bounds the load on the log service."""


def flush(state: states.State, out: states.Effects) -> None:
    """Append the gathered claims as one batch.

    While an append is pending, or the share of this node is used up, claims gather
    for the next batch.
    """
    if not state.claim_batch or state.appends or state.now < state.next_claim:
        return
    state.next_claim = state.now + state.claim_gap
    number = state.next_number()
    batch = tuple(state.claim_batch)
    state.claim_batch.clear()
    state.appends[number] = [claim.key for claim in batch]
    state.append_since = state.now
    try:
        effect = effects.Append(
            append=number,
            stream=keys.stream_name(state.backend.service),
            record=messages.encode_record(messages.ClaimBatch(claims=batch)),
        )
    except Exception:
        on_append_failed(state, number, True, out)
        raise
    out.append(effect)


def update_append_interval(state: states.State) -> None:
    """Set the interval of appends from the number of nodes that may claim."""
    services = {
        rule.service for rule in state.configuration.kinds() if not rule.repeatable
    }
    by_service = state.membership.by_service
    claiming = sum(len(by_service.get(service, ())) for service in services)
    state.claim_gap = 1_000.0 * max(1, claiming) / APPENDS_PER_SECOND


def on_append_failed(
    state: states.State, append: int, certain: bool, out: states.Effects
) -> None:
    """Handle a failed append of claims.

    :param certain: nothing was appended, so the keys may be forgotten.
    """
    claimed = state.appends.pop(append, [])
    for key in claimed:
        entry = state.keys.get(key)
        if entry is None or entry.phase is not states.KeyPhase.CLAIMING:
            continue
        _abandon(state, entry, out)
        if certain:
            state.keys.pop(key, None)


def on_record(
    state: states.State, batch: messages.ClaimBatch, out: states.Effects
) -> None:
    """Handle claims in the order of the log."""
    for claim in batch.claims:
        entry = state.keys.get(claim.key)
        if entry is None:
            state.keys[claim.key] = states.KeyEntry(
                key=claim.key,
                phase=states.KeyPhase.FOREIGN,
                since=state.now,
                holder=claim.node,
                waiters=[],
            )
        elif entry.phase is states.KeyPhase.CLAIMING:
            if claim.claim == entry.claim:
                _on_won(state, entry, out)
            else:
                _on_lost(state, entry, claim.node, out)


def on_log_restored(state: states.State, out: states.Effects) -> None:
    """Abandon pending claims: the log may have lost an earlier claim of another node
    that runs the call, and would now let this one win."""
    state.claim_batch.clear()
    for entry in state.keys.values():
        if entry.phase is states.KeyPhase.CLAIMING:
            _abandon(state, entry, out)
            entry.phase = states.KeyPhase.FOREIGN


def check_timeouts(
    state: states.State, now: ids.Milliseconds, out: states.Effects
) -> None:
    """Abandon claims that the log did not confirm in time.

    An append without any outcome counts as failed, since it keeps others from being
    sent.
    """
    if state.appends and now - state.append_since > streams.MAX_PENDING_MS:
        for append in list(state.appends):
            out.append(
                effects.WriteLog(
                    level="ERROR",
                    part="log",
                    text=f"Append {append} of claims without an outcome.",
                )
            )
            on_append_failed(state, append, False, out)
    for entry in list(state.keys.values()):
        if entry.phase is not states.KeyPhase.CLAIMING:
            continue
        if entry.hosted is not None and now - entry.since > keys.CLAIM_WAIT_MS:
            _abandon(state, entry, out)


def _on_won(state: states.State, entry: states.KeyEntry, out: states.Effects) -> None:
    hosted = None if entry.hosted is None else state.hosted.get(entry.hosted)
    if hosted is None:
        entry.phase = states.KeyPhase.OURS_IDLE
        entry.hosted = None
        return
    if state.now >= hosted.deadline:
        entry.phase = states.KeyPhase.OURS_IDLE
        entry.hosted = None
        hosting.withdraw(state, hosted, decisions.Rule.QUEUE_EXPIRED, out)
        return
    if hosted.metadata.service != state.backend.service:
        replies.fail_key(state, hosted, out, dispatched=False)
        hosting.withdraw(state, hosted, decisions.Rule.NO_BACKEND, out)
        return
    keys.mark_running(entry)
    hosting.dispatch(state, hosted, out)


def _on_lost(
    state: states.State, entry: states.KeyEntry, holder: str, out: states.Effects
) -> None:
    entry.phase = states.KeyPhase.FOREIGN
    entry.holder = holder
    hosted = None if entry.hosted is None else state.hosted.get(entry.hosted)
    entry.hosted = None
    waiters = list(entry.waiters)
    entry.waiters.clear()
    if hosted is not None:
        hosting.withdraw(state, hosted, decisions.Rule.CLAIM_LOST, out, holder=holder)
    for waiter in waiters:
        replies.refuse_waiter(
            state, waiter, decisions.Rule.CLAIM_LOST, out, holder=holder
        )


def _abandon(state: states.State, entry: states.KeyEntry, out: states.Effects) -> None:
    """Refuse the calls of a key whose claim is not confirmed.

    They were not dispatched, but another node may have run the key. The entry node
    answers ``not-run`` only if no earlier attempt can have run.
    """
    hosted = None if entry.hosted is None else state.hosted.get(entry.hosted)
    entry.hosted = None
    waiters = list(entry.waiters)
    entry.waiters.clear()
    if hosted is not None:
        hosting.withdraw(state, hosted, decisions.Rule.LOG_UNAVAILABLE, out)
    for waiter in waiters:
        replies.refuse_waiter(state, waiter, decisions.Rule.LOG_UNAVAILABLE, out)
