"""The users' sites on the fake clock: routes, call trees and callers that retry.

``python -m benchmarks.sites`` plays every scenario in seconds and prints, for each kind
of request, which share was served, and how much of what reached the scarcest service
belonged to requests that were served. It is a quick trial for a change before the
users' bench; docs/measurements.md compares the two.
"""

import collections
import collections.abc
import concurrent.futures
import dataclasses
import math
import random
import sys

import click

from benchmarks import deployments, variants
from gingerturn import routes
from gingerturn.internal.core import allowance, effects
from gingerturn_fakes import parts, world

HOST = "mesh.example"
SECONDS = 14
FAULT_START_MS = 4_000.0
FAULT_END_MS = 9_000.0
MEASURED_FROM_MS = 2_000.0
"""Start of the measurement, after the warm-up."""

CAP_BURST = 10.0
"""Least burst of a workspace with a cap, so that small ones may send two at once."""

IMMEDIATE_RETRIES = 3
"""Retries of a caller that ignores the retry delay."""
WAVE_SWING = 0.15
WAVE_PERIOD_MS = 11_000.0
"""Swing of the demand as a part of its mean, and the period of the wave
(docs/design/heavy-load.md)."""

RETRY_WAIT_SHARE = 1.0 / 3
"""Longest wait of a caller before a retry, as a share of its remaining time."""


def table(site: deployments.Site) -> routes.RouteTable:
    """Return the routes of a site, one for each kind."""
    return routes.RouteTable(
        version=1,
        routes=tuple(
            routes.Route(
                name=kind.name,
                host=HOST,
                path_prefix=f"/{kind.name}/",
                type=routes.RouteType.SAFE
                if kind.safe
                else routes.RouteType.UNREPEATABLE,
                timeout_ms=kind.timeout_ms,
                target_ms=kind.target_ms,
                shares=(routes.Share(kind.service),),
                priority=kind.priority,
                max_attempts=2,
            )
            for kind in site.kinds
        ),
        workspaces=_workspaces(site),
    )


def _workspaces(site: deployments.Site) -> tuple[routes.Workspace, ...] | None:
    """Return the workspaces of a site, each with its name as its API key."""
    found = site.workspaces
    if found is None:
        return None
    requests = sum(kind.rate_per_s for kind in site.kinds)
    return tuple(
        routes.workspace(
            name,
            [name],
            rate=found.cap_ratio * share * requests,
            burst=max(CAP_BURST, found.cap_ratio * share * requests),
        )
        for name, share in zip(found.names, found.shares, strict=True)
    )


def _services(site: deployments.Site) -> list[parts.ServiceSpec]:
    return [_service(site, service) for service in site.services]


def _service(site: deployments.Site, service: deployments.Service) -> parts.ServiceSpec:
    kinds = [kind for kind in site.kinds if kind.service == service.name]
    return parts.ServiceSpec(
        name=service.name,
        upstreams=len(service.speeds),
        slots=service.slots,
        contention_factor=service.contention_factor,
        service_ms={kind.name: kind.work_ms for kind in kinds},
        calls={
            kind.name: [f"{HOST} GET /{called}/x" for called in kind.calls]
            for kind in kinds
        },
    )


@dataclasses.dataclass
class Tally:
    """Results of the requests of one kind.

    :param failed_again: requests retried after a refusal that were not served either.
    """

    sent: int = 0
    on_time: int = 0
    late: int = 0
    failed_again: int = 0

    @property
    def share(self) -> float:
        """Share that was served."""
        return (self.on_time + self.late) / max(1, self.sent)


@dataclasses.dataclass
class Result:
    """The results of one run.

    :param worth: share of the offered worth that was earned.
    :param failed_again: share of the offered worth that was retried after a refusal and
        not served either.
    :param useful: share of the calls run at the bottleneck service that belong to
        served requests.
    :param repeats: repeated attempts at the bottleneck service, per call.
    """

    tallies: dict[str, Tally]
    worth: float
    failed_again: float
    useful: float
    repeats: float


class Run:
    """One run of a site.

    :param seconds: how long it is played.
    """

    def __init__(
        self, site: deployments.Site, *, seed: int, seconds: float = SECONDS
    ) -> None:
        self.site = site
        self.demand = 1.0
        self.kind_demand: dict[str, float] = {}
        self.swing = 0.0
        self._end_ms = seconds * 1000.0
        self.world = world.World(
            seed=seed,
            services=_services(site),
            documents={},
            zones=list(site.zones),
            caller_ms=site.caller_ms,
            table=table(site),
            retry_bound=allowance.Bound(site.retry_slack),
        )
        self._kinds = {kind.name: kind for kind in site.kinds}
        self._random = random.Random(seed)
        self._tallies = {k.name: Tally() for k in site.kinds if k.rate_per_s}
        self._numbers = 0
        # Draws of workspaces, apart from those of arrivals, so that runs with and
        # without noise on one seed have the same other arrivals.
        self._workspace_random = random.Random(seed + 1)
        self.roots: list[parts.Root] = []
        self._runs: collections.Counter[int] = collections.Counter()
        self._sent: collections.Counter[int] = collections.Counter()
        self._root_hashes: dict[int, list[int]] = {}
        self._served: set[int] = set()
        self._earned_worth = 0.0
        self._failed_again_worth = 0.0
        self._offered_worth = 0.0
        for service in site.services:
            self.slow_down(service.name, 1.0)
        self.world.on_execution = self._on_execution
        self.world.on_arrival = self._on_arrival
        self.world.on_effect = self._on_effect
        self.world.on_root_end = self._on_end

    def slow_down(self, service: str, factor: float) -> None:
        """Multiply the service times of the upstreams of a service."""
        speeds = next(s.speeds for s in self.site.services if s.name == service)
        for number, speed in enumerate(speeds, 1):
            self.world.nodes[f"{service}-{number}"].backend.slow = factor / speed

    def refuse_calls(self, service: str, share: float) -> None:
        """Let the upstreams of a service refuse calls although slots are free."""
        for node in self.world.nodes.values():
            if node.backend.spec.name == service:
                node.backend.refused_share = share

    def play(self) -> Result:
        """Run it."""
        for kind in self.site.kinds:
            if kind.rate_per_s:
                self._schedule(kind)
        self.world.run(self._end_ms)
        useful = sum(self._runs[hash_] for hash_ in self._served)
        return Result(
            tallies=self._tallies,
            worth=self._earned_worth / max(1.0, self._offered_worth),
            failed_again=self._failed_again_worth / max(1.0, self._offered_worth),
            useful=useful / max(1, sum(self._runs.values())),
            repeats=sum(self._sent.values()) / max(1, len(self._sent)) - 1.0,
        )

    def _schedule(self, kind: deployments.Kind) -> None:
        rate = kind.rate_per_s * self._demand_of(kind)
        delay = self._random.expovariate(rate) * 1000.0
        self.world.at(delay, lambda: self._offer(kind))

    def add_noise(self, workspace: str, factor: float, *, until_ms: float) -> None:
        """Let a workspace send a multiple of its usual load from now on.

        :param until_ms: end, in ms from the start of the run.
        """
        mix = self.site.workspaces
        assert mix is not None
        share = mix.shares[mix.names.index(workspace)] * (factor - 1.0)
        end = world.START + until_ms
        for kind in self.site.kinds:
            if kind.rate_per_s:
                self._schedule_noise(kind, workspace, share, end)

    def _schedule_noise(
        self, kind: deployments.Kind, workspace: str, share: float, end: float
    ) -> None:
        rate = kind.rate_per_s * self.demand * share
        delay = self._workspace_random.expovariate(rate) * 1000.0
        if self.world.now + delay >= end:
            return

        def offer() -> None:
            self._schedule_noise(kind, workspace, share, end)
            self._offer_one(kind, workspace)

        self.world.at(delay, offer)

    def _drawn_workspace(self) -> str:
        mix = self.site.workspaces
        if mix is None:
            return ""
        return self._workspace_random.choices(mix.names, mix.shares)[0]

    def _assign_workspace(self, root: parts.Root, workspace: str) -> None:
        mix = self.site.workspaces
        if mix is None:
            return
        root.workspace = workspace
        root.key_digest = routes.key_digest(workspace.encode())
        if self._workspace_random.random() < mix.immediate_retry_share:
            root.retries_at_once = IMMEDIATE_RETRIES
        self.roots.append(root)

    def _demand_of(self, kind: deployments.Kind) -> float:
        phase = 2.0 * math.pi * (self.world.now - world.START) / WAVE_PERIOD_MS
        wave = 1.0 + self.swing * math.sin(phase)
        return self.demand * self.kind_demand.get(kind.name, 1.0) * wave

    def burst(
        self, factor: float, start_ms: float, duration_ms: float, kind: str = ""
    ) -> None:
        """Multiply the demand for a kind, or for all kinds, for a while."""
        names = [kind] if kind else list(self._kinds)
        end_ms = start_ms + duration_ms
        for name in names:
            self.world.at(start_ms, lambda n=name: self._multiply_demand(n, factor))
            self.world.at(end_ms, lambda n=name: self._multiply_demand(n, 1.0 / factor))

    def _multiply_demand(self, kind: str, factor: float) -> None:
        self.kind_demand[kind] = self.kind_demand.get(kind, 1.0) * factor

    def _offer(self, kind: deployments.Kind) -> None:
        self._schedule(kind)
        self._offer_one(kind, self._drawn_workspace())

    def _offer_one(self, kind: deployments.Kind, workspace: str) -> None:
        self._numbers += 1
        spec = parts.KindSpec(kind.name, HOST, "GET", kind.path)
        root = parts.Root(id=self._numbers, kind=spec, sent=self.world.now, key="")
        self._assign_workspace(root, workspace)
        if self._is_measured(root):
            self._tallies[kind.name].sent += 1
            self._offered_worth += kind.worth
        self._send(root)

    def _is_measured(self, root: parts.Root) -> bool:
        since = root.sent - world.START
        end = self._end_ms - self._kinds[root.kind.name].budget_ms / 2
        return MEASURED_FROM_MS <= since < end

    def _send(self, root: parts.Root) -> None:
        self.world.send(root, abandon_after_ms=self._time_left_ms(root))

    def _time_left_ms(self, root: parts.Root) -> float:
        budget = self._kinds[root.kind.name].budget_ms
        return max(1.0, root.sent + budget - self.world.now)

    def _on_arrival(self, root: parts.Root, root_hash: int | None) -> None:
        if root_hash is not None:
            self._root_hashes.setdefault(root.id, []).append(root_hash)

    def _on_execution(self, node: parts.FakeNode, work: parts.Work) -> None:
        if node.backend.spec.name == self.site.bottleneck:
            self._runs[work.root] += 1

    def _on_effect(self, node: parts.FakeNode, effect: effects.Effect) -> None:
        sent = isinstance(effect, effects.OpenAttempt)
        if sent and effect.metadata.service == self.site.bottleneck:
            self._sent[effect.call] += 1

    def _on_end(self, root: parts.Root) -> None:
        kind = self._kinds[root.kind.name]
        if root.answer == "ok":
            self._served.update(self._root_hashes.pop(root.id, []))
            self._record_served(root, kind)
            return
        promised = root.answer == "not-run"
        if root.tries <= root.retries_at_once and (
            promised or (kind.safe and root.answer != "gone")
        ):
            self._send(root)
            return
        if root.tries > 1 or root.answer == "gone" or not (promised or kind.safe):
            self._root_hashes.pop(root.id, None)
            if root.tries > 1 and self._is_measured(root):
                self._tallies[kind.name].failed_again += 1
                self._failed_again_worth += kind.worth
            return
        wait = min(root.retry_after, self._time_left_ms(root) * RETRY_WAIT_SHARE)
        self.world.at(wait, lambda: self._send(root))

    def _record_served(self, root: parts.Root, kind: deployments.Kind) -> None:
        if not self._is_measured(root):
            return
        tally = self._tallies[kind.name]
        if root.answered - root.sent <= kind.target_ms:
            tally.on_time += 1
            self._earned_worth += kind.worth
        else:
            tally.late += 1
            self._earned_worth += kind.worth * kind.late_worth


def overloaded(*, seconds: float) -> Run:
    """Return a run of brolga whose bottleneck service is slow from the start."""
    run = Run(deployments.BROLGA, seed=1, seconds=seconds)
    run.slow_down(deployments.BROLGA.bottleneck, 8.0)
    return run


def _calm(run: Run) -> None:
    """Inject no fault."""


def _burst(run: Run) -> None:
    """Raise demand by 80 % during the fault."""
    run.world.at(FAULT_START_MS, lambda: setattr(run, "demand", 1.8))
    run.world.at(FAULT_END_MS, lambda: setattr(run, "demand", 1.0))


def _most_lost(run: Run) -> None:
    """Kill all upstreams of the bottleneck service but the first."""
    run.demand = 1.3
    for number in range(2, 1 + len(_bottleneck_of(run.site).speeds)):
        name = f"{run.site.bottleneck}-{number}"
        run.world.at(FAULT_START_MS, lambda name=name: run.world.kill(name))


def _slow(run: Run) -> None:
    """Slow the bottleneck service to a fifth of its speed."""
    scarce = run.site.bottleneck
    run.world.at(FAULT_START_MS, lambda: run.slow_down(scarce, 5.0))
    run.world.at(FAULT_END_MS, lambda: run.slow_down(scarce, 1.0))


def _bottleneck_of(site: deployments.Site) -> deployments.Service:
    return next(s for s in site.services if s.name == site.bottleneck)


def _refusing(run: Run) -> None:
    """Let the bottleneck service refuse over half of its calls for a while."""
    scarce = run.site.bottleneck
    run.world.at(FAULT_START_MS, lambda: run.refuse_calls(scarce, 0.55))
    run.world.at(FAULT_END_MS, lambda: run.refuse_calls(scarce, 0.0))


def _one_lost(run: Run) -> None:
    """Kill one upstream of the bottleneck service while demand is high."""
    run.demand = 1.5
    name = f"{run.site.bottleneck}-{len(_bottleneck_of(run.site).speeds)}"
    run.world.at(FAULT_START_MS, lambda: run.world.kill(name))


def _one_slow(run: Run) -> None:
    """Slow one upstream of the bottleneck service to a twelfth of its speed.

    The others can carry the load.
    """
    node = run.world.nodes[f"{run.site.bottleneck}-1"]
    usual = node.backend.slow
    run.world.at(FAULT_START_MS, lambda: setattr(node.backend, "slow", 12.0 * usual))
    run.world.at(FAULT_END_MS, lambda: setattr(node.backend, "slow", usual))


def _limited(run: Run) -> None:
    """Let two of the upstreams where requests begin report rate limits."""
    names = [f"{run.site.kinds[0].service}-{number}" for number in (1, 2)]
    for name, limit in zip(names, (7.4, 11.9), strict=True):
        _limit_during_fault(run, name, limit)


def _limit_during_fault(run: Run, name: str, limit: float) -> None:
    """Let an upstream report a rate limit while the fault lasts."""
    backend = run.world.nodes[name].backend
    run.world.at(FAULT_START_MS, lambda: setattr(backend, "rate_limit", limit))
    run.world.at(FAULT_END_MS, lambda: setattr(backend, "rate_limit", -1.0))


def _all_limited(run: Run) -> None:
    """Let the upstreams of the bottleneck service accept a third of what they could."""
    service = _bottleneck_of(run.site)
    work_ms = min(k.work_ms for k in run.site.kinds if k.service == service.name)
    for number, speed in enumerate(service.speeds, 1):
        limit = 1_000.0 * service.slots * speed / work_ms / 3.0
        _limit_during_fault(run, f"{service.name}-{number}", limit)


def _leaving(run: Run) -> None:
    """Let an upstream of the bottleneck service report leaving in its answers."""
    node = run.world.nodes[f"{run.site.bottleneck}-1"]
    run.world.at(FAULT_START_MS, lambda: setattr(node.backend, "reports_leaving", True))


def _waves(run: Run) -> None:
    """Let demand come in waves."""
    run.swing = WAVE_SWING


def _waves_and_burst(run: Run) -> None:
    """Let demand come in waves, with a burst of all kinds."""
    run.swing = WAVE_SWING
    run.burst(2.4, FAULT_START_MS, 6_000.0)


def _waves_and_burst_of_root(run: Run) -> None:
    """Let demand come in waves, with a burst of the roots at the bottleneck service."""
    run.swing = WAVE_SWING
    roots = [k for k in run.site.kinds if k.service == run.site.bottleneck]
    name = next(kind.name for kind in roots if kind.rate_per_s)
    run.burst(2.4, FAULT_START_MS, 6_000.0, name)


def _overloaded(factor: float) -> collections.abc.Callable[[Run], None]:
    """Return a scenario with waves, in which the bottleneck service gets a multiple of
    what it can serve during the fault."""

    def scenario(run: Run) -> None:
        run.swing = WAVE_SWING
        duration = FAULT_END_MS - FAULT_START_MS
        run.burst(factor / _bottleneck_load(run.site), FAULT_START_MS, duration)

    return scenario


def _bottleneck_load(site: deployments.Site) -> float:
    """Return the share of the bottleneck service that the usual demand takes."""
    kinds = {kind.name: kind for kind in site.kinds}

    def work_ms(kind: deployments.Kind) -> float:
        own = kind.work_ms if kind.service == site.bottleneck else 0.0
        return own + sum(work_ms(kinds[called]) for called in kind.calls)

    service = _bottleneck_of(site)
    wanted = sum(kind.rate_per_s * work_ms(kind) for kind in site.kinds) / 1_000.0
    return wanted / (service.slots * sum(service.speeds))


def _burst_of_long_reads(run: Run) -> None:
    """Let the roots at the bottleneck service come four times as often for 2 s, twice.

    All demand is a third above the usual.
    """
    run.swing = WAVE_SWING
    run.demand = 1.33
    roots = [k for k in run.site.kinds if k.service == run.site.bottleneck]
    name = next(kind.name for kind in roots if kind.rate_per_s)
    for start_ms in (FAULT_START_MS, FAULT_END_MS):
        run.burst(4.0, start_ms, 2_000.0, name)


SCENARIOS: dict[str, collections.abc.Callable[[Run], None]] = {
    "calm": _calm,
    "burst": _burst,
    "scarcer": _most_lost,
    "slow": _slow,
    "one-lost": _one_lost,
    "one-slow": _one_slow,
    "turning-away": _refusing,
    "limited": _limited,
    "all-limited": _all_limited,
    "leaving": _leaving,
    "waves": _waves,
    "waves-burst": _waves_and_burst,
    "waves-one-kind": _waves_and_burst_of_root,
    "overload-1.2": _overloaded(1.2),
    "overload-1.6": _overloaded(1.6),
    "overload-2": _overloaded(2.0),
    "long-reads": _burst_of_long_reads,
}


@dataclasses.dataclass(frozen=True)
class Case:
    """One run to be made."""

    site: str
    scenario: str
    variant: str
    seed: int


def run_case(case: Case) -> Result:
    """Make one run, in its own process, since variants patch modules."""
    variants.VARIANTS[case.variant]()
    site = deployments.SITES[case.site]
    run = Run(site, seed=case.seed, seconds=site.seconds)
    SCENARIOS[case.scenario](run)
    return run.play()


def line(case: Case, result: Result) -> str:
    """Return the results of a run as one line."""
    shares = ", ".join(f"{k} {t.share:.3f}" for k, t in result.tallies.items())
    return (
        f"{case.site:<10} {case.scenario:<8} {case.variant:<14} {case.seed:>4}"
        f"  worth {result.worth:.3f}, again {result.failed_again:.3f},"
        f" useful {result.useful:.3f}, repeats {result.repeats:.3f}; {shares}"
    )


@click.command()
@click.option(
    "--site", "sites", multiple=True, type=click.Choice(list(deployments.SITES))
)
@click.option("--scenario", "chosen", multiple=True, type=click.Choice(list(SCENARIOS)))
@click.option("--variant", "names", multiple=True, default=("gingerturn",))
@click.option("--seed", "seeds", multiple=True, type=int, default=(1,))
@click.option("--workers", default=4)
def main(
    sites: tuple[str, ...],
    chosen: tuple[str, ...],
    names: tuple[str, ...],
    seeds: tuple[int, ...],
    workers: int,
) -> None:
    """Play scenarios and print a line for each."""
    cases = [
        Case(site, scenario, name, seed)
        for site in sites or deployments.SITES
        for scenario in chosen or SCENARIOS
        for name in names
        for seed in seeds
    ]
    with concurrent.futures.ProcessPoolExecutor(
        max_workers=workers, max_tasks_per_child=1
    ) as pool:
        for case, result in zip(cases, pool.map(run_case, cases), strict=True):
            click.echo(line(case, result))


if __name__ == "__main__":
    sys.exit(main())
