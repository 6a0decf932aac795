"""Which requests are to blame for the ends of backend servers.

Pure functions over what a node knows: nodes that heard the same come to the same.
"""

import collections

from gingerturn.internal import ids
from gingerturn.internal.core import state as states

CRASHES_TO_QUARANTINE = 3
"""Two backend servers may end under a harmless request: it was under way when the first
one ended, was sent on, and met the same cause again. Each end more costs all requests
that are under way there."""


class SharedCrash:
    """One end with the requests that it may be held against.

    :param at: when it was.
    """

    def __init__(self, at: ids.Milliseconds) -> None:
        self.at = at
        self.requests: set[int] = set()


def shared_crashes(known: states.Quarantine) -> dict[str, SharedCrash]:
    """Return the ends with what is left to be held against: what was not cleared
    since. The parts in which one was told come together."""
    ends: dict[str, SharedCrash] = {}
    for id_, end in known.crashes.items():
        whole = ends.setdefault(id_.rpartition("/")[0], SharedCrash(end.crashed_at))
        whole.requests.update(
            request
            for request in end.requests
            if known.cleared_at.get(request, 0.0) < end.crashed_at
        )
    return ends


def attribute_crashes(
    ends: dict[str, SharedCrash],
) -> dict[int, states.QuarantineEntry]:
    """Return the requests that explain the ends, those that explain most first.

    A harmless request that was sent on from one of these ends to the next is under
    way in some of them too; the one that all have in common leaves it none.
    """
    blamed: dict[int, states.QuarantineEntry] = {}
    left = list(ends.values())
    while left:
        counts = collections.Counter(r for end in left for r in end.requests)
        most = max(counts.values(), default=0)
        if most < CRASHES_TO_QUARANTINE:
            break
        worst = {request for request, times in counts.items() if times == most}
        for request in worst:
            at = max(end.at for end in left if request in end.requests)
            blamed[request] = states.QuarantineEntry(crash_count=most, last_crash_at=at)
        left = [end for end in left if not end.requests & worst]
    return blamed


def crash_count(ends: dict[str, SharedCrash], request: int) -> int:
    """Return in how many ends a request was under way."""
    return sum(1 for end in ends.values() if request in end.requests)
