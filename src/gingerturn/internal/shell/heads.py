"""Heads of HTTP messages: what is passed on, what is added, and problems.

The parsing itself is the library's (:mod:`httptools`).
"""

import http
import json

from gingerturn import dialect as dialects
from gingerturn.internal import ids
from gingerturn.internal.core import messages

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
"""Headers of one connection (RFC 9110, 7.6.1) and those about framing, which each
hop writes itself."""

OWN_PREFIX = b"gingerturn-"
"""Headers that only this system says; from outside they are dropped, but for the
timeout of the dialect and the one below, which a caller may send."""

SENDING_HEADER = b"gingerturn-sending"
KEY_HEADER = b"idempotency-key"

Header = tuple[bytes, bytes]

_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}


def passed_on(
    headers: list[Header], *, without: frozenset[bytes] = frozenset()
) -> bytes:
    """Return the header lines that go on to the next hop.

    :param without: names that do not go on.
    """
    named = _named_by_connection(headers)
    dropped = without | named if named else without
    lines = [
        b"%b: %b\r\n" % header
        for header in headers
        if header[0] not in HOP_BY_HOP
        and header[0] not in dropped
        and not header[0].startswith(OWN_PREFIX)
    ]
    return b"".join(lines)


def _named_by_connection(headers: list[Header]) -> frozenset[bytes]:
    for name, value in headers:
        if name == b"connection":
            return frozenset(part.strip().lower() for part in value.split(b","))
    return frozenset()


def value_in(head: bytes, name: bytes) -> bytes:
    """Return the value of a header in a head written by :func:`passed_on`."""
    if not name:
        return b""
    _, found, rest = head.partition(b"\r\n" + name + b": ")
    return rest.partition(b"\r\n")[0].strip() if found else b""


def status_line(status: int) -> bytes:
    """Return the first line of an answer."""
    return b"HTTP/1.1 %d %b\r\n" % (status, _PHRASES.get(status, "").encode())


def problem(
    *,
    status: int,
    outcome: messages.Outcome,
    title: str,
    retry_after_ms: ids.Milliseconds,
    decision: str,
    close: bool,
    with_body: bool = True,
    dialect: dialects.Dialect = dialects.DEFAULT,
    request_id: bytes = b"",
) -> bytes:
    """Return a whole answer with an RFC 9457 problem body."""
    fields: dict[str, object] = {
        "type": "about:blank",
        "title": title,
        "status": status,
        "outcome": outcome.value,
    }
    lines = [
        status_line(status),
        b"content-type: application/problem+json\r\n",
        b"gingerturn-outcome: %b\r\n" % outcome.value.encode(),
    ]
    if decision:
        fields["decision"] = decision
        lines.append(b"%b: %b\r\n" % (dialect.decision, decision.encode()))
    if request_id:
        lines.append(b"%b: %b\r\n" % (dialect.request_id, request_id))
    if retry_after_ms > 0:
        seconds = retry_after_ms / 1000.0
        if not dialect.retry_after_fractions:
            # RFC 9110 knows whole seconds only.
            seconds = max(1, round(seconds))
        fields["retry_after_s"] = round(seconds, 3)
        lines.append(b"retry-after: %g\r\n" % round(seconds, 3))
    if close:
        lines.append(b"connection: close\r\n")
    body = json.dumps(fields).encode()
    lines.append(b"content-length: %d\r\n\r\n" % len(body))
    if with_body:
        lines.append(body)
    return b"".join(lines)


def parse_traceparent(value: bytes) -> tuple[str, ids.SpanId] | None:
    """Return trace and span of a W3C ``traceparent``; ``None`` for a bad one."""
    parts = value.decode("latin-1").strip().split("-")
    if len(parts) < 4 or len(parts[1]) != 32 or len(parts[2]) != 16:
        return None
    try:
        if int(parts[1], 16) == 0 or int(parts[2], 16) == 0:
            return None
    except ValueError:
        return None
    return parts[1].lower(), ids.SpanId(parts[2].lower())
