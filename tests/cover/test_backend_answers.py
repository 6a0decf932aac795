"""Answers of a backend server: completeness, and the request that they belong to."""

from gingerturn import dialect
from gingerturn.internal.core import messages
from gingerturn.internal.shell import backend_http, backend_pool
from tests.common import transports

NAMED = dialect.Dialect(request_id=b"request-id", not_executed=b"not-executed")
HEAD = b"GET / HTTP/1.1\r\nrequest-id: r1\r\n"


class Exchange:
    """An exchange on one connection that records its callbacks."""

    def __init__(self, *, whole: bool = True, begins: bool = True) -> None:
        self.pool = backend_pool.Pool(NAMED)
        self.connection = backend_http.Connection(self.pool)
        self.transport = transports.Transport()
        self.connection.connection_made(self.transport)  # type: ignore[arg-type]
        self.status = 0
        self.executed = True
        self.report: tuple[float, bool] | None = None
        self.load: messages.BackendLoad | None = None
        self.body = b""
        self.ends = 0
        self.failures = 0
        if begins:
            self.begin(HEAD, b"", whole=whole)

    def begin(self, head: bytes, body: bytes, *, whole: bool) -> None:
        self.connection.begin(
            self, head, body, request_id=b"r1", head_only=False, whole=whole
        )

    def on_report(self, rate_limit: float, *, leaving: bool) -> None:
        self.report = (rate_limit, leaving)

    def on_load(self, load: messages.BackendLoad) -> None:
        self.load = load

    def on_head(
        self,
        status: int,
        head: bytes,
        length: int,
        *,
        rejection: backend_http.Rejection | None,
    ) -> None:
        self.status = status
        self.executed = rejection is None

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_end(self) -> None:
        self.ends += 1

    def on_failure(self, *, dispatched: bool) -> None:
        self.failures += 1

    def receive(self, *segments: bytes) -> None:
        for segment in segments:
            if not self.transport.closed:
                self.connection.data_received(segment)

    @property
    def reusable(self) -> bool:
        return self.pool.take() is self.connection


def _answer(request_id: bytes, body: bytes = b"abc", extra: bytes = b"") -> bytes:
    return b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\n%bContent-Length: %d\r\n\r\n%b" % (
        request_id,
        extra,
        len(body),
        body,
    )


# A body in chunks that became whole while its call waited was sent without its end.
def test_a_whole_body_in_chunks_is_sent_with_its_end() -> None:
    exchange = Exchange(begins=False)
    head = b"POST / HTTP/1.1\r\nrequest-id: r1\r\ntransfer-encoding: chunked\r\n"
    exchange.begin(head, b"abc", whole=True)
    assert exchange.transport.written.endswith(b"\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
    exchange.receive(_answer(b"r1"))
    assert exchange.reusable


def test_a_body_in_chunks_that_goes_on_is_sent_without_an_end() -> None:
    exchange = Exchange(begins=False)
    head = b"POST / HTTP/1.1\r\nrequest-id: r1\r\ntransfer-encoding: chunked\r\n"
    exchange.begin(head, b"abc", whole=False)
    assert exchange.transport.written.endswith(b"3\r\nabc\r\n")


def test_a_whole_answer_leaves_the_connection_for_the_next() -> None:
    exchange = Exchange()
    exchange.receive(_answer(b"r1"))
    assert (exchange.ends, exchange.body) == (1, b"abc")
    assert exchange.reusable


def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    exchange = Exchange()
    exchange.receive(b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nab", b"c")
    assert exchange.ends == 0
    exchange.connection.eof_received()
    exchange.connection.connection_lost(None)
    assert (exchange.ends, exchange.failures, exchange.body) == (1, 0, b"abc")
    assert not exchange.reusable


def test_an_answer_without_a_length_that_is_reset_is_incomplete() -> None:
    exchange = Exchange()
    exchange.receive(b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nab")
    exchange.connection.connection_lost(ConnectionResetError())
    assert (exchange.ends, exchange.failures) == (0, 1)


def test_an_answer_cut_before_its_length_is_incomplete() -> None:
    exchange = Exchange()
    exchange.receive(_answer(b"r1")[:-1])
    exchange.connection.eof_received()
    exchange.connection.connection_lost(None)
    assert (exchange.ends, exchange.failures) == (0, 1)


def test_a_late_answer_to_an_earlier_request_is_discarded() -> None:
    exchange = Exchange()
    exchange.receive(_answer(b"r0", b"old"), _answer(b"r1", b"new"))
    assert (exchange.ends, exchange.body) == (1, b"new")
    assert not exchange.reusable


def test_a_late_answer_in_the_same_segment_is_discarded() -> None:
    exchange = Exchange()
    exchange.receive(_answer(b"r0", b"old") + _answer(b"r1", b"new"))
    assert (exchange.ends, exchange.body) == (1, b"new")


def test_a_second_answer_behind_the_first_ends_the_connection() -> None:
    exchange = Exchange()
    exchange.receive(_answer(b"r1") + _answer(b"r1", b"again"))
    assert (exchange.ends, exchange.body) == (1, b"abc")
    assert not exchange.reusable


def test_bytes_after_a_whole_answer_end_the_connection() -> None:
    exchange = Exchange()
    exchange.receive(_answer(b"r1"))
    exchange.receive(b"HTTP/1.1 200 OK\r\n")
    assert exchange.transport.closed


def test_an_answer_before_the_whole_body_was_sent_ends_the_connection() -> None:
    exchange = Exchange(whole=False)
    exchange.receive(_answer(b"r1"))
    assert exchange.ends == 1
    assert not exchange.reusable


def test_an_answer_without_the_header_counts_as_executed() -> None:
    exchange = Exchange()
    exchange.receive(_answer(b"r1"))
    assert exchange.executed


def test_an_answer_may_declare_that_the_request_was_not_executed() -> None:
    exchange = Exchange()
    exchange.receive(_answer(b"r1", extra=b"Not-Executed: 1\r\n"))
    assert not exchange.executed


def test_conflicting_content_lengths_fail_the_exchange() -> None:
    exchange = Exchange()
    exchange.receive(_answer(b"r1", extra=b"Content-Length: 9\r\n"))
    assert (exchange.ends, exchange.failures) == (0, 1)


def test_the_head_of_an_answer_reports_limit_and_leaving() -> None:
    exchange = Exchange()
    extra = b"Gingerturn-Rate-Limit: 2.5\r\nGingerturn-Leaving: 1\r\n"
    exchange.receive(_answer(b"r1", extra=extra)[:-2])
    assert exchange.report == (2.5, True)
    assert exchange.ends == 0


def test_an_answer_to_an_earlier_request_reports_nothing() -> None:
    exchange = Exchange()
    exchange.receive(_answer(b"r0", extra=b"Gingerturn-Rate-Limit: 2.5\r\n"))
    assert exchange.report is None


def test_another_instance_at_the_address_reports_nothing() -> None:
    exchange = Exchange()
    answer = _answer(b"r1", extra=b"Gingerturn-Rate-Limit: 2.5\r\n")
    exchange.receive(answer.replace(b"200 OK", b"421 Misdirected Request"))
    assert exchange.report is None


def test_the_head_of_an_answer_reports_the_load() -> None:
    exchange = Exchange()
    exchange.receive(_answer(b"r1", extra=b"Gingerturn-Load: 3,0,8,250\r\n")[:-2])
    assert exchange.load == messages.BackendLoad(3, 0, 8, 250)


def test_an_answer_of_another_request_or_instance_reports_no_load() -> None:
    extra = b"Gingerturn-Load: 3,0,8,250\r\n"
    exchange = Exchange()
    exchange.receive(_answer(b"r0", extra=extra))
    assert exchange.load is None
    answer = _answer(b"r1", extra=extra)
    exchange.receive(answer.replace(b"200 OK", b"421 Misdirected Request"))
    assert exchange.load is None
