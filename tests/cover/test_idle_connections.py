"""How long an idle connection to the backend server is trusted."""

import pytest

from gingerturn import dialect
from gingerturn.internal.shell import backend_http, backend_pool, clock
from tests.common import transports


class Clock:
    """A clock that tests move."""

    def __init__(self) -> None:
        self.now = 1_000_000.0

    def __call__(self) -> float:
        return self.now


class Backend:
    """A pool whose connections go nowhere."""

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

    def forget(self, connection: backend_http.Connection) -> None:
        self.begin(connection)
        connection.connection_lost(ConnectionResetError())

    def rest(self, elapsed_ms: float) -> None:
        self._time.now += elapsed_ms

    def on_head(self, status: int, head: bytes, length: int, *, executed: bool) -> None:
        """Nothing is done with answers here."""

    def on_body(self, body: bytes) -> None:
        """Nothing is done with answers here."""

    def on_end(self) -> None:
        """Nothing is done with answers here."""

    def on_failure(self, *, handed: bool) -> None:
        assert handed
        self.failures += 1


@pytest.fixture
def backend(monkeypatch: pytest.MonkeyPatch) -> Backend:
    """A pool on a clock that the test moves."""
    time = Clock()
    monkeypatch.setattr(clock, "now", time)
    return Backend(time)


def test_a_rested_connection_carries_what_may_be_sent_again(backend: Backend) -> None:
    connection = backend.connect()
    backend.serve(connection)
    backend.rest(2_900)
    assert backend.pool.take() is connection


def test_what_cannot_be_sent_again_goes_only_on_a_connection_just_used(
    backend: Backend,
) -> None:
    connection = backend.connect()
    backend.serve(connection)
    backend.rest(backend_pool.SURELY_ALIVE_MS + 1)
    assert backend.pool.take(surely_alive=True) is None
    backend.serve(connection)
    backend.rest(backend_pool.SURELY_ALIVE_MS)
    assert backend.pool.take(surely_alive=True) is connection


def test_a_connection_that_was_forgotten_shortens_the_trust_in_others(
    backend: Backend,
) -> None:
    first, second = backend.connect(), backend.connect()
    backend.serve(first)
    backend.serve(second)
    backend.rest(400)
    assert backend.pool.take() is second
    backend.forget(second)
    assert backend.failures == 1
    assert backend.pool.take() is None


def test_trust_grows_again_when_nothing_is_forgotten_any_more(backend: Backend) -> None:
    connection = backend.connect()
    backend.serve(connection)
    backend.rest(400)
    backend.pool.take()
    backend.forget(connection)
    assert backend.pool.idle_bound_ms == 200
    backend.rest(4 * backend_pool.RELEARN_MS)
    assert backend.pool.idle_bound_ms == backend_pool.IDLE_MS


def test_a_connection_lost_in_use_teaches_nothing(backend: Backend) -> None:
    new, busy = backend.connect(), backend.connect()
    backend.forget(new)
    backend.serve(busy)
    backend.rest(backend_pool.LEAST_IDLE_MS)
    backend.forget(busy)
    assert backend.pool.idle_bound_ms == backend_pool.IDLE_MS


def test_one_that_was_lost_in_the_middle_of_an_answer_teaches_nothing(
    backend: Backend,
) -> None:
    connection = backend.connect()
    backend.serve(connection)
    backend.rest(400)
    backend.begin(connection)
    connection.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab")
    connection.connection_lost(ConnectionResetError())
    assert backend.pool.idle_bound_ms == backend_pool.IDLE_MS


def test_the_time_that_the_backend_server_tells_is_kept_to(backend: Backend) -> None:
    connection = backend.connect()
    backend.serve(connection, b"keep-alive: timeout=1, max=9\r\n")
    backend.rest(801)
    assert backend.pool.take() is None
