"""The files that hold a counterexample.

    {"version": 1, "case": "unsafe", "property": "unsafe-once", "events": [["submit"], ["up", 0], ...]}

An event is a name and its numbers; `simulation.py` says what each does.
"""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from maplestile.tools.explore.cases import CASES, CaseError
from maplestile.tools.explore.events import NUMBER_COUNTS, Event, EventKind

VERSION = 1
MAX_EVENTS = 200
MAX_NUMBER = 999  # in an event
EVENT_KINDS = {kind.value: kind for kind in EventKind}  # by their names


@dataclass(slots=True, frozen=True)
class Example:
    """A list of events that breaks a property."""

    case: str
    property: str
    events: tuple[Event, ...]
    detail: str = ""  # how it breaks the property; `told` in the file

    def text(self) -> str:
        """The example in the form of its file."""
        head = {"version": VERSION, "case": self.case, "property": self.property, "told": self.detail}
        lines = ",\n  ".join(json.dumps(encode(event)) for event in self.events)
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
        tuple(_decode(f"{path}: events[{index}]", event) for index, event in enumerate(events)),
        str(document.get("told", "")),
    )


def encode(event: Event) -> list[str | int]:
    """An event in the form of files and of JSON output: its name and its numbers."""
    return [event.kind.value, *event.numbers]


def _decode(place: str, value: Any) -> Event:
    if not isinstance(value, list) or not value or value[0] not in EVENT_KINDS:
        raise CaseError(f"{place}: must begin with one of {', '.join(EVENT_KINDS)}")
    kind = EVENT_KINDS[value[0]]
    numbers = tuple(value[1:])
    if len(numbers) != NUMBER_COUNTS[kind] or not all(map(_is_number, numbers)):
        raise CaseError(f"{place}: '{kind}' takes {NUMBER_COUNTS[kind]} numbers")
    return Event(kind, numbers)


def _is_number(value: object) -> bool:
    return type(value) is int and 0 <= value <= MAX_NUMBER
