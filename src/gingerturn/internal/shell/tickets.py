"""Tickets: keys that name the one node that may run them.

A ticket is minted by any node for a home node in its present incarnation, and only
that incarnation runs it; it remembers in memory which it has run. So a call with a
ticket needs no claim on the log and goes on while the log is down. A keyed MAC keeps
callers from making up tickets of their own.
"""

import hmac
import os

from gingerturn import errors
from gingerturn.internal import ids
from gingerturn.internal.core import keys
from gingerturn.internal.wire import datagrams

PREFIX = "gt1."


def mint(
    secret: bytes, *, holder: str, service: ids.ServiceName, now: ids.Milliseconds
) -> str:
    """Return a fresh ticket.

    :param holder: the home node as ``node/incarnation``.
    """
    node, _, incarnation = holder.rpartition("/")
    unique = os.urandom(12).hex()
    text = f"{PREFIX}{int(now)}.{unique}.{incarnation}.{service}.{node}"
    return f"{text}.{_proof(secret, text)}"


def is_ticket(key: str) -> bool:
    """Tell whether a key has the form of a ticket."""
    return key.startswith(PREFIX)


def check(
    secrets: list[bytes], key: str, *, service: str, now: ids.Milliseconds
) -> str:
    """Return the holder of a ticket, as ``node/incarnation``.

    :raises InvalidArgument: when it is not authentic, of another service, or older
        than keys count.
    """
    text, _, proof = key.rpartition(".")
    if not any(hmac.compare_digest(_proof(s, text), proof) for s in secrets):
        raise _invalid("the ticket is not authentic")
    # Names may hold dots themselves, so the parts before them are split off first.
    stamp, _, incarnation, rest = text.removeprefix(PREFIX).split(".", 3)
    if not rest.startswith(f"{service}."):
        raise _invalid(f"the ticket is not one of service {service!r}")
    if not now - keys.KEY_WINDOW_MS <= float(stamp) <= now + keys.CLOCK_SKEW_MS:
        raise _invalid("the ticket is older than 15 minutes; get a new one")
    node = rest.removeprefix(f"{service}.")
    return f"{node}/{incarnation}"


def _proof(secret: bytes, text: str) -> str:
    return datagrams.mac(secret, b"ticket|" + text.encode("utf-8")).hex()


def _invalid(message: str) -> errors.InvalidArgument:
    return errors.InvalidArgument(message, step="check a ticket")
