"""Raw bytes over a connection, for what no HTTP client would send."""

import socket


def exchange(port: int, *pieces: bytes, timeout: float = 3.0) -> bytes:
    """Send pieces and return everything that comes back until the end."""
    with socket.create_connection(("127.0.0.1", port), timeout=timeout) as connection:
        for piece in pieces:
            connection.sendall(piece)
        found = b""
        try:
            while data := connection.recv(65_536):
                found += data
        except TimeoutError:
            pass
        return found
