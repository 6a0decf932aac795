"""How a node notices that the log was restored from a backup.

Such a log lacks records that it had acknowledged and gives their offsets out again, so
nothing that rests on an offset holds any more. The log counts how often that happened:
each answer tells its epoch. Members pass the highest one on, so that a node whose read
is held open need not wait for it to end.

Offsets alone tell only of a log that is shorter than a reader's offset. One that has
become as long again, by other records, is known by its epoch alone.
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
"""An answer of an earlier epoch was under way for long, and the question is put again.
After so many in a row the log's own count must have gone back."""


def accept(state: states.State, epoch: ids.LogEpoch, out: states.Effects) -> bool:
    """Take in the epoch of an answer to the latest read of a stream.

    :return: whether the answer tells what the log holds now.
    """
    known = state.log
    if not epoch:
        known.read_without_epoch = known.read_without_epoch or not known.epoch
        return True
    if epoch >= known.epoch:
        known.lower_epoch_answers = 0
        _adopt(state, epoch, "the log", out)
        return True
    known.lower_epoch_answers += 1
    text = f"An answer of epoch {epoch} is not used, the log was at {known.epoch}."
    operator_log.info(out, "log", text)
    if known.lower_epoch_answers >= MAX_LOWER_EPOCH_ANSWERS:
        text = f"The log tells epoch {epoch} after {known.epoch}; its count went back."
        operator_log.warn(out, "log", text)
        known.lower_epoch_answers = 0
        known.epoch = epoch
        _restart(state, out)
    return False


def on_reported_epoch(
    state: states.State, epoch: ids.LogEpoch, source: str, out: states.Effects
) -> None:
    """Take in an epoch that a member or the answer to a write told, at whatever time it
    was sent.

    :param source: who told it, for the log lines.
    """
    if epoch > state.log.highest:
        _adopt(state, epoch, source, out)


def is_earlier(state: states.State, epoch: ids.LogEpoch) -> bool:
    """Tell whether the log may have lost since what it acknowledged in an epoch."""
    return 0 < epoch < state.log.epoch


def on_stream_shortened(
    state: states.State, stream: states.Stream, first: int, out: states.Effects
) -> None:
    """Take in that a stream ends before what was read of it, though no epoch told so.

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
    known = state.log
    before = known.epoch
    known.epoch = epoch
    known.highest = max(known.highest, epoch)
    if epoch == before:
        return
    if not before and not known.read_without_epoch:
        # Nothing was read in another epoch. What is under way from one is found late.
        streams.reset_coverage(state)
        return
    text = f"The log was restored from a backup: epoch {epoch} after {before}"
    operator_log.warn(out, "log", f"{text}, as {source} tells.")
    _restart(state, out)


def _restart(state: states.State, out: states.Effects) -> None:
    """Read every stream anew, write again what may be lost, and pass the epoch on at
    once."""
    state.log.restores += 1
    for stream in state.streams.values():
        streams.restart(state, stream)
    claims.on_log_restored(state, out)
    freshness.on_log_restored(state)
    joining.rewrite_join_record(state)
    quarantine.rewrite_records(state)
    revisions.on_log_restored(state)
    membership.push(state, out)
