"""Idle connections to the backend server: their timeout, and which are not used."""

import pytest

from gingerturn import dialect
from gingerturn.internal.core import events, messages
from gingerturn.internal.shell import (
    backend_http,
    backend_pool,
    clock,
    links,
    node as nodes,
)
from gingerturn.internal.wire import frames
from tests.common import builders, home_nodes, transports


class Clock:
    """A clock that tests advance."""

    def __init__(self) -> None:
        self.now = 1_000_000.0

    def __call__(self) -> float:
        return self.now


class Backend:
    """A pool whose connections have no network."""

    def __init__(self, time: Clock) -> None:
        self._time = time
        self.pool = backend_pool.Pool(dialect.DEFAULT)
        self.failures = 0

    def connect(self) -> backend_http.Connection:
        connection = backend_http.Connection(self.pool)
        connection.connection_made(transports.Transport())  # type: ignore[arg-type]
        return connection

    def begin(self, connection: backend_http.Connection) -> None:
        connection.begin(
            self, b"GET / HTTP/1.1\r\n", b"", request_id=b"", head_only=False
        )

    def serve(self, connection: backend_http.Connection, extra: bytes = b"") -> None:
        self.begin(connection)
        connection.data_received(
            b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n%b\r\n" % extra
        )

    def lose(self, connection: backend_http.Connection) -> None:
        self.begin(connection)
        connection.connection_lost(ConnectionResetError())

    def rest(self, elapsed_ms: float) -> None:
        self._time.now += elapsed_ms

    def on_report(self, rate_limit: float, *, leaving: bool) -> None:
        """Ignore the answer."""

    def on_load(self, load: messages.BackendLoad) -> None:
        """Ignore the answer."""

    def on_head(
        self,
        status: int,
        head: bytes,
        length: int,
        *,
        rejection: backend_http.Rejection | None,
    ) -> None:
        """Ignore the answer."""

    def on_body(self, body: bytes) -> None:
        """Ignore the answer."""

    def on_end(self) -> None:
        """Ignore the answer."""

    def on_failure(self, *, dispatched: bool) -> None:
        assert dispatched
        self.failures += 1


@pytest.fixture
def backend(monkeypatch: pytest.MonkeyPatch) -> Backend:
    """A pool on a clock that the test advances."""
    time = Clock()
    monkeypatch.setattr(clock, "now", time)
    return Backend(time)


def test_repeatable_calls_use_idle_connections(backend: Backend) -> None:
    connection = backend.connect()
    backend.serve(connection)
    backend.rest(2_900)
    assert backend.pool.take() is connection


def test_unrepeatable_calls_use_only_recently_used_connections(
    backend: Backend,
) -> None:
    connection = backend.connect()
    backend.serve(connection)
    backend.rest(backend_pool.RECENTLY_USED_MS + 1)
    assert backend.pool.take(recently_used=True) is None
    backend.serve(connection)
    backend.rest(backend_pool.RECENTLY_USED_MS)
    assert backend.pool.take(recently_used=True) is connection


def test_loss_of_an_idle_connection_shortens_the_idle_timeout(
    backend: Backend,
) -> None:
    first, second = backend.connect(), backend.connect()
    backend.serve(first)
    backend.serve(second)
    backend.rest(400)
    assert backend.pool.take() is second
    backend.lose(second)
    assert backend.failures == 1
    assert backend.pool.take() is None


def test_the_idle_timeout_grows_again_without_losses(backend: Backend) -> None:
    connection = backend.connect()
    backend.serve(connection)
    backend.rest(400)
    backend.pool.take()
    backend.lose(connection)
    assert backend.pool.idle_timeout_ms == 200
    backend.rest(4 * backend_pool.DOUBLING_INTERVAL_MS)
    assert backend.pool.idle_timeout_ms == backend_pool.MAX_IDLE_TIMEOUT_MS


def test_loss_of_a_new_or_just_used_connection_keeps_the_idle_timeout(
    backend: Backend,
) -> None:
    new, busy = backend.connect(), backend.connect()
    backend.lose(new)
    backend.serve(busy)
    backend.rest(backend_pool.MIN_IDLE_TIMEOUT_MS)
    backend.lose(busy)
    assert backend.pool.idle_timeout_ms == backend_pool.MAX_IDLE_TIMEOUT_MS


def test_loss_in_the_middle_of_an_answer_keeps_the_idle_timeout(
    backend: Backend,
) -> None:
    connection = backend.connect()
    backend.serve(connection)
    backend.rest(400)
    backend.begin(connection)
    connection.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab")
    connection.connection_lost(ConnectionResetError())
    assert backend.pool.idle_timeout_ms == backend_pool.MAX_IDLE_TIMEOUT_MS


def test_the_advertised_keep_alive_time_is_respected(backend: Backend) -> None:
    connection = backend.connect()
    backend.serve(connection, b"keep-alive: timeout=1, max=9\r\n")
    backend.rest(801)
    assert backend.pool.take() is None


# Guards against calls that go to a former start of the backend server.
def test_a_connection_to_a_former_address_does_not_return_to_the_pool(
    backend: Backend,
) -> None:
    backend.pool.set_address("127.0.0.1", 9100)
    connection = backend.connect()
    backend.begin(connection)
    backend.pool.set_address("127.0.0.1", 9101)
    connection.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
    assert not connection.usable
    assert backend.pool.take() is None


def _leave_unanswered(backend: Backend, elapsed_ms: float) -> backend_http.Connection:
    """Abandon a request while another connection is idle, and return the former's."""
    idle, silent = backend.connect(), backend.connect()
    backend.serve(idle)
    backend.begin(silent)
    backend.rest(elapsed_ms)
    silent.abandon()
    return silent


# Guards against requests that are sent on connections that fell silent by one fault,
# where TCP does not report the loss.
def test_after_an_unanswered_request_no_idle_connection_is_used(
    backend: Backend,
) -> None:
    silent = _leave_unanswered(backend, backend_pool.UNANSWERED_MS)
    assert not silent.usable
    assert backend.pool.take() is None
    assert backend.pool.discarded_count == 1
    following = backend.connect()
    backend.serve(following)
    assert backend.pool.take() is following


# Guards against new connections for each caller that leaves early.
def test_a_caller_that_leaves_early_keeps_the_idle_connections(
    backend: Backend,
) -> None:
    silent = _leave_unanswered(backend, backend_pool.UNANSWERED_MS - 1.0)
    assert not silent.usable
    assert backend.pool.take() is not None


def test_an_answer_that_has_begun_keeps_the_idle_connections(backend: Backend) -> None:
    idle, answering = backend.connect(), backend.connect()
    backend.serve(idle)
    backend.begin(answering)
    answering.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab")
    backend.rest(10.0 * backend_pool.UNANSWERED_MS)
    answering.abandon()
    assert backend.pool.take() is idle


def test_a_loss_that_tcp_detects_by_silence_closes_the_idle_connections(
    backend: Backend,
) -> None:
    idle, silent = backend.connect(), backend.connect()
    backend.serve(idle)
    backend.begin(silent)
    backend.rest(3_000.0)
    silent.connection_lost(TimeoutError())
    assert backend.failures == 1
    assert backend.pool.take() is None
    assert not idle.usable


class Home:
    """A home node with an unrepeatable call in progress and an idle connection."""

    def __init__(self, backend: Backend) -> None:
        self.node = nodes.Node(builders.settings("home"))
        self.node.home.pool = backend.pool
        # The test answers the check of the backend server itself.
        self.node.spawn = lambda check, **names: check.close()  # type: ignore[method-assign]
        self.node.apply(builders.announced("plans", now=clock.now()))
        backend.pool.set_address("127.0.0.1", 9100)
        self.connections = [backend.connect(), backend.connect()]
        for connection in self.connections:
            backend.serve(connection)
        self.written = [len(self._transport(number).written) for number in (0, 1)]
        self.channel = home_nodes.Channel()
        opened = frames.Open(
            call=7,
            terms=builders.call_metadata(deadline_ms=700.0, repeatable=False),
            head=b"POST / HTTP/1.1\r\n",
            body=b"",
            whole=True,
        )
        channel: links.Channel = self.channel  # type: ignore[assignment]
        self.node.home.on_frame(channel, opened)

    def _transport(self, number: int) -> transports.Transport:
        transport = self.connections[number]._transport
        assert isinstance(transport, transports.Transport)
        return transport

    def requests(self) -> list[bool]:
        """Return on which connections a request was written since the start."""
        return [
            len(self._transport(number).written) > self.written[number]
            for number in (0, 1)
        ]


# Guards against an unrepeatable request that runs twice: it may have run before its
# connection fell silent.
def test_a_home_node_does_not_repeat_a_request_in_progress(backend: Backend) -> None:
    home = Home(backend)
    assert home.requests() == [False, True]
    backend.rest(500.0)
    home.connections[1].connection_lost(TimeoutError())
    home.node.apply(events.BackendChecked(now=clock.now(), refused=False))
    assert home.requests() == [False, True]
    assert not home.connections[0].usable
    (refusal,) = home.channel.sent
    assert isinstance(refusal, frames.Refuse)
    assert refusal.refusal.outcome is messages.Outcome.UNKNOWN


# Guards against answers of unrepeatable requests that are lost because idle connections
# are closed: the request's own connection stays open for them.
def test_an_unrepeatable_request_keeps_its_connection_at_its_deadline(
    backend: Backend,
) -> None:
    home = Home(backend)
    backend.rest(710.0)
    home.node.apply(events.Tick(now=clock.now()))
    assert not home.connections[0].usable
    assert home.connections[1].usable
    assert backend.pool.take() is None
    late = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
    home.connections[1].data_received(late)
    assert backend.pool.take() is home.connections[1]
