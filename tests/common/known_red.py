"""Parser of the list of tests that are known to fail."""

import pathlib

MAX_LINES = 3


def read(path: pathlib.Path) -> dict[str, str]:
    """Return the cause and issue of each listed test.

    Each line holds the test, the cause and the issue, separated by `` | ``.
    """
    if not path.exists():
        return {}
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_LINES:
        raise ValueError(f"{path} has {len(lines)} lines; allowed are {MAX_LINES}")
    reasons = {}
    for line in lines:
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3:
            raise ValueError(f"{path}: {line!r} is not 'test | cause | issue'")
        reasons[parts[0]] = f"{parts[1]} ({parts[2]})"
    return reasons
