"""Requests that end the backend servers which run them, and are kept out for it.

A node beside a backend server that ended by itself tells all others which requests were
under way there, by their fingerprints. Each node works out from all such ends what they
have in common: the request that most of them share is to blame, and explains those
ends, so that nothing else is blamed for them. One that is to blame for
:data:`ENDS_TO_KEEP_OUT` ends is sent nowhere any more: entry nodes refuse it before any
work, homes do so for entry nodes that have not heard of it.

A request that ran to an answer is no such request, whatever it was under way in
before: what is popular shows that by itself, many times a second. What is kept out
shows it by a trial, at one home, after a pause that grows with each end.

Invariants: what is kept out follows from ``ends``, ``told`` and ``cleared`` alone, so
that nodes which heard the same keep out the same; nothing is kept out for ends from
before it was cleared.
"""

import collections
import collections.abc
import typing

from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    keys,
    member_table,
    messages,
    outbox,
    state as states,
    streams,
)

ENDS_TO_KEEP_OUT = 3
"""Two backend servers may end under a harmless request: it was under way when the first
one ended, was sent on, and met the same cause again. Each end more costs all requests
that are under way there."""

KEPT_MS = 600_000.0
"""An end is remembered for ten minutes: requests like these come again within seconds
or minutes, since their callers repeat them."""

FORGOTTEN_MS = 86_400_000.0
"""What is kept out and neither comes again nor is cleared is forgotten after a day, by
when the backend servers have mostly been replaced by a later version."""

TRIAL_PAUSE_MS = 30_000.0
TRIAL_FACTOR = 4.0
MAX_TRIAL_PAUSE_MS = 3_600_000.0
"""A request that is kept out is tried after 30 s, once: so long is a harmless one kept
out by mistake. Each end more makes the pause four times as long, up to an hour, so that
a deadly one costs two backend servers more in its first ten minutes, and in the end one
in each hour in which it comes."""

MAX_ENDS = 128
MAX_KEPT_OUT = 256
"""Bounds on memory, some 40 kB in all; the oldest go first."""

REQUESTS_AN_END = 32
MAX_PARTS = 4
"""An end is told in messages of up to 32 requests, 6 bytes each, so that a datagram
stays within one packet; of more than 128 under way some are left out at random."""

END_TOLD_PART = 2
"""An end is passed on half as often as a change of a member: what follows from it is
made up for by the digest, and it is several times as long."""

WORDS_A_MESSAGE = 4
TELL_AGAIN_MS = 1_000.0
"""A node that keeps out other requests than its peer tells its own again, at most once
a second: so nodes learn of them that were cut off or started since."""

SAME_MS = 5_000.0
"""Words on one end differ by the time that they were under way, not by more."""

RUNS_KEPT = 4_096
"""Requests that ran to an answer here lately, half a minute of them at the design size.
What is under way in many backend servers at once is among them."""

PART = "quarantine"


def note_end(
    state: states.State, requests: collections.abc.Sequence[int], out: states.Effects
) -> None:
    """Take in that the backend server beside this node ended by itself.

    :param requests: what was under way there.
    """
    known = state.quarantine
    suspects = [found for found in requests if found not in known.runs]
    for found in requests:
        # It may have become deadly since; the next run here tells anew.
        known.runs.pop(found, None)
    most = REQUESTS_AN_END * MAX_PARTS
    if len(suspects) > most:
        recurring = [found for found in suspects if found in known.suspects]
        others = [found for found in suspects if found not in known.suspects]
        suspects = [*recurring, *state.random.sample(others, len(others))][:most]
    number = state.backend.ends
    for part, first in enumerate(range(0, len(suspects), REQUESTS_AN_END)):
        end = messages.BackendEnd(
            node=state.node,
            incarnation=state.incarnation,
            number=number,
            part=part,
            requests=tuple(suspects[first : first + REQUESTS_AN_END]),
        )
        _keep_end(state, end)
    _judge(state, out)


def note_run(state: states.State, request: int, out: states.Effects) -> None:
    """Take in that a request ran to an answer at the backend server of this node."""
    known = state.quarantine
    known.runs.pop(request, None)
    known.runs[request] = None
    if len(known.runs) > RUNS_KEPT:
        del known.runs[next(iter(known.runs))]
    if request in known.suspects or request in known.kept_out:
        saved = request in known.kept_out
        _clear(state, request, state.now, out)
        if saved:
            _save(state, request, out)


def word_on(state: states.State, request: int) -> states.Word | None:
    """Return why a request is kept out, or ``None`` where it is not."""
    return state.quarantine.kept_out.get(request)


def trial_due_in(state: states.State, request: int) -> ids.Milliseconds:
    """Return how long it takes until a request that is kept out is tried again."""
    known = state.quarantine
    word = known.kept_out[request]
    trial = known.trials.get(request)
    last = word.at if trial is None else max(word.at, trial.at)
    return max(0.0, last + _pause(word.ends) - state.now)


def trial_node(state: states.State, call: states.Call) -> ids.NodeId | None:
    """Return the one home at which a request is to be tried now, if it is."""
    if trial_due_in(state, call.fingerprint) > 0.0:
        return None
    return _trial_home(state, call.fingerprint, call.service)


def admits(state: states.State, hosted: states.Hosted) -> bool:
    """Tell whether a call may run here: it is not kept out, or this is its trial."""
    known = state.quarantine
    request = hosted.terms.fingerprint
    if request not in known.kept_out:
        return True
    trial = known.trials.get(request)
    if trial is not None and trial.hosted == hosted.id:
        return True
    if trial_due_in(state, request) > 0.0:
        return False
    if _trial_home(state, request, hosted.terms.service) != state.node:
        return False
    known.trials[request] = states.Trial(hosted=hosted.id, at=state.now)
    return True


def figures_on(state: states.State, request: int) -> tuple[float, ...]:
    """Return what a decision to keep a request out saw."""
    word = state.quarantine.kept_out[request]
    since_s = (state.now - word.at) / 1000.0
    return (float(word.ends), since_s, trial_due_in(state, request) / 1000.0)


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
        if _id_of(end) not in known.ends and end.age_ms < KEPT_MS
    ]
    for end in fresh:
        _keep_end(state, end)
    heard = [word for word in told.words if _hear_word(state, word, out)]
    if fresh or heard:
        _judge(state, out)
    if told.digest != known.digest and state.now >= known.tell_again_at:
        known.tell_again_at = state.now + TELL_AGAIN_MS
        for request in known.kept_out:
            _tell_word(state, request)
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
            _judge(state, out)


def on_cleared(
    state: states.State, event: events.RequestCleared, out: states.Effects
) -> None:
    """Let a request run again, since an operator says so."""
    kept_out = event.request in state.quarantine.kept_out
    if kept_out:
        _clear(state, event.request, state.now, out)
        _save(state, event.request, out)
    record = messages.AuditRecord(
        at=state.now,
        who=event.author,
        what="clear",
        subject=f"{event.request:012x}",
        outcome="accepted" if kept_out else "not kept out",
    )
    out.append(
        effects.Append(
            append=state.next_number(),
            stream=streams.AUDIT,
            record=messages.encode_record(record),
        )
    )


def on_saved(state: states.State, number: int, *, done: bool) -> bool:
    """Take in whether the log took a record; one that it did not is put again.

    :return: whether the record was one of these.
    """
    known = state.quarantine
    request = known.saving.pop(number, None)
    if request is None:
        return False
    if not done:
        known.unsaved.add(request)
    return True


def check(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    """Forget what is old, and put on the log what it did not take."""
    known = state.quarantine
    for request in sorted(known.unsaved):
        known.unsaved.discard(request)
        _save(state, request, out)
    old_ends = [id_ for id_, end in known.ends.items() if now - end.at >= KEPT_MS]
    old = [r for r, word in known.told.items() if now - word.at >= FORGOTTEN_MS]
    if not old_ends and not old:
        return
    # What is kept out stays so when the ends that tell of it are forgotten.
    known.told.update(known.kept_out)
    for id_ in old_ends:
        del known.ends[id_]
    for request in old:
        known.told.pop(request, None)
    for request, at in list(known.cleared.items()):
        if now - at >= FORGOTTEN_MS:
            del known.cleared[request]
    _judge(state, out)
    for request in old:
        if _drops_record(state, request):
            _save(state, request, out)


def _drops_record(state: states.State, request: int) -> bool:
    """Tell whether it is on this node to take a forgotten request off the log; all
    nodes forget it at about the same time."""
    nodes = [state.node, *member_table.reachable(state)]
    return keys.preferred(f"{request:012x}", nodes) == state.node


def _judge(state: states.State, out: states.Effects) -> None:
    """Work out which requests are to blame, from all that is known."""
    known = state.quarantine
    shared = _shared(state)
    found = _blamed(shared)
    for request, word in known.told.items():
        explained = request not in found and _times(shared, request) >= word.ends
        if not explained:
            found[request] = _merged(found.get(request), word)
    counts = collections.Counter(r for end in shared.values() for r in end.requests)
    known.suspects = {request for request, times in counts.items() if times > 1}
    for request in found.keys() - known.kept_out.keys():
        text = (
            f"Request {request:012x} is kept out: {found[request].ends} backend"
            " servers ended while they ran it."
        )
        outbox.warn(out, PART, text)
    for request in known.kept_out.keys() - found.keys():
        outbox.info(out, PART, f"Request {request:012x} is kept out no more.")
    before = known.kept_out
    latest = sorted(found, key=lambda request: -found[request].at)[:MAX_KEPT_OUT]
    known.kept_out = {request: found[request] for request in sorted(latest)}
    known.digest = _digest(known.kept_out)
    own = _own_requests(state)
    for request, word in known.kept_out.items():
        worse = request not in before or before[request].ends < word.ends
        if worse and request in own:
            _save(state, request, out)
    for request in known.trials.keys() - known.kept_out.keys():
        del known.trials[request]


def _own_requests(state: states.State) -> set[int]:
    """Return what was under way when backend servers ended beside this node.

    Each home that saw one of the ends puts the record: which one hears of the third
    end first, and whether it lives on, is chance.
    """
    ends = state.quarantine.ends.values()
    own = [end.requests for end in ends if end.end.node == state.node]
    return {request for requests in own for request in requests}


class _SharedEnd:
    """One end with the requests that it may be held against.

    :param at: when it was.
    """

    def __init__(self, at: ids.Milliseconds) -> None:
        self.at = at
        self.requests: set[int] = set()


def _shared(state: states.State) -> dict[str, _SharedEnd]:
    """Return the ends with what is left to be held against: what was not cleared
    since. The parts in which one was told come together."""
    known = state.quarantine
    ends: dict[str, _SharedEnd] = {}
    for id_, end in known.ends.items():
        whole = ends.setdefault(id_.rpartition("/")[0], _SharedEnd(end.at))
        whole.requests.update(
            request
            for request in end.requests
            if known.cleared.get(request, 0.0) < end.at
        )
    return ends


def _blamed(ends: dict[str, _SharedEnd]) -> dict[int, states.Word]:
    """Return the requests that explain the ends, those that explain most first.

    A harmless request that was sent on from one of these ends to the next is under
    way in some of them too; the one that all have in common leaves it none.
    """
    blamed: dict[int, states.Word] = {}
    left = list(ends.values())
    while left:
        counts = collections.Counter(r for end in left for r in end.requests)
        most = max(counts.values(), default=0)
        if most < ENDS_TO_KEEP_OUT:
            break
        worst = {request for request, times in counts.items() if times == most}
        for request in worst:
            at = max(end.at for end in left if request in end.requests)
            blamed[request] = states.Word(ends=most, at=at)
        left = [end for end in left if not end.requests & worst]
    return blamed


def _times(ends: dict[str, _SharedEnd], request: int) -> int:
    return sum(1 for end in ends.values() if request in end.requests)


def _merged(one: states.Word | None, other: states.Word) -> states.Word:
    if one is None:
        return other
    return states.Word(ends=max(one.ends, other.ends), at=max(one.at, other.at))


def _hear_word(
    state: states.State, word: messages.QuarantineWord, out: states.Effects
) -> bool:
    known = state.quarantine
    at = state.now - word.age_ms
    cleared = known.cleared.get(word.request, 0.0)
    if word.ends == 0:
        if at <= cleared + SAME_MS:
            return False
        _clear(state, word.request, at, out)
        return True
    held = known.kept_out.get(word.request) or known.told.get(word.request)
    if at <= cleared or word.ends < ENDS_TO_KEEP_OUT:
        return False
    if held and held.ends >= word.ends and at <= held.at + SAME_MS:
        return False
    if not held and _times(_shared(state), word.request) >= word.ends:
        # Another request explains all of these ends.
        return False
    known.told[word.request] = _merged(held, states.Word(ends=word.ends, at=at))
    _bound(known.told, MAX_KEPT_OUT)
    _tell_word(state, word.request)
    return True


def _clear(
    state: states.State, request: int, at: ids.Milliseconds, out: states.Effects
) -> None:
    known = state.quarantine
    known.cleared.pop(request, None)
    known.cleared[request] = at
    _bound(known.cleared, MAX_KEPT_OUT)
    word = known.told.get(request)
    if word is not None and word.at <= at:
        del known.told[request]
    _tell_word(state, request)
    _judge(state, out)


def _keep_end(state: states.State, end: messages.BackendEnd) -> None:
    known = state.quarantine
    id_ = _id_of(end)
    known.ends[id_] = states.KnownEnd(end=end, at=state.now - end.age_ms)
    if len(known.ends) > MAX_ENDS:
        oldest = min(known.ends, key=lambda other: known.ends[other].at)
        del known.ends[oldest]
        known.ends_to_tell.drop(oldest)
    times = member_table.rumour_count(state) // END_TOLD_PART
    known.ends_to_tell.put(id_, max(1, times))


def _tell_word(state: states.State, request: int) -> None:
    times = member_table.rumour_count(state)
    state.quarantine.words_to_tell.put(f"{request:012x}", times)


def _told_end(state: states.State, id_: str) -> messages.BackendEnd:
    known = state.quarantine.ends[id_]
    end = known.end
    return messages.BackendEnd(
        node=end.node,
        incarnation=end.incarnation,
        number=end.number,
        part=end.part,
        requests=end.requests,
        age_ms=state.now - known.at,
    )


def _told_word(state: states.State, request: int) -> messages.QuarantineWord:
    known = state.quarantine
    word = known.kept_out.get(request)
    if word is None:
        word = states.Word(ends=0, at=known.cleared[request])
    return messages.QuarantineWord(
        request=request, ends=word.ends, age_ms=state.now - word.at
    )


def _save(state: states.State, request: int, out: states.Effects) -> None:
    """Put what is held of a request on the log: the one place that outlives a loss of
    power of all nodes at once."""
    known = state.quarantine
    word = known.kept_out.get(request)
    number = state.next_number()
    known.saving[number] = request
    record = messages.encode_record(
        messages.QuarantineRecord(
            request=request,
            ends=0 if word is None else word.ends,
            at=state.now if word is None else word.at,
        )
    )
    if state.keyed_log:
        key = f"{PART}/{request:012x}"
        content = b"" if word is None else record
        out.append(
            effects.PutRecord(
                put=number, stream=streams.MEMBERS, key=key, record=content
            )
        )
        return
    out.append(effects.Append(append=number, stream=streams.MEMBERS, record=record))


def _pause(ends: int) -> ids.Milliseconds:
    factor = TRIAL_FACTOR ** min(ends - ENDS_TO_KEEP_OUT, 8)
    return min(TRIAL_PAUSE_MS * factor, MAX_TRIAL_PAUSE_MS)


def _trial_home(
    state: states.State, request: int, service: ids.ServiceName
) -> ids.NodeId | None:
    nodes = state.membership.by_service.get(service)
    return keys.preferred(f"{request:012x}", nodes) if nodes else None


def _id_of(end: messages.BackendEnd) -> str:
    return f"{end.node}/{end.incarnation}/{end.number}/{end.part}"


def _digest(requests: collections.abc.Iterable[int]) -> int:
    folded = 0
    for request in requests:
        folded ^= request ^ request >> 32
    return folded & 0xFFFFFFFF


def _bound(table: dict[int, typing.Any], most: int) -> None:
    while len(table) > most:
        del table[next(iter(table))]
