"""Idempotency keys of unrepeatable calls, which run at most once.

Only the node whose claim comes first on the log may run the call. Leases would not
guarantee this, since a paused holder may resume after its lease has expired.
"""

import hashlib
import uuid

from gingerturn.internal import ids
from gingerturn.internal.core import messages, state as states

KEY_WINDOW_MS = 900_000.0
"""A key is valid for this long after the time in it, which is longer than any deadline
(10 minutes). The stream of claims must be retained for at least twice as long."""

CLOCK_SKEW_MS = 60_000.0
CLAIM_WAIT_MS = 2_000.0
"""A call whose claim is not confirmed within this time releases its slot, as the log is
unavailable or slow."""

STALE_STREAM_MS = 5_000.0
"""Calls are refused at once if the last successful read is older than this."""

MAX_STORED_ANSWERS = 512
"""Stored answers; the shell bounds each to 64 kB."""

_STREAM_PREFIX = "claims."


def stream_name(service: ids.ServiceName) -> str:
    """Return the name of the stream of a service's claims."""
    return f"{_STREAM_PREFIX}{service}"


def is_stream(name: str) -> bool:
    """Whether a stream holds the claims of a service."""
    return name.startswith(_STREAM_PREFIX)


def key_in_window(key: str, now: ids.Milliseconds) -> bool:
    """Whether a key is a UUIDv7 whose time is within the key window."""
    issued = issued_at(key)
    if issued is None:
        return False
    return now - KEY_WINDOW_MS <= issued <= now + CLOCK_SKEW_MS


def issued_at(key: str) -> ids.Milliseconds | None:
    """Return the time in a UUIDv7 (RFC 9562), or ``None`` for any other text."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return float(parsed.int >> 80)


def preferred_node(key: str, nodes: list[ids.NodeId]) -> ids.NodeId:
    """Return the node to which all attempts of a key are sent (rendezvous hashing)."""

    def weight(node: ids.NodeId) -> bytes:
        return hashlib.blake2b(f"{key} {node}".encode(), digest_size=8).digest()

    return max(nodes, key=weight)


def own_name(state: states.State) -> str:
    """Return the name of this incarnation in claim records."""
    return f"{state.node}/{state.incarnation}"


def claims_usable(state: states.State) -> bool:
    """Whether the log can currently confirm a claim."""
    stream = state.streams.get(stream_name(state.backend.service))
    if stream is None or not stream.caught_up:
        return False
    return state.now - stream.current_as_of <= STALE_STREAM_MS


def covered(state: states.State, hosted: states.Hosted) -> bool:
    """Whether this node has read every claim that could be for this key."""
    stream = state.streams.get(stream_name(state.backend.service))
    if hosted.metadata.key_derived:
        # A derived key contains no time, but is used no longer than its root request.
        since = 0.0 if stream is None else stream.covered_from
        return not since or state.now - _longest_request_ms(state) >= since
    issued = issued_at(hosted.metadata.key)
    if stream is None or issued is None:
        return False
    return issued >= stream.covered_from


def _longest_request_ms(state: states.State) -> ids.Milliseconds:
    rules = state.configuration.kinds()
    return max((float(rule.timeout_ms) for rule in rules), default=0.0)


def attach(state: states.State, hosted: states.Hosted) -> states.KeyEntry:
    """Attach a call to its key, and claim the key on the log.

    The entry of an earlier call keeps its claim id, so that a duplicate record on the
    log has no effect.
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


def register_ticket(state: states.State, key: str) -> states.KeyEntry:
    """Add the key of a ticket of this node, which needs no claim."""
    entry = states.KeyEntry(
        key=key, phase=states.KeyPhase.OURS_IDLE, since=state.now, waiters=[]
    )
    state.keys[key] = entry
    return entry


def detach(state: states.State, hosted: states.Hosted) -> None:
    """Detach a call that did not run from its key; its claim may still be first."""
    entry = state.keys.get(hosted.metadata.key)
    if entry is not None and entry.hosted == hosted.id:
        entry.hosted = None


def mark_running(entry: states.KeyEntry) -> None:
    """Enter the only phase in which a call of the key is dispatched.

    :raises AssertionError: from a phase in which this node may not run the key.
    """
    if entry.phase not in {states.KeyPhase.CLAIMING, states.KeyPhase.OURS_IDLE}:
        raise AssertionError(
            f"key {entry.key} cannot start to run in phase {entry.phase}"
        )
    entry.phase = states.KeyPhase.OURS_RUNNING


def mark_not_dispatched(entry: states.KeyEntry) -> None:
    """Return to an owned, idle key: no byte reached the backend server."""
    entry.phase = states.KeyPhase.OURS_IDLE
    entry.hosted = None


def mark_done(
    entry: states.KeyEntry, *, answer_stored: bool, outcome_known: bool
) -> None:
    """Enter the final phase.

    :param answer_stored: the answer is kept for repeats of the key.
    :param outcome_known: the run ended with an answer.
    """
    entry.phase = states.KeyPhase.OURS_DONE
    entry.hosted = None
    entry.answer_stored = answer_stored
    entry.outcome_known = outcome_known


def prune(state: states.State, now: ids.Milliseconds) -> list[str]:
    """Drop keys outside the window.

    :return: keys whose stored answers are to be dropped.
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
    stored = [entry for entry in state.keys.values() if entry.answer_stored]
    for entry in stored[: max(0, len(stored) - MAX_STORED_ANSWERS)]:
        entry.answer_stored = False
        dropped.append(entry.key)
    return dropped
