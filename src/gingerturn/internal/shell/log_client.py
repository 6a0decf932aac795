"""HTTP client of the log service."""

import urllib.parse

import msgspec

from gingerturn import errors, log_service, settings
from gingerturn.internal import decoding
from gingerturn.internal.shell import http_calls

MAX_RECORDS = 500
"""Limit of records returned by one read."""


EPOCH_HEADER = b"log-epoch"
"""Carries the log epoch, which a restore from a backup increments."""


class NewestReply(msgspec.Struct):
    """Body of the answer to a base read."""

    end: decoding.Whole
    records: list[msgspec.Raw]


class ReadReply(msgspec.Struct):
    """Body of the answer to a read."""

    first: decoding.Whole
    oldest: decoding.Whole
    end: decoding.Whole
    records: list[msgspec.Raw]


class AppendReply(msgspec.Struct):
    """Body of the answer to an append."""

    offset: decoding.Whole


class LogClient:
    """Appends to and reads from the log service.

    :param log_settings: the settings of the log.
    """

    def __init__(self, log_settings: settings.Log) -> None:
        self._poll_ms = log_settings.poll_ms
        self._peer = http_calls.Client(
            log_settings.url.rstrip("/"),
            timeout_ms=log_settings.timeout_ms,
            connections=8,
            epoch_header=EPOCH_HEADER,
        )

    async def read(
        self,
        stream: str,
        offset: int,
        wait: log_service.Wait = log_service.LONG_POLL,
    ) -> log_service.Records:
        """Read from an offset.

        :param wait: how long to wait for new records and for the answer.
        :raises LogServiceError: when the read fails or its answer is invalid.
        """
        step = f"read {stream} from offset {offset}"
        wait_ms = wait.hold_ms(self._poll_ms)
        query = f"from={offset}&max={MAX_RECORDS}&wait_ms={wait_ms}"
        resource = f"/streams/{stream}/records?{query}"
        answer = await self._peer.call(
            "GET",
            resource,
            step=step,
            wait_ms=wait_ms,
            timeout_ms=wait.timeout_ms,
        )
        self._peer.check(answer, step)
        reply = self._peer.decode(answer, ReadReply, step)
        contents, skipped = _contents(reply.records, first=reply.first)
        return log_service.Records(
            first=reply.first,
            oldest=reply.oldest,
            end=reply.end,
            contents=contents,
            held_ms=wait_ms,
            epoch=answer.epoch,
            skipped=skipped,
        )

    async def newest(self, stream: str) -> log_service.Newest:
        """Read the newest record of each key.

        :raises LogServiceError: when the read fails or its answer is invalid.
        """
        step = f"newest {stream}"
        resource = f"/streams/{stream}/newest"
        answer = await self._peer.call("GET", resource, step=step)
        self._peer.check(answer, step)
        reply = self._peer.decode(answer, NewestReply, step)
        contents, skipped = _contents(reply.records)
        return log_service.Newest(contents, reply.end, answer.epoch, skipped)

    async def put(self, stream: str, key: str, record: bytes) -> log_service.Appended:
        """Append a record under a key; an empty record deletes the key.

        :raises LogServiceError: as for :meth:`append`.
        """
        resource = f"{stream}/records?key={urllib.parse.quote(key)}"
        return await self._append(resource, record)

    async def append(self, stream: str, record: bytes) -> log_service.Appended:
        """Append a record.

        :raises LogServiceError: with ``took_effect`` ``False`` when nothing was
            appended for certain (no connection was made, or the status is 4xx, 503
            or 507), else ``None``.
        """
        return await self._append(f"{stream}/records", record)

    async def _append(self, resource: str, record: bytes) -> log_service.Appended:
        step = f"append to {resource}"
        answer = await self._peer.call(
            "POST", f"/streams/{resource}", step=step, body=record
        )
        self._peer.check(answer, step)
        offset = self._peer.decode(answer, AppendReply, step).offset
        return log_service.Appended(offset, answer.epoch)

    async def close(self) -> None:
        """Close the connections."""
        await self._peer.close()


_decode_text = decoding.json_decoder(str)


def _contents(
    records: list[msgspec.Raw], *, first: int | None = None
) -> tuple[tuple[bytes, ...], log_service.SkippedEntries]:
    """Return decoded records, empty for those that cannot be decoded.

    :param first: offset of the first one; ``None`` if the offsets are not known.
    """
    contents: list[bytes] = []
    skipped = log_service.NOTHING_SKIPPED
    for index, record in enumerate(records):
        try:
            contents.append(decoding.decode_base64(_decode_text(bytes(record))))
        except errors.DecodeError as error:
            offset = log_service.NO_OFFSET if first is None else first + index
            skipped = skipped.and_entry(b"", offset, error.message)
            contents.append(b"")
    return tuple(contents), skipped
