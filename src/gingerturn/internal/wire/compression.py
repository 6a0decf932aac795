"""Compression of the frames that cross availability zones.

Most of a frame repeats what went before it on the same connection: header names, hosts,
names of services and kinds. So one deflate stream (RFC 1951) lasts as long as the
connection, and each frame ends with a flush whose fixed last bytes are left out, as in
RFC 7692. A request of 269 bytes takes 74 so and costs 7 us at both ends together
(``benchmarks/frame_sizes.py``). Bytes inside a zone cost nothing and stay plain.
"""

import zlib

from gingerturn import errors

MARK = b"\xc1"
"""In front of compressed content: the one byte that begins no MessagePack."""

MAX_CONTENT = 2_048
"""Longer content stays plain, in bytes: that is mostly a body, which is the backend
server's and seldom shrinks, and compressing it takes 0.15 ms for each 2 kB."""

_LEVEL = 1
_WINDOW_BITS = 11
"""2 kB, some six frames: twice that saves 4 of 74 bytes and takes 20 kB more memory for
a connection."""

_MEMORY_LEVEL = 3
_FLUSH_TAIL = b"\x00\x00\xff\xff"


class Deflater:
    """Compresses the frames of one direction of a connection.

    Invariant: whatever :meth:`deflate` returned goes onto the connection, in order;
    else the other end cannot read what follows.
    """

    def __init__(self) -> None:
        self._stream = zlib.compressobj(
            _LEVEL, zlib.DEFLATED, -_WINDOW_BITS, _MEMORY_LEVEL
        )

    def deflate(self, content: bytes) -> bytes:
        """Return content compressed, with its mark."""
        packed = self._stream.compress(content)
        packed += self._stream.flush(zlib.Z_SYNC_FLUSH)
        return MARK + packed[: -len(_FLUSH_TAIL)]


class Inflater:
    """Undoes what one :class:`Deflater` did."""

    def __init__(self) -> None:
        self._stream = zlib.decompressobj(-_WINDOW_BITS)

    def inflate(self, marked: bytes) -> bytes:
        """Return the content that was compressed.

        :raises FrameError: for bytes that no deflater of ours made.
        """
        packed = marked[len(MARK) :] + _FLUSH_TAIL
        try:
            # One more than is allowed, so that a peer cannot make a node hold more.
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
