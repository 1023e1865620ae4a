"""The workers of a simulation, as the endpoint list shows them."""

from maplestile.common.address import Address
from maplestile.dispatch.api import WorkerEntry, WorkerState
from maplestile.tools.dispatcher_settings import US_PER_MS
from maplestile.tools.explore import scenario
from maplestile.tools.explore.cases import Case
from maplestile.tools.explore.events import EventKind

STATES = {
    EventKind.DRAIN: WorkerState.DRAINING,
    EventKind.GONE: WorkerState.GONE,
    EventKind.RETURN: WorkerState.RUNNING,
}
FIRST_PORT = 9000
WARM_AGE_US = 20_000 * US_PER_MS  # age of the workers at the start of a run, past their slow start


class SimulatedWorkers:
    """The state of each worker, by name, and the time at which it became unavailable."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self.incarnations = {f"w{number}": 0 for number in range(case.workers)}
        self.states = dict.fromkeys(self.incarnations, WorkerState.RUNNING)
        self.unavailable_since_us: dict[str, int] = {}  # of workers that are draining or gone

    def apply_event(self, number: int, kind: EventKind, now_us: int) -> None:
        """Make a worker drain, leave the list, or return as a new process at the same address."""
        worker = f"w{number}"
        self.states[worker] = STATES[kind]
        if kind is EventKind.RETURN:
            self.incarnations[worker] += 1
            self.unavailable_since_us.pop(worker, None)
        else:
            self.unavailable_since_us.setdefault(worker, now_us)

    def endpoint_list(self, now_us: int) -> list[tuple[WorkerEntry, Address]]:
        """Return the entries of the endpoint list, with their addresses."""
        return [
            (self._entry(number, worker, now_us), ("127.0.0.1", FIRST_PORT + number))
            for number, worker in enumerate(self.incarnations)
            if self.states[worker] is not WorkerState.GONE
        ]

    def _entry(self, number: int, worker: str, now_us: int) -> WorkerEntry:
        # The initial process of a worker is past its slow start; one that replaced it is not.
        started_us = now_us - 1 if self.incarnations[worker] else scenario.START_US - WARM_AGE_US
        zone = self._case.zones[number]
        cell = self._case.cells[number]
        return WorkerEntry(worker, zone, "k", cell, self.states[worker], 1.0, started_us)
