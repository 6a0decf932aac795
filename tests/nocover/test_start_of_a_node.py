"""Announcements and signals that arrive while a node starts."""

import asyncio
import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import time

import msgspec
import pytest

from gingerturn import announcements, errors, log_service, settings
from gingerturn.internal.shell import node as nodes, side_http
from gingerturn_standins import processes

ANNOUNCEMENT = announcements.Announcement(
    service="plans", host="127.0.0.1", port=9, slots=8, instance="i-1", sequence=1
)


def _unavailable(step: str) -> errors.LogServiceError:
    return errors.LogServiceError(
        "unavailable", step=step, peer="log", took_effect=False
    )


class _UnavailableLog:
    """A log service that is unavailable."""

    async def read(
        self, stream: str, offset: int, wait: log_service.Wait = log_service.LONG_POLL
    ) -> log_service.Records:
        raise _unavailable("read")

    async def append(self, stream: str, record: bytes) -> log_service.Appended:
        raise _unavailable("append")

    async def newest(self, stream: str) -> log_service.Newest:
        raise _unavailable("newest")

    async def put(self, stream: str, key: str, record: bytes) -> log_service.Appended:
        raise _unavailable("put")

    async def close(self) -> None:
        return


def _settings(calls: int, peers: int, gossip: int) -> settings.Settings:
    return settings.Settings(
        node=settings.Node(
            id="n1",
            zone="a",
            region="r",
            host="127.0.0.1",
            calls_port=calls,
            peers_port=peers,
            gossip_port=gossip,
            admin_port=0,
        ),
        log=settings.Log(url="http://127.0.0.1:9", keyed=True),
        secret=settings.Secret(current="a secret of the tests only"),
        routing=settings.Routing(table=True),
    )


async def _announce(port: int, sequence: int) -> None:
    body = str(sequence).encode()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = b"POST / HTTP/1.1\r\nhost: n\r\nconnection: close\r\n"
    writer.write(head + b"content-length: %d\r\n\r\n%b" % (len(body), body))
    assert (await reader.read()).startswith(b"HTTP/1.1 200")
    writer.close()


GOSSIPED_WITHIN_S = 5.0


async def _start_between_announcements() -> str:
    *ports, beside = processes.free_ports(4)
    node = nodes.Node(_settings(*ports), log=_UnavailableLog())

    def handle(request: side_http.Request) -> side_http.Reply:
        sequence = int(request.body)
        node.announce(msgspec.structs.replace(ANNOUNCEMENT, sequence=sequence))
        return side_http.Reply(200)

    await node.serve_http(handle, beside)
    try:
        with contextlib.suppress(ConnectionRefusedError):
            await _announce(beside, 1)
        await node.start()
        await _announce(beside, 2)
        # The node can ask nobody for earlier departures.
        async with asyncio.timeout(GOSSIPED_WITHIN_S):
            while (me := node.state.membership.self_member) and not me.service:
                await asyncio.sleep(0.02)
        assert me is not None
        return me.service
    finally:
        await node.close()


def test_a_backend_server_announced_during_the_start_is_gossiped() -> None:
    assert asyncio.run(_start_between_announcements()) == "plans"


EXIT_SETTINGS = 2
START_S = 30.0
COMMANDS = {
    "platform": (str(processes.ROOT / "platform" / "node.py"),),
    "own": ("-m", "gingerturn", "node"),
}


def _ignores_sighup(process: subprocess.Popen[bytes]) -> bool:
    """Return whether a process currently ignores SIGHUP."""
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    (line,) = [line for line in text.splitlines() if line.startswith("SigIgn:")]
    return bool(int(line.split()[1], 16) >> (signal.SIGHUP - 1) & 1)


def _feed(path: pathlib.Path, process: subprocess.Popen[bytes]) -> None:
    """Write invalid settings to a pipe each time that a process opens it."""
    while process.poll() is None:
        with contextlib.suppress(OSError):
            descriptor = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            os.write(descriptor, b"{")
            os.close(descriptor)
        time.sleep(0.02)


@pytest.mark.parametrize("command", COMMANDS)
def test_sighup_does_not_end_a_node_that_is_starting(
    command: str, tmp_path: pathlib.Path
) -> None:
    # Guards against a SIGHUP that terminates a starting node. The start blocks on a
    # pipe without a writer.
    path = tmp_path / "settings"
    os.mkfifo(path)
    arguments = [sys.executable, *COMMANDS[command]]
    if command == "own":
        arguments += ["--settings", str(path)]
    environment = {**os.environ, "GINGERTURN_BOOT": str(path)}
    environment["PYTHONPATH"] = str(processes.ROOT / "src")
    process = subprocess.Popen(arguments, env=environment, stderr=subprocess.DEVNULL)
    try:
        deadline = time.monotonic() + START_S
        while not _ignores_sighup(process) and time.monotonic() < deadline:
            time.sleep(0.02)
        process.send_signal(signal.SIGHUP)
        _feed(path, process)
        assert process.wait(timeout=START_S) == EXIT_SETTINGS
    finally:
        process.kill()
        process.wait()
