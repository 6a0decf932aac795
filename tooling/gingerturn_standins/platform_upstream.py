"""A stand-in for an upstream of the platform, with its heartbeats.

``POST /control`` sets: ``state`` (``draining``), ``refuse`` (answer 503 with
``Not-Executed``), ``work_ms``, ``silent`` (no more heartbeats), ``departs`` (one more
heartbeat, ``draining``), ``sends_late`` (one from before that), ``instance``, ``cut``
(break the connection in the middle of each answer), ``limit`` (the text of a rate limit
that each answer reports, ``null`` for none), ``leaving`` (each answer reports it) and
``unrelated`` (it rejects some requests, and sends bytes that belong to no request).
``GET /counts`` tells how often each request id ran, and the headers of the last one.

The query of a request may set ``work_ms`` (its work), ``bytes`` (the size of the
answer), ``over_ms`` (time over which it is written), ``status`` (of the answer),
``unread_ms`` (time for which its body is left unread) and ``call`` (path of a call that
it makes through its node, ``call_after_ms`` into its work).

Each arrival, run, acknowledged drain and change of the limit is also written to
standard output as a line of JSON, a run before its work begins.
"""

import asyncio
import collections
import dataclasses
import itertools
import json
import os
import signal
import time
import typing
import urllib.parse

import click
import httpx

from gingerturn_standins import http_server

HEARTBEAT_INTERVAL_S = 0.2
SLOTS = 8
DEADLY_PATH = "/deadly"
DEADLY_EXIT = 70
"""Exit status after a request with ``DEADLY_PATH`` in its path, which crashes the
process after its work."""


REJECTED_EVERY = 4
UNRELATED_EVERY = 3
"""How many requests there are for each that is rejected, and how many answers for each
with bytes that belong to no request, while these are enabled."""

UNRELATED = (
    b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nno",
    b"\x16\x03\x01 no answer",
)


class Upstream:
    """The stand-in.

    :param address: address that its heartbeats announce.
    :param entry: address of its node for calls of its own.
    :param slots: number of requests that it reports to serve at once.
    """

    def __init__(
        self,
        *,
        service: str,
        address: str,
        instance: str,
        entry: str = "",
        slots: int = SLOTS,
    ) -> None:
        self.service = service
        self._slots = slots
        self._entry = entry
        self.address = address
        self.instance = instance
        self.state = "ready"
        self.refuse = False
        self.silent = False
        self.cut = False
        self.limit: str | None = None
        self.leaving = False
        self.unrelated = False
        self.departs = False
        self.sends_late = False
        self.late_heartbeat: dict[str, object] | None = None
        self._arrived = 0
        self._unrelated = itertools.cycle(_unrelated_bytes())
        self.work_ms = 5.0
        self.sequence = 0
        self.runs: collections.Counter[str] = collections.Counter()
        self.last: dict[str, str] = {}
        self.acknowledged: list[str] = []

    async def handle(self, request: http_server.Request) -> http_server.Response:
        """Serve a request."""
        if request.target == "/control":
            changes = json.loads(request.body)
            for name, value in changes.items():
                setattr(self, name, value)
            if "limit" in changes:
                self._write("limit", self.limit or "")
            return http_server.Response(200, b"{}")
        if request.target == "/counts":
            counts = {
                "runs": self.runs,
                "last": self.last,
                "acknowledged": self.acknowledged,
            }
            return http_server.Response(200, json.dumps(counts).encode())
        response = await self._serve(request)
        if self.unrelated and self._arrived % UNRELATED_EVERY == 0:
            response = dataclasses.replace(response, **next(self._unrelated))
        return response

    async def _serve(self, request: http_server.Request) -> http_server.Response:
        number = request.headers.get("request-id", "")
        self._write("arrived", number, began=request.began)
        expected = request.headers.get("expected-instance", self.instance)
        echoed = {"Request-Id": number, **self._reports()}
        self._arrived += 1
        rejects = self.unrelated and self._arrived % REJECTED_EVERY == 0
        if not number or self.refuse or rejects:
            status = 503 if number else 400
            headers = {**echoed, "Not-Executed": "1"}
            return http_server.Response(status, b"", headers)
        if expected != self.instance:
            headers = {**echoed, "Instance-Id": self.instance}
            return http_server.Response(421, b"", headers)
        self.runs[number] += 1
        self._write("run", number, began=request.began)
        self.last = {**request.headers, "target": request.target}
        options = dict(urllib.parse.parse_qsl(request.target.partition("?")[2]))
        work_ms = float(options.get("work_ms", self.work_ms))
        if "call" in options:
            before_ms = min(work_ms, float(options.get("call_after_ms", 0.0)))
            await asyncio.sleep(before_ms / 1000.0)
            work_ms -= before_ms
            if not await self._call(options["call"], request):
                failed = {**echoed, "Response-Signature": f"signed.{number}"}
                return http_server.Response(500, b"", failed)
        await asyncio.sleep(work_ms / 1000.0)
        if DEADLY_PATH in request.target:
            os._exit(DEADLY_EXIT)
        self._write("ran", number)
        body = request.body or f"{self.service} {request.target}".encode()
        if "bytes" in options:
            body = b"x" * int(options["bytes"])
        signature = f"signed.{number}"
        headers = {**echoed, **self._reports(), "Response-Signature": signature}
        duration_s = float(options.get("over_ms", 0.0)) / 1000.0
        status = int(options.get("status", 200))
        return http_server.Response(
            status, body, headers, cut=self.cut, duration_s=duration_s
        )

    async def _call(self, path: str, request: http_server.Request) -> bool:
        """Make a call through the node beside, and return whether it succeeded."""
        headers = {
            "Host": request.headers.get("host", ""),
            "Request-Id": f"{request.headers.get('request-id', '')}.1",
            "Deadline-Ms": request.headers.get("deadline-ms", ""),
        }
        url = f"http://{self._entry}{path}"
        async with httpx.AsyncClient(
            timeout=10.0, trust_env=False, verify=False
        ) as client:
            try:
                return (await client.get(url, headers=headers)).is_success
            except httpx.HTTPError:
                return False

    def _reports(self) -> dict[str, str]:
        """Return the headers that report the rate limit and leaving."""
        headers = {}
        if self.limit is not None:
            headers["Server-Limit"] = self.limit
        if self.leaving:
            headers["Server-Leaving"] = "1"
        if headers:
            headers["Instance-Id"] = self.instance
        return headers

    def due_heartbeat(self) -> dict[str, object] | None:
        """Return the heartbeat to send now, if any."""
        if self.departs and self.late_heartbeat is None:
            self.late_heartbeat = self.next_heartbeat()
            self.state = "draining"
        if self.sends_late and self.late_heartbeat is not None:
            self.sends_late = False
            return self.late_heartbeat
        return None if self.silent else self.next_heartbeat()

    def on_acknowledged(self, state: str) -> None:
        """Record that a heartbeat with this state was acknowledged."""
        self.silent |= self.departs
        if state == "draining" and state not in self.acknowledged:
            self._write("acknowledged", "")
        self.acknowledged.append(state)

    def _write(self, event: str, number: str, *, began: float = 0.0) -> None:
        line: dict[str, object] = {
            "event": event,
            "at": time.time() * 1000.0,
            "instance": self.instance,
            "service": self.service,
            "id": number,
        }
        if began:
            line["reached"] = began * 1000.0
        print(json.dumps(line, separators=(",", ":")), flush=True)

    def next_heartbeat(self) -> dict[str, object]:
        """Return the next heartbeat."""
        self.sequence += 1
        return {
            "address": self.address,
            "node_info": {
                "service_name": self.service,
                "version": "v1",
                "zone": "a",
                "slots": self._slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "cold_remaining_ms": 0,
            },
        }


def _unrelated_bytes() -> list[dict[str, typing.Any]]:
    """Return fields of responses with bytes that belong to no request."""
    found: list[dict[str, typing.Any]] = []
    for content in UNRELATED:
        found += [{"later": content}, {"repeated": True}, {"behind": content}]
    return found


async def send_heartbeats(upstream: Upstream, control: str) -> None:
    """Send heartbeats until cancelled."""
    async with httpx.AsyncClient(timeout=1.0, trust_env=False, verify=False) as client:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            heartbeat = upstream.due_heartbeat()
            if heartbeat is None:
                continue
            state = upstream.state
            url = f"http://{control}/instances/{upstream.instance}/heartbeat"
            try:
                reply = await client.post(url, json=heartbeat)
            except httpx.HTTPError:
                continue
            if reply.status_code == 200:
                upstream.on_acknowledged(state)


@click.command()
@click.option("--service", required=True)
@click.option("--port", type=int, required=True)
@click.option("--announce", type=int, help="Port to announce, if another one.")
@click.option("--instance", required=True)
@click.option("--control", required=True, help="IP:PORT for heartbeats.")
@click.option("--entry", default="", help="IP:PORT for calls of its own.")
@click.option("--slots", default=SLOTS, help="Requests served at once.")
def main(
    service: str,
    port: int,
    announce: int | None,
    instance: str,
    control: str,
    entry: str,
    slots: int,
) -> None:
    """Run the stand-in until SIGTERM."""

    async def run() -> None:
        upstream = Upstream(
            service=service,
            address=f"127.0.0.1:{announce or port}",
            instance=instance,
            entry=entry,
            slots=slots,
        )
        server = await http_server.serve(upstream.handle, "127.0.0.1", port)
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
        heartbeats = asyncio.create_task(send_heartbeats(upstream, control))
        await stop.wait()
        heartbeats.cancel()
        server.close()

    asyncio.run(run())


if __name__ == "__main__":
    main()
