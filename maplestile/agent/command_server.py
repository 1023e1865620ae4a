"""The agent's command server: one JSON object a line in, one object back.

    {"do": "status", "instances": ["n1"]}

`instances` may be left out, for all. Commands to the control plane have `what` and `command` as well, those
about a runner have `runner`.
"""

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar
from urllib.parse import quote

from maplestile.agent.command_client import COMMAND_TIMEOUT_S
from maplestile.agent.command_results import (
    CommandFailure,
    CommandResult,
    FrontReplies,
    ProcessCounters,
    ProcessStatuses,
    ReloadReports,
    VoterAnswer,
)
from maplestile.agent.errors import CommandError
from maplestile.agent.instance import Instance
from maplestile.agent.router_client import RESUME_PATH, SUSPEND_PATH
from maplestile.control.log_view import LogAnswer
from maplestile.operation.api import MEMBERS, METRICS, READY

log = logging.getLogger("maplestile.agent")
LINE_BYTES = 65_536
Answer = TypeVar("Answer")

# By command: method and path at the operators' front of each chosen instance.
OPERATE = {
    "ready": ("GET", READY),
    "figures": ("GET", METRICS),
    "members": ("GET", MEMBERS),
    "suspend": ("PUT", SUSPEND_PATH),
    "resume": ("PUT", RESUME_PATH),
}


@dataclass(slots=True, frozen=True)
class AgentCommand:
    """A command line, decoded."""

    name: object
    instances: dict[str, Instance]  # those named, or all
    names_instances: bool
    operation: str  # of a command to the control plane
    content: Any  # of a command to the control plane
    runner: object

    @classmethod
    def decode(cls, line: bytes, instances: Mapping[str, Instance]) -> "AgentCommand":
        """Decode a command line. Raises CommandError where it is invalid, or names an unknown instance."""
        try:
            message = json.loads(line)
            name = message["do"]
            chosen = message.get("instances") or list(instances)
            chosen_instances = {instance: instances[instance] for instance in chosen}
        except (ValueError, KeyError, TypeError, AttributeError) as fault:
            raise CommandError(f"not understood, or no such instance: {fault}") from None
        return cls(
            name=name,
            instances=chosen_instances,
            names_instances=bool(message.get("instances")),
            operation=str(message.get("what")),
            content=message.get("command"),
            runner=message.get("runner"),
        )


Handler = Callable[[AgentCommand], Awaitable[CommandResult]]


class ControlCommands(Protocol):
    """The agent's control plane as its command server reaches it."""

    async def rollout(self, operation: str, command: Any) -> CommandResult:
        """The result of an operator's command about rollouts. Raises CommandError."""
        ...

    async def policy(self, operation: str, command: Any) -> CommandResult:
        """The result of an operator's command about the fleet's policy. Raises CommandError."""
        ...

    async def replicated_log(self, command: object) -> LogAnswer:
        """The answer to an agent that is no voter: the agreed state, and the reply to its command, if any.

        Raises CommandError.
        """
        ...


class CommandServer:
    """Answers the commands of operators and of other agents, one a connection."""

    def __init__(self, instances: Mapping[str, Instance], stop_agent: Callable[[], None]) -> None:
        self.instances = instances
        self.stop_agent = stop_agent
        self.control: ControlCommands | None = None
        self.no_control_reason = "no [control] in its file"
        self.handlers: dict[str, Handler] = {
            "status": self._status,
            "stop": self._stop,
            "restart": self._restart,
            "counters": self._counters,
            "reload": self._reload,
            "rollout": self._rollout,
            "policy": self._policy,
            "control": self._replicated_log,
            **dict.fromkeys(OPERATE, self._operate),
        }

    def enable_control(self, control: ControlCommands) -> None:
        """Pass commands about rollouts and policy on from now on."""
        self.control = control

    def disable_control(self, reason: str) -> None:
        """Refuse commands about rollouts and policy from now on, so that nobody acts by an old state."""
        self.control = None
        self.no_control_reason = reason

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Listen for connections. Raises OSError."""
        return await asyncio.start_server(self.serve, host, port, limit=LINE_BYTES)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the one command of a connection, and close it."""
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                result = await self._execute(await reader.readline())
                writer.write(json.dumps(result.encoded()).encode() + b"\n")
                await writer.drain()
        except (OSError, ValueError, TimeoutError) as fault:
            log.warning("a question that cannot be answered: %s", fault)
        finally:
            writer.close()

    async def _execute(self, line: bytes) -> CommandResult:
        try:
            command = AgentCommand.decode(line, self.instances)
            return await self._handler_of(command)(command)
        except CommandError as fault:
            return CommandFailure(str(fault))

    def _handler_of(self, command: AgentCommand) -> Handler:
        handler = self.handlers.get(command.name) if isinstance(command.name, str) else None
        if handler is None:
            raise CommandError(f"no command '{command.name}'")
        return handler

    # Processes.

    async def _status(self, command: AgentCommand) -> ProcessStatuses:
        return ProcessStatuses(
            {name: instance.process.status() for name, instance in command.instances.items()}
        )

    async def _stop(self, command: AgentCommand) -> ProcessStatuses:
        await asyncio.gather(*(instance.process.stop() for instance in command.instances.values()))
        if not command.names_instances:
            self.stop_agent()
        return await self._status(command)

    async def _restart(self, command: AgentCommand) -> ProcessStatuses:
        await asyncio.gather(*(instance.process.restart() for instance in command.instances.values()))
        return await self._status(command)

    async def _counters(self, command: AgentCommand) -> ProcessCounters:
        return ProcessCounters(await _of_each(command, lambda instance: instance.process.count()))

    async def _reload(self, command: AgentCommand) -> ReloadReports:
        return ReloadReports(await _of_each(command, lambda instance: instance.process.reload()))

    # Operators' fronts.

    async def _operate(self, command: AgentCommand) -> FrontReplies:
        name = str(command.name)
        method, path = OPERATE[name]
        if isinstance(command.runner, str):
            path = path.format(quote(command.runner, safe=""))
        elif "{}" in path:
            raise CommandError(f"'{name}' needs a runner")
        replies = await _of_each(command, lambda instance: instance.client.operate(method, path))
        return FrontReplies(name, replies)

    # The control plane.

    async def _rollout(self, command: AgentCommand) -> CommandResult:
        return await self._control_plane().rollout(command.operation, command.content or {})

    async def _policy(self, command: AgentCommand) -> CommandResult:
        return await self._control_plane().policy(command.operation, command.content or {})

    async def _replicated_log(self, command: AgentCommand) -> VoterAnswer:
        return VoterAnswer(await self._control_plane().replicated_log(command.content))

    def _control_plane(self) -> ControlCommands:
        if self.control is None:
            raise CommandError(f"this agent has no control plane: {self.no_control_reason}")
        return self.control


async def _of_each(command: AgentCommand, call: Callable[[Instance], Awaitable[Answer]]) -> dict[str, Answer]:
    answers = await asyncio.gather(*(call(instance) for instance in command.instances.values()))
    return dict(zip(command.instances, answers, strict=True))
