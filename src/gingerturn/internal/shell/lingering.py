"""Lingering closes of connections whose peers may still send.

The kernel resets a connection that is closed with unread bytes, or to which bytes
arrive after the close. A reset discards what the peer has received and not yet read:
the end of an answer, or all of it. So the sending side is closed first, and what
arrives is discarded until the peer closes its own (RFC 9112, 9.6).
"""

import asyncio
import math

from gingerturn.internal import ids
from gingerturn.internal.shell import clock, supervision

LINGER_MS = 5_000.0
"""Time for which a connection lingers once its last byte is handed to the kernel."""

MAX_DISCARDED_BYTES = 67_108_864
"""Bytes of a peer that are discarded, after which its connection is closed."""

MAX_LINGERING = 256
"""Connections that linger at once. The oldest makes room for another one."""

STOP_WAIT_MS = 1_000.0
"""Longest time for which the end of a node waits for its lingering connections."""

_POLL_S = 0.01


class Lingering:
    """The lingering connections of a node.

    Invariant: at most :data:`MAX_LINGERING`, in the order of their closes.
    """

    def __init__(self) -> None:
        self._connections: dict[asyncio.Transport, _Discarding] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def close(
        self,
        transport: asyncio.Transport,
        protocol: asyncio.Protocol | asyncio.BufferedProtocol,
        *,
        is_sending: bool,
    ) -> None:
        """Close a connection once its write buffer is flushed and its peer has closed
        it too, or a bound is reached.

        :param protocol: the protocol of the connection. Of its callbacks, only
            ``eof_received`` and ``connection_lost`` are called from now on.
        :param is_sending: whether the peer is known to be sending.
        """
        if transport.is_closing():
            return
        discarding = _Discarding(self, transport, protocol, is_sending=is_sending)
        # The event loop chooses at the start of reading how a protocol is fed.
        transport.pause_reading()
        transport.set_protocol(discarding)
        self._connections[transport] = discarding
        if len(self._connections) > MAX_LINGERING:
            self._make_room()
        try:
            transport.write_eof()
        except OSError:
            # The peer has reset it.
            self._end(transport)
            return
        if not transport.is_closing():
            transport.resume_reading()

    def awaits(self, transport: asyncio.Transport) -> bool:
        """Whether a reset of a connection could still discard a part of an answer.

        It could not where all is flushed and nothing of the peer is known to be under
        way.
        """
        discarding = self._connections.get(transport)
        return discarding is not None and discarding.is_awaited

    def check(self, now: ids.Milliseconds) -> None:
        """Close the connections that reached a bound."""
        for transport, discarding in list(self._connections.items()):
            with supervision.contained("lingering"):
                if discarding.is_over(now):
                    self._end(transport)

    def _make_room(self) -> None:
        """Close the oldest connection that is not awaited, or else the oldest one."""
        oldest = next(iter(self._connections))
        not_awaited = (t for t, d in self._connections.items() if not d.is_awaited)
        self._end(next(not_awaited, oldest))

    def end_flushed(self) -> None:
        """Close the connections that no answer depends on, for their descriptors."""
        for transport, discarding in list(self._connections.items()):
            if not discarding.is_awaited:
                self._end(transport)

    def forget(self, transport: asyncio.Transport) -> None:
        """Remove a connection that is closed."""
        self._connections.pop(transport, None)

    async def wait(self, limit_ms: ids.Milliseconds = STOP_WAIT_MS) -> None:
        """Wait until no connection is awaited, at most for a time."""
        ends_at = clock.now() + limit_ms
        while any(discarding.is_awaited for discarding in self._connections.values()):
            now = clock.now()
            if now >= ends_at:
                return
            self.check(now)
            await asyncio.sleep(_POLL_S)

    def _end(self, transport: asyncio.Transport) -> None:
        self.forget(transport)
        transport.close()


class _Discarding(asyncio.Protocol):
    """Discards what arrives on a lingering connection.

    :param is_sending: whether the peer is known to be sending.
    """

    def __init__(
        self,
        lingering: Lingering,
        transport: asyncio.Transport,
        protocol: asyncio.Protocol | asyncio.BufferedProtocol,
        *,
        is_sending: bool,
    ) -> None:
        self._lingering = lingering
        self._transport = transport
        self._protocol = protocol
        self._is_sending = is_sending
        self._discarded_bytes = 0
        self._ends_at = math.inf

    @property
    def is_awaited(self) -> bool:
        """Whether the peer is sending, or has not been sent everything."""
        return self._is_sending or self._transport.get_write_buffer_size() > 0

    def is_over(self, now: ids.Milliseconds) -> bool:
        """Whether a bound is reached. Time counts from the first check after which
        nothing is left to send, for the sake of peers that read slowly."""
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            return True
        if self._ends_at == math.inf and not self._transport.get_write_buffer_size():
            self._ends_at = now + LINGER_MS
        return now >= self._ends_at

    def data_received(self, data: bytes) -> None:
        """Count what arrives."""
        self._is_sending = True
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._transport.pause_reading()

    def eof_received(self) -> bool | None:
        """Notify the protocol; the transport then closes."""
        return self._protocol.eof_received()

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the protocol."""
        self._lingering.forget(self._transport)
        self._protocol.connection_lost(error)
