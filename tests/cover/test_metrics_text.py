"""Parsing and summary of the metrics of a node."""

import pytest

from gingerturn import errors, metrics_text

PAGE = """# TYPE gingerturn_ready gauge
gingerturn_ready 1
gingerturn_route_version 12
gingerturn_members 15
gingerturn_upstreams 14
gingerturn_calls_in_flight 3
gingerturn_hosted_calls 5
gingerturn_backend_running 4
gingerturn_backend_queue 0
gingerturn_backend_limit 20
gingerturn_backend_level 0
gingerturn_answered_total 1.2e+06
gingerturn_refused_total{rule="level"} 2
gingerturn_refused_total{rule="queue full"} 7
gingerturn_answer_seconds{quantile="0.5"} 0.012
gingerturn_answer_seconds{quantile="0.99"} 0.3
process_cpu_seconds_total 7
"""


def test_a_page_is_summarised() -> None:
    assert metrics_text.summary(metrics_text.parse(PAGE, origin="n1")) == [
        "ready, routes version 12, 15 members, 14 upstreams",
        "3 calls in flight, 5 hosted",
        "backend server: 4 running, 0 queued, limit 20, level 0",
        "answered 1200000, p50 12 ms, p99 300 ms",
        "refused: queue full 7, level 2",
    ]


def test_a_known_version_that_is_not_active_is_reported() -> None:
    samples = "gingerturn_route_version_known 13\ngingerturn_route_read_age_ms 840\n"
    lines = metrics_text.summary(metrics_text.parse(PAGE + samples, origin="n1"))
    assert lines[-1] == (
        "routes version 13 is known and not active; the log had none later than the"
        " active one 840 ms ago"
    )


def test_discarded_connections_are_reported() -> None:
    samples = "gingerturn_backend_connections_discarded_total 4\n"
    lines = metrics_text.summary(metrics_text.parse(PAGE + samples, origin="n1"))
    assert lines[-1] == (
        "idle connections to the backend server closed after unanswered requests: 4"
    )


def test_replaced_connections_are_reported() -> None:
    samples = "gingerturn_connections_replaced_total 3\n"
    lines = metrics_text.summary(metrics_text.parse(PAGE + samples, origin="n1"))
    assert lines[-1] == "silent connections to other nodes replaced 3 times"


def test_a_restored_log_is_reported() -> None:
    samples = "gingerturn_log_epoch 6\ngingerturn_log_restores_total 2\n"
    lines = metrics_text.summary(metrics_text.parse(PAGE + samples, origin="n1"))
    assert lines[-1] == "log restored from a backup 2 times, epoch 6"


def test_a_rate_limit_is_reported_with_what_it_sheds() -> None:
    samples = (
        "gingerturn_backend_rate_limit 11.9\ngingerturn_backend_dispatch_rate 11.25\n"
        "gingerturn_backend_rate_limited_total 45\n"
    )
    lines = metrics_text.summary(metrics_text.parse(PAGE + samples, origin="n1"))
    assert lines[4] == (
        "backend server: rate limit 11.9 requests a second, 11.2 dispatched,"
        " 45 shed for it so far"
    )


def test_missing_samples_are_shown_as_unknown() -> None:
    found = metrics_text.parse("gingerturn_ready 0\n", origin="n1")
    lines = metrics_text.summary(found)
    assert lines[0] == "not ready, routes version ?, ? members, ? upstreams"


@pytest.mark.parametrize(
    "line", ["gingerturn_ready x", "gingerturn_ready", "gingerturn_"]
)
def test_a_malformed_sample_is_reported_with_its_line(line: str) -> None:
    with pytest.raises(errors.InvalidArgument, match="is no sample") as caught:
        metrics_text.parse(f"gingerturn_members 3\n{line}\n", origin="page")
    assert "page:2" in str(caught.value)


def test_a_page_of_another_program_is_refused() -> None:
    with pytest.raises(errors.InvalidArgument, match="no metrics of a node"):
        metrics_text.parse("process_cpu_seconds_total 7\n", origin="page")


def test_the_pace_of_the_backend_server_and_invalid_reports_are_reported() -> None:
    samples = (
        "gingerturn_backend_pace 250\ngingerturn_backend_pace_age_ms 40\n"
        "gingerturn_backend_foreign_calls 3\ngingerturn_upstreams_slow 2\n"
        "gingerturn_backend_invalid_load_reports_total 7\n"
    )
    lines = metrics_text.summary(metrics_text.parse(PAGE + samples, origin="n1"))
    assert lines[-3:-1] == [
        "backend server: pace 250 40 ms ago, 3 calls of an earlier start of the node;"
        " 2 upstreams slow now",
        "backend server: 7 invalid reports of its load",
    ]


ZONE_PAGE = (
    PAGE
    + """gingerturn_availability_zone{zone="a"} 1
gingerturn_outcomes_total{kind="lookup",rule="sent"} 30
gingerturn_outcomes_total{kind="lookup",rule="cap_unanswered"} 50
gingerturn_outcomes_total{kind="order",rule="sent"} 10
gingerturn_outcomes_total{kind="order",rule="level"} 10
"""
)


def test_the_answered_share_of_a_zone_is_told_with_its_causes() -> None:
    """Guards against a zone that is served less than others for no visible reason."""
    page = metrics_text.parse(ZONE_PAGE, origin="n1")
    other = metrics_text.parse(
        ZONE_PAGE.replace('zone="a"', 'zone="b"').replace(
            'unanswered"} 50', 'unanswered"} 0'
        ),
        origin="n2",
    )
    rows = metrics_text.served([page, page, other])
    assert [(row.zone, row.kind, row.share) for row in rows] == [
        ("a", "", 0.4),
        ("b", "", 0.8),
        ("a", "lookup", 0.375),
        ("a", "order", 0.5),
        ("b", "order", 0.5),
        ("b", "lookup", 1.0),
    ]
    assert list(rows[0].causes) == ["cap_unanswered", "level"]


def test_the_answered_share_counts_from_an_earlier_page() -> None:
    earlier = metrics_text.parse(ZONE_PAGE, origin="n1")
    later = metrics_text.parse(
        ZONE_PAGE.replace('"level"} 10', '"level"} 30'), origin="n1"
    )
    total = metrics_text.served([later], [earlier])[0]
    assert (total.ended, total.answered, total.causes) == (20.0, 0.0, {"level": 20.0})


def test_entries_that_could_not_be_used_are_reported_by_stream() -> None:
    name = "gingerturn_log_entries_skipped_total"
    samples = f'{name}{{stream="members"}} 4\n{name}{{stream="routes"}} 1\n'
    lines = metrics_text.summary(metrics_text.parse(PAGE + samples, origin="n1"))
    assert lines[-1] == (
        "entries of the log that could not be used: members 4, routes 1"
    )


def test_why_a_node_is_not_ready_is_told_with_its_errors() -> None:
    samples = (
        'gingerturn_unready{reason="stopping"} 0\n'
        'gingerturn_unready{reason="members_not_listed"} 1\n'
        'gingerturn_unhandled_errors_total{part="log"} 3\n'
    )
    page = PAGE.replace("gingerturn_ready 1", "gingerturn_ready 0")
    lines = metrics_text.summary(metrics_text.parse(page + samples, origin="n1"))
    assert lines[0].startswith("not ready: members_not_listed, routes version 12")
    assert lines[-1] == "errors that nothing caught: log 3"
