"""The adapter to the simulator: runs a `Dispatcher` for each simulated router over a line protocol.

`python -m maplestile.wire.simulator_adapter` reads batches of events from its standard input and writes the
actions to its standard output.
"""

import sys
from collections.abc import Iterator
from typing import TextIO

from maplestile.dispatch.dispatcher import Dispatcher
from maplestile.wire.simulator_codec import (
    MAX_SHOWN_CHARACTERS,
    LineFields,
    WireError,
    action_line,
    entry_from,
    event_from,
    settings_from,
)

__all__ = ["SimulatorSession", "main"]


class SimulatorSession:
    """Reads batches of events, passes each event to its dispatcher, and writes the actions."""

    def __init__(self, lines: Iterator[str], output: TextIO) -> None:
        self.line_number = 0  # of the last line read; 0 before the first
        self._lines = lines
        self._output = output
        self._dispatchers: dict[str, Dispatcher] = {}  # by the name of the simulated router

    def run(self) -> None:
        """Handle batches until the input ends; raises `WireError`."""
        while (line := self._read_line()) is not None:
            mark = LineFields(line)
            if mark.name != "MARK":
                raise WireError(f"expected MARK, found '{mark.name[:MAX_SHOWN_CHARACTERS]}'")
            self._handle_batch(mark.integer("nowUs"), mark.integer("frame"))

    def _read_line(self) -> str | None:
        line = next(self._lines, None)
        if line is None:
            return None
        self.line_number += 1
        return line.rstrip("\n")

    def _read_required_line(self) -> str:
        line = self._read_line()
        if line is None:
            raise WireError("the input ended within a batch, before its FLUSH")
        return line

    def _handle_batch(self, now_us: int, frame: int) -> None:
        output: list[str] = []
        while (line := self._read_required_line()) != "FLUSH":
            self._handle_line(now_us, line, output)
        output.append(f"OK frame={frame}\n")
        self._output.write("\n".join(output))
        self._output.flush()

    def _handle_line(self, now_us: int, line: str, output: list[str]) -> None:
        """Handle one message, and append the resulting actions to the output."""
        fields = LineFields(line, "params" if line.startswith("BEGIN ") else "")
        router = fields.text("who")
        if fields.name == "BEGIN":
            self._dispatchers[router] = Dispatcher(
                settings_from(fields.text("params")), fields.integer("salt")
            )
            return
        if fields.name == "KILLED":
            self._dispatchers.pop(router, None)
            return
        count = fields.integer("membersList", 0) if fields.name == "ROSTER_CHANGE" else 0
        entries = tuple(entry_from(self._read_required_line()) for _ in range(count))
        event = event_from(fields, entries)
        dispatcher = self._dispatchers.get(router)
        if event is not None and dispatcher is not None:
            output.extend(action_line(router, action) for action in dispatcher.handle(now_us, event))


def main() -> int:
    """Run a session on the standard streams; return the exit code."""
    session = SimulatorSession(iter(sys.stdin), sys.stdout)
    try:
        session.run()
    except WireError as error:
        print(f"line {session.line_number}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
