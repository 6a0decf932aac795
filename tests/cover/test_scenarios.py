"""Runs of every scenario on the fakes."""

import pathlib

import pytest

from tests.common import scenario

FOLDER = pathlib.Path(__file__).parents[1] / "scenarios"
FILES = sorted(FOLDER.glob("*.scenario"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_a_scenario_meets_its_expectations(path: pathlib.Path) -> None:
    assert scenario.play(path) == []


def test_there_are_scenarios() -> None:
    assert len(FILES) >= 9


def test_an_unmet_expectation_is_reported(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "wrong.scenario"
    path.write_text(
        "load plan-status 20/s\nrun 8\nexpect complete plan-status <= 0.5\n"
    )
    failures = scenario.play(path)
    assert len(failures) == 1
    assert "complete plan-status is 1.0000, expected <= 0.5" in failures[0]
