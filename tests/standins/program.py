"""The program as a child process of a test."""

import json
import os
import re
import signal
import subprocess
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.standins.waiting import PATIENCE_S, eventually

ROOT = Path(__file__).parents[2]


class Program:
    """The real program as a process; its log is read all the time."""

    def __init__(self, *arguments: str, **environment: str) -> None:
        self.log: list[str] = []
        self.ports: dict[str, int] = {}
        self.file = Path(arguments[-1] if arguments else "")
        env = {**os.environ, **environment, "PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "maplestile", *arguments],
            stderr=subprocess.PIPE,
            text=True,
            env=env,
            cwd=ROOT,
        )
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self.process.stderr is not None
        self.log.extend(iter(self.process.stderr.readline, ""))

    def find(self, pattern: str) -> str:
        def look() -> str | None:
            found = (re.search(pattern, line) for line in list(self.log))
            return next((match[1] for match in found if match), None)

        return str(eventually(look, f"{pattern} in {self.log}"))

    def port(self, front: str) -> int:
        if front not in self.ports:  # the log may have been cleared since
            self.ports[front] = int(self.find(rf"{front} front listens on 127\.0\.0\.1:(\d+)"))
        return self.ports[front]

    def counters(self) -> dict[str, int]:
        self.log.clear()
        self.process.send_signal(signal.SIGUSR1)
        counters: dict[str, int] = json.loads(self.find(r'^(\{"counters".*)'))["counters"]
        return counters

    def stop(self) -> int:
        self.process.terminate()
        return self.process.wait(PATIENCE_S)

    def reload(self, change: Callable[[str], str]) -> dict[str, Any]:
        """Replace the configuration and send SIGHUP; what the program says of it."""
        self.log.clear()
        self.file.write_text(change(self.file.read_text()))
        self.process.send_signal(signal.SIGHUP)
        report: dict[str, Any] = json.loads(self.find(r'^(\{"reload".*)'))["reload"]
        return report

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()
        if self.process.stderr is not None:
            self.process.stderr.close()
