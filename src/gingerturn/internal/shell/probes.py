"""Readiness and metrics endpoints of a node."""

import collections.abc
import typing

import msgspec

from gingerturn.internal import outcome_log
from gingerturn.internal.core import (
    freshness,
    histograms,
    level_control,
    levels,
    pace,
    queue_slack,
    readiness,
    state as states,
    streams,
    upstream_costs,
    workspace_shares,
)
from gingerturn.internal.shell import connection_ends, side_http, supervision

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes

METRICS_PATH = "/metrics"
TEXT_CONTENT_TYPE = "text/plain; version=0.0.4"


def ready_handler(node: "nodes.Node") -> side_http.Handler:
    """Return the handler of readiness and metrics requests."""

    def handle(request: side_http.Request) -> side_http.Reply:
        if request.path == METRICS_PATH:
            return side_http.Reply(200, metrics(node), TEXT_CONTENT_TYPE)
        reason = readiness.unready(node.state)
        if reason is None:
            return side_http.Reply(200)
        return side_http.Reply(503, msgspec.json.encode({"reason": reason.value}))

    return handle


def _level_ages(state: states.State) -> list[tuple[str, float]]:
    """Return the cumulative histogram of the ages of levels that decided requests."""
    *counts, without_report = state.level_age_counts
    rows = histograms.cumulative(levels.AGE_BOUNDS_MS, counts)
    return [*rows, ('{le="none"}', float(without_report))]


def _workspace_metrics(
    state: states.State,
) -> list[tuple[str, str, list[tuple[str, float]]]]:
    """Return the metrics of the workspaces whose usage this node counts."""
    usage = sorted(state.caps.usage.items())
    passed = [(_label(name), float(counted.admitted)) for name, counted in usage]
    refused = [(_label(name), float(counted.refused)) for name, counted in usage]
    unanswered = [(_label(n), float(u.refused_unanswered)) for n, u in usage]
    for_share = [(_label(name), float(n.shed_for_share)) for name, n in usage]
    factors = workspace_shares.own_factors(state).items()
    index = state.routes
    records = [] if index is None else [index.workspace(name) for name, _ in usage]
    caps = [(_label(w.name), w.rate) for w in records if w is not None and w.rate > 0]
    return [
        ("workspace_passed_total", "counter", passed),
        ("workspace_refused_total", "counter", refused),
        ("workspace_refused_unanswered_total", "counter", unanswered),
        ("workspace_cap", "gauge", caps),
        ("workspace_shed_for_share_total", "counter", for_share),
        ("workspace_factor", "gauge", [(_label(name), f) for name, f in factors]),
    ]


def _cap_metrics(state: states.State) -> list[tuple[str, str, float]]:
    """Return what this node asked of the cap allocator and answered as one."""
    caps = state.caps
    allocator = state.cap_allocator
    oldest = caps.unanswered_since
    return [
        ("cap_requests_sent_total", "counter", caps.requests_sent),
        ("cap_requests_answered_total", "counter", allocator.requests_answered),
        ("cap_demands_answered_total", "counter", allocator.demands_answered),
        ("cap_allocator_changes_total", "counter", caps.allocator_changes),
        ("cap_unanswered_ms", "gauge", state.now - oldest if oldest else 0.0),
    ]


def _outcomes(node: "nodes.Node") -> list[tuple[str, float]]:
    """Return how many calls ended at this node, by kind and rule."""
    rows = []
    for (kind, rule), count in sorted(node.counters.outcomes.items()):
        labels = _label(kind, name="kind")[:-1]
        rows.append((f'{labels},rule="{rule.name.lower()}"}}', float(count)))
    return rows


def _label(value: str, *, name: str = "workspace") -> str:
    escaped = value.replace("\\", r"\\").replace('"', r"\"")
    return f'{{{name}="{escaped}"}}'


def _waits(state: states.State) -> list[tuple[str, str, list[tuple[str, float]]]]:
    """Return the metrics of waits by kind, where kinds have their own limits."""
    waits = sorted(state.backend.slack.waits.items())
    by_kind = queue_slack.targets(state)
    if not waits:
        return []

    def rows(
        value: collections.abc.Callable[[str, states.WaitCounts], float],
    ) -> list[tuple[str, float]]:
        return [
            (_label(kind, name="kind"), value(kind, counts)) for kind, counts in waits
        ]

    return [
        ("queue_target_ms", "gauge", rows(lambda kind, _: by_kind.get(kind, 0))),
        ("queue_started_total", "counter", rows(lambda _, c: c.started)),
        ("queue_waited_ms_total", "counter", rows(lambda _, c: c.waited_ms)),
        ("queue_over_quarter_total", "counter", rows(lambda _, c: c.over_share)),
        ("queue_refused_total", "counter", rows(lambda _, c: c.refused)),
        ("queue_expired_total", "counter", rows(lambda _, c: c.expired)),
    ]


def _unready(state: states.State) -> list[tuple[str, float]]:
    """Return for each reason whether the node is not ready because of it."""
    found = readiness.unready(state)
    return [
        (_label(reason.value, name="reason"), float(reason is found))
        for reason in readiness.Unready
    ]


def _unhandled_errors() -> list[tuple[str, float]]:
    """Return how many errors nothing caught, by the part that they ended."""
    counts = sorted(supervision.errors_by_part().items())
    return [(_label(part, name="part"), float(count)) for part, count in counts]


def _streams(
    state: states.State,
) -> list[tuple[str, str, list[tuple[str, float]]]]:
    """Return the metrics of the reads of each stream."""

    def rows(
        value: collections.abc.Callable[[states.Stream], float],
    ) -> list[tuple[str, float]]:
        return [
            (_label(name, name="stream"), value(stream))
            for name, stream in sorted(state.streams.items())
        ]

    return [
        ("stream_followed", "gauge", rows(lambda s: s.followed)),
        ("stream_read_age_ms", "gauge", rows(lambda s: streams.age_ms(state, s))),
        (
            "stream_read_pending_ms",
            "gauge",
            rows(lambda s: streams.pending_ms(state, s.name)),
        ),
        ("stream_read_failures", "gauge", rows(streams.consecutive_failures)),
    ]


def _missing_reads(state: states.State) -> list[tuple[str, float]]:
    """Return per stream how many reads requested an offset that the log lacks."""
    return [
        (f'{{stream="{name}"}}', stream.missing_total)
        for name, stream in sorted(state.streams.items())
    ]


def _skipped_entries(state: states.State) -> list[tuple[str, float]]:
    """Return per stream how many entries were not used."""
    return [
        (_label(name, name="stream"), counted.total)
        for name, counted in sorted(state.skipped_entries.items())
    ]


def metrics(node: "nodes.Node") -> bytes:
    """Return all metrics in the Prometheus text format."""
    state = node.state
    backend = state.backend
    lines: list[str] = []

    def add(name: str, kind: str, *rows: tuple[str, float]) -> None:
        lines.append(f"# TYPE gingerturn_{name} {kind}")
        lines.extend(f"gingerturn_{name}{labels} {value:g}" for labels, value in rows)

    add("ready", "gauge", ("", readiness.is_ready(state)))
    add("unready", "gauge", *_unready(state))
    add("unhandled_errors_total", "counter", *_unhandled_errors())
    add("answered_total", "counter", ("", node.counters.answered))
    refused = [
        (f'{{rule="{rule}"}}', float(count))
        for rule, count in sorted(node.counters.refused.items())
    ]
    add("refused_total", "counter", *refused)
    add("outcomes_total", "counter", *_outcomes(node))
    place = _label(node.settings.node.zone, name="zone")
    add("availability_zone", "gauge", (place, 1.0))
    lag = node.counters.loop_lag
    add("loop_lag_ms_bucket", "counter", *histograms.rows(lag))
    add("loop_lag_ms_total", "counter", ("", lag.total_ms))
    add("events_total", "counter", ("", node.counters.events))
    add("log_lines_dropped_total", "counter", ("", node.counters.lines_dropped))
    add("calls_in_flight", "gauge", ("", len(state.calls)))
    add("hosted_calls", "gauge", ("", len(state.hosted)))
    add("backend_running", "gauge", ("", backend.running))
    add("backend_limit", "gauge", ("", backend.limit))
    add("backend_queue", "gauge", ("", len(backend.queue)))
    add("backend_level", "gauge", ("", backend.level))
    add("backend_dispatched_total", "counter", ("", backend.dispatch_count))
    rate = level_control.dispatch_rate(backend)
    add("backend_dispatch_rate", "gauge", ("", rate))
    add("backend_rate_limit", "gauge", ("", backend.limiter.limit))
    add("backend_rate_limited_total", "counter", ("", backend.rate_limited_count))
    tracker = backend.pace_tracker
    add("backend_pace", "gauge", ("", tracker.pace))
    pace_age_ms = state.now - tracker.reported_at if tracker.pace else -1.0
    add("backend_pace_age_ms", "gauge", ("", pace_age_ms))
    foreign = pace.foreign_calls(tracker, state.now)
    add("backend_foreign_calls", "gauge", ("", foreign))
    pool = node.home.pool
    add("backend_load_reports_total", "counter", ("", pool.load_reports))
    invalid = pool.invalid_load_reports
    add("backend_invalid_load_reports_total", "counter", ("", invalid))
    stalled = ("", node.home.stalled_answers)
    add("backend_stalled_answers_total", "counter", stalled)
    statuses = ("", pool.invalid_statuses)
    add("backend_invalid_statuses_total", "counter", statuses)
    add("upstreams_slow", "gauge", ("", upstream_costs.count_slow(state)))
    add("backend_ends_total", "counter", ("", backend.crash_count))
    departure = state.departures
    held = ("", departure.held_count)
    add("backend_announcements_held_total", "counter", held)
    outdated = ("", departure.outdated_count)
    add("backend_announcements_outdated_total", "counter", outdated)
    discarded = node.home.pool.discarded_count
    add("backend_connections_discarded_total", "counter", ("", discarded))
    unrelated = node.home.pool.unrelated_answers
    add("backend_unrelated_answers_total", "counter", ("", unrelated))
    add("outcome_facts_dropped_total", "counter", ("", outcome_log.dropped_total()))
    reserve = node.descriptors
    add("held_bytes", "gauge", ("", node.held.total))
    add("held_bytes_limit", "gauge", ("", node.held.limit))
    add("held_given_up_total", "counter", ("", node.held.given_up))
    add("input_turns_total", "counter", ("", node.turns.taken))
    add("descriptors_short", "gauge", ("", reserve.short))
    add("descriptor_shortages_total", "counter", ("", reserve.shortages))
    add("idle_callers_closed_total", "counter", ("", reserve.closed_idle))
    add("requests_kept_out", "gauge", ("", len(state.quarantine.quarantined)))
    replaced = node.counters.connections_replaced
    add("connections_replaced_total", "counter", ("", replaced))
    ends = connection_ends.rows(node.counters.ends | node.home.pool.connection_ends)
    add("connection_ends_total", "counter", *ends)
    add("datagrams_dropped_total", "counter", ("", node.gossip.dropped))
    add("datagrams_unsent_total", "counter", ("", node.gossip.unsent))
    add("members", "gauge", ("", len(state.membership.members)))
    upstreams = sum(len(nodes) for nodes in state.membership.by_service.values())
    add("upstreams", "gauge", ("", upstreams))
    add("level_age_ms_bucket", "counter", *_level_ages(state))
    version = 0 if state.routes is None else state.routes.version
    add("route_version", "gauge", ("", version))
    known = max(version, state.highest_routes_version)
    add("route_version_known", "gauge", ("", known))
    age_ms = freshness.advertised_read_age_ms(state)
    add("route_read_age_ms", "gauge", ("", age_ms))
    pending_ms = streams.pending_ms(state, streams.ROUTES)
    add("route_read_pending_ms", "gauge", ("", pending_ms))
    for name, kind, rows in _streams(state):
        add(name, kind, *rows)
    add("log_reads_missing_total", "counter", *_missing_reads(state))
    add("log_entries_skipped_total", "counter", *_skipped_entries(state))
    add("log_epoch", "gauge", ("", state.log.highest))
    add("log_restores_total", "counter", ("", state.log.restores))
    add("requests_held", "gauge", ("", len(state.caps.waiting_calls)))
    for name, kind, value in _cap_metrics(state):
        add(name, kind, ("", value))
    trips = state.caps.round_trips
    add("cap_round_trip_ms_bucket", "counter", *histograms.rows(trips))
    add("cap_round_trip_ms_total", "counter", ("", trips.total_ms))
    add("cap_share_kept", "gauge", ("", state.cap_allocator.delegated_share))
    add("keys_proven_age_ms", "gauge", ("", freshness.advertised_age_ms(state)))
    add("keys_closed", "gauge", ("", freshness.is_stale(state)))
    for name, kind, rows in [*_workspace_metrics(state), *_waits(state)]:
        add(name, kind, *rows)
    quantiles = [
        (f'{{quantile="{q / 100:g}"}}', node.durations.get_value_at_percentile(q) / 1e6)
        for q in (50.0, 90.0, 99.0)
    ]
    add("answer_seconds", "summary", *quantiles)
    return ("\n".join(lines) + "\n").encode()
