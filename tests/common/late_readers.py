"""Callers on blocking sockets that read only once they have written everything."""

import collections.abc
import socket
import time

import msgspec

READ_TIMEOUT_S = 30.0


class Seen(msgspec.Struct, frozen=True):
    """What a caller received.

    :param error: the error that ended the connection; empty for a regular end.
    """

    received: bytes
    error: str


def exchange(
    port: int, pieces: collections.abc.Iterable[bytes], *, pause_s: float = 0.0
) -> Seen:
    """Write all pieces, and only then read until the end of the connection.

    :param pause_s: before each piece but the first.
    """
    received = b""
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.settimeout(READ_TIMEOUT_S)
        try:
            for number, piece in enumerate(pieces):
                if number:
                    time.sleep(pause_s)
                connection.sendall(piece)
            while data := connection.recv(65_536):
                received += data
        except OSError as error:
            return Seen(received, repr(error))
    return Seen(received, "")
