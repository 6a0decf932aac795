"""Small deployment for the scripts of this review: stand-ins, clients and nodes.

Nodes are the project's own processes, started by the commands of the deploy file. The
store, the upstreams and the clients are stand-ins in the process of the script. They
use the standard library alone and follow the users' pages. Machines have loopback
addresses of their own and the same ports, as on the users' platform.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PASSED_VARIABLES = ("PATH", "HOME", "LANG")
NAMES = ("outbound", "inbound", "ready", "control", "app")
GOSSIP_PORTS = 16
BEAT_MS = 1_500
DRAIN_MS = 2_000
READY_LIMIT_S = 30.0
ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
"""How the connection of a stand-in ends."""

Headers = dict[str, str]


class NotPlayed(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, with the time in seconds since the start.

    :param path: the file that it is written to.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._began

    def write(self, text: str) -> float:
        """Write a line; return its time."""
        now = self.now()
        self._file.write(f"{now:8.3f} {text}\n")
        self._file.flush()
        return now


class Message(typing.NamedTuple):
    """An HTTP message: the first line, the headers and the body."""

    first: str
    headers: Headers
    body: bytes

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split(" ")[1])


async def read_message(
    reader: asyncio.StreamReader, *, is_answer: bool = False
) -> Message:
    """Read a whole message; an answer without a length ends with its connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif is_answer:
        body = await reader.read(-1)
    return Message(first, headers, body)


def answer(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return an encoded answer with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode("latin-1") + body


class Store:
    """The platform's store: keyed topics with one partition each."""

    def __init__(self) -> None:
        self._topics: dict[str, list[bytes]] = {}
        self._changed = asyncio.Event()

    def append(self, topic: str, record: bytes) -> None:
        """Append a record, and wake up the readers."""
        self._topics.setdefault(topic, []).append(record)
        self._changed.set()
        self._changed = asyncio.Event()

    def configure(self, content: dict[str, typing.Any]) -> None:
        """Write the operator's configuration."""
        self.append("keyed.op", b"\x06config" + json.dumps(content).encode())

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection."""
        with contextlib.suppress(*ENDS):
            while True:
                request = await read_message(reader)
                writer.write(await self._answer(request))
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> bytes:
        parts = urllib.parse.urlsplit(request.first.split(" ")[1])
        query = dict(urllib.parse.parse_qsl(parts.query))
        records = self._topics.setdefault(query["topic"], [])
        if parts.path == "/log-append":
            offset, position = len(records), 0
            while position < len(request.body):
                (size,) = struct.unpack_from(">I", request.body, position)
                position += 4 + size
                self.append(query["topic"], request.body[position - size : position])
            reply = {"offset": offset, "end_offset": len(records)}
            return answer(200, {}, json.dumps(reply).encode())
        if parts.path == "/log-read":
            start, until = int(query["from"]), time.monotonic()
            until += int(query.get("wait_ms", 0)) / 1000.0
            while len(records) <= start and (left := until - time.monotonic()) > 0:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)
            found = b"".join(struct.pack(">I", len(r)) + r for r in records[start:])
            return answer(200, {}, struct.pack(">QQ", len(records), 0) + found)
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(records):
            end = 1 + record[0]
            newest[record[1:end].decode()] = (offset, record[end:])
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        reply = {"items": items, "has_more": False, "end_offset": len(records)}
        return answer(200, {}, json.dumps(reply).encode())


Work = typing.Callable[["Upstream", Message, asyncio.StreamWriter], typing.Any]


class Upstream:
    """An upstream. It counts a request as run once it begins to work on it.

    :param work: does the work on a request and writes its answer.
    """

    def __init__(
        self,
        record: Record,
        machine: "Machine",
        *,
        service: str,
        instance: str,
        slots: int,
        work: Work,
    ) -> None:
        self.record = record
        self.machine = machine
        self.service = service
        self.instance = instance
        self.slots = slots
        self.sequence = 0
        self.state = "ready"
        self.runs: list[tuple[float, Message]] = []
        self.running = 0
        self._work = work
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and send liveness reports."""
        self._server = await asyncio.start_server(
            self._serve, self.machine.ip, self.machine.ports["app"], reuse_address=True
        )
        self.record.write(f"upstream {self.instance} of {self.service} starts")
        self._beats = asyncio.create_task(self._send_beats())

    def stop_beats(self) -> None:
        """Send no more liveness reports."""
        if self._beats is not None:
            self._beats.cancel()

    def stop_listening(self) -> None:
        """Give up the address; open connections stay as they are."""
        if self._server is not None:
            self._server.close()

    def end(self) -> None:
        """End, as a process that exits."""
        self.stop_beats()
        self.stop_listening()
        for writer in self._writers:
            writer.transport.abort()
        self.record.write(f"upstream {self.instance} ends")

    def beat(self, state: str = "") -> bytes:
        """Return the body of the next liveness report."""
        self.sequence += 1
        ports = self.machine.ports
        content = {
            "address": f"{self.machine.ip}:{ports['app']}",
            "node_info": {
                "service_name": self.service,
                "version": "v1",
                "zone": "a",
                "slots": self.slots,
            },
            "status": {
                "state": state or self.state,
                "sequence": self.sequence,
                "cold_remaining_ms": 0,
            },
        }
        return json.dumps(content).encode()

    async def report(self, body: bytes, call: str = "heartbeat") -> int:
        """Send a report to the node beside; return the status, 0 for no answer."""
        ports = self.machine.ports
        path = f"/instances/{self.instance}/{call}"
        try:
            async with asyncio.timeout(1.0):
                client = await Client.open(self.machine.ip, ports["control"])
                try:
                    return (await client.send("POST", path, {}, body)).status
                finally:
                    client.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return 0

    async def _send_beats(self) -> None:
        while True:
            await self.report(self.beat())
            await asyncio.sleep(BEAT_MS / 1000.0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(*ENDS):
            while True:
                request = await read_message(reader)
                number = request.headers.get("request-id", "")
                echo = {"Request-Id": number, "Instance-Id": self.instance}
                expected = request.headers.get("expected-instance", self.instance)
                if not number:
                    writer.write(answer(400, {"Not-Executed": "1"}))
                elif expected != self.instance:
                    self.record.write(f"{self.instance} answers {number} with 421")
                    writer.write(answer(421, echo))
                elif self.running >= self.slots:
                    writer.write(answer(503, {**echo, "Not-Executed": "1"}))
                else:
                    await self._run(request, number, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _run(
        self, request: Message, number: str, writer: asyncio.StreamWriter
    ) -> None:
        line = f"{self.instance} of {self.service} runs {number}: {request.first}"
        caller = request.headers.get("caller-service", "")
        at = self.record.write(f"{line}, Caller-Service {caller}")
        self.runs.append((at, request))
        self.running += 1
        try:
            await self._work(self, request, writer)
        finally:
            self.running -= 1
        if self.state == "draining":
            raise asyncio.IncompleteReadError(b"", None)


def signed(upstream: Upstream, request: Message) -> Headers:
    """Return the headers of an upstream's answer to a request it has run."""
    number = request.headers["request-id"]
    closes = {"Connection": "close"} if upstream.state == "draining" else {}
    return {
        "Request-Id": number,
        "Response-Signature": f"signed.{number}",
        "Instance-Id": upstream.instance,
        **closes,
    }


def works(seconds: float) -> Work:
    """Return work that takes a time, and is answered with 200."""

    async def work(
        upstream: Upstream, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(seconds)
        body = f"{upstream.service} {request.first}".encode()
        writer.write(answer(200, signed(upstream, request), body))

    return work


class Client:
    """A client's connection, for one request at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, host: str, port: int) -> "Client":
        """Open a connection."""
        return cls(*await asyncio.open_connection(host, port))

    async def send(
        self, method: str, path: str, headers: Headers, body: bytes = b""
    ) -> Message:
        """Send a request and return its answer."""
        fields = {"Host": "shop.example", **headers}
        if body or method != "GET":
            fields["Content-Length"] = str(len(body))
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        head = f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode("latin-1")
        self.writer.write(head + body)
        await self.writer.drain()
        return await read_message(self.reader, is_answer=True)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Machine:
    """A machine with its node.

    :param service: the service in the settings of the node.
    """

    def __init__(
        self, played: "Deployment", name: str, ip: str, ports: dict[str, int]
    ) -> None:
        self.played = played
        self.name = name
        self.ip = ip
        self.ports = ports
        self.service = ""
        self.node: asyncio.subprocess.Process | None = None

    def write_settings(self, service: str) -> None:
        """Write the settings of the node, whole or not at all."""
        self.service = service
        listen = {n: f"{self.ip}:{self.ports[n]}" for n in NAMES if n != "app"}
        gossip = self.ports["gossip"]
        content = {
            "node_id": self.name,
            "role": "gingerturn",
            "machine_class": "sidecar",
            "serves": ["sidecar"],
            "ip": self.ip,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": listen,
            "port_range": [gossip, gossip + GOSSIP_PORTS - 1],
            "seeds": [],
            "first_start": False,
            "limits": {"memory_mb": 300, "max_fds": 4100},
            "heartbeat_ms": BEAT_MS,
            "bounds": {
                "contact_ms": 3000,
                "drain_ms": DRAIN_MS,
                "grace_s": 6,
                "config_apply_ms": 2000,
                "retry_budget_ratio": 0.2,
                "retry_window_s": 10,
                "retry_budget_slack": 49,
            },
            "app_addr": f"{self.ip}:{self.ports['app']}",
            "service_name": service,
            "platform_config": {"address": self.played.store_address, "form": "log"},
        }
        path = self.settings
        path.with_suffix(".new").write_text(json.dumps(content))
        path.with_suffix(".new").rename(path)

    @property
    def settings(self) -> pathlib.Path:
        """Path of the settings file."""
        return self.played.folder / f"{self.name}.json"

    async def start_node(self) -> None:
        """Start the node with the command of the deploy file."""
        variables = {n: os.environ[n] for n in PASSED_VARIABLES if n in os.environ}
        with (self.played.folder / f"{self.name}.log").open("ab") as output:
            self.node = await asyncio.create_subprocess_exec(
                *self.played.command,
                cwd=ROOT,
                env={**variables, "GINGERTURN_BOOT": str(self.settings)},
                stdout=output,
                stderr=output,
            )
        self.played.record.write(f"node {self.name} starts")

    def signal_node(self, number: signal.Signals) -> None:
        """Send a signal to the node."""
        if self.node is not None and self.node.returncode is None:
            self.node.send_signal(number)
            self.played.record.write(f"node {self.name} gets {number.name}")

    async def wait_node(self) -> None:
        """Wait for the end of the node's process."""
        if self.node is not None:
            await self.node.wait()

    async def is_ready(self) -> bool:
        """Whether the node answers its readiness check with 200."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            client = await Client.open(self.ip, self.ports["ready"])
            try:
                return (await client.send("GET", "/readyz", {})).status == 200
            finally:
                client.close()
        return False

    async def ask(
        self,
        number: str,
        *,
        method: str = "GET",
        path: str = "/a/x",
        deadline_ms: int = 5_000,
        body: bytes = b"",
    ) -> int:
        """Send a request of a client on a new connection; return the status of its
        answer, 0 for none."""
        record = self.played.record
        record.write(f"client sends {number} to {self.name}: {method} {path}")
        headers = {"Request-Id": number, "Deadline-Ms": str(deadline_ms)}
        try:
            async with asyncio.timeout(deadline_ms / 1000.0 + 1.0):
                client = await Client.open(self.ip, self.ports["outbound"])
                try:
                    got = await client.send(method, path, headers, body)
                finally:
                    client.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            record.write(f"client gets no answer for {number}: {error!r}")
            return 0
        shown = got.body[:40].decode("latin-1")
        record.write(f"client gets {got.status} for {number}: {shown}")
        return got.status


class Deployment:
    """A small deployment; use it as a context manager.

    :param record: file that the record is written to.
    """

    def __init__(self, record: pathlib.Path) -> None:
        self.record = Record(record)
        self.machines: list[Machine] = []
        self.upstreams: list[Upstream] = []
        self.store = Store()
        self.store_address = ""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = shlex.split(deploy["roles"]["gingerturn"]["run"])
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)
        self._ports = _free_ports()
        self._version = 0

    async def __aenter__(self) -> "Deployment":
        port = self._ports["store"]
        await asyncio.start_server(self.store.serve, "127.0.0.1", port)
        self.store_address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *problem: object) -> None:
        for upstream in self.upstreams:
            upstream.end()
        for machine in self.machines:
            machine.signal_node(signal.SIGCONT)
            machine.signal_node(signal.SIGKILL)
        for machine in self.machines:
            if machine.node is not None:
                await machine.node.wait()
        if problem[0] is not None:
            for path in self.folder.glob("*.log"):
                print(path.name, path.read_text()[-2000:], file=sys.stderr)
        self._folder.cleanup()

    def configure(self, *routes: dict[str, typing.Any], **fields: typing.Any) -> None:
        """Write the next version of the operator's configuration."""
        self._version += 3
        names = sorted({route["service_name"] for route in routes})
        services = [
            {"name": name, "health_path": "/healthz", "max_connections": 600}
            for name in names
        ]
        content = {
            "version": f"{self._version:08x}",
            "routes": list(routes),
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            **fields,
        }
        self.store.configure(content)
        self.record.write(f"operator writes version {content['version']}")

    async def add(self, service: str) -> Machine:
        """Start a machine with its node."""
        number = len(self.machines) + 1
        name, ip = f"sidecar-a-{number}", f"127.11.0.{number}"
        machine = Machine(self, name, ip, self._ports)
        self.machines.append(machine)
        machine.write_settings(service)
        await machine.start_node()
        return machine

    async def add_upstream(
        self, machine: Machine, *, work: Work, slots: int = 8, service: str = ""
    ) -> Upstream:
        """Start an upstream beside a machine's node, as a new incarnation."""
        made = Upstream(
            self.record,
            machine,
            service=service or machine.service,
            instance=f"i-{len(self.upstreams) + 1:08x}",
            slots=slots,
            work=work,
        )
        self.upstreams.append(made)
        await made.start()
        return made

    async def wait_ready(self) -> None:
        """Wait until all nodes are ready, and for two further liveness reports."""
        until = time.monotonic() + READY_LIMIT_S
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > until:
                    raise NotPlayed(f"{machine.name} is not ready")
                await asyncio.sleep(0.05)
        await asyncio.sleep(2 * BEAT_MS / 1000.0)
        self.record.write("all nodes are ready")


def route(name: str, path: str, service: str, kind: str, **fields: typing.Any) -> dict:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "hostname": "shop.example",
        "path_prefix": path,
        "route_type": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 1500,
        "priority": 0,
        "service_name": service,
        "max_attempts": 2,
        **fields,
    }


def _free_ports() -> dict[str, int]:
    """Return ports that are free on all loopback addresses of the deployment."""
    for first in range(14_000 + os.getpid() % 200 * 64, 30_000, 64):
        wanted = range(first, first + 32)
        if all(_is_free(port) for port in wanted):
            return dict(zip((*NAMES, "store", "gossip"), wanted, strict=False))
    raise NotPlayed("no free ports")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind(("0.0.0.0", port))
            except OSError:
                return False
    return True


def play(
    record: pathlib.Path, main: typing.Callable[[Deployment], typing.Any]
) -> typing.NoReturn:
    """Play a case, and exit with 1 if its rule was broken, 0 if it held, and 2 if it
    could not run.

    :param record: file that the record is written to.
    :param main: plays it; returns how the rule was broken, empty if it held.
    """

    async def run() -> str:
        task = asyncio.current_task()
        if task is not None:
            # Ends the processes too.
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(100), Deployment(record) as deployment:
            result: str = await main(deployment)
            deployment.record.write(f"result: {result or 'the rule held'}")
            return result

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)
