"""Recorders of the command line and of the files that it reads.

`python -m tests.record_command_line` writes the files of `RECORDERS` to `tests/recorded`. Each recorder
returns the text of one file, and `tests/test_recorded_command_line.py` compares it with the file.
"""

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


def help_texts() -> str:
    """Return the help text of each command."""
    return "\n".join(run(*command, "--help") for command in COMMANDS)


def bad_uses() -> str:
    """Return the output of commands that end with an error."""
    return "\n".join(run(*arguments) for arguments in BAD_USES)


def bad_loads() -> str:
    """Return the output of `load` commands that end with an error."""
    return "\n".join(run(*arguments) for arguments in BAD_LOADS)


def good_uses() -> str:
    """Return the output of commands that succeed without a network."""
    return "\n".join(run(*arguments) for arguments in GOOD_USES)


def check_outputs() -> str:
    """Return the output of `check` for each example and deployment file."""
    files = sorted([*(ROOT / "deploy").rglob("*.toml"), *(ROOT / "examples").rglob("*.toml")])
    return "\n".join(run("check", relative(file)) for file in files)


def damaged_files() -> str:
    """Return the output of commands for each damaged file."""
    return "\n".join(run_on_damaged_file(damaged) for damaged in DAMAGED_FILES)


def run_on_damaged_file(damaged: DamagedFile) -> str:
    """Return the output of a command for a damaged copy of a file; the copy is in a folder of its own."""
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
    """Return the decoded files of agents: only values, in the order of the fields."""
    results: dict[str, object] = {}
    for file in sorted((ROOT / "examples").rglob("*.toml")):
        try:
            results[relative(file)] = load_settings(file)
        except ConfigError as error:
            results[relative(file)] = f"refused: {error}"
    return as_json(results)


def operator_files() -> str:
    """Return the decoded files of routers: only values, in the order of the fields."""
    results: dict[str, object] = {}
    for file in sorted((ROOT / "deploy").rglob("*.toml")):
        try:
            results[relative(file)] = operator_file.load_settings(file)
        except ConfigError as error:
            results[relative(file)] = f"refused: {error}"
    return as_json(results)


def agent_answers() -> str:
    """Return the requests that commands send to an agent, and what they print of its replies."""
    results: list[str] = []
    for arguments, reply in AGENT_REPLIES:
        with serving_agent(reply) as agent:
            printed = run(*arguments, "--agent", agent.address)
            results.append(printed + "-- asked\n" + "\n".join(agent.requests) + "\n")
    return "\n".join(results)


RECORDERS: dict[str, Recorder] = {
    "command-line-help.txt": help_texts,
    "command-line-bad-uses.txt": bad_uses,
    "command-line-bad-loads.txt": bad_loads,
    "command-line-good-uses.txt": good_uses,
    "command-line-check.txt": check_outputs,
    "command-line-spoilt-files.txt": damaged_files,
    "command-line-agent-answers.txt": agent_answers,
    "files-agent.json": agent_files,
    "files-operator.json": operator_files,
}

if __name__ == "__main__":
    record(RECORDERS)
