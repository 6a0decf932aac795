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
SHARE_OF_SERVICE = 3
"""One node in three is beside a backend server of the service."""

DEADLY = parts.KindSpec("plan-status", "plans", "GET", "/status/9c2f")
CALM_MS = 5_000.0
STORM_MS = 10_000.0
PAUSE_MS = 150.0
FULL_SLOTS = 20


class Count:
    """Counts bytes of membership by node and second, and notes who knows."""

    def __init__(self, made: world.World) -> None:
        self._world = made
        self.bytes: collections.Counter[int] = collections.Counter()
        self.third_end = 0.0
        self.all_know = 0.0
        self.request = parts.fingerprint(DEADLY.service, DEADLY.method, DEADLY.path)
        made.on_effect = self._on_effect

    def _on_effect(self, node: parts.FakeNode, effect: effects.Effect) -> None:
        made = self._world
        if isinstance(effect, effects.SendGossip):
            sent = datagrams.encode(
                control.SECRET, ids.NodeId(node.name), made.now, effect.message
            )
            second = int((made.now - world.START) // 1_000)
            self.bytes[second] += len(sent) + control.UDP_HEADERS
        if not self.third_end and sum(n.backend.ends for n in self._nodes()) >= 3:
            self.third_end = made.now
        if self.third_end and not self.all_know:
            states = (n.state.quarantine for n in self._nodes())
            if all(self.request in known.quarantined for known in states):
                self.all_know = made.now

    def _nodes(self) -> list[parts.FakeNode]:
        return list(self._world.nodes.values())


def _send_all_the_time(made: world.World) -> None:
    """Keep some calls under way everywhere, each of a path of its own."""

    def send() -> None:
        number = made.next_number()
        kind = parts.KindSpec("plan-status", "plans", "GET", f"/status/{number:06x}")
        made.send(parts.Root(id=number, kind=kind, sent=made.now, key=""))
        made.at(made.random.uniform(0.5, 1.5) * 200.0 / len(made.nodes), send)

    made.at(1.0, send)


def _send_deadly(made: world.World) -> None:
    made.send(parts.Root(id=made.next_number(), kind=DEADLY, sent=made.now, key=""))
    made.at(PAUSE_MS, lambda: _send_deadly(made))


def measure(nodes: int) -> list[str]:
    """Return one row of figures."""
    upstreams = nodes // SHARE_OF_SERVICE
    made = world.World(
        seed=1,
        services=[
            parts.ServiceSpec("plans", upstreams, FULL_SLOTS, {"plan-status": 60.0}),
            parts.ServiceSpec("porting", nodes - upstreams, FULL_SLOTS, {}),
        ],
        documents={"shop": small.DOCUMENT},
        zones=small.ZONES,
    )
    made.gossip_on = True
    made.deadly_paths.add(DEADLY.path)
    count = Count(made)
    _send_all_the_time(made)
    # Rumours of the start are spent first.
    made.run(60_000.0)
    begin = int((made.now - world.START) // 1_000)
    made.run(CALM_MS)
    calm = sum(count.bytes[begin + n] for n in range(5)) / 5 / nodes
    begin = int((made.now - world.START) // 1_000)
    _send_deadly(made)
    made.run(STORM_MS)
    storm = [count.bytes[begin + n] / nodes for n in range(10)]
    ends = sum(node.backend.ends for node in made.nodes.values())
    return [
        f"{nodes}",
        f"{ends}",
        f"{count.all_know - count.third_end:.0f}",
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
