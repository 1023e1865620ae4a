"""Runners with a limited capacity, which rises from a small share in the time after their start."""

import asyncio
import base64
import heapq
import json
import math
import random
import time
from dataclasses import dataclass
from typing import Any

LINE_BYTES = 1 << 20


@dataclass(frozen=True)
class Capacity:
    """The capacity of a runner, and how it grows after a start; it is listed by its number of cores."""

    cores: int = 4
    speed: float = 1.0  # of a core of a warm runner, as a share of a usual core's
    mean_work_s: float = 0.1  # time that a mean call takes on a usual core
    load_s: float = 1.2  # time to load a copy of a function; calls of the function wait for it
    held_per_core: int = 8  # calls that run or wait; further ones are refused
    start_share: float = 0.16  # share of the capacity right after the start
    slow_start_s: float = 18.0  # time after which the whole capacity is there

    @property
    def calls_per_s(self) -> float:
        """The calls of mean work that a warm runner carries."""
        return self.cores * self.speed / self.mean_work_s

    def share(self, age_s: float) -> float:
        """Return the share of the capacity at this age."""
        progress = min(1.0, max(0.0, age_s / self.slow_start_s))
        return self.start_share + (1 - self.start_share) * progress


class CapacityWorker:
    """One runner; a restart ends its connections and makes it cold."""

    def __init__(self, uid: str, capacity: Capacity, seed: int) -> None:
        self.uid = uid
        self.capacity = capacity
        self.port = 0
        self.started_s = 0.0  # of the current process, on the monotonic clock; 0 for a long time ago
        self.told_s = math.inf  # when all routers had been told of that start
        self.received_s: list[float] = []  # times of calls and loads that the current process got
        self._random = random.Random(seed)
        self._busy_until_s = [0.0] * capacity.cores
        self._silent_until_s = 0.0
        self._loaded_s: dict[str, float] = {}  # when the copy of each function is loaded
        self._held: set[str] = set()  # calls that run or wait
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=LINE_BYTES)
        self.port = self._server.sockets[0].getsockname()[1]

    def restart(self) -> None:
        """Take the place of the current process by a new one at the same address."""
        self.reset_connections()
        self.started_s = time.monotonic()
        self.received_s = []
        self.told_s = math.inf
        self._busy_until_s = [0.0] * self.capacity.cores
        self._loaded_s = {}
        self._held = set()

    def reset_connections(self) -> None:
        """End all connections at once."""
        for writer in self._writers:
            writer.transport.abort()

    def hang(self, seconds: float) -> None:
        """Answer nothing for a while."""
        self._silent_until_s = time.monotonic() + seconds

    def close(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

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
        match message["kind"]:
            case "CALL":
                self.received_s.append(time.monotonic())
                self._run(message, writer)
            case "CANCEL":
                self._held.discard(message["call"])
            case "LOAD":
                self.received_s.append(time.monotonic())
                answer = {"kind": "200", "call": message["call"], "head": {"units": "1"}}
                self._write_at(self._load(message["head"]["key"]), writer, answer)
            case "PING" | "STATS":
                self._write(writer, {"kind": "alive", "call": message["call"]})

    def _load(self, function: str) -> float:
        """Begin to load a copy of a function, if there is none; return when it is loaded."""
        return self._loaded_s.setdefault(function, time.monotonic() + self.capacity.load_s)

    def _run(self, message: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        tag = message["call"]
        if len(self._held) >= self.capacity.held_per_core * self.capacity.cores:
            self._write(writer, {"kind": "503", "call": tag})
            return
        self._held.add(tag)
        asyncio.get_running_loop().call_at(
            asyncio.get_running_loop().time()
            + max(0.0, self._load(message["head"]["key"]) - time.monotonic()),
            self._begin,
            message,
            writer,
            self.started_s,
        )

    def _begin(self, message: dict[str, Any], writer: asyncio.StreamWriter, started_s: float) -> None:
        """Give a call its turn on the core that is free first."""
        if started_s != self.started_s or message["call"] not in self._held:
            return
        now_s = time.monotonic()
        begin_s = max(now_s, self._busy_until_s[0])
        work_s = self._random.expovariate(1 / self.capacity.mean_work_s)
        speed = self.capacity.share(begin_s - self.started_s) if self.started_s else 1.0
        end_s = begin_s + work_s / (speed * self.capacity.speed)
        heapq.heapreplace(self._busy_until_s, end_s)
        body = base64.b64decode(message.get("bytes", ""))[::-1]
        answer = {"kind": 200, "call": message["call"], "bytes": base64.b64encode(body).decode()}
        self._write_at(end_s, writer, answer)

    def _write_at(self, at_s: float, writer: asyncio.StreamWriter, answer: dict[str, Any]) -> None:
        delay_s = max(0.0, max(at_s, self._silent_until_s) - time.monotonic())
        asyncio.get_running_loop().call_later(delay_s, self._write, writer, answer)

    def _write(self, writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        self._held.discard(message["call"])
        if not writer.is_closing():
            writer.write(json.dumps(message).encode() + b"\n")
