"""Frames of the connections between nodes: a length, then MessagePack.

Every frame carries the id of its call. MessagePack rather than the schema of
:mod:`.schema`: encoding and decoding the four frames of a call took 90 us of the
430 us that a call may cost with it, and takes 8 us so (docs/design/codecs.md).
Membership messages, which are not on a call's way, keep the schema.
"""

import struct

import msgspec

from gingerturn import errors
from gingerturn.internal.core import messages
from gingerturn.internal.wire import compression

MAX_FRAME = 1 << 20
"""A peer that announces a longer frame is not one of ours: 1 MiB is twice the
largest body that a node sends in one frame."""

_LENGTH = struct.Struct(">I")
LENGTH_BYTES = _LENGTH.size


class Open(msgspec.Struct, frozen=True, array_like=True, tag=1, gc=False):
    """A call to the home node.

    :param head: request line and headers as they go to the backend server.
    :param whole: the body is complete; otherwise chunks follow.
    """

    call: int
    terms: messages.CallMetadata
    head: bytes
    body: bytes
    whole: bool


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=2, gc=False):
    """The backend server's answer, or its head when the body follows.

    :param length: announced length of a body that follows; -1 if not known.
    :param child_failed: a call that the backend server made for it failed.
    """

    call: int
    status: int
    tokens: int
    report: messages.LoadReport
    decision: str
    head: bytes
    body: bytes
    whole: bool
    length: int = -1
    child_failed: bool = False


class Refuse(msgspec.Struct, frozen=True, array_like=True, tag=3, gc=False):
    """The home node's refusal."""

    call: int
    refusal: messages.Refusal
    tokens: int
    report: messages.LoadReport


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag=4, gc=False):
    """A piece of a long body."""

    call: int
    body: bytes
    last: bool


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=5, gc=False):
    """The answer is not wanted any more."""

    call: int


class Broken(msgspec.Struct, frozen=True, array_like=True, tag=6, gc=False):
    """The body being sent cannot be completed."""

    call: int


class Credit(msgspec.Struct, frozen=True, array_like=True, tag=7, gc=False):
    """The receiver has room for this many more bytes of the body."""

    call: int
    count: int


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=8, gc=False):
    """Opens a connection; each side proves that it knows the secret.

    :param zone: where the sender runs. Frames to another zone may be compressed; an
        empty one, of a node of an earlier version, means that they may not.
    """

    call: int
    node: str
    incarnation: int
    nonce: bytes
    proof: bytes = b""
    zone: str = ""


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=9, gc=False):
    """A question about what a node holds: a decision, the route table, or what
    changed in the configuration since a revision."""

    call: int
    decision: str = ""
    since: int = 0
    routes: bool = False


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=10, gc=False):
    """The answer to a question, as JSON."""

    call: int
    content: bytes


class AskLevel(msgspec.Struct, frozen=True, array_like=True, tag=11, gc=False):
    """Asks what the receiver sheds at present, for calls of a kind."""

    call: int
    kind: str


class TellLevel(msgspec.Struct, frozen=True, array_like=True, tag=12, gc=False):
    """The answer to that question."""

    call: int
    report: messages.LoadReport


Frame = (
    Open
    | Answer
    | Refuse
    | Chunk
    | Cancel
    | Broken
    | Credit
    | Hello
    | Ask
    | Reply
    | AskLevel
    | TellLevel
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame, deflater: compression.Deflater | None = None) -> bytes:
    """Return a frame with its length in front.

    :param deflater: compresses it, if it is short enough.
    """
    content = _ENCODER.encode(frame)
    if deflater is not None and len(content) <= compression.MAX_CONTENT:
        content = deflater.deflate(content)
    return _LENGTH.pack(len(content)) + content


def decode(content: bytes, inflater: compression.Inflater | None = None) -> Frame:
    """Return the frame in ``content``, without its length.

    :param inflater: undoes the compression of this connection; without one compressed
        content is not taken.
    :raises FrameError: for bytes that are no frame.
    """
    if inflater is not None and content.startswith(compression.MARK):
        content = inflater.inflate(content)
    try:
        return _DECODER.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.FrameError(
            f"{len(content)} bytes are no frame: {error}", step="decode a frame"
        ) from None


def split(buffer: bytearray) -> list[bytes]:
    """Take the complete frames off the front of a buffer.

    :raises FrameError: when a length exceeds :data:`MAX_FRAME`.
    """
    found: list[bytes] = []
    position = 0
    while len(buffer) - position >= LENGTH_BYTES:
        (length,) = _LENGTH.unpack_from(buffer, position)
        if length > MAX_FRAME:
            raise errors.FrameError(
                f"a frame of {length} bytes; allowed are {MAX_FRAME}",
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
