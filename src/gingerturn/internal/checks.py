"""Validation of arguments and external input.

Each function returns a valid value or raises an error that names the field, the value
and what is allowed.
"""

import ipaddress
import pathlib
import re
import typing

from gingerturn import errors
from gingerturn.internal import decoding

_T = typing.TypeVar("_T")

MAX_NAME_LENGTH = 63
MAX_IP_LENGTH = 45 + 1 + 15
"""Characters of an IPv6 address that ends in an IPv4 address, with the name of an
interface."""

NAME_PATTERN = re.compile(rf"[a-z0-9][a-z0-9._-]{{0,{MAX_NAME_LENGTH - 1}}}\Z")
"""Names are used in Host headers and in names of log streams."""


def check_name(field: str, value: str) -> str:
    """Check the name of a node, service, kind, zone or team."""
    if not NAME_PATTERN.match(value):
        raise errors.InvalidArgument(
            f"{field} is {decoding.shown(value)}; allowed are 1 to 63 lower-case"
            " letters, digits, '.', '_' and '-', starting with a letter or digit"
        )
    return value


def check_range(field: str, value: float, low: float, high: float) -> float:
    """Check that a number is between ``low`` and ``high``, both included."""
    if not low <= value <= high:
        raise errors.InvalidArgument(
            f"{field} is {decoding.shown(value)}; allowed is {low} to {high}"
        )
    return value


def check_ip(field: str, value: str) -> str:
    """Check an IP address; host names are refused since nodes resolve none."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise errors.InvalidArgument(
            f"{field} is {decoding.shown(value)}; allowed is an IP number such as"
            " 10.0.0.7"
        ) from None
    return value


MAX_PORT = 65_535


def check_port(field: str, value: int) -> int:
    """Check a TCP or UDP port."""
    return int(check_range(field, value, 1, MAX_PORT))


def port_of(address: str) -> int:
    """Return the port of ``IP:PORT``; 0 if there is none."""
    port = address.rpartition(":")[2]
    return decoding.parse_whole(port, most=MAX_PORT) or 0


def check_address(field: str, value: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``.

    :raises InvalidArgument: unless both are valid.
    """
    host, port = value.rpartition(":")[0], port_of(value)
    if not port:
        raise errors.InvalidArgument(
            f"{field} is {decoding.shown(value)}; allowed is IP:PORT with a port from"
            f" 1 to {MAX_PORT}"
        )
    return check_ip(field, host), port


def decode_json(content: bytes, kind: type[_T], *, step: str, peer: str) -> _T:
    """Decode external JSON.

    :param step: the step for errors, such as ``read settings``.
    :raises IncompleteDocument: when it is not JSON, as one that is cut.
    :raises InvalidDocument: naming the field that is missing or invalid.
    """
    try:
        return decoding.json_decoder(kind)(content)
    except errors.DecodeError as error:
        content_type = step.partition(" ")[2]
        problem = f"no {content_type}: {error}"
        if error.is_complete:
            raise errors.InvalidDocument([problem], step=step, peer=peer) from None
        raise errors.IncompleteDocument([problem], step=step, peer=peer) from None


def parse_hex(field: str, text: str, *, step: str, peer: str) -> int:
    """Parse a hexadecimal number.

    :raises InvalidDocument: if it is none, or more than :data:`.decoding.MAX_WHOLE`.
    """
    number = decoding.parse_whole(text, most=decoding.MAX_WHOLE, base=16)
    if number is None:
        allowed = f"hexadecimal digits of a number up to {decoding.MAX_WHOLE:x}"
        shown = text[: decoding.MAX_SHOWN]
        problem = f"{field} is {shown!r}; allowed are {allowed}"
        raise errors.InvalidDocument([problem], step=step, peer=peer)
    return number


def read_bytes(path: pathlib.Path, *, step: str) -> bytes:
    """Return the content of a file.

    :raises IncompleteDocument: when it cannot be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.IncompleteDocument(
            [f"{path}: {error}"], step=step, peer=str(path)
        ) from None
