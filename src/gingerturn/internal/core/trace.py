"""Recording of the events of a node, and their replay to the same effects."""

import collections.abc
import hashlib
import typing

import msgspec

from gingerturn import errors
from gingerturn.internal.core import effects, events, reducer

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[events.AnyEvent] = msgspec.msgpack.Decoder(
    events.AnyEvent
)


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
        content = source.read(int.from_bytes(length, "big"))
        if len(content) < int.from_bytes(length, "big"):
            return
        try:
            yield _DECODER.decode(content)
        except msgspec.MsgspecError as error:
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
