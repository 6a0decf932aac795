"""Memory of a node's process in the states that the memory bound covers.

Runs as a separate process, since the allocator does not return freed memory to the
system: it builds a real node with its administration API and fills it step by step.
"""

import asyncio
import gc
import json

import uvloop

from benchmarks import control
from gingerturn import configuration, settings
from gingerturn.internal import ids
from gingerturn.internal.core import decisions, events, messages, reducer
from gingerturn.internal.shell import admin, daemon, node as nodes


def _settings() -> settings.Settings:
    return settings.Settings(
        node=settings.Node(
            id="me",
            zone="zone-0",
            host="127.0.0.1",
            calls_port=1,
            peers_port=2,
            gossip_port=2,
            admin_port=3,
        ),
        log=settings.Log(url="http://127.0.0.1:1"),
        secret=settings.Secret(current="a secret of the benchmarks"),
    )


def _fill_members(node: nodes.Node, count: int) -> None:
    now = control.START
    for first in range(0, count, 100):
        members = tuple(control.member(i) for i in range(first, first + 100))
        message = messages.Gossip(
            kind=messages.GossipKind.ACK,
            sequence=0,
            revision=ids.Revision(0),
            members=members,
        )
        event = events.DatagramReceived(
            now=now,
            sender=ids.NodeId("service-1-node-1"),
            host="10.0.0.1",
            port=9000,
            message=message,
        )
        reducer.reduce(node.state, event)


def _fill_decisions(node: nodes.Node) -> None:
    for number in range(3 * node.settings.limits.decisions):
        rule = decisions.Rule.RUN if number % 2 else decisions.Rule.QUEUE_FULL
        node.state.decisions.record(
            rule,
            now=control.START,
            root=ids.RootHash(number),
            kind=f"kind-{number % 550}",
            rank=ids.Rank(1),
            revision=ids.Revision(1),
        )


async def measure() -> dict[str, float]:
    """Return the resident memory in MB after each step."""
    node = nodes.Node(_settings())
    server = admin.server(node)
    server.config.load()
    gc.collect()
    found = {"idle": control.rss_mb()}
    _fill_members(node, 4_200)
    gc.collect()
    found["with 4,200 members"] = control.rss_mb()
    node.state.configuration = configuration.Configuration(control.documents())
    gc.collect()
    found["and the configuration of 110 services"] = control.rss_mb()
    _fill_decisions(node)
    gc.collect()
    found["and full decision records"] = control.rss_mb()
    return found


def main() -> None:
    """Print the figures as JSON."""
    # Importing the daemon module loads every module of a real node.
    assert daemon.EXIT_CLEAN == 0
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        print(json.dumps(runner.run(measure())))


if __name__ == "__main__":
    main()
