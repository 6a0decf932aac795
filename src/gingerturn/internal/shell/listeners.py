"""The addresses at which a node listens.

All of them are bound before any accepts connections: a connection that is accepted by a
node that then does not start would be closed without an answer.
"""

import asyncio
import collections.abc
import contextlib
import errno
import socket
import typing

from gingerturn import errors

BACKLOG = 1_024
"""Connections that wait in the kernel; its ``somaxconn`` limits it further."""

_PASSING = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)
"""Errors of another process or of the system, which may pass."""

MakeProtocol = collections.abc.Callable[[], asyncio.Protocol]


class AddressUnavailable(errors.GingerturnError):
    """An address cannot be used now, but may be later."""


class _Listener(typing.NamedTuple):
    port: int
    make: MakeProtocol | None
    sock: socket.socket


class Listeners:
    """The TCP addresses of a node.

    :param host: IP address of all of them.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._wanted: list[tuple[int, MakeProtocol | None]] = []
        self._bound: list[_Listener] = []
        self._servers: dict[int, asyncio.Server] = {}

    def add(self, port: int, make: MakeProtocol | None) -> None:
        """Add an address.

        :param make: makes the protocol of a connection; ``None`` if another part serves
            the address, which takes its socket.
        """
        self._wanted.append((port, make))

    def take(self, port: int) -> socket.socket:
        """Return the listening socket of an address that another part serves."""
        (listener,) = [found for found in self._bound if found.port == port]
        self._bound.remove(listener)
        return listener.sock

    def bind(self) -> None:
        """Bind all addresses that were added, or none.

        :raises AddressUnavailable: if waiting may help.
        :raises GingerturnError: if it cannot.
        """
        try:
            for port, make in self._wanted:
                sock = bind(self._host, port, socket.SOCK_STREAM)
                self._bound.append(_Listener(port, make, sock))
        except errors.GingerturnError:
            self.unbind()
            raise

    def unbind(self) -> None:
        """Close the sockets of addresses that are not served yet."""
        for listener in self._bound:
            listener.sock.close()
        self._bound.clear()

    def listen(self) -> None:
        """Let the kernel accept connections, at all addresses or none.

        :raises AddressUnavailable: if another process listens at one.
        """
        try:
            for port, _, sock in self._bound:
                with naming(self._host, port):
                    sock.listen(BACKLOG)
        except errors.GingerturnError:
            self.unbind()
            raise

    async def serve(self) -> None:
        """Serve the addresses that are bound."""
        loop = asyncio.get_running_loop()
        self._wanted.clear()
        for listener in list(self._bound):
            if listener.make is None:
                continue
            self._bound.remove(listener)
            server = await loop.create_server(
                listener.make, sock=listener.sock, backlog=BACKLOG
            )
            self._servers[listener.port] = server

    def server(self, port: int) -> asyncio.Server | None:
        """Return the server of an address, once it is served."""
        return self._servers.get(port)

    def close(self) -> None:
        """Close all addresses."""
        self.unbind()
        for server in self._servers.values():
            server.close()


def bind(host: str, port: int, kind: socket.SocketKind) -> socket.socket:
    """Return a socket that is bound to an address.

    :raises AddressUnavailable: if waiting may help.
    :raises GingerturnError: if it cannot.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with naming(host, port):
        sock = socket.socket(family, kind)
        try:
            sock.setblocking(False)
            if kind == socket.SOCK_STREAM:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
        except OSError:
            sock.close()
            raise
    return sock


@contextlib.contextmanager
def naming(host: str, port: int) -> collections.abc.Iterator[None]:
    """Convert errors of binding an address.

    :raises GingerturnError: naming the address, which the ``OSError`` does not.
    """
    try:
        yield
    except OSError as error:
        kind = errors.GingerturnError
        if error.errno in _PASSING:
            kind = AddressUnavailable
        raise kind(
            f"cannot listen: {error.strerror or error}",
            step="listen",
            peer=f"{host}:{port}",
        ) from None
