"""Requests that end each backend server that runs them.

Seen: all upstreams of one service ended within 0.4 s out of calm, came back after a
second and ended again, 26 times in 17 s; every request of that service failed
meanwhile, of the others none. How it came about: one request, the same each time but
for its id, was sent by its callers again and again, through any node, and each node
sent it on to the next upstream when the one before was lost. Cause: a node knew a
request by its id alone, held each lost run against the upstream, and could not tell the
end of a backend server from the end of a connection. Proof: the fingerprints of the
calls that were under way at each end have one in common, and with that one kept out the
service goes on.
"""

from gingerturn.internal.core import effects
from gingerturn_fakes import parts, world
from tests.common import small

DEADLY = parts.KindSpec("plan-status", "plans", "GET", "/status/9c2f")
ENDS_ALLOWED = 3
KNOWN_AFTER_MS = 3_000.0
"""By when every node must know of a third end."""

LATE_SENDINGS = 3


class Watch:
    """Counts the runs of one request, and how others fare.

    :param made: the world to watch; its hooks are taken over.
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
        """Runs later than a node may take to hear of the third end."""
        if len(self.runs) < ENDS_ALLOWED:
            return 0
        bound = self.runs[ENDS_ALLOWED - 1] + KNOWN_AFTER_MS
        return sum(1 for run in self.runs if run > bound)


def deadly_world(*, seed: int, upstreams: int = 5) -> world.World:
    """Return a service of lookups, and a path that ends its backend servers."""
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
    """Send requests of a kind through random nodes; each path but a deadly one is
    another."""

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
    """Play calm, then a deadly request that comes again and again."""
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
        assert len(watch.runs) >= ENDS_ALLOWED
        assert watch.late_runs <= LATE_SENDINGS, seed


def test_other_requests_are_served_while_it_comes_again() -> None:
    for seed in (1, 2, 3):
        made, watch = _storm(seed)
        known = watch.runs[ENDS_ALLOWED - 1] + KNOWN_AFTER_MS
        roots = [root for root in watch.answers if root.sent > known]
        others = [root for root in roots if root.kind.path not in made.deadly_paths]
        served = sum(1 for root in others if root.answer == "ok")
        assert served >= 0.99 * len(others), seed


def test_what_was_under_way_at_each_end_tells_the_request() -> None:
    made = deadly_world(seed=1)
    lines: list[str] = []

    def note(node: parts.FakeNode, effect: effects.Effect) -> None:
        if isinstance(effect, effects.WriteLog) and " ended with " in effect.text:
            lines.append(effect.text)

    made.on_effect = note
    send_every(made, small.KINDS["plan-status"], pause=10.0, until=made.now + 4_000)
    send_every(made, DEADLY, pause=150.0, until=made.now + 1_000)
    made.run(4_000)
    told = parts.fingerprint(DEADLY.service, DEADLY.method, DEADLY.path)
    assert len(lines) >= ENDS_ALLOWED
    assert all(f"{told:012x}" in line for line in lines)
