"""Records the command line: `python -m tests.record_command_line` writes `tests/recorded/command-line-*`.

Each recorder gives one file's text; `tests/test_recorded_command_line.py` compares it with the file."""

import re
import tempfile
from pathlib import Path

from maplestile.agent.supervisor import load_settings
from maplestile.common.toml_table import ConfigError
from maplestile.invoke import operator_file
from tests.agent_replies import AGENT_REPLIES
from tests.command_line_uses import BAD_LOADS, BAD_USES, COMMANDS, DAMAGED_FILES, GOOD_USES, DamagedFile
from tests.recording import Recorder, as_json, masked, record, relative, run, serving_agent
from tests.standins import ROOT


def helps() -> str:
    """The help of each command."""
    return "\n".join(run(*command, "--help") for command in COMMANDS)


def bad_uses() -> str:
    """Uses that end with an error."""
    return "\n".join(run(*arguments) for arguments in BAD_USES)


def bad_loads() -> str:
    """Uses of the load tool that end with an error."""
    return "\n".join(run(*arguments) for arguments in BAD_LOADS)


def good_uses() -> str:
    """Uses that succeed without a network."""
    return "\n".join(run(*arguments) for arguments in GOOD_USES)


def checks() -> str:
    """What `check` says of each example and deployment file."""
    files = sorted([*(ROOT / "deploy").rglob("*.toml"), *(ROOT / "examples").rglob("*.toml")])
    return "\n".join(run("check", relative(file)) for file in files)


def damaged_files() -> str:
    """What commands say of each damaged file."""
    return "\n".join(use_of_damaged_file(damaged) for damaged in DAMAGED_FILES)


def use_of_damaged_file(damaged: DamagedFile) -> str:
    """What a command says of a damaged copy of a file, which is in another folder than the original."""
    text = (ROOT / damaged.file).read_text()
    if damaged.old not in text:
        raise AssertionError(f"{damaged.file} has no {damaged.old!r} to replace")
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "file.toml"
        copy.write_text(text.replace(damaged.old, damaged.new, 1))
        result = run(*damaged.command.split(), str(copy), mask=False)
    use = f"$ maplestile {damaged.command} {damaged.file}: {damaged.old!r} -> {damaged.new!r}"
    return masked(re.sub(r"^\$ .*", use, result)).replace("TEMPORARY/file.toml", "FILE")


def agent_files() -> str:
    """The files of agents, as they are read: only values, in the order of the fields."""
    read: dict[str, object] = {}
    for file in sorted((ROOT / "examples").rglob("*.toml")):
        try:
            read[relative(file)] = load_settings(file)
        except ConfigError as error:
            read[relative(file)] = f"refused: {error}"
    return as_json(read)


def operator_files() -> str:
    """The files of routers, as they are read: only values, in the order of the fields."""
    read: dict[str, object] = {}
    for file in sorted((ROOT / "deploy").rglob("*.toml")):
        try:
            read[relative(file)] = operator_file.load(file)
        except ConfigError as error:
            read[relative(file)] = f"refused: {error}"
    return as_json(read)


def agent_answers() -> str:
    """What the command line sends to an agent, and prints of its reply."""
    results: list[str] = []
    for arguments, reply in AGENT_REPLIES:
        with serving_agent(reply) as agent:
            printed = run(*arguments, "--agent", agent.address)
            results.append(printed + "-- asked\n" + "\n".join(agent.requests) + "\n")
    return "\n".join(results)


RECORDERS: dict[str, Recorder] = {
    "command-line-help.txt": helps,
    "command-line-bad-uses.txt": bad_uses,
    "command-line-bad-loads.txt": bad_loads,
    "command-line-good-uses.txt": good_uses,
    "command-line-check.txt": checks,
    "command-line-spoilt-files.txt": damaged_files,
    "command-line-agent-answers.txt": agent_answers,
    "files-agent.json": agent_files,
    "files-operator.json": operator_files,
}

if __name__ == "__main__":
    record(RECORDERS)
