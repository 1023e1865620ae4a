"""The settings of an agent, read from its TOML file, with the instances that it supervises."""

import sys
import tomllib
from dataclasses import dataclass
from pathlib import Path

from maplestile.common.address import parse_address
from maplestile.common.toml_table import TomlTable
from maplestile.control.settings import ControlSettings, parse_control_settings
from maplestile.invoke.operator_file import OperatorError


@dataclass(slots=True, frozen=True)
class InstanceSettings:
    """One `[[instance]]` of the agent's file: a router, or any other command."""

    name: str
    command: tuple[str, ...]  # the program and its arguments
    environment: tuple[tuple[str, str], ...]  # names and values, added to the agent's own environment
    router_file: Path | None  # the operator's file of a router; None for any other command
    operator_address: str  # `host:port` of the operators' front if there is no router file; "" for none

    @property
    def is_router(self) -> bool:
        """Whether the instance is a router. SIGHUP is sent only to routers: it may end any other command."""
        return self.router_file is not None

    @property
    def has_operator_front(self) -> bool:
        """Whether the instance has an operators' front, which serves readiness, metrics and members."""
        return self.is_router or bool(self.operator_address)


@dataclass(slots=True, frozen=True)
class AgentSettings:
    """The settings of the agent's file."""

    listen: tuple[str, int]  # of the command server
    instances: tuple[InstanceSettings, ...]
    backoff_s: float  # wait before the first restart; doubled after each further early end
    max_backoff_s: float
    min_uptime_s: float  # a process that has run at least this long did not end early: the backoff is reset
    stop_timeout_s: float  # from SIGTERM to SIGKILL
    control: ControlSettings | None = None  # None if the agent has no control plane
    folder: Path | None = None  # for the process registry and the instances' logs; None for neither


def load_settings(path: Path) -> AgentSettings:
    """Read the agent's file. Raises OperatorError, which names the invalid field."""
    root = _read_toml(path)
    agent = root.table("agent")
    settings = AgentSettings(
        listen=parse_address(agent.loopback("listen")),
        instances=tuple(_instance_settings(table, path.parent) for table in root.tables("instance")),
        backoff_s=agent.number("backoff_s", 0.5, minimum=0.01),
        max_backoff_s=agent.number("backoff_most_s", 30.0, minimum=0.01),
        min_uptime_s=agent.number("steady_s", 10.0),
        stop_timeout_s=agent.number("stop_s", 8.0, minimum=0.1),
        control=_control_settings(root),
        folder=Path(agent.text("folder")) if "folder" in agent.values else None,
    )
    names = [instance.name for instance in settings.instances]
    if len(set(names)) < len(names):
        raise OperatorError("instance: duplicate name")
    agent.reject_unknown_fields()
    root.reject_unknown_fields()
    return settings


def _read_toml(path: Path) -> TomlTable:
    try:
        return TomlTable(tomllib.loads(path.read_text(encoding="utf-8")), "", OperatorError)
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from None
    except tomllib.TOMLDecodeError as error:
        raise OperatorError(f"{path}: invalid TOML: {error}") from None


def _control_settings(root: TomlTable) -> ControlSettings | None:
    voters = root.tables("voter", needed=False)
    if "control" in root.values:
        return parse_control_settings(root.table("control"), voters)
    if voters:
        raise OperatorError("voter: needs a [control] table")
    return None


def _instance_settings(table: TomlTable, folder: Path) -> InstanceSettings:
    name = table.text("name")
    file = table.text("file", "")
    operator_address = table.loopback("operator") if "operator" in table.values else ""
    command = table.values.pop("command", None)
    environment = table.values.pop("env", {})
    if bool(file) == bool(command):
        raise OperatorError(f"{table.path}: needs 'file' or 'command', and not both")
    if file:
        command = [sys.executable, "-m", "maplestile", "serve", str(folder / file)]
    if not isinstance(command, list) or not all(isinstance(part, str) for part in command):
        raise OperatorError(f"{table.path}.command: must be a list of strings")
    if not isinstance(environment, dict) or not all(isinstance(v, str) for v in environment.values()):
        raise OperatorError(f"{table.path}.env: must be a table of strings")
    table.reject_unknown_fields()
    return InstanceSettings(
        name=name,
        command=tuple(command),
        environment=tuple(environment.items()),
        router_file=folder / file if file else None,
        operator_address=operator_address,
    )
