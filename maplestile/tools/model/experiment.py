"""Experiments of the membership model.

A file has a schedule of faults (`faults/schedule.py`, the same that the relay plays) and:

    duration_s = 120
    lifeguard = true             # off: plain SWIM
    period_ms = 1000             # the protocol's period; the rest of its tuning is the program's own
    duties = 20                  # shared periodic duties, such as the probes of so many runners; 0 for none

The same file and seed give the same metrics, byte for byte. A file that cannot be used raises
`ScheduleError` naming the field.
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
    """A schedule of faults, and for how long and with which settings it is played."""

    schedule: Schedule
    duration_us: int
    lifeguard: bool = True
    period_us: int = 1_000_000
    duties: int = 0


@dataclass(slots=True, frozen=True)
class TimeRange:
    """A fault that lasts for a time, of one instance, router or agent."""

    at_us: int
    for_us: int
    index: int = 0  # of what it concerns


def time_range_from(table: TomlTable, name: str = "", count: int = 0) -> TimeRange:
    """Read `at_s`, `for_s`, and the field `name`, an index below `count`, if any.

    Raises the table's error.
    """
    at_us = required_time_us(table, "at_s")
    for_us = required_time_us(table, "for_s")
    index = table.whole(name, maximum=count - 1) if name else 0
    table.end()
    return TimeRange(at_us, for_us, index)


def load(path: Path) -> Experiment:
    """Read a file. Raises `ScheduleError`."""
    return parse(read(path))


def read(path: Path) -> dict[str, Any]:
    """Read a file's tables. Raises `ScheduleError` where it is no TOML."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ScheduleError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScheduleError(f"{path}: not TOML: {error}") from None


def parse(tables: dict[str, Any]) -> Experiment:
    """Read an experiment out of a file's tables. Raises `ScheduleError` naming the field."""
    top = TomlTable(tables, "", ScheduleError)
    experiment = Experiment(
        schedule_from(top),
        duration_us=required_time_us(top, "duration_s", MIN_DURATION_S),
        lifeguard=top.flag("lifeguard", True),
        period_us=int(top.number("period_ms", 1000, minimum=10, maximum=60_000) * US_PER_MS),
        duties=top.whole("duties", 0, maximum=10_000),
    )
    top.end()
    return experiment
