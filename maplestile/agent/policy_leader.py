"""The leader's part in a change of policy: its commit or its abort."""

import asyncio
import logging
import time
from dataclasses import replace

from maplestile.agent.replicated_log import ReplicatedLog
from maplestile.agent.tasks import is_idle
from maplestile.common import logs
from maplestile.control.commands import AbortPolicy, CommitPolicy, encode, name_of
from maplestile.control.errors import LogError
from maplestile.control.policy.planner import PolicyPlanner

log = logging.getLogger("maplestile.policy")
# Fields of an encoded command that go into its log line, where it has them.
LOGGED_KEYS = ("absent", "reason")


class PolicyLeader:
    """Runs a planner for each term in which this agent's voter leads."""

    def __init__(self, agent: str, replicated_log: ReplicatedLog) -> None:
        self.agent = agent
        self.replicated_log = replicated_log
        self.events = logs.events("policy")
        self.planner: PolicyPlanner | None = None  # while this voter leads
        self.term = -1
        self.deciding: asyncio.Task[None] | None = None

    def look(self) -> None:
        """Submit the planner's next command, one at a time."""
        status = self.replicated_log.status()
        if not status.leading:
            self.planner = None
            return
        if self.planner is None or status.term != self.term:
            self.planner = PolicyPlanner()
            self.term = status.term
        if not is_idle(self.deciding):
            return
        control = self.replicated_log.control
        now_us = time.monotonic_ns() // 1000
        command = self.planner.next_command(control.policy, control.instances, now_us)
        if command is not None:
            decision = self._submit(replace(command, agent=self.agent))
            self.deciding = asyncio.get_running_loop().create_task(decision)

    async def _submit(self, command: CommitPolicy | AbortPolicy) -> None:
        name = name_of(command)
        try:
            reply = await self.replicated_log.submit(command)
        except LogError as error:
            log.warning("policy: %s not agreed on: %s", name, error)
            return
        if not reply["ok"]:
            log.info("policy: %s refused: %s", name, reply["reason"])
            return
        encoded = encode(command)
        logged = {key: encoded[key] for key in LOGGED_KEYS if key in encoded}
        content = {key: value for key, value in reply.items() if key != "ok"}
        self.events.info(name.removeprefix("policy "), term=self.term, **logged, **content)
