"""The model's run: the members' `Swim` machines, as the program ships them, on simpy's clock (microseconds).

What it leaves out is on `docs/membership.md`: a member's own processing time, the sizes of datagrams, the
system's buffers, and any limit on a socket. The figures come out of `run` as a flat, ordered dict."""

import functools
import random
import statistics
from dataclasses import dataclass, field, replace

import simpy

from maplestile.common.address import Address
from maplestile.membership.health_checks import SharedHealthChecks
from maplestile.membership.messages import Message
from maplestile.membership.swim import Status, Swim
from maplestile.membership.tuning import Tuning
from maplestile.tools.faults.schedule import Fault
from maplestile.tools.model.experiment import Experiment

Figures = dict[str, float | None]
HOST = "model"  # members' addresses are (HOST, number): nothing is sent anywhere
INBOX_MOST = 1024  # datagrams a paused member's socket keeps; the rest are lost, as in the system's buffer
SAMPLED = 64  # members looked at each period for the course of the run


@dataclass(slots=True)
class Member:
    number: int
    swim: Swim
    watch: SharedHealthChecks | None
    killed: bool = False
    paused_until_us: int = 0
    inbox: list[Message] = field(default_factory=list)
    wake: simpy.Event | None = None


@dataclass(slots=True)
class Course:
    """One row a period: time, mean size of the view of the sampled members, suspects seen, isolated."""

    at_s: list[float] = field(default_factory=list)
    view: list[float] = field(default_factory=list)
    suspects: list[float] = field(default_factory=list)
    isolated: list[int] = field(default_factory=list)


class Model:
    def __init__(self, experiment: Experiment) -> None:
        self.experiment, self.schedule = experiment, experiment.schedule
        self.env = simpy.Environment()
        self.random = random.Random(self.schedule.seed)
        self.tuning = replace(Tuning(), period_us=experiment.period_us, lifeguard=experiment.lifeguard)
        self.tuning = replace(self.tuning, ack_us=min(self.tuning.ack_us, experiment.period_us * 2 // 5))
        self.members = [self._member(number) for number in range(self.schedule.members)]
        self.confirmed: dict[tuple[int, int], int] = {}  # (observer, member) to the first time it said dead
        self.false_positives = 0
        self.sent = 0
        self.isolated = 0
        self.ever_isolated: set[int] = set()
        self.course = Course()
        self.probes, self.longest_gap_us = 0, 0
        self.probed_us: dict[str, int] = {}  # when each duty was done last
        self.converged_us: list[int] = []

    @property
    def now(self) -> int:
        return int(self.env.now)  # whole microseconds: every delay given to the engine is whole

    def _member(self, number: int) -> Member:
        name, watch = f"m{number}", None
        if self.experiment.duties:
            watch = SharedHealthChecks(name, self.experiment.period_us)
        seed = self.schedule.seed * 1_000_003 + number
        return Member(number, Swim(name, (HOST, number), self.tuning, seed, 0, watch), watch)

    def run(self) -> dict[str, float | None]:
        everyone: list[tuple[str, Address]] = [(f"m{m.number}", (HOST, m.number)) for m in self.members]
        duties = [f"duty-{number}" for number in range(self.experiment.duties)]
        for member in self.members:  # the group stands at the start: joins are not what is measured
            member.swim.know(everyone)
            if member.watch is not None:
                member.watch.listed(duties)
                member.watch.seen(member.swim.live(), member.swim.agreed, False)
            self.env.process(self._life(member))
        for fault in self.schedule.faults:
            self.env.process(self._fault(fault))
        self.env.process(self._watch())
        self.env.run(until=self.experiment.duration_us)
        return self._figures()

    # Members and the net between them.

    def _life(self, member: Member) -> simpy.events.ProcessGenerator:
        self._flush(member)
        while not member.killed:
            member.wake = self.env.event()
            yield self.env.timeout(max(0, self._due_us(member) - self.now)) | member.wake
            if member.killed:
                return
            if member.paused_until_us > self.now:
                yield self.env.timeout(member.paused_until_us - self.now)
                inbox, member.inbox = member.inbox, []
                for message in inbox:  # what waited in the socket is read after the timers that fired
                    member.swim.tick(self.now)
                    member.swim.receive(message, self.now)
            member.swim.tick(self.now)
            self._flush(member)
            self._probe(member)

    @staticmethod
    def _due_us(member: Member) -> int:
        due_us = member.swim.due_us()
        watched = member.watch.due_us() if member.watch is not None else None
        return due_us if watched is None else min(due_us, watched)

    def _probe(self, member: Member) -> None:
        """The shared duties that are this member's and due; every probe is answered at once."""
        if member.watch is None:
            return
        for duty in member.watch.due(self.now):
            member.watch.ended(duty, True)
            self.probes += 1
            self.longest_gap_us = max(self.longest_gap_us, self.now - self.probed_us.get(duty, self.now))
            self.probed_us[duty] = self.now

    def _flush(self, member: Member) -> None:
        now, swim = self.now, member.swim
        for to, message in swim.outbox:
            self.sent += 1
            for delay in self.schedule.fate(member.number, to[1], now, self.random):
                arrival = self.env.timeout(delay)
                arrival.callbacks.append(functools.partial(self._arrive, to[1], message))
        swim.outbox.clear()
        for kind, told in swim.events:
            self._event(member.number, kind, told, now)
        swim.events.clear()
        swim.faults.clear()

    def _arrive(self, target: int, message: Message, _: object = None) -> None:
        member = self.members[target]
        if member.killed:
            return
        if member.paused_until_us > self.now:
            if len(member.inbox) < INBOX_MOST:
                member.inbox.append(message)
            return
        member.swim.receive(message, self.now)
        self._flush(member)
        if member.wake is not None and not member.wake.triggered:
            member.wake.succeed()

    def _fault(self, fault: Fault) -> simpy.events.ProcessGenerator:
        yield self.env.timeout(fault.at_us)
        for number in fault.members:
            member = self.members[number]
            if fault.kind == "kill":
                member.killed = True
            elif fault.kind == "pause":
                member.paused_until_us = fault.until_us
        if fault.kind == "split":
            yield self.env.timeout(max(0, fault.until_us - self.now))
            self.env.process(self._converge(fault.until_us))

    # What is measured.

    def _event(self, observer: int, kind: str, told: dict[str, object], now_us: int) -> None:
        if kind in ("isolated", "healed"):
            self.isolated += 1 if kind == "isolated" else -1
            self.ever_isolated.add(observer)
            return
        if kind != "confirm":
            return
        member = int(str(told["member"])[1:])
        self.confirmed.setdefault((observer, member), now_us)
        if not self._excused(observer, member, now_us):
            self.false_positives += 1

    def _excused(self, observer: int, member: int, now_us: int) -> bool:
        """Whether a member declared dead had met a fault lately, as that observer sees it."""
        reach_us = self.tuning.suspicion_us(self.schedule.members, 0) * self.tuning.health_most
        for fault in self.schedule.faults:
            if fault.at_us > now_us or fault.until_us + reach_us < now_us:
                continue
            if fault.kind in ("kill", "pause") and member in fault.members:
                return True
            if fault.kind == "split" and fault.side(observer) != fault.side(member):
                return True
            if fault.kind in ("cut", "flap") and {observer, member} & (fault.members | fault.others):
                return True
        return False

    def _watch(self) -> simpy.events.ProcessGenerator:
        sampled = self.members[:: max(1, len(self.members) // SAMPLED)]
        while True:
            yield self.env.timeout(self.experiment.period_us)
            looked = [member.swim for member in sampled if not member.killed]
            self.course.at_s.append(self.now / 1e6)
            self.course.view.append(statistics.fmean(len(swim.live()) for swim in looked) if looked else 0.0)
            suspects = [_count(swim, Status.SUSPECT) for swim in looked]
            self.course.suspects.append(statistics.fmean(suspects) if suspects else 0.0)
            self.course.isolated.append(self.isolated)

    def _converge(self, healed_us: int) -> simpy.events.ProcessGenerator:
        """The time from the healing until every live member sees all live members and nothing else."""
        while True:
            alive = sorted(f"m{member.number}" for member in self.members if not member.killed)
            looking = [member.swim for member in self.members if not member.killed]
            if all(swim.live() == alive and not swim.isolated for swim in looking):
                self.converged_us.append(self.now - healed_us)
                return
            yield self.env.timeout(self.experiment.period_us // 4)

    def _figures(self) -> dict[str, float | None]:
        experiment, schedule, period = self.experiment, self.schedule, self.experiment.period_us
        kills = [fault for fault in schedule.faults if fault.kind == "kill"]
        detection = []
        for fault in kills:
            (victim,) = fault.members
            for member in self.members:
                seen = self.confirmed.get((member.number, victim))
                if not member.killed and seen is not None:
                    detection.append((seen - fault.at_us) / period)
        observers = sum(1 for member in self.members if not member.killed) * len(kills)
        minutes = schedule.members * experiment.duration_us / 60e6
        periods = experiment.duration_us / period
        splits = [fault for fault in schedule.faults if fault.kind == "split"]
        duties = experiment.duties
        told: dict[str, float | None] = {
            "members": schedule.members,
            "seconds": experiment.duration_us / 1e6,
            "lifeguard": int(experiment.lifeguard),
            "loss": schedule.net.loss,
            "detection_median_periods": _quantile(detection, 0.5),
            "detection_p99_periods": _quantile(detection, 0.99),
            "undetected": observers - len(detection),
            "false_positives": self.false_positives,
            "false_positives_per_1000_member_minutes": 1000 * self.false_positives / minutes,
            "messages_per_member_per_period": self.sent / schedule.members / periods,
            "probes_per_duty_per_period": self.probes / duties / periods if duties else None,
            "longest_gap_of_a_duty_periods": self.longest_gap_us / period if duties else None,
            "ever_isolated": len(self.ever_isolated),
            "isolated_at_end": self.isolated,
            "converged_after_heal_s": max(self.converged_us) / 1e6 if self.converged_us else None,
            "not_converged": len(splits) - len(self.converged_us),
        }
        return {key: None if value is None else round(float(value), 6) for key, value in told.items()}


def _count(swim: Swim, status: Status) -> int:
    return sum(1 for member in swim.members.values() if member.status is status)


def _quantile(values: list[float], share: float) -> float | None:
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run(experiment: Experiment) -> tuple[Figures, Course]:
    model = Model(experiment)
    figures = model.run()
    return figures, model.course


def figures(experiment: Experiment) -> Figures:
    return run(experiment)[0]


def with_seeds(experiment: Experiment, count: int) -> list[Experiment]:
    schedule = experiment.schedule
    schedules = (replace(schedule, seed=schedule.seed + n) for n in range(count))
    return [replace(experiment, schedule=one) for one in schedules]
