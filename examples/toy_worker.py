"""A toy worker: speaks the runners' lines, takes its time, and answers each body backwards.

python examples/toy_worker.py --port 9001 --work-ms 50
"""

import argparse
import asyncio
import base64
import json
from typing import Any

MAX_LINE_BYTES = 1 << 17
MS_PER_S = 1000


class ToyWorker:
    """A worker that takes `load_s` to load a copy and `work_s` for a call."""

    def __init__(self, work_s: float, load_s: float) -> None:
        self.work_s = work_s
        self.load_s = load_s
        self.copies: dict[str, int] = {}  # loaded, by function
        self.in_flight: dict[str, int] = {}  # calls, by function

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection of a router until it ends."""
        jobs: dict[str, asyncio.Task[None]] = {}
        try:
            while line := await reader.readline():
                self.receive(json.loads(line), jobs, writer)
        except (OSError, ValueError) as error:
            print(f"connection ended: {error}")
        finally:
            for job in list(jobs.values()):  # a closed connection cancels all that is in flight on it
                job.cancel()
            writer.close()

    def receive(
        self, message: dict[str, Any], jobs: dict[str, asyncio.Task[None]], writer: asyncio.StreamWriter
    ) -> None:
        """Start, cancel or unload, as a message says."""
        call = message["call"]
        if message["kind"] == "CANCEL":
            if job := jobs.pop(call, None):
                job.cancel()
        elif message["kind"] == "UNLOAD":
            self.copies.pop(call, None)
        else:
            job = asyncio.create_task(self.answer(message, writer))
            jobs[call] = job
            job.add_done_callback(lambda _: jobs.pop(call, None))

    async def answer(self, message: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        """Do what a message requests, and answer it."""
        reply: dict[str, Any] = {"kind": "alive", "call": message["call"]}
        if message["kind"] == "LOAD":
            copies = await self.load(message["head"]["key"], int(message["head"]["units"]))
            reply |= {"kind": "200", "head": {"units": copies}}
        elif message["kind"] == "CALL":
            reply |= await self.run(message["head"]["key"], base64.b64decode(message["bytes"]))
        elif message["kind"] == "STATS":
            reply |= {"kind": "status", "stats": f"queue:{sum(self.in_flight.values())}"}
        writer.write(json.dumps(reply).encode() + b"\n")

    async def load(self, function: str, copies: int) -> int:
        """Load copies of a function up to a number; the number that is loaded then."""
        if copies > self.copies.get(function, 0):
            await asyncio.sleep(self.load_s)
            self.copies[function] = max(copies, self.copies.get(function, 0))
        return self.copies.get(function, 0)

    async def run(self, function: str, body: bytes) -> dict[str, Any]:
        """Run a call; its answer's kind, head and body."""
        ahead = self.in_flight.get(function, 0)
        self.in_flight[function] = ahead + 1
        try:
            await self.load(function, 1)
            await asyncio.sleep(self.work_s)
        finally:
            self.in_flight[function] -= 1
        head = {"ahead": ahead, "stats": f"queue:{sum(self.in_flight.values())}"}
        return {"kind": "200", "head": head, "bytes": base64.b64encode(body[::-1]).decode()}


async def main() -> None:
    """Listen until the process ends."""
    parser = argparse.ArgumentParser(description="A toy worker on the loopback address.")
    parser.add_argument("--port", type=int, default=9001)
    parser.add_argument("--work-ms", type=float, default=50.0)
    parser.add_argument("--load-ms", type=float, default=500.0)
    arguments = parser.parse_args()
    worker = ToyWorker(arguments.work_ms / MS_PER_S, arguments.load_ms / MS_PER_S)
    server = await asyncio.start_server(worker.serve, "127.0.0.1", arguments.port, limit=MAX_LINE_BYTES)
    print(f"toy worker listens on 127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
