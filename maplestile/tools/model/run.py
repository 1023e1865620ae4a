"""The membership model: the `Swim` members that the program ships, on simpy's clock in microseconds.

The model leaves out a member's processing time, the sizes of datagrams, kernel buffers and socket limits (see
`docs/membership.md`). `membership_metrics.py` computes the metrics.
"""

import functools
import random
import statistics
from dataclasses import dataclass, field, replace

import simpy

from maplestile.common.address import Address
from maplestile.membership.events import EventKind, MembershipEvent
from maplestile.membership.health_checks import SharedHealthChecks
from maplestile.membership.messages import Message
from maplestile.membership.swim import Status, Swim
from maplestile.membership.tuning import Tuning
from maplestile.tools.faults.schedule import US_PER_S, Fault, FaultKind
from maplestile.tools.model.experiment import Experiment
from maplestile.tools.model.membership_metrics import (
    Measurements,
    MembershipMetrics,
    compute_metrics,
    is_explained_by_fault,
)
from maplestile.tools.model.report import Metrics, TimeSeries

HOST = "model"  # host part of the members' addresses; nothing is sent over a real network
MAX_INBOX_MESSAGES = 1024  # datagrams kept for a paused member; more are lost, as in a full kernel buffer
SAMPLED_MEMBERS = 64  # approximate number of members in the time series
CONVERGENCE_CHECKS_PER_PERIOD = 4  # after a split has healed
SEED_STRIDE = 1_000_003  # keeps the members' seeds of different runs apart


@dataclass(slots=True)
class Member:
    """A member and the state that its process would have."""

    number: int
    swim: Swim
    checks: SharedHealthChecks | None  # None if the experiment has no shared health checks
    killed: bool = False
    paused_until_us: int = 0
    inbox: list[Message] = field(default_factory=list)  # messages received during a pause
    wake: simpy.Event | None = None  # wakes the member before its next timer; None before the first wait

    def due_us(self) -> int:
        """Return the time at which the member has to act next."""
        due_us = self.swim.due_us()
        check_due_us = self.checks.due_us() if self.checks is not None else None
        return due_us if check_due_us is None else min(due_us, check_due_us)


class MembershipModel:
    """One run of an experiment."""

    def __init__(self, experiment: Experiment) -> None:
        self.experiment = experiment
        self.schedule = experiment.schedule
        self.measurements = Measurements()
        self._env = simpy.Environment()
        self._random = random.Random(self.schedule.seed)
        self._tuning = _tuning_for(experiment)
        self._members = [self._create_member(number) for number in range(self.schedule.members)]

    @property
    def _now_us(self) -> int:
        return int(self._env.now)  # exact, since every delay is a whole number of microseconds

    def _create_member(self, number: int) -> Member:
        name = f"m{number}"
        checks = None
        if self.experiment.health_check_targets:
            checks = SharedHealthChecks(name, self.experiment.period_us)
        seed = self.schedule.seed * SEED_STRIDE + number
        return Member(number, Swim(name, (HOST, number), self._tuning, seed, 0, checks), checks)

    def run(self) -> MembershipMetrics:
        """Run the experiment to its end and return its metrics."""
        self._introduce_members()
        for fault in self.schedule.faults:
            self._env.process(self._play_fault(fault))
        self._env.process(self._sample_time_series())
        self._env.run(until=self.experiment.duration_us)
        live_members = [member.number for member in self._live_members()]
        return compute_metrics(self.experiment, self.measurements, live_members)

    def _introduce_members(self) -> None:
        """Make all members known to each other at the start, since joins are not measured."""
        everyone: list[tuple[str, Address]] = [
            (f"m{member.number}", (HOST, member.number)) for member in self._members
        ]
        targets = [f"duty-{number}" for number in range(self.experiment.health_check_targets)]
        for member in self._members:
            member.swim.add_known(everyone)
            if member.checks is not None:
                member.checks.set_runners(targets)
                member.checks.set_view(member.swim.live(), member.swim.agreed, False)
            self._env.process(self._run_member(member))

    def _live_members(self) -> list[Member]:
        return [member for member in self._members if not member.killed]

    # Members and the network.

    def _run_member(self, member: Member) -> simpy.events.ProcessGenerator:
        self._flush_output(member)
        while not member.killed:
            member.wake = self._env.event()
            yield self._env.timeout(max(0, member.due_us() - self._now_us)) | member.wake
            if member.killed:
                return
            if member.paused_until_us > self._now_us:
                yield self._env.timeout(member.paused_until_us - self._now_us)
                self._read_inbox(member)
            member.swim.tick(self._now_us)
            self._flush_output(member)
            self._check_health(member)

    def _read_inbox(self, member: Member) -> None:
        """Deliver the messages that arrived during a pause, after running the timers that are due."""
        inbox, member.inbox = member.inbox, []
        for message in inbox:
            member.swim.tick(self._now_us)
            member.swim.receive(message, self._now_us)

    def _check_health(self, member: Member) -> None:
        """Make the member's shared health checks that are due; each succeeds at once."""
        if member.checks is None:
            return
        for target in member.checks.due(self._now_us):
            member.checks.record_result(target, True)
            self.measurements.record_check(target, self._now_us)

    def _flush_output(self, member: Member) -> None:
        """Send the member's pending messages and measure its pending events."""
        swim = member.swim
        for address, message in swim.outbox:
            self._send(member.number, address[1], message)
        swim.outbox.clear()
        for event in swim.events:
            self._measure_event(member.number, event)
        swim.events.clear()
        swim.faults.clear()

    def _send(self, origin: int, target: int, message: Message) -> None:
        self.measurements.sent += 1
        for delay_us in self.schedule.delivery_delays_us(origin, target, self._now_us, self._random):
            arrival = self._env.timeout(delay_us)
            arrival.callbacks.append(functools.partial(self._deliver, target, message))

    def _deliver(self, target: int, message: Message, _: object = None) -> None:
        member = self._members[target]
        if member.killed:
            return
        if member.paused_until_us > self._now_us:
            if len(member.inbox) < MAX_INBOX_MESSAGES:
                member.inbox.append(message)
            return
        member.swim.receive(message, self._now_us)
        self._flush_output(member)
        if member.wake is not None and not member.wake.triggered:
            member.wake.succeed()

    def _play_fault(self, fault: Fault) -> simpy.events.ProcessGenerator:
        yield self._env.timeout(fault.at_us)
        for number in fault.members:
            member = self._members[number]
            if fault.kind is FaultKind.KILL:
                member.killed = True
            elif fault.kind is FaultKind.PAUSE:
                member.paused_until_us = fault.until_us
        if fault.kind is FaultKind.SPLIT:
            yield self._env.timeout(max(0, fault.until_us - self._now_us))
            self._env.process(self._measure_convergence(fault.until_us))

    # Measurements.

    def _measure_event(self, observer: int, event: MembershipEvent) -> None:
        if event.kind in (EventKind.ISOLATED, EventKind.HEALED):
            self.measurements.record_isolation(observer, event.kind == EventKind.ISOLATED)
        elif event.kind == EventKind.CONFIRM:
            member = int(str(event.fields["member"])[1:])
            self.measurements.confirmed_us.setdefault((observer, member), self._now_us)
            if not is_explained_by_fault(self.schedule, self._tuning, observer, member, self._now_us):
                self.measurements.false_positives += 1

    def _sample_time_series(self) -> simpy.events.ProcessGenerator:
        """Add one value per period to the time series."""
        sampled = self._members[:: max(1, len(self._members) // SAMPLED_MEMBERS)]
        series = self.measurements.series
        while True:
            yield self._env.timeout(self.experiment.period_us)
            live = [member.swim for member in sampled if not member.killed]
            series.at_s.append(self._now_us / US_PER_S)
            series.view.append(_mean([len(swim.live()) for swim in live]))
            series.suspects.append(_mean([_count_with_status(swim, Status.SUSPECT) for swim in live]))
            series.isolated.append(self.measurements.isolated)

    def _measure_convergence(self, healed_us: int) -> simpy.events.ProcessGenerator:
        """Measure the time from the healing until every live member sees exactly the live members."""
        while True:
            live_members = self._live_members()
            names = sorted(f"m{member.number}" for member in live_members)
            if all(member.swim.live() == names and not member.swim.isolated for member in live_members):
                self.measurements.converged_us.append(self._now_us - healed_us)
                return
            yield self._env.timeout(self.experiment.period_us // CONVERGENCE_CHECKS_PER_PERIOD)


def _tuning_for(experiment: Experiment) -> Tuning:
    tuning = replace(Tuning(), period_us=experiment.period_us, lifeguard=experiment.lifeguard)
    return replace(tuning, ack_us=min(tuning.ack_us, experiment.period_us * 2 // 5))


def _count_with_status(swim: Swim, status: Status) -> int:
    return sum(1 for member in swim.members.values() if member.status is status)


def _mean(values: list[int]) -> float:
    return statistics.fmean(values) if values else 0.0


def run(experiment: Experiment) -> tuple[MembershipMetrics, TimeSeries]:
    """Run an experiment and return its metrics and its time series."""
    model = MembershipModel(experiment)
    return model.run(), model.measurements.series


def measure(experiment: Experiment) -> Metrics:
    """Run an experiment and return its metrics by name."""
    return run(experiment)[0].by_name()


def with_seeds(experiment: Experiment, count: int) -> list[Experiment]:
    """Return `count` copies of the experiment with consecutive seeds, starting at its own."""
    schedule = experiment.schedule
    schedules = (replace(schedule, seed=schedule.seed + offset) for offset in range(count))
    return [replace(experiment, schedule=seeded) for seeded in schedules]
