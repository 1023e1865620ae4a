"""The commands that run a router or an agent, or check a file: `serve`, `agent` and `check`."""

import argparse
import asyncio
import sys
from pathlib import Path
from typing import Any

from maplestile.agent import supervisor
from maplestile.common import logs
from maplestile.invoke.operator_file import OperatorError, load_settings, read_tables
from maplestile.tools import policy_command


def add(commands: Any) -> None:
    """Add the commands to argparse's sub-parsers."""
    for name, text, run in (
        ("serve", "run one instance by an operator's file", _serve),
        ("check", "read an operator's file and name what is wrong with it", _check),
        ("agent", "start and supervise the instances of an agent's file", _run_agent),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("file", type=Path)
        command.set_defaults(run=run)


def _serve(arguments: argparse.Namespace) -> int:
    # Imported here, because the router loads all its fronts, which would delay the start of other commands.
    from maplestile.router.process import serve

    # A file with a [policy] table may be complete only together with the fleet's committed policy.
    if "policy" not in read_tables(arguments.file):
        load_settings(arguments.file)  # reports errors in the file before the log is set up
    return serve(arguments.file)


def _check(arguments: argparse.Namespace) -> int:
    file: Path = arguments.file
    if policy_command.is_policy_file(file):
        print(f"{file}: a policy, {policy_command.load_policy(file).digest()}")
        return 0
    settings = load_settings(file)
    print(f"{file}: {len(settings.functions)} functions, {len(settings.tenants)} tenants")
    return 0


def _run_agent(arguments: argparse.Namespace) -> int:
    file: Path = arguments.file
    logs.start()
    settings = supervisor.load_settings(file)

    def reload_instance(name: str) -> supervisor.InstanceSettings:
        for instance in supervisor.load_settings(file).instances:
            if instance.name == name:
                return instance
        raise OperatorError(f"{file}: no instance '{name}' any more")

    try:
        asyncio.run(supervisor.Supervisor(settings, reload_instance).run())
    except OSError as error:
        print(f"maplestile: the agent cannot start: {error}", file=sys.stderr)
        return 1
    return 0
