"""Detection of a log that was restored from a backup.

A restored log lacks records that it had acknowledged and assigns their offsets again,
so known offsets are no longer valid. The log counts its restorations in an epoch that
each answer carries. Members gossip the highest one, so that a node with a pending long
poll need not wait for its end.

Offsets reveal a restoration only while the log is shorter than the offset of a reader.
After that only the epoch does.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import (
    claims,
    freshness,
    joining,
    membership,
    operator_log,
    quarantine,
    revisions,
    state as states,
    streams,
)

MAX_LOWER_EPOCH_ANSWERS = 3
"""A single answer of a lower epoch is taken for a delayed one, and the read repeated.
After so many in a row the epoch of the log itself is taken to have gone back."""


def accept(state: states.State, epoch: ids.LogEpoch, out: states.Effects) -> bool:
    """Check the epoch of the answer to the latest read of a stream.

    :return: whether the answer is of the present epoch.
    """
    log = state.log
    if not epoch:
        log.read_without_epoch = log.read_without_epoch or not log.epoch
        return True
    if epoch >= log.epoch:
        log.lower_epoch_answers = 0
        _adopt(state, epoch, "the log", out)
        return True
    log.lower_epoch_answers += 1
    text = f"Discarded an answer of epoch {epoch}; the log is at epoch {log.epoch}."
    operator_log.info(out, "log", text)
    if log.lower_epoch_answers >= MAX_LOWER_EPOCH_ANSWERS:
        text = f"The log reports epoch {epoch} after {log.epoch}; its count went back."
        operator_log.warn(out, "log", text)
        log.lower_epoch_answers = 0
        log.epoch = epoch
        _restart(state, out)
    return False


def on_reported_epoch(
    state: states.State, epoch: ids.LogEpoch, source: str, out: states.Effects
) -> None:
    """Handle an epoch reported by a member or by an answer that may be late.

    :param source: origin of the epoch, for the log lines.
    """
    if epoch > state.log.highest:
        _adopt(state, epoch, source, out)


def is_earlier(state: states.State, epoch: ids.LogEpoch) -> bool:
    """Whether the log may have lost what it acknowledged in an epoch."""
    return 0 < epoch < state.log.epoch


def on_stream_shortened(
    state: states.State, stream: states.Stream, first: int, out: states.Effects
) -> None:
    """Handle a stream that ends before the offset of its reader in the same epoch.

    :param first: the first offset that the log holds.
    """
    text = (
        f"Stream {stream.name} ends before offset {stream.offset}, and begins at"
        f" {first}: the log was restored from a backup."
    )
    operator_log.warn(out, "log", text)
    _restart(state, out)


def _adopt(
    state: states.State, epoch: ids.LogEpoch, source: str, out: states.Effects
) -> None:
    log = state.log
    previous = log.epoch
    log.epoch = epoch
    log.highest = max(log.highest, epoch)
    if epoch == previous:
        return
    if not previous and not log.read_without_epoch:
        # Nothing was read in another epoch; pending answers of one are discarded.
        streams.reset_coverage(state)
        return
    text = f"The log was restored from a backup: epoch {epoch} after {previous}"
    operator_log.warn(out, "log", f"{text}; source: {source}.")
    _restart(state, out)


def _restart(state: states.State, out: states.Effects) -> None:
    """Read all streams from their start, write records again that may be lost, and push
    the epoch to other members."""
    state.log.restores += 1
    for stream in state.streams.values():
        streams.restart(state, stream)
    claims.on_log_restored(state, out)
    freshness.on_log_restored(state)
    joining.rewrite_join_record(state)
    quarantine.rewrite_records(state)
    revisions.on_log_restored(state)
    membership.push(state, out)
