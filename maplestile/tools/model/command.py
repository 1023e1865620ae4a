"""`maplestile model`: simulate an experiment and print its metrics.

Exits with 0, or with 2 for an invalid file, after printing which field is wrong.
"""

import argparse
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from maplestile.tools.faults.schedule import ScheduleError

if TYPE_CHECKING:
    from maplestile.tools.model.experiment import Experiment
    from maplestile.tools.model.report import Spread

# The model's modules are imported inside the functions below, since loading simpy and the agent's controllers
# would delay the start of every other command.

# The `kind` in an experiment's file; a file for the membership model has none.
CONTROL_KINDS = ("rollout", "policy")


def add(commands: Any) -> None:
    """Add the command to the argparse sub-parsers."""
    command = commands.add_parser("model", help="run an experiment of the membership protocol on the model")
    command.add_argument("file", type=Path)
    command.add_argument("--format", choices=("json", "csv"), default="json")
    command.add_argument(
        "--seeds", type=int, default=1, metavar="N", help="run this many seeds and print the spread"
    )
    command.add_argument("--plot", type=Path, metavar="PNG", help="draw the course of the run there")
    command.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run the command: simulate the experiment in the file, once or with several seeds."""
    from maplestile.tools.model import experiment

    try:
        tables = experiment.read_tables(arguments.file)
        if tables.get("kind") in CONTROL_KINDS:
            _run_control(tables, arguments)
        else:
            _run_membership(experiment.parse_experiment(tables), arguments)
    except ScheduleError as error:
        print(f"maplestile: {arguments.file}: {error}", file=sys.stderr)
        return 2
    return 0


def _run_control(tables: dict[str, Any], arguments: argparse.Namespace) -> None:
    """Run a rollout or policy experiment. Raises `ScheduleError` if the tables are invalid."""
    from maplestile.tools.model import policy, policy_experiment, report, rollout, rollout_experiment
    from maplestile.tools.model.control_experiment import with_seeds

    if tables["kind"] == "rollout":
        rollouts = with_seeds(rollout_experiment.parse_experiment(tables), arguments.seeds)
        spread = report.spread_of_runs(rollout.measure, rollouts)
    else:
        policies = with_seeds(policy_experiment.parse_experiment(tables), arguments.seeds)
        spread = report.spread_of_runs(policy.measure, policies)
    _print_spread(spread, arguments.format)


def _run_membership(experiment: "Experiment", arguments: argparse.Namespace) -> None:
    from maplestile.tools.model import report, run

    if arguments.seeds > 1:
        spread = report.spread_of_runs(run.measure, run.with_seeds(experiment, arguments.seeds))
        _print_spread(spread, arguments.format)
        return
    metrics, time_series = run.run(experiment)
    by_name = metrics.by_name()
    print(report.as_json(by_name) if arguments.format == "json" else report.as_csv(by_name))
    if arguments.plot is not None:
        schedule = experiment.schedule
        title = f"{arguments.file.name}: {schedule.members} members, seed {schedule.seed}"
        report.plot(time_series, title, arguments.plot)


def _print_spread(spread: "Spread", output_format: str) -> None:
    from maplestile.tools.model import report

    print(report.spread_json(spread) if output_format == "json" else report.spread_csv(spread))
