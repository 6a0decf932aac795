"""Calls on a log service over HTTP, and what their failures mean.

It is written on httpcore, the transport under httpx: importing httpx itself takes
9 MB of the 64 that a node may use, for what a node does not need.
"""

import math
import typing

import httpcore
import msgspec

from gingerturn import errors
from gingerturn.internal import ids, logs
from gingerturn.internal.shell import sockets

HTTP_OK = 200
MAX_EPOCH_DIGITS = 10
_FAILURES = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
)
_NEVER_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout)
_T = typing.TypeVar("_T")


class Answer(msgspec.Struct, frozen=True):
    """What the service answered.

    :param epoch: of the log, 0 where the answer tells none.
    """

    status: int
    content: bytes
    epoch: int = 0


class Peer:
    """One service, and the connections to it.

    :param url: scheme and address.
    :param timeout_ms: within which a call that does not wait is answered.
    :param connections: kept open while idle.
    :param epoch_header: name of the header with the log's epoch, in lower case.
    """

    def __init__(
        self, url: str, *, timeout_ms: float, epoch_header: bytes, connections: int = 2
    ) -> None:
        self._url = url
        self._epoch_header = epoch_header
        self._timeout_s = timeout_ms / 1000.0
        self._pool = httpcore.AsyncConnectionPool(
            max_keepalive_connections=connections, socket_options=sockets.OPTIONS
        )

    async def call(
        self,
        method: str,
        resource: str,
        *,
        step: str,
        body: bytes = b"",
        wait_ms: float = 0.0,
        timeout_ms: float = math.inf,
    ) -> Answer:
        """Make a call.

        :param resource: path and query.
        :param timeout_ms: within which it is answered, if that is sooner than usual.
        :param wait_ms: time for which the service was asked to wait for news.
        :raises LogServiceError: when there is no answer, saying whether the call can
            have taken effect.
        """
        timeout_s = min(self._timeout_s, timeout_ms / 1000.0)
        patience = timeout_s + wait_ms / 1000.0
        timeouts = dict.fromkeys(("read", "write", "pool"), patience)
        timeouts["connect"] = timeout_s
        try:
            answer = await self._pool.request(
                method,
                f"{self._url}{resource}",
                content=body,
                extensions={"timeout": timeouts},
            )
        except _NEVER_SENT as error:
            raise self.error(step, repr(error), took_effect=False) from None
        except _FAILURES as error:
            raise self.error(step, repr(error), took_effect=None) from None
        return Answer(answer.status, answer.content, self._epoch(answer.headers))

    def check(
        self, answer: Answer, step: str, *, took_effect: bool | None = False
    ) -> None:
        """Check that a call was done.

        :param took_effect: whether one that was not may have been all the same.
        :raises LogServiceError: for any other status than 200.
        """
        if answer.status != HTTP_OK:
            text = f"status {answer.status}"
            raise self.error(step, text, took_effect=took_effect, epoch=answer.epoch)

    def decode(self, answer: Answer, kind: type[_T], step: str) -> _T:
        """Return what a JSON answer says.

        :raises LogServiceError: for an answer of another form.
        """
        try:
            return msgspec.json.decode(answer.content, type=kind)
        except msgspec.MsgspecError as error:
            raise self.error(step, str(error), took_effect=None) from None

    def error(
        self, step: str, text: str, *, took_effect: bool | None, epoch: int = 0
    ) -> errors.LogServiceError:
        """Return the error of a call on this service."""
        return errors.LogServiceError(
            text, step=step, peer=self._url, took_effect=took_effect, epoch=epoch
        )

    def _epoch(self, headers: list[tuple[bytes, bytes]]) -> int:
        """Return the log's epoch; 0 where the header is missing or no whole number."""
        for name, value in headers:
            if name.lower() != self._epoch_header:
                continue
            text = value.strip()
            is_number = text.isdigit() and len(text) <= MAX_EPOCH_DIGITS
            epoch = int(text) if is_number else -1
            if 0 <= epoch <= ids.MAX_LOG_EPOCH:
                return epoch
            problem = f"{value[:80]!r} is no number from 0 to {ids.MAX_LOG_EPOCH}"
            logs.warn_skipped("Header", name, problem)
        return 0

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()
