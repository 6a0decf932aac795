"""Requests that a caller sends before the earlier ones are answered."""

import collections.abc
import re
import typing

import pytest

from gingerturn import configuration, routes
from gingerturn.internal.core import effects, messages
from gingerturn.internal.shell import (
    caller_input,
    caller_requests,
    ingress,
    node as nodes,
)
from tests.common import builders, routed, transports

HEAD = b"HTTP/1.1 200 OK\r\n"
TABLE = routes.RouteTable(
    version=1,
    routes=(
        routed.route(),
        routed.route("post", prefix="/post/", kind=routes.RouteType.UNREPEATABLE),
    ),
)


class Caller:
    """A connection to a node, whose requests the test answers in any order."""

    def __init__(self) -> None:
        self.node = nodes.Node(builders.settings())
        self.node.state.routed = True
        self.node.state.routes = routes.RouteIndex(TABLE)
        self.dispatched: list[caller_requests.Request] = []
        self.node.entry.begin_request = (  # type: ignore[method-assign]
            lambda request, arrival: self.dispatched.append(request)
        )
        self.gone: list[int] = []
        self.node.apply = (  # type: ignore[method-assign]
            lambda event: self.gone.append(event.call)  # type: ignore[attr-defined]
        )
        self._turns: list[collections.abc.Callable[[], None]] = []
        self.node.turns.wait = (  # type: ignore[method-assign]
            lambda waiter, go_on: self._turns.append(go_on)
        )
        self.connection = ingress.CallerConnection(self.node)
        self.transport = transports.Transport()
        self.connection.connection_made(self.transport)  # type: ignore[arg-type]

    def send(
        self,
        *targets: str,
        method: str = "GET",
        more: str = "",
        host: str = "shop.example",
    ) -> None:
        for target in targets:
            head = f"{method} {target} HTTP/1.1\r\nhost: {host}\r\n{more}\r\n"
            self.receive(head.encode())

    def receive(self, data: bytes) -> None:
        """Receive data, and let the connection take its turns."""
        self.connection.data_received(data)
        self._take_turns()

    def _take_turns(self) -> None:
        while self._turns:
            self._turns.pop(0)()

    def answer(self, number: int, body: bytes = b"") -> None:
        request = self.dispatched[number]
        self.connection.send_whole(request, HEAD, body or request.target)
        self._take_turns()

    def refuse(self, number: int) -> None:
        effect = effects.RefuseCall(
            call=self.dispatched[number].call,
            status=503,
            outcome=messages.Outcome.NOT_RUN,
            title="level",
            retry_after_ms=100.0,
            decision="",
        )
        self.connection.send_problem(self.dispatched[number], effect)

    def bodies(self) -> list[bytes]:
        found = re.findall(
            rb"content-length: \d+\r\n(?:connection: close\r\n)?\r\n(/\w+/\d)",
            bytes(self.transport.written),
        )
        return typing.cast(list[bytes], found)

    def targets(self) -> list[bytes]:
        return [request.target for request in self.dispatched]


# Guards against requests that miss their latency target behind earlier ones of their
# connection, while upstreams are idle.
def test_safe_requests_of_one_connection_run_at_once() -> None:
    caller = Caller()
    caller.send("/a/1", "/a/2", "/a/3")
    assert caller.targets() == [b"/a/1", b"/a/2", b"/a/3"]


def test_answers_are_written_in_the_order_of_the_requests() -> None:
    caller = Caller()
    caller.send("/a/1", "/a/2", "/a/3")
    caller.answer(2)
    caller.answer(1)
    assert not caller.transport.written
    caller.answer(0)
    assert caller.bodies() == [b"/a/1", b"/a/2", b"/a/3"]


# Guards against response times in the metrics that leave out the wait for the earlier
# answers, and so hide the requests that are late by it.
def test_the_duration_of_a_request_includes_the_wait_for_earlier_answers() -> None:
    caller = Caller()
    ended: list[bytes] = []
    caller.node.entry.forget_request = (  # type: ignore[method-assign]
        lambda request: ended.append(request.target)
    )
    caller.send("/a/1", "/a/2")
    caller.answer(1)
    assert not ended
    caller.answer(0)
    assert ended == [b"/a/1", b"/a/2"]


def test_no_more_than_the_limit_run_at_once() -> None:
    caller = Caller()
    caller.send(*(f"/a/{number}" for number in range(ingress.MAX_PIPELINED + 1)))
    assert len(caller.dispatched) == ingress.MAX_PIPELINED
    caller.answer(0)
    assert len(caller.dispatched) == ingress.MAX_PIPELINED + 1


# Guards against a request that is not repeatable and runs twice: behind an answer that
# closes the connection its caller sends it again.
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_an_unrepeatable_request_waits_for_the_earlier_answers(method: str) -> None:
    caller = Caller()
    caller.send("/a/1")
    caller.send("/post/2", method=method)
    caller.send("/a/3")
    assert caller.targets() == [b"/a/1"]
    caller.answer(0)
    assert caller.targets() == [b"/a/1", b"/post/2"]
    caller.answer(1)
    assert caller.targets() == [b"/a/1", b"/post/2", b"/a/3"]


def test_nothing_runs_behind_a_request_that_closes_the_connection() -> None:
    caller = Caller()
    caller.send("/a/1")
    caller.send("/a/2", more="connection: close\r\n")
    caller.send("/a/3")
    assert caller.targets() == [b"/a/1", b"/a/2"]
    caller.answer(1)
    caller.answer(0)
    assert caller.bodies() == [b"/a/1", b"/a/2"]
    assert caller.transport.closed


# Guards against requests that were passed on and get no answer, since the node closes
# the connection with the answer to an earlier one.
def test_a_stopping_node_answers_all_that_it_dispatched() -> None:
    caller = Caller()
    caller.send("/a/1", "/a/2")
    caller.node.state.stopping = True
    caller.send("/a/3")
    caller.answer(0)
    assert not caller.transport.closed
    assert b"connection: close" not in caller.transport.written
    assert caller.targets() == [b"/a/1", b"/a/2"]
    caller.answer(1)
    assert not caller.transport.closed
    assert b"connection: close" not in caller.transport.written
    assert caller.targets() == [b"/a/1", b"/a/2", b"/a/3"]
    caller.answer(2)
    assert caller.bodies() == [b"/a/1", b"/a/2", b"/a/3"]
    assert caller.transport.written.count(b"connection: close") == 1
    assert caller.transport.closed


# Guards against requests that were read whole and get no answer, since the node closes
# the connection with the answer to an earlier one.
def test_a_stopping_node_answers_all_that_it_read() -> None:
    caller = Caller()
    caller.send("/a/1")
    caller.send("/post/2", method="POST")
    caller.node.state.stopping = True
    caller.send("/a/3")
    for number in range(3):
        assert not caller.transport.closed
        assert b"connection: close" not in caller.transport.written
        caller.answer(number)
    assert caller.bodies() == [b"/a/1", b"/post/2", b"/a/3"]
    assert caller.transport.written.count(b"connection: close") == 1
    assert caller.transport.closed


# Guards against an upload that is cut, since the node closes the connection with the
# answer to an earlier request.
def test_a_stopping_node_answers_a_request_whose_body_arrives() -> None:
    caller = Caller()
    caller.send("/a/1")
    caller.send("/post/2", method="POST", more="content-length: 4\r\n")
    caller.node.state.stopping = True
    caller.answer(0)
    assert not caller.transport.closed
    caller.connection.data_received(b"body")
    caller.answer(1)
    assert caller.bodies() == [b"/a/1", b"/post/2"]
    assert caller.transport.written.count(b"connection: close") == 1
    assert caller.transport.closed


# Guards against callers that send a whole body to a node that refuses it, and so learn
# of it too late to try another one.
def test_a_stopped_node_does_not_wait_for_bodies() -> None:
    caller = Caller()
    caller.node.state.stopping = True
    caller.node.stopped.set()
    caller.send("/post/1", method="POST", more="content-length: 4\r\n")
    assert caller.targets() == [b"/post/1"]
    caller.refuse(0)
    assert caller.transport.written.startswith(b"HTTP/1.1 503 ")
    assert b"connection: close" in caller.transport.written
    caller.connection.data_received(b"bodyGET /a/2 HTTP/1.1\r\nhost: h\r\n\r\n")
    assert caller.targets() == [b"/post/1"]


def test_a_refusal_keeps_the_requests_behind_it() -> None:
    caller = Caller()
    caller.send("/a/1", "/a/2")
    caller.refuse(0)
    caller.answer(1)
    assert caller.transport.written.startswith(b"HTTP/1.1 503 ")
    assert caller.bodies() == [b"/a/2"]
    assert not caller.transport.closed


def test_no_further_request_starts_while_held_answers_fill_the_buffer() -> None:
    caller = Caller()
    caller.send("/a/1", "/a/2")
    caller.answer(1, b"x" * (ingress.MAX_HELD_BYTES + 1))
    caller.send("/a/3")
    assert caller.targets() == [b"/a/1", b"/a/2"]
    caller.answer(0)
    assert caller.targets() == [b"/a/1", b"/a/2", b"/a/3"]


# Guards against an answer that broke off and makes the earlier answers of its
# connection incomplete too.
def test_an_answer_that_broke_off_behind_another_is_a_problem() -> None:
    caller = Caller()
    caller.send("/a/1", "/a/2")
    request = caller.dispatched[1]
    caller.connection.send_streaming(request, HEAD, 100)
    caller.connection.send_piece(request, b"part", last=False)
    caller.connection.abort(request)
    caller.answer(0)
    assert caller.bodies() == [b"/a/1"]
    assert b"HTTP/1.1 502 " in caller.transport.written
    assert b"part" not in caller.transport.written


def test_a_streamed_answer_behind_another_gets_its_credit_when_it_is_first() -> None:
    caller = Caller()
    caller.send("/a/1", "/a/2")
    request = caller.dispatched[1]
    granted: list[int] = []
    request.grant_credit = granted.append
    caller.connection.send_streaming(request, HEAD, 8)
    caller.connection.send_piece(request, b"/a/2", last=False)
    assert not granted
    caller.answer(0)
    assert granted == [4]
    caller.connection.send_piece(request, b"/a/2", last=True)
    assert caller.transport.written.endswith(b"/a/2/a/2")


def test_a_caller_that_leaves_cancels_all_that_runs() -> None:
    caller = Caller()
    caller.send("/a/1", "/a/2")
    caller.connection.connection_lost(None)
    assert caller.gone == [request.call for request in caller.dispatched]


# Guards against requests that get no answer and no sign that they were not read: the
# last answer was held when the node began to stop.
def test_a_stopping_node_announces_that_it_closes_the_connection() -> None:
    caller = Caller()
    caller.send("/a/1", "/a/2")
    caller.send("/post/3", method="POST")
    caller.answer(1)
    caller.node.state.stopping = True
    caller.answer(0)
    assert not caller.transport.closed
    caller.answer(2)
    assert caller.bodies() == [b"/a/1", b"/a/2", b"/post/3"]
    assert caller.transport.written.count(b"connection: close") == 1
    assert caller.transport.closed


# Guards against answers without bound in memory, for a caller that sends requests and
# does not read.
def test_nothing_is_dispatched_while_the_caller_does_not_read() -> None:
    caller = Caller()
    caller.connection.pause_writing()
    caller.send("/a/1", "/a/2")
    assert not caller.dispatched
    caller.connection.resume_writing()
    assert caller.targets() == [b"/a/1", b"/a/2"]


# Guards against requests without bound in memory: each answer let the node read more,
# however many were already read.
def test_reading_resumes_only_with_few_requests_waiting() -> None:
    caller = Caller()
    count = 3 * ingress.MAX_PIPELINED
    caller.send(*(f"/a/{number}" for number in range(count)))
    assert not caller.transport.reading
    caller.answer(0)
    assert not caller.transport.reading
    for number in range(1, count - ingress.MAX_PIPELINED):
        caller.answer(number)
    assert caller.transport.reading


# Guards against a recursion as deep as the number of requests, whose error would end
# the handling of an event midway.
def test_many_requests_that_the_node_answers_itself_follow_a_slow_one() -> None:
    count = 2_000
    head = (
        b"POST /tickets/none HTTP/1.1\r\nhost: gingerturn\r\ncontent-length: 0\r\n\r\n"
    )

    caller = Caller()
    caller.send("/post/1", method="POST")
    caller.receive(head * count)
    assert len(caller.dispatched) == 1
    caller.answer(0)
    assert caller.transport.written.count(b"HTTP/1.1 404 ") == count
    assert caller.transport.reading


# Guards against requests that are read ahead without a bound, since one read holds many
# of them.
def test_few_requests_of_one_read_are_parsed_ahead() -> None:
    caller = Caller()
    caller.send("/post/1", method="POST")
    head = b"GET /a/ HTTP/1.1\r\nhost: shop.example\r\n\r\n"
    caller.receive(head * (caller_input.READ_BYTES // len(head)))
    in_one_step = caller_input.STEP_BYTES // len(head) + 1
    most = ingress.MAX_PIPELINED + 1 + in_one_step
    assert len(caller.connection.accepted_requests) <= most
    assert not caller.transport.reading
    assert caller.connection.has_unread_input


# Guards against unrepeatable requests that run twice where no route table is in force:
# the configuration may declare them for any method.
def test_an_unrepeatable_kind_without_a_route_table_waits() -> None:
    caller = Caller()
    caller.node.state.routed = False
    caller.node.state.routes = None
    document = builders.DOCUMENT.replace('methods = ["POST"]\n', "")
    caller.node.state.configuration = configuration.Configuration({"shop": document})
    caller.send("/a/1", host="plans")
    caller.send("/b/2", host="porting")
    caller.send("/a/3", host="plans")
    assert caller.targets() == [b"/a/1"]
    caller.answer(0)
    assert caller.targets() == [b"/a/1", b"/b/2"]
    caller.answer(1)
    assert caller.targets() == [b"/a/1", b"/b/2", b"/a/3"]


# Guards against callers that wait in vain before they send a body.
def test_a_body_is_asked_for_once_its_request_is_the_first() -> None:
    caller = Caller()
    caller.send("/a/1")
    more = "content-length: 4\r\nexpect: 100-continue\r\n"
    caller.send("/post/2", method="POST", more=more)
    assert not caller.transport.written
    caller.answer(0)
    assert caller.transport.written.endswith(b"HTTP/1.1 100 Continue\r\n\r\n")
    caller.connection.data_received(b"body")
    assert caller.targets() == [b"/a/1", b"/post/2"]
