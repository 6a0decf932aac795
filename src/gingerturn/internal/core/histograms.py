"""Cumulative histograms of a fixed size, for the metrics."""

import bisect
import itertools

import msgspec

from gingerturn.internal import ids

BOUNDS_MS = (2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0)
"""Upper bounds of all buckets but the last, which has none."""


class Histogram(msgspec.Struct):
    """Counts of durations by :data:`BOUNDS_MS`.

    :param total_ms: sum of all durations.
    """

    counts: list[int] = msgspec.field(
        default_factory=lambda: [0] * (len(BOUNDS_MS) + 1)
    )
    total_ms: float = 0.0

    def record(self, duration_ms: ids.Milliseconds) -> None:
        """Count one duration."""
        self.counts[bisect.bisect_left(BOUNDS_MS, duration_ms)] += 1
        self.total_ms += duration_ms


def rows(histogram: Histogram) -> list[tuple[str, float]]:
    """Return the buckets with their labels in the Prometheus text format."""
    return cumulative(BOUNDS_MS, histogram.counts)


def cumulative(bounds: tuple[float, ...], counts: list[int]) -> list[tuple[str, float]]:
    """Return cumulative counts with their labels in the Prometheus text format.

    :param counts: one more than the bounds.
    """
    labels = [f'{{le="{bound:g}"}}' for bound in bounds] + ['{le="+Inf"}']
    totals = map(float, itertools.accumulate(counts))
    return list(zip(labels, totals, strict=True))
