"""Supervision of one process: it is started, watched, and restarted with exponential backoff."""

import asyncio
import contextlib
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
SIGNAL_ANSWER_TIMEOUT_S = 3.0
READ_AGAIN_S = 0.5  # after a failure to read the log
BACKOFF_FACTOR = 2  # growth of the backoff with each early end


class ProcessState(Enum):
    """The state of an instance, as the agent's `status` command reports it."""

    NEW = "new"
    RUNNING = "running"
    WAITING = "waiting"  # for its next start, after the process ended unexpectedly
    STOPPED = "stopped"


@dataclass(slots=True, frozen=True)
class ProcessStatus:
    """The status of an instance, as reported to operators."""

    state: ProcessState
    pid: int | None  # None while no process runs
    starts: int  # number of times a process was started or adopted
    for_s: float  # seconds in this state
    last_exit: str  # how the last process ended, or why it could not start; "" if none has ended

    def encoded(self) -> dict[str, Any]:
        """Return the wire form: one entry of the reply to `status`."""
        return {**asdict(self), "state": self.state.value}


class SupervisedProcess:
    """The process of one instance, across restarts.

    `read_settings` returns the current settings of an instance from the agent's file, or raises
    OperatorError.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        agent: AgentSettings,
        read_settings: Callable[[str], InstanceSettings],
        registry: ProcessRegistry | None = None,
    ) -> None:
        self.settings = settings
        self.previous_settings = settings  # those before the last `reload_settings`
        self.agent = agent
        self.read_settings = read_settings
        self.launcher = ProcessLauncher(settings.name, registry)
        self.output = ProcessOutput(settings.name)
        self.process: Process | None = None
        self.is_adopted = False  # whether an earlier agent started the current process
        self.state = ProcessState.NEW
        self.starts = 0
        self.changed_at_s = time.monotonic()
        self.last_exit = ""
        self.failures = 0  # of the supervision, each of which is logged
        self.should_run = asyncio.Event()
        self.should_run.set()
        self.state_changed = asyncio.Condition()
        self.skip_backoff = asyncio.Event()
        self.signal_requests = asyncio.Lock()  # held by the request that waits for the answer to its signal
        self.backoff_s = agent.backoff_s

    # Supervision.

    async def run(self) -> None:
        """Keep the process running while `should_run` is set, until cancelled."""
        while True:
            await self.should_run.wait()
            started_s = time.monotonic()
            await self._run_once()
            if self.should_run.is_set() and not self.skip_backoff.is_set():
                await self._back_off(time.monotonic() - started_s)
                continue
            self.skip_backoff.clear()
            self.backoff_s = self.agent.backoff_s
            await self._set_state(ProcessState.STOPPED)

    async def _run_once(self) -> None:
        """Start the process, or adopt the orphan, and wait until it ends."""
        try:
            log_offset = self.launcher.log_size()
            orphan = None if self.starts else self.launcher.find_orphan()
            self.is_adopted = orphan is not None
            self.output.drained = False
            self.process = orphan or await self.launcher.start(self.settings)
        except OSError as error:
            self.last_exit = f"cannot start: {error.strerror}"
            return
        except ValueError as error:  # such as a NUL in an argument
            self.last_exit = f"cannot start: {error}"
            return
        self.starts += 1
        verb = "adopted" if self.is_adopted else "started"
        log.info("%s: %s, pid %d", self.settings.name, verb, self.process.pid)
        self.launcher.record(self.process.pid)
        await self._set_state(ProcessState.RUNNING)
        if not self.should_run.is_set():  # stopped by an operator while the process was being started
            self.send_signal(signal.SIGTERM)
        exit_code = await self._follow(self.process, log_offset)
        self.process = None
        self.last_exit = _describe_exit(exit_code, self.is_adopted)
        self.launcher.record(None)

    async def _follow(self, process: Process, log_offset: int) -> int:
        """Handle the log lines of the process until it ends, and return its exit code.

        A failure ends neither the reading nor the supervision: a process whose log nobody reads may block.
        """
        while True:
            try:
                return await self.launcher.follow(process, log_offset, self.output.handle)
            except Exception:
                self.failures += 1
                log.exception("%s: its log could not be read; trying again", self.settings.name)
                await asyncio.sleep(READ_AGAIN_S)
                if process.returncode is not None:
                    return process.returncode
                with contextlib.suppress(OSError):
                    log_offset = self.launcher.log_size()

    async def _back_off(self, ran_s: float) -> None:
        if ran_s >= self.agent.min_uptime_s:
            self.backoff_s = self.agent.backoff_s
        log.warning("%s: %s; restarting in %.2f s", self.settings.name, self.last_exit, self.backoff_s)
        await self._set_state(ProcessState.WAITING)
        await wait_until_set(self.skip_backoff, self.backoff_s)
        self.skip_backoff.clear()
        self.backoff_s = min(self.agent.max_backoff_s, BACKOFF_FACTOR * self.backoff_s)

    async def _set_state(self, state: ProcessState) -> None:
        async with self.state_changed:
            self.state = state
            self.changed_at_s = time.monotonic()
            self.state_changed.notify_all()

    def send_signal(self, number: signal.Signals) -> bool:
        """Send a signal to the process; return False if none runs."""
        if self.process is None or self.process.returncode is not None:
            return False
        self.process.send_signal(number)
        return True

    def is_running(self) -> bool:
        """Return whether a process runs; it need not be ready yet."""
        return self.process is not None and self.process.returncode is None

    # Operators' commands.

    async def stop(self) -> None:
        """Stop the process, and do not restart it until `start` or `restart`.

        Sends SIGTERM, and then SIGKILL if the process has not ended within `stop_timeout_s`.
        """
        self._cancel_restart()
        await self._terminate()
        await self._wait_until_end_is_noticed()
        if self.state in (ProcessState.NEW, ProcessState.WAITING):
            await self._set_state(ProcessState.STOPPED)

    async def restart(self) -> None:
        """Stop the process and start it without backoff; return once it has started or failed to start."""
        starts = self.starts
        self.skip_backoff.set()
        if self.should_run.is_set():
            await self._terminate()
        else:
            self.should_run.set()
        async with self.state_changed:
            await self.state_changed.wait_for(
                lambda: self.starts > starts or self.state is ProcessState.WAITING,
            )

    async def read_counters(self) -> Any:
        """Return a router's counters, or None if it does not print them in time."""
        return await self._request_by_signal(signal.SIGUSR1, "counters")

    async def reload(self) -> Any:
        """Make a router reload its file; return its report, or None if it prints none in time.

        A process that is not a router is sent no signal, and the result is None.
        """
        return await self._request_by_signal(signal.SIGHUP, "reload") if self.settings.is_router else None

    def status(self) -> ProcessStatus:
        """Return the current status of the instance."""
        return ProcessStatus(
            state=self.state,
            pid=self.process.pid if self.process else None,
            starts=self.starts,
            for_s=round(time.monotonic() - self.changed_at_s, 1),
            last_exit=self.last_exit,
        )

    def _cancel_restart(self) -> None:
        self.should_run.clear()
        self.skip_backoff.set()

    async def _terminate(self) -> None:
        process = self.process
        if process is None or not self.send_signal(signal.SIGTERM):
            return
        try:
            async with asyncio.timeout(self.agent.stop_timeout_s):
                await process.wait()
        except TimeoutError:
            log.warning(
                "%s: still running %.1f s after SIGTERM; killed",
                self.settings.name,
                self.agent.stop_timeout_s,
            )
            self.send_signal(signal.SIGKILL)
            await process.wait()

    async def _wait_until_end_is_noticed(self) -> None:
        """Wait until the log of an ended process has been read, and the state tells of the end.

        A child of the process may keep its log open, so the wait is limited.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.agent.stop_timeout_s), self.state_changed:
                await self.state_changed.wait_for(lambda: self.state is not ProcessState.RUNNING)

    async def _request_by_signal(self, number: signal.Signals, key: str) -> Any:
        """Send a signal and return what the process prints under `key`; None if it prints nothing in time.

        One request follows the other: two signals of one kind may be delivered as one, and an answer does not
        tell to which request it belongs.
        """
        async with self.signal_requests:
            answer = self.output.answers.expect(key)
            if not self.send_signal(number):
                return None
            try:
                async with asyncio.timeout(SIGNAL_ANSWER_TIMEOUT_S):
                    return await answer
            except TimeoutError:
                return None

    # Steps of a rollout.

    async def drain(self) -> str:
        """Send SIGTERM and wait, without a time limit, until the process has finished its calls and ended.

        Unlike `stop` this never kills the process. Returns "" after a clean exit, else how the process ended.
        """
        self._cancel_restart()
        process = self.process
        if process is None or not self.send_signal(signal.SIGTERM):
            return ""  # no process was running
        await process.wait()
        if self.is_adopted and self.settings.is_router:
            async with self.state_changed:  # notified once the last log lines have been read
                await self.state_changed.wait_for(lambda: self.process is not process)
            return "" if self.output.drained else "it ended without its last word: how is not known"
        exit_code = process.returncode
        # A router handles SIGTERM and exits with 0 after its drain. Other programs may not handle it.
        is_clean = exit_code == 0 or (exit_code == -signal.SIGTERM and not self.settings.is_router)
        return "" if is_clean else f"it ended with {exit_code}"

    def start(self) -> None:
        """Allow the process to run again after `stop` or `drain`; `run` then starts it."""
        self.should_run.set()

    def reload_settings(self) -> None:
        """Reload the settings from the agent's file, for the next start. Raises OperatorError."""
        settings = self.read_settings(self.settings.name)
        self.previous_settings = self.settings
        self.settings = settings

    def restore_settings(self) -> None:
        """Restore the settings before the last `reload_settings`, for the next start."""
        self.settings = self.previous_settings


def _describe_exit(exit_code: int, is_adopted: bool) -> str:
    if is_adopted:
        return "ended; how is not known, for it was adopted"
    return f"ended with {exit_code}" if exit_code >= 0 else f"ended by {signal.Signals(-exit_code).name}"
