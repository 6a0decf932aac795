"""Calls over connections between nodes that fall silent for good, without a reset.

No sockets: the connections are in memory.
"""

import asyncio
import collections.abc
import time
import typing

import pytest

from gingerturn import routes
from gingerturn.internal import ids
from gingerturn.internal.shell import (
    clock,
    ingress,
    links,
    node as nodes,
    peers,
    supervision,
)
from gingerturn.internal.wire import frames
from tests.common import builders, memory_links, routed, transports

TIMEOUT_MS = 2_000
REPLACED_S = (peers.REPLACE_CHECKS + 1) * peers.CHECK_INTERVAL_S


class Site:
    """A started entry node, a home node, and callers of unrepeatable requests."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        begun = time.monotonic()
        monkeypatch.setattr(
            clock, "now", lambda: builders.START + 1e3 * (time.monotonic() - begun)
        )
        self.home = nodes.Node(builders.settings("home"))
        self.network = memory_links.Network(self.home)
        self.network.install(monkeypatch)
        self.entry = nodes.Node(builders.settings("n1"))
        self.entry.state = routed.node_state(
            routed.route(kind=routes.RouteType.UNREPEATABLE, timeout_ms=TIMEOUT_MS)
        )
        builders.add_members(self.entry.state, builders.member("home", "plans"))
        self.opened: list[tuple[links.Channel, frames.Open]] = []
        self.home.home.on_frame = self._on_frame  # type: ignore[method-assign]

    def _on_frame(self, channel: links.Channel, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Open):
            self.opened.append((channel, frame))

    def call(self, target: str) -> transports.Transport:
        """Send a request on a new connection of a caller."""
        caller = ingress.CallerConnection(self.entry)
        transport = transports.Transport()
        caller.connection_made(transport)  # type: ignore[arg-type]
        head = f"POST {target} HTTP/1.1\r\nhost: shop.example\r\n"
        caller.data_received(f"{head}content-length: 0\r\n\r\n".encode())
        return transport

    def targets(self) -> list[bytes]:
        """Return the targets of the calls that reached the home node."""
        return [opened.head.split(b" ")[1] for _, opened in self.opened]

    def answer(self, number: int) -> None:
        """Answer a call over the connection on which it arrived."""
        channel, opened = self.opened[number]
        channel.send(
            frames.Answer(
                call=opened.call,
                status=200,
                tokens=0,
                report=builders.report(),
                decision="",
                head=b"HTTP/1.1 200 OK\r\n",
                body=b"",
                whole=True,
            )
        )

    async def served_call(self) -> None:
        """Send a request and let it be answered, which opens a connection."""
        transport = self.call("/a/first")
        while not self.opened:
            await asyncio.sleep(0.01)
        self.answer(0)
        while not transport.written:
            await asyncio.sleep(0.01)

    async def replacement(self) -> None:
        """Wait until a connection has been replaced."""
        while self.entry.counters.connections_replaced == 0:
            await asyncio.sleep(0.01)

    def link(self) -> peers.Link:
        (link,) = self.entry.links._links.values()
        return link


def _play(
    monkeypatch: pytest.MonkeyPatch,
    scenario: typing.Callable[[Site], collections.abc.Coroutine[None, None, None]],
) -> None:
    async def run() -> None:
        site = Site(monkeypatch)
        try:
            await scenario(site)
        finally:
            site.entry.links.close()

    asyncio.run(asyncio.wait_for(run(), 30.0))


# Guards against unrepeatable calls that all get 504 after a connection fell silent and
# TCP does not report its loss.
def test_a_new_unrepeatable_call_reaches_its_upstream_within_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: Site) -> None:
        await site.served_call()
        site.network.silence()
        sent_at = clock.now()
        lost = site.call("/a/lost")
        await site.replacement()
        following = site.call("/a/following")
        while len(site.opened) < 2:
            await asyncio.sleep(0.01)
        assert clock.now() - sent_at < TIMEOUT_MS
        site.answer(1)
        while not following.written:
            await asyncio.sleep(0.01)
        assert following.written.startswith(b"HTTP/1.1 200 ")
        # It may have run, so it is neither sent again nor answered.
        assert site.targets() == [b"/a/first", b"/a/following"]
        assert not lost.written

    _play(monkeypatch, scenario)


# Guards against answers to unrepeatable calls that are lost because the connection was
# only slow, or its home node paused.
def test_an_answer_over_the_replaced_connection_is_delivered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: Site) -> None:
        await site.served_call()
        site.network.silence(only_answers=True)
        slow = site.call("/a/slow")
        await site.replacement()
        site.network.restore()
        site.answer(1)
        while not slow.written:
            await asyncio.sleep(0.01)
        assert slow.written.startswith(b"HTTP/1.1 200 ")
        await asyncio.sleep(0.01)
        assert site.network.connections[0][0].closed

    _play(monkeypatch, scenario)


# Guards against slow backend servers that are taken for silent connections.
def test_a_connection_whose_peer_answers_pings_is_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: Site) -> None:
        await site.served_call()
        site.call("/a/slow")
        await asyncio.sleep(1.5 * REPLACED_S)
        assert site.entry.counters.connections_replaced == 0
        assert 1 <= site.network.count(frames.Ping)[0] <= 5

    _play(monkeypatch, scenario)


def test_no_more_than_one_ping_is_pending(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(site: Site) -> None:
        await site.served_call()
        site.network.silence()
        site.call("/a/lost")
        await asyncio.sleep(2 * REPLACED_S)
        assert site.network.count(frames.Ping) == [1]

    _play(monkeypatch, scenario)


# Guards against traffic and wake-ups on nodes that have nothing to do.
def test_an_idle_connection_is_neither_checked_nor_pinged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: Site) -> None:
        await site.served_call()
        site.network.silence()
        await asyncio.sleep(REPLACED_S)
        assert site.network.count(frames.Ping) == [0]
        assert site.entry.links._next_check is None

    _play(monkeypatch, scenario)


# Guards against a connection that is aborted, since a node of an earlier version does
# not know the frame.
def test_a_peer_that_does_not_answer_pings_is_sent_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: Site) -> None:
        hello = peers.Accepted._hello

        def earlier(self: peers.Accepted, proof: bytes) -> frames.Hello:
            content = hello(self, proof)
            return frames.Hello(
                call=content.call,
                node=content.node,
                incarnation=content.incarnation,
                nonce=content.nonce,
                proof=content.proof,
                zone=content.zone,
            )

        monkeypatch.setattr(peers.Accepted, "_hello", earlier)
        await site.served_call()
        site.call("/a/slow")
        await asyncio.sleep(REPLACED_S)
        assert site.network.count(frames.Ping) == [0]
        assert site.entry.counters.connections_replaced == 0

    _play(monkeypatch, scenario)


# Guards against connections that a node replaces after it was itself paused: the
# answers of its peers wait in its sockets.
def test_a_pause_of_the_own_process_replaces_no_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: Site) -> None:
        await site.served_call()
        site.call("/a/slow")
        for _ in range(2):
            await asyncio.sleep(peers.PING_CHECKS * peers.CHECK_INTERVAL_S)
            time.sleep(2 * REPLACED_S)
        await asyncio.sleep(0.05)
        assert site.entry.counters.connections_replaced == 0

    _play(monkeypatch, scenario)


# Guards against connections that are never checked again after one error.
@pytest.mark.unhandled_errors
def test_checks_go_on_after_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(site: Site) -> None:
        before = supervision.errors_by_part().get("links", 0)
        await site.served_call()
        on_silent = site.entry.entry.on_silent

        def fail(calls: list[int]) -> None:
            raise RuntimeError

        site.entry.entry.on_silent = fail  # type: ignore[method-assign]
        site.network.silence()
        site.call("/a/lost")
        await site.replacement()
        assert supervision.errors_by_part()["links"] == before + 1
        site.entry.entry.on_silent = on_silent  # type: ignore[method-assign]
        site.call("/a/following")
        while len(site.opened) < 2:
            await asyncio.sleep(0.01)
        site.network.silence()
        while site.entry.counters.connections_replaced < 2:
            await asyncio.sleep(0.01)

    _play(monkeypatch, scenario)


# Guards against request bodies and cancellations that are sent on a connection on which
# the home node does not know the call.
def test_frames_of_a_call_stay_on_the_connection_of_the_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: Site) -> None:
        await site.served_call()
        site.call("/a/slow")
        await asyncio.sleep(0.01)
        site.network.silence()
        await site.replacement()
        _, opened = site.opened[1]
        site.link().send(frames.Chunk(call=opened.call, body=b"x", last=True))
        site.link().send(frames.Cancel(call=opened.call))
        site.call("/a/following")
        await asyncio.sleep(0.05)
        assert site.network.count(frames.Chunk) == [1, 0]
        assert site.network.count(frames.Cancel) == [1, 0]

    _play(monkeypatch, scenario)


# Guards against callers that wait for the rest of an answer without end: an answer that
# is being streamed has no deadline.
def test_a_streamed_answer_that_stalls_is_aborted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(peers, "CHECK_INTERVAL_S", 0.005)

    async def scenario(site: Site) -> None:
        await site.served_call()
        streamed, waiting = site.call("/a/streamed"), site.call("/a/waiting")
        await asyncio.sleep(0.01)
        channel, opened = site.opened[1]
        channel.send(
            frames.Answer(
                call=opened.call,
                status=200,
                tokens=0,
                report=builders.report(),
                decision="",
                head=b"HTTP/1.1 200 OK\r\n",
                body=b"part",
                whole=False,
                length=9,
            )
        )
        while not streamed.written:
            await asyncio.sleep(0.01)
        site.network.silence()
        while not streamed.closed:
            await asyncio.sleep(0.01)
        assert streamed.written.endswith(b"part")
        assert not waiting.written
        assert not waiting.closed

    _play(monkeypatch, scenario)


# Guards against level requests that keep a replaced connection open without end.
def test_a_level_request_does_not_keep_a_silent_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: Site) -> None:
        await site.served_call()
        site.network.silence()
        number = site.entry.links._next_query_id()
        address = ids.Address("127.0.0.1", 9001)
        home = ids.NodeId("home")
        kind = ids.KindName("lookup")
        site.entry.links._sent_level_requests[number] = (home, kind, address)
        site.link().send(frames.LevelRequest(call=number, kind=kind))
        await site.replacement()
        assert site.network.connections[0][0].closed
        assert not site.entry.links._sent_level_requests

    _play(monkeypatch, scenario)
