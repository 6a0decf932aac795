"""Queries to a peer while the connection to it is silent."""

import asyncio
import collections.abc
import contextlib
import typing

import pytest

from gingerturn.internal import ids
from gingerturn.internal.shell import links, node as nodes, peers
from gingerturn.internal.wire import frames
from gingerturn_soak import proxy
from gingerturn_standins import processes
from tests.common import builders


@contextlib.asynccontextmanager
async def _peer() -> collections.abc.AsyncIterator[tuple[nodes.Node, proxy.Proxy]]:
    """Yield an entry node, and the proxy in front of a home node."""
    home = nodes.Node(builders.settings("home"))
    entry = nodes.Node(builders.settings("entry"))
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: peers.Accepted(home), "127.0.0.1", 0)
    (port,) = processes.free_ports(1)
    link = proxy.Proxy(port, server.sockets[0].getsockname()[1])
    await link.start()
    try:
        yield entry, link
    finally:
        entry.links.close()
        await link.close()
        server.close()


async def _query(entry: nodes.Node, link: proxy.Proxy) -> bytes:
    query = frames.Query(call=entry.links._next_query_id(), routes=True)
    return await entry.links._query(ids.Address("127.0.0.1", link.port), query)


# Guards against fetches of a route table that are all sent over a connection that fell
# silent, until TCP reports its loss.
def test_a_query_over_a_silent_connection_is_repeated_over_a_new_one() -> None:
    async def run() -> None:
        async with _peer() as (entry, link):
            assert await _query(entry, link) == b""
            link.silence()
            assert await _query(entry, link) == b""

    asyncio.run(asyncio.wait_for(run(), 30.0))


# Guards against calls that are reported as lost because a query found the connection
# silent: their answers may still arrive.
def test_calls_in_progress_keep_the_connection_that_is_replaced() -> None:
    async def run() -> None:
        async with _peer() as (entry, link):
            lost: list[int] = []
            entry.links.on_link_lost = (  # type: ignore[method-assign]
                lambda call, reached: lost.append(call)
            )
            await _query(entry, link)
            to_peer = entry.links._link(ids.Address("127.0.0.1", link.port))
            to_peer.send(frames.LevelRequest(call=7, kind="lookup"))
            link.silence()
            await _query(entry, link)
            assert not lost
            link.reset()
            while not lost:
                await asyncio.sleep(0.01)
            assert lost == [7]

    asyncio.run(asyncio.wait_for(run(), 30.0))


def test_a_connection_on_which_something_arrives_is_kept() -> None:
    async def run() -> None:
        async with _peer() as (entry, link):
            await _query(entry, link)
            to_peer = entry.links._link(ids.Address("127.0.0.1", link.port))
            current = to_peer._current
            to_peer.resend_if_silent(frames.Query(call=9, routes=True), 0.0)
            assert to_peer._current is current

    asyncio.run(asyncio.wait_for(run(), 30.0))


# Guards against frames that stay queued for good: the peer may be authenticated before
# the task that dials continues.
def test_frames_are_sent_though_authentication_ends_before_dialling(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sent: list[frames.Frame] = []
    monkeypatch.setattr(peers.Dialled, "send", lambda self, frame: sent.append(frame))

    async def connect(make: typing.Any, host: str, port: int) -> None:
        make()._ready()

    async def run() -> None:
        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", connect)
        entry = nodes.Node(builders.settings("entry"))
        query = frames.Query(call=3, routes=True)
        entry.links._link(ids.Address("127.0.0.1", 1)).send(query)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert sent == [query]

    asyncio.run(run())


def test_a_silent_connection_is_replaced_before_a_query_times_out() -> None:
    assert links.SILENCE_S < links.QUERY_TIMEOUT_S / 2.0


# Guards against calls that all go over a connection that fell silent, where TCP does
# not report its loss, until each has reached its deadline.
def test_calls_leave_a_silent_connection_without_a_query() -> None:
    async def run() -> None:
        async with _peer() as (entry, link):
            answered: list[int] = []
            entry.links.on_link_frame = (  # type: ignore[method-assign]
                lambda frame: answered.append(frame.call)
            )
            to_peer = entry.links._link(ids.Address("127.0.0.1", link.port))
            to_peer.send(frames.LevelRequest(call=7, kind="lookup"))
            while not answered:
                await asyncio.sleep(0.01)
            link.silence()
            for call in range(8, 28):
                to_peer.send(frames.LevelRequest(call=call, kind="lookup"))
                await asyncio.sleep(0.1)
            assert set(answered) - {7}

    asyncio.run(asyncio.wait_for(run(), 30.0))
