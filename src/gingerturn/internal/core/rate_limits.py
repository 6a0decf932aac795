"""Rate limit that a backend server reports, applied by the node beside it.

All calls reach a backend server through that node, so one token bucket there bounds
the sum over all entry nodes. Nodes beyond it know the limit only to send less of what
would be refused, and to tell a node that was restarted (:mod:`.backend_reports`).

A limit ends gradually: once answers no longer report it, the rate doubles at short
intervals until the bucket no longer matters.
"""

import math
import re

import msgspec

from gingerturn.internal import ids

NO_LIMIT = -1.0
"""In place of a limit where none is reported."""

MAX_HEADER_BYTES = 64
"""Bytes of a header value that are read; longer values are invalid."""

MAX_LIMIT = 1e9
"""Calls a second; a higher limit is taken for this one."""

MIN_RATE = 0.25
"""Calls a second that are sent despite a lower limit, since its end is only seen in
answers."""

DEPTH_MS = 200.0
"""The bucket holds the tokens of this time, but at least one."""

HOLD_MS = 1_000.0
"""A limit stays in force this long after the latest answer that reported it, so that
single answers without it change nothing."""

DOUBLING_MS = 500.0
"""Time in which the rate doubles once the limit is no longer reported."""

MIN_RAMP_RATE = 1.0
"""Calls a second from which a lifted limit is doubled."""

RAMP_MS = 4 * DOUBLING_MS
"""Time after which a limit that is no longer reported is removed."""

_DECIMAL = re.compile(rb"(?:\d+(?:\.\d*)?|\.\d+)(?:[eE][+-]?\d{1,2})?")


class Limiter(msgspec.Struct):
    """Token bucket in front of the backend server.

    Invariant: while there is a limit, ``tokens`` is at most :func:`depth`.

    :param limit: requests a second, as reported; :data:`NO_LIMIT` without a limit.
    :param tokens: calls that may be dispatched now.
    :param refilled_at: up to when tokens have been added.
    :param reported_at: when the limit was last reported.
    :param lifted_at: when the rate begins to rise, since the limit is no longer
        reported; 0 while it is.
    :param observed: an answer of this instance arrived here, so that this node knows
        its limit itself.
    """

    limit: ids.RequestsPerSecond = NO_LIMIT
    tokens: float = 0.0
    refilled_at: ids.Milliseconds = 0.0
    reported_at: ids.Milliseconds = 0.0
    lifted_at: ids.Milliseconds = 0.0
    observed: bool = False

    @property
    def limited(self) -> bool:
        """Whether there is a limit, reported or being lifted."""
        return self.limit >= 0.0


def parse(value: bytes) -> ids.RequestsPerSecond:
    """Return the lowest limit in the value of a header.

    :param value: decimal numbers, separated by commas.
    :raises ValueError: naming the value and what is allowed.
    """
    parts = [part.strip() for part in value.split(b",")]
    if len(value) > MAX_HEADER_BYTES or not all(map(_DECIMAL.fullmatch, parts)):
        shown = value[:MAX_HEADER_BYTES].decode("latin-1")
        raise ValueError(
            f"{shown!r} is no rate limit; allowed is a decimal number from 0,"
            f" at most {MAX_HEADER_BYTES} bytes"
        )
    return min(MAX_LIMIT, *(float(part) for part in parts))


def report(
    limiter: Limiter, limit: ids.RequestsPerSecond, now: ids.Milliseconds
) -> None:
    """Apply a limit that the backend server reports; a new one begins without tokens.

    :param limit: :data:`NO_LIMIT` if it reports none.
    """
    if limit < 0.0:
        if limiter.limited and not limiter.lifted_at:
            limiter.lifted_at = max(now, limiter.reported_at + HOLD_MS)
        return
    if not limiter.limited:
        limiter.tokens = 0.0
        limiter.refilled_at = now
    else:
        refill(limiter, now)
    limiter.limit = limit
    limiter.lifted_at = 0.0
    limiter.reported_at = now
    limiter.tokens = min(limiter.tokens, depth(limiter, now))


def limit_in_force(limiter: Limiter, now: ids.Milliseconds) -> ids.RequestsPerSecond:
    """Return the reported limit; :data:`NO_LIMIT` once it is being lifted."""
    is_lifted = limiter.lifted_at and now >= limiter.lifted_at
    return NO_LIMIT if is_lifted else limiter.limit


def rate(limiter: Limiter, now: ids.Milliseconds) -> ids.RequestsPerSecond:
    """Return the rate at which tokens are added at present."""
    lifted_ms = now - limiter.lifted_at if limiter.lifted_at else 0.0
    if lifted_ms <= 0.0:
        return max(MIN_RATE, limiter.limit)
    doublings: float = 2.0 ** (lifted_ms / DOUBLING_MS)
    return max(MIN_RAMP_RATE, limiter.limit) * doublings


def depth(limiter: Limiter, now: ids.Milliseconds) -> float:
    """Return how many tokens the bucket holds."""
    return max(1.0, rate(limiter, now) * DEPTH_MS / 1_000.0)


def refill(limiter: Limiter, now: ids.Milliseconds) -> None:
    """Add the tokens of the time since the last refill, or remove a lifted limit."""
    if not limiter.limited:
        return
    if limiter.lifted_at and now - limiter.lifted_at >= RAMP_MS:
        limiter.limit = NO_LIMIT
        limiter.lifted_at = 0.0
        return
    added = rate(limiter, now) * max(0.0, now - limiter.refilled_at) / 1_000.0
    limiter.tokens = min(depth(limiter, now), limiter.tokens + added)
    limiter.refilled_at = now


def has_token(limiter: Limiter, now: ids.Milliseconds) -> bool:
    """Whether a call may be dispatched now."""
    if limiter.limit < 0.0:
        return True
    refill(limiter, now)
    return not limiter.limited or limiter.tokens >= 1.0


def idle_share(limiter: Limiter, now: ids.Milliseconds) -> float:
    """Return how full the bucket is, from 0 to 1."""
    refill(limiter, now)
    return min(1.0, limiter.tokens / depth(limiter, now)) if limiter.limited else 1.0


def take(limiter: Limiter) -> None:
    """Take the token of a call that is dispatched."""
    if limiter.limited:
        limiter.tokens = max(0.0, limiter.tokens - 1.0)


def refund(limiter: Limiter) -> None:
    """Return the token of a call that was not dispatched after all."""
    if limiter.limited:
        limiter.tokens += 1.0


def wait_ms(limiter: Limiter, ahead: int, now: ids.Milliseconds) -> ids.Milliseconds:
    """Return the time until a call gets a token.

    :param ahead: calls that get one before it.
    """
    if not limiter.limited:
        return 0.0
    refill(limiter, now)
    missing = ahead + 1 - limiter.tokens
    return max(0.0, 1_000.0 * missing / rate(limiter, now)) if limiter.limited else 0.0


def tokens_in(
    limiter: Limiter, duration: ids.Milliseconds, now: ids.Milliseconds
) -> int:
    """Return how many tokens are added in a duration, at least one."""
    return max(1, math.ceil(rate(limiter, now) * duration / 1_000.0))
