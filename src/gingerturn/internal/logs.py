"""Structured logs.

JSON lines go to standard output. Failed requests, other decisions, membership
changes and invalid input have separate rate limits, so that a burst of one does not
displace the others.
A slow reader never blocks a request: lines that exceed the backlog are dropped and
counted.

Text is written to standard error by loguru, which is not loaded for JSON lines since
its import takes a quarter of the processor time of a node's start.
"""

import collections.abc
import datetime
import io
import os
import sys
import time
import typing

import msgspec

from gingerturn import settings

_SEVERITIES = {name: index for index, name in enumerate(settings.LOG_LEVELS)}

_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[node]} [{extra[part]}] {message}"
)

FAILURES_PER_S = 50
"""Rate limit of lines about failed and retried requests. A line takes about 0.1 ms."""

SUCCESSES_PER_S = 5
"""Rate limit of lines about all other decisions."""

CHANGES_PER_S = 100
"""Rate limit of lines about membership changes."""

SKIPPED_PER_S = 50
"""Rate limit of lines about invalid input of other programs."""

ENDS_PER_S = 50
"""Rate limit of lines about connections that ended with an open request."""

ERRORS_PER_S = 10
"""Rate limit of lines about errors that nothing caught."""

BACKLOG_BYTES = 65_536
"""Bytes buffered while the reader is slow."""


class Budget:
    """Rate limit of lines in each second.

    :param per_s: lines a second.
    """

    def __init__(self, per_s: int) -> None:
        self._per_s = per_s
        self._second = 0
        self._used = 0
        self.dropped = 0

    def take(self, now: float) -> bool:
        """Whether one more line is allowed, which is then counted."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._used = 0
        if self._used >= self._per_s:
            self.dropped += 1
            return False
        self._used += 1
        return True


class Output:
    """Writes lines to a file descriptor without blocking.

    Invariant: only complete lines are dropped.

    :param descriptor: is set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._backlog = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write_fields(self, fields: dict[str, typing.Any]) -> None:
        """Write the fields of a line as JSON, preceded by the time."""
        now = datetime.datetime.now(datetime.UTC)
        line = {"time": now.isoformat(timespec="milliseconds"), **fields}
        self.write(msgspec.json.encode(line) + b"\n")

    def write(self, line: bytes) -> None:
        """Write or buffer a line; drop it if the backlog is full."""
        if len(self._backlog) + len(line) > BACKLOG_BYTES:
            self.flush()
        if len(self._backlog) + len(line) > BACKLOG_BYTES:
            self.dropped += 1
            return
        self._backlog += line
        self.flush()

    def flush(self) -> None:
        """Write as much of the backlog as the reader accepts."""
        while self._backlog:
            try:
                count = os.write(self._descriptor, self._backlog)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; the node continues without logs.
                self._backlog.clear()
                return
            del self._backlog[:count]


class _State:
    """State of this module."""

    def __init__(self) -> None:
        self.failures = Budget(FAILURES_PER_S)
        self.successes = Budget(SUCCESSES_PER_S)
        self.changes = Budget(CHANGES_PER_S)
        self.skipped = Budget(SKIPPED_PER_S)
        self.ends = Budget(ENDS_PER_S)
        self.errors = Budget(ERRORS_PER_S)
        self.output: Output | None = None
        self.node = ""
        self.min_severity = 0


_state = _State()


def set_up(options: settings.Logging, *, node: str) -> None:
    """Send log lines to standard error as text, or to standard output as JSON."""
    if options.json:
        _state.output = _state.output or Output(_descriptor(sys.stdout))
        _state.node = node
        _state.min_severity = _SEVERITIES[options.level]
        return
    import loguru

    _state.output = None
    loguru.logger.remove()
    loguru.logger.configure(extra={"node": node, "part": "node"})
    loguru.logger.add(
        _text_sink(sys.stderr),
        level=options.level,
        format=_FORMAT,
        backtrace=False,
        diagnose=False,
    )


def _text_sink(
    stream: typing.TextIO | None,
) -> collections.abc.Callable[[str], None]:
    """Return a function that writes text to a stream without blocking."""
    try:
        output = Output(_descriptor(stream))
    except io.UnsupportedOperation:
        # A replacement in memory, which does not block.
        return typing.cast(typing.TextIO, stream).write  # type: ignore[return-value]
    return lambda text: output.write(text.encode())


def _descriptor(stream: typing.TextIO | None) -> int:
    """Return a stream's descriptor; the null device's if it was not open at the start
    of the interpreter."""
    if stream is None:
        return os.open(os.devnull, os.O_WRONLY)
    return stream.fileno()


MAX_TEXT = 4_000
"""Characters of the text of a line, which may contain input of other programs."""


def write(level: str, part: str, text: str, **fields: typing.Any) -> None:
    """Write one line, with the beginning of a long text."""
    text = text[:MAX_TEXT]
    if _state.output is not None:
        if _SEVERITIES[level] >= _state.min_severity:
            common = {"level": level, "node": _state.node, "part": part}
            _state.output.write_fields({**common, **fields, "text": text})
        return
    import loguru

    loguru.logger.bind(part=part, **fields).log(level, text)


def flush() -> None:
    """Write as much of what is buffered as the reader accepts."""
    if _state.output is not None:
        _state.output.flush()


def write_always(part: str, text: str, **fields: typing.Any) -> None:
    """Write one line at any level of the log."""
    if _state.output is not None:
        common = {"level": "INFO", "node": _state.node, "part": part}
        _state.output.write_fields({**common, **fields, "text": text})
        return
    write("INFO", part, text, **fields)


def may_write_decision(*, failure: bool) -> bool:
    """Whether a line about a decision is within the rate limit, which then counts it.

    Callers check this before they build the line, which is most of its cost.

    :param failure: whether the request fails or is retried by the decision.
    """
    budget = _state.failures if failure else _state.successes
    return budget.take(time.monotonic())


SHOWN_KEY_BYTES = 64
"""Bytes of an invalid key that are shown in a log line."""


def may_write_change() -> bool:
    """Whether a line about a change is within the rate limit, which then counts it."""
    return _state.changes.take(time.monotonic())


def may_write_end() -> bool:
    """Whether a line about a connection that ended with an open request is within the
    rate limit, which then counts it."""
    return _state.ends.take(time.monotonic())


def may_write_error() -> bool:
    """Whether a line about an error that nothing caught is within the rate limit, which
    then counts it."""
    return _state.errors.take(time.monotonic())


def warn_skipped(what: str, key: bytes, problem: str) -> None:
    """Log that input of another program was skipped, within the rate limit of such
    lines.

    :param key: key or name of the input, of which the beginning is shown.
    """
    if _state.skipped.take(time.monotonic()):
        shown = key[:SHOWN_KEY_BYTES].decode(errors="replace")
        write("WARNING", "words", f"{what} {shown!r} skipped: {problem}.")


def report_dropped() -> int:
    """Log the number of lines dropped since the last call, and return it."""
    budgets = (
        _state.failures,
        _state.successes,
        _state.changes,
        _state.skipped,
        _state.ends,
        _state.errors,
    )
    stalled = 0 if _state.output is None else _state.output.dropped
    failures, successes, changes, skipped, ends, unhandled = (
        budget.dropped for budget in budgets
    )
    for budget in budgets:
        budget.dropped = 0
    if _state.output is not None:
        _state.output.dropped = 0
        _state.output.flush()
    if failures or changes or skipped or ends or unhandled or stalled:
        write(
            "WARNING",
            "logs",
            "Log lines dropped.",
            failures=failures,
            successes=successes,
            changes=changes,
            skipped=skipped,
            ends=ends,
            errors=unhandled,
            stalled=stalled,
        )
    return failures + successes + changes + skipped + ends + unhandled + stalled
