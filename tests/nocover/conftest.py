"""Clusters of real processes for the slow tests."""

import collections.abc
import pathlib

import pytest

from gingerturn_standins import processes
from tests.common import builders


@pytest.fixture(scope="module")
def cluster(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[processes.Cluster]:
    """Start two services on three nodes, shared by the tests of a module."""
    folder = tmp_path_factory.mktemp("cluster")
    with processes.Cluster(folder) as made:
        start(made)
        yield made


def start(made: processes.Cluster) -> None:
    """Start three nodes and publish the configuration of the tests."""
    made.add("plans-1", service="plans", zone="bne-a", service_ms=5.0, wait=False)
    made.add("plans-2", service="plans", zone="bne-b", service_ms=5.0, wait=False)
    made.add(
        "porting-1",
        service="porting",
        zone="tsv",
        service_ms=5.0,
        calls=("GET:plans/status",),
        wait=False,
    )
    for node in made.nodes.values():
        made.wait_up(node)
    made.wait_ready(members=3)
    made.publish("shop", builders.DOCUMENT)


@pytest.fixture
def fresh(tmp_path: pathlib.Path) -> collections.abc.Iterator[processes.Cluster]:
    """Start the same cluster for a single test that injects faults."""
    with processes.Cluster(tmp_path) as made:
        start(made)
        yield made
