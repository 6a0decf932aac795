"""The timer service: parts subscribe to it and run when they are due.

The shell ticks when the next part, deadline or read of a stream is due
(:func:`.reducer.next_tick`); nothing else in the core reads a clock.
"""

import collections.abc
import contextlib
import math

from gingerturn.internal import ids
from gingerturn.internal.core import state as states

TICK_MS = 10.0
"""Minimum interval between two ticks; a deadline is handled at most this late. Ticks
are not periodic at this interval, since that costs 1.5 % of a core on an idle node."""

GRID_MS = 100.0
"""All parts of a node share one phase and have periods that are multiples of this, so
one tick serves several parts. The phase differs between nodes."""

Handler = collections.abc.Callable[
    [states.State, ids.Milliseconds, states.Effects], None
]


def subscribe(
    state: states.State, *, name: str, period: ids.Milliseconds, now: ids.Milliseconds
) -> None:
    """Subscribe a part. Its first run is spread over one period, so that nodes that
    start together do not act together.
    """
    if not state.timers:
        state.timer_phase = now + GRID_MS * state.random.random()
    steps = state.random.randrange(max(1, int(period / GRID_MS)))
    first = state.timer_phase + GRID_MS * steps
    state.timers.append(states.Timer(name=name, period=period, due=first))


def next_due(state: states.State) -> ids.Milliseconds:
    """Return when the next part is due."""
    return min((timer.due for timer in state.timers), default=math.inf)


def run_due(
    state: states.State,
    now: ids.Milliseconds,
    handlers: dict[str, Handler],
    out: states.Effects,
    failed: list[Exception],
) -> None:
    """Run every part that is due.

    :param failed: errors of parts are appended to it, and the other parts run.

    A part that missed runs because the process was paused runs once: catching up would
    be a burst of work under overload.
    """
    for timer in state.timers:
        if now < timer.due:
            continue
        missed = (now - timer.due) // timer.period
        timer.due += (missed + 1) * timer.period
        with collected(failed):
            handlers[timer.name](state, now, out)


@contextlib.contextmanager
def collected(failed: list[Exception]) -> collections.abc.Iterator[None]:
    """Append an error of the block to a list."""
    try:
        yield
    except Exception as error:
        failed.append(error)
