"""A node on a log service whose calls fail as a test says, with a clock of the test."""

import asyncio
import collections
import collections.abc

import msgspec
import pytest

from gingerturn import log_service, settings
from gingerturn.internal.core import messages, readiness
from gingerturn.internal.shell import clock, node as nodes
from tests.common import builders, routed

START = builders.START
STEP_MS = 50.0
LOOP_TURNS = 6

Failure = Exception | None
Script = collections.abc.Callable[[], Failure]


async def never() -> None:
    """Never return."""
    await asyncio.Event().wait()


class Log:
    """A log service whose streams hold one table and one other member.

    :param failures: by the name of a method and a stream, errors of the next calls; the
        last one is repeated if it is in ``lasting``.
    :param silent: methods and streams whose calls never return.
    :param calls: number of calls, by method and stream.
    """

    def __init__(self) -> None:
        self.failures: dict[tuple[str, str], list[Exception]] = {}
        self.lasting: set[tuple[str, str]] = set()
        self.silent: set[tuple[str, str]] = set()
        self.calls: collections.Counter[tuple[str, str]] = collections.Counter()
        self.version = 1
        self._changed = asyncio.Event()
        self.members: list[messages.JoinRecord] = []

    async def read(
        self, stream: str, offset: int, wait: log_service.Wait = log_service.LONG_POLL
    ) -> log_service.Records:
        await self._call("read", stream)
        while wait.is_long_poll and offset >= self.version:
            self._changed.clear()
            await self._changed.wait()
        if offset >= self.version:
            return log_service.Records(offset, 0, self.version, ())
        first = self.version - 1
        contents = self._contents(stream)
        return log_service.Records(first, 0, self.version, tuple(contents))

    def publish(self) -> None:
        """Append the next version of the table."""
        self.version += 1
        self._changed.set()

    async def append(self, stream: str, record: bytes) -> log_service.Appended:
        await self._call("append", stream)
        return log_service.Appended(1)

    async def newest(self, stream: str) -> log_service.Newest:
        await self._call("newest", stream)
        return log_service.Newest(tuple(self._contents(stream)), self.version)

    async def put(self, stream: str, key: str, record: bytes) -> log_service.Appended:
        await self._call("put", stream)
        return log_service.Appended(1)

    async def close(self) -> None:
        return

    def _contents(self, stream: str) -> list[bytes]:
        if stream == "routes":
            table = routed.table(version=self.version)
            return [messages.encode_record(table)]
        return [messages.encode_record(record) for record in self.members]

    async def _call(self, method: str, stream: str) -> None:
        call = (method, stream)
        self.calls[call] += 1
        if call in self.silent:
            await never()
        waiting = self.failures.get(call)
        if waiting:
            raise waiting[0] if call in self.lasting else waiting.pop(0)


def routed_settings() -> settings.Settings:
    """Return settings of a node with routes on a keyed log."""
    plain = builders.settings()
    return msgspec.structs.replace(
        plain,
        log=settings.Log(url="http://127.0.0.1:1", keyed=True),
        routing=settings.Routing(table=True),
    )


class RunningNode:
    """A node that runs without a network.

    :param log: its log service.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, log: Log | None = None) -> None:
        self.log = log or Log()
        self.now = START
        monkeypatch.setattr(clock, "now", lambda: self.now)
        self.node = nodes.Node(routed_settings(), log=self.log)
        self.state = self.node.state

    @property
    def is_ready(self) -> bool:
        return readiness.is_ready(self.state)

    def begin(self) -> None:
        """Start the node, except for its addresses."""
        self.node.apply(self.node._started)
        self.node._begun = True
        self.node.descriptors.hold()

    async def advance(self, elapsed_ms: float) -> None:
        """Let time pass, in steps, and let tasks run at each of them."""
        ends_at = self.now + elapsed_ms
        while self.now < ends_at:
            await self.settle()
            self.now += STEP_MS
            self.node._tick()
        await self.settle()

    async def settle(self) -> None:
        """Let tasks run until they wait for the clock or the log."""
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)

    async def close(self) -> None:
        await self.node.close()


Check = collections.abc.Callable[[RunningNode], collections.abc.Awaitable[None]]

SETTLED_MS = 2_000.0
"""Time after its start in which a node has read its log."""


def run_started(monkeypatch: pytest.MonkeyPatch, check: Check) -> None:
    """Run a check against a node that has started and read its log."""

    async def run() -> None:
        running = RunningNode(monkeypatch)
        running.begin()
        try:
            await running.advance(SETTLED_MS)
            await check(running)
        finally:
            monkeypatch.undo()
            await running.node.close()

    asyncio.run(run())
