"""First steps of a node's process, before its libraries are imported.

The imports are the longest part of a start. This module imports little, so that signals
are handled and the standard streams are open before them.
"""

import fcntl
import os
import signal
import types

STANDARD_DESCRIPTORS = (0, 1, 2)
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
EXIT_CLEAN = 0


def begin(*, json: bool) -> None:
    """Open the standard streams, and handle signals until the node does.

    SIGTERM and SIGINT end the process with status 0: it has accepted nothing. SIGHUP
    is ignored: its default action would end the process, and a node that runs checks
    its settings for changes.

    :param json: whether log lines are JSON on standard output, or text on standard
        error.
    """
    open_standard_streams()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def end(number: int, frame: types.FrameType | None) -> None:
        text = f"Stopped by {signal.Signals(number).name} before the node had started."
        if json:
            _write(1, f'{{"level":"INFO","node":"","part":"node","text":"{text}"}}\n')
        else:
            _write(2, f"gingerturn: {text}\n")
        # A module that is being imported could catch SystemExit.
        os._exit(EXIT_CLEAN)

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)


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
