"""Nodes as real processes, on the stand-ins of the platform."""

import collections.abc
import contextlib
import dataclasses
import functools
import json
import os
import pathlib
import signal
import struct
import subprocess
import sys
import time

import httpx

from gingerturn_standins import platform_upstream, processes

ROOT = processes.ROOT

# Loading certificates, which plain HTTP does not need, takes some 40 ms of a core.
_get = functools.partial(httpx.get, trust_env=False, verify=False)
_post = functools.partial(httpx.post, trust_env=False, verify=False)

STOP_S = 10.0
APPEND_S = 20.0
REVOKE_MS = 5_000
"""Time within which a revoked key stops working at each node."""

ZONES = ("a", "b")
"""Machines are assigned to them in turn, so that calls also cross zones."""


@dataclasses.dataclass
class Machine:
    """A node and its upstream.

    :param starts: number of starts of the upstream.
    """

    name: str
    service: str
    ports: dict[str, int]
    node: subprocess.Popen[bytes]
    upstream: subprocess.Popen[bytes]
    starts: int = 1

    @property
    def entry(self) -> str:
        """URL for callers."""
        return f"http://127.0.0.1:{self.ports['outbound']}"

    @property
    def upstream_url(self) -> str:
        """URL of the upstream itself."""
        return f"http://127.0.0.1:{self.ports['app']}"

    def ready(self) -> bool:
        """Return whether the node reports that it is ready."""
        url = f"http://127.0.0.1:{self.ports['ready']}/readyz"
        try:
            return _get(url, timeout=1.0).status_code == 200
        except httpx.HTTPError:
            return False

    @property
    def metrics_url(self) -> str:
        """Address of the node's metrics."""
        return f"http://127.0.0.1:{self.ports['gossip'] + 1}/metrics"

    def metrics(self) -> str:
        """Return the node's metrics."""
        return _get(self.metrics_url, timeout=1.0).text

    def metric(self, name: str) -> float:
        """Return a metric of the node; -1 if it does not answer."""
        with contextlib.suppress(httpx.HTTPError):
            for line in self.metrics().splitlines():
                if line.startswith(f"gingerturn_{name} "):
                    return float(line.rpartition(" ")[2])
        return -1.0

    def tell_upstream(self, **fields: object) -> None:
        """Set the behaviour of the upstream."""
        _post(f"{self.upstream_url}/control", json=fields)

    def counts(self) -> dict[str, dict[str, int]]:
        """Return how often each request id ran."""
        content: dict[str, dict[str, int]] = _get(f"{self.upstream_url}/counts").json()
        return content


class Platform:
    """The store and some machines; use it as a context manager.

    :param folder: where settings and logs are written.
    :param log_link: port through which nodes reach the store, in place of its own.
    :param slots: number of requests that each upstream reports to serve at once.
    :param limits: what the settings of nodes tell of their machines.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        log_link: int | None = None,
        slots: int = platform_upstream.SLOTS,
        limits: collections.abc.Mapping[str, float] | None = None,
    ) -> None:
        self._slots = slots
        self._limits = limits or {}
        self.folder = folder
        self.machines: dict[str, Machine] = {}
        (self.store_port,) = processes.free_ports(1)
        self._peer_links: dict[str, int] = {}
        self._log_link = log_link or self.store_port
        path = [str(ROOT / "src"), str(ROOT / "tooling")]
        self._environment = {**os.environ, "PYTHONPATH": os.pathsep.join(path)}
        self._processes: list[subprocess.Popen[bytes]] = []
        self._version = 0
        self._spawn(
            "store",
            *("-m", "gingerturn_standins.platform_store"),
            *("--port", str(self.store_port)),
        )
        processes.wait_for(f"{self.store_url}/control")

    def __enter__(self) -> "Platform":
        return self

    def __exit__(self, *problem: object) -> None:
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait(timeout=STOP_S)

    @property
    def store_url(self) -> str:
        """URL of the store."""
        return f"http://127.0.0.1:{self.store_port}"

    def add(
        self,
        name: str,
        *,
        service: str,
        link: int | None = None,
        peers_link: int = 0,
    ) -> Machine:
        """Start a node and its upstream.

        :param link: port that the upstream announces in place of its own.
        :param peers_link: port to which other nodes connect in place of its own.
        """
        names = ("outbound", "inbound", "ready", "control", "app")
        ports = dict(zip(names, processes.free_ports(len(names)), strict=True))
        ports["gossip"] = _free_pair()
        ports["link"] = link or ports["app"]
        self._peer_links[name] = peers_link
        zone = ZONES[len(self.machines) % len(ZONES)]
        self._write_settings(name, service, zone, ports)
        node = self.start_node(name)
        upstream = self._start_upstream(name, service, ports, f"i-{name}")
        machine = Machine(name, service, ports, node, upstream)
        self.machines[name] = machine
        return machine

    def restart_upstream(self, machine: Machine) -> None:
        """Start an upstream that has exited, as a new instance."""
        machine.starts += 1
        instance = f"i-{machine.name}-{machine.starts}"
        machine.upstream = self._start_upstream(
            machine.name, machine.service, machine.ports, instance
        )

    def _start_upstream(
        self, name: str, service: str, ports: dict[str, int], instance: str
    ) -> subprocess.Popen[bytes]:
        return self._spawn(
            f"{name}.upstream",
            *("-m", "gingerturn_standins.platform_upstream", "--service", service),
            *("--port", str(ports["app"]), "--announce", str(ports["link"])),
            *("--instance", instance),
            *("--control", f"127.0.0.1:{ports['control']}"),
            *("--entry", f"127.0.0.1:{ports['outbound']}"),
            *("--slots", str(self._slots)),
        )

    def start_node(self, name: str) -> subprocess.Popen[bytes]:
        """Start a node's process with the settings written for it."""
        return self._spawn(
            name,
            str(ROOT / "platform" / "node.py"),
            GINGERTURN_BOOT=str(self.settings_path(name)),
            GINGERTURN_RECORD=str(self.recording_path(name)),
            GINGERTURN_ADVERTISED_PEERS_PORT=str(self._peer_links[name]),
        )

    def recording_path(self, name: str) -> pathlib.Path:
        """Return the path of a node's event recording."""
        return self.folder / f"{name}.events"

    @property
    def next_version(self) -> int:
        """Version that the next configuration will have."""
        return self._version + 3

    def configure(
        self,
        *routes: dict[str, object],
        workspaces: list[dict[str, object]] | None = None,
        limits: collections.abc.Mapping[str, int] | None = None,
    ) -> int:
        """Write the next version of the operator's configuration.

        :param limits: of requests, by name.
        """
        self._version = self.next_version
        content = {
            "version": f"{self._version:08x}",
            "routes": list(routes),
            "services": [],
            "limits": limits or {},
        }
        if workspaces is not None:
            content["tenants"] = workspaces
        self.write_configuration(json.dumps(content).encode())
        return self._version

    def write_configuration(self, content: bytes) -> None:
        """Write the operator's configuration as it is given."""
        url = f"{self.store_url}/operator"
        _post(url, content=content)

    def write_entries(self, topic: str, *entries: tuple[bytes, bytes]) -> None:
        """Append entries of another writer, each a key and a value."""
        records = [bytes([len(key)]) + key + value for key, value in entries]
        self.append(topic, records)

    def kill_nodes(self) -> None:
        """Kill all nodes at once, as a loss of power does."""
        for machine in self.machines.values():
            machine.node.kill()
        for machine in self.machines.values():
            machine.node.wait(timeout=STOP_S)

    def start_nodes(self) -> None:
        """Start all nodes again."""
        for machine in self.machines.values():
            machine.node = self.start_node(machine.name)

    def fault(self, **faults: object) -> None:
        """Set faults of the store."""
        _post(f"{self.store_url}/control", json=faults)

    def append(self, topic: str, records: collections.abc.Sequence[bytes]) -> None:
        """Append records to a topic, as another writer."""
        content = b"".join(struct.pack(">I", len(r)) + r for r in records)
        url = f"{self.store_url}/records"
        _post(
            url, params={"topic": topic}, content=content, timeout=APPEND_S
        ).raise_for_status()

    def back_up_store(self) -> None:
        """Make a backup of the store."""
        _post(f"{self.store_url}/copy")

    def restore_store(self) -> None:
        """Restore the backup of the store."""
        _post(f"{self.store_url}/restore")

    def wait_ready(self, timeout: float = 20.0) -> None:
        """Wait until every node is ready and knows every upstream."""
        wanted = len(self.machines)
        self.wait_until(
            lambda: all(
                machine.ready()
                and f"gingerturn_upstreams {wanted}" in machine.metrics()
                for machine in self.machines.values()
            ),
            timeout=timeout,
        )

    def wait_until(
        self, condition: collections.abc.Callable[[], bool], timeout: float = 20.0
    ) -> None:
        """Wait until a condition holds."""
        deadline = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"condition not met after {timeout} s: {self._tails()}"
                )
            time.sleep(0.05)

    def log_of(self, name: str) -> str:
        """Return the output of a process."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def _tails(self) -> dict[str, str]:
        return {name: self.log_of(name)[-600:] for name in self.machines}

    def settings_path(self, name: str) -> pathlib.Path:
        """Return the path of a node's settings."""
        return self.folder / f"{name}.json"

    def _write_settings(
        self, name: str, service: str, zone: str, ports: dict[str, int]
    ) -> None:
        content = {
            "node_id": name,
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "r",
            "listen": {
                key: f"127.0.0.1:{ports[key]}"
                for key in ("outbound", "inbound", "ready", "control")
            },
            "port_range": [ports["gossip"], ports["gossip"] + 1],
            "bounds": {
                "grace_s": 6,
                "retry_budget_slack": 49,
                "fail_closed": True,
                "revoke_ms": REVOKE_MS,
            },
            "app_addr": f"127.0.0.1:{ports['app']}",
            "service_name": service,
            "platform_config": {"address": f"127.0.0.1:{self._log_link}"},
            "limits": self._limits,
        }
        self.settings_path(name).write_text(json.dumps(content))

    def _spawn(
        self, name: str, *arguments: str, **variables: str
    ) -> subprocess.Popen[bytes]:
        environment = {**self._environment, **variables}
        with (self.folder / f"{name}.log").open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                env=environment,
                stdout=output,
                stderr=output,
            )
        self._processes.append(process)
        return process


def _free_pair() -> int:
    """Return a port that is free together with the next one."""
    while True:
        (port,) = processes.free_ports(1)
        if processes.is_free(port + 1):
            return port
