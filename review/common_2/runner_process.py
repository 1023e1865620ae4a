"""A stand-in runner as a process of its own, which an agent starts; it notes each message in a file.

python review/common_2/runner_process.py --port 9001 --notes FILE

A line of the file is a JSON array: the time by the machine's monotonic clock, and the message's kind and tag.
"""

import argparse
import asyncio
import json
import time
from pathlib import Path
from typing import Any, TextIO

LOAD_S, WORK_S = 0.5, 0.08


class NotingRunner:
    """Answers calls after a while; the first call of a function loads it."""

    def __init__(self, notes: TextIO) -> None:
        self.notes = notes
        self.loading: dict[str, asyncio.Task[None]] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        tasks: dict[str, asyncio.Task[None]] = {}
        try:
            while line := await reader.readline():
                message = json.loads(line)
                self._note(message["kind"], message["call"])
                if message["kind"] == "CANCEL":
                    if task := tasks.pop(message["call"], None):
                        task.cancel()
                elif message["kind"] != "UNLOAD":
                    tasks[message["call"]] = asyncio.create_task(self._answer(message, writer))
        except (OSError, ValueError):
            pass
        finally:
            for task in tasks.values():
                task.cancel()
            writer.close()

    def _note(self, kind: str, tag: str) -> None:
        self.notes.write(json.dumps([time.monotonic(), kind, tag]) + "\n")
        self.notes.flush()

    async def _answer(self, message: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        answer: dict[str, Any] = {"kind": "alive", "call": message["call"]}
        if message["kind"] in ("CALL", "LOAD"):
            await self._load(message["head"]["key"])
            answer |= {"kind": "200", "head": {"units": 1}}
        if message["kind"] == "CALL":
            await asyncio.sleep(WORK_S)
            answer["bytes"] = message["bytes"]
        writer.write(json.dumps(answer).encode() + b"\n")

    async def _load(self, function: str) -> None:
        if function not in self.loading:
            self.loading[function] = asyncio.create_task(asyncio.sleep(LOAD_S))
        await asyncio.shield(self.loading[function])


async def main() -> None:
    """Serve until the process ends."""
    parser = argparse.ArgumentParser(description="A stand-in runner on the loopback address.")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--notes", type=Path, required=True)
    arguments = parser.parse_args()
    with arguments.notes.open("a") as notes:
        runner = NotingRunner(notes)
        runner._note("START", "")
        server = await asyncio.start_server(runner.serve, "127.0.0.1", arguments.port, limit=1 << 19)
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
