"""One request of a caller: what is kept of it, and what its head says."""

import collections.abc
import hashlib
import os
import typing
import urllib.parse

from gingerturn import dialect as dialects, routes
from gingerturn.internal import ids
from gingerturn.internal.shell import heads

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import ingress, node as nodes

WINDOW = 262_144
"""Bytes of a streamed body that may be under way without the receiver's word."""

FINGERPRINT_BODY_BYTES = 4_096
"""Of a body that is not held whole this much tells requests apart; as much is always
held when a request is sent on."""

BodySink = collections.abc.Callable[[bytes, bool], None]
"""Takes a piece of a body and whether it is the last."""


class Request:
    """One request of a caller, from its head to the end of its answer.

    :param call: id under which the core knows it.
    """

    def __init__(self, connection: "ingress.CallerConnection") -> None:
        self.connection = connection
        self.call = ids.CallId(0)
        self.attempt = 0
        self.target = b""
        self.method = b""
        self.headers: list[heads.Header] = []
        # The first value of each header, once the head is whole.
        self.values: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.body_bytes = 0
        self.complete = False
        self.dispatched = False
        self.answered = False
        self.streaming_in: BodySink | None = None
        self.streaming_out = False
        self.chunked_out = False
        self.head = b""
        self.close_after = False
        self.request_id = b""
        self.credit = WINDOW
        self.resume_credit: typing.Callable[[int], None] | None = None
        self.owed_credit = 0

    def end_head(self) -> None:
        """Make the headers ready for look-ups."""
        self.values = dict(reversed(self.headers))

    def __repr__(self) -> str:
        return f"Request({self.method!r}, {self.target!r}, call={self.call})"


def framing_problem(request: Request, version: str, *, api_key: bytes = b"") -> str:
    """Return what is wrong with a head, or an empty string.

    A request whose length two parties could read differently is refused: that is
    how requests are smuggled past one of them. So is one with two API keys.

    :param api_key: name of the header that holds the API key.
    """
    if version != "1.1":
        return f"HTTP/{version} is not served; use HTTP/1.1"
    values = request.values
    if len(values) != len(request.headers):
        names = [name for name, _ in request.headers]
        if names.count(b"content-length") > 1:
            return "Content-Length is given more than once"
        if names.count(b"host") > 1:
            return "Host must be given exactly once"
        if api_key and names.count(api_key) > 1:
            return f"{api_key.decode()} is given more than once"
    if b"host" not in values:
        return "Host must be given exactly once"
    if b"transfer-encoding" not in values:
        return ""
    if b"content-length" in values:
        return "Content-Length and Transfer-Encoding are given both"
    for name, value in request.headers:
        if name == b"transfer-encoding" and value.strip().lower() != b"chunked":
            return "Transfer-Encoding must be chunked"
    return ""


def announced_length(request: Request) -> int:
    """Return the length of the body that the head announces; 0 for none."""
    text = text_header(request, b"content-length")
    return int(text) if text.isdigit() else 0


def destination(request: Request) -> tuple[str, str, bytes]:
    """Return service, path and target of a request."""
    target = request.target
    authority = request.values.get(b"host", b"").decode("latin-1")
    if target.startswith(b"http://"):
        parts = urllib.parse.urlsplit(target.decode("latin-1"))
        authority = parts.netloc
        path = parts.path or "/"
        query = f"?{parts.query}" if parts.query else ""
        target = f"{path}{query}".encode("latin-1")
    service = authority.rsplit("@", 1)[-1].split(":", 1)[0].strip().lower()
    path = target.split(b"?", 1)[0].decode("latin-1")
    return service, path, target


def trace_of(request: Request, dialect: dialects.Dialect) -> tuple[str, ids.SpanId]:
    """Return what stands for the request, and for what it is part of."""
    if dialect.lineage and request.request_id:
        parent = request.request_id.rpartition(dialect.lineage)[0]
        own = request.request_id.decode("latin-1")
        return own, ids.SpanId(parent.decode("latin-1") or own)
    known = heads.parse_traceparent(request.values.get(dialects.TRACEPARENT, b""))
    if known is not None:
        return known
    fresh = os.urandom(24).hex()
    return fresh[:32], ids.SpanId(fresh[32:])


def header(request: Request, wanted: bytes) -> bytes:
    """Return the value of a header; empty where it is missing."""
    return request.values.get(wanted, b"").strip()


def text_header(request: Request, wanted: bytes) -> str:
    """Return the value of a header as text, without quotes."""
    return header(request, wanted).decode("latin-1").strip('"')


def number_header(request: Request, wanted: bytes) -> float:
    """Return the number in a header; 0 where there is none."""
    text = text_header(request, wanted)
    return float(text) if text.isdigit() and len(text) <= 9 else 0.0


def digest(body: bytes | bytearray) -> str:
    """Return a digest of a body, by which two are told apart."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def api_key_digest(request: Request, dialect: dialects.Dialect) -> str:
    """Return the digest of the API key in the head; empty where there is none."""
    key = request.values.get(dialect.api_key)
    return "" if key is None else routes.key_digest(key.strip())


def fingerprint(
    request: Request, service: str, body_digest: str, key_digest: str = ""
) -> ids.Fingerprint:
    """Return what is the same whenever a request is sent: by any caller's connection,
    through any node, under any id.

    Who is asked, for what, with which body, in whose name. Headers that change from
    one sending to the next are left out, as is the entry node.
    """
    body = body_digest
    if not request.complete:
        # How much of a long body has come in by now is chance.
        body = digest(request.body[:FINGERPRINT_BODY_BYTES])
    parts = (
        request.method,
        service.encode(),
        request.target,
        request.values.get(b"authorization", b""),
        key_digest.encode(),
        request.values.get(b"content-length", b""),
        body.encode(),
    )
    found = hashlib.blake2b(b"\0".join(parts), digest_size=ids.FINGERPRINT_BYTES)
    return ids.Fingerprint(int.from_bytes(found.digest()))


def request_head(request: Request, target: bytes, node: "nodes.Node") -> bytes:
    """Return the head that goes to the backend server, without its end.

    Framing is written anew: the length of a held body, or as announced.
    """
    dialect = node.dialect
    lines = request.method + b" " + target + b" HTTP/1.1\r\n"
    lines += heads.passed_on(request.headers, without=node.written_headers)
    if dialect.caller_service:
        own = node.settings.backend.service.encode()
        lines += b"%b: %b\r\n" % (dialect.caller_service, own)
    if request.complete:
        if request.body or request.method in {b"POST", b"PUT", b"PATCH"}:
            lines += b"content-length: %d\r\n" % len(request.body)
        return lines
    announced = request.values.get(b"content-length")
    if announced is not None:
        return lines + b"content-length: %b\r\n" % announced
    return lines + b"transfer-encoding: chunked\r\n"
