"""What the experiments of rollouts and of policy changes share: common settings, and how a file's are read.

Times are whole microseconds; files have them in milliseconds or seconds, as the fields' names say.
"""

from dataclasses import dataclass, replace
from typing import TypeVar

from maplestile.common.toml_table import TomlTable
from maplestile.tools.faults.schedule import MAX_DURATION_S, MAX_SEED, US_PER_MS, US_PER_S

MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class ControlExperiment:
    """The settings that every run of the replicated control state has."""

    seed: int
    agents: int
    duration_us: int  # at most; the run ends earlier when all is done
    commit_us: int  # mean time without jitter until a command is committed


ExperimentT = TypeVar("ExperimentT", bound=ControlExperiment)


def seed_from(table: TomlTable) -> int:
    """Take the seed. Raises the table's error."""
    return table.whole("seed", maximum=MAX_SEED)


def microseconds_from_ms(table: TomlTable, name: str, default: float) -> int:
    """Take a duration in milliseconds. Raises the table's error."""
    return int(table.number(name, default, maximum=MAX_DURATION_S * MS_PER_S) * US_PER_MS)


def microseconds_from_s(table: TomlTable, name: str, default: float) -> int:
    """Take a duration in seconds. Raises the table's error."""
    # The same limit by number as in milliseconds: a larger duration than other experiments may have.
    return int(table.number(name, default, maximum=MAX_DURATION_S * MS_PER_S) * US_PER_S)


def with_seeds(experiment: ExperimentT, count: int) -> list[ExperimentT]:
    """Return the experiment with so many seeds, counted up from its own."""
    return [replace(experiment, seed=experiment.seed + offset) for offset in range(count)]
