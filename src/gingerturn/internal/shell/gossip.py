"""Membership messages over UDP."""

import asyncio
import typing

from gingerturn import errors
from gingerturn.internal import ids
from gingerturn.internal.core import effects, events
from gingerturn.internal.shell import clock
from gingerturn.internal.wire import datagrams

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes


class GossipProtocol(asyncio.DatagramProtocol):
    """The node's UDP socket.

    :param node: the node that it serves.
    """

    def __init__(self, node: "nodes.Node") -> None:
        self._node = node
        self._transport: asyncio.DatagramTransport | None = None
        self._guard = datagrams.ReplayGuard()
        self._last_sent = 0.0
        self.dropped = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Check a datagram and hand it to the core; drop what is not authentic, and
        what comes before the start: whoever sent it will try again."""
        if not self._node.begun:
            return
        self.bytes_received += len(data)
        now = clock.now()
        try:
            sender, sent_at, message = datagrams.decode(self._node.secrets, data)
        except errors.GingerturnError:
            self.dropped += 1
            return
        if not self._guard.accepts(sender, sent_at, now):
            self.dropped += 1
            return
        self._node.apply(
            events.DatagramReceived(
                now=now,
                sender=sender,
                host=address[0],
                port=address[1],
                message=message,
            )
        )

    def send(self, effect: effects.SendGossip) -> None:
        """Send a message. Each has a time of sending of its own, by which the
        receiver tells a replay."""
        if self._transport is None:
            return
        self._last_sent = max(clock.now(), self._last_sent + 0.001)
        data = datagrams.encode(
            self._node.secrets[0],
            ids.NodeId(self._node.name),
            self._last_sent,
            effect.message,
        )
        self.bytes_sent += len(data)
        self._transport.sendto(data, (effect.host, effect.port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
