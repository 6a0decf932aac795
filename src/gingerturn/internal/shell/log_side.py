"""The log service's side of the shell: reads and appends as tasks."""

import typing

from gingerturn import errors
from gingerturn.internal import logs
from gingerturn.internal.core import effects, events, messages
from gingerturn.internal.shell import clock, log_client

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes


class LogSide:
    """Carries out what the core asks of the log.

    :param node: the node.
    """

    def __init__(self, node: "nodes.Node") -> None:
        self._node = node
        self._client = log_client.LogClient(node.settings.log)

    def handlers(self) -> "nodes.Handlers":
        """Return the effects that are carried out here."""
        return {effects.ReadLog: self._read_log, effects.Append: self._append}

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def audit(self) -> list[messages.AuditRecord]:
        """Return the trail of changes that the log still holds.

        :raises LogServiceError: when the log cannot be read.
        """
        found: list[messages.AuditRecord] = []
        offset = 0
        while True:
            reply, records = await self._client.read("audit", offset, wait=False)
            decoded = [messages.decode_record(record) for record in records]
            found += [r for r in decoded if isinstance(r, messages.AuditRecord)]
            offset = reply.first + len(records)
            if offset >= reply.end:
                return found

    def _read_log(self, effect: effects.ReadLog) -> None:
        self._node.spawn(self._read_stream(effect))

    async def _read_stream(self, effect: effects.ReadLog) -> None:
        stream = effect.stream
        try:
            reply, records = await self._client.read(
                stream, effect.offset, wait=effect.wait
            )
        except errors.LogServiceError:
            self._node.apply(events.LogReadFailed(now=clock.now(), stream=stream))
            return
        self._node.apply(
            events.LogRead(
                now=clock.now(),
                stream=stream,
                first=reply.first,
                records=records,
                oldest=reply.oldest,
                end=reply.end,
            )
        )

    def _append(self, effect: effects.Append) -> None:
        self._node.spawn(self._append_record(effect))

    async def _append_record(self, effect: effects.Append) -> None:
        try:
            offset = await self._client.append(effect.stream, effect.record)
        except errors.LogServiceError as error:
            logs.write("WARNING", "log", f"{error}.")
            certain = error.took_effect is False
            self._node.apply(
                events.AppendFailed(
                    now=clock.now(), append=effect.append, certain=certain
                )
            )
            return
        self._node.apply(
            events.AppendDone(now=clock.now(), append=effect.append, offset=offset)
        )
