"""The agreed state for an agent that is no voter: read, and changed, through the agents of voters.

What it reads may be a little old. Every command is checked by the log against what the command's sender
believed, so that does no harm.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from maplestile.common.address import Address
from maplestile.control.commands import Command, EncodedCommand, EncodedReply, as_encoded
from maplestile.control.errors import LogError
from maplestile.control.log_view import (
    NO_VOTER_STATUS,
    ReceivedHeartbeat,
    RouterStatus,
    VoterStatus,
    decode_router_status,
)
from maplestile.control.settings import ControlSettings
from maplestile.control.state import ControlState

log = logging.getLogger("maplestile.control")

POLL_INTERVAL_S = 0.2

# Sends a command to another agent (address, name of the command, instances, further keys); its reply.
AgentClient = Callable[..., Awaitable[dict[str, Any]]]


class RemoteLog:
    """The log as this agent reaches it: by the voters' agents that its file names."""

    def __init__(self, settings: ControlSettings, client: AgentClient, counters: Counter[str]) -> None:
        self.settings = settings
        self.client = client
        self.counters = counters
        self.control = ControlState()
        self.heartbeats: Mapping[str, ReceivedHeartbeat] = {}  # only a leader needs them
        self.router_status: Mapping[str, RouterStatus] = {}  # by agent
        self.current = False

    def ready(self) -> bool:
        """Whether the last answer came from a voter that is ready."""
        return self.current

    def status(self) -> VoterStatus:
        """The status of an agent that is no voter, and never leads."""
        return NO_VOTER_STATUS

    async def run(self) -> None:
        """Poll the agreed state until cancelled."""
        while True:
            try:
                await self._request(None)
            except LogError as error:
                self.current = False
                log.warning("control: no voter's agent answers: %s", error)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def submit(self, command: Command | EncodedCommand) -> EncodedReply:
        """Have a command agreed on and applied; the wire form of the reply. Raises LogError."""
        reply: EncodedReply = (await self._request(as_encoded(command)))["reply"]
        return reply

    async def _request(self, command: EncodedCommand | None) -> dict[str, Any]:
        """The answer of the first of the voters' agents that gives one, in the order of the file."""
        failures = list[str]()
        for host, port in self.settings.voter_agents:
            try:
                return await self._request_from((host, port), command)
            except (OSError, TimeoutError, ValueError, KeyError, TypeError, LogError) as error:
                failures.append(f"{host}:{port}: {error or type(error).__name__}")
        raise LogError("; ".join(failures))

    async def _request_from(self, address: Address, command: EncodedCommand | None) -> dict[str, Any]:
        answer = await self.client(address, "control", [], command=command)
        if "error" in answer:
            raise LogError(answer["error"])
        control: dict[str, Any] = answer["control"]
        self.control = ControlState.decode(control["state"])
        self.current = bool(control["ready"])
        self.router_status = decode_router_status(control.get("told", {}))
        return control
