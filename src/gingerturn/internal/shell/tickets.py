"""Tickets: idempotency keys that are bound to one incarnation of a home node.

Any node mints them. Only the named incarnation runs a call with the ticket. It records
the used tickets in memory, so that the call needs no claim in the log and is served
while the log is unavailable. A MAC prevents callers from forging tickets.
"""

import hmac
import os

from gingerturn import errors
from gingerturn.internal import decoding, ids
from gingerturn.internal.core import keys
from gingerturn.internal.wire import datagrams

PREFIX = "gt1."


def mint(
    secret: bytes, *, holder: str, service: ids.ServiceName, now: ids.Milliseconds
) -> str:
    """Return a new ticket.

    :param holder: the home node as ``node/incarnation``.
    """
    node, _, incarnation = holder.rpartition("/")
    nonce = os.urandom(12).hex()
    text = f"{PREFIX}{int(now)}.{nonce}.{incarnation}.{service}.{node}"
    return f"{text}.{_ticket_mac(secret, text)}"


def is_ticket(key: str) -> bool:
    """Whether a key has the form of a ticket."""
    return key.startswith(PREFIX)


def check(
    secrets: list[bytes], key: str, *, service: str, now: ids.Milliseconds
) -> str:
    """Verify a ticket and return its holder, as ``node/incarnation``.

    :param secrets: the secrets whose MAC is accepted.
    :raises InvalidArgument: if the ticket is not authentic, is one of another service,
        or was not minted within :data:`keys.KEY_WINDOW_MS`.
    """
    text, _, tag = key.rpartition(".")
    given = tag.encode()
    if not any(
        hmac.compare_digest(_ticket_mac(secret, text).encode(), given)
        for secret in secrets
    ):
        raise _invalid("the ticket is not authentic")
    # Names may contain dots, so the fields before them are split off first.
    minted_at, _, incarnation, rest = text.removeprefix(PREFIX).split(".", 3)
    if not rest.startswith(f"{service}."):
        raise _invalid(f"the ticket is not one of service {service!r}")
    minted_ms = decoding.parse_whole(minted_at, most=decoding.MAX_WHOLE) or 0
    if not now - keys.KEY_WINDOW_MS <= minted_ms <= now + keys.CLOCK_SKEW_MS:
        raise _invalid("the ticket is older than 15 minutes; get a new one")
    node = rest.removeprefix(f"{service}.")
    return f"{node}/{incarnation}"


def _ticket_mac(secret: bytes, text: str) -> str:
    return datagrams.mac(secret, b"ticket|" + text.encode("utf-8")).hex()


def _invalid(message: str) -> errors.InvalidArgument:
    return errors.InvalidArgument(message, step="check a ticket")
