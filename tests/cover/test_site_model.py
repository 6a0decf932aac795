"""The simulated sites serve every request without overload and are deterministic."""

import collections.abc

import pytest

from benchmarks import deployments, graphs, sites


@pytest.mark.parametrize(
    "site",
    [site for site in deployments.SITES.values() if site.name != "large-400"],
    ids=lambda site: site.name,
)
def test_a_site_without_overload_serves_every_request(site: deployments.Site) -> None:
    result = sites.Run(site, seed=1, seconds=6.5).play()
    for tally in result.tallies.values():
        assert tally.sent > 0
        assert tally.share == 1.0
    assert result.worth > 0.98


def test_the_same_seed_gives_the_same_figures() -> None:
    first, second = (sites.overloaded(seconds=4.5).play() for _ in range(2))
    assert first == second
    assert first.worth < 0.8


# Guards against a long benchmark that ends in an error before its first run.
@pytest.mark.parametrize("graph", [graphs.brolga, graphs.coopcarga])
def test_the_capacity_of_a_graph_is_known(
    graph: collections.abc.Callable[[], graphs.Graph],
) -> None:
    assert graph().capacity() > 0.0
