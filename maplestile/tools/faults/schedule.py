"""A schedule of faults, read from a TOML file and played by the model and by the relay alike; free of I/O.

    seed = 7
    members = 5                  # 2 to 2000; members are numbers from 0

    [net]                        # on every link, all the time
    loss = 0.05                  # of each datagram
    delay_ms = 0.5               # one way, plus an exponential jitter of mean `jitter_ms`
    jitter_ms = 1.0
    duplicate = 0.01             # the share that comes twice
    reorder = 0.01               # the share that comes `reorder_ms` later, after those sent behind it
    reorder_ms = 20

    [[kill]]                     # the member ends for good, like kill -9
    at_s = 30
    member = 4

    [[pause]]                    # the member stops, like SIGSTOP, and goes on, like SIGCONT
    at_s = 40
    for_s = 3
    member = 3

    [[split]]                    # nothing between the sides; members in no side listed make one more
    at_s = 60
    until_s = 80
    sides = [[0, 1], [2, 3, 4]]

    [[cut]]                      # one direction of the links from some members to others
    at_s = 10
    until_s = 20
    from = [0]
    to = [1]

    [[flap]]                     # the links between two groups, up and down in turn, down first
    at_s = 10
    until_s = 40
    from = [0]
    to = [1, 2]
    down_s = 0.5
    up_s = 1.5

A file that cannot be used raises `ScheduleError` naming the field: `kill[2].at_s: must be a number`.
"""

import random
from dataclasses import dataclass
from enum import StrEnum

from maplestile.common.toml_table import ConfigError, TomlTable

MAX_MEMBERS = 2000
MAX_DURATION_S = 24 * 3600.0
MAX_DELAY_MS = 60_000
MAX_SEED = (1 << 63) - 1
US_PER_MS = 1000
US_PER_S = 1e6
MIN_FLAP_S = 1e-3  # the shortest time for which a flapping link is down, or up
FOREVER_US = int(MAX_DURATION_S * US_PER_S)


class ScheduleError(ConfigError):
    """A schedule that cannot be used; the text names the field."""


class FaultKind(StrEnum):
    """The kinds of faults; the value is the name of their tables in a file."""

    KILL = "kill"
    PAUSE = "pause"
    SPLIT = "split"
    CUT = "cut"
    FLAP = "flap"


@dataclass(slots=True, frozen=True)
class Net:
    """What happens to each datagram on every link; shares from 0 to 1, times in microseconds."""

    loss: float = 0.0
    delay_us: int = 500
    jitter_us: int = 1000
    duplicate: float = 0.0
    reorder: float = 0.0
    reorder_us: int = 20_000


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault, from `at_us` on."""

    kind: FaultKind
    at_us: int
    until_us: int  # the end of a pause, split, cut or flap; a kill has none
    members: frozenset[int] = frozenset()  # killed or paused; of a cut or flap, those it comes from
    others: frozenset[int] = frozenset()  # of a cut or flap, those it goes to
    sides: tuple[frozenset[int], ...] = ()  # of a split
    down_us: int = 0  # of a flap
    up_us: int = 0

    def side(self, member: int) -> int:
        """The number of the side of a split that a member is on."""
        for number, side in enumerate(self.sides):
            if member in side:
                return number
        return len(self.sides)

    def cuts(self, origin: int, target: int, now_us: int) -> bool:
        """Whether nothing passes from `origin` to `target` at that moment, by this fault."""
        if not self.at_us <= now_us < self.until_us:
            return False
        match self.kind:
            case FaultKind.SPLIT:
                return self.side(origin) != self.side(target)
            case FaultKind.CUT:
                return self._concerns(origin, target)
            case FaultKind.FLAP:
                concerned = self._concerns(origin, target) or self._concerns(target, origin)
                return concerned and self._is_down(now_us)
        return False

    def _concerns(self, origin: int, target: int) -> bool:
        return origin in self.members and target in self.others

    def _is_down(self, now_us: int) -> bool:
        return (now_us - self.at_us) % (self.down_us + self.up_us) < self.down_us


@dataclass(slots=True, frozen=True)
class Schedule:
    """All faults among some members, and what their network does all the time."""

    seed: int
    members: int
    net: Net = Net()
    faults: tuple[Fault, ...] = ()

    def cut(self, origin: int, target: int, now_us: int) -> bool:
        """Whether nothing passes from `origin` to `target` at that moment."""
        return any(fault.cuts(origin, target, now_us) for fault in self.faults)

    def delivery_delays_us(
        self, origin: int, target: int, now_us: int, draws: random.Random
    ) -> tuple[int, ...]:
        """Draw the one-way delays in microseconds after which a datagram sent now arrives.

        There are none where it is lost, and two where the network duplicates it.
        """
        net = self.net
        if draws.random() < net.loss or self.cut(origin, target, now_us):
            return ()
        delays = [self.delay_us(draws)]
        if net.reorder and draws.random() < net.reorder:
            delays[0] += net.reorder_us
        if net.duplicate and draws.random() < net.duplicate:
            delays.append(self.delay_us(draws))
        return tuple(delays)

    def delay_us(self, draws: random.Random) -> int:
        """Draw the one-way delay of a datagram."""
        return self.net.delay_us + int(draws.expovariate(1.0) * self.net.jitter_us)


def schedule_from(top: TomlTable) -> Schedule:
    """Take the schedule's own fields out of `top`, and leave the others for the caller.

    Raises `ScheduleError` naming the field.
    """
    members = top.whole("members", minimum=2, maximum=MAX_MEMBERS)
    seed = top.whole("seed", maximum=MAX_SEED)
    net = _net(top.table("net"))
    faults = [
        _fault(kind, table, members) for kind in FaultKind for table in top.tables(kind.value, needed=False)
    ]
    return Schedule(seed, members, net, tuple(sorted(faults, key=lambda fault: fault.at_us)))


def _net(table: TomlTable) -> Net:
    net = Net(
        loss=table.number("loss", 0.0, maximum=1.0),
        delay_us=_milliseconds(table, "delay_ms", 0.5),
        jitter_us=_milliseconds(table, "jitter_ms", 1.0),
        duplicate=table.number("duplicate", 0.0, maximum=1.0),
        reorder=table.number("reorder", 0.0, maximum=1.0),
        reorder_us=_milliseconds(table, "reorder_ms", 20.0),
    )
    table.end()
    return net


def _fault(kind: FaultKind, table: TomlTable, members: int) -> Fault:
    at_us = required_time_us(table, "at_s")
    match kind:
        case FaultKind.KILL:
            fault = Fault(kind, at_us, FOREVER_US, _member(table, members))
        case FaultKind.PAUSE:
            fault = Fault(kind, at_us, at_us + required_time_us(table, "for_s"), _member(table, members))
        case FaultKind.SPLIT:
            until_us = _end(table, at_us)
            sides = tuple(frozenset(side) for side in table.groups("sides", members))
            fault = Fault(kind, at_us, until_us, sides=sides)
        case _:
            fault = _link_fault(kind, table, at_us, members)
    table.end()
    return fault


def _link_fault(kind: FaultKind, table: TomlTable, at_us: int, members: int) -> Fault:
    """A cut or a flap."""
    until_us = _end(table, at_us)
    origins = frozenset(table.numbers("from", members))
    targets = frozenset(table.numbers("to", members))
    if kind is FaultKind.CUT:
        return Fault(kind, at_us, until_us, origins, targets)
    down_us = required_time_us(table, "down_s", MIN_FLAP_S)
    up_us = required_time_us(table, "up_s", MIN_FLAP_S)
    return Fault(kind, at_us, until_us, origins, targets, down_us=down_us, up_us=up_us)


def _end(table: TomlTable, at_us: int) -> int:
    until_us = required_time_us(table, "until_s")
    if until_us < at_us:
        raise table.wrong("until_s", "must not be before at_s")
    return until_us


def _milliseconds(table: TomlTable, name: str, default: float) -> int:
    return int(table.number(name, default, maximum=MAX_DELAY_MS) * US_PER_MS)


def required_time_us(table: TomlTable, name: str, least: float = 0.0) -> int:
    """Take a time in seconds that has to be there, as microseconds. Raises the table's error."""
    return int(table.number(name, minimum=least, maximum=MAX_DURATION_S) * US_PER_S)


def _member(table: TomlTable, members: int) -> frozenset[int]:
    return frozenset((table.whole("member", maximum=members - 1),))
