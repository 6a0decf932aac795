"""Which members' updates are still passed on, those passed on least often first.

Kept by how often each may still be told: taking the five that come first costs the same
with four members and with four thousand. Ranking all of them for each message takes
0.2 ms with 194, for minutes after a start.
"""

import itertools
import typing


class GossipQueue:
    """Updates that wait to be passed on.

    Invariant: ``_left`` names the bucket in which each node stands.
    """

    def __init__(self) -> None:
        self._left: dict[str, int] = {}
        self._buckets: dict[int, dict[str, None]] = {}

    def __len__(self) -> int:
        return len(self._left)

    def __contains__(self, node: object) -> bool:
        return node in self._left

    def put(self, node: str, times: int) -> None:
        """Let an update be passed on so many times from now on."""
        self.drop(node)
        if times > 0:
            self._left[node] = times
            self._buckets.setdefault(times, {})[node] = None

    def drop(self, node: str) -> None:
        """Pass an update on no more."""
        times = self._left.pop(node, None)
        if times is None:
            return
        bucket = self._buckets[times]
        del bucket[node]
        if not bucket:
            del self._buckets[times]

    def take(self, count: int) -> list[str]:
        """Return the nodes whose updates go with the next message."""
        taken: list[str] = []
        for times in sorted(self._buckets, reverse=True):
            wanted = count - len(taken)
            if not wanted:
                break
            taken += itertools.islice(self._buckets[times], wanted)
        for node in taken:
            self.put(node, self._left[node] - 1)
        return taken

    def dump(self) -> dict[str, int]:
        """Return how often each may still be told, for people."""
        return dict(self._left)


def encoded(value: object) -> typing.Any:
    """Return rumours as plain data for a dump of the state."""
    return value.dump() if isinstance(value, GossipQueue) else repr(value)
