"""Retry delays of refused calls.

Guards against delays after which a call is refused again, or is answered too late for
its latency target.
"""

from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    ranks,
    reducer,
    retry_delay,
    routing,
    state as states,
)
from tests.common import builders, routed

TARGET_MS = 500.0
FULL = ranks.HIGHEST


def _entry(*, level: int) -> states.State:
    """Return an entry node whose one upstream sheds what ranks below a level."""
    state = routed.node_state(routed.route(max_attempts=1))
    builders.add_members(state, builders.member("n2", "plans"))
    sent = routed.sent_to(reducer.reduce(state, routed.arrived(1)))
    reducer.reduce(state, builders.answered(sent.attempt, level=level, now=state.now))
    return state


def _report_level(state: states.State, level: int, *, after_ms: float) -> None:
    state.now += after_ms
    report = builders.report(level=ids.Rank(level))
    routing.on_load_report(state, ids.NodeId("n2"), "lookup", report)


def _refused(state: states.State, call: int) -> float:
    out = reducer.reduce(state, routed.arrived(call, now=state.now))
    return builders.only(out, effects.RefuseCall).retry_after_ms


def test_a_steady_overload_gives_a_delay_within_the_latency_target() -> None:
    state = _entry(level=FULL)
    state.mean_answer_ms["lookup"] = 100.0
    for call in range(10, 60):
        delay = _refused(state, call)
        answer_ms = retry_delay.ANSWER_TIME_MARGIN * 100.0
        assert TARGET_MS / 2 < delay <= TARGET_MS - answer_ms


def test_longer_answer_times_shorten_the_delay() -> None:
    delays = []
    for answer_ms in (20.0, 200.0):
        state = _entry(level=FULL)
        state.mean_answer_ms["lookup"] = answer_ms
        delays.append(sum(_refused(state, call) for call in range(10, 40)) / 30)
    assert delays[0] > delays[1] + 100.0


def test_a_falling_level_gives_the_time_until_it_passes_the_rank() -> None:
    state = _entry(level=FULL)
    state.mean_answer_ms["lookup"] = 10.0
    _refused(state, 10)
    # The level falls by 4,000 per ms.
    _report_level(state, FULL - 4_000 * 300, after_ms=300.0)
    level = FULL - 4_000 * 300
    for call in range(11, 30):
        out = reducer.reduce(state, routed.arrived(call, now=state.now))
        refusals = builders.all_of(out, effects.RefuseCall)
        if not refusals:
            continue
        rank = next(line for line in builders.all_of(out, effects.LogDecision)).figures
        admitted_in_ms = max(retry_delay.MIN_DELAY_MS, (level - rank[2]) / 4_000)
        assert (
            refusals[0].retry_after_ms <= admitted_in_ms * (1 + retry_delay.JITTER) + 1
        )


def test_the_delay_is_never_below_the_minimum() -> None:
    state = _entry(level=FULL)
    state.mean_answer_ms["lookup"] = 1_000.0
    for call in range(10, 40):
        assert _refused(state, call) >= retry_delay.MIN_DELAY_MS


def test_delays_of_simultaneous_refusals_are_spread() -> None:
    state = _entry(level=FULL)
    delays = [_refused(state, call) for call in range(10, 60)]
    assert max(delays) - min(delays) > 0.1 * min(delays)
    assert len(set(delays)) > 40


def test_the_mean_answer_time_follows_the_answers() -> None:
    state = _entry(level=0)
    for call in range(10, 200):
        sent = routed.sent_to(reducer.reduce(state, routed.arrived(call)))
        later = state.now + 80.0
        reducer.reduce(state, builders.answered(sent.attempt, now=later))
        state.now = later - 80.0
    assert 60.0 < state.mean_answer_ms["lookup"] <= 80.0
