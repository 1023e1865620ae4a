"""When the next step of a rollout may start, and when a rollout halts by itself. Free of I/O.

The leader's driver hands in what it sees, with its own monotonic time in microseconds, and submits what comes
back to the log, where `state.ControlState` judges it once more. A newly elected leader starts with
an empty `RolloutPlanner`: it waits until it has heard of every instance before it grants anything."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from maplestile.control.commands import EncodedCommand, GrantLease, HaltRollout, HealthReport, encode
from maplestile.control.state import ControlState, Phase, Stage

__all__ = ["HealthReport", "RolloutPlanner", "Rules"]


@dataclass(slots=True, frozen=True)
class Rules:
    """What an operator's file may set; times in microseconds."""

    fresh_us: int = 2_000_000  # what was heard of an instance is worth something for so long
    settle_us: int = 1_000_000  # one that is back counts as out so long: its health is yet to be seen
    outage_us: int = 3_000_000  # more out than the budget for so long halts the rollout
    step_us: int = 60_000_000  # a step that takes longer halts the rollout
    grace_us: int = 5_000_000  # a new leader waits so long at most for word of every instance
    calls_least: int = 20  # fewer say nothing of an instance's health
    failed_most: float = 0.1  # share of failed calls of a released instance over which the rollout halts


@dataclass(slots=True)
class Heard:
    word: HealthReport
    at_us: int


@dataclass(slots=True)
class RolloutPlanner:
    """The leader's own memory: when it first saw each lease, and what it heard of each instance and when."""

    rules: Rules
    began_us: int
    heard: dict[str, Heard] = field(default_factory=dict)
    leases: dict[int, int] = field(default_factory=dict)  # number to when it was seen first
    released: dict[str, HealthReport] = field(
        default_factory=dict
    )  # calls of an instance when its step ended
    resting: dict[str, int] = field(default_factory=dict)  # those whose steps ended of late, and when
    ended: tuple[int, int, int] = (0, 0, 0)  # the rollout, and how many of its done and undone were seen
    over_us: int = 0  # since when more are out than the budget; 0 if they are not

    def hear(self, words: Mapping[str, HealthReport], now_us: int) -> None:
        for name, word in words.items():
            self.heard[name] = Heard(word, now_us)

    def down(self, control: ControlState, kind: str, members_out: frozenset[str], now_us: int) -> list[str]:
        """Those out without a lease. Instances: not ready, not heard of lately, or out by membership.
        Runners: those that their owners among the routers find silent (`members_out` holds them, too)."""
        if kind == "runners":
            return [name for name in control.runners if name not in control.leases and name in members_out]
        unleased = (name for name in sorted(control.instances) if name not in control.leases)
        return [name for name in unleased if name in members_out or not self._serves(name, now_us)]

    def _serves(self, name: str, now_us: int) -> bool:
        heard = self.heard.get(name)
        return heard is not None and heard.word.ready and now_us - heard.at_us <= self.rules.fresh_us

    def decide(
        self, control: ControlState, members_out: frozenset[str], term: int, now_us: int
    ) -> EncodedCommand | None:
        """The wire form of `next_command`."""
        command = self.next_command(control, members_out, term, now_us)
        return None if command is None else encode(command)

    def next_command(
        self, control: ControlState, members_out: frozenset[str], term: int, now_us: int
    ) -> GrantLease | HaltRollout | None:
        """At most one command: the log answers it before the next is decided on."""
        rollout = control.rollout
        self._follow(control, now_us)
        if rollout is None or rollout.phase not in (Phase.RUNNING, Phase.UNDOING):
            return None
        known = all(name in self.heard for name in control.instances)
        if not known and now_us - self.began_us < self.rules.grace_us:
            return None  # a new leader: what it has not heard of yet must not pass for lost
        down = self.down(control, rollout.kind, members_out, now_us)
        out = len(control.out(rollout.kind)) + len(down)
        if (reason := self._ailing(control, down, out, now_us)) and rollout.phase is Phase.RUNNING:
            return HaltRollout(rollout=rollout.number, reason=reason)
        step = control.next_step()
        if step is None:
            return None
        # One already out, by its own lease or by an outage, takes up no more of the budget by its step.
        counted = {*control.out(rollout.kind), *down, *self.resting, step.instance}
        if len(counted) > rollout.budget:
            return None
        return GrantLease(
            rollout=rollout.number, instance=step.instance, down=tuple(down), after=control.number, term=term
        )

    def _follow(self, control: ControlState, now_us: int) -> None:
        numbers = {lease.number for lease in control.leases.values()}
        self.leases = {n: self.leases.get(n, now_us) for n in numbers}
        rollout = control.rollout
        number, done, undone = self.ended
        if rollout is not None and number != rollout.number:
            # A new leader does not know when they ended: as many as may be out at once count as the last.
            done, undone = (max(0, len(one) - rollout.budget) for one in (rollout.done, rollout.undone))
        if rollout is not None:
            for name in (*rollout.done[done:], *rollout.undone[undone:]):
                self.resting[name] = now_us
            for name in rollout.done[done:]:
                heard = self.heard.get(name)
                self.released[name] = heard.word if heard is not None else HealthReport(False)
            self.ended = rollout.number, len(rollout.done), len(rollout.undone)
        self.resting = {n: at for n, at in self.resting.items() if now_us - at < self.rules.settle_us}
        if rollout is None or rollout.phase not in (Phase.RUNNING, Phase.HALTED):
            self.released = {}

    def _ailing(self, control: ControlState, down: list[str], out: int, now_us: int) -> str:
        """Why the rollout has to halt; empty if it need not."""
        rollout = control.rollout
        assert rollout is not None
        # One that is just back may still be out in the eyes of others: an excess has to last. No step is
        # granted meanwhile.
        self.over_us = (self.over_us or now_us) if down and out > rollout.budget else 0
        if self.over_us and now_us - self.over_us >= self.rules.outage_us:
            return f"{out} out and the budget is {rollout.budget}: {', '.join(down)} without a step"
        for lease in control.leases.values():
            since_us = now_us - self.leases[lease.number]
            if lease.stage is not Stage.OUT and since_us > self.rules.step_us:
                return f"the step of {lease.instance} takes over {self.rules.step_us // 1_000_000} s"
        for name, before in self.released.items():
            heard = self.heard.get(name)
            if heard is None or name in control.leases:
                continue
            served, failed = heard.word.served, heard.word.failed
            if served + failed >= before.served + before.failed:  # the same process: count what came since
                served, failed = served - before.served, failed - before.failed
            calls = served + failed
            if calls >= self.rules.calls_least and failed > self.rules.failed_most * calls:
                return f"{name} fails {failed} of {calls} calls since its release"
        return ""
