"""Load and pace that backend servers report in their answers."""

import collections
import hashlib

import msgspec
import pytest

from benchmarks import deployments, sites
from gingerturn.internal import ids
from gingerturn.internal.core import (
    admission,
    effects,
    events,
    messages,
    pace,
    ranks,
    reducer,
    routing,
    state as states,
    trace,
    upstreams,
)
from gingerturn_fakes import paces, parts
from tests.common import builders, routed

KIND = ids.KindName("plan-status")
PLANS = ids.ServiceName("plans")


# Guards against decisions that change where no pace is reported.
def test_reports_without_a_pace_change_no_effect() -> None:
    def digest(figures: int) -> str:
        run = sites.Run(deployments.BROLGA, seed=1, seconds=0.8)
        names = frozenset(service.name for service in deployments.BROLGA.services)
        paces.report(run.world, names, figures)
        found = hashlib.blake2b()

        def record(node: parts.FakeNode, effect: effects.Effect) -> None:
            found.update(node.name.encode())
            found.update(trace.encode_effects([effect]))

        run.world.on_effect = record
        run.demand = 2.0
        run.play()
        return found.hexdigest()

    assert digest(3) == digest(0)


def _entry(count: int, seed: int = 1) -> states.State:
    """Return an entry node whose upstreams all reported the same load."""
    state = routed.node_state(routed.route("lookup"), name="entry")
    state.random.seed(seed)
    state.zone = "z"
    members = [builders.member(f"p{n}", "plans", zone="z") for n in range(count)]
    builders.add_members(state, *members)
    for member in members:
        _report(state, member.node, load=40)
    return state


def _report(
    state: states.State,
    node: str,
    *,
    pace: int = 100,
    age_ms: int = 0,
    load: int = 40,
) -> None:
    report = messages.LoadReport(
        level=ranks.LOWEST,
        tree_level=ranks.LOWEST,
        load=load,
        limit=100,
        pace=pace,
        pace_age_ms=age_ms,
    )
    routing.on_load_report(state, ids.NodeId(node), "lookup", report)


def _choices(state: states.State, count: int = 200) -> collections.Counter[str]:
    nodes = upstreams.candidates(state, PLANS)
    chosen = (
        routing.choose(state, nodes, "lookup", ranks.HIGHEST) for _ in range(count)
    )
    return collections.Counter(str(node) for node in chosen)


# Guards against calls to an upstream that is slow now, and against one that is avoided
# for a slowdown that has passed.
def test_an_upstream_is_avoided_only_while_its_slow_pace_is_fresh() -> None:
    state = _entry(4)
    _report(state, "p0", pace=250)
    assert _choices(state)["p0"] == 0
    state.now += pace.FRESH_MS + 1.0
    assert _choices(state)["p0"] > 20


def test_the_age_that_a_home_node_reports_counts() -> None:
    state = _entry(4)
    _report(state, "p0", pace=250, age_ms=400)
    state.now += 199.0
    assert _choices(state)["p0"] == 0
    state.now += 2.0
    assert _choices(state)["p0"] > 20


def test_a_slow_pace_is_better_than_a_full_upstream() -> None:
    state = _entry(4)
    _report(state, "p0", pace=250)
    for name in ("p1", "p2", "p3"):
        _report(state, name, load=120)
    assert _choices(state)["p0"] == 200


# Guards against entry nodes that all send to the one upstream of the best pace.
@pytest.mark.parametrize("count", [5, 40])
def test_entry_nodes_with_the_same_reports_choose_different_upstreams(
    count: int,
) -> None:
    chosen: collections.Counter[str] = collections.Counter()
    for seed in range(100):
        state = _entry(count, seed)
        for number in range(count):
            _report(state, f"p{number}", pace=250 if number == 0 else 95 + number % 10)
        chosen += _choices(state, 1)
    assert max(chosen.values()) <= 50


# Guards against a false report that draws all calls for good.
def test_a_false_fast_pace_draws_calls_only_while_the_upstream_is_not_much_busier() -> (
    None
):
    state = _entry(4)
    _report(state, "p0", pace=1, load=40 + 20)
    assert _choices(state)["p0"] == 0


# Guards against a false report that keeps all calls away for good.
def test_an_upstream_with_a_false_slow_pace_is_tried_again_and_again() -> None:
    state = _entry(4)
    used = 0
    for _ in range(20):
        for name in ("p1", "p2", "p3"):
            _report(state, name)
        _report(state, "p0", pace=pace.MAX_PACE)
        assert _choices(state)["p0"] == 0
        state.now += pace.FRESH_MS + 1.0
        used += _choices(state, 20)["p0"] > 0
    assert used > 15


class Home:
    """A home node whose calls run one after another.

    :param slots: of its backend server.
    """

    def __init__(self, slots: int = 20) -> None:
        self.state = routed.node_state(service="plans", slots=slots)
        self._slots = slots
        self._number = 0

    def open(self, *, knows_pace: bool = False) -> int:
        """Let a call arrive and return its number."""
        self._number += 1
        terms = builders.call_metadata(service="plans", kind=KIND, deadline_ms=9_000.0)
        terms = msgspec.structs.replace(terms, knows_pace=knows_pace)
        reducer.reduce(
            self.state, builders.opened(self._number, terms, now=self.state.now)
        )
        return self._number

    def answer(
        self, number: int, *, pace: int, elapsed: float = 0.0, extra: int = 0
    ) -> None:
        """Answer a call.

        :param extra: requests at the backend server beyond those of this node.
        """
        backend = self.state.backend
        load = messages.BackendLoad(backend.running + extra, 0, self._slots, pace)
        answered = events.BackendAnswered(
            now=self.state.now + elapsed,
            hosted=ids.HostedId(number),
            status=200,
            load=load,
        )
        reducer.reduce(self.state, answered)

    def run(self, count: int, *, pace: int, elapsed: float) -> None:
        """Run calls one after another."""
        for _ in range(count):
            self.answer(self.open(), pace=pace, elapsed=elapsed)


# Guards against a slow 0.6 s that is taken for the usual speed.
def test_service_times_are_longer_only_while_the_pace_is_high() -> None:
    home = Home()
    home.run(60, pace=100, elapsed=50.0)
    assert admission.service_time(home.state, KIND) == pytest.approx(50.0)
    home.run(5, pace=250, elapsed=125.0)
    assert admission.service_time(home.state, KIND) == pytest.approx(125.0, rel=0.2)
    home.run(1, pace=100, elapsed=50.0)
    assert admission.service_time(home.state, KIND) == pytest.approx(50.0, rel=0.2)


def test_a_pace_without_further_reports_counts_as_usual_again() -> None:
    home = Home()
    home.run(60, pace=100, elapsed=50.0)
    home.run(1, pace=250, elapsed=50.0)
    home.state.now += pace.FRESH_MS + 1.0
    assert admission.service_time(home.state, KIND) < 55.0


def test_times_of_calls_with_child_calls_are_measured_as_they_are() -> None:
    home = Home()
    home.state.child_kinds[KIND] = {("below", "x"): home.state.now}
    home.run(60, pace=250, elapsed=50.0)
    assert admission.service_time(home.state, KIND) == pytest.approx(50.0)


def test_a_new_start_of_the_backend_server_has_no_pace() -> None:
    home = Home()
    home.run(3, pace=250, elapsed=50.0)
    reducer.reduce(home.state, routed.announced(instance="i-2", now=home.state.now))
    assert home.state.backend.pace_tracker == pace.Tracker(is_first=False)


# Guards against calls beyond the slots of a backend server that still runs those of an
# earlier start of its node.
def test_slots_with_calls_of_an_earlier_start_are_not_used() -> None:
    home = Home(slots=20)
    first = [home.open() for _ in range(4)]
    home.answer(first[0], pace=100, extra=12)
    home.answer(first[1], pace=100, extra=12)
    assert _free_slots(home) == 20 - 12 - 2
    # The load report shows them to entry nodes.
    assert admission.load_report(home.state, KIND).load == 12 + 2
    home.answer(first[2], pace=100, extra=2)
    assert _free_slots(home) == 20 - 2 - 1
    home.answer(first[3], pace=100)
    assert _free_slots(home) == 20


# Guards against slots that are left free since other calls ended while an answer was on
# its way, or for a single outdated report.
def test_an_excess_that_may_be_chance_is_used() -> None:
    home = Home(slots=20)
    for _ in range(2):
        home.answer(home.open(), pace=100, extra=pace.MIN_EXCESS)
    home.answer(home.open(), pace=100, extra=12)
    assert _free_slots(home) == 20


def test_an_excess_without_a_pace_changes_nothing() -> None:
    home = Home(slots=20)
    for _ in range(3):
        home.answer(home.open(), pace=0, extra=12)
    assert _free_slots(home) == 20


# Guards against a node that never sends anything again, and so gets no report.
def test_one_slot_is_always_used_and_an_old_excess_ends() -> None:
    home = Home(slots=20)
    for _ in range(2):
        home.answer(home.open(), pace=100, extra=200)
    assert _free_slots(home) == 1
    home.state.now += pace.EXCESS_MS + 1.0
    assert _free_slots(home) == 20


def test_a_restarted_node_uses_few_slots_until_the_first_report() -> None:
    home = Home(slots=20)
    numbers = [home.open(knows_pace=True) for _ in range(6)]
    assert home.state.backend.running == 2
    home.answer(numbers[0], pace=100)
    assert home.state.backend.running == 5
    assert _free_slots(home) == 15


# Guards against calls that wait in the queue of all slots for the few that are used,
# and are refused too late to go elsewhere.
def test_a_restarted_node_queues_only_what_few_slots_can_take() -> None:
    home = Home(slots=20)
    for _ in range(20):
        home.open(knows_pace=True)
    # Calls without child calls rank with the deep ones.
    bound = admission.MIN_QUEUE * admission.ROUTED_DEEP_FACTOR
    assert len(home.state.backend.queue) == bound


def test_a_new_start_of_the_backend_server_needs_no_report() -> None:
    home = Home(slots=20)
    reducer.reduce(home.state, routed.announced(instance="i-2", slots=20))
    for _ in range(6):
        home.open(knows_pace=True)
    assert home.state.backend.running == 6


def _free_slots(home: Home) -> int:
    """Return how many more calls would be dispatched at once."""
    running = home.state.backend.running
    count = 0
    while admission.has_slot(home.state):
        home.state.backend.running += 1
        count += 1
    home.state.backend.running = running
    return count


RESTARTED = "provisioning-1"


def _restarted_run(*, figures: int, silent: bool = False) -> sites.Run:
    """Return a run in which the node beside a busy backend server is killed.

    The backend server runs on, takes about a second for a request and never answers one
    beyond its slots.

    :param silent: its links to the other nodes are cut for 0.4 s after its restart.
    """
    site = deployments.BROLGA
    run = sites.Run(site, seed=1, seconds=4.0)
    run.demand = 1.2
    paces.report(run.world, frozenset({site.bottleneck}), figures)
    backend = run.world.nodes[RESTARTED].backend
    backend.slow *= 10.0
    backend.max_waiting = 0
    run.world.at(2_500.0, lambda: run.world.kill(RESTARTED, with_backend=False))
    run.world.at(2_550.0, lambda: run.world.restart(RESTARTED))
    if silent:
        links = {
            pair
            for other in run.world.nodes
            for pair in ((RESTARTED, other), (other, RESTARTED))
            if other != RESTARTED
        }
        run.world.at(2_560.0, lambda: run.world.cut.update(links))
        run.world.at(2_960.0, run.world.cut.clear)
    return run


# Guards against requests that a backend server never answers, since a new start of its
# node sends a second load on top of the first.
@pytest.mark.parametrize("silent", [False, True])
def test_a_node_that_is_killed_and_started_anew_sends_no_more_than_the_slots(
    silent: bool,
) -> None:
    run = _restarted_run(figures=4, silent=silent)
    run.play()
    backend = run.world.nodes[RESTARTED].backend
    assert backend.unanswered == 0
    # The restarted node is used again.
    assert run.world.nodes[RESTARTED].state.backend.dispatch_count > 10


def test_without_a_pace_the_backend_server_gets_more_than_its_slots() -> None:
    run = _restarted_run(figures=3)
    run.play()
    assert run.world.nodes[RESTARTED].backend.unanswered > 0


def _leaf_site(*speeds: float) -> deployments.Site:
    """Return the services at the end of the declarations deployment's call trees, with
    a sixth of their slots.

    :param speeds: of the upstreams of the last service.
    """
    return deployments.Site(
        name="leaf",
        zones=("a", "b", "c"),
        caller_ms=2.0,
        services=(
            deployments.Service("docvault", 30, (1.0,) * 8),
            deployments.Service("tracer", 14, speeds, 1.3),
        ),
        kinds=(
            deployments.Kind(
                "pack-index",
                "docvault",
                15.1,
                ("state-feed",) * 4,
                150.0,
                801,
                worth=1.0,
            ),
            deployments.Kind(
                "goods-status", "tracer", 94.6, (), 40.0, 403, 1_600, worth=2.0
            ),
            deployments.Kind("state-feed", "tracer", 67.4, timeout_ms=700),
        ),
        bottleneck="tracer",
    )


class Play:
    """A run whose tracers slow down for 0.6 s at a time.

    :param figures: in the reports of the tracers; 3 without a pace.
    """

    def __init__(
        self, site: deployments.Site, *, figures: int = 4, demand: float = 1.0
    ) -> None:
        run = sites.Run(site, seed=1, seconds=7.0)
        run.demand = demand
        tracers = frozenset({"tracer"})
        paces.report(run.world, tracers, figures)
        paces.vary(run.world, tracers, seed=1)
        sent: collections.Counter[tuple[bool, bool]] = collections.Counter()

        def record(node: parts.FakeNode, effect: effects.Effect) -> None:
            if isinstance(effect, effects.OpenAttempt):
                home = run.world.nodes[effect.node]
                if home.backend.spec.name == "tracer":
                    is_slow = home.backend.pace > pace.USUAL
                    sent[(is_slow, home.zone == node.zone)] += 1

        run.world.on_effect = record
        self.result = run.play()
        calls = sent.total()
        self.slow_share = (sent[(True, True)] + sent[(True, False)]) / calls
        self.same_zone_share = (sent[(True, True)] + sent[(False, True)]) / calls

    def on_time(self, kind: str) -> float:
        """Return the share of the requests of a kind that were answered on time."""
        tally = self.result.tallies[kind]
        return tally.on_time / tally.sent


# Guards against trees that are late since each of their four sequential calls may meet
# a slow upstream. Callers wait 801 ms; without the pace 0.97 of the trees are on time.
def test_trees_are_on_time_though_upstreams_are_slow_for_moments() -> None:
    played = Play(_leaf_site(0.7, 1.0, 1.6, 0.7, 1.0))
    assert all(tally.share == 1.0 for tally in played.result.tallies.values())
    assert played.on_time("pack-index") > 0.99
    assert played.on_time("goods-status") > 0.95
    # 0.2 of the upstreams are slow at a time.
    assert played.slow_share < 0.08
    assert played.same_zone_share > 0.7


# Guards against slow halves that get no calls or too many: half of the upstreams has
# 0.55 of the speed, and all slow down for moments.
def test_requests_are_on_time_though_half_of_the_upstreams_are_slower() -> None:
    site = _leaf_site(0.55, 1.0, 0.55, 1.0, 0.55)
    with_pace = Play(site, demand=0.8)
    without_pace = Play(site, demand=0.8, figures=3)
    assert all(tally.share > 0.99 for tally in with_pace.result.tallies.values())
    assert with_pace.on_time("pack-index") > 0.95
    assert with_pace.result.worth > without_pace.result.worth + 0.005
    assert with_pace.slow_share < without_pace.slow_share - 0.02
