"""The client of the platform's log service, over HTTP."""

import base64
import urllib.parse

import msgspec

from gingerturn import log_service, settings
from gingerturn.internal.shell import http_calls

MAX_RECORDS = 500
"""Records asked for in one read."""


EPOCH_HEADER = b"log-epoch"
"""The service counts in it how often it was restored from a backup."""


class Reply(msgspec.Struct):
    """What the log service answers to a read of the newest records."""

    end: int
    records: list[str]


class ReadReply(msgspec.Struct):
    """What the log service answers to a read."""

    first: int
    oldest: int
    end: int
    records: list[str]


class AppendReply(msgspec.Struct):
    """What the log service answers to an append."""

    offset: int


class LogClient:
    """Appends to and reads from the log service.

    :param chosen: the settings of the log.
    """

    def __init__(self, chosen: settings.Log) -> None:
        self._poll_ms = chosen.poll_ms
        self._peer = http_calls.Client(
            chosen.url.rstrip("/"),
            timeout_ms=chosen.timeout_ms,
            connections=8,
            epoch_header=EPOCH_HEADER,
        )

    async def read(
        self, stream: str, offset: int, *, wait: bool = True, hold_ms: int = 0
    ) -> log_service.Records:
        """Read from an offset, waiting a while for new records if there are none.

        :param hold_ms: how long; 0 leaves it to the settings.
        :raises LogServiceError: when the log service does not answer as it should.
        """
        step = f"read {stream}"
        wait_ms = (hold_ms or self._poll_ms) if wait else 0
        query = f"from={offset}&max={MAX_RECORDS}&wait_ms={wait_ms}"
        resource = f"/streams/{stream}/records?{query}"
        answer = await self._peer.call(
            "GET",
            resource,
            step=step,
            wait_ms=wait_ms,
            timeout_ms=log_service.READ_TIMEOUT_MS,
        )
        self._peer.check(answer, step)
        reply = self._peer.decode(answer, ReadReply, step)
        return log_service.Records(
            first=reply.first,
            oldest=reply.oldest,
            end=reply.end,
            contents=self._contents(reply.records, step),
            held_ms=wait_ms,
            epoch=answer.epoch,
        )

    async def newest(self, stream: str) -> log_service.Newest:
        """Read the newest record of each key.

        :raises LogServiceError: when the log service does not answer as it should.
        """
        step = f"newest {stream}"
        resource = f"/streams/{stream}/newest"
        answer = await self._peer.call("GET", resource, step=step)
        self._peer.check(answer, step)
        reply = self._peer.decode(answer, Reply, step)
        contents = self._contents(reply.records, step)
        return log_service.Newest(contents=contents, end=reply.end, epoch=answer.epoch)

    async def put(self, stream: str, key: str, record: bytes) -> log_service.Appended:
        """Append a record under a key; an empty one drops the key.

        :raises LogServiceError: as for :meth:`append`.
        """
        resource = f"{stream}/records?key={urllib.parse.quote(key)}"
        return await self._append(resource, record)

    async def append(self, stream: str, record: bytes) -> log_service.Appended:
        """Append a record.

        :raises LogServiceError: with ``took_effect`` ``None`` unless it is certain
            that nothing was appended: the connection was never made, or the log
            service said so itself with a 4xx or 503 status.
        """
        return await self._append(f"{stream}/records", record)

    async def _append(self, resource: str, record: bytes) -> log_service.Appended:
        step = f"append to {resource}"
        answer = await self._peer.call(
            "POST", f"/streams/{resource}", step=step, body=record
        )
        refused = answer.status == 503 or 400 <= answer.status < 500
        self._peer.check(answer, step, took_effect=False if refused else None)
        offset = self._peer.decode(answer, AppendReply, step).offset
        return log_service.Appended(offset, answer.epoch)

    async def close(self) -> None:
        """Close the connections."""
        await self._peer.close()

    def _contents(self, records: list[str], step: str) -> tuple[bytes, ...]:
        try:
            return tuple(base64.b64decode(record) for record in records)
        except ValueError as error:
            raise self._peer.error(step, str(error), took_effect=False) from None
