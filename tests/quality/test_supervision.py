"""Every task and timer is started by its owner, :mod:`.shell.supervision`."""

import ast
import collections.abc
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parents[2]
OWNER = ROOT / "src/gingerturn/internal/shell/supervision.py"
FOLDERS = ("src", "platform")
STARTS = frozenset(
    {
        "TaskGroup",
        "call_at",
        "call_later",
        "call_soon",
        "call_soon_threadsafe",
        "create_task",
        "ensure_future",
        "gather",
        "run_coroutine_threadsafe",
        "run_in_executor",
        "to_thread",
    }
)
"""Functions of asyncio and its event loop that start something."""

AWAITED = {("node.py", "gather")}
"""Uses that start nothing, as they are given tasks."""


def _files() -> collections.abc.Iterator[pathlib.Path]:
    for folder in FOLDERS:
        yield from sorted((ROOT / folder).rglob("*.py"))


def _starts(source: str) -> list[tuple[int, str]]:
    """Return the lines that name a function of asyncio that starts something."""
    found = []
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.Attribute) or node.attr not in STARTS:
            continue
        if isinstance(node.value, ast.Name) and node.value.id == "supervision":
            continue
        found.append((node.lineno, node.attr))
    return found


def _bare(source: str) -> list[int]:
    """Return the lines that import from asyncio, which would hide the attribute."""
    return [
        node.lineno
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.ImportFrom) and node.module == "asyncio"
    ]


def test_tasks_and_timers_are_started_by_their_owner() -> None:
    # Guards against a task that ends by an error and that nothing looks at.
    offenders = [
        f"{path.relative_to(ROOT)}:{line}: {name}"
        for path in _files()
        if path != OWNER
        for line, name in _starts(path.read_text())
        if (path.name, name) not in AWAITED
    ]
    offenders += [
        f"{path.relative_to(ROOT)}:{line}: import from asyncio"
        for path in _files()
        for line in _bare(path.read_text())
    ]
    assert not offenders


@pytest.mark.parametrize(
    "line",
    [
        "asyncio.create_task(run())",
        "asyncio.get_running_loop().create_task(run())",
        "asyncio.ensure_future(run())",
        "self._loop.call_later(1.0, self._check)",
        "start = loop.create_task",
    ],
)
def test_the_check_finds_a_task_without_its_owner(line: str) -> None:
    assert _starts(f"import asyncio\n\n{line}\n")


def test_the_check_finds_names_imported_from_asyncio() -> None:
    assert _bare("from asyncio import create_task\n")


def test_the_check_accepts_the_owner() -> None:
    assert not _starts("supervision.call_later(1.0, check, part='links')\n")
    assert _starts(OWNER.read_text())
