"""Quarantine of requests that crash each backend server that runs them.

Guards against a request that its callers and the nodes retry until it has crashed all
upstreams of a service.
"""

from gingerturn.internal.core import effects
from gingerturn_fakes import backends, parts, world
from tests.common import small

DEADLY = parts.KindSpec("plan-status", "plans", "GET", "/status/9c2f")
CRASHES_ALLOWED = 3
KNOWN_AFTER_MS = 3_000.0
"""By when every node must know of a third crash."""

LATE_RUNS_ALLOWED = 3


class Watch:
    """Counts the runs of the deadly requests, and collects the answers to all others.

    :param made: the world to watch; its hooks are replaced.
    """

    def __init__(self, made: world.World) -> None:
        self._world = made
        self.runs: list[float] = []
        self.answers: list[parts.Root] = []
        made.on_execution = self._on_execution
        made.on_root_end = self.answers.append

    def _on_execution(self, node: parts.FakeNode, work: parts.Work) -> None:
        if work.path in self._world.deadly_paths:
            self.runs.append(self._world.now)

    @property
    def late_runs(self) -> int:
        """Runs after the time by which all nodes must know of the third crash."""
        if len(self.runs) < CRASHES_ALLOWED:
            return 0
        bound = self.runs[CRASHES_ALLOWED - 1] + KNOWN_AFTER_MS
        return sum(1 for run in self.runs if run > bound)


def deadly_world(*, seed: int, upstreams: int = 5) -> world.World:
    """Return a world in which one path crashes the backend servers of a service."""
    made = world.World(
        seed=seed,
        services=[
            parts.ServiceSpec("plans", upstreams, 20, {"plan-status": 60.0}),
            parts.ServiceSpec("porting", 4, 20, {"port-request": 60.0}),
        ],
        documents={"shop": small.DOCUMENT},
        zones=small.ZONES,
    )
    made.gossip_on = True
    made.deadly_paths.add(DEADLY.path)
    return made


def send_every(
    made: world.World, kind: parts.KindSpec, *, pause: float, until: float
) -> None:
    """Send requests of a kind through random nodes, with a unique path each unless it
    is a deadly one."""

    def send() -> None:
        if made.now >= until:
            return
        number = made.next_number()
        path = kind.path
        if path not in made.deadly_paths:
            path = f"{path}/{number:06x}"
        own = parts.KindSpec(kind.name, kind.service, kind.method, path)
        made.send(parts.Root(id=number, kind=own, sent=made.now, key=""))
        made.at(made.random.uniform(0.5, 1.5) * pause, send)

    made.at(pause, send)


def _storm(seed: int) -> tuple[world.World, Watch]:
    """Run normal traffic, then repeat a deadly request."""
    made = deadly_world(seed=seed)
    watch = Watch(made)
    send_every(made, small.KINDS["plan-status"], pause=10.0, until=made.now + 20_000)
    made.run(2_000)
    send_every(made, DEADLY, pause=150.0, until=made.now + 16_000)
    made.run(18_000)
    return made, watch


def test_a_request_that_ends_backend_servers_stops_reaching_them() -> None:
    for seed in (1, 2, 3):
        _, watch = _storm(seed)
        assert len(watch.runs) >= CRASHES_ALLOWED
        assert watch.late_runs <= LATE_RUNS_ALLOWED, seed


def test_other_requests_are_served_while_it_comes_again() -> None:
    for seed in (1, 2, 3):
        made, watch = _storm(seed)
        known = watch.runs[CRASHES_ALLOWED - 1] + KNOWN_AFTER_MS
        roots = [root for root in watch.answers if root.sent > known]
        others = [root for root in roots if root.kind.path not in made.deadly_paths]
        served = sum(1 for root in others if root.answer == "ok")
        assert served >= 0.99 * len(others), seed


def test_home_nodes_of_a_large_service_share_their_crashes() -> None:
    # No home node sees three crashes of its own in time.
    made = deadly_world(seed=1, upstreams=15)
    watch = Watch(made)
    send_every(made, small.KINDS["plan-status"], pause=10.0, until=made.now + 9_000)
    made.run(1_000)
    send_every(made, DEADLY, pause=300.0, until=made.now + 7_000)
    made.run(8_000)
    assert len(watch.runs) >= CRASHES_ALLOWED
    assert watch.late_runs <= LATE_RUNS_ALLOWED


def test_the_log_line_of_each_crash_names_the_request() -> None:
    made = deadly_world(seed=1)
    lines: list[str] = []

    def record(node: parts.FakeNode, effect: effects.Effect) -> None:
        if isinstance(effect, effects.WriteLog) and " crashed with " in effect.text:
            lines.append(effect.text)

    made.on_effect = record
    send_every(made, small.KINDS["plan-status"], pause=10.0, until=made.now + 4_000)
    send_every(made, DEADLY, pause=150.0, until=made.now + 1_000)
    made.run(4_000)
    fingerprint = parts.fingerprint(DEADLY.service, DEADLY.method, DEADLY.path)
    assert len(lines) >= CRASHES_ALLOWED
    assert all(f"{fingerprint:012x}" in line for line in lines)


def _send_through(made: world.World, entry: str) -> parts.Root:
    """Send one deadly request through a node and wait for its answer."""
    root = parts.Root(id=made.next_number(), kind=DEADLY, sent=made.now, key="")
    made.send(root, entry=entry)
    made.run(2_000)
    return root


def _send_until_quarantined(made: world.World, watch: Watch) -> int:
    """Send the deadly request through three nodes; return how often it ran."""
    for entry in ("porting-1", "porting-2", "porting-3"):
        _send_through(made, entry)
    return len(watch.runs)


def test_a_node_that_was_partitioned_meanwhile_refuses_it() -> None:
    made = deadly_world(seed=4)
    watch = Watch(made)
    apart = "porting-1"
    others = [name for name in made.nodes if name != apart]
    made.cut = {(apart, name) for name in others} | {(name, apart) for name in others}
    made.run(1_000)
    for entry in ("porting-2", "porting-3", "porting-4"):
        _send_through(made, entry)
    made.run(10_000)
    made.cut = set()
    made.run(5_000)
    before = len(watch.runs)
    assert before >= CRASHES_ALLOWED
    assert _send_through(made, apart).answer == "not-run"
    assert len(watch.runs) == before


def test_a_node_that_started_since_refuses_it() -> None:
    made = deadly_world(seed=5)
    watch = Watch(made)
    before = _send_until_quarantined(made, watch)
    made.kill("porting-1")
    made.run(1_000)
    made.restart("porting-1")
    made.run(3_000)
    assert _send_through(made, "porting-1").answer == "not-run"
    assert len(watch.runs) == before


def test_it_stays_quarantined_when_all_nodes_restart_at_once() -> None:
    made = deadly_world(seed=6)
    watch = Watch(made)
    before = _send_until_quarantined(made, watch)
    for name in made.nodes:
        made.kill(name)
    made.run(1_000)
    for name in made.nodes:
        made.restart(name)
    made.run(KNOWN_AFTER_MS)
    assert _send_through(made, "porting-1").answer == "not-run"
    assert len(watch.runs) == before


def test_a_service_that_crashed_as_a_whole_recovers() -> None:
    # One popular request is in progress in every crash.
    made = deadly_world(seed=7)
    made.deadly_paths.clear()
    watch = Watch(made)
    popular = small.KINDS["plan-status"]

    def send() -> None:
        made.send(
            parts.Root(id=made.next_number(), kind=popular, sent=made.now, key="")
        )
        made.at(10.0, send)

    made.at(1.0, send)
    made.run(3_000)
    for name in ("plans-1", "plans-2", "plans-3", "plans-4", "plans-5"):
        backends.crash(made, made.nodes[name])
    made.run(2_000)
    watch.answers.clear()
    made.run(2_000)
    served = sum(1 for root in watch.answers if root.answer == "ok")
    assert served >= 0.99 * len(watch.answers)


def test_several_deadly_requests_at_a_time_are_each_quarantined() -> None:
    made = deadly_world(seed=8)
    runs: dict[str, list[float]] = {}

    def record(node: parts.FakeNode, work: parts.Work) -> None:
        if work.path in made.deadly_paths:
            runs.setdefault(work.path, []).append(made.now)

    made.on_execution = record
    send_every(made, small.KINDS["plan-status"], pause=10.0, until=made.now + 20_000)
    made.run(1_000)
    for number in range(3):
        path = f"/status/deadly-{number}"
        made.deadly_paths.add(path)
        kind = parts.KindSpec("plan-status", "plans", "GET", path)
        send_every(made, kind, pause=400.0, until=made.now + 15_000)
    made.run(19_000)
    for found in runs.values():
        late = [
            run for run in found if run > found[CRASHES_ALLOWED - 1] + KNOWN_AFTER_MS
        ]
        assert len(late) <= LATE_RUNS_ALLOWED


def test_a_deadly_child_call_does_not_crash_the_service_of_its_caller() -> None:
    made = small.new_world(seed=9, gossip=True)
    made.deadly_paths.add("/view/9c2f")
    spec = made.services["plans"]
    spec.calls["plan-status"] = ["provisioning GET /view/9c2f"]
    watch = Watch(made)
    root = small.KINDS["plan-status"]
    send_every(made, root, pause=200.0, until=made.now + 10_000)
    made.run(11_000)
    assert watch.late_runs <= LATE_RUNS_ALLOWED
    crashes = {name: node.backend.crashes for name, node in made.nodes.items()}
    assert not any(count for name, count in crashes.items() if name.startswith("plans"))
    assert sum(crashes.values()) <= CRASHES_ALLOWED + LATE_RUNS_ALLOWED
