"""First steps of a node's process, before its libraries are imported.

The imports are the longest part of a start. This module imports little, so that signals
are handled and the standard streams are open before them.
"""

import collections.abc
import fcntl
import os
import resource
import signal
import time
import types

STANDARD_DESCRIPTORS = (0, 1, 2)
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
EXIT_CLEAN = 0
EXIT_NOT_STARTED = 7
"""An obstacle to the start did not pass."""

MAX_DESCRIPTORS = 65_536
"""Limit up to which the process's own is raised."""

START_DESCRIPTORS = 24
"""Descriptors that must be free for a start."""

IMPORT_DESCRIPTORS = 8
"""Those of them that are left to the imports."""

WAIT_LIMIT_S = 10.0
"""Time for which a start waits for an obstacle to pass, which is longer than a planned
stop of the process before it usually takes."""

RETRY_INTERVAL_S = 0.1
LOG_INTERVAL_S = 1.0
"""Intervals between tries, and between log lines about them."""

Write = collections.abc.Callable[[str, str], None]
"""Writes a log line, given its level and text."""

_held: list[int] = []
"""Descriptors that are held during the imports. Without one, the event loop and some
libraries abort the process."""


class StartTimeout:
    """Time-out of a start that waits for an obstacle to pass."""

    def __init__(self, write: Write) -> None:
        self._write = write
        self._ends_at = time.monotonic() + WAIT_LIMIT_S
        self._next_line = 0.0

    def is_over(self, obstacle: object) -> bool:
        """Return whether the start has waited long enough; log that it waits if not."""
        now = time.monotonic()
        if now >= self._ends_at:
            return True
        if now >= self._next_line:
            self._next_line = now + LOG_INTERVAL_S
            left = self._ends_at - now
            self._write("WARNING", f"Waiting up to {left:.0f} s to start: {obstacle}.")
        return False


def begin(*, json: bool) -> None:
    """Open the standard streams, handle signals until the node does, and hold the
    descriptors that the start needs.

    SIGTERM and SIGINT end the process with status 0: it has accepted nothing. SIGHUP
    is ignored: its default action would end the process, and a node that runs checks
    its settings for changes.

    :param json: whether log lines are JSON on standard output, or text on standard
        error.
    """
    open_standard_streams()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def write(level: str, text: str) -> None:
        if json:
            _write(
                1, f'{{"level":"{level}","node":"","part":"node","text":"{text}"}}\n'
            )
        else:
            _write(2, f"gingerturn: {text}\n")

    def end(number: int, frame: types.FrameType | None) -> None:
        name = signal.Signals(number).name
        write("INFO", f"Stopped by {name} before the node had started.")
        # A module that is being imported could catch SystemExit.
        os._exit(EXIT_CLEAN)

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    # Called twice where the command and its entry point both do.
    if not _held:
        if not _hold_descriptors(write):
            os._exit(EXIT_NOT_STARTED)
        while len(_held) > START_DESCRIPTORS - IMPORT_DESCRIPTORS:
            os.close(_held.pop(0))


def release_descriptors(write: Write) -> bool:
    """Release the descriptors that were held, once the start can have all of them.

    :return: whether it can, within :data:`WAIT_LIMIT_S`.
    """
    _release()
    is_held = _hold_descriptors(write)
    _release()
    return is_held


def raise_descriptor_limit() -> None:
    """Raise the soft limit of descriptors to the hard one, where that is allowed."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = MAX_DESCRIPTORS
    if hard != resource.RLIM_INFINITY:
        wanted = min(hard, wanted)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    except (OSError, ValueError):
        return


def _hold_descriptors(write: Write) -> bool:
    timeout = StartTimeout(write)
    while True:
        raise_descriptor_limit()
        try:
            while len(_held) < START_DESCRIPTORS:
                _held.append(os.dup(STANDARD_DESCRIPTORS[0]))
            return True
        except OSError as error:
            _release()
            obstacle = (
                f"{START_DESCRIPTORS} file descriptors are not free: {error.strerror}"
            )
        if timeout.is_over(obstacle):
            write("ERROR", f"Not started: {obstacle}.")
            return False
        time.sleep(RETRY_INTERVAL_S)


def _release() -> None:
    while _held:
        os.close(_held.pop())


def hold_signals() -> None:
    """Keep signals pending for the rest of the process, whose exit status is known.

    The event loop restores their default actions when it is closed.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def open_standard_streams() -> None:
    """Open the null device for each standard stream that is not open.

    The next connection would get its descriptor otherwise, and log lines with it.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            fcntl.fcntl(descriptor, fcntl.F_GETFD)
        except OSError:
            # Gets this descriptor, the lowest that is free.
            os.open(os.devnull, os.O_RDWR)


def _write(descriptor: int, text: str) -> None:
    """Write a line, unless its reader is gone or slow."""
    try:
        os.set_blocking(descriptor, False)
        os.write(descriptor, text.encode())
    except OSError:
        return
