"""Tests of the slow start of a worker at twenty routers of the real program.

`docs/endings.md` lists the cases.
"""

import contextlib
import time
import unittest
from typing import Any

from tests.standins import Client, NameServer, Worker, params, start_router


class ArrivalTimesWorker(Worker):
    """Records when each call and each load request arrived."""

    def __init__(self) -> None:
        self.arrived_s: list[float] = []  # Unix time
        super().__init__()

    def _answer(self, message: dict[str, Any]) -> dict[str, Any] | bytes | None:
        if message["kind"] in ("CALL", "LOAD"):
            self.arrived_s.append(time.time())
        return super()._answer(message)


class FleetSlowStartTest(unittest.TestCase):
    """The slow-start budget of a new worker, summed over all routers."""

    ROUTERS = 20
    FUNCTIONS = 40
    CALLS_PER_S = 24.0  # 0.6 of the capacity of three workers
    WORKER_CALLS_PER_S = CALLS_PER_S / 0.6 / 3
    JOIN_S = 4.0  # from the start until the cold worker is listed
    END_S = 9.0  # from the start until the last call

    def test_cold_worker_gets_no_more_than_its_budget_from_all_routers(self) -> None:
        """A warm worker drains as a cold one joins: each router reassigns functions and has few calls."""
        self.workers = [Worker(), Worker(), Worker()]
        self.names = NameServer()
        self.names.list_workers(self.workers)
        programs = [
            start_router(self.workers, self.names, instances=self.ROUTERS) for _ in range(self.ROUTERS)
        ]
        for program in programs:
            self.addCleanup(program.kill)
        # Connect once all have started, since a connection that sends nothing for 1.5 s is closed.
        ports = [program.port("platform") for program in programs]
        clients = [Client(port) for port in ports]
        for client in clients:
            self.addCleanup(client.close)
        self.cold = ArrivalTimesWorker()
        joined_s = self.send_calls(clients)
        self.check_budget(joined_s)

    def send_calls(self, clients: list[Client]) -> float:
        """Send calls until `END_S`; return the Unix time at which the cold worker was listed."""
        started_s = time.time()
        joined_s = 0.0
        turn = 0
        while (now_s := time.time()) < started_s + self.END_S:
            if not joined_s and now_s > started_s + self.JOIN_S:
                joined_s = now_s
                self.list_cold_worker(joined_s)
            # An uneven distribution, in which a third of the routers get most of the calls.
            client = clients[turn * turn % self.ROUTERS]
            client.call("review", b"abc", item=f"{turn * 7 % self.FUNCTIONS:016x}")
            with contextlib.suppress(OSError):
                client.read()
            turn += 1
            time.sleep(max(0.0, started_s + turn / self.CALLS_PER_S - time.time()))
        return joined_s

    def list_cold_worker(self, joined_s: float) -> None:
        """Publish the second list: the last warm worker drains, and the cold one has just started."""
        self.names.workers = [
            ("s-0", self.workers[0].port, 0),
            ("s-1", self.workers[1].port, 0),
            ("s-2", self.workers[2].port, 1),
            ("cold", self.cold.port, 0),
        ]
        self.names.started = {"cold": int(joined_s * 1000)}
        self.names.serial = 2

    def check_budget(self, joined_s: float) -> None:
        """Check that no overload window has more calls than the worker's budget at its age allows."""
        guarantees = params()["guarantees"]
        span_s = guarantees["overloadForUs"] / 1e6
        slow_start_s = guarantees["coldUs"] / 1e6
        for at_s in self.cold.arrived_s:
            age_s = max(0.0, at_s - span_s - joined_s)
            share = guarantees["startCapacity"] + (1 - guarantees["startCapacity"]) * age_s / slow_start_s
            budget = guarantees["fallMultiple"] * share * self.WORKER_CALLS_PER_S * span_s
            count = sum(at_s - span_s < other_s <= at_s for other_s in self.cold.arrived_s)
            self.assertLessEqual(count, budget + 2 * budget**0.5 + 2)
