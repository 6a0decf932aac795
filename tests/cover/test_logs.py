"""Logs: bounded, failures first, and never waiting for a reader."""

import json
import os

import loguru
import pytest

from gingerturn import settings
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
    assert budget.left_out == 1
    assert budget.take(6.0)


def test_a_reader_that_stalls_costs_whole_lines_and_never_blocks(
    pipe: tuple[int, int],
) -> None:
    read, write = pipe
    output = logs.Output(write)
    line = b"x" * 999 + b"\n"
    for _ in range(1_000):
        output.write(line)
    assert output.left_out > 0
    found = b""
    while True:
        try:
            found += os.read(read, 1 << 20)
        except BlockingIOError:
            if not output._backlog:
                break
            output.flush()
    assert found == line * (1_000 - output.left_out)


def test_a_reader_that_is_gone_ends_nothing(pipe: tuple[int, int]) -> None:
    read, write = pipe
    output = logs.Output(write)
    os.close(read)
    output.write(b"one line\n")
    output.write(b"another\n")


def test_a_json_line_holds_its_fields(pipe: tuple[int, int]) -> None:
    read, write = pipe
    output = logs.Output(write)
    loguru.logger.remove()
    loguru.logger.configure(extra={"node": "n1", "part": "node"})
    loguru.logger.add(output.take, format="{message}")
    logs.write("INFO", "entry", "It was so.", request="r1")
    loguru.logger.remove()
    line = json.loads(os.read(read, 4_096))
    assert (line["node"], line["part"], line["request"]) == ("n1", "entry", "r1")
    assert line["text"] == "It was so."


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
    at_home = reducer.reduce(home, builders.opened(9, sent.terms))
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
