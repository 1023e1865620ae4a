"""The settings that rollout and policy experiments share, and functions that read settings from a file.

Times are whole microseconds here. In files they are in milliseconds or seconds, as each field's suffix says.
"""

from dataclasses import dataclass, replace
from typing import TypeVar

from maplestile.common.toml_table import TomlTable
from maplestile.tools.faults.schedule import MAX_DURATION_S, MAX_SEED, US_PER_MS, US_PER_S

MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class ControlExperiment:
    """The settings of every simulated run of the replicated control state."""

    seed: int  # of the random number generator
    agents: int  # number of agents
    duration_us: int  # maximum simulated time; the run ends earlier if all work is done
    commit_us: int  # delay until a command is committed, plus an exponential jitter with the same mean


ExperimentT = TypeVar("ExperimentT", bound=ControlExperiment)


def seed_from(table: TomlTable) -> int:
    """Read the seed from a table. Raises the table's error if it is invalid."""
    return table.integer("seed", maximum=MAX_SEED)


def microseconds_from_ms(table: TomlTable, name: str, default: float) -> int:
    """Read a duration in milliseconds from a table. Raises the table's error if it is invalid."""
    return int(table.number(name, default, maximum=MAX_DURATION_S * MS_PER_S) * US_PER_MS)


def microseconds_from_s(table: TomlTable, name: str, default: float) -> int:
    """Read a duration in seconds from a table. Raises the table's error if it is invalid."""
    # The maximum is the same number as for milliseconds, so the longest duration is 1000 times as long.
    return int(table.number(name, default, maximum=MAX_DURATION_S * MS_PER_S) * US_PER_S)


def with_seeds(experiment: ExperimentT, count: int) -> list[ExperimentT]:
    """Return `count` copies of the experiment with consecutive seeds, starting at its own."""
    return [replace(experiment, seed=experiment.seed + offset) for offset in range(count)]
