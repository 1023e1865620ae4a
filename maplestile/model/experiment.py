"""An experiment of the model, and the schedule of faults that the fault relay plays too: a TOML file.

    seed = 7                     # the same file and seed give the same figures, byte for byte
    members = 100                # 2 to 2000
    duration_s = 120
    lifeguard = true
    period_ms = 1000             # the protocol's period; the rest of its tuning is the program's own

    [net]
    loss = 0.05                  # of each datagram, on every link
    delay_ms = 0.5               # one way, plus an exponential jitter of mean `jitter_ms`
    jitter_ms = 1.0

    [[kill]]                     # the member ends for good, like kill -9
    at_s = 30
    member = 4

    [[pause]]                    # the member stops, like SIGSTOP, and goes on, like SIGCONT
    at_s = 40
    for_s = 3
    member = 5

    [[split]]                    # no datagram between the sides; members in no side listed make one more
    at_s = 60
    until_s = 80
    sides = [[0, 1], [2, 3, 4]]

    [[cut]]                      # one direction of the links from some members to others
    at_s = 10
    until_s = 20
    from = [0]
    to = [1]

A file that cannot be used raises `ExperimentError` naming the field: `kill[2].at_s: must be a number ...`.
"""

import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

MEMBERS_MOST, DURATION_MOST_S = 2000, 24 * 3600


class ExperimentError(ValueError):
    """An experiment file that cannot be used; the text names the field."""


@dataclass(slots=True, frozen=True)
class Fault:
    kind: str  # kill, pause, split or cut
    at_us: int
    until_us: int  # the end of a pause, split or cut; that of a kill is the end of the run
    members: tuple[int, ...] = ()  # killed or paused; of a cut, those it comes from
    sides: tuple[tuple[int, ...], ...] = ()  # of a split; of a cut, one side: those it goes to


@dataclass(slots=True, frozen=True)
class Experiment:
    seed: int
    members: int
    duration_us: int
    lifeguard: bool = True
    period_us: int = 1_000_000
    loss: float = 0.0
    delay_us: int = 500
    jitter_us: int = 1000
    faults: tuple[Fault, ...] = field(default_factory=tuple)

    def side_of(self, member: int, fault: Fault) -> int:
        for number, side in enumerate(fault.sides):
            if member in side:
                return number
        return len(fault.sides)


def load(path: Path) -> Experiment:
    try:
        told = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as fault:
        raise ExperimentError(f"{path}: {fault.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise ExperimentError(f"{path}: not TOML: {fault}") from None
    return parse(told)


def parse(told: dict[str, Any]) -> Experiment:
    top = Fields(told, "")
    members = top.integer("members", 2, MEMBERS_MOST)
    duration_us = int(top.number("duration_s", 0.001, DURATION_MOST_S) * 1e6)
    seed, lifeguard = top.integer("seed", 0, (1 << 63) - 1), top.boolean("lifeguard", True)
    period_us = int(top.number("period_ms", 10, 60_000, 1000) * 1000)
    net = Fields(top.table("net"), "net")
    faults = []
    for kind in ("kill", "pause", "split", "cut"):
        for number, entry in enumerate(top.tables(kind)):
            faults.append(_fault(kind, Fields(entry, f"{kind}[{number}]"), members, duration_us))
    result = Experiment(
        seed=seed, members=members, duration_us=duration_us, lifeguard=lifeguard, period_us=period_us,
        loss=net.number("loss", 0.0, 1.0, 0.0),
        delay_us=int(net.number("delay_ms", 0.0, 60_000, 0.5) * 1000),
        jitter_us=int(net.number("jitter_ms", 0.0, 60_000, 1.0) * 1000),
        faults=tuple(sorted(faults, key=lambda fault: fault.at_us)),
    )  # fmt: skip
    net.done()
    top.done()
    return result


def _fault(kind: str, told: "Fields", members: int, duration_us: int) -> Fault:
    at_us = int(told.number("at_s", 0.0, DURATION_MOST_S) * 1e6)
    if kind == "kill":
        member = told.integer("member", 0, members - 1)
        told.done()
        return Fault(kind, at_us, duration_us, (member,))
    if kind == "pause":
        member = told.integer("member", 0, members - 1)
        until_us = at_us + int(told.number("for_s", 0.0, DURATION_MOST_S) * 1e6)
        told.done()
        return Fault(kind, at_us, until_us, (member,))
    until_us = int(told.number("until_s", 0.0, DURATION_MOST_S) * 1e6)
    if until_us < at_us:
        raise ExperimentError(f"{told.path}.until_s: before at_s")
    if kind == "split":
        sides = tuple(told.members("sides", members, nested=True))
        told.done()
        return Fault(kind, at_us, until_us, (), sides)
    origin, target = told.members("from", members), told.members("to", members)
    told.done()
    return Fault(kind, at_us, until_us, tuple(origin[0]), (tuple(target[0]),))


class Fields:
    """One table, read field by field; a field left over at the end is a mistake."""

    def __init__(self, told: Any, path: str) -> None:
        if not isinstance(told, dict):
            raise ExperimentError(f"{path or 'file'}: must be a table")
        self.told, self.path = dict(told), path

    def _place(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name

    def _get(self, name: str, default: Any) -> Any:
        value = self.told.pop(name, default)
        if value is None:
            raise ExperimentError(f"{self._place(name)}: is missing")
        return value

    def number(self, name: str, least: float, most: float, default: float | None = None) -> float:
        value = self._get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
            raise ExperimentError(f"{self._place(name)}: must be a number from {least} to {most}")
        return float(value)

    def integer(self, name: str, least: int, most: int) -> int:
        value = self._get(name, None)
        if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
            raise ExperimentError(f"{self._place(name)}: must be a whole number from {least} to {most}")
        return value

    def boolean(self, name: str, default: bool) -> bool:
        value = self._get(name, default)
        if not isinstance(value, bool):
            raise ExperimentError(f"{self._place(name)}: must be true or false")
        return value

    def table(self, name: str) -> Any:
        return self._get(name, {})

    def tables(self, name: str) -> list[Any]:
        value = self._get(name, [])
        if not isinstance(value, list):
            raise ExperimentError(f"{self._place(name)}: must be a list of tables, [[{name}]]")
        return value

    def members(self, name: str, members: int, nested: bool = False) -> list[tuple[int, ...]]:
        value = self._get(name, None)
        groups = value if nested else [value]
        if not isinstance(groups, list) or not groups:
            raise ExperimentError(f"{self._place(name)}: must be a list of members")
        result = []
        for group in groups:
            if not isinstance(group, list) or not all(
                isinstance(m, int) and not isinstance(m, bool) and 0 <= m < members for m in group
            ):
                raise ExperimentError(f"{self._place(name)}: members are numbers from 0 to {members - 1}")
            result.append(tuple(group))
        return result

    def done(self) -> None:
        if self.told:
            raise ExperimentError(f"{self._place(sorted(self.told)[0])}: is not known")
