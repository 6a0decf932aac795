"""Requests of callers: their state, and the contents of their heads."""

import collections.abc
import functools
import hashlib
import os
import typing
import urllib.parse

from gingerturn import dialect as dialects, routes
from gingerturn.internal import decoding, ids
from gingerturn.internal.shell import heads

if typing.TYPE_CHECKING:
    from gingerturn.internal.shell import ingress, node as nodes

WINDOW_BYTES = 262_144
"""Bytes of a streamed body that may be sent ahead of the receiver's credit."""

FINGERPRINT_BODY_BYTES = 4_096
"""Length of the prefix of a streamed body that goes into the fingerprint. At least as
much is buffered when a request is dispatched."""

MAX_HEADER_NUMBER = 999_999_999
"""Largest number that is read in a header of a caller."""

BodySink = collections.abc.Callable[[bytes, bool], None]
"""Called with a piece of a body and whether it is the last one."""


class Request:
    """One request of a caller, from its head to the end of its answer.

    :param connection: the connection that it arrived on.
    """

    def __init__(self, connection: "ingress.CallerConnection") -> None:
        self.connection = connection
        self.call = ids.CallId(0)
        self.attempt = 0
        # When its head began to arrive.
        self.began_at: ids.Milliseconds = 0.0
        self.target = b""
        self.method = b""
        self.headers: list[heads.Header] = []
        # The first value of each header, once the head is complete.
        self.values: dict[bytes, bytes] = {}
        # The Content-Length, once the head is complete; 0 if there is none.
        self.length = 0
        self.body = bytearray()
        self.body_bytes = 0
        self.complete = False
        self.dispatched = False
        self.answered = False
        self.finished = False
        # The part of the answer that waits for the answers to earlier requests.
        self.held_output: list[bytes] = []
        self.body_sink: BodySink | None = None
        self.streaming_out = False
        self.chunked_out = False
        self.head = b""
        self.close_after = False
        self.request_id = b""
        self.credit = WINDOW_BYTES
        self.grant_credit: typing.Callable[[int], None] | None = None
        self.withheld_credit = 0

    @property
    def held_bytes(self) -> int:
        """Bytes of its body, and of its answer, that wait in this process."""
        return len(self.body) + sum(map(len, self.held_output))

    def trace_id(self, dialect: dialects.Dialect) -> str:
        """Return the id by which logs name the request; empty if it has none."""
        return self.values.get(dialect.request_id, b"").decode("latin-1")

    def index_headers(self) -> None:
        """Index the headers by name."""
        self.values = dict(reversed(self.headers))

    def __repr__(self) -> str:
        return f"Request({self.method!r}, {self.target!r}, call={self.call})"


def framing_problem(request: Request, version: str, *, api_key: bytes = b"") -> str:
    """Return the fault in a head; empty if there is none.

    Requests of ambiguous length allow request smuggling and are rejected, as are those
    with several API keys.

    :param api_key: name of the header that holds the API key.
    """
    if version != "1.1":
        return f"HTTP/{version} is not served; use HTTP/1.1"
    if request.method == b"CONNECT":
        return "tunnels are not served"
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


def has_body(request: Request) -> bool:
    """Whether the head announces a body."""
    return request.length > 0 or b"transfer-encoding" in request.values


def framing_line(request: Request) -> bytes:
    """Return the header line that frames the body of a request; empty without one."""
    if b"transfer-encoding" in request.values:
        return b"transfer-encoding: chunked\r\n"
    if request.length > 0:
        return b"content-length: %d\r\n" % request.length
    return b""


def declared_length(request: Request) -> int:
    """Return the Content-Length, 0 if it is missing.

    One that is no number in range counts as the largest, which exceeds every limit.
    """
    if b"content-length" not in request.values:
        return 0
    text = text_header(request, b"content-length")
    length = decoding.parse_whole(text, most=decoding.MAX_WHOLE)
    return decoding.MAX_WHOLE if length is None else length


def destination(request: Request) -> tuple[str, str, bytes]:
    """Return service, path and target of a request; no service if it names none."""
    target = request.target
    authority = request.values.get(b"host", b"").decode("latin-1")
    if target.startswith(b"http://"):
        try:
            parts = urllib.parse.urlsplit(target.decode("latin-1"))
        except ValueError:
            return "", "", target
        authority = parts.netloc
        path = parts.path or "/"
        # urlsplit() drops the mark of an empty query.
        has_query = b"?" in target.partition(b"#")[0]
        query = f"?{parts.query}" if has_query else ""
        target = f"{path}{query}".encode("latin-1")
    path = target.split(b"?", 1)[0].decode("latin-1")
    return _service_of(authority), path, target


@functools.lru_cache(maxsize=256)
def _service_of(authority: str) -> str:
    """Return the host of an authority, without user and port."""
    return authority.rsplit("@", 1)[-1].split(":", 1)[0].strip().lower()


def trace_context(
    request: Request, dialect: dialects.Dialect
) -> tuple[str, ids.SpanId]:
    """Return the trace id of a request and the id of its parent span."""
    if dialect.lineage and request.request_id:
        parent = request.request_id.rpartition(dialect.lineage)[0]
        own = request.request_id.decode("latin-1")
        return own, ids.SpanId(parent.decode("latin-1") or own)
    traceparent = heads.parse_traceparent(request.values.get(dialects.TRACEPARENT, b""))
    if traceparent is not None:
        return traceparent
    random_hex = os.urandom(24).hex()
    return random_hex[:32], ids.SpanId(random_hex[32:])


def header(request: Request, wanted: bytes) -> bytes:
    """Return the value of a header; empty if it is missing."""
    value = request.values.get(wanted)
    return b"" if value is None else value.strip()


def text_header(request: Request, wanted: bytes) -> str:
    """Return the value of a header as text, without quotes."""
    value = request.values.get(wanted)
    return "" if value is None else value.strip().decode("latin-1").strip('"')


def number_header(request: Request, wanted: bytes) -> float:
    """Return the whole number in a header; 0 if there is none, or a larger one than
    :data:`MAX_HEADER_NUMBER`."""
    if wanted not in request.values:
        return 0.0
    text = text_header(request, wanted)
    return float(decoding.parse_whole(text, most=MAX_HEADER_NUMBER) or 0)


def digest(body: bytes | bytearray) -> str:
    """Return a digest of a body."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def api_key_digest(request: Request, dialect: dialects.Dialect) -> str:
    """Return the digest of the API key in the head; empty if there is none."""
    key = request.values.get(dialect.api_key)
    return "" if key is None else routes.key_digest(key.strip())


def fingerprint(
    request: Request, service: str, body_digest: str, key_digest: str = ""
) -> ids.Fingerprint:
    """Return the fingerprint, which is equal for every repeat of a request.

    It covers method, service, target, body and credentials. The entry node, the
    connection, ids and headers that differ between repeats are left out.
    """
    body = body_digest
    if not request.complete:
        # The length of the buffered part varies, so only a fixed prefix counts.
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
    hashed = hashlib.blake2b(b"\0".join(parts), digest_size=ids.FINGERPRINT_BYTES)
    return ids.Fingerprint(int.from_bytes(hashed.digest()))


def request_head(request: Request, target: bytes, node: "nodes.Node") -> bytes:
    """Return the head for the backend server, without the final empty line.

    Framing headers are rewritten: with the length of a buffered body, else with the
    framing of the caller.
    """
    dialect = node.dialect
    lines = request.method + b" " + target + b" HTTP/1.1\r\n"
    lines += heads.forwarded_lines(request.headers, without=node.written_headers)
    if dialect.caller_service:
        own = node.settings.backend.service.encode()
        lines += b"%b: %b\r\n" % (dialect.caller_service, own)
    if request.complete:
        if request.body or request.method in {b"POST", b"PUT", b"PATCH"}:
            lines += b"content-length: %d\r\n" % len(request.body)
        return lines
    return lines + framing_line(request)
