"""The replicated log as the controllers of one agent use it."""

import asyncio
import logging
from collections import Counter
from collections.abc import Mapping
from typing import Protocol

from maplestile.agent.errors import CommandError
from maplestile.control.commands import Command, EncodedCommand, EncodedReply, name_of
from maplestile.control.errors import LogError
from maplestile.control.log_view import ReceivedHeartbeat, RouterStatus, VoterStatus
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
    def heartbeats(self) -> Mapping[str, ReceivedHeartbeat]:
        """The last heartbeat of each agent."""
        ...

    @property
    def router_status(self) -> Mapping[str, RouterStatus]:
        """The last report of each agent on its routers' policy."""
        ...

    def ready(self) -> bool:
        """Whether the state is up to date, and a leader is known."""
        ...

    def status(self) -> VoterStatus:
        """The voter as operators see it."""
        ...

    async def run(self) -> None:
        """Take part until cancelled."""
        ...

    async def submit(self, command: Command | EncodedCommand) -> EncodedReply:
        """Have a command agreed on and applied; the wire form of the reply. Raises LogError."""
        ...


async def submit_for_operator(
    replicated_log: ReplicatedLog, agent: str, name: str, command: EncodedCommand
) -> EncodedReply:
    """Submit an operator's command under its name in the log, for this agent; the reply of one applied.

    The command is passed on undecoded, so that the log rejects a damaged one as any that does not fit. Raises
    CommandError where it is refused, or not agreed on.
    """
    try:
        reply = await replicated_log.submit({**command, "do": name, "agent": agent})
    except LogError as error:
        raise CommandError(str(error)) from None
    if not reply["ok"]:
        raise CommandError(reply["reason"])
    return reply


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
