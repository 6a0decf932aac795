"""How a node notices that the log came back from an older copy of itself.

Such a log lacks records that it had acknowledged and gives their offsets out again, so
nothing that rests on an offset holds any more. The log counts these returns: each
answer tells its era. Members pass the highest one on, so that a node whose read is held
open need not wait for it to end.

Offsets alone tell only of a log that is shorter than a reader's offset. One that has
become as long again, by other records, is known by its era alone.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import (
    claims,
    freshness,
    joining,
    membership,
    outbox,
    quarantine,
    revisions,
    state as states,
    streams,
)

LOWER_ANSWERS = 3
"""An answer of an earlier era was under way for long, and the question is put again.
After so many in a row the log's own count must have gone back."""


def accept(state: states.State, era: ids.LogEra, out: states.Effects) -> bool:
    """Take in the era of an answer to the latest read of a stream.

    :return: whether the answer tells what the log holds now.
    """
    known = state.log
    if not era:
        known.is_unmarked = known.is_unmarked or not known.era
        return True
    if era >= known.era:
        known.lower = 0
        _rise(state, era, "the log", out)
        return True
    known.lower += 1
    if known.lower >= LOWER_ANSWERS:
        text = f"The log tells era {era} after {known.era}; its count went back."
        outbox.warn(out, "log", text)
        known.lower = 0
        known.era = era
        _restart(state, out)
    return False


def hear(
    state: states.State, era: ids.LogEra, source: str, out: states.Effects
) -> None:
    """Take in an era that a member or the answer to a write told, at whatever time it
    was sent.

    :param source: who told it, for the log lines.
    """
    if era > state.log.highest:
        _rise(state, era, source, out)


def is_outlived(state: states.State, era: ids.LogEra) -> bool:
    """Tell whether a log of this era may have lost since what it acknowledged."""
    return 0 < era < state.log.era


def on_shorter(
    state: states.State, stream: states.Stream, first: int, out: states.Effects
) -> None:
    """Take in that a stream ends before what was read of it, though no era told so.

    :param first: the first offset that the log holds.
    """
    text = (
        f"Stream {stream.name} ends before offset {stream.offset}, and begins at"
        f" {first}: the log came back from an older copy."
    )
    outbox.warn(out, "log", text)
    _restart(state, out)


def _rise(
    state: states.State, era: ids.LogEra, source: str, out: states.Effects
) -> None:
    known = state.log
    before = known.era
    known.era = era
    known.highest = max(known.highest, era)
    if era == before:
        return
    if not before and not known.is_unmarked:
        # Nothing was read in another era. What is under way from one is found late.
        streams.begin(state)
        return
    text = f"The log came back from an older copy: era {era} after {before}"
    outbox.warn(out, "log", f"{text}, as {source} tells.")
    _restart(state, out)


def _restart(state: states.State, out: states.Effects) -> None:
    """Read every stream anew, write again what may be lost, and pass the era on at
    once."""
    state.log.restores += 1
    for stream in state.streams.values():
        streams.restart(state, stream)
    claims.on_log_restored(state, out)
    freshness.on_log_restored(state)
    joining.write_again(state)
    quarantine.write_again(state)
    revisions.on_log_restored(state)
    membership.push(state, out)
