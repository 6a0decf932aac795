"""Claims of keys on the log: batching, reading back, winning and losing."""

from gingerturn.internal import ids
from gingerturn.internal.core import (
    decisions,
    effects,
    hosting,
    keys,
    messages,
    replies,
    state as states,
)

APPENDS_PER_SECOND = 200.0
"""Claim appends of all nodes together. The log service takes several hundred a
second in all; configuration and membership need a few, the rest is left to others.
Each node that may claim keeps to its part, so no load can exceed the sum."""


def flush(state: states.State, out: states.Effects) -> None:
    """Append the claims gathered since the last append, one append at a time.

    While one is under way, or the node's part of the budget is used up, the others
    gather and travel together.
    """
    if not state.claim_batch or state.appends or state.now < state.next_claim:
        return
    state.next_claim = state.now + state.claim_gap
    number = state.next_number()
    batch = tuple(state.claim_batch)
    state.claim_batch.clear()
    state.appends[number] = [claim.key for claim in batch]
    out.append(
        effects.Append(
            append=number,
            stream=keys.stream_name(state.backend.service),
            record=messages.encode_record(messages.ClaimBatch(claims=batch)),
        )
    )


def update_append_interval(state: states.State) -> None:
    """Work out the pause between this node's appends from who may claim at all."""
    services = {
        rule.service for rule in state.configuration.kinds() if not rule.repeatable
    }
    by_service = state.membership.by_service
    claiming = sum(len(by_service.get(service, ())) for service in services)
    state.claim_gap = 1_000.0 * max(1, claiming) / APPENDS_PER_SECOND


def on_append_failed(
    state: states.State, append: int, certain: bool, out: states.Effects
) -> None:
    """Take in a failed append of claims.

    Only where it is certain that nothing was appended may the keys be forgotten.
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
    """Take in claims in the log's order."""
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
    """Give up the keys that are being claimed: the log may have lost an earlier claim
    of another node, which runs the call, and would now put this one first."""
    state.claim_batch.clear()
    for entry in state.keys.values():
        if entry.phase is states.KeyPhase.CLAIMING:
            _abandon(state, entry, out)
            entry.phase = states.KeyPhase.FOREIGN


def check_timeouts(
    state: states.State, now: ids.Milliseconds, out: states.Effects
) -> None:
    """Give up on claims that the log does not confirm in time."""
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

    They were not handed over; whether another node ran the key is not known, and
    the entry node says ``not-run`` only to a first sending.
    """
    hosted = None if entry.hosted is None else state.hosted.get(entry.hosted)
    entry.hosted = None
    waiters = list(entry.waiters)
    entry.waiters.clear()
    if hosted is not None:
        hosting.withdraw(state, hosted, decisions.Rule.LOG_UNAVAILABLE, out)
    for waiter in waiters:
        replies.refuse_waiter(state, waiter, decisions.Rule.LOG_UNAVAILABLE, out)
