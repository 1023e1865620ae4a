"""Access to the replicated log for an agent that is not a voter, through the agents of voters.

The state that it reads may be slightly outdated. That does no harm, because a command carries what its sender
last saw of the state, and is rejected if that is outdated.
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

# Sends a command to another agent and returns its reply: (address, command name, instances, **further keys).
AgentClient = Callable[..., Awaitable[dict[str, Any]]]


class RemoteLog:
    """The replicated log as seen through the agents of voters that the settings file lists."""

    def __init__(self, settings: ControlSettings, client: AgentClient, counters: Counter[str]) -> None:
        self.settings = settings
        self.client = client
        self.counters = counters
        self.state = ControlState()
        self.heartbeats: Mapping[str, ReceivedHeartbeat] = {}  # always empty: only a leader needs them
        self.router_status: Mapping[str, RouterStatus] = {}  # by agent
        self.is_voter_ready = False

    def is_ready(self) -> bool:
        """Return whether the last request was answered by a voter that was ready."""
        return self.is_voter_ready

    def status(self) -> VoterStatus:
        """Return the status of an agent that is not a voter and never leads."""
        return NO_VOTER_STATUS

    async def run(self) -> None:
        """Poll the replicated state until cancelled."""
        while True:
            try:
                await self._request(None)
            except LogError as error:
                self.is_voter_ready = False
                log.warning(
                    "control: no voter's agent answered; keeping the last known state and retrying: %s", error
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def submit(self, command: Command | EncodedCommand) -> EncodedReply:
        """Submit a command, wait until it is applied, and return the reply's wire form. Raises LogError."""
        reply: EncodedReply = (await self._request(as_encoded(command)))["reply"]
        return reply

    async def _request(self, command: EncodedCommand | None) -> dict[str, Any]:
        """Return the answer of the first voter's agent that gives one, in the order of the settings file."""
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
        self.state = ControlState.decode(control["state"])
        self.is_voter_ready = bool(control["ready"])
        self.router_status = decode_router_status(control.get("told", {}))
        return control
