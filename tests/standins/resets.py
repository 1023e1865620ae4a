"""Closes sockets in the way of a peer that crashes or leaves with unread input: by a TCP reset."""

import socket
import struct

NO_LINGER = struct.pack("ii", 1, 0)  # the struct linger of SO_LINGER: enabled, with a time of 0


def reset_on_close(connection: socket.socket) -> None:
    """Have the kernel reset this connection when its socket is closed."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
