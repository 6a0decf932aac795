"""A backend server that slows down when nearly full keeps its last slots free."""

import random

from gingerturn.internal import ids
from gingerturn.internal.core import events, knee, reducer, state as states
from tests.common import builders, routed

SLOTS = 20


def _play(slowdown: float, *, seed: int = 1) -> states.State:
    """Keep the backend server now full, now half empty, with such a slowdown."""
    rng = random.Random(seed)
    state = routed.node_state(service="plans", slots=SLOTS)
    number = 0
    for round_ in range(60):
        level = SLOTS if round_ % 2 else SLOTS // 2
        running = []
        for taken in range(1, level + 1):
            number += 1
            reducer.reduce(state, builders.opened(number, now=state.now))
            factor = slowdown if taken >= knee.NEARLY_FULL * SLOTS else 1.0
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
    assert knee.usable_slots(state) == 18


def test_every_slot_is_used_where_nothing_slows_down() -> None:
    assert all(knee.usable_slots(_play(1.0, seed=seed)) == SLOTS for seed in range(5))


def test_the_slots_are_tried_again_later() -> None:
    state = _play(1.5)
    state.now += knee.HOLD_MS + 1
    assert knee.usable_slots(state) == SLOTS


def test_calls_that_call_others_tell_nothing() -> None:
    state = routed.node_state(service="plans", slots=SLOTS)
    state.children_of["plan-status"] = {("below", "x"): state.now}
    reducer.reduce(state, builders.opened(1))
    hosted = state.hosted[ids.HostedId(1)]
    hosted.occupancy = 1.0
    knee.note(state, hosted, 500.0, 100.0)
    assert state.backend.knee.full_count == 0
