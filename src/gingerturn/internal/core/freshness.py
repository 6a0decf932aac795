"""How long ago the route table in force was certainly the newest.

A key that was taken away may be used no longer than the operators allow, also at a
node that nobody can reach. So a node lets requests with keys in only while it has
evidence, young enough, that its table was the newest: a read of its own that reached
the end of the log, or a member's word with its age.

Each piece of evidence is dated by when this node asked for it. An answer was given
after that, however long it lay in a socket, a frozen process or a suspended machine; a
word that comes unasked proves nothing, as it may have been under way for any time.

A log that was restored from a backup may lack the latest tables until operators have
published them again, so its end proves something only once it has shown one as late as
any that this node or a member knows.

How it is renewed: :mod:`.freshness_renewal`.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import messages, state as states

MARGIN_MS = 1_000.0
"""A node lets nothing more in this long before the time that operators allow: what was
let in may wait in queues, and clocks of instances run at slightly different rates."""


def allowed_ms(state: states.State) -> ids.Milliseconds:
    """Return how old the evidence may be; 0 where operators set no bound."""
    return max(0.0, state.freshness.revoke_ms - MARGIN_MS)


def is_bounded(state: states.State) -> bool:
    """Tell whether keys that are taken away must cease to work within some time."""
    index = state.routes
    return state.freshness.revoke_ms > 0 and (index is None or index.needs_keys)


def age(state: states.State) -> ids.Milliseconds:
    """Return how long ago the table in force was certainly the newest."""
    return state.now - state.freshness.verified_at


def is_stale(state: states.State) -> bool:
    """Tell whether keys may have been taken away for longer than is allowed."""
    return is_bounded(state) and age(state) > allowed_ms(state)


def on_read(
    state: states.State, asked: ids.Milliseconds, *, held_ms: ids.Milliseconds = 0.0
) -> None:
    """Take in that a read of the log reached its end; it proves nothing while the log
    lacks the latest table that is known.

    :param asked: when the read began.
    :param held_ms: for how long the log surely held it open, without news.
    """
    present = 0 if state.routes is None else state.routes.version
    if state.freshness.highest_log_version >= max(
        present, state.highest_routes_version
    ):
        _prove(state, asked + held_ms)


def on_table(state: states.State, version: int) -> None:
    """Take in that the log holds a table."""
    known = state.freshness
    known.highest_log_version = max(known.highest_log_version, version)


def on_log_restored(state: states.State) -> None:
    """Take in that the log may have lost tables that it held."""
    state.freshness.highest_log_version = 0


def on_peer_age(
    state: states.State, asked: ids.Milliseconds, message: messages.Gossip
) -> None:
    """Take in a member's answer: the version that was the newest, and its age."""
    present = 0 if state.routes is None else state.routes.version
    if message.verified_age_ms >= 0 and message.route_version <= present:
        _prove(state, asked - message.verified_age_ms)


def advertised_age_ms(state: states.State) -> ids.Milliseconds:
    """Return the age that this node tells others, -1 where it has no evidence."""
    if state.routes is None or not state.freshness.verified_at:
        return -1.0
    return max(0.0, age(state))


def _prove(state: states.State, at: ids.Milliseconds) -> None:
    state.freshness.verified_at = max(state.freshness.verified_at, min(at, state.now))
