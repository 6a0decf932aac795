"""Limits of callers' requests and connections."""

import asyncio
import collections.abc
import re

import pytest

from gingerturn import errors, routes, settings
from gingerturn.internal.core import effects, messages
from gingerturn.internal.shell import (
    caller_input,
    caller_limits,
    caller_requests,
    clock,
    ingress,
    node as nodes,
    turns,
)
from tests.common import builders, routed, transports

LIMITS = routes.RequestLimits(
    head_bytes=200, body_bytes=10, head_timeout_ms=3_000, idle_timeout_ms=5_000
)


class Caller:
    """A connection to a node whose table has :data:`LIMITS`, without a network.

    :param is_taking_turns: turns come with the event loop, not at once.
    """

    def __init__(
        self, limits: routes.RequestLimits = LIMITS, *, is_taking_turns: bool = False
    ) -> None:
        self.node = nodes.Node(builders.settings())
        self.node.state.routed = True
        self.put_in_force(limits)
        self.dispatched: list[caller_requests.Request] = []
        self.node.entry.begin_request = (  # type: ignore[method-assign]
            lambda request, arrival: self.dispatched.append(request)
        )
        self._turns: list[collections.abc.Callable[[], None]] = []
        if not is_taking_turns:
            self.node.turns.wait = (  # type: ignore[method-assign]
                lambda waiter, go_on: self._turns.append(go_on)
            )
        self.connection = ingress.CallerConnection(self.node)
        self.transport = transports.Transport()
        self.connection.connection_made(self.transport)  # type: ignore[arg-type]

    def another(self) -> ingress.CallerConnection:
        """Return another connection to the node."""
        connection = ingress.CallerConnection(self.node)
        connection.connection_made(transports.Transport())  # type: ignore[arg-type]
        return connection

    def put_in_force(self, limits: routes.RequestLimits) -> None:
        table = routes.RouteTable(version=1, routes=(routed.route(),), limits=limits)
        self.node.state.routes = routes.RouteIndex(table)

    @property
    def statuses(self) -> list[int]:
        """Statuses of all answers so far."""
        found = re.findall(rb"HTTP/1.1 (\d+) ", bytes(self.transport.written))
        return [int(status) for status in found]

    def send(self, *pieces: bytes) -> None:
        for piece in pieces:
            self.connection.data_received(piece)
            while self._turns:
                self._turns.pop(0)()

    def send_in_reads(self, data: bytes) -> None:
        """Send as much as is read at once, again and again."""
        size = caller_input.READ_BYTES
        self.send(*(data[start : start + size] for start in range(0, len(data), size)))

    def pass_time(self, elapsed_ms: float) -> None:
        caller_limits.check_connections(self.node, clock.now() + elapsed_ms)


GET = b"GET /a/ HTTP/1.1\r\nhost: shop.example\r\n\r\n"


def _put(framing: bytes, body: bytes = b"") -> bytes:
    return b"PUT /a/ HTTP/1.1\r\nhost: shop.example\r\n%b\r\n\r\n%b" % (framing, body)


def test_a_head_over_the_bound_of_the_table_is_refused() -> None:
    caller = Caller()
    caller.send(
        b"GET /a/ HTTP/1.1\r\nhost: shop.example\r\nx: %b\r\n\r\n" % (b"y" * 200)
    )
    assert caller.statuses == [431]
    assert caller.transport.closed


def test_a_header_line_without_an_end_is_refused_too() -> None:
    caller = Caller()
    caller.send(b"GET /a/ HTTP/1.1\r\nx: ", *([b"y" * 50] * 4))
    assert not caller.statuses
    caller.send(b"y")
    assert caller.statuses == [431]


def test_a_body_right_behind_the_rest_of_a_head_does_not_count_as_head() -> None:
    caller = Caller(routes.RequestLimits(head_bytes=200, body_bytes=1_000))
    request = _put(b"content-length: 400", b"z" * 400)
    caller.send(request[:30], request[30:])
    assert len(caller.dispatched) == 1
    assert not caller.statuses


def test_a_body_that_is_announced_too_long_is_refused_before_it_is_read() -> None:
    caller = Caller()
    caller.send(_put(b"content-length: 11"))
    assert caller.statuses == [413]
    assert not caller.dispatched


def test_a_body_at_the_bound_is_served() -> None:
    caller = Caller()
    caller.send(_put(b"content-length: 10", b"0123456789"))
    assert len(caller.dispatched) == 1
    assert not caller.transport.closed


def test_a_chunked_body_is_refused_once_it_passes_the_bound() -> None:
    caller = Caller()
    chunk = b"6\r\n012345\r\n"
    caller.send(_put(b"transfer-encoding: chunked", chunk))
    assert not caller.transport.closed
    caller.send(chunk)
    assert caller.statuses == [413]
    assert not caller.dispatched


# Guards against a body that is said not to have run, though it was sent in part to a
# backend server, which may have begun to work on it.
@pytest.mark.parametrize(
    ("is_sent", "outcome"), [(True, "unknown"), (False, "not-run")]
)
def test_a_body_over_the_bound_states_whether_it_was_sent(
    *, is_sent: bool, outcome: str
) -> None:
    buffered = settings.Limits().body_buffer
    caller = Caller(routes.RequestLimits(body_bytes=buffered + 10))
    piece = b"%x\r\n%b\r\n" % (buffered + 1, b"z" * (buffered + 1))
    caller.send_in_reads(_put(b"transfer-encoding: chunked", piece))
    (request,) = caller.dispatched
    request.attempt = int(is_sent)
    caller.connection.start_streaming(request, lambda body, last: None)
    caller.connection.add_credit(request, len(piece))
    caller.send_in_reads(piece)
    assert caller.statuses == [413]
    assert f"gingerturn-outcome: {outcome}\r\n".encode() in caller.transport.written


def test_a_head_that_takes_too_long_gets_a_408_with_outcome_not_run() -> None:
    caller = Caller()
    caller.send(b"GET /a/ HTTP/1.1\r\n")
    caller.pass_time(2_900)
    assert not caller.transport.closed
    caller.pass_time(3_100)
    assert caller.statuses == [408]
    assert b"gingerturn-outcome: not-run" in caller.transport.written
    assert caller.transport.closed


# Guards against bodies that are held for as long as their callers stay.
def test_a_body_that_stops_gets_a_408_with_outcome_not_run() -> None:
    caller = Caller()
    caller.send(_put(b"content-length: 10", b"01234567"))
    caller.pass_time(4_900)
    assert not caller.transport.closed
    caller.pass_time(5_100)
    assert caller.statuses == [408]
    assert b"gingerturn-outcome: not-run" in caller.transport.written
    assert caller.transport.closed
    assert not caller.dispatched


# Guards against bodies that trickle for longer than their callers wait.
@pytest.mark.parametrize(
    ("head", "limit_ms"),
    [
        (b"content-length: 10\r\ngingerturn-timeout-ms: 2000", 2_000),
        (b"content-length: 10", settings.Limits().body_timeout_ms),
    ],
)
def test_a_body_that_takes_too_long_gets_a_408(head: bytes, limit_ms: int) -> None:
    caller = Caller(routes.RequestLimits(idle_timeout_ms=86_400_000))
    caller.send(_put(head, b"01234"))
    caller.pass_time(limit_ms - 100)
    caller.send(b"5")
    assert not caller.transport.closed
    caller.pass_time(limit_ms + 100)
    assert caller.statuses == [408]


def test_a_body_that_is_passed_on_ends_by_the_deadline_of_its_call() -> None:
    buffered = settings.Limits().body_buffer
    caller = Caller(routes.RequestLimits(body_bytes=2 * buffered))
    caller.send(_put(b"content-length: %d" % (2 * buffered), b"z" * (buffered + 1)))
    assert len(caller.dispatched) == 1
    caller.pass_time(3_600_000)
    assert not caller.transport.closed


def test_an_idle_connection_is_closed_only_after_the_bound() -> None:
    caller = Caller()
    caller.pass_time(4_900)
    assert not caller.transport.closed
    caller.pass_time(5_100)
    assert caller.transport.closed
    assert not caller.transport.written


def test_a_connection_that_waits_for_an_answer_is_not_idle() -> None:
    caller = Caller()
    caller.send(GET)
    caller.pass_time(60_000)
    assert not caller.transport.closed


def test_a_later_table_bounds_the_next_request() -> None:
    caller = Caller()
    caller.put_in_force(routes.RequestLimits(body_bytes=20))
    caller.send(_put(b"content-length: 11", b"0123456789a"))
    assert len(caller.dispatched) == 1


def test_bad_input_behind_a_request_is_not_answered_in_its_place() -> None:
    # An early 400 would be read as the answer to the first request.
    caller = Caller()
    caller.send(GET, b"no request at all\r\n\r\n")
    assert caller.statuses == []
    assert not caller.transport.closed
    (first,) = caller.dispatched
    caller.connection.send_problem(
        first,
        effects.RefuseCall(
            call=first.call,
            status=503,
            outcome=messages.Outcome.NOT_RUN,
            title="level",
            retry_after_ms=100,
            decision="",
        ),
    )
    assert caller.statuses == [503, 400]
    assert caller.transport.closed


def test_a_request_that_is_bad_by_its_host_is_answered_at_once() -> None:
    # The answer to a bad request must not wait for that request itself.
    caller = Caller()
    caller.send(b"GET /a/ HTTP/1.1\r\nhost: \r\n\r\n" + GET)
    assert caller.statuses == [400]
    assert caller.transport.closed
    assert not caller.dispatched


@pytest.mark.parametrize(
    "field", ["head_bytes", "body_bytes", "head_timeout_ms", "idle_timeout_ms"]
)
def test_a_limit_of_zero_is_rejected_with_the_name_of_its_field(field: str) -> None:
    limits = routes.RequestLimits(**{field: 0})
    table = routes.RouteTable(version=1, routes=(routed.route(),), limits=limits)
    with pytest.raises(errors.InvalidDocument, match=f"{field} is 0; allowed is 1"):
        routes.check_table(table, origin="test")


# Guards against lines of trailers and extensions of chunks that are kept, or read,
# without an end.
@pytest.mark.parametrize(
    "unfinished",
    [b"0\r\nx-trailer", b"0\r\nx-trailer: ", b"1;extension=", b"0" * 10],
)
def test_an_unfinished_line_around_a_body_is_refused(unfinished: bytes) -> None:
    caller = Caller()
    head = _put(b"transfer-encoding: chunked", b"1\r\nz\r\n")
    caller.send(head, unfinished, *([b"0" * 50] * 3))
    assert caller.statuses == []
    caller.send(b"0" * 50, b"0" * 50)
    assert caller.statuses == [431]
    assert not caller.dispatched


def test_a_body_in_many_chunks_does_not_count_as_an_unfinished_line() -> None:
    caller = Caller(routes.RequestLimits(head_bytes=200, body_bytes=1_000))
    caller.send(_put(b"transfer-encoding: chunked"))
    for _ in range(100):
        caller.send(b"1\r", b"\n", b"z", b"\r\n")
    caller.send(b"0\r\n\r\n")
    assert len(caller.dispatched) == 1
    assert not caller.statuses


# Guards against trailers that reach the backend server as headers, which were not
# checked as such.
def test_trailers_are_not_merged_into_the_head() -> None:
    caller = Caller(routes.RequestLimits(body_bytes=100))
    caller.send(_put(b"transfer-encoding: chunked"))
    caller.send(b"1\r\nz\r\n0\r\nhost: other.example\r\nx-api-key: k\r\n\r\n")
    (request,) = caller.dispatched
    names = [name for name, _ in request.headers]
    assert names == [b"host", b"transfer-encoding"]
    assert b"other.example" not in request.head


def test_trailers_over_the_bound_are_refused() -> None:
    caller = Caller()
    caller.send(_put(b"transfer-encoding: chunked", b"1\r\nz\r\n0\r\n"))
    for _ in range(4):
        caller.send(b"x-trailer: %b\r\n" % (b"x" * 50))
    assert caller.statuses == [431]
    assert not caller.dispatched


# Guards against a kept connection of which nothing more is read, since its last body
# passed the buffer's size with its last piece.
def test_a_request_behind_a_body_that_just_passed_the_buffer_is_read() -> None:
    size = settings.Limits().body_buffer + 10
    caller = Caller(routes.RequestLimits(body_bytes=2 * size))
    caller.send_in_reads(_put(b"content-length: %d" % size, b"z" * size))
    (request,) = caller.dispatched
    assert request.complete
    caller.connection.send_whole(request, b"HTTP/1.1 200 OK\r\n", b"")
    caller.send(GET)
    assert len(caller.dispatched) == 2
    assert caller.transport.reading


# Guards against work that grows with the number of pieces in place of their bytes.
def test_small_pieces_are_joined_before_they_are_passed_on() -> None:
    buffered = settings.Limits().body_buffer
    caller = Caller(routes.RequestLimits(body_bytes=2 * buffered))
    caller.send(_put(b"transfer-encoding: chunked"))
    caller.send_in_reads(b"%x\r\n%b\r\n" % (buffered + 1, b"z" * (buffered + 1)))
    (request,) = caller.dispatched
    passed_on: list[bytes] = []
    caller.connection.start_streaming(request, lambda body, _: passed_on.append(body))
    caller.connection.add_credit(request, buffered)
    pieces = 40
    caller.send(b"1\r\nz\r\n" * pieces)
    assert passed_on == [b"z" * pieces]
    assert request.body_bytes == buffered + 1 + pieces


# Guards against ordinary callers that wait while the input of others is parsed, which
# consists of many small pieces.
def test_connections_with_many_small_pieces_take_turns() -> None:
    async def play() -> None:
        limits = routes.RequestLimits(head_bytes=200, body_bytes=100_000)
        caller = Caller(limits, is_taking_turns=True)
        others = [caller.another() for _ in range(40)]
        for connection in others:
            connection.data_received(_put(b"transfer-encoding: chunked"))
            connection.data_received(b"1\r\nz\r\n" * 2_000)
        before = caller.node.turns.taken
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        # One turn of the event loop does a bounded part of the work.
        assert 0 < caller.node.turns.taken - before <= 2 * turns.AT_ONCE
        caller.send(GET)
        assert len(caller.dispatched) == 1
        while any(connection.has_unread_input for connection in others):
            await asyncio.sleep(0)
        for connection in others:
            (request,) = connection.accepted_requests
            assert request.body_bytes == 2_000
            connection.data_received(b"0\r\n\r\n")
        while any(connection.has_unread_input for connection in others):
            await asyncio.sleep(0)
        assert len(caller.dispatched) == 1 + len(others)

    asyncio.run(play())
