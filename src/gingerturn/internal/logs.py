"""Structured logs: short sentences with a fixed prefix for each part."""

import sys
import typing

import loguru

from gingerturn import settings

_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level: <7} {extra[node]} [{extra[part]}] {message}"
)


def set_up(chosen: settings.Logging, *, node: str) -> None:
    """Send log lines to standard error, as text or as JSON."""
    loguru.logger.remove()
    loguru.logger.configure(extra={"node": node, "part": "node"})
    loguru.logger.add(
        sys.stderr,
        level=chosen.level,
        format=_FORMAT,
        serialize=chosen.json,
        backtrace=False,
        diagnose=False,
    )


def write(level: str, part: str, text: str, **fields: typing.Any) -> None:
    """Write one line."""
    loguru.logger.bind(part=part, **fields).log(level, text)
