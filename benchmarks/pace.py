"""Upstreams that slow down for moments, with and without the reports of their pace.

The deployment is that of ``docs/design/heavy-load.md`` with the upstreams of the
declarations deployment and half of its slots and load.
"""

import collections
import concurrent.futures
import dataclasses
import sys

import click

from benchmarks import deployments, sites
from gingerturn.internal.core import effects
from gingerturn_fakes import paces, parts

_SPEEDS = {
    "nomenclature": (0.6, 1.0, 1.4),
    "filing": (0.55, 1.0, 1.2),
    "docvault": (0.7, 1.0, 1.6),
    "tracer": (0.7, 1.0, 1.6, 0.7, 1.0),
}


def _speeds(service: str, upstreams: int) -> tuple[float, ...]:
    known = _SPEEDS[service]
    return tuple(known[number % len(known)] for number in range(upstreams))


SITE = deployments.Site(
    name="declarations-half",
    zones=("a", "b", "c"),
    caller_ms=2.0,
    services=(
        deployments.Service("nomenclature", 18, _speeds("nomenclature", 41)),
        deployments.Service("filing", 20, _speeds("filing", 27)),
        deployments.Service("docvault", 68, _speeds("docvault", 8)),
        deployments.Service("tracer", 41, _speeds("tracer", 5), 1.3),
    ),
    kinds=(
        deployments.Kind(
            "tariff-query",
            "nomenclature",
            230.0,
            ("agent-verify",),
            262.0,
            2_000,
            worth=1.0,
            late_worth=0.5,
        ),
        deployments.Kind(
            "file-entry",
            "filing",
            300.0,
            ("pack-index",),
            95.0,
            2_000,
            worth=3.0,
            late_worth=1 / 3,
            priority=0,
            safe=False,
        ),
        deployments.Kind(
            "archive-pull",
            "docvault",
            181.0,
            (),
            40.0,
            1_000,
            worth=1.0,
            late_worth=0.5,
        ),
        deployments.Kind(
            "goods-status",
            "tracer",
            94.6,
            (),
            86.0,
            403,
            1_600,
            worth=2.0,
            late_worth=0.5,
            priority=1,
        ),
        deployments.Kind("agent-verify", "filing", 15.0, ("pack-index",)),
        deployments.Kind("pack-index", "docvault", 15.1, ("state-feed",) * 4),
        deployments.Kind("state-feed", "tracer", 67.4, timeout_ms=700),
    ),
    bottleneck="tracer",
    retry_slack=112.0,
)

CASES = {
    "leaf": frozenset({"tracer", "docvault"}),
    "front": frozenset({"nomenclature", "filing"}),
}
"""Services that share their instances: those that end the call trees, and those that
begin them."""


@dataclasses.dataclass(frozen=True)
class Case:
    """One run to be made.

    :param figures: in the reports; 3 without the pace, 4 with it.
    """

    shared: str
    figures: int
    demand: float
    seed: int
    seconds: float


@dataclasses.dataclass
class Outcome:
    """Results of a run.

    :param same_zone: share of the calls that stayed in their zone, by service.
    :param slow: share of the calls to shared services that were dispatched to upstreams
        that were slow at that moment.
    :param latencies: ms by kind, of served requests.
    """

    result: sites.Result
    same_zone: dict[str, float]
    slow: float
    latencies: dict[str, list[float]]


def play(case: Case) -> Outcome:
    """Make one run."""
    run = sites.Run(SITE, seed=case.seed, seconds=case.seconds)
    run.demand = case.demand
    shared = CASES[case.shared]
    paces.report(run.world, shared, case.figures)
    paces.vary(run.world, shared, seed=case.seed)
    sent: collections.Counter[str] = collections.Counter()
    stayed: collections.Counter[str] = collections.Counter()
    executed: collections.Counter[bool] = collections.Counter()
    latencies: dict[str, list[float]] = collections.defaultdict(list)
    next_effect = run.world.on_effect
    next_end = run.world.on_root_end

    def on_effect(node: parts.FakeNode, effect: effects.Effect) -> None:
        next_effect(node, effect)
        if isinstance(effect, effects.OpenAttempt):
            home = run.world.nodes[effect.node]
            sent[home.backend.spec.name] += 1
            stayed[home.backend.spec.name] += home.zone == node.zone
            if home.backend.spec.name in shared:
                executed[home.backend.pace > 100] += 1

    def on_end(root: parts.Root) -> None:
        if root.answer == "ok":
            latencies[root.kind.name].append(root.answered - root.sent)
        next_end(root)

    run.world.on_effect = on_effect
    run.world.on_root_end = on_end
    result = run.play()
    return Outcome(
        result=result,
        same_zone={name: stayed[name] / sent[name] for name in sent},
        slow=executed[True] / max(1, executed.total()),
        latencies=latencies,
    )


def line(case: Case, outcome: Outcome) -> str:
    """Return the results of a run as one line."""
    result = outcome.result
    late = ", ".join(
        f"{name} {tally.late}/{tally.sent}" for name, tally in result.tallies.items()
    )
    median = ", ".join(
        f"{found[len(found) // 2]:.0f}/{found[int(len(found) * 0.95)]:.0f}"
        for found in (sorted(outcome.latencies[name]) for name in result.tallies)
        if found
    )
    zones = ", ".join(f"{n} {s:.2f}" for n, s in sorted(outcome.same_zone.items()))
    served = ", ".join(f"{tally.share:.3f}" for tally in result.tallies.values())
    return (
        f"{case.shared:<6} {case.figures} x{case.demand:g} {case.seed:>3}"
        f"  worth {result.worth:.4f}; served {served}; late {late}; p50/p95 {median};"
        f" slow {outcome.slow:.3f}; own zone {zones}"
    )


@click.command()
@click.option(
    "--shared", "chosen", multiple=True, type=click.Choice(list(CASES)), default=CASES
)
@click.option("--figures", "figures", multiple=True, type=int, default=(3, 4))
@click.option("--demand", "demands", multiple=True, type=float, default=(1.0, 1.6))
@click.option("--seed", "seeds", multiple=True, type=int, default=(1,))
@click.option("--seconds", default=6.0)
@click.option("--workers", default=2)
def main(
    chosen: tuple[str, ...],
    figures: tuple[int, ...],
    demands: tuple[float, ...],
    seeds: tuple[int, ...],
    seconds: float,
    workers: int,
) -> None:
    """Play the runs and print a line for each."""
    cases = [
        Case(shared, count, demand, seed, seconds)
        for shared in chosen
        for demand in demands
        for seed in seeds
        for count in figures
    ]
    with concurrent.futures.ProcessPoolExecutor(max_workers=workers) as pool:
        for case, outcome in zip(cases, pool.map(play, cases), strict=True):
            click.echo(line(case, outcome))


if __name__ == "__main__":
    sys.exit(main())
