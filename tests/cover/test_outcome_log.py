"""Facts about the outcome of unrepeatable requests: kept under load, and bounded."""

import collections.abc
import json
import os
import time

import pytest

from gingerturn import explain, settings
from gingerturn.internal import logs, outcome_log
from gingerturn.internal.core import decisions, effects
from gingerturn.internal.shell import node as nodes
from tests.common import builders


@pytest.fixture
def output(
    monkeypatch: pytest.MonkeyPatch,
) -> collections.abc.Iterator[collections.abc.Callable[[], list[dict[str, object]]]]:
    """Log JSON lines at ERROR, and yield a function that returns the new ones."""
    read, write = os.pipe()
    os.set_blocking(read, False)
    monkeypatch.setattr(logs._state, "output", logs.Output(write))
    monkeypatch.setattr(outcome_log, "_state", outcome_log._State())
    monkeypatch.setattr(time, "monotonic", lambda: 7.0)
    logs.set_up(settings.Logging(json=True, level="ERROR"), node="n1")

    def lines() -> list[dict[str, object]]:
        try:
            found = os.read(read, 1 << 20)
        except BlockingIOError:
            return []
        return [json.loads(line) for line in found.splitlines()]

    yield lines
    logs._state.output = None
    os.close(read)
    os.close(write)


def _record(count: int) -> None:
    for number in range(count):
        if outcome_log.may_record(dispatch=False):
            outcome_log.record(f"r{number}", "home", "queue_full")


def _decision(rule: decisions.Rule, *, outcome_fact: bool) -> effects.LogDecision:
    return effects.LogDecision(
        part="home",
        request="r1",
        decision="n1:1",
        rule=int(rule),
        kind="port-request",
        upstream="n2",
        figures=(),
        version=1,
        waited_ms=1.0,
        outcome_fact=outcome_fact,
    )


def test_facts_share_a_line_at_any_level_of_the_log(
    output: collections.abc.Callable[[], list[dict[str, object]]],
) -> None:
    _record(3)
    assert output() == []
    outcome_log.flush()
    (line,) = output()
    facts = line["facts"]
    assert isinstance(facts, list)
    assert [fact["request"] for fact in facts] == ["r0", "r1", "r2"]
    assert (line["part"], line["dropped"]) == ("outcomes", 0)


def test_facts_beyond_the_rate_limit_are_counted(
    output: collections.abc.Callable[[], list[dict[str, object]]],
) -> None:
    _record(outcome_log.STATEMENTS_PER_S + 5)
    outcome_log.flush()
    lines = output()
    assert sum(len(line["facts"]) for line in lines) == 500  # type: ignore[arg-type]
    assert lines[-1]["dropped"] == 5
    assert outcome_log.dropped_total() == 5


# Guards against a dispatch that pushes out the statement that rests on it.
def test_dispatches_and_statements_have_separate_limits(
    output: collections.abc.Callable[[], list[dict[str, object]]],
) -> None:
    for _ in range(outcome_log.DISPATCHES_PER_S + 1):
        outcome_log.may_record(dispatch=True)
    assert not outcome_log.may_record(dispatch=True)
    assert outcome_log.may_record(dispatch=False)


# Guards against a refusal that cannot be traced since its line was dropped.
def test_a_refusal_is_found_by_id_when_the_lines_of_failures_are_used_up(
    output: collections.abc.Callable[[], list[dict[str, object]]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(logs._state, "failures", logs.Budget(0))
    node = nodes.Node(builders.settings())
    node._log_decision(_decision(decisions.Rule.QUEUE_FULL, outcome_fact=True))
    node._log_decision(_decision(decisions.Rule.RUN, outcome_fact=False))
    outcome_log.flush()
    (line,) = output()
    content = json.dumps(line).encode() + b"\n"
    (found,) = explain.explain(explain.read([iter([content])]), "r1").lines  # type: ignore[list-item]
    assert (found.node, found.rule, found.upstream) == ("n1", "queue_full", "n2")
    assert found.text == decisions.description_of(decisions.Rule.QUEUE_FULL)
