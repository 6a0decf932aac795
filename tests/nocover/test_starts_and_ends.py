"""Starts that meet an obstacle, and signals from the first moment of a process."""

import collections.abc
import contextlib
import os
import pathlib
import resource
import signal
import socket
import struct
import subprocess
import sys
import time

import httpx
import pytest

from gingerturn_standins import platform_processes, processes

EXIT_CLEAN = 0
EXIT_SETTINGS = 2
EXIT_NOT_STARTED = 7
START_S = 30.0
"""Time for a process to start on a busy machine."""

WAITING = "Waiting"
"""Start of the log line of a start that waits."""

COMMANDS = {
    "platform": (str(processes.ROOT / "platform" / "node.py"),),
    "own": ("-m", "gingerturn", "node"),
}
SIGNALS = (signal.SIGTERM, signal.SIGINT)


@pytest.fixture
def platform(
    tmp_path: pathlib.Path,
) -> collections.abc.Iterator[platform_processes.Platform]:
    """Start a machine, whose node is then ended."""
    with platform_processes.Platform(tmp_path) as made:
        made.configure(
            {
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
        )
        machine = made.add("m", service="plans")
        made.wait_ready()
        machine.node.kill()
        machine.node.wait(timeout=START_S)
        (tmp_path / "m.log").write_text("")
        yield made


def _await(condition: collections.abc.Callable[[], bool]) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    deadline = time.monotonic() + START_S
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.01)
    return True


def _catches(process: subprocess.Popen[bytes], number: signal.Signals) -> bool:
    """Return whether a process has a handler of a signal, or has ended."""
    if process.poll() is not None:
        return True
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    (line,) = [line for line in text.splitlines() if line.startswith("SigCgt:")]
    return bool(int(line.split()[1], 16) >> (number - 1) & 1)


@contextlib.contextmanager
def _start(
    command: str, path: pathlib.Path, *, descriptors: int = 0
) -> collections.abc.Iterator[subprocess.Popen[bytes]]:
    """Start a node.

    :param descriptors: limit of its descriptors; 0 for that of the tests.
    """

    def limit() -> None:
        if descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    arguments = [sys.executable, *COMMANDS[command]]
    if command == "own":
        arguments += ["--settings", str(path)]
    environment = {**os.environ, "GINGERTURN_BOOT": str(path)}
    environment["PYTHONPATH"] = str(processes.ROOT / "src")
    process = subprocess.Popen(
        arguments,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        preexec_fn=limit,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


@pytest.mark.parametrize("number", SIGNALS)
@pytest.mark.parametrize("command", COMMANDS)
def test_a_signal_during_the_imports_ends_a_start_as_a_planned_stop(
    command: str, number: signal.Signals, tmp_path: pathlib.Path
) -> None:
    # Guards against a signal whose default action ends a start as a failure. The start
    # blocks on a pipe without a writer.
    path = tmp_path / "settings"
    os.mkfifo(path)
    with _start(command, path) as process:
        assert _await(lambda: _catches(process, signal.SIGTERM))
        process.send_signal(number)
        output, _ = process.communicate(timeout=START_S)
    assert process.returncode == EXIT_CLEAN, output
    assert number.name.encode() in output


@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.2, 0.3, 0.5, 0.8])
def test_a_signal_at_any_moment_of_a_start_ends_it_as_a_planned_stop(
    after_s: float, platform: platform_processes.Platform
) -> None:
    # Guards against moments of a start at which no handler stands.
    process = platform.start_node("m")
    _await(lambda: _catches(process, signal.SIGTERM))
    time.sleep(after_s)
    process.send_signal(signal.SIGTERM)
    assert process.wait(timeout=START_S) == EXIT_CLEAN, platform.log_of("m")


@contextlib.contextmanager
def _held(
    platform: platform_processes.Platform, which: str
) -> collections.abc.Iterator[None]:
    """Hold an address of the node by an outgoing connection or a datagram socket."""
    machine = platform.machines["m"]
    kind = socket.SOCK_DGRAM if which == "gossip" else socket.SOCK_STREAM
    with socket.socket(type=kind) as holder:
        # Binds in spite of connections of the ended node in TIME_WAIT.
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", machine.ports[which]))
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
        if kind == socket.SOCK_STREAM:
            holder.connect(("127.0.0.1", platform.store_port))
            # Closing leaves no connection in TIME_WAIT.
            linger = struct.pack("ii", 1, 0)
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        yield


def _says(platform: platform_processes.Platform, text: str) -> bool:
    return text in platform.log_of("m")


@pytest.mark.parametrize("which", ["outbound", "inbound", "ready", "control", "gossip"])
def test_a_start_waits_for_an_address_that_is_held(
    which: str, platform: platform_processes.Platform
) -> None:
    # Guards against a start that gives up at an address held by another process.
    machine = platform.machines["m"]
    with _held(platform, which):
        began = time.monotonic()
        machine.node = platform.start_node("m")
        _await(lambda: _says(platform, WAITING) or machine.node.poll() is not None)
        assert machine.node.poll() is None, platform.log_of("m")
        # A connection that was accepted now would wait for the whole start.
        for other in {"outbound", "inbound", "ready", "control"} - {which}:
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(("127.0.0.1", machine.ports[other])).close()
        time.sleep(1.5)
        lines = platform.log_of("m").count(WAITING)
        assert lines <= time.monotonic() - began + 1.0
    assert str(machine.ports[which]) in platform.log_of("m")
    platform.wait_ready()
    machine.node.send_signal(signal.SIGTERM)
    assert machine.node.wait(timeout=START_S) == EXIT_CLEAN


@pytest.mark.parametrize("number", SIGNALS)
def test_a_start_that_waits_for_an_address_ends_on_a_signal(
    number: signal.Signals, platform: platform_processes.Platform
) -> None:
    # Guards against a start that cannot be stopped while it waits.
    with _held(platform, "control"):
        process = platform.start_node("m")
        _await(lambda: _says(platform, WAITING) or process.poll() is not None)
        process.send_signal(signal.SIGHUP)
        process.send_signal(number)
        assert process.wait(timeout=START_S) == EXIT_CLEAN, platform.log_of("m")


def test_a_start_ends_once_an_address_is_held_for_too_long(
    platform: platform_processes.Platform,
) -> None:
    # Guards against a start that waits forever, which a supervisor would not notice.
    with _held(platform, "ready"):
        process = platform.start_node("m")
        assert process.wait(timeout=START_S) == EXIT_NOT_STARTED
        assert _says(platform, WAITING)
        assert _says(platform, "Not started: listen, 127.0.0.1:")


@pytest.mark.parametrize("what", ["missing", "empty", "cut"])
def test_a_start_waits_for_settings_that_are_being_written(
    what: str, platform: platform_processes.Platform, tmp_path: pathlib.Path
) -> None:
    # Guards against a start that gives up at settings that are not written yet.
    path = tmp_path / "m.json"
    content = path.read_text()
    machine = platform.machines["m"]
    if what == "missing":
        path.unlink()
    else:
        path.write_text(content[: len(content) // 2] if what == "cut" else "")
    machine.node = platform.start_node("m")
    _await(lambda: _says(platform, WAITING) or machine.node.poll() is not None)
    assert machine.node.poll() is None, platform.log_of("m")
    path.write_text(content)
    platform.wait_ready()


def test_a_start_waits_for_own_settings_that_are_being_written(
    tmp_path: pathlib.Path,
) -> None:
    # Guards against settings cut between two sections, which are valid TOML.
    with processes.Cluster(tmp_path) as cluster:
        added = cluster.add("n", service="plans", zone="a", wait=False, backend=False)
        added.node.kill()
        added.node.wait(timeout=START_S)
        path = tmp_path / "n.toml"
        content = path.read_text()
        path.write_text(content[: content.index("[log]")])
        again = cluster._spawn(
            "again", "-m", "gingerturn", "node", "--settings", str(path)
        )
        added.node = again
        log = tmp_path / "again.log"
        _await(lambda: WAITING in log.read_text() or again.poll() is not None)
        assert again.poll() is None, log.read_text()
        path.write_text(content)
        cluster.wait_up(added, timeout=START_S)


def test_a_start_does_not_wait_for_values_that_are_not_allowed(
    platform: platform_processes.Platform, tmp_path: pathlib.Path
) -> None:
    path = tmp_path / "m.json"
    path.write_text(path.read_text().replace('"zone": "a"', '"zone": "A B"'))
    process = platform.start_node("m")
    assert process.wait(timeout=START_S) == EXIT_SETTINGS
    assert not _says(platform, WAITING)
    assert _says(platform, "zone is 'A B'")


@pytest.mark.parametrize("descriptor", [0, 1, 2])
def test_a_node_runs_without_a_standard_stream(
    descriptor: int, platform: platform_processes.Platform, tmp_path: pathlib.Path
) -> None:
    # Guards against a node that ends, or writes its log to a connection, since a
    # standard stream was not open at its start.
    machine = platform.machines["m"]
    environment = {**os.environ, "GINGERTURN_BOOT": str(tmp_path / "m.json")}
    environment["PYTHONPATH"] = str(processes.ROOT / "src")
    node = subprocess.Popen(
        [sys.executable, *COMMANDS["platform"]],
        env=environment,
        preexec_fn=lambda: os.close(descriptor),
    )
    machine.node = node
    try:
        assert _await(lambda: machine.ready() or node.poll() is not None)
        assert node.poll() is None
        with httpx.Client(trust_env=False, timeout=10.0) as client:
            headers = {"Host": "shop.example", "Request-Id": "s1"}
            reply = client.get(f"{machine.entry}/a/x", headers=headers)
            assert reply.status_code == 200
        assert not os.readlink(f"/proc/{node.pid}/fd/{descriptor}").startswith("socket")
        node.send_signal(signal.SIGTERM)
        assert node.wait(timeout=START_S) == EXIT_CLEAN
    finally:
        node.kill()
        node.wait()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signals_until_the_end_of_a_stop_leave_its_status(
    number: signal.Signals, platform: platform_processes.Platform
) -> None:
    # Guards against the default action of a signal after the event loop has removed
    # its handlers.
    machine = platform.machines["m"]
    machine.node = platform.start_node("m")
    platform.wait_ready()
    machine.node.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + START_S
    while machine.node.poll() is None and time.monotonic() < deadline:
        machine.node.send_signal(number)
        time.sleep(0.0005)
    assert machine.node.poll() == EXIT_CLEAN


def test_an_error_that_nothing_catches_is_logged(tmp_path: pathlib.Path) -> None:
    # Guards against a process that ends without a line that says why.
    code = (
        "from gingerturn import settings\n"
        "from gingerturn.internal import logs\n"
        "from gingerturn.internal.shell import process\n"
        "async def main(record): raise RuntimeError('broken')\n"
        "logs.set_up(settings.Logging(json=True), node='n1')\n"
        "raise SystemExit(process.run(main))\n"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, "PYTHONPATH": str(processes.ROOT / "src")},
        capture_output=True,
        timeout=START_S,
        check=False,
    )
    assert completed.returncode == 1
    assert b"RuntimeError('broken')" in completed.stdout
    assert b"Ended by an error" in completed.stdout


# Guards against a start that the event loop aborts, or that fails in its imports, where
# the process may open few descriptors.
@pytest.mark.parametrize(
    ("command", "count"), [("platform", 6), ("platform", 8), ("own", 12)]
)
def test_a_start_without_descriptors_ends_with_a_line(
    command: str, count: int, tmp_path: pathlib.Path
) -> None:
    path = tmp_path / "settings"
    with _start(command, path, descriptors=count) as process:
        output, _ = process.communicate(timeout=START_S)
    assert process.returncode == EXIT_NOT_STARTED, output
    assert WAITING.encode() in output
    assert b"Not started: 24 file descriptors are not free" in output


# Guards against the same where they are short for a part of the start.
@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6])
def test_a_start_bears_that_descriptors_are_short_for_a_while(
    after_s: float, platform: platform_processes.Platform
) -> None:
    machine = platform.machines["m"]
    machine.node = platform.start_node("m")
    pid = machine.node.pid
    _await(lambda: _catches(machine.node, signal.SIGTERM))
    time.sleep(after_s)
    whole = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    few = len(os.listdir(f"/proc/{pid}/fd")) + 2
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (few, whole[1]))
    time.sleep(1.5)
    assert machine.node.poll() is None, platform.log_of("m")
    resource.prlimit(pid, resource.RLIMIT_NOFILE, whole)
    platform.wait_ready()
