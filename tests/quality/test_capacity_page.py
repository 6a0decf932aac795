"""docs/CAPACITY.md matches the output of its script for the recorded slopes."""

import json

from benchmarks import capacity, cost


def test_page_matches_script_output() -> None:
    slopes = json.loads(cost.SLOPES.read_text())
    assert capacity.PAGE.read_text() == capacity.page(slopes)
