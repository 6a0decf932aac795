"""The variants of the benchmark replace functions that exist.

Variants replace functions by name, so a rename breaks them unseen by type checks.
"""

import subprocess
import sys

import pytest

from benchmarks import sites, variants
from gingerturn_standins import processes


@pytest.mark.parametrize("name", list(variants.VARIANTS))
def test_a_variant_replaces_existing_names(name: str) -> None:
    # A variant changes modules permanently, so it runs in a separate process.
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
def test_a_variant_runs_through_an_overload(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against replacements whose parameters differ from the original function.
    monkeypatch.setattr(variants, "_set", monkeypatch.setattr)
    variants.VARIANTS[name]()
    run = sites.overloaded(seconds=1.5)
    # Refused calls are retried; overload alone does not call every replacement.
    run.refuse_calls(run.site.bottleneck, 0.5)
    run.play()
    arrived = sum(node.backend.executed for node in run.world.nodes.values())
    assert arrived > 100
