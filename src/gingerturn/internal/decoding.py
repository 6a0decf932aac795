"""Decoding of what other programs send or write.

Callers, backend servers, other nodes, operators and other writers to the log may send
anything. The libraries raise more than their own errors for it: ``RecursionError`` for
deep nesting, ``ValueError`` for long numbers, ``MemoryError`` for large lengths. Here
all of them become :class:`.errors.DecodeError`, so that a reader needs one handler.

Types to decode use the bounded numbers of this module: a bare ``int`` takes numbers of
any length, which the codecs between nodes cannot encode.

How deeply a value may be nested for a library depends on the stack of its caller. The
bound here does not, so that a replay of events decodes what the node decoded.
"""

import base64
import binascii
import collections.abc
import itertools
import re
import sys
import typing

import msgspec

from gingerturn import errors

_T = typing.TypeVar("_T")

MAX_WHOLE = (1 << 63) - 1
MAX_NUMBER = 1e15

Whole = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
"""A number that every codec between nodes can encode."""

Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]

MAX_FLOAT = sys.float_info.max

Finite = typing.Annotated[float, msgspec.Meta(ge=-MAX_FLOAT, le=MAX_FLOAT)]
"""A finite number that may be too large for any use."""

Number = typing.Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""A finite number."""

_FAILURES = (
    msgspec.MsgspecError,
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
    MemoryError,
)
"""What a decoder may raise; ``ValueError`` includes errors of text encodings."""

MAX_SHOWN = 200
"""Characters of an error of a library that are shown."""

MAX_NESTING = 64
"""Levels of arrays and objects in JSON."""

_BRACKETS = b"[]{}"
_OTHER_BYTES = bytes(set(range(256)) - set(_BRACKETS))
_MAYBE_SURROGATE = re.compile(rb"\\u[dD][89a-fA-F]")
_ESCAPES = re.compile(
    rb"\\(?:u[dD][89abAB]..\\u[dD][c-fC-F]..|(?P<lone>u[dD][89a-fA-F]..)|.)",
    re.DOTALL,
)
_STEPS = bytes(
    {ord("["): 1, ord("{"): 1, ord("]"): 0xFF, ord("}"): 0xFF}.get(byte, 0)
    for byte in range(256)
)
"""Change of the level at each byte, as a signed byte."""


def json_decoder(kind: type[_T]) -> collections.abc.Callable[[bytes], _T]:
    """Return a function that decodes JSON of up to :data:`MAX_NESTING` levels.

    The function raises :class:`.errors.DecodeError`.
    """
    decode = msgspec.json.Decoder(kind).decode

    def bounded(content: bytes) -> _T:
        if is_nested_too_deeply(content):
            raise RecursionError
        return decode(content)

    return _guarded(bounded)


def is_nested_too_deeply(content: bytes) -> bool:
    """Whether JSON has more than :data:`MAX_NESTING` levels.

    The answer is of no meaning for bytes that are not JSON.
    """
    if content.count(b"[") + content.count(b"{") <= MAX_NESTING:
        return False
    parts = _without_escapes(content).split(b'"')
    brackets = b"".join(parts[::2]).translate(None, _OTHER_BYTES)
    return max(_levels(brackets), default=0) > MAX_NESTING


def salvage(content: bytes) -> bytes:
    """Return JSON without what makes a decoder refuse all of it.

    There is ``null`` in place of each value that is nested too deeply, and a
    replacement character in place of each surrogate without the other one of its pair.
    """
    if _MAYBE_SURROGATE.search(content):
        content = _ESCAPES.sub(_replacement, content)
    return _prune(content) if is_nested_too_deeply(content) else content


def _replacement(escape: re.Match[bytes]) -> bytes:
    return escape[0] if escape["lone"] is None else rb"\ufffd"


def _prune(content: bytes) -> bytes:
    parts = _without_escapes(content).split(b'"')
    parts[1::2] = [bytes(len(text)) for text in parts[1::2]]
    is_deep = bytes(map(MAX_NESTING.__lt__, _levels(b'"'.join(parts))))
    kept: list[bytes] = []
    end = 0
    while (start := is_deep.find(True, end)) >= 0:
        kept += (content[end:start], b"null")
        end = is_deep.find(False, start) + 1
        if not end:
            return b"".join(kept)
    kept.append(content[end:])
    return b"".join(kept)


def _without_escapes(content: bytes) -> bytes:
    """Replace escaped quotes and backslashes in JSON, and keep its length."""
    return content.replace(rb"\\", b"__").replace(rb"\"", b"__")


def _levels(content: bytes) -> collections.abc.Iterator[int]:
    """Return the level of nesting behind each byte of JSON without strings."""
    steps = memoryview(content.translate(_STEPS)).cast("b")
    return itertools.accumulate(steps)


def msgpack_decoder(kind: type[_T]) -> collections.abc.Callable[[bytes], _T]:
    """Return a function that decodes MessagePack.

    The function raises :class:`.errors.DecodeError`.
    """
    return _guarded(msgspec.msgpack.Decoder(kind).decode)


def converter(kind: type[_T]) -> collections.abc.Callable[[object], _T]:
    """Return a function that converts decoded values to a type.

    The function raises :class:`.errors.DecodeError`.
    """
    return _guarded(lambda value: msgspec.convert(value, kind))


def encoding_of(content: bytes) -> str:
    """Return the encoding in which text is decoded without an error and without loss:
    UTF-8, or Latin-1 for bytes that are not UTF-8."""
    try:
        content.decode()
    except UnicodeDecodeError:
        return "latin-1"
    return "utf-8"


def decode_base64(text: str) -> bytes:
    """Decode base64.

    :raises DecodeError: for other characters, or a wrong length.
    """
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise _error(error) from None


def parse_whole(text: str, *, most: int, base: int = 10) -> int | None:
    """Return the whole number in a text of ASCII digits.

    :return: ``None`` if it is none or more than ``most``.
    """
    if not (text.isascii() and text.isalnum()):
        return None
    digits = text.lstrip("0")
    if len(digits) > most.bit_length():
        return None
    try:
        number = int(digits or "0", base)
    except ValueError:
        return None
    return number if number <= most else None


def _guarded(
    decode: collections.abc.Callable[[typing.Any], _T],
) -> collections.abc.Callable[[typing.Any], _T]:
    def guarded(content: typing.Any) -> _T:
        try:
            return decode(content)
        except _FAILURES as error:
            raise _error(error) from None

    return guarded


def _error(error: Exception) -> errors.DecodeError:
    text = str(error) or type(error).__name__
    if isinstance(error, RecursionError):
        text = f"nested too deeply; allowed are {MAX_NESTING} levels"
    is_complete = not isinstance(error, msgspec.DecodeError) or isinstance(
        error, msgspec.ValidationError
    )
    return errors.DecodeError(text[:MAX_SHOWN], is_complete=is_complete)


def decode_toml(text: str) -> dict[str, typing.Any]:
    """Decode TOML.

    :raises DecodeError: which may be complete: a cut document can end anywhere.
    """
    # Imported lazily: a node whose settings have another format starts faster.
    import tomllib

    return _guarded(tomllib.loads)(text)


def parse_float(value: str | float) -> float:
    """Return a text or a whole number as a float, which may be infinite or no number.

    :raises DecodeError: for other texts, and for numbers that are too large.
    """
    return _guarded(float)(value)


def shown(value: object) -> str:
    """Return a value as it is shown in an error, with at most about
    :data:`MAX_SHOWN` characters."""
    if isinstance(value, str) and len(value) > MAX_SHOWN:
        return f"{value[:MAX_SHOWN]!r}..."
    text = repr(value)
    return text if len(text) <= MAX_SHOWN else f"{text[:MAX_SHOWN]}..."
