"""Reads from and appends to the log service, each as a task.

Each call has an outcome: what the service returns, a :class:`.LogServiceError`, or the
failure that follows from any other error and from a time-out.
"""

import asyncio
import collections.abc
import typing

from gingerturn import errors, log_service
from gingerturn.internal import ids, logs
from gingerturn.internal.core import effects, events, messages, streams
from gingerturn.internal.shell import clock, supervision

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes


PART = "log"

CALL_MARGIN_MS = 10_000.0
"""Time that a call may take beyond its long poll and the service's own time-outs, which
a body that arrives slowly need not exceed."""

BASE_READ_LIMIT_MS = 60_000.0
"""Time that a base read may take, which has a call for each of its pages."""

_T = typing.TypeVar("_T")


class LogSide:
    """Carries out the log effects of the core.

    :param node: the node.
    :param service: the log service.
    """

    def __init__(self, node: "nodes.Node", service: log_service.LogService) -> None:
        self._node = node
        self._service = service

    def handlers(self) -> "nodes.Handlers":
        """Return the handlers of log effects."""
        return {
            effects.ReadLog: self._read_log,
            effects.ReadNewest: self._read_newest,
            effects.PutRecord: self._put,
            effects.Append: self._append,
        }

    async def close(self) -> None:
        """Close the log service."""
        await self._service.close()

    async def audit(self) -> list[messages.AuditRecord]:
        """Return the audit records that the log retains.

        :raises LogServiceError: when the log cannot be read.
        """
        audited: list[messages.AuditRecord] = []
        offset = 0
        while True:
            reply = await self._service.read(
                streams.AUDIT, offset, log_service.NO_LONG_POLL
            )
            audited += self._audit_records(reply)
            offset = reply.first + len(reply.contents)
            if offset >= reply.end or not reply.contents:
                return audited

    def _audit_records(self, reply: log_service.Records) -> list[messages.AuditRecord]:
        audited: list[messages.AuditRecord] = []
        skipped = reply.skipped
        for offset, content in enumerate(reply.contents, reply.first):
            if not content:
                continue
            try:
                record = streams.decode_record(streams.AUDIT, content)
            except errors.DecodeError as error:
                skipped = skipped.and_entry(b"", offset, error.message)
                continue
            audited.append(typing.cast(messages.AuditRecord, record))
        self._report_skipped(streams.AUDIT, skipped)
        return audited

    def _report_skipped(self, stream: str, skipped: log_service.SkippedEntries) -> None:
        if skipped.count:
            now = clock.now()
            self._node.apply(
                events.EntriesSkipped(now=now, stream=stream, skipped=skipped)
            )

    def _read_log(self, effect: effects.ReadLog) -> None:
        def failed() -> None:
            self._read_failed(
                effect.stream, effect.generation, extra=effect.extra, epoch=0
            )

        self._spawn(self._read_stream(effect), f"read {effect.stream}", failed)

    async def _read_stream(self, effect: effects.ReadLog) -> None:
        stream = effect.stream
        requested_at = clock.now()
        wait = _wait(effect)
        hold_ms = wait.hold_ms(self._node.settings.log.poll_ms)
        try:
            reply = await self._bounded(
                self._service.read(stream, effect.offset, wait),
                f"read {stream}",
                self._call_limit_ms + hold_ms,
            )
        except errors.LogServiceError as error:
            logs.write("INFO", "log", f"{error}.")
            self._read_failed(
                stream, effect.generation, extra=effect.extra, epoch=error.epoch
            )
            return
        self._report_skipped(stream, reply.skipped)
        now = clock.now()
        self._node.apply(
            events.LogRead(
                now=now,
                stream=stream,
                first=reply.first,
                records=reply.contents,
                oldest=reply.oldest,
                end=reply.end,
                requested_at=requested_at,
                held_open_ms=_held_open_ms(reply, now - requested_at),
                extra=effect.extra,
                missing=reply.missing or reply.end < effect.offset,
                generation=effect.generation,
                epoch=ids.LogEpoch(reply.epoch),
            )
        )

    def _read_newest(self, effect: effects.ReadNewest) -> None:
        def failed() -> None:
            self._read_failed(effect.stream, effect.generation, extra=False, epoch=0)

        self._spawn(self._newest(effect), f"newest {effect.stream}", failed)

    async def _newest(self, effect: effects.ReadNewest) -> None:
        stream = effect.stream
        requested_at = clock.now()
        try:
            reply = await self._bounded(
                self._service.newest(stream), f"newest {stream}", BASE_READ_LIMIT_MS
            )
        except errors.LogServiceError as error:
            logs.write("INFO", "log", f"{error}.")
            self._read_failed(stream, effect.generation, extra=False, epoch=error.epoch)
            return
        self._report_skipped(stream, reply.skipped)
        self._node.apply(
            events.NewestRead(
                now=clock.now(),
                stream=stream,
                records=reply.contents,
                end=reply.end,
                requested_at=requested_at,
                generation=effect.generation,
                epoch=ids.LogEpoch(reply.epoch),
                complete=reply.complete,
            )
        )

    def _put(self, effect: effects.PutRecord) -> None:
        def failed() -> None:
            self._node.apply(events.PutFailed(now=clock.now(), put=effect.put))

        self._spawn(self._put_record(effect), f"put to {effect.stream}", failed)

    async def _put_record(self, effect: effects.PutRecord) -> None:
        try:
            appended = await self._bounded(
                self._service.put(effect.stream, effect.key, effect.record),
                f"put to {effect.stream}",
                self._call_limit_ms,
            )
        except errors.LogServiceError as error:
            logs.write("WARNING", "log", f"{error}.")
            epoch = ids.LogEpoch(error.epoch)
            self._node.apply(
                events.PutFailed(now=clock.now(), put=effect.put, epoch=epoch)
            )
            return
        epoch = ids.LogEpoch(appended.epoch)
        self._node.apply(events.PutDone(now=clock.now(), put=effect.put, epoch=epoch))

    def _append(self, effect: effects.Append) -> None:
        def failed() -> None:
            self._append_failed(effect, certain=False, epoch=0)

        self._spawn(self._append_record(effect), f"append to {effect.stream}", failed)

    async def _append_record(self, effect: effects.Append) -> None:
        try:
            appended = await self._bounded(
                self._service.append(effect.stream, effect.record),
                f"append to {effect.stream}",
                self._call_limit_ms,
            )
        except errors.LogServiceError as error:
            logs.write("WARNING", "log", f"{error}.")
            certain = error.took_effect is False
            self._append_failed(effect, certain=certain, epoch=error.epoch)
            return
        self._node.apply(
            events.AppendDone(
                now=clock.now(),
                append=effect.append,
                offset=appended.offset,
                epoch=ids.LogEpoch(appended.epoch),
            )
        )

    @property
    def _call_limit_ms(self) -> ids.Milliseconds:
        # A connection and an answer have a time-out each.
        return 2.0 * self._node.settings.log.timeout_ms + CALL_MARGIN_MS

    def _spawn(
        self,
        call: collections.abc.Coroutine[typing.Any, typing.Any, None],
        step: str,
        failed: supervision.Failed,
    ) -> None:
        self._node.spawn(call, part=PART, subject=step, failed=failed)

    async def _bounded(
        self,
        call: collections.abc.Coroutine[typing.Any, typing.Any, _T],
        step: str,
        limit_ms: ids.Milliseconds,
    ) -> _T:
        """Return the result of a call of the service.

        :raises LogServiceError: if it failed, or did not return in time.
        """
        try:
            async with asyncio.timeout(limit_ms / 1_000.0):
                return await call
        except TimeoutError:
            raise errors.LogServiceError(
                f"no result within {limit_ms:.0f} ms",
                step=step,
                peer=self._node.settings.log.url,
                took_effect=None,
            ) from None

    def _read_failed(
        self, stream: str, generation: int, *, extra: bool, epoch: int
    ) -> None:
        self._node.apply(
            events.LogReadFailed(
                now=clock.now(),
                stream=stream,
                extra=extra,
                generation=generation,
                epoch=ids.LogEpoch(epoch),
            )
        )

    def _append_failed(
        self, effect: effects.Append, *, certain: bool, epoch: int
    ) -> None:
        self._node.apply(
            events.AppendFailed(
                now=clock.now(),
                append=effect.append,
                certain=certain,
                epoch=ids.LogEpoch(epoch),
            )
        )


def _wait(effect: effects.ReadLog) -> log_service.Wait:
    return log_service.Wait(
        is_long_poll=effect.wait,
        long_poll_ms=effect.long_poll_ms,
        timeout_ms=effect.timeout_ms or log_service.READ_TIMEOUT_MS,
    )


def _held_open_ms(
    reply: log_service.Records, elapsed: ids.Milliseconds
) -> ids.Milliseconds:
    """Return the time for which the log service held a long poll open.

    An empty reply was held for the requested time, unless it arrived sooner.
    """
    if reply.contents or elapsed < reply.held_ms:
        return 0.0
    return reply.held_ms
