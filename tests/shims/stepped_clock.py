"""Runs a module as a program whose wall clock a test can step; its monotonic clock is the real one.

    python stepped_clock.py CLOCK_FILE MODULE [ARGUMENT ...]

CLOCK_FILE holds the current offset of the wall clock in nanoseconds, as a signed 64-bit integer. It is mapped
into memory, so a step takes effect at once. `SteppedClock` is the test's side of the file.
"""

import mmap
import runpy
import struct
import sys
import time
from pathlib import Path

from tests.shims import failing_calls

OFFSET = struct.Struct("=q")  # nanoseconds
NS_PER_S = 1_000_000_000


class SteppedClock:
    """The wall clock of one or more processes, which the test steps."""

    def __init__(self, file: Path) -> None:
        self.file = file
        self.offset_s = 0.0
        file.write_bytes(OFFSET.pack(0))

    def step(self, seconds: float) -> None:
        """Step the clock forward, or back if `seconds` is negative."""
        self.offset_s += seconds
        with self.file.open("r+b") as file:
            file.write(OFFSET.pack(int(self.offset_s * NS_PER_S)))

    def command(self, module: str) -> list[str]:
        """Return the command that runs a module under this clock; arguments may be appended."""
        return [sys.executable, __file__, str(self.file), module]


def install(file: Path) -> None:
    """Add the offset in the file to every reading of the wall clock by this process."""
    with file.open("rb") as opened:
        offset = mmap.mmap(opened.fileno(), OFFSET.size, prot=mmap.PROT_READ)
    system_time_ns = time.time_ns
    system_gettime_ns = time.clock_gettime_ns

    def time_ns() -> int:
        offset_ns: int = OFFSET.unpack_from(offset)[0]
        return system_time_ns() + offset_ns

    def clock_gettime_ns(clock: int) -> int:
        return time_ns() if clock == time.CLOCK_REALTIME else system_gettime_ns(clock)

    time.time_ns = time_ns
    time.time = lambda: time_ns() / NS_PER_S
    time.clock_gettime_ns = clock_gettime_ns
    time.clock_gettime = lambda clock: clock_gettime_ns(clock) / NS_PER_S


def main() -> None:
    """Install the shims, and run the module."""
    clock_file, module, *arguments = sys.argv[1:]
    install(Path(clock_file))
    failing_calls.install_if_asked()
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
