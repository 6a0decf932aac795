"""A queue of member updates for gossip, those sent least often first.

Updates are kept in buckets by remaining transmissions, so that the cost of taking a few
does not depend on the number of members.
"""

import itertools
import typing


class GossipQueue:
    """Member updates that are still to be sent.

    Invariant: ``_remaining`` names the bucket of each node.
    """

    def __init__(self) -> None:
        self._remaining: dict[str, int] = {}
        self._buckets: dict[int, dict[str, None]] = {}

    def __len__(self) -> int:
        return len(self._remaining)

    def __contains__(self, node: object) -> bool:
        return node in self._remaining

    def put(self, node: str, times: int) -> None:
        """Queue an update for a number of transmissions, replacing a queued one."""
        self.drop(node)
        if times > 0:
            self._remaining[node] = times
            self._buckets.setdefault(times, {})[node] = None

    def drop(self, node: str) -> None:
        """Remove an update from the queue."""
        times = self._remaining.pop(node, None)
        if times is None:
            return
        bucket = self._buckets[times]
        del bucket[node]
        if not bucket:
            del self._buckets[times]

    def take(self, count: int) -> list[str]:
        """Return the nodes whose updates go into the next message, and count them."""
        taken: list[str] = []
        for times in sorted(self._buckets, reverse=True):
            wanted = count - len(taken)
            if not wanted:
                break
            taken += itertools.islice(self._buckets[times], wanted)
        for node in taken:
            self.put(node, self._remaining[node] - 1)
        return taken

    def dump(self) -> dict[str, int]:
        """Return the remaining transmissions by node, for diagnostics."""
        return dict(self._remaining)


def encoded(value: object) -> typing.Any:
    """Return a queue as plain data for a dump of the state."""
    return value.dump() if isinstance(value, GossipQueue) else repr(value)
