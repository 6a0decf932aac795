"""Answers of a log service that do not end."""

import asyncio
import collections.abc

import pytest

from gingerturn import errors
from gingerturn.internal.shell import http_calls

MAX_BYTES = 100_000
PIECE = b"%x\r\n%b\r\n" % (1_000, b"x" * 1_000)
HEADS = {
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "until the close": b"HTTP/1.1 200 OK\r\n\r\n",
    "announced": b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n",
}

Writing = collections.abc.Callable[
    [asyncio.StreamWriter], collections.abc.Awaitable[None]
]


async def _call(write: Writing) -> errors.LogServiceError:
    """Call a service that answers so, and return the error."""
    is_closed = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        try:
            await write(writer)
            await reader.read()
        except OSError:
            pass
        is_closed.set()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = http_calls.Client(
        f"http://127.0.0.1:{port}", timeout_ms=500.0, epoch_header=b"log-epoch"
    )
    try:
        with pytest.raises(errors.LogServiceError) as raised:
            await client.call("GET", "/x", step="read x")
        # The connection is not used again, nor read any more.
        await is_closed.wait()
        return raised.value
    finally:
        await client.close()
        server.close()


# Guards against a node that keeps an answer without an end until it has no memory.
@pytest.mark.parametrize("framing", HEADS)
def test_an_answer_without_an_end_fails_at_the_limit(
    framing: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http_calls, "MAX_ANSWER_BYTES", MAX_BYTES, raising=False)

    async def write(writer: asyncio.StreamWriter) -> None:
        writer.write(HEADS[framing])
        for _ in range(20 * MAX_BYTES // len(PIECE)):
            writer.write(PIECE)
            await writer.drain()

    error = asyncio.run(_call(write))
    assert str(MAX_BYTES) in error.message
    # It may have taken effect.
    assert error.took_effect is None


# Guards against a call that stays pending for as long as a byte arrives now and then.
def test_an_answer_that_trickles_fails_at_the_time_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(http_calls, "MAX_TRANSFER_S", 0.1, raising=False)

    async def write(writer: asyncio.StreamWriter) -> None:
        writer.write(HEADS["until the close"])
        for _ in range(100):
            writer.write(b"x")
            await writer.drain()
            await asyncio.sleep(0.05)

    error = asyncio.run(_call(write))
    # Not that of a read, each of which got a byte in time.
    assert error.message == "TimeoutError()"
    assert error.took_effect is None
