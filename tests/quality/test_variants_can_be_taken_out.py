"""The bench takes mechanisms out by name; each name must still be there.

After `routing._occupancy` had become `_cost`, `make bench` ended with a traceback: its
baselines replace functions by name, and nothing in CI did so.
"""

import subprocess
import sys

import pytest

from benchmarks import sites, variants
from gingerturn_standins import processes


@pytest.mark.parametrize("name", list(variants.VARIANTS))
def test_a_variant_replaces_what_is_there(name: str) -> None:
    # In a process of its own: it changes the modules for good.
    code = f"from benchmarks import variants; variants.VARIANTS[{name!r}]()"
    paths = [str(processes.ROOT / part) for part in ("src", "tooling", ".")]
    done = subprocess.run(
        [sys.executable, "-c", f"import sys; sys.path[:0] = {paths!r}; {code}"],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0, done.stderr[-300:]


@pytest.mark.parametrize("name", list(variants.VARIANTS))
def test_a_variant_plays_through_an_overload(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # One replacement had kept an old parameter list and ended each run that reached it.
    monkeypatch.setattr(variants, "_set", monkeypatch.setattr)
    variants.VARIANTS[name]()
    run = sites.overloaded(seconds=1.5)
    # Calls that are turned away with room are sent again; a replacement that nothing
    # called in a plain overload had kept an old parameter list, too.
    run.refuse_calls(run.site.bottleneck, 0.5)
    run.play()
    arrived = sum(node.backend.executed for node in run.world.nodes.values())
    assert arrived > 100
