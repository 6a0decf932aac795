"""Seeded runs of the soak on real processes: what must hold on any machine.

The bounds on time are for runs by hand (``make soak``): a machine that is busy with
something else would break them here.
"""

import pathlib

import pytest

from gingerturn_soak import run, schedule

SEEDS = {
    # The first that was played.
    1: (3, 5.0),
    # Two planned stops of one machine overlapped, and the second one ended the first
    # at once. What CI can hold of it on any machine; the rest is
    # test_a_second_planned_stop_does_not_end_the_first.
    2140459980: (4, 12.0),
    # SIGHUP ended a node that was starting anew, so a quarter of the requests found
    # none; test_sighup_does_not_end_a_node_that_is_starting.
    835031927: (4, 12.0),
}
"""Seeds that CI plays, with machines and seconds: one for a start, and each that ever
broke a promise, with a line on the cause."""

DEADLY_SEED = 3
"""The first whose schedule has a request that ends backend servers. Three of its ends
were told without it: calls that broke while the backend server was down took its place;
test_calls_that_break_after_a_crash_do_not_hide_its_cause."""

RESTORED_SEED = 1
"""The first whose schedule lets the log be restored more than once."""


@pytest.mark.parametrize("seed", SEEDS)
def test_the_promises_hold_under_a_seeded_schedule(
    seed: int, tmp_path: pathlib.Path
) -> None:
    machines, length_s = SEEDS[seed]
    verdict = run.play(
        seed, tmp_path, machines=machines, length_s=length_s, timing=False
    )
    assert verdict.violations == []
    assert verdict.served > 0


def test_a_deadly_request_of_a_seeded_schedule_breaks_no_promise(
    tmp_path: pathlib.Path,
) -> None:
    verdict = run.play(
        DEADLY_SEED, tmp_path, machines=4, length_s=5.0, timing=False, deadly=True
    )
    assert any(schedule.Kind.DEADLY.value in step for step in verdict.steps)
    assert verdict.violations == []
    assert verdict.served > 0


def test_a_log_that_is_restored_breaks_no_promise(
    tmp_path: pathlib.Path,
) -> None:
    verdict = run.play(
        RESTORED_SEED, tmp_path, machines=3, length_s=5.0, timing=False, restored=True
    )
    restored = schedule.Kind.LOG_RESTORED.value
    assert sum(restored in step for step in verdict.steps) > 1
    assert verdict.violations == []
    assert verdict.served > 0
