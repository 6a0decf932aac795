"""The log service on the fake clock: ordered records, keys, and its faults."""

import collections.abc
import dataclasses
import typing

import msgspec

from gingerturn import log_service
from gingerturn.internal import ids
from gingerturn.internal.core import effects, events
from gingerturn_fakes import parts

if typing.TYPE_CHECKING:
    from gingerturn_fakes import world as worlds

HOLD_MS = 1_000.0
KEYED_HOLD_MS = 15_000.0
"""What a read asks for that does not say how long it is to wait, by the settings of a
node with a log of its own form and of one whose log keeps keys."""

Replier = collections.abc.Callable[[events.Event], None]

NEWS_EVERY_MS = 20.0
"""How often a read that the log holds open is looked at."""

Finder = collections.abc.Callable[[float], events.Event]
"""Returns what a read finds, given how long it was surely held open."""


@dataclasses.dataclass(frozen=True)
class Copy:
    """What a log held at some time: records by stream, and the newest of each key."""

    streams: dict[str, list[bytes]]
    newest: dict[str, dict[str, bytes]]


@dataclasses.dataclass
class FakeLog:
    """The log service.

    :param down: nothing is taken or read.
    :param silent: reads are taken and never answered; readers give up in the end.
    :param hold_ms: how long reads ask it to wait for news that do not say so.
    :param refuses: nodes whose reads fail while those of others are served.
    :param epoch: how often it was restored from a backup; told with each answer.
    :param keeps_connections: reads that are held open outlast a restoration.
    :param lose_acks: the next so many appends take effect but fail.
    """

    streams: dict[str, list[bytes]] = dataclasses.field(default_factory=dict)
    newest: dict[str, dict[str, bytes]] = dataclasses.field(default_factory=dict)
    down: bool = False
    silent: bool = False
    hold_ms: float = HOLD_MS
    refuses: set[str] = dataclasses.field(default_factory=set)
    lose_acks: int = 0
    delay_ms: float = 2.0
    appends: int = 0
    epoch: int = 1
    keeps_connections: bool = False

    def put(self, stream: str, key: str, record: bytes) -> None:
        """Append a record under a key; an empty one drops the key."""
        self.streams.setdefault(stream, []).append(record)
        keys = self.newest.setdefault(stream, {})
        keys.pop(key, None)
        if record:
            keys[key] = record

    def copy(self) -> Copy:
        """Return what the log holds at present."""
        streams = {name: list(records) for name, records in self.streams.items()}
        newest = {name: dict(records) for name, records in self.newest.items()}
        return Copy(streams, newest)

    def restore(self, copy: Copy) -> None:
        """Go back to a backup: what was taken since is gone."""
        self.streams = {name: list(records) for name, records in copy.streams.items()}
        self.newest = {name: dict(records) for name, records in copy.newest.items()}
        self.epoch += 1


def append(world: "worlds.World", node: parts.FakeNode, effect: effects.Append) -> None:
    """Append a record."""

    def done() -> events.Event:
        stream = world.log.streams.setdefault(effect.stream, [])
        stream.append(effect.record)
        return events.AppendDone(
            now=world.now,
            append=effect.append,
            offset=len(stream) - 1,
            epoch=ids.LogEpoch(world.log.epoch),
        )

    def failed(certain: bool) -> events.Event:
        return events.AppendFailed(now=world.now, append=effect.append, certain=certain)

    _write(world, node, done, failed)


def put(world: "worlds.World", node: parts.FakeNode, effect: effects.PutRecord) -> None:
    """Put a record under a key."""

    def done() -> events.Event:
        world.log.put(effect.stream, effect.key, effect.record)
        epoch = ids.LogEpoch(world.log.epoch)
        return events.PutDone(now=world.now, put=effect.put, epoch=epoch)

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
    asked = world.now

    def found(held_ms: float) -> events.Event:
        stream = world.log.streams.get(effect.stream, [])
        if effect.offset > len(stream):
            return events.LogRead(
                now=world.now,
                stream=effect.stream,
                first=0,
                records=(),
                oldest=0,
                end=0,
                requested_at=asked,
                extra=effect.extra,
                missing=True,
                generation=effect.generation,
                epoch=ids.LogEpoch(world.log.epoch),
            )
        return events.LogRead(
            now=world.now,
            stream=effect.stream,
            first=effect.offset,
            records=tuple(stream[effect.offset : effect.offset + 500]),
            oldest=0,
            end=len(stream),
            requested_at=asked,
            held_open_ms=held_ms,
            extra=effect.extra,
            generation=effect.generation,
            epoch=ids.LogEpoch(world.log.epoch),
        )

    hold_ms = (effect.long_poll_ms or world.log.hold_ms) if effect.wait else 0.0
    _read(world, node, effect, found, hold_ms=hold_ms)


def read_newest(
    world: "worlds.World", node: parts.FakeNode, effect: effects.ReadNewest
) -> None:
    """Read the newest record of each key."""
    asked = world.now

    def found(_: float) -> events.Event:
        return events.NewestRead(
            now=world.now,
            stream=effect.stream,
            records=tuple(world.log.newest.get(effect.stream, {}).values()),
            end=len(world.log.streams.get(effect.stream, [])),
            requested_at=asked,
            generation=effect.generation,
            epoch=ids.LogEpoch(world.log.epoch),
        )

    _read(world, node, effect, found)


def _read(
    world: "worlds.World",
    node: parts.FakeNode,
    effect: effects.ReadLog | effects.ReadNewest,
    found: Finder,
    *,
    hold_ms: float = 0.0,
) -> None:
    """Answer a read: at once, or with news while the log holds it open for them."""
    log = world.log
    epoch = log.epoch
    incarnation = node.incarnation
    extra = isinstance(effect, effects.ReadLog) and effect.extra
    until = world.now + log.delay_ms + hold_ms

    def fail() -> None:
        if node.incarnation == incarnation:
            event = events.LogReadFailed(
                now=world.now,
                stream=effect.stream,
                extra=extra,
                generation=effect.generation,
            )
            world.apply(node.name, event)

    def arrive() -> None:
        if node.incarnation != incarnation:
            return
        if log.silent:
            world.at(max(0.0, until - world.now) + log_service.READ_TIMEOUT_MS, fail)
            return
        is_cut = log.epoch != epoch and not log.keeps_connections
        if log.down or is_cut or node.name in log.refuses:
            fail()
            return
        event = found(hold_ms if world.now >= until else 0.0)
        is_read = isinstance(event, events.LogRead) and not event.missing
        no_news = is_read and not event.records
        if no_news and world.now < until:
            world.at(min(NEWS_EVERY_MS, until - world.now), arrive)
            return
        world.apply(node.name, event)

    world.at(log.delay_ms, arrive)
