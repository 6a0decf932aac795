"""Decoding of what other programs send or write.

Callers, backend servers, other nodes, operators and other writers to the log may send
anything. The libraries raise more than their own errors for it: ``RecursionError`` for
deep nesting, ``ValueError`` for long numbers, ``MemoryError`` for large lengths. Here
all of them become :class:`.errors.DecodeError`, so that a reader needs one handler.

Types to decode use the bounded numbers of this module: a bare ``int`` takes numbers of
any length, which the codecs between nodes cannot encode.
"""

import base64
import binascii
import collections.abc
import typing

import msgspec

from gingerturn import errors

_T = typing.TypeVar("_T")

MAX_WHOLE = (1 << 63) - 1
MAX_NUMBER = 1e15

Whole = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
"""A number that every codec between nodes can encode."""

Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]

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


def json_decoder(kind: type[_T]) -> collections.abc.Callable[[bytes], _T]:
    """Return a function that decodes JSON.

    The function raises :class:`.errors.DecodeError`.
    """
    return _guarded(msgspec.json.Decoder(kind).decode)


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
        text = "it is nested too deeply"
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


def shown(value: object) -> str:
    """Return a value as it is shown in an error, with at most about
    :data:`MAX_SHOWN` characters."""
    if isinstance(value, str) and len(value) > MAX_SHOWN:
        return f"{value[:MAX_SHOWN]!r}..."
    text = repr(value)
    return text if len(text) <= MAX_SHOWN else f"{text[:MAX_SHOWN]}..."
