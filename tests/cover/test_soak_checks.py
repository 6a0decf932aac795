"""The checks of the soak: each reports its own violation and nothing else."""

import asyncio
import math
import pathlib

import httpx
import msgspec
import pytest

from gingerturn_soak import __main__ as soak, callers, checks, ledger, run, schedule
from gingerturn_standins import platform_processes, processes

START = 1_000_000.0
STOP = schedule.Kind.NODE_STOP
KILL = schedule.Kind.NODE_KILL


def _attempt(number: str = "m0-1", **fields: object) -> callers.Attempt:
    base = {
        "id": number,
        "repeatable": False,
        "node": "m0",
        "incarnation": 0,
        "began": START,
        "ended": START + 100.0,
        "status": 200,
    }
    return callers.Attempt(**{**base, **fields})  # type: ignore[arg-type]


def _entry(event: str, number: str = "m0-1", at: float = START) -> ledger.Entry:
    return ledger.Entry(event, at, "i-1", "porting", number)


def _fault(kind: schedule.Kind, **fields: object) -> checks.Fault:
    base = {"kind": kind, "node": "m0", "began": START, "ended": START + 10.0}
    return checks.Fault(**{**base, **fields})  # type: ignore[arg-type]


def _observe(
    tmp_path: pathlib.Path,
    *attempts: callers.Attempt,
    entries: tuple[ledger.Entry, ...] = (),
    faults: tuple[checks.Fault, ...] = (),
    healed: float = 0.0,
) -> checks.Observations:
    path = tmp_path / "u.upstream.log"
    path.write_bytes(b"\n".join(msgspec.json.encode(entry) for entry in entries))
    return checks.Observations(
        attempts=list(attempts),
        ledger=ledger.Ledger([path]),
        faults=list(faults),
        published={4: START - 10_000.0},
        healed=healed,
    )


def _is_violated(check: checks.Check, observed: checks.Observations) -> bool:
    return bool(list(check(observed)))


def test_a_quiet_run_has_no_violations(tmp_path: pathlib.Path) -> None:
    entries = (_entry("arrived"), _entry("run"))
    observed = _observe(tmp_path, _attempt(), entries=entries, healed=START - 1.0)
    assert checks.violations(observed, timing=True) == []


def test_two_runs_of_what_may_not_be_repeated_are_reported(
    tmp_path: pathlib.Path,
) -> None:
    entries = (_entry("run"), _entry("run"))
    assert _is_violated(
        checks.at_most_once, _observe(tmp_path, _attempt(), entries=entries)
    )
    repeatable = _attempt(repeatable=True)
    observed = _observe(tmp_path, repeatable, entries=entries)
    assert not _is_violated(checks.at_most_once, observed)


@pytest.mark.parametrize(
    ("status", "reported"), [(503, True), (429, True), (502, False)]
)
def test_a_false_not_run_is_reported(
    status: int, reported: bool, tmp_path: pathlib.Path
) -> None:
    observed = _observe(tmp_path, _attempt(status=status), entries=(_entry("run"),))
    assert _is_violated(checks.not_run_is_true, observed) is reported


def test_half_an_answer_is_reported(tmp_path: pathlib.Path) -> None:
    observed = _observe(tmp_path, _attempt(intact=False))
    assert _is_violated(checks.answers_are_whole, observed)


def test_work_after_leaving_is_reported_only_past_the_bound(
    tmp_path: pathlib.Path,
) -> None:
    left = _entry("acknowledged", "", START)
    in_time = _entry("run", at=START + checks.APPLY_MS)
    late = _entry("run", at=START + checks.APPLY_MS + 1.0)
    check = checks.leaving_gets_no_work
    assert not _is_violated(check, _observe(tmp_path, entries=(left, in_time)))
    assert _is_violated(check, _observe(tmp_path, entries=(left, late)))


def test_a_request_cut_by_a_planned_stop_is_reported(tmp_path: pathlib.Path) -> None:
    cut = _attempt(status=0, error="ReadError")
    stop = _fault(STOP, exit_status=0)
    arrived = (_entry("arrived"),)
    check = checks.stops_cut_nothing
    assert _is_violated(check, _observe(tmp_path, cut, entries=arrived, faults=(stop,)))
    assert not _is_violated(check, _observe(tmp_path, cut, faults=(stop,)))
    both = (stop, _fault(KILL, node="m1"))
    assert not _is_violated(
        check, _observe(tmp_path, cut, entries=arrived, faults=both)
    )
    assert _is_violated(
        check, _observe(tmp_path, faults=(_fault(STOP, exit_status=3),))
    )


def test_a_version_that_is_not_known_in_time_is_reported(
    tmp_path: pathlib.Path,
) -> None:
    unknown = _attempt(version=4, status=404, unrouted=True)
    check = checks.configuration_in_time
    assert _is_violated(check, _observe(tmp_path, unknown))
    assert not _is_violated(check, _observe(tmp_path, unknown, faults=(_fault(KILL),)))
    other = _fault(KILL, node="m1")
    assert _is_violated(check, _observe(tmp_path, unknown, faults=(other,)))
    the_log = _fault(schedule.Kind.LOG_DOWN, node="")
    assert not _is_violated(check, _observe(tmp_path, unknown, faults=(the_log,)))


def test_a_step_back_is_reported_within_one_incarnation(tmp_path: pathlib.Path) -> None:
    served = _attempt("m0-1", version=4)
    times = {"began": START + 200, "ended": START + 210}
    back = _attempt("m0-2", version=4, status=404, unrouted=True, **times)
    check = checks.configuration_never_back
    assert _is_violated(check, _observe(tmp_path, served, back))
    restarted = msgspec.structs.replace(back, incarnation=1)
    assert not _is_violated(check, _observe(tmp_path, served, restarted))


def test_repeats_beyond_the_bound_are_reported(tmp_path: pathlib.Path) -> None:
    check = checks.retries_are_bounded
    allowed = tuple(_entry("arrived", at=START + n) for n in range(50))
    assert not _is_violated(check, _observe(tmp_path, entries=allowed))
    more = (*allowed, _entry("arrived", at=START + 51))
    assert _is_violated(check, _observe(tmp_path, entries=more))
    spread = (*allowed, _entry("arrived", at=START + checks.RETRY_WINDOW_MS + 1))
    assert not _is_violated(check, _observe(tmp_path, entries=spread))


def test_an_answer_that_never_comes_is_reported(tmp_path: pathlib.Path) -> None:
    late = _attempt(ended=START + callers.DEADLINE_MS + checks.RECOVERY_MS + 1.0)
    assert _is_violated(checks.answers_come_in_time, _observe(tmp_path, late))
    observed = _observe(tmp_path, late, faults=(_fault(KILL),))
    assert not _is_violated(checks.answers_come_in_time, observed)


def test_a_system_that_does_not_recover_is_reported(tmp_path: pathlib.Path) -> None:
    failed = _attempt(status=503)
    assert _is_violated(
        checks.serves_again, _observe(tmp_path, failed, healed=START - 1.0)
    )
    assert not _is_violated(checks.serves_again, _observe(tmp_path, failed))


@pytest.mark.parametrize(("late", "violated"), [(3, False), (4, True)])
def test_a_deadly_request_that_goes_on_running_is_reported(
    tmp_path: pathlib.Path, late: int, violated: bool
) -> None:
    first = [START + 10.0 * number for number in range(checks.MAX_CRASHES)]
    after = first[-1] + checks.RECOVERY_MS + 1.0
    runs = [*first, *(after + 10.0 * number for number in range(late))]
    entries = tuple(_entry("run", f"{callers.DEADLY_IDS}{at}", at) for at in runs)
    observed = _observe(tmp_path, entries=entries)
    assert bool(_is_violated(checks.deadly_requests_are_kept_out, observed)) is violated


def test_deadly_requests_leave_the_other_steps_of_a_seed_unchanged() -> None:
    plain = schedule.draw(3, machines=4, length_s=5.0)
    deadly = schedule.draw(3, machines=4, length_s=5.0, deadly=True)
    kinds = [step.kind for step in deadly if step not in plain]
    assert kinds == [schedule.Kind.DEADLY]


def test_restorations_leave_the_other_steps_of_a_seed_unchanged() -> None:
    plain = schedule.draw(1, machines=4, length_s=5.0)
    restored = schedule.draw(1, machines=4, length_s=5.0, restored=True)
    kinds = {step.kind for step in restored if step not in plain}
    assert kinds == {schedule.Kind.LOG_RESTORED}


def test_a_seed_gives_the_same_schedule_again() -> None:
    first = schedule.draw(7, machines=4, length_s=10.0)
    assert first == schedule.draw(7, machines=4, length_s=10.0)
    assert first != schedule.draw(8, machines=4, length_s=10.0)
    assert all(0 <= step.target < 4 and math.isfinite(step.at) for step in first)


def test_every_kind_of_step_is_drawn_by_some_seed() -> None:
    drawn = {
        step.kind
        for seed in range(100)
        for step in schedule.draw(
            seed,
            machines=4,
            length_s=10.0,
            deadly=True,
            restored=True,
            reported=True,
            silenced=True,
            unrelated=True,
        )
    }
    assert drawn == set(schedule.Kind)


class _Alive:
    """A process that runs."""

    def poll(self) -> None:
        return None


def test_a_step_at_a_backend_server_that_does_not_listen_yet_is_skipped(
    tmp_path: pathlib.Path,
) -> None:
    (port,) = processes.free_ports(1)
    machine = platform_processes.Machine(
        "m0",
        "plans",
        {"app": port},
        node=_Alive(),  # type: ignore[arg-type]
        upstream=_Alive(),  # type: ignore[arg-type]
    )
    asyncio.run(run.Run(tmp_path, machines=1).control_backend(machine, refuse=True))


def test_the_seed_is_printed_before_a_run(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def fail(*arguments: object, **options: object) -> None:
        raise RuntimeError("the soak itself fails")

    monkeypatch.setattr(run, "play", fail)
    with pytest.raises(RuntimeError):
        soak.play(7, 4, 12.0)
    assert "seed 7:" in capsys.readouterr().out


def _limited(*, count: int, after: float, **fields: object) -> tuple:
    """Return attempts and entries of a backend server that reports 3.5 a second.

    :param after: ms from the first report to the first of ``count`` more requests.
    """
    told = _attempt("m0-0", instance="i-1", limited=True, **fields)
    attempts = [told]
    entries = [ledger.Entry("limit", START, "i-1", "porting", "3.5")]
    for number in range(1, count + 1):
        at = START + after + 10.0 * number
        attempts.append(_attempt(f"m0-{number}", began=at, ended=at + 5.0))
        entries.append(_entry("arrived", f"m0-{number}", at))
    return attempts, tuple(entries)


# 1.5 x 3.5 x 4 s + 5 = 26
@pytest.mark.parametrize(("count", "violated"), [(26, False), (27, True)])
def test_more_requests_than_a_reported_limit_allows_are_reported(
    count: int, violated: bool, tmp_path: pathlib.Path
) -> None:
    attempts, entries = _limited(count=count, after=checks.LIMIT_SETTLE_MS)
    observed = _observe(tmp_path, *attempts, entries=entries)
    assert _is_violated(checks.limits_are_kept, observed) is violated


def test_a_limit_is_checked_from_its_time_on_and_until_it_ends(
    tmp_path: pathlib.Path,
) -> None:
    attempts, entries = _limited(count=60, after=1_000.0)
    observed = _observe(tmp_path, *attempts, entries=entries)
    assert not _is_violated(checks.limits_are_kept, observed)
    attempts, entries = _limited(count=60, after=checks.LIMIT_SETTLE_MS)
    end = ledger.Entry("limit", START + 2_900.0, "i-1", "porting", "")
    observed = _observe(tmp_path, *attempts, entries=(*entries, end))
    assert not _is_violated(checks.limits_are_kept, observed)


# Guards against a fault at any time that excuses the whole run.
@pytest.mark.parametrize(
    ("node", "after", "violated"),
    [("m0", 3_100.0, False), ("m0", -9_000.0, True), ("m1", 3_100.0, True)],
)
def test_only_a_delay_at_the_time_excuses_requests_that_arrive_together(
    node: str, after: float, violated: bool, tmp_path: pathlib.Path
) -> None:
    attempts, entries = _limited(count=60, after=checks.LIMIT_SETTLE_MS)
    entries = tuple(
        msgspec.structs.replace(entry, instance="i-m0-2") for entry in entries
    )
    attempts[0].instance = "i-m0-2"
    kind = schedule.Kind.BACKEND_LINK
    began = START + after
    fault = _fault(kind, node=node, began=began, ended=began + 500.0)
    observed = _observe(tmp_path, *attempts, entries=entries, faults=(fault,))
    assert _is_violated(checks.limits_are_kept, observed) is violated


@pytest.mark.parametrize(
    ("fields", "faults"),
    [
        ({"limited": False}, ()),
        ({"incarnation": 1}, ()),
        ({"instance": "i-2"}, ()),
        ({}, (_fault(schedule.Kind.NODE_PAUSE, began=START + 200.0),)),
    ],
)
def test_only_nodes_that_relayed_a_limit_are_bound_by_it(
    fields: dict[str, object], faults: tuple, tmp_path: pathlib.Path
) -> None:
    attempts, entries = _limited(count=60, after=checks.LIMIT_SETTLE_MS)
    told = attempts[0]
    for name, value in fields.items():
        setattr(told, name, value)
    if faults:
        faults[0].ended = START + 300.0
    observed = _observe(tmp_path, *attempts, entries=entries, faults=faults)
    assert not _is_violated(checks.limits_are_kept, observed)


@pytest.mark.parametrize(
    ("began", "incarnation", "violated"),
    [(1_900.0, 0, False), (2_200.0, 0, True), (2_200.0, 1, False)],
)
def test_a_request_long_after_a_report_of_leaving_is_reported(
    began: float, incarnation: int, violated: bool, tmp_path: pathlib.Path
) -> None:
    told = _attempt("m0-0", instance="i-1", leaving=True)
    late = _attempt("m0-1", began=START + began, incarnation=incarnation)
    entries = (_entry("arrived", "m0-1", START + began + 5.0),)
    observed = _observe(tmp_path, told, late, entries=entries)
    assert _is_violated(checks.reported_leaving_gets_no_work, observed) is violated


@pytest.mark.parametrize(
    ("status", "title", "unrouted"),
    [(404, "no route", True), (503, "route unsettled", True), (503, "level", False)],
)
def test_an_answer_by_a_table_without_the_route_is_recognised(
    status: int, title: str, unrouted: bool
) -> None:
    reply = httpx.Response(status, json={"title": title, "status": status})
    assert callers._is_unrouted(reply) is unrouted


# Guards against two nodes of a run that draw the same port.
def test_both_ports_of_a_pair_are_drawn() -> None:
    first = platform_processes._free_pair()
    assert not {first, first + 1} & set(processes.free_ports(20))
