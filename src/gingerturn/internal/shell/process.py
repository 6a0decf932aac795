"""Process setup of a node: event loop, garbage collection, environment variables."""

import asyncio
import collections.abc
import contextlib
import gc
import os
import traceback
import typing

import uvloop

from gingerturn import errors
from gingerturn.internal import checks, decoding, launch, logs
from gingerturn.internal.shell import process_end, starting

RECORD_VARIABLE = "GINGERTURN_RECORD"
"""File to which a node records its events, for ``gingerturn replay``. For debugging: it
grows by some kilobytes a second."""

ADVERTISE_VARIABLE = "GINGERTURN_ADVERTISED_PEERS_PORT"
"""Port advertised to other nodes in place of the one in the settings, for a proxy
between nodes."""


EXIT_ERROR = 1
"""An exception that nothing caught ended the process."""

TRACE_FRAMES = 5
"""Entries of a traceback that are logged, from the innermost."""


def advertised_port() -> int:
    """Return the port advertised to other nodes, 0 for the one in the settings.

    :raises InvalidDocument: when the variable holds no port.
    """
    value = os.environ.get(ADVERTISE_VARIABLE, "0")
    port = decoding.parse_whole(value, most=checks.MAX_PORT)
    if port is not None:
        return port
    shown = decoding.shown(value)
    problem = f"{ADVERTISE_VARIABLE} is {shown}; allowed is 0 to {checks.MAX_PORT}"
    raise errors.InvalidDocument([problem], step="read settings", peer="environment")


def run(
    main: collections.abc.Callable[
        [typing.BinaryIO | None], collections.abc.Coroutine[typing.Any, typing.Any, int]
    ],
) -> typing.NoReturn:
    """Run a node until it is stopped, and end the process with its exit status.

    :param main: called with the file to record events to, if any.
    """
    # Objects allocated so far live as long as the process; freezing them keeps
    # collection pauses short.
    gc.collect()
    gc.freeze()
    gc.enable()
    with contextlib.ExitStack() as stack:
        record = os.environ.get(RECORD_VARIABLE)
        target = stack.enter_context(open(record, "wb")) if record else None
        status = run_loop(main(target))
    process_end.leave(status)


def run_loop(main: collections.abc.Coroutine[typing.Any, typing.Any, int]) -> int:
    """Run a node in a new event loop; return its exit status.

    The loop is not closed, which would wait for tasks that ignore their cancellation.
    """
    if not launch.release_descriptors(starting.write_line):
        main.close()
        return launch.EXIT_NOT_STARTED
    runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
    return runner.run(guard(main))


async def guard(main: collections.abc.Coroutine[typing.Any, typing.Any, int]) -> int:
    """Return the exit status of a node.

    Errors that nothing caught are logged. Signals that follow do not change the status.
    """
    try:
        return await main
    except Exception as error:
        trace = "".join(traceback.format_exception(error)[-TRACE_FRAMES:])
        text = f"Ended by an error that nothing caught: {error!r}."
        logs.write("ERROR", "node", text, trace=trace)
        return EXIT_ERROR
    finally:
        launch.hold_signals()
