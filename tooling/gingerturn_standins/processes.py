"""Real processes for demonstrations and tests: a log, nodes and backend servers.

Only callers of this module start processes; the product starts none.
"""

import contextlib
import dataclasses
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import httpx

ROOT = pathlib.Path(__file__).resolve().parents[2]
SECRET = "a secret of the demonstration only"


_FIRST_PORT = 12_000
_RANGE_FILE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
_BLOCKS = 48
_MAX_OWN_BLOCKS = 4
"""Blocks that a process takes before it draws ports again."""


class _Ports:
    """The ports of this process, in blocks that no concurrent process uses.

    A killed node starts again on its port after seconds, in which another run must not
    take it. The first port of a block is bound for as long as this process runs.
    """

    def __init__(self) -> None:
        self._guards: list[socket.socket] = []
        self._ports: list[int] = []
        self._next = 0

    def draw(self) -> int:
        """Return a port that is free at present, each once before one is repeated.

        :raises OSError: if other processes use all ports.
        """
        tried = 0
        while tried <= len(self._ports):
            if self._next >= len(self._ports) and len(self._guards) < _MAX_OWN_BLOCKS:
                with contextlib.suppress(OSError):
                    self._add_block()
            if not self._ports:
                break
            port = self._ports[self._next % len(self._ports)]
            self._next += 1
            tried += 1
            if is_free(port):
                return port
        self._next = len(self._ports)
        self._add_block()
        return self.draw()

    def _add_block(self) -> None:
        size = (int(_RANGE_FILE.read_text().split()[0]) - _FIRST_PORT) // _BLOCKS
        for number in range(_BLOCKS):
            first = _FIRST_PORT + number * size
            guard = socket.socket(type=socket.SOCK_DGRAM)
            try:
                guard.bind(("127.0.0.1", first))
            except OSError:
                guard.close()
                continue
            self._guards.append(guard)
            # Every other one: a port may be used together with the next.
            self._ports += range(first + 1, first + size - 1, 2)
            return
        raise OSError(f"all {_BLOCKS} blocks of ports are in use by other processes")


def free_ports(count: int) -> list[int]:
    """Return ports that are free at present on the loopback address, TCP and UDP.

    They lie below the ephemeral range: the system could give a port of that range to an
    outgoing connection before the node listens on it.

    :raises OSError: if other processes use all ports.
    """
    return [_ports.draw() for _ in range(count)]


def is_free(port: int) -> bool:
    """Return whether a port is free at present."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


_ports = _Ports()


class NotStarted(Exception):
    """Raised when a node did not come up; the text names it."""


@dataclasses.dataclass
class NodeProcess:
    """A node and its backend server."""

    name: str
    calls_port: int
    admin_port: int
    backend_port: int
    node: subprocess.Popen[bytes]
    backend: subprocess.Popen[bytes] | None = None
    backend_arguments: tuple[str, ...] = ()

    @property
    def entry(self) -> str:
        """URL for callers."""
        return f"http://127.0.0.1:{self.calls_port}"

    @property
    def admin(self) -> str:
        """URL of the administration API."""
        return f"http://127.0.0.1:{self.admin_port}"

    @property
    def backend_url(self) -> str:
        """URL of the backend server itself."""
        return f"http://127.0.0.1:{self.backend_port}"


class Cluster:
    """The processes of a cluster; use it as a context manager.

    :param folder: where settings and logs are written.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.nodes: dict[str, NodeProcess] = {}
        (self.log_port,) = free_ports(1)
        self._environment = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join([str(ROOT / "src"), str(ROOT / "tooling")]),
        }
        self._processes: list[subprocess.Popen[bytes]] = []
        self.log = self._spawn(
            "log", "-m", "gingerturn_standins.log_service", "--port", str(self.log_port)
        )
        wait_for(f"{self.log_url}/control")

    def __enter__(self) -> "Cluster":
        return self

    def __exit__(self, *problem: object) -> None:
        self.close()

    @property
    def log_url(self) -> str:
        """URL of the log service."""
        return f"http://127.0.0.1:{self.log_port}"

    def add(
        self,
        name: str,
        *,
        service: str,
        zone: str,
        slots: int = 10,
        service_ms: float = 20.0,
        calls: tuple[str, ...] = (),
        extra: str = "",
        peers: str = "[]",
        wait: bool = True,
        backend: bool = True,
        options: tuple[str, ...] = (),
    ) -> NodeProcess:
        """Start a node and its backend server."""
        calls_port, peers_port, admin_port, backend_port = free_ports(4)
        path = self.folder / f"{name}.toml"
        path.write_text(
            f"peers = {peers}\n"
            f'[node]\nid = "{name}"\nzone = "{zone}"\nhost = "127.0.0.1"\n'
            f"calls_port = {calls_port}\npeers_port = {peers_port}\n"
            f"gossip_port = {peers_port}\nadmin_port = {admin_port}\n"
            f'[log]\nurl = "{self.log_url}"\n'
            f'[secret]\ncurrent = "{SECRET}"\n{extra}'
        )
        process = self._spawn(
            name, "-m", "gingerturn", "node", "--settings", str(path), *options
        )
        started = NodeProcess(name, calls_port, admin_port, backend_port, process)
        self.nodes[name] = started
        if not backend:
            return started
        started.backend_arguments = (
            *("-m", "gingerturn_standins.backend", "--service", service),
            *("--port", str(backend_port), "--slots", str(slots)),
            *("--service-ms", str(service_ms)),
            *("--entry", started.entry, "--admin", started.admin),
            *[part for call in calls for part in ("--call", call)],
        )
        self.start_backend(started)
        if wait:
            self.wait_up(started)
        return started

    def start_backend(self, node: NodeProcess) -> None:
        """Start a node's backend server, also after it has exited."""
        node.backend = self._spawn(f"{node.name}.backend", *node.backend_arguments)

    def wait_up(self, node: NodeProcess, timeout: float = 15.0) -> None:
        """Wait until a node answers.

        :raises NotStarted: naming the node, with the end of its log.
        """
        deadline = time.monotonic() + timeout
        while True:
            with contextlib.suppress(httpx.HTTPError):
                httpx.get(f"{node.admin}/status", timeout=1.0, trust_env=False)
                return
            ended = node.node.poll()
            if ended is not None or time.monotonic() > deadline:
                tail = (self.folder / f"{node.name}.log").read_text()[-400:]
                raise NotStarted(f"{node.name} did not come up ({ended=}): {tail}")
            time.sleep(0.05)

    def wait_ready(self, *, members: int, timeout: float = 20.0) -> None:
        """Wait until every node knows at least ``members`` upstreams."""
        deadline = time.monotonic() + timeout
        for node in self.nodes.values():
            while True:
                status = httpx.get(f"{node.admin}/status", trust_env=False).json()
                upstreams = [m for m in status["members"] if m["service"]]
                if len(upstreams) >= members:
                    break
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{node.name} knows {len(upstreams)} upstreams")
                time.sleep(0.05)

    def publish(self, team: str, text: str) -> int:
        """Publish a document and wait until it is in force at every node."""
        node = next(iter(self.nodes.values()))
        base = httpx.get(f"{node.admin}/config", trust_env=False).json()
        reply = httpx.post(
            f"{node.admin}/config/{team}",
            json={
                "author": "tests",
                "base": base["changed"].get(team, 0),
                "text": text,
            },
            timeout=20.0,
            trust_env=False,
        ).json()
        if not reply.get("accepted"):
            raise RuntimeError(f"not accepted: {reply}")
        self.wait_revision(reply["revision"])
        return int(reply["revision"])

    def wait_revision(self, revision: int, timeout: float = 15.0) -> None:
        """Wait until a revision is in force at every node."""
        deadline = time.monotonic() + timeout
        for node in self.nodes.values():
            while True:
                view = httpx.get(f"{node.admin}/config", trust_env=False).json()
                if view["revision"] >= revision:
                    break
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{node.name} is at {view['revision']}")
                time.sleep(0.02)

    def fault(self, **faults: object) -> None:
        """Set faults of the log service."""
        httpx.post(f"{self.log_url}/control", json=faults, trust_env=False)

    def close(self) -> None:
        """Kill every process."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait(timeout=10)

    def _spawn(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        with (self.folder / f"{name}.log").open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                env=self._environment,
                stdout=output,
                stderr=output,
            )
        self._processes.append(process)
        return process


def wait_for(url: str, timeout: float = 15.0) -> None:
    """Wait until a URL answers."""
    deadline = time.monotonic() + timeout
    while True:
        try:
            httpx.get(url, timeout=1.0, trust_env=False)
            return
        except httpx.HTTPError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.05)
