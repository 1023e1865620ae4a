"""When the next step of a rollout may start, and when a rollout halts by itself. Free of I/O.

The leader's driver hands in what it sees, with its own monotonic time in microseconds, and submits what comes
back to the log, where `state.Control` judges it once more. A leader that has just been elected starts with an
empty `Watcher`: it waits until it has heard of every instance before it grants anything."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from maplestile.control.state import Command, Control, Phase, Stage


@dataclass(slots=True, frozen=True)
class Rules:
    """What an operator's file may set; times in microseconds."""

    fresh_us: int = 2_000_000  # what was heard of an instance is worth something for so long
    settle_us: int = 1_000_000  # after a step, so that the health of what was released can be seen
    outage_us: int = 3_000_000  # more out than the budget for so long halts the rollout
    step_us: int = 60_000_000  # a step that takes longer halts the rollout
    grace_us: int = 5_000_000  # a new leader waits so long at most for word of every instance
    calls_least: int = 20  # fewer say nothing of an instance's health
    failed_most: float = 0.1  # share of failed calls of a released instance over which the rollout halts


@dataclass(slots=True, frozen=True)
class Word:
    """What an agent tells of one instance: whether it can serve, and its calls since its start."""

    ready: bool
    served: int = 0
    failed: int = 0


@dataclass(slots=True)
class Heard:
    word: Word
    at_us: int


@dataclass(slots=True)
class Watcher:
    """The leader's own memory: when it first saw each lease, and what it heard of each instance and when."""

    rules: Rules
    began_us: int
    heard: dict[str, Heard] = field(default_factory=dict)
    leases: dict[int, int] = field(default_factory=dict)  # number to when it was seen first
    released: dict[str, Word] = field(default_factory=dict)  # calls of an instance when its step ended
    ended_us: int = 0
    over_us: int = 0  # since when more are out than the budget; 0 if they are not
    done: int = -1

    def hear(self, words: Mapping[str, Word], now_us: int) -> None:
        for name, word in words.items():
            self.heard[name] = Heard(word, now_us)

    def down(self, control: Control, kind: str, members_out: frozenset[str], now_us: int) -> list[str]:
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
        self, control: Control, members_out: frozenset[str], term: int, now_us: int
    ) -> Command | None:
        """At most one command: the log answers it before the next is thought of."""
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
            return {"do": "halt", "rollout": rollout.number, "reason": reason}
        step = control.next_step()
        if step is None or now_us - self.ended_us < self.rules.settle_us:
            return None
        # One already out, by its own lease or by an outage, takes up no more of the budget by its step.
        counted = {*control.out(rollout.kind), *down, step[0]}
        if len(counted) > rollout.budget:
            return None
        return {"do": "grant", "rollout": rollout.number, "instance": step[0], "down": down,
                "after": control.number, "term": term}  # fmt: skip

    def _follow(self, control: Control, now_us: int) -> None:
        numbers = {lease.number for lease in control.leases.values()}
        self.leases = {n: self.leases.get(n, now_us) for n in numbers}
        rollout = control.rollout
        done = len(rollout.done) + len(rollout.undone) if rollout is not None else 0
        if done != self.done:
            self.done, self.ended_us = done, now_us
            ended = rollout.done[-1:] if rollout is not None else []
            for name in ended:
                heard = self.heard.get(name)
                self.released[name] = heard.word if heard is not None else Word(False)
        if rollout is None or rollout.phase not in (Phase.RUNNING, Phase.HALTED):
            self.released = {}

    def _ailing(self, control: Control, down: list[str], out: int, now_us: int) -> str:
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
