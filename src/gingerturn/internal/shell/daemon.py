"""The daemon, which runs a node and its administration API until a signal."""

import asyncio
import collections.abc
import pathlib
import signal
import socket

from gingerturn import errors, settings
from gingerturn.internal import ids, launch, logs
from gingerturn.internal.shell import (
    node as nodes,
    open_work,
    process_end,
    starting,
    stop_signals,
    stops,
    supervision,
)

ADMIN_STOP_S = 2.0
"""Timeout of the administration API's shutdown, after the node has closed."""

EXIT_CLEAN = 0

_WATCHER = "settings"

SETTINGS_POLL_S = 1.0
"""Interval between checks of the settings file for changes."""


class Source:
    """The settings file, with its content as last loaded.

    :param path: the file.
    :param load: parses it.
    """

    def __init__(
        self,
        path: pathlib.Path,
        load: collections.abc.Callable[[pathlib.Path], settings.Settings],
    ) -> None:
        self._path = path
        self._load = load
        self._last_content = self._content()

    def changed(self) -> bool:
        """Whether the file's content differs from that last loaded; an unreadable file
        counts as unchanged."""
        content = self._content()
        return content is not None and content != self._last_content

    def load(self) -> settings.Settings:
        """Load the settings.

        :raises GingerturnError: when they are invalid.
        """
        self._last_content = self._content()
        return self._load(self._path)

    def _content(self) -> bytes | None:
        try:
            return self._path.read_bytes()
        except OSError:
            return None


async def run(node: nodes.Node, source: Source) -> int:
    """Run a node until its planned stop has completed.

    SIGHUP, or a change of the file, reloads the settings; invalid ones are ignored.

    SIGTERM or SIGINT begins the planned stop. SIGINT during a stop, or the drain's
    timeout, ends the process at once; SIGTERM during a stop has no effect. The
    drain's timeout counts from the arrival of the signal.

    :return: the exit status.
    """
    launch.raise_descriptor_limit()
    stopping = asyncio.Event()
    interrupted = asyncio.Event()
    loop = asyncio.get_running_loop()
    arrivals = stop_signals.Arrivals()
    watchdog = process_end.Watchdog(node.flush_recording)

    def begin_stop() -> None:
        _begin_stop(node, stopping, arrivals.first_at)
        watchdog.start(node.stop_left_ms(process_end.WATCHDOG_MARGIN_MS))

    def interrupt() -> None:
        if node.stopping:
            interrupted.set()
        else:
            begin_stop()

    loop.add_signal_handler(signal.SIGTERM, begin_stop)
    loop.add_signal_handler(signal.SIGINT, interrupt)
    for number in (signal.SIGTERM, signal.SIGINT):
        arrivals.watch(number)
    loop.add_signal_handler(signal.SIGHUP, _reload, node, source)
    loop.set_exception_handler(supervision.on_loop_error)
    node_settings = node.settings.node
    try:
        administration = await starting.run_unless_stopped(stopping, _start(node))
    except errors.GingerturnError as error:
        logs.write("ERROR", "node", f"Not started: {error}.")
        await node.close()
        return launch.EXIT_NOT_STARTED
    if not node.begun:
        logs.write("INFO", "node", "Stopped before the node had started.")
        await node.close()
        return EXIT_CLEAN
    logs.write(
        "INFO",
        "node",
        f"Node {node.name} is up.",
        incarnation=node.incarnation,
        zone=node_settings.zone,
        service=node.settings.backend.service,
        log=node.settings.log.url,
    )
    node.spawn(_watch(node, source), part=_WATCHER)
    if stopping.is_set():
        begin_stop()
    await node.stop_begun.wait()
    # The administration begins stops as well.
    watchdog.start(node.stop_left_ms(process_end.WATCHDOG_MARGIN_MS))
    drained = await _wait_stopped(node, interrupted, node.stop_left_ms() / 1000.0)
    cut = [] if drained else open_work.cut_by_end(node)
    left_over = _left_over(node)
    open_work.log_cut(cut)
    if administration is not None:
        administration.stop()
    await node.close()
    if administration is not None:
        left_ms = node.stop_left_ms(process_end.CLOSE_MARGIN_MS)
        await administration.ended(min(ADMIN_STOP_S, left_ms / 1000.0))
    if not cut and not interrupted.is_set():
        logs.write("INFO", "node", "Stopped; no call was cut.", **left_over)
        return EXIT_CLEAN
    logs.write(
        "WARNING", "node", f"Stopped early; {len(cut)} calls were cut.", **left_over
    )
    return process_end.EXIT_DRAIN_CUT


def _left_over(node: nodes.Node) -> dict[str, int]:
    """Return what is open at the end of a stop, for the log."""
    connections = node.caller_connections
    return {
        "stop_age_ms": node.stop_age_ms,
        "calls": len(node.state.calls),
        "hosted_calls": len(node.state.hosted),
        "caller_connections": len(connections),
        "open_requests": sum(len(c.open_requests) for c in connections),
        "unsent_bytes": sum(c.unsent_bytes for c in connections),
    }


async def _start(node: nodes.Node) -> "_Administration | None":
    """Start a node and its administration API, if it has one.

    :raises GingerturnError: when an address cannot be bound.
    """
    port = node.settings.node.admin_port
    if not port:
        await node.start()
        return None
    node.listeners.add(port, None)
    await node.start()
    return _Administration(node, node.listeners.take(port))


class _Administration:
    """The administration API while the daemon runs.

    :param listening: the socket of its address.
    """

    def __init__(self, node: nodes.Node, listening: socket.socket) -> None:
        # Imported lazily: its libraries are slow to import, and a node without an
        # administration API does not need them.
        from gingerturn.internal.shell import admin

        self._server = admin.server(node)
        serving = self._server.serve(sockets=[listening])
        self._task = supervision.spawn(
            serving, part="administration", failed=self._log_end
        )

    def stop(self) -> None:
        """Begin the shutdown."""
        self._server.should_exit = True

    async def ended(self, timeout_s: float) -> None:
        """Wait for the shutdown, at most for a time."""
        await asyncio.wait([self._task], timeout=timeout_s)

    def _log_end(self) -> None:
        text = "The administration API has ended; calls are served without it."
        logs.write("ERROR", "node", text)


def _begin_stop(
    node: nodes.Node, stopping: asyncio.Event, at: ids.Milliseconds
) -> None:
    """Begin a planned stop. A repeated request must not abort calls that the stop in
    progress lets finish. One during the start ends the start.

    :param at: when it was asked for.
    """
    node.begin_stop(at)
    if not node.begun:
        stopping.set()


async def _watch(node: nodes.Node, source: Source) -> None:
    while True:
        await asyncio.sleep(SETTINGS_POLL_S)
        with supervision.contained(_WATCHER):
            if source.changed():
                _reload(node, source)


def _reload(node: nodes.Node, source: Source) -> None:
    """Reload the settings. Also the handler of SIGHUP, whose default action would end
    the process. During the start it does nothing: the node checks for changes once it
    runs."""
    if not node.begun:
        return
    try:
        node.reload(source.load())
    except errors.GingerturnError as error:
        logs.write(
            "ERROR",
            "node",
            f"Settings refused, the previous ones stay in effect: {error}.",
        )


async def _wait_stopped(
    node: nodes.Node, interrupted: asyncio.Event, limit: float
) -> bool:
    """Wait for the end of a planned stop; return whether it completed."""
    ended = supervision.awaited(stops.run(node))
    interruption = supervision.awaited(interrupted.wait())
    done, waiting = await asyncio.wait(
        {ended, interruption}, timeout=limit, return_when=asyncio.FIRST_COMPLETED
    )
    for task in waiting:
        task.cancel()
    if ended not in done:
        return False
    error = ended.exception()
    if error is not None:
        logs.write("ERROR", "node", f"Planned stop failed: {error!r}.")
    return error is None
