"""Readiness of a node to serve callers."""

import enum

from gingerturn.internal.core import member_table, state as states, streams


class Unready(enum.Enum):
    """Why a node does not serve callers."""

    STOPPING = "stopping"
    NO_CONFIGURATION = "no_configuration"
    MEMBERS_NOT_LISTED = "members_not_listed"


_STREAMS = {
    Unready.NO_CONFIGURATION: streams.ROUTES,
    Unready.MEMBERS_NOT_LISTED: streams.MEMBERS,
}
"""The stream whose read ends the state."""


def unready(state: states.State) -> Unready | None:
    """Return why new callers may not be sent to this node; ``None`` if they may."""
    if state.stopping:
        return Unready.STOPPING
    if state.routed and state.routes is None:
        return Unready.NO_CONFIGURATION
    if state.keyed_log and not _knows_members(state):
        return Unready.MEMBERS_NOT_LISTED
    return None


def is_ready(state: states.State) -> bool:
    """Whether new callers may be sent to this node."""
    return unready(state) is None


def description(state: states.State, reason: Unready) -> str:
    """Return the reason as a sentence, with the state of the stream behind it."""
    name = _STREAMS.get(reason)
    if name is None:
        return f"{reason.value}."
    stream = state.streams.get(name)
    if stream is None:
        return f"{reason.value}; stream {name} is not read yet."
    if stream.read_pending:
        pending_ms = streams.pending_ms(state, name)
        return f"{reason.value}; stream {name} is being read for {pending_ms:.0f} ms."
    failures = streams.consecutive_failures(stream)
    if stream.incomplete:
        return f"{reason.value}; stream {name} is read in part only, {failures} tries."
    return f"{reason.value}; stream {name} could not be read, {failures} tries."


def _knows_members(state: states.State) -> bool:
    """Whether the members were read from the log, or sent by one of them."""
    view = state.membership
    return view.members_listed or (view.synced and bool(member_table.reachable(state)))
