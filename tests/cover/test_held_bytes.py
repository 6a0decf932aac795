"""The account of the memory that a node holds for callers."""

import re

import pytest

from gingerturn import routes
from gingerturn.internal.core import effects, messages
from gingerturn.internal.shell import (
    caller_limits,
    caller_requests,
    clock,
    held_bytes,
    ingress,
    node as nodes,
)
from tests.common import builders, routed, transports

LIMIT = 100_000
BODY = 40_000
HEAD = b"PUT /a/ HTTP/1.1\r\nhost: shop.example\r\ncontent-length: %d\r\n\r\n"


class Site:
    """A node with little memory, and callers without a network."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 1_000.0
        monkeypatch.setattr(clock, "now", lambda: self.now)
        self.node = nodes.Node(builders.settings())
        self.node.held.limit = LIMIT
        table = routes.RouteTable(version=1, routes=(routed.route(),))
        self.node.state.routed = True
        self.node.state.routes = routes.RouteIndex(table)
        self.dispatched: list[caller_requests.Request] = []
        self.node.entry.begin_request = (  # type: ignore[method-assign]
            lambda request, arrival: self.dispatched.append(request)
        )

    def connect(self) -> "Caller":
        return Caller(self.node)


class Caller:
    def __init__(self, node: nodes.Node) -> None:
        self.connection = ingress.CallerConnection(node)
        self.transport = transports.Transport()
        self.connection.connection_made(self.transport)  # type: ignore[arg-type]

    def send(self, length: int, sent: int) -> None:
        """Send a request with a body, or a part of it."""
        self.connection.data_received(HEAD % length)
        self.connection.data_received(b"z" * sent)

    @property
    def statuses(self) -> list[int]:
        found = re.findall(rb"HTTP/1.1 (\d+) ", bytes(self.transport.written))
        return [int(status) for status in found]


# Guards against a node that ends, out of memory, for bodies each of which is within its
# limit.
def test_the_caller_that_holds_most_for_longest_is_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = Site(monkeypatch)
    callers = []
    for length in (BODY, BODY + 1, BODY, BODY):
        callers.append(site.connect())
        callers[-1].send(length, BODY - 1)
        site.now += 10.0
    assert [caller.statuses for caller in callers] == [[503], [503], [], []]
    assert site.node.held.total <= LIMIT
    assert site.node.held.given_up == 2
    refused = bytes(callers[0].transport.written)
    assert b"gingerturn-outcome: not-run" in refused
    assert b"retry-after: 1\r\n" in refused
    assert callers[0].transport.closed
    callers[3].connection.data_received(b"z")
    assert len(site.dispatched) == 1


def test_small_requests_are_served_while_others_hold_much(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = Site(monkeypatch)
    for _ in range(20):
        site.connect().send(BODY, BODY - 1)
        site.now += 10.0
        site.connect().send(100, 100)
    assert len(site.dispatched) == 20


# Guards against complete bodies that fill the memory while they wait for answers.
def test_a_complete_body_is_refused_while_running_requests_hold_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = Site(monkeypatch)
    callers = [site.connect() for _ in range(4)]
    for caller in callers:
        caller.send(BODY, BODY)
    assert len(site.dispatched) == 2
    assert [caller.statuses for caller in callers] == [[], [], [503], [503]]
    assert site.node.held.total <= LIMIT
    for request in list(site.dispatched):
        request.connection.send_whole(request, b"HTTP/1.1 200 OK\r\n", b"")
    assert site.node.held.total == 0
    site.connect().send(BODY, BODY)
    assert len(site.dispatched) == 3


# Guards against answers that fill the memory, as their callers do not read them.
def test_a_caller_that_does_not_read_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = Site(monkeypatch)
    callers = [site.connect() for _ in range(4)]
    for caller in callers:
        caller.connection.data_received(
            b"GET /a/ HTTP/1.1\r\nhost: shop.example\r\n\r\n"
        )
        caller.transport.buffered = BODY
        caller.connection.pause_writing()
        site.now += 10.0
    closed = [caller.transport.closed for caller in callers]
    assert closed == [True, True, False, False]
    callers[3].transport.buffered = 0
    callers[3].connection.resume_writing()
    assert site.node.held.total < LIMIT / 2


# Guards against callers that wait for a descriptor for as long as others keep theirs.
def test_callers_without_progress_make_room_for_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = Site(monkeypatch)
    stalled, running, late = site.connect(), site.connect(), site.connect()
    stalled.send(100, 50)
    running.send(100, 100)
    site.now += caller_limits.STALLED_BEFORE_CLOSE_MS + 1.0
    late.send(100, 50)
    assert caller_limits.give_up_stalled(site.node) == 1
    assert (stalled.statuses, running.statuses, late.statuses) == ([503], [], [])
    assert stalled.transport.closed


def test_a_lost_connection_holds_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    site = Site(monkeypatch)
    caller = site.connect()
    caller.send(BODY, BODY - 1)
    assert site.node.held.total > BODY - 1
    caller.connection.connection_lost(None)
    assert site.node.held.total == 0


@pytest.mark.parametrize(
    ("memory_mb", "limit"),
    [(0, 64_000_000), (300, 78_666_666), (10, held_bytes.MIN_LIMIT_BYTES)],
)
def test_the_limit_follows_from_the_memory_of_the_machine(
    memory_mb: int, limit: int
) -> None:
    assert held_bytes.limit_of(memory_mb) == limit


def test_a_refusal_for_memory_states_a_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    site = Site(monkeypatch)
    refusals: list[effects.RefuseCall] = []
    monkeypatch.setattr(
        ingress.CallerConnection,
        "send_problem",
        lambda connection, request, refusal: refusals.append(refusal),
    )
    site.connect().send(BODY, BODY)
    # What runs cannot be given up, nor what is complete at once.
    site.node.held.limit = BODY // 2
    site.connect().connection.data_received(HEAD % 100 + b"z" * 100)
    (refusal,) = refusals
    assert isinstance(refusal, effects.RefuseCall)
    assert refusal.outcome is messages.Outcome.NOT_RUN
    assert refusal.retry_after_ms == ingress.EXHAUSTED_RETRY_MS
