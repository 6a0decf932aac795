"""Backend servers that share their instances with other programs and slow down."""

import random

from gingerturn_fakes import parts, world as worlds

SLOW_PACE = 250
SLOW_SHARE = 0.15
SLOW_MS = 600.0
"""Pace of a slowdown, share of the upstreams that are slow at a time, and duration."""


def report(made: worlds.World, services: frozenset[str], figures: int) -> None:
    """Let the backend servers of services report their load.

    :param figures: 3 without the pace, 4 with it.
    """
    for node in _nodes(made, services):
        node.backend.load_figures = figures


def vary(made: worlds.World, services: frozenset[str], *, seed: int) -> None:
    """Slow down some upstreams of services, chosen anew at short intervals."""
    rng = random.Random(seed)
    for service in sorted(services):
        _slow_some(made, _nodes(made, frozenset({service})), rng)


def _slow_some(
    made: worlds.World, nodes: list[parts.FakeNode], rng: random.Random
) -> None:
    count = max(1, round(SLOW_SHARE * len(nodes)))
    slow = {node.name for node in rng.sample(nodes, count)}
    for node in nodes:
        node.backend.pace = SLOW_PACE if node.name in slow else 100
    made.at(SLOW_MS, lambda: _slow_some(made, nodes, rng))


def _nodes(made: worlds.World, services: frozenset[str]) -> list[parts.FakeNode]:
    return [n for n in made.nodes.values() if n.backend.spec.name in services]
