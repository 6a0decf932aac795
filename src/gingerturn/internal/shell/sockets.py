"""Bounds on silence: a connection whose other end is gone must not look alive.

An instance that lost its power says nothing, and a connection that was forgotten on the
way shows nothing either, while new ones work. By itself the kernel tries for minutes.
"""

import asyncio
import socket

SILENCE_MS = 3_000
"""Bytes that the other end does not acknowledge for this long end the connection. Below
the time after which users count an instance as reachable again."""

PROBE_AFTER_S = 2
PROBE_EVERY_S = 1
PROBES = 2
"""A connection at rest is probed by the kernel after 2 s, and lost after two probes
without an answer. A probe has no content, so a hundred connections cost some kilobytes
a second."""

OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
)
"""Level, option and value, as ``setsockopt`` takes them."""


def bound_silence(transport: asyncio.BaseTransport) -> None:
    """Set the options on the socket of a transport, if it has one."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        for option in OPTIONS:
            sock.setsockopt(*option)
