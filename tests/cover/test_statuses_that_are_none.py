"""Answers whose status is none of the protocol, from 100 to 599."""

import asyncio

import pytest

from gingerturn import errors
from gingerturn.internal.core import events, messages
from gingerturn.internal.shell import clock, http_calls
from tests.common import home_nodes
from tests.cover import test_backend_answers

STATUSES = (b"000", b"001", b"099", b"600", b"999")
SOUND = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 5\r\n\r\nsound"


def _answer(status: bytes, *, request_id: bytes = b"r1", fields: bytes = b"") -> bytes:
    return b"HTTP/1.1 %b X\r\nRequest-Id: %b\r\n%bContent-Length: 3\r\n\r\nabc" % (
        status,
        request_id,
        fields,
    )


# Guards against an odd status that is relayed, or that holds the request until its
# deadline as an interim answer does.
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("behind", [b"", SOUND], ids=["alone", "before-another"])
def test_an_answer_with_an_odd_status_fails_its_exchange_at_once(
    status: bytes, behind: bytes
) -> None:
    exchange = test_backend_answers.Exchange()
    exchange.receive(_answer(status) + behind)
    assert (exchange.status, exchange.body, exchange.ends) == (0, b"", 0)
    assert exchange.failures == 1
    assert exchange.transport.closed
    assert exchange.pool.invalid_statuses == 1
    assert not exchange.reusable


@pytest.mark.parametrize("status", STATUSES)
def test_an_odd_status_fails_a_request_whose_answer_is_awaited(status: bytes) -> None:
    exchange = test_backend_answers.Exchange()
    exchange.receive(_answer(status, request_id=b"r0"))
    assert exchange.failures == 1


# Guards against an odd status that states that what has run did not run.
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("repeatable", [True, False])
def test_an_odd_status_proves_nothing(status: bytes, *, repeatable: bool) -> None:
    async def play() -> messages.Outcome | None:
        home = home_nodes.HomeNode()
        call = await home.open(b"r1", repeatable=repeatable)
        (connection,) = home.connections
        connection.data_received(_answer(status, fields=b"Not-Executed: 1\r\n"))
        await home.settle()
        home.node.apply(events.BackendChecked(now=clock.now(), refused=False))
        return home.outcome_of(call)

    assert asyncio.run(play()) is messages.Outcome.UNKNOWN


@pytest.mark.parametrize("status", [b"100", b"102", b"150", b"199"])
def test_an_interim_answer_is_followed_by_the_answer(status: bytes) -> None:
    exchange = test_backend_answers.Exchange()
    exchange.receive(b"HTTP/1.1 %b X\r\n\r\n" % status + SOUND)
    assert (exchange.status, exchange.body, exchange.failures) == (200, b"sound", 0)


@pytest.mark.parametrize("status", [b"200", b"299", b"404", b"500", b"599"])
def test_statuses_of_the_protocol_are_relayed(status: bytes) -> None:
    exchange = test_backend_answers.Exchange()
    exchange.receive(_answer(status))
    assert (exchange.status, exchange.ends) == (int(status), 1)


# Guards against an answer of the log service that is none and is used.
@pytest.mark.parametrize("status", STATUSES)
def test_an_odd_status_of_the_log_service_is_an_error(status: bytes) -> None:
    async def play() -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(_answer(status))
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = http_calls.Client(
            f"http://127.0.0.1:{port}", timeout_ms=2_000.0, epoch_header=b"epoch"
        )
        try:
            answer = await client.call("GET", "/x", step="read")
            client.check(answer, "read")
        finally:
            await client.close()
            server.close()

    with pytest.raises(errors.LogServiceError) as raised:
        asyncio.run(play())
    assert raised.value.took_effect is None
