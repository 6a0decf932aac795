"""A deployment whose workspaces have caps, with counts of admitted requests.

Only entry nodes matter: the backend servers have room for every request.
"""

import collections
import random

from gingerturn import routes
from gingerturn.internal.core import decisions, effects, events, messages, streams
from gingerturn_fakes import parts, world as worlds

HOST = "shop.example"
PATH = "/a/x"
SERVICE = "plans"

RETRY_MS = 16.0
"""Time until an immediate retry arrives: the way to the caller and back."""


def table(*workspaces: routes.Workspace, version: int = 1) -> routes.RouteTable:
    """Return a table with node route and some workspaces."""
    route = routes.Route(
        name="lookup",
        host=HOST,
        path_prefix="/a/",
        type=routes.RouteType.SAFE,
        timeout_ms=5_000,
        target_ms=1_000,
        shares=(routes.Share(SERVICE),),
    )
    return routes.RouteTable(version=version, routes=(route,), workspaces=workspaces)


class Deployment:
    """Nodes in three availability zones, and requests by workspace and node.

    :param admitted: when requests of each workspace were admitted.
    :param refused: number of requests refused because of the cap, by workspace.
    :param rules: number of decisions at entry nodes by their rule.
    :param arrived: when callers sent their requests, without retries.
    :param initial: the first of the workspaces.
    :param workspaces: their names.
    :param lowered: its cap was lowered by a test.
    :param retry_share: share of the callers that retry a refused request 3 times, each
        time immediately and through another node.
    """

    def __init__(
        self, *workspaces: routes.Workspace, nodes: int, seed: int = 1
    ) -> None:
        spec = parts.ServiceSpec(SERVICE, nodes, 1_000, {"lookup": 5.0})
        self.world = worlds.World(
            seed=seed,
            services=[spec],
            documents={},
            zones=["a", "b", "c"],
            table=table(*workspaces),
        )
        self.world.gossip_on = True
        self.initial = workspaces[0]
        self.workspaces = [workspace.name for workspace in workspaces]
        self.lowered = False
        self._version = 1
        self.random = random.Random(seed)
        self.admitted: dict[str, list[float]] = collections.defaultdict(list)
        self.refused: collections.Counter[str] = collections.Counter()
        self.retry_delays_ms: list[float] = []
        self.rules: collections.Counter[decisions.Rule] = collections.Counter()
        self.sent: collections.Counter[str] = collections.Counter()
        self.arrived: dict[str, list[float]] = collections.defaultdict(list)
        self.retry_share = 0.0
        self._workspace_of: dict[int, str] = {}
        self._retries_left: dict[int, int] = {}
        self.world.on_effect = self._record
        self.world.run(3_000.0)

    @property
    def names(self) -> list[str]:
        """Names of the nodes."""
        return list(self.world.nodes)

    def send(self, workspace: str, node: str) -> None:
        """Send node request of a workspace, with the workspace's name as its key."""
        world = self.world
        fake = world.nodes[node]
        if not fake.alive:
            return
        self.sent[workspace] += 1
        self.arrived[workspace].append(world.now)
        retries = 0
        if self.retry_share and self.random.random() < self.retry_share:
            retries = 3
        self._send(workspace, node, retries)

    def _send(self, workspace: str, node: str, retries: int) -> None:
        world = self.world
        fake = world.nodes[node]
        call = world.next_number()
        self._workspace_of[call] = workspace
        if retries:
            self._retries_left[call] = retries
        digest = routes.key_digest(workspace.encode())
        world.call(fake, call, HOST, "GET", PATH, f"{call:016x}", key_digest=digest)

    def load(
        self, workspace: str, nodes: list[str], *, rate: float, duration_ms: float
    ) -> None:
        """Schedule requests at random times, each to a random node of some nodes."""
        at = 0.0
        while (at := at + self.random.expovariate(rate / 1_000.0)) < duration_ms:
            node = self.random.choice(nodes)
            self.world.at(at, lambda node=node: self.send(workspace, node))

    def put_in_force(self, *workspaces: routes.Workspace) -> None:
        """Activate a later route table with these workspaces at all nodes."""
        self._version += 1
        later = table(*workspaces, version=self._version)
        self.world.log.put(streams.ROUTES, "table", messages.encode_record(later))
        for name in self.names:
            event = events.RoutesReceived(now=self.world.now, table=later)
            self.world.apply(name, event)

    def partition(self, side: set[str]) -> None:
        """Partition some nodes from all others."""
        for node in side:
            for other in set(self.names) - side:
                self.world.cut |= {(node, other), (other, node)}

    def max_in_window(self, workspace: str, window_ms: float) -> int:
        """Return the most requests admitted in any window of this length."""
        times = sorted(self.admitted[workspace])
        most = first = 0
        for last, time in enumerate(times):
            while times[first] <= time - window_ms:
                first += 1
            most = max(most, last - first + 1)
        return most

    def max_allowed(self, workspace: str, requests: float, window_ms: float) -> int:
        """Return how many of the requests sent a sliding window would have admitted.

        :param requests: most that it admits in any window.
        """
        recent: collections.deque[float] = collections.deque()
        admitted = 0
        for time in sorted(self.arrived[workspace]):
            while recent and recent[0] <= time - window_ms:
                recent.popleft()
            if len(recent) < requests:
                recent.append(time)
                admitted += 1
        return admitted

    def _record(self, node: parts.FakeNode, effect: effects.Effect) -> None:
        if isinstance(effect, effects.OpenAttempt):
            workspace = self._workspace_of.pop(effect.call, "")
            self._retries_left.pop(effect.call, None)
            if workspace:
                self.admitted[workspace].append(self.world.now)
        elif isinstance(effect, effects.LogDecision):
            self.rules[decisions.Rule(effect.rule)] += 1
        elif isinstance(effect, effects.RefuseCall):
            workspace = self._workspace_of.pop(effect.call, "")
            if effect.status == 429:
                self.refused[workspace] += 1
                self.retry_delays_ms.append(effect.retry_after_ms)
            retries = self._retries_left.pop(effect.call, 0)
            if retries:
                alive = [n.name for n in self.world.nodes.values() if n.alive]
                self.world.at(
                    RETRY_MS,
                    lambda: self._send(
                        workspace, self.random.choice(alive), retries - 1
                    ),
                )
