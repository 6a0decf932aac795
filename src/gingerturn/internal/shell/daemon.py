"""The daemon: one node and its administration API, until a signal ends it."""

import asyncio
import signal
import typing

from gingerturn import settings
from gingerturn.internal import logs
from gingerturn.internal.core import events
from gingerturn.internal.shell import admin, clock, node as nodes

EXIT_CLEAN = 0
EXIT_DRAIN_CUT = 3
"""The drain took longer than allowed, or a second signal ended it."""


async def run(
    chosen: settings.Settings, *, record: typing.BinaryIO | None = None
) -> int:
    """Run a node until a planned stop has ended.

    SIGTERM or SIGINT begins the planned stop; a second one, or the drain's time
    limit, ends the process at once.

    :return: the exit status.
    """
    node = nodes.Node(chosen, record=record)
    cut = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _on_signal, node, cut)
    await node.start()
    server = admin.server(node)
    serving = loop.create_task(server.serve())
    logs.write("INFO", "node", f"Node {node.name} is up.")
    drained = await _wait_stopped(node, cut, chosen.node.drain_timeout_ms / 1000.0)
    server.should_exit = True
    await node.close()
    await asyncio.wait([serving], timeout=2.0)
    if drained:
        logs.write("INFO", "node", "Stopped; no call was cut.")
        return EXIT_CLEAN
    left = len(node.state.calls) + len(node.state.hosted)
    logs.write("WARNING", "node", f"Stopped early; {left} calls were cut.")
    return EXIT_DRAIN_CUT


def _on_signal(node: nodes.Node, cut: asyncio.Event) -> None:
    if node.stopping:
        cut.set()
        return
    node.apply(events.StopRequested(now=clock.now()))


async def _wait_stopped(node: nodes.Node, cut: asyncio.Event, limit: float) -> bool:
    """Wait for the end of a planned stop; tell whether nothing was cut."""
    ended = asyncio.create_task(nodes.run(node))
    cutting = asyncio.create_task(cut.wait())
    while not node.stopping and not ended.done():
        await asyncio.sleep(0.05)
    done, waiting = await asyncio.wait(
        {ended, cutting}, timeout=limit, return_when=asyncio.FIRST_COMPLETED
    )
    for task in waiting:
        task.cancel()
    return ended in done
