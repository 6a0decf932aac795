"""Readers of the streams of the log, with a bounded rate of reads."""

import math

from gingerturn import errors, log_service, routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    messages,
    operator_log,
    state as states,
)

READS_PER_SECOND = 100.0
"""Reads of the configuration and member streams by all nodes together. One node that
reads a change is enough, as it notifies the others by gossip, so the delay between
the reads of a node grows with the number of members."""

RETRY_FIRST_MS = 200.0
RETRY_MAX_MS = 10_000.0

KEYED_RETRY_MAX_MS = 1_000.0
"""Limit of the delay before a failed read of a keyed stream is repeated, so that its
records are current again soon after the log returns."""

MAX_PENDING_MS = 180_000.0
"""Time after which a read without any outcome counts as failed. It is longer than any
read takes with its long poll and its time-outs."""

CONFIG = "config"
MEMBERS = "members"
AUDIT = "audit"
ROUTES = "routes"

MAX_MEMBER_RECORD = 2_048
"""Bytes of a record of a member; longer ones are skipped."""

MAX_SKIPPED_LINES_PER_S = 10
"""Log lines about entries of one stream that are not used."""

_KINDS: dict[str, tuple[type, ...]] = {
    CONFIG: (messages.PublishRecord, messages.ConfigSnapshot),
    MEMBERS: (
        messages.JoinRecord,
        messages.LeaveRecord,
        messages.QuarantineRecord,
        messages.DepartureRecord,
    ),
    AUDIT: (messages.AuditRecord,),
    ROUTES: (routes.RouteTable,),
}
"""The records that nodes write to each stream."""


def decode_record(name: str, content: bytes) -> messages.LogRecord:
    """Return a record of a stream.

    :raises DecodeError: if it cannot be used.
    """
    if name == MEMBERS and len(content) > MAX_MEMBER_RECORD:
        raise errors.DecodeError(
            f"a record of {len(content)} bytes; allowed are {MAX_MEMBER_RECORD}"
        )
    record = messages.decode_record(content)
    kinds = _KINDS.get(name, (messages.ClaimBatch,))
    if isinstance(record, kinds):
        return record
    allowed = ", ".join(kind.__name__ for kind in kinds)
    raise errors.DecodeError(f"a {type(record).__name__}; allowed are {allowed}")


def record_skipped(
    state: states.State,
    name: str,
    skipped: log_service.SkippedEntries,
    out: states.Effects,
) -> None:
    """Count entries of a stream that are not used, and log the first of them."""
    if not skipped.count:
        return
    counted = state.skipped_entries.setdefault(name, states.SkippedCount())
    counted.total += skipped.count
    second = int(state.now / 1_000.0)
    if counted.second != second:
        counted.second = second
        counted.lines = 0
    for entry in skipped.examples:
        if counted.lines >= MAX_SKIPPED_LINES_PER_S:
            return
        counted.lines += 1
        operator_log.warn(out, "log", f"{_describe(name, entry)}.")


def _describe(name: str, entry: log_service.Skipped) -> str:
    key = f" {entry.key.decode(errors='replace')!r}" if entry.key else ""
    has_offset = entry.offset != log_service.NO_OFFSET
    place = f" at offset {entry.offset}" if has_offset else ""
    return f"Entry of {name}{key}{place} skipped: {entry.problem}"


def follow(
    state: states.State,
    name: str,
    out: states.Effects,
    *,
    keyed: bool = False,
    followed: bool = True,
) -> None:
    """Start reading a stream, from the oldest record that the log holds.

    :param keyed: start with a base read, of the newest record of each key, instead.
    :param followed: keep reading as records are appended.
    """
    if name in state.streams:
        return
    stream = states.Stream(name=name, keyed=keyed, followed=followed)
    state.streams[name] = stream
    reset_coverage(state)
    _read(state, stream, out)


def advance(
    state: states.State,
    stream: states.Stream,
    out: states.Effects,
    *,
    first: int,
    count: int,
    end: int,
    extra: bool = False,
) -> bool:
    """Move the offset of a stream behind the records of a read.

    :param extra: the read is not one of those that follow the stream.
    :return: whether records were missed since the last read.
    """
    _log_recovery(stream, out)
    gap = stream.caught_up and first > stream.offset
    if not extra:
        stream.read_pending = False
        stream.failures = 0
    stream.offset = max(stream.offset, first + count)
    stream.current_as_of = state.now
    if stream.offset >= end:
        stream.caught_up = True
    if gap:
        stream.covered_from = state.now
        # In a keyed stream a base read makes up for missed records.
        stream.base_read = False
    if not extra:
        stream.retry_at = state.now + _read_delay(state, stream)
    return gap


def on_base_read(
    state: states.State, stream: states.Stream, *, end: int, out: states.Effects
) -> None:
    """Handle a base read of a keyed stream."""
    _log_recovery(stream, out)
    stream.read_pending = False
    stream.failures = 0
    stream.incomplete = False
    stream.base_read = not stream.outdated
    stream.outdated = False
    stream.caught_up = True
    stream.offset = end
    stream.current_as_of = state.now
    if stream.followed:
        _read(state, stream, out)


def reset_coverage(state: states.State) -> None:
    """Mark streams that were not read to their end yet as covered from now on only, as
    a log that was restored from a backup may lack earlier records."""
    if not state.log.was_restored:
        return
    for stream in state.streams.values():
        if not stream.caught_up and not stream.covered_from:
            stream.covered_from = state.now


def restart(state: states.State, stream: states.Stream) -> None:
    """Read a stream from its start, as its known offsets are no longer valid."""
    stream.generation += 1
    stream.read_pending = False
    stream.outdated = False
    stream.caught_up = False
    stream.offset = 0
    stream.retry_at = state.now
    # A stream that is not followed is read again once it is.
    stream.base_read = stream.base_read and not stream.followed
    stream.covered_from = state.now


def skip_missing(state: states.State, stream: states.Stream, first: int) -> None:
    """Continue after records that the log dropped.

    :param first: the first offset that it holds.
    """
    if stream.keyed:
        # A base read makes up for missed records.
        stream.base_read = False
    elif stream.caught_up:
        stream.covered_from = state.now
    stream.offset = first
    stream.read_pending = False
    # Avoids a busy loop where the log repeatedly lacks the offsets that it names.
    delay = (
        0.0
        if stream.consecutive_missing == 1
        else _backoff(state, stream, stream.consecutive_missing)
    )
    stream.retry_at = state.now + delay


def record_missing(
    stream: states.Stream, event: events.LogRead, out: states.Effects
) -> None:
    """Count reads whose offset the log does not hold, and log the first in a row."""
    if not event.missing:
        stream.consecutive_missing = 0
        return
    stream.consecutive_missing += 1
    stream.missing_total += 1
    if stream.consecutive_missing == 1:
        text = (
            f"Stream {stream.name} has no offset {stream.offset};"
            f" the first one that the log holds is {event.first}."
        )
        operator_log.warn(out, "log", text)


def audit(
    state: states.State, record: messages.AuditRecord, out: states.Effects
) -> None:
    """Append a record to the audit trail."""
    out.append(
        effects.Append(
            append=state.next_number(),
            stream=AUDIT,
            record=messages.encode_record(record),
        )
    )


def _log_recovery(stream: states.Stream, out: states.Effects) -> None:
    if stream.failures:
        text = f"Stream {stream.name} can be read again, after {stream.failures} tries."
        operator_log.info(out, "log", text)


def reread(state: states.State, name: str, *, restart_pending: bool = False) -> None:
    """Repeat the base read of a keyed stream.

    :param restart_pending: also repeat it after a read that is pending now.
    """
    stream = state.streams.get(name)
    if stream is not None:
        stream.base_read = False
        stream.outdated |= restart_pending and stream.read_pending
        stream.retry_at = max(stream.retry_at, state.now)


def on_read_failed(
    state: states.State,
    stream: states.Stream,
    out: states.Effects,
    *,
    unapplied: bool = False,
    incomplete: bool = False,
) -> None:
    """Handle a failed read: back off with jitter, so that not all nodes read at once
    when the log returns.

    :param unapplied: it was answered, and the answer could not be applied.
    :param incomplete: it was a base read that ended early.
    """
    stream.incomplete = incomplete
    stream.read_pending = False
    if unapplied:
        _on_unapplied(state, stream)
    stream.outdated = False
    stream.failures += 1
    if stream.failures == 1:
        problem = "is read in part only" if incomplete else "cannot be read"
        operator_log.warn(out, "log", f"Stream {stream.name} {problem}.")
    tries = consecutive_failures(stream)
    stream.retry_at = state.now + _backoff(state, stream, tries)


def _on_unapplied(state: states.State, stream: states.Stream) -> None:
    """Count what an answer held as missed, in so far as it was not applied."""
    stream.consecutive_unapplied += 1
    # A read that the part which was applied has requested is not waited for.
    stream.generation += 1
    stream.covered_from = state.now
    # In a keyed stream a base read makes up for missed records.
    stream.base_read = False


def _backoff(
    state: states.State, stream: states.Stream, tries: int
) -> ids.Milliseconds:
    limit = KEYED_RETRY_MAX_MS if stream.keyed else RETRY_MAX_MS
    delay: float = min(limit, RETRY_FIRST_MS * 2 ** min(tries, 8))
    return delay * (0.5 + 0.5 * state.random.random())


def retry_due(state: states.State, out: states.Effects) -> None:
    """Read each stream whose next read is due."""
    for stream in state.streams.values():
        if _is_overdue(state, stream):
            text = f"Read of {stream.name} without an outcome; it is repeated."
            operator_log.warn(out, "log", text)
            # A late answer is not applied.
            stream.generation += 1
            on_read_failed(state, stream, out)
        if _awaits_next_read(stream) and state.now >= stream.retry_at:
            _read(state, stream, out)


def age_ms(state: states.State, stream: states.Stream) -> ids.Milliseconds:
    """Return the time since the last answer to a read; -1 if there was none."""
    if stream.current_as_of < 0.0:
        return -1.0
    return max(0.0, state.now - stream.current_as_of)


def consecutive_failures(stream: states.Stream) -> int:
    """Return how many reads have failed, or could not be applied, since the last good
    one."""
    return max(stream.failures, stream.consecutive_unapplied)


def _is_overdue(state: states.State, stream: states.Stream) -> bool:
    return stream.read_pending and state.now - stream.requested_at > MAX_PENDING_MS


def pending_ms(state: states.State, name: str) -> ids.Milliseconds:
    """Return for how long a read of a stream has been pending; 0 if none is."""
    stream = state.streams.get(name)
    if stream is None or not stream.read_pending:
        return 0.0
    return max(0.0, state.now - stream.requested_at)


def next_retry_at(state: states.State) -> ids.Milliseconds:
    """Return when the next read of a stream is due."""
    waiting = (s.retry_at for s in state.streams.values() if _awaits_next_read(s))
    return min(waiting, default=math.inf)


def _awaits_next_read(stream: states.Stream) -> bool:
    """Whether a stream is to be read again at its ``retry_at``."""
    done = stream.keyed and stream.base_read and not stream.followed
    return not stream.read_pending and not done


def _read(state: states.State, stream: states.Stream, out: states.Effects) -> None:
    stream.read_pending = True
    stream.requested_at = state.now
    if stream.keyed and not (stream.base_read and stream.caught_up):
        out.append(effects.ReadNewest(stream=stream.name, generation=stream.generation))
        return
    # No long poll before the end was reached once: claims are refused until then, and
    # an empty stream would hold the read open.
    out.append(
        effects.ReadLog(
            stream=stream.name,
            offset=stream.offset,
            # After a failure an immediate answer shows whether the log is available.
            wait=stream.caught_up and not stream.failures,
            long_poll_ms=stream.long_poll_ms,
            timeout_ms=stream.timeout_ms,
            generation=stream.generation,
        )
    )


def _read_delay(state: states.State, stream: states.Stream) -> ids.Milliseconds:
    if not stream.caught_up or stream.keyed or stream.name.startswith("claims."):
        return 0.0
    members = len(state.membership.members)
    return 1_000.0 * members / READS_PER_SECOND * state.random.random()
