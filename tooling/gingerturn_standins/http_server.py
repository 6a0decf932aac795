"""A minimal HTTP/1.1 server for the stand-ins, on the library's parser."""

import asyncio
import collections.abc
import dataclasses
import time
import typing

import httptools


@dataclasses.dataclass
class Request:
    """A complete HTTP request.

    :param began: when its head had arrived, in seconds since the epoch.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    began: float = 0.0


@dataclasses.dataclass
class Response:
    """A complete HTTP response; ``pieces`` instead of ``body`` sends it chunked.

    :param cut: close the connection before the announced end of the body.
    :param behind: bytes that belong to no request, written directly behind it.
    :param later: such bytes, written once the next request has arrived.
    :param repeated: write the response itself once more at that time.
    :param duration_s: time over which the body is written, in equal pieces.
    """

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    pieces: list[bytes] | None = None
    cut: bool = False
    behind: bytes = b""
    later: bytes = b""
    repeated: bool = False
    duration_s: float = 0.0


BODILESS_STATUSES = frozenset({204, 304})
"""Statuses of responses that have neither a body nor its length."""

UNREAD_OPTION = "unread_ms="
"""Option of the query: how long the body of the request is left unread."""

PACED_PIECES = 40
"""Pieces in which a body is written that takes a while."""


class NoAnswer(Exception):
    """Raised by a handler to close the connection without an answer."""


Handler = collections.abc.Callable[[Request], collections.abc.Awaitable[Response]]


class _Connection(asyncio.Protocol):
    def __init__(self, handler: Handler, tasks: set[asyncio.Task[None]]) -> None:
        self._handler = handler
        self._tasks = tasks
        self._parser = httptools.HttpRequestParser(self)
        self._task: asyncio.Task[None] | None = None
        self._later = b""
        self._began = 0.0
        self._transport: typing.Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        # A closed connection is how a caller cancels.
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    def on_message_begin(self) -> None:
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self._began = time.time()
        options = self._target.decode("latin-1").partition("?")[2].split("&")
        for option in options:
            if option.startswith(UNREAD_OPTION):
                self._transport.pause_reading()
                asyncio.get_running_loop().call_later(
                    float(option.removeprefix(UNREAD_OPTION)) / 1000.0,
                    self._transport.resume_reading,
                )

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        request = Request(
            method=self._parser.get_method().decode(),
            target=self._target.decode("latin-1"),
            headers=self._headers,
            body=bytes(self._body),
            began=self._began,
        )
        keep_alive = self._parser.should_keep_alive()
        self._task = asyncio.get_running_loop().create_task(
            self._serve(request, keep_alive)
        )
        self._tasks.add(self._task)
        self._task.add_done_callback(self._tasks.discard)

    async def _serve(self, request: Request, keep_alive: bool) -> None:
        if self._later:
            self._transport.write(self._later)
            self._later = b""
        try:
            response = await self._handler(request)
        except NoAnswer:
            self._transport.abort()
            return
        headers = {"content-type": "application/json", **response.headers}
        if response.status in BODILESS_STATUSES:
            response = dataclasses.replace(response, body=b"", duration_s=0.0)
        elif response.pieces is None:
            content_length = len(response.body) + (1000 if response.cut else 0)
            headers["content-length"] = str(content_length)
        else:
            headers["transfer-encoding"] = "chunked"
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = f"HTTP/1.1 {response.status} X\r\n{lines}\r\n".encode("latin-1")
        if response.duration_s and request.method != "HEAD":
            await self._write_paced(head, response)
        elif response.pieces is None:
            body = b"" if request.method == "HEAD" else response.body
            self._transport.write(head + body + response.behind)
            self._later = head + body if response.repeated else response.later
        else:
            self._transport.write(head)
            for piece in response.pieces:
                self._transport.write(b"%x\r\n%b\r\n" % (len(piece), piece))
                await asyncio.sleep(0)
            if not response.cut:
                self._transport.write(b"0\r\n\r\n")
        if response.cut or not keep_alive:
            self._transport.close()

    async def _write_paced(self, head: bytes, response: Response) -> None:
        self._transport.write(head)
        step = -(-len(response.body) // PACED_PIECES)
        for number in range(PACED_PIECES):
            self._transport.write(response.body[number * step : (number + 1) * step])
            await asyncio.sleep(response.duration_s / PACED_PIECES)


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Serve a handler."""
    tasks: set[asyncio.Task[None]] = set()
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: _Connection(handler, tasks), host, port)
