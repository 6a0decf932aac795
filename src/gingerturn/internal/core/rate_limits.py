"""Rate limit that a backend server reports in its answers."""

import re

NO_LIMIT = -1.0
"""In place of a limit where none is reported."""

MAX_HEADER_BYTES = 64
"""Bytes of a header value that are read; longer values are invalid."""

_DECIMAL = re.compile(rb"(?:\d+(?:\.\d*)?|\.\d+)(?:[eE][+-]?\d{1,2})?")


def parse(value: bytes) -> float:
    """Return the lowest limit in the value of a header, in requests a second.

    :param value: decimal numbers, separated by commas.
    :raises ValueError: naming the value and what is allowed.
    """
    parts = [part.strip() for part in value.split(b",")]
    if len(value) > MAX_HEADER_BYTES or not all(map(_DECIMAL.fullmatch, parts)):
        shown = value[:MAX_HEADER_BYTES].decode("latin-1")
        raise ValueError(
            f"{shown!r} is no rate limit; allowed is a decimal number from 0,"
            f" at most {MAX_HEADER_BYTES} bytes"
        )
    return min(float(part) for part in parts)
