"""The addresses at which a node listens.

All of them are bound before any accepts connections: a connection that is accepted by a
node that then does not start would be closed without an answer.
"""

import asyncio
import collections.abc
import contextlib
import errno
import math
import socket
import typing

from gingerturn import errors
from gingerturn.internal.shell import clock, descriptors, supervision, syn_filter

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

MAX_ACCEPTS = 64
"""Connections accepted before other events are handled."""

ACCEPT_PAUSE_S = 0.05
"""Pause after a connection could not be accepted, which the event loop would otherwise
report all the time."""

HANDSHAKE_MS = 20.0
"""Time for which an address that closes still completes handshakes under way."""

MakeProtocol = collections.abc.Callable[[], asyncio.BaseProtocol]


class AddressUnavailable(errors.GingerturnError):
    """An address cannot be used now, but may be later."""


class _Listener(typing.NamedTuple):
    port: int
    make: MakeProtocol | None
    yields: bool
    sock: socket.socket


class Listeners:
    """The TCP addresses of a node.

    :param host: IP address of all of them.
    :param reserve: the reserve of descriptors.
    """

    def __init__(self, host: str, reserve: descriptors.Reserve) -> None:
        self._host = host
        self._reserve = reserve
        self._wanted: list[tuple[int, MakeProtocol | None, bool]] = []
        self._bound: list[_Listener] = []
        self._acceptors: dict[int, Acceptor] = {}

    def add(
        self, port: int, make: MakeProtocol | None, *, yields: bool = False
    ) -> None:
        """Add an address.

        :param make: makes the protocol of a connection; ``None`` if another part serves
            the address, which takes its socket.
        :param yields: whether connections are accepted only while the reserve of
            descriptors is held.
        """
        self._wanted.append((port, make, yields))

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
            for port, make, yields in self._wanted:
                sock = bind(self._host, port, socket.SOCK_STREAM)
                self._bound.append(_Listener(port, make, yields, sock))
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
            for port, _, _, sock in self._bound:
                with naming(self._host, port):
                    sock.listen(BACKLOG)
        except errors.GingerturnError:
            self.unbind()
            raise

    def serve(self) -> None:
        """Serve the addresses that are bound."""
        self._wanted.clear()
        for listener in list(self._bound):
            if listener.make is None:
                continue
            self._bound.remove(listener)
            self._acceptors[listener.port] = Acceptor(
                listener.sock, listener.make, self._reserve, listener.yields
            )

    def server(self, port: int) -> "Acceptor | None":
        """Return the server of an address, once it is served."""
        return self._acceptors.get(port)

    def close(self) -> None:
        """Close all addresses."""
        self.unbind()
        for acceptor in self._acceptors.values():
            acceptor.close()


class Acceptor:
    """Accepts the connections of a listening socket.

    The event loop's own server closes the connections that it accepts without a free
    descriptor. Here they stay in the kernel's queue.

    :param yields: whether connections are accepted only while the reserve is held.
    """

    def __init__(
        self,
        sock: socket.socket,
        make: MakeProtocol,
        reserve: descriptors.Reserve,
        yields: bool,
    ) -> None:
        self._sock = sock
        self._make = make
        self._reserve = reserve
        self._yields = yields
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        self._closes_at = math.inf
        self._resume()

    def close(self) -> None:
        """Close the address; connections that wait in the kernel are reset."""
        if self._closed:
            return
        self._loop.remove_reader(self._sock)
        self._closed = True
        self._sock.close()

    def close_when_empty(self) -> bool:
        """Accept the connections that wait in the kernel, and close the address once it
        begins no new ones.

        It stays open while one cannot be accepted, since the kernel would reset it.

        :return: whether it is closed and all accepted connections are served.
        """
        if self._closes_at == math.inf:
            wait_ms = HANDSHAKE_MS if syn_filter.attach(self._sock) else 0.0
            self._closes_at = clock.now() + wait_ms
        # A handshake that ends behind the last accept is under way before it.
        is_due = clock.now() >= self._closes_at
        while not self._closed:
            try:
                accepted, _ = self._sock.accept()
            except ConnectionAbortedError:
                continue
            except BlockingIOError:
                if not is_due:
                    return False
                self.close()
            except OSError:
                return False
            else:
                self._begin(accepted)
        return not self._tasks

    def _accept(self) -> None:
        try:
            self._accept_waiting()
        except Exception as error:
            # The event loop would call this again at once.
            supervision.record("listeners", error)
            self._pause()

    def _accept_waiting(self) -> None:
        for _ in range(MAX_ACCEPTS):
            if self._yields and not self._reserve.is_held:
                self._wait_for_reserve()
                return
            try:
                accepted, _ = self._sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                self._on_failure(error)
                return
            self._begin(accepted)

    def _begin(self, accepted: socket.socket) -> None:
        task = supervision.spawn(
            self._serve(accepted), part="listeners", failed=accepted.close
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._make, accepted)
        except OSError:
            # The peer has reset the connection.
            accepted.close()

    def _on_failure(self, error: OSError) -> None:
        if error.errno in descriptors.EXHAUSTED:
            if self._yields:
                self._wait_for_reserve()
                return
            if self._reserve.is_held:
                self._reserve.begin_shortage(None)
                return
        self._pause()

    def _pause(self) -> None:
        if not self._closed:
            self._loop.remove_reader(self._sock)
            supervision.call_later(ACCEPT_PAUSE_S, self._resume, part="listeners")

    def _wait_for_reserve(self) -> None:
        self._loop.remove_reader(self._sock)
        self._reserve.begin_shortage(self._resume)

    def _resume(self) -> None:
        if not self._closed:
            self._loop.add_reader(self._sock, self._accept)


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
