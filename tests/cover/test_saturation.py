"""The last slots of a backend server that slows down at saturation are left free."""

import random

from gingerturn.internal import ids
from gingerturn.internal.core import events, reducer, saturation, state as states
from tests.common import builders, routed

SLOTS = 20


def _play(slowdown: float, *, seed: int = 1) -> states.State:
    """Alternate between full and half occupancy, with a slowdown at saturation."""
    rng = random.Random(seed)
    state = routed.node_state(service="plans", slots=SLOTS)
    number = 0
    for round_ in range(60):
        level = SLOTS if round_ % 2 else SLOTS // 2
        running = []
        for taken in range(1, level + 1):
            number += 1
            reducer.reduce(state, builders.opened(number, now=state.now))
            factor = (
                slowdown if taken >= saturation.SATURATED_OCCUPANCY * SLOTS else 1.0
            )
            running.append((rng.uniform(50, 150) * factor, number))
        begun = state.now
        for elapsed, hosted in sorted(running):
            done = events.BackendAnswered(
                now=begun + elapsed, hosted=ids.HostedId(hosted), status=200
            )
            reducer.reduce(state, done)
    return state


def test_the_last_slots_are_left_free_where_they_slow_the_others() -> None:
    state = _play(1.5)
    assert saturation.usable_slots(state) == 18


def test_every_slot_is_used_where_nothing_slows_down() -> None:
    assert all(
        saturation.usable_slots(_play(1.0, seed=seed)) == SLOTS for seed in range(5)
    )


def test_the_slots_are_tried_again_later() -> None:
    state = _play(1.5)
    state.now += saturation.TRIAL_MS + 1
    assert saturation.usable_slots(state) == SLOTS


def test_calls_with_child_calls_are_not_measured() -> None:
    state = routed.node_state(service="plans", slots=SLOTS)
    state.child_kinds["plan-status"] = {("below", "x"): state.now}
    reducer.reduce(state, builders.opened(1))
    hosted = state.hosted[ids.HostedId(1)]
    hosted.occupancy = 0.5
    saturation.record_time(state, hosted, 500.0)
    assert state.backend.saturation.unsaturated == {}


def _fill(
    state: states.State, *, calls: int, occupied: int, work_ms: float, first: int
) -> None:
    """Run calls in sequence while the given number of slots is occupied."""
    for number in range(first, first + calls):
        state.backend.running = occupied - 1
        reducer.reduce(state, builders.opened(number, now=state.now))
        if state.hosted[ids.HostedId(number)].state is not states.HostedState.RUNNING:
            return
        state.now += work_ms
        done = events.BackendAnswered(
            now=state.now, hosted=ids.HostedId(number), status=200
        )
        reducer.reduce(state, done)


def test_saturation_is_detected_soon_after_overload_begins() -> None:
    # All slots are taken, so the baseline is from before the overload.
    state = routed.node_state(service="plans", slots=SLOTS)
    _fill(state, calls=60, occupied=8, work_ms=50.0, first=1)
    _fill(state, calls=saturation.MIN_SAMPLES, occupied=SLOTS, work_ms=65.0, first=100)
    assert saturation.usable_slots(state) < SLOTS


def test_slots_are_used_again_where_leaving_them_free_makes_nothing_faster() -> None:
    # The backend server became slow for another reason while it was saturated.
    state = routed.node_state(service="plans", slots=SLOTS)
    _fill(state, calls=60, occupied=8, work_ms=50.0, first=1)
    _fill(state, calls=saturation.MIN_SAMPLES, occupied=SLOTS, work_ms=200.0, first=100)
    limited = saturation.usable_slots(state)
    assert limited < SLOTS
    _fill(
        state, calls=saturation.MIN_SAMPLES, occupied=limited, work_ms=200.0, first=200
    )
    assert saturation.usable_slots(state) == SLOTS
    _fill(state, calls=saturation.MIN_SAMPLES, occupied=SLOTS, work_ms=200.0, first=300)
    assert saturation.usable_slots(state) == SLOTS


def test_the_slots_stay_free_while_that_makes_calls_faster() -> None:
    state = routed.node_state(service="plans", slots=SLOTS)
    _fill(state, calls=60, occupied=8, work_ms=50.0, first=1)
    _fill(state, calls=saturation.MIN_SAMPLES, occupied=SLOTS, work_ms=65.0, first=100)
    limited = saturation.usable_slots(state)
    _fill(
        state,
        calls=2 * saturation.MIN_SAMPLES,
        occupied=limited,
        work_ms=50.0,
        first=200,
    )
    assert saturation.usable_slots(state) == limited
