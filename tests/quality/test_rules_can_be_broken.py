"""Mutation checks: the test of each platform rule fails without its mechanism."""

import collections
import collections.abc
import functools
import time
import typing

import pytest

from gingerturn import dialect
from gingerturn.internal.core import (
    calls,
    cap_allocator,
    crash_attribution,
    decisions,
    events,
    freshness,
    freshness_renewal,
    hosting,
    instances,
    joining,
    member_order,
    membership,
    messages,
    pause_detection,
    quarantine,
    quarantine_table,
    reducer,
    route_table,
    sending,
    state as states,
    streams,
    timers,
    upstream_costs,
    upstreams,
    version_bound,
    workspaces,
)
from gingerturn.internal.shell import backend_http, caller_limits, clock, exchanges
from tests.common import builders
from tests.cover import (
    test_announcements as announcements,
    test_backend_answers as answers,
    test_caller_limits as limits,
    test_caps as of_caps,
    test_deadly_requests as deadly,
    test_decisions_under_load as under_load,
    test_freshness as fresh,
    test_keyed_members as members,
    test_membership as of_membership,
    test_pollers as of_pollers,
    test_process_pauses as pauses,
    test_quarantine as of_quarantine,
    test_routed_attempts as attempts,
    test_routes as of_routes,
    test_silent_nodes as silent,
    test_starts_beside_odd_records as odd_records,
    test_startup_waits as startup,
    test_ticks as ticks,
    test_unproven_refusals as unproven,
    test_unrelated_answers as unrelated,
    test_version_lag as of_lag,
    test_workspaces as of_workspaces,
)

Proof = collections.abc.Callable[[], None]


def _nothing(*arguments: typing.Any, **options: typing.Any) -> None:
    """Replace a function by one without effect."""


def _false(*arguments: typing.Any, **options: typing.Any) -> bool:
    return False


def _true(*arguments: typing.Any, **options: typing.Any) -> bool:
    return True


def _attribute_all(crashes: dict[str, typing.Any]) -> dict[int, states.QuarantineEntry]:
    """Attribute crashes to every request in progress during enough of them."""
    counts = collections.Counter(
        r for crash in crashes.values() for r in crash.requests
    )
    return {
        request: states.QuarantineEntry(crash_count=count, last_crash_at=builders.START)
        for request, count in counts.items()
        if count >= crash_attribution.CRASHES_TO_QUARANTINE
    }


def _no_route(*arguments: typing.Any) -> decisions.Rule:
    return decisions.Rule.NO_ROUTE


def _dated_on_arrival(
    state: states.State, requested_at: float, message: messages.Gossip
) -> None:
    """Date a reported age by the arrival of the message."""
    if message.verified_age_ms >= 0:
        state.freshness.verified_at = state.now - message.verified_age_ms


def _reachable_count(state: states.State) -> int:
    """Count only the members that are neither suspected nor gone."""
    membership_view = state.membership
    return max(
        1,
        len(membership_view.members)
        - len(membership_view.gone)
        - len(membership_view.suspected),
    )


def _full_share(state: states.State) -> float:
    return 1.0


def _without_workspace(*arguments: typing.Any) -> None:
    """Admit a request without checking its key."""


def _activate_any(
    state: typing.Any, table: typing.Any, out: typing.Any, *, source: str = ""
) -> bool:
    state.routes = of_routes.routes.RouteIndex(table)
    return True


MECHANISMS: list[tuple[str, typing.Any, typing.Any, object, Proof]] = [
    (
        "UNASKED: the workspace of a request",
        workspaces,
        "of_request",
        _without_workspace,
        of_workspaces.test_a_request_runs_for_the_workspace_of_its_key,
    ),
    (
        "UNASKED: the key itself",
        dialect.Dialect,
        "written_by_nodes",
        lambda self: frozenset(),
        of_workspaces.test_neither_the_key_nor_a_workspace_header_is_forwarded,
    ),
    (
        "ROUTE: an unknown key",
        workspaces,
        "of_request",
        _without_workspace,
        functools.partial(
            of_workspaces.test_a_key_that_no_workspace_has_is_refused_before_any_work,
            "never",
        ),
    ),
    (
        "CONFIG: keys at an isolated node",
        freshness,
        "is_stale",
        _false,
        fresh.test_an_isolated_node_refuses_keys_after_the_time_allowed,
    ),
    (
        "CONFIG: delayed answers of peers",
        freshness,
        "on_peer_age",
        _dated_on_arrival,
        fresh.test_an_answer_is_dated_by_its_query_however_late_it_arrives,
    ),
    (
        "CONFIG: nodes refused by the log",
        freshness,
        "on_peer_age",
        _nothing,
        fresh.test_a_node_refused_by_the_log_relies_on_its_members,
    ),
    (
        "CONFIG: first nodes refused by the log",
        freshness_renewal,
        "_read_log",
        _nothing,
        fresh.test_when_all_heads_are_refused_by_the_log_the_others_read_it,
    ),
    (
        "CONFIG: a log that stops answering",
        version_bound,
        "bound_ms",
        lambda state: 0.0,
        of_pollers.test_a_change_made_while_the_log_is_silent_is_in_force_soon_after,
    ),
    (
        "CONFIG: connections that fell silent",
        version_bound,
        "bound_ms",
        lambda state: 0.0,
        of_lag.test_a_change_is_active_in_time_though_all_open_connections_are_silent,
    ),
    (
        "CONFIG: parts without a poller",
        freshness_renewal,
        "_read_log",
        _nothing,
        of_lag.test_a_change_is_active_in_time_at_two_nodes_that_hear_only_each_other,
    ),
    (
        "CONFIG: overlapping faults",
        freshness_renewal,
        "_read_log",
        _nothing,
        of_lag.test_changes_are_active_in_time_under_overlapping_faults,
    ),
    (
        "QUOTA: network partition",
        member_order,
        "cap_sharer_count",
        _reachable_count,
        functools.partial(
            of_caps.test_sides_of_a_partition_hold_the_cap_under_a_flood,
            1,
        ),
    ),
    (
        "QUOTA: several allocators",
        cap_allocator,
        "current_share",
        _full_share,
        of_caps.check_cap_with_several_allocators,
    ),
    (
        "TWICE",
        sending,
        "may_repeat",
        _true,
        attempts.test_an_unrepeatable_call_with_unknown_outcome_is_never_sent_again,
    ),
    (
        "REFUSED",
        reducer._HANDLERS,
        events.CancelReceived,
        _nothing,
        attempts.test_a_cancelled_queued_call_is_never_dispatched,
    ),
    (
        "MIXED",
        backend_http.Connection,
        "_is_unrelated",
        _false,
        answers.test_a_late_answer_to_an_earlier_request_is_discarded,
    ),
    (
        "REFUSED, answers without an id",
        backend_http.Connection,
        "_is_unrelated",
        _false,
        unrelated.test_an_answer_without_an_id_says_nothing_of_the_request_in_progress,
    ),
    (
        "REFUSED, rejected requests that return",
        backend_http.Connection,
        "may_carry",
        lambda connection, request_id: True,
        unrelated.test_a_rejected_request_does_not_return_over_the_same_connection,
    ),
    (
        "REFUSED, unproven refusals",
        exchanges.HostedExchange,
        "_is_unproven",
        _false,
        functools.partial(
            unproven.test_an_unproven_refusal_of_an_unrepeatable_request_is_unknown,
            503,
            b"",
        ),
    ),
    (
        "ROUTE",
        hosting,
        "_mark_backend_absent",
        _nothing,
        announcements.test_a_misdirected_answer_takes_the_backend_server_out,
    ),
    (
        "DRAIN, new work",
        hosting,
        "_unavailable_rule",
        _nothing,
        announcements.test_leaving_refuses_what_is_queued_and_what_comes_later,
    ),
    (
        "DRAIN, delayed announcement",
        instances,
        "is_outdated",
        _false,
        announcements.test_a_late_announcement_does_not_undo_leaving,
    ),
    (
        "LOST, end of the grace period",
        reducer.calls,
        "refuse_all",
        _nothing,
        silent.test_a_node_whose_grace_ends_answers_what_it_still_holds,
    ),
    (
        "LOST, callers of a stopping node",
        calls,
        "_served_while_stopping",
        _false,
        attempts.test_a_stopping_routed_node_still_serves_its_callers,
    ),
    (
        "CONFIG, from a peer",
        route_table,
        "on_peer_version",
        _nothing,
        of_routes.test_a_later_version_in_gossip_is_fetched_from_that_peer,
    ),
    (
        "CONFIG, no older version",
        route_table,
        "activate",
        _activate_any,
        of_routes.test_the_version_in_force_never_goes_down,
    ),
    (
        "BUDGET, quarantine: entry nodes",
        sending.quarantine,
        "entry_of",
        _nothing,
        functools.partial(
            of_quarantine.test_an_entry_node_refuses_it_before_any_work_with_a_retry_delay,
            of_routes.routes.RouteType.SAFE,
        ),
    ),
    (
        "BUDGET, quarantine: home nodes",
        hosting.quarantine,
        "admits",
        _true,
        of_quarantine.test_a_queued_call_is_refused_once_it_is_quarantined,
    ),
    (
        "BUDGET, quarantine: gossip",
        membership.quarantine_gossip,
        "on_gossip",
        _false,
        deadly.test_home_nodes_of_a_large_service_share_their_crashes,
    ),
    (
        "BUDGET, quarantine: restart of all nodes",
        quarantine_table,
        "save",
        _nothing,
        deadly.test_it_stays_quarantined_when_all_nodes_restart_at_once,
    ),
    (
        "quarantine spares popular requests",
        quarantine,
        "MAX_RECENT_RUNS",
        0,
        of_quarantine.test_a_popular_request_in_progress_in_every_crash_is_not_quarantined,
    ),
    (
        "quarantine spares requests that did not cause the crash",
        crash_attribution,
        "attribute_crashes",
        _attribute_all,
        of_quarantine.test_a_harmless_request_retried_into_three_crashes_is_not_quarantined,
    ),
    (
        "quarantined requests are tried again",
        quarantine,
        "_trial_home",
        _nothing,
        of_quarantine.test_a_harmless_request_in_quarantine_is_tried_and_cleared,
    ),
    (
        "a paused node suspects no member",
        pause_detection,
        "PAUSE_THRESHOLD_MS",
        1e12,
        pauses.test_a_node_suspects_no_member_because_of_its_own_pause,
    ),
    (
        "DENIED",
        route_table,
        "resolve",
        _no_route,
        of_routes.test_without_a_table_a_call_is_refused_with_a_retry_delay,
    ),
    (
        "RECOVER, network partition",
        joining.membership,
        "ping",
        _nothing,
        members.test_members_held_for_gone_are_pinged_so_that_parted_sides_meet_again,
    ),
    (
        "RECOVER, repeated read",
        streams,
        "reread",
        _nothing,
        members.test_members_are_read_again_if_a_read_was_under_way_when_the_own_record_came,
    ),
    (
        "RECOVER, startup",
        sending.startup_waits,
        "enqueue",
        _false,
        startup.test_a_call_of_a_running_request_waits_for_the_first_upstream,
    ),
    (
        "a suspected upstream that answers stays in use",
        upstreams,
        "RECENT_ANSWER_MS",
        -1.0,
        silent.test_a_suspected_upstream_that_answers_calls_is_not_passed_over,
    ),
    (
        "a lost probe is repeated",
        membership,
        "INDIRECT_PROBE_AFTER_MS",
        membership.GONE_AFTER_MS,
        silent.test_a_probe_that_was_lost_is_repeated_by_the_node_itself,
    ),
    (
        "an idle node ticks rarely",
        ticks.reducer,
        "next_tick",
        lambda state: state.now + timers.TICK_MS,
        ticks.test_an_idle_node_ticks_rarely,
    ),
    (
        "each change of a member's state is logged",
        membership.member_table,
        "_log_change",
        _nothing,
        of_membership.test_each_change_of_belief_about_a_member_is_told_with_its_source,
    ),
    (
        "a nested call with a free slot is dispatched",
        hosting,
        "MIN_CHILD_TIME_SHARE",
        1.0,
        under_load.test_a_deeper_call_that_finds_a_free_slot_is_tried_with_less_time,
    ),
    (
        "GONE, entry node",
        calls,
        "_cancel_attempt",
        _nothing,
        attempts.test_a_caller_that_disconnects_cancels_its_attempt_at_once,
    ),
    (
        "GONE, home node",
        reducer._HANDLERS,
        events.CancelReceived,
        _nothing,
        attempts.test_a_cancelled_repeatable_call_is_cancelled_at_the_backend_server,
    ),
    (
        "request limits",
        caller_limits,
        "effective",
        lambda node: of_routes.routes.RequestLimits(),
        limits.test_a_body_that_is_announced_too_long_is_refused_before_it_is_read,
    ),
    (
        "start beside strangers' records: contacts while alone",
        joining,
        "contact_while_alone",
        _nothing,
        functools.partial(
            odd_records.test_a_real_member_is_contacted_beside_thousands_of_later_records,
            builders.START + 60_000.0,
        ),
    ),
    (
        "start beside strangers' records: the own one",
        joining,
        "_is_own_record_lost",
        _false,
        functools.partial(
            odd_records.test_a_record_that_was_deleted_or_replaced_is_put_again, None
        ),
    ),
    (
        "start without the list of members",
        joining,
        "_sync_with_a_member",
        _nothing,
        odd_records.test_a_node_that_members_reach_is_ready_without_the_list,
    ),
    (
        "calls stay in their zone",
        upstream_costs,
        "ZONE_PENALTY",
        0.0,
        under_load.test_of_many_upstreams_too_calls_stay_in_the_zone_until_it_is_busier,
    ),
]


@pytest.mark.parametrize(
    ("owner", "name", "replacement", "proof"),
    [row[1:] for row in MECHANISMS],
    ids=[row[0] for row in MECHANISMS],
)
def test_a_proof_fails_without_its_mechanism(
    monkeypatch: pytest.MonkeyPatch,
    owner: typing.Any,
    name: typing.Any,
    replacement: object,
    proof: Proof,
) -> None:
    proof()
    with monkeypatch.context() as patch:
        if isinstance(owner, dict):
            patch.setitem(owner, name, replacement)
        else:
            patch.setattr(owner, name, replacement)
        with pytest.raises(AssertionError):
            proof()


def test_the_proof_of_a_suspended_machine_fails_on_the_monotonic_clock(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clock, "_SOURCE", time.CLOCK_MONOTONIC)
    with pytest.raises(AssertionError):
        pauses.test_time_goes_on_while_the_machine_is_suspended(monkeypatch)
