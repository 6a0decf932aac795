"""Line numbers of values in TOML texts, for error messages."""

import re

_STEP = re.compile(r"\.?([A-Za-z0-9_]+)|\[(\d+|\.\.\.)\]")
_HEADER = re.compile(r"\s*(\[\[?)\s*([A-Za-z0-9_.\-]+)\s*\]\]?")


def line_of(text: str, path: str) -> int:
    """Return the 1-based line of a path such as ``$.kind[2].timeout_ms``.

    If the key is missing, return the line of the table's header; if the table is
    missing, line 1.

    :param path: a path in msgspec's notation.
    """
    steps = [name if name else index for name, index in _STEP.findall(path.lstrip("$"))]
    if not steps:
        return 1
    if len(steps) >= 2 and steps[1].isdigit():
        header_line = _table_line(text, steps[0], int(steps[1]))
        if len(steps) == 2:
            return header_line
        return _key_line(text, steps[2], header_line)
    table_line = _table_line(text, steps[0], 0)
    if table_line > 1 and len(steps) > 1:
        return _key_line(text, steps[1], table_line)
    if table_line > 1:
        return table_line
    return _key_line(text, steps[0], 0)


def _table_line(text: str, name: str, index: int) -> int:
    seen = -1
    for number, line in enumerate(text.splitlines(), start=1):
        match = _HEADER.match(line)
        if match and match.group(2) == name:
            seen += 1
            if seen == index:
                return number
    return 1


def _key_line(text: str, key: str, header_line: int) -> int:
    pattern = re.compile(rf"\s*{re.escape(key)}\s*=")
    for number, line in enumerate(text.splitlines(), start=1):
        if number <= header_line:
            continue
        if _HEADER.match(line):
            break
        if pattern.match(line):
            return number
    return max(header_line, 1)
