"""The process around a node: event loop, collection of garbage, variables of ours."""

import asyncio
import collections.abc
import contextlib
import gc
import os
import typing

import uvloop

from gingerturn import errors
from gingerturn.internal import checks

RECORD_VARIABLE = "GINGERTURN_RECORD"
"""Names a file to which a node records its events, for ``gingerturn replay``. For use
by hand: it grows by some kilobytes a second."""

ADVERTISE_VARIABLE = "GINGERTURN_ADVERTISED_PEERS_PORT"
"""What other nodes connect to in place of the port in the settings. For a proxy in
between, as the fault soak sets up."""


def advertised_port() -> int:
    """Return the port that other nodes connect to, 0 for the one in the settings.

    :raises InvalidDocument: when the variable holds no port.
    """
    value = os.environ.get(ADVERTISE_VARIABLE, "0")
    if value.isdigit() and int(value) <= checks.MAX_PORT:
        return int(value)
    problem = f"{ADVERTISE_VARIABLE} is {value!r}; allowed is 0 to {checks.MAX_PORT}"
    raise errors.InvalidDocument([problem], step="read settings", peer="environment")


def run(
    main: collections.abc.Callable[
        [typing.BinaryIO | None], collections.abc.Coroutine[typing.Any, typing.Any, int]
    ],
) -> int:
    """Run a node until it is stopped, and return its exit status.

    :param main: takes the file to record to, if one is named.
    """
    # What is loaded by now lives as long as the process; leaving it out of every
    # later collection keeps pauses short.
    gc.collect()
    gc.freeze()
    gc.enable()
    with contextlib.ExitStack() as stack:
        record = os.environ.get(RECORD_VARIABLE)
        target = stack.enter_context(open(record, "wb")) if record else None
        runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        stack.enter_context(runner)
        return runner.run(main(target))
