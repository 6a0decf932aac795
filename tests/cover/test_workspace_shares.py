"""Shares of workspaces at a service that sheds.

Guards against a workspace that sends several times its usual load and so has the
requests of all others of its class shed with its own.
"""

import pathlib

import hypothesis
import msgspec
import pytest
from click import testing
from hypothesis import strategies as st

from benchmarks import sites, workspace_shares as bench
from gingerturn.cli import main
from gingerturn.internal import ids
from gingerturn.internal.core import (
    admission,
    arrivals,
    decisions,
    effects,
    events,
    level_control,
    messages,
    ranks,
    reducer,
    slot_costs,
    state as states,
    workspace_shares,
)
from gingerturn.internal.shell import node as nodes, probes
from tests.common import builders, keyed, routed

BOTTLENECK = ids.ServiceName("reports")
SHEDDING = ids.Rank(ranks.DEEP_BIT + ranks.BAND // 2)
"""Level at which half of the roots of the lowest class are shed."""

_NAMES = st.sampled_from([f"w{number}" for number in range(12)])
_MS = st.floats(min_value=0.0, max_value=1e6)


# Max-min: the shares of a capacity that is short.


@hypothesis.given(
    st.dictionaries(_NAMES, st.tuples(_MS, st.floats(0.01, 10.0)), min_size=1),
    st.floats(min_value=1.0, max_value=1e6),
)
def test_fair_shares_use_the_capacity_and_starve_nobody(
    parts: dict[str, tuple[float, float]], capacity: float
) -> None:
    demands = {name: demand for name, (demand, _) in parts.items()}
    weights = {name: weight for name, (_, weight) in parts.items()}
    shares = workspace_shares.max_min(demands, weights, capacity)
    used = min(capacity, sum(demands.values()))
    assert sum(shares.values()) == pytest.approx(used, rel=1e-6, abs=1e-6)
    total = sum(weights.values())
    for name, share in shares.items():
        assert share <= demands[name]
        part = capacity * weights[name] / total
        assert share >= min(demands[name], part) * (1.0 - 1e-9) - 1e-9
    # Of two that get less than they demand, neither gets more for its weight.
    short = [shares[n] / weights[n] for n in shares if shares[n] < demands[n] * 0.999]
    assert not short or max(short) == pytest.approx(min(short), rel=1e-6)


def test_what_a_workspace_does_not_use_goes_to_the_others() -> None:
    weights = {"a": 0.5, "b": 0.25, "c": 0.25}
    demands = {"a": 10.0, "b": 90.0, "c": 90.0}
    shares = workspace_shares.max_min(demands, weights, 100.0)
    assert shares == {"a": 10.0, "b": 45.0, "c": 45.0}


# The home node.


def _home(*names: str) -> states.State:
    """Return a home node of the bottleneck service."""
    state = keyed.node_state(*(keyed.workspace(name) for name in names))
    reducer.reduce(state, builders.announced(BOTTLENECK, slots=1_000))
    state.backend.times["lookup"] = states.ServiceTime(50.0, state.now)
    return state


def _windows(
    state: states.State, count: int, *, level: int = SHEDDING, **calls: int
) -> None:
    """Let calls of workspaces be dispatched in each of some control windows."""
    for _ in range(count):
        for name, number in calls.items():
            for _ in range(number):
                workspace_shares.record_slot_time(
                    state, ids.WorkspaceName(name), "lookup"
                )
        state.backend.level = ids.Rank(level)
        workspace_shares.control(state)


QUIET = {f"w{number}": 1 for number in range(20)}
"""Workspaces, and calls that each sends in a window."""


def test_a_workspace_above_its_usual_share_gets_a_factor_within_two_seconds() -> None:
    state = _home()
    _windows(state, 60, level=0, large=20, loud=2, **QUIET)
    assert not state.workspace_shares.reported
    _windows(state, 20, large=20, loud=16, **QUIET)
    factors = workspace_shares.own_factors(state)
    assert list(factors) == ["loud"]
    assert factors["loud"] > 4.0


def test_a_large_workspace_at_its_usual_share_keeps_its_order() -> None:
    state = _home()
    _windows(state, 60, level=0, large=40, **QUIET)
    _windows(state, 60, large=40, **QUIET)
    assert not state.workspace_shares.reported


def test_a_workspace_up_to_an_equal_part_never_gets_a_factor() -> None:
    state = _home()
    _windows(state, 60, level=0, large=40, small=1, **QUIET)
    _windows(state, 60, large=40, small=2, **QUIET)
    assert "small" not in workspace_shares.own_factors(state)


def test_after_a_start_in_overload_factors_are_low() -> None:
    # Usual shares are not known, and the large one must not be shed for its size.
    state = _home()
    _windows(state, 30, large=40, **QUIET)
    factors = workspace_shares.own_factors(state)
    assert factors == {"large": workspace_shares.MAX_UNLEARNED_FACTOR}


def test_without_shedding_nothing_is_reported() -> None:
    state = _home()
    _windows(state, 60, level=0, large=20, loud=2, **QUIET)
    _windows(state, 20, large=20, loud=20, **QUIET)
    assert workspace_shares.report_of(state, BOTTLENECK)
    _windows(state, 1, level=0, large=20, loud=20, **QUIET)
    assert not workspace_shares.report_of(state, BOTTLENECK)


def test_a_factor_falls_to_one_once_the_load_is_usual_again() -> None:
    # Callers of a workspace that behaves again must not be refused for minutes.
    state = _home()
    _windows(state, 60, level=0, large=20, loud=2, **QUIET)
    _windows(state, 30, large=20, loud=20, **QUIET)
    assert state.workspace_shares.reported
    _windows(state, 120, large=20, loud=2, **QUIET)
    assert not state.workspace_shares.reported


def test_at_most_four_factors_are_reported() -> None:
    state = _home()
    quiet = {f"w{number}": 20 for number in range(10)}
    loud = {f"l{number}": 1 for number in range(6)}
    _windows(state, 60, level=0, **quiet, **loud)
    _windows(state, 20, **quiet, **dict.fromkeys(loud, 40))
    assert len(state.workspace_shares.reported) == workspace_shares.MAX_REPORTED


def test_the_counted_workspaces_are_bounded_and_a_loud_newcomer_is_among_them() -> None:
    state = _home()
    for number in range(2_000):
        name = ids.WorkspaceName(f"w{number}")
        workspace_shares.record_slot_time(state, name, "lookup")
    uses = state.workspace_shares.uses
    assert len(uses) == workspace_shares.MAX_COUNTED
    workspace_shares.control(state)
    assert len(uses) == workspace_shares.KEPT
    _windows(state, 5, loud=30)
    assert "loud" in uses


def test_the_counts_end_with_the_workspaces_of_the_route_table() -> None:
    state = _home()
    _windows(state, 60, level=0, large=20, loud=2, **QUIET)
    _windows(state, 20, large=20, loud=20, **QUIET)
    assert state.workspace_shares.reported
    table = msgspec.structs.replace(keyed.table(version=2), workspaces=None)
    reducer.reduce(state, events.RoutesReceived(now=state.now, table=table))
    workspace_shares.control(state)
    assert state.workspace_shares == states.WorkspaceShares()


def test_dispatched_calls_are_counted_for_their_workspace() -> None:
    state = _home()
    terms = builders.call_metadata(service=BOTTLENECK, kind="lookup")
    terms = msgspec.structs.replace(terms, workspace=ids.WorkspaceName("shop"))
    reducer.reduce(state, builders.opened(1, terms))
    assert state.workspace_shares.uses["shop"].recent_ms == 50.0


# Reports.


def _report(
    *factors: tuple[str, float], age_ms: float = 0.0, level: int = 0
) -> messages.LoadReport:
    return messages.LoadReport(
        level=ranks.LOWEST,
        tree_level=ranks.LOWEST,
        load=1,
        limit=10,
        bottleneck=BOTTLENECK,
        bottleneck_slot_ms=50.0,
        bottleneck_level=ids.Rank(level),
        bottleneck_age_ms=age_ms,
        bottleneck_factors=tuple(
            (ids.WorkspaceName(name), round(factor * 1_000.0))
            for name, factor in factors
        ),
    )


def _entry() -> states.State:
    state = keyed.node_state(keyed.workspace("shop"), keyed.workspace("loud"))
    builders.add_members(state, builders.member("r1", BOTTLENECK))
    return state


def _receive(
    state: states.State, report: messages.LoadReport, *, service: str = "plans"
) -> None:
    slot_costs.on_report(state.costs, "lookup", report)
    workspace_shares.on_report(state, ids.ServiceName(service), report)


def _factor(state: states.State, workspace: str) -> float:
    return workspace_shares.factor_of(
        state, "lookup", ids.ServiceName("plans"), workspace
    )


def test_a_factor_is_used_for_a_second_after_the_last_report() -> None:
    # A home node that was killed, and reports that were lost, leave the former factor
    # for as long as the level that was reported with it.
    state = _entry()
    _receive(state, _report(("loud", 4.0), age_ms=100.0))
    assert _factor(state, "loud") == 4.0
    assert _factor(state, "shop") == 1.0
    state.now += 900.0
    assert _factor(state, "loud") == 4.0
    state.now += 1.0
    assert _factor(state, "loud") == 1.0


def test_an_older_report_that_arrives_later_changes_nothing() -> None:
    state = _entry()
    _receive(state, _report(("loud", 4.0), age_ms=20.0))
    _receive(state, _report(age_ms=300.0))
    assert _factor(state, "loud") == 4.0


def test_the_factors_of_the_remaining_home_nodes_count_after_a_loss() -> None:
    state = _entry()
    _receive(state, _report(("loud", 8.0)), service=BOTTLENECK)
    for _ in range(20):
        state.now += 100.0
        _receive(state, _report(("loud", 2.0)), service=BOTTLENECK)
    assert _factor(state, "loud") == pytest.approx(2.0, abs=0.05)


def test_reports_without_factors_end_them() -> None:
    state = _entry()
    _receive(state, _report(("loud", 8.0)))
    for _ in range(30):
        state.now += 100.0
        _receive(state, _report())
    assert _factor(state, "loud") == 1.0
    assert not state.reported_factors[BOTTLENECK].factors


def test_a_node_relays_the_factors_of_the_bottleneck_service() -> None:
    state = _entry()
    state.costs.reported["below"] = states.TreeCost(BOTTLENECK, 50.0)
    state.costs.fanouts["top"] = states.Fanout(
        1.0, {(ids.ServiceName("plans"), ids.KindName("below")): 1.0}
    )
    _receive(state, _report(("loud", 4.0)))
    report = admission.load_report(state, "top")
    assert report.bottleneck_factors == (("loud", 4_000),)
    state.now += workspace_shares.FRESH_MS + 1.0
    assert not admission.load_report(state, "top").bottleneck_factors


def test_false_factors_are_bounded() -> None:
    state = _entry()
    names = [(f"w{number}", 1e9) for number in range(100)]
    _receive(state, _report(("loud", -5.0), *names))
    known = state.reported_factors[BOTTLENECK].factors
    assert len(known) < workspace_shares.MAX_REPORTED
    assert set(known.values()) == {workspace_shares.MAX_FACTOR}


# The entry node.


def _sent(state: states.State, key: str, *, first: int = 1) -> list[effects.Effect]:
    out = []
    for number in range(first, first + 2_000):
        out += reducer.reduce(state, keyed.arrived(number, key, now=state.now))
    return out


def _metadata(out: list[effects.Effect]) -> list[messages.CallMetadata]:
    return [sent.metadata for sent in builders.all_of(out, effects.OpenAttempt)]


def test_a_factor_lowers_the_order_of_roots_only_inside_their_class() -> None:
    state = _entry()
    usual = _metadata(_sent(state, "loud"))
    _receive(state, _report(("loud", 4.0)))
    lowered = _metadata(_sent(state, "loud", first=10_000))
    other = _metadata(_sent(state, "shop", first=20_000))
    classes = {metadata.importance for metadata in usual}
    assert {metadata.importance for metadata in lowered} == classes
    top = max(classes)

    def kept(sent: list[messages.CallMetadata]) -> float:
        own = [metadata for metadata in sent if metadata.importance < top]
        return sum(metadata.root >= 1 << 63 for metadata in own) / len(own)

    # Of evenly spread hashes, 1 - 0.5 ** (1 / 4) are above one half.
    assert kept(lowered) == pytest.approx(0.16, abs=0.04)
    assert kept(other) == pytest.approx(kept(usual), abs=0.05)
    assert {metadata.workspace for metadata in lowered} == {"loud"}


def test_the_protected_share_of_a_workspace_is_divided_by_its_factor() -> None:
    state = _entry()
    _receive(state, _report(("loud", 4.0)))
    sent = _metadata(_sent(state, "loud"))
    top = max(metadata.importance for metadata in sent)
    protected = [metadata for metadata in sent if metadata.importance == top]
    expected = arrivals.PROTECTED_SHARE / 4.0
    assert len(protected) / len(sent) == pytest.approx(expected, abs=0.015)


def test_a_refusal_of_a_root_with_a_factor_tells_the_factor() -> None:
    state = _entry()
    report = _report(("loud", 4.0), level=ranks.HIGHEST)
    builders.add_members(state, builders.member("r1", BOTTLENECK))
    answer = reducer.reduce(state, keyed.arrived(1, "loud", now=state.now))
    attempt = builders.only(answer, effects.OpenAttempt).attempt
    reducer.reduce(state, builders.answered(attempt, load_report=report, now=state.now))
    found = {}
    for number, key in enumerate(("loud", "shop"), 2):
        out = reducer.reduce(state, keyed.arrived(number, key, now=state.now))
        line = builders.only(out, effects.LogDecision)
        found[key] = decisions.named_figures(decisions.Rule(line.rule), line.figures)
        stored = state.decisions.find(line.decision)
        assert stored is not None
        named = stored.figures.get("share factor of the workspace")
        assert named == found[key].get("share factor of the workspace")
    assert found["loud"]["share factor of the workspace"] == 4.0
    assert "share factor of the workspace" not in found["shop"]
    usage = state.caps.usage
    assert usage["loud"].shed_for_share == 1
    assert usage["shop"].shed_for_share == 0


def test_the_command_tells_who_was_shed_for_whose_share(
    tmp_path: pathlib.Path,
) -> None:
    node = nodes.Node(builders.settings())
    node.state = _home("shop")
    node.state.caps.usage["loud"] = states.WorkspaceUsage(admitted=9, shed_for_share=5)
    node.state.workspace_shares.reported = ((ids.WorkspaceName("loud"), 2_500),)
    page = tmp_path / "page"
    page.write_bytes(probes.metrics(node))
    args = ["workspaces", "--metrics", str(page), "--metrics", str(page)]
    lines = testing.CliRunner().invoke(main.cli, args).output.splitlines()
    assert lines[0].endswith("shed for share  factor")
    assert lines[1].split() == ["loud", "18", "0", "-", "10", "2.5"]


# The overload, and failures during it.

NOISY = "w9"
"""A workspace with one in 50 of the usual requests."""

BURST_MS, NOISE_MS, FAULT_MS, END_MS = 3_500.0, 4_500.0, 7_500.0, 10_500.0


def _noisy_run(*, seed: int = 1) -> sites.Run:
    """Return a run in which a workspace is noisy at an overloaded service."""
    run = sites.Run(bench.FLAT, seed=seed, seconds=END_MS / 1_000.0)
    run.world.at(BURST_MS, lambda: setattr(run, "demand", bench.OVERLOAD_DEMAND))
    run.world.at(
        NOISE_MS, lambda: run.add_noise(NOISY, bench.NOISE_FACTOR, until_ms=END_MS)
    )
    return run


def _factors_after(run: sites.Run, *delays_ms: float) -> list[dict[str, float]]:
    """Return the factors that an entry node uses at some times after the fault."""
    found: list[dict[str, float]] = []

    def look() -> None:
        state = run.world.nodes["front-1"].state
        known = state.reported_factors.get(BOTTLENECK)
        is_fresh = (
            known is not None
            and state.now - known.reported_at <= workspace_shares.FRESH_MS
        )
        found.append(dict(known.factors) if known is not None and is_fresh else {})

    for delay in delays_ms:
        run.world.at(FAULT_MS + delay, look)
    run.play()
    return found


def test_a_noisy_workspace_costs_the_others_little_of_a_shedding_service() -> None:
    # Callers of the others accept 0.02 less; the rest is chance: the standard error of
    # the share served of 4,300 requests is 0.0075.
    calm = bench.played(bench.Case("reported", 1, "", site="flat"))
    noisy = bench.played(bench.Case("reported", 1, NOISY, site="flat"))
    assert calm.share() < 0.8
    assert noisy.share(without=NOISY) >= calm.share(without=NOISY) - 0.03
    assert noisy.least(without=NOISY) >= noisy.share() / 2
    # Small workspaces hold their part, whatever the large ones send.
    assert noisy.small(without=NOISY) >= noisy.share(without=NOISY) - 0.05
    # In absolute terms the noisy one is served as much as when it sends its usual load.
    assert noisy.served[NOISY] >= 0.8 * calm.served[NOISY]


def test_without_factors_a_noisy_workspace_costs_the_others_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a model whose noise would hurt nobody.
    monkeypatch.setattr(workspace_shares, "factor_of", lambda *args: 1.0)
    calm = bench.played(bench.Case("none", 1, "", site="flat"))
    noisy = bench.played(bench.Case("none", 1, NOISY, site="flat"))
    assert noisy.share(without=NOISY) < calm.share(without=NOISY) - 0.05


def test_factors_stay_in_force_when_a_home_node_is_killed() -> None:
    run = _noisy_run()
    run.world.at(FAULT_MS, lambda: run.world.kill("reports-1"))
    found = _factors_after(run, 100.0, 500.0, 1_000.0, 2_000.0)
    assert all(factors.get(NOISY, 1.0) > 2.0 for factors in found), found


def test_factors_stay_in_force_when_the_reports_of_a_home_node_are_lost() -> None:
    run = _noisy_run()
    pairs = {("reports-1", "front-1"), ("front-1", "reports-1")}
    run.world.at(FAULT_MS, lambda: run.world.cut.update(pairs))
    found = _factors_after(run, 100.0, 500.0, 1_000.0, 2_000.0)
    assert all(factors.get(NOISY, 1.0) > 2.0 for factors in found), found


def test_after_a_restart_of_all_nodes_no_large_workspace_is_starved() -> None:
    run = _noisy_run()

    def restart() -> None:
        names = list(run.world.nodes)
        for name in names:
            run.world.kill(name)
        for name in names:
            run.world.restart(name)

    run.world.at(FAULT_MS, restart)
    first, *later = _factors_after(run, 10.0, 1_500.0, 2_900.0)
    assert first == {}
    for factors in later:
        highest = max(factors.values(), default=1.0)
        assert highest <= workspace_shares.MAX_UNLEARNED_FACTOR
    assert later[-1]


def test_factors_do_not_depend_on_the_log() -> None:
    run = _noisy_run()
    run.world.at(BURST_MS, lambda: setattr(run.world.log, "down", True))
    (factors,) = _factors_after(run, 500.0)
    assert factors.get(NOISY, 1.0) > 2.0


# Nothing changes where no workspace has a factor.


def test_without_workspaces_nothing_is_counted_or_reported() -> None:
    state = routed.node_state(service=BOTTLENECK, slots=50)
    for number in range(50):
        reducer.reduce(state, builders.opened(number, builders.call_metadata()))
    state.backend.level = SHEDDING
    level_control.control(state, state.now, [])
    assert not state.workspace_shares.uses
    assert admission.load_report(state, "lookup").bottleneck_factors == ()


def test_unused_fields_add_three_bytes_to_a_report() -> None:
    former = messages.LoadReport(ranks.LOWEST, ranks.LOWEST, 1, 10)
    content = msgspec.msgpack.encode(former)
    factors, pace = msgspec.msgpack.encode(()), msgspec.msgpack.encode(0)
    assert content[-3:] == factors + pace + pace
    decoded = msgspec.msgpack.decode(
        bytes([content[0] - 3]) + content[1:-3], type=messages.LoadReport
    )
    assert decoded == former
