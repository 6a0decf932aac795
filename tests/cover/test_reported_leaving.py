"""Backend servers that report in their answers that they are leaving."""

import msgspec
import pytest

from benchmarks import deployments, sites
from gingerturn.internal import ids
from gingerturn.internal.core import (
    calls,
    decisions,
    effects,
    events,
    messages,
    reducer,
    state as states,
    upstreams,
)
from gingerturn_fakes import world
from tests.common import builders, reports, routed

PLANS = ids.ServiceName("plans")


def _run(*, gossip: bool = False) -> tuple[sites.Run, reports.Reports]:
    """Return a run in which a backend server reports from 2 s on that it leaves."""
    run = sites.Run(deployments.BROLGA, seed=1, seconds=9.0)
    run.world.gossip_on = gossip
    observed = reports.Reports(run.world)
    run.world.at(2_000.0, lambda: observed.leave("plans-4"))
    return run, observed


def _late(observed: reports.Reports) -> list[reports.Arrival]:
    """Return the calls that arrived 0.5 s after the first report or later."""
    since = world.START + 2_500.0
    return [a for a in observed.arrivals["plans-4/0"] if a.at > since]


# Guards against a backend server that leaves without a heartbeat and still gets calls.
@pytest.mark.parametrize("gossip", [False, True])
def test_a_backend_server_that_reports_leaving_gets_no_new_calls(gossip: bool) -> None:
    run, observed = _run(gossip=gossip)
    result = run.play()
    assert observed.arrivals["plans-4/0"]
    assert not _late(observed)
    assert observed.violations() == []
    assert result.tallies["plan-lookup"].share > 0.99


# Guards against a node that forgets at its restart that its backend server is leaving.
def test_it_holds_across_a_restart_of_the_node_beside_it() -> None:
    run, observed = _run(gossip=True)
    run.world.at(4_000.0, lambda: run.world.kill("plans-4"))
    run.world.at(4_000.0, lambda: observed.excuse("plans-4"))
    run.world.at(4_500.0, lambda: run.world.restart("plans-4"))
    run.play()
    assert observed.violations() == []


def test_it_holds_where_a_network_partition_hides_the_node_from_others() -> None:
    run, observed = _run(gossip=True)
    others = [name for name in run.world.nodes if name != "plans-4"]
    pairs = {("plans-4", name) for name in others}
    pairs |= {(name, "plans-4") for name in others}
    run.world.at(2_100.0, lambda: run.world.cut.update(pairs))
    run.world.at(6_000.0, lambda: run.world.cut.difference_update(pairs))
    run.play()
    assert not _late(observed)
    assert observed.violations() == []


def test_an_answer_that_reports_leaving_no_more_changes_nothing() -> None:
    state = _leaving_node()
    reducer.reduce(state, _reported(2, leaving=False))
    assert _rule(state, 5) is decisions.Rule.LEAVING


def test_a_late_announcement_of_the_instance_changes_nothing() -> None:
    state = _leaving_node()
    reducer.reduce(state, routed.announced(sequence=9))
    assert _rule(state, 5) is decisions.Rule.LEAVING


def test_a_new_instance_at_the_address_takes_calls() -> None:
    state = _leaving_node()
    reducer.reduce(state, routed.announced(instance="i-2"))
    out = reducer.reduce(state, builders.opened(5))
    assert builders.only(out, effects.DispatchCall).instance == "i-2"


def test_queued_calls_are_refused_and_the_members_are_notified() -> None:
    state = routed.node_state(service="plans", slots=1)
    builders.add_members(state, builders.member("n2", "porting"))
    state.now += 1_000.0
    reducer.reduce(state, builders.opened(1, now=state.now))
    reducer.reduce(state, builders.opened(2, now=state.now))
    out = reducer.reduce(state, _reported(1, leaving=True, now=state.now))
    refusal = builders.only(out, effects.SendRefusal)
    assert (refusal.hosted, refusal.refusal.outcome) == (2, messages.Outcome.NOT_RUN)
    assert builders.all_of(out, effects.SendGossip)
    me = state.membership.self_member
    assert me is not None and not me.service


def test_the_report_of_a_former_instance_withdraws_nothing() -> None:
    state = routed.node_state(service="plans")
    reducer.reduce(state, builders.opened(1))
    reducer.reduce(state, routed.announced(instance="i-2"))
    reducer.reduce(state, _reported(1, leaving=True))
    out = reducer.reduce(state, builders.opened(5))
    assert builders.only(out, effects.DispatchCall).instance == "i-2"


def test_a_restarted_home_node_that_is_told_ignores_later_announcements() -> None:
    state = routed.node_state(service="plans")
    status = messages.BackendStatus(instance="i-1", leaving=True)
    assert _rule(state, 1, status) is decisions.Rule.LEAVING
    reducer.reduce(state, routed.announced(sequence=9))
    assert _rule(state, 2) is decisions.Rule.LEAVING


# Guards against a report of an earlier start that binds a later one of the same id.
def test_what_is_known_of_an_earlier_start_does_not_bind_a_later_one() -> None:
    state = routed.node_state()
    for started_ms in (5, 9):
        announced = msgspec.structs.replace(
            routed.announced(sequence=1), started_ms=started_ms
        )
        reducer.reduce(state, announced)
    status = messages.BackendStatus(
        instance="i-1", rate_limit=0.0, leaving=True, started_ms=5
    )
    for hosted in (1, 2):
        metadata = builders.call_metadata(status=status)
        out = reducer.reduce(state, builders.opened(hosted, metadata))
        assert builders.all_of(out, effects.DispatchCall)


def test_a_home_node_is_told_before_its_backend_server_is_announced() -> None:
    state = routed.node_state()
    status = messages.BackendStatus(instance="i-1", leaving=True)
    assert _rule(state, 1, status) is decisions.Rule.NO_BACKEND
    reducer.reduce(state, routed.announced())
    assert _rule(state, 2) is decisions.Rule.NO_BACKEND


# Guards against an entry node that acts on leaving in refusals only.
def test_an_entry_node_avoids_an_upstream_whose_answer_reports_leaving() -> None:
    state = routed.node_state()
    builders.add_members(
        state, builders.member("n2", "plans"), builders.member("n3", "plans")
    )
    sent = routed.sent_to(reducer.reduce(state, routed.arrived(1)))
    report = messages.LoadReport(
        level=ids.Rank(0), tree_level=ids.Rank(0), load=0, limit=4, leaving=True
    )
    reducer.reduce(state, builders.answered(sent.attempt, load_report=report))
    assert sent.node not in upstreams.candidates(state, PLANS)
    state.now += calls.LEAVING_EJECT_MS
    assert sent.node in upstreams.candidates(state, PLANS)


def _leaving_node() -> states.State:
    state = routed.node_state(service="plans")
    reducer.reduce(state, builders.opened(1))
    reducer.reduce(state, builders.opened(2))
    reducer.reduce(state, _reported(1, leaving=True))
    return state


def _reported(
    hosted: int, *, leaving: bool, now: float = builders.START
) -> events.BackendReported:
    return events.BackendReported(now=now, hosted=ids.HostedId(hosted), leaving=leaving)


def _rule(
    state: states.State, hosted: int, status: messages.BackendStatus | None = None
) -> decisions.Rule:
    """Return the rule by which a call is refused."""
    metadata = builders.call_metadata(status=status)
    out = reducer.reduce(state, builders.opened(hosted, metadata))
    return decisions.Rule(builders.only(out, effects.SendRefusal).refusal.rule)
