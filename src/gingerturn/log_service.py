"""Interface of the platform's log service.

:class:`.internal.shell.log_client.LogClient` implements it for gingerturn's own
protocol; a deployment on another platform passes another implementation. Methods raise
:class:`.errors.LogServiceError` if a request fails and do not retry: the node does.

Responses carry the epoch of the log, which increases when the log is restored from a
backup and so may have lost acknowledged records. Offsets of different epochs are not
comparable. A service that never loses records has epoch 0.
"""

import typing

import msgspec

READ_TIMEOUT_MS = 1_000.0
"""Timeout of a read beyond the time for which it waits for new records. A short timeout
detects lost responses early."""


class Wait(msgspec.Struct, frozen=True):
    """How long a read waits for new records and for its answer.

    :param is_long_poll: whether to wait for new records at all.
    :param long_poll_ms: for how long; 0 leaves that to the settings.
    :param timeout_ms: time-out of the answer beyond that.
    """

    is_long_poll: bool = True
    long_poll_ms: int = 0
    timeout_ms: float = READ_TIMEOUT_MS

    def hold_ms(self, default_ms: int) -> int:
        """Return the duration of the long poll; 0 for an immediate answer.

        :param default_ms: the duration in the settings.
        """
        return (self.long_poll_ms or default_ms) if self.is_long_poll else 0


LONG_POLL = Wait()
NO_LONG_POLL = Wait(is_long_poll=False)


NO_OFFSET = -1
MAX_KEY_SHOWN = 64
"""Bytes of the key of an entry that is not used."""

MAX_EXAMPLES = 10
"""Entries of one read that are not used and of which more than the number is kept."""


class Skipped(msgspec.Struct, frozen=True, array_like=True):
    """An entry that a node does not use.

    :param key: the beginning of its key; empty if it has none, or none is known.
    :param offset: :data:`NO_OFFSET` if it is not known.
    """

    key: bytes
    offset: int
    problem: str


class SkippedEntries(msgspec.Struct, frozen=True, array_like=True):
    """The entries of a read that a node does not use.

    :param examples: the first :data:`MAX_EXAMPLES` of them.
    """

    count: int = 0
    examples: tuple[Skipped, ...] = ()

    def and_entry(self, key: bytes, offset: int, problem: str) -> "SkippedEntries":
        """Return these entries and one more."""
        examples = self.examples
        if len(examples) < MAX_EXAMPLES:
            examples += (Skipped(key[:MAX_KEY_SHOWN], offset, problem),)
        return SkippedEntries(self.count + 1, examples)


NOTHING_SKIPPED = SkippedEntries()


class Records(msgspec.Struct, frozen=True):
    """The result of a read.

    :param first: offset of the first record.
    :param oldest: oldest offset that the service retains.
    :param end: offset after the newest record.
    :param contents: records from ``first`` on; a record that the node does not use is
        empty, so that offsets match.
    :param held_ms: requested duration of the long poll.
    :param missing: the requested offset is no longer retained, and ``first`` and
        ``end`` are the first one that is.
    :param epoch: epoch of the log.
    :param skipped: entries that could not be used.
    """

    first: int
    oldest: int
    end: int
    contents: tuple[bytes, ...]
    held_ms: float = 0.0
    missing: bool = False
    epoch: int = 0
    skipped: SkippedEntries = NOTHING_SKIPPED


def missing(first: int, *, epoch: int) -> Records:
    """Return the result of a read whose offset is no longer retained.

    :param first: the first offset that is retained.
    """
    return Records(first, first, first, (), missing=True, epoch=epoch)


class Newest(msgspec.Struct, frozen=True):
    """The result of a base read: the newest record of each key of a stream.

    :param end: offset from which to continue reading.
    :param epoch: epoch of the log.
    :param skipped: entries that could not be used.
    :param complete: whether it includes each key; not if reading ended early.
    """

    contents: tuple[bytes, ...]
    end: int
    epoch: int = 0
    skipped: SkippedEntries = NOTHING_SKIPPED
    complete: bool = True


class Appended(msgspec.Struct, frozen=True):
    """The acknowledgement of a record.

    :param epoch: epoch of the log.
    """

    offset: int
    epoch: int = 0


class Entry(msgspec.Struct, frozen=True):
    """One entry of a keyed stream.

    :param problem: why it cannot be decoded; empty if it can.
    :param offset: :data:`NO_OFFSET` if it is not known.
    """

    key: bytes
    value: bytes = b""
    problem: str = ""
    offset: int = NO_OFFSET


class LogService(typing.Protocol):
    """An append-only log of streams with offsets, some of which are keyed."""

    async def read(self, stream: str, offset: int, wait: Wait = LONG_POLL) -> Records:
        """Read from an offset.

        :param wait: how long to wait for new records and for the answer.
        """

    async def append(self, stream: str, record: bytes) -> Appended:
        """Append a record."""

    async def newest(self, stream: str) -> Newest:
        """Read the newest record of each key."""

    async def put(self, stream: str, key: str, record: bytes) -> Appended:
        """Append a record under a key; an empty record deletes the key."""

    async def close(self) -> None:
        """Close the connections."""
