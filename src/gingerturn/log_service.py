"""What a node asks of the platform's log service.

:class:`.internal.shell.log_client.LogClient` speaks to a service of gingerturn's own
form; a deployment on another platform passes an object with these methods. Every
method raises :class:`.errors.LogServiceError` when the service does not do what was
asked, and decides nothing: when to try again is the node's concern.

Answers tell the epoch of the log: how often it was restored from a backup, which lacks
records that it had acknowledged. Offsets of different epochs cannot be compared. A
service that never loses records tells 0.
"""

import typing

import msgspec

READ_TIMEOUT_MS = 1_000.0
"""A read that is not answered within this time, and that for which it waits for news,
belongs to a log that is silent: the sooner one is begun again, the sooner a node knows
what the log says when it speaks."""


class Records(msgspec.Struct, frozen=True):
    """What a read found.

    :param first: offset of the first record.
    :param oldest: the oldest offset that the service still holds.
    :param end: the offset after the newest record.
    :param contents: records from ``first`` on; empty where a record is of no use to
        a node, so that offsets stay in step.
    :param held_ms: how long the service was asked to hold the read open for news.
    :param missing: the service does not hold the offset that was asked for, and
        ``first`` and ``end`` are the first one that it holds.
    :param epoch: of the log that answered.
    """

    first: int
    oldest: int
    end: int
    contents: tuple[bytes, ...]
    held_ms: float = 0.0
    missing: bool = False
    epoch: int = 0


def missing(first: int, *, epoch: int) -> Records:
    """Return what a read found whose offset the service does not hold.

    :param first: the first offset that it holds.
    """
    return Records(first, first, first, (), missing=True, epoch=epoch)


class Newest(msgspec.Struct, frozen=True):
    """The newest record of each key, and from where to read on.

    :param epoch: of the log that answered.
    """

    contents: tuple[bytes, ...]
    end: int
    epoch: int = 0


class Appended(msgspec.Struct, frozen=True):
    """The acknowledgement of a record.

    :param epoch: of the log that took it.
    """

    offset: int
    epoch: int = 0


class Entry(msgspec.Struct, frozen=True):
    """One entry of a keyed stream.

    :param problem: why it is of no use; empty where it can be read.
    """

    key: bytes
    value: bytes = b""
    problem: str = ""


class LogService(typing.Protocol):
    """An append-only log with streams, offsets and, on some, keys."""

    async def read(
        self, stream: str, offset: int, *, wait: bool = True, hold_ms: int = 0
    ) -> Records:
        """Read from an offset, waiting a while for new records if there are none.

        :param hold_ms: how long; 0 leaves it to the settings.
        """

    async def append(self, stream: str, record: bytes) -> Appended:
        """Append a record."""

    async def newest(self, stream: str) -> Newest:
        """Read the newest record of each key."""

    async def put(self, stream: str, key: str, record: bytes) -> Appended:
        """Append a record under a key; an empty one drops the key."""

    async def close(self) -> None:
        """Close the connections."""
