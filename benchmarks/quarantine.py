"""Gossip cost of quarantining a crashing request, and the time until all nodes do.

A request that crashes each backend server of a service is sent repeatedly through
random nodes of a fake network. Datagrams are encoded as on the wire. Printed: time from
the third crash until every node has quarantined the request; bytes of gossip that a
node sends per second before it, on the mean of ten seconds of crashes, and at most.
"""

import collections
import sys

from benchmarks import control
from gingerturn.internal import ids
from gingerturn.internal.core import effects
from gingerturn.internal.wire import datagrams
from gingerturn_fakes import parts, world
from tests.common import small

SIZES = (15, 57, 194)
NODES_PER_UPSTREAM = 3
"""One node in three has a backend server of the service."""

CRASHING = parts.KindSpec("plan-status", "plans", "GET", "/status/9c2f")
BASELINE_MS = 5_000.0
CRASH_PERIOD_MS = 10_000.0
RESEND_INTERVAL_MS = 150.0
SLOTS = 20


class GossipMeter:
    """Counts bytes of gossip by second, and records when all nodes quarantine."""

    def __init__(self, simulation: world.World) -> None:
        self._world = simulation
        self.bytes: collections.Counter[int] = collections.Counter()
        self.third_crash_at = 0.0
        self.quarantined_everywhere_at = 0.0
        self.request = parts.fingerprint(
            CRASHING.service, CRASHING.method, CRASHING.path
        )
        simulation.on_effect = self._on_effect

    def _on_effect(self, node: parts.FakeNode, effect: effects.Effect) -> None:
        simulation = self._world
        if isinstance(effect, effects.SendGossip):
            sent = datagrams.encode(
                control.SECRET, ids.NodeId(node.name), simulation.now, effect.message
            )
            second = int((simulation.now - world.START) // 1_000)
            self.bytes[second] += len(sent) + control.UDP_HEADERS
        if (
            not self.third_crash_at
            and sum(n.backend.crashes for n in self._nodes()) >= 3
        ):
            self.third_crash_at = simulation.now
        if self.third_crash_at and not self.quarantined_everywhere_at:
            states = (n.state.quarantine for n in self._nodes())
            if all(self.request in known.quarantined for known in states):
                self.quarantined_everywhere_at = simulation.now

    def _nodes(self) -> list[parts.FakeNode]:
        return list(self._world.nodes.values())


def _send_background_load(simulation: world.World) -> None:
    """Send calls throughout the run, each with its own path."""

    def send() -> None:
        number = simulation.next_number()
        kind = parts.KindSpec("plan-status", "plans", "GET", f"/status/{number:06x}")
        simulation.send(parts.Root(id=number, kind=kind, sent=simulation.now, key=""))
        simulation.at(
            simulation.random.uniform(0.5, 1.5) * 200.0 / len(simulation.nodes), send
        )

    simulation.at(1.0, send)


def _send_crashing(simulation: world.World) -> None:
    simulation.send(
        parts.Root(
            id=simulation.next_number(), kind=CRASHING, sent=simulation.now, key=""
        )
    )
    simulation.at(RESEND_INTERVAL_MS, lambda: _send_crashing(simulation))


def measure(nodes: int) -> list[str]:
    """Return one row of figures."""
    upstreams = nodes // NODES_PER_UPSTREAM
    simulation = world.World(
        seed=1,
        services=[
            parts.ServiceSpec("plans", upstreams, SLOTS, {"plan-status": 60.0}),
            parts.ServiceSpec("porting", nodes - upstreams, SLOTS, {}),
        ],
        documents={"shop": small.DOCUMENT},
        zones=small.ZONES,
    )
    simulation.gossip_on = True
    simulation.deadly_paths.add(CRASHING.path)
    count = GossipMeter(simulation)
    _send_background_load(simulation)
    # Let the updates of the start spread first.
    simulation.run(60_000.0)
    begin = int((simulation.now - world.START) // 1_000)
    simulation.run(BASELINE_MS)
    calm = sum(count.bytes[begin + n] for n in range(5)) / 5 / nodes
    begin = int((simulation.now - world.START) // 1_000)
    _send_crashing(simulation)
    simulation.run(CRASH_PERIOD_MS)
    storm = [count.bytes[begin + n] / nodes for n in range(10)]
    ends = sum(node.backend.crashes for node in simulation.nodes.values())
    return [
        f"{nodes}",
        f"{ends}",
        f"{count.quarantined_everywhere_at - count.third_crash_at:.0f}",
        f"{calm:.0f}",
        f"{sum(storm) / len(storm):.0f}",
        f"{max(storm):.0f}",
    ]


def main() -> None:
    """Print the table."""
    print("nodes | ends | ms until all know | B/s calm | B/s ten seconds | B/s worst")
    sizes = [int(size) for size in sys.argv[1:]] or SIZES
    for size in sizes:
        print(" | ".join(measure(size)), flush=True)


if __name__ == "__main__":
    main()
