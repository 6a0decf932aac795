"""Recording of the events of a node, and their replay to the same effects."""

import collections.abc
import hashlib
import typing

import msgspec

from gingerturn import errors
from gingerturn.internal import decoding
from gingerturn.internal.core import effects, events, reducer

_ENCODER = msgspec.msgpack.Encoder()
_decode = decoding.msgpack_decoder(typing.cast(type[events.AnyEvent], events.AnyEvent))

MAX_EVENT = 1 << 28
"""Limit of the bytes of an event that are read. A longer one is not of a node: what it
receives in one piece has lower limits."""


class Recorder:
    """Writes each event to a file as it is applied, and digests its effects.

    :param target: a binary file that the caller opened and closes.
    """

    def __init__(self, target: typing.BinaryIO) -> None:
        self._target = target
        self._running = _new_digest()
        self.events = 0

    @property
    def digest(self) -> str:
        """Digest of all effects so far; equal to :func:`digest` of a replay."""
        return self._running.hexdigest()

    def record(self, event: events.Event) -> None:
        """Write one event, prefixed with its length in 4 bytes."""
        content = _ENCODER.encode(event)
        self._target.write(len(content).to_bytes(4, "big") + content)
        self.events += 1

    def record_effects(self, out: list[effects.Effect]) -> None:
        """Add the effects of the latest event to the digest."""
        self._running.update(encode_effects(out))


def read(source: typing.BinaryIO) -> collections.abc.Iterator[events.AnyEvent]:
    """Yield the events of a recorded trace.

    A truncated last event, left by a process that was killed while writing, ends the
    trace.

    :raises InvalidArgument: if an event is not one of this version.
    """
    while len(length := source.read(4)) == 4:
        size = int.from_bytes(length, "big")
        content = source.read(min(size, MAX_EVENT))
        if len(content) < min(size, MAX_EVENT):
            return
        try:
            if size > MAX_EVENT:
                raise errors.DecodeError(f"it has {size} bytes")
            yield _decode(content)
        except errors.DecodeError as error:
            raise errors.InvalidArgument(
                f"the trace holds no event of this version: {error}",
                step="read a trace",
            ) from None


def replay(
    recorded: collections.abc.Iterable[events.Event],
) -> collections.abc.Iterator[tuple[events.Event, list[effects.Effect]]]:
    """Yield each event with its effects.

    :raises InvalidArgument: if the trace does not begin with the start of a node.
    """
    state = None
    for event in recorded:
        if state is None:
            if not isinstance(event, events.Started):
                raise errors.InvalidArgument(
                    "the trace does not begin with the start of a node",
                    step="replay a trace",
                )
            state = reducer.new_state(event)
        yield event, reducer.reduce(state, event)


def digest(
    replayed: collections.abc.Iterable[tuple[events.Event, list[effects.Effect]]],
) -> str:
    """Return the digest of all effects; equal exactly for equal effects."""
    running = _new_digest()
    for _, out in replayed:
        running.update(encode_effects(out))
    return running.hexdigest()


def _new_digest() -> "hashlib.blake2b":
    return hashlib.blake2b(digest_size=16)


def encode_effects(out: list[effects.Effect]) -> bytes:
    """Return effects as MessagePack."""
    return _ENCODER.encode(out)
