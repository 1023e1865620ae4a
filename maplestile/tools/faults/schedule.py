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

from maplestile.common.toml_table import ConfigError, TomlTable

MEMBERS_MOST, DURATION_MOST_S = 2000, 24 * 3600.0
KINDS = ("kill", "pause", "split", "cut", "flap")
FOREVER_US = int(DURATION_MOST_S * 1e6)


class ScheduleError(ConfigError):
    """A schedule that cannot be used; the text names the field."""


@dataclass(slots=True, frozen=True)
class Net:
    """What befalls each datagram on every link; shares from 0 to 1, times in microseconds."""

    loss: float = 0.0
    delay_us: int = 500
    jitter_us: int = 1000
    duplicate: float = 0.0
    reorder: float = 0.0
    reorder_us: int = 20_000


@dataclass(slots=True, frozen=True)
class Fault:
    kind: str  # one of KINDS
    at_us: int
    until_us: int  # the end of a pause, split, cut or flap; a kill has none
    members: frozenset[int] = frozenset()  # killed or paused; of a cut or flap, those it comes from
    others: frozenset[int] = frozenset()  # of a cut or flap, those it goes to
    sides: tuple[frozenset[int], ...] = ()  # of a split
    down_us: int = 0  # of a flap
    up_us: int = 0

    def side(self, member: int) -> int:
        for number, side in enumerate(self.sides):
            if member in side:
                return number
        return len(self.sides)

    def cuts(self, origin: int, target: int, now_us: int) -> bool:
        """Whether nothing passes from `origin` to `target` at that moment, by this fault."""
        if not self.at_us <= now_us < self.until_us:
            return False
        if self.kind == "split":
            return self.side(origin) != self.side(target)
        if self.kind == "cut":
            return origin in self.members and target in self.others
        if self.kind == "flap":
            there = origin in self.members and target in self.others
            back = target in self.members and origin in self.others
            return (there or back) and (now_us - self.at_us) % (self.down_us + self.up_us) < self.down_us
        return False


@dataclass(slots=True, frozen=True)
class Schedule:
    seed: int
    members: int
    net: Net = Net()
    faults: tuple[Fault, ...] = ()

    def cut(self, origin: int, target: int, now_us: int) -> bool:
        return any(fault.cuts(origin, target, now_us) for fault in self.faults)

    def fate(self, origin: int, target: int, now_us: int, chance: random.Random) -> tuple[int, ...]:
        """The delays in microseconds after which a datagram arrives: none where it is lost, two where it
        comes twice."""
        net = self.net
        if chance.random() < net.loss or self.cut(origin, target, now_us):
            return ()
        delays = [self.delay_us(chance)]
        if net.reorder and chance.random() < net.reorder:
            delays[0] += net.reorder_us
        if net.duplicate and chance.random() < net.duplicate:
            delays.append(self.delay_us(chance))
        return tuple(delays)

    def delay_us(self, chance: random.Random) -> int:
        return self.net.delay_us + int(chance.expovariate(1.0) * self.net.jitter_us)


def schedule_from(top: TomlTable) -> Schedule:
    """Takes the schedule's own fields out of `top`, and leaves the others for its caller."""
    members = top.whole("members", least=2, most=MEMBERS_MOST)
    seed, net = top.whole("seed", most=(1 << 63) - 1), top.table("net")
    told = Net(
        loss=net.number("loss", 0.0, most=1.0),
        delay_us=_us(net, "delay_ms", 0.5),
        jitter_us=_us(net, "jitter_ms", 1.0),
        duplicate=net.number("duplicate", 0.0, most=1.0),
        reorder=net.number("reorder", 0.0, most=1.0),
        reorder_us=_us(net, "reorder_ms", 20.0),
    )
    net.end()
    faults = [_fault(kind, table, members) for kind in KINDS for table in top.tables(kind, needed=False)]
    return Schedule(seed, members, told, tuple(sorted(faults, key=lambda fault: fault.at_us)))


def _us(table: TomlTable, name: str, default: float) -> int:
    return int(table.number(name, default, most=60_000) * 1000)


def _fault(kind: str, told: TomlTable, members: int) -> Fault:
    at_us = _seconds(told, "at_s")
    if kind == "kill":
        fault = Fault(kind, at_us, FOREVER_US, _member(told, members))
    elif kind == "pause":
        fault = Fault(kind, at_us, at_us + _seconds(told, "for_s"), _member(told, members))
    else:
        until_us = _seconds(told, "until_s")
        if until_us < at_us:
            raise told.wrong("until_s", "must not be before at_s")
        if kind == "split":
            sides = tuple(frozenset(side) for side in told.groups("sides", members))
            fault = Fault(kind, at_us, until_us, sides=sides)
        else:
            ends = frozenset(told.numbers("from", members)), frozenset(told.numbers("to", members))
            down_us, up_us = (
                (_seconds(told, "down_s", 1e-3), _seconds(told, "up_s", 1e-3)) if kind == "flap" else (0, 0)
            )
            fault = Fault(kind, at_us, until_us, *ends, down_us=down_us, up_us=up_us)
    told.end()
    return fault


def _seconds(told: TomlTable, name: str, least: float = 0.0) -> int:
    return int(told.number(name, least=least, most=DURATION_MOST_S) * 1e6)


def _member(told: TomlTable, members: int) -> frozenset[int]:
    return frozenset((told.whole("member", most=members - 1),))
