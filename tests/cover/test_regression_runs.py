"""Parsing of the scores of the users' bench, and detection of regressions."""

import pytest

from benchmarks import regress

SCORED = """\
score on the standard days of mesh-1 (set 0f91): 0.729, +0.026 against snapshot d5
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                 14/0   0.62  0.942  0.989   0.000  0.006  worst class 0.97
trouble-1               14/0   0.77  0.800  0.975   0.004  0.016  worst windows 0.74
scale-2                 14/0   0.00  -0.100  0.867   0.009  0.134  nines 0.28  BROKEN
fresh-432b              14/0   1.00  0.905  0.973   0.005  0.015  worst windows 0.83
GATE failed
"""


def test_a_score_is_parsed_with_its_days() -> None:
    parsed = regress.parse(SCORED)
    assert (parsed.site, parsed.score, parsed.gate) == ("mesh-1", 0.729, False)
    assert parsed.mean_worth == pytest.approx(0.35)
    assert parsed.broken == ("scale-2",)


def test_an_output_without_a_score_is_an_error() -> None:
    with pytest.raises(ValueError, match="no score"):
        regress.parse("the build failed")


@pytest.mark.parametrize(("before", "regressed"), [(0.75, False), (0.77, True)])
def test_a_regression_is_marked(before: float, regressed: bool) -> None:
    parsed = regress.parse(SCORED)
    earlier = regress.SiteScore("mesh-1", before, True, 0.4)
    assert ("FELL" in regress.line(parsed, earlier)) is regressed


def test_recorded_scores_are_read_by_site() -> None:
    recorded = regress.recorded_scores()
    assert {"brolga-qld", "coopcarga-ne", "mawid-cairo"} <= set(recorded)
    assert all(0.0 <= site.score <= 1.0 for site in recorded.values())
