"""Socket options that detect dead peers, and bytes that a socket has not delivered.

A peer that lost power, or a connection that a middlebox dropped, sends no RST; with its
defaults the kernel takes minutes to report the loss. Connections to nodes and to the
backend server have :mod:`acknowledgements` in place of ``TCP_USER_TIMEOUT``.
"""

import asyncio
import collections.abc
import fcntl
import os
import select
import socket
import struct
import termios

USER_TIMEOUT_MS = 3_000
"""Time after which a connection with unacknowledged bytes, or with a closed receive
window, is closed. Used for the log service, whose requests are far smaller than a
window, and where the system does not report what is acknowledged."""

KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""An idle connection is closed after this many unanswered keepalive probes."""

KEEPALIVE = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)
"""Arguments of ``setsockopt``: level, option and value."""

USER_TIMEOUT = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
"""Arguments of ``setsockopt``."""

LOG_OPTIONS = (USER_TIMEOUT, *KEEPALIVE)
"""The options of connections to the log service, whose socket belongs to a library."""


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Set the options on the socket of a transport, if it has one."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        for option in KEEPALIVE:
            sock.setsockopt(*option)


MAX_UNDELIVERED_BYTES = 8_388_608
"""Bytes that are read of a lost connection. Receive buffers are smaller by default."""

_READ_BYTES = 262_144


def read_undelivered(
    transport: asyncio.BaseTransport,
) -> collections.abc.Iterator[bytes]:
    """Yield what a connection has received and not delivered.

    To be called from ``connection_lost``, while the socket is still open. A write to a
    connection that its peer has reset fails before the event loop reads what the peer
    sent earlier, for which the kernel keeps the receive buffer.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    count = 0
    while count < MAX_UNDELIVERED_BYTES:
        try:
            data = os.read(sock.fileno(), _READ_BYTES)
        except OSError:
            return
        if not data:
            return
        count += len(data)
        yield data


def undelivered_bytes(transport: asyncio.Transport) -> int:
    """Return the written bytes that the peer's machine has not acknowledged.

    Where the system does not tell this of a socket, its bytes count as acknowledged
    once the kernel has taken them.
    """
    buffered = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None:
        return buffered
    try:
        # TIOCOUTQ of a terminal is SIOCOUTQ of a socket.
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    except OSError:
        return buffered
    return buffered + int(struct.unpack("i", queued)[0])


def has_unread(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, or the end of the connection, wait to be read."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
