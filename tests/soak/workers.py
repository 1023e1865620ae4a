"""The workers of a trial: they answer, refuse, fail, stay silent or reset, as their random source says."""

import asyncio
import base64
import json
import random
import time
from collections.abc import Callable
from typing import Any

from tests.soak.records import Arrival, TrialRecord

MEAN_WORK_S = 0.03
MAX_WORK_S = 0.5
LATE_WORK_S = 1.4
LINE_BYTES = 1 << 20
# What happens to a call, and how often.
OUTCOMES = ("ok", "late", "full", "error", "hang", "reset")
WEIGHTS = (86, 3, 4, 2, 3, 2)


class SoakWorker:
    """One worker; all its times and calls go to the record."""

    def __init__(self, uid: str, seed: int, record: TrialRecord) -> None:
        self.uid = uid
        self.record = record
        self.port = 0
        self._random = random.Random(seed)
        self._silent_until_s = 0.0
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=LINE_BYTES)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """End all connections at once."""
        for writer in self._writers:
            writer.transport.abort()

    def fall_silent(self, seconds: float) -> None:
        """Answer nothing for a while."""
        self._silent_until_s = time.monotonic() + seconds

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (line := await reader.readline()).endswith(b"\n"):
                self._handle(json.loads(line), writer)
        except OSError:
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def _handle(self, message: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        tag = message["call"]
        match message["kind"]:
            case "CALL":
                head = message["head"]
                arrival = Arrival(tag, head["class"], self.uid, time.monotonic())
                self.record.arrivals.append(arrival)
                task = asyncio.get_running_loop().create_task(self._run(message, arrival, writer))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            case "LOAD":
                units = str(max(1, int(message["head"]["units"])))
                self._write(writer, {"kind": "200", "call": tag, "head": {"units": units}})
            case "PING" | "STATS":
                self._write(writer, {"kind": "alive", "call": tag})

    async def _run(self, message: dict[str, Any], arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        outcome = self._random.choices(OUTCOMES, WEIGHTS)[0]
        work_s = min(MAX_WORK_S, self._random.expovariate(1 / MEAN_WORK_S))
        await asyncio.sleep(LATE_WORK_S if outcome == "late" else work_s)
        await asyncio.sleep(max(0.0, self._silent_until_s - time.monotonic()))
        body = base64.b64decode(message.get("bytes", ""))
        answers: dict[str, Callable[[], object]] = {
            "full": lambda: self._refuse(message["call"], arrival, writer),
            "error": lambda: self._write(writer, {"kind": 500, "call": message["call"]}),
            "hang": lambda: None,
            "reset": writer.transport.abort,
        }
        served = {"kind": 200, "call": message["call"], "bytes": base64.b64encode(body[::-1]).decode()}
        answers.get(outcome, lambda: self._write(writer, served))()

    def _refuse(self, tag: str, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        arrival.never_ran_s = time.monotonic()
        self._write(writer, {"kind": "503", "call": tag})

    def _write(self, writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        if not writer.is_closing():
            writer.write(json.dumps(message).encode() + b"\n")
