"""The client of the platform's log service, over HTTP."""

import base64

import httpx
import msgspec

from gingerturn import errors, settings

MAX_RECORDS = 500
"""Records asked for in one read."""


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
        timeout = httpx.Timeout(
            (chosen.timeout_ms + chosen.poll_ms) / 1000.0,
            connect=chosen.timeout_ms / 1000.0,
        )
        self._client = httpx.AsyncClient(timeout=timeout, trust_env=False)

    async def read(
        self, stream: str, offset: int, *, wait: bool = True
    ) -> tuple[ReadReply, tuple[bytes, ...]]:
        """Read from an offset, waiting a while for new records if there are none.

        :raises LogServiceError: when the log service does not answer as it should.
        """
        parameters = {
            "from": str(offset),
            "max": str(MAX_RECORDS),
            "wait_ms": str(self._poll_ms if wait else 0),
        }
        try:
            response = await self._client.get(
                f"{self._url}/streams/{stream}/records", params=parameters
            )
            response.raise_for_status()
            reply = msgspec.json.decode(response.content, type=ReadReply)
            return reply, tuple(base64.b64decode(r) for r in reply.records)
        except (httpx.HTTPError, msgspec.MsgspecError, ValueError) as error:
            raise errors.LogServiceError(
                f"{type(error).__name__}: {error}",
                step=f"read {stream}",
                peer=self._url,
                took_effect=False,
            ) from None

    async def append(self, stream: str, record: bytes) -> int:
        """Append a record and return its offset.

        :raises LogServiceError: with ``took_effect`` ``None`` unless it is certain
            that nothing was appended: the connection was never made, or the log
            service said so itself with a 4xx or 503 status.
        """
        try:
            response = await self._client.post(
                f"{self._url}/streams/{stream}/records", content=record
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise self._append_error(stream, error, took_effect=False) from None
        except httpx.HTTPError as error:
            raise self._append_error(stream, error, took_effect=None) from None
        if response.status_code == 503 or 400 <= response.status_code < 500:
            refused = ValueError(f"status {response.status_code}")
            raise self._append_error(stream, refused, took_effect=False)
        try:
            response.raise_for_status()
            return msgspec.json.decode(response.content, type=AppendReply).offset
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            raise self._append_error(stream, error, took_effect=None) from None

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    def _append_error(
        self, stream: str, error: Exception, *, took_effect: bool | None
    ) -> errors.LogServiceError:
        return errors.LogServiceError(
            f"{type(error).__name__}: {error}",
            step=f"append to {stream}",
            peer=self._url,
            took_effect=took_effect,
        )
