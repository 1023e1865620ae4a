"""Definitions of the bounded cases that the explorer searches."""

from dataclasses import dataclass

from maplestile.common.toml_table import ConfigError
from maplestile.tools.explore.events import ANSWERS, EventKind

LINK_FAULTS = (EventKind.REFUSE, EventKind.RESET)
ENDPOINT_LIST_EVENTS = (EventKind.DRAIN, EventKind.GONE, EventKind.RETURN)


class CaseError(ConfigError):
    """An invalid case or file; the message names the offending option, file or field."""


@dataclass(slots=True, frozen=True)
class Case:
    """The bounds of one search: which calls are made, to which workers, and which faults may occur."""

    name: str
    summary: str
    classes: tuple[str, ...]  # class of each call, in order of submission; keys of `scenario.CLASSES`
    fault_events: tuple[EventKind, ...]  # that may occur besides submit, up, ok, time and drained
    max_faults: int  # maximum number of fault events in one run
    workers: int = 2  # number of workers
    zones: tuple[str, ...] = ("a", "a")  # zone of each worker
    cells: tuple[int, ...] = (1, 1)  # cell of each worker
    max_time_steps: int = 6  # maximum number of `time` events; a call's deadline is four steps away


CALL_FAULTS = (*ANSWERS, *LINK_FAULTS)
CASES = {
    case.name: case
    for case in (
        Case(
            name="safe",
            summary="a safe call and all that its attempts can meet",
            classes=("safe",),
            fault_events=CALL_FAULTS,
            max_faults=3,
        ),
        Case(
            name="unsafe",
            summary="an unsafe call: never out again where it may have run",
            classes=("unsafe",),
            fault_events=CALL_FAULTS,
            max_faults=3,
        ),
        Case(
            name="keyed-all",
            summary="a keyed call whose repeats all workers drop",
            classes=("keyed-all",),
            fault_events=CALL_FAULTS,
            max_faults=3,
        ),
        Case(
            name="keyed-zone",
            summary="a keyed call, its workers in two zones",
            classes=("keyed-zone",),
            fault_events=CALL_FAULTS,
            max_faults=3,
            zones=("a", "b"),
        ),
        Case(
            name="keyed-cell",
            summary="a keyed call, its workers in two cells",
            classes=("keyed-cell",),
            fault_events=CALL_FAULTS,
            max_faults=3,
            cells=(1, 2),
        ),
        Case(
            name="late",
            summary="answers that come twice, late, or for nobody",
            classes=("unsafe",),
            fault_events=(
                EventKind.ERROR,
                EventKind.AGAIN,
                EventKind.STRAY,
                EventKind.RESET,
                EventKind.LEAVE,
            ),
            max_faults=3,
        ),
        Case(
            name="parts",
            summary="lines that the system takes in part",
            classes=("unsafe",),
            fault_events=(EventKind.PART, EventKind.RESET, EventKind.REFUSE, EventKind.ERROR),
            max_faults=3,
            max_time_steps=5,
        ),
        Case(
            name="drain",
            summary="a worker drains, goes, and returns under its address",
            classes=("unsafe",),
            fault_events=(*ENDPOINT_LIST_EVENTS, EventKind.REFUSE, EventKind.RESET, EventKind.PART),
            max_faults=3,
            max_time_steps=4,
        ),
        Case(
            name="drain-safe",
            summary="the same under a safe call, with second copies",
            classes=("safe",),
            fault_events=(*ENDPOINT_LIST_EVENTS, EventKind.RESET),
            max_faults=3,
            max_time_steps=5,
        ),
        Case(
            name="away",
            summary="a client closes its side, wherever its call is",
            classes=("unsafe",),
            fault_events=(
                EventKind.AWAY,
                EventKind.FULL,
                EventKind.MISS,
                EventKind.REFUSE,
                EventKind.RESET,
                EventKind.PART,
            ),
            max_faults=3,
        ),
        Case(
            name="away-safe",
            summary="the same under a safe call, with second copies",
            classes=("safe",),
            fault_events=(EventKind.AWAY, EventKind.ERROR, EventKind.RESET),
            max_faults=3,
            max_time_steps=5,
        ),
        Case(
            name="two",
            summary="two calls of one function at one worker",
            classes=("unsafe", "safe"),
            fault_events=(EventKind.FULL, EventKind.RESET, EventKind.LEAVE),
            max_faults=2,
            workers=1,
            max_time_steps=5,
        ),
        Case(
            name="two-unsafe",
            summary="two unsafe calls at two workers",
            classes=("unsafe", "unsafe"),
            fault_events=(EventKind.ERROR, EventKind.RESET, EventKind.DRAIN),
            max_faults=2,
            max_time_steps=4,
        ),
        Case(
            name="policy",
            summary="the policy changes while calls are in flight",
            classes=("safe", "safe"),
            fault_events=(EventKind.POLICY, EventKind.ERROR, EventKind.RESET),
            max_faults=3,
            max_time_steps=4,
        ),
        Case(
            name="stop",
            summary="the process is told to end with calls in hand",
            classes=("safe", "unsafe"),
            fault_events=(EventKind.STOP, EventKind.RESET, EventKind.LEAVE),
            max_faults=2,
            max_time_steps=6,
        ),
    )
}
# The cases that CI explores within a minute, with the maximum number of events in each run.
SMALL_CASE_DEPTHS = {
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
