"""The timer service: parts subscribe to it and are run when they are due.

The shell ticks every :data:`TICK_MS`; nothing else in the core looks at a clock.
"""

import collections.abc

from gingerturn.internal import ids
from gingerturn.internal.core import state as states

TICK_MS = 10.0
"""A deadline is seen at most 10 ms late. Finer ticks cost processor time that
the control bound does not have: one tick of an idle node takes about 10 us, so
100 a second cost 0.1 % of a core."""

Handler = collections.abc.Callable[
    [states.State, ids.Milliseconds, states.Effects], None
]


def subscribe(
    state: states.State, *, name: str, period: ids.Milliseconds, now: ids.Milliseconds
) -> None:
    """Subscribe a part; its first turn is spread over one period, so that nodes
    that start together do not act together."""
    first = now + period * state.random.random()
    state.timers.append(states.Timer(name=name, period=period, due=first))


def run_due(
    state: states.State,
    now: ids.Milliseconds,
    handlers: dict[str, Handler],
    out: states.Effects,
) -> None:
    """Run every part that is due.

    A part that missed turns, since the process was paused, runs once: catching up
    turn by turn would be a burst of work at the worst moment.
    """
    for timer in state.timers:
        if now < timer.due:
            continue
        missed = (now - timer.due) // timer.period
        timer.due += (missed + 1) * timer.period
        handlers[timer.name](state, now, out)
