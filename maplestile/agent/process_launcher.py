"""Starts the process of one instance, or adopts one that an earlier agent left, and reads its log lines."""

import asyncio
import os
from collections.abc import Callable
from functools import partial

from maplestile.agent.adopted_process import AdoptedProcess
from maplestile.agent.log_reader import lines
from maplestile.agent.process_registry import ProcessRegistry
from maplestile.agent.settings import InstanceSettings

Process = asyncio.subprocess.Process | AdoptedProcess


class ProcessLauncher:
    """The processes of one instance.

    Without a registry a process logs to a pipe, which its agent reads; with one it logs to a file, and may be
    adopted by the next agent.
    """

    def __init__(self, name: str, registry: ProcessRegistry | None) -> None:
        self.name = name
        self.registry = registry

    def orphan(self) -> AdoptedProcess | None:
        """The process that an earlier agent has left, if it is there."""
        return None if self.registry is None else self.registry.orphan(self.name)

    def log_size(self) -> int:
        """The bytes of its log file; 0 where it has none. Raises OSError."""
        return 0 if self.registry is None else self.registry.log_file(self.name).stat().st_size

    async def start(self, settings: InstanceSettings) -> asyncio.subprocess.Process:
        """Start its command. Raises OSError."""
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
        """Put the process on record; None once it has ended."""
        if self.registry is not None:
            self.registry.record(self.name, pid)

    async def follow(self, process: Process, log_offset: int, handle: Callable[[bytes], None]) -> int:
        """Hand on its log lines, from that place of the file on, until it ends; its exit code."""
        if self.registry is None:
            assert isinstance(process, asyncio.subprocess.Process)
            assert process.stderr is not None
            while line := await process.stderr.readline():
                handle(line)
            return await process.wait()
        ended = asyncio.Event()
        waiting = asyncio.get_running_loop().create_task(process.wait())
        waiting.add_done_callback(lambda _: ended.set())
        async for line in lines(self.registry.log_file(self.name), log_offset, ended):
            handle(line)
        return await process.wait()
