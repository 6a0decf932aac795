"""The log service on the fake clock: ordered records, keys, and its faults."""

import collections.abc
import dataclasses
import typing

import msgspec

from gingerturn.internal.core import effects, events
from gingerturn_fakes import parts

if typing.TYPE_CHECKING:
    from gingerturn_fakes import world as worlds

GIVEN_UP_MS = 17_000.0
"""The longest wait of a read and the time that an answer may take."""

Replier = collections.abc.Callable[[events.Event], None]

POLL_MS = 20.0
"""A read that waits polls: this delay stands for the long poll."""


@dataclasses.dataclass
class FakeLog:
    """The log service.

    :param down: nothing is taken or read.
    :param silent: reads are taken and never answered; readers give up after
        :data:`GIVEN_UP_MS`.
    :param lose_acks: the next so many appends take effect but fail.
    """

    streams: dict[str, list[bytes]] = dataclasses.field(default_factory=dict)
    newest: dict[str, dict[str, bytes]] = dataclasses.field(default_factory=dict)
    down: bool = False
    silent: bool = False
    lose_acks: int = 0
    delay_ms: float = 2.0
    appends: int = 0

    def put(self, stream: str, key: str, record: bytes) -> None:
        """Append a record under a key; an empty one drops the key."""
        self.streams.setdefault(stream, []).append(record)
        keys = self.newest.setdefault(stream, {})
        keys.pop(key, None)
        if record:
            keys[key] = record


def append(world: "worlds.World", node: parts.FakeNode, effect: effects.Append) -> None:
    """Append a record."""

    def done() -> events.Event:
        stream = world.log.streams.setdefault(effect.stream, [])
        stream.append(effect.record)
        return events.AppendDone(
            now=world.now, append=effect.append, offset=len(stream) - 1
        )

    def failed(certain: bool) -> events.Event:
        return events.AppendFailed(now=world.now, append=effect.append, certain=certain)

    _write(world, node, done, failed)


def put(world: "worlds.World", node: parts.FakeNode, effect: effects.PutRecord) -> None:
    """Put a record under a key."""

    def done() -> events.Event:
        world.log.put(effect.stream, effect.key, effect.record)
        return events.PutDone(now=world.now, put=effect.put)

    def failed(certain: bool) -> events.Event:
        return events.PutFailed(now=world.now, put=effect.put)

    _write(world, node, done, failed)


def _write(
    world: "worlds.World",
    node: parts.FakeNode,
    done: collections.abc.Callable[[], events.Event],
    failed: collections.abc.Callable[[bool], events.Event],
) -> None:
    log = world.log
    log.appends += 1
    incarnation = node.incarnation

    def reply(event: events.Event) -> None:
        if node.incarnation == incarnation:
            world.apply(node.name, msgspec.structs.replace(event, now=world.now))

    def arrive() -> None:
        if log.down:
            event = failed(True)
        else:
            event = done()
            if log.lose_acks > 0:
                log.lose_acks -= 1
                event = failed(False)
        world.at(log.delay_ms, lambda: reply(event))

    world.at(log.delay_ms, arrive)


def read(world: "worlds.World", node: parts.FakeNode, effect: effects.ReadLog) -> None:
    """Read records from an offset."""

    def found() -> events.Event:
        stream = world.log.streams.get(effect.stream, [])
        return events.LogRead(
            now=world.now,
            stream=effect.stream,
            first=effect.offset,
            records=tuple(stream[effect.offset : effect.offset + 500]),
            oldest=0,
            end=len(stream),
        )

    _read(world, node, effect.stream, found, POLL_MS if effect.wait else 0.0)


def read_newest(
    world: "worlds.World", node: parts.FakeNode, effect: effects.ReadNewest
) -> None:
    """Read the newest record of each key."""

    def found() -> events.Event:
        return events.NewestRead(
            now=world.now,
            stream=effect.stream,
            records=tuple(world.log.newest.get(effect.stream, {}).values()),
            end=len(world.log.streams.get(effect.stream, [])),
        )

    _read(world, node, effect.stream, found, 0.0)


def _read(
    world: "worlds.World",
    node: parts.FakeNode,
    stream: str,
    found: collections.abc.Callable[[], events.Event],
    poll_ms: float,
) -> None:
    incarnation = node.incarnation

    def give_up() -> None:
        if node.incarnation == incarnation:
            event = events.LogReadFailed(now=world.now, stream=stream)
            world.apply(node.name, event)

    def arrive() -> None:
        if node.incarnation != incarnation:
            return
        event: events.Event
        if world.log.silent:
            world.at(GIVEN_UP_MS, give_up)
            return
        if world.log.down:
            event = events.LogReadFailed(now=world.now, stream=stream)
        else:
            event = found()
        world.apply(node.name, event)

    world.at(world.log.delay_ms + poll_ms, arrive)
