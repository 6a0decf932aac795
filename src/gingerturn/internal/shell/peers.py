"""Connections between nodes: authentic, multiplexed, one frame after another."""

import asyncio
import hmac
import os
import typing

from gingerturn import errors
from gingerturn.internal import ids, logs
from gingerturn.internal.shell import sockets
from gingerturn.internal.wire import compression, datagrams, frames

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes


CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 2.0
NONCE_BYTES = 16
MAX_UNPROVEN = 4_096
"""Bytes that a stranger may make a node buffer before it has proved itself."""

MAX_COMPRESSING = 100
"""Connections whose frames a node compresses. Both streams of one take 25 kB together;
at the design size some 200 connections lead to other zones and 4.5 MB are left. Frames
on the others are plain, which the receiver sees from each."""

_PART = "peers"


class FrameProtocol(asyncio.Protocol):
    """What both ends of a connection share: framing and the proof.

    The dialling side sends a nonce; the other answers with its own and a proof over
    both; the dialling side proves itself last. Proofs name the side, so that one
    cannot be sent back as the other's.

    :param node: this node.
    """

    def __init__(self, node: "nodes.Node") -> None:
        self._node = node
        self._buffer = bytearray()
        self._transport: asyncio.Transport = typing.cast(asyncio.Transport, None)
        self._nonce = os.urandom(NONCE_BYTES)
        self._proven = False
        self._deflater: compression.Deflater | None = None
        self._inflater: compression.Inflater | None = None
        self.peer = ids.NodeId("")
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the new connection and bound the time for its proof."""
        self._transport = typing.cast(asyncio.Transport, transport)
        sockets.bound_silence(transport)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(HELLO_TIMEOUT_S, self._check_proven)

    def data_received(self, data: bytes) -> None:
        """Split and handle frames; bad ones close the connection."""
        self._buffer += data
        try:
            for content in frames.split(self._buffer):
                if not self._proven:
                    self._check_unproven(len(content))
                    self._on_greeting(frames.decode(content))
                    continue
                self.on_frame(frames.decode(content, self._inflater))
            # Checked last: the proof and a long call may come in one piece.
            if not self._proven:
                self._check_unproven(len(self._buffer))
        except errors.GingerturnError as error:
            logs.write("WARNING", _PART, f"Connection of {self._where()}: {error}.")
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Leave the compression to another connection."""
        self._node.compressing.discard(self)

    def send(self, frame: frames.Frame) -> None:
        """Write a frame."""
        if not self._transport.is_closing():
            self._transport.write(frames.encode(frame, self._deflater))

    def on_frame(self, frame: frames.Frame) -> None:
        """Handle a frame of a proven peer."""
        raise NotImplementedError

    def close(self) -> None:
        """Close once what was written is sent."""
        self._transport.close()

    def _check_unproven(self, count: int) -> None:
        if count > MAX_UNPROVEN:
            raise errors.AuthenticationError(
                "too many bytes before the proof", step="greet", peer=self._where()
            )

    def _on_greeting(self, frame: frames.Frame) -> None:
        if not isinstance(frame, frames.Hello):
            raise errors.AuthenticationError(
                "a frame before the proof", step="greet", peer=self._where()
            )
        self._greet(frame)

    def _greet(self, hello: frames.Hello) -> None:
        raise NotImplementedError

    def _proof(
        self, secret: bytes, side: bytes, name: str, first: bytes, second: bytes
    ) -> bytes:
        return datagrams.mac(secret, b"|".join((side, name.encode(), first, second)))

    def _check_proof(
        self, hello: frames.Hello, side: bytes, first: bytes, second: bytes
    ) -> None:
        for secret in self._node.secrets:
            expected = self._proof(secret, side, hello.node, first, second)
            if hmac.compare_digest(expected, hello.proof):
                return
        raise errors.AuthenticationError(
            "the peer does not know the secret", step="greet", peer=self._where()
        )

    def _hello(self, proof: bytes) -> frames.Hello:
        return frames.Hello(
            call=0,
            node=self._node.name,
            incarnation=self._node.incarnation,
            nonce=self._nonce,
            proof=proof,
            zone=self._node.settings.node.zone,
        )

    def _set_proven(self, hello: frames.Hello) -> None:
        self._proven = True
        self.peer = ids.NodeId(hello.node)
        own = self._node.settings.node.zone
        if own and hello.zone and hello.zone != own:
            self._inflater = compression.Inflater()
            if len(self._node.compressing) < MAX_COMPRESSING:
                self._node.compressing.add(self)
                self._deflater = compression.Deflater()
        if self._timer is not None:
            self._timer.cancel()

    def _check_proven(self) -> None:
        if not self._proven:
            self._transport.abort()

    def _where(self) -> str:
        if self.peer:
            return self.peer
        return str(self._transport.get_extra_info("peername"))


class Dialled(FrameProtocol):
    """The dialling end: carries this node's attempts and questions.

    :param ready: called once the peer has proved itself.
    :param lost: called when the connection is gone.
    """

    def __init__(
        self,
        node: "nodes.Node",
        ready: typing.Callable[[], None],
        lost: typing.Callable[[], None],
    ) -> None:
        super().__init__(node)
        self._ready = ready
        self._lost = lost
        self.write_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet first."""
        super().connection_made(transport)
        self.send(self._hello(b""))

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the link."""
        super().connection_lost(error)
        self._lost()

    def on_frame(self, frame: frames.Frame) -> None:
        """Hand a frame to the node."""
        self._node.links.on_link_frame(frame)

    def _greet(self, hello: frames.Hello) -> None:
        self._check_proof(hello, b"accepting", self._nonce, hello.nonce)
        proof = self._proof(
            self._node.secrets[0],
            b"dialling",
            self._node.name,
            self._nonce,
            hello.nonce,
        )
        # Before anything is compressed: the other end takes that only once this is
        # proven to it.
        self.send(self._hello(proof))
        self._set_proven(hello)
        self._ready()


class Accepted(FrameProtocol):
    """The accepting end: carries the calls that this node hosts for the peer."""

    def __init__(self, node: "nodes.Node") -> None:
        super().__init__(node)
        self._their_nonce = b""
        self.hosted: dict[int, ids.HostedId] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep count of connections, for the planned stop."""
        super().connection_made(transport)
        self._node.accepted.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel what the peer waited for."""
        super().connection_lost(error)
        self._node.accepted.discard(self)
        for hosted in list(self.hosted.values()):
            self._node.home.on_cancelled(hosted)
        self.hosted.clear()

    def on_frame(self, frame: frames.Frame) -> None:
        """Hand a frame to the node."""
        self._node.links.on_accepted_frame(self, frame)

    def _greet(self, hello: frames.Hello) -> None:
        if not self._their_nonce:
            self._their_nonce = hello.nonce
            proof = self._proof(
                self._node.secrets[0],
                b"accepting",
                self._node.name,
                hello.nonce,
                self._nonce,
            )
            self.send(self._hello(proof))
            return
        self._check_proof(hello, b"dialling", self._their_nonce, self._nonce)
        self._set_proven(hello)


class Link:
    """The way to one peer: dials when needed and holds frames until then.

    :param node: this node.
    :param address: the peer's address.
    """

    def __init__(self, node: "nodes.Node", address: ids.Address) -> None:
        self._node = node
        self._address = address
        self._protocol: Dialled | None = None
        self._is_ready = False
        self._waiting: list[frames.Frame] = []
        self._sent: set[int] = set()
        self._dialling: asyncio.Task[None] | None = None

    def send(self, frame: frames.Frame) -> None:
        """Send a frame, now or once the connection is there."""
        if self._is_ready and self._protocol is not None:
            self._sent.add(frame.call)
            self._protocol.send(frame)
            return
        self._waiting.append(frame)
        if self._dialling is None:
            self._dialling = asyncio.get_running_loop().create_task(self._dial())

    def forget(self, call: int) -> None:
        """Forget a call that has ended."""
        self._sent.discard(call)

    def close(self) -> None:
        """Close the connection."""
        if self._protocol is not None:
            self._protocol.close()

    async def _dial(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, self._protocol = await loop.create_connection(
                    lambda: Dialled(self._node, self._on_ready, self._on_lost),
                    self._address.host,
                    self._address.port,
                )
        except (OSError, TimeoutError) as error:
            logs.write("WARNING", _PART, f"Dialling {self._address} failed: {error}.")
            self._on_lost()

    def _on_ready(self) -> None:
        self._is_ready = True
        self._dialling = None
        waiting, self._waiting = self._waiting, []
        for frame in waiting:
            self.send(frame)

    def _on_lost(self) -> None:
        self._is_ready = False
        self._protocol = None
        self._dialling = None
        unsent = {frame.call for frame in self._waiting}
        self._waiting.clear()
        sent, self._sent = self._sent, set()
        for call in unsent - sent:
            self._node.links.on_link_lost(call, reached=False)
        for call in sent:
            self._node.links.on_link_lost(call, reached=True)
