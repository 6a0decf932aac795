"""Verification that the active route table is current.

Revoked keys must stop working within a configured time, also at a partitioned node. A
node therefore accepts keys only while it has recent evidence that its table was the
newest: a read that reached the end of the log, or the verified age that a member
reported in an answer.

Evidence is dated by the time of the request, since an answer may be delayed for any
time in a socket, a paused process or a suspended machine. Unsolicited messages are no
evidence.

A log restored from a backup may lack the latest tables. It is no evidence for keys
until it has contained a version as late as any that this node or a member knows. It
does show that there is no later one to activate, so the two ages are kept apart.

:mod:`.freshness_renewal` renews the evidence.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import messages, state as states

MARGIN_MS = 1_000.0
"""A node refuses keys this long before the configured time. This covers the time that
accepted requests spend in queues, and clock drift."""


def allowed_ms(state: states.State) -> ids.Milliseconds:
    """Return the maximum age of the evidence; 0 without a configured bound."""
    return max(0.0, state.freshness.revoke_ms - MARGIN_MS)


def is_bounded(state: states.State) -> bool:
    """Whether revoked keys must stop working within a configured time."""
    index = state.routes
    return state.freshness.revoke_ms > 0 and (index is None or index.needs_keys)


def age(state: states.State) -> ids.Milliseconds:
    """Return how long ago the active table was last verified to be the newest."""
    return state.now - state.freshness.verified_at


def read_age(state: states.State) -> ids.Milliseconds:
    """Return how long ago the log was known to have no later table."""
    return state.now - state.freshness.read_at


def is_stale(state: states.State) -> bool:
    """Whether the evidence is older than allowed, so that keys must be refused."""
    return is_bounded(state) and age(state) > allowed_ms(state)


def on_read(
    state: states.State,
    requested_at: ids.Milliseconds,
    *,
    held_open_ms: ids.Milliseconds = 0.0,
) -> None:
    """Record a read that reached the end of the log.

    It is no evidence for keys while the log lacks the latest known table.

    :param requested_at: when the read began.
    :param held_open_ms: the minimum time that the log held it open without new records.
    """
    _mark_read(state, requested_at + held_open_ms)
    retry_reads(state)
    active_version = 0 if state.routes is None else state.routes.version
    if state.freshness.highest_log_version >= max(
        active_version, state.highest_routes_version
    ):
        _mark_verified(state, requested_at + held_open_ms)


def retry_reads(state: states.State) -> None:
    """End the pause after reads that gave no evidence."""
    state.freshness.failed_reads = 0
    state.freshness.next_read_at = min(state.freshness.next_read_at, state.now)


def on_table(state: states.State, version: int) -> None:
    """Record that the log contains a version of the table."""
    freshness = state.freshness
    freshness.highest_log_version = max(freshness.highest_log_version, version)


def on_log_restored(state: states.State) -> None:
    """Record that the log may have lost tables."""
    state.freshness.highest_log_version = 0


def on_peer_age(
    state: states.State, requested_at: ids.Milliseconds, message: messages.Gossip
) -> None:
    """Record the version and the ages in a member's answer.

    :param requested_at: when the answered request was sent.
    """
    active_version = 0 if state.routes is None else state.routes.version
    if message.route_version > active_version:
        return
    if message.read_age_ms >= 0:
        _mark_read(state, requested_at - message.read_age_ms)
    if message.verified_age_ms >= 0:
        _mark_verified(state, requested_at - message.verified_age_ms)


def advertised_age_ms(state: states.State) -> ids.Milliseconds:
    """Return the verified age to report to other nodes; -1 without evidence."""
    if state.routes is None or not state.freshness.verified_at:
        return -1.0
    return max(0.0, age(state))


def advertised_read_age_ms(state: states.State) -> ids.Milliseconds:
    """Return the age of the latest knowledge of the log to report to other nodes; -1
    without any."""
    if state.routes is None or not state.freshness.read_at:
        return -1.0
    return max(0.0, read_age(state))


def _mark_read(state: states.State, read_at: ids.Milliseconds) -> None:
    state.freshness.read_at = max(state.freshness.read_at, min(read_at, state.now))


def _mark_verified(state: states.State, verified_at: ids.Milliseconds) -> None:
    _mark_read(state, verified_at)
    state.freshness.verified_at = max(
        state.freshness.verified_at, min(verified_at, state.now)
    )
