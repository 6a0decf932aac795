"""Processor time of a call at its entry node and home node, by part.

``python -m benchmarks.call_profile`` drives two real nodes and a backend server over
loopback, once unchanged and once with counters in the nodes
(:mod:`benchmarks.profiled_node`). The counters' own cost, measured at the start of each
node, is subtracted. ``rest`` is what no counter covers: the event loop, its reads and
writes, and the kernel. The difference between the corrected sum and the unchanged nodes
is printed as the error of the profile.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import pstats
import signal
import statistics
import subprocess
import sys
import tempfile
import time

import click
import uvloop

from benchmarks import added_time, loadgen
from gingerturn_standins import processes

LOGGING = "[logging]\njson = true\n"
"""The deployments write JSON lines, one for each decision within the rate limits."""

CONNECTIONS = 32
_KERNEL = "(kernel, within the parts)"


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A load on a service.

    :param slots: slots of the backend server.
    :param rate: calls a second; 0 for as many as 32 connections send.
    """

    name: str
    slots: int
    service_ms: float
    rate: float


SCENARIOS = (
    Scenario("answered, 300 /s", 1_000, 20.0, 300.0),
    Scenario("answered, saturated", 1_000, 2.0, 0.0),
    Scenario("mostly refused, 600 /s", 2, 25.0, 600.0),
)


@dataclasses.dataclass
class Sides:
    """Microseconds a call at the entry node and at the home node, by part."""

    entry: dict[str, float]
    home: dict[str, float]
    statuses: dict[int, int]


class ProfiledCluster(processes.Cluster):
    """A cluster whose nodes measure their processor time.

    :param mode: as in :mod:`benchmarks.profiled_node`.
    """

    def __init__(self, folder: pathlib.Path, mode: str) -> None:
        self._mode = mode
        super().__init__(folder)
        paths = [self._environment["PYTHONPATH"], str(processes.ROOT)]
        self._environment["PYTHONPATH"] = os.pathsep.join(paths)

    def profile_path(self, name: str) -> pathlib.Path:
        """Return the file to which a node writes what it measured."""
        return self.folder / f"{name}.profile"

    def _spawn(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        if arguments[:2] == ("-m", "gingerturn"):
            arguments = ("-m", "benchmarks.profiled_node", *arguments[2:])
            self._environment["PROFILE_MODE"] = self._mode
            self._environment["PROFILE_TO"] = str(self.profile_path(name))
        return super()._spawn(name, *arguments)

    def read(self, name: str) -> dict[str, object]:
        """Have a node write what it measured since its start, and return it."""
        path = self.profile_path(name)
        path.unlink(missing_ok=True)
        self.nodes[name].node.send_signal(signal.SIGUSR1)
        deadline = time.monotonic() + 10.0
        while not path.exists():
            if time.monotonic() > deadline:
                raise TimeoutError(f"{name} wrote no profile")
            time.sleep(0.01)
        found: dict[str, object] = json.loads(path.read_text())
        return found


def _started(cluster: ProfiledCluster, scenario: Scenario) -> None:
    cluster.add("entry-1", service="entry", zone="a", slots=1_000, extra=LOGGING)
    cluster.add(
        "echo-1",
        service="echo",
        zone="a",
        slots=scenario.slots,
        service_ms=scenario.service_ms,
        extra=LOGGING,
    )
    cluster.wait_ready(members=2)


def _loaded(
    cluster: ProfiledCluster, scenario: Scenario, seconds: float
) -> tuple[loadgen.Load, list[dict[str, object]], list[float]]:
    """Run a load; return it, and what the nodes measured before and after."""
    request = loadgen.request_bytes("echo", "/echo", b"x" * 200)
    names = ("entry-1", "echo-1")
    load = loadgen.Load(
        cluster.nodes["entry-1"].calls_port, request, connections=CONNECTIONS
    )
    found: list[dict[str, object]] = []

    def measure() -> list[float]:
        if cluster._mode == "parts":
            found.extend(cluster.read(name) for name in names)
        pids = [cluster.nodes[name].node.pid for name in names]
        return [added_time.cpu_seconds(pid) for pid in pids]

    async def run() -> list[float]:
        await load.open()
        await load.run(1.0, rate=scenario.rate)
        load.times.reset()
        load.statuses.clear()
        before = measure()
        await load.run(seconds, rate=scenario.rate)
        return [b - a for a, b in zip(before, measure(), strict=True)]

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        used = runner.run(run())
    return load, found, used


def _by_part(
    before: dict[str, object], after: dict[str, object], calls: float
) -> dict[str, float]:
    """Return microseconds a call by part, without the counters' own cost."""

    def grown(name: str, part: str) -> float:
        return after[name][part] - before[name].get(part, 0)  # type: ignore[index]

    own, outer = float(after["own_ns"]), float(after["outer_ns"])  # type: ignore[arg-type]
    parts: dict[str, float] = {}
    counted = uncorrected = 0.0
    for part in after["spent"]:  # type: ignore[attr-defined]
        spent = grown("spent", part)
        correction = own * grown("calls", part) + outer * grown("nested", part)
        uncorrected += spent
        counted += grown("calls", part) - grown("nested", part)
        parts[part] = (spent - correction) / calls / 1e3
    system = float(after["system"]) - float(before["system"])  # type: ignore[arg-type]
    user = float(after["user"]) - float(before["user"])  # type: ignore[arg-type]
    rest = (user + system) * 1e9 - uncorrected - outer * counted
    parts["rest"] = rest / calls / 1e3
    parts[_KERNEL] = system / calls * 1e6
    return parts


def measure(scenario: Scenario, seconds: float, mode: str) -> Sides:
    """Return the processor time of a call with new processes.

    With mode ``none`` it is the whole only, under the name ``whole``.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        ProfiledCluster(pathlib.Path(folder), mode) as cluster,
    ):
        _started(cluster, scenario)
        load, found, used = _loaded(cluster, scenario, seconds)
    calls = load.times.get_total_count()
    statuses = dict(load.statuses)
    if mode != "parts":
        entry, home = ({"whole": cpu / calls * 1e6} for cpu in used)
        return Sides(entry, home, statuses)
    entry = _by_part(found[0], found[2], calls)
    home = _by_part(found[1], found[3], calls)
    return Sides(entry, home, statuses)


def _total(parts: dict[str, float]) -> float:
    return sum(value for name, value in parts.items() if name != _KERNEL)


def report(scenario: Scenario, seconds: float, repetitions: int) -> list[str]:
    """Measure a scenario and return its figures as lines."""
    found: list[dict[str, list[dict[str, float]]]] = []
    statuses: dict[int, int] = {}
    for _ in range(repetitions):
        unchanged = measure(scenario, seconds, "none")
        counted = measure(scenario, seconds, "parts")
        statuses = counted.statuses
        found.append(
            {
                "entry": [unchanged.entry, counted.entry],
                "home": [unchanged.home, counted.home],
            }
        )
    sides = ("entry", "home")
    least = {side: min(f[side][0]["whole"] for f in found) for side in sides}
    entry_parts, home_parts = (
        min((f[side][1] for f in found), key=_total) for side in sides
    )
    parts = Sides(entry_parts, home_parts, statuses)
    lines = [f"us a call, {scenario.name}; {parts.statuses}"]
    lines.append(f"  {'part':<28} {'entry':>8} {'home':>8}")
    names = [name for name in parts.entry if name != _KERNEL]
    for name in names:
        entry, home = parts.entry[name], parts.home[name]
        lines.append(f"  {name:<28} {entry:>8.1f} {home:>8.1f}")
    sums = [_total(parts.entry), _total(parts.home)]
    lines.append(f"  {'sum of the parts':<28} {sums[0]:>8.1f} {sums[1]:>8.1f}")
    kernel = [parts.entry[_KERNEL], parts.home[_KERNEL]]
    lines.append(f"  {_KERNEL:<28} {kernel[0]:>8.1f} {kernel[1]:>8.1f}")
    lines.append(
        f"  {'unchanged nodes':<28} {least['entry']:>8.1f} {least['home']:>8.1f}"
    )
    errors = [
        100.0 * (total / least[side] - 1.0)
        for total, side in zip(sums, sides, strict=True)
    ]
    lines.append(f"  {'error of the sum, %':<28} {errors[0]:>8.1f} {errors[1]:>8.1f}")
    return lines


def functions(scenario: Scenario, seconds: float, count: int) -> None:
    """Print the functions with the most own time at both nodes, by cProfile."""
    with (
        tempfile.TemporaryDirectory() as folder,
        ProfiledCluster(pathlib.Path(folder), "functions") as cluster,
    ):
        _started(cluster, scenario)
        names = ("entry-1", "echo-1")
        for name in names:
            cluster.nodes[name].node.send_signal(signal.SIGUSR1)
        load, _, _ = _loaded(cluster, scenario, seconds)
        for name in names:
            cluster.nodes[name].node.send_signal(signal.SIGUSR1)
        time.sleep(1.0)
        calls = load.times.get_total_count()
        for name in names:
            click.echo(f"{name}, {scenario.name}, {calls} calls")
            path = str(cluster.profile_path(name))
            pstats.Stats(path, stream=sys.stdout).sort_stats("tottime").print_stats(
                count
            )


def at_rest(members: int, seconds: float = 10.0) -> float:
    """Return the processor time of a node at rest, as a share of a core."""
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.Cluster(pathlib.Path(folder)) as cluster,
    ):
        for index in range(members):
            cluster.add(
                f"node-{index}",
                service=f"service-{index % 4}",
                zone=f"zone-{index % 3}",
                extra=LOGGING,
                wait=False,
                backend=False,
            )
        for node in cluster.nodes.values():
            cluster.wait_up(node, timeout=90.0)
        time.sleep(5.0)
        pids = [node.node.pid for node in cluster.nodes.values()]
        before = [added_time.cpu_seconds(pid) for pid in pids]
        time.sleep(seconds)
        after = [added_time.cpu_seconds(pid) for pid in pids]
    used = [(b - a) / seconds for a, b in zip(before, after, strict=True)]
    return statistics.median(used)


@click.command()
@click.option("--seconds", default=4.0, show_default=True)
@click.option("--repetitions", default=2, show_default=True)
@click.option("--functions", "count", default=0, help="Print functions instead.")
@click.option("--rest", multiple=True, type=int, help="Nodes at rest, so many members.")
def main(seconds: float, repetitions: int, count: int, rest: tuple[int, ...]) -> None:
    """Print the processor time of a call by part."""
    if rest:
        for members in rest:
            click.echo(f"at rest, {members} members: {at_rest(members):.4f} of a core")
        return
    for scenario in SCENARIOS:
        if count:
            functions(scenario, seconds, count)
        else:
            click.echo("\n".join(report(scenario, seconds, repetitions)))


if __name__ == "__main__":
    main()
