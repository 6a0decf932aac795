"""The daemon: one node and its administration API, until a signal ends it."""

import asyncio
import collections.abc
import pathlib
import signal
import socket
import traceback
import typing

from gingerturn import errors, settings
from gingerturn.internal import logs
from gingerturn.internal.core import events
from gingerturn.internal.shell import clock, node as nodes

ADMIN_STOP_S = 2.0
"""Time for the administration API to end after the node has closed."""

EXIT_CLEAN = 0
EXIT_NOT_STARTED = 7
"""An address that the settings name is taken, or not one of this machine."""

EXIT_DRAIN_CUT = 3
"""The drain took longer than allowed, or an interrupt ended it."""


WATCH_S = 1.0
"""How often the settings are looked at. They may change without a signal, and what may
change while a node runs is no matter of milliseconds."""


class Source:
    """Where settings come from, and what of it was taken last.

    :param path: the file.
    :param load: reads it.
    """

    def __init__(
        self,
        path: pathlib.Path,
        load: collections.abc.Callable[[pathlib.Path], settings.Settings],
    ) -> None:
        self._path = path
        self._load = load
        self._taken = self._content()

    def changed(self) -> bool:
        """Tell whether the file holds something else than when it was last read; one
        that cannot be read has not changed."""
        content = self._content()
        return content is not None and content != self._taken

    def load(self) -> settings.Settings:
        """Read the settings again.

        :raises GingerturnError: when they are not allowed.
        """
        self._taken = self._content()
        return self._load(self._path)

    def _content(self) -> bytes | None:
        try:
            return self._path.read_bytes()
        except OSError:
            return None


async def run(node: nodes.Node, source: Source) -> int:
    """Run a node until a planned stop has ended.

    SIGHUP, or a change of the file, reads the settings again; bad ones change nothing.

    SIGTERM or SIGINT begins the planned stop. SIGINT during a stop, or the drain's
    time limit, ends the process at once; SIGTERM during a stop changes nothing.

    :return: the exit status.
    """
    stopping = asyncio.Event()
    cut = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, _begin_stop, node, stopping)
    loop.add_signal_handler(signal.SIGINT, _on_interrupt, node, stopping, cut)
    loop.add_signal_handler(signal.SIGHUP, _reload, node, source)
    loop.set_exception_handler(_on_fault)
    place = node.settings.node
    try:
        await node.start()
        administration = _Administration(node) if place.admin_port else None
    except errors.GingerturnError as error:
        logs.write("ERROR", "node", f"Not started: {error}.")
        await node.close()
        return EXIT_NOT_STARTED
    logs.write(
        "INFO",
        "node",
        f"Node {node.name} is up.",
        incarnation=node.incarnation,
        zone=place.zone,
        service=node.settings.backend.service,
        log=node.settings.log.url,
    )
    node.spawn(_watch(node, source))
    await stopping.wait()
    drained = await _wait_stopped(node, cut, place.drain_timeout_ms / 1000.0)
    left = len(node.state.calls) + len(node.state.hosted)
    if administration is not None:
        administration.stop()
    await node.close()
    if administration is not None:
        await administration.ended()
    if drained:
        logs.write("INFO", "node", "Stopped; no call was cut.")
        return EXIT_CLEAN
    logs.write("WARNING", "node", f"Stopped early; {left} calls were cut.")
    return EXIT_DRAIN_CUT


class _Administration:
    """The administration API while the daemon runs."""

    def __init__(self, node: nodes.Node) -> None:
        # Imported here: its libraries take a third of a node's time to start, which
        # one that serves no administration API need not spend.
        from gingerturn.internal.shell import admin

        place = node.settings.node
        # Bound here: the server's own failure to bind would end the process in the
        # middle of a task, with a traceback and no word on what was taken.
        bound = socket.socket()
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with nodes.listening(place.host, place.admin_port):
            bound.bind((place.host, place.admin_port))
        self._server = admin.server(node)
        serving = self._server.serve(sockets=[bound])
        self._task = asyncio.get_running_loop().create_task(serving)

    def stop(self) -> None:
        """Begin to stop."""
        self._server.should_exit = True

    async def ended(self) -> None:
        """Wait a while for the end."""
        await asyncio.wait([self._task], timeout=ADMIN_STOP_S)


def _on_fault(loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]) -> None:
    """Write a fault that nothing caught: one bad event must not end the process, nor
    pass without a word."""
    error = context.get("exception")
    trace = "".join(traceback.format_exception(error)[-3:]) if error else ""
    logs.write("ERROR", "node", f"Fault: {context['message']}.", trace=trace)


def _on_interrupt(
    node: nodes.Node, stopping: asyncio.Event, cut: asyncio.Event
) -> None:
    """Begin a planned stop, or end the one that is under way."""
    if node.stopping:
        cut.set()
    else:
        _begin_stop(node, stopping)


def _begin_stop(node: nodes.Node, stopping: asyncio.Event) -> None:
    """Begin a planned stop. Whatever plans stops may plan two that overlap: a second
    one must not cut what the first one lets finish."""
    if node.stopping:
        logs.write("INFO", "node", "A planned stop is under way already.")
        return
    grace_ms = float(node.settings.node.drain_timeout_ms)
    node.apply(events.StopRequested(now=clock.now(), grace_ms=grace_ms))
    stopping.set()


async def _watch(node: nodes.Node, source: Source) -> None:
    while True:
        await asyncio.sleep(WATCH_S)
        if source.changed():
            _reload(node, source)


def _reload(node: nodes.Node, source: Source) -> None:
    """Read the settings again. Without a handler SIGHUP would end the process and cut
    every call in flight."""
    try:
        node.reload(source.load())
    except errors.GingerturnError as error:
        logs.write("ERROR", "node", f"Settings refused, the last stay: {error}.")


async def _wait_stopped(node: nodes.Node, cut: asyncio.Event, limit: float) -> bool:
    """Wait for the end of a planned stop; tell whether nothing was cut."""
    ended = asyncio.create_task(nodes.run(node))
    cutting = asyncio.create_task(cut.wait())
    done, waiting = await asyncio.wait(
        {ended, cutting}, timeout=limit, return_when=asyncio.FIRST_COMPLETED
    )
    for task in waiting:
        task.cancel()
    return ended in done
