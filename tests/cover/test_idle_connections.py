"""Idle timeout of connections to the backend server."""

import pytest

from gingerturn import dialect
from gingerturn.internal.core import messages
from gingerturn.internal.shell import backend_http, backend_pool, clock
from tests.common import transports


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
        connection.begin(self, b"GET / HTTP/1.1\r\n", b"", head_only=False)

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

    def on_head(self, status: int, head: bytes, length: int, *, executed: bool) -> None:
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
