"""Ends of exchanges: the next request on the connection, and its connection's loss."""

import asyncio

from gingerturn.internal.core import messages
from gingerturn.internal.shell import exchanges
from gingerturn.internal.wire import frames
from tests.common import home_nodes


# Guards against a request whose outcome becomes unknown since the bytes behind an
# earlier answer were read as a part of its own.
def test_bytes_behind_an_answer_do_not_reach_the_next_request() -> None:
    async def play(junk: bytes) -> None:
        home = home_nodes.HomeNode(slots=1)
        first = await home.open(b"r1")
        second = await home.open(b"r2")
        (connection,) = home.connections
        own = home_nodes.answer(200, request_id=b"r1", body=b"own")
        connection.data_received(own + junk)
        await home.settle()
        reply = home.reply_to(first)
        assert isinstance(reply, frames.Answer)
        assert reply.body == b"own"
        assert not connection.usable
        following = home.connections[-1]
        assert following is not connection
        following.data_received(home_nodes.answer(200, request_id=b"r2"))
        assert isinstance(home.reply_to(second), frames.Answer)

    asyncio.run(play(b"\x00\x16 no answer"))
    asyncio.run(play(home_nodes.answer(200, request_id=b"r1", body=b"own")))
    asyncio.run(play(home_nodes.answer(503, request_id=b"r2", executed=False)))
    asyncio.run(play(b"HTTP/1.1 503 X\r\nNot-Exec"))


# Guards against a call that waits for its deadline, and is then of unknown outcome,
# though its new connection was reset before the request was written.
def test_a_connection_that_is_reset_before_the_request_is_no_dispatch() -> None:
    async def play() -> None:
        home = home_nodes.HomeNode()
        home.resets = exchanges.CONNECT_TRIES
        call = await home.open(b"r1")
        assert home.outcome_of(call) is messages.Outcome.NOT_RUN
        assert home.node.state.backend.running == 0

    asyncio.run(play())


def test_another_connection_is_opened_in_place_of_a_reset_one() -> None:
    async def play() -> None:
        home = home_nodes.HomeNode()
        home.resets = exchanges.CONNECT_TRIES - 1
        call = await home.open(b"r1")
        home.connections[-1].data_received(home_nodes.answer(200, request_id=b"r1"))
        assert isinstance(home.reply_to(call), frames.Answer)

    asyncio.run(play())


# Guards against an error in the event loop's callback, which leaves the call in place.
def test_an_answer_that_switches_protocols_ends_the_exchange() -> None:
    async def play() -> None:
        home = home_nodes.HomeNode()
        await home.open(b"r1")
        (connection,) = home.connections
        connection.data_received(
            b"HTTP/1.1 101 X\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\nabc"
        )
        assert not connection.usable
        (hosted,) = home.node.state.hosted.values()
        assert hosted.state.value == "checking"

    asyncio.run(play())
