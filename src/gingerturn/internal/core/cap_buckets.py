"""What a node itself may let pass of a workspace with a cap: a token bucket.

Its rate is the node's lease from the keeper of caps (:mod:`.cap_keeper`). Without a
lease it is the node's own part of the cap, one of as many as there are nodes, unless
that is lent to a keeper at the time.
"""

import math

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import member_order, state as states

DEMAND_REQUESTS = 4.0
LEAST_HALF_LIFE_MS = 500.0
MOST_HALF_LIFE_MS = 2_500.0
"""Demand is a mean whose half-life is the time of so many requests, within these
bounds: that many requests fewer or more than usual are no chance."""

IDLE_MS = 3_000.0
"""A bucket that nobody drew on for so long is no demand any more."""

COME_BACK_MS = 500.0
"""Where nothing says when there will be room: when a keeper that was lost has long been
replaced."""

DEPTH_MS = 300.0
"""A bucket holds what its lease lets in within this time, and one token more."""

LEAST_WAIT_MS = 100.0
MOST_WAIT_MS = 10_000.0
"""Callers of a workspace far above its cap come back within this time, however many
were refused before them."""


def bucket_of(state: states.State, workspace: str) -> states.Bucket:
    """Return the bucket of a workspace."""
    buckets = state.caps.buckets
    bucket = buckets.get(workspace)
    if bucket is None:
        bucket = states.Bucket(refilled_at=state.now, counted_from=state.now)
        buckets[workspace] = bucket
    return bucket


def take_token(state: states.State, cap: routes.Workspace) -> bool:
    """Take a token, if there is one."""
    bucket = bucket_of(state, cap.name)
    refill(state, bucket, cap)
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    return True


def return_token(state: states.State, workspace: str) -> None:
    """Give the token of a request back that was certainly not run."""
    bucket = state.caps.buckets.get(workspace)
    if bucket is not None:
        bucket.tokens += 1.0


def refill(state: states.State, bucket: states.Bucket, cap: routes.Workspace) -> None:
    """Add what came in since the last time."""
    now = state.now
    leased = min(now, bucket.lease_until) - bucket.refilled_at
    if leased > 0.0:
        came_in = bucket.rate_milli * leased / 1e6
        bucket.overflowed += _add(bucket, came_in, depth_of(bucket.rate_milli))
    own_from = max(bucket.refilled_at, bucket.lease_until, state.caps.delegated_until)
    if now > own_from:
        part = cap.rate / member_order.cap_sharer_count(state)
        _add(bucket, part * (now - own_from) / 1_000.0, 1.0)
    bucket.refilled_at = now


def depth_of(rate_milli: int) -> float:
    """Return how many tokens a bucket holds that has a lease."""
    return 1.0 + rate_milli * DEPTH_MS / 1e6 if rate_milli else 0.0


def _add(bucket: states.Bucket, tokens: float, depth: float) -> float:
    """Add tokens, and return how many found the bucket full."""
    room = max(0.0, depth - bucket.tokens)
    bucket.tokens += min(tokens, room)
    return max(0.0, tokens - room)


def apply_lease(
    state: states.State,
    bucket: states.Bucket,
    cap: routes.Workspace,
    *,
    rate_milli: int,
    tokens: int,
    until: ids.Milliseconds,
) -> None:
    """Let a bucket be filled by a lease from now on.

    :param tokens: put into it at once.
    """
    refill(state, bucket, cap)
    over = max(0.0, bucket.tokens - depth_of(rate_milli))
    bucket.overflowed += over
    bucket.tokens += tokens - over
    bucket.rate_milli = rate_milli
    bucket.lease_until = max(bucket.lease_until, until)


def record_demand(state: states.State, bucket: states.Bucket) -> float:
    """Return requests a second that were asked for, up to now."""
    elapsed = state.now - bucket.counted_from
    if elapsed <= 0.0:
        return bucket.demand
    seen = bucket.request_count * 1_000.0 / max(elapsed, LEAST_WAIT_MS)
    half_life = 1_000.0 * DEMAND_REQUESTS / max(bucket.demand, 1e-3)
    half_life = max(LEAST_HALF_LIFE_MS, min(half_life, MOST_HALF_LIFE_MS))
    kept = math.exp2(-elapsed / half_life)
    if bucket.request_count >= DEMAND_REQUESTS and seen > 2.0 * bucket.demand:
        # So many more than usual are no chance either.
        kept = 0.0
    bucket.demand = kept * bucket.demand + (1.0 - kept) * seen
    bucket.request_count = 0
    bucket.counted_from = state.now
    return bucket.demand


def retry_after_ms(state: states.State, cap: routes.Workspace) -> ids.Milliseconds:
    """Return when a refused caller should come back, in ms.

    Callers are given the tokens that will come in one after the other, so that they
    return at the pace of the cap and not as a wave.
    """
    bucket = bucket_of(state, cap.name)
    jitter = 1.0 + state.random.random() / 4.0
    if bucket.lease_until <= state.now or not bucket.rate_milli:
        return COME_BACK_MS * jitter
    token_ms = 1e6 / bucket.rate_milli
    first = state.now + (1.0 - bucket.tokens) * token_ms
    bucket.promised_token_at = max(first, bucket.promised_token_at + token_ms)
    wait = bucket.promised_token_at - state.now
    if wait > MOST_WAIT_MS:
        bucket.promised_token_at = state.now + MOST_WAIT_MS
        return MOST_WAIT_MS / jitter
    return max(LEAST_WAIT_MS, wait) * jitter
