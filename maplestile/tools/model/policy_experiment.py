"""Reads the experiments of the policy model.

A file has these fields:

kind = "policy"
seed = 5
routers = 200                # 1 to 2000
agents = 20                  # they share the routers evenly; one is the leader
changes = 20                 # each is proposed `pause_ms` after the previous one is decided
pause_ms = 500
duration_s = 600             # the run ends after the last change, or at this time
rate = 20                    # calls per second at each router
commit_ms = 20               # until a command is committed, plus an exponential jitter with the same mean
replica_ms = 100             # maximum lag of an agent's replica behind the log, uniformly distributed
call_ms = 3                  # a call to a router on loopback, plus an exponential jitter with the same mean
check_ms = 5                 # for a router to check a change
loss = 0.0                   # share of commands whose reply is lost; they are sent again after `retry_ms`
retry_ms = 500
refuse = 0.0                 # mean number of routers that refuse a change

[[cut]]                      # an agent and its routers are cut off for `for_s`
at_s = 10
for_s = 8
agent = 3

[[down]]                     # a router is down, and restarts after `for_s`
at_s = 20
for_s = 5
router = 17

In the parsed settings, times are whole microseconds.
"""

from dataclasses import dataclass
from typing import Any

from maplestile.common.toml_table import TomlTable
from maplestile.tools.faults.schedule import ScheduleError
from maplestile.tools.model.control_experiment import (
    ControlExperiment,
    microseconds_from_ms,
    microseconds_from_s,
    seed_from,
)
from maplestile.tools.model.experiment import TimeRange, time_range_from

MAX_ROUTERS = 2000
MAX_CHANGES = 1000
MAX_LOSS = 0.9


@dataclass(slots=True, frozen=True)
class PolicyExperiment(ControlExperiment):
    """The settings of one run; the module docstring describes the corresponding fields of the file."""

    routers: int
    changes: int
    pause_us: int
    rate: float  # calls per second at each router
    replica_us: int
    call_us: int
    check_us: int
    loss: float
    retry_us: int
    refuse: float
    cuts: tuple[TimeRange, ...]
    router_outages: tuple[TimeRange, ...]


def parse_experiment(tables: dict[str, Any]) -> PolicyExperiment:
    """Parse an experiment from a file's tables. Raises `ScheduleError` naming the invalid field."""
    top = TomlTable(tables, "", ScheduleError)
    top.choice("kind", ("policy",))
    routers = top.integer("routers", minimum=1, maximum=MAX_ROUTERS)
    agents = top.integer("agents", 3, minimum=1, maximum=routers)
    experiment = PolicyExperiment(
        seed=seed_from(top),
        routers=routers,
        agents=agents,
        changes=top.integer("changes", 10, minimum=1, maximum=MAX_CHANGES),
        pause_us=microseconds_from_ms(top, "pause_ms", 500.0),
        duration_us=microseconds_from_s(top, "duration_s", 600.0),
        rate=top.number("rate", 20.0),
        commit_us=microseconds_from_ms(top, "commit_ms", 20.0),
        replica_us=microseconds_from_ms(top, "replica_ms", 100.0),
        call_us=microseconds_from_ms(top, "call_ms", 3.0),
        check_us=microseconds_from_ms(top, "check_ms", 5.0),
        loss=top.number("loss", 0.0, maximum=MAX_LOSS),
        retry_us=microseconds_from_ms(top, "retry_ms", 500.0),
        refuse=top.number("refuse", 0.0, maximum=1.0),
        cuts=tuple(time_range_from(cut, "agent", agents) for cut in top.tables("cut", needed=False)),
        router_outages=tuple(
            time_range_from(down, "router", routers) for down in top.tables("down", needed=False)
        ),
    )
    top.reject_unknown_fields()
    return experiment
