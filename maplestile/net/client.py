"""Keeps the state of a client connection at the platform front, and checks its socket."""

import asyncio
import contextlib
import socket
from dataclasses import dataclass, field

from maplestile.net.client_reader import ClientReader
from maplestile.net.socket_queues import RECEIVE_QUEUE, queued_bytes, undelivered_bytes
from maplestile.requests.core import Presence
from maplestile.wire import jsonrpc
from maplestile.wire.used_numbers import UsedNumbers

# TCP states of a connection that the peer has closed (Linux, include/net/tcp_states.h).
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8


@dataclass(slots=True)
class OpenCall:
    """A call of a client that has no answer yet."""

    tag: str  # chosen by the client, new with each call
    number: int | None = None  # at the core; None while the call is being submitted


@dataclass(slots=True, eq=False)
class Client:
    """One client connection; times are microseconds of the core's clock."""

    reader: ClientReader
    writer: asyncio.StreamWriter
    framer: jsonrpc.Framer
    # Start of the wait for the next complete message: time of the connect, or of the message's first byte.
    message_wait_since_us: int
    message_reads: int = 0  # reads that completed at least one message
    late_reads: int = 0  # reads of the incomplete message since its time was up
    bad_messages: int = 0  # invalid messages received
    used_numbers: UsedNumbers = field(default_factory=UsedNumbers)  # JSON-RPC ids of the calls so far
    calls: dict[int, OpenCall] = field(default_factory=dict)  # by JSON-RPC id, in the order of their arrival
    all_answered: asyncio.Event = field(default_factory=asyncio.Event)  # set when no call is open any more
    last_active_us: int = 0  # when the client last sent a message or was sent an answer
    written_bytes: int = 0  # answer bytes written to the transport
    sent_bytes: int = 0  # answer bytes that the kernel had accepted at the last check
    unread_since_us: int = 0  # since when the kernel has accepted none of the buffered answers
    undelivered_at_check: int = 0  # answer bytes that had not been sent at the last check
    undelivered_since_us: int = 0  # since when that number has been the same
    write_closed: bool = False  # the router has closed its write side
    is_handling: bool = False  # some messages of the last read are not handled yet

    def unread_input_bytes(self) -> int:
        """Return how many bytes of input are unread, in the stream reader and in the socket."""
        return self.reader.buffered_bytes + queued_bytes(self.writer, RECEIVE_QUEUE)

    def undelivered_bytes(self) -> int:
        """Return how many bytes of answers have not been sent, for example since the client reads slowly."""
        return undelivered_bytes(self.writer)

    def has_stalled(self, now_us: int, timeout_us: int) -> bool:
        """Return whether no more of the client's answers could be sent for `timeout_us`.

        Progress is noticed only by calling this.
        """
        undelivered = self.undelivered_bytes()
        if undelivered != self.undelivered_at_check:
            self.undelivered_at_check = undelivered
            self.undelivered_since_us = now_us
        return undelivered > 0 and now_us - self.undelivered_since_us > timeout_us

    def unsent_bytes(self, now_us: int) -> int:
        """Return how many bytes of answers the kernel has not accepted, and update `unread_since_us`."""
        unsent = self.writer.transport.get_write_buffer_size()
        if self.written_bytes - unsent > self.sent_bytes or not unsent:
            self.sent_bytes = self.written_bytes - unsent
            self.unread_since_us = now_us
        return unsent

    def has_unhandled_input(self) -> bool:
        """Return whether a request was received, completely or in part, that is not open in the core yet."""
        return self.is_handling or bool(self.framer.incomplete) or self.unread_input_bytes() > 0

    def call_numbers(self) -> list[int]:
        """Return the numbers of the open calls that the core knows."""
        return [call.number for call in self.calls.values() if call.number is not None]

    def latest_call_with_tag(self, tag: str) -> int | None:
        """Return the JSON-RPC id of the open call with a tag, of several the latest one."""
        return next((id_ for id_, call in reversed(self.calls.items()) if call.tag == tag), None)

    def presence(self) -> Presence:
        """Return whether the client still waits, for an attempt that starts after the event loop was busy.

        A close or a cancellation may have arrived that has not been read yet.
        """
        self.detect_close()
        if self.reader.ended:
            return Presence.GONE
        return Presence.UNREAD if self.is_handling or self.unread_input_bytes() else Presence.WAITING

    def detect_close(self) -> None:
        """Ask the kernel whether the client has closed the connection.

        Reading would find the close late if much unread input precedes it.
        """
        with contextlib.suppress(OSError):  # TCP_INFO not supported
            sock = self.writer.get_extra_info("socket")
            if sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in (TCP_CLOSE, TCP_CLOSE_WAIT):
                self.reader.end()
