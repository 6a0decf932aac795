"""``python -m gingerturn_soak.stops``: stop nodes under requests that last.

Prints what callers saw, by kind of request, and how each process ended.
"""

import asyncio
import collections
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import click
import msgspec

from gingerturn_soak import ledger as ledgers, raw_callers
from gingerturn_standins import platform_processes

SERVICES = ("plans", "porting")
TIMEOUT_MS = 7_000
GRACE_S = 6.0
EXIT_WAIT_S = 9.0
SETTLE_S = 1.0
LATE_S = 0.2
"""Time after the last byte of a request from which a closed connection without an
answer counts as a lost request."""

OWN_FAILURES = frozenset({500, 502, 504})

Shape = raw_callers.Shape

SHAPES = {
    "get": [Shape("get")],
    "work": [Shape("work", path="/a/x?work_ms=800")],
    "long": [Shape("long", path="/a/x?work_ms=2600")],
    "post": [Shape("post", "POST", "/p/x", body=300_000)],
    "post-new": [Shape("post-new", "POST", "/none/x", body=400_000)],
    "chunked": [Shape("chunked", "POST", "/p/x", body=60_000, chunked=True)],
    "upload": [Shape("upload", "POST", "/p/x", body=60_000, upload_s=2.0)],
    "upload-large": [Shape("upload-large", "POST", "/p/x", body=900_000, upload_s=2.0)],
    "head": [Shape("head", "HEAD", "/a/x?bytes=30000")],
    "download": [Shape("download", path="/d/x?bytes=800000&over_ms=4200")],
    "slow": [Shape("slow", path="/a/x?bytes=36000", read_s=0.2)],
    "slow-large": [Shape("slow-large", path="/a/x?bytes=240000", read_s=0.05)],
    "leave": [Shape("leave", "POST", "/p/x?bytes=900000&work_ms=200", leave_s=0.15)],
    "calls": [
        Shape("calls", path="/a/x?work_ms=300&call_after_ms=200&call=/a/y?work_ms=100")
    ],
    "late-calls": [
        Shape(
            "late-calls",
            path="/a/x?work_ms=3200&call_after_ms=3000&call=/a/y%3Fwork_ms%3D1500",
        )
    ],
}


class Stop(msgspec.Struct):
    """A SIGTERM to a node.

    :param began: time in seconds since the epoch.
    :param status: exit status; ``None`` if the process did not end in time.
    """

    node: str
    began: float
    lasted: float = 0.0
    status: int | None = None
    ready_after: float = -1.0


class Run:
    """A run.

    :param names: kinds of requests, of :data:`SHAPES`.
    """

    def __init__(
        self, folder: pathlib.Path, *, nodes: int, callers: int, names: list[str]
    ) -> None:
        self._folder = folder
        self._count = nodes
        self._names = names
        self._caller_count = callers
        self._callers: list[raw_callers.Caller] = []
        self.stops: list[Stop] = []
        self.ended_alone: list[tuple[str, int]] = []

    async def play(
        self,
        rng: random.Random,
        *,
        length_s: float,
        rate: float,
        stops: bool,
        versions: bool,
        receive_bytes: int,
    ) -> None:
        """Play the run."""
        with platform_processes.Platform(self._folder) as platform:
            self._platform = platform
            self._configure()
            for number in range(self._count):
                platform.add(f"m{number}", service=SERVICES[number % len(SERVICES)])
            await asyncio.to_thread(platform.wait_ready, 40.0)
            await asyncio.sleep(SETTLE_S)
            stop = asyncio.Event()
            machines = list(platform.machines.values())
            async with asyncio.TaskGroup() as group:
                for number in range(self._caller_count):
                    machine = machines[number % len(machines)]
                    caller = raw_callers.Caller(
                        f"c{number}",
                        machine.name,
                        machine.ports["outbound"],
                        kept=number % 3 != 0,
                        receive_bytes=receive_bytes,
                    )
                    self._callers.append(caller)
                    shapes = [s for name in self._names for s in SHAPES[name]]
                    rng.shuffle(shapes)
                    group.create_task(caller.run(stop, shapes, 1.0 / rate))
                await self._disturb(rng, length_s, stops=stops, versions=versions)
                stop.set()

    async def _disturb(
        self, rng: random.Random, length_s: float, *, stops: bool, versions: bool
    ) -> None:
        begun = time.monotonic()
        async with asyncio.TaskGroup() as group:
            under_way: set[str] = set()
            while time.monotonic() - begun < length_s:
                await asyncio.sleep(rng.uniform(0.7, 1.3))
                machines = list(self._platform.machines.values())
                if versions and rng.random() < 0.3:
                    await asyncio.to_thread(self._configure)
                if versions and rng.random() < 0.3:
                    chosen = rng.choice(machines)
                    if chosen.node.poll() is None:
                        chosen.node.send_signal(signal.SIGHUP)
                for machine in machines:
                    status = machine.node.poll()
                    if status is not None and machine.name not in under_way:
                        self.ended_alone.append((machine.name, status))
                        machine.node = self._platform.start_node(machine.name)
                free = [m for m in machines if m.name not in under_way]
                if stops and len(under_way) < 2 and free:
                    machine = rng.choice(free)
                    under_way.add(machine.name)
                    group.create_task(self._stop(machine, under_way))

    async def _stop(
        self, machine: platform_processes.Machine, under_way: set[str]
    ) -> None:
        stop = Stop(machine.name, time.time())
        self.stops.append(stop)
        machine.node.send_signal(signal.SIGTERM)
        try:
            stop.status = await asyncio.to_thread(machine.node.wait, EXIT_WAIT_S)
        except subprocess.TimeoutExpired:
            machine.node.kill()
        stop.lasted = time.time() - stop.began
        machine.node = self._platform.start_node(machine.name)
        begun = time.time()
        for _ in range(200):
            if await asyncio.to_thread(machine.ready):
                stop.ready_after = time.time() - begun
                break
            if machine.node.poll() is not None:
                break
            await asyncio.sleep(0.05)
        under_way.discard(machine.name)

    def _configure(self) -> None:
        common = {"hostname": raw_callers.HOST, "timeout_ms": TIMEOUT_MS}
        common |= {"target_latency_ms": 1_500, "priority": 0}
        self._platform.configure(
            {**common, "name": "r-a", "path_prefix": "/a/", "route_type": "safe"}
            | {"service_name": "plans", "max_attempts": 2},
            {**common, "name": "r-d", "path_prefix": "/d/", "route_type": "download"}
            | {"service_name": "plans", "max_attempts": 2},
            {**common, "name": "r-p", "path_prefix": "/p/", "max_attempts": 1}
            | {"service_name": "porting", "route_type": "non_idempotent"},
        )

    @property
    def exchanges(self) -> list[raw_callers.Exchange]:
        """All requests of the run."""
        return [e for caller in self._callers for e in caller.exchanges]


def lost(run: Run, ledger: ledgers.Ledger) -> list[str]:
    """Return a line for each request that ended without a whole answer."""
    lines = []
    for exchange in run.exchanges:
        if exchange.ending in {raw_callers.Ending.LEFT, raw_callers.Ending.REFUSED}:
            continue
        arrived = bool(ledger.arrivals[exchange.id])
        waited = exchange.ended - exchange.sent if exchange.sent else -1.0
        since = [
            exchange.ended - s.began
            for s in run.stops
            if s.node == exchange.node and s.began <= exchange.ended <= s.began + 8
        ]
        after = f"{since[-1]:.2f} s after the SIGTERM" if since else "no stop"
        if since:
            after += f", sent at {exchange.began - exchange.ended + since[-1]:.2f} s"
        kept = "new connection" if exchange.first else "kept connection"
        where = f"{exchange.id} {exchange.shape} at {exchange.node}, {kept}, {after}"
        if exchange.ending is raw_callers.Ending.ANSWERED:
            own = exchange.status in OWN_FAILURES and not exchange.signed
            if own and arrived:
                lines.append(f"replaced by {exchange.status}: {where} {exchange.title}")
            continue
        kind = "passed on" if arrived else "late" if waited > LATE_S else "crossed"
        if not arrived and not exchange.sent:
            in_body = exchange.ended - exchange.began > LATE_S
            kind = "cut in its upload" if in_body else "crossed"
        lines.append(
            f"{kind} ({exchange.ending.value}, {exchange.received} bytes,"
            f" {waited:.3f} s after its last byte): {where}"
        )
    return lines


@click.command()
@click.option("--seed", type=int, required=True)
@click.option("--kinds", default="get,work,download", show_default=True)
@click.option("--nodes", default=6, show_default=True)
@click.option("--callers", default=24, show_default=True)
@click.option("--rate", default=6.0, help="Requests a second and caller.")
@click.option("--length", default=30.0, show_default=True)
@click.option("--receive-bytes", default=0, help="Receive buffer of callers.")
@click.option("--stops/--no-stops", default=True)
@click.option("--versions/--no-versions", default=False)
@click.option("--keep", default="", help="Folder to which logs are copied.")
def main(
    seed: int,
    kinds: str,
    nodes: int,
    callers: int,
    rate: float,
    length: float,
    receive_bytes: int,
    stops: bool,
    versions: bool,
    keep: str,
) -> None:
    """Play a run and print its results; exit with 1 if a request was lost."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        run = Run(folder, nodes=nodes, callers=callers, names=kinds.split(","))
        asyncio.run(
            run.play(
                random.Random(seed),
                length_s=length,
                rate=rate,
                stops=stops,
                versions=versions,
                receive_bytes=receive_bytes,
            )
        )
        ledger = ledgers.Ledger(sorted(folder.glob("*.upstream.log")))
        if keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
    lines = lost(run, ledger)
    counts = collections.Counter(
        (e.shape, e.ending.value, e.status) for e in run.exchanges
    )
    for (shape, ending, status), count in sorted(counts.items()):
        click.echo(f"  {shape}: {ending} {status or ''} {count}")
    for line in lines[:40]:
        click.echo(f"  {line}")
    click.echo(f"  exit statuses: {collections.Counter(s.status for s in run.stops)}")
    click.echo(f"  longest stop: {max((s.lasted for s in run.stops), default=0):.2f} s")
    late = [s for s in run.stops if s.ready_after < 0]
    click.echo(f"  starts that were not ready: {len(late)}; ended: {run.ended_alone}")
    totals = collections.Counter(line.split(" (")[0].split(":")[0] for line in lines)
    click.echo(f"seed {seed} {kinds}: {len(run.exchanges)} requests, {dict(totals)}")
    sys.exit(bool(lines))


if __name__ == "__main__":
    main()
