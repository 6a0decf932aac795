"""Authenticated, multiplexed connections between nodes."""

import asyncio
import collections
import collections.abc
import hmac
import math
import os
import typing

from gingerturn import errors
from gingerturn.internal import ids, logs
from gingerturn.internal.shell import (
    acknowledgements,
    clock,
    connection_ends,
    descriptors,
    sockets,
    supervision,
)
from gingerturn.internal.wire import compression, datagrams, frames

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import node as nodes


CONNECT_TIMEOUT_S = 1.0
HANDSHAKE_TIMEOUT_S = 2.0
SHORT_HANDSHAKE_MS = 250.0
"""Time for which a handshake keeps its descriptor while descriptors are short."""

NONCE_BYTES = 16
MAX_UNAUTHENTICATED_BYTES = 4_096
"""Limit of bytes buffered for a peer that is not authenticated yet."""

CHECK_INTERVAL_S = 0.1
"""Interval between checks of the connections over which calls wait."""

PING_CHECKS = 3
"""A connection is pinged after this many checks between which nothing arrived. Checks
are counted rather than time, since a node that was paused has not read what arrived."""

REPLACE_CHECKS = 2 * PING_CHECKS
"""A connection with an unanswered ping is replaced after this many such checks."""

STALL_CHECKS = 100
"""Answers that are being streamed over a replaced connection are aborted after this
many such checks, 10 s: they have no deadline, and TCP may never report the loss."""

MAX_UNSENT_BYTES = 4_194_304
"""Unsent bytes of a connection above which answers wait for it, each with the slot of
its call, so that no more are made than the peer reads."""

MAX_COMPRESSING = 100
"""Limit of connections whose frames a node compresses, which bounds memory: the two
streams of a connection take 25 kB. Frames on further connections are sent uncompressed;
each frame shows whether it is."""

_PART = "peers"

_OF_CALLS = (
    frames.Open,
    frames.Answer,
    frames.Refuse,
    frames.Chunk,
    frames.Credit,
    frames.Cancel,
    frames.Broken,
)
"""Frames that carry a part of a call or end it."""


class FrameProtocol(asyncio.Protocol):
    """Framing and mutual authentication, common to both ends of a connection.

    The dialling side sends a nonce; the accepting side replies with its own nonce and
    a proof over both; the dialling side sends its proof last. A proof includes the
    side's role, so that it cannot be reflected.

    :param node: this node.
    """

    def __init__(self, node: "nodes.Node") -> None:
        self._node = node
        self._buffer = bytearray()
        self._transport: asyncio.Transport = typing.cast(asyncio.Transport, None)
        self._watched: acknowledgements.Watched | None = None
        self._silence: TimeoutError | None = None
        self._nonce = os.urandom(NONCE_BYTES)
        self._authenticated = False
        self._deflater: compression.Deflater | None = None
        self._inflater: compression.Inflater | None = None
        self.peer = ids.NodeId("")
        self.peer_answers_pings = False
        self._timer: asyncio.TimerHandle | None = None
        self._closed_here = False

    @property
    def open_calls(self) -> int:
        """Number of calls that were sent over the connection and have not ended."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the connection and start the handshake timeout."""
        self._transport = typing.cast(asyncio.Transport, transport)
        sockets.enable_keepalive(transport)
        self._watched = acknowledgements.Watched(self._transport, self._on_silent)
        self._timer = supervision.call_later(
            HANDSHAKE_TIMEOUT_S, self._abort_unauthenticated, part=_PART
        )

    def data_received(self, data: bytes) -> None:
        """Split and handle frames; an invalid one aborts the connection."""
        self._buffer += data
        try:
            for content in frames.split(self._buffer):
                if not self._authenticated:
                    self._check_unauthenticated_size(len(content))
                    self._on_handshake_frame(frames.decode(content))
                    continue
                frame = frames.decode(content, self._inflater)
                if not self._handle(frame):
                    return
            # Checked after the frames: the proof and a long call may arrive together.
            if not self._authenticated:
                self._check_unauthenticated_size(len(self._buffer))
        except errors.GingerturnError as error:
            logs.write("WARNING", _PART, f"Connection of {self._peer_name()}: {error}.")
            self._abort()

    def _handle(self, frame: frames.Frame) -> bool:
        """Handle a frame. After an error of this node, other calls go on.

        The sides end the call of a frame that they cannot handle. If even that fails,
        the connection is aborted, since later frames of the call would follow.

        :return: whether further frames may be handled.
        :raises GingerturnError: for a frame that is not allowed.
        """
        try:
            self.on_frame(frame)
        except errors.GingerturnError:
            raise
        except Exception as error:
            supervision.record(_PART, error, subject=type(frame).__name__)
            if isinstance(frame, _OF_CALLS):
                self._abort()
                return False
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Record the end, and free the place among those that are compressed."""
        self._node.compressing.discard(self)
        connection_ends.record_nodes(
            self._node,
            self.peer,
            error or self._silence,
            by_node=self._closed_here,
            calls=self.open_calls,
        )

    def send(self, frame: frames.Frame) -> None:
        """Write a frame, unless the connection is closing."""
        if not self.is_closing:
            if self._watched is not None:
                self._node.watch.add(self._watched)
            self._transport.write(frames.encode(frame, self._deflater))

    def on_frame(self, frame: frames.Frame) -> None:
        """Handle a frame of an authenticated peer."""
        raise NotImplementedError

    @property
    def unsent_bytes(self) -> int:
        """Written bytes that the kernel has not taken yet."""
        return self._transport.get_write_buffer_size()

    @property
    def undelivered_bytes(self) -> int:
        """Written bytes that the peer's machine has not acknowledged."""
        return sockets.undelivered_bytes(self._transport)

    @property
    def is_closing(self) -> bool:
        """Whether no further frame is sent."""
        is_connected = bool(self._transport)
        return self._closed_here or (is_connected and self._transport.is_closing())

    def close(self) -> None:
        """Close after flushing buffered data. What the peer still sends is discarded,
        since a reset could discard frames that it has not read yet."""
        self._close(is_sending=False)

    def _close(self, *, is_sending: bool) -> None:
        self._closed_here = True
        self._node.lingering.close(self._transport, self, is_sending=is_sending)

    def abort_transport(self) -> None:
        """Close without flushing buffered data."""
        self._abort()

    def _abort(self) -> None:
        self._closed_here = True
        self._transport.abort()

    def _check_unauthenticated_size(self, count: int) -> None:
        if count > MAX_UNAUTHENTICATED_BYTES:
            raise errors.AuthenticationError(
                "too many bytes before authentication",
                step="authenticate",
                peer=self._peer_name(),
            )

    def _on_handshake_frame(self, frame: frames.Frame) -> None:
        if not isinstance(frame, frames.Hello):
            raise errors.AuthenticationError(
                "a frame before authentication",
                step="authenticate",
                peer=self._peer_name(),
            )
        self._on_hello(frame)

    def _on_hello(self, hello: frames.Hello) -> None:
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
            "the proof matches no shared secret",
            step="authenticate",
            peer=self._peer_name(),
        )

    def _hello(self, proof: bytes) -> frames.Hello:
        return frames.Hello(
            call=0,
            node=self._node.name,
            incarnation=self._node.incarnation,
            nonce=self._nonce,
            proof=proof,
            zone=self._node.settings.node.zone,
            answers_pings=True,
        )

    def _set_authenticated(self, hello: frames.Hello) -> None:
        self._authenticated = True
        self.peer_answers_pings = hello.answers_pings
        self.peer = ids.NodeId(hello.node)
        own = self._node.settings.node.zone
        if own and hello.zone and hello.zone != own:
            self._inflater = compression.Inflater()
            if len(self._node.compressing) < MAX_COMPRESSING:
                self._node.compressing.add(self)
                self._deflater = compression.Deflater()
        if self._timer is not None:
            self._timer.cancel()

    def _abort_unauthenticated(self) -> None:
        if not self._authenticated:
            self._abort()

    def _on_silent(self) -> None:
        self._silence = TimeoutError("the peer acknowledges nothing")
        self._transport.abort()

    def _peer_name(self) -> str:
        if self.peer:
            return self.peer
        return str(self._transport.get_extra_info("peername"))


class Dialled(FrameProtocol):
    """The dialling end, which carries this node's attempts and queries.

    :param ready: called once the peer is authenticated.
    :param lost: called when the connection is lost.
    :param sent: the calls that were sent over it and have not ended.
    """

    def __init__(
        self,
        node: "nodes.Node",
        ready: typing.Callable[[], None],
        lost: typing.Callable[[], None],
        sent: collections.abc.Collection[int] = (),
    ) -> None:
        super().__init__(node)
        self._ready = ready
        self._lost = lost
        self._sent = sent
        self.received_at = 0.0
        self.ping_pending = False

    @property
    def open_calls(self) -> int:
        """Number of calls that were sent over the connection and have not ended."""
        return len(self._sent)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first hello."""
        super().connection_made(transport)
        self.send(self._hello(b""))

    def data_received(self, data: bytes) -> None:
        """Note the time, by which a silent connection is detected."""
        self.received_at = clock.now()
        super().data_received(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the frames that arrived before a reset, and notify the link."""
        if error is not None:
            self._read_undelivered()
        super().connection_lost(error)
        self._lost()

    def _read_undelivered(self) -> None:
        for data in sockets.read_undelivered(self._transport):
            if self._closed_here:
                return
            self.data_received(data)

    def on_frame(self, frame: frames.Frame) -> None:
        """Dispatch a frame of a home node."""
        if isinstance(frame, frames.Pong):
            self.ping_pending = False
            return
        self._node.links.on_link_frame(frame)

    def ping(self) -> None:
        """Send a ping, unless one is pending."""
        if not self.ping_pending:
            self.ping_pending = True
            self.send(frames.Ping())

    def _on_hello(self, hello: frames.Hello) -> None:
        self._check_proof(hello, b"accepting", self._nonce, hello.nonce)
        proof = self._proof(
            self._node.secrets[0],
            b"dialling",
            self._node.name,
            self._nonce,
            hello.nonce,
        )
        # Sent uncompressed: the peer decompresses frames only once it has
        # authenticated this side.
        self.send(self._hello(proof))
        self._set_authenticated(hello)
        self._ready()


class Accepted(FrameProtocol):
    """The accepting end, which carries the calls that this node hosts for the peer."""

    def __init__(self, node: "nodes.Node") -> None:
        super().__init__(node)
        self._peer_nonce = b""
        self._made_at = math.inf
        self._on_writable: collections.deque[collections.abc.Callable[[], None]] = (
            collections.deque()
        )
        self.hosted: dict[int, ids.HostedId] = {}

    @property
    def open_calls(self) -> int:
        """Number of calls that this node hosts for the peer."""
        return len(self.hosted)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, so that the node closes it at its stop."""
        super().connection_made(transport)
        self._made_at = clock.now()
        self._node.accepted.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the calls hosted for the peer."""
        super().connection_lost(error)
        self._node.accepted.discard(self)
        for hosted in list(self.hosted.values()):
            self._node.home.on_cancelled(hosted)
        self.hosted.clear()
        self._run_waiting()

    @property
    def is_backed_up(self) -> bool:
        """Whether the peer does not read what is sent to it."""
        return self.unsent_bytes > MAX_UNSENT_BYTES

    def when_writable(self, function: collections.abc.Callable[[], None]) -> None:
        """Call a function once the peer has read, or the connection is lost."""
        self._on_writable.append(function)

    def resume_writing(self) -> None:
        """Call the functions that waited for the peer to read, until it is behind
        again."""
        self._run_waiting()

    def _run_waiting(self) -> None:
        while self._on_writable and (self.is_closing or not self.is_backed_up):
            with supervision.contained(_PART):
                self._on_writable.popleft()()

    def free_descriptor(self, now: ids.Milliseconds) -> None:
        """Give up a handshake that takes long."""
        if now - self._made_at >= SHORT_HANDSHAKE_MS:
            self._abort_unauthenticated()

    def close(self) -> None:
        """Close after flushing buffered data; calls of the peer may be under way."""
        self._close(is_sending=True)

    def on_frame(self, frame: frames.Frame) -> None:
        """Dispatch a frame of an entry node."""
        self._node.links.on_accepted_frame(self, frame)

    def _on_hello(self, hello: frames.Hello) -> None:
        if not self._peer_nonce:
            self._peer_nonce = hello.nonce
            proof = self._proof(
                self._node.secrets[0],
                b"accepting",
                self._node.name,
                hello.nonce,
                self._nonce,
            )
            self.send(self._hello(proof))
            return
        self._check_proof(hello, b"dialling", self._peer_nonce, self._nonce)
        self._set_authenticated(hello)


class _Outgoing:
    """An outgoing connection, with the calls that were sent over it.

    Frames are queued until the peer is authenticated.

    :param node: this node.
    :param address: the peer's address.
    :param ended: called when the connection is lost or cannot be made.
    """

    def __init__(
        self,
        node: "nodes.Node",
        address: ids.Address,
        ended: typing.Callable[["_Outgoing"], None],
    ) -> None:
        self._node = node
        self._address = address
        self._ended = ended
        self._protocol: Dialled | None = None
        self._is_ready = False
        self._has_ended = False
        self._waiting: list[frames.Frame] = []
        self._sent: set[int] = set()
        self._checked_at = 0.0
        # Consecutive checks at which calls waited and nothing had arrived since the
        # check before.
        self._silent_checks = 0
        self._dial_task = supervision.spawn(
            self._dial(), part=_PART, subject=str(address), failed=self._on_lost
        )

    @property
    def is_unused(self) -> bool:
        """Whether no call is tracked."""
        return not self._sent and not self._waiting

    @property
    def unanswered(self) -> list[int]:
        """The calls that were sent and have not ended."""
        return sorted(self._sent)

    @property
    def is_stalled(self) -> bool:
        """Whether it has been silent for :data:`STALL_CHECKS`."""
        return self._silent_checks >= STALL_CHECKS

    def carries(self, call: int) -> bool:
        """Whether a call was sent over it and has not ended."""
        return call in self._sent

    def send(self, frame: frames.Frame) -> None:
        """Send a frame, or queue it until the connection is established."""
        protocol = self._protocol
        if self._is_ready and protocol is not None and not protocol.is_closing:
            self._sent.add(frame.call)
            protocol.send(frame)
        else:
            self._waiting.append(frame)

    def forget(self, call: int) -> None:
        """Stop tracking a call."""
        self._sent.discard(call)

    def is_silent_since(self, sent_at: ids.Milliseconds) -> bool:
        """Whether it is established and nothing has arrived since a time."""
        protocol = self._protocol
        return (
            self._is_ready and protocol is not None and protocol.received_at < sent_at
        )

    def check(self, now: ids.Milliseconds) -> bool:
        """Ping the peer if the connection is silent; return whether to replace it."""
        protocol = self._protocol
        if not self._is_ready or protocol is None:
            return False
        is_silent = bool(self._sent) and protocol.received_at <= self._checked_at
        self._checked_at = now
        if not is_silent or not protocol.peer_answers_pings:
            self._silent_checks = 0
            return False
        self._silent_checks += 1
        if self._silent_checks == PING_CHECKS:
            protocol.ping()
        return self._silent_checks >= REPLACE_CHECKS

    def close(self) -> None:
        """Close the connection, if there is one."""
        if not self._dial_task.done():
            self._dial_task.cancel()
        elif self._protocol is not None:
            self._protocol.close()

    def _make_protocol(self) -> Dialled:
        # The peer may be authenticated before the task that dials continues.
        self._protocol = Dialled(self._node, self._on_ready, self._on_lost, self._sent)
        return self._protocol

    async def _dial(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await descriptors.use(
                    self._node.descriptors,
                    lambda: loop.create_connection(
                        self._make_protocol, self._address.host, self._address.port
                    ),
                )
        except (OSError, TimeoutError) as error:
            logs.write(
                "WARNING", _PART, f"Connecting to {self._address} failed: {error}."
            )
            self._on_lost()

    def _on_ready(self) -> None:
        self._is_ready = True
        waiting, self._waiting = self._waiting, []
        for frame in waiting:
            self.send(frame)

    def _on_lost(self) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        self._is_ready = False
        self._protocol = None
        self._ended(self)
        unsent = {frame.call for frame in self._waiting}
        self._waiting.clear()
        sent, self._sent = self._sent, set()
        for call in unsent - sent:
            self._node.links.on_link_lost(call, reached=False)
        for call in sent:
            self._node.links.on_link_lost(call, reached=True)


class Link:
    """The outgoing side to one peer, which connects on demand.

    A connection that fell silent is replaced, and its calls in progress are reported.
    They keep it until they end, as their answers may still arrive.

    Invariant: all frames of a call go over the connection that it was opened on; the
    peer does not know the call on another one.

    :param node: this node.
    :param address: the peer's address.
    """

    def __init__(self, node: "nodes.Node", address: ids.Address) -> None:
        self._node = node
        self._address = address
        self._current: _Outgoing | None = None
        self._replaced: list[_Outgoing] = []

    def send(self, frame: frames.Frame) -> None:
        """Send a frame, or queue it until a connection is established."""
        for replaced in self._replaced:
            if replaced.carries(frame.call):
                replaced.send(frame)
                return
        if self._current is None:
            self._current = _Outgoing(self._node, self._address, self._on_ended)
        self._current.send(frame)
        self._node.links.start_checks()

    @property
    def is_waiting(self) -> bool:
        """Whether a call waits on any of its connections."""
        current = self._current
        return bool(self._replaced) or (current is not None and not current.is_unused)

    def check(self, now: ids.Milliseconds) -> None:
        """Ping the peer if the current connection is silent, or replace it."""
        if self._current is not None and self._current.check(now):
            self._replace(self._current)
        for replaced in list(self._replaced):
            replaced.check(now)
            if replaced.is_stalled:
                self._node.entry.abort_streamed(replaced.unanswered)

    def resend_if_silent(self, frame: frames.Frame, sent_at: ids.Milliseconds) -> None:
        """Send a frame again over a new connection, if nothing has arrived on the
        current one since it was sent."""
        current = self._current
        if current is None or not current.is_silent_since(sent_at):
            return
        current.forget(frame.call)
        self._replace(current)
        self.send(frame)

    def forget(self, call: int) -> None:
        """Stop tracking a call that has ended."""
        if self._current is not None:
            self._current.forget(call)
        for replaced in self._replaced:
            replaced.forget(call)
            if replaced.is_unused:
                replaced.close()

    def _replace(self, current: _Outgoing) -> None:
        """Let new calls use a new connection, and report those on the silent one."""
        logs.write("WARNING", _PART, f"Connection to {self._address} is silent.")
        self._node.counters.connections_replaced += 1
        self._current = None
        self._replaced.append(current)
        if current.is_unused:
            current.close()
        self._node.links.on_link_silent(current.unanswered)

    def close(self) -> None:
        """Close all connections."""
        for outgoing in (self._current, *self._replaced):
            if outgoing is not None:
                outgoing.close()

    def _on_ended(self, outgoing: _Outgoing) -> None:
        if outgoing is self._current:
            self._current = None
        else:
            self._replaced.remove(outgoing)
