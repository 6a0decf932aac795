"""The crashes and quarantine entries that a node knows.

Invariants: the quarantined requests are derived from ``crashes``, ``reported`` and
``cleared_at`` alone, so nodes with the same data quarantine the same requests; a
request is not quarantined for crashes from before it was cleared.
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
"""Bounds on memory, about 40 kB in all; the oldest entries are dropped first."""

CRASH_TRANSMISSION_DIVISOR = 2
"""A crash is transmitted less often than a membership update by this factor. It is
several times as long, and the digest detects nodes that missed its consequences."""

PART = "quarantine"


def add_crash(state: states.State, crash: messages.BackendCrash) -> None:
    """Add one part of a crash report, and enqueue it for gossip."""
    quarantine = state.quarantine
    id_ = id_of(crash)
    quarantine.crashes[id_] = states.KnownCrash(
        crash=crash, crashed_at=state.now - crash.age_ms
    )
    if len(quarantine.crashes) > MAX_CRASHES:
        oldest = min(
            quarantine.crashes, key=lambda other: quarantine.crashes[other].crashed_at
        )
        del quarantine.crashes[oldest]
        quarantine.crashes_to_gossip.drop(oldest)
    transmissions = member_table.transmission_count(state) // CRASH_TRANSMISSION_DIVISOR
    quarantine.crashes_to_gossip.put(id_, max(1, transmissions))


def clear(
    state: states.State, request: int, at: ids.Milliseconds, out: states.Effects
) -> None:
    """Clear a request of earlier crashes, and enqueue that for gossip.

    :param at: when it completed, or an operator cleared it.
    """
    quarantine = state.quarantine
    quarantine.cleared_at.pop(request, None)
    quarantine.cleared_at[request] = at
    trim(quarantine.cleared_at, MAX_QUARANTINED)
    entry = quarantine.reported.get(request)
    if entry is not None and entry.last_crash_at <= at:
        del quarantine.reported[request]
    enqueue_update(state, request)
    update_quarantined(state, out)


def update_quarantined(state: states.State, out: states.Effects) -> None:
    """Derive the quarantined requests from the known crashes and reports."""
    quarantine = state.quarantine
    shared = crash_attribution.shared_crashes(quarantine)
    entries = crash_attribution.attribute_crashes(shared)
    for request, entry in quarantine.reported.items():
        explained = (
            request not in entries
            and crash_attribution.crash_count(shared, request) >= entry.crash_count
        )
        if not explained:
            entries[request] = merge_entries(entries.get(request), entry)
    counts = collections.Counter(
        fingerprint for crash in shared.values() for fingerprint in crash.requests
    )
    quarantine.suspects = {request for request, count in counts.items() if count > 1}
    previous = quarantine.quarantined
    _log_change(previous, entries, out)
    latest = sorted(entries, key=lambda request: -entries[request].last_crash_at)[
        :MAX_QUARANTINED
    ]
    quarantine.quarantined = {request: entries[request] for request in sorted(latest)}
    quarantine.digest = _digest(quarantine.quarantined)
    local = _requests_of_local_crashes(state)
    for request, entry in quarantine.quarantined.items():
        worse = (
            request not in previous or previous[request].crash_count < entry.crash_count
        )
        if worse and request in local:
            save(state, request, out)
    for request in quarantine.trials.keys() - quarantine.quarantined.keys():
        del quarantine.trials[request]


def _log_change(
    previous: dict[int, states.QuarantineEntry],
    current: dict[int, states.QuarantineEntry],
    out: states.Effects,
) -> None:
    """Log which requests were quarantined or released."""
    for request in current.keys() - previous.keys():
        text = (
            f"Request {ids.fingerprint_text(request)} is quarantined:"
            f" {current[request].crash_count} backend servers crashed while running it."
        )
        operator_log.warn(out, PART, text)
    for request in previous.keys() - current.keys():
        text = f"Request {ids.fingerprint_text(request)} is no longer quarantined."
        operator_log.info(out, PART, text)


def _requests_of_local_crashes(state: states.State) -> set[int]:
    """Return the requests that were in progress in crashes at this node.

    Each home node with such a crash writes the record, since any one of them may fail
    before it learns of the third crash.
    """
    crashes = state.quarantine.crashes.values()
    local = [crash.requests for crash in crashes if crash.crash.node == state.node]
    return {request for requests in local for request in requests}


def merge_entries(
    one: states.QuarantineEntry | None, other: states.QuarantineEntry
) -> states.QuarantineEntry:
    """Return the maximum of two entries of a request."""
    if one is None:
        return other
    return states.QuarantineEntry(
        crash_count=max(one.crash_count, other.crash_count),
        last_crash_at=max(one.last_crash_at, other.last_crash_at),
    )


def enqueue_update(state: states.State, request: int) -> None:
    """Enqueue the entry of a request for gossip."""
    transmissions = member_table.transmission_count(state)
    state.quarantine.updates_to_gossip.put(ids.fingerprint_text(request), transmissions)


def save(state: states.State, request: int, out: states.Effects) -> None:
    """Write the entry of a request to the log, or delete it there.

    The log keeps it over a simultaneous restart of all nodes.
    """
    quarantine = state.quarantine
    entry = quarantine.quarantined.get(request)
    number = state.next_number()
    quarantine.pending_saves[number] = request
    record = messages.encode_record(
        messages.QuarantineRecord(
            request=request,
            ends=0 if entry is None else entry.crash_count,
            at=state.now if entry is None else entry.last_crash_at,
        )
    )
    if state.keyed_log:
        key = f"{PART}/{ids.fingerprint_text(request)}"
        content = b"" if entry is None else record
        out.append(
            effects.PutRecord(
                put=number, stream=streams.MEMBERS, key=key, record=content
            )
        )
        return
    out.append(effects.Append(append=number, stream=streams.MEMBERS, record=record))


def id_of(crash: messages.BackendCrash) -> str:
    """Return the id of one part of a crash report."""
    return f"{crash.node}/{crash.incarnation}/{crash.number}/{crash.part}"


def _digest(requests: collections.abc.Iterable[int]) -> int:
    digest = 0
    for request in requests:
        digest ^= request ^ request >> 32
    return digest & 0xFFFFFFFF


def trim(table: dict[int, typing.Any], max_size: int) -> None:
    """Drop the oldest entries of a table that exceeds its maximum size."""
    while len(table) > max_size:
        del table[next(iter(table))]
