"""Levels of a service with about a hundred upstreams, few of which report to each entry
node.

Guards against levels that are kept by upstream: an entry node then admits requests that
are shed after their work, since most of its upstreams have not reported recently.
"""

import pytest

from benchmarks import deployments, sites
from gingerturn.internal import ids
from gingerturn.internal.core import (
    admission,
    decisions,
    effects,
    level_control,
    levels,
    messages,
    ranks,
    reducer,
    routing,
    slot_costs,
    state as states,
    upstreams,
)
from tests.common import builders, routed

PLANS = ids.ServiceName("plans")
BOTTLENECK = ids.ServiceName("provisioning")
WARMUP_MS = 4_000.0
"""Time after which requests admitted before the overload was detected have ended."""

HIGH = ids.Rank(ranks.HIGHEST)


def _entry(upstreams: int) -> states.State:
    state = routed.node_state()
    builders.add_members(
        state, *(builders.member(f"u{n}", "plans") for n in range(upstreams))
    )
    return state


def _receive(state: states.State, number: int, report: messages.LoadReport) -> None:
    routing.on_load_report(state, ids.NodeId(f"u{number}"), "lookup", report)
    slot_costs.on_report(state.costs, "lookup", report)


def _refused(state: states.State, call: int) -> bool:
    out = reducer.reduce(state, routed.arrived(call, now=state.now))
    return bool(builders.all_of(out, effects.RefuseCall))


@pytest.mark.parametrize("upstreams", [3, 20, 95])
def test_reports_of_a_few_upstreams_decide_for_the_service(upstreams: int) -> None:
    state = _entry(upstreams)
    for number in range(3):
        state.now += 400.0
        _receive(state, number, builders.report(tree_level=HIGH))
    assert _refused(state, 1)
    # Roots are refused by its own level too, whichever upstream is drawn.
    state = _entry(upstreams)
    for number in range(3):
        _receive(state, number, builders.report(level=HIGH))
    assert all(_refused(state, call) for call in range(2, 40))


def test_an_upstream_without_recent_reports_is_judged_by_the_others() -> None:
    state = _entry(2)
    _receive(state, 0, builders.report(level=HIGH))
    _receive(state, 1, builders.report())
    state.now += levels.FRESH_MS + 1.0
    _receive(state, 0, builders.report(level=HIGH))
    assert _refused(state, 1)


def test_one_upstream_that_sheds_all_does_not_lift_the_level_of_the_service() -> None:
    state = _entry(10)
    _receive(state, 0, builders.report(level=HIGH))
    for number in range(1, 10):
        _receive(state, number, builders.report(level=ids.Rank(1_000)))
    assert levels.own_level(state, PLANS).level == 1_000


def test_the_median_follows_the_latest_reports() -> None:
    state = _entry(95)
    for number in range(95):
        _receive(state, number, builders.report(tree_level=ids.Rank(1_000)))
    state.now += levels.FRESH_MS + 1.0
    _receive(state, 7, builders.report(tree_level=ids.Rank(400)))
    known = levels.expected_level(state, PLANS, "lookup")
    assert (known.level, known.reported_at) == (400, state.now)


def _bottleneck_report(level: int, *, age_ms: float) -> messages.LoadReport:
    return messages.LoadReport(
        level=ranks.LOWEST,
        tree_level=ranks.LOWEST,
        load=1,
        limit=10,
        bottleneck=BOTTLENECK,
        bottleneck_slot_ms=56.0,
        bottleneck_level=ids.Rank(level),
        bottleneck_age_ms=age_ms,
    )


def test_the_latest_bottleneck_level_decides_on_roots() -> None:
    state = _entry(95)
    _receive(state, 0, _bottleneck_report(HIGH, age_ms=20.0))
    assert _refused(state, 1)
    # An older level that arrives later changes nothing.
    _receive(state, 1, _bottleneck_report(0, age_ms=300.0))
    assert _refused(state, 2)
    _receive(state, 2, _bottleneck_report(0, age_ms=10.0))
    assert not _refused(state, 3)


def test_a_node_relays_the_bottleneck_level_with_its_age() -> None:
    state = routed.node_state(routed.route(), service="porting")
    builders.add_members(state, builders.member("u0", "plans"))
    state.costs.reported["lookup"] = states.TreeCost(BOTTLENECK, 56.0)
    state.costs.fanouts["port"] = states.Fanout(
        1.0, {(PLANS, ids.KindName("lookup")): 1.0}
    )
    _receive(state, 0, _bottleneck_report(70_000, age_ms=50.0))
    state.now += 100.0
    report = admission.load_report(state, "port")
    assert report.bottleneck == BOTTLENECK
    assert (report.bottleneck_level, report.bottleneck_age_ms) == (70_000, 150.0)


def test_a_refusal_records_the_age_of_the_level_that_decided_it() -> None:
    state = _entry(95)
    _receive(state, 0, _bottleneck_report(HIGH, age_ms=40.0))
    state.now += 60.0
    out = reducer.reduce(state, routed.arrived(1, now=state.now))
    line = builders.only(out, effects.LogDecision)
    level, age_ms, _ = line.figures
    assert (level, age_ms) == (HIGH, 100.0)
    named = decisions.named_figures(decisions.Rule(line.rule), line.figures)
    assert named["age in ms of that word"] == 100.0


def test_ages_of_deciding_levels_are_counted() -> None:
    state = _entry(95)
    _refused(state, 1)
    _receive(state, 0, _bottleneck_report(0, age_ms=70.0))
    _refused(state, 2)
    assert state.level_age_counts == [0, 1, 0, 0, 0, 0, 1]


def test_a_bottleneck_level_decays() -> None:
    state = _entry(95)
    _receive(state, 0, _bottleneck_report(HIGH, age_ms=0.0))
    state.now += levels.FRESH_MS + 3_000.0
    assert not _refused(state, 1)


def test_health_is_looked_up_after_a_change_and_not_for_each_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    state = _entry(400)
    member = state.membership.members["u7"]
    suspect = builders.gossip(
        members=(
            messages.Member(
                **{
                    name: getattr(member, name)
                    for name in member.__struct_fields__
                    if name != "state"
                },
                state=messages.MemberState.SUSPECT,
            ),
        )
    )
    reducer.reduce(state, builders.datagram(ids.NodeId("u1"), suspect, now=state.now))
    checked: list[str] = []
    original = upstreams.is_unresponsive

    def is_unresponsive(state: states.State, node: ids.NodeId) -> bool:
        checked.append(node)
        return original(state, node)

    monkeypatch.setattr(upstreams, "is_unresponsive", is_unresponsive)
    for _ in range(50):
        assert "u7" not in upstreams.candidates(state, PLANS)
    assert 0 < len(checked) <= 2 * 400
    _receive(state, 7, builders.report())
    assert "u7" in upstreams.candidates(state, PLANS)


def test_the_first_step_of_a_level_lies_among_the_ranks_that_arrive() -> None:
    state = routed.node_state(service="provisioning")
    window = state.backend.windows[-1]
    low = 5 << ranks.CLASS_SHIFT
    window.ranks = [ids.Rank(low + n) for n in range(100)]
    window.dispatched = 60
    level = level_control._raised(state.backend, level_control.ROUTED_OVERAGE)
    assert low < level < low + 40


def test_shedding_reaches_the_roots_of_many_entries() -> None:
    def failed_after_work(nodes: int) -> float:
        run = sites.Run(deployments.large(nodes), seed=1, seconds=7.0)
        run.world.at(500.0, lambda: setattr(run, "demand", 1.95))
        answers: list[str] = []
        on_end = run.world.on_root_end

        def count(root: object) -> None:
            if run.world.now - began > WARMUP_MS:
                answers.append(root.answer)  # type: ignore[attr-defined]
            on_end(root)  # type: ignore[arg-type]

        began = run.world.now
        run.world.on_root_end = count
        run.play()
        return answers.count("status-500") / len(answers)

    few, many = failed_after_work(10), failed_after_work(100)
    assert many < few + 0.03
    assert many < 0.05
