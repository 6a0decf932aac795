"""What a node knows of requests that end backend servers, and what follows from it.

Invariants: what is kept out follows from ``ends``, ``told`` and ``cleared`` alone, so
that nodes which heard the same keep out the same; nothing is kept out for ends from
before it was cleared.
"""

import collections
import collections.abc
import typing

from gingerturn.internal import ids
from gingerturn.internal.core import (
    blame,
    effects,
    member_table,
    messages,
    outbox,
    state as states,
    streams,
)

MAX_ENDS = 128
MAX_KEPT_OUT = 256
"""Bounds on memory, some 40 kB in all; the oldest go first."""

END_TOLD_PART = 2
"""An end is passed on half as often as a change of a member: what follows from it is
made up for by the digest, and it is several times as long."""

PART = "quarantine"


def keep_end(state: states.State, end: messages.BackendEnd) -> None:
    """Remember one part of an end, and let it be passed on."""
    known = state.quarantine
    id_ = id_of(end)
    known.ends[id_] = states.KnownEnd(end=end, at=state.now - end.age_ms)
    if len(known.ends) > MAX_ENDS:
        oldest = min(known.ends, key=lambda other: known.ends[other].at)
        del known.ends[oldest]
        known.ends_to_tell.drop(oldest)
    times = member_table.rumour_count(state) // END_TOLD_PART
    known.ends_to_tell.put(id_, max(1, times))


def clear(
    state: states.State, request: int, at: ids.Milliseconds, out: states.Effects
) -> None:
    """Hold nothing of before against a request, and let that be passed on.

    :param at: when it ran to an answer, or an operator cleared it.
    """
    known = state.quarantine
    known.cleared.pop(request, None)
    known.cleared[request] = at
    bound(known.cleared, MAX_KEPT_OUT)
    word = known.told.get(request)
    if word is not None and word.at <= at:
        del known.told[request]
    tell_word(state, request)
    judge(state, out)


def judge(state: states.State, out: states.Effects) -> None:
    """Work out which requests are to blame, from all that is known."""
    known = state.quarantine
    shared = blame.shared_ends(known)
    found = blame.blamed_for(shared)
    for request, word in known.told.items():
        explained = request not in found and blame.times(shared, request) >= word.ends
        if not explained:
            found[request] = merged(found.get(request), word)
    counts = collections.Counter(r for end in shared.values() for r in end.requests)
    known.suspects = {request for request, times in counts.items() if times > 1}
    before = known.kept_out
    _log_change(before, found, out)
    latest = sorted(found, key=lambda request: -found[request].at)[:MAX_KEPT_OUT]
    known.kept_out = {request: found[request] for request in sorted(latest)}
    known.digest = _digest(known.kept_out)
    own = _own_requests(state)
    for request, word in known.kept_out.items():
        worse = request not in before or before[request].ends < word.ends
        if worse and request in own:
            save(state, request, out)
    for request in known.trials.keys() - known.kept_out.keys():
        del known.trials[request]


def _log_change(
    before: dict[int, states.Word], found: dict[int, states.Word], out: states.Effects
) -> None:
    """Write which requests are kept out from now on, and which no more."""
    for request in found.keys() - before.keys():
        text = (
            f"Request {ids.fingerprint_text(request)} is kept out:"
            f" {found[request].ends} backend servers ended while they ran it."
        )
        outbox.warn(out, PART, text)
    for request in before.keys() - found.keys():
        text = f"Request {ids.fingerprint_text(request)} is kept out no more."
        outbox.info(out, PART, text)


def _own_requests(state: states.State) -> set[int]:
    """Return what was under way when backend servers ended beside this node.

    Each home that saw one of the ends puts the record: which one hears of the third
    end first, and whether it lives on, is chance.
    """
    ends = state.quarantine.ends.values()
    own = [end.requests for end in ends if end.end.node == state.node]
    return {request for requests in own for request in requests}


def merged(one: states.Word | None, other: states.Word) -> states.Word:
    """Return what two words on a request come to."""
    if one is None:
        return other
    return states.Word(ends=max(one.ends, other.ends), at=max(one.at, other.at))


def tell_word(state: states.State, request: int) -> None:
    """Let what is held of a request ride on the next messages."""
    times = member_table.rumour_count(state)
    state.quarantine.words_to_tell.put(ids.fingerprint_text(request), times)


def save(state: states.State, request: int, out: states.Effects) -> None:
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
        key = f"{PART}/{ids.fingerprint_text(request)}"
        content = b"" if word is None else record
        out.append(
            effects.PutRecord(
                put=number, stream=streams.MEMBERS, key=key, record=content
            )
        )
        return
    out.append(effects.Append(append=number, stream=streams.MEMBERS, record=record))


def id_of(end: messages.BackendEnd) -> str:
    """Return what one part of an end is known by."""
    return f"{end.node}/{end.incarnation}/{end.number}/{end.part}"


def _digest(requests: collections.abc.Iterable[int]) -> int:
    folded = 0
    for request in requests:
        folded ^= request ^ request >> 32
    return folded & 0xFFFFFFFF


def bound(table: dict[int, typing.Any], most: int) -> None:
    """Drop the oldest entries of a table that has filled up."""
    while len(table) > most:
        del table[next(iter(table))]
