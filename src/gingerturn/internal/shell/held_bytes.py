"""One account of the memory that a node holds for callers' connections.

A connection holds what it has received of a request, parsed or not, and what its
caller has not read of answers. Each is bounded by connection; the account bounds the
sum. As it fills, those that hold most for longest are given up, and not the caller that
comes next.
"""

import collections.abc
import typing

from gingerturn.internal import ids, logs
from gingerturn.internal.shell import clock, supervision

OWN_BYTES = 64_000_000
"""Memory that a node needs for itself."""

UNKNOWN_MEMORY_BYTES = 256_000_000
"""Memory that is assumed of a machine whose settings do not tell it."""

COPIES = 3
"""Times that a body may be in memory: it is kept for retries, in a frame to its home
node, and there."""

MIN_LIMIT_BYTES = 4_000_000

KEPT_SHARE = 0.9
"""Share of the limit down to which connections are given up, so that it is not done for
each that comes."""

CONNECTION_BYTES = 4_096
"""What a connection with an open request costs beside the content that it holds."""

_PART = "ingress"


class Holder(typing.Protocol):
    """A connection that holds memory."""

    @property
    def held_since(self) -> ids.Milliseconds:
        """When its peer last made progress."""

    @property
    def may_be_given_up(self) -> bool:
        """Whether its peer is what it waits for."""

    def give_up(self) -> None:
        """Free what is held, and end the connection."""


def limit_of(memory_mb: int) -> int:
    """Return the limit of the account.

    :param memory_mb: memory of the machine in megabytes; 0 if it is not known.
    """
    memory = memory_mb * 1_000_000 or UNKNOWN_MEMORY_BYTES
    return max(MIN_LIMIT_BYTES, (memory - OWN_BYTES) // COPIES)


class Account:
    """What connections hold.

    Invariant: ``total`` is the sum of what the holders have set.

    :param limit: in bytes.
    """

    def __init__(self, limit: int) -> None:
        self._counts: dict[Holder, int] = {}
        self._making_room = False
        self.limit = limit
        self.total = 0
        self.given_up = 0

    @property
    def is_full(self) -> bool:
        """Whether more is held than the limit, though all that can be was given up."""
        return self.total > self.limit

    def set(self, holder: Holder, count: int) -> None:
        """Set what a connection holds, and make room if the account is full."""
        self.total += count - self._counts.get(holder, 0)
        if count:
            self._counts[holder] = count
        else:
            self._counts.pop(holder, None)
        if self.total > self.limit and not self._making_room:
            self._making_room = True
            try:
                self._make_room()
            finally:
                self._making_room = False

    def _make_room(self) -> None:
        now = clock.now()
        count, before = 0, self.total
        for holder in self._by_burden(now):
            if self.total <= KEPT_SHARE * self.limit:
                break
            with supervision.contained(_PART):
                holder.give_up()
                count += 1
        self.given_up += count
        if count and logs.may_write_end():
            logs.write(
                "WARNING",
                _PART,
                f"Connections given up for memory: {count};"
                f" {before} bytes were held, allowed are {self.limit}.",
            )

    def _by_burden(self, now: ids.Milliseconds) -> collections.abc.Iterable[Holder]:
        """Return the connections that may be given up, the greatest burden first: the
        bytes times the time since the last progress."""
        found = [holder for holder in self._counts if holder.may_be_given_up]

        def burden(holder: Holder) -> float:
            return self._counts[holder] * (1.0 + now - holder.held_since)

        return sorted(found, key=burden, reverse=True)
