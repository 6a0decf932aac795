"""A stand-in for the platform's append-only log service.

``POST /streams/NAME/records`` appends the body; ``GET /streams/NAME/records`` with
``from``, ``max`` and ``wait_ms`` reads. ``POST /control`` sets faults.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import time
import urllib.parse

import click

from gingerturn_standins import http_server


@dataclasses.dataclass
class Faults:
    """Faults that can be injected.

    :param down: refuse everything with 503.
    :param silent: accept requests and never answer.
    :param delay_ms: wait before each answer.
    :param lose_acks: number of following appends that take effect unanswered.
    """

    down: bool = False
    silent: bool = False
    delay_ms: float = 0.0
    lose_acks: int = 0


@dataclasses.dataclass
class Stream:
    """One stream: records from ``oldest`` on."""

    oldest: int = 0
    records: list[tuple[float, bytes]] = dataclasses.field(default_factory=list)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """The offset after the newest record."""
        return self.oldest + len(self.records)


class LogService:
    """The log service.

    :param retention_s: records older than this are dropped.
    """

    def __init__(self, *, retention_s: float = 86_400.0) -> None:
        self.faults = Faults()
        self.streams: dict[str, Stream] = {}
        self.appends = 0
        self.reads = 0
        self._retention_s = retention_s

    async def handle(self, request: http_server.Request) -> http_server.Response:
        """Serve a request."""
        parts = urllib.parse.urlsplit(request.target)
        if parts.path == "/control":
            return self._control(request)
        if self.faults.down:
            return http_server.Response(503, b'{"error": "outage"}')
        if self.faults.silent:
            await asyncio.sleep(3_600)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000.0)
        pieces = parts.path.split("/")
        if len(pieces) != 4 or pieces[1] != "streams" or pieces[3] != "records":
            return http_server.Response(404, b'{"error": "no such resource"}')
        stream = self.streams.setdefault(pieces[2], Stream())
        self._drop_expired(stream)
        if request.method == "POST":
            return self._append(stream, request.body)
        query = {k: int(v) for k, v in urllib.parse.parse_qsl(parts.query)}
        return await self._read(stream, query)

    def _control(self, request: http_server.Request) -> http_server.Response:
        if request.method == "POST":
            for name, value in json.loads(request.body).items():
                if name == "retention_s":
                    self._retention_s = value
                else:
                    setattr(self.faults, name, value)
        counts = {"appends": self.appends, "reads": self.reads}
        return http_server.Response(
            200, json.dumps({**dataclasses.asdict(self.faults), **counts}).encode()
        )

    def _append(self, stream: Stream, record: bytes) -> http_server.Response:
        self.appends += 1
        offset = stream.end
        stream.records.append((time.monotonic(), record))
        stream.changed.set()
        stream.changed = asyncio.Event()
        if self.faults.lose_acks > 0:
            self.faults.lose_acks -= 1
            raise http_server.NoAnswer
        return http_server.Response(200, json.dumps({"offset": offset}).encode())

    async def _read(
        self, stream: Stream, query: dict[str, int]
    ) -> http_server.Response:
        self.reads += 1
        wanted = query.get("from", 0)
        if wanted >= stream.end and query.get("wait_ms", 0):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(query["wait_ms"] / 1000.0):
                    await stream.changed.wait()
        if self.faults.down:
            return http_server.Response(503, b'{"error": "outage"}')
        first = max(stream.oldest, min(wanted, stream.end))
        start = first - stream.oldest
        records = stream.records[start : start + query.get("max", 500)]
        reply = {
            "first": first,
            "oldest": stream.oldest,
            "end": stream.end,
            "records": [base64.b64encode(record).decode() for _, record in records],
        }
        return http_server.Response(200, json.dumps(reply).encode())

    def _drop_expired(self, stream: Stream) -> None:
        horizon = time.monotonic() - self._retention_s
        while stream.records and stream.records[0][0] < horizon:
            stream.records.pop(0)
            stream.oldest += 1


@click.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", default=7000)
@click.option("--retention-s", default=86_400.0)
def main(host: str, port: int, retention_s: float) -> None:
    """Run the stand-in of the log service."""

    async def run() -> None:
        service = LogService(retention_s=retention_s)
        server = await http_server.serve(service.handle, host, port)
        await server.serve_forever()

    asyncio.run(run())


if __name__ == "__main__":
    main()
