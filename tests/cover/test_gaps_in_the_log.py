"""Records that the log drops by retention before a reader has read them."""

from gingerturn.internal.core import effects, events, state as states, streams
from tests.common import builders


def _followed(*, keyed: bool = False) -> tuple[states.State, states.Stream]:
    """Return a stream that was read to its end, at offset 10."""
    state = builders.node_state("n1")
    out: list[effects.Effect] = []
    streams.follow(state, "claims.porting", out, keyed=keyed)
    stream = state.streams["claims.porting"]
    stream.base_read = keyed
    assert not streams.advance(state, stream, out, first=0, count=10, end=10)
    state.now += 5_000.0
    return state, stream


def test_records_that_follow_at_once_leave_no_gap() -> None:
    state, stream = _followed()
    assert not streams.advance(state, stream, [], first=10, count=3, end=13)
    assert stream.offset == 13
    assert stream.covered_from < state.now


def test_after_a_gap_keys_minted_before_it_are_no_longer_covered() -> None:
    state, stream = _followed()
    assert streams.advance(state, stream, [], first=14, count=1, end=15)
    assert stream.covered_from == state.now
    assert stream.offset == 15


def test_after_a_gap_a_keyed_stream_reads_its_newest_records_again() -> None:
    state, stream = _followed(keyed=True)
    streams.advance(state, stream, [], first=14, count=1, end=15)
    out: list[effects.Effect] = []
    state.now = stream.retry_at
    streams.retry_due(state, out)
    assert builders.only(out, effects.ReadNewest).stream == "claims.porting"


def test_a_reader_that_has_not_seen_the_end_yet_misses_nothing_it_relied_on() -> None:
    state = builders.node_state("n1")
    streams.follow(state, "claims.porting", [])
    stream = state.streams["claims.porting"]
    streams.advance(state, stream, [], first=0, count=4, end=20)
    assert not streams.advance(state, stream, [], first=9, count=11, end=20)
    assert stream.caught_up


def test_the_offset_never_goes_back() -> None:
    state, stream = _followed()
    streams.advance(state, stream, [], first=2, count=3, end=10)
    assert stream.offset == 10


def test_reads_of_an_offset_that_the_log_lacks_are_counted_and_logged_once() -> None:
    state, stream = _followed()
    refused = events.LogRead(
        now=state.now,
        stream=stream.name,
        first=0,
        records=(),
        oldest=0,
        end=0,
        missing=True,
    )
    out: list[effects.Effect] = []
    for _ in range(3):
        streams.record_missing(stream, refused, out)
    assert stream.missing_total == 3
    line = builders.only(out, effects.WriteLog)
    assert line.text == (
        "Stream claims.porting has no offset 10; the first one that the log holds is 0."
    )
