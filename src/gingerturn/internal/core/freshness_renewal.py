"""Renewal of the evidence that the route table is current.

The first node reads the log several times in the bound, the first node of each
availability zone queries it, and other nodes query their parent in a tree of their
zone. A node that gets no recent answer reads the log itself, and so does one that knows
of a later version and cannot fetch it.

Thereby the load on the log does not grow with the number of nodes, and the age of the
evidence is bounded by the depth of the tree. :mod:`.version_bound` has the times.
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
    version_bound,
)


def check(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    """Renew the evidence before it is too old, and log when keys are refused."""
    bound = version_bound.bound_ms(state)
    if not bound or state.stopping:
        return
    age = freshness.read_age(state)
    if freshness.is_bounded(state):
        age = freshness.age(state)
        _log_change(state, age, out)
    if age < version_bound.QUERY_AGE_SHARE * bound:
        return
    interval = version_bound.QUERY_INTERVAL_SHARE * bound
    if now - state.freshness.queried_at >= interval:
        is_old = age > version_bound.FIRST_READ_AGE_SHARE * bound
        _query_member(state, out, ask_others=is_old)
    share = (
        version_bound.FIRST_READ_AGE_SHARE
        if member_order.is_zone_first(state)
        else version_bound.READ_AGE_SHARE
    )
    if age >= share * bound:
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
    """Schedule the next extra read after one was answered or failed.

    Evidence from the answer, if there is any, removes the pause again.
    """
    freshness_state = state.freshness
    freshness_state.extra_read_pending = False
    freshness_state.failed_reads += 1
    freshness_state.next_read_at = state.now + version_bound.pause_ms(state)


def _query_member(
    state: states.State, out: states.Effects, *, ask_others: bool
) -> None:
    """Query the parent for the age of its evidence.

    :param ask_others: query a random member every second time, since the parent may be
        partitioned too.
    """
    freshness_state = state.freshness
    freshness_state.queried_at = state.now
    freshness_state.query_count += 1
    node = member_order.parent(state)
    if node is None or (ask_others and freshness_state.query_count % 2):
        others = member_table.random_members(state, 1)
        node = others[0] if others else None
    if node is not None:
        membership.ping(state, node, out, track=True, without_updates=True)


def _is_extra_pending(state: states.State) -> bool:
    """Whether the outcome of an extra read is still to be expected."""
    freshness_state = state.freshness
    pending_ms = state.now - freshness_state.extra_read_at
    return freshness_state.extra_read_pending and pending_ms <= streams.MAX_PENDING_MS


def _read_log(state: states.State, out: states.Effects) -> None:
    stream = state.streams.get(streams.ROUTES)
    freshness_state = state.freshness
    if (
        stream is None
        or _is_extra_pending(state)
        or state.now < freshness_state.next_read_at
    ):
        return
    if not stream.caught_up:
        # Nothing was read since the start, or since the log was restored from a backup.
        streams.reread(state, streams.ROUTES)
        return
    if state.now - freshness_state.next_read_at > version_bound.bound_ms(state):
        freshness_state.failed_reads = 0
    freshness_state.extra_read_pending = True
    freshness_state.extra_read_at = state.now
    out.append(
        effects.ReadLog(
            stream=streams.ROUTES,
            offset=stream.offset,
            wait=False,
            extra=True,
            generation=stream.generation,
            timeout_ms=version_bound.read_timeout_ms(state),
        )
    )
