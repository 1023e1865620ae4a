"""The agent's command server: a client sends one JSON object on a line, and gets one JSON object back.

    {"do": "status", "instances": ["n1"]}

Without `instances`, a command is for all instances. Commands for the control plane also have `what` and
`command`; commands about a runner have `runner`.
"""

import asyncio
import json
import logging
from collections import Counter
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
from maplestile.common.stream_server import start_stream_server
from maplestile.control.log_view import LogAnswer
from maplestile.operation.api import MEMBERS_PATH, METRICS_PATH, READY_PATH

log = logging.getLogger("maplestile.agent")
MAX_LINE_BYTES = 1 << 20  # a fleet of 3,200 runners is registered in some 100 KB
Answer = TypeVar("Answer")

# By command: the HTTP method and path of the request to the operators' front of each chosen instance.
FRONT_REQUESTS = {
    "ready": ("GET", READY_PATH),
    "figures": ("GET", METRICS_PATH),
    "members": ("GET", MEMBERS_PATH),
    "suspend": ("PUT", SUSPEND_PATH),
    "resume": ("PUT", RESUME_PATH),
}


@dataclass(slots=True, frozen=True)
class AgentCommand:
    """A decoded command."""

    name: object  # the value of `do`, of any JSON type
    instances: dict[str, Instance]  # the chosen ones: those that the command names, or all
    is_for_named_instances: bool  # False if the command is for all instances
    operation: str  # `what` of a command for the control plane, such as "start"; "None" if missing
    content: Any  # `command` of a command for the control plane; None if missing
    runner: object  # of any JSON type; None if missing

    @classmethod
    def decode(cls, line: bytes, instances: Mapping[str, Instance]) -> "AgentCommand":
        """Decode a command. Raises CommandError if it is invalid or names an unknown instance."""
        try:
            message = json.loads(line)
            name = message["do"]
            chosen_names = message.get("instances") or list(instances)
            chosen_instances = {instance: instances[instance] for instance in chosen_names}
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            raise CommandError(f"not understood, or no such instance: {error}") from None
        return cls(
            name=name,
            instances=chosen_instances,
            is_for_named_instances=bool(message.get("instances")),
            operation=str(message.get("what")),
            content=message.get("command"),
            runner=message.get("runner"),
        )


Handler = Callable[[AgentCommand], Awaitable[CommandResult]]


class ControlCommands(Protocol):
    """The interface by which the command server uses the agent's control plane."""

    async def execute_rollout_command(self, operation: str, command: Any) -> CommandResult:
        """Execute an operator's command about rollouts, and return the result. Raises CommandError."""
        ...

    async def execute_policy_command(self, operation: str, command: Any) -> CommandResult:
        """Execute an operator's command about the policy, and return the result. Raises CommandError."""
        ...

    async def serve_log(self, command: object) -> LogAnswer:
        """Answer an agent without a vote: return the replicated state, and the reply to its command, if any.

        Raises CommandError.
        """
        ...


class CommandServer:
    """Answers the commands of operators and of other agents, one command per connection."""

    def __init__(
        self, instances: Mapping[str, Instance], stop_agent: Callable[[], None], counters: Counter[str]
    ) -> None:
        self.instances = instances
        self.stop_agent = stop_agent
        self.counters = counters
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
            "control": self._serve_log,
            **dict.fromkeys(FRONT_REQUESTS, self._request_fronts),
        }

    def enable_control(self, control: ControlCommands) -> None:
        """Pass commands about rollouts and policy to this control plane from now on."""
        self.control = control

    def disable_control(self, reason: str) -> None:
        """Refuse commands about rollouts and policy from now on, so that nobody acts on an outdated state."""
        self.control = None
        self.no_control_reason = reason

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Start to listen, and return the server. Raises OSError."""
        return await start_stream_server(self.serve, host, port, MAX_LINE_BYTES)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the one command of a connection, which is closed then."""
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                result = await self._execute(await reader.readline())
                writer.write(json.dumps(result.encoded()).encode() + b"\n")
                await writer.drain()
        except (OSError, ValueError, TimeoutError) as error:
            self.counters["commands.unanswered"] += 1
            log.warning("agent: a command could not be answered; closing its connection: %s", error)

    async def _execute(self, line: bytes) -> CommandResult:
        try:
            command = AgentCommand.decode(line, self.instances)
            return await self._find_handler(command)(command)
        except CommandError as error:
            return CommandFailure(str(error))

    def _find_handler(self, command: AgentCommand) -> Handler:
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
        if not command.is_for_named_instances:
            self.stop_agent()
        return await self._status(command)

    async def _restart(self, command: AgentCommand) -> ProcessStatuses:
        await asyncio.gather(*(instance.process.restart() for instance in command.instances.values()))
        return await self._status(command)

    async def _counters(self, command: AgentCommand) -> ProcessCounters:
        return ProcessCounters(
            await _for_each_instance(command, lambda instance: instance.process.read_counters())
        )

    async def _reload(self, command: AgentCommand) -> ReloadReports:
        return ReloadReports(await _for_each_instance(command, lambda instance: instance.process.reload()))

    # Operators' fronts.

    async def _request_fronts(self, command: AgentCommand) -> FrontReplies:
        name = str(command.name)
        method, path = FRONT_REQUESTS[name]
        if isinstance(command.runner, str):
            path = path.format(quote(command.runner, safe=""))
        elif "{}" in path:
            raise CommandError(f"'{name}' needs a runner")
        replies = await _for_each_instance(
            command, lambda instance: instance.client.send_request(method, path)
        )
        return FrontReplies(name, replies)

    # The control plane.

    async def _rollout(self, command: AgentCommand) -> CommandResult:
        fields = _control_fields(command)
        return await self._control_plane().execute_rollout_command(command.operation, fields)

    async def _policy(self, command: AgentCommand) -> CommandResult:
        fields = _control_fields(command)
        return await self._control_plane().execute_policy_command(command.operation, fields)

    async def _serve_log(self, command: AgentCommand) -> VoterAnswer:
        return VoterAnswer(await self._control_plane().serve_log(command.content))

    def _control_plane(self) -> ControlCommands:
        if self.control is None:
            raise CommandError(f"this agent has no control plane: {self.no_control_reason}")
        return self.control


def _control_fields(command: AgentCommand) -> dict[str, Any]:
    """Return the fields of an operator's command to the control plane. Raises CommandError."""
    if command.content is None:
        return {}
    if not isinstance(command.content, dict):
        raise CommandError("'command' must be a map")
    return command.content


async def _for_each_instance(
    command: AgentCommand, call: Callable[[Instance], Awaitable[Answer]]
) -> dict[str, Answer]:
    """Call the function with each chosen instance concurrently; return the answers by instance name."""
    answers = await asyncio.gather(*(call(instance) for instance in command.instances.values()))
    return dict(zip(command.instances, answers, strict=True))
