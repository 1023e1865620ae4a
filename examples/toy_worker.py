"""A toy worker: speaks the workers' line protocol, takes its time, and answers each body reversed.

    python examples/toy_worker.py --port 9001 --work-ms 50

The protocol has one JSON object a line in both directions. A router sends CALL, LOAD, UNLOAD, STATS and
CANCEL; each but UNLOAD and CANCEL is answered, in any order, under the tag that the router gave it.
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
    """A line of a router."""

    kind: str
    tag: str  # names the command in its answer; of UNLOAD, the function
    function: str = ""
    copies: int = 0  # that a LOAD requests
    body: bytes = b""  # of a CALL


@dataclass(frozen=True)
class Answer:
    """A line of the worker, without the tag of the command that it answers."""

    kind: str
    fields: dict[str, Any]  # the other fields of the line


def decode(line: bytes) -> Command:
    """Decode a line of a router. Raises ValueError where it is no JSON."""
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
    """Encode the answer to the command with this tag."""
    return json.dumps({"kind": answer.kind, "call": tag, **answer.fields}).encode() + b"\n"


class ToyWorker:
    """A worker that takes `load_s` to load a copy and `work_s` for a call."""

    def __init__(self, work_s: float, load_s: float) -> None:
        self._work_s = work_s
        self._load_s = load_s
        self._copies: dict[str, int] = {}  # loaded, by function
        self._in_flight: dict[str, int] = {}  # calls, by function

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of a router until it ends, which cancels what is in flight on it."""
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
        """Start a command that is answered, or carry out one that is not."""
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
        """Load a function until there are at least so many copies; return how many there are."""
        if copies > self._copies.get(function, 0):
            await asyncio.sleep(self._load_s)
            self._copies[function] = max(copies, self._copies.get(function, 0))
        return self._copies.get(function, 0)

    async def _run(self, call: Command) -> Answer:
        """Run a call, with a cold start if its function is not loaded."""
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
    """Listen until the process ends."""
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
