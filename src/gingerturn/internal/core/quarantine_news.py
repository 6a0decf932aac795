"""How nodes hear of requests that end backend servers: by what rides on membership
messages, and by the log."""

import msgspec

from gingerturn.internal.core import (
    blame,
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


def news(state: states.State) -> messages.QuarantineNews:
    """Return what rides on the next membership message."""
    known = state.quarantine
    if not (known.ends or known.kept_out or known.words_to_tell):
        return messages.NO_QUARANTINE_NEWS
    ends = tuple(
        _told_end(state, id_) for id_ in known.ends_to_tell.take(1) if id_ in known.ends
    )
    names = known.words_to_tell.take(WORDS_A_MESSAGE)
    words = tuple(
        _told_word(state, request)
        for request in (int(name, 16) for name in names)
        if request in known.kept_out or request in known.cleared
    )
    return messages.QuarantineNews(ends=ends, words=words, digest=known.digest)


def hear(
    state: states.State, told: messages.QuarantineNews, out: states.Effects
) -> bool:
    """Take in what rode on a membership message.

    :return: whether it is to be passed on at once: it changes what is kept out, or is
        about to. All other ends ride on the messages that are sent anyway.
    """
    known = state.quarantine
    before = known.kept_out.keys()
    fresh = [
        end
        for end in told.ends
        if table.id_of(end) not in known.ends and end.age_ms < KEPT_MS
    ]
    for end in fresh:
        table.keep_end(state, end)
    heard = [word for word in told.words if _hear_word(state, word, out)]
    if fresh or heard:
        table.judge(state, out)
    if told.digest != known.digest and state.now >= known.tell_again_at:
        known.tell_again_at = state.now + TELL_AGAIN_MS
        for request in known.kept_out:
            table.tell_word(state, request)
    doubted = known.suspects - known.kept_out.keys()
    recurring = any(not doubted.isdisjoint(end.requests) for end in fresh)
    return recurring or known.kept_out.keys() != before


def on_record(
    state: states.State, record: messages.QuarantineRecord, out: states.Effects
) -> None:
    """Take in a request that a node kept out, or cleared, and put on the log."""
    if state.now - record.at < FORGOTTEN_MS:
        word = messages.QuarantineWord(
            request=record.request,
            ends=record.ends,
            age_ms=max(0.0, state.now - record.at),
        )
        if _hear_word(state, word, out):
            table.judge(state, out)


def _hear_word(
    state: states.State, word: messages.QuarantineWord, out: states.Effects
) -> bool:
    known = state.quarantine
    at = state.now - word.age_ms
    cleared = known.cleared.get(word.request, 0.0)
    if word.ends == 0:
        if at <= cleared + SAME_MS:
            return False
        table.clear(state, word.request, at, out)
        return True
    held = known.kept_out.get(word.request) or known.told.get(word.request)
    if at <= cleared or word.ends < blame.ENDS_TO_KEEP_OUT:
        return False
    if held and held.ends >= word.ends and at <= held.at + SAME_MS:
        return False
    if not held and blame.times(blame.shared_ends(known), word.request) >= word.ends:
        # Another request explains all of these ends.
        return False
    known.told[word.request] = table.merged(held, states.Word(ends=word.ends, at=at))
    table.bound(known.told, table.MAX_KEPT_OUT)
    table.tell_word(state, word.request)
    return True


def _told_end(state: states.State, id_: str) -> messages.BackendEnd:
    known = state.quarantine.ends[id_]
    return msgspec.structs.replace(known.end, age_ms=state.now - known.at)


def _told_word(state: states.State, request: int) -> messages.QuarantineWord:
    known = state.quarantine
    word = known.kept_out.get(request)
    if word is None:
        word = states.Word(ends=0, at=known.cleared[request])
    return messages.QuarantineWord(
        request=request, ends=word.ends, age_ms=state.now - word.at
    )
