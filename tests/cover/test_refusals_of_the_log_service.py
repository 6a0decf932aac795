"""What the status of an answer of the log service states of an append."""

import pytest

from gingerturn import errors
from gingerturn.internal.shell import http_calls


# Guards against an append that may have taken effect and counts as refused.
@pytest.mark.parametrize(
    ("status", "took_effect"),
    [(400, False), (409, False), (429, False), (503, False), (507, False)]
    + [(status, None) for status in (204, 302, 500, 502, 504, 600, 999)],
)
def test_only_a_refusal_of_the_log_service_states_that_nothing_was_done(
    status: int, took_effect: bool | None
) -> None:
    client = http_calls.Client(
        "http://127.0.0.1:1", timeout_ms=100.0, epoch_header=b"epoch"
    )
    with pytest.raises(errors.LogServiceError) as raised:
        client.check(http_calls.Answer(status, b""), "append")
    assert raised.value.took_effect is took_effect
