"""Real nodes at their limit of file descriptors."""

import collections
import collections.abc
import concurrent.futures
import contextlib
import os
import pathlib
import resource
import socket
import time

import httpx
import pytest

from gingerturn_standins import platform_processes
from tests.common import crowds

CALLERS = 300
LEFT = 40
"""Descriptors that a node has left."""

WAIT_S = 30.0
HOLD_S = 0.5
"""Time for which a caller keeps its connection after an answer."""

ROUTE = {
    "name": "r-lookup",
    "hostname": "shop.example",
    "path_prefix": "/a/",
    "route_type": "safe",
    "timeout_ms": 5_000,
    "target_latency_ms": 1_500,
    "priority": 2,
    "service_name": "plans",
    "max_attempts": 2,
}
PORT = {**ROUTE, "name": "r-port", "path_prefix": "/p/", "service_name": "porting"}


@pytest.fixture
def platform(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[platform_processes.Platform]:
    """Start two machines; the node of the first has few descriptors left."""
    with platform_processes.Platform(tmp_path) as made:
        made.configure(ROUTE, PORT)
        made.add("short", service="plans")
        made.add("other", service="porting")
        made.wait_ready()
        crowds.leave_descriptors(made.machines["short"].node.pid, LEFT)
        yield made


def _head(path: str, number: str) -> bytes:
    return (
        f"GET {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {number}\r\n"
        "Deadline-Ms: 5000\r\n\r\n"
    ).encode()


def _ask(port: int, path: str, number: str) -> str:
    """Return the status line of the answer, or how the connection ended."""
    try:
        with socket.create_connection(("127.0.0.1", port), WAIT_S) as connection:
            connection.sendall(_head(path, number))
            received = connection.recv(65_536)
            # As a caller does that keeps its connection.
            time.sleep(HOLD_S)
            return received.split(b"\r\n")[0].decode() or "closed without an answer"
    except OSError as error:
        return repr(error)


def _ask_at_once(
    machine: platform_processes.Machine, path: str = "/a/x"
) -> collections.Counter[str]:
    port = machine.ports["outbound"]
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        answers = pool.map(lambda n: _ask(port, path, f"c{n}"), range(CALLERS))
        return collections.Counter(answers)


def _value(machine: platform_processes.Machine, name: str) -> float:
    for line in machine.metrics().splitlines():
        if line.startswith(f"gingerturn_{name} "):
            return float(line.split()[1])
    return -1.0


@contextlib.contextmanager
def _occupied(machine: platform_processes.Machine) -> collections.abc.Iterator[None]:
    """Hold connections of callers that have sent a part of a head."""
    with contextlib.ExitStack() as stack:
        for number in range(CALLERS):
            connection = stack.enter_context(socket.socket())
            connection.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                connection.connect(("127.0.0.1", machine.ports["outbound"]))
            with contextlib.suppress(OSError):
                connection.send(_head("/a/x", f"o{number}")[:20])
        time.sleep(0.5)
        yield


@pytest.mark.parametrize("path", ["/a/x", "/p/x"])
def test_callers_at_the_last_descriptor_are_all_answered(
    path: str, platform: platform_processes.Platform
) -> None:
    # Guards against connections that are accepted and closed without an answer.
    machine = platform.machines["short"]
    answers = _ask_at_once(machine, path)
    unanswered = {a: n for a, n in answers.items() if not a.startswith("HTTP/1.1 ")}
    assert not unanswered
    assert machine.node.poll() is None
    assert _ask(machine.ports["outbound"], path, "after").startswith("HTTP/1.1 200")
    assert _value(machine, "descriptor_shortages_total") >= 1
    lines = platform.log_of("short").count("file descriptors")
    assert 1 <= lines <= WAIT_S


def test_other_doors_answer_while_callers_hold_all_descriptors(
    platform: platform_processes.Platform,
) -> None:
    # Guards against readiness, metrics, heartbeats and nodes that are locked out by
    # connections of callers.
    machine = platform.machines["short"]
    other = platform.machines["other"]
    with _occupied(machine):
        assert machine.ready()
        assert "gingerturn_ready 1" in machine.metrics()
        url = f"http://127.0.0.1:{machine.ports['control']}/unknown"
        assert httpx.post(url, trust_env=False, timeout=5.0).status_code == 404
        answer = _ask(other.ports["outbound"], "/a/x", "by-other")
        assert answer.startswith("HTTP/1.1 200"), platform.log_of("short")[-500:]


def test_a_node_at_the_last_descriptor_does_not_spin(
    platform: platform_processes.Platform,
) -> None:
    # Guards against an accept loop that runs all the time, and a log without bound.
    machine = platform.machines["short"]

    def processor_s() -> float:
        fields = pathlib.Path(f"/proc/{machine.node.pid}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")

    with _occupied(machine):
        before, lines = processor_s(), platform.log_of("short").count("\n")
        time.sleep(2.0)
        assert processor_s() - before < 1.0
        assert platform.log_of("short").count("\n") - lines < 200


def test_idle_connections_make_room_for_new_ones(
    platform: platform_processes.Platform,
) -> None:
    # Guards against new callers that wait for as long as idle ones keep their
    # connections.
    machine = platform.machines["short"]
    with contextlib.ExitStack() as stack:
        for number in range(LEFT):
            connection = stack.enter_context(socket.socket())
            connection.settimeout(1.0)
            with contextlib.suppress(OSError):
                connection.connect(("127.0.0.1", machine.ports["outbound"]))
                connection.sendall(_head("/a/x", f"i{number}"))
                connection.recv(65_536)
        for number in range(10):
            answer = _ask(machine.ports["outbound"], "/a/x", f"n{number}")
            assert answer.startswith("HTTP/1.1 200")


def test_the_limit_of_descriptors_is_raised_at_the_start(
    tmp_path: pathlib.Path,
) -> None:
    # Guards against a node that runs with the low default of a shell or supervisor.
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(512, hard), hard))
    try:
        with platform_processes.Platform(tmp_path) as made:
            made.configure(ROUTE)
            machine = made.add("m", service="plans")
            made.wait_ready()
            raised, _ = resource.prlimit(machine.node.pid, resource.RLIMIT_NOFILE)
            assert raised > min(512, hard - 1)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


# Guards against connections that were closed to make room and are closed again, while
# those that hold descriptors stay open and new callers wait.
def test_each_idle_connection_is_closed_once_to_make_room(
    platform: platform_processes.Platform,
) -> None:
    machine = platform.machines["short"]
    count = 3 * LEFT
    with contextlib.ExitStack() as stack:
        for number in range(count):
            connection = stack.enter_context(
                socket.create_connection(
                    ("127.0.0.1", machine.ports["outbound"]), WAIT_S
                )
            )
            connection.sendall(_head("/a/x", f"k{number}"))
            assert connection.recv(65_536).startswith(b"HTTP/1.1 200 ")
    assert 0 < _value(machine, "idle_callers_closed_total") <= count
    assert _value(machine, "descriptor_shortages_total") <= count
