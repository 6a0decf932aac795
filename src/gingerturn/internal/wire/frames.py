"""Frames between nodes: typed values to and from bytes.

Frames on the way of a call (open, answer) are plain classes here rather than
views of the codec's messages, so that nothing outside this module depends on it.
"""

import struct
import typing

import msgspec

from gingerturn import errors
from gingerturn.internal import ids
from gingerturn.internal.core import messages
from gingerturn.internal.wire import schema

MAX_FRAME = 1 << 20
"""A peer that announces a longer frame is not one of ours: 1 MiB is four times
the largest piece of a body that a node sends in one frame."""

_LENGTH = struct.Struct(">I")
LENGTH_BYTES = _LENGTH.size

_OUTCOMES = list(messages.Outcome)


class Open(msgspec.Struct, frozen=True):
    """A call to the home node."""

    call: int
    terms: messages.CallTerms
    head: bytes
    body: bytes
    whole: bool


class Answer(msgspec.Struct, frozen=True):
    """The backend server's answer, or its head when the body follows."""

    call: int
    status: int
    tokens: int
    report: messages.LoadReport
    decision: str
    head: bytes
    body: bytes
    whole: bool
    length: int = -1


class Refuse(msgspec.Struct, frozen=True):
    """The home node's refusal."""

    call: int
    refusal: messages.Refusal
    tokens: int
    report: messages.LoadReport


class Chunk(msgspec.Struct, frozen=True):
    """A piece of a long body."""

    call: int
    body: bytes
    last: bool


class Cancel(msgspec.Struct, frozen=True):
    """The answer is not wanted any more."""

    call: int


class Broken(msgspec.Struct, frozen=True):
    """The body being sent cannot be completed."""

    call: int


class Credit(msgspec.Struct, frozen=True):
    """The receiver has room for this many more bytes of the body."""

    call: int
    count: int


class AskLevel(msgspec.Struct, frozen=True):
    """Asks what the receiver sheds at present, for calls of a kind."""

    call: int
    kind: str


class TellLevel(msgspec.Struct, frozen=True):
    """The answer to that question."""

    call: int
    report: messages.LoadReport


class Hello(msgspec.Struct, frozen=True):
    """Opens a connection; each side proves that it knows the secret."""

    node: str
    incarnation: int
    nonce: bytes
    proof: bytes = b""
    call: int = 0


class Ask(msgspec.Struct, frozen=True):
    """A question about what a node holds."""

    call: int
    decision: str = ""
    since: int = 0


class Reply(msgspec.Struct, frozen=True):
    """The answer to a question, as JSON."""

    call: int
    content: bytes


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


def encode(frame: Frame) -> bytes:
    """Return a frame with its length in front."""
    message = schema.peer.Frame.new_message()
    message.callId = frame.call
    _ENCODERS[type(frame)](message, frame)
    content: bytes = message.to_bytes()
    return _LENGTH.pack(len(content)) + content


def decode(content: bytes) -> Frame:
    """Return the frame in ``content``, without its length.

    :raises FrameError: for bytes that are no frame.
    """
    try:
        with schema.peer.Frame.from_bytes(content) as message:
            decoder = _DECODERS[message.which.raw]
            return decoder(message.callId, message)
    except (
        schema.CapnpError,
        KeyError,
        IndexError,
        ValueError,
        UnicodeDecodeError,
    ) as error:
        # The codec's own text goes on with a native stack; the first line tells all.
        reason = str(error).split("\n", 1)[0]
        raise errors.FrameError(
            f"{len(content)} bytes are no frame: {reason}", step="decode a frame"
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


def _encode_open(message: typing.Any, frame: Open) -> None:
    part = message.init("open")
    terms = frame.terms
    part.service = terms.service
    part.kind = terms.kind
    part.importance = terms.importance
    part.depth = min(terms.depth, 255)
    part.root = terms.root
    part.trace = terms.trace
    part.deadlineMs = terms.deadline_ms
    part.tokens = terms.tokens
    part.repeatable = terms.repeatable
    part.first = terms.first
    if terms.key:
        part.key = terms.key
        part.keyDerived = terms.key_derived
    part.head = frame.head
    part.body = frame.body
    part.whole = frame.whole


def _decode_open(call: int, message: typing.Any) -> Open:
    part = message.open
    terms = messages.CallTerms(
        service=ids.ServiceName(part.service),
        kind=ids.KindName(part.kind),
        importance=part.importance & 7,
        depth=part.depth,
        root=ids.RootHash(part.root),
        trace=part.trace,
        deadline_ms=part.deadlineMs,
        tokens=part.tokens,
        repeatable=part.repeatable,
        key=part.key,
        key_derived=part.keyDerived,
        first=part.first,
    )
    return Open(call, terms, part.head, part.body, part.whole)


def _encode_report(part: typing.Any, report: messages.LoadReport) -> None:
    _fill_report(part.report, report)


def _fill_report(inner: typing.Any, report: messages.LoadReport) -> None:
    inner.level = report.level
    inner.treeLevel = report.tree_level
    inner.load = report.load
    inner.limit = report.limit
    inner.leaving = report.leaving


def _decode_report(part: typing.Any) -> messages.LoadReport:
    return _read_report(part.report)


def _read_report(inner: typing.Any) -> messages.LoadReport:
    return messages.LoadReport(
        level=ids.Rank(inner.level),
        tree_level=ids.Rank(inner.treeLevel),
        load=inner.load,
        limit=inner.limit,
        leaving=inner.leaving,
    )


def _encode_answer(message: typing.Any, frame: Answer) -> None:
    part = message.init("answer")
    part.status = frame.status
    part.tokens = frame.tokens
    _encode_report(part, frame.report)
    part.decision = frame.decision
    part.head = frame.head
    part.body = frame.body
    part.whole = frame.whole
    part.length = frame.length


def _decode_answer(call: int, message: typing.Any) -> Answer:
    part = message.answer
    return Answer(
        call,
        part.status,
        part.tokens,
        _decode_report(part),
        part.decision,
        part.head,
        part.body,
        part.whole,
        part.length,
    )


def _encode_refuse(message: typing.Any, frame: Refuse) -> None:
    part = message.init("refuse")
    refusal = frame.refusal
    part.rule = refusal.rule
    part.outcome = _OUTCOMES.index(refusal.outcome)
    part.retryAfterMs = refusal.retry_after_ms
    part.decision = refusal.decision
    part.holder = refusal.holder
    part.tokens = frame.tokens
    _encode_report(part, frame.report)


def _decode_refuse(call: int, message: typing.Any) -> Refuse:
    part = message.refuse
    refusal = messages.Refusal(
        rule=part.rule,
        outcome=_OUTCOMES[part.outcome],
        retry_after_ms=part.retryAfterMs,
        decision=part.decision,
        holder=part.holder,
    )
    return Refuse(call, refusal, part.tokens, _decode_report(part))


def _encode_chunk(message: typing.Any, frame: Chunk) -> None:
    part = message.init("chunk")
    part.body = frame.body
    part.last = frame.last


def _encode_hello(message: typing.Any, frame: Hello) -> None:
    part = message.init("hello")
    part.node = frame.node
    part.incarnation = frame.incarnation
    part.nonce = frame.nonce
    part.proof = frame.proof


def _decode_hello(call: int, message: typing.Any) -> Hello:
    part = message.hello
    return Hello(part.node, part.incarnation, part.nonce, part.proof)


def _encode_ask(message: typing.Any, frame: Ask) -> None:
    part = message.init("ask")
    part.decision = frame.decision
    part.sinceRevision = frame.since


def _encode_cancel(message: typing.Any, frame: Cancel) -> None:
    message.cancel = None


def _encode_broken(message: typing.Any, frame: Broken) -> None:
    message.broken = None


def _encode_credit(message: typing.Any, frame: Credit) -> None:
    message.credit = frame.count


def _encode_ask_level(message: typing.Any, frame: AskLevel) -> None:
    message.askLevel = frame.kind


def _encode_tell_level(message: typing.Any, frame: TellLevel) -> None:
    _fill_report(message.init("tellLevel"), frame.report)


def _encode_reply(message: typing.Any, frame: Reply) -> None:
    message.reply = frame.content


def _decode_ask(call: int, message: typing.Any) -> Ask:
    return Ask(call, message.ask.decision, message.ask.sinceRevision)


_ENCODERS: dict[type, typing.Callable[[typing.Any, typing.Any], None]] = {
    Open: _encode_open,
    Chunk: _encode_chunk,
    Answer: _encode_answer,
    Refuse: _encode_refuse,
    Cancel: _encode_cancel,
    Broken: _encode_broken,
    Credit: _encode_credit,
    Hello: _encode_hello,
    Ask: _encode_ask,
    Reply: _encode_reply,
    AskLevel: _encode_ask_level,
    TellLevel: _encode_tell_level,
}

_DECODERS: dict[int, typing.Callable[[int, typing.Any], Frame]] = {
    0: _decode_open,
    1: lambda call, message: Chunk(call, message.chunk.body, message.chunk.last),
    2: _decode_answer,
    3: _decode_refuse,
    4: lambda call, message: Cancel(call),
    5: lambda call, message: Credit(call, message.credit),
    6: _decode_hello,
    7: _decode_ask,
    8: lambda call, message: Reply(call, message.reply),
    9: lambda call, message: Broken(call),
    10: lambda call, message: AskLevel(call, message.askLevel),
    11: lambda call, message: TellLevel(call, _read_report(message.tellLevel)),
}
"""By the discriminant of the union, in the order of the schema."""
