"""Keys of unrepeatable calls: the table behind "at most once".

Whoever's claim comes first in the log's order may run the call; nobody else
ever does. A lease could not promise this, since its holder may pause and wake
after the lease has passed to another.
"""

import hashlib
import uuid

from gingerturn.internal import ids
from gingerturn.internal.core import messages, state as states

KEY_WINDOW_MS = 900_000.0
"""A key counts for 15 minutes from the time in it. Longer than any deadline (10
minutes); at 30 claims a second of one service 27,000 keys, about 10 MB. The
stream of claims has to be retained for at least twice as long."""

CLOCK_SKEW_MS = 60_000.0
CLAIM_WAIT_MS = 2_000.0
"""A claim not confirmed within 2 s means that the log is down or slow; the call
gives its slot back instead of holding it until its deadline."""

STALE_STREAM_MS = 5_000.0
"""Without a successful read for 5 s no claim could be confirmed: refuse at once."""

MAX_KEPT = 512
"""Answers kept for repeats; of at most 64 kB each by the shell's bound."""


def stream_name(service: ids.ServiceName) -> str:
    """Return the stream that holds a service's claims."""
    return f"claims.{service}"


def key_in_window(key: str, now: ids.Milliseconds) -> bool:
    """Tell whether a caller's key is a UUIDv7 whose time the log still covers."""
    minted = issued_at(key)
    if minted is None:
        return False
    return now - KEY_WINDOW_MS <= minted <= now + CLOCK_SKEW_MS


def issued_at(key: str) -> ids.Milliseconds | None:
    """Return the time in a UUIDv7 (RFC 9562), or ``None`` for other text."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return float(parsed.int >> 80)


def preferred_node(key: str, nodes: list[ids.NodeId]) -> ids.NodeId:
    """Return the node at which sendings of a key meet (rendezvous hashing)."""

    def weight(node: ids.NodeId) -> bytes:
        return hashlib.blake2b(f"{key} {node}".encode(), digest_size=8).digest()

    return max(nodes, key=weight)


def own_name(state: states.State) -> str:
    """Return the name under which this incarnation claims."""
    return f"{state.node}/{state.incarnation}"


def claims_usable(state: states.State) -> bool:
    """Tell whether a claim could be confirmed on the log at present."""
    stream = state.streams.get(stream_name(state.backend.service))
    if stream is None or not stream.caught_up:
        return False
    return state.now - stream.current_as_of <= STALE_STREAM_MS


def covered(state: states.State, hosted: states.Hosted) -> bool:
    """Tell whether this node has read every claim that could be of this key."""
    stream = state.streams.get(stream_name(state.backend.service))
    if hosted.metadata.key_derived:
        # It tells no time, but is not used for longer than its whole request lasts.
        since = 0.0 if stream is None else stream.covered_from
        return not since or state.now - _longest_request_ms(state) >= since
    minted = issued_at(hosted.metadata.key)
    if stream is None or minted is None:
        return False
    return minted >= stream.covered_from


def _longest_request_ms(state: states.State) -> ids.Milliseconds:
    rules = state.configuration.kinds()
    return max((float(rule.timeout_ms) for rule in rules), default=0.0)


def attach(state: states.State, hosted: states.Hosted) -> states.KeyEntry:
    """Make a call the one that will run its key, and claim it on the log.

    An entry that an earlier call left behind keeps its claim's id, so that its
    record may stand on the log twice without harm.
    """
    key = hosted.metadata.key
    entry = state.keys.get(key)
    if entry is None:
        claim = f"{state.random.getrandbits(96):024x}"
        entry = states.KeyEntry(
            key=key,
            phase=states.KeyPhase.CLAIMING,
            since=state.now,
            claim=claim,
            waiters=[],
        )
        state.keys[key] = entry
    entry.hosted = hosted.id
    entry.since = state.now
    if entry.phase is states.KeyPhase.CLAIMING:
        record = messages.ClaimRecord(key=key, claim=entry.claim, node=own_name(state))
        state.claim_batch.append(record)
    return entry


def own(state: states.State, key: str) -> states.KeyEntry:
    """Remember a ticket of this node; it needs no claim, as no one else may run it."""
    entry = states.KeyEntry(
        key=key, phase=states.KeyPhase.OURS_IDLE, since=state.now, waiters=[]
    )
    state.keys[key] = entry
    return entry


def detach(state: states.State, hosted: states.Hosted) -> None:
    """Part a call from its key before it ran; the claim may still be won."""
    entry = state.keys.get(hosted.metadata.key)
    if entry is not None and entry.hosted == hosted.id:
        entry.hosted = None


def mark_running(entry: states.KeyEntry) -> None:
    """Enter the phase in which alone a call of the key is handed over."""
    if entry.phase not in {states.KeyPhase.CLAIMING, states.KeyPhase.OURS_IDLE}:
        raise AssertionError(f"key {entry.key} may not run from {entry.phase}")
    entry.phase = states.KeyPhase.OURS_RUNNING


def mark_not_dispatched(entry: states.KeyEntry) -> None:
    """Go back to a won claim: not one byte reached the backend server."""
    entry.phase = states.KeyPhase.OURS_IDLE
    entry.hosted = None


def mark_done(entry: states.KeyEntry, *, kept: bool, certain: bool) -> None:
    """Enter the last phase."""
    entry.phase = states.KeyPhase.OURS_DONE
    entry.hosted = None
    entry.answer_stored = kept
    entry.outcome_known = certain


def prune(state: states.State, now: ids.Milliseconds) -> list[str]:
    """Drop keys outside the window.

    :return: keys whose kept answers are to be dropped.
    """
    horizon = now - KEY_WINDOW_MS - CLOCK_SKEW_MS
    old = [
        entry.key
        for entry in state.keys.values()
        if entry.since < horizon and entry.hosted is None
    ]
    dropped = [key for key in old if state.keys[key].answer_stored]
    for key in old:
        del state.keys[key]
    kept = [entry for entry in state.keys.values() if entry.answer_stored]
    for entry in kept[: max(0, len(kept) - MAX_KEPT)]:
        entry.answer_stored = False
        dropped.append(entry.key)
    return dropped
