"""Helpers for the recorders of the control plane and their tests: recorded files and an agent's settings."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from maplestile.agent.supervisor import AgentSettings, load_settings
from maplestile.control.settings import ControlSettings

RECORDED = Path(__file__).parent / "recorded" / "control"
UNUSED_ADDRESS = "127.0.0.1:1"  # an address at which nothing listens
AGENT_FILE = """
[agent]
listen = "127.0.0.1:1"
[[instance]]
name = "r0"
command = ["true"]
operator = "{operator}"
[[instance]]
name = "w0"
command = ["true"]
[control]
name = "a0"
{control}
budget = "25%"
settle_s = 0
"""


def as_lines(values: Iterable[object]) -> bytes:
    """Return the content of a file with one JSON document per line."""
    return "".join(json.dumps(value) + "\n" for value in values).encode()


def as_document(value: object) -> bytes:
    """Return the content of a file with a single JSON document."""
    return (json.dumps(value, indent=1) + "\n").encode()


def recorded_bytes(name: str) -> bytes:
    """Return the content of a recorded file."""
    return (RECORDED / name).read_bytes()


def recorded_lines(name: str) -> list[Any]:
    """Return the JSON documents of a recorded file with one per line."""
    return [json.loads(line) for line in recorded_bytes(name).splitlines()]


def agent_settings(
    folder: Path, control: str, voters: str = "", operator: str = UNUSED_ADDRESS
) -> AgentSettings:
    """Write the settings file of agent a0 with these lines in its `[control]` table, and load it."""
    path = folder / "agent.toml"
    path.write_text(AGENT_FILE.format(control=control, operator=operator) + voters)
    return load_settings(path)


def control_settings(folder: Path, control: str, voters: str = "") -> ControlSettings:
    """Return the control settings of agent a0, with these lines in the `[control]` table of its file."""
    settings = agent_settings(folder, control, voters).control
    assert settings is not None
    return settings
