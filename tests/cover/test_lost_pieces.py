"""Pieces of a body that an error loses: the call ends, and whoever waits sees that."""

import typing

import pytest

from gingerturn.internal import ids
from gingerturn.internal.core import events, messages, reducer
from gingerturn.internal.shell import ingress, links, peers, supervision
from gingerturn.internal.wire import frames
from tests.common import builders, scripted_logs, transports

GET = b"GET /a/x HTTP/1.1\r\nhost: shop.example\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
REPORT = messages.LoadReport(level=0, tree_level=0, load=0, limit=1)

pytestmark = pytest.mark.unhandled_errors


class _Carrier:
    """Records what is sent to a home node."""

    def __init__(self) -> None:
        self.sent: list[frames.Frame] = []

    def send(self, frame: frames.Frame) -> None:
        self.sent.append(frame)

    def forget(self, call: int) -> None:
        return


class _Channel:
    """Records what is sent to an entry node."""

    is_backed_up = False

    def __init__(self) -> None:
        self.peer = ids.NodeId("entry")
        self.hosted: dict[int, ids.HostedId] = {}
        self.sent: list[frames.Frame] = []

    def send(self, frame: frames.Frame) -> None:
        self.sent.append(frame)


def _raise(*arguments: typing.Any, **options: typing.Any) -> typing.NoReturn:
    raise MemoryError


def _call(
    running: scripted_logs.RunningNode, monkeypatch: pytest.MonkeyPatch
) -> tuple[transports.Transport, _Carrier, peers.Dialled]:
    """Return a caller's transport, and both ways of its call to a home node."""
    builders.add_members(running.state, builders.member("home", "plans"))
    carrier = _Carrier()
    monkeypatch.setattr(running.node.links, "carrier", lambda *_: carrier)
    connection = ingress.CallerConnection(running.node)
    transport = transports.Transport()
    connection.connection_made(transport)  # type: ignore[arg-type]
    connection.data_received(GET)
    return transport, carrier, _dialled(running)


def _dialled(running: scripted_logs.RunningNode) -> peers.Dialled:
    link = peers.Dialled(running.node, lambda: None, lambda: None)
    link._transport = transports.Transport()  # type: ignore[assignment]
    return link


def _answer(attempt: int, *, whole: bool) -> frames.Answer:
    return frames.Answer(
        call=attempt,
        status=200,
        tokens=0,
        report=REPORT,
        decision="",
        head=HEAD,
        body=b"AAAA",
        whole=whole,
    )


# Guards against a complete answer with a hole, after an error in one of its pieces.
@pytest.mark.parametrize("last", [False, True])
def test_an_answer_that_lost_a_piece_ends_without_its_end(
    monkeypatch: pytest.MonkeyPatch, last: bool
) -> None:
    async def check(running: scripted_logs.RunningNode) -> None:
        transport, carrier, link = _call(running, monkeypatch)
        (attempt,) = running.state.attempts
        link._handle(_answer(attempt, whole=False))
        link._handle(frames.Chunk(call=attempt, body=b"BBBB", last=False))
        with monkeypatch.context() as failing:
            failing.setattr(ingress.CallerConnection, "_write", _raise)
            link._handle(frames.Chunk(call=attempt, body=b"CCCC", last=last))
        link._handle(frames.Chunk(call=attempt, body=b"DDDD", last=True))
        assert transport.closed
        assert transport.written.endswith(b"4\r\nAAAA\r\n4\r\nBBBB\r\n")
        assert not running.node.entry._attempts
        assert not running.node.entry._requests
        if not last:
            assert isinstance(carrier.sent[-1], frames.Cancel)

    scripted_logs.run_started(monkeypatch, check)


# Guards against pieces of an answer whose head was never written.
def test_an_answer_whose_head_is_not_applied_ends_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(running: scripted_logs.RunningNode) -> None:
        transport, _, link = _call(running, monkeypatch)
        (attempt,) = running.state.attempts
        with monkeypatch.context() as failing:
            failing.setitem(reducer._HANDLERS, events.AttemptAnswered, _raise)
            link._handle(_answer(attempt, whole=False))
        link._handle(frames.Chunk(call=attempt, body=b"BBBB", last=True))
        assert transport.closed
        assert not transport.written
        assert not running.state.calls

    scripted_logs.run_started(monkeypatch, check)


# Guards against a caller that waits for ever for a whole answer.
def test_a_whole_answer_that_cannot_be_written_ends_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(running: scripted_logs.RunningNode) -> None:
        transport, _, link = _call(running, monkeypatch)
        (attempt,) = running.state.attempts
        monkeypatch.setattr(ingress.CallerConnection, "_write", _raise)
        link._handle(_answer(attempt, whole=True))
        assert transport.closed
        assert not running.node.entry._requests

    scripted_logs.run_started(monkeypatch, check)


# Guards against calls that go on over a connection after an error that ended none.
def test_a_connection_is_aborted_if_a_call_cannot_be_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(running: scripted_logs.RunningNode) -> None:
        transport, _, link = _call(running, monkeypatch)
        (attempt,) = running.state.attempts
        link._handle(_answer(attempt, whole=False))
        monkeypatch.setattr(ingress.CallerConnection, "_write", _raise)
        monkeypatch.setattr(ingress.CallerConnection, "close", _raise)
        assert not link._handle(frames.Chunk(call=attempt, body=b"C", last=False))
        assert link._transport.is_closing()
        assert transport.closed
        monkeypatch.undo()

    scripted_logs.run_started(monkeypatch, check)


# Guards against a body with a hole that the backend server takes as complete.
def test_a_call_that_lost_a_piece_of_its_body_is_broken_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(running: scripted_logs.RunningNode) -> None:
        home = running.node.home
        channel = typing.cast(links.Channel, _Channel())
        hosted = ids.HostedId(77)
        exchange = _Exchange(channel, 5)
        channel.hosted[5] = hosted
        home._exchanges[hosted] = exchange  # type: ignore[assignment]
        for body in (b"AA", b"BB", b"CC"):
            home.on_frame(channel, frames.Chunk(call=5, body=body, last=body == b"CC"))
        assert exchange.ends == ["broken off"]
        assert exchange.pieces == [b"AA"]
        assert not channel.hosted
        assert not home._exchanges

    scripted_logs.run_started(monkeypatch, check)


class _Exchange:
    """An exchange whose second piece cannot be written."""

    body_whole = False

    def __init__(self, channel: links.Channel, call: int) -> None:
        self.channel = channel
        self.call = call
        self.pieces: list[bytes] = []
        self.ends: list[str] = []

    def on_chunk(self, chunk: frames.Chunk) -> None:
        if chunk.body == b"BB":
            raise MemoryError
        self.pieces.append(chunk.body)

    def break_off(self) -> None:
        self.ends.append("broken off")

    def detach(self) -> None:
        return

    def fail(self) -> None:
        self.ends.append("failed")


def test_a_call_that_cannot_be_opened_is_broken_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(running: scripted_logs.RunningNode) -> None:
        home = running.node.home
        channel = _Channel()
        monkeypatch.setattr(home, "_on_open", _raise)
        opened = frames.Open(
            call=5, terms=builders.call_metadata(), head=b"", body=b"", whole=True
        )
        before = supervision.errors_by_part().get("home", 0)
        home.on_frame(typing.cast(links.Channel, channel), opened)
        assert [type(frame) for frame in channel.sent] == [frames.Broken]
        assert supervision.errors_by_part()["home"] == before + 1

    scripted_logs.run_started(monkeypatch, check)
