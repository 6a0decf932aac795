"""Retry allowance of a request, in tokens, and retry budget of a service.

A root call holds as many tokens as its kind allows extra attempts. Each attempt
carries a part of them, which its child calls draw on. Unspent tokens return with the
answer, and tokens that do not return count as spent. So for any tree and any loss of
messages::

    attempts in the tree <= first attempts + tokens of the root

The budget bounds the sum over all requests: each first attempt of a service
adds its declared share, each retry takes one.
"""

import math

import msgspec

from gingerturn.internal.core import rationing

MAX_BUDGET = 10.0
"""Maximum balance of a budget, which bounds a burst of retries after a quiet time."""

EARNED_SHARE = 0.5
"""Part of the allowed ratio that each first attempt earns where retries are bounded
over all nodes."""

BURST_SHARE = 0.4
"""Part of the allowed ratio, of the first attempts of one window, that a node may save
up for a burst. With :data:`EARNED_SHARE` it stays a tenth below the bound. Faults that
refuse calls last some seconds, in which a saved balance carries more requests than
what is earned meanwhile."""

WINDOW_MS = 10_000.0
"""Window of the count of first attempts where no bound over all nodes is set."""

SLACK_SHARE = 0.4
"""Share of the declared slack that is divided among the budgets of all nodes. Below a
half, since a node may spend a full budget twice in one window: at its start and, filled
again, at its end."""


class Bound(msgspec.Struct, frozen=True):
    """Bound on the retries of one service, summed over all nodes.

    In any window: retries <= ratio x first attempts + slack.
    """

    slack: float
    ratio: float = 0.2
    window_ms: float = WINDOW_MS


class Budget(msgspec.Struct):
    """Retry budget of one service at one node.

    Invariant: ``balance`` is at most the limit given to :func:`earn` after each first
    attempt. It is negative while calls of repeated requests, which count as retries
    too, have been charged more than there was.

    :param balance: retries that may be made now.
    :param recent_attempts: first attempts, decayed exponentially over the window.
    :param counted_at: when ``recent_attempts`` was last updated.
    :param earned_per_attempt: what the last first attempt earned.
    :param demand: recent requests for a retry.
    """

    balance: float = MAX_BUDGET
    recent_attempts: float = 0.0
    counted_at: float = 0.0
    earned_per_attempt: float = 0.0
    demand: rationing.RetryDemand = msgspec.field(default_factory=rationing.RetryDemand)


def record_first_attempt(budget: Budget, now: float, window_ms: float) -> None:
    """Count a first attempt and decay the earlier ones over the window."""
    elapsed = max(0.0, now - budget.counted_at)
    budget.counted_at = now
    budget.recent_attempts = (
        budget.recent_attempts * math.exp(-elapsed / window_ms) + 1.0
    )


def expected_supply(budget: Budget, duration: float, window_ms: float) -> float:
    """Return the retries available now or expected to be earned.

    :param duration: how far ahead to look, in ms.
    """
    return (
        budget.balance
        + budget.earned_per_attempt * budget.recent_attempts * duration / window_ms
    )


def balance_limit(budget: Budget, bound: Bound, *, nodes: int) -> float:
    """Return the maximum balance of one node under a bound over all nodes."""
    part = bound.slack * SLACK_SHARE / max(1, nodes)
    return part + BURST_SHARE * bound.ratio * budget.recent_attempts


def charge_forced_repeat(budget: Budget) -> None:
    """Charge a call of a repeated request, which is made whatever the balance."""
    budget.balance -= 1.0


def earn(budget: Budget, share: float, *, limit: float = MAX_BUDGET) -> None:
    """Credit one first attempt.

    :param limit: maximum balance.
    """
    budget.earned_per_attempt = share
    budget.balance = min(limit, budget.balance + share)


def spend(budget: Budget) -> bool:
    """Charge one retry; return whether the balance allowed it."""
    if budget.balance < 1.0:
        return False
    budget.balance -= 1.0
    return True


def tokens_for_attempt(tokens: int) -> int:
    """Return how many tokens an attempt carries.

    Half, rounded down: the sender keeps at least as many, so that it can still retry
    the whole call at another upstream.
    """
    return tokens // 2


def tokens_for_child(tokens: int) -> int:
    """Return how many tokens a child call carries.

    Half, rounded up: calls of one parent are mostly sequential and return the tokens
    that they do not spend.
    """
    return (tokens + 1) // 2


def returned_tokens(*, taken: int, reported: int) -> int:
    """Return the tokens to credit, at most as many as the attempt carried."""
    return max(0, min(taken, reported))
