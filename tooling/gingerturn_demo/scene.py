"""Scenarios of the demonstration: processes, load, a trigger and recovery."""

import asyncio
import collections
import dataclasses
import os
import pathlib
import random
import signal
import time
import uuid

import httpx

from benchmarks import graphs
from gingerturn_standins import processes

WARM_S = 6
TRIGGER_S = 10
RECOVERY_S = 12
CALLER_ATTEMPTS = 4
CALLER_TIMEOUT_S = 4.0


@dataclasses.dataclass(frozen=True)
class Upstreams:
    """A service of a scenario and the zones of its upstreams."""

    service: str
    zones: tuple[str, ...]
    slots: int
    service_ms: float
    calls: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Load:
    """A kind of root request and its rate per second, normally and in the surge."""

    name: str
    service: str
    method: str
    path: str
    rate: float
    surge: float
    keyed: bool = False


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A scenario to play.

    :param deepest: service that is slowed while the surge lasts.
    """

    name: str
    document: str
    upstreams: tuple[Upstreams, ...]
    loads: tuple[Load, ...]
    deepest: str


@dataclasses.dataclass
class Outcome:
    """The result of a scenario; lists hold one number a second."""

    scenario: Scenario
    goodput: dict[str, list[int]]
    refused: dict[str, list[int]]
    sent: dict[str, int]
    complete: dict[str, int]
    attempts: list[float]
    max_refusal_ms: float
    keys: int
    keys_executed: int
    keys_executed_twice: int
    unknown: int
    revision_s: float
    stop_exit_status: int
    explanation: str


def brolga() -> Scenario:
    """Return Brolga Connect at small size."""
    return Scenario(
        name="brolga",
        document=graphs.BROLGA_DOCUMENT.replace('key = "generated"\n', ""),
        upstreams=(
            Upstreams("plans", ("bne-a", "bne-b", "tsv"), 12, 40.0, ()),
            Upstreams(
                "porting",
                ("bne-a", "tsv"),
                12,
                40.0,
                ("POST:profiles/assign", "POST:provisioning/provision"),
            ),
            Upstreams("profiles", ("bne-b", "tsv"), 12, 30.0),
            Upstreams("provisioning", ("bne-a", "bne-b"), 4, 50.0),
        ),
        loads=(
            Load("lookup", "plans", "GET", "/status", 40.0, 80.0),
            Load("view", "provisioning", "GET", "/view", 40.0, 110.0),
            Load("port", "porting", "POST", "/ports", 8.0, 10.0, keyed=True),
        ),
        deepest="provisioning",
    )


def coopcarga() -> Scenario:
    """Return Coopcarga Nordeste at small size."""
    return Scenario(
        name="coopcarga",
        document=graphs.COOPCARGA_DOCUMENT.replace('key = "generated"\n', ""),
        upstreams=(
            Upstreams("manifesto", ("guararapes", "boa-viagem", "suape"), 16, 50.0),
            Upstreams(
                "balanca",
                ("guararapes", "boa-viagem"),
                16,
                40.0,
                ("GET:manifesto/view", "POST:paletes/fix"),
            ),
            Upstreams("despacho", ("guararapes", "suape"), 16, 120.0),
            Upstreams("paletes", ("boa-viagem", "suape"), 5, 50.0),
        ),
        loads=(
            Load("manifest", "manifesto", "GET", "/view", 40.0, 80.0),
            Load("pallet", "paletes", "GET", "/view", 40.0, 130.0),
            Load("pack", "despacho", "GET", "/pack", 20.0, 40.0),
            Load("sign-off", "balanca", "POST", "/sign", 8.0, 10.0, keyed=True),
        ),
        deepest="paletes",
    )


SCENARIOS = {"brolga": brolga, "coopcarga": coopcarga}


def new_key() -> str:
    """Return a fresh UUIDv7."""
    low = int.from_bytes(os.urandom(7))
    stamp = int(time.time() * 1000)
    return str(uuid.UUID(int=(stamp << 80) | (7 << 76) | (2 << 62) | low))


class _LoadGenerator:
    """Callers that retry at once, and counts of their requests."""

    def __init__(self, scenario: Scenario, entries: list[str], seconds: int) -> None:
        self.scenario = scenario
        self.entries = entries
        names = [load.name for load in scenario.loads]
        self.goodput = {name: [0] * (seconds + 30) for name in names}
        self.refused = {name: [0] * (seconds + 30) for name in names}
        self.sent = dict.fromkeys(names, 0)
        self.complete = dict.fromkeys(names, 0)
        self.max_refusal_ms = 0.0
        self.keys: list[str] = []
        self.unknown = 0
        self.refused_decision = ""
        self.begun = time.monotonic()
        self._random = random.Random(1)
        self._tasks: set[asyncio.Task[None]] = set()

    def second(self) -> int:
        return int(time.monotonic() - self.begun)

    async def offer(
        self, client: httpx.AsyncClient, load: Load, surge: tuple[float, float]
    ) -> None:
        """Send roots of one kind at its rate until the end."""
        end = self.begun + WARM_S + TRIGGER_S + RECOVERY_S
        while time.monotonic() < end:
            now = time.monotonic() - self.begun
            rate = load.surge if surge[0] <= now < surge[1] else load.rate
            await asyncio.sleep(self._random.expovariate(rate))
            task = asyncio.create_task(self._root(client, load))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _root(self, client: httpx.AsyncClient, load: Load) -> None:
        self.sent[load.name] += 1
        key = new_key() if load.keyed else ""
        if key:
            self.keys.append(key)
        for attempt in range(1, CALLER_ATTEMPTS + 1):
            headers = {"host": load.service}
            if key:
                headers["idempotency-key"] = key
                headers["gingerturn-sending"] = str(attempt)
            begun = time.monotonic()
            try:
                reply = await client.request(
                    load.method,
                    self._random.choice(self.entries) + load.path,
                    headers=headers,
                    timeout=CALLER_TIMEOUT_S,
                )
            except httpx.HTTPError:
                self.unknown += 1
                continue
            if reply.status_code == 200:
                self.goodput[load.name][self.second()] += 1
                self.complete[load.name] += 1
                return
            self._record_failure(load, reply, begun)
        # Callers retry at once and ignore Retry-After.

    def _record_failure(self, load: Load, reply: httpx.Response, begun: float) -> None:
        self.refused[load.name][self.second()] += 1
        outcome = reply.headers.get("gingerturn-outcome", "")
        if outcome == "not-run":
            elapsed = (time.monotonic() - begun) * 1000.0
            self.max_refusal_ms = max(self.max_refusal_ms, elapsed)
            self.refused_decision = reply.headers.get("gingerturn-decision", "")
        else:
            self.unknown += 1


def play(scenario: Scenario, folder: pathlib.Path) -> Outcome:
    """Play a scenario and return its result."""
    with processes.Cluster(folder) as cluster:
        for upstreams in scenario.upstreams:
            for index, zone in enumerate(upstreams.zones):
                cluster.add(
                    f"{upstreams.service}-{index + 1}",
                    service=upstreams.service,
                    zone=zone,
                    slots=upstreams.slots,
                    service_ms=upstreams.service_ms,
                    calls=upstreams.calls,
                    wait=False,
                )
        for node in cluster.nodes.values():
            processes.wait_for(f"{node.admin}/status")
        cluster.wait_ready(members=len(cluster.nodes))
        begun = time.monotonic()
        cluster.publish(scenario.name, scenario.document)
        revision_s = time.monotonic() - begun
        time.sleep(0.3)
        return asyncio.run(_play(scenario, cluster, revision_s))


async def _play(
    scenario: Scenario, cluster: processes.Cluster, revision_s: float
) -> Outcome:
    entries = [node.entry for node in cluster.nodes.values()]
    player = _LoadGenerator(scenario, entries, WARM_S + TRIGGER_S + RECOVERY_S)
    attempts: list[float] = []
    limits = httpx.Limits(max_connections=400, max_keepalive_connections=400)
    async with httpx.AsyncClient(trust_env=False, limits=limits) as client:
        surge = (float(WARM_S), float(WARM_S + TRIGGER_S))
        offers = [
            asyncio.create_task(player.offer(client, load, surge))
            for load in scenario.loads
        ]
        sampling = asyncio.create_task(_sample(client, scenario, cluster, attempts))
        await asyncio.sleep(WARM_S)
        await _slow(client, scenario, cluster, 3.0)
        await asyncio.sleep(TRIGGER_S)
        await _slow(client, scenario, cluster, 1.0)
        await asyncio.sleep(RECOVERY_S / 2)
        drained = await _stop_node(scenario, cluster, player)
        await asyncio.gather(*offers)
        sampling.cancel()
        explained = await _explain(client, cluster, player.refused_decision)
        counts = await _executions(client, cluster)
    return Outcome(
        scenario=scenario,
        goodput=player.goodput,
        refused=player.refused,
        sent=player.sent,
        complete=player.complete,
        attempts=attempts,
        max_refusal_ms=player.max_refusal_ms,
        keys=len(player.keys),
        keys_executed=sum(1 for key in player.keys if counts[key]),
        keys_executed_twice=sum(1 for key in player.keys if counts[key] > 1),
        unknown=player.unknown,
        revision_s=revision_s,
        stop_exit_status=drained,
        explanation=explained,
    )


def _nodes_of(cluster: processes.Cluster, service: str) -> list[processes.NodeProcess]:
    return [n for name, n in cluster.nodes.items() if name.startswith(service)]


async def _slow(
    client: httpx.AsyncClient,
    scenario: Scenario,
    cluster: processes.Cluster,
    factor: float,
) -> None:
    for node in _nodes_of(cluster, scenario.deepest):
        await client.post(f"{node.backend_url}/control", json={"slow": factor})


async def _sample(
    client: httpx.AsyncClient,
    scenario: Scenario,
    cluster: processes.Cluster,
    attempts: list[float],
) -> None:
    """Sample once a second the attempts per whole request at the deepest service."""
    before = collections.Counter[str]()
    while True:
        total = collections.Counter[str]()
        for node in _nodes_of(cluster, scenario.deepest):
            reply = await client.get(f"{node.backend_url}/counts")
            counts = reply.json()
            total["roots"] += counts["roots"]
            total["executed"] += counts["finished"] + counts["cancelled"]
            total["executed"] += counts["expired"]
        new = total - before
        attempts.append(new["executed"] / max(1, new["roots"]))
        before = total
        await asyncio.sleep(1.0)


async def _stop_node(
    scenario: Scenario, cluster: processes.Cluster, player: _LoadGenerator
) -> int:
    """Stop one node of the first service under load.

    :return: its exit status: 0 when nothing was cut.
    """
    node = _nodes_of(cluster, scenario.upstreams[0].service)[-1]
    player.entries.remove(node.entry)
    await asyncio.sleep(0.2)
    node.node.send_signal(signal.SIGTERM)
    while node.node.poll() is None:
        await asyncio.sleep(0.05)
    return node.node.returncode


async def _explain(
    client: httpx.AsyncClient, cluster: processes.Cluster, decision: str
) -> str:
    """Query another node for the explanation of a decision."""
    if not decision:
        return "nothing was refused"
    decider = decision.rpartition(":")[0]
    asked = next(
        node
        for name, node in cluster.nodes.items()
        if node.node.poll() is None and name != decider
    )
    reply = await client.get(f"{asked.admin}/why/{decision}")
    if reply.status_code != 200:
        return f"{decision}: {reply.text}"
    return f"{decision}, asked at {asked.name}: {reply.json()['words']}"


async def _executions(
    client: httpx.AsyncClient, cluster: processes.Cluster
) -> collections.Counter[str]:
    total: collections.Counter[str] = collections.Counter()
    for node in cluster.nodes.values():
        reply = await client.get(f"{node.backend_url}/counts")
        total.update(reply.json()["executions"])
    return total
