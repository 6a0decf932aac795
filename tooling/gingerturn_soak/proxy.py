"""A TCP proxy on the loopback address that delays, drops or resets traffic."""

import asyncio
import contextlib
import enum

READ_BYTES = 65_536


class Mode(enum.Enum):
    """How the proxy treats the bytes of all connections."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one way"
    """Bytes from the client are forwarded, those from the target are dropped."""


class Proxy:
    """A listening address in front of a target.

    Invariant: bytes are forwarded in order and unchanged; a connection that has lost
    bytes forwards nothing more.

    :param target: port of the target.
    """

    def __init__(self, port: int, target: int) -> None:
        self.port = port
        self._target = target
        self._mode = Mode.PASS
        self._delay_s = 0.0
        self._silences = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._serving: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def close(self) -> None:
        """Stop listening and end every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()
        await asyncio.gather(*self._serving)

    def set_mode(self, mode: Mode, *, delay_ms: float = 0.0) -> None:
        """Set the mode of all connections that are not silenced.

        Connections that may have lost bytes are reset.
        """
        if self._mode in {Mode.SILENT, Mode.ONE_WAY}:
            self.reset()
        self._mode = mode
        self._delay_s = delay_ms / 1000.0

    def silence(self) -> None:
        """Drop all further bytes of the open connections; new ones work."""
        self._silences += 1

    def reset(self) -> None:
        """Reset every connection."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)
        try:
            target = await asyncio.open_connection("127.0.0.1", self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target[1]}
        await asyncio.gather(
            self._pump(reader, target[1], from_target=False),
            self._pump(target[0], writer, from_target=True),
        )
        self._writers -= {writer, target[1]}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        from_target: bool,
    ) -> None:
        silences = self._silences
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self._mode is Mode.DELAY:
                    await asyncio.sleep(self._delay_s)
                is_silenced = silences != self._silences
                silent = is_silenced or self._mode is Mode.SILENT
                if silent or (self._mode is Mode.ONE_WAY and from_target):
                    continue
                writer.write(data)
                await writer.drain()
            if self._mode in {Mode.PASS, Mode.DELAY}:
                writer.close()
                return
        writer.transport.abort()
