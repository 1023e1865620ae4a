"""The relay's control port: carries out the commands of whoever started the processes.

It is controlled by JSON lines on a loopback port, one object in, one back; an error names what is wrong:

    {"do": "udp", "member": 0, "address": "127.0.0.1:4000"}     the member's real socket
    {"do": "tcp", "from": 0, "to": 1, "address": "127.0.0.1:5000"} -> {"ok": true, "front": "127.0.0.1:5511"}
    {"do": "begin"}                     the schedule's clock starts at 0 now
    {"do": "begin", "schedule": {...}}  the same with another schedule, in the file's form (without `members`)
    {"do": "heal"}                      everything passes again
    {"do": "counts"}                    what became of datagrams, chunks and connections so far
"""

import asyncio
import contextlib
import json
import sys
from typing import Any

from maplestile.common.address import Address
from maplestile.tools.faults import relay_commands
from maplestile.tools.faults.relay import Relay
from maplestile.tools.faults.relay_commands import (
    Begin,
    Command,
    Counts,
    Done,
    Heal,
    LinkOpened,
    OpenLink,
    ReadCounts,
    RegisterMember,
    Reply,
    ScheduleStarted,
)
from maplestile.tools.faults.schedule import FaultKind, Schedule, ScheduleError

MAX_LINE_BYTES = 65_536
NOT_PLAYED = (FaultKind.KILL, FaultKind.PAUSE)  # faults of processes: the relay signals nobody


class ControlPort:
    """The commands for one relay."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    async def execute(self, line: bytes) -> dict[str, Any]:
        """Carry out one line's command and return the reply's JSON object."""
        try:
            table = relay_commands.parse(line)
            reply = await self._carry_out(relay_commands.decode(table, self._relay.schedule))
            table.end()  # an unknown field is reported, and does not undo what was done
        except ScheduleError as error:
            return {"error": str(error)}
        return relay_commands.encode(reply)

    async def _carry_out(self, command: Command) -> Reply:
        match command:
            case RegisterMember(member, address):
                self._relay.register(member, address)
            case OpenLink(origin, target, address):
                return LinkOpened(await self._relay.link(origin, target, address))
            case Begin(schedule):
                self._relay.begin(schedule)
                kinds = (fault.kind for fault in schedule.faults)
                return ScheduleStarted(tuple(kind for kind in kinds if kind in NOT_PLAYED))
            case Heal():
                self._relay.heal()
            case ReadCounts():
                return Counts(self._relay.counts)
        return Done()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the lines of one connection until it ends."""
        with contextlib.suppress(OSError, ValueError):  # a line too long, or a caller that disconnected
            while line := await reader.readline():
                writer.write(json.dumps(await self.execute(line)).encode() + b"\n")
                await writer.drain()
        writer.close()


async def serve(schedule: Schedule, control: Address) -> None:
    """Open a relay, print one JSON line with its addresses, and carry out commands until cancelled."""
    relay = Relay(schedule)
    fronts = await relay.open()
    server = await asyncio.start_server(ControlPort(relay).serve, *control, limit=MAX_LINE_BYTES)
    host, port = server.sockets[0].getsockname()[:2]
    addresses = {"control": f"{host}:{port}", "fronts": [f"{host}:{port}" for host, port in fronts]}
    print(json.dumps({"relay": addresses}), file=sys.stderr, flush=True)
    await server.serve_forever()
