"""Reading what a node's metrics say."""

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


def test_a_page_is_told_in_sentences() -> None:
    assert metrics_text.words(metrics_text.parse(PAGE, origin="n1")) == [
        "ready, routes version 12, 15 members, 14 upstreams",
        "3 calls in flight, 5 hosted",
        "backend server: 4 running, 0 queued, limit 20, level 0",
        "answered 1200000, p50 12 ms, p99 300 ms",
        "refused: queue full 7, level 2",
    ]


def test_a_log_that_was_restored_is_told() -> None:
    told = "gingerturn_log_epoch 6\ngingerturn_log_restores_total 2\n"
    words = metrics_text.words(metrics_text.parse(PAGE + told, origin="n1"))
    assert words[-1] == "log restored from a backup 2 times, epoch 6"


def test_what_is_not_told_is_not_made_up() -> None:
    found = metrics_text.parse("gingerturn_ready 0\n", origin="n1")
    words = metrics_text.words(found)
    assert words[0] == "not ready, routes version ?, ? members, ? upstreams"


@pytest.mark.parametrize(
    "line", ["gingerturn_ready x", "gingerturn_ready", "gingerturn_"]
)
def test_a_line_that_is_no_sample_is_named(line: str) -> None:
    with pytest.raises(errors.InvalidArgument, match="is no sample") as caught:
        metrics_text.parse(f"gingerturn_members 3\n{line}\n", origin="page")
    assert "page:2" in str(caught.value)


def test_a_page_of_another_program_is_refused() -> None:
    with pytest.raises(errors.InvalidArgument, match="no metrics of a node"):
        metrics_text.parse("process_cpu_seconds_total 7\n", origin="page")
