"""An experiment of the model: a schedule of faults (`faults/schedule.py`, the same that the relay plays) and

    duration_s = 120
    lifeguard = true             # off: plain SWIM
    period_ms = 1000             # the protocol's period; the rest of its tuning is the program's own
    duties = 20                  # shared periodic duties, such as the probes of so many runners; 0 for none

The same file and seed give the same figures, byte for byte. A file that cannot be used raises
`ScheduleError` naming the field."""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from maplestile.common.toml_table import TomlTable
from maplestile.tools.faults.schedule import DURATION_MOST_S, Schedule, ScheduleError, schedule_from


@dataclass(slots=True, frozen=True)
class Experiment:
    schedule: Schedule
    duration_us: int
    lifeguard: bool = True
    period_us: int = 1_000_000
    duties: int = 0


@dataclass(slots=True, frozen=True)
class Span:
    """A fault of one thing, by its place, for a time."""

    at_us: int
    for_us: int
    which: int = 0


def span_from(table: TomlTable, name: str = "", count: int = 0) -> Span:
    """`at_s`, `for_s`, and the field `name`, a place below `count`, if any. Raises the table's error."""
    at_us, for_us = (int(table.number(one, most=DURATION_MOST_S) * 1e6) for one in ("at_s", "for_s"))
    span = Span(at_us, for_us, table.whole(name, most=count - 1) if name else 0)
    table.end()
    return span


def load(path: Path) -> Experiment:
    return parse(read(path))


def read(path: Path) -> dict[str, Any]:
    """The file's tables; what cannot be read as TOML raises `ScheduleError`."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as fault:
        raise ScheduleError(f"{path}: {fault.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise ScheduleError(f"{path}: not TOML: {fault}") from None


def parse(told: dict[str, Any]) -> Experiment:
    top = TomlTable(told, "", ScheduleError)
    experiment = Experiment(
        schedule_from(top),
        duration_us=int(top.number("duration_s", least=0.001, most=DURATION_MOST_S) * 1e6),
        lifeguard=top.flag("lifeguard", True),
        period_us=int(top.number("period_ms", 1000, least=10, most=60_000) * 1000),
        duties=top.whole("duties", 0, most=10_000),
    )
    top.end()
    return experiment
