"""What the recorders of the control plane share: the form of the files, and an agent's own file."""

import json
from collections.abc import Iterable
from pathlib import Path

from maplestile.agent import supervisor as agent

RECORDED = Path(__file__).parent / "recorded" / "control"
NOBODY = "127.0.0.1:1"  # a port where nothing listens
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
    return "".join(json.dumps(value) + "\n" for value in values).encode()


def as_document(value: object) -> bytes:
    return (json.dumps(value, indent=1) + "\n").encode()


def agent_plan(folder: Path, control: str, voters: str = "", operator: str = NOBODY) -> agent.AgentSettings:
    path = folder / "agent.toml"
    path.write_text(AGENT_FILE.format(control=control, operator=operator) + voters)
    return agent.load_settings(path)
