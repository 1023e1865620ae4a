"""The fault relay: stands between processes on loopback and plays a schedule on what they send one another.

UDP. Each member has a front, a socket here that it names to the others as its own address (`[peers]
advertise`). A datagram at member B's front from member A's real socket goes on to B's real socket as the
schedule says: lost, late, twice, out of order, cut. One from a socket that no member has told of is counted
and dropped.

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
    {"do": "counts"}                    what became of datagrams, chunks and connections so far"""

import asyncio
import contextlib
import functools
import json
import logging
import random
import sys
import time
from collections import Counter
from dataclasses import replace
from typing import Any, cast

from maplestile.common.address import Address, parse_address
from maplestile.common.toml_table import TomlTable
from maplestile.tools.faults.schedule import Net, Schedule, ScheduleError, schedule_from

log = logging.getLogger("maplestile.relay")
HOST = "127.0.0.1"  # nothing is taken from, or goes to, any other
CHUNK_BYTES, LINE_BYTES = 16_384, 65_536
WAITING_MOST = 20_000  # datagrams on their way: guards memory against a flood under a long delay
RETRANSMIT_S = 0.2  # Linux's least retransmission time
LOOK_S = 0.02  # how often what waits at a cut looks whether it is over
IDLE = Net(0.0, 0, 0)


class Relay:
    def __init__(self, schedule: Schedule) -> None:
        self.schedule, self.members = schedule, schedule.members
        self.playing: Schedule | None = None
        self.began_s = 0.0
        self.chance = random.Random(schedule.seed)
        self.real: dict[int, Address] = {}
        self.numbers: dict[Address, int] = {}  # of members, by their real sockets
        self.fronts: list[Front] = []
        self.servers: list[asyncio.Server] = []
        self.counts: Counter[str] = Counter()
        self.waiting = 0

    def begin(self, schedule: Schedule) -> None:
        self.playing, self.began_s = schedule, time.monotonic()
        self.chance = random.Random(schedule.seed)

    def now_us(self) -> int:
        return int((time.monotonic() - self.began_s) * 1e6)

    # UDP.

    async def open(self) -> list[Address]:
        """One front a member; their addresses by number."""
        loop = asyncio.get_running_loop()
        for number in range(self.members):
            front = functools.partial(Front, self, number)
            _, protocol = await loop.create_datagram_endpoint(front, local_addr=(HOST, 0))
            self.fronts.append(protocol)
        return [front.address() for front in self.fronts]

    def datagram(self, target: int, data: bytes, sender: Address) -> None:
        origin = self.numbers.get(sender)
        if origin is None or target not in self.real:
            self.counts["udp.unknown"] += 1
            return
        if self.playing is None:
            self._pass(target, data)
            return
        fate = self.playing.fate(origin, target, self.now_us(), self.chance)
        self.counts["udp.lost"] += not fate
        self.counts["udp.twice"] += len(fate) > 1
        for delay_us in fate:
            if self.waiting >= WAITING_MOST:
                self.counts["udp.overflow"] += 1
                continue
            self.waiting += 1
            asyncio.get_running_loop().call_later(delay_us / 1e6, self._late, target, data)

    def _late(self, target: int, data: bytes) -> None:
        self.waiting -= 1
        self._pass(target, data)

    def _pass(self, target: int, data: bytes) -> None:
        self.counts["udp.passed"] += 1
        self.fronts[target].transport.sendto(data, self.real[target])

    # TCP.

    async def link(self, origin: int, target: int, address: Address) -> Address:
        """A front for connections from `origin` to `target`, whose real listener is at `address`."""
        serve = functools.partial(self._serve, origin, target, address)
        server = await asyncio.start_server(serve, HOST, 0)
        self.servers.append(server)
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
        far: asyncio.StreamWriter | None = None
        try:
            await self._open(origin, target)
            await self._open(target, origin)  # a handshake takes both directions
            answers, far = await asyncio.open_connection(*address)
            async with asyncio.TaskGroup() as both:
                both.create_task(self._pump(origin, target, reader, far))
                both.create_task(self._pump(target, origin, answers, writer))
        except (OSError, ExceptionGroup):
            self.counts["tcp.broken"] += 1  # an end that broke off: so does the other, at once
            for end in (writer, far):
                if end is not None:
                    end.transport.abort()
        finally:
            for end in (writer, far):
                if end is not None:
                    end.close()

    async def _pump(
        self, origin: int, target: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """One direction, in order; what waits here is one chunk, and the rest in the system's buffers."""
        while data := await reader.read(CHUNK_BYTES):
            if self.playing is not None:
                net = self.playing.net
                while self.chance.random() < net.loss:
                    self.counts["tcp.retransmitted"] += 1
                    await asyncio.sleep(RETRANSMIT_S)
                await asyncio.sleep(self.playing.delay_us(self.chance) / 1e6 if self.playing else 0)
            await self._open(origin, target)
            self.counts["tcp.chunks"] += 1
            writer.write(data)
            await writer.drain()
        await self._open(origin, target)
        if writer.can_write_eof():
            writer.write_eof()

    async def _open(self, origin: int, target: int) -> None:
        held = False
        while self.playing is not None and self.playing.cut(origin, target, self.now_us()):
            self.counts["tcp.held"] += not held
            held = True
            await asyncio.sleep(LOOK_S)

    # What it is told.

    async def told(self, line: bytes) -> dict[str, Any]:
        try:
            values = json.loads(line)
        except ValueError:
            return {"error": "not JSON"}
        try:
            asked = TomlTable(values, "", ScheduleError)
            match asked.choice("do", ("udp", "tcp", "begin", "heal", "counts")):
                case "udp":
                    reply = self._meet(asked)
                case "tcp":
                    ends = [asked.whole(name, most=self.members - 1) for name in ("from", "to")]
                    host, port = await self.link(ends[0], ends[1], parse_address(asked.loopback("address")))
                    reply = {"front": f"{host}:{port}"}
                case "begin":
                    reply = self._begin(asked)
                case "heal":
                    self.playing, reply = None, {}
                case _:
                    reply = {"counts": dict(sorted(self.counts.items()))}
            asked.end()
        except ScheduleError as fault:
            return {"error": str(fault)}
        return {"ok": True, **reply}

    def _meet(self, asked: TomlTable) -> dict[str, Any]:
        number, address = (
            asked.whole("member", most=self.members - 1),
            parse_address(asked.loopback("address")),
        )
        self.numbers.pop(self.real.get(number, ("", 0)), None)  # a member that came back has another socket
        self.real[number], self.numbers[address] = address, number
        return {}

    def _begin(self, asked: TomlTable) -> dict[str, Any]:
        schedule = self.schedule
        if "schedule" in asked.values:
            table = asked.table("schedule")
            table.values = {"seed": self.schedule.seed, **table.values, "members": self.members}
            if "net" not in table.values:  # a fault alone: what passes, passes at once
                schedule = replace(schedule_from(table), net=IDLE)
            else:
                schedule = schedule_from(table)
            table.end()
        self.begin(schedule)
        return {"not_played": [f.kind for f in schedule.faults if f.kind in ("kill", "pause")]}


class Front(asyncio.DatagramProtocol):
    """The socket that stands for one member."""

    transport: asyncio.DatagramTransport

    def __init__(self, relay: Relay, number: int) -> None:
        self.relay, self.number = relay, number

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # the selector loop's own is no subclass

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.relay.datagram(self.number, data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        self.relay.counts["udp.refused"] += 1  # the member's process has ended

    def address(self) -> Address:
        host, port = self.transport.get_extra_info("sockname")[:2]
        return host, port


async def serve(schedule: Schedule, control: Address) -> None:
    """Open the fronts, print one JSON line with their addresses, and do as told until the process ends."""
    relay = Relay(schedule)
    fronts = await relay.open()

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError):  # a line too long, or a caller that went
            while line := await reader.readline():
                writer.write(json.dumps(await relay.told(line)).encode() + b"\n")
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, *control, limit=LINE_BYTES)
    host, port = server.sockets[0].getsockname()[:2]
    told = {"control": f"{host}:{port}", "fronts": [f"{host}:{port}" for host, port in fronts]}
    print(json.dumps({"relay": told}), file=sys.stderr, flush=True)
    await server.serve_forever()
