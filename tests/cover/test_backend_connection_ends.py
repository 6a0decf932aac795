"""Ends of exchanges: the next request on the connection, and its connection's loss."""

import asyncio

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
