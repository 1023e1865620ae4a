"""Simulate the episodes of a generated trace: drains, crashes, faults, overload and policy changes."""

from collections.abc import Callable
from dataclasses import replace

from maplestile.dispatch import api
from tests.trace_environment import EPISODE_GAP_US, Environment
from tests.trace_variants import CLASSES, MS
from tests.trace_workers import ZONES, SimulatedWorker


class Episodes:
    """A generator of random episodes at random intervals."""

    def __init__(self, environment: Environment) -> None:
        self.simulation = environment.simulation
        self.workers = environment.workers

    def change_state(self, worker: SimulatedWorker, state: api.WorkerState, started_us: int) -> None:
        """Change a worker's state in the worker list, and pass the change to the dispatcher."""
        worker.entry = replace(worker.entry, state=state, started_us=started_us)
        self.workers.list_version += 1
        self.simulation.give(
            api.WorkerListReceived(api.ListKind.DELTA, self.workers.list_version, (worker.entry,))
        )

    def start_one(self) -> None:
        """Start an episode, and schedule the next one."""
        self.simulation.after(self.simulation.around(EPISODE_GAP_US), self.start_one)
        worker = self.simulation.random.choice(list(self.workers.by_name.values()))
        episodes: tuple[tuple[int, Callable[[], None]], ...] = (
            (20, lambda: self.drain(worker)),
            (20, lambda: self.crash(worker)),
            (15, lambda: self.hang(worker)),
            (15, lambda: self.slow(worker)),
            (15, lambda: self.fail(worker)),
            (6, lambda: self.lose_zones(1)),
            (2, lambda: self.lose_zones(ZONES)),
            (10, self.repeat_list),
            (6, self.overload),
            (6, self.change_policy),
            (4, lambda: self.simulation.give(api.PeerMessage(1, b"hello"))),
            (10, lambda: self.break_connection(worker)),
        )
        weights = [weight for weight, _ in episodes]
        self.simulation.random.choices([start for _, start in episodes], weights)[0]()

    def drain(self, worker: SimulatedWorker) -> None:
        """Drain a worker, and end its process some time later."""
        if worker.down or worker.entry.state is not api.WorkerState.RUNNING:
            return
        self.change_state(worker, api.WorkerState.DRAINING, worker.entry.started_us)
        self.simulation.after(self.simulation.around(1_500 * MS), lambda: self.end_process(worker))

    def end_process(self, worker: SimulatedWorker) -> None:
        """End a worker's process, remove the worker from the list, and start a new process later."""
        worker.down = True
        worker.loaded.clear()
        self.change_state(worker, api.WorkerState.GONE, worker.entry.started_us)
        self.simulation.after(self.simulation.around(2_000 * MS), lambda: self.start_process(worker))

    def start_process(self, worker: SimulatedWorker) -> None:
        """Start a new healthy process of a worker."""
        worker.down = False
        worker.hangs_until_us = worker.slow_until_us = worker.fails_until_us = 0
        self.change_state(worker, api.WorkerState.RUNNING, self.simulation.now_us)

    def crash(self, worker: SimulatedWorker) -> None:
        """End a worker's process without a drain."""
        if worker.down or worker.entry.state is not api.WorkerState.RUNNING:
            return
        worker.down = True
        worker.loaded.clear()
        self.break_connection(worker)
        if self.simulation.chance(0.5):  # otherwise it restarts without having left the list
            self.simulation.after(self.simulation.around(300 * MS), lambda: self.end_process(worker))
        else:
            self.simulation.after(self.simulation.around(4_000 * MS), lambda: self.start_process(worker))

    def break_connection(self, worker: SimulatedWorker) -> None:
        """Reset a worker's connection, which ends all attempts on it."""
        name = worker.entry.worker
        for attempt, event in list(self.workers.pending.items()):
            if event.worker == name and self.workers.pending.pop(attempt, None) is not None:
                self.simulation.give(
                    replace(event, result=api.Result.RESET, call_ended=False, elapsed_us=50 * MS)
                )

    def hang(self, worker: SimulatedWorker) -> None:
        """Make a worker unresponsive for a while."""
        worker.hangs_until_us = self.simulation.now_us + self.simulation.around(4_000 * MS)

    def slow(self, worker: SimulatedWorker) -> None:
        """Make a worker slow for a while."""
        worker.slow_until_us = self.simulation.now_us + self.simulation.around(5_000 * MS)

    def fail(self, worker: SimulatedWorker) -> None:
        """Make a worker fail the calls of a random class for a while."""
        worker.fails_until_us = self.simulation.now_us + self.simulation.around(5_000 * MS)
        worker.failing_class = self.simulation.random.choice(CLASSES).name

    def lose_zones(self, count: int) -> None:
        """Make all workers of `count` random zones unresponsive for a while."""
        lost = [f"zone-{number}" for number in self.simulation.random.sample(range(ZONES), count)]
        for worker in self.workers.by_name.values():
            if worker.entry.zone in lost:
                worker.hangs_until_us = self.simulation.now_us + 5_000 * MS

    def repeat_list(self) -> None:
        """Pass the dispatcher a worker list without news, or a failure to fetch one."""
        kind = self.simulation.random.choice((api.ListKind.FULL, api.ListKind.CACHED, api.ListKind.FAILED))
        failed = kind is api.ListKind.FAILED
        self.simulation.give(
            api.WorkerListReceived(kind, 0, ()) if failed else self.workers.complete_list(kind)
        )

    def overload(self) -> None:
        """Make more calls arrive, and each call take longer, for a while."""
        self.simulation.overload_until_us = self.simulation.now_us + 3_000 * MS

    def change_policy(self) -> None:
        """Pass a new policy to the dispatcher, which alternates between two variants of the settings."""
        is_relaxed = self.simulation.settings.epoch % 2 == 0
        factor = 2 if is_relaxed else 1
        classes = tuple(
            replace(call_class, latency_objective_us=call_class.latency_objective_us * factor)
            for call_class in CLASSES
        )
        self.simulation.settings = replace(
            self.simulation.settings,
            classes=classes,
            overload_window_us=(1_000 if is_relaxed else 2_000) * MS,
            max_attempts=5 if is_relaxed else 3,
            epoch=self.simulation.settings.epoch + 1,
        )
        self.simulation.give(api.PolicyChanged(self.simulation.settings))
