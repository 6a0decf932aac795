"""The end of a node's process, which a planned stop bounds.

The process leaves once its last line is written. A watchdog ends it where the event
loop does not come to that.
"""

import collections.abc
import os
import sys
import threading
import traceback
import typing

from gingerturn.internal import logs

EXIT_DRAIN_CUT = 3
"""The drain timed out or was interrupted."""

CLOSE_MARGIN_MS = 200.0
"""How long after its drain timeout a node may take to close."""

WATCHDOG_MARGIN_MS = 350.0
"""How long after the drain timeout the process is ended: later than a node closes, and
before SIGKILL, half a second after the drain timeout."""

TRACE_FRAMES = 3
"""Innermost frames of the main thread that are logged."""


def leave(status: int) -> typing.NoReturn:
    """End the process at once.

    Closing the event loop and finalising the interpreter would wait for tasks and
    threads, without a limit. Files must have been closed.
    """
    logs.flush()
    for stream in (sys.stdout, sys.stderr):
        try:
            stream.flush()
        except (AttributeError, OSError, ValueError):
            # Not open, or its reader is gone.
            continue
    os._exit(status)


class Watchdog:
    """Ends the process at the limit of its stop, from a thread of its own.

    :param before_end: called first, to keep what is buffered.
    """

    def __init__(self, before_end: collections.abc.Callable[[], None]) -> None:
        self._before_end = before_end
        self._timer: threading.Timer | None = None

    def start(self, delay_ms: float) -> None:
        """End the process after a delay, unless it was started before."""
        if self._timer is not None:
            return
        self._timer = threading.Timer(max(0.0, delay_ms) / 1000.0, self._end)
        self._timer.daemon = True
        self._timer.start()

    def _end(self) -> None:
        try:
            text = "Ended at the limit of its stop; the event loop was not done."
            logs.write("ERROR", "node", text, trace=_main_trace())
            self._before_end()
        finally:
            os._exit(EXIT_DRAIN_CUT)


def _main_trace() -> str:
    """Return where the main thread is."""
    frame = sys._current_frames().get(threading.main_thread().ident or 0)
    return "".join(traceback.format_stack(frame)[-TRACE_FRAMES:])
