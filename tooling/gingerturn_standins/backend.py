"""A stand-in for a backend server: slots, service time and calls to other services.

``POST /control`` sets ``service_ms``, ``refuse`` (answer 503 while all slots are busy),
``slow`` (factor on the service time) and ``load_lag_s``. ``GET /counts`` returns how
often each ``Idempotency-Key`` or ``X-Request-Id`` was executed, and for how many root
requests; ``GET /load`` returns the load ``load_lag_s`` ago. A closed connection
cancels; an expired deadline ends the work with 504. A request under ``/deadly`` crashes
the process after its work, without an answer. After a cold start the work at first
takes ``COLD_FACTOR`` times as long.
"""

import asyncio
import collections
import contextlib
import json
import os
import random
import signal
import time

import click
import httpx
import uvloop

from gingerturn_standins import http_server

COLD_FACTOR = 3.0
"""Factor on the service time right after a cold start; it falls to 1 within
``COLD_S`` seconds."""

COLD_S = 5.0
LOAD_SAMPLES = 1_000
DEADLY_PATH = "/deadly"
DEADLY_EXIT = 70


class BackendServer:
    """The stand-in.

    :param slots: requests worked on at once; further ones wait.
    :param calls: what each request calls in turn, as ``METHOD:SERVICE/PATH``.
    """

    def __init__(
        self,
        *,
        service: str,
        slots: int,
        service_ms: float,
        calls: list[str],
        entry: str,
        cold: bool = False,
    ) -> None:
        self.service = service
        self.slots = slots
        self.service_ms = service_ms
        self.slow = 1.0
        self.refuse = False
        self.executions: collections.Counter[str] = collections.Counter()
        self.finished = 0
        self.cancelled = 0
        self.running = 0
        self.expired = 0
        self.load_lag_s = 2.0
        self._roots: set[str] = set()
        self._loads: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=LOAD_SAMPLES
        )
        self._warm_at = time.monotonic() + (COLD_S if cold else 0.0)
        self._semaphore = asyncio.Semaphore(slots)
        self._calls = calls
        self._entry = entry
        self._client = httpx.AsyncClient(
            timeout=60.0, trust_env=False, limits=httpx.Limits(max_connections=None)
        )
        self._random = random.Random(service)

    async def handle(self, request: http_server.Request) -> http_server.Response:
        """Serve a request."""
        if request.target == "/control":
            for name, value in json.loads(request.body).items():
                setattr(self, name, value)
            return http_server.Response(200, b"{}")
        if request.target == "/counts":
            return http_server.Response(200, self._counts())
        if request.target == "/load":
            return http_server.Response(200, self._lagging_load())
        if request.target.startswith("/echo"):
            return http_server.Response(200, request.body)
        if request.target == "/headers":
            return http_server.Response(200, json.dumps(request.headers).encode())
        if request.target.startswith("/bytes/"):
            return _bytes_answer(request.target)
        if self.refuse and self.running >= self.slots:
            return http_server.Response(503, b'{"error": "busy"}')
        return await self._work(request)

    async def _work(self, request: http_server.Request) -> http_server.Response:
        name = request.headers.get("idempotency-key") or request.headers.get(
            "x-request-id", ""
        )
        deadline_ms = float(request.headers.get("gingerturn-deadline-ms", 600_000))
        self._record_load(1)
        try:
            async with asyncio.timeout(deadline_ms / 1000.0), self._semaphore:
                if name:
                    self.executions[name] += 1
                self._roots.add(request.headers.get("traceparent", "--")[3:35])
                await asyncio.sleep(self._work_ms() / 1000.0)
                if request.target.startswith(DEADLY_PATH):
                    os._exit(DEADLY_EXIT)
                status = await self._call_dependencies(request)
        except TimeoutError:
            self.expired += 1
            return http_server.Response(504, b'{"error": "deadline passed"}')
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self._record_load(-1)
        self.finished += 1
        if status != 200:
            return http_server.Response(status, b'{"error": "a call failed"}')
        body = json.dumps({"service": self.service, "id": name}).encode()
        return http_server.Response(200, body)

    def _work_ms(self) -> float:
        left = max(0.0, self._warm_at - time.monotonic()) / COLD_S
        cold = 1.0 + (COLD_FACTOR - 1.0) * left
        return self.service_ms * self.slow * cold * self._random.uniform(0.8, 1.2)

    def _record_load(self, change: int) -> None:
        self.running += change
        self._loads.append((time.monotonic(), self.running))

    def _lagging_load(self) -> bytes:
        """Return the load ``load_lag_s`` ago, as a lagging load endpoint does."""
        horizon = time.monotonic() - self.load_lag_s
        old = [load for at, load in self._loads if at <= horizon]
        return json.dumps({"load": old[-1] if old else 0}).encode()

    async def _call_dependencies(self, request: http_server.Request) -> int:
        """Call the services of a request in turn; stop at the first failure."""
        if request.method != "POST":
            return 200
        for target in self._calls:
            service, _, path = target.partition("/")
            method, _, service = service.rpartition(":")
            headers = {"host": service}
            for name in ("traceparent", "x-request-id"):
                if name in request.headers:
                    headers[name] = request.headers[name]
            try:
                reply = await self._client.request(
                    method or "POST", f"{self._entry}/{path}", headers=headers
                )
            except httpx.HTTPError:
                return 502
            if reply.status_code != 200:
                return 503 if reply.status_code == 503 else 502
        return 200

    def _counts(self) -> bytes:
        return json.dumps(
            {
                "executions": self.executions,
                "finished": self.finished,
                "cancelled": self.cancelled,
                "running": self.running,
                "expired": self.expired,
                "roots": len(self._roots),
            }
        ).encode()


def _bytes_answer(target: str) -> http_server.Response:
    """Answer ``/bytes/N``, ``/bytes/N/chunked`` or ``/bytes/N/cut`` with N bytes."""
    parts = target.split("/")
    size = int(parts[2])
    how = parts[3] if len(parts) > 3 else ""
    if how == "chunked":
        piece = b"x" * 65_536
        pieces = [piece] * (size // len(piece)) + [b"x" * (size % len(piece))]
        return http_server.Response(200, pieces=[p for p in pieces if p])
    return http_server.Response(200, b"x" * size, cut=how == "cut")


async def announce(
    client: httpx.AsyncClient, admin: str, fields: dict[str, object]
) -> None:
    """Announce the backend server to its node, and renew until cancelled."""
    while True:
        try:
            reply = await client.put(f"{admin}/backend", json=fields)
            reply.raise_for_status()
            fields["cold"] = False
            await asyncio.sleep(2.0)
        except httpx.HTTPError:
            await asyncio.sleep(0.1)


@click.command()
@click.option("--service", required=True)
@click.option("--host", default="127.0.0.1")
@click.option("--port", type=int, required=True)
@click.option("--slots", default=10)
@click.option("--service-ms", default=20.0)
@click.option("--call", "calls", multiple=True, help="METHOD:SERVICE/PATH")
@click.option("--entry", default="", help="URL of the node's calls port.")
@click.option("--admin", default="", help="URL of the node's administration API.")
@click.option("--cold", is_flag=True)
def main(
    service: str,
    host: str,
    port: int,
    slots: int,
    service_ms: float,
    calls: tuple[str, ...],
    entry: str,
    admin: str,
    cold: bool,
) -> None:
    """Run the stand-in until SIGTERM, then withdraw and finish its requests."""

    async def run() -> None:
        backend = BackendServer(
            service=service,
            slots=slots,
            service_ms=service_ms,
            calls=list(calls),
            entry=entry,
            cold=cold,
        )
        server = await http_server.serve(backend.handle, host, port)
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
        fields: dict[str, object] = {
            "service": service,
            "host": host,
            "port": port,
            "slots": slots,
            "connections": slots * 7,
            "cold": cold,
        }
        async with httpx.AsyncClient(timeout=5.0, trust_env=False) as client:
            task = (
                asyncio.create_task(announce(client, admin, fields)) if admin else None
            )
            await stop.wait()
            if task is not None:
                task.cancel()
                with contextlib.suppress(httpx.HTTPError):
                    await client.delete(f"{admin}/backend")
        while backend.running:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.2)
        server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


if __name__ == "__main__":
    main()
