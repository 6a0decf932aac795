"""The start of a node: obstacles that may pass, and signals that end it."""

import asyncio
import collections.abc
import time
import typing

from gingerturn import errors
from gingerturn.internal import launch, logs
from gingerturn.internal.shell import listeners, supervision

_T = typing.TypeVar("_T")


async def run_unless_stopped(
    stopping: asyncio.Event,
    start: collections.abc.Coroutine[typing.Any, typing.Any, _T],
) -> _T | None:
    """Return the result of a start; ``None`` if it was cancelled by a stop.

    :raises Exception: those of the start.
    """
    starting = supervision.awaited(start)
    stop = supervision.awaited(stopping.wait())
    try:
        await asyncio.wait({starting, stop}, return_when=asyncio.FIRST_COMPLETED)
        if starting.done():
            return starting.result()
        starting.cancel()
        await asyncio.wait({starting})
        return None
    finally:
        stop.cancel()


def write_line(level: str, text: str) -> None:
    """Write a log line about the start."""
    logs.write(level, "node", text)


def load_when_complete(load: collections.abc.Callable[[], _T]) -> _T:
    """Load settings, and wait for those that are missing or partly written.

    It blocks, as nothing else can run without settings.

    :raises IncompleteDocument: when they stay incomplete.
    :raises InvalidDocument: for values that are not allowed.
    """
    timeout = launch.StartTimeout(write_line)
    while True:
        try:
            return load()
        except errors.IncompleteDocument as error:
            if timeout.is_over(error):
                raise
        time.sleep(launch.RETRY_INTERVAL_S)


async def retry(
    open_addresses: collections.abc.Callable[
        [], collections.abc.Coroutine[typing.Any, typing.Any, None]
    ],
) -> None:
    """Open the addresses of a node, and wait for those that are held.

    :raises GingerturnError: for an address that cannot be used, or stays held.
    """
    timeout = launch.StartTimeout(write_line)
    while True:
        try:
            await open_addresses()
            return
        except listeners.AddressUnavailable as error:
            if timeout.is_over(error):
                raise
        await asyncio.sleep(launch.RETRY_INTERVAL_S)
