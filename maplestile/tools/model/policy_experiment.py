"""Experiments of policy changes: the file's format, and its settings.

kind = "policy"
seed = 5
routers = 200                # 1 to 2000
agents = 20                  # each has as many of them; one leads
changes = 20                 # one after the other, `pause_ms` after the one before is decided
pause_ms = 500
duration_s = 600             # the run ends with the changes, or here
rate = 20                    # calls a second at each router
commit_ms = 20               # until a command is committed, plus an exponential jitter of the same mean
replica_ms = 100             # an agent's replica is behind the log by up to so long (evenly)
call_ms = 3                  # a call to a router on loopback, plus an exponential jitter of the same mean
check_ms = 5                 # a router's check
loss = 0.0                   # share of commands whose reply is lost: sent again after `retry_ms`
retry_ms = 500
refuse = 0.0                 # chance that some router refuses a change

[[cut]]                      # an agent is cut off, with its routers, and healed after `for_s`
at_s = 10
for_s = 8
agent = 3

[[down]]                     # a router is down, and starts again after `for_s`
at_s = 20
for_s = 5
router = 17

Times are whole microseconds in the settings.
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
    """The settings of one run; the module describes each field as the file has it."""

    routers: int
    changes: int
    pause_us: int
    rate: float  # calls a second at each router
    replica_us: int
    call_us: int
    check_us: int
    loss: float
    retry_us: int
    refuse: float
    cuts: tuple[TimeRange, ...]
    downs: tuple[TimeRange, ...]


def parse(tables: dict[str, Any]) -> PolicyExperiment:
    """Read an experiment out of a file's tables. Raises `ScheduleError` naming the field."""
    top = TomlTable(tables, "", ScheduleError)
    top.choice("kind", ("policy",))
    routers = top.whole("routers", minimum=1, maximum=MAX_ROUTERS)
    agents = top.whole("agents", 3, minimum=1, maximum=routers)
    experiment = PolicyExperiment(
        seed=seed_from(top),
        routers=routers,
        agents=agents,
        changes=top.whole("changes", 10, minimum=1, maximum=MAX_CHANGES),
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
        downs=tuple(time_range_from(down, "router", routers) for down in top.tables("down", needed=False)),
    )
    top.end()
    return experiment
