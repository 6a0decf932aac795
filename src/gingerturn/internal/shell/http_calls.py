"""HTTP client of a log service, and the classification of its failures.

It uses httpcore directly, since importing httpx takes 9 MB of the 64 MB of memory that
a node may use.
"""

import asyncio
import math
import typing

import httpcore
import msgspec

from gingerturn import errors
from gingerturn.internal import decoding, ids, logs
from gingerturn.internal.shell import sockets

HTTP_OK = 200

_REFUSALS = frozenset({503, 507})
"""Statuses besides 4xx with which a service refuses a call."""

MAX_ANSWER_BYTES = 33_554_432
"""Limit of an answer's body. The services answer with pages of a few megabytes."""

MAX_TRANSFER_S = 30.0
"""Time that an answer may take beyond the sum of the timeouts of the call."""

MAX_EPOCH_DIGITS = 10


class AnswerTooLong(Exception):
    """The body of an answer exceeds :data:`MAX_ANSWER_BYTES`."""


_FAILURES = (
    TimeoutError,
    AnswerTooLong,
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
)
_CONNECT_FAILURES = (httpcore.ConnectError, httpcore.ConnectTimeout)
_T = typing.TypeVar("_T")


class Answer(msgspec.Struct, frozen=True):
    """An answer of the service.

    :param epoch: epoch of the log; 0 if the answer has none.
    """

    status: int
    content: bytes
    epoch: int = 0


async def _read_body(response: httpcore.Response) -> bytes:
    """Read the body of a response, up to its limit."""
    pieces: list[bytes] = []
    size = 0
    async for piece in response.aiter_stream():
        size += len(piece)
        if size > MAX_ANSWER_BYTES:
            text = f"the answer is longer than {MAX_ANSWER_BYTES} bytes"
            raise AnswerTooLong(text)
        pieces.append(piece)
    return b"".join(pieces)


class _Pool:
    """A pool of connections that can be retired while calls use it.

    :param connections: largest number of idle connections.
    """

    def __init__(self, connections: int) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_keepalive_connections=connections, socket_options=sockets.LOG_OPTIONS
        )
        self._pending = 0
        self._retired = False

    async def request(
        self, method: str, url: str, body: bytes, timeouts: dict[str, float]
    ) -> tuple[httpcore.Response, bytes]:
        """Make a call; return the response and its body.

        :raises AnswerTooLong: if the body is longer than :data:`MAX_ANSWER_BYTES`.
        :raises TimeoutError: if it takes longer than :data:`MAX_TRANSFER_S`.
        :raises Exception: those of the library.
        """
        self._pending += 1
        try:
            async with (
                asyncio.timeout(sum(timeouts.values()) + MAX_TRANSFER_S),
                self._pool.stream(
                    method, url, content=body, extensions={"timeout": timeouts}
                ) as response,
            ):
                return response, await _read_body(response)
        finally:
            self._pending -= 1
            if self._retired:
                await self._close_unused()

    async def retire(self) -> None:
        """Close all connections once their calls have ended."""
        self._retired = True
        await self._close_unused()

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _close_unused(self) -> None:
        if not self._pending:
            await self._pool.aclose()


class Client:
    """A client of one service, with a pool of connections.

    After a time-out the idle connections are not used any more: where one connection
    fell silent, others to the same service often did too, and each would cost the next
    call another time-out.

    :param url: scheme and address.
    :param timeout_ms: timeout of a call, without the waiting time of a long poll.
    :param connections: largest number of idle connections.
    :param epoch_header: name of the header with the log's epoch, in lower case.
    """

    def __init__(
        self, url: str, *, timeout_ms: float, epoch_header: bytes, connections: int = 2
    ) -> None:
        self._url = url
        self._epoch_header = epoch_header
        self._timeout_s = timeout_ms / 1000.0
        self._connections = connections
        self._pool = _Pool(connections)

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
        :param timeout_ms: timeout of this call, if less than that of the client.
        :param wait_ms: time for which a long poll may wait for records.
        :raises LogServiceError: if there is no answer; ``took_effect`` says whether
            the call may have taken effect.
        """
        timeout_s = min(self._timeout_s, timeout_ms / 1000.0)
        answer_timeout_s = timeout_s + wait_ms / 1000.0
        timeouts = dict.fromkeys(("read", "write", "pool"), answer_timeout_s)
        timeouts["connect"] = timeout_s
        pool = self._pool
        try:
            answer, content = await pool.request(
                method, f"{self._url}{resource}", body, timeouts
            )
        except _CONNECT_FAILURES as error:
            raise self.error(step, repr(error), took_effect=False) from None
        except _FAILURES as error:
            if isinstance(error, httpcore.TimeoutException | TimeoutError):
                await self._replace(pool)
            raise self.error(step, repr(error), took_effect=None) from None
        return Answer(answer.status, content, self._epoch(answer.headers))

    def check(self, answer: Answer, step: str) -> None:
        """Check the status of an answer.

        :raises LogServiceError: for any other status than 200. Only one that refuses
            the call states that it took no effect.
        """
        if answer.status == HTTP_OK:
            return
        refuses = answer.status in _REFUSALS or 400 <= answer.status < 500
        raise self.error(
            step,
            f"status {answer.status}",
            took_effect=False if refuses else None,
            epoch=answer.epoch,
        )

    def decode(self, answer: Answer, kind: type[_T], step: str) -> _T:
        """Decode a JSON answer.

        :raises LogServiceError: if it does not match the type.
        """
        try:
            return decoding.json_decoder(kind)(decoding.salvage(answer.content))
        except errors.DecodeError as error:
            raise self.error(step, error.message, took_effect=None) from None

    def error(
        self, step: str, text: str, *, took_effect: bool | None, epoch: int = 0
    ) -> errors.LogServiceError:
        """Return an error that names this service."""
        return errors.LogServiceError(
            text, step=step, peer=self._url, took_effect=took_effect, epoch=epoch
        )

    def _epoch(self, headers: list[tuple[bytes, bytes]]) -> int:
        """Return the log's epoch; 0 if the header is missing or not valid."""
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
        await self._pool.close()

    async def _replace(self, pool: _Pool) -> None:
        """Use new connections from now on, unless another call has done so."""
        if pool is self._pool:
            self._pool = _Pool(self._connections)
            await pool.retire()
