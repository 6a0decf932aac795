"""How nodes hear of requests that end backend servers: by what rides on membership
messages, and by the log."""

import msgspec

from gingerturn.internal.core import (
    crash_attribution,
    messages,
    quarantine_table as table,
    state as states,
)

KEPT_MS = 600_000.0
"""An end is remembered for ten minutes: requests like these come again within seconds
or minutes, since their callers repeat them."""

FORGOTTEN_MS = 86_400_000.0
"""What is kept out and neither comes again nor is cleared is forgotten after a day, by
when the backend servers have mostly been replaced by a later version."""

WORDS_A_MESSAGE = 4
TELL_AGAIN_MS = 1_000.0
"""A node that keeps out other requests than its peer tells its own again, at most once
a second: so nodes learn of them that were cut off or started since."""

SAME_MS = 5_000.0
"""Words on one end differ by the time that they were under way, not by more."""


def outgoing(state: states.State) -> messages.QuarantineGossip:
    """Return what rides on the next membership message."""
    known = state.quarantine
    if not (known.crashes or known.quarantined or known.updates_to_gossip):
        return messages.NO_QUARANTINE_GOSSIP
    ends = tuple(
        _told_end(state, id_)
        for id_ in known.crashes_to_gossip.take(1)
        if id_ in known.crashes
    )
    names = known.updates_to_gossip.take(WORDS_A_MESSAGE)
    words = tuple(
        _told_word(state, request)
        for request in (int(name, 16) for name in names)
        if request in known.quarantined or request in known.cleared_at
    )
    return messages.QuarantineGossip(crashes=ends, updates=words, digest=known.digest)


def on_gossip(
    state: states.State, told: messages.QuarantineGossip, out: states.Effects
) -> bool:
    """Take in what rode on a membership message.

    :return: whether it is to be passed on at once: it changes what is kept out, or is
        about to. All other ends ride on the messages that are sent anyway.
    """
    known = state.quarantine
    before = known.quarantined.keys()
    fresh = [
        end
        for end in told.crashes
        if table.id_of(end) not in known.crashes and end.age_ms < KEPT_MS
    ]
    for end in fresh:
        table.add_crash(state, end)
    heard = [word for word in told.updates if _hear_word(state, word, out)]
    if fresh or heard:
        table.update_quarantined(state, out)
    if told.digest != known.digest and state.now >= known.next_gossip_at:
        known.next_gossip_at = state.now + TELL_AGAIN_MS
        for request in known.quarantined:
            table.enqueue_update(state, request)
    doubted = known.suspects - known.quarantined.keys()
    recurring = any(not doubted.isdisjoint(end.requests) for end in fresh)
    return recurring or known.quarantined.keys() != before


def on_record(
    state: states.State, record: messages.QuarantineRecord, out: states.Effects
) -> None:
    """Take in a request that a node kept out, or cleared, and put on the log."""
    if state.now - record.at < FORGOTTEN_MS:
        word = messages.QuarantineUpdate(
            request=record.request,
            crash_count=record.ends,
            age_ms=max(0.0, state.now - record.at),
        )
        if _hear_word(state, word, out):
            table.update_quarantined(state, out)


def _hear_word(
    state: states.State, word: messages.QuarantineUpdate, out: states.Effects
) -> bool:
    known = state.quarantine
    at = state.now - word.age_ms
    cleared = known.cleared_at.get(word.request, 0.0)
    if word.crash_count == 0:
        if at <= cleared + SAME_MS:
            return False
        table.clear(state, word.request, at, out)
        return True
    held = known.quarantined.get(word.request) or known.reported.get(word.request)
    if at <= cleared or word.crash_count < crash_attribution.CRASHES_TO_QUARANTINE:
        return False
    if (
        held
        and held.crash_count >= word.crash_count
        and at <= held.last_crash_at + SAME_MS
    ):
        return False
    if (
        not held
        and crash_attribution.crash_count(
            crash_attribution.shared_crashes(known), word.request
        )
        >= word.crash_count
    ):
        # Another request explains all of these ends.
        return False
    known.reported[word.request] = table.merge_entries(
        held, states.QuarantineEntry(crash_count=word.crash_count, last_crash_at=at)
    )
    table.trim(known.reported, table.MAX_QUARANTINED)
    table.enqueue_update(state, word.request)
    return True


def _told_end(state: states.State, id_: str) -> messages.BackendCrash:
    known = state.quarantine.crashes[id_]
    return msgspec.structs.replace(known.crash, age_ms=state.now - known.crashed_at)


def _told_word(state: states.State, request: int) -> messages.QuarantineUpdate:
    known = state.quarantine
    word = known.quarantined.get(request)
    if word is None:
        word = states.QuarantineEntry(
            crash_count=0, last_crash_at=known.cleared_at[request]
        )
    return messages.QuarantineUpdate(
        request=request,
        crash_count=word.crash_count,
        age_ms=state.now - word.last_crash_at,
    )
