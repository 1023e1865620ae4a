"""A toy worker: speaks the runners' lines, takes its time, and answers each body backwards.

python examples/toy_worker.py --port 9001 --work-ms 50
"""

import argparse
import asyncio
import base64
import json
from typing import Any


class ToyWorker:
    def __init__(self, work_s: float, load_s: float) -> None:
        self.work_s, self.load_s = work_s, load_s
        self.copies: dict[str, int] = {}
        self.held: dict[str, int] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        jobs: dict[str, asyncio.Task[None]] = {}
        try:
            while line := await reader.readline():
                told = json.loads(line)
                if told["kind"] == "CANCEL":
                    if job := jobs.pop(told["call"], None):
                        job.cancel()
                elif told["kind"] == "UNLOAD":
                    self.copies.pop(told["call"], None)
                else:
                    job = asyncio.create_task(self.answer(told, writer))
                    jobs[told["call"]] = job
                    job.add_done_callback(lambda _, call=told["call"]: jobs.pop(call, None))
        except (OSError, ValueError) as fault:
            print(f"connection ended: {fault}")
        finally:
            for job in list(jobs.values()):  # a closed connection gives up all that is open on it
                job.cancel()
            writer.close()

    async def answer(self, told: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        reply: dict[str, Any] = {"kind": "alive", "call": told["call"]}
        if told["kind"] == "LOAD":
            copies = await self.load(told["head"]["key"], int(told["head"]["units"]))
            reply |= {"kind": "200", "head": {"units": copies}}
        elif told["kind"] == "CALL":
            reply |= await self.run(told["head"]["key"], base64.b64decode(told["bytes"]))
        elif told["kind"] == "STATS":
            reply |= {"kind": "status", "stats": f"queue:{sum(self.held.values())}"}
        writer.write(json.dumps(reply).encode() + b"\n")

    async def load(self, function: str, copies: int) -> int:
        if copies > self.copies.get(function, 0):
            await asyncio.sleep(self.load_s)
            self.copies[function] = max(copies, self.copies.get(function, 0))
        return self.copies.get(function, 0)

    async def run(self, function: str, body: bytes) -> dict[str, Any]:
        ahead = self.held.get(function, 0)
        self.held[function] = ahead + 1
        try:
            await self.load(function, 1)
            await asyncio.sleep(self.work_s)
        finally:
            self.held[function] -= 1
        head = {"ahead": ahead, "stats": f"queue:{sum(self.held.values())}"}
        return {"kind": "200", "head": head, "bytes": base64.b64encode(body[::-1]).decode()}


async def main() -> None:
    parser = argparse.ArgumentParser(description="A toy worker on the loopback address.")
    parser.add_argument("--port", type=int, default=9001)
    parser.add_argument("--work-ms", type=float, default=50.0)
    parser.add_argument("--load-ms", type=float, default=500.0)
    told = parser.parse_args()
    worker = ToyWorker(told.work_ms / 1000, told.load_ms / 1000)
    server = await asyncio.start_server(worker.serve, "127.0.0.1", told.port, limit=1 << 17)
    print(f"toy worker listens on 127.0.0.1:{server.sockets[0].getsockname()[1]}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
