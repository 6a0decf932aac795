"""Detection of peers whose kernel no longer acknowledges what was sent.

``TCP_USER_TIMEOUT`` does not serve here: it also bounds the time for which the receive
window of a peer is closed, which is that of a process that is alive but does not read.
It remains in use where the system does not report what is acknowledged.
"""

import asyncio
import collections.abc
import socket
import struct

from gingerturn.internal.shell import sockets, supervision

CHECK_INTERVAL_S = 0.25

SILENT_CHECKS = 11
"""Consecutive checks, after the first one, at which bytes are unacknowledged and no
segment has arrived. Checks are counted rather than time: the kernel acknowledges, and
receives, while this process is paused."""

UNANSWERED_PROBES = 2
"""Window probes without an answer that count as unacknowledged bytes. One of them may
be lost, and the kernel sends the next one only after twice the time."""

_INFO = struct.Struct("=3xB20xI112xII")
"""``tcpi_probes``, ``tcpi_unacked``, ``tcpi_segs_in`` and ``tcpi_notsent_bytes`` of the
kernel's ``struct tcp_info``."""


class Watched:
    """A connection, as it is watched.

    :param transport: of the connection.
    :param on_silent: called when the peer has acknowledged nothing for all checks.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        on_silent: collections.abc.Callable[[], None],
    ) -> None:
        self._transport = transport
        self._socket = transport.get_extra_info("socket")
        self._is_reported = self._socket is not None and _is_reported(self._socket)
        self._on_silent = on_silent
        if self._socket is not None and not self._is_reported:
            self._socket.setsockopt(*sockets.USER_TIMEOUT)
        self._segments = -1
        self._silent_checks = 0

    @property
    def is_reported(self) -> bool:
        """Whether the system reports what the peer has acknowledged."""
        return self._is_reported

    def check(self) -> bool:
        """Count a check; return whether to check again."""
        try:
            info = self._socket.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _INFO.size
            )
        except (OSError, ValueError):
            # It was closed.
            return False
        probes, unacknowledged, segments, unsent = _INFO.unpack(info)
        is_unanswered = bool(unacknowledged) or probes >= UNANSWERED_PROBES
        if not is_unanswered:
            self._segments = -1
            buffered = self._transport.get_write_buffer_size()
            return bool(unsent or buffered)
        if segments != self._segments:
            self._segments = segments
            self._silent_checks = 0
            return True
        self._silent_checks += 1
        if self._silent_checks < SILENT_CHECKS:
            return True
        self._on_silent()
        return False


def _is_reported(sock: socket.socket) -> bool:
    """Whether the system counts segments, of which the handshake has had some."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO.size)
    except OSError:
        return False
    return len(info) == _INFO.size and _INFO.unpack(info)[2] > 0


class Watch:
    """The connections on which something may be unacknowledged, with one timer."""

    def __init__(self) -> None:
        self._watched: set[Watched] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, watched: Watched) -> None:
        """Check a connection until everything written to it is acknowledged."""
        if watched in self._watched or not watched.is_reported:
            return
        self._watched.add(watched)
        if self._timer is None:
            self._timer = supervision.call_later(
                CHECK_INTERVAL_S, self._check, part="acknowledgements"
            )

    def _check(self) -> None:
        # Cleared first, so that an error below does not end the checks for good.
        self._timer = None
        watched, self._watched = self._watched, set()
        for connection in watched:
            # One that cannot be checked is not watched any more.
            with supervision.contained("acknowledgements"):
                if connection.check():
                    self.add(connection)
