"""Frames and datagrams: round trips, invalid bytes, compression."""

import contextlib

import hypothesis
import pytest
from hypothesis import strategies as st

from benchmarks import frame_sizes
from gingerturn import errors
from gingerturn.internal.core import messages
from gingerturn.internal.wire import compression, datagrams, frames
from tests.cover import test_reducer_properties as events_of

CALL = st.integers(0, (1 << 63) - 1)
FRAMES = st.one_of(
    st.builds(
        frames.Open,
        call=CALL,
        terms=events_of.METADATA,
        head=st.binary(),
        body=st.binary(),
        whole=st.booleans(),
    ),
    st.builds(
        frames.Answer,
        call=CALL,
        status=st.integers(100, 599),
        tokens=st.integers(0, 16),
        report=events_of.REPORTS,
        decision=st.text(),
        head=st.binary(),
        body=st.binary(),
        whole=st.booleans(),
    ),
    st.builds(
        frames.Refuse,
        call=CALL,
        refusal=events_of.REFUSALS,
        tokens=st.integers(0, 16),
        report=events_of.REPORTS,
    ),
    st.builds(frames.Chunk, call=CALL, body=st.binary(), last=st.booleans()),
    st.builds(frames.Credit, call=CALL, count=st.integers(0, 1 << 20)),
    st.builds(frames.Cancel, call=CALL),
    st.builds(frames.Broken, call=CALL),
    st.builds(
        frames.Hello,
        call=st.just(0),
        node=st.text(),
        incarnation=st.integers(0, 1 << 50),
        nonce=st.binary(),
        proof=st.binary(),
        zone=st.text(),
        answers_pings=st.booleans(),
    ),
    st.builds(
        frames.Query, call=CALL, decision=st.text(), since=st.integers(0, 1 << 40)
    ),
    st.builds(frames.QueryReply, call=CALL, content=st.binary()),
    st.builds(frames.LevelRequest, call=CALL, kind=st.text()),
    st.builds(frames.LevelReport, call=CALL, report=events_of.REPORTS),
    st.builds(frames.Ping),
    st.builds(frames.Pong),
)
SECRET = b"a secret of the tests"


@hypothesis.given(st.lists(FRAMES, max_size=5), st.integers(1, 40))
def test_frames_survive_any_split_into_packets(sent: list, size: int) -> None:
    stream = b"".join(frames.encode(frame) for frame in sent)
    buffer = bytearray()
    found = []
    for start in range(0, len(stream), size):
        buffer += stream[start : start + size]
        found += [frames.decode(content) for content in frames.split(buffer)]
    assert found == sent
    assert not buffer


@hypothesis.given(st.binary(max_size=300))
@hypothesis.settings(max_examples=300)
def test_arbitrary_bytes_are_a_frame_or_a_clear_error(content: bytes) -> None:
    try:
        frames.decode(content)
    except errors.FrameError as error:
        assert str(len(content)) in error.message


@hypothesis.given(FRAMES, st.data())
def test_a_truncated_frame_is_refused(frame: object, data: st.DataObject) -> None:
    content = frames.encode(frame)[frames.LENGTH_BYTES :]
    cut = data.draw(st.integers(0, len(content) - 1))
    with pytest.raises(errors.FrameError):
        frames.decode(content[:cut])


def test_a_length_above_the_limit_is_refused() -> None:
    with pytest.raises(errors.FrameError, match="allowed are"):
        frames.split(bytearray(b"\x7f\xff\xff\xff"))


@hypothesis.given(events_of.GOSSIP)
def test_a_datagram_round_trips_sender_time_and_message(
    message: messages.Gossip,
) -> None:
    datagram = datagrams.encode(SECRET, "n1", 5.0, message)
    assert datagrams.decode([b"another secret", SECRET], datagram) == (
        "n1",
        5.0,
        message,
    )


@hypothesis.given(events_of.GOSSIP, st.integers(0, 1000), st.integers(1, 255))
def test_a_changed_datagram_is_refused(
    message: messages.Gossip, position: int, change: int
) -> None:
    datagram = bytearray(datagrams.encode(SECRET, "n1", 5.0, message))
    datagram[position % len(datagram)] ^= change
    with pytest.raises(errors.AuthenticationError):
        datagrams.decode([SECRET], bytes(datagram))


@hypothesis.given(st.binary(max_size=200))
def test_authenticated_arbitrary_bytes_are_a_clear_error(content: bytes) -> None:
    datagram = datagrams.mac(SECRET, content) + content
    try:
        datagrams.decode([SECRET], datagram)
    except errors.FrameError as error:
        assert "\n" not in error.message


def test_a_replayed_datagram_is_refused() -> None:
    guard = datagrams.ReplayGuard()
    now = 1_000_000.0
    assert guard.accepts("n1", now, now)
    assert not guard.accepts("n1", now, now + 10)
    assert guard.accepts("n1", now + 1, now + 10)
    assert guard.accepts("n1", now - 500, now + 10)
    assert not guard.accepts("n1", now - datagrams.REORDER_MS - 1, now + 10)
    assert not guard.accepts("n2", now, now + datagrams.MAX_AGE_MS + 1)


@hypothesis.given(st.lists(FRAMES, max_size=8))
def test_compressed_frames_of_one_connection_are_read_in_order(sent: list) -> None:
    deflater, inflater = compression.Deflater(), compression.Inflater()
    stream = bytearray(b"".join(frames.encode(frame, deflater) for frame in sent))
    found = [frames.decode(content, inflater) for content in frames.split(stream)]
    assert found == sent


def test_a_frame_like_the_one_before_takes_a_third_of_its_bytes() -> None:
    deflater = compression.Deflater()
    sizes = [len(frames.encode(frame, deflater)) for frame in frame_sizes.requests(20)]
    plain = [len(frames.encode(frame)) for frame in frame_sizes.requests(20)]
    assert sum(sizes[1:]) < sum(plain[1:]) / 3


def test_a_long_frame_stays_uncompressed_and_keeps_the_stream_intact() -> None:
    deflater, inflater = compression.Deflater(), compression.Inflater()
    long = frames.Chunk(call=1, body=b"x" * compression.MAX_CONTENT, last=False)
    short = frames.Cancel(call=2)
    stream = bytearray()
    for frame in (short, long, short):
        stream += frames.encode(frame, deflater)
    contents = frames.split(stream)
    assert frames.decode(contents[1]) == long
    assert [frames.decode(c, inflater) for c in contents] == [short, long, short]


def test_compressed_content_is_refused_without_an_inflater() -> None:
    packed = frames.encode(frames.Cancel(call=1), compression.Deflater())
    with pytest.raises(errors.FrameError):
        frames.decode(packed[frames.LENGTH_BYTES :])


def test_content_that_inflates_beyond_its_limit_is_refused() -> None:
    packed = compression.Deflater().deflate(b"\0" * (compression.MAX_CONTENT + 1))
    with pytest.raises(errors.FrameError, match=str(compression.MAX_CONTENT)):
        compression.Inflater().inflate(packed)


@hypothesis.given(st.binary(max_size=300))
def test_arbitrary_marked_bytes_are_a_frame_or_a_clear_error(content: bytes) -> None:
    with contextlib.suppress(errors.FrameError):
        frames.decode(compression.MARKER + content, compression.Inflater())
