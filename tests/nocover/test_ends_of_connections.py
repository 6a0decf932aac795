"""Records of real connections that ended with an open request."""

import collections.abc
import json
import pathlib
import signal
import socket
import time

import pytest

from gingerturn_standins import platform_processes

ROUTE = {
    "name": "r-lookup",
    "hostname": "shop.example",
    "path_prefix": "/a/",
    "route_type": "safe",
    "timeout_ms": 9_000,
    "target_latency_ms": 500,
    "priority": 2,
    "service_name": "plans",
    "max_attempts": 1,
}


@pytest.fixture
def platform(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[platform_processes.Platform]:
    """Start two machines with a route in force."""
    with platform_processes.Platform(tmp_path) as made:
        made.configure(ROUTE)
        made.add("plans-1", service="plans")
        made.add("porting-1", service="porting")
        made.wait_ready()
        yield made


def _send(
    machine: platform_processes.Machine, number: str, path: str, *, rest: bytes = b""
) -> socket.socket:
    connection = socket.create_connection(("127.0.0.1", machine.ports["outbound"]))
    head = (
        f"GET {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {number}\r\n"
        "Deadline-Ms: 9000\r\n"
    )
    connection.sendall(head.encode() + (rest or b"\r\n"))
    return connection


def _lines(made: platform_processes.Platform, name: str, part: str) -> list[dict]:
    found = [json.loads(line) for line in made.log_of(name).splitlines()]
    return [line for line in found if line["part"] == part and "ended" in line["text"]]


# Guards against a lost request of which no log tells how far it came.
def test_a_caller_that_leaves_is_recorded_with_its_request(
    platform: platform_processes.Platform,
) -> None:
    entry = platform.machines["porting-1"]
    connection = _send(entry, "left", "/a/x?work_ms=4000")
    upstream = platform.machines["plans-1"]
    platform.wait_until(lambda: "left" in upstream.counts()["runs"])
    connection.close()
    platform.wait_until(lambda: bool(_lines(platform, "porting-1", "ingress")))
    (line,) = _lines(platform, "porting-1", "ingress")
    assert line["request"] == "left"
    assert line["phase"] == "passed_on"
    assert line["upstream"] == "plans-1"
    assert line["ended_by"] == "peer"
    assert line["stop_age_ms"] == -1
    expected = 'connection_ends_total{peer="caller",by="peer",how="fin"'
    assert f'{expected},open="passed on"}} 1' in entry.metrics()


# Guards against a stop whose log does not tell what it cut, and when.
def test_an_upload_at_the_end_of_a_process_is_recorded(
    platform: platform_processes.Platform,
) -> None:
    entry = platform.machines["porting-1"]
    connection = _send(
        entry, "upload", "/a/x", rest=b"Content-Length: 5000\r\n\r\nbegin"
    )
    time.sleep(0.2)
    entry.node.send_signal(signal.SIGTERM)
    platform.wait_until(lambda: "Planned stop begins" in platform.log_of(entry.name))
    # Cuts what the planned stop would still wait for.
    entry.node.send_signal(signal.SIGINT)
    entry.node.wait(10.0)
    connection.close()
    (line,) = _lines(platform, "porting-1", "ingress")
    assert line["request"] == "upload"
    assert line["phase"] == "body"
    assert line["body_bytes"] == 5
    assert line["ended_by"] == "node"
    assert line["stop_age_ms"] >= 0


# Guards against an upstream that breaks off and is not told from one that was cut off.
def test_an_upstream_that_closes_is_recorded_with_the_request(
    platform: platform_processes.Platform,
) -> None:
    entry, upstream = platform.machines["porting-1"], platform.machines["plans-1"]
    connection = _send(entry, "crash", "/a/deadly")
    upstream.upstream.wait(10.0)
    platform.wait_until(lambda: bool(_lines(platform, "plans-1", "backend")))
    line = _lines(platform, "plans-1", "backend")[0]
    assert line["request"] == "crash"
    assert line["phase"] == "passed_on"
    assert line["how"] == "fin"
    connection.close()
