"""The operators' bound on retries, in every window of a varying load.

Load changes by a factor of up to sixty while upstreams refuse none, a part or all of
the calls. The bound counts the first attempts of the window, of the one before it, or
of the one half a window before it, whichever has most.
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
    """Load for a time, and the share of it that upstreams refuse."""

    calls_per_second: int
    duration_ms: float
    refused_share: float


def _within(times: list[float], begin: float, end: float) -> int:
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, begin)


def _fullest_window(firsts: list[float], repeats: list[float], part: float) -> float:
    """Return the highest ratio, over all windows, of retries to allowed retries."""
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


def _random_phases(seed: int) -> list[Phase]:
    rng = random.Random(seed)
    return [
        Phase(
            calls_per_second=rng.choice([5, 50, 300]),
            duration_ms=rng.uniform(1_000.0, 14_000.0),
            refused_share=rng.choice([0.0, 0.0, 0.3, 0.6, 1.0]),
        )
        for _ in range(rng.randint(2, 6))
    ]


def _play(phases: list[Phase], *, others: int = 3) -> float:
    """Play phases of load; return the highest used ratio of one node's part."""
    rng = random.Random(1)
    bound = allowance.Bound(SLACK, RATIO, WINDOW_MS)
    state = routed.node_state(routed.route(max_attempts=4), retry_bound=bound)
    builders.add_members(
        state, *(builders.member(f"m{n}", "plans") for n in range(others))
    )
    firsts: list[float] = []
    repeats: list[float] = []
    now = builders.START
    for phase in phases:
        end = now + phase.duration_ms
        while now < end:
            now += rng.expovariate(phase.calls_per_second / 1000.0)
            firsts.append(now)
            out = reducer.reduce(state, routed.arrived(len(firsts), now=now))
            opened = builders.all_of(out, effects.OpenAttempt)
            while opened:
                attempt = opened[0].attempt
                if rng.random() >= phase.refused_share:
                    reducer.reduce(state, builders.answered(attempt, now=now))
                    break
                refusal = routed.refused(
                    attempt,
                    rule=decisions.Rule.BACKEND_REFUSED,
                    reached_backend=True,
                    had_free_slots=True,
                    now=now,
                )
                opened = builders.all_of(
                    reducer.reduce(state, refusal), effects.OpenAttempt
                )
                repeats += [now] * len(opened)
    return _fullest_window(firsts, repeats, SLACK / (others + 1))


SAVED_THEN_SPENT = [Phase(300, 12_000.0, 0.0), Phase(300, 10_000.0, 1.0)]


@pytest.mark.parametrize("others", [1, 14])
@pytest.mark.parametrize("seed", range(6))
def test_no_window_has_more_repeats_than_a_nodes_part(seed: int, others: int) -> None:
    assert _play(_random_phases(seed), others=others) <= 1.0


def test_what_was_saved_up_is_spent_within_the_bound() -> None:
    # A low value would mean that a part of the allowed retries remains unused.
    assert 0.7 < _play(SAVED_THEN_SPENT) <= 1.0


def test_the_bound_check_fails_with_full_earned_and_burst_shares(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(allowance, "EARNED_SHARE", 1.0)
    monkeypatch.setattr(allowance, "BURST_SHARE", 1.0)
    assert _play(SAVED_THEN_SPENT) > 1.0
