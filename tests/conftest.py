"""Configuration of all tests: Hypothesis profile and known failures."""

import collections.abc
import pathlib

import hypothesis
import pytest

from gingerturn.internal.shell import supervision
from tests.common import known_red

pytest_plugins = ["pytester"]

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.load_profile("ci")

ROOT = pathlib.Path(__file__).parents[1]


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Mark the tests of KNOWN-RED.txt as strict expected failures."""
    listed = known_red.read(ROOT / "KNOWN-RED.txt")
    found = set()
    for item in items:
        if item.nodeid in listed:
            found.add(item.nodeid)
            reason = listed[item.nodeid]
            item.add_marker(pytest.mark.xfail(strict=True, reason=reason))
    if any("::" in argument for argument in config.args):
        # A few tests were asked for by name.
        return
    files = {item.path for item in items}
    unknown = [test for test in set(listed) - found if _is_unknown(test, files)]
    if unknown:
        raise pytest.UsageError(f"KNOWN-RED.txt names unknown tests: {sorted(unknown)}")


def _is_unknown(test: str, files: collections.abc.Collection[pathlib.Path]) -> bool:
    """Whether the file of a listed test was collected without it, or does not exist."""
    file = ROOT / test.partition("::")[0]
    return file in files or not file.exists()


@pytest.fixture(autouse=True)
def _no_unhandled_errors(
    request: pytest.FixtureRequest,
) -> collections.abc.Iterator[None]:
    """Fail a test in which an error was contained that it does not expect."""
    before = supervision.errors_by_part()
    yield
    if request.node.get_closest_marker("unhandled_errors") is None:
        assert supervision.errors_by_part() == before
