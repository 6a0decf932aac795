"""Statements that a request did not run, over all orders of events at three nodes."""

import collections
import enum
import typing

import hypothesis
from hypothesis import strategies as st

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.core import (
    effects,
    events,
    messages,
    reducer,
    run_times,
    state as states,
)
from tests.common import builders, routed

HOMES = ("n2", "n3")
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
GRACE_MS = 4_000.0
MAX_OPEN = 3
"""Requests that are open at once."""

MAX_DRAIN = 1_000
"""Steps after which a run without further faults must have ended."""


class Stage(enum.Enum):
    """How far a request has come at a backend server."""

    CONNECTING = "connecting"
    WRITTEN = "written"
    RUNNING = "running"


class Step(enum.Enum):
    """What happens next."""

    ARRIVE = enum.auto()
    CALLER_LEAVES = enum.auto()
    TIME_PASSES = enum.auto()
    LINK_OPENS = enum.auto()
    LINK_IS_LOST = enum.auto()
    FRAME_TO_HOME = enum.auto()
    FRAME_TO_ENTRY = enum.auto()
    LINK_IS_SILENT = enum.auto()
    HOME_RESTARTS = enum.auto()
    HOME_STOPS = enum.auto()
    BACKEND_LEAVES = enum.auto()
    BACKEND_STARTS_ANEW = enum.auto()
    BACKEND_CHECKED = enum.auto()
    CONNECTION_FAILS = enum.auto()
    REQUEST_IS_WRITTEN = enum.auto()
    REQUEST_IS_REJECTED = enum.auto()
    REQUEST_IS_MISDIRECTED = enum.auto()
    CONNECTION_BREAKS = enum.auto()
    REQUEST_RUNS = enum.auto()
    REQUEST_IS_ANSWERED = enum.auto()
    ANSWER_IS_UNPROVEN = enum.auto()


class Home:
    """A home node with its backend server and its link to the entry node.

    :param state: of the node.
    """

    def __init__(self, state: states.State) -> None:
        self.state = state
        self.is_open = False
        self.to_home: list[tuple[str, int, messages.CallMetadata | None]] = []
        self.to_entry: list[events.AttemptRefused | events.AttemptAnswered] = []
        # Attempt and request by number of the hosted call.
        self.attempts: dict[int, int] = {}
        self.stages: dict[int, Stage] = {}
        self.checks = 0
        self.starts = 1


class System:
    """An entry node and its home nodes; a request is known by its number.

    :param outlasts_stops: calls usually last longer than the stop of a home leaves.
    """

    def __init__(self, *, outlasts_stops: bool = False) -> None:
        self._outlasts_stops = outlasts_stops
        route = routed.route(
            kind=routes.RouteType.UNREPEATABLE, max_attempts=3, timeout_ms=1_000
        )
        self._route = route
        self.entry = routed.node_state(route)
        builders.add_members(
            self.entry, *(builders.member(name, "plans") for name in HOMES)
        )
        self.homes = {name: Home(self._home_state(name)) for name in HOMES}
        # Request and home node by number of the attempt.
        self.calls: dict[int, int] = {}
        self.places: dict[int, str] = {}
        self.owners: dict[tuple[str, int], int] = {}
        self.runs: collections.Counter[int] = collections.Counter()
        self.refused: dict[int, int] = {}
        self.cut_off: list[int] = []
        self.now = builders.START
        self._numbers = 0

    def _home_state(self, name: str) -> states.State:
        state = routed.node_state(self._route, name=name, service="plans", slots=1)
        for _ in range(run_times.MIN_SAMPLES * self._outlasts_stops):
            times = state.hosted_times
            run_times.record(times, self._route.name, 2 * GRACE_MS, now=state.now)
        return state

    def step(self, step: Step, choice: int) -> None:
        """Let a step happen, where it can; ``choice`` picks what it happens to."""
        name = HOMES[choice % len(HOMES)]
        home = self.homes[name]
        stage = _STAGES.get(step)
        if stage is not None:
            waiting = [h for h, found in home.stages.items() if found is stage]
            if waiting:
                self._at_backend(step, name, waiting[choice // 2 % len(waiting)])
            return
        _STEPS[step](self, name, choice)

    def possible(self) -> list[tuple[Step, int]]:
        """Return the steps that change something at present, with a choice for each."""
        found = [(Step.ARRIVE, 0)] * (len(self.entry.calls) < MAX_OPEN)
        for number, home in enumerate(self.homes.values()):
            conditions = {
                Step.LINK_OPENS: not home.is_open,
                Step.FRAME_TO_HOME: home.is_open and home.to_home,
                Step.FRAME_TO_ENTRY: home.to_entry,
                Step.BACKEND_CHECKED: home.checks,
            }
            found += [(step, number) for step, holds in conditions.items() if holds]
            present = set(home.stages.values())
            found += [(s, number) for s, stage in _STAGES.items() if stage in present]
        return found

    def drain(self) -> None:
        """Let everything that is under way run and arrive."""
        order = [
            Step.LINK_OPENS,
            Step.FRAME_TO_HOME,
            Step.REQUEST_IS_WRITTEN,
            Step.REQUEST_RUNS,
            Step.REQUEST_IS_ANSWERED,
            Step.BACKEND_CHECKED,
            Step.FRAME_TO_ENTRY,
        ]
        for _ in range(MAX_DRAIN):
            if not self._is_busy():
                break
            for step in order:
                self.step(step, 0)
                self.step(step, 1)
        for call in self.cut_off:
            self.runs[call] += 1

    def _is_busy(self) -> bool:
        return any(
            home.to_home or home.to_entry or home.stages or home.checks
            for home in self.homes.values()
        )

    # Steps between the nodes.

    def _arrive(self, name: str, choice: int) -> None:
        self._numbers += 1
        self._at_entry(routed.arrived(self._numbers, now=self.now))

    def _caller_leaves(self, name: str, choice: int) -> None:
        open_calls = sorted(self.entry.calls)
        if open_calls:
            call = open_calls[choice % len(open_calls)]
            self._at_entry(events.CallerGone(now=self.now, call=call))

    def _time_passes(self, name: str, choice: int) -> None:
        self.now += 1.0 + 60.0 * choice
        self._at_entry(events.Tick(now=self.now))
        for each in HOMES:
            self._at_home(each, events.Tick(now=self.now))

    def _link_opens(self, name: str, choice: int) -> None:
        self.homes[name].is_open = True

    def _link_is_lost(self, name: str, choice: int) -> None:
        home = self.homes[name]
        was_open, home.is_open = home.is_open, False
        # Frames that were written may arrive before the loss is noticed.
        frames, home.to_home = home.to_home, []
        if was_open:
            for frame in frames[: choice % 3]:
                self._receive(name, frame)
        home.to_entry.clear()
        unsent = {n for kind, n, _ in frames if kind == "open"} if not was_open else ()
        for attempt in self._attempts_at(name):
            reached = attempt not in unsent
            self._at_entry(
                events.AttemptLost(now=self.now, attempt=attempt, reached=reached)
            )
        for hosted in list(home.attempts):
            self._cancel(name, hosted)

    def _frame_to_home(self, name: str, choice: int) -> None:
        home = self.homes[name]
        if home.is_open and home.to_home:
            self._receive(name, home.to_home.pop(0))

    def _frame_to_entry(self, name: str, choice: int) -> None:
        home = self.homes[name]
        if home.to_entry:
            self._at_entry(home.to_entry.pop(0))

    def _link_is_silent(self, name: str, choice: int) -> None:
        attempts = tuple(self._attempts_at(name))
        self._at_entry(events.AttemptsSilent(now=self.now, attempts=attempts))

    def _home_restarts(self, name: str, choice: int) -> None:
        self._link_is_lost(name, 0)
        home = self.homes[name]
        for hosted, stage in home.stages.items():
            if stage is Stage.WRITTEN:
                self.cut_off.append(self.owners[name, hosted])
        self.homes[name] = Home(self._home_state(name))
        self.homes[name].starts = home.starts

    def _home_stops(self, name: str, choice: int) -> None:
        self._at_home(name, events.StopRequested(now=self.now, grace_ms=GRACE_MS))

    def _backend_leaves(self, name: str, choice: int) -> None:
        self._at_home(name, events.BackendWithdrawn(now=self.now))

    def _backend_starts_anew(self, name: str, choice: int) -> None:
        home = self.homes[name]
        home.starts += 1
        instance = f"i-{home.starts}"
        announced = routed.announced(instance=instance, slots=1, now=self.now)
        self._at_home(name, announced)

    def _backend_checked(self, name: str, choice: int) -> None:
        home = self.homes[name]
        if home.checks:
            home.checks -= 1
            refused = bool(choice & 2)
            checked = events.BackendChecked(now=self.now, refused=refused)
            self._at_home(name, checked)

    def _attempts_at(self, name: str) -> list[ids.AttemptId]:
        """Return the attempts that the entry node has at a home node."""
        return [a.id for a in self.entry.attempts.values() if a.node == name]

    def _receive(
        self, name: str, frame: tuple[str, int, messages.CallMetadata | None]
    ) -> None:
        kind, attempt, metadata = frame
        home = self.homes[name]
        if metadata is None:
            for hosted in [h for h, a in home.attempts.items() if a == attempt]:
                self._cancel(name, hosted)
            return
        assert kind == "open"
        self._numbers += 1
        hosted = self._numbers
        home.attempts[hosted] = attempt
        self.owners[name, hosted] = self.calls[attempt]
        self._at_home(name, builders.opened(hosted, metadata, now=self.now))

    def _cancel(self, name: str, hosted: int) -> None:
        self.homes[name].attempts.pop(hosted, None)
        cancelled = events.CancelReceived(now=self.now, hosted=ids.HostedId(hosted))
        self._at_home(name, cancelled)

    # Steps at a backend server.

    def _at_backend(self, step: Step, name: str, number: int) -> None:
        home = self.homes[name]
        hosted = ids.HostedId(number)
        call = self.owners[name, number]
        if step is Step.REQUEST_IS_WRITTEN:
            home.stages[number] = Stage.WRITTEN
            return
        if step is Step.REQUEST_RUNS:
            home.stages[number] = Stage.RUNNING
            self.runs[call] += 1
            return
        stage = home.stages.pop(number)
        if step is Step.CONNECTION_BREAKS and stage is Stage.WRITTEN:
            self.cut_off.append(call)
        self._at_home(name, _backend_event(step, self.now, hosted))

    # The nodes.

    def _at_entry(self, event: events.Event) -> None:
        for effect in reducer.reduce(self.entry, event):
            if isinstance(effect, effects.OpenAttempt):
                self.calls[effect.attempt] = effect.call
                self.places[effect.attempt] = effect.node
                frame = ("open", int(effect.attempt), effect.metadata)
                self.homes[effect.node].to_home.append(frame)
            elif isinstance(effect, effects.CancelAttempt):
                place = self.places[effect.attempt]
                self.homes[place].to_home.append(("cancel", effect.attempt, None))
            elif isinstance(effect, effects.RefuseCall):
                self.refused[effect.call] = effect.status

    def _at_home(self, name: str, event: events.Event) -> None:
        home = self.homes[name]
        for effect in reducer.reduce(home.state, event):
            if isinstance(effect, effects.DispatchCall):
                home.stages[effect.hosted] = Stage.CONNECTING
            elif isinstance(effect, effects.CancelBackend):
                stage = home.stages.pop(effect.hosted, None)
                if stage is Stage.WRITTEN:
                    self.cut_off.append(self.owners[name, effect.hosted])
            elif isinstance(effect, effects.CheckBackend):
                home.checks += 1
            elif isinstance(effect, effects.SendRefusal | effects.SendAnswer):
                self._reply(home, effect)

    def _reply(
        self, home: Home, effect: effects.SendRefusal | effects.SendAnswer
    ) -> None:
        attempt = home.attempts.pop(effect.hosted, None)
        if attempt is None:
            return
        fields: dict[str, typing.Any] = {
            "now": self.now,
            "attempt": ids.AttemptId(attempt),
            "tokens": effect.tokens,
            "report": effect.report,
        }
        home.to_entry.append(
            events.AttemptRefused(refusal=effect.refusal, **fields)
            if isinstance(effect, effects.SendRefusal)
            else events.AttemptAnswered(status=200, **fields)
        )


def _backend_event(
    step: Step, now: float, hosted: ids.HostedId
) -> events.BackendFailed | events.BackendAnswered | events.UnprovenRefusal:
    if step is Step.CONNECTION_FAILS:
        return events.BackendFailed(now=now, hosted=hosted, dispatched=False)
    if step is Step.CONNECTION_BREAKS:
        return events.BackendFailed(now=now, hosted=hosted, dispatched=True)
    if step is Step.ANSWER_IS_UNPROVEN:
        return events.UnprovenRefusal(now=now, hosted=hosted, status=503)
    status = {
        Step.REQUEST_IS_REJECTED: 503,
        Step.REQUEST_IS_MISDIRECTED: messages.MISDIRECTED,
    }.get(step, 200)
    return events.BackendAnswered(
        now=now, hosted=hosted, status=status, executed=status == 200
    )


_STAGES = {
    Step.CONNECTION_FAILS: Stage.CONNECTING,
    Step.REQUEST_IS_WRITTEN: Stage.CONNECTING,
    Step.REQUEST_IS_REJECTED: Stage.WRITTEN,
    Step.REQUEST_IS_MISDIRECTED: Stage.WRITTEN,
    Step.CONNECTION_BREAKS: Stage.WRITTEN,
    Step.REQUEST_RUNS: Stage.WRITTEN,
    Step.REQUEST_IS_ANSWERED: Stage.RUNNING,
    Step.ANSWER_IS_UNPROVEN: Stage.RUNNING,
}
_STEPS: dict[Step, typing.Callable[[System, str, int], None]] = {
    Step.ARRIVE: System._arrive,
    Step.CALLER_LEAVES: System._caller_leaves,
    Step.TIME_PASSES: System._time_passes,
    Step.LINK_OPENS: System._link_opens,
    Step.LINK_IS_LOST: System._link_is_lost,
    Step.FRAME_TO_HOME: System._frame_to_home,
    Step.FRAME_TO_ENTRY: System._frame_to_entry,
    Step.LINK_IS_SILENT: System._link_is_silent,
    Step.HOME_RESTARTS: System._home_restarts,
    Step.HOME_STOPS: System._home_stops,
    Step.BACKEND_LEAVES: System._backend_leaves,
    Step.BACKEND_STARTS_ANEW: System._backend_starts_anew,
    Step.BACKEND_CHECKED: System._backend_checked,
}
FAULTS = [
    Step.CALLER_LEAVES,
    Step.TIME_PASSES,
    Step.LINK_IS_LOST,
    Step.LINK_IS_SILENT,
    Step.HOME_RESTARTS,
    Step.HOME_STOPS,
    Step.BACKEND_LEAVES,
    Step.BACKEND_STARTS_ANEW,
]


def _play(
    drawn: list[tuple[Step | None, int]], *, outlasts_stops: bool = False
) -> System:
    """Play steps; in place of ``None``, the choice picks one that is possible."""
    system = System(outlasts_stops=outlasts_stops)
    for step, choice in drawn:
        possible = system.possible()
        if step is None and possible:
            step, number = possible[choice % len(possible)]
            choice = number + len(HOMES) * (choice // len(possible))
        if step is not None:
            system.step(step, choice)
    system.drain()
    return system


def _drawn(faults: list[Step]) -> st.SearchStrategy[list[tuple[Step | None, int]]]:
    step = st.tuples(st.sampled_from([None] * 24 + faults), st.integers(0, 40))
    return st.lists(step, min_size=10, max_size=60)


def _check_statements(system: System) -> None:
    for call, status in system.refused.items():
        assert status not in NOT_RUN_STATUSES or not system.runs[call]
    assert all(runs <= 1 for runs in system.runs.values())


# Guards against a request that is answered as not run and runs later, or that runs
# twice, in any order of arrivals, losses, restarts, deadlines and answers.
@hypothesis.settings(max_examples=600)
@hypothesis.given(_drawn(FAULTS))
def test_a_request_that_is_answered_as_not_run_never_runs(
    drawn: list[tuple[Step | None, int]],
) -> None:
    _check_statements(_play(drawn))


# Guards against the same where home nodes refuse what would outlast their stop.
@hypothesis.settings(max_examples=300)
@hypothesis.given(_drawn(FAULTS + [Step.HOME_STOPS] * 4))
def test_a_call_that_would_outlast_a_stop_never_runs_once_it_is_refused(
    drawn: list[tuple[Step | None, int]],
) -> None:
    _check_statements(_play(drawn, outlasts_stops=True))


def test_a_call_that_would_outlast_the_stop_of_its_home_runs_once_elsewhere() -> None:
    for choice in range(len(HOMES)):
        steps: list[tuple[Step | None, int]] = [(Step.HOME_STOPS, choice)]
        system = _play([*steps, (Step.ARRIVE, 0)], outlasts_stops=True)
        assert system.runs == {1: 1}
        assert not system.refused


def test_a_request_without_faults_runs_once() -> None:
    system = _play([(Step.ARRIVE, 0), (Step.ARRIVE, 0)])
    assert system.runs == {1: 1, 2: 1}
    assert not system.refused
