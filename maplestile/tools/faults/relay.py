"""The fault relay: forwards traffic between processes on loopback, with the faults of a schedule.

UDP: each member has a front, a socket of the relay that the member advertises to the others as its own
address (`[peers] advertise`). A datagram from member A's real socket to member B's front is forwarded to B's
real socket. As the schedule says, it is lost, delayed, duplicated, reordered, or dropped by a cut. A datagram
from an unknown socket is counted and dropped.

TCP: each directed link has a front of its own, since the address of a connection does not show its origin.
Bytes are never lost, because TCP retransmits them: a chunk that the schedule loses is delayed by the time of
a retransmission, bytes on a cut link wait until the cut ends, and so does a new connection.

Before `begin` everything is forwarded without delay. Kills and pauses are left to the program that started
the processes: the relay sends no signals, and lists such faults as `not_played`.

The commands that control the relay are described in `control_port.py`.
"""

import asyncio
import functools
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from maplestile.common.address import Address
from maplestile.common.stream_server import start_stream_server
from maplestile.tools.faults.schedule import US_PER_S, Schedule

HOST = "127.0.0.1"  # the only host that traffic is accepted from and sent to
CHUNK_BYTES = 16_384
MAX_DELAYED_DATAGRAMS = 20_000  # bounds the memory for a flood of datagrams under a long delay
RETRANSMIT_S = 0.2  # the shortest retransmission timeout of Linux
POLL_INTERVAL_S = 0.02  # how often to check whether a cut has ended


# Called for each datagram with the member at whose front it arrived, the data, and the address of the sender.
DatagramHandler = Callable[[int, bytes, Address], None]


@dataclass(slots=True, frozen=True)
class Direction:
    """One direction of the traffic between two members."""

    origin: int
    target: int

    def opposite(self) -> "Direction":
        """Return the other direction between the same members."""
        return Direction(self.target, self.origin)


class Front(asyncio.DatagramProtocol):
    """The relay's socket that stands in for one member."""

    transport: asyncio.DatagramTransport

    def __init__(self, member: int, on_datagram: DatagramHandler, counts: Counter[str]) -> None:
        self._member = member
        self._on_datagram = on_datagram
        self._counts = counts

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # The selector event loop's transport class is not a subclass of `DatagramTransport`, hence the cast.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Pass a datagram to the relay."""
        self._on_datagram(self._member, data, (addr[0], addr[1]))

    def error_received(self, _exc: Exception) -> None:
        """Count a refused datagram: no process of the member listens on its socket."""
        self._counts["udp.refused"] += 1

    def address(self) -> Address:
        """Return the address of the front."""
        host, port = self.transport.get_extra_info("sockname")[:2]
        return host, port


class Relay:
    """The fronts of all members and links, and the schedule that applies to them."""

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule  # the one that the relay was started with
        self.active_schedule: Schedule | None = None  # None before `begin` and after `heal`
        self.counts: Counter[str] = Counter()
        self.fronts: list[Front] = []
        self._started_s = 0.0
        self._random = random.Random(schedule.seed)
        self._sockets: dict[int, Address] = {}  # addresses of the real sockets, by member
        self._members_by_socket: dict[Address, int] = {}
        self._servers: list[asyncio.Server] = []
        self._delayed_datagrams = 0  # waiting to be forwarded

    def begin(self, schedule: Schedule) -> None:
        """Start a schedule."""
        self.active_schedule = schedule
        self._started_s = time.monotonic()
        self._random = random.Random(schedule.seed)

    def heal(self) -> None:
        """End the schedule, so that everything is forwarded without faults."""
        self.active_schedule = None

    def now_us(self) -> int:
        """Return the time since the start of the schedule, in microseconds."""
        return int((time.monotonic() - self._started_s) * US_PER_S)

    # UDP.

    async def open_fronts(self) -> list[Address]:
        """Open a front for each member and return their addresses in the order of the members."""
        loop = asyncio.get_running_loop()
        for number in range(self.schedule.members):
            front = functools.partial(Front, number, self.forward_datagram, self.counts)
            _, protocol = await loop.create_datagram_endpoint(front, local_addr=(HOST, 0))
            self.fronts.append(protocol)
        return [front.address() for front in self.fronts]

    def register(self, member: int, address: Address) -> None:
        """Set the address of a member's real socket, which changes when the member restarts."""
        old_address = self._sockets.get(member)
        if old_address is not None:
            self._members_by_socket.pop(old_address, None)
        self._sockets[member] = address
        self._members_by_socket[address] = member

    def forward_datagram(self, target: int, data: bytes, sender: Address) -> None:
        """Forward a datagram that arrived at the front of `target`, with the faults of the schedule."""
        origin = self._members_by_socket.get(sender)
        if origin is None or target not in self._sockets:
            self.counts["udp.unknown"] += 1
            return
        if self.active_schedule is None:
            self._send(target, data)
            return
        delays_us = self.active_schedule.delivery_delays_us(origin, target, self.now_us(), self._random)
        self.counts["udp.lost"] += not delays_us
        self.counts["udp.twice"] += len(delays_us) > 1
        for delay_us in delays_us:
            self._send_later(target, data, delay_us)

    def _send_later(self, target: int, data: bytes, delay_us: int) -> None:
        if self._delayed_datagrams >= MAX_DELAYED_DATAGRAMS:
            self.counts["udp.overflow"] += 1
            return
        self._delayed_datagrams += 1
        asyncio.get_running_loop().call_later(delay_us / US_PER_S, self._send_delayed, target, data)

    def _send_delayed(self, target: int, data: bytes) -> None:
        self._delayed_datagrams -= 1
        self._send(target, data)

    def _send(self, target: int, data: bytes) -> None:
        self.counts["udp.passed"] += 1
        self.fronts[target].transport.sendto(data, self._sockets[target])

    # TCP.

    async def open_link(self, origin: int, target: int, address: Address) -> Address:
        """Open a front for connections from `origin` to the listener of `target`, and return its address."""
        serve = functools.partial(self._serve, Direction(origin, target), address)
        server = await start_stream_server(serve, HOST, 0)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    async def _serve(
        self,
        forward: Direction,
        address: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward an accepted connection to the listener at `address`, in both directions."""
        backward = forward.opposite()
        self.counts["tcp.connections"] += 1
        writers = [writer]
        try:
            await self._wait_until_open(forward)
            await self._wait_until_open(backward)  # a TCP handshake needs both directions
            target_reader, target_writer = await asyncio.open_connection(*address)
            writers.append(target_writer)
            async with asyncio.TaskGroup() as directions:
                directions.create_task(self._forward_bytes(forward, reader, target_writer))
                directions.create_task(self._forward_bytes(backward, target_reader, writer))
        except (OSError, ExceptionGroup):
            self.counts["tcp.broken"] += 1  # one connection failed, so both are aborted
            for end in writers:
                end.transport.abort()
        finally:
            for end in writers:
                end.close()

    async def _forward_bytes(
        self, direction: Direction, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward the bytes of one direction; one chunk waits here at most, the rest in kernel buffers."""
        while data := await reader.read(CHUNK_BYTES):
            if self.active_schedule is not None:
                await self._delay_chunk(self.active_schedule)
            await self._wait_until_open(direction)
            self.counts["tcp.chunks"] += 1
            writer.write(data)
            await writer.drain()
        await self._wait_until_open(direction)
        if writer.can_write_eof():
            writer.write_eof()

    async def _delay_chunk(self, schedule: Schedule) -> None:
        while self._random.random() < schedule.net.loss:
            self.counts["tcp.retransmitted"] += 1
            await asyncio.sleep(RETRANSMIT_S)
        # The schedule may have been replaced or ended during the retransmissions.
        await asyncio.sleep(
            self.active_schedule.delay_us(self._random) / US_PER_S if self.active_schedule else 0
        )

    def _is_cut(self, direction: Direction) -> bool:
        schedule = self.active_schedule
        return schedule is not None and schedule.is_cut(direction.origin, direction.target, self.now_us())

    async def _wait_until_open(self, direction: Direction) -> None:
        """Wait until no fault cuts this direction."""
        was_held = False
        while self._is_cut(direction):
            self.counts["tcp.held"] += not was_held
            was_held = True
            await asyncio.sleep(POLL_INTERVAL_S)
