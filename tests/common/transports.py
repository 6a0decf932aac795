"""A fake transport that records what is written to it."""

import collections.abc


class Transport:
    """Records the written bytes, whether it was closed, and whether it reads."""

    def __init__(self) -> None:
        self.written = bytearray()
        self.closed = False
        self.reading = True
        self.buffered = 0

    def get_write_buffer_size(self) -> int:
        return self.buffered

    def write(self, data: bytes) -> None:
        assert not self.closed
        self.written += data

    def writelines(self, pieces: collections.abc.Iterable[bytes]) -> None:
        for piece in pieces:
            self.write(piece)

    def close(self) -> None:
        self.closed = True

    abort = close

    # The peer closes its side at once, whereupon the transport closes itself.
    write_eof = close

    def set_protocol(self, protocol: object) -> None:
        pass

    def is_closing(self) -> bool:
        return self.closed

    def get_extra_info(self, name: str) -> tuple[str, int] | None:
        return None if name == "socket" else ("127.0.0.1", 1)

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True
