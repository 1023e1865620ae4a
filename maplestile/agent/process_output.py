"""The log lines of a supervised process: printed under its name, and searched for its answers to signals."""

import asyncio
import json
import sys
from typing import Any

# The last log line of a router's drain; `router/drain.py` writes it, so both have to agree.
DRAINED_LINE = b"stops; nothing is owed"


class SignalAnswers:
    """The answers of a router to SIGUSR1 and SIGHUP.

    Each is a line with a JSON object of one key, as `{"counters": ...}`.
    """

    def __init__(self) -> None:
        self._pending: dict[str, asyncio.Future[Any]] = {}  # by the key of the line that is waited for

    def expect(self, key: str) -> asyncio.Future[Any]:
        """The value of the next line that is an object with that key alone."""
        answer = self._pending[key] = asyncio.get_running_loop().create_future()
        return answer

    def accept(self, line: bytes) -> bool:
        """Take a line if it is an answer that is waited for; whether it is one."""
        if not line.startswith(b'{"'):
            return False
        try:
            ((key, value),) = json.loads(line).items()
        except ValueError:
            return False
        answer = self._pending.pop(key, None)
        if answer is None or answer.done():
            return False
        answer.set_result(value)
        return True


class ProcessOutput:
    """The lines that one instance logs, over all its processes."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.drained = False  # the running process has logged that its drain is over
        self.answers = SignalAnswers()

    def handle(self, line: bytes) -> None:
        """Take one line: an answer that is waited for, or else a line to be printed."""
        # An adopted process has no exit code to tell a clean end from a kill; this line serves instead.
        if line.rstrip().endswith(DRAINED_LINE):
            self.drained = True
        if self.answers.accept(line):
            return
        sys.stderr.write(f"[{self.name}] {line.decode(errors='replace')}")
        sys.stderr.flush()
