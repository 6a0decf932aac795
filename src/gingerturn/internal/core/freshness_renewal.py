"""How a node renews its evidence that its route table is the newest.

One node, the first of all by its place, reads the log each second. The first of each
availability zone asks it, others ask the one above them in a tree of their zone, and
who gets no answer young enough reads the log itself. Were each node to read, calls on
the log would grow with the number of nodes; were members to be asked at random, the
last of 24 would often hear too late.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    freshness,
    member_order,
    member_table,
    membership,
    operator_log,
    state as states,
    streams,
)

CHECK_MS = 100.0
"""How often a node looks at the age of its evidence."""

HOLD_MS = 1_000
"""How long the first node lets the log hold a read open for news."""

ASK_FROM_MS = 900.0
"""Evidence of this age is renewed: the first node's own is this old half the time."""

ASK_EVERY_MS = 400.0
"""Pause between two questions. Below a head of a zone are at most three more levels at
525 nodes a zone; each adds this much to the age at the worst."""

READ_FROM_MS = 2_200.0
"""The heads of zones read the log themselves from this age on: what the others know
comes from them."""

LAST_READ_FROM_MS = 3_000.0
"""Any other node does from this age on. At the design size the evidence of the farthest
node is this old when nothing is wrong."""

READ_EVERY_MS = 700.0
"""Pause, before a random part, between two such reads of one node."""


def check(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    """Renew the evidence before it is too old."""
    known = state.freshness
    if not freshness.is_bounded(state) or state.stopping:
        return
    old = freshness.age(state)
    _tell(state, old, out)
    if old < ASK_FROM_MS:
        return
    if now - known.queried_at >= ASK_EVERY_MS:
        _ask(state, out)
    head = member_order.parent(state) is None or member_order.is_zone_first(state)
    if old >= (READ_FROM_MS if head else LAST_READ_FROM_MS):
        _read(state, out)


def _tell(state: states.State, old: ids.Milliseconds, out: states.Effects) -> None:
    """Write when keys cease to be let in, and when they are again."""
    known = state.freshness
    stale = freshness.is_stale(state)
    if stale == known.closed_logged:
        return
    known.closed_logged = stale
    if stale:
        text = f"Nothing tells for {old:.0f} ms that keys still hold; none is let in."
        operator_log.warn(out, "keys", text)
    else:
        operator_log.info(out, "keys", "Keys are let in again.")


def on_read_ended(state: states.State) -> None:
    """Take in that an extra read was answered, or failed."""
    known = state.freshness
    known.extra_read_pending = False
    pause = READ_EVERY_MS * (1.0 + state.random.random())
    known.next_read_at = state.now + pause


def _ask(state: states.State, out: states.Effects) -> None:
    """Ask the node above, and by turns any other, as the one above may be cut off."""
    known = state.freshness
    known.queried_at = state.now
    known.query_count += 1
    node = member_order.parent(state)
    if node is None or (freshness.age(state) > READ_FROM_MS and known.query_count % 2):
        others = member_table.random_members(state, 1)
        node = others[0] if others else None
    if node is not None:
        membership.ping(state, node, out, track=True)


def _read(state: states.State, out: states.Effects) -> None:
    stream = state.streams.get(streams.ROUTES)
    known = state.freshness
    if stream is None or known.extra_read_pending or state.now < known.next_read_at:
        return
    if not stream.caught_up:
        # Nothing was read since the log was restored from a backup, or since the start.
        streams.reread(state, streams.ROUTES)
        return
    known.extra_read_pending = True
    out.append(
        effects.ReadLog(
            stream=streams.ROUTES,
            offset=stream.offset,
            wait=False,
            extra=True,
            generation=stream.generation,
        )
    )
