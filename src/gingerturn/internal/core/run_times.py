"""Usual durations of calls by kind, as recent histograms of a fixed size.

A planned stop compares them with the time that it leaves.
"""

import collections
import math

import msgspec

from gingerturn.internal import ids

USUAL_SHARE = 0.9
"""Share of the recent calls of a kind that end within its usual time."""

NEARLY_ALL = 0.99
"""The same share where a call that is cut is worse than one that is refused."""

MIN_SAMPLES = 5
"""Recent calls of a kind below which its usual time is not known."""

WINDOW_MS = 120_000.0
"""Calls of the current window and of the one before it count as recent."""

SHORTEST_MS = 100.0
"""Shorter times are not distinguished."""

BUCKETS_PER_OCTAVE = 8
LAST_BUCKET = BUCKETS_PER_OCTAVE * 12
"""Holds all times from 400 s on, which count as longer than any planned stop."""

MAX_KINDS = 1_024
"""Bound on the kinds, whose names other nodes send."""


class KindTimes(msgspec.Struct):
    """Durations of the calls of a kind, counted by bucket.

    :param began: when the current window began.
    """

    began: ids.Milliseconds
    counts: dict[int, int] = {}
    earlier: dict[int, int] = {}


class RunTimes(msgspec.Struct):
    """Durations by kind."""

    kinds: dict[str, KindTimes] = {}


def record(
    times: RunTimes, kind: str, elapsed: ids.Milliseconds, *, now: ids.Milliseconds
) -> None:
    """Record the duration of a call, until the last byte of its answer."""
    known = times.kinds.get(kind)
    if known is None:
        if len(times.kinds) >= MAX_KINDS:
            return
        known = times.kinds[kind] = KindTimes(began=now)
    _begin_window(known, now)
    bucket = _bucket_of(elapsed)
    known.counts[bucket] = known.counts.get(bucket, 0) + 1


def prune(times: RunTimes, now: ids.Milliseconds) -> None:
    """Forget the kinds without recent calls."""
    for kind, known in list(times.kinds.items()):
        _begin_window(known, now)
        if not known.counts and not known.earlier:
            del times.kinds[kind]


def _begin_window(known: KindTimes, now: ids.Milliseconds) -> None:
    """Begin another window once the current one has passed."""
    age = now - known.began
    if age < WINDOW_MS:
        return
    known.earlier = known.counts if age < 2 * WINDOW_MS else {}
    known.counts = {}
    known.began = now


def _bucket_of(elapsed: ids.Milliseconds) -> int:
    if elapsed <= SHORTEST_MS:
        return 0
    bucket = math.ceil(BUCKETS_PER_OCTAVE * math.log2(elapsed / SHORTEST_MS))
    return min(bucket, LAST_BUCKET)


def usual_ms(
    times: RunTimes,
    kind: str,
    *,
    share: float = USUAL_SHARE,
) -> ids.Milliseconds:
    """Return the time within which calls of a kind usually end, or 0 if it is not
    known.

    :param share: share of the calls that end within it.
    """
    counts: collections.Counter[int] = collections.Counter()
    if (known := times.kinds.get(kind)) is not None:
        counts.update(known.counts)
        counts.update(known.earlier)
    total = counts.total()
    if total < MIN_SAMPLES:
        return 0.0
    longer = math.floor(total * (1.0 - share))
    bucket = 0
    for bucket in sorted(counts, reverse=True):
        longer -= counts[bucket]
        if longer < 0:
            break
    if bucket == LAST_BUCKET:
        return math.inf
    return SHORTEST_MS * math.pow(2.0, bucket / BUCKETS_PER_OCTAVE)
