"""What the leaders of rollouts and of policy changes share: a planner a term, and one command at a time."""

import asyncio
import time
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import replace
from typing import Any, Generic, TypeVar

from maplestile.agent.replicated_log import ReplicatedLog
from maplestile.common import logs
from maplestile.control.commands import AbortPolicy, CommitPolicy, EncodedCommand, GrantLease, HaltRollout

Planner = TypeVar("Planner")
Planned = TypeVar("Planned", bound=AbortPolicy | CommitPolicy | GrantLease | HaltRollout)


class Leader(ABC, Generic[Planner, Planned]):
    """Runs a planner for each term in which this agent's voter leads, and submits its commands."""

    def __init__(self, agent: str, replicated_log: ReplicatedLog, event_log: str) -> None:
        self.agent = agent
        self.replicated_log = replicated_log
        self.events = logs.events(event_log)
        self.planner: Planner | None = None  # while this voter leads
        self.term = -1
        self.submission: asyncio.Task[None] | None = None

    def run_once(self) -> None:
        """Submit the planner's next command, unless the one before is still being submitted."""
        status = self.replicated_log.status()
        if not status.leading:
            self.planner = None
            return
        now_us = time.monotonic_ns() // 1000
        if self.planner is None or status.term != self.term:
            self.term = status.term
            self.planner = self._start_term(now_us)
        self._observe(self.planner, now_us)
        if not self._is_idle():
            return
        command = self._next_command(self.planner, now_us)
        if command is not None:
            submission = self._submit(replace(command, agent=self.agent))
            self.submission = asyncio.get_running_loop().create_task(submission)

    def cancel(self) -> None:
        """Give up the command that is being submitted."""
        if self.submission is not None:
            self.submission.cancel()

    def _is_idle(self) -> bool:
        """Whether no command is being submitted."""
        return self.submission is None or self.submission.done()

    @abstractmethod
    def _start_term(self, now_us: int) -> Planner:
        """Return the planner of a term that has just begun."""

    @abstractmethod
    def _observe(self, planner: Planner, now_us: int) -> None:
        """Pass the planner what was received since the last call."""

    @abstractmethod
    def _next_command(self, planner: Planner, now_us: int) -> Planned | None:
        """Return what the planner decides on; None where there is nothing to do."""

    @abstractmethod
    async def _submit(self, command: Planned) -> None:
        """Submit a command, and log what becomes of it."""


def logged_fields(encoded: EncodedCommand, keys: Sequence[str]) -> dict[str, Any]:
    """Return the fields of a command that go into its log line, where it has them."""
    return {key: encoded[key] for key in keys if key in encoded}
