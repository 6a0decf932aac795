"""Shorthands for log lines to operators."""

from gingerturn.internal.core import effects, state as states


def info(out: states.Effects, part: str, text: str) -> None:
    """Emit a log line of level INFO."""
    out.append(effects.WriteLog(level="INFO", part=part, text=text))


def warn(out: states.Effects, part: str, text: str) -> None:
    """Emit a log line of level WARNING."""
    out.append(effects.WriteLog(level="WARNING", part=part, text=text))
