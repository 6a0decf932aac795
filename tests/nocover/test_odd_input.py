"""Real nodes that receive odd heartbeats, heads, datagrams and settings."""

import collections.abc
import json
import os
import pathlib
import re
import signal
import socket
import time

import pytest

from gingerturn.internal.wire import datagrams, schema
from gingerturn_platform import boot
from gingerturn_standins import platform_processes
from tests.common import raw

ROUTE: dict[str, object] = {
    "name": "r-lookup",
    "hostname": "shop.example",
    "path_prefix": "/a/",
    "route_type": "safe",
    "timeout_ms": 2_000,
    "target_latency_ms": 500,
    "priority": 2,
    "service_name": "plans",
    "max_attempts": 2,
}
NODES = ("plans-1", "plans-2")
LONG = "1" * 5_000
ZEROS = b"0" * 5_000


@pytest.fixture(scope="module")
def platform(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[platform_processes.Platform]:
    """Start two machines with a route in force."""
    with platform_processes.Platform(tmp_path_factory.mktemp("odd")) as made:
        made.configure(ROUTE)
        for name in NODES:
            made.add(name, service="plans")
        made.wait_ready()
        yield made


def _beat(machine: platform_processes.Machine, **fields: object) -> bytes:
    beat = {
        "address": f"127.0.0.1:{machine.ports['app']}",
        "node_info": {"service_name": "plans", "slots": 8},
        "status": {"state": "ready", "sequence": 1 << 40},
    }
    return json.dumps({**beat, **fields}).encode()


def _report(machine: platform_processes.Machine, body: bytes) -> bytes:
    head = b"POST /instances/i-plans-1/heartbeat HTTP/1.1\r\nhost: n\r\n"
    head += b"connection: close\r\ncontent-length: %d\r\n\r\n" % len(body)
    return raw.exchange(machine.ports["control"], head + body)


def _call(machine: platform_processes.Machine, *headers: bytes, body: bytes) -> bytes:
    head = b"\r\n".join(
        (
            b"POST /a/x HTTP/1.1",
            b"host: shop.example",
            b"request-id: 9c41d07be2a35f68",
            b"deadline-ms: 2000",
            b"connection: close",
            *headers,
        )
    )
    return raw.exchange(machine.ports["outbound"], head + b"\r\n\r\n" + body)


def _check_alive(platform: platform_processes.Platform) -> None:
    for name in NODES:
        machine = platform.machines[name]
        assert machine.node.poll() is None
        assert "Unhandled error" not in platform.log_of(name)
        answer = _call(machine, b"content-length: 3", body=b"abc")
        assert answer.startswith(b"HTTP/1.1 200 "), answer


# Guards against a heartbeat that is answered 500 and logged as an unhandled error.
def test_a_heartbeat_with_a_port_of_many_digits_is_refused(
    platform: platform_processes.Platform,
) -> None:
    machine = platform.machines["plans-1"]
    answer = _report(machine, _beat(machine, address=f"127.0.0.1:{LONG}"))
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert b"address is '127.0.0.1:1" in answer
    assert re.search(r"Report .* skipped: .*address is", platform.log_of("plans-1"))
    _check_alive(platform)


@pytest.mark.parametrize("depth", [2_000, 30_000])
def test_a_nested_heartbeat_is_refused(
    platform: platform_processes.Platform, depth: int
) -> None:
    machine = platform.machines["plans-1"]
    nested = b'{"x": ' + b"[" * depth + b"]" * depth + b", "
    answer = _report(machine, _beat(machine).replace(b"{", nested, 1))
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert b"nested too deeply" in answer
    _check_alive(platform)


def test_a_heartbeat_beyond_the_largest_body_is_refused(
    platform: platform_processes.Platform,
) -> None:
    machine = platform.machines["plans-1"]
    nested = b'{"x": ' + b"[" * 100_000 + b"]" * 100_000 + b", "
    answer = _report(machine, _beat(machine).replace(b"{", nested, 1))
    assert re.match(rb"HTTP/1\.1 4(00|13) ", answer)
    _check_alive(platform)


# Guards against a connection that is closed without an answer.
@pytest.mark.parametrize("name", NODES)
def test_a_post_whose_length_has_many_leading_zeros_is_answered(
    platform: platform_processes.Platform, name: str
) -> None:
    length = b"content-length: " + ZEROS + b"3"
    answer = _call(platform.machines[name], length, body=b"abc")
    assert answer.startswith(b"HTTP/1.1 200 ")
    _check_alive(platform)


def test_a_long_body_whose_length_has_leading_zeros_is_answered(
    platform: platform_processes.Platform,
) -> None:
    body = b"x" * 400_000
    length = b"content-length: " + ZEROS + b"%d" % len(body)
    answer = _call(platform.machines["plans-1"], length, body=body)
    assert answer.startswith(b"HTTP/1.1 200 ")


# Guards against a datagram that passes and cannot be sent on, or that ends a handler.
def test_odd_members_in_a_datagram_leave_the_nodes_as_they_are(
    platform: platform_processes.Platform,
) -> None:
    machine = platform.machines["plans-1"]
    secret = boot.SECRET.encode()
    changes: list[dict[str, object]] = [
        {"node": "plans-1", "incarnation": (1 << 64) - 1},
        {"node": "plans-2", "incarnation": (1 << 64) - 1},
        {"node": "n" * 30_000, "incarnation": 5},
        {"node": "odd-1", "incarnation": 5, "host": "::1"},
        {"node": "odd-2", "incarnation": 5, "host": "255.255.255.255"},
        {"node": "odd-3", "incarnation": 5, "version": (1 << 32) - 1},
    ]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number, change in enumerate(changes):
            root = schema.peer.Gossip.new_message()
            root.sender = "odd-sender"
            root.sentAtMs = time.time() * 1_000.0 + number
            (member,) = root.init("members", 1)
            usual = {"host": "127.0.0.1", "peersPort": 9, "gossipPort": 9, "zone": "a"}
            for field, value in {**usual, **change}.items():
                setattr(member, field, value)
            content = root.to_bytes_packed()
            datagram = datagrams.mac(secret, content) + content
            sender.sendto(datagram, ("127.0.0.1", machine.ports["gossip"]))
    platform.wait_until(lambda: "Member 'odd-3' skipped" in platform.log_of("plans-1"))
    time.sleep(1.0)
    assert machine.metric("datagrams_unsent_total") >= 1.0
    _check_alive(platform)
    assert all(machine.ready() for machine in platform.machines.values())


# Guards against a reload that an odd file ends with an error that nothing catches.
def test_odd_settings_are_refused_and_the_node_runs_on(
    platform: platform_processes.Platform,
) -> None:
    path = platform.settings_path("plans-1")
    before = path.read_text()
    nested = f"{'[' * 100_000}{']' * 100_000}"
    try:
        path.write_text(f'{before[:-1]}, "x": {nested}}}')
        os.kill(platform.machines["plans-1"].node.pid, signal.SIGHUP)
        platform.wait_until(
            lambda: "Settings refused" in platform.log_of("plans-1"), timeout=10.0
        )
    finally:
        pathlib.Path(path).write_text(before)
    _check_alive(platform)
