"""Attribution of backend server crashes to requests.

The functions are pure, so nodes with the same data come to the same result.
"""

import collections

from gingerturn.internal import ids
from gingerturn.internal.core import state as states

CRASHES_TO_QUARANTINE = 3
"""A harmless request may be in progress in two related crashes, as it is retried on
another backend server after the first one."""


class SharedCrash:
    """A crash and the requests that may have caused it.

    :param at: when it happened.
    """

    def __init__(self, at: ids.Milliseconds) -> None:
        self.at = at
        self.requests: set[int] = set()


def shared_crashes(quarantine: states.Quarantine) -> dict[str, SharedCrash]:
    """Return the known crashes with the requests that were not cleared since.

    The parts of one crash report are merged.
    """
    crashes: dict[str, SharedCrash] = {}
    for id_, crash in quarantine.crashes.items():
        shared = crashes.setdefault(
            id_.rpartition("/")[0], SharedCrash(crash.crashed_at)
        )
        shared.requests.update(
            request
            for request in crash.requests
            if quarantine.cleared_at.get(request, 0.0) < crash.crashed_at
        )
    return crashes


def attribute_crashes(
    crashes: dict[str, SharedCrash],
) -> dict[int, states.QuarantineEntry]:
    """Return the requests to which crashes are attributed, by number of crashes.

    Each crash is attributed to the requests that share the most crashes. A harmless
    request that was retried after some of these crashes is thereby left with none.
    """
    entries: dict[int, states.QuarantineEntry] = {}
    unexplained = list(crashes.values())
    while unexplained:
        counts = collections.Counter(
            fingerprint for crash in unexplained for fingerprint in crash.requests
        )
        highest = max(counts.values(), default=0)
        if highest < CRASHES_TO_QUARANTINE:
            break
        attributed = {request for request, count in counts.items() if count == highest}
        for request in attributed:
            last_crash_at = max(
                crash.at for crash in unexplained if request in crash.requests
            )
            entries[request] = states.QuarantineEntry(
                crash_count=highest, last_crash_at=last_crash_at
            )
        unexplained = [
            crash for crash in unexplained if not crash.requests & attributed
        ]
    return entries


def crash_count(crashes: dict[str, SharedCrash], request: int) -> int:
    """Return in how many crashes a request was in progress."""
    return sum(1 for crash in crashes.values() if request in crash.requests)
