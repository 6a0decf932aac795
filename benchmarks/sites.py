"""The two users' sites on the fake clock: routes, trees, callers that come back.

``python -m benchmarks.sites`` plays every scenario in seconds and prints, for each kind
of request, which share was served, and how much of what reached the scarcest service
belonged to requests that were served. A decision can be tried here before a day of the
users' bench is spent on it; docs/measurements.md says where the two agree and where
this one errs.
"""

import collections
import collections.abc
import concurrent.futures
import dataclasses
import random
import sys

import click

from benchmarks import variants
from gingerturn import routes
from gingerturn_fakes import parts, world

HOST = "mesh.example"
SECONDS = 14
TROUBLE_AT_MS = 4_000.0
TROUBLE_ENDS_MS = 9_000.0
COUNTED_FROM_MS = 2_000.0
"""The first seconds tell how a run begins, not how it goes on."""

COME_BACK_SHARE = 1.0 / 3
"""Callers wait at most this part of the time that they have left."""


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request and its route.

    :param per_s: requests a second; 0 for one that only upstreams make.
    :param aim_ms: time within which an answer has its full worth.
    :param budget_ms: time after which a caller gives up.
    """

    name: str
    service: str
    work_ms: float
    calls: tuple[str, ...] = ()
    per_s: float = 0.0
    aim_ms: int = 1_000
    budget_ms: int = 5_000
    timeout_ms: int = 5_000
    worth: float = 0.0
    late_worth: float = 0.3
    priority: int = 2
    safe: bool = True

    @property
    def path(self) -> str:
        """Path of a request."""
        return f"/{self.name}/x"


@dataclasses.dataclass(frozen=True)
class Service:
    """A service; one entry of ``speeds`` for each upstream."""

    name: str
    slots: int
    speeds: tuple[float, ...]


@dataclasses.dataclass(frozen=True)
class Site:
    """A deployment.

    :param scarce: the service that every tree ends at.
    """

    name: str
    zones: tuple[str, ...]
    caller_ms: float
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    scarce: str


BROLGA = Site(
    name="brolga",
    zones=("bne-a", "bne-b", "tsv"),
    caller_ms=8.0,
    services=(
        Service("plans", 89, (0.5, 1.0, 1.0, 1.5, 1.0)),
        Service("porting", 112, (0.5, 1.0, 1.0, 1.5)),
        Service("profiles", 149, (0.5, 1.0, 1.5)),
        Service("provisioning", 20, (0.7, 0.7, 1.6)),
    ),
    kinds=(
        Kind("plan-lookup", "plans", 90.0, ("account-state",), 196.0, 1_200, worth=1.0),
        Kind(
            "number-port",
            "porting",
            120.0,
            ("imsi-range", "imsi-range"),
            82.5,
            1_500,
            timeout_ms=800,
            worth=3.0,
            late_worth=0.6,
            priority=0,
            safe=False,
        ),
        Kind("esim-profile", "profiles", 72.0, (), 29.8, 300, 1_200, worth=1.0),
        Kind(
            "sim-provision",
            "provisioning",
            72.0,
            (),
            22.4,
            250,
            1_000,
            worth=1.0,
            safe=False,
        ),
        Kind("account-state", "porting", 15.0, ("imsi-range",), timeout_ms=2_500),
        Kind("imsi-range", "profiles", 15.0, ("stock-check",) * 4, timeout_ms=2_000),
        Kind("stock-check", "provisioning", 22.0, timeout_ms=700),
    ),
    scarce="provisioning",
)

COOPCARGA = Site(
    name="coopcarga",
    zones=("guararapes", "boa-viagem", "suape"),
    caller_ms=3.0,
    services=(
        Service("manifesto", 168, (0.7, 0.7, 1.6, 0.7, 1.6)),
        Service("balanca", 281, (0.6, 1.0, 1.4)),
        Service("despacho", 281, (0.6, 1.0, 1.4)),
        Service("paletes", 63, (0.6, 1.0, 1.4)),
    ),
    kinds=(
        Kind(
            "manifest-lookup",
            "manifesto",
            120.0,
            ("trim-table",),
            373.0,
            1_500,
            6_000,
            timeout_ms=800,
            worth=1.0,
        ),
        Kind(
            "signoff",
            "balanca",
            160.0,
            ("tariff",),
            153.0,
            1_500,
            6_000,
            timeout_ms=1_000,
            worth=3.0,
            late_worth=0.6,
            priority=0,
            safe=False,
        ),
        Kind("customs-pack", "despacho", 96.0, (), 38.0, 400, 1_500, worth=1.0),
        Kind(
            "uld-booking",
            "paletes",
            96.0,
            (),
            42.6,
            300,
            1_200,
            worth=1.0,
            safe=False,
        ),
        Kind("trim-table", "balanca", 15.0, ("tariff",), timeout_ms=3_000),
        Kind("tariff", "despacho", 15.0, ("dg-code",) * 4, timeout_ms=2_500),
        Kind("dg-code", "paletes", 30.0, timeout_ms=700),
    ),
    scarce="paletes",
)

SITES = {site.name: site for site in (BROLGA, COOPCARGA)}


def table(site: Site) -> routes.RouteTable:
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
                target_ms=kind.aim_ms,
                shares=(routes.Share(kind.service),),
                priority=kind.priority,
                max_attempts=2,
            )
            for kind in site.kinds
        ),
    )


def _services(site: Site) -> list[parts.ServiceSpec]:
    return [_service(site, service) for service in site.services]


def _service(site: Site, service: Service) -> parts.ServiceSpec:
    kinds = [kind for kind in site.kinds if kind.service == service.name]
    return parts.ServiceSpec(
        name=service.name,
        upstreams=len(service.speeds),
        slots=service.slots,
        service_ms={kind.name: kind.work_ms for kind in kinds},
        calls={
            kind.name: [f"{HOST} GET /{called}/x" for called in kind.calls]
            for kind in kinds
        },
    )


@dataclasses.dataclass
class Tally:
    """What became of the requests of one kind."""

    asked: int = 0
    in_aim: int = 0
    late: int = 0

    @property
    def share(self) -> float:
        """Share that was served."""
        return (self.in_aim + self.late) / max(1, self.asked)


@dataclasses.dataclass
class Result:
    """What one run measured.

    :param worth: of the worth that was asked for, before any price.
    :param useful: share of the calls that ran at the scarcest service for requests that
        were served.
    """

    tallies: dict[str, Tally]
    worth: float
    useful: float


class Run:
    """One run of a site.

    :param seconds: how long it is played.
    """

    def __init__(self, site: Site, *, seed: int, seconds: float = SECONDS) -> None:
        self.site = site
        self.demand = 1.0
        self._end_ms = seconds * 1000.0
        self.world = world.World(
            seed=seed,
            services=_services(site),
            documents={},
            zones=list(site.zones),
            caller_ms=site.caller_ms,
            table=table(site),
        )
        self._kinds = {kind.name: kind for kind in site.kinds}
        self._random = random.Random(seed)
        self._tallies = {k.name: Tally() for k in site.kinds if k.per_s}
        self._numbers = 0
        self._runs: collections.Counter[int] = collections.Counter()
        self._hashes: dict[int, list[int]] = {}
        self._served: set[int] = set()
        self._earned = 0.0
        self._owed = 0.0
        for service in site.services:
            self.slow_down(service.name, 1.0)
        self.world.on_execution = self._on_execution
        self.world.on_arrival = self._on_arrival
        self.world.on_root_end = self._on_end

    def slow_down(self, service: str, factor: float) -> None:
        """Let the upstreams of a service take so many times as long as they do."""
        speeds = next(s.speeds for s in self.site.services if s.name == service)
        for number, speed in enumerate(speeds, 1):
            self.world.nodes[f"{service}-{number}"].backend.slow = factor / speed

    def play(self) -> Result:
        """Run it."""
        for kind in self.site.kinds:
            if kind.per_s:
                self._schedule(kind)
        self.world.run(self._end_ms)
        useful = sum(self._runs[hash_] for hash_ in self._served)
        return Result(
            tallies=self._tallies,
            worth=self._earned / max(1.0, self._owed),
            useful=useful / max(1, sum(self._runs.values())),
        )

    def _schedule(self, kind: Kind) -> None:
        delay = self._random.expovariate(kind.per_s * self.demand) * 1000.0
        self.world.at(delay, lambda: self._offer(kind))

    def _offer(self, kind: Kind) -> None:
        self._schedule(kind)
        self._numbers += 1
        spec = parts.KindSpec(kind.name, HOST, "GET", kind.path)
        root = parts.Root(id=self._numbers, kind=spec, sent=self.world.now, key="")
        if self._counts(root):
            self._tallies[kind.name].asked += 1
            self._owed += kind.worth
        self._send(root)

    def _counts(self, root: parts.Root) -> bool:
        since = root.sent - world.START
        end = self._end_ms - self._kinds[root.kind.name].budget_ms / 2
        return COUNTED_FROM_MS <= since < end

    def _send(self, root: parts.Root) -> None:
        self.world.send(root, patience=self._left(root))

    def _left(self, root: parts.Root) -> float:
        budget = self._kinds[root.kind.name].budget_ms
        return max(1.0, root.sent + budget - self.world.now)

    def _on_arrival(self, root: parts.Root, root_hash: int | None) -> None:
        if root_hash is not None:
            self._hashes.setdefault(root.id, []).append(root_hash)

    def _on_execution(self, node: parts.FakeNode, work: parts.Work) -> None:
        if node.backend.spec.name == self.site.scarce:
            self._runs[work.root] += 1

    def _on_end(self, root: parts.Root) -> None:
        kind = self._kinds[root.kind.name]
        if root.answer == "ok":
            self._served.update(self._hashes.pop(root.id, []))
            self._note_served(root, kind)
            return
        promised = root.answer == "not-run"
        if root.tries > 1 or root.answer == "gone" or not (promised or kind.safe):
            self._hashes.pop(root.id, None)
            return
        wait = min(root.retry_after, self._left(root) * COME_BACK_SHARE)
        self.world.at(wait, lambda: self._send(root))

    def _note_served(self, root: parts.Root, kind: Kind) -> None:
        if not self._counts(root):
            return
        tally = self._tallies[kind.name]
        if root.answered - root.sent <= kind.aim_ms:
            tally.in_aim += 1
            self._earned += kind.worth
        else:
            tally.late += 1
            self._earned += kind.worth * kind.late_worth


def overloaded(*, seconds: float) -> Run:
    """Return a run of brolga whose scarcest service is slow from its start."""
    run = Run(BROLGA, seed=1, seconds=seconds)
    run.slow_down(BROLGA.scarce, 8.0)
    return run


def _calm(run: Run) -> None:
    """Nothing happens."""


def _burst(run: Run) -> None:
    """Demand rises by four fifths for a while."""
    run.world.at(TROUBLE_AT_MS, lambda: setattr(run, "demand", 1.8))
    run.world.at(TROUBLE_ENDS_MS, lambda: setattr(run, "demand", 1.0))


def _scarcer(run: Run) -> None:
    """The scarcest service loses all upstreams but the first, for good."""
    run.demand = 1.3
    for number in range(2, 1 + len(_scarce(run.site).speeds)):
        name = f"{run.site.scarce}-{number}"
        run.world.at(TROUBLE_AT_MS, lambda name=name: run.world.kill(name))


def _slow(run: Run) -> None:
    """The scarcest service runs at a fifth of its speed for a while."""
    scarce = run.site.scarce
    run.world.at(TROUBLE_AT_MS, lambda: run.slow_down(scarce, 5.0))
    run.world.at(TROUBLE_ENDS_MS, lambda: run.slow_down(scarce, 1.0))


def _scarce(site: Site) -> Service:
    return next(s for s in site.services if s.name == site.scarce)


SCENARIOS: dict[str, collections.abc.Callable[[Run], None]] = {
    "calm": _calm,
    "burst": _burst,
    "scarcer": _scarcer,
    "slow": _slow,
}


@dataclasses.dataclass(frozen=True)
class Case:
    """One run to be made."""

    site: str
    scenario: str
    variant: str
    seed: int


def run_case(case: Case) -> Result:
    """Make one run; in a process of its own, since variants change it."""
    variants.VARIANTS[case.variant]()
    run = Run(SITES[case.site], seed=case.seed)
    SCENARIOS[case.scenario](run)
    return run.play()


def line(case: Case, result: Result) -> str:
    """Return what a run measured as one line."""
    shares = ", ".join(f"{k} {t.share:.3f}" for k, t in result.tallies.items())
    return (
        f"{case.site:<10} {case.scenario:<8} {case.variant:<14} {case.seed:>4}"
        f"  worth {result.worth:.3f}, useful {result.useful:.3f}; {shares}"
    )


@click.command()
@click.option("--site", "sites", multiple=True, type=click.Choice(list(SITES)))
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
        for site in sites or SITES
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
