"""A lean HTTP load generator: paced calls over persistent connections.

It is written on the parser's library directly, since a full client library would
take more time for a call than what is to be measured.
"""

import asyncio
import collections
import time

import httptools
from hdrh import histogram

MAX_US = 60_000_000


class _Caller(asyncio.Protocol):
    """One connection, one call at a time."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._future: asyncio.Future[int] | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        self._transport = transport  # type: ignore[assignment]

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the call under way."""
        if self._future is not None and not self._future.done():
            self._future.set_exception(ConnectionError("connection lost"))

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        """End the call."""
        if self._future is not None and not self._future.done():
            self._future.set_result(self._parser.get_status_code())

    def call(self, request: bytes) -> "asyncio.Future[int]":
        """Send a call and return its status to come."""
        self._parser = httptools.HttpResponseParser(self)
        self._future = asyncio.get_running_loop().create_future()
        assert self._transport is not None
        self._transport.write(request)
        return self._future


def request_bytes(service: str, path: str, body: bytes = b"") -> bytes:
    """Return a request as it goes over the wire, with a trace as callers send it."""
    method = b"PUT" if body else b"GET"
    head = b"%b %b HTTP/1.1\r\nhost: %b\r\nuser-agent: bench\r\naccept: */*\r\n" % (
        method,
        path.encode(),
        service.encode(),
    )
    if body:
        head += b"content-length: %d\r\n" % len(body)
    return head + b"\r\n" + body


class Load:
    """Calls to one address, and the time that each took.

    :param port: where to call.
    :param connections: calls in flight at most.
    """

    def __init__(self, port: int, request: bytes, *, connections: int) -> None:
        self.times = histogram.HdrHistogram(1, MAX_US, 3)
        self.statuses: collections.Counter[int] = collections.Counter()
        self._port = port
        self._request = request
        self._connections = connections
        self._callers: list[_Caller] = []

    async def open(self) -> None:
        """Open the connections."""
        loop = asyncio.get_running_loop()
        for _ in range(self._connections):
            _, caller = await loop.create_connection(_Caller, "127.0.0.1", self._port)
            self._callers.append(caller)

    async def run(self, seconds: float, *, rate: float = 0.0) -> None:
        """Send calls for some seconds.

        :param rate: calls a second of all connections; 0 for as many as possible.
        """
        end = time.perf_counter() + seconds
        await asyncio.gather(
            *[
                self._one(caller, index, end, rate)
                for index, caller in enumerate(self._callers)
            ]
        )

    async def _one(self, caller: _Caller, index: int, end: float, rate: float) -> None:
        pause = self._connections / rate if rate else 0.0
        due = time.perf_counter() + pause * index / self._connections
        while due < end and time.perf_counter() < end:
            if pause:
                await asyncio.sleep(max(0.0, due - time.perf_counter()))
                due += pause
            begun = time.perf_counter()
            status = await caller.call(self._request)
            elapsed = int((time.perf_counter() - begun) * 1e6)
            self.times.record_value(max(1, min(elapsed, MAX_US)))
            self.statuses[status] += 1
            if not pause:
                due = time.perf_counter()
