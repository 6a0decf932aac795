"""Rate limits that backend servers report in their answers."""

from benchmarks import deployments, sites
from tests.common import reports


def _limited_run(
    limits: dict[str, float], *, seconds: float = 12.0
) -> tuple[sites.Run, reports.Reports]:
    """Return a run of brolga in which backend servers report limits from 2 s on."""
    run = sites.Run(deployments.BROLGA, seed=1, seconds=seconds)
    observed = reports.Reports(run.world)
    for name, rate in limits.items():
        run.world.at(2_000.0, lambda name=name, rate=rate: observed.limit(name, rate))
    return run, observed


# Guards against a reported rate limit that no node applies.
def test_a_backend_server_gets_no_more_than_the_rate_limit_it_reports() -> None:
    run, observed = _limited_run({"plans-1": 7.4, "plans-4": 11.9})
    run.play()
    assert observed.violations() == []
