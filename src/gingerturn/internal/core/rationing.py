"""Rationing of a retry budget that does not cover the demand.

Where upstreams refuse a large part of the calls, a request of many sequential calls
needs a retry for several of them. Spent in the order of arrival, a short budget goes to
requests that fail at a later call. So the budget goes to the calls of the highest rank,
which is the same at every hop of a request: a request that may retry one call may
retry the others too.
"""

import math

import msgspec

from gingerturn.internal import ids
from gingerturn.internal.core import ranks

HORIZON_MS = 500.0
"""How far ahead supply and demand are compared: the balance and what will be earned
within this time. With longer horizons a part of the budget remains unspent: where
upstreams refuse 25 % of the calls, 2,000 ms were worth no more than no rationing. Where
they refuse half, no horizon helps."""

DEMAND_WINDOW_MS = 1_000.0
"""Time span of the past demand that the expected demand is computed from."""

MAX_SAMPLES = 512
"""Maximum number of samples, to bound memory and the time to sort them."""

RECOMPUTE_INTERVAL_MS = 50.0
"""How long a minimum rank is used before it is computed again, since sorting the
samples for each retry would cost more than the call."""


class RetryDemand(msgspec.Struct):
    """Recent demand for retries to one service at this node.

    :param samples: (time, rank) of each call that needed a retry, in order of time.
    :param min_rank: calls of lower rank get no retry.
    :param computed_at: when ``min_rank`` was computed.
    """

    samples: list[tuple[ids.Milliseconds, ids.Rank]] = []
    min_rank: ids.Rank = ranks.LOWEST
    computed_at: ids.Milliseconds = -math.inf


def record_demand(demand: RetryDemand, rank: ids.Rank, now: ids.Milliseconds) -> None:
    """Record a call that needs a retry."""
    demand.samples.append((now, rank))
    if len(demand.samples) > 2 * MAX_SAMPLES:
        del demand.samples[:-MAX_SAMPLES]


def minimum_rank(demand: RetryDemand, supply: float, now: ids.Milliseconds) -> ids.Rank:
    """Return the rank from which calls may be retried.

    :param supply: retries that the budget allows within :data:`HORIZON_MS`.
    """
    if now - demand.computed_at < RECOMPUTE_INTERVAL_MS:
        return demand.min_rank
    demand.computed_at = now
    recent = [(at, rank) for at, rank in demand.samples if now - at <= DEMAND_WINDOW_MS]
    demand.samples = recent
    demand.min_rank = _computed_minimum(recent[-MAX_SAMPLES:], supply, now)
    return demand.min_rank


def _computed_minimum(
    recent: list[tuple[ids.Milliseconds, ids.Rank]],
    supply: float,
    now: ids.Milliseconds,
) -> ids.Rank:
    span = DEMAND_WINDOW_MS
    if len(recent) == MAX_SAMPLES:
        span = max(1.0, now - recent[0][0])
    expected = len(recent) * HORIZON_MS / span
    if expected <= supply:
        return ranks.LOWEST
    ordered = sorted(rank for _, rank in recent)
    covered = int(len(ordered) * max(0.0, supply) / expected)
    if covered == 0:
        return ids.Rank(ordered[-1] + 1)
    return ordered[-covered]
