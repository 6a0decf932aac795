"""Codec of the frames between nodes: a length prefix, then MessagePack.

Every frame has the id of its call. MessagePack is used rather than the Cap'n Proto
schema of membership messages, since it is faster to encode and decode
(docs/design/codecs.md).
"""

import struct
import typing

import msgspec

from gingerturn import errors
from gingerturn.internal import decoding
from gingerturn.internal.core import messages
from gingerturn.internal.wire import compression

MAX_FRAME = 1 << 20
"""Limit of a frame's length in bytes, twice the largest body sent in one frame."""

_LENGTH = struct.Struct(">I")
LENGTH_BYTES = _LENGTH.size


class Open(msgspec.Struct, frozen=True, array_like=True, tag=1, gc=False):
    """A call to the home node.

    :param head: request line and headers as sent to the backend server.
    :param whole: whether the body is complete; otherwise chunks follow.
    """

    call: decoding.Whole
    terms: messages.CallMetadata
    head: bytes
    body: bytes
    whole: bool


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=2, gc=False):
    """The backend server's answer, or its head when the body follows.

    :param length: content length of a body that follows; -1 if unknown.
    :param child_failed: whether a call that the backend server made for it failed.
    """

    call: decoding.Whole
    status: typing.Annotated[int, msgspec.Meta(ge=100, le=999)]
    tokens: decoding.Whole
    report: messages.LoadReport
    decision: str
    head: bytes
    body: bytes
    whole: bool
    length: decoding.Integer = -1
    child_failed: bool = False


class Refuse(msgspec.Struct, frozen=True, array_like=True, tag=3, gc=False):
    """The home node's refusal."""

    call: decoding.Whole
    refusal: messages.Refusal
    tokens: decoding.Whole
    report: messages.LoadReport


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag=4, gc=False):
    """Part of a body sent in several frames."""

    call: decoding.Whole
    body: bytes
    last: bool


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=5, gc=False):
    """Cancels a call."""

    call: decoding.Whole


class Broken(msgspec.Struct, frozen=True, array_like=True, tag=6, gc=False):
    """Ends a body that the sender cannot complete."""

    call: decoding.Whole


class Credit(msgspec.Struct, frozen=True, array_like=True, tag=7, gc=False):
    """Flow control: allows the sender this many more bytes of the body."""

    call: decoding.Whole
    count: decoding.Whole


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=8, gc=False):
    """Handshake of a connection, which authenticates each side by the shared secret.

    :param zone: availability zone of the sender. Frames to another zone may be
        compressed, unless it is empty, as from nodes of an earlier version.
    :param answers_pings: whether the sender answers a :class:`Ping`. Nodes of an
        earlier version abort the connection at a frame that they do not know.
    """

    call: decoding.Whole
    node: str
    incarnation: decoding.Whole
    nonce: bytes
    proof: bytes = b""
    zone: str = ""
    answers_pings: bool = False


class Query(msgspec.Struct, frozen=True, array_like=True, tag=9, gc=False):
    """Queries a node for a decision, the route table, or the configuration changes
    since a revision."""

    call: decoding.Whole
    decision: str = ""
    since: decoding.Whole = 0
    routes: bool = False


class QueryReply(msgspec.Struct, frozen=True, array_like=True, tag=10, gc=False):
    """The result of a :class:`Query`, as JSON."""

    call: decoding.Whole
    content: bytes


class LevelRequest(msgspec.Struct, frozen=True, array_like=True, tag=11, gc=False):
    """Requests the current level of the receiver for calls of a kind."""

    call: decoding.Whole
    kind: str


class LevelReport(msgspec.Struct, frozen=True, array_like=True, tag=12, gc=False):
    """The reply to a :class:`LevelRequest`."""

    call: decoding.Whole
    report: messages.LoadReport


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=13, gc=False):
    """Tests whether a connection is silent; it belongs to no call."""

    call: decoding.Whole = 0


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=14, gc=False):
    """The reply to a :class:`Ping`."""

    call: decoding.Whole = 0


Frame = (
    Open
    | Answer
    | Refuse
    | Chunk
    | Cancel
    | Broken
    | Credit
    | Hello
    | Query
    | QueryReply
    | LevelRequest
    | LevelReport
    | Ping
    | Pong
)

_ENCODER = msgspec.msgpack.Encoder()
_decode = decoding.msgpack_decoder(typing.cast(type[Frame], Frame))


def encode(frame: Frame, deflater: compression.Deflater | None = None) -> bytes:
    """Return an encoded frame with its length prefix.

    :param deflater: compresses content of up to :data:`compression.MAX_CONTENT`.
    """
    content = _ENCODER.encode(frame)
    if deflater is not None and len(content) <= compression.MAX_CONTENT:
        content = deflater.deflate(content)
    return _LENGTH.pack(len(content)) + content


def decode(content: bytes, inflater: compression.Inflater | None = None) -> Frame:
    """Return the frame encoded in content without its length prefix.

    :param inflater: decompresses content; without one compressed content is rejected.
    :raises FrameError: for bytes that are not a valid frame.
    """
    if inflater is not None and content.startswith(compression.MARKER):
        content = inflater.inflate(content)
    try:
        return _decode(content)
    except errors.DecodeError as error:
        raise errors.FrameError(
            f"{len(content)} bytes are no frame: {error}", step="decode a frame"
        ) from None


def split(buffer: bytearray, *, max_length: int = MAX_FRAME) -> list[bytes]:
    """Remove the complete frames from the front of a buffer and return them.

    :raises FrameError: when a length exceeds the limit.
    """
    found: list[bytes] = []
    position = 0
    while len(buffer) - position >= LENGTH_BYTES:
        (length,) = _LENGTH.unpack_from(buffer, position)
        if length > max_length:
            raise errors.FrameError(
                f"a frame of {length} bytes; allowed are {max_length}",
                step="split frames",
            )
        end = position + LENGTH_BYTES + length
        if len(buffer) < end:
            break
        found.append(bytes(buffer[position + LENGTH_BYTES : end]))
        position = end
    if position:
        del buffer[:position]
    return found
