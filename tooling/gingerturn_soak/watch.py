"""The lives of the processes of a run: starts, readiness, signals and ends."""

import asyncio
import os
import pathlib
import signal
import subprocess
import time

import msgspec

from gingerturn_standins import platform_processes

INTERVAL_S = 0.1
BEGIN_S = 0.1
"""Processor time of a process in which its interpreter finds the program."""


class Told(msgspec.Struct, frozen=True):
    """A signal that the harness sent.

    :param overdue: sent because the process did not exit in time.
    """

    number: signal.Signals
    at: float
    overdue: bool = False


class Life(msgspec.Struct):
    """A process of a node, from its start to its end; times in ms since the epoch.

    :param ready: when it first reported readiness; 0 if it has not.
    :param ended: when its end was observed; 0 if it has not ended.
    :param status: its exit status.
    """

    node: str
    began: float
    ready: float = 0.0
    ended: float = 0.0
    status: int | None = None
    told: list[Told] = msgspec.field(default_factory=list)

    def signalled(self, number: signal.Signals) -> float:
        """Return when the process was first sent a signal; 0 if it was not."""
        return next((told.at for told in self.told if told.number is number), 0.0)


class BackendEnd(msgspec.Struct, frozen=True):
    """The end of the backend server beside a node."""

    node: str
    at: float


class Watch:
    """Observes processes and records their lives, and how late that is at most."""

    def __init__(self) -> None:
        self.late_ms = 0.0
        self.lives: list[Life] = []
        self.backend_ends: list[BackendEnd] = []
        self._running: dict[int, tuple[subprocess.Popen[bytes], Life]] = {}
        self._ended_backends: set[int] = set()

    def add(self, name: str, process: subprocess.Popen[bytes]) -> None:
        """Observe a process that has been started."""
        life = Life(name, _now_ms())
        self.lives.append(life)
        self._running[process.pid] = (process, life)

    def tell(
        self,
        process: subprocess.Popen[bytes],
        number: signal.Signals,
        *,
        overdue: bool = False,
    ) -> None:
        """Send a signal to a process, unless it has ended."""
        if process.poll() is not None:
            return
        if process.pid in self._running:
            life = self._running[process.pid][1]
            life.told.append(Told(number, _now_ms(), overdue))
        process.send_signal(number)

    async def run(self, platform: platform_processes.Platform) -> None:
        """Observe the processes of a platform until cancelled."""
        while True:
            begun = time.monotonic()
            await asyncio.sleep(INTERVAL_S)
            late_ms = (time.monotonic() - begun - INTERVAL_S) * 1000.0
            self.late_ms = max(self.late_ms, late_ms)
            self.look(platform)
            await self._ask_readiness(platform)

    def look(self, platform: platform_processes.Platform) -> None:
        """Record the processes that have ended."""
        for pid, (process, life) in list(self._running.items()):
            if process.poll() is not None:
                life.ended, life.status = _now_ms(), process.returncode
                del self._running[pid]
        for machine in platform.machines.values():
            pid = machine.upstream.pid
            if machine.upstream.poll() is None or pid in self._ended_backends:
                continue
            self._ended_backends.add(pid)
            self.backend_ends.append(BackendEnd(machine.name, _now_ms()))

    def has_unready(self) -> bool:
        """Return whether a process runs that has not reported readiness."""
        return any(not life.ready for _, life in self._running.values())

    async def _ask_readiness(self, platform: platform_processes.Platform) -> None:
        unready = [life for _, life in self._running.values() if not life.ready]
        for life in unready:
            if await asyncio.to_thread(platform.machines[life.node].ready):
                life.ready = _now_ms()


def has_begun(pid: int) -> bool:
    """Return whether the interpreter of a process runs, which handles SIGINT then, and
    has had the processor for long enough to find the program.

    Signals that arrive before it does have their default action, whatever the program.
    """
    try:
        text = pathlib.Path(f"/proc/{pid}/status").read_text()
        fields = (
            pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        )
    except OSError:
        return False
    used_s = sum(map(int, fields[11:13])) / os.sysconf("SC_CLK_TCK")
    caught = text.partition("SigCgt:")[2].split()
    handled = bool(caught) and bool(int(caught[0], 16) >> (signal.SIGINT - 1) & 1)
    return handled and used_s >= BEGIN_S


def _now_ms() -> float:
    return time.time() * 1000.0
