"""Logs: bounded, failures first, and never waiting for a reader."""

import collections.abc
import datetime
import json
import os
import pathlib
import subprocess
import sys

import loguru
import pytest

from gingerturn import errors, settings
from gingerturn.internal import logs
from gingerturn.internal.core import decisions, effects, events, reducer
from tests.common import builders, routed


@pytest.fixture
def pipe() -> tuple[int, int]:
    read, write = os.pipe()
    os.set_blocking(read, False)
    return read, write


def test_a_budget_allows_so_many_lines_a_second_and_counts_the_rest() -> None:
    budget = logs.Budget(2)
    assert [budget.take(5.1), budget.take(5.2), budget.take(5.9)] == [True, True, False]
    assert budget.dropped == 1
    assert budget.take(6.0)


def test_a_reader_that_stalls_costs_whole_lines_and_never_blocks(
    pipe: tuple[int, int],
) -> None:
    read, write = pipe
    output = logs.Output(write)
    line = b"x" * 999 + b"\n"
    for _ in range(1_000):
        output.write(line)
    assert output.dropped > 0
    found = b""
    while True:
        try:
            found += os.read(read, 1 << 20)
        except BlockingIOError:
            if not output._backlog:
                break
            output.flush()
    assert found == line * (1_000 - output.dropped)


def test_a_reader_that_is_gone_ends_nothing(pipe: tuple[int, int]) -> None:
    read, write = pipe
    output = logs.Output(write)
    os.close(read)
    output.write(b"one line\n")
    output.write(b"another\n")


@pytest.fixture
def json_lines(
    pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> collections.abc.Iterator[int]:
    """Set up JSON lines at warnings, and return where they can be read."""
    read, write = pipe
    monkeypatch.setattr(logs._state, "output", logs.Output(write))
    logs.set_up(settings.Logging(json=True, level="WARNING"), node="n1")
    yield read
    logs._state.output = None


def test_a_json_line_holds_its_fields(json_lines: int) -> None:
    logs.write("INFO", "entry", "Below the level.")
    logs.write("WARNING", "entry", "It was so.", request="r1")
    line = json.loads(os.read(json_lines, 4_096))
    assert (line["node"], line["part"], line["request"]) == ("n1", "entry", "r1")
    assert (line["level"], line["text"]) == ("WARNING", "It was so.")
    told = datetime.datetime.fromisoformat(line["time"])
    assert told.utcoffset() is not None


def test_json_lines_load_no_library_for_text() -> None:
    code = (
        "import sys\n"
        "from gingerturn import settings\n"
        "from gingerturn.internal import logs\n"
        "logs.set_up(settings.Logging(json=True), node='n1')\n"
        "logs.write('INFO', 'node', 'Up.')\n"
        "sys.exit('loguru' in sys.modules or 'tomllib' in sys.modules)\n"
    )
    source = pathlib.Path(logs.__file__).parents[2]
    ended = subprocess.run(
        [sys.executable, "-c", code],
        env={"PYTHONPATH": str(source)},
        capture_output=True,
        check=False,
    )
    assert ended.returncode == 0, ended.stderr
    assert json.loads(ended.stdout)["text"] == "Up."


def test_a_level_that_is_none_is_refused() -> None:
    chosen = builders.settings()
    chosen.logging.level = "LOUD"
    with pytest.raises(errors.InvalidDocument, match="level is 'LOUD'; allowed"):
        settings.check_settings(chosen, origin="tests")


def test_text_goes_to_standard_error(capsys: pytest.CaptureFixture[str]) -> None:
    logs.set_up(settings.Logging(), node="n1")
    logs.write("INFO", "node", "Up.")
    loguru.logger.remove()
    told = capsys.readouterr()
    assert "n1 [node] Up." in told.err
    assert told.out == ""


def test_a_refused_request_is_told_with_id_rule_figures_and_version() -> None:
    state = routed.node_state()
    out = reducer.reduce(state, routed.arrived(1, request="r1"))
    line = builders.only(out, effects.LogDecision)
    assert (line.request, line.kind, line.version) == ("r1", "lookup", 1)
    assert decisions.Rule(line.rule) is decisions.Rule.NO_UPSTREAM
    assert line.status == 503


def test_the_ways_of_a_request_can_be_followed_by_its_id() -> None:
    """From the entry's refusal, by the upstream it names, to the home's reason."""
    entry = routed.node_state()
    builders.add_members(entry, builders.member("n2", "plans"))
    sent = routed.sent_to(reducer.reduce(entry, routed.arrived(1, request="r1")))
    home = routed.node_state(name="n2", service="plans")
    reducer.reduce(home, events.BackendWithdrawn(now=home.now, instance="i-1"))
    at_home = reducer.reduce(home, builders.opened(9, sent.metadata))
    refusal = builders.only(at_home, effects.SendRefusal)
    at_entry = reducer.reduce(
        entry,
        events.AttemptRefused(
            now=entry.now,
            attempt=sent.attempt,
            refusal=refusal.refusal,
            tokens=0,
            report=refusal.report,
        ),
    )
    last = builders.only(at_entry, effects.LogDecision)
    assert (last.request, last.upstream) == ("r1", "n2")
    reason = builders.only(at_home, effects.LogDecision)
    assert (reason.request, reason.rule) == ("r1", int(decisions.Rule.LEAVING))
    told = builders.only(at_entry, effects.RefuseCall)
    assert told.decision == reason.decision


def test_an_answered_failure_counts_as_failure_and_a_success_does_not() -> None:
    assert decisions.is_failure(decisions.Rule.SENT, 500)
    assert not decisions.is_failure(decisions.Rule.SENT, 200)
    assert decisions.is_failure(decisions.Rule.RETRIED, 0)
