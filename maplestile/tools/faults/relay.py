"""The fault relay: passes traffic between processes on loopback, with the faults of a schedule.

UDP. Each member has a front, a socket here that it names to the others as its own address (`[peers]
advertise`). A datagram at member B's front from member A's real socket goes on to B's real socket as the
schedule says: lost, late, twice, out of order, cut. One from an unknown socket is counted and dropped.

TCP. Each directed link has a front of its own, since the address of a connection does not show its origin.
Bytes are never lost, as TCP loses none: a chunk the schedule loses comes after a retransmission's time, what
is cut waits until the link opens again, and a connection requested during a cut is made when that ends.

Before `begin` everything passes at once. Kills and pauses are for whoever started the processes: the relay
signals nobody, and says so in `not_played`.

`control_port.py` has the commands by which it is controlled.
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
from maplestile.tools.faults.schedule import US_PER_S, Schedule

HOST = "127.0.0.1"  # nothing is accepted from, or sent to, any other
CHUNK_BYTES = 16_384
MAX_DELAYED = 20_000  # datagrams held back at once: guards memory against a flood under a long delay
RETRANSMIT_S = 0.2  # Linux's least retransmission time
POLL_INTERVAL_S = 0.02  # between two checks whether a cut is over


# What takes a datagram: the member at whose front it came, the data, and the sender's address.
DatagramHandler = Callable[[int, bytes, Address], None]


@dataclass(slots=True, frozen=True)
class Direction:
    """One direction between two members."""

    origin: int
    target: int

    def opposite(self) -> "Direction":
        """The other direction between the two."""
        return Direction(self.target, self.origin)


class Front(asyncio.DatagramProtocol):
    """The socket that represents one member."""

    transport: asyncio.DatagramTransport

    def __init__(self, member: int, on_datagram: DatagramHandler, counts: Counter[str]) -> None:
        self._member = member
        self._on_datagram = on_datagram
        self._counts = counts

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # A cast, since the selector loop's own transport is no subclass of asyncio's.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Hand a datagram to the relay."""
        self._on_datagram(self._member, data, (addr[0], addr[1]))

    def error_received(self, _exc: Exception) -> None:
        """Count a refused datagram: the member's process has ended."""
        self._counts["udp.refused"] += 1

    def address(self) -> Address:
        """The front's own address."""
        host, port = self.transport.get_extra_info("sockname")[:2]
        return host, port


class Relay:
    """The fronts of all members and links, and the schedule that is being played."""

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule  # the one that the relay was started with
        self.playing: Schedule | None = None
        self.counts: Counter[str] = Counter()
        self.fronts: list[Front] = []
        self._started_s = 0.0
        self._random = random.Random(schedule.seed)
        self._sockets: dict[int, Address] = {}  # the members' real sockets
        self._members_by_socket: dict[Address, int] = {}
        self._servers: list[asyncio.Server] = []
        self._delayed = 0  # datagrams that are held back

    def begin(self, schedule: Schedule) -> None:
        """Play a schedule from now on."""
        self.playing = schedule
        self._started_s = time.monotonic()
        self._random = random.Random(schedule.seed)

    def heal(self) -> None:
        """Have everything pass from now on."""
        self.playing = None

    def now_us(self) -> int:
        """The time on the schedule's clock."""
        return int((time.monotonic() - self._started_s) * US_PER_S)

    # UDP.

    async def open(self) -> list[Address]:
        """Open a front for each member and return their addresses by number."""
        loop = asyncio.get_running_loop()
        for number in range(self.schedule.members):
            front = functools.partial(Front, number, self.datagram, self.counts)
            _, protocol = await loop.create_datagram_endpoint(front, local_addr=(HOST, 0))
            self.fronts.append(protocol)
        return [front.address() for front in self.fronts]

    def register(self, member: int, address: Address) -> None:
        """Set the real socket of a member, which is a new one after its restart."""
        former = self._sockets.get(member)
        if former is not None:
            self._members_by_socket.pop(former, None)
        self._sockets[member] = address
        self._members_by_socket[address] = member

    def datagram(self, target: int, data: bytes, sender: Address) -> None:
        """Pass on a datagram that came to the front of `target`, as the schedule says."""
        origin = self._members_by_socket.get(sender)
        if origin is None or target not in self._sockets:
            self.counts["udp.unknown"] += 1
            return
        if self.playing is None:
            self._send(target, data)
            return
        delays_us = self.playing.delivery_delays_us(origin, target, self.now_us(), self._random)
        self.counts["udp.lost"] += not delays_us
        self.counts["udp.twice"] += len(delays_us) > 1
        for delay_us in delays_us:
            self._send_later(target, data, delay_us)

    def _send_later(self, target: int, data: bytes, delay_us: int) -> None:
        if self._delayed >= MAX_DELAYED:
            self.counts["udp.overflow"] += 1
            return
        self._delayed += 1
        asyncio.get_running_loop().call_later(delay_us / US_PER_S, self._send_delayed, target, data)

    def _send_delayed(self, target: int, data: bytes) -> None:
        self._delayed -= 1
        self._send(target, data)

    def _send(self, target: int, data: bytes) -> None:
        self.counts["udp.passed"] += 1
        self.fronts[target].transport.sendto(data, self._sockets[target])

    # TCP.

    async def link(self, origin: int, target: int, address: Address) -> Address:
        """Open a front for connections from `origin` to `target`, whose real listener is at `address`."""
        serve = functools.partial(self._serve, Direction(origin, target), address)
        server = await asyncio.start_server(serve, HOST, 0)
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
        """Accept a connection, and pass its bytes on to and from the listener at `address`."""
        backward = forward.opposite()
        self.counts["tcp.connections"] += 1
        writers = [writer]
        try:
            await self._until_open(forward)
            await self._until_open(backward)  # a handshake takes both directions
            far_reader, far_writer = await asyncio.open_connection(*address)
            writers.append(far_writer)
            async with asyncio.TaskGroup() as directions:
                directions.create_task(self._pass_on(forward, reader, far_writer))
                directions.create_task(self._pass_on(backward, far_reader, writer))
        except (OSError, ExceptionGroup):
            self.counts["tcp.broken"] += 1  # one end broke off: the other is aborted
            for end in writers:
                end.transport.abort()
        finally:
            for end in writers:
                end.close()

    async def _pass_on(
        self, direction: Direction, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass on the bytes of one direction; one chunk waits here, the rest in the system's buffers."""
        while data := await reader.read(CHUNK_BYTES):
            if self.playing is not None:
                await self._delay_chunk(self.playing)
            await self._until_open(direction)
            self.counts["tcp.chunks"] += 1
            writer.write(data)
            await writer.drain()
        await self._until_open(direction)
        if writer.can_write_eof():
            writer.write_eof()

    async def _delay_chunk(self, schedule: Schedule) -> None:
        while self._random.random() < schedule.net.loss:
            self.counts["tcp.retransmitted"] += 1
            await asyncio.sleep(RETRANSMIT_S)
        # The schedule may have been replaced or ended during the retransmissions.
        await asyncio.sleep(self.playing.delay_us(self._random) / US_PER_S if self.playing else 0)

    def _is_cut(self, direction: Direction) -> bool:
        schedule = self.playing
        return schedule is not None and schedule.cut(direction.origin, direction.target, self.now_us())

    async def _until_open(self, direction: Direction) -> None:
        """Wait until nothing cuts this direction."""
        was_held = False
        while self._is_cut(direction):
            self.counts["tcp.held"] += not was_held
            was_held = True
            await asyncio.sleep(POLL_INTERVAL_S)
