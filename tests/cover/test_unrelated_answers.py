"""Answers on a backend server's connection that do not belong to the request there."""

import asyncio
import collections.abc
import dataclasses
import enum
import re

import hypothesis
import pytest
from hypothesis import strategies as st

from gingerturn.internal.core import messages
from gingerturn.internal.shell import backend_http
from gingerturn.internal.wire import frames
from tests.common import home_nodes

REJECTIONS = [
    home_nodes.answer(503, executed=False),
    home_nodes.answer(400, executed=False),
    home_nodes.answer(421),
]


async def _served(home: home_nodes.HomeNode) -> backend_http.Connection:
    """Serve a request, and return the connection that is idle after it."""
    await home.open(b"r0")
    (connection,) = home.connections
    connection.data_received(home_nodes.answer(200, request_id=b"r0"))
    return connection


# Guards against a request that is answered as not run, or sent again, on the word of an
# answer without a request id, while the backend server runs it.
def test_an_answer_without_an_id_says_nothing_of_the_request_in_progress() -> None:
    async def play(rejection: bytes) -> None:
        home = home_nodes.HomeNode()
        connection = await _served(home)
        call = await home.open(b"r1")
        connection.data_received(rejection)
        assert home.reply_to(call) is None
        connection.data_received(home_nodes.answer(200, request_id=b"r1", body=b"own"))
        reply = home.reply_to(call)
        assert isinstance(reply, frames.Answer)
        assert (reply.status, reply.body) == (200, b"own")
        assert home.pool.take() is None

    for rejection in REJECTIONS:
        asyncio.run(play(rejection))


def test_an_answer_with_two_ids_says_nothing_of_the_request_in_progress() -> None:
    async def play(extra: bytes) -> None:
        home = home_nodes.HomeNode()
        connection = await _served(home)
        call = await home.open(b"r1")
        connection.data_received(
            home_nodes.answer(503, request_id=b"r1", executed=False, extra=extra)
        )
        assert home.reply_to(call) is None

    asyncio.run(play(b"Request-Id: r0\r\n"))
    asyncio.run(play(b"X-Other: 1\r\nRequest-Id: r0\r\nX-Other: 2\r\n"))


# Guards against a home node that withdraws its backend server on the word of an answer
# without a request id.
def test_a_misdirection_without_an_id_leaves_the_backend_server_present() -> None:
    async def play() -> None:
        home = home_nodes.HomeNode()
        connection = await _served(home)
        await home.open(b"r1")
        connection.data_received(home_nodes.answer(421))
        assert home.node.state.backend.present

    asyncio.run(play())


# Guards against a request that is answered as not run on the word of a late second
# answer to its earlier sending, which has the same request id.
def test_a_rejected_request_does_not_return_over_the_same_connection() -> None:
    async def play() -> None:
        home = home_nodes.HomeNode()
        rejection = home_nodes.answer(503, request_id=b"r1", executed=False)
        first = await home.open(b"r1")
        (connection,) = home.connections
        connection.data_received(rejection)
        assert home.outcome_of(first) is messages.Outcome.NOT_RUN
        second = await home.open(b"r1")
        assert connection.usable
        connection.data_received(rejection)
        assert home.reply_to(second) is None

    asyncio.run(play())


# Guards against a late second answer to an earlier sending of a request id, which a
# caller used again, that is taken for the answer to the later one.
@pytest.mark.parametrize("status", [200, 500, 504])
@pytest.mark.parametrize("split", [0, 9, 40])
def test_an_answered_request_does_not_return_over_the_same_connection(
    status: int, split: int
) -> None:
    async def play() -> None:
        home = home_nodes.HomeNode()
        answered = home_nodes.answer(status, request_id=b"r1", body=b"first")
        first = await home.open(b"r1", repeatable=True)
        (connection,) = home.connections
        connection.data_received(answered)
        assert isinstance(home.reply_to(first), frames.Answer)
        second = await home.open(b"r1", repeatable=True)
        connection.data_received(answered[:split])
        connection.data_received(answered[split:])
        assert home.reply_to(second) is None

    asyncio.run(play())


def test_few_answered_ids_are_remembered() -> None:
    async def play() -> None:
        home = home_nodes.HomeNode()
        for number in range(backend_http.MAX_ANSWERED_IDS + 10):
            request_id = b"r%d" % number
            await home.open(request_id)
            (connection,) = home.connections
            connection.data_received(home_nodes.answer(200, request_id=request_id))
        assert len(connection._answered_ids) == backend_http.MAX_ANSWERED_IDS
        assert not connection.may_carry(request_id)

    asyncio.run(play())


def test_another_request_uses_the_connection_of_a_rejected_one() -> None:
    async def play() -> None:
        home = home_nodes.HomeNode()
        await home.open(b"r1")
        (connection,) = home.connections
        rejection = home_nodes.answer(503, request_id=b"r1", executed=False)
        connection.data_received(rejection)
        await home.open(b"r2")
        assert home.connections == [connection]

    asyncio.run(play())


# Guards against a list of rejected requests that grows for as long as a connection is
# used.
def test_a_connection_is_closed_after_many_rejections() -> None:
    async def play() -> None:
        home = home_nodes.HomeNode()
        for number in range(backend_http.MAX_REJECTED_IDS):
            request_id = b"r%d" % number
            await home.open(request_id)
            (connection,) = home.connections
            assert connection.usable
            connection.data_received(
                home_nodes.answer(503, request_id=request_id, executed=False)
            )
        assert not connection.usable

    asyncio.run(play())


# Guards against another request's answer that reaches a caller who sent no request id.
def test_a_request_without_an_id_gets_no_answer_that_has_one() -> None:
    async def play() -> None:
        home = home_nodes.HomeNode()
        connection = await _served(home)
        call = await home.open(b"")
        late = home_nodes.answer(200, request_id=b"r0", body=b"other")
        for each in home.connections:
            if each.usable:
                each.data_received(late)
        assert home.reply_to(call) is None
        assert home.connections != [connection]
        unnamed = home_nodes.answer(400, executed=False)
        home.connections[-1].data_received(unnamed)
        assert home.outcome_of(call) is messages.Outcome.NOT_RUN
        assert home.pool.take() is None or home.pool.take() is not home.connections[-1]

    asyncio.run(play())


def test_an_unrelated_answer_that_ends_its_connection_leaves_the_outcome_unknown() -> (
    None
):
    async def play() -> None:
        home = home_nodes.HomeNode()
        connection = await _served(home)
        call = await home.open(b"r1")
        connection.data_received(
            home_nodes.answer(503, executed=False, extra=b"Connection: close\r\n")
        )
        assert not connection.usable
        home.node.home.pool.close_idle()
        (hosted,) = home.node.state.hosted.values()
        assert hosted.state.value == "checking"
        assert home.reply_to(call) is None

    asyncio.run(play())


_WRITTEN = re.compile(rb"POST / HTTP/1\.1\r\n(?:[^\r]+\r\n)*?request-id: ([^\r]+)\r\n")


class Unrelated(enum.Enum):
    """Bytes that belong to no request."""

    REPEATED = "the latest answer of the connection once more"
    EARLIER = "its first answer once more"
    REJECTION = "a rejection without an id"
    MISDIRECTION = "a misdirection without an id"
    SUCCESS = "a success without an id"
    BARE_FAILURE = "a failure without an id"
    OTHER_ID = "a rejection with the id of no request"
    INFORMATIONAL = "an informational answer"


_FIXED = {
    Unrelated.REJECTION: home_nodes.answer(503, executed=False),
    Unrelated.MISDIRECTION: home_nodes.answer(421),
    Unrelated.SUCCESS: home_nodes.answer(200, body=b"no one's"),
    Unrelated.BARE_FAILURE: home_nodes.answer(503),
    Unrelated.OTHER_ID: home_nodes.answer(503, request_id=b"none", executed=False),
    Unrelated.INFORMATIONAL: b"HTTP/1.1 103 Hints\r\nNot-Executed: 1\r\n\r\n",
}


@dataclasses.dataclass(frozen=True)
class Reply:
    """How a backend server answers one request.

    :param again: a rejected request is sent again before it.
    :param ahead: another request arrives before it, which may be queued.
    :param rejects: it rejects the request.
    :param before: what it sends before its answer.
    :param after: what it sends directly behind it.
    :param cuts: positions at which the bytes are split, modulo their length.
    :param idle: what is behind the answer arrives while the connection is idle.
    """

    again: bool
    ahead: bool
    rejects: bool
    before: list[Unrelated]
    after: list[Unrelated]
    cuts: list[int]
    idle: bool


REPLIES = st.builds(
    Reply,
    again=st.booleans(),
    ahead=st.booleans(),
    rejects=st.booleans(),
    before=st.lists(st.sampled_from(Unrelated), max_size=2),
    after=st.lists(st.sampled_from(Unrelated), max_size=2),
    cuts=st.lists(st.integers(0, 400), max_size=3),
    idle=st.booleans(),
)


CLEAN = Reply(
    again=False,
    ahead=False,
    rejects=False,
    before=[],
    after=[],
    cuts=[],
    idle=False,
)


class Upstream:
    """A backend server that may also send answers which belong to no request."""

    def __init__(self, home: home_nodes.HomeNode) -> None:
        self._home = home
        self._sent: dict[backend_http.Connection, list[bytes]] = {}
        self.rejected: list[bytes] = []
        self.ran: list[bytes] = []

    def pending(self) -> tuple[backend_http.Connection, bytes] | None:
        """Return a connection with a request that was not answered, and its id."""
        for connection in self._home.connections:
            written = bytes(home_nodes.transport_of(connection).written)
            requests = _WRITTEN.findall(written)
            answered = len(self._sent.get(connection, []))
            if connection.usable and len(requests) > answered:
                return connection, requests[answered]
        return None

    def bytes_of(
        self, connection: backend_http.Connection, request_id: bytes, reply: Reply
    ) -> tuple[bytes, bytes]:
        """Run or reject a request.

        :return: the answer with what precedes it, and what is behind it.
        """
        sent = self._sent.setdefault(connection, [])
        before = b"".join(self._unrelated(sent, kind) for kind in reply.before)
        if reply.rejects:
            self.rejected.append(request_id)
            own = home_nodes.answer(503, request_id=request_id, executed=False)
        else:
            self.ran.append(request_id)
            own = home_nodes.answer(
                200, request_id=request_id, body=b"ran " + request_id
            )
        sent.append(own)
        after = b"".join(self._unrelated(sent, kind) for kind in reply.after)
        return before + own, after

    def _unrelated(self, sent: list[bytes], kind: Unrelated) -> bytes:
        if kind is Unrelated.REPEATED:
            return sent[-1] if sent else b""
        if kind is Unrelated.EARLIER:
            return sent[0] if sent else b""
        return _FIXED[kind]


def _pieces(content: bytes, cuts: list[int]) -> collections.abc.Iterator[bytes]:
    positions = sorted({cut % len(content) for cut in cuts} | {0, len(content)})
    for begin, end in zip(positions, positions[1:], strict=False):
        yield content[begin:end]


async def _exchange(
    home: home_nodes.HomeNode, upstream: Upstream, reply: Reply
) -> None:
    """Let the backend server answer a request."""
    pending = upstream.pending()
    if pending is None:
        return
    connection, request_id = pending
    answer, after = upstream.bytes_of(connection, request_id, reply)
    batches = [answer, after] if reply.idle else [answer + after]
    for batch in batches:
        for piece in _pieces(batch, reply.cuts) if batch else ():
            if connection.usable:
                connection.data_received(piece)
        await home.settle()


# Guards against statements that a request did not run which rest on bytes that belong
# to another request, to an earlier sending of it, or to none, split at any place; and
# against rejections and answers that such bytes displace.
@hypothesis.settings(max_examples=400)
@hypothesis.given(replies=st.lists(REPLIES, max_size=10), slots=st.integers(1, 2))
def test_a_request_is_said_not_to_have_run_exactly_if_it_was_rejected(
    replies: list[Reply], slots: int
) -> None:
    async def play() -> None:
        home = home_nodes.HomeNode(slots=slots)
        upstream = Upstream(home)
        calls: dict[int, bytes] = {}
        for number, reply in enumerate(replies):
            # Entry nodes send a request again whose latest sending did not run.
            latest = {request_id: call for call, request_id in calls.items()}
            refused = [r for r, call in latest.items() if home.states_rejection(call)]
            is_again = reply.again and bool(refused)
            request_id = refused[-1] if is_again else b"r%d" % number
            calls[await home.open(request_id)] = request_id
            if reply.ahead:
                calls[await home.open(b"a%d" % number)] = b"a%d" % number
            await _exchange(home, upstream, reply)
        while upstream.pending():
            await _exchange(home, upstream, CLEAN)
        stated = [calls[call] for call in calls if home.states_rejection(call)]
        assert sorted(stated) == sorted(upstream.rejected)
        answers = [home.reply_to(call) for call in calls]
        bodies = [a.body for a in answers if isinstance(a, frames.Answer)]
        assert sorted(bodies) == sorted(b"ran " + ran for ran in upstream.ran)

    asyncio.run(play())
