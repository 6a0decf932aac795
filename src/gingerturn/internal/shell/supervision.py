"""Owner of the tasks, timers and callbacks of a process.

An error that nothing caught is counted by the part that it ended, and logged within a
rate limit. It ends only the task or callback that raised it: whoever started that gets
to know, and reports the failure to the core or starts it again.
"""

import asyncio
import collections.abc
import contextlib
import functools
import traceback
import typing

from gingerturn.internal import logs

TRACE_FRAMES = 3
"""Entries of a traceback that are logged, from the innermost."""

MAX_ERROR_CHARS = 300
MAX_SUBJECT_CHARS = 80
MAX_TRACE_CHARS = 2_000

_T = typing.TypeVar("_T")
Failed = collections.abc.Callable[[], None]


class _State:
    """State of this module.

    :param errors: errors since the start of the process, by part.
    """

    def __init__(self) -> None:
        self.errors: dict[str, int] = {}


_state = _State()


def errors_by_part() -> dict[str, int]:
    """Return how many errors nothing caught since the start, by part."""
    return dict(_state.errors)


def record(part: str, error: BaseException, *, subject: str = "") -> None:
    """Count an error that nothing caught, and log it within a rate limit.

    :param part: of the program; one of a few fixed names.
    :param subject: what it was working on, such as the name of a stream.
    """
    _state.errors[part] = _state.errors.get(part, 0) + 1
    if not logs.may_write_error():
        return
    logs.write(
        "ERROR",
        "node",
        f"Unhandled error in {part}: {_text(error)}.",
        task=part,
        subject=subject[:MAX_SUBJECT_CHARS],
        trace=_trace(error),
    )


@contextlib.contextmanager
def contained(part: str, *, subject: str = "") -> collections.abc.Iterator[None]:
    """Record an error of the block, which then counts as done."""
    try:
        yield
    except Exception as error:
        record(part, error, subject=subject)


def spawn(
    coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None],
    *,
    part: str,
    subject: str = "",
    failed: Failed | None = None,
) -> asyncio.Task[None]:
    """Run a coroutine as a task, to which the caller keeps a reference.

    :param failed: called if an error ends it.
    """
    name = f"{part} {subject[:MAX_SUBJECT_CHARS]}".rstrip()
    task = asyncio.get_running_loop().create_task(coroutine, name=name)
    task.add_done_callback(functools.partial(_on_ended, part, subject, failed))
    return task


def awaited(
    coroutine: collections.abc.Coroutine[typing.Any, typing.Any, _T],
) -> asyncio.Task[_T]:
    """Run a coroutine as a task whose result or error the caller awaits."""
    return asyncio.get_running_loop().create_task(coroutine)


def call_later(
    delay_s: float,
    callback: collections.abc.Callable[[], None],
    *,
    part: str,
    failed: Failed | None = None,
) -> asyncio.TimerHandle:
    """Call a function once after a delay.

    :param failed: called if it raises an error.
    """
    loop = asyncio.get_running_loop()
    return loop.call_later(delay_s, _call, callback, part, failed)


def on_loop_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
) -> None:
    """Record an error that reached the event loop. The process goes on."""
    error = context.get("exception") or RuntimeError("no exception")
    record("event loop", error, subject=str(context.get("message", "")))


def _on_ended(
    part: str, subject: str, failed: Failed | None, task: asyncio.Task[None]
) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        _on_failed(part, error, subject, failed)


def _call(
    callback: collections.abc.Callable[[], None], part: str, failed: Failed | None
) -> None:
    try:
        callback()
    except Exception as error:
        _on_failed(part, error, "", failed)


def _on_failed(
    part: str, error: BaseException, subject: str, failed: Failed | None
) -> None:
    record(part, error, subject=subject)
    if failed is not None:
        with contained(part, subject=subject):
            failed()


def _text(error: BaseException) -> str:
    """Return a representation of bounded length, also of an error without one."""
    name = type(error).__name__
    try:
        return repr(error)[:MAX_ERROR_CHARS]
    except Exception:
        return name


def _trace(error: BaseException) -> str:
    try:
        entries = traceback.format_exception(error, limit=-TRACE_FRAMES, chain=False)
        return "".join(entries)[-MAX_TRACE_CHARS:]
    except Exception:
        return ""
