"""The shedding order: one integer that every hop compares the same way.

From the highest bits down a rank holds the importance class (3 bits), whether
the call is deeper than a root (1 bit) and 16 bits of the root's hash. So a
higher class always goes first; inside a class a call on whose behalf work was
already done goes before a new root; and the hash gives every hop the same order
among equals, so that all hops shed the same roots.
"""

from gingerturn.internal import ids

HASH_BITS = 16
BAND = 1 << HASH_BITS
"""Width of one band: one class at one depth bit. Steps of levels are parts of it."""

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
    """Return the rank that the children of a call will have."""
    return ids.Rank(rank | DEEP_BIT)


def is_deep(rank: ids.Rank) -> bool:
    """Tell whether a call is deeper than a root."""
    return bool(rank & DEEP_BIT)


def describe(rank: int) -> str:
    """Return a rank in an operator's words."""
    importance = rank >> CLASS_SHIFT
    depth = "deeper call" if rank & DEEP_BIT else "root"
    return f"class {importance}, {depth}, order {rank & (BAND - 1)} of {BAND}"
