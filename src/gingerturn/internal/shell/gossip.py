"""Membership gossip over UDP."""

import asyncio
import typing

from gingerturn import errors
from gingerturn.internal import decoding, ids, logs
from gingerturn.internal.core import effects, events
from gingerturn.internal.shell import clock, supervision
from gingerturn.internal.wire import datagrams

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes


def _shown(error: Exception) -> str:
    return str(error)[: decoding.MAX_SHOWN]


class GossipProtocol(asyncio.DatagramProtocol):
    """The UDP endpoint of a node.

    :param node: the node.
    """

    def __init__(self, node: "nodes.Node") -> None:
        self._node = node
        self._transport: asyncio.DatagramTransport | None = None
        self._guard = datagrams.ReplayGuard()
        self._last_sent = 0.0
        self.dropped = 0
        self.unsent = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Authenticate a datagram and apply it. Datagrams received before the start are
        ignored, since gossip is repeated."""
        if not self._node.begun:
            return
        with supervision.contained("gossip", subject=f"{address[0]}:{address[1]}"):
            self._receive(data, address)

    def _receive(self, data: bytes, address: tuple[str, int]) -> None:
        self.bytes_received += len(data)
        now = clock.now()
        try:
            sender, sent_at, message = datagrams.decode(self._node.secrets, data)
        except errors.GingerturnError as error:
            self.dropped += 1
            source = f"{address[0]}:{address[1]}"
            logs.warn_skipped("Datagram of", source.encode(), _shown(error))
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
        """Send a message. Times of sending strictly increase, so that the receiver can
        detect replays."""
        if self._transport is None:
            return
        self._last_sent = max(clock.now(), self._last_sent + 0.001)
        try:
            data = datagrams.encode(
                self._node.secrets[0],
                ids.NodeId(self._node.name),
                self._last_sent,
                effect.message,
            )
            self._transport.sendto(data, (effect.host, effect.port))
        except (errors.GingerturnError, OSError, ValueError, OverflowError) as error:
            # An address that another program wrote to the log, such as one of IPv6 on
            # a socket of IPv4, must not keep the effects after this one from others.
            self.unsent += 1
            address = f"{effect.host}:{effect.port}"
            shown = address.encode(errors="replace")
            logs.warn_skipped("Datagram to", shown, _shown(error))
            return
        self.bytes_sent += len(data)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
