"""Errors that nothing caught: what they end, what goes on, and who is told."""

import asyncio
import collections.abc
import socket
import typing

import pytest
import uvloop

from gingerturn.internal.core import effects, events, reducer, streams
from gingerturn.internal.shell import (
    acknowledgements,
    daemon,
    descriptors,
    entry,
    ingress,
    listeners,
    supervision,
)
from tests.common import builders, scripted_logs, transports

GET = b"GET /a/x HTTP/1.1\r\nhost: shop.example\r\n\r\n"

pytestmark = pytest.mark.unhandled_errors


def _raise(*arguments: typing.Any, **options: typing.Any) -> typing.NoReturn:
    raise KeyError("value")


class _Once:
    """Raises an error when it is first called, and calls a function afterwards."""

    def __init__(self, function: typing.Any = None) -> None:
        self._function = function
        self.calls = 0

    def __call__(self, *arguments: typing.Any, **options: typing.Any) -> typing.Any:
        self.calls += 1
        if self.calls == 1:
            raise KeyError("value")
        return None if self._function is None else self._function(*arguments, **options)


def _caller(running: scripted_logs.RunningNode) -> transports.Transport:
    connection = ingress.CallerConnection(running.node)
    transport = transports.Transport()
    connection.connection_made(transport)  # type: ignore[arg-type]
    connection.data_received(GET)
    return transport


# Guards against one error in a tick that ends all timers of a node.
@pytest.mark.parametrize("part", ["admission", "membership", "pollers"])
def test_ticks_go_on_after_an_error_in_a_part_of_the_core(
    monkeypatch: pytest.MonkeyPatch, part: str
) -> None:
    async def check(running: scripted_logs.RunningNode) -> None:
        failing = _Once()
        monkeypatch.setitem(reducer._TIMER_HANDLERS, part, failing)
        before = supervision.errors_by_part().get("events", 0)
        await running.advance(1_000.0)
        assert failing.calls > 1
        assert supervision.errors_by_part()["events"] == before + 1
        assert running.node._ticker is not None
        assert not running.node._ticker.cancelled()

    scripted_logs.run_started(monkeypatch, check)


# Guards against a part that always fails and keeps others from running.
def test_other_parts_and_reads_go_on_beside_one_that_always_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        for part in ("admission", "membership"):
            monkeypatch.setitem(reducer._TIMER_HANDLERS, part, _raise)
        running = scripted_logs.RunningNode(monkeypatch)
        running.log.failures["newest", "routes"] = [KeyError("value")]
        running.begin()
        await running.advance(4_000.0)
        assert running.is_ready
        running.log.publish()
        await running.advance(2_000.0)
        assert running.state.routes is not None
        assert running.state.routes.version == running.log.version
        await running.close()

    asyncio.run(run())


# Guards against a request without an answer as its deadline met an error.
def test_a_request_whose_deadline_fails_ends_soon_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(running: scripted_logs.RunningNode) -> None:
        builders.add_members(running.state, builders.member("home", "plans"))
        carrier = _Carrier()
        monkeypatch.setattr(running.node.links, "carrier", lambda *_: carrier)
        monkeypatch.setattr(reducer.calls, "on_deadline", _raise)
        transport = _caller(running)
        (call,) = running.state.calls.values()
        await running.advance(call.deadline - running.now + 5_000.0)
        assert not transport.closed
        await running.advance(entry.OVERDUE_AFTER_MS)
        assert transport.closed
        assert not running.state.calls
        assert not running.node.entry._requests

    scripted_logs.run_started(monkeypatch, check)


class _Carrier:
    """A way to a home node that never answers."""

    def send(self, frame: object) -> None:
        return

    def forget(self, call: int) -> None:
        return


def test_ticks_go_on_after_an_error_beside_the_core(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(running: scripted_logs.RunningNode) -> None:
        node = running.node
        monkeypatch.setattr(node.lingering, "check", _raise)
        for _ in range(20):
            await running.advance(100.0)
        assert node._ticker is not None
        assert node._tick_at < running.now + 1_000.0

    scripted_logs.run_started(monkeypatch, check)


# Guards against effects and events behind an effect that fails.
def test_an_effect_that_fails_leaves_the_others_and_the_queue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(running: scripted_logs.RunningNode) -> None:
        seen: list[str] = []
        node = running.node
        out = [
            effects.WriteLog(level="INFO", part="node", text="first"),
            effects.ReadNewest(stream=streams.MEMBERS),
        ]
        applied: list[events.Event] = []

        def apply(state: typing.Any, event: events.Event, found: typing.Any) -> None:
            applied.append(event)
            if isinstance(event, events.SettingsChanged):
                found.extend(out)

        monkeypatch.setattr(reducer, "apply", apply)
        monkeypatch.setitem(node._handlers, effects.WriteLog, _raise)
        monkeypatch.setitem(
            node._handlers, effects.ReadNewest, lambda effect: seen.append("read")
        )
        node.apply(events.SettingsChanged(now=running.now, retry_bound=None))
        assert seen == ["read"]
        node.apply(events.Tick(now=running.now))
        assert [type(event) for event in applied] == [
            events.SettingsChanged,
            events.Tick,
        ]

    scripted_logs.run_started(monkeypatch, check)


# Guards against a call whose arrival fails and whose caller gets no answer.
def test_a_request_whose_arrival_fails_is_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(running: scripted_logs.RunningNode) -> None:
        monkeypatch.setitem(reducer._HANDLERS, events.CallArrived, _raise)
        transport = _caller(running)
        assert transport.written.startswith(b"HTTP/1.1 503 ")
        assert not running.state.calls
        assert not running.node.entry._requests

    scripted_logs.run_started(monkeypatch, check)


def test_a_request_whose_dispatch_fails_is_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(running: scripted_logs.RunningNode) -> None:
        monkeypatch.setattr(ingress.caller_requests, "fingerprint", _raise)
        transport = _caller(running)
        assert transport.written.startswith(b"HTTP/1.1 503 ")
        assert not running.state.calls

    scripted_logs.run_started(monkeypatch, check)


def test_a_request_whose_head_fails_is_refused_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(running: scripted_logs.RunningNode) -> None:
        monkeypatch.setattr(ingress.caller_requests, "framing_problem", _raise)
        transport = _caller(running)
        assert transport.written.startswith(b"HTTP/1.1 503 ")
        assert transport.closed

    scripted_logs.run_started(monkeypatch, check)


def test_a_request_whose_attempt_cannot_be_sent_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(running: scripted_logs.RunningNode) -> None:
        builders.add_members(running.state, builders.member("home", "plans"))
        monkeypatch.setattr(running.node.links, "carrier", _raise)
        transport = _caller(running)
        await running.advance(2_000.0)
        assert transport.written.startswith(b"HTTP/1.1 503 ")
        assert not running.state.calls

    scripted_logs.run_started(monkeypatch, check)


# Guards against an answer of the log that cannot be applied and is not read again.
@pytest.mark.parametrize("stream", [streams.MEMBERS, streams.ROUTES])
def test_an_answer_that_cannot_be_applied_is_read_again_at_growing_intervals(
    monkeypatch: pytest.MonkeyPatch, stream: str
) -> None:
    original = streams.on_base_read
    failing = True

    def on_base_read(
        state: typing.Any, read: typing.Any, **options: typing.Any
    ) -> None:
        original(state, read, **options)
        if failing and read.name == stream:
            raise RecursionError

    async def run() -> None:
        nonlocal failing
        monkeypatch.setattr(streams, "on_base_read", on_base_read)
        running = scripted_logs.RunningNode(monkeypatch)
        running.begin()
        await running.advance(20_000.0)
        call = ("newest", stream)
        reads = running.log.calls[call]
        assert 10 <= reads <= 20_000.0 / (streams.KEYED_RETRY_MAX_MS / 2)
        failing = False
        await running.advance(2 * streams.KEYED_RETRY_MAX_MS)
        read_again = running.log.calls[call]
        assert read_again > reads
        assert running.is_ready
        await running.close()

    asyncio.run(run())


# Guards against errors of datagrams that reach the event loop.
def test_datagrams_are_received_after_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        running = scripted_logs.RunningNode(monkeypatch)
        running.begin()
        receiving = _Once(running.node.gossip._receive)
        monkeypatch.setattr(running.node.gossip, "_receive", receiving)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(("127.0.0.1", 0))
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(supervision.on_loop_error)
        await loop.create_datagram_endpoint(lambda: running.node.gossip, sock=sock)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(3):
                sender.sendto(b"x", sock.getsockname())
        async with asyncio.timeout(10.0):
            while receiving.calls < 3:
                await asyncio.sleep(0.01)
        await running.close()

    _uv(run())


def _uv(main: collections.abc.Coroutine[typing.Any, typing.Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)


# Guards against an address at which nothing is accepted any more, and against an event
# loop that is kept busy by the same error.
def test_connections_are_accepted_after_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        sock = listeners.bind("127.0.0.1", 0, socket.SOCK_STREAM)
        sock.listen(8)
        reserve = descriptors.Reserve(lambda: 0, lambda: 0)
        reserve.hold()
        acceptor = listeners.Acceptor(sock, asyncio.Protocol, reserve, False)
        failing = _Once(acceptor._begin)
        monkeypatch.setattr(acceptor, "_begin", failing)
        for _ in range(2):
            reader, writer = await asyncio.open_connection(*sock.getsockname())
            writer.close()
        async with asyncio.timeout(10.0):
            while failing.calls < 2:
                await asyncio.sleep(0.01)
        acceptor.close()
        reserve.close()

    _uv(run())


def test_a_shortage_of_descriptors_ends_after_an_error() -> None:
    async def run() -> None:
        make_room = _Once(lambda: 0)
        reserve = descriptors.Reserve(lambda: 0, lambda: 0)
        reserve.hold()
        resumed: list[bool] = []
        failing = _Once(reserve._hold_again)
        reserve._hold_again = failing  # type: ignore[method-assign]
        reserve.begin_shortage(make_room)
        reserve.begin_shortage(lambda: resumed.append(True))
        async with asyncio.timeout(10.0):
            while not resumed:
                await asyncio.sleep(0.01)
        assert failing.calls >= 2
        reserve.close()

    asyncio.run(run())


class _Watched(acknowledgements.Watched):
    """A watched connection whose check is that of the test."""

    def __init__(self, check: collections.abc.Callable[[], bool]) -> None:
        self._is_reported = True
        self.check = check  # type: ignore[method-assign]


def test_connections_are_watched_beside_one_that_cannot_be_checked() -> None:
    async def run() -> None:
        checks: list[bool] = []
        watch = acknowledgements.Watch()

        def check() -> bool:
            checks.append(True)
            return len(checks) < 3

        for watched in (_Watched(_raise), _Watched(check), _Watched(_raise)):
            watch.add(watched)
        async with asyncio.timeout(10.0):
            while len(checks) < 3:
                await asyncio.sleep(0.01)

    asyncio.run(run())


def test_the_settings_are_watched_after_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        monkeypatch.setattr(daemon, "SETTINGS_POLL_S", 0.01)
        source = _Source()
        running = scripted_logs.RunningNode(monkeypatch)
        running.begin()
        reloaded: list[object] = []
        monkeypatch.setattr(running.node, "reload", reloaded.append)
        task = asyncio.get_running_loop().create_task(
            daemon._watch(running.node, typing.cast(daemon.Source, source))
        )
        async with asyncio.timeout(10.0):
            while not reloaded:
                await asyncio.sleep(0.01)
        task.cancel()
        await running.close()

    asyncio.run(run())


class _Source:
    """Settings that cannot be read the first two times."""

    def __init__(self) -> None:
        self.changed = _Once(lambda: True)
        self.load = _Once(object)


# Guards against an error in the report of an error, as some have no message.
def test_errors_that_reach_the_event_loop_are_counted() -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        before = supervision.errors_by_part().get("event loop", 0)
        supervision.on_loop_error(loop, {"exception": KeyError("value")})
        supervision.on_loop_error(loop, {"message": "socket.send() raised"})
        assert supervision.errors_by_part()["event loop"] == before + 2

    asyncio.run(run())


def test_the_log_of_an_error_names_task_and_subject_within_bounds(
    capsys: pytest.CaptureFixture[str],
) -> None:
    class Unprintable(Exception):
        def __repr__(self) -> str:
            raise RecursionError

    before = supervision.errors_by_part().get("log", 0)
    for number in range(1_000):
        supervision.record("log", KeyError("k" * 100_000), subject="s" * 100_000)
        supervision.record("log", Unprintable(number), subject="read members")
    assert supervision.errors_by_part()["log"] == before + 2_000
    assert len(capsys.readouterr().err) < 200_000
