"""One client's connection at the platform's front."""

import array
import asyncio
import contextlib
import fcntl
import socket
import termios
from dataclasses import dataclass, field

from maplestile.net.client_reader import ClientReader
from maplestile.requests.core import Presence
from maplestile.wire import jsonrpc

# States of a TCP connection whose other side has ended it (include/net/tcp_states.h of Linux).
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8


@dataclass(slots=True, eq=False)
class Client:
    """The state of one connection; times are Unix microseconds."""

    reader: ClientReader
    writer: asyncio.StreamWriter
    framer: jsonrpc.Framer
    message_since_us: int  # of the connect, or of the first byte of the message that is not complete yet
    message_reads: int = 0  # reads that brought complete messages
    bad_messages: int = 0
    calls: dict[int, int] = field(default_factory=dict)  # the open ids of this connection, to the core's
    tags: dict[str, int] = field(default_factory=dict)  # tags of the open calls, to their ids
    all_answered: asyncio.Event = field(default_factory=asyncio.Event)
    last_active_us: int = 0  # when it last sent a message or was answered
    written_bytes: int = 0  # of answers
    sent_bytes: int = 0  # of which the system had taken so many at the last look
    unread_since_us: int = 0  # since when the system has taken none of the answers that wait
    write_closed: bool = False  # this side of the connection has ended
    handling: bool = False  # messages that were read are still to be handled

    def unread_input_bytes(self) -> int:
        """Return how many bytes wait to be taken, here or in the system."""
        in_socket = array.array("i", [0])
        with contextlib.suppress(OSError):  # it has just broken, or the system does not tell
            fcntl.ioctl(self.writer.get_extra_info("socket").fileno(), termios.FIONREAD, in_socket)
        return self.reader.buffered_bytes + in_socket[0]

    def unsent_bytes(self, now_us: int) -> int:
        """Return how many bytes of answers the system has not taken; note whether it has taken any."""
        unsent = self.writer.transport.get_write_buffer_size()
        if self.written_bytes - unsent > self.sent_bytes or not unsent:
            self.sent_bytes = self.written_bytes - unsent
            self.unread_since_us = now_us
        return unsent

    def has_unhandled_input(self) -> bool:
        """Return whether a request has come, complete or in part, that is not open yet."""
        return self.handling or bool(self.framer.rest) or self.unread_input_bytes() > 0

    def presence(self) -> Presence:
        """Return whether the client still waits, for an attempt that starts after the loop was busy.

        A close or a cancel may have come, and not be read yet.
        """
        self.detect_close()
        if self.reader.ended:
            return Presence.GONE
        return Presence.UNREAD if self.handling or self.unread_input_bytes() else Presence.WAITING

    def detect_close(self) -> None:
        """Ask the system whether the client has closed.

        A close behind much unread input would be found late by reading.
        """
        with contextlib.suppress(OSError):  # where the system does not tell
            link = self.writer.get_extra_info("socket")
            if link.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in (TCP_CLOSE, TCP_CLOSE_WAIT):
                self.reader.end()
