"""Listening sockets that begin no new handshakes, so that their queue can be emptied.

The kernel completes handshakes on its own, and resets the connections that wait in the
queue of a listening socket when it closes. Between the last accept and the close there
is always time for another one, unless the kernel drops what would begin it.
"""

import array
import socket
import struct

_SO_ATTACH_FILTER = getattr(socket, "SO_ATTACH_FILTER", 26)
"""Value of Linux on x86-64 and arm64; the module ``socket`` does not name it."""

_INSTRUCTION = struct.Struct("=HBBI")
"""An instruction of classic BPF: code, jumps if true and if false, operand."""

_PROGRAM = struct.Struct("@HP")
"""A program of classic BPF: its number of instructions and their address."""

_LOAD_BYTE = 0x30
_JUMP_IF_SET = 0x45
_RETURN = 0x06
_FLAGS_OFFSET = 13
"""Offset of the flags in a TCP header, at which a segment begins here."""

_SYN = 0x02
_DROP = 0
_KEEP = 0xFFFF_FFFF

_DROP_SYN = array.array(
    "B",
    b"".join(
        _INSTRUCTION.pack(*instruction)
        for instruction in (
            (_LOAD_BYTE, 0, 0, _FLAGS_OFFSET),
            (_JUMP_IF_SET, 0, 1, _SYN),
            (_RETURN, 0, 0, _DROP),
            (_RETURN, 0, 0, _KEEP),
        )
    ),
)


def attach(sock: socket.socket) -> bool:
    """Let a listening TCP socket drop segments that would begin a handshake.

    Handshakes under way are completed. A peer sends its segment again after about a
    second, and is refused if the socket is closed by then.

    :return: whether the system supports it.
    """
    address, size = _DROP_SYN.buffer_info()
    program = _PROGRAM.pack(size // _INSTRUCTION.size, address)
    try:
        sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    except OSError:
        return False
    return True
