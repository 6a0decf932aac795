"""TCP options that detect dead peers.

A peer that lost power, or a connection that a middlebox dropped, sends no RST; with its
defaults the kernel takes minutes to report the loss.
"""

import asyncio
import socket

USER_TIMEOUT_MS = 3_000
"""Time after which a connection with unacknowledged bytes is closed."""

KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""An idle connection is closed after this many unanswered keepalive probes."""

OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)
"""Arguments of ``setsockopt``: level, option and value."""


def set_dead_peer_timeouts(transport: asyncio.BaseTransport) -> None:
    """Set the options on the socket of a transport, if it has one."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        for option in OPTIONS:
            sock.setsockopt(*option)
