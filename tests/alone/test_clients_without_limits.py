"""Real nodes under clients that keep to no limit.

Each test runs alone, since the memory of a node is compared with a bound.
"""

import asyncio
import collections.abc
import pathlib

import pytest

from gingerturn_soak import raw_callers
from gingerturn_standins import platform_processes
from tests.common import crowds

MEMORY_MB = 100
"""Memory of the machine of each node, as its settings tell."""

LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 2_000_000,
    "header_timeout_ms": 5_000,
    "idle_timeout_ms": 2_000,
}
LEFT = 60
"""Descriptors that a node has left, where they are limited."""

DESCRIPTOR_CROWD = 90
HOLD_S = 2.0
"""Time for which a crowd stays before an ordinary request is sent."""

CLOSE_LIMIT_S = 60.0
"""Limit of a test, for connections that a node would never close."""

BODY_BYTES = 250_000
"""Just below the size from which bodies are streamed."""

ROUTE = {
    "name": "r-p",
    "hostname": crowds.HOST,
    "path_prefix": "/p/",
    "route_type": "non_idempotent",
    "timeout_ms": 5_000,
    "target_latency_ms": 1_500,
    "priority": 0,
    "service_name": "porting",
    "max_attempts": 1,
}
DOWNLOAD = {**ROUTE, "name": "r-d", "path_prefix": "/d/", "route_type": "download"}
ORDINARY = raw_callers.Shape("ordinary", "POST", "/p/x", body=100)


@pytest.fixture
def platform(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[platform_processes.Platform]:
    """Start two machines of little memory."""
    limits = {"memory_mb": MEMORY_MB, "max_fds": 4_100}
    with platform_processes.Platform(tmp_path, limits=limits) as made:
        made.configure(ROUTE, DOWNLOAD, limits=LIMITS)
        made.add("entry", service="plans")
        made.add("porting-1", service="porting")
        made.wait_ready()
        made.wait_until(lambda: asyncio.run(_is_served(made)))
        yield made


async def _ask(made: platform_processes.Platform) -> raw_callers.Exchange:
    entry = made.machines["entry"]
    port = entry.ports["outbound"]
    return await raw_callers.Caller("ordinary", entry.name, port, kept=False).send(
        ORDINARY
    )


async def _is_served(made: platform_processes.Platform) -> bool:
    return (await _ask(made)).status == 200


async def _until_served(made: platform_processes.Platform) -> None:
    """Wait until an ordinary request is served."""
    async with asyncio.timeout(CLOSE_LIMIT_S):
        while not await _is_served(made):
            await asyncio.sleep(0.1)


def _check_nodes(made: platform_processes.Platform) -> None:
    for machine in made.machines.values():
        assert machine.node.poll() is None, machine.name
        peak = crowds.peak_bytes(machine.node.pid)
        assert peak < MEMORY_MB * 1_000_000, (machine.name, peak)


async def _play(
    made: platform_processes.Platform,
    count: int,
    write: crowds.Writing,
    *,
    port: int = 0,
) -> None:
    """Let a crowd send and stay; an ordinary request is served beside and after it.

    :param port: where it connects; 0 for that of callers.
    """
    port = port or made.machines["entry"].ports["outbound"]
    crowd = crowds.Crowd()
    try:
        async with asyncio.timeout(2 * CLOSE_LIMIT_S):
            await crowd.send(port, count, write)
        await asyncio.sleep(HOLD_S)
        _check_nodes(made)
        await _until_served(made)
    finally:
        crowd.leave()
    await _until_served(made)
    _check_nodes(made)


async def _body_with_a_length(client: crowds.Client) -> None:
    await client.send_head(f"Content-Length: {BODY_BYTES}", "Deadline-Ms: 5000")
    await client.send(b"x" * (BODY_BYTES - 1))


async def _body_in_chunks(client: crowds.Client) -> None:
    await client.send_head("Transfer-Encoding: chunked", "Deadline-Ms: 5000")
    size = 10_000
    await client.send(_chunk(b"x" * size) * (BODY_BYTES // size))


async def _body_without_a_deadline(client: crowds.Client) -> None:
    await client.send_head(f"Content-Length: {BODY_BYTES}")
    await client.send(b"x" * (BODY_BYTES - 1))


async def _streamed_body(client: crowds.Client) -> None:
    await client.send_head("Transfer-Encoding: chunked", "Deadline-Ms: 5000")
    await client.send(_chunk(b"x" * 10_000) * 60)


async def _body_in_tiny_chunks(client: crowds.Client) -> None:
    await client.send_head("Transfer-Encoding: chunked", "Deadline-Ms: 5000")
    await client.send(_chunk(b"x") * 50_000)


async def _endless_body(client: crowds.Client) -> None:
    await client.send_head("Transfer-Encoding: chunked", "Deadline-Ms: 5000")
    for _ in range(200):
        await client.send(_chunk(b"x" * 50_000))


async def _announced_body(client: crowds.Client) -> None:
    await client.send_head("Content-Length: 500000000", "Deadline-Ms: 5000")
    for _ in range(200):
        await client.send(b"x" * 50_000)


async def _send_endlessly(client: crowds.Client, begin: bytes, go_on: bytes) -> None:
    await client.send_head("Transfer-Encoding: chunked", "Deadline-Ms: 5000")
    await client.send(begin)
    for _ in range(250):
        await client.send(go_on)


async def _endless_trailer_line(client: crowds.Client) -> None:
    await _send_endlessly(client, _chunk(b"x") + b"0\r\nX-Trailer: ", b"x" * 65_536)


async def _endless_trailer_name(client: crowds.Client) -> None:
    await _send_endlessly(client, _chunk(b"x") + b"0\r\n", b"x" * 65_536)


async def _endless_trailer_lines(client: crowds.Client) -> None:
    lines = b"X-Trailer: %b\r\n" % (b"x" * 100) * 600
    await _send_endlessly(client, _chunk(b"x") + b"0\r\n", lines)


async def _endless_extension(client: crowds.Client) -> None:
    await _send_endlessly(client, b"1;x=", b"x" * 65_536)


async def _unread_answer(client: crowds.Client) -> None:
    path = f"/d/x?bytes={BODY_BYTES}"
    await client.send_head("Deadline-Ms: 5000", path=path, method="GET")


async def _unread_answers(client: crowds.Client) -> None:
    for _ in range(8):
        await _unread_answer(client)


def _chunk(content: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(content), content)


# Guards against a process that runs out of memory, or serves nobody any more, for what
# clients send that keep to no limit.
@pytest.mark.parametrize(
    ("count", "write"),
    [
        (300, _body_with_a_length),
        (300, _body_in_chunks),
        (300, _body_without_a_deadline),
        (200, _streamed_body),
        (100, _body_in_tiny_chunks),
        (40, _endless_body),
        (40, _announced_body),
        (8, _endless_trailer_line),
        (8, _endless_trailer_name),
        (8, _endless_trailer_lines),
        (8, _endless_extension),
        (300, _unread_answer),
        (60, _unread_answers),
        (600, _unread_answers),
    ],
    ids=lambda value: getattr(value, "__name__", str(value)).lstrip("_"),
)
def test_a_crowd_leaves_the_node_alive_and_within_its_memory(
    platform: platform_processes.Platform, count: int, write: crowds.Writing
) -> None:
    asyncio.run(_play(platform, count, write))


async def _pipelined_metrics(client: crowds.Client) -> None:
    for _ in range(200):
        await client.send(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n" * 200)


# Guards against the same for requests to an address that is not for callers.
def test_a_crowd_at_the_metrics_leaves_the_node_alive_and_within_its_memory(
    platform: platform_processes.Platform,
) -> None:
    port = platform.machines["entry"].ports["gossip"] + 1
    asyncio.run(_play(platform, 100, _pipelined_metrics, port=port))


async def _trickle(client: crowds.Client) -> None:
    await client.send_head("Content-Length: 100000", "Deadline-Ms: 1000")

    async def go_on() -> None:
        while True:
            await asyncio.sleep(0.2)
            await client.send(b"x")

    sending = asyncio.create_task(go_on())
    await client.until_closed()
    sending.cancel()


async def _stop_in_the_body(client: crowds.Client) -> None:
    await client.send_head("Content-Length: 100000", "Deadline-Ms: 60000")
    await client.send(b"x" * 1_000)
    await client.until_closed()


async def _stop_in_the_trailers(client: crowds.Client) -> None:
    await client.send_head("Transfer-Encoding: chunked", "Deadline-Ms: 60000")
    await client.send(_chunk(b"x") + b"0\r\nX-Trailer: x")
    await client.until_closed()


# Guards against requests that are held for as long as their clients stay.
@pytest.mark.parametrize("write", [_trickle, _stop_in_the_body, _stop_in_the_trailers])
def test_a_body_that_does_not_arrive_is_given_up(
    platform: platform_processes.Platform, write: crowds.Writing
) -> None:
    async def play() -> None:
        port = platform.machines["entry"].ports["outbound"]
        crowd = crowds.Crowd()
        try:
            async with asyncio.timeout(CLOSE_LIMIT_S):
                await crowd.send(port, 5, write)
        finally:
            crowd.leave()
        await _until_served(platform)

    asyncio.run(play())


async def _connect_only(client: crowds.Client) -> None:
    pass


# Guards against callers that nobody serves, as other clients hold all descriptors.
@pytest.mark.parametrize(
    ("address", "write"),
    [
        ("outbound", _connect_only),
        ("outbound", _body_with_a_length),
        ("outbound", _streamed_body),
        ("ready", _connect_only),
        ("control", _connect_only),
        ("inbound", _connect_only),
    ],
    ids=lambda value: getattr(value, "__name__", str(value)).lstrip("_"),
)
def test_a_crowd_that_holds_connections_leaves_descriptors_to_others(
    platform: platform_processes.Platform, address: str, write: crowds.Writing
) -> None:
    machine = platform.machines["entry"]
    pid = machine.node.pid
    limit = crowds.leave_descriptors(pid, LEFT)

    async def play() -> None:
        port = machine.ports[address]
        crowd = crowds.Crowd()
        sending = asyncio.create_task(crowd.send(port, DESCRIPTOR_CROWD, write))
        try:
            await asyncio.wait([sending], timeout=HOLD_S)
            await _until_served(platform)
        finally:
            sending.cancel()
            crowd.leave()
        assert crowds.descriptors(pid) <= limit
        _check_nodes(platform)

    asyncio.run(play())


# Guards against a node without descriptors, as others come back at the address for
# peers as often as their handshake is given up.
def test_a_crowd_that_returns_to_the_address_for_peers_leaves_descriptors_to_others(
    platform: platform_processes.Platform,
) -> None:
    machine = platform.machines["entry"]
    pid = machine.node.pid
    limit = crowds.leave_descriptors(pid, LEFT)
    crowd = crowds.Crowd()

    async def return_always() -> None:
        while True:
            await crowd.send(machine.ports["inbound"], 1, crowds.Client.until_closed)

    async def play() -> None:
        count = 2 * DESCRIPTOR_CROWD
        sending = [asyncio.create_task(return_always()) for _ in range(count)]
        try:
            await asyncio.sleep(HOLD_S)
            await _until_served(platform)
        finally:
            for task in sending:
                task.cancel()
            crowd.leave()
        assert crowds.descriptors(pid) <= limit
        _check_nodes(platform)

    asyncio.run(play())
