"""Seeded runs of the soak on real processes: what must hold on any machine.

The bounds on time are for runs by hand (``make soak``): a machine that is busy with
something else would break them here.
"""

import pathlib

import pytest

from gingerturn_soak import run

SEEDS = {1: "the first that was played"}
"""Seeds that CI plays: one for a start, and each that ever broke one of these promises,
with a line on the cause."""


@pytest.mark.parametrize("seed", SEEDS)
def test_the_promises_hold_under_a_seeded_schedule(
    seed: int, tmp_path: pathlib.Path
) -> None:
    verdict = run.play(seed, tmp_path, machines=3, length_s=5.0, timing=False)
    assert verdict.broken == []
    assert verdict.served > 0
