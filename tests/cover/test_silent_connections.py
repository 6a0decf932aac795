"""Detection of dead peers on every connection that a node keeps open."""

import asyncio
import socket
import struct

import pytest

from gingerturn import dialect
from gingerturn.internal.shell import (
    acknowledgements,
    backend_http,
    backend_pool,
    node as nodes,
    peers,
    sockets,
)
from gingerturn.internal.wire import frames
from tests.common import builders

UNACKNOWLEDGED_S = 3.0
"""Time after which a connection with unacknowledged bytes is to be closed."""


class _Socket:
    """Records options, and reports the counters that a test sets."""

    def __init__(self) -> None:
        self.options: dict[tuple[int, int], int] = {}
        self.probes = 0
        self.unacknowledged = 0
        self.segments = 7
        self.unsent = 0

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        assert (level, option) == (socket.IPPROTO_TCP, socket.TCP_INFO)
        info = bytearray(size)
        info[3] = self.probes
        struct.pack_into("=I", info, 24, self.unacknowledged)
        struct.pack_into("=II", info, 140, self.segments, self.unsent)
        return bytes(info)

    def setsockopt(self, level: int, option: int, value: int) -> None:
        self.options[(level, option)] = value


class _Transport(asyncio.Transport):
    def __init__(self) -> None:
        self.socket = _Socket()
        self.aborted = False
        super().__init__({"socket": self.socket})

    def write(self, data: object) -> None:
        """Discard the data."""

    def is_closing(self) -> bool:
        return False

    def abort(self) -> None:
        self.aborted = True

    def get_write_buffer_size(self) -> int:
        return 0


def _protocols() -> dict[str, asyncio.Protocol]:
    node = nodes.Node(builders.settings())
    return {
        "peer that called": peers.Accepted(node),
        "peer that was called": peers.Dialled(node, lambda: None, lambda: None, set()),
        "backend server": backend_http.Connection(backend_pool.Pool(dialect.DEFAULT)),
    }


@pytest.mark.parametrize("name", list(_protocols()))
def test_an_idle_connection_is_probed(name: str) -> None:
    transport = _Transport()

    async def connect() -> None:
        _protocols()[name].connection_made(transport)

    asyncio.run(connect())
    options = transport.socket.options
    assert options[(socket.SOL_SOCKET, socket.SO_KEEPALIVE)] == 1
    names = [socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT]
    idle, interval, count = (options[(socket.IPPROTO_TCP, option)] for option in names)
    assert idle + interval * count <= 4


# Guards against calls that wait for their deadline on a connection without a peer.
@pytest.mark.parametrize("name", list(_protocols()))
def test_what_is_written_is_watched_until_it_is_acknowledged(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(acknowledgements, "CHECK_INTERVAL_S", 0.001)
    transport = _Transport()
    transport.socket.unacknowledged = 1

    async def run() -> None:
        protocol = _protocols()[name]
        protocol.connection_made(transport)
        if isinstance(protocol, backend_http.Connection):
            protocol.write(b"x")
        elif isinstance(protocol, peers.FrameProtocol):
            protocol.send(frames.Ping())
        while not transport.aborted:
            await asyncio.sleep(0.001)

    asyncio.run(asyncio.wait_for(run(), 30.0))


def _checks(transport: _Transport, count: int, segments: int = 0) -> bool:
    """Check a connection some times; return whether its peer counts as silent.

    :param segments: how many arrive between two checks.
    """
    silent: list[bool] = []
    watched = acknowledgements.Watched(transport, lambda: silent.append(True))
    for _ in range(count):
        watched.check()
        transport.socket.segments += segments
    return bool(silent)


def test_a_peer_that_acknowledges_nothing_is_silent_in_time() -> None:
    transport = _Transport()
    transport.socket.unacknowledged = 1
    count = acknowledgements.SILENT_CHECKS
    assert not _checks(transport, count)
    assert _checks(transport, count + 1)
    assert (count + 1) * acknowledgements.CHECK_INTERVAL_S <= UNACKNOWLEDGED_S


# Guards against connections that are closed though their peer is alive: it sends
# segments, its window is closed, or one probe of the window was lost.
@pytest.mark.parametrize(
    ("unacknowledged", "probes", "segments"), [(1, 0, 1), (0, 0, 0), (0, 1, 0)]
)
def test_a_peer_that_may_be_alive_is_not_silent(
    unacknowledged: int, probes: int, segments: int
) -> None:
    transport = _Transport()
    transport.socket.unacknowledged = unacknowledged
    transport.socket.probes = probes
    transport.socket.unsent = 1
    assert not _checks(transport, 10 * acknowledgements.SILENT_CHECKS, segments)


def test_a_peer_that_answers_no_probe_is_silent() -> None:
    transport = _Transport()
    transport.socket.probes = acknowledgements.UNANSWERED_PROBES
    assert _checks(transport, acknowledgements.SILENT_CHECKS + 1)


def _connect(name: str, transport: _Transport) -> None:
    async def connect() -> None:
        _protocols()[name].connection_made(transport)

    asyncio.run(connect())


# Guards against a dead peer that is never noticed, on a system that counts no segments.
@pytest.mark.parametrize("name", list(_protocols()))
def test_unacknowledged_bytes_are_bounded_where_nothing_is_reported(name: str) -> None:
    transport = _Transport()
    transport.socket.segments = 0
    _connect(name, transport)
    level, option, timeout_ms = sockets.USER_TIMEOUT
    assert transport.socket.options[(level, option)] == timeout_ms
    assert 0 < timeout_ms <= 1_000.0 * UNACKNOWLEDGED_S


# Guards against a closed receive window that counts as a dead peer.
@pytest.mark.parametrize("name", list(_protocols()))
def test_a_closed_window_is_not_bounded_where_segments_are_reported(name: str) -> None:
    transport = _Transport()
    _connect(name, transport)
    assert sockets.USER_TIMEOUT[:2] not in transport.socket.options


def test_the_log_service_may_leave_nothing_unacknowledged() -> None:
    timeout = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    options = {(level, name): value for level, name, value in sockets.LOG_OPTIONS}
    assert 0 < options[timeout] <= 1_000.0 * UNACKNOWLEDGED_S
    assert set(sockets.KEEPALIVE) < set(sockets.LOG_OPTIONS)
