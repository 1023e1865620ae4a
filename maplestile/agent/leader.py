"""The base class of the rollout leader and the policy leader: one planner per term, one command at a time."""

import asyncio
import time
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import replace
from typing import Any, Generic, TypeVar

from maplestile.agent.replicated_log import ReplicatedLog
from maplestile.common import logs
from maplestile.common.tasks import start_task
from maplestile.control.commands import AbortPolicy, CommitPolicy, EncodedCommand, GrantLease, HaltRollout

Planner = TypeVar("Planner")
PlannedCommand = TypeVar("PlannedCommand", bound=AbortPolicy | CommitPolicy | GrantLease | HaltRollout)


class Leader(ABC, Generic[Planner, PlannedCommand]):
    """Runs a new planner in each term in which this agent's voter is the leader, and submits its commands."""

    def __init__(self, agent: str, replicated_log: ReplicatedLog, event_log: str) -> None:
        self.agent = agent
        self.replicated_log = replicated_log
        self.events = logs.events(event_log)
        self.planner: Planner | None = None  # None while another voter leads
        self.term = -1  # the term of the planner; -1 before the first planner
        self.submission: asyncio.Task[None] | None = None

    def run_once(self) -> None:
        """Submit the planner's next command, unless the previous one is still being submitted."""
        status = self.replicated_log.status()
        if not status.leading:
            self.planner = None
            return
        now_us = time.monotonic_ns() // 1000
        if self.planner is None or status.term != self.term:
            self.term = status.term
            self.planner = self._create_planner(now_us)
        self._observe(self.planner, now_us)
        if not self._is_idle():
            return
        command = self._next_command(self.planner, now_us)
        if command is not None:
            submission = self._submit(replace(command, agent=self.agent))
            self.submission = start_task(submission)

    def cancel(self) -> None:
        """Cancel the submission in progress, if any."""
        if self.submission is not None:
            self.submission.cancel()

    def _is_idle(self) -> bool:
        """Return whether no command is being submitted."""
        return self.submission is None or self.submission.done()

    @abstractmethod
    def _create_planner(self, now_us: int) -> Planner:
        """Return a new planner for a term in which this voter has just become the leader."""

    @abstractmethod
    def _observe(self, planner: Planner, now_us: int) -> None:
        """Pass the planner the reports that arrived since the last call."""

    @abstractmethod
    def _next_command(self, planner: Planner, now_us: int) -> PlannedCommand | None:
        """Return the planner's next command, or None if there is nothing to do."""

    @abstractmethod
    async def _submit(self, command: PlannedCommand) -> None:
        """Submit a command, and log the outcome."""


def logged_fields(encoded: EncodedCommand, keys: Sequence[str]) -> dict[str, Any]:
    """Return those fields of a command that are named by `keys`, for its log line."""
    return {key: encoded[key] for key in keys if key in encoded}
