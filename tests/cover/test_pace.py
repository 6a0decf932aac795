"""Load and pace that backend servers report in their answers."""

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
    reducer,
    trace,
)
from gingerturn_fakes import paces, parts
from tests.common import builders, routed

KIND = ids.KindName("plan-status")


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
