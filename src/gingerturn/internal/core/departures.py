"""Departures of backend servers beside this node, which are to outlast the node.

A late announcement of an instance that has left looks like a new start to a node that
has restarted. Therefore the other members keep the latest departures with their entry
of the node, and the log keeps them under a key of the node. After its start a node
holds announcements until it has asked both.
"""

import math

from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    instances,
    member_table,
    membership,
    messages,
    operator_log,
    state as states,
    streams,
)

PART = "departure"
"""Prefix of the keys of departures on the log."""

HOLD_MS = 1_500.0
"""Longest time after a start for which announcements are held. A node that can ask
nobody takes them as they are."""

MAX_HELD = 8
"""Announcements that are held; of more, the latest ones are."""

PUT_RETRY_MS = 1_000.0

RETENTION_MS = 600_000.0
"""Age at which departures are deleted from the log, longer than any announcement is
late."""

MAX_DELETIONS = 4
"""Outdated records that a node deletes when it lists the members, which bounds the
writes of nodes that start together."""


def record(
    state: states.State, instance: str, started_ms: int, out: states.Effects
) -> bool:
    """Record that a start of a backend server has left; :func:`save` follows.

    :param started_ms: start time of the instance; 0 if not reported.
    :return: whether it was not known.
    """
    is_known = instances.has_departed(state, instance, started_ms)
    instances.record_departure(state, instance, started_ms)
    if is_known or not instance:
        return False
    kept = state.departures
    departed_ms = state.backend.departed_instances[instance]
    others = [start for start in kept.starts if start.instance != instance]
    starts = (*others, messages.DepartedStart(instance, departed_ms))
    kept.starts = starts[-messages.MAX_DEPARTED :]
    kept.at = state.now
    kept.is_unsaved = state.keyed_log
    membership.update_self(state, out, departed=kept.starts, urgent=False)
    return True


def save(state: states.State, out: states.Effects) -> None:
    """Put the departures on the log, once for all that an event recorded."""
    state.departures.is_unsaved = False
    _put(state, out)


def on_listed(state: states.State, found: messages.DepartureRecord) -> None:
    """Note that the log has the departures in a record of this node."""
    kept = state.departures
    kept.is_unsaved &= not set(kept.starts) <= set(found.departed)


def is_saving(state: states.State, instance: str) -> bool:
    """Whether the departure of an instance is being put on the log."""
    is_kept = any(start.instance == instance for start in state.departures.starts)
    return is_kept and state.departures.put_number > 0


def on_put_ended(
    state: states.State, put: int, out: states.Effects, *, done: bool
) -> None:
    """Handle the result of putting the departures."""
    kept = state.departures
    if put != kept.put_number:
        return
    kept.put_number = 0
    pause = PUT_RETRY_MS * (1.0 + state.random.random())
    kept.retry_at = math.inf if done else state.now + pause
    out.append(effects.DeparturesSaved())


def check(state: states.State, now: ids.Milliseconds, out: states.Effects) -> None:
    """Put departures again that are not on the log yet."""
    kept = state.departures
    if now >= kept.retry_at and now - kept.at < RETENTION_MS:
        _put(state, out)


def told_by(
    state: states.State, message: messages.Gossip
) -> tuple[messages.DepartedStart, ...]:
    """Return the departures that a member keeps for this node."""
    for member in message.members:
        if member.node == state.node:
            return member.departed
    return ()


def is_news(state: states.State, start: messages.DepartedStart) -> bool:
    """Whether neither this departure nor a later start of its instance is known."""
    instance, started_ms = start.instance, start.started_ms
    if instances.has_departed(state, instance, started_ms):
        return False
    return not instances.is_of_earlier_start(state.backend, instance, started_ms)


def delete_outdated(
    state: states.State,
    records: list[messages.DepartureRecord],
    out: states.Effects,
) -> None:
    """Delete old departures from the log, as some of their nodes never start again."""
    outdated = [r for r in records if state.now - r.at > RETENTION_MS]
    for found in outdated[:MAX_DELETIONS]:
        out.append(
            effects.PutRecord(
                put=state.next_number(),
                stream=streams.MEMBERS,
                key=_key(found.node),
                record=b"",
            )
        )


def holds(state: states.State, event: events.BackendAnnounced) -> bool:
    """Hold an announcement that arrives before earlier departures are known.

    :return: whether it is held.
    """
    if not event.instance or _are_known(state):
        return False
    kept = state.departures
    kept.held_count += 1
    kept.held.append(event)
    del kept.held[:-MAX_HELD]
    return True


def take_held(state: states.State) -> list[events.BackendAnnounced]:
    """Return the announcements that need not be held any longer."""
    if not _are_known(state):
        return []
    held, state.departures.held = state.departures.held, []
    return held


def _are_known(state: states.State) -> bool:
    """Whether the log and a member were asked for earlier departures, or need not be
    waited for."""
    if not state.keyed_log or state.now - state.started_at >= HOLD_MS:
        return True
    view = state.membership
    stream = state.streams.get(streams.MEMBERS)
    is_unreadable = stream is not None and stream.failures > 0
    if not view.members_listed and not is_unreadable:
        return False
    if view.synced:
        return True
    is_alone = not view.uncontacted and not member_table.reachable(state)
    return view.members_listed and is_alone


def report_outdated(
    state: states.State, event: events.BackendAnnounced, out: states.Effects
) -> None:
    """Count an announcement that is ignored, and log one of a start that has left."""
    state.departures.outdated_count += 1
    if instances.has_departed(state, event.instance, event.started_ms):
        name = f"Announcement {event.sequence} of {event.instance}"
        operator_log.info(out, "backend", f"{name} ignored: it has left.")


def _put(state: states.State, out: states.Effects) -> None:
    kept = state.departures
    kept.put_number = state.next_number()
    kept.retry_at = math.inf
    found = messages.DepartureRecord(node=state.node, departed=kept.starts, at=kept.at)
    out.append(
        effects.PutRecord(
            put=kept.put_number,
            stream=streams.MEMBERS,
            key=_key(state.node),
            record=messages.encode_record(found),
        )
    )


def _key(node: str) -> str:
    return f"{PART}/{node}"
