"""Parser of HTTP/1.1 requests that ignores offers of other protocols.

A server may ignore an ``Upgrade`` (RFC 9110, 7.8). The library ends a request with such
an offer at its head, whatever body it announces, and takes what follows for bytes of
the other protocol.
"""

import typing

import httptools

_CONNECT = b"CONNECT"


class Target(typing.Protocol):
    """Callbacks of the parser, as of the library."""

    def on_message_begin(self) -> None:
        """Start a request."""

    def on_url(self, url: bytes) -> None:
        """Handle a piece of the target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header."""

    def on_headers_complete(self) -> None:
        """Handle the complete head."""

    def on_body(self, body: bytes) -> None:
        """Handle a piece of the body."""

    def on_message_complete(self) -> None:
        """Handle the end of the request."""

    def framing_line(self) -> bytes:
        """Return the header line that frames the body of the current request; empty if
        it has none."""


class RequestParser:
    """A parser of the requests of a connection.

    Behind a head with an offer another parser continues. It is given a head of its own
    with the framing of the request, whose callbacks are dropped.

    :param target: receives the callbacks.
    """

    def __init__(self, target: Target) -> None:
        self._target = target
        self._has_offer = False
        self._in_own_head = False
        # Passed on without a call in between, as this runs for each header.
        self.on_message_begin = target.on_message_begin
        self.on_url = target.on_url
        self.on_header = target.on_header
        self.on_body = target.on_body
        self._parser = httptools.HttpRequestParser(self)

    def feed_data(self, data: bytes) -> None:
        """Parse bytes.

        :raises httptools.HttpParserError: for bytes that are no request.
        :raises httptools.HttpParserUpgrade: for a request for a tunnel.
        """
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as error:
                if not self._has_offer:
                    raise
                data = data[error.args[0] :]
            self._continue_behind_offer()

    def get_method(self) -> bytes:
        """Return the method of the current request."""
        method: bytes = self._parser.get_method()
        return method

    def get_http_version(self) -> str:
        """Return the protocol version of the current request."""
        version: str = self._parser.get_http_version()
        return version

    def should_keep_alive(self) -> bool:
        """Whether the connection may be used behind the current request."""
        keeps: bool = self._parser.should_keep_alive()
        return keeps

    # Callbacks of httptools.HttpRequestParser; the others are those of the target.

    def on_headers_complete(self) -> None:
        """Note an offer, and pass the callback on."""
        if self._in_own_head:
            return
        if self._parser.should_upgrade():
            self._has_offer = self._parser.get_method() != _CONNECT
        self._target.on_headers_complete()

    def on_message_complete(self) -> None:
        """Pass the callback on, unless only the head of the request has ended."""
        if not self._has_offer:
            self._target.on_message_complete()

    def _continue_behind_offer(self) -> None:
        """Continue with the body of the request whose head has ended."""
        head = self.get_method() + b" / HTTP/1.1\r\n" + self._target.framing_line()
        if not self.should_keep_alive():
            head += b"connection: close\r\n"
        self._has_offer = False
        self.on_message_begin = self._on_message_begin
        self.on_url = self._on_url
        self.on_header = self._on_header
        self._parser = httptools.HttpRequestParser(self)
        self._in_own_head = True
        self._parser.feed_data(head + b"\r\n")
        self._in_own_head = False

    def _on_message_begin(self) -> None:
        if not self._in_own_head:
            self._target.on_message_begin()

    def _on_url(self, url: bytes) -> None:
        if not self._in_own_head:
            self._target.on_url(url)

    def _on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_own_head:
            self._target.on_header(name, value)
