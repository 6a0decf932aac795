"""The start of a node, which a signal may end."""

import asyncio
import collections.abc
import typing

_T = typing.TypeVar("_T")


async def unless(
    stopping: asyncio.Event,
    start: collections.abc.Coroutine[typing.Any, typing.Any, _T],
) -> _T | None:
    """Return the result of a start; ``None`` if it was cancelled by a stop.

    :raises Exception: those of the start.
    """
    starting = asyncio.create_task(start)
    stop = asyncio.create_task(stopping.wait())
    try:
        await asyncio.wait({starting, stop}, return_when=asyncio.FIRST_COMPLETED)
        if starting.done():
            return starting.result()
        starting.cancel()
        await asyncio.wait({starting})
        return None
    finally:
        stop.cancel()
