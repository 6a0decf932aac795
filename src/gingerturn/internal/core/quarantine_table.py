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
    crash_attribution,
    effects,
    member_table,
    messages,
    operator_log,
    state as states,
    streams,
)

MAX_CRASHES = 128
MAX_QUARANTINED = 256
"""Bounds on memory, some 40 kB in all; the oldest go first."""

END_TOLD_PART = 2
"""An end is passed on half as often as a change of a member: what follows from it is
made up for by the digest, and it is several times as long."""

PART = "quarantine"


def add_crash(state: states.State, end: messages.BackendCrash) -> None:
    """Remember one part of an end, and let it be passed on."""
    known = state.quarantine
    id_ = id_of(end)
    known.crashes[id_] = states.KnownCrash(crash=end, crashed_at=state.now - end.age_ms)
    if len(known.crashes) > MAX_CRASHES:
        oldest = min(known.crashes, key=lambda other: known.crashes[other].crashed_at)
        del known.crashes[oldest]
        known.crashes_to_gossip.drop(oldest)
    times = member_table.transmission_count(state) // END_TOLD_PART
    known.crashes_to_gossip.put(id_, max(1, times))


def clear(
    state: states.State, request: int, at: ids.Milliseconds, out: states.Effects
) -> None:
    """Hold nothing of before against a request, and let that be passed on.

    :param at: when it ran to an answer, or an operator cleared it.
    """
    known = state.quarantine
    known.cleared_at.pop(request, None)
    known.cleared_at[request] = at
    trim(known.cleared_at, MAX_QUARANTINED)
    word = known.reported.get(request)
    if word is not None and word.last_crash_at <= at:
        del known.reported[request]
    enqueue_update(state, request)
    update_quarantined(state, out)


def update_quarantined(state: states.State, out: states.Effects) -> None:
    """Work out which requests are to blame, from all that is known."""
    known = state.quarantine
    shared = crash_attribution.shared_crashes(known)
    found = crash_attribution.attribute_crashes(shared)
    for request, word in known.reported.items():
        explained = (
            request not in found
            and crash_attribution.crash_count(shared, request) >= word.crash_count
        )
        if not explained:
            found[request] = merge_entries(found.get(request), word)
    counts = collections.Counter(r for end in shared.values() for r in end.requests)
    known.suspects = {request for request, times in counts.items() if times > 1}
    before = known.quarantined
    _log_change(before, found, out)
    latest = sorted(found, key=lambda request: -found[request].last_crash_at)[
        :MAX_QUARANTINED
    ]
    known.quarantined = {request: found[request] for request in sorted(latest)}
    known.digest = _digest(known.quarantined)
    own = _own_requests(state)
    for request, word in known.quarantined.items():
        worse = request not in before or before[request].crash_count < word.crash_count
        if worse and request in own:
            save(state, request, out)
    for request in known.trials.keys() - known.quarantined.keys():
        del known.trials[request]


def _log_change(
    before: dict[int, states.QuarantineEntry],
    found: dict[int, states.QuarantineEntry],
    out: states.Effects,
) -> None:
    """Write which requests are kept out from now on, and which no more."""
    for request in found.keys() - before.keys():
        text = (
            f"Request {ids.fingerprint_text(request)} is kept out:"
            f" {found[request].crash_count} backend servers ended while they ran it."
        )
        operator_log.warn(out, PART, text)
    for request in before.keys() - found.keys():
        text = f"Request {ids.fingerprint_text(request)} is kept out no more."
        operator_log.info(out, PART, text)


def _own_requests(state: states.State) -> set[int]:
    """Return what was under way when backend servers ended beside this node.

    Each home that saw one of the ends puts the record: which one hears of the third
    end first, and whether it lives on, is chance.
    """
    ends = state.quarantine.crashes.values()
    own = [end.requests for end in ends if end.crash.node == state.node]
    return {request for requests in own for request in requests}


def merge_entries(
    one: states.QuarantineEntry | None, other: states.QuarantineEntry
) -> states.QuarantineEntry:
    """Return what two words on a request come to."""
    if one is None:
        return other
    return states.QuarantineEntry(
        crash_count=max(one.crash_count, other.crash_count),
        last_crash_at=max(one.last_crash_at, other.last_crash_at),
    )


def enqueue_update(state: states.State, request: int) -> None:
    """Let what is held of a request ride on the next messages."""
    times = member_table.transmission_count(state)
    state.quarantine.updates_to_gossip.put(ids.fingerprint_text(request), times)


def save(state: states.State, request: int, out: states.Effects) -> None:
    """Put what is held of a request on the log: the one place that outlives a loss of
    power of all nodes at once."""
    known = state.quarantine
    word = known.quarantined.get(request)
    number = state.next_number()
    known.pending_saves[number] = request
    record = messages.encode_record(
        messages.QuarantineRecord(
            request=request,
            ends=0 if word is None else word.crash_count,
            at=state.now if word is None else word.last_crash_at,
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


def id_of(end: messages.BackendCrash) -> str:
    """Return what one part of an end is known by."""
    return f"{end.node}/{end.incarnation}/{end.number}/{end.part}"


def _digest(requests: collections.abc.Iterable[int]) -> int:
    folded = 0
    for request in requests:
        folded ^= request ^ request >> 32
    return folded & 0xFFFFFFFF


def trim(table: dict[int, typing.Any], most: int) -> None:
    """Drop the oldest entries of a table that has filled up."""
    while len(table) > most:
        del table[next(iter(table))]
