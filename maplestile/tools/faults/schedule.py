"""Fault schedules for the model and the relay, decoded from TOML tables; this module does no I/O.

    seed = 7
    members = 5                  # 2 to 2000; the members are numbered from 0

    [net]                        # properties of every link, at all times
    loss = 0.05                  # the probability that a datagram is lost
    delay_ms = 0.5               # one way, plus exponential jitter with the mean `jitter_ms`
    jitter_ms = 1.0
    duplicate = 0.01             # the probability that a datagram arrives twice
    reorder = 0.01               # the probability of an extra delay of `reorder_ms`, which causes reordering
    reorder_ms = 20

    [[kill]]                     # the member's process is killed, as by SIGKILL
    at_s = 30
    member = 4

    [[pause]]                    # the member's process is stopped and continued, as by SIGSTOP and SIGCONT
    at_s = 40
    for_s = 3
    member = 3

    [[split]]                    # nothing passes between the sides; all unlisted members form one more side
    at_s = 60
    until_s = 80
    sides = [[0, 1], [2, 3, 4]]

    [[cut]]                      # nothing passes from some members to others; the reverse direction is open
    at_s = 10
    until_s = 20
    from = [0]
    to = [1]

    [[flap]]                     # the links between two groups alternate between down and up, first down
    at_s = 10
    until_s = 40
    from = [0]
    to = [1, 2]
    down_s = 0.5
    up_s = 1.5

An invalid table raises `ScheduleError`, which names the field: `kill[2].at_s: must be a number`.
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
MIN_FLAP_S = 1e-3  # the shortest time for which a flapping link may be down, or up
FOREVER_US = int(MAX_DURATION_S * US_PER_S)


class ScheduleError(ConfigError):
    """Raised for an invalid schedule; the text names the field."""


class FaultKind(StrEnum):
    """The kind of a fault; the value is the name of its table in a file."""

    KILL = "kill"
    PAUSE = "pause"
    SPLIT = "split"
    CUT = "cut"
    FLAP = "flap"


@dataclass(slots=True, frozen=True)
class Net:
    """The properties of every link: probabilities from 0 to 1, and times in microseconds."""

    loss: float = 0.0
    delay_us: int = 500
    jitter_us: int = 1000
    duplicate: float = 0.0
    reorder: float = 0.0
    reorder_us: int = 20_000


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault of a schedule."""

    kind: FaultKind
    at_us: int  # start of the fault
    until_us: int  # end of a pause, split, cut or flap; `FOREVER_US` for a kill
    members: frozenset[int] = frozenset()  # members killed or paused, or at the origin of a cut or flap
    others: frozenset[int] = frozenset()  # members at the target of a cut or flap
    sides: tuple[frozenset[int], ...] = ()  # the listed sides of a split
    down_us: int = 0  # time for which a flapping link is down
    up_us: int = 0  # time for which a flapping link is up

    def side(self, member: int) -> int:
        """Return the index of a member's side of a split; all unlisted members share the last index."""
        for number, side in enumerate(self.sides):
            if member in side:
                return number
        return len(self.sides)

    def cuts(self, origin: int, target: int, now_us: int) -> bool:
        """Return whether this fault cuts the link from `origin` to `target` at `now_us`."""
        if not self.at_us <= now_us < self.until_us:
            return False
        match self.kind:
            case FaultKind.SPLIT:
                return self.side(origin) != self.side(target)
            case FaultKind.CUT:
                return self._includes_link(origin, target)
            case FaultKind.FLAP:
                is_flapping_link = self._includes_link(origin, target) or self._includes_link(target, origin)
                return is_flapping_link and self._is_down(now_us)
        return False

    def _includes_link(self, origin: int, target: int) -> bool:
        return origin in self.members and target in self.others

    def _is_down(self, now_us: int) -> bool:
        return (now_us - self.at_us) % (self.down_us + self.up_us) < self.down_us


@dataclass(slots=True, frozen=True)
class Schedule:
    """The faults among a number of members, and the properties of their network."""

    seed: int
    members: int
    net: Net = Net()
    faults: tuple[Fault, ...] = ()

    def is_cut(self, origin: int, target: int, now_us: int) -> bool:
        """Return whether any fault cuts the link from `origin` to `target` at `now_us`."""
        return any(fault.cuts(origin, target, now_us) for fault in self.faults)

    def delivery_delays_us(
        self, origin: int, target: int, now_us: int, generator: random.Random
    ) -> tuple[int, ...]:
        """Draw the one-way delays of a datagram that is sent now, in microseconds.

        There is none if the datagram is lost, and there are two if it is duplicated.
        """
        net = self.net
        if generator.random() < net.loss or self.is_cut(origin, target, now_us):
            return ()
        delays = [self.delay_us(generator)]
        if net.reorder and generator.random() < net.reorder:
            delays[0] += net.reorder_us
        if net.duplicate and generator.random() < net.duplicate:
            delays.append(self.delay_us(generator))
        return tuple(delays)

    def delay_us(self, generator: random.Random) -> int:
        """Draw the one-way delay of a datagram, in microseconds."""
        return self.net.delay_us + int(generator.expovariate(1.0) * self.net.jitter_us)


def schedule_from(top: TomlTable) -> Schedule:
    """Decode the fields of a schedule and remove them from `top`; the other fields are left for the caller.

    Raises `ScheduleError`, which names the field.
    """
    members = top.integer("members", minimum=2, maximum=MAX_MEMBERS)
    seed = top.integer("seed", maximum=MAX_SEED)
    net = _decode_net(top.table("net"))
    faults = [
        _decode_fault(kind, table, members)
        for kind in FaultKind
        for table in top.tables(kind.value, needed=False)
    ]
    return Schedule(seed, members, net, tuple(sorted(faults, key=lambda fault: fault.at_us)))


def _decode_net(table: TomlTable) -> Net:
    net = Net(
        loss=table.number("loss", 0.0, maximum=1.0),
        delay_us=_optional_time_us(table, "delay_ms", 0.5),
        jitter_us=_optional_time_us(table, "jitter_ms", 1.0),
        duplicate=table.number("duplicate", 0.0, maximum=1.0),
        reorder=table.number("reorder", 0.0, maximum=1.0),
        reorder_us=_optional_time_us(table, "reorder_ms", 20.0),
    )
    table.reject_unknown_fields()
    return net


def _decode_fault(kind: FaultKind, table: TomlTable, members: int) -> Fault:
    at_us = required_time_us(table, "at_s")
    match kind:
        case FaultKind.KILL:
            fault = Fault(kind, at_us, FOREVER_US, _decode_member(table, members))
        case FaultKind.PAUSE:
            fault = Fault(
                kind, at_us, at_us + required_time_us(table, "for_s"), _decode_member(table, members)
            )
        case FaultKind.SPLIT:
            until_us = _decode_end_us(table, at_us)
            sides = tuple(frozenset(side) for side in table.index_lists("sides", members))
            fault = Fault(kind, at_us, until_us, sides=sides)
        case _:
            fault = _decode_link_fault(kind, table, at_us, members)
    table.reject_unknown_fields()
    return fault


def _decode_link_fault(kind: FaultKind, table: TomlTable, at_us: int, members: int) -> Fault:
    """Decode a cut or a flap."""
    until_us = _decode_end_us(table, at_us)
    origins = frozenset(table.indexes("from", members))
    targets = frozenset(table.indexes("to", members))
    if kind is FaultKind.CUT:
        return Fault(kind, at_us, until_us, origins, targets)
    down_us = required_time_us(table, "down_s", MIN_FLAP_S)
    up_us = required_time_us(table, "up_s", MIN_FLAP_S)
    return Fault(kind, at_us, until_us, origins, targets, down_us=down_us, up_us=up_us)


def _decode_end_us(table: TomlTable, at_us: int) -> int:
    until_us = required_time_us(table, "until_s")
    if until_us < at_us:
        raise table.field_error("until_s", "must not be before at_s")
    return until_us


def _optional_time_us(table: TomlTable, name: str, default: float) -> int:
    return int(table.number(name, default, maximum=MAX_DELAY_MS) * US_PER_MS)


def required_time_us(table: TomlTable, name: str, minimum_s: float = 0.0) -> int:
    """Decode a required time in seconds, and return it in microseconds. Raises the table's error."""
    return int(table.number(name, minimum=minimum_s, maximum=MAX_DURATION_S) * US_PER_S)


def _decode_member(table: TomlTable, members: int) -> frozenset[int]:
    return frozenset((table.integer("member", maximum=members - 1),))
