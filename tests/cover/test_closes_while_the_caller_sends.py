"""Answers after which the node closes a connection whose caller still sends."""

import asyncio
import collections.abc
import re
import threading

import pytest
import uvloop

from gingerturn import routes
from gingerturn.internal.core import effects, messages
from gingerturn.internal.shell import (
    caller_limits,
    caller_requests,
    clock,
    ingress,
    node as nodes,
)
from tests.common import builders, late_readers, routed

BODY_BYTES = 20_000_000
"""Far more than the buffers of both sockets."""

LIMITS = routes.RequestLimits(
    head_bytes=2_000, body_bytes=2 * BODY_BYTES, head_timeout_ms=1_000
)
UPLOAD = b"POST /a/ HTTP/1.1\r\nhost: shop.example\r\ncontent-length: %d\r\n\r\n"
PIECE = b"u" * 1_000_000
LATE_S = 0.05

Dispatch = collections.abc.Callable[[caller_requests.Request], None]


class Entry:
    """A node whose callers are connected over sockets, and whose calls the test
    answers.

    :param dispatch: called with each request that the node dispatches.
    """

    def __init__(self, dispatch: Dispatch) -> None:
        self.node = nodes.Node(builders.settings())
        self.node.state.routed = True
        table = routes.RouteTable(version=1, routes=(routed.route(),), limits=LIMITS)
        self.node.state.routes = routes.RouteIndex(table)
        self.node.entry.begin_request = (  # type: ignore[method-assign]
            lambda request, arrival: dispatch(request)
        )

    def play(
        self, *pieces: bytes, then: collections.abc.Callable[[], None] | None = None
    ) -> late_readers.Seen:
        """Return what a caller sees that writes all pieces before it reads.

        :param then: called once the first piece may have been read.
        """
        return uvloop.run(self._play(pieces, then))

    async def _play(
        self,
        pieces: tuple[bytes, ...],
        then: collections.abc.Callable[[], None] | None,
    ) -> late_readers.Seen:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: ingress.CallerConnection(self.node), "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        if then is not None:
            loop.call_later(LATE_S / 2, then)
        try:
            return await asyncio.to_thread(
                late_readers.exchange, port, pieces, pause_s=LATE_S
            )
        finally:
            server.close()


def _upload() -> tuple[bytes, ...]:
    return (UPLOAD % BODY_BYTES, *[PIECE] * (BODY_BYTES // len(PIECE)))


def _refuse(status: int) -> Dispatch:
    def dispatch(request: caller_requests.Request) -> None:
        refusal = effects.RefuseCall(
            call=request.call,
            status=status,
            outcome=messages.Outcome.NOT_RUN,
            title="refused in the test",
            retry_after_ms=0.0,
            decision="",
        )
        request.connection.send_problem(request, refusal)

    return dispatch


def _ignore(request: caller_requests.Request) -> None:
    pass


def _check(seen: late_readers.Seen, status: int, body_end: bytes) -> None:
    assert seen.error == ""
    assert seen.received.startswith(b"HTTP/1.1 %d " % status)
    assert len(re.findall(rb"HTTP/1.1 \d{3} ", seen.received)) == 1
    assert seen.received.endswith(body_end)


# Guards against answers that a reset takes away from a caller that still sends.
@pytest.mark.parametrize("status", [404, 502, 503, 504])
def test_an_early_refusal_reaches_a_caller_that_writes_its_whole_body(
    status: int,
) -> None:
    _check(Entry(_refuse(status)).play(*_upload()), status, b"}")


# Guards against answers that a reset takes away from a caller that still sends.
@pytest.mark.parametrize("size", [0, 300_000])
def test_an_early_answer_reaches_a_caller_that_writes_its_whole_body(
    size: int,
) -> None:
    def dispatch(request: caller_requests.Request) -> None:
        head = b"HTTP/1.1 200 OK\r\n"
        request.connection.send_whole(request, head, b"x" * size + b"end")

    _check(Entry(dispatch).play(*_upload()), 200, b"x" * size + b"end")


# Guards against answers that a reset takes away from a caller that still sends.
@pytest.mark.parametrize("length", [8, -1])
def test_an_early_streamed_answer_reaches_a_caller_that_writes_its_whole_body(
    length: int,
) -> None:
    def dispatch(request: caller_requests.Request) -> None:
        connection = request.connection
        connection.send_streaming(request, b"HTTP/1.1 200 OK\r\n", length)
        connection.send_piece(request, b"streamed", last=False)
        connection.send_piece(request, b"", last=True)

    end = b"streamed" if length >= 0 else b"8\r\nstreamed\r\n0\r\n\r\n"
    _check(Entry(dispatch).play(*_upload()), 200, end)


TOO_LARGE = (UPLOAD % (3 * BODY_BYTES), *[PIECE] * 20)
LONG_HEAD = (b"GET /a/ HTTP/1.1\r\nhost: shop.example\r\nx: ", *[PIECE] * 20)
NO_REQUEST = (b"no request at all\r\n\r\n", *[PIECE] * 20)
NO_HOST = (b"POST /a/ HTTP/1.1\r\ncontent-length: 20000000\r\n\r\n", *[PIECE] * 20)
CHUNKED = (
    b"POST /a/ HTTP/1.1\r\nhost: shop.example\r\ntransfer-encoding: chunked\r\n\r\n",
    b"f4240x\r\n",
    *[PIECE] * 20,
)


# Guards against callers that are told nothing of what is wrong with their request.
@pytest.mark.parametrize(
    ("pieces", "status"),
    [(TOO_LARGE, 413), (LONG_HEAD, 431), (NO_REQUEST, 400), (NO_HOST, 400)]
    + [(CHUNKED, 400)],
    ids=["413", "431", "400", "400 without a host", "400 in a chunk"],
)
def test_an_answer_to_bad_input_reaches_a_caller_that_writes_on(
    pieces: tuple[bytes, ...], status: int
) -> None:
    _check(Entry(_ignore).play(*pieces), status, b"}")


# Guards against callers that are told nothing of what is wrong with their request.
def test_a_408_reaches_a_caller_that_writes_the_rest_of_its_request() -> None:
    entry = Entry(_ignore)

    def time_out() -> None:
        caller_limits.check_connections(entry.node, clock.now() + 1_100)

    head, *body = _upload()
    seen = entry.play(head[:20], head[20:], *body, then=time_out)
    _check(seen, 408, b"}")


# Guards against answers that a reset takes away, since their caller has sent further
# requests behind one that closes the connection.
def test_an_answer_that_closes_reaches_a_caller_that_pipelines_on() -> None:
    def dispatch(request: caller_requests.Request) -> None:
        request.connection.send_whole(request, b"HTTP/1.1 200 OK\r\n", b"first")

    get = b"GET /a/ HTTP/1.1\r\nhost: shop.example\r\n%b\r\n"
    behind = [(get % b"") * 20_000] * 20
    seen = Entry(dispatch).play(get % b"connection: close\r\n", *behind)
    _check(seen, 200, b"first")


# Guards against answers that a reset takes away, since the node closes idle callers at
# its stop while one of them begins a request.
def test_a_close_of_an_idle_connection_is_an_end_for_a_caller_that_sends() -> None:
    entry = Entry(_ignore)

    def close() -> None:
        for connection in list(entry.node.caller_connections):
            connection.close("the test ends it")

    seen = entry.play(b"", *_upload(), then=close)
    assert seen == late_readers.Seen(b"", "")


def _exchange_at_a_check(first: bytes, rest: bytes) -> late_readers.Seen:
    """Return what a caller sees whose second piece arrives while the node is paused,
    right before the node checks its connections for timeouts.

    :param first: sent before the pause.
    """
    entry = Entry(_refuse(503))
    paused, sent = threading.Event(), threading.Event()

    def pieces() -> collections.abc.Iterator[bytes]:
        yield first
        paused.wait(late_readers.READ_TIMEOUT_S)
        yield rest
        sent.set()

    def check() -> None:
        paused.set()
        sent.wait(late_readers.READ_TIMEOUT_S)
        later = clock.now() + LIMITS.idle_timeout_ms + 100
        caller_limits.check_connections(entry.node, later)

    async def play() -> late_readers.Seen:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: ingress.CallerConnection(entry.node), "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        seen = loop.run_in_executor(None, late_readers.exchange, port, pieces())
        while not entry.node.caller_connections:
            await asyncio.sleep(0.01)
        await asyncio.sleep(LATE_S)
        check()
        try:
            return await seen
        finally:
            server.close()

    return uvloop.run(play())


GET = b"GET /a/ HTTP/1.1\r\nhost: shop.example\r\nconnection: close\r\n\r\n"


# Guards against requests that get no answer since the node was paused: it closes the
# connection as idle, or its head as late, before it reads what has arrived.
@pytest.mark.parametrize("before_the_pause", [0, 20])
def test_what_arrived_during_a_pause_is_read_before_a_timeout_is_applied(
    before_the_pause: int,
) -> None:
    seen = _exchange_at_a_check(GET[:before_the_pause], GET[before_the_pause:])
    _check(seen, 503, b"}")
