"""Reads and writes counterexample files.

    {"version": 1, "case": "unsafe", "property": "unsafe-once", "events": [["submit"], ["up", 0], ...]}

An event is a name followed by its numbers; `simulation.py` describes each event.
"""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from maplestile.tools.explore.cases import CASES, CaseError
from maplestile.tools.explore.events import NUMBER_COUNTS, Event, EventKind

VERSION = 1
MAX_EVENTS = 200
MAX_NUMBER = 999  # largest number of a client, worker, link or line in an event
EVENT_KINDS = {kind.value: kind for kind in EventKind}  # by name


@dataclass(slots=True, frozen=True)
class Example:
    """A list of events that violates a property."""

    case: str
    property: str
    events: tuple[Event, ...]
    detail: str = ""  # how the property is violated; `told` in the file

    def text(self) -> str:
        """Return the contents of the example's file."""
        head = {"version": VERSION, "case": self.case, "property": self.property, "told": self.detail}
        lines = ",\n  ".join(json.dumps(encode_event(event)) for event in self.events)
        return json.dumps(head, indent=1)[:-2] + f',\n "events": [\n  {lines}\n ]\n}}\n'


def read_example(path: Path) -> Example:
    """Read a counterexample file. Raises `CaseError` naming the invalid field."""
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise CaseError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise CaseError(f"{path}: invalid JSON: {error}") from None
    if not isinstance(document, dict):
        raise CaseError(f"{path}: must be an object")
    return _parse_example(path, document)


def _parse_example(path: Path, document: dict[str, Any]) -> Example:
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
        tuple(_decode_event(f"{path}: events[{index}]", event) for index, event in enumerate(events)),
        str(document.get("told", "")),
    )


def encode_event(event: Event) -> list[str | int]:
    """Return an event as files and JSON output have it: a list of its name and its numbers."""
    return [event.kind.value, *event.numbers]


def _decode_event(place: str, value: Any) -> Event:
    if not isinstance(value, list) or not value or value[0] not in EVENT_KINDS:
        raise CaseError(f"{place}: must begin with one of {', '.join(EVENT_KINDS)}")
    kind = EVENT_KINDS[value[0]]
    numbers = tuple(value[1:])
    if len(numbers) != NUMBER_COUNTS[kind] or not all(map(_is_number, numbers)):
        raise CaseError(f"{place}: '{kind}' takes {NUMBER_COUNTS[kind]} numbers")
    return Event(kind, numbers)


def _is_number(value: object) -> bool:
    return type(value) is int and 0 <= value <= MAX_NUMBER
