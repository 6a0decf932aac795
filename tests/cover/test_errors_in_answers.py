"""Answers of a backend server that meet an error of the node, or have no bound."""

import typing

import pytest

from gingerturn import dialect
from gingerturn.internal import logs
from gingerturn.internal.shell import backend_http, backend_pool, supervision
from tests.common import transports

HEAD = b"HTTP/1.1 200 OK\r\n"


class _Receiver:
    """Counts the ends of an exchange."""

    def __init__(self, failing: str = "") -> None:
        self.calls: list[str] = []
        self._failing = failing

    def __getattr__(self, name: str) -> typing.Callable[..., None]:
        def record(*arguments: object, **options: object) -> None:
            if name == self._failing:
                raise MemoryError
            self.calls.append(name)

        return record


def _begun(
    receiver: _Receiver,
) -> tuple[backend_http.Connection, transports.Transport]:
    connection = backend_http.Connection(backend_pool.Pool(dialect.DEFAULT))
    transport = transports.Transport()
    connection.connection_made(transport)  # type: ignore[arg-type]
    connection.begin(
        typing.cast(backend_http.Receiver, receiver),
        b"GET / HTTP/1.1\r\n",
        b"",
        request_id=b"",
        head_only=False,
    )
    return connection, transport


# Guards against errors of the node that look like those of its backend server.
@pytest.mark.unhandled_errors
@pytest.mark.parametrize("failing", ["on_head", "on_body", "on_end"])
def test_an_error_while_an_answer_is_handled_is_recorded_and_fails_the_exchange(
    failing: str,
) -> None:
    before = supervision.errors_by_part().get("backend", 0)
    receiver = _Receiver(failing)
    connection, transport = _begun(receiver)
    connection.data_received(HEAD + b"content-length: 3\r\n\r\nabc")
    assert supervision.errors_by_part()["backend"] == before + 1
    assert receiver.calls[-1] == "on_failure"
    assert receiver.calls.count("on_failure") == 1


# Guards against processor time and memory without a bound for the head of one answer.
@pytest.mark.parametrize(
    "start", [b"x: ", b"content-length: 3\r\nx: ", b"x", b"x: y\r\n"]
)
def test_an_exchange_fails_once_the_head_of_its_answer_is_too_long(
    monkeypatch: pytest.MonkeyPatch, start: bytes
) -> None:
    lines: list[str] = []
    monkeypatch.setattr(
        logs, "write", lambda level, part, text, **_: lines.append(text)
    )
    receiver = _Receiver()
    connection, transport = _begun(receiver)
    connection.data_received(HEAD + start)
    piece = b"a: b\r\n" * 100 if start.endswith(b"\n") else b"a" * 600
    sent = 0
    while not transport.closed:
        assert sent <= 2 * backend_http.MAX_HEAD_BYTES
        connection.data_received(piece)
        sent += len(piece)
    assert receiver.calls == ["on_failure"]
    (line,) = lines
    assert str(backend_http.MAX_HEAD_BYTES) in line


# Guards against trailers without a bound, which the parser gathers like headers.
def test_an_exchange_fails_once_the_trailers_of_its_answer_are_too_long() -> None:
    receiver = _Receiver()
    connection, transport = _begun(receiver)
    head = HEAD + b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nx: "
    connection.data_received(head)
    for _ in range(2 * backend_http.MAX_HEAD_BYTES // 600):
        if not transport.closed:
            connection.data_received(b"a" * 600)
    assert transport.closed
    assert receiver.calls[-1] == "on_failure"


def test_a_head_within_the_limit_and_a_long_body_are_relayed() -> None:
    receiver = _Receiver()
    connection, transport = _begun(receiver)
    head = b"x: " + b"a" * (backend_http.MAX_HEAD_BYTES - 100) + b"\r\n"
    size = 4 * backend_http.MAX_HEAD_BYTES
    answer = HEAD + head + b"content-length: %d\r\n\r\n" % size + b"a" * size
    for start in range(0, len(answer), 1_000):
        connection.data_received(answer[start : start + 1_000])
    assert receiver.calls[-1] == "on_end"
