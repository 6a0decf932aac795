"""Connections between two nodes in memory, which a test can silence."""

import asyncio
import typing

import pytest

from gingerturn.internal.shell import node as nodes, peers
from gingerturn.internal.wire import frames


class End:
    """The transport of one end of a connection; bytes written while it is silent are
    lost.

    :param sent: the frames that were written to it.
    """

    def __init__(self, sent: list[frames.Frame]) -> None:
        self.receiver: asyncio.Protocol = typing.cast(asyncio.Protocol, None)
        self.other: End = typing.cast(End, None)
        self.silent = False
        self.closed = False
        self._sent = sent
        self._unsplit = bytearray()

    def write(self, data: bytes) -> None:
        self._unsplit += data
        self._sent.extend(frames.decode(part) for part in frames.split(self._unsplit))
        if not self.silent:
            asyncio.get_running_loop().call_soon(self.receiver.data_received, data)

    def close(self) -> None:
        if self.closed:
            return
        self.closed = self.other.closed = True
        loop = asyncio.get_running_loop()
        loop.call_soon(self.receiver.connection_lost, None)
        loop.call_soon(self.other.receiver.connection_lost, None)

    abort = close

    # The peer closes its side at once, whereupon the transport closes itself.
    write_eof = close

    def set_protocol(self, protocol: asyncio.Protocol) -> None:
        self.other.receiver = protocol

    def pause_reading(self) -> None:
        pass

    resume_reading = pause_reading

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.closed

    def get_extra_info(self, name: str) -> None:
        return None


class Network:
    """The connections that a node dials to a home node.

    :param home: the node that accepts all of them.
    """

    def __init__(self, home: nodes.Node) -> None:
        self.home = home
        # For each connection: both ends, and the frames sent by the dialling node.
        self.connections: list[tuple[End, End, list[frames.Frame]]] = []

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Replace the connections of the running event loop."""
        monkeypatch.setattr(
            asyncio.get_running_loop(), "create_connection", self._connect
        )

    def silence(self, *, only_answers: bool = False) -> None:
        """Let all open connections fall silent, or only their answers."""
        for near, far, _ in self.connections:
            near.silent = not only_answers
            far.silent = True

    def restore(self) -> None:
        """Deliver what is sent from now on."""
        for near, far, _ in self.connections:
            near.silent = far.silent = False

    def count(self, kind: type) -> list[int]:
        """Return how many frames of a kind were sent on each connection."""
        return [
            sum(isinstance(frame, kind) for frame in sent)
            for _, _, sent in self.connections
        ]

    async def _connect(
        self, make: typing.Callable[[], peers.Dialled], host: str, port: int
    ) -> None:
        dialled, accepted = make(), peers.Accepted(self.home)
        sent: list[frames.Frame] = []
        near, far = End(sent), End([])
        near.receiver, near.other = accepted, far
        far.receiver, far.other = dialled, near
        self.connections.append((near, far, sent))
        accepted.connection_made(typing.cast(asyncio.Transport, far))
        dialled.connection_made(typing.cast(asyncio.Transport, near))
