"""A process with a node that sends itself SIGTERM and then meets an obstacle.

Run as ``python -m tests.common.stopping_process OBSTACLE PORT...``, with four ports.
"""

import asyncio
import collections.abc
import os
import signal
import sys
import time
import typing

import msgspec

from gingerturn import settings
from gingerturn.internal import logs
from gingerturn.internal.shell import daemon, node as nodes, process
from tests.common import builders, scripted_logs

DRAIN_TIMEOUT_MS = 2_000
BLOCKED_S = 0.8
"""Time for which the event loop is blocked as the signal arrives."""

FOREVER_S = 60.0


class _Source:
    """Settings that do not change."""

    def changed(self) -> bool:
        return False


class _HangingLog(scripted_logs.Log):
    async def close(self) -> None:
        await scripted_logs.never()


async def _ignore_cancellation() -> None:
    while True:
        try:
            await asyncio.sleep(FOREVER_S)
        except asyncio.CancelledError:
            continue


def _settings(ports: list[int]) -> settings.Settings:
    calls, peers, gossip, ready = ports
    plain = builders.settings()
    made = msgspec.structs.replace(
        plain.node,
        calls_port=calls,
        peers_port=peers,
        gossip_port=gossip,
        ready_port=ready,
        admin_port=0,
        drain_timeout_ms=DRAIN_TIMEOUT_MS,
    )
    return msgspec.structs.replace(plain, node=made)


def _terminate() -> None:
    logs.write("INFO", "test", "Signalled.", at=time.time())
    os.kill(os.getpid(), signal.SIGTERM)


def _terminate_and_block() -> None:
    _terminate()
    time.sleep(BLOCKED_S)


async def _main(obstacle: str, ports: list[int], record: typing.BinaryIO | None) -> int:
    log = _HangingLog() if obstacle == "log" else scripted_logs.Log()
    node = nodes.Node(_settings(ports), log=log, record=record)
    loop = asyncio.get_running_loop()
    tasks: list[asyncio.Task[None]] = []
    terminate: collections.abc.Callable[[], None] = _terminate
    if obstacle == "blocked":
        # Open work that does not end.
        node._publications["p1"] = loop.create_future()
        terminate = _terminate_and_block
    elif obstacle == "task":
        node.spawn(_ignore_cancellation(), part="stubborn")
    elif obstacle == "other task":
        tasks.append(loop.create_task(_ignore_cancellation()))
    elif obstacle == "busy":
        loop.call_later(1.0, time.sleep, FOREVER_S)
    loop.call_later(0.5, terminate)
    return await daemon.run(node, typing.cast(daemon.Source, _Source()))


if __name__ == "__main__":
    logs.set_up(settings.Logging(json=True), node="n1")
    obstacle, *ports = sys.argv[1:]
    numbers = [int(port) for port in ports]
    sys.exit(process.run(lambda record: _main(obstacle, numbers, record)))
