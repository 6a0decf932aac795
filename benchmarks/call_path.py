"""Processor time of a call in the Python code of its two nodes, without sockets.

An entry node and a home node run in this process on transports that discard what is
written, with a route table, JSON log lines and some members. It is steadier than
:mod:`benchmarks.call_profile` on a busy machine: each figure is the least of several
repetitions. ``--against DIR`` compares with the source tree in ``DIR/src``: blocks of
calls of both alternate.
"""

import asyncio
import collections.abc
import cProfile
import gc
import itertools
import os
import pathlib
import pstats
import statistics
import subprocess
import sys
import time
import typing

import click
import msgspec

from gingerturn import dialect as dialects, routes, settings
from gingerturn.internal import ids, logs
from gingerturn.internal.core import events, member_table, messages, reducer, routing
from gingerturn.internal.shell import (
    backend_http,
    clock,
    ingress,
    links,
    node as nodes,
)
from gingerturn.internal.wire import datagrams, frames

CALLS = 400
REPETITIONS = 9
MEMBERS = 60
SERVICES = 4
SECRET = "a secret of the benchmarks"

DIALECT = dialects.Dialect(
    timeout=b"deadline-ms",
    deadline=b"deadline-ms",
    request_id=b"request-id",
    api_key=b"key",
    workspace=b"tenant-id",
    caller_service=b"caller-service",
    instance=b"expected-instance",
    not_executed=b"not-executed",
    rate_limit=b"server-limit",
    leaving=b"server-leaving",
    trace=False,
    lineage=b".",
    retry_after_fractions=True,
)
"""Header names as on the platform."""

REPORT = messages.LoadReport(
    level=ids.Rank(0), tree_level=ids.Rank(0), load=3, limit=100
)

RESPONSE = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ndate: today\r\n"
    b"server: backend\r\nrequest-id: %b\r\ncontent-length: 120\r\n\r\n" + b"x" * 120
)


class Transport:
    """Discards what is written, and keeps the last write."""

    def __init__(self) -> None:
        self.written = b""

    def write(self, data: bytes) -> None:
        """Keep the bytes."""
        self.written = data

    def writelines(self, pieces: collections.abc.Iterable[bytes]) -> None:
        """Keep the bytes."""
        self.written = b"".join(pieces)

    def is_closing(self) -> bool:
        """Whether it closes: never."""
        return False

    def get_extra_info(self, name: str) -> None:
        """Return nothing."""

    def resume_reading(self) -> None:
        """Do nothing."""

    pause_reading = close = abort = resume_reading


class Carrier:
    """The sending side to the home node: encodes each frame."""

    def __init__(self) -> None:
        self.transport = Transport()

    def send(self, frame: frames.Frame) -> None:
        """Encode a frame."""
        self.transport.write(frames.encode(frame))

    def forget(self, call: int) -> None:
        """Do nothing."""


class Channel(Carrier):
    """The sending side to the entry node."""

    def __init__(self) -> None:
        super().__init__()
        self.hosted: dict[int, ids.HostedId] = {}
        self.peer = ids.NodeId("me")


def _table() -> routes.RouteTable:
    listed = tuple(
        routes.Route(
            name=f"kind-{index}",
            host="shop.example",
            path_prefix=f"/kind-{index}/",
            type=routes.RouteType.SAFE,
            timeout_ms=4_000,
            target_ms=1_000,
            priority=index % 3,
            max_attempts=3,
            shares=(routes.Share(f"service-{index}"),),
        )
        for index in range(SERVICES)
    )
    return routes.RouteTable(version=1, routes=listed)


def _member(index: int) -> messages.Member:
    return messages.Member(
        node=ids.NodeId(f"n{index}"),
        incarnation=ids.Incarnation(1),
        version=1,
        state=messages.MemberState.ALIVE,
        host="127.0.0.1",
        peers_port=9_000 + index,
        gossip_port=9_000,
        zone=f"z{index % 3}",
        service=ids.ServiceName(f"service-{index % SERVICES}"),
        slots=40,
    )


def make_node() -> nodes.Node:
    """Return a node with a route table and members, which opens no socket."""
    loaded = settings.Settings(
        node=settings.Node(
            id="me",
            zone="z0",
            host="127.0.0.1",
            calls_port=1,
            peers_port=2,
            gossip_port=3,
            admin_port=0,
        ),
        log=settings.Log(url="http://127.0.0.1:1", keyed=True),
        secret=settings.Secret(current=SECRET),
        routing=settings.Routing(table=True),
        backend=settings.Backend(service="service-0"),
    )
    node = nodes.Node(loaded, dialect=DIALECT)
    reducer.reduce(node.state, node._started)
    node._begun = True
    node._tick_at = 0.0
    node.state.started_at -= 60_000.0
    reducer.reduce(node.state, events.RoutesReceived(now=clock.now(), table=_table()))
    for index in range(MEMBERS):
        member_table.update(node.state, _member(index), [])
    return node


def _report_level(node: nodes.Node, service: int, level: int) -> None:
    report = msgspec.structs.replace(REPORT, level=ids.Rank(level))
    for index in range(service, MEMBERS, SERVICES):
        routing.on_load_report(node.state, ids.NodeId(f"n{index}"), "kind-1", report)


class EntrySide:
    """Calls at an entry node.

    :param level: level that all upstreams report; above all ranks it refuses each call.
    """

    def __init__(self, *, level: int = 0) -> None:
        self.node = make_node()
        self._level = level
        self._carrier = Carrier()
        self.node.links.carrier = (  # type: ignore[method-assign]
            lambda node, address: self._carrier
        )
        self._connection = ingress.CallerConnection(self.node)
        self.transport = Transport()
        self._connection.connection_made(self.transport)  # type: ignore[arg-type]
        self._numbers = itertools.count(1)
        self.prepare()

    def prepare(self) -> None:
        """Renew the reports of all upstreams."""
        _report_level(self.node, 1, self._level)
        self.node.state.deadlines.clear()
        self.node.entry.record_durations()

    def run(self) -> None:
        """Run one call."""
        self._connection.data_received(
            b"GET /kind-1/item?id=%d HTTP/1.1\r\nhost: shop.example\r\n"
            b"request-id: q%015d\r\ndeadline-ms: 3000\r\nuser-agent: bench\r\n"
            b"accept: */*\r\n\r\n" % ((next(self._numbers),) * 2)
        )
        if self._level:
            return
        (attempt,) = self.node.entry._attempts
        answer = frames.Answer(
            call=attempt,
            status=200,
            tokens=1,
            report=REPORT,
            decision="n1:2f",
            head=b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n",
            body=b"x" * 120,
            whole=True,
        )
        self.node.links.on_link_frame(frames.decode(frames._ENCODER.encode(answer)))


class HomeSide:
    """Calls at a home node.

    :param full: each call is queued and shed, since all slots are taken.
    """

    def __init__(self, *, full: bool = False) -> None:
        self.node = make_node()
        self._full = full
        self._channel = Channel()
        slots = 40
        announced = events.BackendAnnounced(
            now=clock.now(),
            service=ids.ServiceName("service-0"),
            host="127.0.0.1",
            port=1,
            slots=slots,
            connections=700,
            ttl_ms=1e12,
        )
        reducer.reduce(self.node.state, announced)
        self.node.home.pool.set_address("127.0.0.1", 1)
        self._numbers = itertools.count(1)
        self._transport = Transport()
        self._backend = backend_http.Connection(self.node.home.pool)
        self._backend.connection_made(self._transport)  # type: ignore[arg-type]
        self.node.home.pool.put(self._backend)
        if full:
            backend = self.node.state.backend
            backend.running = slots
        self.prepare()

    def prepare(self) -> None:
        """Drop what a real node drops with time."""
        self.node.state.deadlines.clear()
        backend = self.node.state.backend
        backend.windows[-1].ranks.clear()
        if self._full:
            # The queue is full of calls of the highest rank.
            backend.queue[:] = [(1 << 30, -n, 1 << 40) for n in range(80)]

    def run(self) -> None:
        """Run one call."""
        number = next(self._numbers)
        request_id = b"q%015d" % number
        opened = frames.Open(
            call=number,
            terms=messages.CallMetadata(
                service=ids.ServiceName("service-0"),
                kind=ids.KindName("kind-0"),
                importance=1,
                depth=0,
                root=ids.RootHash(number * 7_919 << 32 & (1 << 64) - 1),
                trace=request_id.decode(),
                deadline_ms=3_000.0,
                tokens=1,
                repeatable=True,
            ),
            head=b"GET /kind-0/item HTTP/1.1\r\nhost: shop.example\r\n"
            b"request-id: " + request_id + b"\r\nuser-agent: bench\r\n",
            body=b"",
            whole=True,
        )
        content = frames._ENCODER.encode(opened)
        self.node.links.on_accepted_frame(
            typing.cast(links.Channel, self._channel), frames.decode(content)
        )
        if not self._full:
            self._backend.data_received(RESPONSE % request_id)


class Gossip:
    """Pings of other members, decoded from datagrams, and their answers."""

    def __init__(self) -> None:
        self.node = make_node()
        self._numbers = itertools.count(1)
        self.node.gossip.connection_made(_Datagrams())  # type: ignore[arg-type]

    def prepare(self) -> None:
        """Do nothing."""

    def run(self) -> None:
        """Handle one ping."""
        number = next(self._numbers)
        ping = messages.Gossip(
            kind=messages.GossipKind.PING,
            sequence=number,
            revision=ids.Revision(0),
            route_version=1,
        )
        sender = ids.NodeId(f"n{number % MEMBERS}")
        data = datagrams.encode(SECRET.encode(), sender, clock.now(), ping)
        self.node.gossip.datagram_received(data, ("127.0.0.1", 9_000))


class _Datagrams:
    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Discard a datagram."""


class Ticks:
    """Ticks of a node at rest, at the times at which they are due."""

    def __init__(self) -> None:
        self.node = make_node()
        self.node.gossip.connection_made(_Datagrams())  # type: ignore[arg-type]

    def prepare(self) -> None:
        """Do nothing."""

    def run(self) -> None:
        """Apply the next tick; all probes before it are acknowledged."""
        self.node.state.membership.probes.clear()
        due = reducer.next_tick(self.node.state)
        for effect in reducer.reduce(self.node.state, events.Tick(now=due)):
            handler = self.node._handlers[type(effect)]
            if handler.__name__ == "send":
                handler(effect)


Made = EntrySide | HomeSide | Gossip | Ticks

CASES: dict[str, collections.abc.Callable[[], Made]] = {
    "entry, answered": EntrySide,
    "entry, refused by level": lambda: EntrySide(level=1 << 40),
    "home, answered": HomeSide,
    "home, shed": lambda: HomeSide(full=True),
    "gossip, one ping": Gossip,
    "tick at rest": Ticks,
}


def block_us(made: Made) -> float:
    """Return the processor time of a call in microseconds, from one block of calls."""
    made.prepare()
    begun = time.process_time()
    for _ in range(CALLS):
        made.run()
    return (time.process_time() - begun) / CALLS * 1e6


def measure() -> dict[str, float]:
    """Return the least processor time by case, in microseconds."""
    found = {}
    for name, make in CASES.items():
        made = make()
        block_us(made)
        gc.collect()
        found[name] = min(block_us(made) for _ in range(REPETITIONS))
    return found


class Worker:
    """A process that runs blocks of calls with the code of one source tree."""

    def __init__(self, tree: pathlib.Path) -> None:
        root = pathlib.Path(__file__).resolve().parents[1]
        path = [str(tree / "src"), str(root / "tooling"), str(root)]
        self._process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.call_path", "--serve"],
            env={**os.environ, "PYTHONPATH": os.pathsep.join(path)},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def block_us(self, name: str) -> float:
        """Return the processor time of a call of a case, from one block of calls."""
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        self._process.stdin.write(f"{name}\n")
        self._process.stdin.flush()
        return float(self._process.stdout.readline())

    def close(self) -> None:
        """End the process."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        self._process.wait(timeout=10)


def serve() -> None:
    """Run a block of calls for each name of a case on standard input."""
    made: dict[str, Made] = {}
    for line in sys.stdin:
        name = line.rstrip("\n")
        if name not in made:
            made[name] = CASES[name]()
            block_us(made[name])
        click.echo(f"{block_us(made[name])}")


def compare(before: pathlib.Path, blocks: int) -> None:
    """Print the figures of two source trees.

    Their blocks alternate, and the change is the median over the pairs of blocks: other
    load of the machine affects both of a pair.
    """
    trees = (before, pathlib.Path(__file__).resolve().parents[1])
    workers = [Worker(tree) for tree in trees]
    click.echo(f"{'us a call: least, and change':<28} {'before':>8} {'after':>8}")
    for name in CASES:
        pairs: list[list[float]] = []
        for turn in range(blocks):
            order = (0, 1) if turn % 2 else (1, 0)
            pair = {index: workers[index].block_us(name) for index in order}
            pairs.append([pair[0], pair[1]])
        least = [min(pair[index] for pair in pairs) for index in (0, 1)]
        change = 100.0 * (statistics.median(b / a for a, b in pairs) - 1.0)
        click.echo(f"{name:<28} {least[0]:>8.1f} {least[1]:>8.1f} {change:>+7.1f} %")
    for worker in workers:
        worker.close()


@click.command()
@click.option("--against", type=click.Path(path_type=pathlib.Path, exists=True))
@click.option("--blocks", default=60, show_default=True)
@click.option("--functions", default="", help="Print the functions of a case instead.")
@click.option("--serve", "as_worker", is_flag=True, hidden=True)
def main(
    against: pathlib.Path | None, blocks: int, functions: str, as_worker: bool
) -> None:
    """Print the processor time of a call by case."""
    if against is not None:
        compare(against, blocks)
        return

    async def run() -> dict[str, float]:
        logs._state.output = logs.Output(os.open(os.devnull, os.O_WRONLY))
        if as_worker:
            serve()
            return {}
        if not functions:
            return measure()
        made = CASES[functions]()
        block_us(made)
        profile = cProfile.Profile()
        profile.runcall(block_us, made)
        pstats.Stats(profile).sort_stats("tottime").print_stats(60)
        return {}

    found = asyncio.run(run())
    for name, value in found.items():
        click.echo(f"{name:<26} {value:>8.1f} us")


if __name__ == "__main__":
    main()
