"""Token buckets of the workspaces with a cap, at one node.

A bucket fills at the rate that the cap allocator leased (:mod:`.cap_allocator`).
Without a lease it fills by the node's own equal share of the cap, unless that share is
delegated.
"""

import math

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import member_order, state as states

HALF_LIFE_REQUESTS = 4.0
MIN_HALF_LIFE_MS = 500.0
MAX_HALF_LIFE_MS = 2_500.0
"""Demand is an exponentially weighted mean, whose half-life is the time in which this
many requests arrive, within these bounds."""

IDLE_MS = 3_000.0
"""A bucket without requests for this long is dropped."""

DEFAULT_RETRY_DELAY_MS = 500.0
"""Retry delay without a lease, by when a lost allocator has been replaced."""

DEPTH_MS = 300.0
"""A bucket holds the tokens that its lease adds within this time, and one more."""

MIN_INTERVAL_MS = 100.0
MAX_RETRY_DELAY_MS = 10_000.0
"""Bounds on the retry delay; the lower one also bounds the interval over which demand
is measured."""


def bucket_of(state: states.State, workspace: str) -> states.Bucket:
    """Return the bucket of a workspace, creating it if needed."""
    buckets = state.caps.buckets
    bucket = buckets.get(workspace)
    if bucket is None:
        bucket = states.Bucket(refilled_at=state.now, counted_from=state.now)
        buckets[workspace] = bucket
    return bucket


def take_token(state: states.State, cap: routes.Workspace) -> bool:
    """Take a token; return whether there was one."""
    bucket = bucket_of(state, cap.name)
    refill(state, bucket, cap)
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    bucket.admitted_count += 1
    return True


def return_token(state: states.State, workspace: str) -> None:
    """Return the token of a request that certainly did not run."""
    bucket = state.caps.buckets.get(workspace)
    if bucket is not None:
        bucket.tokens += 1.0


def refill(state: states.State, bucket: states.Bucket, cap: routes.Workspace) -> None:
    """Add the tokens that accrued since the last refill."""
    now = state.now
    if cap.rate != bucket.cap_rate:
        _apply_limit(bucket, cap)
    leased_ms = min(now, bucket.lease_until) - bucket.refilled_at
    if leased_ms > 0.0:
        leased_tokens = bucket.rate_milli * leased_ms / 1e6
        bucket.overflowed += _add(bucket, leased_tokens, depth_of(bucket.rate_milli))
    own_share_from = max(
        bucket.refilled_at, bucket.lease_until, state.caps.delegated_until
    )
    if now > own_share_from:
        own_share = cap.rate / member_order.cap_sharer_count(state)
        _add(bucket, own_share * (now - own_share_from) / 1_000.0, 1.0)
    bucket.refilled_at = now


def _apply_limit(bucket: states.Bucket, cap: routes.Workspace) -> None:
    """Reduce a lease that was granted under a higher cap."""
    if cap.rate < bucket.cap_rate:
        bucket.rate_milli = int(bucket.rate_milli * cap.rate / bucket.cap_rate)
        bucket.tokens = min(bucket.tokens, depth_of(bucket.rate_milli))
    bucket.cap_rate = cap.rate


def depth_of(rate_milli: int) -> float:
    """Return how many tokens a bucket with this lease can hold."""
    return total_depth(1, rate_milli) if rate_milli else 0.0


def total_depth(count: int, rate_milli: int) -> float:
    """Return how many tokens buckets can hold.

    :param count: number of buckets.
    :param rate_milli: sum of their leases.
    """
    return count + rate_milli * DEPTH_MS / 1e6


def _add(bucket: states.Bucket, tokens: float, depth: float) -> float:
    """Add tokens; return how many did not fit."""
    free = max(0.0, depth - bucket.tokens)
    bucket.tokens += min(tokens, free)
    return max(0.0, tokens - free)


def apply_lease(
    state: states.State,
    bucket: states.Bucket,
    cap: routes.Workspace,
    *,
    rate_milli: int,
    tokens: int,
    until: ids.Milliseconds,
) -> None:
    """Fill a bucket by a new lease from now on.

    :param tokens: tokens to add at once.
    :param until: when the lease expires.
    """
    refill(state, bucket, cap)
    excess = max(0.0, bucket.tokens - depth_of(rate_milli))
    bucket.overflowed += excess
    bucket.tokens += tokens - excess
    bucket.rate_milli = rate_milli
    bucket.lease_until = max(bucket.lease_until, until)


def record_demand(state: states.State, bucket: states.Bucket) -> float:
    """Update and return the demand, in requests per second."""
    elapsed = state.now - bucket.counted_from
    if elapsed <= 0.0:
        return bucket.demand
    observed = bucket.request_count * 1_000.0 / max(elapsed, MIN_INTERVAL_MS)
    half_life = 1_000.0 * HALF_LIFE_REQUESTS / max(bucket.demand, 1e-3)
    half_life = max(MIN_HALF_LIFE_MS, min(half_life, MAX_HALF_LIFE_MS))
    weight = math.exp2(-elapsed / half_life)
    if bucket.request_count >= HALF_LIFE_REQUESTS and observed > 2.0 * bucket.demand:
        # Follow a sudden rise at once.
        weight = 0.0
    bucket.demand = weight * bucket.demand + (1.0 - weight) * observed
    admitted = bucket.admitted_count * 1_000.0 / max(elapsed, MIN_INTERVAL_MS)
    bucket.admitted_rate = weight * bucket.admitted_rate + (1.0 - weight) * admitted
    bucket.request_count = bucket.admitted_count = 0
    bucket.counted_from = state.now
    return bucket.demand


def retry_after_ms(state: states.State, cap: routes.Workspace) -> ids.Milliseconds:
    """Return the retry delay for a refused caller, in ms.

    Each refused caller is assigned the next future token, so that retries arrive at the
    rate of the cap instead of all at once.
    """
    bucket = bucket_of(state, cap.name)
    jitter = 1.0 + state.random.random() / 4.0
    if bucket.lease_until <= state.now:
        return DEFAULT_RETRY_DELAY_MS * jitter
    if bucket.rate_milli:
        token_ms = 1e6 / bucket.rate_milli
        first = state.now + (1.0 - bucket.tokens) * token_ms
    else:
        # Single tokens: as many as lately, and at least an equal part of the cap.
        own_share = cap.rate / member_order.cap_sharer_count(state)
        token_ms = 1_000.0 / max(bucket.admitted_rate, own_share)
        first = state.now + min(token_ms, DEFAULT_RETRY_DELAY_MS)
    bucket.promised_token_at = max(first, bucket.promised_token_at + token_ms)
    wait = bucket.promised_token_at - state.now
    if wait > MAX_RETRY_DELAY_MS:
        bucket.promised_token_at = state.now + MAX_RETRY_DELAY_MS
        return MAX_RETRY_DELAY_MS / jitter
    return max(MIN_INTERVAL_MS, wait) * jitter
