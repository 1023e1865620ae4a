"""`maplestile relay`: apply a fault schedule to the traffic between processes.

The exit code is 2 for an invalid schedule, whose error names the field, and 1 if the relay cannot listen.
"""

import argparse
import asyncio
import sys
from pathlib import Path
from typing import Any

from maplestile.common.address import parse_address
from maplestile.common.toml_table import TomlTable
from maplestile.tools.faults.schedule import Schedule, ScheduleError, schedule_from

# Fields of a schedule file that only the model reads; the model and the relay can use the same files.
MODEL_FIELDS = ("duration_s", "lifeguard", "period_ms", "duties")


def add(commands: Any) -> None:
    """Add the command to argparse's sub-parsers."""
    command = commands.add_parser("relay", help="play a schedule of faults between processes")
    command.add_argument("file", type=Path)
    command.add_argument("--control", default="127.0.0.1:0", metavar="HOST:PORT", help="where it is steered")
    command.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run the relay until the process is interrupted."""
    # Imported here, because it would delay the start of other commands.
    from maplestile.tools.faults import control_port

    try:
        schedule = _read_schedule(arguments.file)
    except ScheduleError as error:
        print(f"maplestile: {arguments.file}: {error}", file=sys.stderr)
        return 2
    try:
        asyncio.run(control_port.serve(schedule, parse_address(arguments.control)))
    except OSError as error:
        print(f"maplestile: the relay cannot listen: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        pass
    return 0


def _read_schedule(file: Path) -> Schedule:
    from maplestile.tools.model import experiment

    table = TomlTable(experiment.read_tables(file), "", ScheduleError)
    schedule = schedule_from(table)
    for field in MODEL_FIELDS:
        table.values.pop(field, None)
    table.reject_unknown_fields()
    return schedule
