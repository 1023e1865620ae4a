"""The fault relay: passes traffic between processes on loopback, with the faults of a schedule.

UDP. Each member has a front, a socket here that it names to the others as its own address (`[peers]
advertise`). A datagram at member B's front from member A's real socket goes on to B's real socket as the
schedule says: lost, late, twice, out of order, cut. One from an unknown socket is counted and dropped.

TCP. Each directed link has a front of its own, since a connection's origin cannot be told by its address.
Bytes are never lost, as TCP loses none: a chunk the schedule loses comes after a retransmission's time, what
is cut waits until the link opens again, and a connection asked for during a cut is made when that ends.

Before `begin` everything passes at once. Kills and pauses are for whoever started the processes: the relay
signals nobody, and says so in `not_played`.

It is steered by JSON lines on a loopback port, one object in, one back; an error names what is wrong:

    {"do": "udp", "member": 0, "address": "127.0.0.1:4000"}     the member's real socket
    {"do": "tcp", "from": 0, "to": 1, "address": "127.0.0.1:5000"} -> {"ok": true, "front": "127.0.0.1:5511"}
    {"do": "begin"}                     the schedule's clock starts at 0 now
    {"do": "begin", "schedule": {...}}  the same with another schedule, in the file's form (without `members`)
    {"do": "heal"}                      everything passes again
    {"do": "counts"}                    what became of datagrams, chunks and connections so far
"""

import asyncio
import contextlib
import functools
import json
import random
import sys
import time
from collections import Counter
from typing import Any, cast

from maplestile.common.address import Address
from maplestile.tools.faults import relay_commands
from maplestile.tools.faults.relay_commands import Begin, Heal, OpenLink, ReadCounts, RegisterMember
from maplestile.tools.faults.schedule import US_PER_S, Schedule, ScheduleError

HOST = "127.0.0.1"  # nothing is accepted from, or sent to, any other
CHUNK_BYTES = 16_384
MAX_LINE_BYTES = 65_536
WAITING_MOST = 20_000  # datagrams on their way: guards memory against a flood under a long delay
RETRANSMIT_S = 0.2  # Linux's least retransmission time
LOOK_S = 0.02  # between two looks whether a cut is over


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
        self._members: dict[Address, int] = {}  # by their real sockets
        self._servers: list[asyncio.Server] = []
        self._waiting = 0  # datagrams on their way

    def begin(self, schedule: Schedule) -> None:
        """Play a schedule from now on."""
        self.playing = schedule
        self._started_s = time.monotonic()
        self._random = random.Random(schedule.seed)

    def now_us(self) -> int:
        """The time on the schedule's clock."""
        return int((time.monotonic() - self._started_s) * US_PER_S)

    # UDP.

    async def open(self) -> list[Address]:
        """Open a front for each member and return their addresses by number."""
        loop = asyncio.get_running_loop()
        for number in range(self.schedule.members):
            front = functools.partial(Front, self, number)
            _, protocol = await loop.create_datagram_endpoint(front, local_addr=(HOST, 0))
            self.fronts.append(protocol)
        return [front.address() for front in self.fronts]

    def datagram(self, target: int, data: bytes, sender: Address) -> None:
        """Pass on a datagram that came to the front of `target`, as the schedule says."""
        origin = self._members.get(sender)
        if origin is None or target not in self._sockets:
            self.counts["udp.unknown"] += 1
            return
        if self.playing is None:
            self._pass(target, data)
            return
        delays_us = self.playing.fate(origin, target, self.now_us(), self._random)
        self.counts["udp.lost"] += not delays_us
        self.counts["udp.twice"] += len(delays_us) > 1
        for delay_us in delays_us:
            self._pass_later(target, data, delay_us)

    def _pass_later(self, target: int, data: bytes, delay_us: int) -> None:
        if self._waiting >= WAITING_MOST:
            self.counts["udp.overflow"] += 1
            return
        self._waiting += 1
        asyncio.get_running_loop().call_later(delay_us / US_PER_S, self._delay_over, target, data)

    def _delay_over(self, target: int, data: bytes) -> None:
        self._waiting -= 1
        self._pass(target, data)

    def _pass(self, target: int, data: bytes) -> None:
        self.counts["udp.passed"] += 1
        self.fronts[target].transport.sendto(data, self._sockets[target])

    # TCP.

    async def link(self, origin: int, target: int, address: Address) -> Address:
        """Open a front for connections from `origin` to `target`, whose real listener is at `address`."""
        serve = functools.partial(self._serve, origin, target, address)
        server = await asyncio.start_server(serve, HOST, 0)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    async def _serve(
        self,
        origin: int,
        target: int,
        address: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.counts["tcp.connections"] += 1
        writers = [writer]
        try:
            await self._until_open(origin, target)
            await self._until_open(target, origin)  # a handshake takes both directions
            far_reader, far_writer = await asyncio.open_connection(*address)
            writers.append(far_writer)
            async with asyncio.TaskGroup() as directions:
                directions.create_task(self._pump(origin, target, reader, far_writer))
                directions.create_task(self._pump(target, origin, far_reader, writer))
        except (OSError, ExceptionGroup):
            self.counts["tcp.broken"] += 1  # one end broke off: so does the other, at once
            for end in writers:
                end.transport.abort()
        finally:
            for end in writers:
                end.close()

    async def _pump(
        self, origin: int, target: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass on one direction, in order; only one chunk waits here, the rest in the system's buffers."""
        while data := await reader.read(CHUNK_BYTES):
            if self.playing is not None:
                await self._delay_chunk(self.playing)
            await self._until_open(origin, target)
            self.counts["tcp.chunks"] += 1
            writer.write(data)
            await writer.drain()
        await self._until_open(origin, target)
        if writer.can_write_eof():
            writer.write_eof()

    async def _delay_chunk(self, schedule: Schedule) -> None:
        while self._random.random() < schedule.net.loss:
            self.counts["tcp.retransmitted"] += 1
            await asyncio.sleep(RETRANSMIT_S)
        # Another schedule may have begun, or been ended, during the retransmissions.
        await asyncio.sleep(self.playing.delay_us(self._random) / US_PER_S if self.playing else 0)

    async def _until_open(self, origin: int, target: int) -> None:
        """Wait until nothing cuts this direction."""
        was_held = False
        while self.playing is not None and self.playing.cut(origin, target, self.now_us()):
            self.counts["tcp.held"] += not was_held
            was_held = True
            await asyncio.sleep(LOOK_S)

    # The control port.

    async def told(self, line: bytes) -> dict[str, Any]:
        """Carry out a command of the control port and return its reply."""
        try:
            table = relay_commands.parse(line)
            reply = await self._carry_out(relay_commands.decode(table, self.schedule))
            table.end()  # an unknown field is reported, and does not undo what was done
        except ScheduleError as error:
            return {"error": str(error)}
        return {"ok": True, **reply}

    async def _carry_out(self, command: relay_commands.Command) -> dict[str, Any]:
        match command:
            case RegisterMember():
                self._register(command)
            case OpenLink(origin, target, address):
                host, port = await self.link(origin, target, address)
                return {"front": f"{host}:{port}"}
            case Begin(schedule):
                self.begin(schedule)
                ignored = [fault.kind for fault in schedule.faults if fault.kind in ("kill", "pause")]
                return {"not_played": ignored}
            case Heal():
                self.playing = None
            case ReadCounts():
                return {"counts": dict(sorted(self.counts.items()))}
        return {}

    def _register(self, command: RegisterMember) -> None:
        # A member that came back has another socket.
        former = self._sockets.get(command.member)
        if former is not None:
            self._members.pop(former, None)
        self._sockets[command.member] = command.address
        self._members[command.address] = command.member


class Front(asyncio.DatagramProtocol):
    """The socket that stands for one member."""

    transport: asyncio.DatagramTransport

    def __init__(self, relay: Relay, number: int) -> None:
        self._relay = relay
        self._number = number

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # A cast, since the selector loop's own transport is no subclass of asyncio's.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Hand a datagram to the relay."""
        self._relay.datagram(self._number, data, (addr[0], addr[1]))

    def error_received(self, _exc: Exception) -> None:
        """Count a refused datagram: the member's process has ended."""
        self._relay.counts["udp.refused"] += 1

    def address(self) -> Address:
        """The front's own address."""
        host, port = self.transport.get_extra_info("sockname")[:2]
        return host, port


async def serve(schedule: Schedule, control: Address) -> None:
    """Open the fronts, print one JSON line with their addresses, and obey commands until the process ends."""
    relay = Relay(schedule)
    fronts = await relay.open()

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError):  # a line too long, or a caller that disconnected
            while line := await reader.readline():
                writer.write(json.dumps(await relay.told(line)).encode() + b"\n")
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, *control, limit=MAX_LINE_BYTES)
    host, port = server.sockets[0].getsockname()[:2]
    addresses = {"control": f"{host}:{port}", "fronts": [f"{host}:{port}" for host, port in fronts]}
    print(json.dumps({"relay": addresses}), file=sys.stderr, flush=True)
    await server.serve_forever()
