"""Runs the program as a child process of a test."""

import json
import os
import re
import resource
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.shims.stepped_clock import SteppedClock
from tests.standins.waiting import PATIENCE_S, eventually

MODULE = "maplestile"
ROOT = Path(__file__).parents[2]
DESCRIPTOR_LIMIT = 256  # the hard limit on open descriptors once a test has lowered the soft limit


class Program:
    """A process of the real program; a thread collects the lines of its log.

    With a `clock`, the process runs under a wall clock that the test steps.
    """

    def __init__(self, *arguments: str, clock: SteppedClock | None = None, **environment: str) -> None:
        self.log: list[str] = []
        self.ports: dict[str, int] = {}
        self.file = Path(arguments[-1] if arguments else "")
        env = {**os.environ, **environment, "PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}
        command = [sys.executable, "-m", MODULE] if clock is None else clock.command(MODULE)
        self.process = subprocess.Popen(
            [*command, *arguments],
            stderr=subprocess.PIPE,
            text=True,
            env=env,
            cwd=ROOT,
        )
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self) -> None:
        assert self.process.stderr is not None
        self.log.extend(iter(self.process.stderr.readline, ""))

    def find(self, pattern: str) -> str:
        """Wait for a line of the log that matches the pattern, and return the first group of the match."""

        def first_match() -> str | None:
            matches = (re.search(pattern, line) for line in list(self.log))
            return next((match[1] for match in matches if match), None)

        return str(eventually(first_match, f"{pattern} in {self.log}"))

    def port(self, front: str) -> int:
        """Return the port on which a front listens, according to the log."""
        if front not in self.ports:  # kept, since `log` may be cleared later
            self.ports[front] = int(self.find(rf"{front} front listens on 127\.0\.0\.1:(\d+)"))
        return self.ports[front]

    def counters(self) -> dict[str, int]:
        """Clear `log`, have the program log its counters, and return them."""
        self.log.clear()
        self.process.send_signal(signal.SIGUSR1)
        counters: dict[str, int] = json.loads(self.find(r'^(\{"counters".*)'))["counters"]
        return counters

    def stop(self) -> int:
        """Send SIGTERM, wait until the process ends, and return its exit code."""
        self.process.terminate()
        return self.process.wait(PATIENCE_S)

    def reload(self, change: Callable[[str], str]) -> dict[str, Any]:
        """Clear `log`, change the configuration file, send SIGHUP, and return the reported result."""
        self.log.clear()
        self.file.write_text(change(self.file.read_text()))
        self.process.send_signal(signal.SIGHUP)
        report: dict[str, Any] = json.loads(self.find(r'^(\{"reload".*)'))["reload"]
        return report

    def terminate_and_wait(self) -> tuple[int, float]:
        """Send SIGTERM; return the exit code, and the seconds until the process ended."""
        started_s = time.monotonic()
        return self.stop(), time.monotonic() - started_s

    def forbid_new_descriptors(self) -> None:
        """Lower the limit on open descriptors to the number that is open now, so that none can be added."""
        open_count = len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (open_count, DESCRIPTOR_LIMIT))

    def kill(self) -> None:
        """Send SIGKILL, and wait until the process ends."""
        self.process.kill()
        self.process.wait()
        if self.process.stderr is not None:
            self.process.stderr.close()
