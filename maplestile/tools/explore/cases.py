"""The bounded cases that the explorer plays."""

from dataclasses import dataclass

from maplestile.common.toml_table import ConfigError
from maplestile.tools.explore.events import ANSWERS, EventKind

LINK_FAULTS = (EventKind.REFUSE, EventKind.RESET)
LIST_CHANGES = (EventKind.DRAIN, EventKind.GONE, EventKind.RETURN)


class CaseError(ConfigError):
    """A case or a file that cannot be used; the text names the place."""


@dataclass(slots=True, frozen=True)
class Case:
    """A bounded set of runs: the calls, the workers, and what may happen to them."""

    name: str
    summary: str
    classes: tuple[str, ...]  # of the calls, in the order in which they come: `scenario.CLASSES`
    fault_events: tuple[EventKind, ...]  # that may happen, beside submit, up, ok, time and drained
    max_faults: int  # how many of them may happen
    workers: int = 2
    zones: tuple[str, ...] = ("a", "a")
    cells: tuple[int, ...] = (1, 1)
    max_time_steps: int = 6  # a call's deadline is four


CALL_FAULTS = (*ANSWERS, *LINK_FAULTS)
CASES = {
    case.name: case
    for case in (
        Case("safe", "a safe call and all that its attempts can meet", ("safe",), CALL_FAULTS, 3),
        Case("unsafe", "an unsafe call: never out again where it may have run", ("unsafe",), CALL_FAULTS, 3),
        Case("keyed-all", "a keyed call whose repeats all workers drop", ("keyed-all",), CALL_FAULTS, 3),
        Case(
            "keyed-zone",
            "a keyed call, its workers in two zones",
            ("keyed-zone",),
            CALL_FAULTS,
            3,
            zones=("a", "b"),
        ),
        Case(
            "keyed-cell",
            "a keyed call, its workers in two cells",
            ("keyed-cell",),
            CALL_FAULTS,
            3,
            cells=(1, 2),
        ),
        Case(
            "late",
            "answers that come twice, late, or for nobody",
            ("unsafe",),
            (EventKind.ERROR, EventKind.AGAIN, EventKind.STRAY, EventKind.RESET, EventKind.LEAVE),
            3,
        ),
        Case(
            "parts",
            "lines that the system takes in part",
            ("unsafe",),
            (EventKind.PART, EventKind.RESET, EventKind.REFUSE, EventKind.ERROR),
            3,
            max_time_steps=5,
        ),
        Case(
            "drain",
            "a worker drains, goes, and returns under its address",
            ("unsafe",),
            (*LIST_CHANGES, EventKind.REFUSE, EventKind.RESET, EventKind.PART),
            3,
            max_time_steps=4,
        ),
        Case(
            "drain-safe",
            "the same under a safe call, with second copies",
            ("safe",),
            (*LIST_CHANGES, EventKind.RESET),
            3,
            max_time_steps=5,
        ),
        Case(
            "away",
            "a client closes its side, wherever its call is",
            ("unsafe",),
            (
                EventKind.AWAY,
                EventKind.FULL,
                EventKind.MISS,
                EventKind.REFUSE,
                EventKind.RESET,
                EventKind.PART,
            ),
            3,
        ),
        Case(
            "away-safe",
            "the same under a safe call, with second copies",
            ("safe",),
            (EventKind.AWAY, EventKind.ERROR, EventKind.RESET),
            3,
            max_time_steps=5,
        ),
        Case(
            "two",
            "two calls of one function at one worker",
            ("unsafe", "safe"),
            (EventKind.FULL, EventKind.RESET, EventKind.LEAVE),
            2,
            workers=1,
            max_time_steps=5,
        ),
        Case(
            "two-unsafe",
            "two unsafe calls at two workers",
            ("unsafe", "unsafe"),
            (EventKind.ERROR, EventKind.RESET, EventKind.DRAIN),
            2,
            max_time_steps=4,
        ),
        Case(
            "policy",
            "the policy changes while calls are in hand",
            ("safe", "safe"),
            (EventKind.POLICY, EventKind.ERROR, EventKind.RESET),
            3,
            max_time_steps=4,
        ),
        Case(
            "stop",
            "the process is told to end with calls in hand",
            ("safe", "unsafe"),
            (EventKind.STOP, EventKind.RESET, EventKind.LEAVE),
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
