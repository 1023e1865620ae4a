"""The agreed state of the control plane for an agent that is no voter: read, and asked for, through those
that are. What it reads may be a little old; every command is judged by the log, so that does no harm."""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from maplestile.control.commands import Command, EncodedCommand, EncodedReply, as_encoded
from maplestile.control.raft_log import LogError
from maplestile.control.settings import ControlSettings
from maplestile.control.state import ControlState

log = logging.getLogger("maplestile.control")
READ_S = 0.2
Ask = Callable[..., Awaitable[dict[str, Any]]]


class RemoteLog:
    def __init__(self, plan: ControlSettings, ask: Ask, counters: Counter[str]) -> None:
        self.plan, self.ask, self.counters = plan, ask, counters
        self.control = ControlState()
        self.words: Mapping[str, tuple[int, dict[str, Any]]] = {}
        self.told: Mapping[str, tuple[float, dict[str, Any]]] = {}
        self.current = False

    def ready(self) -> bool:
        return self.current

    def status(self) -> dict[str, Any]:
        return {"voter": None, "leading": False, "leader": None, "term": 0, "index": 0}

    async def run(self) -> None:
        while True:
            try:
                await self._ask(None)
            except LogError as fault:
                self.current = False
                log.warning("control: no voter's agent answers: %s", fault)
            await asyncio.sleep(READ_S)

    async def submit(self, command: Command | EncodedCommand) -> EncodedReply:
        reply: EncodedReply = (await self._ask(as_encoded(command)))["reply"]
        return reply

    async def _ask(self, command: EncodedCommand | None) -> dict[str, Any]:
        """The first of the voters' agents that answers, in the order of the file."""
        faults = list[str]()
        for address in self.plan.ask:
            try:
                told = await self.ask(address, "control", [], command=command)
                if "error" in told:
                    raise LogError(told["error"])
                control: dict[str, Any] = told["control"]
                self.control, self.current = ControlState.of(control["state"]), bool(control["ready"])
                self.told = {agent: (one[0], one[1]) for agent, one in control.get("told", {}).items()}
                return control
            except (OSError, TimeoutError, ValueError, KeyError, TypeError, LogError) as fault:
                faults.append(f"{address[0]}:{address[1]}: {fault or type(fault).__name__}")
        raise LogError("; ".join(faults))
