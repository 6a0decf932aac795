"""A small service graph for scenarios: three services with a few slots each."""

import uuid

from gingerturn_fakes import parts, world

DOCUMENT = """
[[importance]]
name = "lookup"

[[importance]]
name = "protected"
above = ["lookup"]

[[service]]
name = "plans"

[[service]]
name = "porting"

[[service]]
name = "provisioning"

[[kind]]
name = "plan-status"
service = "plans"
importance = "lookup"
retry_allowance = 2
timeout_ms = 4000

[[kind]]
name = "sim-view"
service = "provisioning"
importance = "lookup"
retry_allowance = 2
timeout_ms = 4000

[[kind]]
name = "port-request"
service = "porting"
methods = ["POST"]
importance = "protected"
repeatable = false
timeout_ms = 6000

[[kind]]
name = "provision"
service = "provisioning"
methods = ["POST"]
path_prefix = "/provision"
importance = "protected"
repeatable = false
timeout_ms = 6000
"""

ZONES = ["bne-a", "bne-b", "tsv"]

KINDS = {
    "plan-status": parts.KindSpec("plan-status", "plans", "GET", "/status"),
    "sim-view": parts.KindSpec("sim-view", "provisioning", "GET", "/view"),
    "port-request": parts.KindSpec(
        "port-request", "porting", "POST", "/ports", keyed=True
    ),
    "provision": parts.KindSpec(
        "provision", "provisioning", "POST", "/provision", keyed=True
    ),
}


def new_world(*, seed: int = 1, gossip: bool = False) -> world.World:
    """Return a started world with the small graph."""
    made = world.World(
        seed=seed,
        services=[
            parts.ServiceSpec(
                "plans",
                3,
                8,
                {"plan-status": 40.0},
                {"plan-status": ["provisioning GET /view"]},
            ),
            parts.ServiceSpec(
                "porting",
                2,
                10,
                {"port-request": 40.0},
                {"port-request": ["provisioning POST /provision"]},
            ),
            parts.ServiceSpec(
                "provisioning", 3, 4, {"sim-view": 40.0, "provision": 80.0}
            ),
        ],
        documents={"shop": DOCUMENT},
        zones=ZONES,
    )
    made.gossip_on = gossip
    return made


def key_of(made: world.World, number: int) -> str:
    """Return a UUIDv7 issued at the current time of a world."""
    return str(uuid.UUID(int=(int(made.now) << 80) | (7 << 76) | (2 << 62) | number))


class Truth:
    """Compares the answers of callers with the executions of backend servers.

    :param made: the world to observe; its hooks are replaced.
    """

    def __init__(self, made: world.World) -> None:
        self._world = made
        self._run_keys: dict[str, int] = {}
        self._run_roots: set[tuple[str, int]] = set()
        self._hashes: dict[int, int] = {}
        self.false_not_run: list[parts.Root] = []
        self.answers: list[parts.Root] = []
        made.on_execution = self._on_execution
        made.on_root_end = self._on_end
        made.on_arrival = self._on_arrival

    @property
    def twice(self) -> list[str]:
        """Return the keys that were executed more than once."""
        return [key for key, count in self._run_keys.items() if count > 1]

    @property
    def run_keys(self) -> set[str]:
        """Return the keys that were executed."""
        return set(self._run_keys)

    def _on_execution(self, node: parts.FakeNode, work: parts.Work) -> None:
        if work.key:
            self._run_keys[work.key] = self._run_keys.get(work.key, 0) + 1
        self._run_roots.add((node.backend.spec.name, work.root))

    def _on_arrival(self, root: parts.Root, root_hash: int | None) -> None:
        # A request that was refused on arrival has no root hash: -1 matches none.
        self._hashes[root.id] = -1 if root_hash is None else root_hash

    def _on_end(self, root: parts.Root) -> None:
        self.answers.append(root)
        if root.answer != "not-run":
            return
        execution = (root.kind.service, self._hashes.get(root.id, -1))
        if root.key in self._run_keys or execution in self._run_roots:
            self.false_not_run.append(root)
