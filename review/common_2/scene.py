"""Starts the project's programs for a case, keeps its record, and turns its result into an exit code."""

import asyncio
import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
RUN_LIMIT_S = 110.0  # a case may take 120 s


class CannotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


def free_port(kind: int = socket.SOCK_STREAM, host: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


class Scene:
    """One run of a case: its temporary folder, its processes, and its record."""

    def __init__(self, record: Path) -> None:
        self.record = record
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.started_s = time.monotonic()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.lines: list[tuple[float, str]] = []
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.run_command: str = deploy["run"]

    def now_s(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_s

    def note(self, text: str, at_s: float | None = None) -> None:
        """Add a line to the record."""
        self.lines.append((self.now_s() if at_s is None else at_s, text))

    def start(
        self, name: str, *arguments: str, tmpdir: Path | None = None, **environment: str
    ) -> subprocess.Popen[bytes]:
        """Start the program with the deploy file's command `run`, and further arguments, from the root."""
        command = " ".join([self.run_command, *map(shlex.quote, arguments)])
        if tmpdir is None:
            tmpdir = self.folder / f"tmp-{name}"
        tmpdir.mkdir(exist_ok=True)
        env = {**os.environ, "TMPDIR": str(tmpdir), **environment}
        env.pop("PYTHONPATH", None)
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.processes.append(process)
        self.note(f"started {name} as process {len(self.processes)}: {' '.join(arguments) or 'run'}")
        return process

    def log_of(self, name: str) -> str:
        """Return what a process has written to its log so far."""
        path = self.folder / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def write_config(self, name: str, config: dict[str, Any]) -> Path:
        """Write a configuration file, replacing it whole."""
        path = self.folder / name
        new = path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(path)
        return path

    def end(self) -> None:
        """End every process that was started, and remove the temporary folder."""
        for process in self.processes:
            try:
                os.killpg(process.pid, signal.SIGKILL)
            except ProcessLookupError:
                continue
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def write_record(self, verdict: str) -> None:
        """Write the record, its lines in the order of their times."""
        ordered = sorted(self.lines, key=lambda line: line[0])
        text = "".join(f"{at_s:9.3f}  {line}\n" for at_s, line in ordered) + f"{verdict}\n"
        for folder, name in ((self.folder, "FOLDER"), (ROOT, "ROOT")):
            text = text.replace(str(folder), name)
        self.record.write_text(text)


def play(record: Path, main: Callable[[Scene], Awaitable[list[str]]]) -> int:
    """Play a case, write its record to a file, and return its exit code.

    `main` returns the breaks of the rule. Any error counts as a case that could not run.
    """
    # So that a run that is ended from outside ends its processes and writes its record, too.
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(CANNOT_RUN))
    scene = Scene(record)
    code, verdict = CANNOT_RUN, "could not run"
    try:
        breaks = asyncio.run(_within_limit(scene, main))
        code = BROKEN if breaks else HELD
        verdict = f"BROKEN: {len(breaks)} times; the first: {breaks[0]}" if breaks else "HELD"
    except Exception as error:  # noqa: BLE001 - whatever went wrong, the case did not run
        verdict = f"could not run: {type(error).__name__}: {error}"
        for log in sorted(scene.folder.glob("*.log")):
            scene.note(f"end of {log.name}: {log.read_text(errors='replace')[-1500:]}")
    finally:
        scene.end()
        scene.write_record(verdict)
    print(verdict, file=sys.stderr)
    return code


async def _within_limit(scene: Scene, main: Callable[[Scene], Awaitable[list[str]]]) -> list[str]:
    async with asyncio.timeout(RUN_LIMIT_S):
        return await main(scene)


async def until(condition: Callable[[], Any], what: str, patience_s: float = 20.0) -> Any:
    """Wait for a condition, and return its value. Raises CannotRunError if it takes too long."""
    end_s = time.monotonic() + patience_s
    while not (value := condition()):
        if time.monotonic() > end_s:
            raise CannotRunError(f"no {what} within {patience_s:.0f} s")
        await asyncio.sleep(0.02)
    return value
