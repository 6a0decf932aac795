"""The operators' bound on repeats, over every window of a load that comes and goes.

The pattern: load changes by sixty times within seconds while upstreams turn away none,
a part or all of what comes. The bound counts the first attempts of the window, of the
one before it, or of the one half a window before it, whichever has most.
"""

import bisect
import random
import typing

import pytest

from gingerturn.internal.core import allowance, decisions, effects, reducer
from tests.common import builders, routed

WINDOW_MS = 10_000.0
SLACK = 49.0
RATIO = 0.2
STEP_MS = 250.0


class Phase(typing.NamedTuple):
    """Load for a while, and the share of it that upstreams turn away."""

    a_second: int
    lasts_ms: float
    turned_away: float


def _within(times: list[float], begin: float, end: float) -> int:
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, begin)


def _fullest_window(firsts: list[float], repeats: list[float], part: float) -> float:
    """Return the most that any window has of what it may have."""
    most = 0.0
    begin = builders.START
    while begin < firsts[-1]:
        end = begin + WINDOW_MS
        half = WINDOW_MS / 2
        counted = max(
            _within(firsts, begin, end),
            _within(firsts, begin - WINDOW_MS, begin),
            _within(firsts, begin - half, begin + half),
        )
        allowed = RATIO * counted + part
        most = max(most, _within(repeats, begin, end) / allowed)
        begin += STEP_MS
    return most


def _drawn(seed: int) -> list[Phase]:
    drawn = random.Random(seed)
    return [
        Phase(
            a_second=drawn.choice([5, 50, 300]),
            lasts_ms=drawn.uniform(1_000.0, 14_000.0),
            turned_away=drawn.choice([0.0, 0.0, 0.3, 0.6, 1.0]),
        )
        for _ in range(drawn.randint(2, 6))
    ]


def _play(phases: list[Phase], *, others: int = 3) -> float:
    """Play phases of load; return the most of its part that one node uses."""
    drawn = random.Random(1)
    bound = allowance.Bound(SLACK, RATIO, WINDOW_MS)
    state = routed.node_state(routed.route(max_attempts=4), retry_bound=bound)
    builders.add_members(
        state, *(builders.member(f"m{n}", "plans") for n in range(others))
    )
    firsts: list[float] = []
    repeats: list[float] = []
    now = builders.START
    for phase in phases:
        end = now + phase.lasts_ms
        while now < end:
            now += drawn.expovariate(phase.a_second / 1000.0)
            firsts.append(now)
            out = reducer.reduce(state, routed.arrived(len(firsts), now=now))
            opened = builders.all_of(out, effects.OpenAttempt)
            while opened:
                attempt = opened[0].attempt
                if drawn.random() >= phase.turned_away:
                    reducer.reduce(state, builders.answered(attempt, now=now))
                    break
                refusal = routed.refused(
                    attempt,
                    rule=decisions.Rule.BACKEND_REFUSED,
                    arrived_there=True,
                    room=True,
                    now=now,
                )
                opened = builders.all_of(
                    reducer.reduce(state, refusal), effects.OpenAttempt
                )
                repeats += [now] * len(opened)
    return _fullest_window(firsts, repeats, SLACK / (others + 1))


SAVED_UP_THEN_SPENT = [Phase(300, 12_000.0, 0.0), Phase(300, 10_000.0, 1.0)]


@pytest.mark.parametrize("others", [1, 14])
@pytest.mark.parametrize("seed", range(6))
def test_no_window_has_more_repeats_than_a_nodes_part(seed: int, others: int) -> None:
    assert _play(_drawn(seed), others=others) <= 1.0


def test_what_was_saved_up_is_spent_within_the_bound() -> None:
    # Most of it: what is left unused are repeats that requests might have had.
    assert 0.7 < _play(SAVED_UP_THEN_SPENT) <= 1.0


def test_the_bound_check_fails_with_full_earned_and_burst_shares(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(allowance, "EARNED_SHARE", 1.0)
    monkeypatch.setattr(allowance, "BURST_SHARE", 1.0)
    assert _play(SAVED_UP_THEN_SPENT) > 1.0
