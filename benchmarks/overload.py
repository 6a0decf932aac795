"""Goodput, recovery and order of shedding on the fake clock.

``python -m benchmarks.overload`` prints every figure with its bound. The real
reducers run; callers, backend servers and delays are fakes. The same seed gives
the same figures on every machine.
"""

import collections.abc
import concurrent.futures
import dataclasses
import json
import pathlib
import random
import statistics
import sys

import click
from hdrh import histogram

from benchmarks import graphs, variants
from gingerturn_fakes import parts, world

WARM_S = 10
TRIGGER_S = 30
RECOVERY_S = 30
SLOWDOWN = 3.0
RETRIES = 10
SEEDS = (1, 2, 3)
"""Figures of gingerturn are medians of three seeds; baselines use the first seed."""

SETTLE_S = 10
"""Roots sent this late in a run are excluded, since they may not have ended."""

STORM_DEMAND = 0.9
"""At 1x, random arrivals alone overload the bottleneck service; at 0.9x the graph is
stable without the trigger."""

OURS = "gingerturn"
MISSED = "FALLS SHORT"
DEMANDS = (0.5, 1.0, 2.0, 4.0, 10.0)
OUT = pathlib.Path("out/bench")


@dataclasses.dataclass
class Sending:
    """One attempt of a caller at a root: slot time spent and whether it completed."""

    kind: str
    sent: float
    slot_ms: float = 0.0
    complete: bool = False
    ended: bool = False


@dataclasses.dataclass
class Result:
    """Measurements of one run.

    :param per_second: completed roots in each second, by kind.
    """

    graph: str
    variant: str
    scenario: str
    demand: float
    offered: dict[str, int]
    complete: dict[str, int]
    complete_overload: int
    best_overload: float
    per_second: dict[str, list[int]]
    shed_per_second: list[int]
    attempts_per_second: list[float]
    wasted_share: float
    attempts_per_root: float
    recovery_s: float
    normal: float
    latency_ms: dict[str, float]
    answers: dict[str, int]
    failed: dict[str, int]
    given_up: dict[str, int]
    settled_offered: dict[str, int]
    settled_complete: dict[str, int]


class Run:
    """One run of a graph under a demand.

    :param storm: slow the deepest service and let callers retry immediately.
    """

    def __init__(
        self,
        graph: graphs.Graph,
        *,
        demand: float,
        storm: bool,
        seconds: int,
        lookups_only_over: bool = False,
        seed: int = SEEDS[0],
    ) -> None:
        self.graph = graph
        self.storm = storm
        self.seconds = seconds
        self.world = world.World(
            seed=seed,
            services=graph.services,
            documents={graph.name: graph.document},
            zones=graph.zones,
            caller_ms=graph.caller_ms,
        )
        capacity = graph.capacity()
        self.rates = {k: capacity * s * demand for k, s in graph.mix.items()}
        if lookups_only_over:
            protected = graph.protected
            self.rates[protected] = capacity * graph.mix[protected]
        self.offered = dict.fromkeys(graph.kinds, 0)
        self.complete = dict.fromkeys(graph.kinds, 0)
        self.per_second = {k: [0] * (seconds + 1) for k in graph.kinds}
        self.shed = [0] * (seconds + 1)
        self.deep_runs = [0] * (seconds + 1)
        self.deep_roots: set[tuple[int, str]] = set()
        self.deep_total = 0
        self.sendings: dict[int, Sending] = {}
        self.current: dict[int, Sending] = {}
        self.answers: dict[str, int] = {}
        self.failed = dict.fromkeys(graph.kinds, 0)
        self.latency = histogram.HdrHistogram(1, 600_000, 3)
        self._numbers = 0
        # Arrivals use separate random generators, so that every variant is offered
        # the same roots at the same times.
        self._arrivals = {kind: random.Random(f"{seed} {kind}") for kind in graph.kinds}
        self.sent_per_second = [0] * (seconds + 1)
        self.completed_by_send_second = [0] * (seconds + 1)
        self.given_up = dict.fromkeys(graph.kinds, 0)
        self.settled_offered = dict.fromkeys(graph.kinds, 0)
        self.settled_complete = dict.fromkeys(graph.kinds, 0)
        self.world.on_root_end = self._on_end
        self.world.on_work_end = self._on_work_end
        self.world.on_execution = self._on_execution
        self.world.on_arrival = self._on_arrival

    def play(self) -> None:
        """Run the scenario to its end."""
        for kind, rate in self.rates.items():
            self._schedule(kind, rate)
        if not self.storm:
            self.world.run(self.seconds * 1000.0)
            return
        self.world.run(WARM_S * 1000.0)
        self._set_slow(SLOWDOWN)
        self.world.run(TRIGGER_S * 1000.0)
        self._set_slow(1.0)
        self.world.run((self.seconds - WARM_S - TRIGGER_S) * 1000.0)

    def _set_slow(self, factor: float) -> None:
        for node in self.world.nodes.values():
            if node.backend.spec.name == self.graph.deepest:
                node.backend.slow = factor

    def _schedule(self, kind: str, rate: float) -> None:
        delay = self._arrivals[kind].expovariate(rate) * 1000.0
        self.world.at(delay, lambda: self._offer(kind, rate))

    def _offer(self, kind: str, rate: float) -> None:
        self._schedule(kind, rate)
        self._numbers += 1
        spec = self.graph.kinds[kind]
        root = parts.Root(id=self._numbers, kind=spec, sent=self.world.now, key="")
        self.offered[kind] += 1
        self.sent_per_second[self._second()] += 1
        if self._second() < self.seconds - SETTLE_S:
            self.settled_offered[kind] += 1
        self._send(root)

    def _send(self, root: parts.Root) -> None:
        self.world.send(
            root, abandon_after_ms=self.graph.abandon_after_ms[root.kind.name]
        )

    def _second(self) -> int:
        return min(self.seconds, int((self.world.now - world.START) / 1000.0))

    def _on_arrival(self, root: parts.Root, root_hash: int | None) -> None:
        sending = Sending(kind=root.kind.name, sent=self.world.now)
        self.current[root.id] = sending
        if root_hash is not None:
            self.sendings[root_hash] = sending

    def _on_execution(self, node: parts.FakeNode, work: parts.Work) -> None:
        if node.backend.spec.name == self.graph.deepest:
            self.deep_runs[self._second()] += 1
            self.deep_total += 1
            # A call tree may reach the deepest service with two kinds; count each.
            self.deep_roots.add((work.root, work.kind))

    def _on_work_end(
        self, node: parts.FakeNode, work: parts.Work, elapsed: float
    ) -> None:
        sending = self.sendings.get(work.root)
        if sending is not None:
            sending.slot_ms += elapsed

    def _on_end(self, root: parts.Root) -> None:
        kind = root.kind.name
        sending = self.current.pop(root.id, None)
        if sending is not None:
            sending.ended = True
        self.answers[root.answer] = self.answers.get(root.answer, 0) + 1
        if root.answer == "ok":
            self.complete[kind] += 1
            self.per_second[kind][self._second()] += 1
            sent_second = int((root.sent - world.START) / 1000.0)
            self.completed_by_send_second[sent_second] += 1
            if sent_second < self.seconds - SETTLE_S:
                self.settled_complete[kind] += 1
            self.latency.record_value(max(1, int(root.answered - root.sent)))
            if sending is not None:
                sending.complete = True
            return
        self.shed[self._second()] += 1
        self.failed[kind] += 1
        if self.storm and root.tries < RETRIES:
            # Retry immediately, ignoring Retry-After.
            self._send(root)
            return
        self.given_up[kind] += 1

    def result(self, variant: str, scenario: str, demand: float) -> Result:
        """Return the measurements of the run."""
        total = [sum(column) for column in zip(*self.per_second.values(), strict=True)]
        late = world.START + WARM_S / 2 * 1000.0
        # Attempts in flight at the end of the run are neither complete nor wasted.
        warm = [s for s in self.sendings.values() if s.sent >= late and s.ended]
        spent = sum(s.slot_ms for s in warm)
        wasted = sum(s.slot_ms for s in warm if not s.complete)
        normal = sum(total[4:WARM_S]) / (WARM_S - 4)
        begin, end = 5, self.seconds
        return Result(
            graph=self.graph.name,
            variant=variant,
            scenario=scenario,
            demand=demand,
            offered=self.offered,
            complete=self.complete,
            complete_overload=sum(total[begin:end]),
            best_overload=self._best_rate() * (end - begin),
            per_second=self.per_second,
            shed_per_second=self.shed,
            attempts_per_second=[float(count) for count in self.deep_runs],
            wasted_share=wasted / spent if spent else 0.0,
            attempts_per_root=self.deep_total / max(1, len(self.deep_roots)),
            recovery_s=self._recovery() if self.storm else 0.0,
            normal=normal,
            latency_ms={
                f"p{p:g}": self.latency.get_value_at_percentile(p)
                for p in (50.0, 90.0, 99.0, 99.9)
            },
            answers=self.answers,
            failed=self.failed,
            given_up=self.given_up,
            settled_offered=self.settled_offered,
            settled_complete=self.settled_complete,
        )

    def _recovery(self) -> float:
        """Return the seconds from the trigger's end until goodput stays normal.

        Compares the share of the roots sent in each second that completes, since
        completion counts vary by more than the 5 % threshold.
        """
        normal = _share(self.completed_by_send_second, self.sent_per_second, 4, WARM_S)
        ended = WARM_S + TRIGGER_S
        last = self.seconds - SETTLE_S
        for second in range(ended, last):
            shares = [
                _share(self.completed_by_send_second, self.sent_per_second, at, at + 1)
                for at in range(second, last)
            ]
            if min(shares) >= 0.95 * normal:
                return float(second - ended)
        return float("inf")

    def _best_rate(self) -> float:
        """Return the maximum roots a second that the slots allow for the offered load.

        A linear bound: each root takes its slot time at each service, no service
        exceeds its slots, and no kind completes more roots than are offered.
        """
        uses = self.graph.slot_ms()
        slots = {s.name: s.slots * s.upstreams for s in self.graph.services}
        return _max_rate(self.rates, uses, slots, self.graph.protected)


def _share(kept: list[int], sent: list[int], begin: int, end: int) -> float:
    return sum(kept[begin:end]) / max(1, sum(sent[begin:end]))


def _max_rate(
    rates: dict[str, float],
    uses: dict[str, dict[str, float]],
    slots: dict[str, int],
    protected: str,
) -> float:
    """Return the maximum total rate with the protected kind served first.

    Protected roots are allocated first. The remaining slots are allocated greedily
    to the kinds that use the least of their bottleneck service, which is exact for
    these graphs, where each such kind has a single bottleneck.
    """
    left = {name: count * 1000.0 for name, count in slots.items()}
    total = 0.0
    others = sorted(
        (k for k in rates if k != protected),
        key=lambda k: max(used / slots[s] for s, used in uses[k].items()),
    )
    for kind in [protected, *others]:
        possible = min(left[s] / used for s, used in uses[kind].items())
        served = max(0.0, min(rates[kind], possible))
        total += served
        for service, used in uses[kind].items():
            left[service] -= served * used
    return total


@dataclasses.dataclass(frozen=True)
class Case:
    """Parameters of one run."""

    graph: str
    variant: str
    scenario: str
    demand: float
    seed: int = SEEDS[0]


def run_case(case: Case) -> Result:
    """Execute one run; call it in a separate process."""
    variants.VARIANTS[case.variant]()
    storm = case.scenario == "storm"
    seconds = WARM_S + TRIGGER_S + RECOVERY_S if storm else 25
    run = Run(
        graphs.GRAPHS[case.graph](),
        demand=case.demand,
        storm=storm,
        seconds=seconds,
        lookups_only_over=case.scenario == "lookups-over",
        seed=case.seed,
    )
    run.play()
    return run.result(case.variant, case.scenario, case.demand)


def run_cases(cases: list[Case], workers: int = 6) -> list[Result]:
    """Execute runs in parallel, each in a new process, since variants patch modules."""
    with concurrent.futures.ProcessPoolExecutor(
        max_workers=workers, max_tasks_per_child=1
    ) as pool:
        return list(pool.map(run_case, cases))


def _cases(chosen: list[str], names: list[str]) -> list[Case]:
    cases = []
    for graph in chosen:
        for seed in SEEDS:
            for demand in DEMANDS:
                cases.append(Case(graph, OURS, "steady", demand, seed))
            cases.append(Case(graph, OURS, "lookups-over", 2.0, seed))
            cases.append(Case(graph, OURS, "storm", STORM_DEMAND, seed))
        cases.append(Case(graph, OURS, "storm", 2.0))
        cases.append(Case(graph, "pass-through", "steady", 0.5))
        cases += [
            Case(graph, name, "storm", STORM_DEMAND) for name in names if name != OURS
        ]
    # Start the longest cases first to keep all workers busy.
    return sorted(
        cases, key=lambda case: -case.demand - 20 * (case.scenario == "storm")
    )


Figure = collections.abc.Callable[[Result], float]


class Report:
    """Report of the figures of all runs with their bounds.

    :param results: one for each case.
    """

    def __init__(self, cases: list[Case], results: list[Result]) -> None:
        self._runs = list(zip(cases, results, strict=True))
        self._lines: list[str] = []

    def text(self) -> str:
        """Return the whole report."""
        for graph in sorted({case.graph for case, _ in self._runs}):
            self._lines.append(f"{graph}: median (least to most) of {len(SEEDS)} seeds")
            self._steady(graph)
            self._storm(graph)
            self._variants(graph)
        return "\n".join(self._lines)

    def _steady(self, graph: str) -> None:
        for demand in DEMANDS:
            runs = self._of(graph, "steady", demand)
            bound = 0.95 if demand in {2.0, 10.0} else None
            name = f"goodput at {demand:g}x of the best the slots allow"
            self._line(name, runs, _goodput, at_least=bound)
        for demand in (2.0, 10.0):
            runs = self._of(graph, "steady", demand)
            name = f"slot time for roots that failed, {demand:g}x"
            self._line(name, runs, lambda r: r.wasted_share, at_most=0.02)
        runs = self._of(graph, "lookups-over", 2.0)
        name = "protected complete, lookups alone over capacity"
        self._line(name, runs, _protected, at_least=0.999)
        plain = self._of(graph, "steady", 0.5, "pass-through")
        ours = self._of(graph, "steady", 0.5)[:1]
        if plain and ours:
            best = sum(plain[0].complete.values())
            name = "goodput lost at 0.5x against pass-through"
            self._line(
                name, ours, lambda r: 1 - sum(r.complete.values()) / best, at_most=0.03
            )

    def _storm(self, graph: str) -> None:
        runs = self._of(graph, "storm", STORM_DEMAND)
        self._line("storm: seconds to recover", runs, lambda r: r.recovery_s, at_most=2)
        name = "storm: attempts per root at the deepest service"
        self._line(name, runs, lambda r: r.attempts_per_root, at_most=1.1)
        name = "storm: slot time for roots that failed"
        self._line(name, runs, lambda r: r.wasted_share, at_most=0.02)
        self._line("storm: protected complete", runs, _protected, at_least=0.999)
        runs = self._of(graph, "storm", 2.0)
        self._line("storm at 2x: protected complete", runs, _protected)
        for percentile in ("p50", "p90", "p99", "p99.9"):
            self._line(
                f"time of a whole root at 1x, {percentile}, ms",
                self._of(graph, "steady", 1.0),
                lambda r, p=percentile: r.latency_ms[p],  # type: ignore[misc]
            )

    def _variants(self, graph: str) -> None:
        self._lines.append(
            f"  storm at {STORM_DEMAND:g}x, seed {SEEDS[0]}, one mechanism out each:\n"
            f"    {'':<18}  complete  in trigger  recovery s  attempts   wasted"
            "  protected"
        )
        for case, r in self._runs:
            at_storm = case.scenario == "storm" and case.demand == STORM_DEMAND
            if case.graph == graph and at_storm and case.seed == SEEDS[0]:
                self._lines.append(_variant_line(r))

    def _of(
        self, graph: str, scenario: str, demand: float, variant: str = "gingerturn"
    ) -> list[Result]:
        wanted = (graph, variant, scenario, demand)
        return [
            r
            for c, r in self._runs
            if (c.graph, c.variant, c.scenario, c.demand) == wanted
        ]

    def _line(
        self,
        name: str,
        runs: list[Result],
        figure: Figure,
        *,
        at_least: float | None = None,
        at_most: float | None = None,
    ) -> None:
        if not runs:
            return
        values = sorted(figure(r) for r in runs)
        middle = statistics.median(values)
        bound, met = "", ""
        if at_least is not None:
            bound, met = f">= {at_least:g}", "met" if middle >= at_least else MISSED
        if at_most is not None:
            bound, met = f"<= {at_most:g}", "met" if middle <= at_most else MISSED
        self._lines.append(
            f"  {name:<50} {middle:>9.4f} ({values[0]:.4f} to {values[-1]:.4f})"
            f"  {bound:<9} {met}"
        )


def _goodput(r: Result) -> float:
    return r.complete_overload / r.best_overload


def _protected(r: Result) -> float:
    kind = graphs.GRAPHS[r.graph]().protected
    return r.settled_complete[kind] / max(1, r.settled_offered[kind])


def _variant_line(r: Result) -> str:
    total = [sum(column) for column in zip(*r.per_second.values(), strict=True)]
    during = (
        sum(total[WARM_S : WARM_S + TRIGGER_S]) / TRIGGER_S / (r.normal or float("nan"))
    )
    overall = sum(r.complete.values()) / sum(r.offered.values())
    return (
        f"    {r.variant:<18} {overall:>9.3f} {during:>11.3f} {r.recovery_s:>11.0f}"
        f" {r.attempts_per_root:>9.3f} {r.wasted_share:>8.3f} {_protected(r):>10.4f}"
    )


@click.command()
@click.option(
    "--graph", "chosen", multiple=True, type=click.Choice(list(graphs.GRAPHS))
)
@click.option("--variant", "names", multiple=True, help="Only these in the storm.")
@click.option("--workers", default=6)
def main(chosen: tuple[str, ...], names: tuple[str, ...], workers: int) -> None:
    """Measure and print each figure with its bound."""
    cases = _cases(
        list(chosen) or list(graphs.GRAPHS), list(names) or list(variants.VARIANTS)
    )
    results = run_cases(cases, workers)
    OUT.mkdir(parents=True, exist_ok=True)
    rows = [dataclasses.asdict(r) for r in results]
    (OUT / "overload.json").write_text(json.dumps(rows))
    click.echo(Report(cases, results).text())
    click.echo(f"All series: {OUT / 'overload.json'}")


if __name__ == "__main__":
    sys.exit(main())
