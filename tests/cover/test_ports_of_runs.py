"""Ports that concurrent runs of real processes draw."""

import subprocess
import sys

import pytest

from gingerturn_standins import processes

DRAW = (
    "import sys; from gingerturn_standins import processes;"
    "print(processes.free_ports(200), flush=True); sys.stdin.read()"
)


# Guards against runs that start at the same moment and take each other's ports.
def test_concurrent_processes_draw_different_ports() -> None:
    path = f"{processes.ROOT / 'src'}:{processes.ROOT / 'tooling'}"
    started = [
        subprocess.Popen(
            [sys.executable, "-c", DRAW],
            env={"PYTHONPATH": path},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(16)
    ]
    drawn: list[int] = []
    for process in started:
        assert process.stdout is not None
        drawn += [
            int(port) for port in process.stdout.readline().strip("[]\n").split(",")
        ]
    for process in started:
        process.communicate()
    assert len(drawn) == 16 * 200
    assert len(set(drawn)) == len(drawn)


def test_a_port_is_drawn_again_only_after_the_others() -> None:
    drawn = processes.free_ports(200)
    assert len(set(drawn)) == len(drawn)


# Guards against a port that two nodes of a run get, as the last ones of a block are
# still in use after a run that ended shortly before.
def test_another_block_is_taken_before_a_port_is_drawn_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ports = processes._Ports()
    drawn = [ports.draw()]
    half = set(ports._ports[2::2])
    monkeypatch.setattr(processes, "is_free", lambda port: port not in half)
    drawn += [ports.draw() for _ in range(2 * len(half))]
    assert len(set(drawn)) == len(drawn)
    assert not half & set(drawn)
