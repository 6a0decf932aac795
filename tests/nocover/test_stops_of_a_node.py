"""Planned stops of real nodes, with requests that outlast the linger time."""

import asyncio
import collections.abc
import pathlib
import signal

import pytest

from gingerturn_soak import raw_callers
from gingerturn_standins import platform_processes

Ending = raw_callers.Ending
Shape = raw_callers.Shape

BEFORE_S = 0.3
"""Time before SIGTERM at which the first requests are sent."""

EXIT_WAIT_S = 6.0
"""The grace, after which the platform kills a process."""

ROUTE = {
    "hostname": raw_callers.HOST,
    "timeout_ms": 7_000,
    "target_latency_ms": 1_500,
    "priority": 0,
    "max_attempts": 1,
}
ROUTES = (
    {**ROUTE, "name": "r-d", "path_prefix": "/d/", "route_type": "download"}
    | {"service_name": "plans"},
    {**ROUTE, "name": "r-p", "path_prefix": "/p/", "route_type": "non_idempotent"}
    | {"service_name": "plans"},
    {**ROUTE, "name": "r-c", "path_prefix": "/c/", "route_type": "safe"}
    | {"service_name": "porting"},
)

# Ends 4.3 s after SIGTERM, between the linger time and the drain timeout.
DOWNLOAD = Shape("download", path="/d/x?bytes=800000&over_ms=4600")


@pytest.fixture
def platform(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[platform_processes.Platform]:
    """Start two machines with routes to both of their upstreams."""
    with platform_processes.Platform(tmp_path) as made:
        made.configure(*ROUTES)
        made.add("plans-1", service="plans")
        made.add("porting-1", service="porting")
        made.wait_ready()
        yield made


@pytest.fixture
def two_upstreams(
    platform: platform_processes.Platform,
) -> platform_processes.Platform:
    """Add a second machine with an upstream of the same service."""
    platform.add("plans-2", service="plans")
    platform.wait_ready()
    return platform


async def _send(
    entry: platform_processes.Machine, shape: Shape, at_s: float
) -> raw_callers.Exchange:
    """Send a request over a new connection.

    :param at_s: when, in seconds after SIGTERM.
    """
    await asyncio.sleep(BEFORE_S + at_s)
    caller = raw_callers.Caller(
        f"{shape.name}-{at_s}", entry.name, entry.ports["outbound"], kept=True
    )
    return await caller.send(shape)


async def _stop(
    entry: platform_processes.Machine,
    sent: collections.abc.Sequence[tuple[float, Shape]],
    *stopping: platform_processes.Machine,
    signals: collections.abc.Sequence[tuple[float, signal.Signals]] = (),
) -> tuple[list[raw_callers.Exchange], list[int]]:
    """Stop nodes under requests; return the exchanges and the exit statuses.

    :param sent: requests and when they are sent, in seconds after SIGTERM.
    :param signals: further signals to the nodes and when they are sent.
    """
    exchanges = [asyncio.create_task(_send(entry, shape, at_s)) for at_s, shape in sent]
    await asyncio.sleep(BEFORE_S)
    for machine in stopping:
        machine.node.send_signal(signal.SIGTERM)

    async def signal_later(at_s: float, number: signal.Signals) -> None:
        await asyncio.sleep(at_s)
        for machine in stopping:
            machine.node.send_signal(number)

    later = [asyncio.create_task(signal_later(*moment)) for moment in signals]
    statuses = [
        await asyncio.to_thread(machine.node.wait, EXIT_WAIT_S) for machine in stopping
    ]
    await asyncio.gather(*later)
    return [await task for task in exchanges], statuses


def _is_whole(exchange: raw_callers.Exchange) -> bool:
    return exchange.ending is Ending.ANSWERED and exchange.status == 200


def _runs(made: platform_processes.Platform, number: str) -> int:
    return sum(m.counts()["runs"].get(number, 0) for m in made.machines.values())


# Guards against answers that are cut in their body, since a stop waits only until
# their heads are relayed.
def test_an_answer_that_flows_past_the_linger_time_is_whole(
    platform: platform_processes.Platform,
) -> None:
    entry = platform.machines["porting-1"]
    (exchange,), statuses = asyncio.run(_stop(entry, [(-BEFORE_S, DOWNLOAD)], entry))
    assert _is_whole(exchange), exchange
    assert statuses == [0]


# Guards against requests that are closed without an answer, since a stop does not
# wait for one whose body still arrives.
def test_an_upload_that_ends_after_the_linger_time_is_answered(
    platform: platform_processes.Platform,
) -> None:
    entry = platform.machines["porting-1"]
    upload = Shape("upload", "POST", "/p/x", body=60_000, upload_s=3.0)
    (exchange,), statuses = asyncio.run(_stop(entry, [(1.5, upload)], entry))
    assert exchange.ending is Ending.ANSWERED, exchange
    assert exchange.status in {200, 503}, exchange
    assert _runs(platform, exchange.id) == (exchange.status == 200)
    assert statuses == [0]


# Guards against calls that fail, and with them the calls that make them, since the
# listener closes while the backend server beside still works.
def test_a_late_call_of_the_backend_server_beside_is_served(
    platform: platform_processes.Platform,
) -> None:
    beside = platform.machines["plans-1"]
    # It calls over a new connection 3.5 s after SIGTERM, for half a second.
    path = "/p/x?work_ms=4200&call_after_ms=3800&call=/c/y%3Fwork_ms%3D500"
    work = Shape("late-call", "POST", path)
    (exchange,), statuses = asyncio.run(
        _stop(platform.machines["porting-1"], [(-BEFORE_S, work)], beside)
    )
    assert _is_whole(exchange), exchange
    assert _runs(platform, f"{exchange.id}.1") == 1
    assert statuses == [0]


# Guards against answers cut by the stop of the node beside the upstream, which hosts
# them, also where the entry node stops at the same moment.
@pytest.mark.parametrize("entry_stops", [False, True])
def test_an_answer_from_a_stopping_node_is_whole(
    platform: platform_processes.Platform, *, entry_stops: bool
) -> None:
    entry, home = platform.machines["porting-1"], platform.machines["plans-1"]
    stopping = [home, entry] if entry_stops else [home]
    (exchange,), statuses = asyncio.run(
        _stop(entry, [(-BEFORE_S, DOWNLOAD)], *stopping)
    )
    assert _is_whole(exchange), exchange
    assert statuses == [0] * len(stopping)


# Guards against calls that the node beside the upstream takes during its stop, and
# cuts at entry nodes that no signal concerns.
def test_calls_that_would_outlast_the_stop_of_their_home_are_served_elsewhere(
    two_upstreams: platform_processes.Platform,
) -> None:
    machines = two_upstreams.machines
    entry, home = machines["porting-1"], machines["plans-1"]
    download = Shape("download", path="/d/x?bytes=800000&over_ms=4200")

    async def warm_up() -> list[raw_callers.Exchange]:
        sent = (_send(entry, download, 0.01 * n) for n in range(14))
        return await asyncio.gather(*sent)

    assert all(map(_is_whole, asyncio.run(warm_up())))
    late = [(1.0 + 0.08 * n, download) for n in range(6)]
    exchanges, statuses = asyncio.run(_stop(entry, late, home))
    assert all(map(_is_whole, exchanges)), exchanges
    runs = home.counts()["runs"]
    assert not [e.id for e in exchanges if e.id in runs]
    assert [_runs(two_upstreams, e.id) for e in exchanges] == [1] * len(exchanges)
    assert statuses == [0]


# Guards against unrepeatable requests that a node takes after SIGTERM, and gives up
# with an unknown outcome while their upstream works on them.
def test_unrepeatable_requests_after_the_signal_are_answered_or_not_run(
    platform: platform_processes.Platform,
) -> None:
    entry = platform.machines["porting-1"]
    work = Shape("work", "POST", "/p/x?work_ms=4500")
    # The last one comes before the linger time ends.
    late = [(0.2 + 0.35 * number, work) for number in range(8)]
    exchanges, statuses = asyncio.run(_stop(entry, late, entry))
    for exchange in exchanges:
        assert exchange.ending is Ending.ANSWERED, exchange
        assert exchange.status in {200, 503}, exchange
        assert _runs(platform, exchange.id) == (exchange.status == 200)
    assert statuses == [0]


# Guards against answers that are replaced while their upstream may still end its work.
def test_work_that_ends_shortly_before_the_drain_timeout_is_answered(
    platform: platform_processes.Platform,
) -> None:
    entry = platform.machines["porting-1"]
    # Ends 5.2 s after SIGTERM.
    work = Shape("work", "POST", "/p/x?work_ms=5500")
    (exchange,), statuses = asyncio.run(_stop(entry, [(-BEFORE_S, work)], entry))
    assert _is_whole(exchange), exchange
    assert exchange.signed
    assert _runs(platform, exchange.id) == 1
    assert statuses == [0]


# Guards against a stop that a further signal ends, prolongs or turns into a failure.
def test_signals_during_a_stop_change_nothing(
    platform: platform_processes.Platform,
) -> None:
    entry = platform.machines["porting-1"]
    signals = [(at_s, signal.SIGHUP) for at_s in (0.2, 1.0, 3.6)]
    signals += [(at_s, signal.SIGTERM) for at_s in (0.5, 3.2, 3.8)]
    # The process gets no time for a second.
    signals += [(2.5, signal.SIGSTOP), (3.5, signal.SIGCONT)]
    (exchange,), statuses = asyncio.run(
        _stop(entry, [(-BEFORE_S, DOWNLOAD)], entry, signals=signals)
    )
    assert _is_whole(exchange), exchange
    assert statuses == [0]


# Guards against a connection that is closed with its answer: the request behind it was
# read whole, or crosses the close.
def test_requests_of_a_kept_connection_are_answered_after_the_linger_time(
    platform: platform_processes.Platform,
) -> None:
    entry = platform.machines["porting-1"]
    get = Shape("get", path="/c/x")

    async def play() -> tuple[list[raw_callers.Exchange], list[int]]:
        stop = asyncio.create_task(_stop(entry, [(-BEFORE_S, DOWNLOAD)], entry))
        caller = raw_callers.Caller(
            "kept", entry.name, entry.ports["outbound"], kept=True
        )
        answers = [await caller.send(get)]
        # Idle from before SIGTERM until after the linger time.
        await asyncio.sleep(BEFORE_S + 3.4)
        answers.append(await caller.send(get))
        (download,), statuses = await stop
        return [download, *answers], statuses

    (download, before, after), statuses = asyncio.run(play())
    assert _is_whole(download)
    assert _is_whole(before)
    assert not after.first
    assert (after.ending, after.status) == (Ending.ANSWERED, 503), after
    assert _runs(platform, after.id) == 0
    assert statuses == [0]


# Guards against connections that are accepted and then cut, in place of refused ones
# whose callers try another node at once.
def test_new_connections_are_refused_once_no_call_is_known(
    platform: platform_processes.Platform,
) -> None:
    entry = platform.machines["porting-1"]
    get = Shape("get", path="/d/y")
    sent = [(-BEFORE_S, DOWNLOAD), (2.0, get), (3.6, get)]
    (download, served, refused), statuses = asyncio.run(_stop(entry, sent, entry))
    assert _is_whole(download)
    assert _is_whole(served), served
    assert refused.ending is Ending.REFUSED, refused
    assert statuses == [0]


# Guards against connections that are reset unanswered, as the kernel completed their
# handshake while the listener closed.
def test_connections_that_cross_the_close_are_answered_or_refused(
    platform: platform_processes.Platform,
) -> None:
    entry = platform.machines["porting-1"]
    work = Shape("work", "POST", "/p/x?work_ms=4500")

    async def send_until_refused(number: int) -> list[raw_callers.Exchange]:
        await asyncio.sleep(BEFORE_S + 2.5)
        exchanges: list[raw_callers.Exchange] = []
        while not exchanges or exchanges[-1].ending is not Ending.REFUSED:
            name = f"{number}-{len(exchanges)}"
            port = entry.ports["outbound"]
            caller = raw_callers.Caller(name, entry.name, port, kept=False)
            exchanges.append(await caller.send(work))
        return exchanges

    async def play() -> tuple[list[raw_callers.Exchange], list[int]]:
        stop = asyncio.create_task(_stop(entry, [], entry))
        sent = await asyncio.gather(*map(send_until_refused, range(8)))
        _, statuses = await stop
        return [exchange for exchanges in sent for exchange in exchanges], statuses

    exchanges, statuses = asyncio.run(play())
    runs = platform.machines["plans-1"].counts()["runs"]
    runs |= entry.counts()["runs"]
    for exchange in exchanges:
        if exchange.ending is not Ending.REFUSED:
            assert exchange.ending is Ending.ANSWERED, exchange
            assert exchange.status == 503, exchange
        assert exchange.id not in runs
    assert statuses == [0]


# Guards against an end that hides what it cut: no line, or status 0.
def test_what_outlasts_the_drain_timeout_is_cut_and_logged(
    platform: platform_processes.Platform,
) -> None:
    entry = platform.machines["porting-1"]
    endless = Shape("endless", path="/d/x?bytes=800000&over_ms=6800")
    upload = Shape("slow-upload", "POST", "/p/x", body=60_000, upload_s=8.0)
    exchanges, statuses = asyncio.run(
        _stop(entry, [(-BEFORE_S, endless), (1.0, upload)], entry)
    )
    download, refused = exchanges
    assert download.ending in {Ending.FIN, Ending.RESET}
    assert statuses == [3]
    lines = [
        line
        for line in platform.log_of("porting-1").splitlines()
        if "Cut by the end of the process" in line
    ]
    assert len(lines) == 1
    assert download.id in lines[0]
    assert '"phase":"answering"' in lines[0]
    assert '"upstream":"plans-1"' in lines[0]
    # Refused in the middle of its body, at the end of the grace.
    assert refused.status == 503
    assert _runs(platform, refused.id) == 0
