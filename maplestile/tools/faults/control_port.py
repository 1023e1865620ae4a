"""The relay's control port, for the program that started the processes.

Each command is a JSON object on a line of its own, sent to a loopback port, and so is its reply. The reply to
an invalid command is `{"error": TEXT}`, and the text names the invalid field. The commands are:

    {"do": "udp", "member": 0, "address": "127.0.0.1:4000"}     register the member's real socket
    {"do": "tcp", "from": 0, "to": 1, "address": "127.0.0.1:5000"} -> {"ok": true, "front": "127.0.0.1:5511"}
    {"do": "begin"}                     start the schedule at time 0
    {"do": "begin", "schedule": {...}}  start another schedule, in the form of the file (without `members`)
    {"do": "heal"}                      end all faults
    {"do": "counts"}                    return the counters of datagrams, chunks and connections
"""

import asyncio
import contextlib
import json
import sys
from typing import Any

from maplestile.common.address import Address
from maplestile.common.stream_server import start_stream_server
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
PROCESS_FAULTS = (FaultKind.KILL, FaultKind.PAUSE)  # the relay does not signal processes


class ControlPort:
    """The server that carries out the commands for one relay."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    async def execute(self, line: bytes) -> dict[str, Any]:
        """Carry out the command on one line and return its reply as a JSON object."""
        try:
            table = relay_commands.parse(line)
            reply = await self._carry_out(relay_commands.decode(table, self._relay.schedule))
            table.reject_unknown_fields()  # reports unknown fields; the command has been carried out by then
        except ScheduleError as error:
            return {"error": str(error)}
        return relay_commands.encode(reply)

    async def _carry_out(self, command: Command) -> Reply:
        match command:
            case RegisterMember(member, address):
                self._relay.register(member, address)
            case OpenLink(origin, target, address):
                return LinkOpened(await self._relay.open_link(origin, target, address))
            case Begin(schedule):
                self._relay.begin(schedule)
                kinds = (fault.kind for fault in schedule.faults)
                return ScheduleStarted(tuple(kind for kind in kinds if kind in PROCESS_FAULTS))
            case Heal():
                self._relay.heal()
            case ReadCounts():
                return Counts(self._relay.counts)
        return Done()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry out the commands of one connection until it ends."""
        with contextlib.suppress(OSError, ValueError):  # a line is too long, or the client has disconnected
            while line := await reader.readline():
                writer.write(json.dumps(await self.execute(line)).encode() + b"\n")
                await writer.drain()


async def serve(schedule: Schedule, control: Address) -> None:
    """Open a relay, print its addresses as one JSON line on standard error, and serve until cancelled."""
    relay = Relay(schedule)
    fronts = await relay.open_fronts()
    server = await start_stream_server(ControlPort(relay).serve, *control, MAX_LINE_BYTES)
    host, port = server.sockets[0].getsockname()[:2]
    addresses = {"control": f"{host}:{port}", "fronts": [f"{host}:{port}" for host, port in fronts]}
    print(json.dumps({"relay": addresses}), file=sys.stderr, flush=True)
    await server.serve_forever()
