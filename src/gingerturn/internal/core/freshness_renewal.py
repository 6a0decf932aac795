"""Renewal of the evidence that the route table is current.

The first node reads the log each second, the first node of each availability zone
queries it, and other nodes query their parent in a tree of their zone. A node that gets
no recent answer reads the log itself.

Thereby the load on the log does not grow with the number of nodes, and the age of the
evidence is bounded by the depth of the tree.
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
"""Interval between checks of the age of the evidence."""

LONG_POLL_MS = 1_000
"""How long the log holds a read of the first node open."""

QUERY_AGE_MS = 900.0
"""Evidence is renewed by a query from this age on."""

QUERY_INTERVAL_MS = 400.0
"""Interval between two queries. Each level of the tree adds up to this much to the age;
a zone of 525 nodes has three levels below its first node."""

READ_AGE_MS = 2_200.0
"""Age from which the first nodes of zones read the log; all others depend on them."""

FALLBACK_READ_AGE_MS = 3_000.0
"""Age from which any other node reads the log. In a deployment of the largest supported
size the evidence of the deepest nodes reaches this age in normal operation."""

READ_INTERVAL_MS = 700.0
"""Interval between two such reads of one node, before jitter."""


def check(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    """Renew the evidence before it is too old, and log when keys are refused."""
    freshness_state = state.freshness
    if not freshness.is_bounded(state) or state.stopping:
        return
    age = freshness.age(state)
    _log_change(state, age, out)
    if age < QUERY_AGE_MS:
        return
    if now - freshness_state.queried_at >= QUERY_INTERVAL_MS:
        _query_member(state, out)
    reads_early = member_order.parent(state) is None or member_order.is_zone_first(
        state
    )
    if age >= (READ_AGE_MS if reads_early else FALLBACK_READ_AGE_MS):
        _read_log(state, out)


def _log_change(
    state: states.State, age: ids.Milliseconds, out: states.Effects
) -> None:
    """Log when keys begin to be refused, and when they are accepted again."""
    freshness_state = state.freshness
    is_stale = freshness.is_stale(state)
    if is_stale == freshness_state.closed_logged:
        return
    freshness_state.closed_logged = is_stale
    if is_stale:
        text = f"Route table not verified for {age:.0f} ms; refusing API keys."
        operator_log.warn(out, "keys", text)
    else:
        operator_log.info(
            out, "keys", "Route table verified; accepting API keys again."
        )


def on_read_ended(state: states.State) -> None:
    """Schedule the next extra read after one was answered or failed."""
    freshness_state = state.freshness
    freshness_state.extra_read_pending = False
    pause = READ_INTERVAL_MS * (1.0 + state.random.random())
    freshness_state.next_read_at = state.now + pause


def _query_member(state: states.State, out: states.Effects) -> None:
    """Query the parent, or every second time a random member if the evidence is old,
    since the parent may be partitioned too."""
    freshness_state = state.freshness
    freshness_state.queried_at = state.now
    freshness_state.query_count += 1
    node = member_order.parent(state)
    if node is None or (
        freshness.age(state) > READ_AGE_MS and freshness_state.query_count % 2
    ):
        others = member_table.random_members(state, 1)
        node = others[0] if others else None
    if node is not None:
        membership.ping(state, node, out, track=True)


def _read_log(state: states.State, out: states.Effects) -> None:
    stream = state.streams.get(streams.ROUTES)
    freshness_state = state.freshness
    if (
        stream is None
        or freshness_state.extra_read_pending
        or state.now < freshness_state.next_read_at
    ):
        return
    if not stream.caught_up:
        # Nothing was read since the start, or since the log was restored from a backup.
        streams.reread(state, streams.ROUTES)
        return
    freshness_state.extra_read_pending = True
    out.append(
        effects.ReadLog(
            stream=streams.ROUTES,
            offset=stream.offset,
            wait=False,
            extra=True,
            generation=stream.generation,
        )
    )
