"""docs/CAPACITY.md is what its script works out from the recorded slopes."""

import json

from benchmarks import capacity, cost


def test_page_and_script_agree() -> None:
    slopes = json.loads(cost.SLOPES.read_text())
    assert capacity.PAGE.read_text() == capacity.page(slopes)
