"""Share served of the workspaces of a site whose bottleneck service is overloaded, with
and without a workspace that sends several times its usual load.

``python -m benchmarks.workspace_shares`` plays both on each seed, for each variant. One
site has the shape of the ledger deployment at a third of its size, with fewer slots at
its bottleneck service; another has a single class and calls of similar length.
"""

import collections.abc
import concurrent.futures
import dataclasses
import sys

import click

from benchmarks import deployments, sites, variants
from gingerturn.internal.core import workspace_shares
from gingerturn_fakes import world

SECONDS = 20.0
BURST_START_MS = 8_000.0
"""Start of the overload, once the usual shares are known."""

NOISE_START_MS = 10_000.0
NOISE_END_MS = 18_000.0
OVERLOAD_DEMAND = 2.2
"""Demand during the burst. The bottleneck service has slots for 1.25 times the usual
one, so it is overloaded by 1.75."""

NOISE_FACTOR = 8.0

LEDGER = deployments.Site(
    name="ledger",
    zones=("a", "b", "c"),
    caller_ms=3.0,
    services=(
        deployments.Service("balances", 54, (0.5, 1.0, 1.5, 1.0, 0.5, 1.0, 1.5, 1.0)),
        deployments.Service("journal", 85, (0.5, 1.0, 1.5, 1.0, 1.0)),
        deployments.Service("exports", 237, (0.7, 1.6)),
        deployments.Service("reports", 24, (0.7, 1.0, 1.3, 1.0, 1.0), 1.3),
    ),
    kinds=(
        deployments.Kind(
            "balance-read",
            "balances",
            220.0,
            ("post-verify",),
            229.0,
            1_500,
            worth=0.98,
            priority=1,
        ),
        deployments.Kind(
            "journal-post",
            "journal",
            282.0,
            ("export-index",),
            66.0,
            2_006,
            worth=3.0,
            late_worth=0.2,
            priority=1,
            safe=False,
        ),
        deployments.Kind(
            "ledger-export", "exports", 170.0, (), 32.7, 802, worth=1.9, priority=0
        ),
        deployments.Kind(
            "trial-read",
            "reports",
            883.0,
            (),
            42.7,
            5_045,
            10_000,
            timeout_ms=10_000,
            worth=0.49,
            late_worth=0.45,
            priority=2,
        ),
        deployments.Kind("post-verify", "journal", 15.0, ("export-index",)),
        deployments.Kind("export-index", "exports", 15.0, ("coa-lookup",) * 4),
        deployments.Kind("coa-lookup", "reports", 54.8, timeout_ms=2_000),
    ),
    bottleneck="reports",
    retry_slack=31.0,
    workspaces=deployments.Workspaces(),
)


FLAT = deployments.Site(
    name="flat",
    zones=("a", "b", "c"),
    caller_ms=3.0,
    services=(
        deployments.Service("front", 40, (1.0,) * 6),
        deployments.Service("reports", 8, (0.7, 1.0, 1.3)),
    ),
    kinds=(
        deployments.Kind("list", "front", 20.0, ("row", "row"), 150.0, worth=1.0),
        deployments.Kind("status", "reports", 60.0, (), 70.0, worth=1.0),
        deployments.Kind("row", "reports", 40.0, timeout_ms=1_000),
    ),
    bottleneck="reports",
    workspaces=deployments.Workspaces(),
)

WIDE = dataclasses.replace(
    FLAT,
    name="wide",
    services=(deployments.Service("front", 5, (1.0,) * 57), FLAT.services[1]),
)
"""The same with 60 entry nodes, each of which gets 9 requests a second."""

SITES = {site.name: site for site in (LEDGER, FLAT, WIDE)}


def _without_factors() -> None:
    """Workspaces are not told apart at the bottleneck service."""
    workspace_shares.factor_of = lambda state, kind, service, workspace: 1.0


VARIANTS: dict[str, collections.abc.Callable[[], None]] = {
    "reported": variants.nothing,
    "none": _without_factors,
}


@dataclasses.dataclass(frozen=True)
class Case:
    """One run.

    :param noisy: workspace that sends more than usual; empty for none.
    """

    variant: str
    seed: int
    noisy: str
    site: str = "ledger"
    demand: float = OVERLOAD_DEMAND
    cap_ratio: float = 0.0
    immediate_retry_share: float = 0.0


@dataclasses.dataclass(frozen=True)
class Result:
    """Sent and served requests of each workspace while one is noisy.

    :param worth: share of the offered worth that was earned in the whole run.
    """

    sent: dict[str, int]
    served: dict[str, int]
    worth: float
    useful: float

    def share(self, *, without: str = "", only: str = "") -> float:
        """Return the share served of all workspaces, of all but one, or of one."""
        names = [only] if only else [name for name in self.sent if name != without]
        sent = sum(self.sent.get(name, 0) for name in names)
        return sum(self.served.get(name, 0) for name in names) / max(1, sent)

    def least(self, *, without: str, requests: int = 50) -> float:
        """Return the least share served of a workspace with enough requests."""
        return min(
            self.share(only=name)
            for name, sent in self.sent.items()
            if sent >= requests and name != without
        )

    def small(self, *, without: str = "", rank: int = 24) -> float:
        """Return the share served of the workspaces beyond the largest ones."""
        names = [n for n in self.sent if int(n[1:]) > rank and n != without]
        sent = sum(self.sent[name] for name in names)
        return sum(self.served.get(name, 0) for name in names) / max(1, sent)


def played(case: Case) -> Result:
    """Play one run."""
    mix = deployments.Workspaces(
        cap_ratio=case.cap_ratio, immediate_retry_share=case.immediate_retry_share
    )
    site = dataclasses.replace(SITES[case.site], workspaces=mix)
    run = sites.Run(site, seed=case.seed, seconds=SECONDS)
    run.world.gossip_on = bool(case.cap_ratio)
    run.world.at(BURST_START_MS, lambda: setattr(run, "demand", case.demand))
    if case.noisy:
        run.world.at(
            NOISE_START_MS,
            lambda: run.add_noise(case.noisy, NOISE_FACTOR, until_ms=NOISE_END_MS),
        )
    result = run.play()
    return _result(run, result)


def _result(run: sites.Run, result: sites.Result) -> Result:
    sent: dict[str, int] = {}
    served: dict[str, int] = {}
    for root in run.roots:
        if NOISE_START_MS <= root.sent - world.START < NOISE_END_MS:
            sent[root.workspace] = sent.get(root.workspace, 0) + 1
            if root.answer == "ok":
                served[root.workspace] = served.get(root.workspace, 0) + 1
    return Result(sent, served, result.worth, result.useful)


def _play_variant(case: Case) -> Result:
    """Play one run in its own process, since variants patch modules."""
    VARIANTS[case.variant]()
    return played(case)


@click.command()
@click.option("--variant", "names", multiple=True, default=tuple(VARIANTS))
@click.option("--noisy", "noisy", multiple=True, default=("w9",))
@click.option("--seed", "seeds", multiple=True, type=int, default=(1, 2, 3))
@click.option("--site", default="ledger", type=click.Choice(list(SITES)))
@click.option("--demand", default=OVERLOAD_DEMAND)
@click.option("--cap-ratio", default=0.0)
@click.option("--immediate-retry-share", default=0.0)
@click.option("--workers", default=2)
def main(
    names: tuple[str, ...],
    noisy: tuple[str, ...],
    seeds: tuple[int, ...],
    site: str,
    demand: float,
    cap_ratio: float,
    immediate_retry_share: float,
    workers: int,
) -> None:
    """Play an overload with and without noise and print a line for each pair."""
    cases = {
        (variant, seed, loud): Case(
            variant, seed, loud, site, demand, cap_ratio, immediate_retry_share
        )
        for variant in names
        for seed in seeds
        for loud in ("", *noisy)
    }
    with concurrent.futures.ProcessPoolExecutor(
        max_workers=workers, max_tasks_per_child=1
    ) as pool:
        results = pool.map(_play_variant, cases.values())
        found: dict[tuple[str, int], Result] = {}
        for (variant, seed, loud), result in zip(cases, results, strict=True):
            # Without noise comes first.
            calm = found.setdefault((variant, seed), result)
            if loud:
                click.echo(_line(variant, seed, loud, calm, result))


def _line(variant: str, seed: int, loud: str, calm: Result, noise: Result) -> str:
    others = calm.share(without=loud), noise.share(without=loud)
    return (
        f"{variant:<10} {seed:>3} {loud:<4}"
        f" others {others[0]:.3f} -> {others[1]:.3f} ({others[1] - others[0]:+.3f});"
        f" small {calm.small(without=loud):.3f} -> {noise.small(without=loud):.3f};"
        f" noisy {calm.share(only=loud):.3f} -> {noise.share(only=loud):.3f}"
        f" of {noise.sent.get(loud, 0)};"
        f" all {noise.share():.3f}, least {noise.least(without=loud):.3f};"
        f" worth {calm.worth:.3f} -> {noise.worth:.3f}, useful {noise.useful:.3f}"
    )


if __name__ == "__main__":
    sys.exit(main())
