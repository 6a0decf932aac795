"""Connections of the administration API whose clients still send at their close."""

import asyncio
import socket

import pytest
import uvloop

from gingerturn.internal.shell import admin, node as nodes
from tests.common import builders, late_readers

PIECE = b"u" * 1_000_000
UPLOAD = (
    b"%b HTTP/1.1\r\nhost: n\r\nconnection: close\r\ncontent-length: 20000000\r\n\r\n"
)


# Guards against clients that see a reset in place of the answer, since the node closes
# before it has read what they send.
@pytest.mark.parametrize(
    ("first", "status"),
    [(b"no request\r\n\r\n", 400), (UPLOAD % b"POST /none", 404)],
    ids=["invalid", "unknown"],
)
def test_an_answer_reaches_a_client_that_writes_on(first: bytes, status: int) -> None:
    async def play() -> late_readers.Seen:
        server = admin.server(nodes.Node(builders.settings()))
        bound = socket.create_server(("127.0.0.1", 0))
        port = bound.getsockname()[1]
        serving = asyncio.create_task(server.serve(sockets=[bound]))
        try:
            return await asyncio.to_thread(
                late_readers.exchange, port, (first, *[PIECE] * 20), pause_s=0.02
            )
        finally:
            server.should_exit = True
            await serving

    seen = uvloop.run(play())
    assert seen.error == ""
    assert seen.received.startswith(b"HTTP/1.1 %d " % status)
