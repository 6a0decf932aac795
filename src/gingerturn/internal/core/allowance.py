"""The retry allowance: a token that is never copied, and a budget a service.

A root call holds as many tokens as its kind allows extra attempts. An attempt
takes a part of them along, from which its children draw; what they did not
spend comes back with the answer, and what is not heard of counts as spent. So
for any tree and any loss of messages::

    attempts in the tree <= first attempts + tokens of the root

The budget bounds the sum over all requests: each first attempt of a service
adds its declared share, each retry takes one.
"""

import math

import msgspec

from gingerturn.internal.core import rationing

MAX_BUDGET = 10.0
"""Cap of the budget: a burst of ten retries after a quiet time does no harm at
the smallest declared upstream (20 slots), and more would arrive as one load."""

EARNED_SHARE = 0.5
"""Part of the allowed ratio that each first attempt earns, where retries are bounded
over all nodes."""

BURST_SHARE = 0.4
"""Part of the allowed ratio, of the first attempts of one window, that a node may save
up for a burst. Together with what is earned it stays a tenth below the bound. Faults
that turn calls away last some seconds, so what was saved carries more requests than
what is earned meanwhile: worth in the model where 15, 25 and 50 % are turned away
0.981, 0.841, 0.641 with 0.25; 0.992, 0.874, 0.652 with 0.4; no more with 0.6 earned and
0.3 saved (0.982, 0.848, 0.643)."""

WINDOW_MS = 10_000.0
"""Where no bound over all nodes is set, first attempts are counted over 10 s."""

SLACK_SHARE = 0.4
"""Share of the declared slack that the caps of all nodes' budgets add up to. A node
may spend its cap twice within one window, when the window's start empties a budget
that its end finds filled again."""


class Bound(msgspec.Struct, frozen=True):
    """A bound on the repeats of one service, summed over all nodes.

    In any window: repeats <= ratio x first attempts + slack.
    """

    slack: float
    ratio: float = 0.2
    window_ms: float = WINDOW_MS


class Budget(msgspec.Struct):
    """The retry budget of one service at one node.

    Invariant: ``held <= most`` after each first attempt. It is below zero while calls
    of repeated requests, which count as repeats too, have drawn more than there was.

    :param recent: first attempts of about the last window, a rate.
    :param share: what the last of them earned.
    :param wants: the repeats that calls have wanted of late.
    :param counted_at: when ``recent_attempts`` was last brought up to date.
    """

    balance: float = MAX_BUDGET
    recent_attempts: float = 0.0
    counted_at: float = 0.0
    earned_per_attempt: float = 0.0
    demand: rationing.RetryDemand = msgspec.field(default_factory=rationing.RetryDemand)


def record_first_attempt(budget: Budget, now: float, window_ms: float) -> None:
    """Count a first attempt; earlier ones fade over the window."""
    elapsed = max(0.0, now - budget.counted_at)
    budget.counted_at = now
    budget.recent_attempts = (
        budget.recent_attempts * math.exp(-elapsed / window_ms) + 1.0
    )


def expected_supply(budget: Budget, duration: float, window_ms: float) -> float:
    """Return the repeats that are held and will be earned in so many ms."""
    return (
        budget.balance
        + budget.earned_per_attempt * budget.recent_attempts * duration / window_ms
    )


def balance_limit(budget: Budget, bound: Bound, *, nodes: int) -> float:
    """Return the most that one of so many nodes may hold of a bound on them all."""
    part = bound.slack * SLACK_SHARE / max(1, nodes)
    return part + BURST_SHARE * bound.ratio * budget.recent_attempts


def charge_forced_repeat(budget: Budget) -> None:
    """Take out a repeat that is made in any case: a call of a repeated request."""
    budget.balance -= 1.0


def earn(budget: Budget, share: float, *, limit: float = MAX_BUDGET) -> None:
    """Add what one first attempt earns."""
    budget.earned_per_attempt = share
    budget.balance = min(limit, budget.balance + share)


def spend(budget: Budget) -> bool:
    """Take one retry out of the budget; return whether there was one."""
    if budget.balance < 1.0:
        return False
    budget.balance -= 1.0
    return True


def tokens_for_attempt(tokens: int) -> int:
    """Return how many tokens an attempt takes along.

    Half, rounded down: the sender keeps at least as many, so that a call that
    fails whole can still be sent again by the one who knows the other upstreams.
    """
    return tokens // 2


def tokens_for_child(tokens: int) -> int:
    """Return how many tokens a child call takes: half, rounded up, since calls
    of one parent mostly follow one another and give back what they leave."""
    return (tokens + 1) // 2


def returned_tokens(*, taken: int, reported: int) -> int:
    """Return the tokens to put back; a peer cannot return more than it took."""
    return max(0, min(taken, reported))
