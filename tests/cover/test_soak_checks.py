"""The checks of the soak: each reports its own violation and nothing else."""

import asyncio
import json
import math
import os
import pathlib
import random
import signal
import subprocess

import httpx
import msgspec
import pytest

from gingerturn_soak import (
    __main__ as soak,
    callers,
    checks,
    lasting,
    ledger,
    odd_entries,
    promises,
    raw_callers,
    run,
    schedule,
    watch,
)
from gingerturn_standins import (
    http_server,
    platform_processes,
    platform_store,
    processes,
)

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
    long_upload = msgspec.structs.replace(late, reached=START)
    assert not _is_violated(check, _observe(tmp_path, entries=(left, long_upload)))
    late_head = msgspec.structs.replace(late, reached=late.at)
    assert _is_violated(check, _observe(tmp_path, entries=(left, late_head)))


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


def test_odd_entries_do_not_excuse_a_version_that_is_late(
    tmp_path: pathlib.Path,
) -> None:
    late = _attempt(status=404, unrouted=True, version=4)
    odd = _fault(schedule.Kind.ODD_ENTRIES, node="")
    observed = _observe(tmp_path, late, faults=(odd,))
    assert _is_violated(checks.configuration_in_time, observed)


@pytest.mark.parametrize(
    ("changes", "violated"),
    [
        ({}, False),
        ({"ready": False}, True),
        ({"upstreams": 1}, True),
        ({"version": 1}, True),
        ({"upstreams": -1, "version": -1}, True),
    ],
)
def test_a_node_that_does_not_recover_is_reported(
    changes: dict[str, object], violated: bool, tmp_path: pathlib.Path
) -> None:
    whole = checks.View("m0", ready=True, upstreams=2, version=4)
    observed = _observe(tmp_path)
    observed.upstreams = 2
    observed.views = [whole, msgspec.structs.replace(whole, **changes)]
    assert _is_violated(checks.every_node_recovers, observed) is violated


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


def test_steps_under_requests_that_last_leave_the_other_steps_unchanged() -> None:
    plain = schedule.draw(1, machines=4, length_s=5.0)
    lasting = schedule.draw(1, machines=4, length_s=5.0, lasting=True)
    assert [step for step in lasting if step in plain] == plain
    kinds = {step.kind for step in lasting if step not in plain}
    assert kinds <= {*schedule.LASTING_KINDS, schedule.Kind.CONFIGURE}


def test_odd_entries_leave_the_other_steps_of_a_seed_unchanged() -> None:
    for seed in range(20):
        plain = schedule.draw(seed, machines=4, length_s=5.0, lasting=True)
        odd = schedule.draw(seed, machines=4, length_s=5.0, lasting=True, odd=True)
        assert [step for step in odd if step in plain] == plain
        kinds = {step.kind for step in odd if step not in plain}
        assert {schedule.Kind.ODD_ENTRIES, schedule.Kind.POWER_LOSS} <= kinds


def test_only_the_routes_of_requests_with_api_keys_need_one() -> None:
    plain, more = lasting.routes(api_keys=False), lasting.routes(api_keys=True)
    assert all(route["public"] for route in plain)
    assert more[: len(plain)] == plain
    prefixes = tuple(str(r["path_prefix"]) for r in more if not r["public"])
    assert all(s.path.startswith(prefixes) for s in lasting.WITH_API_KEY)
    assert not any(s.path.startswith(prefixes) for s in lasting.SHAPES)


def test_a_calm_schedule_has_planned_common_steps_only() -> None:
    for seed in range(20):
        steps = schedule.draw(seed, machines=4, length_s=5.0, odd=True, calm=True)
        assert {step.kind for step in steps} <= schedule.PLANNED_KINDS


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
            odd=True,
            departed=True,
            lasting=True,
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


ENDING = raw_callers.Ending
BEGAN_S = START / 1_000.0


def _exchange(number: str = "m0-1", **fields: object) -> raw_callers.Exchange:
    base = {
        "id": number,
        "shape": "work",
        "node": "m0",
        "began": BEGAN_S,
        "sent": BEGAN_S,
        "ended": BEGAN_S + 1.0,
        "ending": ENDING.ANSWERED,
        "status": 200,
        "signed": True,
        "deadline_ms": 7_000,
    }
    return raw_callers.Exchange(**{**base, **fields})  # type: ignore[arg-type]


def _arrived(instance: str = "i-m1", at: float = START) -> ledger.Entry:
    return ledger.Entry("arrived", at, instance, "porting", "m0-1")


def _life(*told: watch.Told, **fields: object) -> watch.Life:
    base = {"node": "m0", "began": START - 60_000.0, "ready": START - 59_000.0}
    return watch.Life(**{**base, **fields}, told=list(told))  # type: ignore[arg-type]


def _terminated(at: float) -> watch.Told:
    return watch.Told(signal.SIGTERM, START + at)


def _lasting(
    tmp_path: pathlib.Path,
    *exchanges: raw_callers.Exchange,
    lives: tuple[watch.Life, ...] = (),
    backend_ends: tuple[watch.BackendEnd, ...] = (),
    **fields: object,
) -> checks.Observations:
    observed = _observe(tmp_path, **fields)  # type: ignore[arg-type]
    observed.exchanges = list(exchanges)
    observed.lives = list(lives)
    observed.backend_ends = list(backend_ends)
    observed.ended = START + 60_000.0
    return observed


def test_whole_answers_and_planned_ends_keep_every_promise(
    tmp_path: pathlib.Path,
) -> None:
    life = _life(_terminated(0.0), ended=START + 3_000.0, status=0)
    observed = _lasting(tmp_path, _exchange(), lives=(life,), entries=(_arrived(),))
    assert promises.violations(observed, timing=True) == []


@pytest.mark.parametrize("ending", [ENDING.FIN, ENDING.RESET, ENDING.TIMEOUT])
def test_a_request_that_was_passed_on_and_not_answered_is_reported(
    ending: raw_callers.Ending, tmp_path: pathlib.Path
) -> None:
    check = promises.passed_on_requests_are_answered
    cut = _exchange(ending=ending)
    assert _is_violated(check, _lasting(tmp_path, cut, entries=(_arrived(),)))
    assert not _is_violated(check, _lasting(tmp_path, cut))
    left = _exchange(ending=ENDING.LEFT)
    assert not _is_violated(check, _lasting(tmp_path, left, entries=(_arrived(),)))


@pytest.mark.parametrize(
    ("kind", "node", "violated"),
    [
        (KILL, "m0", False),
        (KILL, "m1", False),
        (KILL, "m2", True),
        (STOP, "m0", True),
        (schedule.Kind.LOG_DOWN, "", True),
        (schedule.Kind.BACKEND_STALL, "m1", True),
        (schedule.Kind.NODE_STARVED, "m0", True),
        (schedule.Kind.CONNECTIONS_SILENT, "", False),
    ],
)
def test_only_unplanned_faults_on_its_way_excuse_a_cut_answer(
    kind: schedule.Kind, node: str, violated: bool, tmp_path: pathlib.Path
) -> None:
    cut = _exchange(ending=ENDING.FIN, first=False)
    observed = _lasting(
        tmp_path, cut, entries=(_arrived(),), faults=(_fault(kind, node=node),)
    )
    check = promises.passed_on_requests_are_answered
    assert _is_violated(check, observed) is violated


def test_a_starved_node_excuses_only_new_connections(tmp_path: pathlib.Path) -> None:
    check = promises.passed_on_requests_are_answered
    starved = (_fault(schedule.Kind.NODE_STARVED),)
    for first in (True, False):
        cut = _exchange(ending=ENDING.FIN, first=first)
        observed = _lasting(tmp_path, cut, entries=(_arrived(),), faults=starved)
        assert _is_violated(check, observed) is not first


def test_the_deadline_and_an_upstream_that_ends_excuse_a_cut_answer(
    tmp_path: pathlib.Path,
) -> None:
    check = promises.passed_on_requests_are_answered
    due = _exchange(ending=ENDING.FIN, ended=BEGAN_S + 7.1)
    assert not _is_violated(check, _lasting(tmp_path, due, entries=(_arrived(),)))
    never = _exchange(ending=ENDING.TIMEOUT, ended=BEGAN_S + 12.0)
    assert _is_violated(check, _lasting(tmp_path, never, entries=(_arrived(),)))
    cut = _exchange(ending=ENDING.FIN)
    for node, violated in (("m1", False), ("m2", True)):
        ends = (watch.BackendEnd(node, START + 900.0),)
        observed = _lasting(tmp_path, cut, entries=(_arrived(),), backend_ends=ends)
        assert _is_violated(check, observed) is violated


# The grace is 6 s; its last sixth begins at 5 s.
@pytest.mark.parametrize(
    ("sent", "lasts_s", "ended", "violated"),
    [
        (-1.0, 7.0, 5.1, False),
        (-1.0, 7.0, 4.9, True),
        (-1.0, 5.5, 5.1, True),
        (2.9, 7.0, 5.1, False),
        (3.1, 7.0, 5.1, True),
    ],
)
def test_a_stop_may_cut_what_outlasts_its_grace(
    sent: float,
    lasts_s: float,
    ended: float,
    violated: bool,
    tmp_path: pathlib.Path,
) -> None:
    cut = _exchange(
        began=BEGAN_S + sent,
        sent=BEGAN_S + sent,
        ended=BEGAN_S + ended,
        ending=ENDING.FIN,
        lasts_s=lasts_s,
    )
    entries = (_arrived(at=START + sent * 1_000.0),)
    life = _life(_terminated(0.0), ended=START + 6_000.0, status=promises.CUT_STATUS)
    observed = _lasting(tmp_path, cut, lives=(life,), entries=entries)
    check = promises.passed_on_requests_are_answered
    assert _is_violated(check, observed) is violated
    assert _is_violated(promises.processes_end_only_when_told, observed) is violated


# Work of 3.5 s that began with the SIGTERM ends at 3.5 s, or later by its stall.
@pytest.mark.parametrize(
    ("stalled_s", "node", "violated"),
    [(1.0, "m1", True), (2.0, "m1", False), (2.0, "m2", True)],
)
def test_a_stalled_upstream_is_at_work_for_longer(
    stalled_s: float, node: str, violated: bool, tmp_path: pathlib.Path
) -> None:
    cut = _exchange(ended=BEGAN_S + 5.5, ending=ENDING.FIN, lasts_s=3.5)
    stall = _fault(
        schedule.Kind.BACKEND_STALL,
        node=node,
        began=START + 100.0,
        ended=START + 100.0 + stalled_s * 1_000.0,
    )
    life = _life(_terminated(0.0), ended=START + 6_000.0, status=promises.CUT_STATUS)
    observed = _lasting(
        tmp_path, cut, lives=(life,), entries=(_arrived(),), faults=(stall,)
    )
    check = promises.passed_on_requests_are_answered
    assert _is_violated(check, observed) is violated
    assert _is_violated(promises.processes_end_only_when_told, observed) is violated


def test_a_request_that_was_served_excuses_no_failed_stop(
    tmp_path: pathlib.Path,
) -> None:
    served = _exchange(ended=BEGAN_S + 5.5, lasts_s=7.0)
    life = _life(_terminated(0.0), ended=START + 6_000.0, status=promises.CUT_STATUS)
    observed = _lasting(tmp_path, served, lives=(life,), entries=(_arrived(),))
    assert _is_violated(promises.processes_end_only_when_told, observed)


@pytest.mark.parametrize(
    ("waited", "behind_close", "violated"),
    [(0.1, False, False), (0.3, False, True), (0.3, True, False)],
)
def test_a_read_request_without_an_answer_is_reported(
    waited: float, behind_close: bool, violated: bool, tmp_path: pathlib.Path
) -> None:
    closed = _exchange(
        ending=ENDING.RESET, ended=BEGAN_S + waited, behind_close=behind_close
    )
    check = promises.read_requests_are_answered
    assert _is_violated(check, _lasting(tmp_path, closed)) is violated


@pytest.mark.parametrize(("ended", "violated"), [(4.0, True), (5.1, False)])
def test_an_upload_cut_before_the_grace_nearly_ends_is_reported(
    ended: float, violated: bool, tmp_path: pathlib.Path
) -> None:
    cut = _exchange(sent=0.0, ending=ENDING.FIN, ended=BEGAN_S + ended)
    observed = _lasting(tmp_path, cut, lives=(_life(_terminated(0.0)),))
    assert _is_violated(promises.uploads_are_not_cut, observed) is violated


def test_a_refused_connection_of_a_ready_node_is_reported(
    tmp_path: pathlib.Path,
) -> None:
    refused = _exchange(ending=ENDING.REFUSED, sent=0.0)
    check = promises.connections_are_accepted
    assert _is_violated(check, _lasting(tmp_path, refused, lives=(_life(),)))
    for life in (_life(_terminated(-100.0)), _life(ready=0.0)):
        assert not _is_violated(check, _lasting(tmp_path, refused, lives=(life,)))


@pytest.mark.parametrize(
    "fields",
    [
        {"signed": False},
        {"status": 304, "signed": False},
        {"expected": 100, "body": 99},
        {"surplus": 1},
        {"ending": ENDING.GARBLED, "status": 0},
    ],
)
def test_an_answer_that_is_not_the_upstreams_is_reported(
    fields: dict[str, object], tmp_path: pathlib.Path
) -> None:
    observed = _lasting(tmp_path, _exchange(**fields))
    assert _is_violated(promises.no_false_success, observed)


def test_an_answer_replaced_during_a_stop_is_reported(tmp_path: pathlib.Path) -> None:
    check = promises.replaced_answers_have_an_excuse
    own = _exchange(status=502, signed=False)
    lives = (_life(_terminated(-100.0)),)
    assert _is_violated(
        check, _lasting(tmp_path, own, lives=lives, entries=(_arrived(),))
    )
    assert not _is_violated(check, _lasting(tmp_path, own, entries=(_arrived(),)))
    assert not _is_violated(check, _lasting(tmp_path, own, lives=lives))
    signed = _exchange(status=502)
    observed = _lasting(tmp_path, signed, lives=lives, entries=(_arrived(),))
    assert not _is_violated(check, observed)


def test_a_false_not_run_of_a_lasting_request_is_reported(
    tmp_path: pathlib.Path,
) -> None:
    check = promises.not_run_is_true_of_lasting_requests
    refused = _exchange(status=503, signed=False, repeatable=False)
    ran = (_entry("run"),)
    assert _is_violated(check, _lasting(tmp_path, refused, entries=ran))
    served = _exchange(repeatable=False)
    assert not _is_violated(check, _lasting(tmp_path, served, entries=ran))
    assert _is_violated(check, _lasting(tmp_path, served, entries=(*ran, *ran)))


@pytest.mark.parametrize(
    ("told", "status", "violated"),
    [
        ((), 0, True),
        ((), 7, True),
        ((_terminated(0.0),), 0, False),
        ((_terminated(0.0),), promises.CUT_STATUS, True),
        ((_terminated(0.0),), -signal.SIGTERM, True),
        ((watch.Told(signal.SIGHUP, START),), 1, True),
        ((watch.Told(signal.SIGKILL, START),), -signal.SIGKILL, False),
        (
            (_terminated(0.0), watch.Told(signal.SIGKILL, START + 8e3, overdue=True)),
            -signal.SIGKILL,
            True,
        ),
    ],
)
def test_a_process_that_ends_untold_or_with_a_failure_is_reported(
    told: tuple[watch.Told, ...], status: int, violated: bool, tmp_path: pathlib.Path
) -> None:
    life = _life(*told, ended=START + 100.0, status=status)
    observed = _lasting(tmp_path, lives=(life,))
    assert _is_violated(promises.processes_end_only_when_told, observed) is violated


def test_a_start_that_does_not_become_ready_is_reported(tmp_path: pathlib.Path) -> None:
    check = promises.starts_become_ready
    began = START
    in_time = _life(began=began, ready=began + promises.RECOVER_MS)
    assert not _is_violated(check, _lasting(tmp_path, lives=(in_time,)))
    late = _life(began=began, ready=began + promises.RECOVER_MS + 1.0)
    never = _life(began=began, ready=0.0)
    for life in (late, never):
        assert _is_violated(check, _lasting(tmp_path, lives=(life,)))
    stopped = _life(_terminated(500.0), began=began, ready=0.0)
    assert not _is_violated(check, _lasting(tmp_path, lives=(stopped,)))
    held = _fault(schedule.Kind.LOG_DOWN, node="", ended=START + 2_000.0)
    observed = _lasting(tmp_path, lives=(late,), faults=(held,))
    assert not _is_violated(check, observed)
    odd = _fault(schedule.Kind.ODD_ENTRIES, node="", ended=START + 2_000.0)
    assert _is_violated(check, _lasting(tmp_path, lives=(late,), faults=(odd,)))


@pytest.mark.parametrize(
    ("fields", "violated"),
    [
        ({"status": 400}, False),
        ({"status": 500}, True),
        ({"status": 0, "ending": ENDING.FIN}, True),
        ({"status": 0, "ending": ENDING.TIMEOUT}, True),
    ],
)
def test_an_odd_request_without_an_answer_is_reported(
    fields: dict[str, object], violated: bool, tmp_path: pathlib.Path
) -> None:
    check = promises.odd_requests_are_answered
    observed = _lasting(tmp_path, lives=(_life(),))
    observed.odd = [_exchange(**fields)]
    assert _is_violated(check, observed) is violated
    observed.faults = [_fault(schedule.Kind.ODD_ENTRIES, node="")]
    assert _is_violated(check, observed) is violated
    observed.faults = [_fault(KILL)]
    assert not _is_violated(check, observed)
    told = _lasting(tmp_path, lives=(_life(_terminated(500.0)),))
    told.odd = observed.odd
    assert not _is_violated(check, told)


def test_a_loss_of_power_excuses_requests_at_every_node(tmp_path: pathlib.Path) -> None:
    cut = _exchange(ending=ENDING.RESET)
    lost = _fault(schedule.Kind.POWER_LOSS, node="")
    odd = _fault(schedule.Kind.ODD_ENTRIES, node="")
    check = promises.passed_on_requests_are_answered
    arrived = (_arrived(),)
    observed = _lasting(tmp_path, cut, entries=arrived, faults=(odd,))
    assert _is_violated(check, observed)
    observed = _lasting(tmp_path, cut, entries=arrived, faults=(odd, lost))
    assert not _is_violated(check, observed)


def test_every_step_with_odd_entries_has_one_that_is_deeply_nested() -> None:
    for seed in range(20):
        ports = {"m0": 1, "m1": 2}
        batches = odd_entries.of_members(random.Random(seed), ports, START)
        records = [record for batch in batches for record in batch]
        assert any(text.encode() in r for text in odd_entries.NESTED for r in records)
        assert batches == odd_entries.of_members(random.Random(seed), ports, START)
        routes: list[dict[str, object]] = [{"name": "r-a", "path_prefix": "/a/"}]
        *_, config = odd_entries.of_operator(random.Random(seed), 2, routes)
        assert config.startswith(b"\x06config{")


def test_a_store_that_drops_its_records_keeps_the_newest_of_each_key() -> None:
    store = platform_store.Store()

    async def call(method: str, target: str, body: bytes = b"") -> bytes:
        request = http_server.Request(method, target, {}, body)
        return (await store.handle(request)).body

    async def ask() -> tuple[bytes, bytes]:
        record = b"\x01kvalue"
        content = len(record).to_bytes(4, "big") + record
        await call("POST", "/records?topic=keyed.op", content)
        await call("POST", "/control", b'{"drops": true}')
        read = await call("GET", "/log-read?topic=keyed.op&from=0")
        return read, await call("GET", "/log-newest?topic=keyed.op")

    read, newest = asyncio.run(ask())
    assert json.loads(read) == {"first_offset": 1}
    assert [item["key"] for item in json.loads(newest)["items"]] == ["k"]


@pytest.mark.parametrize("shape", ["work", "probe-plans"])
def test_lasting_requests_that_are_not_served_at_the_end_are_reported(
    shape: str, tmp_path: pathlib.Path
) -> None:
    check = promises.lasting_requests_are_served_again
    refused = _exchange(shape=shape, status=503, signed=False)
    healed = START - 1.0
    assert _is_violated(check, _lasting(tmp_path, refused, healed=healed))
    assert not _is_violated(check, _lasting(tmp_path, refused))
    left = _exchange(shape=shape, ending=ENDING.LEFT)
    assert not _is_violated(check, _lasting(tmp_path, left, healed=healed))


def test_a_process_has_begun_once_its_interpreter_runs() -> None:
    # A shell starts jobs in the background with SIGINT ignored, and the interpreter
    # leaves it so.
    before = signal.signal(signal.SIGINT, signal.default_int_handler)
    try:
        assert watch.has_begun(os.getpid())
    finally:
        signal.signal(signal.SIGINT, before)
    with subprocess.Popen(["sleep", "60"]) as process:
        assert not watch.has_begun(process.pid)
        process.kill()
    assert not watch.has_begun(process.pid)


async def _answer(
    answers: list[bytes], shape: raw_callers.Shape
) -> list[raw_callers.Exchange]:
    """Return the exchanges of a caller whose requests get these bytes in turn."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for answer in answers:
            writer.write(answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    caller = raw_callers.Caller("c", "m0", port, kept=True)
    await caller.send(shape)
    server.close()
    return caller.exchanges


WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nResponse-Signature: s\r\n\r\nok"


@pytest.mark.parametrize(
    ("answers", "ending", "surplus"),
    [
        ([WHOLE], ENDING.ANSWERED, False),
        ([WHOLE[:-1]], ENDING.FIN, False),
        ([b""], ENDING.FIN, False),
        ([WHOLE + WHOLE], ENDING.ANSWERED, True),
        ([WHOLE + b"junk"], ENDING.ANSWERED, True),
        ([b"junk\r\n\r\n"], ENDING.GARBLED, False),
    ],
)
def test_a_caller_records_how_its_exchange_ended(
    answers: list[bytes], ending: raw_callers.Ending, surplus: bool
) -> None:
    (exchange,) = asyncio.run(_answer(answers, raw_callers.Shape("get")))
    assert exchange.ending is ending
    assert bool(exchange.surplus) is surplus


def test_a_caller_records_both_answers_to_a_pair() -> None:
    shape = raw_callers.Shape("pair", pair=True)
    closing = WHOLE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    both = asyncio.run(_answer([WHOLE, closing], shape))
    assert [each.ending for each in both] == [ENDING.ANSWERED] * 2
    one = asyncio.run(_answer([closing], shape))
    assert [each.ending for each in one] == [ENDING.ANSWERED, ENDING.FIN]
    assert [each.behind_close for each in one] == [False, True]


def test_a_body_in_answer_to_head_is_surplus() -> None:
    shape = raw_callers.Shape("head", "HEAD")
    (exchange,) = asyncio.run(_answer([WHOLE], shape))
    assert exchange.ending is ENDING.ANSWERED
    assert exchange.surplus == len(b"ok")
