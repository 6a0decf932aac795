"""A request that is answered as not run after an error is never sent."""

import asyncio
import re
import sys
import types
import typing

import pytest

from gingerturn.internal.core import effects, events, messages, reducer, sending
from gingerturn.internal.shell import ingress
from gingerturn.internal.wire import frames
from tests.common import builders, scripted_logs, transports

MAX_POINTS = 2_000

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

    @property
    def paths(self) -> set[str]:
        """Paths of the calls that were sent."""
        opened = [frame for frame in self.sent if isinstance(frame, frames.Open)]
        return {frame.head.split(b" ")[1].decode() for frame in opened}


class _FailingAt:
    """Raises an error in the call of the function with a number.

    :param point: number of the function, among those of the program.
    """

    def __init__(self, point: int) -> None:
        self.left = point

    def __call__(self, frame: types.FrameType, event: str, argument: object) -> None:
        if event != "call" or "gingerturn/internal" not in frame.f_code.co_filename:
            return
        self.left -= 1
        if self.left == 0:
            sys.setprofile(None)
            raise MemoryError


def _request(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nhost: shop.example\r\n\r\n".encode()


def _connection(
    running: scripted_logs.RunningNode,
) -> tuple[ingress.CallerConnection, transports.Transport]:
    connection = ingress.CallerConnection(running.node)
    transport = transports.Transport()
    connection.connection_made(transport)  # type: ignore[arg-type]
    return connection, transport


def _send_failing(
    running: scripted_logs.RunningNode, path: str, point: int, *, is_behind: bool
) -> tuple[bytes, bool]:
    """Send a request that meets an error.

    :param is_behind: another request of its connection waits for its answer.
    :return: its answer, and whether the error was met.
    """
    connection, transport = _connection(running)
    if is_behind:
        connection.data_received(_request("/a/before"))
        running.node._tick_at = float("inf")
    failing = _FailingAt(point)
    sys.setprofile(failing)
    try:
        connection.data_received(_request(path))
    except MemoryError:
        transport.close()
        connection.connection_lost(None)
    finally:
        sys.setprofile(None)
    held = [piece for r in connection._requests for piece in r.held_output]
    return bytes(transport.written) + b"".join(held), failing.left <= 0


def _send_waiting(running: scripted_logs.RunningNode) -> None:
    """Send the calls that waited for a home node."""
    builders.add_members(running.state, builders.member("home", "plans"))
    out: list[effects.Effect] = []
    for call in list(running.state.calls.values()):
        sending.begin(running.state, call, out)
    for effect in out:
        running.node._carry_out(effect)


# Guards against a request that runs after its caller has read that it did not run.
@pytest.mark.parametrize("has_home", [True, False])
@pytest.mark.parametrize("is_behind", [True, False])
def test_what_is_answered_as_not_run_is_never_sent_wherever_its_dispatch_fails(
    monkeypatch: pytest.MonkeyPatch, has_home: bool, is_behind: bool
) -> None:
    async def run() -> None:
        running = scripted_logs.RunningNode(monkeypatch)
        running.begin()
        await running.advance(2_000.0)
        carrier = _Carrier()
        monkeypatch.setattr(running.node.links, "carrier", lambda *_: carrier)
        if has_home:
            builders.add_members(running.state, builders.member("home", "plans"))
        refused = set()
        for point in range(1, MAX_POINTS):
            running.node._tick_at = float("inf")
            answer, is_met = _send_failing(
                running, f"/a/{point}", point, is_behind=is_behind
            )
            if answer.startswith(b"HTTP/1.1 503 "):
                refused.add(f"/a/{point}")
            if not is_met:
                break
        assert point < MAX_POINTS - 1
        assert len(refused) > 10
        if not has_home:
            _send_waiting(running)
        await running.advance(3_000.0)
        assert carrier.paths
        assert not refused & carrier.paths
        monkeypatch.undo()
        await running.node.close()

    asyncio.run(run())


# Guards against two answers to one request, which the caller takes for the next one's.
def test_a_request_that_was_refused_behind_another_is_answered_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        running = scripted_logs.RunningNode(monkeypatch)
        running.begin()
        await running.advance(500.0)
        node = running.node
        carrier = _Carrier()
        monkeypatch.setattr(node.links, "carrier", lambda *_: carrier)
        connection, transport = _connection(running)
        connection.data_received(_request("/a/x"))
        with monkeypatch.context() as failing:
            failing.setattr(node, "_schedule_tick", _raise)
            failing.setattr(node, "_tick_at", float("inf"))
            connection.data_received(_request("/a/y"))
        _send_waiting(running)
        assert "/a/y" not in carrier.paths
        for frame in list(carrier.sent):
            if isinstance(frame, frames.Open):
                node.links.on_link_frame(_answer(frame.call))
        assert len(re.findall(rb"HTTP/1.1 \d+", transport.written)) <= 2
        monkeypatch.undo()
        await node.close()

    asyncio.run(run())


def _raise(*arguments: typing.Any, **options: typing.Any) -> typing.NoReturn:
    raise KeyError("value")


def _answer(call: int) -> frames.Answer:
    return frames.Answer(
        call=call,
        status=200,
        tokens=0,
        report=REPORT,
        decision="",
        head=b"HTTP/1.1 200 OK\r\n",
        body=b"",
        whole=True,
    )


# Guards against "not run" of a request whose attempt was sent, and is lost already.
def test_a_request_whose_lost_attempt_was_sent_is_not_answered_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        running = scripted_logs.RunningNode(monkeypatch)
        running.begin()
        await running.advance(2_000.0)
        node = running.node
        builders.add_members(running.state, builders.member("home", "plans"))
        carrier = _Carrier()
        monkeypatch.setattr(node.links, "carrier", lambda *_: carrier)
        original = reducer._HANDLERS[events.CallArrived]

        def lost(frame: frames.Frame) -> None:
            carrier.sent.append(frame)
            node.entry._attempts.pop(frame.call)

        def arrive(state: typing.Any, event: typing.Any, out: typing.Any) -> None:
            original(state, event, out)
            raise KeyError("value")

        monkeypatch.setattr(carrier, "send", lost)
        monkeypatch.setitem(reducer._HANDLERS, events.CallArrived, arrive)
        connection, transport = _connection(running)
        connection.data_received(_request("/a/x"))
        assert carrier.paths == {"/a/x"}
        assert not transport.written
        assert transport.closed
        assert not running.state.calls
        monkeypatch.undo()
        await node.close()

    asyncio.run(run())
