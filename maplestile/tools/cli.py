"""The entry point of the `maplestile` command.

Each command module adds its commands to the parser, and sets the function that runs a command as the default
`run` of the command's parser. That function takes the parsed arguments and returns the exit code.
"""

import argparse
import sys
from collections.abc import Sequence

from maplestile.common.toml_table import ConfigError
from maplestile.tools import (
    instance_commands,
    policy_command,
    rollout_command,
    serving_commands,
    traces_command,
)
from maplestile.tools.explore import command as explore_command
from maplestile.tools.faults import command as relay_command
from maplestile.tools.load import command as load_command
from maplestile.tools.model import command as model_command
from maplestile.tools.traces import TraceError


def build_parser() -> argparse.ArgumentParser:
    """Return the parser for all commands, which are added in the order of the help text."""
    top = argparse.ArgumentParser(prog="maplestile", description="A function router and its agent.")
    commands = top.add_subparsers(dest="command", required=True)
    serving_commands.add(commands)
    instance_commands.add(commands)
    rollout_command.add(commands)
    policy_command.add(commands)
    explore_command.add(commands)
    model_command.add(commands)
    relay_command.add(commands)
    load_command.add(commands)
    traces_command.add(commands)
    return top


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code.

    For an invalid file, print the reason on standard error and return 1, unless the command has an exit code
    of its own for this error. A closed standard output, such as a broken pipe, is not an error.
    """
    parsed = build_parser().parse_args(arguments)
    try:
        exit_code: int = parsed.run(parsed)
    except (ConfigError, TraceError) as error:
        print(f"maplestile: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 0
    return exit_code


if __name__ == "__main__":
    sys.exit(main())
