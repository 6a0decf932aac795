"""Logs: rate limits, non-blocking output, and the lines of decisions."""

import collections.abc
import datetime
import json
import os
import pathlib
import subprocess
import sys
import time

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


def test_a_stalled_reader_loses_whole_lines_and_never_blocks(
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


def test_writing_to_a_closed_pipe_raises_no_error(pipe: tuple[int, int]) -> None:
    read, write = pipe
    output = logs.Output(write)
    os.close(read)
    output.write(b"one line\n")
    output.write(b"another\n")


@pytest.fixture
def json_lines(
    pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> collections.abc.Iterator[int]:
    """Log JSON lines at WARNING, and yield the descriptor to read them from."""
    read, write = pipe
    monkeypatch.setattr(logs._state, "output", logs.Output(write))
    logs.set_up(settings.Logging(json=True, level="WARNING"), node="n1")
    yield read
    logs._state.output = None


def test_a_json_line_has_its_fields(json_lines: int) -> None:
    logs.write("INFO", "entry", "Below the level.")
    logs.write("WARNING", "entry", "It was so.", request="r1")
    line = json.loads(os.read(json_lines, 4_096))
    assert (line["node"], line["part"], line["request"]) == ("n1", "entry", "r1")
    assert (line["level"], line["text"]) == ("WARNING", "It was so.")
    logged_at = datetime.datetime.fromisoformat(line["time"])
    assert logged_at.utcoffset() is not None


# Guards against a line that is dropped since it names a long value of another program.
def test_a_long_text_is_cut(json_lines: int) -> None:
    logs.write("WARNING", "words", "It is long: " + "x" * 300_000)
    line = json.loads(os.read(json_lines, 1 << 16))
    assert len(line["text"]) == logs.MAX_TEXT
    assert line["text"].startswith("It is long: xx")


# Guards against a node that is silent about its members and versions while something
# sends it datagrams of another cluster.
def test_lines_about_skipped_input_do_not_displace_those_of_changes(
    json_lines: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    fresh = logs._State()
    fresh.output = logs._state.output
    monkeypatch.setattr(logs, "_state", fresh)
    monkeypatch.setattr(time, "monotonic", lambda: 7.0)
    for _ in range(300):
        logs.warn_skipped("Datagram of", b"127.0.0.1:9", "not authentic")
    assert os.read(json_lines, 1 << 16).count(b"\n") == logs.SKIPPED_PER_S
    assert all(logs.may_write_change() for _ in range(logs.CHANGES_PER_S))
    assert logs.report_dropped() == 300 - logs.SKIPPED_PER_S
    line = json.loads(os.read(json_lines, 1 << 16))
    assert (line["skipped"], line["changes"]) == (300 - logs.SKIPPED_PER_S, 0)


def test_json_lines_import_no_library_for_text() -> None:
    code = (
        "import sys\n"
        "from gingerturn import settings\n"
        "from gingerturn.internal import logs\n"
        "logs.set_up(settings.Logging(json=True), node='n1')\n"
        "logs.write('INFO', 'node', 'Up.')\n"
        "sys.exit('loguru' in sys.modules or 'tomllib' in sys.modules)\n"
    )
    source = pathlib.Path(logs.__file__).parents[2]
    completed = subprocess.run(
        [sys.executable, "-c", code],
        env={"PYTHONPATH": str(source)},
        capture_output=True,
        check=False,
    )
    assert completed.returncode == 0, completed.stderr
    assert json.loads(completed.stdout)["text"] == "Up."


def test_an_unknown_level_is_refused() -> None:
    chosen = builders.settings()
    chosen.logging.level = "LOUD"
    with pytest.raises(errors.InvalidDocument, match="level is 'LOUD'; allowed"):
        settings.check_settings(chosen, origin="tests")


def test_text_goes_to_standard_error(capsys: pytest.CaptureFixture[str]) -> None:
    logs.set_up(settings.Logging(), node="n1")
    logs.write("INFO", "node", "Up.")
    loguru.logger.remove()
    captured = capsys.readouterr()
    assert "n1 [node] Up." in captured.err
    assert captured.out == ""


def test_a_refused_request_is_logged_with_id_rule_kind_and_version() -> None:
    state = routed.node_state()
    out = reducer.reduce(state, routed.arrived(1, request="r1"))
    line = builders.only(out, effects.LogDecision)
    assert (line.request, line.kind, line.version) == ("r1", "lookup", 1)
    assert decisions.Rule(line.rule) is decisions.Rule.NO_UPSTREAM
    assert line.status == 503


def test_a_request_can_be_traced_across_nodes_by_its_id() -> None:
    """The entry node's line names the upstream, whose line has the reason."""
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
    refused = builders.only(at_entry, effects.RefuseCall)
    assert refused.decision == reason.decision


def test_a_failed_answer_counts_as_failure_and_a_successful_one_does_not() -> None:
    assert decisions.is_failure(decisions.Rule.SENT, 500)
    assert not decisions.is_failure(decisions.Rule.SENT, 200)
    assert decisions.is_failure(decisions.Rule.RETRIED, 0)


def test_text_does_not_wait_for_a_reader_that_is_slow() -> None:
    # Guards against a node that stops serving when its standard error is not read.
    code = (
        "from gingerturn import settings\n"
        "from gingerturn.internal import logs\n"
        "logs.set_up(settings.Logging(), node='n1')\n"
        "for _ in range(2000): logs.write('INFO', 'node', 'x' * 100)\n"
        "print('done')\n"
    )
    read, write = os.pipe()
    try:
        completed = subprocess.run(
            [sys.executable, "-c", code],
            env={"PYTHONPATH": str(pathlib.Path(logs.__file__).parents[2])},
            stdout=subprocess.PIPE,
            stderr=write,
            timeout=30,
            check=False,
        )
    finally:
        os.close(read)
        os.close(write)
    assert (completed.returncode, completed.stdout) == (0, b"done\n")
