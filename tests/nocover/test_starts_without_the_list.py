"""Nodes that start while their log cannot be read, beside nodes that know them."""

import asyncio

import pytest

from gingerturn import settings
from gingerturn.internal.core import messages, readiness
from gingerturn.internal.shell import clock, node as nodes
from gingerturn_standins import processes
from tests.common import scripted_logs

pytestmark = pytest.mark.unhandled_errors

READY_WITHIN_S = 20.0


def _settings(name: str, ports: tuple[int, int, int]) -> settings.Settings:
    calls, peers, gossip = ports
    return settings.Settings(
        node=settings.Node(
            id=name,
            zone="a",
            region="r",
            host="127.0.0.1",
            calls_port=calls,
            peers_port=peers,
            gossip_port=gossip,
            admin_port=0,
        ),
        log=settings.Log(url="http://127.0.0.1:9", keyed=True),
        secret=settings.Secret(current="a secret of the tests only"),
        routing=settings.Routing(table=True),
    )


async def _ready(node: nodes.Node) -> None:
    async with asyncio.timeout(READY_WITHIN_S):
        while not readiness.is_ready(node.state):
            await asyncio.sleep(0.05)


async def _started(
    name: str, ports: tuple[int, int, int], log: scripted_logs.Log
) -> nodes.Node:
    node = nodes.Node(_settings(name, ports), log=log)
    await node.start()
    return node


def _log(names: dict[str, tuple[int, int, int]]) -> scripted_logs.Log:
    """Return a log that lists some nodes."""
    log = scripted_logs.Log()
    log.members = [
        messages.JoinRecord(
            node=name,
            incarnation=1,
            host="127.0.0.1",
            gossip_port=ports[2],
            zone="a",
            at=clock.now(),
        )
        for name, ports in names.items()
    ]
    return log


# Guards against a node that is never ready again after a restart, as reads of the list
# fail by an error that nothing expected.
def test_a_node_that_restarts_without_the_list_is_ready_by_its_peers() -> None:
    async def run() -> None:
        free = processes.free_ports(6)
        names = {"n1": tuple(free[:3]), "n2": tuple(free[3:])}
        first = await _started("n1", names["n1"], _log(names))
        second = await _started("n2", names["n2"], _log(names))
        try:
            await _ready(first)
            await _ready(second)
            async with asyncio.timeout(READY_WITHIN_S):
                while "n2" not in first.state.membership.members:
                    await asyncio.sleep(0.05)
            await second.close()
            broken = _log(names)
            for call in (("newest", "members"), ("put", "members")):
                broken.failures[call] = [RecursionError("maximum recursion depth")]
                broken.lasting.add(call)
            second = await _started("n2", names["n2"], broken)
            await _ready(second)
            assert not second.state.membership.members_listed
            assert "n1" in second.state.membership.members
            # The peers may make it ready before the list is read again.
            async with asyncio.timeout(READY_WITHIN_S):
                while broken.calls["newest", "members"] <= 1:
                    await asyncio.sleep(0.05)
            assert not second.state.membership.members_listed
            assert readiness.is_ready(second.state)
        finally:
            await first.close()
            await second.close()

    asyncio.run(run())
