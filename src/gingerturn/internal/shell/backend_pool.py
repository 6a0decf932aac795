"""The connections to the backend server, and how long an idle one is to be trusted.

A backend server may close or forget a connection that rests. A call that is written to
it then has an end that nobody knows, so one that has rested too long is not used.
"""

import asyncio
import collections
import math
import re

from gingerturn import dialect as dialects
from gingerturn.internal import ids
from gingerturn.internal.shell import backend_http, clock

IDLE_MS = 3_000.0
"""An idle connection is closed after 3 s, before common backend servers close it
from their side (5 s): a call written to a connection that is being closed has an
unknown outcome."""

TOLD_SHARE = 0.8
"""Of the time that the backend server says it keeps idle connections; the rest is for a
call that is on its way when that time ends."""

SURELY_ALIVE_MS = 250.0
"""A connection that rested no longer carries calls that cannot be sent again. Idle
connections are not known to be forgotten sooner than after 300 ms."""

FORGOTTEN_SHARE = 0.5
"""Of the time that a connection had rested when it turned out to be forgotten: half of
it is trusted from then on."""

LEAST_IDLE_MS = 50.0
"""A connection lost that soon after its last call was lost for another reason."""

RELEARN_MS = 5_000.0
"""What was learned doubles in this time: a backend server that forgot connections for a
while is not met with a new one for each call ever after."""

MOST_DOUBLINGS = 16.0
"""From the least that is learned this leads past the most that is ever trusted."""

CONNECT_TIMEOUT_S = 1.0
_KEEP_ALIVE = re.compile(rb"timeout=(\d{1,6})")


class Pool:
    """Connections to one backend server.

    :param dialect: names of the headers that it speaks.
    """

    def __init__(self, dialect: dialects.Dialect) -> None:
        self.dialect = dialect
        self._idle: collections.deque[backend_http.Connection] = collections.deque()
        self._address = ("", 0)
        self._told = b""
        self._told_ms = IDLE_MS
        self._learned_ms = IDLE_MS
        self._learned_at = clock.now()

    def use(self, host: str, port: int) -> None:
        """Point the pool at an address; connections to another one are closed."""
        if self._address == (host, port):
            return
        self._address = (host, port)
        self._told = b""
        self._told_ms = self._learned_ms = IDLE_MS
        while self._idle:
            self._idle.pop().abandon()

    @property
    def idle_bound_ms(self) -> ids.Milliseconds:
        """How long a connection may have rested and still carry a call."""
        elapsed = clock.now() - self._learned_at
        doublings = min(MOST_DOUBLINGS, elapsed / RELEARN_MS)
        learned = self._learned_ms * math.pow(2.0, doublings)
        return min(IDLE_MS, self._told_ms, learned)

    def take(self, *, surely_alive: bool = False) -> backend_http.Connection | None:
        """Return an idle connection, the one used last first.

        :param surely_alive: only one that was in use a moment ago, for a call that
            cannot be sent again.
        """
        bound = self.idle_bound_ms
        if surely_alive:
            bound = min(bound, SURELY_ALIVE_MS)
        while self._idle and self._idle[-1].idle_since >= clock.now() - bound:
            connection = self._idle.pop()
            if connection.usable:
                return connection
        return None

    def note_forgotten(self, rested_ms: ids.Milliseconds) -> None:
        """Take in that a rested connection was lost without a byte of an answer."""
        bound = self.idle_bound_ms
        if LEAST_IDLE_MS < rested_ms <= bound:
            self._learned_ms = max(LEAST_IDLE_MS, FORGOTTEN_SHARE * rested_ms)
            self._learned_at = clock.now()

    def note_keep_alive(self, told: bytes) -> None:
        """Take in how long the backend server says that it keeps idle connections.

        :param told: the header's value; it is mostly the same as the last time.
        """
        if told == self._told:
            return
        self._told = told
        if found := _KEEP_ALIVE.search(told):
            self._told_ms = TOLD_SHARE * 1000.0 * int(found[1])

    async def connect(
        self, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> backend_http.Connection:
        """Open a connection.

        :raises OSError: when it cannot be opened in time.
        """
        loop = asyncio.get_running_loop()
        host, port = self._address
        async with asyncio.timeout(timeout_s):
            _, protocol = await loop.create_connection(
                lambda: backend_http.Connection(self), host, port
            )
        return protocol

    def put(self, connection: backend_http.Connection) -> None:
        """Take a connection back."""
        connection.idle_since = clock.now()
        self._idle.append(connection)

    def discard(self, connection: backend_http.Connection) -> None:
        """Forget a lost connection."""
        if connection in self._idle:
            self._idle.remove(connection)

    def close_idle(self) -> None:
        """Close what has been idle for long."""
        horizon = clock.now() - self.idle_bound_ms
        while self._idle and self._idle[0].idle_since < horizon:
            self._idle.popleft().abandon()
