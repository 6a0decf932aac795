"""Distribution of crashes and quarantine entries by gossip and the log."""

import msgspec

from gingerturn.internal.core import (
    crash_attribution,
    messages,
    quarantine_table as table,
    state as states,
)

CRASH_RETENTION_MS = 600_000.0
"""Crashes are kept for this long. Callers retry requests that crash backend servers
within seconds or minutes."""

ENTRY_RETENTION_MS = 86_400_000.0
"""Quarantine entries without a further crash expire after a day, by when most backend
servers run a later version."""

UPDATES_PER_MESSAGE = 4
RESEND_INTERVAL_MS = 1_000.0
"""A node whose entries differ from a peer's enqueues its own again, at most once in
this time. This informs nodes that were partitioned or have just started."""

SAME_CRASH_MS = 5_000.0
"""Times of one crash reported by different nodes differ by less than this."""


def outgoing(state: states.State) -> messages.QuarantineGossip:
    """Return the quarantine part of the next membership message."""
    quarantine = state.quarantine
    if not (
        quarantine.crashes or quarantine.quarantined or quarantine.updates_to_gossip
    ):
        return messages.NO_QUARANTINE_GOSSIP
    crashes = tuple(
        _crash_to_send(state, id_)
        for id_ in quarantine.crashes_to_gossip.take(1)
        if id_ in quarantine.crashes
    )
    fingerprints = quarantine.updates_to_gossip.take(UPDATES_PER_MESSAGE)
    updates = tuple(
        _update_to_send(state, request)
        for request in (int(fingerprint, 16) for fingerprint in fingerprints)
        if request in quarantine.quarantined or request in quarantine.cleared_at
    )
    return messages.QuarantineGossip(
        crashes=crashes, updates=updates, digest=quarantine.digest
    )


def without_updates(state: states.State) -> messages.QuarantineGossip:
    """Return the quarantine part of a message that carries no updates."""
    digest = state.quarantine.digest
    if not digest:
        return messages.NO_QUARANTINE_GOSSIP
    return messages.QuarantineGossip(digest=digest)


def on_gossip(
    state: states.State, gossip: messages.QuarantineGossip, out: states.Effects
) -> bool:
    """Apply the quarantine part of a membership message.

    :return: whether to send it on at once, since it changes the quarantined requests or
        a suspect crashed another backend server. Other crashes are attached to regular
        messages.
    """
    quarantine = state.quarantine
    previous = quarantine.quarantined.keys()
    new_crashes = [
        crash
        for crash in gossip.crashes
        if table.id_of(crash) not in quarantine.crashes
        and crash.age_ms < CRASH_RETENTION_MS
    ]
    for crash in new_crashes:
        table.add_crash(state, crash)
    applied = [update for update in gossip.updates if _apply_update(state, update, out)]
    if new_crashes or applied:
        table.update_quarantined(state, out)
    if gossip.digest != quarantine.digest and state.now >= quarantine.next_gossip_at:
        quarantine.next_gossip_at = state.now + RESEND_INTERVAL_MS
        for request in quarantine.quarantined:
            table.enqueue_update(state, request)
    unconfirmed = quarantine.suspects - quarantine.quarantined.keys()
    recurring = any(not unconfirmed.isdisjoint(crash.requests) for crash in new_crashes)
    return recurring or quarantine.quarantined.keys() != previous


def on_record(
    state: states.State, record: messages.QuarantineRecord, out: states.Effects
) -> None:
    """Apply a record on the log of a request that a node quarantined or cleared."""
    if state.now - record.at < ENTRY_RETENTION_MS:
        update = messages.QuarantineUpdate(
            request=record.request,
            crash_count=record.ends,
            age_ms=max(0.0, state.now - record.at),
        )
        if _apply_update(state, update, out):
            table.update_quarantined(state, out)


def _apply_update(
    state: states.State, update: messages.QuarantineUpdate, out: states.Effects
) -> bool:
    quarantine = state.quarantine
    at = state.now - update.age_ms
    cleared_at = quarantine.cleared_at.get(update.request, 0.0)
    if update.crash_count == 0:
        if at <= cleared_at + SAME_CRASH_MS:
            return False
        table.clear(state, update.request, at, out)
        return True
    entry = quarantine.quarantined.get(update.request) or quarantine.reported.get(
        update.request
    )
    if at <= cleared_at or update.crash_count < crash_attribution.CRASHES_TO_QUARANTINE:
        return False
    if (
        entry
        and entry.crash_count >= update.crash_count
        and at <= entry.last_crash_at + SAME_CRASH_MS
    ):
        return False
    if (
        not entry
        and crash_attribution.crash_count(
            crash_attribution.shared_crashes(quarantine), update.request
        )
        >= update.crash_count
    ):
        # All of these crashes are attributed to another request.
        return False
    quarantine.reported[update.request] = table.merge_entries(
        entry, states.QuarantineEntry(crash_count=update.crash_count, last_crash_at=at)
    )
    table.trim(quarantine.reported, table.MAX_QUARANTINED)
    table.enqueue_update(state, update.request)
    return True


def _crash_to_send(state: states.State, id_: str) -> messages.BackendCrash:
    known_crash = state.quarantine.crashes[id_]
    return msgspec.structs.replace(
        known_crash.crash, age_ms=state.now - known_crash.crashed_at
    )


def _update_to_send(state: states.State, request: int) -> messages.QuarantineUpdate:
    quarantine = state.quarantine
    entry = quarantine.quarantined.get(request)
    if entry is None:
        entry = states.QuarantineEntry(
            crash_count=0, last_crash_at=quarantine.cleared_at[request]
        )
    return messages.QuarantineUpdate(
        request=request,
        crash_count=entry.crash_count,
        age_ms=state.now - entry.last_crash_at,
    )
