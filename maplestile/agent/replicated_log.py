"""The interface by which an agent's controllers use the replicated log, and helpers to submit commands."""

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
RETRY_INTERVAL_S = 0.5  # between submissions of a command that got no reply


class ReplicatedLog(Protocol):
    """The replicated log and its state, reached through this agent's own voter or that of another agent."""

    @property
    def state(self) -> ControlState:
        """The replicated state, as this agent knows it; it may lag behind the leader's."""
        ...

    @property
    def heartbeats(self) -> Mapping[str, ReceivedHeartbeat]:
        """The last heartbeat of each agent."""
        ...

    @property
    def router_status(self) -> Mapping[str, RouterStatus]:
        """The last report of each agent on the policy of its routers."""
        ...

    def is_ready(self) -> bool:
        """Return whether the state is up to date and a leader is known."""
        ...

    def status(self) -> VoterStatus:
        """Return the status of the voter, as reported to operators."""
        ...

    async def run(self) -> None:
        """Take part in the replication until cancelled."""
        ...

    async def submit(self, command: Command | EncodedCommand) -> EncodedReply:
        """Submit a command, wait until it is committed and applied, and return the encoded reply.

        Raises LogError if there is no reply.
        """
        ...


async def submit_for_operator(
    replicated_log: ReplicatedLog, agent: str, name: str, command: EncodedCommand
) -> EncodedReply:
    """Submit an operator's command on behalf of an agent, and return the reply.

    `name` is the name of the command in the log. The command is not decoded here, because the log checks it
    and rejects an invalid one. Raises CommandError if the command is refused or gets no reply.
    """
    try:
        reply = await replicated_log.submit({**command, "do": name, "agent": agent})
    except LogError as error:
        raise CommandError(str(error)) from None
    if not reply["ok"]:
        raise CommandError(reply["reason"])
    return reply


class LogClient:
    """Submits the rollout commands of one agent, and logs those that fail."""

    def __init__(self, replicated_log: ReplicatedLog, counters: Counter[str]) -> None:
        self.replicated_log = replicated_log
        self.counters = counters

    async def submit(self, command: Command) -> EncodedReply | None:
        """Submit a command; return the reply, or None if the log rejects the command or gives no reply."""
        try:
            reply = await self.replicated_log.submit(command)
        except LogError as error:
            log.warning(
                "control: the replicated log has not confirmed the command '%s': %s", name_of(command), error
            )
            return None
        if reply["ok"]:
            return reply
        self.counters["control.refused"] += 1
        log.warning(
            "control: the replicated log rejected the command '%s': %s", name_of(command), reply["reason"]
        )
        return None

    async def submit_until_answered(self, command: Command) -> None:
        """Submit a command that reports progress of a step, and repeat it until the log replies.

        Without the report, the instance would count as out of service until an operator releases its lease.
        """
        while True:
            try:
                reply = await self.replicated_log.submit(command)
            except LogError as error:
                log.warning(
                    "control: the replicated log has not confirmed the command '%s'; submitting it again: %s",
                    name_of(command),
                    error,
                )
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            # Rejected if an earlier submission was committed after all, or an operator released the lease.
            if not reply["ok"]:
                log.info(
                    "control: the replicated log rejected the command '%s': %s",
                    name_of(command),
                    reply["reason"],
                )
            return
