"""Reads the experiments of the rollout model.

A file has these fields:

kind = "rollout"
seed = 11
instances = 40               # 2 to 2000
agents = 10                  # they share the instances evenly, with or without a vote; one is the leader
action = "restart"           # or replace
budget = "10%"
duration_s = 600             # the run ends with the rollout, or at this time
commit_ms = 20               # until a command is committed, plus an exponential jitter with the same mean
drain_ms = 1000              # from SIGTERM to the exit of an instance, plus the jitter
drain_jitter_ms = 300        # mean of the exponential jitter of a drain
start_ms = 300               # from the exit until the instance serves again
stuck = 0.0                  # share of drains that take `stuck_s` instead
stuck_s = 30
halt_at_s = 5                # an operator halts the rollout, and resumes it after `halt_for_s`; 0 for never
halt_for_s = 2

[[outage]]                   # an unplanned outage of an instance
at_s = 20
for_s = 5
instance = 7

[[election]]                 # the leader is lost; after `for_s` a new one leads, without the old one's memory
at_s = 10
for_s = 1.2

In the parsed settings, times are whole microseconds.
"""

from dataclasses import dataclass
from typing import Any

from maplestile.common.errors import CommandRejected
from maplestile.common.toml_table import TomlTable
from maplestile.control.state import ACTIONS, parse_budget
from maplestile.tools.faults.schedule import ScheduleError
from maplestile.tools.model.control_experiment import (
    ControlExperiment,
    microseconds_from_ms,
    microseconds_from_s,
    seed_from,
)
from maplestile.tools.model.experiment import TimeRange, time_range_from

MAX_INSTANCES = 2000
MODELED_ACTIONS = tuple(action for action in ACTIONS if action != "drain")


@dataclass(slots=True, frozen=True)
class RolloutExperiment(ControlExperiment):
    """The settings of one run; the module docstring describes the corresponding fields of the file."""

    instances: int
    action: str
    budget: int | str
    drain_us: int
    drain_jitter_us: int
    start_us: int
    stuck: float
    stuck_us: int
    halt_at_us: int
    halt_for_us: int
    outages: tuple[TimeRange, ...]
    elections: tuple[TimeRange, ...]


def parse_experiment(tables: dict[str, Any]) -> RolloutExperiment:
    """Parse an experiment from a file's tables. Raises `ScheduleError` naming the invalid field."""
    top = TomlTable(tables, "", ScheduleError)
    top.choice("kind", ("rollout",))
    instances = top.integer("instances", minimum=2, maximum=MAX_INSTANCES)
    budget = _budget_from(top, instances)
    outages = [time_range_from(table, "instance", instances) for table in top.tables("outage", needed=False)]
    elections = [time_range_from(table) for table in top.tables("election", needed=False)]
    experiment = RolloutExperiment(
        seed=seed_from(top),
        instances=instances,
        agents=top.integer("agents", 3, minimum=1, maximum=instances),
        action=top.choice("action", MODELED_ACTIONS, "restart"),
        budget=budget,
        duration_us=microseconds_from_s(top, "duration_s", 600.0),
        commit_us=microseconds_from_ms(top, "commit_ms", 20.0),
        drain_us=microseconds_from_ms(top, "drain_ms", 1000.0),
        drain_jitter_us=microseconds_from_ms(top, "drain_jitter_ms", 300.0),
        start_us=microseconds_from_ms(top, "start_ms", 300.0),
        stuck=top.number("stuck", 0.0, maximum=1.0),
        stuck_us=microseconds_from_s(top, "stuck_s", 30.0),
        halt_at_us=microseconds_from_s(top, "halt_at_s", 0.0),
        halt_for_us=microseconds_from_s(top, "halt_for_s", 2.0),
        outages=tuple(outages),
        elections=tuple(elections),
    )
    top.reject_unknown_fields()
    return experiment


def _budget_from(table: TomlTable, instances: int) -> Any:
    """Read the budget, a count or a share of the instances. Raises `ScheduleError` if it is invalid."""
    budget = table.values.pop("budget", 1)
    try:
        parse_budget(budget, instances)
    except CommandRejected as rejection:
        raise ScheduleError(f"budget: {rejection}") from None
    return budget
