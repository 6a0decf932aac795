"""Pool of connections to the backend server, with an adaptive idle timeout.

A backend server may close or drop an idle connection. A call written to such a
connection has an unknown outcome, so connections idle for too long are not used.
"""

import asyncio
import collections
import math
import re

from gingerturn import dialect as dialects
from gingerturn.internal import ids, logs
from gingerturn.internal.core import messages, pace, rate_limits
from gingerturn.internal.shell import (
    acknowledgements,
    backend_http,
    clock,
    connection_ends,
    descriptors,
    heads,
)

MAX_IDLE_TIMEOUT_MS = 3_000.0
"""Upper limit of the idle timeout, below the 5 s after which common backend servers
close idle connections."""

KEEP_ALIVE_FRACTION = 0.8
"""Fraction of the advertised ``Keep-Alive`` timeout that is used; the rest allows for
the time that a call takes to arrive."""

RECENTLY_USED_MS = 250.0
"""Longest idle time of a connection for calls that cannot be repeated."""

IDLE_LOSS_FRACTION = 0.5
"""The idle time of a lost connection times this fraction is the new idle timeout."""

MIN_IDLE_TIMEOUT_MS = 50.0
"""Lower limit of the idle timeout. A loss after at most this idle time has another
cause and does not change the timeout."""

DOUBLING_INTERVAL_MS = 5_000.0
"""Time in which an idle timeout that was reduced by a loss doubles again."""

MAX_DOUBLINGS = 16.0
"""Enough to exceed the upper limit of the idle timeout from its lower limit."""

UNANSWERED_MS = 300.0
"""Time after which a request without a byte of an answer is evidence of a silent
connection. Callers that leave sooner are none."""
INVALID_LOAD_INTERVAL_MS = 1_000.0
"""Minimum time between two log lines about invalid reports of the load, which may come
with every answer and change with each."""

CONNECT_TIMEOUT_S = 1.0
_KEEP_ALIVE = re.compile(rb"timeout=(\d{1,6})")


class Pool:
    """Connections to one backend server.

    :param dialect: names of the headers that the backend server uses.
    """

    def __init__(self, dialect: dialects.Dialect) -> None:
        self.dialect = dialect
        self._idle: collections.deque[backend_http.Connection] = collections.deque()
        self._address = ("", 0)
        self._keep_alive = b""
        self._advertised_ms = MAX_IDLE_TIMEOUT_MS
        self._observed_ms = MAX_IDLE_TIMEOUT_MS
        self._observed_at = clock.now()
        self._invalid_limit = b""
        self._connections = 0
        self.watch = acknowledgements.Watch()
        self.reserve: descriptors.Reserve | None = None
        self.connection_ends: dict[connection_ends.End, int] = {}
        self.discarded_count = 0
        self.unrelated_answers = 0
        self._invalid_load_logged_at = -math.inf
        self.load_reports = 0
        self.invalid_load_reports = 0
        self.invalid_statuses = 0

    def set_address(self, host: str, port: int) -> None:
        """Set the address; close idle connections to another one."""
        if self._address == (host, port):
            return
        self._address = (host, port)
        self._keep_alive = b""
        self._advertised_ms = self._observed_ms = MAX_IDLE_TIMEOUT_MS
        while self._idle:
            self._idle.pop().abandon()

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the backend server."""
        return self._address

    @property
    def idle_timeout_ms(self) -> ids.Milliseconds:
        """Longest idle time after which a connection is used for a call."""
        if self._observed_ms >= MAX_IDLE_TIMEOUT_MS:
            return min(MAX_IDLE_TIMEOUT_MS, self._advertised_ms)
        elapsed = clock.now() - self._observed_at
        doublings = min(MAX_DOUBLINGS, elapsed / DOUBLING_INTERVAL_MS)
        observed_ms = self._observed_ms * math.pow(2.0, doublings)
        return min(MAX_IDLE_TIMEOUT_MS, self._advertised_ms, observed_ms)

    def next_connection_number(self) -> int:
        """Return the number of a new connection, by which logs name it."""
        self._connections += 1
        return self._connections

    def take(
        self, *, request_id: bytes | None = None, recently_used: bool = False
    ) -> backend_http.Connection | None:
        """Return the most recently used idle connection; ``None`` if there is none.

        :param request_id: of the request to be sent, empty if it has none; ``None`` if
            the connection need not be able to carry a certain one.
        :param recently_used: whether to apply :data:`RECENTLY_USED_MS`, for a call that
            cannot be repeated.
        """
        timeout_ms = self.idle_timeout_ms
        if recently_used:
            timeout_ms = min(timeout_ms, RECENTLY_USED_MS)
        used_since = clock.now() - timeout_ms
        skipped: list[backend_http.Connection] = []
        found = None
        while found is None and self._idle and self._idle[-1].idle_since >= used_since:
            connection = self._idle.pop()
            if request_id is not None and not connection.may_carry(request_id):
                skipped.append(connection)
            elif connection.usable:
                found = connection
        self._idle.extend(reversed(skipped))
        return found

    def request_id_of(self, head: bytes) -> bytes:
        """Return the request id in the head of a request; empty if it has none."""
        return heads.find_value(head, self.dialect.request_id)

    def record_idle_loss(self, idle_ms: ids.Milliseconds) -> None:
        """Shorten the idle timeout after the loss of an idle connection.

        :param idle_ms: idle time before the call that got no byte of an answer.
        """
        timeout_ms = self.idle_timeout_ms
        if MIN_IDLE_TIMEOUT_MS < idle_ms <= timeout_ms:
            self._observed_ms = max(MIN_IDLE_TIMEOUT_MS, IDLE_LOSS_FRACTION * idle_ms)
            self._observed_at = clock.now()

    def record_unanswered(self, elapsed_ms: ids.Milliseconds) -> None:
        """Close the idle connections after a request that was left unanswered.

        Connections that fall silent do so together, by a fault that they have in
        common, and an idle one cannot be tested without a request. Those in use prove
        themselves by an answer, and are closed without one.

        :param elapsed_ms: time since the request was written.
        """
        if elapsed_ms < UNANSWERED_MS or not self._idle:
            return
        count = len(self._idle)
        self.discarded_count += count
        while self._idle:
            self._idle.pop().abandon()
        if logs.may_write_change():
            logs.write(
                "WARNING",
                "backend",
                f"A request got no answer in {elapsed_ms:.0f} ms;"
                f" {count} idle connections to the backend server closed.",
            )

    def update_keep_alive(self, value: bytes) -> None:
        """Update the advertised timeout of idle connections.

        :param value: the value of the ``Keep-Alive`` header.
        """
        if value == self._keep_alive:
            return
        self._keep_alive = value
        if match := _KEEP_ALIVE.search(value):
            self._advertised_ms = KEEP_ALIVE_FRACTION * 1000.0 * int(match[1])

    def read_rate_limit(
        self, headers: list[heads.Header], values: dict[bytes, bytes]
    ) -> float:
        """Return the rate limit in the head of an answer, the lowest of several.

        An invalid value is logged when it first occurs, and counts as no limit.

        :param values: the headers by name.
        """
        name = self.dialect.rate_limit
        if name not in values:
            return rate_limits.NO_LIMIT
        found = b",".join(value for other, value in headers if other == name)
        try:
            return rate_limits.parse(found)
        except ValueError as error:
            if found != self._invalid_limit:
                self._invalid_limit = found
                logs.warn_skipped("Header", name, str(error))
            return rate_limits.NO_LIMIT

    def read_load(
        self, headers: list[heads.Header], values: dict[bytes, bytes]
    ) -> messages.BackendLoad | None:
        """Return the load in the head of an answer; ``None`` without a valid one.

        Several headers count as one value with all of their figures.

        :param values: the headers by name.
        """
        name = self.dialect.load
        if name not in values:
            return None
        found = b",".join(value for other, value in headers if other == name)
        try:
            load = pace.parse(found)
        except ValueError as error:
            self.invalid_load_reports += 1
            now = clock.now()
            if now - self._invalid_load_logged_at >= INVALID_LOAD_INTERVAL_MS:
                self._invalid_load_logged_at = now
                logs.warn_skipped("Header", name, str(error))
            return None
        self.load_reports += 1
        return load

    async def connect(
        self, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> backend_http.Connection:
        """Open a connection.

        :raises OSError: if it cannot be opened in time.
        """
        loop = asyncio.get_running_loop()
        address = self._address
        async with asyncio.timeout(timeout_s):
            _, protocol = await descriptors.use(
                self.reserve,
                lambda: loop.create_connection(
                    lambda: backend_http.Connection(self), *address
                ),
            )
        # The address may have changed in the meantime.
        protocol.address = address
        return protocol

    def put(self, connection: backend_http.Connection) -> None:
        """Return a connection to the pool, or close one to a former address."""
        if connection.address != self._address:
            connection.abandon()
            return
        connection.idle_since = clock.now()
        self._idle.append(connection)

    def discard(self, connection: backend_http.Connection) -> None:
        """Remove a lost connection."""
        if connection in self._idle:
            self._idle.remove(connection)

    def close_idle(self) -> None:
        """Close the connections that exceed the idle timeout."""
        horizon = clock.now() - self.idle_timeout_ms
        while self._idle and self._idle[0].idle_since < horizon:
            self._idle.popleft().abandon()
