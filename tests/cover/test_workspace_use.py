"""Usage of workspaces in metrics, the command line and log lines."""

import pathlib

import msgspec
import pytest
from click import testing

from gingerturn import errors, metrics_text
from gingerturn.cli import main
from gingerturn.internal.core import caps, decisions, effects, reducer
from gingerturn.internal.shell import node as nodes, probes
from tests.common import builders, keyed


def _page(*names: str, requests: int = 3, rate: float = 0.0) -> str:
    """Return the metrics of a node that served some workspaces."""
    node = nodes.Node(builders.settings())
    node.state = keyed.node_state(*(keyed.workspace(name, rate=rate) for name in names))
    for name in names:
        for _ in range(requests):
            event = keyed.arrived(node.next_number(), name, now=node.state.now)
            reducer.reduce(node.state, event)
    return probes.metrics(node).decode()


def test_metrics_tell_the_use_of_each_workspace() -> None:
    found = metrics_text.parse(_page("shop", "depot"), origin="a page")
    assert found.workspaces["shop"]["workspace_passed_total"] == 3.0
    assert found.workspaces["depot"]["workspace_refused_total"] == 0.0


def test_metrics_count_the_first_workspaces_and_all_others_together() -> None:
    names = [f"w{number}" for number in range(caps.MAX_COUNTED_WORKSPACES + 50)]
    found = metrics_text.parse(_page(*names, requests=1), origin="a page")
    assert len(found.workspaces) == caps.MAX_COUNTED_WORKSPACES + 1
    assert found.workspaces[caps.OTHER_WORKSPACES]["workspace_passed_total"] == 50.0


def test_a_workspace_of_any_name_can_be_read_back() -> None:
    name = 'a "b" \\ c'
    found = metrics_text.parse(_page(name), origin="a page")
    assert found.workspaces[name]["workspace_passed_total"] == 3.0


def test_the_command_sums_the_pages_of_several_nodes(tmp_path: pathlib.Path) -> None:
    sources: list[str] = []
    for number in range(2):
        page = tmp_path / f"page{number}"
        page.write_text(_page("shop"))
        sources += ["--metrics", str(page)]
    result = testing.CliRunner().invoke(main.cli, ["workspaces", *sources])
    assert result.exit_code == 0, result.output
    assert result.output.splitlines()[1].split() == ["shop", "6", "0", "-"]


def test_the_command_tells_refusals_that_may_be_below_a_cap(
    tmp_path: pathlib.Path,
) -> None:
    page = tmp_path / "page"
    unanswered = 'gingerturn_workspace_refused_unanswered_total{workspace="shop"} 4\n'
    page.write_text(_page("shop") + unanswered)
    result = testing.CliRunner().invoke(
        main.cli, ["workspaces", "--metrics", str(page)]
    )
    assert result.output.splitlines()[0].split()[-1] == "unanswered"
    assert result.output.splitlines()[1].split() == ["shop", "3", "0", "-", "4"]


def test_the_command_tells_how_calls_of_a_zone_ended(tmp_path: pathlib.Path) -> None:
    """Guards against a page of a node without the outcomes that the command reads."""
    node = nodes.Node(builders.settings())
    node.settings.node.zone = "a"
    refused = keyed.arrived(1, "shop")
    state = keyed.node_state(upstream=False)
    for line in builders.all_of(reducer.reduce(state, refused), effects.LogDecision):
        node._log_decision(line)
    page = tmp_path / "page"
    page.write_text(probes.metrics(node).decode())
    result = testing.CliRunner().invoke(main.cli, ["served", "--metrics", str(page)])
    assert result.exit_code == 0, result.output
    total = result.output.splitlines()[1].split()
    assert total == ["a", "(all)", "1", "0.000", "no_upstream", "1"]


def test_a_call_that_is_not_sent_again_counts_as_one_outcome() -> None:
    """Guards against calls that count twice: as not sent again, and as refused."""
    node = nodes.Node(builders.settings())
    refused = keyed.arrived(1, "shop")
    state = keyed.node_state(upstream=False)
    (line,) = builders.all_of(reducer.reduce(state, refused), effects.LogDecision)
    rationed = msgspec.structs.replace(
        line, rule=int(decisions.Rule.RETRY_RATIONED), status=0
    )
    node._log_decision(rationed)
    node._log_decision(line)
    assert list(node.counters.outcomes.values()) == [1]


def test_the_command_names_what_is_wrong() -> None:
    runner = testing.CliRunner()
    result = runner.invoke(main.cli, ["workspaces"])
    assert result.exit_code == 2
    assert "--metrics" in result.output
    result = runner.invoke(main.cli, ["workspaces", "--metrics", "/nowhere/page"])
    assert isinstance(result.exception, errors.InvalidArgument)
    assert "/nowhere/page" in str(result.exception)


def test_an_invalid_line_of_metrics_is_named() -> None:
    with pytest.raises(errors.InvalidArgument, match="page:1"):
        metrics_text.parse('gingerturn_x{workspace="a} 1\n', origin="page")


def test_the_line_of_a_decision_names_the_workspace_and_no_key() -> None:
    state = keyed.node_state(upstream=False)
    out = reducer.reduce(state, keyed.arrived(1, "shop"))
    line = builders.all_of(out, effects.LogDecision)[0]
    assert line.workspace == "shop"
    assert keyed.arrived(1, "shop").key_digest not in repr(out)
