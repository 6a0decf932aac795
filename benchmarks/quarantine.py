"""What the news of a deadly request costs the nodes, and how soon all know of it.

One request that ends each backend server of a service comes again and again through
random nodes of a fake network. Datagrams are encoded as on the wire. Printed: time from
the third end until every node keeps the request out; bytes of membership that a node
sends a second in calm, on the mean of ten seconds from the first end, and in the worst.
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
"""One node in three is beside a backend server of the service."""

CRASHING = parts.KindSpec("plan-status", "plans", "GET", "/status/9c2f")
BASELINE_MS = 5_000.0
CRASH_PERIOD_MS = 10_000.0
RESEND_INTERVAL_MS = 150.0
SLOTS = 20


class GossipMeter:
    """Counts bytes of membership by node and second, and notes who knows."""

    def __init__(self, made: world.World) -> None:
        self._world = made
        self.bytes: collections.Counter[int] = collections.Counter()
        self.third_crash_at = 0.0
        self.quarantined_everywhere_at = 0.0
        self.request = parts.fingerprint(
            CRASHING.service, CRASHING.method, CRASHING.path
        )
        made.on_effect = self._on_effect

    def _on_effect(self, node: parts.FakeNode, effect: effects.Effect) -> None:
        made = self._world
        if isinstance(effect, effects.SendGossip):
            sent = datagrams.encode(
                control.SECRET, ids.NodeId(node.name), made.now, effect.message
            )
            second = int((made.now - world.START) // 1_000)
            self.bytes[second] += len(sent) + control.UDP_HEADERS
        if (
            not self.third_crash_at
            and sum(n.backend.crashes for n in self._nodes()) >= 3
        ):
            self.third_crash_at = made.now
        if self.third_crash_at and not self.quarantined_everywhere_at:
            states = (n.state.quarantine for n in self._nodes())
            if all(self.request in known.quarantined for known in states):
                self.quarantined_everywhere_at = made.now

    def _nodes(self) -> list[parts.FakeNode]:
        return list(self._world.nodes.values())


def _send_background_load(made: world.World) -> None:
    """Keep some calls under way everywhere, each of a path of its own."""

    def send() -> None:
        number = made.next_number()
        kind = parts.KindSpec("plan-status", "plans", "GET", f"/status/{number:06x}")
        made.send(parts.Root(id=number, kind=kind, sent=made.now, key=""))
        made.at(made.random.uniform(0.5, 1.5) * 200.0 / len(made.nodes), send)

    made.at(1.0, send)


def _send_crashing(made: world.World) -> None:
    made.send(parts.Root(id=made.next_number(), kind=CRASHING, sent=made.now, key=""))
    made.at(RESEND_INTERVAL_MS, lambda: _send_crashing(made))


def measure(nodes: int) -> list[str]:
    """Return one row of figures."""
    upstreams = nodes // NODES_PER_UPSTREAM
    made = world.World(
        seed=1,
        services=[
            parts.ServiceSpec("plans", upstreams, SLOTS, {"plan-status": 60.0}),
            parts.ServiceSpec("porting", nodes - upstreams, SLOTS, {}),
        ],
        documents={"shop": small.DOCUMENT},
        zones=small.ZONES,
    )
    made.gossip_on = True
    made.deadly_paths.add(CRASHING.path)
    count = GossipMeter(made)
    _send_background_load(made)
    # Rumours of the start are spent first.
    made.run(60_000.0)
    begin = int((made.now - world.START) // 1_000)
    made.run(BASELINE_MS)
    calm = sum(count.bytes[begin + n] for n in range(5)) / 5 / nodes
    begin = int((made.now - world.START) // 1_000)
    _send_crashing(made)
    made.run(CRASH_PERIOD_MS)
    storm = [count.bytes[begin + n] / nodes for n in range(10)]
    ends = sum(node.backend.crashes for node in made.nodes.values())
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
