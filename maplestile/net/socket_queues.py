"""Asks the kernel how many bytes wait in the queues of a connection's socket (Linux)."""

import array
import asyncio
import contextlib
import fcntl
import termios

RECEIVE_QUEUE = termios.FIONREAD  # bytes that were received and not read by this process
# Bytes that were written and not sent yet, for example since the peer's receive window is full (SIOCOUTQNSD,
# include/uapi/linux/sockios.h). The peer has those that were sent, or gets them before anything sent later;
# it may acknowledge them late, so the count of unacknowledged bytes says less.
SEND_QUEUE = 0x894B


def queued_bytes(writer: asyncio.StreamWriter, queue: int) -> int:
    """Return the number of bytes in a queue of the socket; 0 if the connection is lost."""
    descriptor = writer.get_extra_info("socket").fileno()
    if descriptor < 0:  # the socket is closed, which the reading task may not know yet
        return 0
    count = array.array("i", [0])
    with contextlib.suppress(OSError):  # connection lost, or not supported for this socket
        fcntl.ioctl(descriptor, queue, count)
    return count[0]


def undelivered_bytes(writer: asyncio.StreamWriter) -> int:
    """Return how many bytes that were written have not been sent to the peer.

    They are lost if the connection is closed and the peer sends anything more: the kernel then resets it.
    """
    return int(writer.transport.get_write_buffer_size()) + queued_bytes(writer, SEND_QUEUE)
