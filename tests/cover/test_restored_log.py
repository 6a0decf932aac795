"""A log that comes back from an older copy of itself.

Records that it acknowledged are gone then, offsets are given out again, and a read from
one that it does not have is refused. Operators publish again what was lost, and expect
each version to be in force two seconds after its acknowledgement.
"""

from gingerturn import routes
from gingerturn.internal.core import messages, streams
from gingerturn_fakes import parts, world
from tests.common import routed

ZONES = ["a", "b", "c"]
IN_FORCE_MS = 2_000.0
"""Operators expect a change to be in force by then."""

AWAY_MS = 2_000.0


def _world(*, upstreams: int = 15, seed: int = 3) -> world.World:
    spec = parts.ServiceSpec("plans", upstreams, 4, {"lookup": 5.0})
    table = routed.table(routed.route())
    made = world.World(
        seed=seed, services=[spec], documents={}, zones=ZONES, table=table
    )
    made.gossip_on = True
    made.run(4_000.0)
    return made


def _publish(made: world.World, version: int) -> None:
    table = routes.RouteTable(version=version, routes=(routed.route(),))
    made.log.put(streams.ROUTES, "table", messages.encode_record(table))


def _versions(made: world.World) -> set[int]:
    return {node.state.version for node in made.nodes.values()}


def _lose(made: world.World, *versions: int, away_ms: float = AWAY_MS) -> None:
    """Publish versions, and bring the log back from a copy without them."""
    copy = made.log.copy()
    for version in versions:
        _publish(made, version)
        made.run(1_000.0)
    made.log.down = True
    made.log.restore(copy)
    made.run(away_ms)
    made.log.down = False


# Guards against readers that ask for ever for an offset which a restored log lacks: a
# change that was acknowledged was in force nowhere until the log was as long as before.
def test_a_change_is_in_force_in_time_though_the_log_is_shorter_than_before() -> None:
    made = _world()
    _lose(made, 2, 3, 4, 5)
    made.run(3_000.0)
    _publish(made, 6)
    made.run(IN_FORCE_MS)
    assert _versions(made) == {6}
