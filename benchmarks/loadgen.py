"""Minimal HTTP load generator: paced calls over persistent connections.

Uses the HTTP parser directly, since the overhead of a full client library would
exceed the latency to be measured.
"""

import asyncio
import collections
import time

import httptools
from hdrh import histogram

MAX_US = 60_000_000


class _Caller(asyncio.Protocol):
    """Client connection with one call in flight at a time."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._future: asyncio.Future[int] | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the call in flight."""
        if self._future is not None and not self._future.done():
            self._future.set_exception(ConnectionError("connection lost"))

    def data_received(self, data: bytes) -> None:
        """Pass received data to the parser."""
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Complete the call with its status."""
        if self._future is not None and not self._future.done():
            self._future.set_result(self._parser.get_status_code())

    def call(self, request: bytes) -> "asyncio.Future[int]":
        """Send a call and return a future of its status."""
        self._parser = httptools.HttpResponseParser(self)
        self._future = asyncio.get_running_loop().create_future()
        assert self._transport is not None
        self._transport.write(request)
        return self._future


def request_bytes(service: str, path: str, body: bytes = b"") -> bytes:
    """Return the bytes of a request as a caller sends it."""
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
    """Load on one local port, with a histogram of latencies.

    :param port: local port to call.
    :param connections: number of connections, and so the maximum calls in flight.
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
        """Send calls for a number of seconds.

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
