"""Connections of the administration API, which linger after their close."""

import asyncio
import typing

from uvicorn.protocols.http import httptools_impl

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes


def protocol_class(node: "nodes.Node") -> type[asyncio.Protocol]:
    """Return the class of the protocols of a node's administration API."""

    class Protocol(httptools_impl.HttpToolsProtocol):
        """A connection of uvicorn whose close lingers."""

        def connection_made(  # type: ignore[override]
            self, transport: asyncio.Transport
        ) -> None:
            """Pass on a transport whose close lingers."""
            wrapped = _LingeringTransport(transport, self, node)
            super().connection_made(typing.cast(asyncio.Transport, wrapped))

    return Protocol


class _LingeringTransport:
    """A transport whose close lingers, except during a stop.

    :param transport: the transport that does everything else.
    :param protocol: its protocol.
    :param node: the node that has the lingering connections.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        protocol: asyncio.Protocol,
        node: "nodes.Node",
    ) -> None:
        self._transport = transport
        self._protocol = protocol
        self._node = node
        self._closing = False

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        """Whether nothing more is read or written."""
        return self._closing or self._transport.is_closing()

    def close(self) -> None:
        """Close after flushing buffered data. The end of the process does not wait for
        clients that keep an idle connection."""
        if self.is_closing():
            return
        self._closing = True
        if self._node.stopping:
            self._transport.close()
            return
        self._node.lingering.close(self._transport, self._protocol, is_sending=False)
