"""Calls to the log service while connections to it are silent."""

import asyncio
import collections.abc
import contextlib

import pytest

from gingerturn import errors
from gingerturn.internal.shell import http_calls

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT_MS = 100.0
LONG_TIMEOUT_MS = 60_000.0


class _Service:
    """A service whose open connections can fall silent for good."""

    def __init__(self) -> None:
        self.accepted = 0
        self.held = asyncio.Event()
        self.release = asyncio.Event()
        self._silent = 0
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> asyncio.Server:
        return await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def silence(self) -> None:
        self._silent = self.accepted

    def close(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        number = self.accepted
        self._writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"/held" in head:
                    self.held.set()
                    await self.release.wait()
                elif number <= self._silent:
                    continue
                writer.write(ANSWER)


@contextlib.asynccontextmanager
async def _served() -> collections.abc.AsyncIterator[
    tuple[_Service, http_calls.Client]
]:
    """Yield a service and a client of it with two idle connections."""
    service = _Service()
    async with await service.start() as server:
        port = server.sockets[0].getsockname()[1]
        client = http_calls.Client(
            f"http://127.0.0.1:{port}", timeout_ms=LONG_TIMEOUT_MS, epoch_header=b"e"
        )
        await _open_idle(client, 2)
        yield service, client
        await client.close()
        service.close()


async def _call(client: http_calls.Client, resource: str, timeout_ms: float) -> int:
    answer = await client.call("GET", resource, step="read", timeout_ms=timeout_ms)
    return answer.status


async def _open_idle(client: http_calls.Client, count: int) -> None:
    """Leave idle connections open."""
    calls = [_call(client, "/", LONG_TIMEOUT_MS) for _ in range(count)]
    assert await asyncio.gather(*calls) == [200] * count


# Guards against idle connections that fell silent and cost one time-out each.
def test_after_a_time_out_no_idle_connection_is_used() -> None:
    async def run() -> None:
        async with _served() as (service, client):
            service.silence()
            with pytest.raises(errors.LogServiceError, match="ReadTimeout"):
                await _call(client, "/", TIMEOUT_MS)
            assert await _call(client, "/", LONG_TIMEOUT_MS) == 200
            assert service.accepted == 3

    asyncio.run(asyncio.wait_for(run(), 30.0))


# Guards against calls that are broken off because another one timed out.
def test_a_call_in_progress_survives_the_time_out_of_another() -> None:
    async def run() -> None:
        async with _served() as (service, client):
            held = asyncio.create_task(_call(client, "/held", LONG_TIMEOUT_MS))
            await service.held.wait()
            service.silence()
            with pytest.raises(errors.LogServiceError, match="ReadTimeout"):
                await _call(client, "/", TIMEOUT_MS)
            service.release.set()
            assert await held == 200

    asyncio.run(asyncio.wait_for(run(), 30.0))
