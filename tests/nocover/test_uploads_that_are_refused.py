"""Uploads to real nodes that answer before they have read them."""

import collections.abc
import pathlib
import urllib.parse

import pytest

from gingerturn_standins import platform_processes
from tests.common import late_readers

ROUTE = {
    "name": "r-port",
    "hostname": "shop.example",
    "path_prefix": "/p/",
    "route_type": "non_idempotent",
    "timeout_ms": 5_000,
    "target_latency_ms": 500,
    "priority": 0,
    "service_name": "porting",
    "max_attempts": 1,
}
BODY_BYTES = 20_000_000
PIECE = b"u" * 1_000_000


@pytest.fixture(scope="module")
def machine(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[platform_processes.Machine]:
    """Start one machine with one route."""
    folder: pathlib.Path = tmp_path_factory.mktemp("uploads")
    with platform_processes.Platform(folder) as made:
        made.configure(ROUTE)
        machine = made.add("porting-1", service="porting")
        made.wait_ready()
        yield machine


def _upload(
    machine: platform_processes.Machine, path: str, pause_s: float
) -> late_readers.Seen:
    head = f"POST {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: u{pause_s}\r\n"
    head += f"Deadline-Ms: 5000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    port = urllib.parse.urlsplit(machine.entry).port
    assert port is not None
    pieces = (head.encode(), *[PIECE] * (BODY_BYTES // len(PIECE)))
    return late_readers.exchange(port, pieces, pause_s=pause_s)


# Guards against answers that a reset takes away from a caller that still sends.
@pytest.mark.parametrize("pause_s", [0.0, 0.05])
def test_an_upload_to_no_route_is_answered_and_its_connection_ends(
    machine: platform_processes.Machine, pause_s: float
) -> None:
    seen = _upload(machine, "/none/x", pause_s)
    assert seen.error == ""
    assert seen.received.startswith(b"HTTP/1.1 404 ")
    assert seen.received.endswith(b"}")


# Guards against answers that a reset takes away from a caller that still sends.
def test_an_upload_whose_upstream_ends_is_answered_and_its_connection_ends(
    machine: platform_processes.Machine,
) -> None:
    machine.upstream.kill()
    machine.upstream.wait()
    seen = _upload(machine, "/p/x", 0.05)
    assert seen.error == ""
    assert seen.received[:13] in {b"HTTP/1.1 502 ", b"HTTP/1.1 503 "}
    assert seen.received.endswith(b"}")
