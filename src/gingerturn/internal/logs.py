"""Structured logs: short sentences with a fixed prefix for each part.

As JSON they go to standard output, one object a line, bounded in two ways. Lines of
decisions have a budget a second, kept apart for failures and for what the node believes
of others, so that a flood of one leaves out no line of the rest, and says how much. And
a reader that stalls never blocks a request: what the pipe does not take is left out and
counted.

Text for people is written by loguru. JSON lines do not go through it: loading it takes
a quarter of the processor time that a node's process needs to start.
"""

import datetime
import os
import sys
import time
import typing

import msgspec

from gingerturn import settings

_SEVERITIES = {name: place for place, name in enumerate(settings.LOG_LEVELS)}

_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[node]} [{extra[part]}] {message}"
)

FAILURES_PER_S = 50
"""Lines a second for decisions by which a request fails or is sent again: each costs
about 0.1 ms, so this bounds logging to half a percent of a core."""

SUCCESSES_PER_S = 5
"""Lines a second for all other decisions: enough to follow an example."""

CHANGES_PER_S = 100
"""Lines a second for changes of what the node believes: a lost zone of 525 members is
told in full within about ten seconds, at 0.3 % of a core."""

BACKLOG_BYTES = 65_536
"""Bytes kept while the reader is slow, as much as a pipe usually holds."""


class Budget:
    """Lines that may be written in the present second.

    :param per_s: lines a second.
    """

    def __init__(self, per_s: int) -> None:
        self._per_s = per_s
        self._second = 0
        self._used = 0
        self.left_out = 0

    def take(self, now: float) -> bool:
        """Take one line; tell whether there was one."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._used = 0
        if self._used >= self._per_s:
            self.left_out += 1
            return False
        self._used += 1
        return True


class Output:
    """Writes lines to a file descriptor and never waits for its reader.

    Invariant: only whole lines are left out.

    :param descriptor: made non-blocking here.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._backlog = bytearray()
        self.left_out = 0
        os.set_blocking(descriptor, False)

    def take(self, fields: dict[str, typing.Any]) -> None:
        """Write the fields of a line, the time before them."""
        now = datetime.datetime.now(datetime.UTC)
        line = {"time": now.isoformat(timespec="milliseconds"), **fields}
        self.write(msgspec.json.encode(line) + b"\n")

    def write(self, line: bytes) -> None:
        """Write a line, or keep it for later, or leave it out."""
        if len(self._backlog) + len(line) > BACKLOG_BYTES:
            self.flush()
        if len(self._backlog) + len(line) > BACKLOG_BYTES:
            self.left_out += 1
            return
        self._backlog += line
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes."""
        while self._backlog:
            try:
                count = os.write(self._descriptor, self._backlog)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; a node goes on without its logs.
                self._backlog.clear()
                return
            del self._backlog[:count]


class _State:
    """What this module keeps between lines."""

    def __init__(self) -> None:
        self.failures = Budget(FAILURES_PER_S)
        self.successes = Budget(SUCCESSES_PER_S)
        self.changes = Budget(CHANGES_PER_S)
        self.output: Output | None = None
        self.node = ""
        self.least = 0


_state = _State()


def set_up(chosen: settings.Logging, *, node: str) -> None:
    """Send log lines to standard error as text, or to standard output as JSON."""
    if chosen.json:
        _state.output = _state.output or Output(sys.stdout.fileno())
        _state.node = node
        _state.least = _SEVERITIES[chosen.level]
        return
    import loguru

    _state.output = None
    loguru.logger.remove()
    loguru.logger.configure(extra={"node": node, "part": "node"})
    loguru.logger.add(
        sys.stderr,
        level=chosen.level,
        format=_FORMAT,
        backtrace=False,
        diagnose=False,
    )


def write(level: str, part: str, text: str, **fields: typing.Any) -> None:
    """Write one line."""
    if _state.output is not None:
        if _SEVERITIES[level] >= _state.least:
            told = {"level": level, "node": _state.node, "part": part}
            _state.output.take({**told, **fields, "text": text})
        return
    import loguru

    loguru.logger.bind(part=part, **fields).log(level, text)


def may_write_decision(*, failure: bool) -> bool:
    """Take the line of a decision out of the second's budget.

    Asked before the line is made, since most of the cost lies in that.

    :param failure: the request fails by it, or is sent again.
    """
    budget = _state.failures if failure else _state.successes
    return budget.take(time.monotonic())


SHOWN_KEY_BYTES = 64
"""Enough to know a name by; the rest may be any bytes of others."""


def may_write_change() -> bool:
    """Take the line of a change of belief out of the second's budget."""
    return _state.changes.take(time.monotonic())


def pass_over(what: str, key: bytes, problem: str) -> None:
    """Write that a word of another writer is of no use; bounded as changes are.

    :param key: what it is called, of which the beginning is shown.
    """
    if may_write_change():
        shown = key[:SHOWN_KEY_BYTES].decode(errors="replace")
        write("WARNING", "words", f"{what} {shown!r} passed over: {problem}.")


def report_left_out() -> int:
    """Write how many lines were left out since the last time, and return it."""
    budgets = (_state.failures, _state.successes, _state.changes)
    stalled = 0 if _state.output is None else _state.output.left_out
    failures, successes, changes = (budget.left_out for budget in budgets)
    for budget in budgets:
        budget.left_out = 0
    if _state.output is not None:
        _state.output.left_out = 0
        _state.output.flush()
    if failures or changes or stalled:
        write(
            "WARNING",
            "logs",
            "Lines were left out.",
            failures=failures,
            successes=successes,
            changes=changes,
            stalled=stalled,
        )
    return failures + successes + changes + stalled
