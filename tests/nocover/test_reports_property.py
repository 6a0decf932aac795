"""Property-based test of reported limits and leaving under arbitrary faults."""

import hypothesis
from hypothesis import strategies as st

from gingerturn.internal.core import allowance
from gingerturn_fakes import parts, world
from tests.common import reports, routed

NAMES = [f"plans-{number}" for number in range(1, 4)]
NAMES += [f"porting-{number}" for number in range(1, 4)]
SECONDS = 9.0
REQUESTS_PER_S = 60
TIMES = st.floats(0.3, SECONDS - 1.0)
TARGETS = st.sampled_from(NAMES)
LIMITS = st.tuples(TIMES, TARGETS, st.sampled_from([0.0, 0.3, 2.5, 7.4, 20.0, -1.0]))
LEAVINGS = st.tuples(TIMES, TARGETS)
FAULTS = st.one_of(
    st.tuples(st.just("kill"), TIMES, TARGETS, st.floats(0.05, 3.0)),
    st.tuples(st.just("pause"), TIMES, TARGETS, st.floats(0.05, 5.0)),
    st.tuples(st.just("cut"), TIMES, TARGETS, st.floats(0.05, 4.0)),
    st.tuples(st.just("gossip"), TIMES, st.just(""), st.floats(0.1, 4.0)),
)


class Play:
    """One run with traffic through every node."""

    def __init__(self, seed: int) -> None:
        plans = routed.route("lookup", prefix="/a/", timeout_ms=2_000)
        below = routed.route("port", prefix="/p/", shares=(("porting", 1),))
        self.world = world.World(
            seed=seed,
            services=[
                parts.ServiceSpec(
                    "plans",
                    3,
                    8,
                    {"lookup": 30.0},
                    {"lookup": ["shop.example GET /p/x"]},
                ),
                parts.ServiceSpec("porting", 3, 8, {"port": 20.0}),
            ],
            documents={},
            zones=["a", "b", "c"],
            table=routed.table(plans, below),
            retry_bound=allowance.Bound(49.0),
        )
        self.world.gossip_on = True
        self.reports = reports.Reports(self.world)
        kind = parts.KindSpec("lookup", "shop.example", "GET", "/a/x")
        for number in range(int(SECONDS * REQUESTS_PER_S)):
            self.world.at(
                1_000.0 * number / REQUESTS_PER_S, lambda n=number: self._send(kind, n)
            )

    def _send(self, kind: parts.KindSpec, number: int) -> None:
        if any(node.alive for node in self.world.nodes.values()):
            root = parts.Root(id=number, kind=kind, sent=self.world.now, key="")
            self.world.send(root)

    def fault(self, kind: str, at: float, name: str, duration: float) -> None:
        """Schedule a fault and its end; the entry node is excused."""
        made = self.world
        begin, end = 1_000.0 * at, 1_000.0 * (at + duration)
        if kind == "kill":
            made.at(begin, lambda: made.nodes[name].alive and made.kill(name))
            made.at(end, lambda: made.nodes[name].alive or made.restart(name))
        elif kind == "pause":
            made.at(begin, lambda: made.pause(name, end - begin))
        elif kind == "cut":
            pairs = {(name, other) for other in NAMES if other != name}
            pairs |= {(other, name) for other, _ in pairs}
            pairs |= {(other, name) for _, other in list(pairs)}
            made.at(begin, lambda: made.cut.update(pairs))
            made.at(end, lambda: made.cut.difference_update(pairs))
        else:
            made.at(begin, lambda: setattr(made, "drop_gossip", 0.8))
            made.at(end, lambda: setattr(made, "drop_gossip", 0.0))
        if kind in ("kill", "pause"):
            made.at(begin, lambda: self.reports.excuse(name))
            made.at(end, lambda: self.reports.excuse(name))


# Guards against a fault that lets calls pass a reported limit, or reach a backend
# server that reported leaving.
@hypothesis.given(
    seed=st.integers(0, 1000),
    limits=st.lists(LIMITS, max_size=4),
    leavings=st.lists(LEAVINGS, max_size=2),
    faults=st.lists(FAULTS, max_size=4),
)
@hypothesis.settings(
    max_examples=60,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
def test_reported_limits_and_leaving_hold_under_faults(
    seed: int, limits: list, leavings: list, faults: list
) -> None:
    play = Play(seed)
    for at, name, rate in limits:
        play.world.at(
            1_000.0 * at, lambda name=name, rate=rate: play.reports.limit(name, rate)
        )
    for at, name in leavings:
        play.world.at(1_000.0 * at, lambda name=name: play.reports.leave(name))
    for fault in faults:
        play.fault(*fault)
    play.world.run(1_000.0 * (SECONDS + 3.0))
    assert play.reports.violations() == []
