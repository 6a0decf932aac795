"""Load of the cap allocator by the number of nodes, where datagrams take time.

``python -m benchmarks.allocator_load [NODES...]`` prints, on the fake clock, the share
admitted of a demand below all caps before, in and after a burst, with the same load at
each node. Each node has one processor, which handles its datagrams one after the other.
"""

import collections.abc
import sys

from gingerturn import routes
from gingerturn.internal.core import messages
from gingerturn_fakes import capped

WORKSPACES = 76
RATE_PER_NODE = 31.0
"""Usual requests a second at each node."""

CAP_RATIO = 1.6
"""Ratio of the caps to the usual demand."""

BURST_RATIO = 1.5
DEMAND_MS = 0.06
"""Processor time of each workspace named in a datagram."""

DATAGRAM_MS = (0.0, 0.15, 0.4)
"""Processor time of each datagram. None at all, a usual node and a slow one."""


def _cost(datagram_ms: float) -> collections.abc.Callable[[messages.Gossip], float]:
    def cost(message: messages.Gossip) -> float:
        if not datagram_ms or message.caps is None:
            return 0.0
        named = 0
        if isinstance(message.caps, messages.CapRequest):
            named = len(message.caps.demands)
        return datagram_ms + DEMAND_MS * named

    return cost


class Run:
    """A deployment under load.

    :param datagram_ms: processor time of each datagram.
    """

    def __init__(self, *, nodes: int, datagram_ms: float) -> None:
        self._rate = RATE_PER_NODE * nodes / WORKSPACES
        cap = CAP_RATIO * self._rate
        names = [f"w{number}" for number in range(WORKSPACES)]
        listed = [routes.workspace(name, [name], rate=cap, burst=cap) for name in names]
        self.deployment = capped.Deployment(*listed, nodes=nodes)
        self.deployment.world.datagram_cost = _cost(datagram_ms)

    def load(self, ratio: float, *, seconds: int) -> float:
        """Send requests; return the share that is admitted."""
        made = self.deployment
        sent = sum(made.sent.values())
        admitted = sum(map(len, made.admitted.values()))
        for name in made.workspaces:
            rate = ratio * self._rate
            made.load(name, made.names, rate=rate, duration_ms=1_000.0 * seconds)
        made.world.run(1_000.0 * seconds)
        admitted = sum(map(len, made.admitted.values())) - admitted
        return admitted / (sum(made.sent.values()) - sent)

    def busiest(self) -> float:
        """Return the most processor time that a node has spent on datagrams, in ms."""
        return max(node.datagram_ms for node in self.deployment.world.nodes.values())


def main() -> None:
    """Print the table."""
    sizes = [int(argument) for argument in sys.argv[1:]] or [15, 22, 68, 194]
    print("nodes | ms a datagram | before | burst | after | busy share in the burst")
    for nodes in sizes:
        for datagram_ms in DATAGRAM_MS:
            run = Run(nodes=nodes, datagram_ms=datagram_ms)
            before = run.load(1.0, seconds=1)
            spent = run.busiest()
            burst = run.load(BURST_RATIO, seconds=2)
            busy = (run.busiest() - spent) / 2_000.0
            after = run.load(1.0, seconds=1)
            shares = f"{before:.3f} | {burst:.3f} | {after:.3f} | {busy:.2f}"
            print(f"{nodes} | {datagram_ms} | {shares}", flush=True)


if __name__ == "__main__":
    main()
