"""Starts the process of one instance, finds the one that an earlier agent left, and reads its log lines."""

import asyncio
import os
from collections.abc import Callable
from functools import partial

from maplestile.agent.adopted_process import AdoptedProcess
from maplestile.agent.log_reader import read_lines, read_pipe_lines
from maplestile.agent.process_registry import ProcessRegistry
from maplestile.agent.settings import InstanceSettings
from maplestile.common.tasks import start_task

Process = asyncio.subprocess.Process | AdoptedProcess


class ProcessLauncher:
    """Starts the processes of one instance and reads their logs.

    Without a registry, a process logs to a pipe that its agent reads. With a registry, it logs to a file, and
    the next agent can adopt it.
    """

    def __init__(self, name: str, registry: ProcessRegistry | None) -> None:
        self.name = name
        self.registry = registry

    def find_orphan(self) -> AdoptedProcess | None:
        """Return the running process that an earlier agent left behind, or None."""
        return None if self.registry is None else self.registry.find_orphan(self.name)

    def log_size(self) -> int:
        """Return the size of the log file in bytes, or 0 without a registry. Raises OSError."""
        return 0 if self.registry is None else self.registry.log_file(self.name).stat().st_size

    async def start(self, settings: InstanceSettings) -> asyncio.subprocess.Process:
        """Start the command of the instance. Raises OSError."""
        start = partial(
            asyncio.create_subprocess_exec,
            *settings.command,
            env={**os.environ, **dict(settings.environment)},
            stdin=asyncio.subprocess.DEVNULL,
        )
        if self.registry is None:
            return await start(stderr=asyncio.subprocess.PIPE)
        with self.registry.log_file(self.name).open("ab") as file:
            return await start(stderr=file)

    def record(self, pid: int | None) -> None:
        """Record the pid of the running process in the registry, if any; None once the process has ended."""
        if self.registry is not None:
            self.registry.record(self.name, pid)

    async def follow(self, process: Process, log_offset: int, handle_line: Callable[[bytes], None]) -> int:
        """Pass each log line to `handle_line` until the process ends, and return its exit code.

        A log file is read from `log_offset` on. Raises OSError if the log cannot be read.
        """
        if self.registry is None:
            assert isinstance(process, asyncio.subprocess.Process)
            assert process.stderr is not None
            async for line in read_pipe_lines(process.stderr):
                handle_line(line)
            return await process.wait()
        ended = asyncio.Event()
        wait_task = start_task(process.wait())
        wait_task.add_done_callback(lambda _: ended.set())
        async for line in read_lines(self.registry.log_file(self.name), log_offset, ended):
            handle_line(line)
        return await process.wait()
