"""Stands in for the platform: writes configurations, and starts, signals and ends the project's programs."""

import asyncio
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.record import CouldNotRun, Record

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
READY_S = 30.0
POLL_S = 0.02
SOCKETS = 1024


def deploy_command(key: str) -> str:
    """Return a command of the deploy file."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[key])


def free_port() -> int:
    """Return a TCP port that is free now."""
    with socket.create_server((HOST, 0)) as listener:
        return int(listener.getsockname()[1])


def _grade(name: str, aim_ms: int, deadline_ms: int, semantics: str, **changes: Any) -> dict[str, Any]:
    return {
        "name": name,
        "aimUs": aim_ms * 1000,
        "deadlineUs": deadline_ms * 1000,
        "semantics": semantics,
        "keyScope": "all",
        "windowUs": 5_000_000,
        "lateValue": 0.1,
        "points": 3.0,
        "stream": False,
    } | changes


def settings() -> dict[str, Any]:
    """Return the settings of a small deployment: those that section 13 of the page on the wire shows."""
    return {
        "clientHabits": {"marksRetry": True},
        "countedBy": "work",
        "dcs": ["north-block", "pond-block", "press-block"],
        "discovery": "push",
        "family": "warm",
        "familyInfo": {
            "answerWithinUs": 10_000_000,
            "countsAlike": True,
            "lingerIdleUs": 9_700_000,
            "loadFree": 0.0,
            "loadShare": 0.0,
            "loadsWithinUs": 0,
            "machineMb": [77248.0, 37952.0],
            "orders": True,
            "priceOfIdle": 0.05,
            "warmNotes": False,
            "whenAbsent": "load",
        },
        "grades": [
            _grade("review", 1000, 5000, "free"),
            _grade("deck-make", 2000, 6000, "guarded", keyScope="cell", windowUs=4_000_000, points=2.0),
            _grade("test-submit", 1200, 5000, "single_shot", lateValue=0.2),
        ],
        "granularityUs": 4000,
        "guarantees": {
            "answerSlackUs": 16_000,
            "askWithinUs": 10_000_000,
            "coldUs": 18_000_000,
            "drainGraceUs": 2_000_000,
            "fallMultiple": 4.0,
            "overloadForUs": 2_000_000,
            "startCapacity": 0.16,
        },
        "index": 0,
        "instances": 1,
        "kinds": ["quad-std", "dual-slow"],
        "limits": {
            "attemptsCap": 5,
            "cancelling": True,
            "connectTimeoutUs": 250_000,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 400_000,
            "idleCloseUs": 15_000_000,
            "maxOpen": 20_000,
            "maxRetryAfterUs": 1_000_000,
            "mayDuplicate": True,
            "mayTell": False,
            "probes": True,
            "retryAfter": True,
            "streamsPerConn": 32,
        },
        "objectiveMix": {"whole": 0.55, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.15},
        "overShareWorth": 0.1,
        "report": {"fields": ["queue"], "via": "answers"},
        "stage": 0,
        "tenants": [
            {"fraction": 0.52, "name": "shapla-tutors", "quotaRps": 69.0},
            {"fraction": 0.24, "name": "nodi-schools", "quotaRps": 32.0},
            {"fraction": 0.24, "name": "palash-readers", "quotaRps": 32.0},
        ],
        "tiers": ["card-workers"],
        "weights": "nominal",
        "zone": "north-block",
    }


class Program:
    """One process of the project, started with a command of the deploy file; its log goes to the record."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, record: Record) -> None:
        self.name = name
        self.process = process
        self.record = record
        self.log_task = asyncio.get_running_loop().create_task(self._read_log())

    async def _read_log(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.record.write(f"log of {self.name}: {line.decode(errors='replace').rstrip()}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process.returncode is None:
            self.record.write(f"platform: sends {number.name} to {self.name}")
            self.process.send_signal(number)

    async def wait(self, seconds: float) -> int | None:
        """Wait until the process ends, and return its exit code; None if it still runs after `seconds`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                code = await self.process.wait()
                self.record.write(f"platform: {self.name} ended with {code}")
                return code
        return None


class Platform:
    """Starts the programs of a case in a temporary folder, and ends all of them when the case ends."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.programs: list[Program] = []

    async def __aenter__(self) -> "Platform":
        return self

    async def __aexit__(self, *_: object) -> None:
        for program in self.programs:
            program.send_signal(signal.SIGKILL)
            await program.process.wait()
            await program.log_task
        shutil.rmtree(self.folder, ignore_errors=True)

    def write_config(self, listen: int, dns: int, known: list[dict[str, Any]]) -> Path:
        """Write the configuration of a router, and return its file."""
        config = {
            "name": "n0",
            "listen": f"{HOST}:{listen}",
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
            "dns": f"{HOST}:{dns}",
            "known": {"index": len(known), "updates": known},
            "settings": settings(),
        }
        file = self.folder / "config.json"
        file.write_text(json.dumps(config))
        return file

    async def start(self, name: str, arguments: str = "", **environment: str) -> Program:
        """Start `run` of the deploy file by the shell, with arguments if there are any."""
        scratch = Path(tempfile.mkdtemp(dir=self.folder))
        command = f"{deploy_command('run')} {arguments}".strip()
        self.record.write(f"platform: starts {name}: {command}")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env={**os.environ, "TMPDIR": str(scratch), **environment},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        program = Program(name, process, self.record)
        self.programs.append(program)
        return program

    async def start_router(self, name: str, listen: int, config: Path) -> Program:
        """Start a router as the platform does; return once it is ready. Raises CouldNotRun."""
        program = await self.start(
            name, NODE_NAME="n0", NODE_LISTEN=f"{HOST}:{listen}", NODE_CONFIG=str(config)
        )
        await wait_until(lambda: is_ready(listen), f"{name} is ready")
        return program


async def wait_until(condition: Callable[[], Awaitable[bool]], what: str) -> None:
    """Wait until a condition holds. Raises CouldNotRun if it does not in time."""
    until_s = time.monotonic() + READY_S
    while not await condition():
        if time.monotonic() >= until_s:
            raise CouldNotRun(f"not in time: {what}")
        await asyncio.sleep(POLL_S)


async def is_ready(port: int) -> bool:
    """Return whether a router answers the method `check` with `"ready":true`."""
    body = b'{"jsonrpc":"2.0","id":1,"method":"check","params":{}}'
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    try:
        writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
        async with asyncio.timeout(1.0):
            head = await reader.readuntil(b"\r\n\r\n")
            answer = json.loads(await reader.readexactly(int(head.split(b":")[1])))
        return bool(answer.get("result", {}).get("ready"))
    except (OSError, EOFError, TimeoutError):
        return False
    finally:
        writer.close()
