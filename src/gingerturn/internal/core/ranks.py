"""Ranks: the order in which calls are shed, the same at every hop.

From the highest bits down a rank holds the importance class (3 bits), whether the call
is below a root (1 bit) and 16 bits of the root's hash. So a higher class always goes
first; within a class, a call of a request that has already done work goes before a new
root; and the hash orders the rest in the same way at every hop, so that all hops shed
the same roots.
"""

from gingerturn.internal import ids

HASH_BITS = 16
BAND = 1 << HASH_BITS
"""Number of ranks in one band, which is one class at one depth bit."""

DEEP_BIT = BAND
CLASS_SHIFT = HASH_BITS + 1
LOWEST = ids.Rank(0)
HIGHEST = ids.Rank((8 << CLASS_SHIFT) - 1)


def rank_of(*, importance: int, depth: int, root: ids.RootHash) -> ids.Rank:
    """Return the rank of a call.

    :param importance: class of importance, 0 (least) to 7.
    :param depth: 0 for a root.
    :param root: hash of the whole request.
    """
    deep = DEEP_BIT if depth > 0 else 0
    return ids.Rank((importance << CLASS_SHIFT) | deep | (root >> 48))


def deep_rank(rank: ids.Rank) -> ids.Rank:
    """Return the rank of the child calls of a call."""
    return ids.Rank(rank | DEEP_BIT)


def is_deep(rank: ids.Rank) -> bool:
    """Whether a call is below a root."""
    return bool(rank & DEEP_BIT)


def describe(rank: int) -> str:
    """Return a rank as text for operators."""
    importance = rank >> CLASS_SHIFT
    depth = "deeper call" if rank & DEEP_BIT else "root"
    return f"class {importance}, {depth}, order {rank & (BAND - 1)} of {BAND}"
