"""A fake log service on the fake clock: ordered records, keys and faults."""

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

LONG_POLL_MS = 1_000.0
KEYED_LONG_POLL_MS = 15_000.0
"""Long poll of reads that name none, for a log without keys and for one that keeps
keys."""

Replier = collections.abc.Callable[[events.Event], None]

LONG_POLL_STEP_MS = 20.0
"""Interval at which a long poll looks for new records."""

ReadFunction = collections.abc.Callable[[float], events.Event]
"""Returns the result of a read, given how long it was held open at least."""


@dataclasses.dataclass(frozen=True)
class Copy:
    """A backup: records by stream, and the newest record of each key."""

    streams: dict[str, list[bytes]]
    newest: dict[str, dict[str, bytes]]


@dataclasses.dataclass
class FakeLog:
    """The log service.

    :param down: writes and reads fail.
    :param silent: reads are never answered; readers time out.
    :param long_poll_ms: long poll of reads that name none.
    :param refused_nodes: nodes whose reads fail while those of others are served.
    :param silent_nodes: nodes whose reads are never answered.
    :param epoch: rises with each restoration from a backup; part of each answer.
    :param keeps_long_polls: long polls outlast a restoration.
    :param lose_acks: number of following writes that take effect and yet fail.
    """

    streams: dict[str, list[bytes]] = dataclasses.field(default_factory=dict)
    newest: dict[str, dict[str, bytes]] = dataclasses.field(default_factory=dict)
    down: bool = False
    silent: bool = False
    long_poll_ms: float = LONG_POLL_MS
    refused_nodes: set[str] = dataclasses.field(default_factory=set)
    silent_nodes: set[str] = dataclasses.field(default_factory=set)
    lose_acks: int = 0
    delay_ms: float = 2.0
    appends: int = 0
    epoch: int = 1
    keeps_long_polls: bool = False

    def put(self, stream: str, key: str, record: bytes) -> None:
        """Append a record under a key; an empty one deletes the key."""
        self.streams.setdefault(stream, []).append(record)
        keys = self.newest.setdefault(stream, {})
        keys.pop(key, None)
        if record:
            keys[key] = record

    def copy(self) -> Copy:
        """Return a backup of the log."""
        streams = {name: list(records) for name, records in self.streams.items()}
        newest = {name: dict(records) for name, records in self.newest.items()}
        return Copy(streams, newest)

    def restore(self, copy: Copy) -> None:
        """Restore a backup; records written since are lost."""
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
    requested_at = world.now

    def result(held_ms: float) -> events.Event:
        stream = world.log.streams.get(effect.stream, [])
        if effect.offset > len(stream):
            return events.LogRead(
                now=world.now,
                stream=effect.stream,
                first=0,
                records=(),
                oldest=0,
                end=0,
                requested_at=requested_at,
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
            requested_at=requested_at,
            held_open_ms=held_ms,
            extra=effect.extra,
            generation=effect.generation,
            epoch=ids.LogEpoch(world.log.epoch),
        )

    long_poll_ms = (
        (effect.long_poll_ms or world.log.long_poll_ms) if effect.wait else 0.0
    )
    _read(world, node, effect, result, long_poll_ms=long_poll_ms)


def read_newest(
    world: "worlds.World", node: parts.FakeNode, effect: effects.ReadNewest
) -> None:
    """Read the newest record of each key."""
    requested_at = world.now

    def result(_: float) -> events.Event:
        return events.NewestRead(
            now=world.now,
            stream=effect.stream,
            records=tuple(world.log.newest.get(effect.stream, {}).values()),
            end=len(world.log.streams.get(effect.stream, [])),
            requested_at=requested_at,
            generation=effect.generation,
            epoch=ids.LogEpoch(world.log.epoch),
        )

    _read(world, node, effect, result)


def _read(
    world: "worlds.World",
    node: parts.FakeNode,
    effect: effects.ReadLog | effects.ReadNewest,
    result: ReadFunction,
    *,
    long_poll_ms: float = 0.0,
) -> None:
    """Answer a read at once, or hold it open until there are records."""
    log = world.log
    epoch = log.epoch
    incarnation = node.incarnation
    silences = node.connection_silences
    # A pooled connection that fell silent is taken before a new one is made.
    is_on_stale_connection = node.stale_log_connections > 0
    node.stale_log_connections -= is_on_stale_connection
    extra = isinstance(effect, effects.ReadLog) and effect.extra
    timeout_ms = isinstance(effect, effects.ReadLog) and effect.timeout_ms
    timeout_ms = timeout_ms or log_service.READ_TIMEOUT_MS
    until = world.now + log.delay_ms + long_poll_ms

    def fail(*, timed_out: bool = False) -> None:
        if node.incarnation == incarnation:
            if timed_out:
                # The client of the log drops its idle connections.
                node.stale_log_connections = 0
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
        if (
            log.silent
            or node.name in log.silent_nodes
            or is_on_stale_connection
            or node.connection_silences != silences
        ):
            remaining_ms = max(0.0, until - world.now) + timeout_ms
            world.at(remaining_ms, lambda: fail(timed_out=True))
            return
        is_disconnected = log.epoch != epoch and not log.keeps_long_polls
        if log.down or is_disconnected or node.name in log.refused_nodes:
            fail()
            return
        event = result(long_poll_ms if world.now >= until else 0.0)
        is_read = isinstance(event, events.LogRead) and not event.missing
        is_empty = is_read and not event.records
        if is_empty and world.now < until:
            world.at(min(LONG_POLL_STEP_MS, until - world.now), arrive)
            return
        world.apply(node.name, event)

    world.at(log.delay_ms, arrive)
