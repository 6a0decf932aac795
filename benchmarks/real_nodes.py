"""Tens of real nodes: memory, idle processor time, and the time until a change is in
force everywhere."""

import dataclasses
import datetime
import pathlib
import re
import statistics
import tempfile
import time

import httpx

from benchmarks import added_time
from gingerturn_standins import processes

_IN_FORCE = re.compile(r"^(\S+) INFO .*Revision (\d+) is in force")


@dataclasses.dataclass
class RealNodes:
    """What was measured on idle nodes.

    :param in_force_ms: from the request to publish until a node says that the
        revision is in force; one figure a node and revision.
    """

    nodes: int
    rss_mb: list[float]
    cpu_share: list[float]
    log_reads_per_second: float
    log_appends: int
    in_force_ms: list[float]


def measure(count: int = 40, *, publications: int = 8) -> RealNodes:
    """Start so many nodes, publish to them, and let them idle."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with processes.Cluster(folder) as cluster:
            for index in range(count):
                cluster.add(
                    f"node-{index}",
                    service=f"service-{index % 8}",
                    zone=f"zone-{index % 4}",
                    wait=False,
                    backend=False,
                )
            for node in cluster.nodes.values():
                cluster.wait_up(node, timeout=60.0)
            _wait_known(cluster, count)
            begun = [_publish(cluster, number) for number in range(publications)]
            time.sleep(2.0)
            return _idle(cluster, count, folder, begun)


def _wait_known(cluster: processes.Cluster, count: int) -> None:
    deadline = time.monotonic() + 60
    for node in cluster.nodes.values():
        while True:
            status = httpx.get(f"{node.admin}/status", trust_env=False).json()
            if len(status["members"]) >= count:
                break
            if time.monotonic() > deadline:
                raise TimeoutError(f"{node.name} knows {len(status['members'])}")
            time.sleep(0.1)


def _publish(cluster: processes.Cluster, number: int) -> tuple[float, int]:
    begun = time.time()
    text = f'[[service]]\nname = "service-{number}"\n'
    revision = cluster.publish(f"team-{number}", text)
    return begun, revision


def _idle(
    cluster: processes.Cluster,
    count: int,
    folder: pathlib.Path,
    begun: list[tuple[float, int]],
) -> RealNodes:
    pids = [node.node.pid for node in cluster.nodes.values()]
    control = f"{cluster.log_url}/control"
    reads = httpx.get(control, trust_env=False).json()["reads"]
    before = [added_time.cpu_seconds(pid) for pid in pids]
    seconds = 15.0
    time.sleep(seconds)
    after = [added_time.cpu_seconds(pid) for pid in pids]
    counts = httpx.get(control, trust_env=False).json()
    return RealNodes(
        nodes=count,
        rss_mb=sorted(_rss_mb(pid) for pid in pids),
        cpu_share=sorted((b - a) / seconds for a, b in zip(before, after, strict=True)),
        log_reads_per_second=(counts["reads"] - reads) / seconds,
        log_appends=counts["appends"],
        in_force_ms=sorted(_in_force(cluster, folder, begun)),
    )


def _rss_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status") as status:
        line = next(line for line in status if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024 / 1e6


def _in_force(
    cluster: processes.Cluster, folder: pathlib.Path, begun: list[tuple[float, int]]
) -> list[float]:
    """Read from the nodes' logs when each revision was in force."""
    found = []
    by_revision = {revision: at for at, revision in begun}
    for name in cluster.nodes:
        for line in (folder / f"{name}.log").read_text().splitlines():
            match = _IN_FORCE.match(line)
            if match and int(match.group(2)) in by_revision:
                at = datetime.datetime.fromisoformat(match.group(1)).timestamp()
                found.append((at - by_revision[int(match.group(2))]) * 1000)
    return found


def report(found: RealNodes) -> list[str]:
    """Return the figures as lines."""
    quantiles = statistics.quantiles(found.in_force_ms, n=100)
    rss, cpu = found.rss_mb, found.cpu_share
    return [
        f"{found.nodes} real nodes: RSS median {statistics.median(rss):.1f} MB, most"
        f" {rss[-1]:.1f} MB",
        f"idle processor time: median {statistics.median(cpu):.4f} of a core, most"
        f" {cpu[-1]:.4f}",
        f"log: {found.log_reads_per_second:.1f} reads/s by all, {found.log_appends}"
        " appends since the start",
        "a change is in force (ms after the request to publish):"
        f" p50 {quantiles[49]:.0f}, p99 {quantiles[98]:.0f},"
        f" most {found.in_force_ms[-1]:.0f}, {len(found.in_force_ms)} samples",
    ]


if __name__ == "__main__":
    print("\n".join(report(measure())))
