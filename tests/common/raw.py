"""Raw TCP exchanges, for input that no HTTP client would send."""

import socket


def exchange(port: int, *pieces: bytes, timeout: float = 3.0) -> bytes:
    """Send pieces and return what is received until the end or a timeout."""
    with socket.create_connection(("127.0.0.1", port), timeout=timeout) as connection:
        for piece in pieces:
            connection.sendall(piece)
        received = b""
        try:
            while data := connection.recv(65_536):
                received += data
        except TimeoutError:
            pass
        return received
