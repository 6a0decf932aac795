"""Answers of a backend server that meet an error of the node, or have no bound."""

import typing

import pytest

from gingerturn import dialect
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
