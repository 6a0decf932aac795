"""What answers report of their backend server: how it is read and logged."""

import pytest

from gingerturn import dialect
from gingerturn.internal import logs
from gingerturn.internal.core import effects, events, rate_limits, reducer
from gingerturn.internal.shell import backend_pool
from tests.common import builders, routed

NAME = b"gingerturn-rate-limit"


def _reported(rate: float, *, hosted: int = 1, now: float = 0.0) -> events.Event:
    return events.BackendReported(
        now=builders.START + now, hosted=hosted, rate_limit=rate
    )


def _lines(out: list[effects.Effect]) -> list[str]:
    return [line.text for line in builders.all_of(out, effects.WriteLog)]


@pytest.mark.parametrize(
    ("value", "limit"),
    [
        (b"7", 7.0),
        (b"11.9", 11.9),
        (b"0", 0.0),
        (b".5", 0.5),
        (b"3.", 3.0),
        (b"1e-05", 1e-05),
        (b"8, 6.5", 6.5),
    ],
)
def test_a_decimal_number_is_a_limit(value: bytes, limit: float) -> None:
    assert rate_limits.parse(value) == limit


@pytest.mark.parametrize(
    "value",
    [b"", b"-1", b"inf", b"nan", b"1_0", b"0x1", b"5 6", b"5,", b"9" * 400, b"\xff"],
)
def test_another_value_is_an_error_that_names_it(value: bytes) -> None:
    with pytest.raises(ValueError, match="allowed is a decimal number from 0") as found:
        rate_limits.parse(value)
    assert repr(value[:16].decode("latin-1"))[:-1] in str(found.value)


# Guards against one log line for each answer with the same invalid header.
def test_an_invalid_value_is_no_limit_and_is_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    skipped: list[str] = []
    monkeypatch.setattr(
        logs, "warn_skipped", lambda what, key, problem: skipped.append(problem)
    )
    pool = backend_pool.Pool(dialect.DEFAULT)
    for _ in range(3):
        found = pool.read_rate_limit([(NAME, b"nan")], {NAME: b"nan"})
        assert found == rate_limits.NO_LIMIT
    assert len(skipped) == 1
    assert "'nan'" in skipped[0]


def test_of_two_headers_the_lower_limit_holds() -> None:
    pool = backend_pool.Pool(dialect.DEFAULT)
    headers = [(NAME, b"4"), (NAME, b"9")]
    assert pool.read_rate_limit(headers, dict(headers)) == 4.0


def test_a_limit_is_logged_when_it_changes_and_not_for_each_answer() -> None:
    state = routed.node_state(service="plans")
    reducer.reduce(state, builders.opened(1))
    assert _lines(reducer.reduce(state, _reported(7.4))) == [
        "plans i-1 reports a rate limit of 7.4 requests a second."
    ]
    assert not _lines(reducer.reduce(state, _reported(7.4, now=5_000.0)))
    reducer.reduce(state, _reported(6.0, now=6_000.0))
    # A limit that changes in each answer.
    assert not _lines(reducer.reduce(state, _reported(5.0, now=6_010.0)))


# Guards against two log lines for each pair of answers.
def test_a_limit_that_only_some_answers_report_is_logged_once() -> None:
    state = routed.node_state(service="plans")
    reducer.reduce(state, builders.opened(1))
    lines = []
    for number in range(100):
        rate = 7.4 if number % 2 else -1.0
        lines += _lines(reducer.reduce(state, _reported(rate, now=100.0 * number)))
    assert lines == ["plans i-1 reports a rate limit of 7.4 requests a second."]
    ended = _lines(reducer.reduce(state, _reported(-1.0, now=20_000.0)))
    assert ended == ["plans i-1 reports no rate limit any more."]
    assert not _lines(reducer.reduce(state, _reported(-1.0, now=30_000.0)))


def test_the_report_of_a_former_instance_is_ignored() -> None:
    state = routed.node_state(service="plans")
    reducer.reduce(state, builders.opened(1))
    reducer.reduce(state, routed.announced(instance="i-2"))
    assert not _lines(reducer.reduce(state, _reported(7.4)))
