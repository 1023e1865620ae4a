"""Writes what a case sees to its record, one line per event, and gives the verdict."""

import asyncio
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2  # exit codes of a case
SHOWN = 10  # breaks that are printed; the record has all
CASE_S = 115.0  # a case that takes longer could not run


class CouldNotRun(Exception):
    """The case could not run; the text says why."""


class Record:
    """The record of one run of a case, in the file that the case names."""

    def __init__(self, path: Path) -> None:
        self.started_s = time.time()
        self.file = path.open("w", encoding="utf-8")
        self.write(f"started at Unix time {self.started_s:.3f}; the times are seconds from then on")

    def write(self, text: str) -> None:
        """Write one line with the time."""
        if not self.file.closed:
            self.file.write(f"{time.time() - self.started_s:9.4f} {text}\n")

    def finish(self, rule: str, broken: list[str]) -> int:
        """Write and print the verdict, and return the exit code of the case."""
        for text in broken:
            self.write(f"BROKEN, rule '{rule}': {text}")
        verdict = f"rule '{rule}': {f'broken {len(broken)} times' if broken else 'held'}"
        self.write(verdict)
        self.file.close()
        sys.stdout.write("".join(f"{text}\n" for text in [*broken[:SHOWN], verdict]))
        return BROKEN if broken else HELD


def has_trouble() -> bool:
    """Return whether the case plays its disruption; `TROUBLE=0` switches it off."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(record_path: Path, rule: str, play: Callable[[Record], Awaitable[list[str]]]) -> int:
    """Play a case, which returns how the rule was broken; return the exit code of the script."""
    record = Record(record_path)

    async def play_in_time() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        # A case that is ended from outside still ends the processes that it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(CASE_S):
            return await play(record)

    try:
        broken = asyncio.run(play_in_time())
    except (CouldNotRun, OSError, TimeoutError, asyncio.CancelledError) as error:
        text = f"the case could not run: {type(error).__name__}: {error}"
        record.write(text)
        record.file.close()
        sys.stdout.write(f"{text}\n")
        return COULD_NOT_RUN
    return record.finish(rule, broken)
