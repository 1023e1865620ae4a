"""The bounded cases, and the files that hold a counterexample.

    {"version": 1, "case": "unsafe", "property": "unsafe-once", "events": [["submit"], ["up", 0], ...]}

An event is a name and its numbers; `simulation.py` says what each does.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from maplestile.common.toml_table import ConfigError

VERSION = 1
MAX_EVENTS = 200
MAX_NUMBER = 999  # in an event
Event = tuple[str | int, ...]

# Events beside successful answers, by what they concern.
ANSWERS = ("error", "full", "miss")
LINKS = ("refuse", "reset")
LISTS = ("drain", "gone", "return")
EVENTS: Mapping[str, int] = {  # how many numbers follow each event's name
    "submit": 0,
    "leave": 1,
    "away": 1,
    "up": 1,
    "refuse": 1,
    "reset": 1,
    "part": 1,
    "drained": 1,
    "stray": 1,
    "ok": 2,
    "error": 2,
    "full": 2,
    "miss": 2,
    "again": 2,
    "time": 0,
    "drain": 1,
    "gone": 1,
    "return": 1,
    "stop": 0,
    "policy": 0,
}


class CaseError(ConfigError):
    """A case or a file that cannot be used; the text names the place."""


@dataclass(slots=True, frozen=True)
class Case:
    """A bounded set of runs: the calls, the workers, and what may happen to them."""

    name: str
    summary: str
    classes: tuple[str, ...]  # of the calls, in the order in which they come: `scenario.CLASSES`
    fault_events: tuple[str, ...]  # that may happen, beside submit, up, ok, time and drained
    max_faults: int  # how many of them may happen
    workers: int = 2
    zones: tuple[str, ...] = ("a", "a")
    cells: tuple[int, ...] = (1, 1)
    max_time_steps: int = 6  # a call's deadline is four


FAULTS = (*ANSWERS, *LINKS)
CASES = {
    case.name: case
    for case in (
        Case("safe", "a safe call and all that its attempts can meet", ("safe",), FAULTS, 3),
        Case("unsafe", "an unsafe call: never out again where it may have run", ("unsafe",), FAULTS, 3),
        Case("keyed-all", "a keyed call whose repeats all workers drop", ("keyed-all",), FAULTS, 3),
        Case(
            "keyed-zone",
            "a keyed call, its workers in two zones",
            ("keyed-zone",),
            FAULTS,
            3,
            zones=("a", "b"),
        ),
        Case(
            "keyed-cell",
            "a keyed call, its workers in two cells",
            ("keyed-cell",),
            FAULTS,
            3,
            cells=(1, 2),
        ),
        Case(
            "late",
            "answers that come twice, late, or for nobody",
            ("unsafe",),
            ("error", "again", "stray", "reset", "leave"),
            3,
        ),
        Case(
            "parts",
            "lines that the system takes in part",
            ("unsafe",),
            ("part", "reset", "refuse", "error"),
            3,
            max_time_steps=5,
        ),
        Case(
            "drain",
            "a worker drains, goes, and returns under its address",
            ("unsafe",),
            (*LISTS, "refuse", "reset", "part"),
            3,
            max_time_steps=4,
        ),
        Case(
            "drain-safe",
            "the same under a safe call, with second copies",
            ("safe",),
            (*LISTS, "reset"),
            3,
            max_time_steps=5,
        ),
        Case(
            "away",
            "a client closes its side, wherever its call is",
            ("unsafe",),
            ("away", "full", "miss", "refuse", "reset", "part"),
            3,
        ),
        Case(
            "away-safe",
            "the same under a safe call, with second copies",
            ("safe",),
            ("away", "error", "reset"),
            3,
            max_time_steps=5,
        ),
        Case(
            "two",
            "two calls of one function at one worker",
            ("unsafe", "safe"),
            ("full", "reset", "leave"),
            2,
            workers=1,
            max_time_steps=5,
        ),
        Case(
            "two-unsafe",
            "two unsafe calls at two workers",
            ("unsafe", "unsafe"),
            ("error", "reset", "drain"),
            2,
            max_time_steps=4,
        ),
        Case(
            "policy",
            "the policy changes while calls are in hand",
            ("safe", "safe"),
            ("policy", "error", "reset"),
            3,
            max_time_steps=4,
        ),
        Case(
            "stop",
            "the process is told to end with calls in hand",
            ("safe", "unsafe"),
            ("stop", "reset", "leave"),
            2,
            max_time_steps=6,
        ),
    )
}
# Those that CI runs within a minute, and to which depth.
SMALL = {
    "unsafe": 8,
    "keyed-cell": 8,
    "late": 9,
    "parts": 9,
    "drain": 6,
    "away": 8,
    "away-safe": 8,
    "two": 8,
    "stop": 7,
    "policy": 6,
}


@dataclass(slots=True, frozen=True)
class Example:
    """A list of events that breaks a property."""

    case: str
    property: str
    events: tuple[Event, ...]
    detail: str = ""  # how it does; `told` in the file

    def text(self) -> str:
        """The example in the form of its file."""
        head = {"version": VERSION, "case": self.case, "property": self.property, "told": self.detail}
        lines = ",\n  ".join(json.dumps(event) for event in self.events)
        return json.dumps(head, indent=1)[:-2] + f',\n "events": [\n  {lines}\n ]\n}}\n'


def read(path: Path) -> Example:
    """Read a file; raises `CaseError` naming the place of what is wrong."""
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise CaseError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise CaseError(f"{path}: no JSON: {error}") from None
    if not isinstance(document, dict):
        raise CaseError(f"{path}: must be an object")
    return _example(path, document)


def _example(path: Path, document: dict[str, Any]) -> Example:
    if document.get("version") != VERSION:
        raise CaseError(f"{path}: version: must be {VERSION}")
    if document.get("case") not in CASES:
        raise CaseError(f"{path}: case: must be one of {', '.join(CASES)}")
    events = document.get("events")
    if not isinstance(events, list) or not 0 < len(events) <= MAX_EVENTS:
        raise CaseError(f"{path}: events: must be a list of 1 to {MAX_EVENTS}")
    return Example(
        document["case"],
        str(document.get("property", "")),
        tuple(_event(f"{path}: events[{index}]", event) for index, event in enumerate(events)),
        str(document.get("told", "")),
    )


def _event(place: str, value: Any) -> Event:
    if not isinstance(value, list) or not value or value[0] not in EVENTS:
        raise CaseError(f"{place}: must begin with one of {', '.join(EVENTS)}")
    name, *numbers = value
    if len(numbers) != EVENTS[name] or not all(map(_is_number, numbers)):
        raise CaseError(f"{place}: '{name}' takes {EVENTS[name]} numbers")
    return tuple(value)


def _is_number(value: object) -> bool:
    return type(value) is int and 0 <= value <= MAX_NUMBER
