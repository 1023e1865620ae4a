"""A toy worker, which answers each call with its body reversed after a configurable time.

    python examples/toy_worker.py --port 9001 --work-ms 50

It speaks the line protocol of workers, which has one JSON object per line in both directions. A router sends
CALL, LOAD, UNLOAD, STATS and CANCEL. All but UNLOAD and CANCEL are answered, in any order; an answer has the
tag that the router gave the command.
"""

import argparse
import asyncio
import base64
import json
from dataclasses import dataclass
from typing import Any

MAX_LINE_BYTES = 1 << 17
MS_PER_S = 1000
HOST = "127.0.0.1"


@dataclass(frozen=True)
class Command:
    """A command, which a router sends as one line."""

    kind: str
    tag: str  # identifies the command in its answer; for UNLOAD, the name of the function
    function: str = ""
    copies: int = 0  # requested by LOAD
    body: bytes = b""  # body of a CALL


@dataclass(frozen=True)
class Answer:
    """The answer to a command, without the command's tag."""

    kind: str
    fields: dict[str, Any]  # the other fields of the line


def decode(line: bytes) -> Command:
    """Decode a line from a router. Raises ValueError if it is not JSON."""
    message = json.loads(line)
    head = message.get("head") or {}
    return Command(
        kind=message["kind"],
        tag=message["call"],
        function=head.get("key", ""),
        copies=int(head.get("units", 0)),
        body=base64.b64decode(message.get("bytes") or ""),
    )


def encode(tag: str, answer: Answer) -> bytes:
    """Encode the answer to the command with this tag as a line."""
    return json.dumps({"kind": answer.kind, "call": tag, **answer.fields}).encode() + b"\n"


class ToyWorker:
    """A worker that takes `load_s` seconds to load copies of a function and `work_s` seconds per call."""

    def __init__(self, work_s: float, load_s: float) -> None:
        self._work_s = work_s
        self._load_s = load_s
        self._copies: dict[str, int] = {}  # loaded copies by function
        self._in_flight: dict[str, int] = {}  # calls in progress by function

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of a router until it ends; then cancel its commands that are in progress."""
        tasks: dict[str, asyncio.Task[None]] = {}
        try:
            while line := await reader.readline():
                self._receive(decode(line), tasks, writer)
        except (OSError, ValueError) as error:
            print(f"connection ended: {error}")
        finally:
            for task in list(tasks.values()):
                task.cancel()
            writer.close()

    def _receive(
        self, command: Command, tasks: dict[str, asyncio.Task[None]], writer: asyncio.StreamWriter
    ) -> None:
        """Carry out a command that has no answer, or start a task for one that has."""
        match command.kind:
            case "CANCEL":
                if task := tasks.pop(command.tag, None):
                    task.cancel()
            case "UNLOAD":
                self._copies.pop(command.tag, None)
            case _:
                task = asyncio.create_task(self._answer(command, writer))
                tasks[command.tag] = task
                task.add_done_callback(lambda _: tasks.pop(command.tag, None))

    async def _answer(self, command: Command, writer: asyncio.StreamWriter) -> None:
        answer = await self._carry_out(command)
        writer.write(encode(command.tag, answer))

    async def _carry_out(self, command: Command) -> Answer:
        match command.kind:
            case "LOAD":
                copies = await self._load(command.function, command.copies)
                return Answer("200", {"head": {"units": copies}})
            case "CALL":
                return await self._run(command)
            case "STATS":
                return Answer("status", {"stats": self._load_report()})
        return Answer("alive", {})

    async def _load(self, function: str, copies: int) -> int:
        """Load a function if there are fewer copies than requested; return how many there are then."""
        if copies > self._copies.get(function, 0):
            await asyncio.sleep(self._load_s)
            self._copies[function] = max(copies, self._copies.get(function, 0))
        return self._copies.get(function, 0)

    async def _run(self, call: Command) -> Answer:
        """Run a call; if its function is not loaded, this includes a cold start."""
        queued_ahead = self._in_flight.get(call.function, 0)
        self._in_flight[call.function] = queued_ahead + 1
        try:
            await self._load(call.function, 1)
            await asyncio.sleep(self._work_s)
        finally:
            self._in_flight[call.function] -= 1
        head = {"ahead": queued_ahead, "stats": self._load_report()}
        body = base64.b64encode(call.body[::-1]).decode()
        return Answer("200", {"head": head, "bytes": body})

    def _load_report(self) -> str:
        return f"queue:{sum(self._in_flight.values())}"


async def main() -> None:
    """Serve routers until the process ends."""
    parser = argparse.ArgumentParser(description="A toy worker on the loopback address.")
    parser.add_argument("--port", type=int, default=9001)
    parser.add_argument("--work-ms", type=float, default=50.0)
    parser.add_argument("--load-ms", type=float, default=500.0)
    arguments = parser.parse_args()
    worker = ToyWorker(arguments.work_ms / MS_PER_S, arguments.load_ms / MS_PER_S)
    server = await asyncio.start_server(worker.serve, HOST, arguments.port, limit=MAX_LINE_BYTES)
    print(f"toy worker listens on {HOST}:{server.sockets[0].getsockname()[1]}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
