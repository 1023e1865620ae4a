"""The replicated log as the controllers of one agent use it."""

import asyncio
import logging
from collections import Counter
from collections.abc import Mapping
from typing import Any, Protocol

from maplestile.control.commands import Command, EncodedCommand, EncodedReply, name_of
from maplestile.control.errors import LogError
from maplestile.control.state import ControlState

log = logging.getLogger("maplestile.control")
RETRY_INTERVAL_S = 0.5


class ReplicatedLog(Protocol):
    """The agreed state as this agent reaches it: its own voter, or another agent's."""

    @property
    def control(self) -> ControlState:
        """The agreed state; it may be a little old."""
        ...

    @property
    def heartbeats(self) -> Mapping[str, tuple[int, dict[str, Any]]]:
        """The last heartbeat of each agent in its wire form, and how many have come from it."""
        ...

    @property
    def router_status(self) -> Mapping[str, tuple[float, dict[str, Any]]]:
        """Of each agent: how many seconds ago it was heard, and what its routers say of their policy."""
        ...

    def ready(self) -> bool:
        """Whether the state is up to date, and a leader is known."""
        ...

    def status(self) -> dict[str, Any]:
        """The voter as operators see it: its state, the leader's name, and Raft's term and index."""
        ...

    async def run(self) -> None:
        """Take part until cancelled."""
        ...

    async def submit(self, command: Command | EncodedCommand) -> EncodedReply:
        """Have a command agreed on and applied; the wire form of the reply. Raises LogError."""
        ...


class LogClient:
    """Submits the rollout commands of one agent, and logs what becomes of them."""

    def __init__(self, replicated_log: ReplicatedLog, counters: Counter[str]) -> None:
        self.replicated_log = replicated_log
        self.counters = counters

    async def submit(self, command: Command) -> EncodedReply | None:
        """The reply; None where the log did not answer, or refused."""
        try:
            reply = await self.replicated_log.submit(command)
        except LogError as error:
            log.warning("control: %s not agreed on: %s", name_of(command), error)
            return None
        if reply["ok"]:
            return reply
        self.counters["control.refused"] += 1
        log.warning("control: %s refused: %s", name_of(command), reply["reason"])
        return None

    async def submit_until_agreed(self, command: Command) -> None:
        """Submit the end of a step until the log answers, since without it the instance stays counted out."""
        while True:
            try:
                reply = await self.replicated_log.submit(command)
            except LogError as error:
                log.warning("control: %s not agreed on yet: %s", name_of(command), error)
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            if not reply["ok"]:  # submitted before, and agreed on after all; or released by an operator
                log.info("control: %s refused: %s", name_of(command), reply["reason"])
            return
