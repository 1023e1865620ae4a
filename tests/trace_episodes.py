"""What happens to the fleet of a generated trace: drains, crashes, faults, overload and changes of policy."""

from collections.abc import Callable
from dataclasses import replace

from maplestile.dispatch import api
from tests.trace_environment import EPISODE_GAP_US, ZONES, Environment, Machine
from tests.trace_variants import CLASSES, MS


class Episodes:
    """Starts a random episode at random intervals."""

    def __init__(self, environment: Environment) -> None:
        self.environment = environment

    def announce(self, machine: Machine, state: api.WorkerState, started_us: int) -> None:
        machine.entry = replace(machine.entry, state=state, started_us=started_us)
        self.environment.list_version += 1
        self.environment.give(
            api.WorkerListReceived(api.ListKind.DELTA, self.environment.list_version, (machine.entry,))
        )

    def start_one(self) -> None:
        self.environment.after(self.environment.around(EPISODE_GAP_US), self.start_one)
        machine = self.environment.random.choice(list(self.environment.machines.values()))
        episodes: tuple[tuple[int, Callable[[], None]], ...] = (
            (20, lambda: self.drain(machine)),
            (20, lambda: self.crash(machine)),
            (15, lambda: self.hang(machine)),
            (15, lambda: self.slow(machine)),
            (15, lambda: self.fail(machine)),
            (6, lambda: self.lose_zones(1)),
            (2, lambda: self.lose_zones(ZONES)),
            (10, self.list_again),
            (6, self.overload),
            (6, self.change_policy),
            (4, lambda: self.environment.give(api.PeerMessage(1, b"hello"))),
            (10, lambda: self.break_connection(machine)),
        )
        weights = [weight for weight, _ in episodes]
        self.environment.random.choices([start for _, start in episodes], weights)[0]()

    def drain(self, machine: Machine) -> None:
        if machine.down or machine.entry.state is not api.WorkerState.RUNNING:
            return
        self.announce(machine, api.WorkerState.DRAINING, machine.entry.started_us)
        self.environment.after(self.environment.around(1_500 * MS), lambda: self.end_process(machine))

    def end_process(self, machine: Machine) -> None:
        machine.down = True
        machine.loaded.clear()
        self.announce(machine, api.WorkerState.GONE, machine.entry.started_us)
        self.environment.after(self.environment.around(2_000 * MS), lambda: self.come_up(machine))

    def come_up(self, machine: Machine) -> None:
        machine.down = False
        machine.hangs_until_us = machine.slow_until_us = machine.fails_until_us = 0
        self.announce(machine, api.WorkerState.RUNNING, self.environment.now_us)

    def crash(self, machine: Machine) -> None:
        if machine.down or machine.entry.state is not api.WorkerState.RUNNING:
            return
        machine.down = True
        machine.loaded.clear()
        self.break_connection(machine)
        if self.environment.chance(0.5):  # else it is back before it is missed
            self.environment.after(self.environment.around(300 * MS), lambda: self.end_process(machine))
        else:
            self.environment.after(self.environment.around(4_000 * MS), lambda: self.come_up(machine))

    def break_connection(self, machine: Machine) -> None:
        """All that the connection carries ends at once, by a reset."""
        name = machine.entry.worker
        for attempt, event in list(self.environment.pending.items()):
            if event.worker == name and self.environment.pending.pop(attempt, None) is not None:
                self.environment.give(
                    replace(event, result=api.Result.RESET, call_ended=False, elapsed_us=50 * MS)
                )

    def hang(self, machine: Machine) -> None:
        machine.hangs_until_us = self.environment.now_us + self.environment.around(4_000 * MS)

    def slow(self, machine: Machine) -> None:
        machine.slow_until_us = self.environment.now_us + self.environment.around(5_000 * MS)

    def fail(self, machine: Machine) -> None:
        machine.fails_until_us = self.environment.now_us + self.environment.around(5_000 * MS)
        machine.failing_class = self.environment.random.choice(CLASSES).name

    def lose_zones(self, count: int) -> None:
        lost = [f"zone-{number}" for number in self.environment.random.sample(range(ZONES), count)]
        for machine in self.environment.machines.values():
            if machine.entry.zone in lost:
                machine.hangs_until_us = self.environment.now_us + 5_000 * MS

    def list_again(self) -> None:
        kind = self.environment.random.choice((api.ListKind.FULL, api.ListKind.CACHED, api.ListKind.FAILED))
        failed = kind is api.ListKind.FAILED
        self.environment.give(
            api.WorkerListReceived(kind, 0, ()) if failed else self.environment.whole_list(kind)
        )

    def overload(self) -> None:
        self.environment.overload_until_us = self.environment.now_us + 3_000 * MS

    def change_policy(self) -> None:
        longer = self.environment.settings.epoch % 2 == 0
        factor = 2 if longer else 1
        classes = tuple(
            replace(call_class, latency_objective_us=call_class.latency_objective_us * factor)
            for call_class in CLASSES
        )
        self.environment.settings = replace(
            self.environment.settings,
            classes=classes,
            overload_window_us=(1_000 if longer else 2_000) * MS,
            max_attempts=5 if longer else 3,
            epoch=self.environment.settings.epoch + 1,
        )
        self.environment.give(api.PolicyChanged(self.environment.settings))
