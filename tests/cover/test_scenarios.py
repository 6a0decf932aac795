"""Every scenario of the small test language, on the fakes."""

import pathlib

import pytest

from tests.common import scenario

FOLDER = pathlib.Path(__file__).parents[1] / "scenarios"
FILES = sorted(FOLDER.glob("*.scenario"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_scenario_holds_what_it_expects(path: pathlib.Path) -> None:
    assert scenario.play(path) == []


def test_there_are_scenarios() -> None:
    assert len(FILES) >= 9


def test_an_expectation_that_is_not_met_is_told(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "wrong.scenario"
    path.write_text(
        "load plan-status 20/s\nrun 8\nexpect complete plan-status <= 0.5\n"
    )
    failures = scenario.play(path)
    assert len(failures) == 1
    assert "complete plan-status is 1.0000, expected <= 0.5" in failures[0]
