"""Latency that two nodes add to a call, and calls a second of a core.

Direct calls and calls through two nodes run concurrently, so that noise of the
machine affects both.
"""

import asyncio
import dataclasses
import os
import pathlib
import tempfile

import uvloop

from benchmarks import loadgen
from gingerturn_standins import processes

PERCENTILES = (50.0, 99.0, 99.9)
_TICKS = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass
class Added:
    """Latency percentiles in microseconds, direct and through two nodes.

    :param calls: calls through the nodes.
    """

    in_flight: int
    rate: float
    direct: dict[str, float]
    through: dict[str, float]
    calls: int

    def added(self, name: str) -> float:
        """Return the latency that the nodes add at a percentile, in milliseconds."""
        return (self.through[name] - self.direct[name]) / 1000.0


@dataclasses.dataclass
class Throughput:
    """Calls a second at saturation, and processor time a call, by node."""

    calls_per_second: float
    entry_us: float
    home_us: float
    failures: int


def start(folder: pathlib.Path) -> processes.Cluster:
    """Start an entry node, a home node and a fake backend server."""
    cluster = processes.Cluster(folder)
    cluster.add("entry-1", service="entry", zone="a", slots=1000, wait=True)
    cluster.add("echo-1", service="echo", zone="a", slots=1000, wait=True)
    cluster.wait_ready(members=2)
    return cluster


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


async def _added(
    cluster: processes.Cluster, in_flight: int, rate: float, seconds: float
) -> Added:
    request = loadgen.request_bytes("echo", "/echo", b"x" * 200)
    home, entry = cluster.nodes["echo-1"], cluster.nodes["entry-1"]
    direct = loadgen.Load(home.backend_port, request, connections=in_flight)
    through = loadgen.Load(entry.calls_port, request, connections=in_flight)
    await direct.open()
    await through.open()
    # Warm up both, then measure both over the same interval.
    await asyncio.gather(direct.run(0.5, rate=rate), through.run(0.5, rate=rate))
    direct.times.reset()
    through.times.reset()
    await asyncio.gather(
        direct.run(seconds, rate=rate), through.run(seconds, rate=rate)
    )
    return Added(
        in_flight=in_flight,
        rate=rate,
        direct=_percentiles(direct),
        through=_percentiles(through),
        calls=through.times.get_total_count(),
    )


def _percentiles(load: loadgen.Load) -> dict[str, float]:
    return {
        f"p{p:g}": float(load.times.get_value_at_percentile(p)) for p in PERCENTILES
    }


async def _throughput(cluster: processes.Cluster, seconds: float) -> Throughput:
    request = loadgen.request_bytes("echo", "/echo", b"x" * 200)
    entry, home = cluster.nodes["entry-1"], cluster.nodes["echo-1"]
    load = loadgen.Load(entry.calls_port, request, connections=64)
    await load.open()
    await load.run(0.5)
    load.times.reset()
    load.statuses.clear()
    before = cpu_seconds(entry.node.pid), cpu_seconds(home.node.pid)
    await load.run(seconds)
    after = cpu_seconds(entry.node.pid), cpu_seconds(home.node.pid)
    calls = load.times.get_total_count()
    return Throughput(
        calls_per_second=calls / seconds,
        entry_us=(after[0] - before[0]) / calls * 1e6,
        home_us=(after[1] - before[1]) / calls * 1e6,
        failures=sum(n for status, n in load.statuses.items() if status != 200),
    )


def measure(seconds: float = 6.0) -> tuple[list[Added], Throughput]:
    """Run all measurements with new processes."""
    with (
        tempfile.TemporaryDirectory() as folder,
        start(pathlib.Path(folder)) as cluster,
    ):

        async def run() -> tuple[list[Added], Throughput]:
            found = [
                await _added(cluster, in_flight, rate, seconds)
                for rate in (126.0, 1_260.0)
                for in_flight in (1, 16, 128)
            ]
            return found, await _throughput(cluster, seconds)

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(run())


def report(found: list[Added], throughput: Throughput) -> list[str]:
    """Return the figures as lines."""
    lines = [
        "added time, ms (two nodes)      direct p50   p99    added p50   p99   p99.9"
    ]
    for item in found:
        lines.append(
            f"  {item.rate:>6.0f} /s, {item.in_flight:>3} in flight"
            f" {item.direct['p50'] / 1000:>15.3f} {item.direct['p99'] / 1000:>7.3f}"
            f" {item.added('p50'):>11.3f} {item.added('p99'):>7.3f}"
            f" {item.added('p99.9'):>7.3f}"
        )
    lines.append(
        f"calls/s through two nodes, 64 in flight: {throughput.calls_per_second:.0f};"
        f" processor time a call: entry {throughput.entry_us:.0f} us, home"
        f" {throughput.home_us:.0f} us; failures {throughput.failures}"
    )
    return lines


if __name__ == "__main__":
    print("\n".join(report(*measure())))
