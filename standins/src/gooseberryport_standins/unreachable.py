"""Sockets on loopback whose host seems to have lost power: it acknowledges nothing."""

from __future__ import annotations

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
RETURN_0 = struct.pack("HBBI", 0x06, 0, 0, 0)
"""The only instruction of a socket filter that accepts no byte of any packet."""


def drop_received(sock: socket.socket) -> None:
    """Drop all packets to a socket from now on; a listening one establishes no connection.

    The kernel drops them before TCP sees them, so nothing is acknowledged or reset.
    """
    code = ctypes.create_string_buffer(RETURN_0)
    program = struct.pack("HP", 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def receive_again(sock: socket.socket) -> None:
    """End `drop_received`."""
    sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
