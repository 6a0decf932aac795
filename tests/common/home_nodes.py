"""A home node whose connections to the backend server have no network."""

import asyncio
import collections.abc

from gingerturn import dialect
from gingerturn.internal import ids
from gingerturn.internal.core import messages
from gingerturn.internal.shell import (
    backend_http,
    backend_pool,
    clock,
    links,
    node as nodes,
)
from gingerturn.internal.wire import frames
from tests.common import builders, transports

NAMED = dialect.Dialect(
    request_id=b"request-id",
    not_executed=b"not-executed",
    not_run_statuses=frozenset({408, 421, 429, 503}),
)


class Channel:
    """A channel to an entry node that records the frames sent."""

    peer = ids.NodeId("entry")

    def __init__(self) -> None:
        self.hosted: dict[int, ids.HostedId] = {}
        self.sent: list[frames.Frame] = []
        self.is_backed_up = False
        self.waiting: list[collections.abc.Callable[[], None]] = []

    def when_writable(self, function: collections.abc.Callable[[], None]) -> None:
        self.waiting.append(function)

    def send(self, frame: frames.Frame) -> None:
        self.sent.append(frame)


class HomeNode:
    """A home node that must be used inside a running event loop.

    :param slots: of its backend server.
    """

    def __init__(self, *, slots: int = 10) -> None:
        self.node = nodes.Node(builders.settings("home"), dialect=NAMED)
        # The tests answer checks of the backend server themselves.
        self.node.spawn = lambda check, **names: check.close()  # type: ignore[method-assign]
        self.pool = self.node.home.pool
        self.pool.connect = self._connect  # type: ignore[method-assign]
        self.connections: list[backend_http.Connection] = []
        self.resets = 0
        self.node.apply(builders.announced("plans", now=clock.now(), slots=slots))
        self.channel = Channel()
        self._calls = 0

    async def _connect(
        self, timeout_s: float = backend_pool.CONNECT_TIMEOUT_S
    ) -> backend_http.Connection:
        connection = backend_http.Connection(self.pool)
        connection.connection_made(transports.Transport())  # type: ignore[arg-type]
        self.connections.append(connection)
        if self.resets:
            self.resets -= 1
            transport_of(connection).close()
            connection.connection_lost(ConnectionResetError())
        return connection

    async def open(
        self,
        request_id: bytes,
        *,
        repeatable: bool = False,
        method: bytes = b"POST",
        whole: bool = True,
        deadline_ms: float = 60_000.0,
    ) -> int:
        """Open a call, let it be dispatched, and return its number.

        :param whole: the whole body has arrived.
        """
        self._calls += 1
        head = method + b" / HTTP/1.1\r\n"
        if request_id:
            head += b"request-id: %b\r\n" % request_id
        opened = frames.Open(
            call=self._calls,
            terms=builders.call_metadata(
                service="plans", deadline_ms=deadline_ms, repeatable=repeatable
            ),
            head=head,
            body=b"",
            whole=whole,
        )
        channel: links.Channel = self.channel  # type: ignore[assignment]
        self.node.home.on_frame(channel, opened)
        await self.settle()
        return self._calls

    def receive(self, frame: frames.Frame) -> None:
        """Receive a frame of the entry node."""
        channel: links.Channel = self.channel  # type: ignore[assignment]
        self.node.home.on_frame(channel, frame)

    def cancel(self, call: int) -> None:
        """Cancel a call, as for a caller that left."""
        self.receive(frames.Cancel(call=call))

    def credit(self, call: int, count: int) -> None:
        """Give credit for a streamed answer."""
        self.receive(frames.Credit(call=call, count=count))

    async def settle(self) -> None:
        """Let the tasks run that open connections."""
        for _ in range(4):
            await asyncio.sleep(0)

    def reply_to(self, call: int) -> frames.Frame | None:
        """Return the answer or refusal of a call, if there is one."""
        found = [
            frame
            for frame in self.channel.sent
            if frame.call == call and isinstance(frame, frames.Answer | frames.Refuse)
        ]
        assert len(found) <= 1
        return found[0] if found else None

    def outcome_of(self, call: int) -> messages.Outcome | None:
        """Return the outcome that the refusal of a call states; ``None`` without."""
        reply = self.reply_to(call)
        return reply.refusal.outcome if isinstance(reply, frames.Refuse) else None

    def states_rejection(self, call: int) -> bool:
        """Whether the refusal of a call states that the backend server rejected it."""
        reply = self.reply_to(call)
        if not isinstance(reply, frames.Refuse) or not reply.refusal.reached_backend:
            return False
        return reply.refusal.outcome is messages.Outcome.NOT_RUN


def transport_of(connection: backend_http.Connection) -> transports.Transport:
    """Return the fake transport of a connection."""
    transport = connection._transport
    assert isinstance(transport, transports.Transport)
    return transport


def answer(
    status: int,
    *,
    request_id: bytes = b"",
    executed: bool = True,
    body: bytes = b"",
    extra: bytes = b"",
) -> bytes:
    """Return an encoded answer; one without an id has no header for it."""
    head = b"HTTP/1.1 %d X\r\n" % status
    if request_id:
        head += b"Request-Id: %b\r\n" % request_id
    if not executed:
        head += b"Not-Executed: 1\r\n"
    return head + extra + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
