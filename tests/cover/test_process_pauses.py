"""Pauses of a process or its machine.

Guards against a pause that makes a node suspect other members, and against callers'
deadlines that do not expire while a virtual machine is suspended.
"""

import time

import pytest

from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    membership,
    pause_detection,
    reducer,
    state as states,
    timers,
)
from gingerturn.internal.shell import clock
from tests.common import builders, routed

SUSPENDED_MS = 8_000.0


def test_time_goes_on_while_the_machine_is_suspended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    before = clock.now()
    real = time.clock_gettime
    suspended_s = SUSPENDED_MS / 1000.0

    def clock_gettime(which: int) -> float:
        return real(which) + (suspended_s if which == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(time, "clock_gettime", clock_gettime)
    assert clock.now() - before >= SUSPENDED_MS


def test_a_wall_clock_step_does_not_affect_the_clock(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    before = clock.now()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert 0.0 <= clock.now() - before < SUSPENDED_MS


def _probing() -> states.State:
    """Return a node that has just probed a member."""
    state = routed.node_state(routed.route(timeout_ms=5_000))
    builders.add_members(
        state, builders.member("n2", "plans"), builders.member("n3", "plans")
    )
    while not state.membership.probes:
        builders.advance(state, 10.0)
    return state


def _pause(state: states.State) -> list[effects.Effect]:
    return reducer.reduce(state, events.Tick(now=state.now + SUSPENDED_MS))


def test_a_node_suspects_no_member_because_of_its_own_pause() -> None:
    state = _probing()
    _pause(state)
    assert not state.membership.suspected
    builders.advance(state, membership.SUSPECT_AFTER_MS + timers.GRID_MS)
    assert state.membership.suspected


def test_a_member_suspected_before_a_pause_is_not_declared_gone() -> None:
    state = _probing()
    builders.advance(state, membership.SUSPECT_AFTER_MS + timers.GRID_MS)
    suspected = set(state.membership.suspected)
    _pause(state)
    assert suspected
    assert not suspected & set(state.membership.gone)


def test_deadlines_of_callers_expire_during_a_pause() -> None:
    state = _probing()
    reducer.reduce(state, routed.arrived(1, now=state.now))
    out = _pause(state)
    assert builders.only(out, effects.RefuseCall).status == 504


def test_the_backend_server_is_still_present_after_a_pause() -> None:
    state = routed.node_state(service="plans")
    builders.advance(state, 5_000.0)
    _pause(state)
    assert state.backend.present
    builders.advance(state, 5_000.0 + 2 * timers.GRID_MS)
    assert not state.backend.present


def test_a_late_tick_of_a_busy_node_is_no_pause() -> None:
    state = _probing()
    late = state.now + pause_detection.PAUSE_THRESHOLD_MS - 1.0
    out = reducer.reduce(state, events.Tick(now=late))
    lines = builders.all_of(out, effects.WriteLog)
    assert not any("paused" in line.text for line in lines)
    assert ids.Milliseconds(late) == state.last_tick_at
