"""Compression of the frames that cross availability zones.

Most of a frame repeats earlier frames of the same connection: header names, hosts,
names of services and kinds. So each direction of a connection is one deflate stream
(RFC 1951), and each frame ends with a sync flush whose fixed tail is omitted, as in
RFC 7692. Traffic inside a zone is not charged for and stays uncompressed.
"""

import zlib

from gingerturn import errors

MARKER = b"\xc1"
"""Prefix of compressed content: the byte that MessagePack never uses."""

MAX_CONTENT = 2_048
"""Limit in bytes of content that is compressed. Longer content is mostly a body, whose
compression takes time and saves little."""

_LEVEL = 1
_WINDOW_BITS = 11
"""Base two logarithm of the window size: 2 kB, which bounds memory per connection."""

_MEMORY_LEVEL = 3
_FLUSH_TAIL = b"\x00\x00\xff\xff"


class Deflater:
    """Compresses the frames of one direction of a connection.

    Invariant: every result of :meth:`deflate` is sent, in order; otherwise the peer
    cannot decompress later frames.
    """

    def __init__(self) -> None:
        self._stream = zlib.compressobj(
            _LEVEL, zlib.DEFLATED, -_WINDOW_BITS, _MEMORY_LEVEL
        )

    def deflate(self, content: bytes) -> bytes:
        """Return compressed content with its marker."""
        packed = self._stream.compress(content)
        packed += self._stream.flush(zlib.Z_SYNC_FLUSH)
        return MARKER + packed[: -len(_FLUSH_TAIL)]


class Inflater:
    """Decompresses the frames of one :class:`Deflater`."""

    def __init__(self) -> None:
        self._stream = zlib.decompressobj(-_WINDOW_BITS)

    def inflate(self, marked: bytes) -> bytes:
        """Return decompressed content.

        :raises FrameError: for bytes that are no compressed content, or too many.
        """
        packed = marked[len(MARKER) :] + _FLUSH_TAIL
        try:
            # Bounds the memory that a peer can make a node allocate.
            content = self._stream.decompress(packed, MAX_CONTENT + 1)
        except zlib.error as error:
            raise errors.FrameError(
                f"{len(marked)} bytes are not compressed content: {error}",
                step="inflate a frame",
            ) from None
        if len(content) > MAX_CONTENT or self._stream.unconsumed_tail:
            raise errors.FrameError(
                f"compressed content of over {MAX_CONTENT} bytes",
                step="inflate a frame",
            )
        return content
