"""The client of the platform's log service, over HTTP.

It is written on httpcore, the transport under httpx: importing httpx itself takes
9 MB of the 64 that a node may use, for what a node does not need.
"""

import base64
import typing
import urllib.parse

import httpcore
import msgspec

from gingerturn import errors, log_service, settings
from gingerturn.internal.shell import sockets

MAX_RECORDS = 500
"""Records asked for in one read."""

_FAILURES = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
)
_NEVER_CONNECTED = (httpcore.ConnectError, httpcore.ConnectTimeout)


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
        self._url = chosen.url.rstrip("/")
        self._poll_ms = chosen.poll_ms
        patience = (chosen.timeout_ms + chosen.poll_ms) / 1000.0
        timeouts = {
            "connect": chosen.timeout_ms / 1000.0,
            "read": patience,
            "write": patience,
            "pool": patience,
        }
        self._extensions: dict[str, typing.Any] = {"timeout": timeouts}
        self._pool = httpcore.AsyncConnectionPool(
            max_keepalive_connections=8, socket_options=sockets.OPTIONS
        )

    async def read(
        self, stream: str, offset: int, *, wait: bool = True
    ) -> log_service.Records:
        """Read from an offset, waiting a while for new records if there are none.

        :raises LogServiceError: when the log service does not answer as it should.
        """
        wait_ms = self._poll_ms if wait else 0
        query = f"from={offset}&max={MAX_RECORDS}&wait_ms={wait_ms}"
        try:
            response = await self._pool.request(
                "GET",
                f"{self._url}/streams/{stream}/records?{query}",
                extensions=self._extensions,
            )
            _check_status(response.status)
            reply = msgspec.json.decode(response.content, type=ReadReply)
            return log_service.Records(
                first=reply.first,
                oldest=reply.oldest,
                end=reply.end,
                contents=tuple(base64.b64decode(r) for r in reply.records),
            )
        except (*_FAILURES, msgspec.MsgspecError, ValueError) as error:
            raise self._error(f"read {stream}", error, took_effect=False) from None

    async def newest(self, stream: str) -> log_service.Newest:
        """Read the newest record of each key.

        :raises LogServiceError: when the log service does not answer as it should.
        """
        try:
            response = await self._pool.request(
                "GET",
                f"{self._url}/streams/{stream}/newest",
                extensions=self._extensions,
            )
            _check_status(response.status)
            reply = msgspec.json.decode(response.content, type=Reply)
            contents = tuple(base64.b64decode(r) for r in reply.records)
        except (*_FAILURES, msgspec.MsgspecError, ValueError) as error:
            raise self._error(f"newest {stream}", error, took_effect=False) from None
        return log_service.Newest(contents=contents, end=reply.end)

    async def put(self, stream: str, key: str, record: bytes) -> None:
        """Append a record under a key; an empty one drops the key.

        :raises LogServiceError: as for :meth:`append`.
        """
        await self._append(f"{stream}/records?key={urllib.parse.quote(key)}", record)

    async def append(
        self, stream: str, record: bytes, *, expected_end: int | None = None
    ) -> int:
        """Append a record and return its offset.

        :param expected_end: append only if the stream ends there.

        :raises LogServiceError: with ``took_effect`` ``None`` unless it is certain
            that nothing was appended: the connection was never made, or the log
            service said so itself with a 4xx or 503 status.
        """
        condition = "" if expected_end is None else f"?expected_end={expected_end}"
        return await self._append(f"{stream}/records{condition}", record)

    async def _append(self, resource: str, record: bytes) -> int:
        step = f"append to {resource}"
        try:
            response = await self._pool.request(
                "POST",
                f"{self._url}/streams/{resource}",
                content=record,
                extensions=self._extensions,
            )
        except _NEVER_CONNECTED as error:
            raise self._error(step, error, took_effect=False) from None
        except _FAILURES as error:
            raise self._error(step, error, took_effect=None) from None
        if response.status == 503 or 400 <= response.status < 500:
            refused = ValueError(f"status {response.status}")
            raise self._error(step, refused, took_effect=False)
        try:
            _check_status(response.status)
            return msgspec.json.decode(response.content, type=AppendReply).offset
        except (msgspec.MsgspecError, ValueError) as error:
            raise self._error(step, error, took_effect=None) from None

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    def _error(
        self, step: str, error: Exception, *, took_effect: bool | None
    ) -> errors.LogServiceError:
        return errors.LogServiceError(
            f"{type(error).__name__}: {error}",
            step=step,
            peer=self._url,
            took_effect=took_effect,
        )


def _check_status(status: int) -> None:
    if status != 200:
        raise ValueError(f"status {status}")
