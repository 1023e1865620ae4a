"""Records the command line: `python -m tests.record_command_line` writes `tests/recorded/command-line-*`.

Each recorder gives one file's text; `tests/test_recorded_command_line.py` compares it with the file."""

import re
import tempfile
from pathlib import Path

from maplestile.agent import supervisor as agents
from maplestile.common.toml_table import ConfigError
from maplestile.invoke import operator_file as operators
from tests.agent_replies import AGENT_REPLIES
from tests.command_line_uses import BAD_LOADS, BAD_USES, COMMANDS, GOOD_USES, SPOILT
from tests.recording import Recorder, agent, as_json, masked, record, relative, run
from tests.standins import ROOT


def helps() -> str:
    return "\n".join(run(*command, "--help") for command in COMMANDS)


def bad_uses() -> str:
    return "\n".join(run(*arguments) for arguments in BAD_USES)


def bad_loads() -> str:
    return "\n".join(run(*arguments) for arguments in BAD_LOADS)


def good_uses() -> str:
    return "\n".join(run(*arguments) for arguments in GOOD_USES)


def checks() -> str:
    files = sorted([*(ROOT / "deploy").rglob("*.toml"), *(ROOT / "examples").rglob("*.toml")])
    return "\n".join(run("check", relative(file)) for file in files)


def spoilt() -> str:
    """The folder stands beside the files that the spoilt ones name."""
    results: list[str] = []
    for command, file, old, new in SPOILT:
        text = (ROOT / file).read_text()
        if old not in text:
            raise AssertionError(f"{file} has no {old!r} to replace")
        with tempfile.TemporaryDirectory() as folder:
            changed = Path(folder) / "file.toml"
            changed.write_text(text.replace(old, new, 1))
            result = run(*command.split(), str(changed), mask=False)
        change = f"$ maplestile {command} {file}: {old!r} -> {new!r}"
        result = masked(re.sub(r"^\$ .*", change, result))
        results.append(result.replace("TEMPORARY/file.toml", "FILE"))
    return "\n".join(results)


def agent_files() -> str:
    """The files of agents, as they are read: values alone, in the order of the fields."""
    read: dict[str, object] = {}
    for file in sorted((ROOT / "examples").rglob("*.toml")):
        try:
            read[relative(file)] = agents.load_settings(file)
        except ConfigError as error:
            read[relative(file)] = f"refused: {error}"
    return as_json(read)


def operator_files() -> str:
    """The files of routers, as they are read: values alone, in the order of the fields."""
    read: dict[str, object] = {}
    for file in sorted((ROOT / "deploy").rglob("*.toml")):
        try:
            read[relative(file)] = operators.load(file)
        except ConfigError as error:
            read[relative(file)] = f"refused: {error}"
    return as_json(read)


def answers() -> str:
    """What the command line sends to an agent, and prints of its reply."""
    results: list[str] = []
    for arguments, reply in AGENT_REPLIES:
        with agent(reply) as stand_in:
            printed = run(*arguments, "--agent", stand_in.address)
            results.append(printed + "-- asked\n" + "\n".join(stand_in.requests) + "\n")
    return "\n".join(results)


RECORDERS: dict[str, Recorder] = {
    "command-line-help.txt": helps,
    "command-line-bad-uses.txt": bad_uses,
    "command-line-bad-loads.txt": bad_loads,
    "command-line-good-uses.txt": good_uses,
    "command-line-check.txt": checks,
    "command-line-spoilt-files.txt": spoilt,
    "command-line-agent-answers.txt": answers,
    "files-agent.json": agent_files,
    "files-operator.json": operator_files,
}

if __name__ == "__main__":
    record(RECORDERS)
