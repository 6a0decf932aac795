"""The retry allowance: a token that is never copied, and a budget a service.

A root call holds as many tokens as its kind allows extra attempts. An attempt
takes a part of them along, from which its children draw; what they did not
spend comes back with the answer, and what is not heard of counts as spent. So
for any tree and any loss of messages::

    attempts in the tree <= first attempts + tokens of the root

The budget bounds the sum over all requests: each first attempt of a service
adds its declared share, each retry takes one.
"""

import msgspec

MAX_BUDGET = 10.0
"""Cap of the budget: a burst of ten retries after a quiet time does no harm at
the smallest declared upstream (20 slots), and more would arrive as one load."""


class Budget(msgspec.Struct):
    """The retry budget of one service at one node.

    Invariant: ``0 <= held <= MAX_BUDGET``.
    """

    held: float = MAX_BUDGET


def earn(budget: Budget, share: float, *, most: float = MAX_BUDGET) -> None:
    """Add what one first attempt earns."""
    budget.held = min(most, budget.held + share)


def spend(budget: Budget) -> bool:
    """Take one retry out of the budget; return whether there was one."""
    if budget.held < 1.0:
        return False
    budget.held -= 1.0
    return True


def part_for_attempt(tokens: int) -> int:
    """Return how many tokens an attempt takes along.

    Half, rounded down: the sender keeps at least as many, so that a call that
    fails whole can still be sent again by the one who knows the other upstreams.
    """
    return tokens // 2


def part_for_child(tokens: int) -> int:
    """Return how many tokens a child call takes: half, rounded up, since calls
    of one parent mostly follow one another and give back what they leave."""
    return (tokens + 1) // 2


def returned(*, taken: int, reported: int) -> int:
    """Return the tokens to put back; a peer cannot return more than it took."""
    return max(0, min(taken, reported))
