"""Ends of planned stops that meet an obstacle, and their time limit."""

import json
import os
import pathlib
import subprocess
import sys
import time
import typing

import pytest

from gingerturn.internal.core import trace
from gingerturn_standins import processes
from tests.common import stopping_process

GRACE_S = stopping_process.DRAIN_TIMEOUT_MS / 1000.0 + 0.5
"""Time from the signal to SIGKILL: half a second beyond the drain timeout."""

EXIT_CLEAN = 0
EXIT_DRAIN_CUT = 3

Line = dict[str, typing.Any]


def _stop(
    obstacle: str, *, record: pathlib.Path | None = None
) -> tuple[int, float, list[Line]]:
    """Return the status of a process that stops, the time from the signal to its end,
    and its lines."""
    environment = {**os.environ}
    environment["PYTHONPATH"] = os.pathsep.join(
        str(processes.ROOT / part) for part in ("src", "tooling", ".")
    )
    if record is not None:
        environment["GINGERTURN_RECORD"] = str(record)
    ports = map(str, processes.free_ports(4))
    module = "tests.common.stopping_process"
    with subprocess.Popen(
        [sys.executable, "-m", module, obstacle, *ports],
        cwd=processes.ROOT,
        env=environment,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout is not None
        signalled_at = 0.0
        lines: list[Line] = []
        try:
            while not signalled_at:
                lines.append(json.loads(process.stdout.readline()))
                signalled_at = lines[-1].get("at", 0.0)
            process.wait(signalled_at + 2.0 * GRACE_S - time.time())
        except subprocess.TimeoutExpired:
            process.kill()
        ended_at = time.time()
        lines += [json.loads(line) for line in process.stdout]
    return process.returncode, ended_at - signalled_at, lines


def _says(lines: list[Line], *texts: str) -> bool:
    return any(all(text in line["text"] for text in texts) for line in lines)


# Guards against a process that is killed at the end of its grace, since its stop counts
# from the turn of the event loop that handled the signal.
def test_a_stop_ends_in_time_where_the_loop_was_blocked_at_the_signal() -> None:
    status, lasted_s, lines = _stop("blocked")
    assert status == EXIT_DRAIN_CUT, lines
    assert lasted_s < GRACE_S
    assert _says(lines, "Stopped early")


# Guards against an end that waits for a task or a service without a limit, until the
# process is killed: nothing was cut, so the status says so.
@pytest.mark.parametrize(
    ("obstacle", "named"),
    [("log", "log service"), ("task", "stubborn"), ("other task", "")],
)
def test_what_does_not_end_is_left(obstacle: str, named: str) -> None:
    status, lasted_s, lines = _stop(obstacle)
    assert status == EXIT_CLEAN, lines
    assert lasted_s < GRACE_S
    assert _says(lines, "Stopped; no call was cut")
    if named:
        assert _says(lines, "Closed without waiting for 1 tasks", named)


# Guards against a process that is killed without a line, and loses its recording.
def test_a_blocked_event_loop_does_not_outlast_the_grace(
    tmp_path: pathlib.Path,
) -> None:
    record = tmp_path / "record"
    status, lasted_s, lines = _stop("busy", record=record)
    assert status == EXIT_DRAIN_CUT, lines
    assert lasted_s < GRACE_S
    assert _says(lines, "Ended at the limit of its stop")
    assert "daemon.run" in lines[-1]["trace"] or "runner.run" in lines[-1]["trace"]
    with record.open("rb") as file:
        assert list(trace.read(file))
