"""Small checks of arguments at the public boundary.

Each returns its value or raises an error that names the field, what was passed
and what is allowed.
"""

import ipaddress
import pathlib
import re
import typing

import msgspec

from gingerturn import errors

_T = typing.TypeVar("_T")

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}\Z")
"""Names stand in Host headers and in log streams, hence the narrow alphabet."""


def check_name(field: str, value: str) -> str:
    """Check the name of a node, service, kind, zone or team."""
    if not NAME_PATTERN.match(value):
        raise errors.InvalidArgument(
            f"{field} is {value!r}; allowed are 1 to 63 lower-case letters, digits,"
            " '.', '_' and '-', starting with a letter or digit"
        )
    return value


def check_range(field: str, value: float, low: float, high: float) -> float:
    """Check that a number lies within ``low`` and ``high``, both included."""
    if not low <= value <= high:
        raise errors.InvalidArgument(
            f"{field} is {value!r}; allowed is {low} to {high}"
        )
    return value


def check_ip(field: str, value: str) -> str:
    """Check an IP number; names are refused since nodes talk by IP numbers."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise errors.InvalidArgument(
            f"{field} is {value!r}; allowed is an IP number such as 10.0.0.7"
        ) from None
    return value


MAX_PORT = 65_535


def check_port(field: str, value: int) -> int:
    """Check a TCP or UDP port."""
    return int(check_range(field, value, 1, MAX_PORT))


def port_of(address: str) -> int:
    """Return the port of ``IP:PORT``; 0 for what is no address."""
    port = address.rpartition(":")[2]
    return int(port) if port.isascii() and port.isdigit() else 0


def decode_json(content: bytes, kind: type[_T], *, step: str, peer: str) -> _T:
    """Return what JSON from outside says.

    :param step: what is done, such as ``read settings``.
    :raises InvalidDocument: naming the field that is missing or wrong.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except msgspec.MsgspecError as error:
        what = step.partition(" ")[2]
        problem = f"no {what}: {error}"
        raise errors.InvalidDocument([problem], step=step, peer=peer) from None


def hexadecimal(field: str, text: str, *, step: str, peer: str) -> int:
    """Return a number written in hexadecimal digits.

    :raises InvalidDocument: for anything else.
    """
    try:
        return int(text, 16)
    except ValueError:
        problem = f"{field} is {text!r}; allowed are hexadecimal digits"
        raise errors.InvalidDocument([problem], step=step, peer=peer) from None


def read_bytes(path: pathlib.Path, *, step: str) -> bytes:
    """Return the content of a file.

    :raises InvalidDocument: when it cannot be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.InvalidDocument(
            [f"{path}: {error}"], step=step, peer=str(path)
        ) from None
