"""Large answers whose caller left, whose entry node is gone, or that nobody reads."""

import asyncio
import collections.abc

import hypothesis
import pytest
from hypothesis import strategies

from gingerturn.internal.core import effects, events, hosting
from gingerturn.internal.shell import clock, exchanges
from gingerturn.internal.wire import frames
from tests.common import home_nodes, transports

SIZE = 900_000
DEADLINE_MS = 60_000.0
"""Time budget of the calls of :class:`home_nodes.HomeNode`."""

PIECE = b"b" * 65_536


def _begin(request_id: bytes, size: int = SIZE) -> bytes:
    head = b"HTTP/1.1 200 X\r\nRequest-Id: %b\r\nContent-Length: %d\r\n\r\n"
    return head % (request_id, size)


def _feed(home: home_nodes.HomeNode, number: int, *pieces: bytes) -> None:
    """Let a connection read pieces, each only while it reads."""
    connection = home.connections[number]
    for piece in pieces:
        transport = home_nodes.transport_of(connection)
        if transport.closed or not transport.reading:
            return
        connection.data_received(piece)


def _pieces(size: int) -> collections.abc.Iterator[bytes]:
    while size > 0:
        yield PIECE[:size]
        size -= len(PIECE)


def _is_empty(home: home_nodes.HomeNode) -> bool:
    state = home.node.state
    return not (state.hosted or state.backend.running or home.node.home._exchanges)


# Guards against slots held for good by callers that left before a large answer.
def test_the_answer_of_an_orphaned_call_is_read_and_its_slot_released() -> None:
    async def play() -> None:
        home = home_nodes.HomeNode(slots=1)
        call = await home.open(b"r1")
        home.cancel(call)
        _feed(home, 0, _begin(b"r1"), *_pieces(SIZE))
        assert _is_empty(home)
        following = await home.open(b"r2")
        _feed(home, -1, home_nodes.answer(200, request_id=b"r2"))
        assert isinstance(home.reply_to(following), frames.Answer)

    asyncio.run(play())


@pytest.mark.parametrize("left", ["before the deadline", "at the deadline"])
def test_an_orphaned_call_whose_answer_does_not_end_is_cancelled(left: str) -> None:
    async def play() -> None:
        home = home_nodes.HomeNode(slots=1)
        call = await home.open(b"r1")
        if left == "before the deadline":
            home.cancel(call)
        deadline = home.node.state.now + DEADLINE_MS
        if left == "at the deadline":
            home.node.apply(events.Tick(now=deadline + 1.0))
        _feed(home, 0, _begin(b"r1"), PIECE)
        assert home.node.state.backend.running == 1
        home.node.apply(events.Tick(now=deadline + 2.0))
        home.node.apply(events.Tick(now=deadline + hosting.UNKEYED_ORPHAN_MS + 3.0))
        assert _is_empty(home)
        assert home_nodes.transport_of(home.connections[0]).closed

    asyncio.run(play())


# Guards against a home node that runs out of memory for answers that an entry node does
# not read.
def test_answers_wait_with_their_slots_while_the_entry_node_does_not_read() -> None:
    async def play() -> None:
        home = home_nodes.HomeNode(slots=2)
        home.channel.is_backed_up = True
        calls = [await home.open(b"r%d" % number) for number in range(3)]
        for number in range(2):
            _feed(home, number, home_nodes.answer(200, request_id=b"r%d" % number))
        # Neither is sent, and the third call is not started in their place.
        assert [home.reply_to(call) for call in calls] == [None] * 3
        assert home.node.state.backend.running == 2
        home.channel.is_backed_up = False
        for function in home.channel.waiting:
            function()
        await home.settle()
        replies = [home.reply_to(call) for call in calls]
        assert [isinstance(r, frames.Answer) for r in replies] == [True, True, False]
        assert home.node.state.backend.running == 1

    asyncio.run(play())


# Guards against a slot that is held for good by an answer that waits for an entry node
# which is lost.
def test_an_answer_that_waits_releases_its_slot_once_its_channel_is_lost() -> None:
    async def play() -> None:
        home = home_nodes.HomeNode(slots=1)
        home.channel.is_backed_up = True
        call = await home.open(b"r1")
        _feed(home, 0, home_nodes.answer(200, request_id=b"r1"))
        home.cancel(call)
        for function in home.channel.waiting:
            function()
        assert _is_empty(home)

    asyncio.run(play())


# Guards against slots that are held until the deadline by uploads whose callers left.
@pytest.mark.parametrize("last", [False, True])
def test_an_upload_that_its_caller_left_releases_its_slot(*, last: bool) -> None:
    async def play() -> None:
        home = home_nodes.HomeNode()
        call = await home.open(b"r1", whole=False)
        home.receive(frames.Chunk(call=call, body=b"part", last=last))
        (connection,) = home.connections
        home.cancel(call)
        # The backend server may still end its work on a whole body.
        assert home.node.state.backend.running == int(last)
        assert home_nodes.transport_of(connection).closed is not last

    asyncio.run(play())


# Guards against slots that are held for good by answers that nobody reads. Their end is
# not noticed at the backend server either, as reading is paused.
@pytest.mark.parametrize("repeatable", [True, False])
def test_a_streamed_answer_without_credit_ends(
    repeatable: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(exchanges, "STALL_CHECK_INTERVAL_S", 0.001)

    async def play() -> None:
        home = home_nodes.HomeNode(slots=1)
        call = await home.open(b"r1", repeatable=repeatable)
        _feed(home, 0, _begin(b"r1"), *_pieces(SIZE))
        assert home.node.state.backend.running == 1
        while not _is_empty(home):
            await asyncio.sleep(0.001)
        assert home.channel.sent[-1] == frames.Broken(call=call)
        assert home_nodes.transport_of(home.connections[0]).closed

    asyncio.run(asyncio.wait_for(play(), 30.0))


def test_a_streamed_answer_with_credit_at_times_is_complete(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(exchanges, "STALL_CHECK_INTERVAL_S", 0.001)
    monkeypatch.setattr(exchanges, "STALL_CHECKS", 1_000)

    async def play() -> None:
        home = home_nodes.HomeNode(slots=1)
        call = await home.open(b"r1")
        pieces = [_begin(b"r1"), *_pieces(SIZE)]
        while pieces:
            if home_nodes.transport_of(home.connections[0]).reading:
                _feed(home, 0, pieces.pop(0))
                continue
            await asyncio.sleep(0.01)
            home.credit(call, len(PIECE))
        assert _is_empty(home)
        assert home.channel.sent[-1] == frames.Chunk(call=call, body=b"", last=True)

    asyncio.run(asyncio.wait_for(play(), 30.0))


STEPS = (
    "open",
    "open repeatable",
    "begin",
    "feed",
    "small",
    "lose",
    "cancel",
    "broken",
    "credit",
    "tick",
    "deadline",
    "checked",
)


# Guards against state that waits for a word of somebody who left.
@hypothesis.settings(max_examples=150, deadline=None)
@hypothesis.example(steps=[("open", 0), ("cancel", 0), ("begin", 0), ("feed", 0)])
@hypothesis.example(steps=[("open", 0), ("deadline", 0), ("begin", 0)])
@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(strategies.sampled_from(STEPS), strategies.integers(0, 3)),
        min_size=5,
        max_size=40,
    )
)
def test_nothing_remains_once_everybody_left_and_all_deadlines_passed(
    steps: list[tuple[str, int]],
) -> None:
    asyncio.run(_play(steps))


async def _play(steps: list[tuple[str, int]]) -> None:
    offset = 0.0
    real = clock.now
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(clock, "now", lambda: real() + offset)
        home = home_nodes.HomeNode(slots=2)
        patch.setattr(home.node, "_handlers", _without_checks(home))
        calls: list[int] = []
        for step, which in steps:
            if step.startswith("open"):
                repeatable = step == "open repeatable"
                request_id = b"r%d" % len(calls)
                calls.append(await home.open(request_id, repeatable=repeatable))
            elif step in {"tick", "deadline"}:
                offset += 100.0 if step == "tick" else DEADLINE_MS + 1.0
                home.node.apply(events.Tick(now=clock.now()))
            elif step == "checked":
                home.node.apply(events.BackendChecked(now=clock.now(), refused=False))
            elif step in {"cancel", "broken", "credit"} and calls:
                _send(home, step, calls[which % len(calls)])
            elif home.connections:
                _act(home, step, which % len(home.connections))
            await home.settle()
        for call in calls:
            home.cancel(call)
        for wait in (DEADLINE_MS, hosting.ORPHAN_MS):
            offset += wait + 1.0
            home.node.apply(events.Tick(now=clock.now()))
        home.node.apply(events.BackendChecked(now=clock.now(), refused=False))
        assert _is_empty(home)


def _without_checks(home: home_nodes.HomeNode) -> dict[type, object]:
    return {**home.node._handlers, effects.CheckBackend: lambda effect: None}


def _send(home: home_nodes.HomeNode, step: str, call: int) -> None:
    if step == "cancel":
        home.cancel(call)
    elif step == "credit":
        home.credit(call, len(PIECE))
    else:
        home.receive(frames.Broken(call=call))


def _act(home: home_nodes.HomeNode, step: str, number: int) -> None:
    connection = home.connections[number]
    transport: transports.Transport = home_nodes.transport_of(connection)
    if step == "lose":
        transport.close()
        connection.connection_lost(ConnectionResetError())
        return
    request_id = connection._request_id
    if connection._receiver is None:
        return
    if step == "small":
        _feed(home, number, home_nodes.answer(200, request_id=request_id))
    elif step == "begin":
        _feed(home, number, _begin(request_id))
    else:
        _feed(home, number, *_pieces(SIZE // 2))
