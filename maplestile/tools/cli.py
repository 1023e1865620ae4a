"""The entry point of the `maplestile` command.

Each command has a module of its own, which adds its arguments to the parser and sets the function that
runs it as the parser's default `run`. That function takes the parsed arguments and returns the exit code.
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


def parser() -> argparse.ArgumentParser:
    """Build the parser of all commands, in the order in which the help text lists them."""
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

    A file that cannot be used ends the command with 1 and its reason on standard error, unless the command
    has an exit code of its own for it. A reader that closes our standard output is no error.
    """
    parsed = parser().parse_args(arguments)
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
