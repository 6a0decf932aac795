"""Heads of HTTP messages: forwarded headers, added headers and problem responses.

Messages are parsed by :mod:`httptools`.
"""

import functools
import http
import json

from gingerturn import dialect as dialects
from gingerturn.internal import decoding, ids
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
"""Connection headers (RFC 9110, 7.6.1) and framing headers, which are not forwarded."""

OWN_PREFIX = b"gingerturn-"
"""Prefix of the headers of this system, which are not forwarded. Of callers, only the
timeout of the dialect and :data:`SENDING_HEADER` are read."""

SENDING_HEADER = b"gingerturn-sending"

Header = tuple[bytes, bytes]

_MAX_TRACE = (1 << 128) - 1
_MAX_SPAN = (1 << 64) - 1

_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}


def forwarded_lines(
    headers: list[Header], *, without: frozenset[bytes] = frozenset()
) -> bytes:
    """Return the header lines to forward to the next hop.

    :param without: names of further headers that are not forwarded.
    """
    options = _connection_options(headers)
    dropped = _dropped_names(without)
    if options:
        dropped |= options
    lines = [
        b"%b: %b\r\n" % header
        for header in headers
        if header[0] not in dropped and not header[0].startswith(OWN_PREFIX)
    ]
    return b"".join(lines)


@functools.lru_cache(maxsize=8)
def _dropped_names(without: frozenset[bytes]) -> frozenset[bytes]:
    """Return the names that are not forwarded, with those of one dialect."""
    return HOP_BY_HOP | without


def _connection_options(headers: list[Header]) -> frozenset[bytes]:
    values = [value for name, value in headers if name == b"connection"]
    if not values:
        return frozenset()
    return frozenset(part.strip().lower() for part in b",".join(values).split(b","))


def find_value(head: bytes, name: bytes) -> bytes:
    """Return the value of a header in a head written by :func:`forwarded_lines`."""
    if not name:
        return b""
    _, found, rest = head.partition(b"\r\n" + name + b": ")
    return rest.partition(b"\r\n")[0].strip() if found else b""


@functools.lru_cache(maxsize=1_000)
def status_line(status: int) -> bytes:
    """Return the status line of an answer."""
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
    """Return a complete answer with an RFC 9457 problem body."""
    fixed_lines, fields = _fixed_parts(status, outcome, title)
    lines = [fixed_lines]
    if decision:
        fields += f', "decision": {json.dumps(decision)}'
        lines.append(b"%b: %b\r\n" % (dialect.decision, decision.encode()))
    if request_id:
        lines.append(b"%b: %b\r\n" % (dialect.request_id, request_id))
    if retry_after_ms > 0:
        seconds = retry_after_ms / 1000.0
        if not dialect.retry_after_fractions:
            # RFC 9110 allows only whole seconds.
            seconds = max(1, round(seconds))
        seconds = round(seconds, 3)
        fields += f', "retry_after_s": {seconds!r}'
        lines.append(b"retry-after: %g\r\n" % seconds)
    if close:
        lines.append(b"connection: close\r\n")
    body = fields.encode() + b"}"
    lines.append(b"content-length: %d\r\n\r\n" % len(body))
    if with_body:
        lines.append(body)
    return b"".join(lines)


@functools.lru_cache(maxsize=256)
def _fixed_parts(
    status: int, outcome: messages.Outcome, title: str
) -> tuple[bytes, str]:
    """Return the lines and the beginning of the body that a problem always has.

    Under overload most answers are problems of few kinds.
    """
    lines = (
        status_line(status)
        + b"content-type: application/problem+json\r\n"
        + b"gingerturn-outcome: %b\r\n" % outcome.value.encode()
    )
    fields: dict[str, object] = {
        "type": "about:blank",
        "title": title,
        "status": status,
        "outcome": outcome.value,
    }
    return lines, json.dumps(fields)[:-1]


def parse_traceparent(value: bytes) -> tuple[str, ids.SpanId] | None:
    """Return trace and span of a W3C ``traceparent``; ``None`` if it is not valid."""
    parts = value.decode("latin-1").strip().split("-")
    if len(parts) < 4 or len(parts[1]) != 32 or len(parts[2]) != 16:
        return None
    trace = decoding.parse_whole(parts[1], most=_MAX_TRACE, base=16)
    span = decoding.parse_whole(parts[2], most=_MAX_SPAN, base=16)
    if not trace or not span:
        return None
    return parts[1].lower(), ids.SpanId(parts[2].lower())
