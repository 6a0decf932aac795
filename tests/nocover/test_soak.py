"""Seeded runs of the soak on real processes.

Time bounds are checked by ``make soak`` only, since a busy machine exceeds them.
"""

import pathlib

import pytest

from gingerturn_soak import run, schedule

SEEDS = {
    1: (3, 5.0),
    # Overlapping planned stops of one machine.
    2140459980: (4, 12.0),
    # SIGHUP to a node that is starting.
    835031927: (4, 12.0),
}
"""Number of machines and length in seconds of each seed that CI runs."""

CRASH_SEED = 3
"""Seed whose schedule has a request that crashes backend servers."""

REPORTED_SEED = 22
"""Seed whose schedule has backend servers that report a rate limit and leaving."""

SILENCED_SEED = 2
"""Seed whose schedule lets open connections fall silent."""

UNRELATED_SEED = 28
"""Seed whose schedule has backend servers that send answers which belong to no
request."""

DEPARTED_SEED = 3
"""Seed whose schedule has two departures beside kills of their nodes."""

LASTING_SEEDS = (19, 27)
"""Seeds whose schedules stop nodes under requests that last, twice in series and within
the first second of a start."""

ODD_SEED = 198
"""Seed whose schedule has odd entries before a start of all nodes at once."""

RESTORED_SEED = 1
"""Seed whose schedule restores the log more than once."""


@pytest.mark.parametrize("seed", SEEDS)
def test_a_seeded_schedule_has_no_violations(seed: int, tmp_path: pathlib.Path) -> None:
    machines, length_s = SEEDS[seed]
    verdict = run.play(
        seed, tmp_path, machines=machines, length_s=length_s, timing=False
    )
    assert verdict.violations == []
    assert verdict.served > 0


def test_a_request_that_crashes_backend_servers_causes_no_violations(
    tmp_path: pathlib.Path,
) -> None:
    verdict = run.play(
        CRASH_SEED, tmp_path, machines=4, length_s=5.0, timing=False, deadly=True
    )
    assert any(schedule.Kind.DEADLY.value in step for step in verdict.steps)
    assert verdict.violations == []
    assert verdict.served > 0


def test_a_restored_log_causes_no_violations(
    tmp_path: pathlib.Path,
) -> None:
    verdict = run.play(
        RESTORED_SEED, tmp_path, machines=3, length_s=5.0, timing=False, restored=True
    )
    restored = schedule.Kind.LOG_RESTORED.value
    assert sum(restored in step for step in verdict.steps) > 1
    assert verdict.violations == []
    assert verdict.served > 0


def test_reported_limits_and_leaving_cause_no_violations(
    tmp_path: pathlib.Path,
) -> None:
    verdict = run.play(
        REPORTED_SEED, tmp_path, machines=4, length_s=5.0, timing=False, reported=True
    )
    for kind in (schedule.Kind.BACKEND_LIMIT, schedule.Kind.BACKEND_LEAVING):
        assert any(kind.value in step for step in verdict.steps)
    assert verdict.violations == []
    assert verdict.served > 0


def test_connections_that_fall_silent_cause_no_violations(
    tmp_path: pathlib.Path,
) -> None:
    verdict = run.play(
        SILENCED_SEED, tmp_path, machines=3, length_s=5.0, timing=False, silenced=True
    )
    silent = schedule.Kind.CONNECTIONS_SILENT.value
    assert any(silent in step for step in verdict.steps)
    assert verdict.violations == []
    assert verdict.served > 0


# Guards against statements that a request did not run which rest on such answers.
def test_unrelated_answers_cause_no_violations(tmp_path: pathlib.Path) -> None:
    verdict = run.play(
        UNRELATED_SEED, tmp_path, machines=4, length_s=5.0, timing=False, unrelated=True
    )
    unrelated = schedule.Kind.BACKEND_UNRELATED.value
    assert any(unrelated in step for step in verdict.steps)
    assert verdict.violations == []
    assert verdict.served > 0


# Guards against entries of another writer that end readers, and so keep every node that
# starts later from getting ready.
def test_odd_entries_cause_no_violations(tmp_path: pathlib.Path) -> None:
    verdict = run.play(
        ODD_SEED, tmp_path, machines=3, length_s=4.0, timing=False, odd=True
    )
    for kind in (schedule.Kind.ODD_ENTRIES, schedule.Kind.POWER_LOSS):
        assert any(kind.value in step for step in verdict.steps)
    assert verdict.violations == []
    assert verdict.served > 0


# Guards against a node that forgets at its restart that its backend server has left.
def test_departures_beside_kills_cause_no_violations(tmp_path: pathlib.Path) -> None:
    verdict = run.play(
        DEPARTED_SEED, tmp_path, machines=4, length_s=5.0, timing=False, departed=True
    )
    departure = schedule.Kind.BACKEND_DEPARTURE.value
    assert sum(departure in step for step in verdict.steps) > 1
    assert verdict.violations == []
    assert verdict.served > 0


# Guards against stops that cut answers and uploads, and starts that end at once.
@pytest.mark.parametrize("seed", LASTING_SEEDS)
def test_planned_steps_under_requests_that_last_cause_no_violations(
    seed: int, tmp_path: pathlib.Path
) -> None:
    verdict = run.play(
        seed, tmp_path, machines=4, length_s=6.0, timing=False, lasts=True, calm=True
    )
    assert any(schedule.Kind.NODE_STOP.value in step for step in verdict.steps)
    assert verdict.violations == []
    assert verdict.served > 0
