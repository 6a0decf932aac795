"""TCP keepalive and user timeout on every connection that a node keeps open."""

import asyncio
import socket

import pytest

from gingerturn import dialect
from gingerturn.internal.shell import backend_http, backend_pool, node as nodes, peers
from tests.common import builders


class _Socket:
    def __init__(self) -> None:
        self.options: dict[tuple[int, int], int] = {}

    def setsockopt(self, level: int, option: int, value: int) -> None:
        self.options[(level, option)] = value


class _Transport(asyncio.Transport):
    def __init__(self) -> None:
        self.socket = _Socket()
        super().__init__({"socket": self.socket})

    def write(self, data: object) -> None:
        """Discard the data."""

    def is_closing(self) -> bool:
        return False


def _protocols() -> dict[str, asyncio.Protocol]:
    node = nodes.Node(builders.settings())
    return {
        "peer that called": peers.Accepted(node),
        "peer that was called": peers.Dialled(node, lambda: None, lambda: None),
        "backend server": backend_http.Connection(backend_pool.Pool(dialect.DEFAULT)),
    }


@pytest.mark.parametrize("name", list(_protocols()))
def test_a_connection_is_probed_and_bounds_what_is_not_acknowledged(name: str) -> None:
    transport = _Transport()

    async def connect() -> None:
        _protocols()[name].connection_made(transport)

    asyncio.run(connect())
    options = transport.socket.options
    assert options[(socket.SOL_SOCKET, socket.SO_KEEPALIVE)] == 1
    assert 0 < options[(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)] <= 3_000
    names = [socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT]
    idle, interval, count = (options[(socket.IPPROTO_TCP, option)] for option in names)
    assert idle + interval * count <= 4
