"""Clients without limits: many connections at once that send what no client should.

They run in an event loop of their own, beside an ordinary caller.
"""

import asyncio
import collections.abc
import contextlib
import pathlib
import resource
import socket

HOST = "shop.example"
RECEIVE_BYTES = 4_096
PIECE_BYTES = 65_536

Writing = collections.abc.Callable[
    ["Client"], collections.abc.Coroutine[object, object, None]
]


class Client:
    """A connection of a client.

    :param number: of the client, from 0.
    """

    def __init__(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.number = number
        self.reader = reader
        self._writer = writer

    async def send(self, content: bytes) -> None:
        """Write, at the pace at which the node reads."""
        for start in range(0, len(content), PIECE_BYTES):
            self._writer.write(content[start : start + PIECE_BYTES])
            await self._writer.drain()

    async def send_head(
        self, *lines: str, path: str = "/p/x", method: str = "POST"
    ) -> None:
        """Write the head of a request with further header lines."""
        request_id = f"crowd-{id(self)}-{self.number}"
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}"
        await self.send("\r\n".join([head, *lines, "", ""]).encode())

    async def until_closed(self) -> None:
        """Read until the node closes the connection."""
        with contextlib.suppress(OSError):
            while await self.reader.read(PIECE_BYTES):
                pass

    def leave(self) -> None:
        """Reset the connection."""
        self._writer.transport.abort()


class Crowd:
    """Connections of clients, which stay open until :meth:`leave`."""

    def __init__(self) -> None:
        self._clients: list[Client] = []

    async def send(self, port: int, count: int, write: Writing) -> None:
        """Open connections, and let each write.

        A client that the node closes, or does not accept, stops.

        :param write: writes what one client sends.
        """
        await asyncio.gather(*(self._one(port, n, write) for n in range(count)))

    async def _one(self, port: int, number: int, write: Writing) -> None:
        with contextlib.suppress(OSError):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
            reader, writer = await asyncio.open_connection(sock=sock, limit=4_096)
            client = Client(number, reader, writer)
            self._clients.append(client)
            await write(client)

    def leave(self) -> None:
        """Reset all connections."""
        for client in self._clients:
            client.leave()


def peak_bytes(pid: int) -> int:
    """Return the largest resident size that a process has had."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1_024
    raise ValueError(f"process {pid} has no resident memory")


def descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


def leave_descriptors(pid: int, count: int) -> int:
    """Limit the descriptors of a process to a number more than it has; return the
    limit."""
    limit = descriptors(pid) + count
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, limit))
    return limit
