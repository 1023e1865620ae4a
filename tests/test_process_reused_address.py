"""Tests of real routers: a new worker process at the address of one that has gone is not taken for it."""

import time
import unittest
from typing import Any

from tests.standins import (
    Client,
    NameServer,
    Worker,
    call_lines,
    eventually,
    params,
    reset_on_close,
    start_router,
)

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
CELL, OTHER_CELL = 2, 3
CALLS = 6
SETTLE_S = 0.5


def cell_params() -> dict[str, Any]:
    """Return settings in which the workers of one cell drop repeats of a key."""
    grades = params()["grades"]
    return {"grades": [grade | {"keyScope": "cell"} for grade in grades]}


class ReplacedWorker(Worker):
    """A worker whose process is replaced at its address under a call: connections are reset at once."""

    def __init__(self) -> None:
        self.processes = 1
        self.arrived_at = dict[str, set[int]]()  # by call, the processes that it arrived at
        super().__init__()

    def _answer(self, message: dict[str, Any]) -> dict[str, Any] | bytes | None:
        if message["kind"] == "CALL":
            self.arrived_at.setdefault(message["call"], set()).add(self.processes)
            if message["head"]["class"] == "deck-make" and len(self.arrived_at[message["call"]]) == 1:
                self.processes += 1
                for peer in self.open:
                    reset_on_close(peer)
                    peer.close()
                self.open.clear()
                return None
        return super()._answer(message)


class ReusedAddressTest(unittest.TestCase):
    """The name server tells of the new process later, or at once."""

    def setUp(self) -> None:
        self.names = NameServer()
        self.addCleanup(self.names.socket.close)

    def start(self, *workers: Worker) -> None:
        self.program = start_router(workers, self.names, **cell_params())
        self.addCleanup(self.program.kill)
        self.client = Client(self.program.port("platform"))
        self.addCleanup(self.client.close)

    def test_keyed_call_does_not_go_to_the_address_of_a_worker_that_may_have_gone(self) -> None:
        """Guards against a keyed call that runs again at a process that cannot know its key."""
        worker = ReplacedWorker()
        self.names.list_workers([worker])
        self.start(worker)
        for _ in range(CALLS):
            self.client.call("deck-make", b"x", unique=KEY, limit_ms=1_000)
            self.assertIn("error", self.client.read() or {})
        self.assertEqual([at for at in worker.arrived_at.values() if len(at) > 1], [])

    def test_keyed_call_does_not_go_to_a_new_worker_of_another_cell_at_the_same_address(self) -> None:
        """Guards against taking an address, in place of the worker's id, for its identity."""
        first = Worker()
        self.names.list_workers([first])
        self.start(first)
        self.client.call_until_served("review", b"x")
        self.client.call("deck-make", b"hang", unique=KEY, limit_ms=6_000)
        eventually(lambda: len(call_lines(first)) == 2, "the keyed call to arrive")
        first.die()
        second = Worker(first.port)
        self.names.workers = [("s-9", second.port, 0)]
        self.names.cells["s-9"] = OTHER_CELL
        self.names.serial += 1
        eventually(lambda: self.program.counters().get("lists.taken", 0) >= 2, "the new list")
        other = Client(self.program.port("platform"))
        other.call_until_served("review", b"y")
        time.sleep(SETTLE_S)
        self.assertEqual([line["head"]["class"] for line in call_lines(second)], ["review"])
        other.close()
