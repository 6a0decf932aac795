"""Processor time of a call in the Python code of its two nodes, without sockets.

An entry node and a home node run in this process on transports that discard what is
written, with a route table, JSON log lines and some members. It is steadier than
:mod:`benchmarks.call_profile` on a busy machine: each figure is the least of several
repetitions. ``--against DIR`` compares with the source tree in ``DIR/src``, both in
turn.
"""

import asyncio
import collections.abc
import cProfile
import gc
import itertools
import json
import os
import pathlib
import pstats
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


def _measured_in(tree: pathlib.Path) -> dict[str, float]:
    root = pathlib.Path(__file__).resolve().parents[1]
    path = [str(tree / "src"), str(root / "tooling"), str(root)]
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(path)}
    command = [sys.executable, "-m", "benchmarks.call_path", "--json"]
    output = subprocess.run(
        command, env=environment, check=True, stdout=subprocess.PIPE
    ).stdout
    found: dict[str, float] = json.loads(output)
    return found


def compare(before: pathlib.Path, runs: int) -> None:
    """Print the figures of two source trees, measured in turn."""
    trees = (before, pathlib.Path(__file__).resolve().parents[1])
    least: list[dict[str, float]] = [{}, {}]
    for _ in range(runs):
        for tree, figures in zip(trees, least, strict=True):
            for name, value in _measured_in(tree).items():
                figures[name] = min(value, figures.get(name, value))
    click.echo(f"{'us, least of all':<26} {'before':>8} {'after':>8}")
    for name in CASES:
        before_us, after_us = (figures[name] for figures in least)
        change = 100.0 * (after_us / before_us - 1.0)
        click.echo(f"{name:<26} {before_us:>8.1f} {after_us:>8.1f} {change:>+7.1f} %")


@click.command()
@click.option("--against", type=click.Path(path_type=pathlib.Path, exists=True))
@click.option("--runs", default=3, show_default=True)
@click.option("--functions", default="", help="Print the functions of a case instead.")
@click.option("--json", "as_json", is_flag=True)
def main(
    against: pathlib.Path | None, runs: int, functions: str, as_json: bool
) -> None:
    """Print the processor time of a call by case."""
    if against is not None:
        compare(against, runs)
        return

    async def run() -> dict[str, float]:
        logs._state.output = logs.Output(os.open(os.devnull, os.O_WRONLY))
        if not functions:
            return measure()
        made = CASES[functions]()
        block_us(made)
        profile = cProfile.Profile()
        profile.runcall(block_us, made)
        pstats.Stats(profile).sort_stats("tottime").print_stats(60)
        return {}

    found = asyncio.run(run())
    if as_json:
        click.echo(json.dumps(found))
        return
    for name, value in found.items():
        click.echo(f"{name:<26} {value:>8.1f} us")


if __name__ == "__main__":
    main()
