"""Reads from and appends to the log service, each as a task."""

import typing

from gingerturn import errors, log_service
from gingerturn.internal import ids, logs
from gingerturn.internal.core import effects, events, messages, streams
from gingerturn.internal.shell import clock

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes


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
        self._node.spawn(self._read_stream(effect))

    async def _read_stream(self, effect: effects.ReadLog) -> None:
        stream = effect.stream
        requested_at = clock.now()
        try:
            reply = await self._service.read(stream, effect.offset, _wait(effect))
        except errors.LogServiceError as error:
            logs.write("INFO", "log", f"{error}.")
            self._node.apply(
                events.LogReadFailed(
                    now=clock.now(),
                    stream=stream,
                    extra=effect.extra,
                    generation=effect.generation,
                    epoch=ids.LogEpoch(error.epoch),
                )
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
        self._node.spawn(self._newest(effect))

    async def _newest(self, effect: effects.ReadNewest) -> None:
        stream = effect.stream
        requested_at = clock.now()
        try:
            reply = await self._service.newest(stream)
        except errors.LogServiceError as error:
            logs.write("INFO", "log", f"{error}.")
            self._node.apply(
                events.LogReadFailed(
                    now=clock.now(),
                    stream=stream,
                    generation=effect.generation,
                    epoch=ids.LogEpoch(error.epoch),
                )
            )
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
            )
        )

    def _put(self, effect: effects.PutRecord) -> None:
        self._node.spawn(self._put_record(effect))

    async def _put_record(self, effect: effects.PutRecord) -> None:
        try:
            appended = await self._service.put(effect.stream, effect.key, effect.record)
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
        self._node.spawn(self._append_record(effect))

    async def _append_record(self, effect: effects.Append) -> None:
        try:
            appended = await self._service.append(effect.stream, effect.record)
        except errors.LogServiceError as error:
            logs.write("WARNING", "log", f"{error}.")
            certain = error.took_effect is False
            self._node.apply(
                events.AppendFailed(
                    now=clock.now(),
                    append=effect.append,
                    certain=certain,
                    epoch=ids.LogEpoch(error.epoch),
                )
            )
            return
        self._node.apply(
            events.AppendDone(
                now=clock.now(),
                append=effect.append,
                offset=appended.offset,
                epoch=ids.LogEpoch(appended.epoch),
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
