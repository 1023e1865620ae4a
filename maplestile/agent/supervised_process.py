"""One supervised process: started, watched, and started again with exponential backoff."""

import asyncio
import logging
import signal
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

from maplestile.agent.process_launcher import Process, ProcessLauncher
from maplestile.agent.process_output import ProcessOutput
from maplestile.agent.process_registry import ProcessRegistry
from maplestile.agent.settings import AgentSettings, InstanceSettings
from maplestile.common.waiting import wait_until_set

log = logging.getLogger("maplestile.agent")
SIGNAL_ANSWER_S = 3.0
BACKOFF_FACTOR = 2


class ProcessState(Enum):
    """The state of an instance, as the agent's `status` shows it."""

    NEW = "new"
    RUNNING = "running"
    WAITING = "waiting"  # for its next start, after an unexpected end
    STOPPED = "stopped"


@dataclass(slots=True, frozen=True)
class ProcessStatus:
    """The status of an instance, as operators see it."""

    state: ProcessState
    pid: int | None  # None while no process runs
    starts: int  # how often it was started or adopted
    for_s: float  # in this state
    last_exit: str

    def encoded(self) -> dict[str, Any]:
        """The wire form, an entry of the reply to `status`."""
        return {**asdict(self), "state": self.state.value}


class SupervisedProcess:
    """The process of one instance, over all its starts.

    `reread` returns the present settings of an instance in the agent's file, or raises OperatorError.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        agent: AgentSettings,
        reread: Callable[[str], InstanceSettings],
        registry: ProcessRegistry | None = None,
    ) -> None:
        self.settings = settings
        self.previous_settings = settings  # before the last `renew`
        self.agent = agent
        self.reread = reread
        self.launcher = ProcessLauncher(settings.name, registry)
        self.output = ProcessOutput(settings.name)
        self.process: Process | None = None
        self.orphan: Process | None = None  # left by an earlier agent, to be adopted in place of a start
        self.adopted = False  # an earlier agent has started the process
        self.state = ProcessState.NEW
        self.starts = 0
        self.changed_at_s = time.time()
        self.last_exit = ""
        self.wanted = asyncio.Event()
        self.wanted.set()
        self.changed = asyncio.Condition()
        self.skip_backoff = asyncio.Event()
        self.backoff_s = agent.backoff_s

    # Supervision.

    async def run(self) -> None:
        """Keep it running while it is wanted, until cancelled."""
        self.orphan = self.launcher.orphan()
        while True:
            await self.wanted.wait()
            started_s = time.monotonic()
            await self._run_once()
            if self.wanted.is_set() and not self.skip_backoff.is_set():
                await self._back_off(time.monotonic() - started_s)
                continue
            self.skip_backoff.clear()
            self.backoff_s = self.agent.backoff_s
            await self._enter(ProcessState.STOPPED)

    async def _run_once(self) -> None:
        """Start a process, or adopt the orphan, and return at its end."""
        try:
            log_offset = self.launcher.log_size()
            self.adopted = self.orphan is not None
            self.output.drained = False
            self.process = self.orphan or await self.launcher.start(self.settings)
        except OSError as fault:
            self.last_exit = f"cannot start: {fault.strerror}"
            return
        self.orphan = None
        self.starts += 1
        how = "adopted" if self.adopted else "started"
        log.info("%s: %s, pid %d", self.settings.name, how, self.process.pid)
        self.launcher.record(self.process.pid)
        await self._enter(ProcessState.RUNNING)
        if not self.wanted.is_set():  # it was stopped while it was being started
            self.send(signal.SIGTERM)
        code = await self.launcher.follow(self.process, log_offset, self.output.handle)
        self.process = None
        self.last_exit = _describe_exit(code, self.adopted)
        self.launcher.record(None)

    async def _back_off(self, ran_s: float) -> None:
        if ran_s >= self.agent.steady_s:
            self.backoff_s = self.agent.backoff_s
        log.warning("%s: %s; starts again in %.2f s", self.settings.name, self.last_exit, self.backoff_s)
        await self._enter(ProcessState.WAITING)
        await wait_until_set(self.skip_backoff, self.backoff_s)
        self.skip_backoff.clear()
        self.backoff_s = min(self.agent.max_backoff_s, BACKOFF_FACTOR * self.backoff_s)

    async def _enter(self, state: ProcessState) -> None:
        async with self.changed:
            self.state = state
            self.changed_at_s = time.time()
            self.changed.notify_all()

    def send(self, number: signal.Signals) -> bool:
        """Send a signal; False where no process runs."""
        if self.process is None or self.process.returncode is not None:
            return False
        self.process.send_signal(number)
        return True

    def running(self) -> bool:
        """Whether a process runs, ready or not."""
        return self.process is not None and self.process.returncode is None

    # Operators' commands.

    async def stop(self) -> None:
        """Stop it until it is wanted again: SIGTERM, and SIGKILL where that does not end it in time."""
        self._release()
        await self._terminate()
        if self.state in (ProcessState.NEW, ProcessState.WAITING):
            await self._enter(ProcessState.STOPPED)

    async def restart(self) -> None:
        """Stop it and start it again at once; returns when it has started, or could not."""
        starts = self.starts
        self.skip_backoff.set()
        if self.wanted.is_set():
            await self._terminate()
        else:
            self.wanted.set()
        async with self.changed:
            await self.changed.wait_for(
                lambda: self.starts > starts or self.state is ProcessState.WAITING,
            )

    async def count(self) -> Any:
        """A router's counters; None where it gives none in time."""
        return await self._signal_answer(signal.SIGUSR1, "counters")

    async def reload(self) -> Any:
        """Have a router read its file again; its report, or None where it gives none in time."""
        return await self._signal_answer(signal.SIGHUP, "reload") if self.settings.is_router else None

    def status(self) -> ProcessStatus:
        """The status of the instance now."""
        return ProcessStatus(
            state=self.state,
            pid=self.process.pid if self.process else None,
            starts=self.starts,
            for_s=round(time.time() - self.changed_at_s, 1),
            last_exit=self.last_exit,
        )

    def _release(self) -> None:
        self.wanted.clear()
        self.skip_backoff.set()

    async def _terminate(self) -> None:
        process = self.process
        if process is None or not self.send(signal.SIGTERM):
            return
        try:
            async with asyncio.timeout(self.agent.stop_s):
                await process.wait()
        except TimeoutError:
            log.warning("%s: still there %.1f s after SIGTERM; killed", self.settings.name, self.agent.stop_s)
            self.send(signal.SIGKILL)
            await process.wait()

    async def _signal_answer(self, number: signal.Signals, key: str) -> Any:
        answer = self.output.answers.expect(key)
        if not self.send(number):
            return None
        try:
            async with asyncio.timeout(SIGNAL_ANSWER_S):
                return await answer
        except TimeoutError:
            return None

    # Steps of a rollout.

    async def drain(self) -> str:
        """Ask the process to end, and wait for it however long its calls in flight take.

        Unlike `stop` this never kills it. Returns "" for a clean end, else how it ended.
        """
        self._release()
        process = self.process
        if process is None or not self.send(signal.SIGTERM):
            return ""  # there was none
        await process.wait()
        if self.adopted and self.settings.is_router:
            async with self.changed:  # notified once its last lines are read
                await self.changed.wait_for(lambda: self.process is not process)
            return "" if self.output.drained else "it ended without its last word: how is not known"
        code = process.returncode
        # A router ends by itself once its drain is over; other programs may leave SIGTERM to the system.
        is_clean = code == 0 or (code == -signal.SIGTERM and not self.settings.is_router)
        return "" if is_clean else f"it ended with {code}"

    def start(self) -> None:
        """Start it again."""
        self.wanted.set()

    def renew(self) -> None:
        """Read its settings again from the agent's file, for the next start. Raises OperatorError."""
        settings = self.reread(self.settings.name)
        self.previous_settings = self.settings
        self.settings = settings

    def restore(self) -> None:
        """Return to the settings before the last `renew`, for the next start."""
        self.settings = self.previous_settings


def _describe_exit(code: int, adopted: bool) -> str:
    if adopted:
        return "ended; how is not known, for it was adopted"
    return f"ended with {code}" if code >= 0 else f"ended by {signal.Signals(-code).name}"
