"""Handles the log lines of a supervised process: prints them, and finds its answers to signals among them."""

import asyncio
import json
import sys
from typing import Any

# The end of the last log line of a router that has drained. `router/drain.py` writes it, so both must agree.
DRAINED_LINE = b"stops; nothing is owed"


class SignalAnswers:
    """Finds the answers of a router to SIGUSR1 and SIGHUP among its log lines.

    An answer is a line that is a JSON object with one key, such as `{"counters": ...}`.
    """

    def __init__(self) -> None:
        self._pending: dict[str, asyncio.Future[Any]] = {}  # by the key of the expected answer

    def expect(self, key: str) -> asyncio.Future[Any]:
        """Return a future for the value of the next line that is an object with only this key."""
        answer = self._pending[key] = asyncio.get_running_loop().create_future()
        return answer

    def accept(self, line: bytes) -> bool:
        """Resolve the future of an expected answer; return whether the line is such an answer."""
        if not line.startswith(b'{"'):
            return False
        try:
            ((key, value),) = json.loads(line).items()
        except (ValueError, RecursionError):  # any process may print deeply nested JSON
            return False
        answer = self._pending.pop(key, None)
        if answer is None or answer.done():
            return False
        answer.set_result(value)
        return True


class ProcessOutput:
    """Handles the log lines of one instance, across restarts of its process."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.drained = False  # whether the current process has logged that its drain is complete
        self.answers = SignalAnswers()

    def handle(self, line: bytes) -> None:
        """Handle one line: resolve an expected answer, or print the line with the instance's name."""
        # The exit code of an adopted process is not known; this line tells a complete drain from a kill.
        if line.rstrip().endswith(DRAINED_LINE):
            self.drained = True
        if self.answers.accept(line):
            return
        sys.stderr.write(f"[{self.name}] {line.decode(errors='replace')}")
        sys.stderr.flush()
