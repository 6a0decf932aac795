"""The cause of a failed request, found in the log lines of several nodes."""

import io
import json
import pathlib

import click.testing
import pytest

from gingerturn import errors, explain
from gingerturn.cli import main as command


def _line(
    node: str, part: str, request: str, rule: str, *, status: int = 0, at: int = 0
) -> dict[str, object]:
    return {
        "time": f"2026-12-02T10:00:00.{at:03d}+00:00",
        "level": "WARNING",
        "node": node,
        "part": part,
        "request": request,
        "rule": rule,
        "status": status,
        "figures": {"queued": 3.0},
        "decision": f"{node}:{at:x}",
        "text": f"{rule} decided.",
    }


def _file(*lines: dict[str, object]) -> io.BytesIO:
    return io.BytesIO(b"".join(json.dumps(line).encode() + b"\n" for line in lines))


REFUSED = (
    _line("e", "entry", "r1", "redirected", at=2),
    _line("h1", "home", "r1", "tree_level", at=1),
    _line("h2", "home", "r1", "tree_level", at=3),
    _line("e", "entry", "r1", "tree_level", status=503, at=4),
)
CALL_FAILED = (
    _line("h1", "home", "r2.c1", "run", at=2),
    _line("h1", "entry", "r2.c1", "sent", status=200, at=3),
    _line("h3", "home", "r2.c2", "run", at=4),
    _line("h4", "home", "r2.c2.d1", "not_in_time", at=5),
    _line("h3", "entry", "r2.c2.d1", "not_in_time", status=503, at=6),
    _line("h1", "entry", "r2.c2", "sent", status=500, at=7),
    _line("e", "entry", "r2", "sent", status=500, at=8),
)
OUTCOME_UNKNOWN = (
    _line("h1", "home", "r3", "outcome_unknown", at=1),
    _line("e", "entry", "r3", "retry_no_budget", at=2),
    _line("e", "entry", "r3", "outcome_unknown", status=502, at=3),
)


def _explained(wanted: str) -> explain.Explanation:
    files = [_file(*lines) for lines in (REFUSED, CALL_FAILED, OUTCOME_UNKNOWN)]
    return explain.explain(explain.read(files), wanted)


@pytest.mark.parametrize(
    ("wanted", "node", "rule"),
    [
        ("r1", "h2", "tree_level"),
        ("r2", "h4", "not_in_time"),
        ("r3", "h1", "outcome_unknown"),
    ],
)
def test_the_cause_is_the_line_of_the_node_that_decided(
    wanted: str, node: str, rule: str
) -> None:
    cause = _explained(wanted).cause
    assert cause is not None
    assert (cause.node, cause.rule) == (node, rule)


def test_a_decision_that_the_caller_was_told_leads_to_its_request() -> None:
    assert _explained("h4:5").request == "r2.c2.d1"


def test_an_id_that_only_begins_alike_is_another_request() -> None:
    lines = explain.read([_file(*REFUSED, _line("e", "entry", "r11", "level", at=9))])
    assert {line.request for line in explain.explain(lines, "r1").lines} == {"r1"}


def test_a_request_that_was_answered_has_an_end_and_no_cause() -> None:
    story = _explained("r2.c1")
    assert story.end is not None and story.end.status == 200
    assert story.cause is None


def test_other_output_between_lines_is_skipped() -> None:
    file = io.BytesIO(
        b"Traceback\n{}\n" + _file(*OUTCOME_UNKNOWN).getvalue() + b'{"time":"20'
    )
    assert len(explain.read([file])) == len(OUTCOME_UNKNOWN)


def test_a_prefix_added_by_a_log_collector_is_skipped() -> None:
    file = io.BytesIO(b"  12.345 s  n1 | " + _file(*OUTCOME_UNKNOWN[:1]).getvalue())
    assert len(explain.read([file])) == 1


def test_an_id_that_no_line_names_is_an_error_that_says_so() -> None:
    with pytest.raises(errors.InvalidArgument, match="'r9' is in no line"):
        _explained("r9")


def test_the_command_prints_the_way_and_the_cause(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "node.log"
    path.write_bytes(_file(*CALL_FAILED).getvalue())
    runner = click.testing.CliRunner()
    result = runner.invoke(command.cli, ["why", "r2", "--log", str(path)])
    assert result.exit_code == 0, result.output
    last = result.output.splitlines()[-1]
    assert last == "Cause: not_in_time decided. At h4, for r2.c2.d1."
