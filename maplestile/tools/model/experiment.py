"""Reads the experiments of the membership model.

A file holds a fault schedule (`faults/schedule.py`, in the format that the relay plays) and these fields:

    duration_s = 120
    lifeguard = true             # false: plain SWIM
    period_ms = 1000             # the protocol period; all other tuning has the program's defaults
    duties = 20                  # targets of shared periodic health checks; 0 for none

The same file and seed give the same metrics, byte for byte. An invalid file raises `ScheduleError` naming the
field.
"""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from maplestile.common.toml_table import TomlTable
from maplestile.tools.faults.schedule import (
    US_PER_MS,
    Schedule,
    ScheduleError,
    required_time_us,
    schedule_from,
)

MIN_DURATION_S = 0.001


@dataclass(slots=True, frozen=True)
class Experiment:
    """A fault schedule, and the duration and settings of the run that plays it."""

    schedule: Schedule
    duration_us: int  # simulated
    lifeguard: bool = True  # False for plain SWIM
    period_us: int = 1_000_000  # the protocol period
    health_check_targets: int = 0  # number of targets of shared health checks; 0 for no checks


@dataclass(slots=True, frozen=True)
class TimeRange:
    """The start and duration of a fault, and the instance, router or agent that it affects."""

    at_us: int  # start, from the start of the run
    for_us: int  # duration
    index: int = 0  # of the affected instance, router or agent; unused for an election


def time_range_from(table: TomlTable, name: str = "", count: int = 0) -> TimeRange:
    """Read `at_s`, `for_s` and, if a name is given, the field of that name, an index below `count`.

    Raises the table's error if a field is invalid.
    """
    at_us = required_time_us(table, "at_s")
    for_us = required_time_us(table, "for_s")
    index = table.integer(name, maximum=count - 1) if name else 0
    table.reject_unknown_fields()
    return TimeRange(at_us, for_us, index)


def read_experiment(path: Path) -> Experiment:
    """Read an experiment from a file. Raises `ScheduleError` if the file is invalid."""
    return parse_experiment(read_tables(path))


def read_tables(path: Path) -> dict[str, Any]:
    """Read the tables of a TOML file. Raises `ScheduleError` if the file cannot be read or is not TOML."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ScheduleError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScheduleError(f"{path}: not TOML: {error}") from None


def parse_experiment(tables: dict[str, Any]) -> Experiment:
    """Parse an experiment from a file's tables. Raises `ScheduleError` naming the invalid field."""
    top = TomlTable(tables, "", ScheduleError)
    experiment = Experiment(
        schedule_from(top),
        duration_us=required_time_us(top, "duration_s", MIN_DURATION_S),
        lifeguard=top.boolean("lifeguard", True),
        period_us=int(top.number("period_ms", 1000, minimum=10, maximum=60_000) * US_PER_MS),
        health_check_targets=top.integer("duties", 0, maximum=10_000),
    )
    top.reject_unknown_fields()
    return experiment
