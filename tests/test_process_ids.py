"""Tests of real routers: an id of a client (`txn`) is that of one request, whatever became of its client."""

import os
import time
from collections import Counter
from typing import Any

from tests.operation_fixture import OperationTestCase, wait_until_ready
from tests.standins import PATIENCE_S, Client, Program, call_lines, eventually, in_base64

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
IDS = 24  # enough that connections reach both processes
SECOND_BODY = b"other"  # of the requests that come again
CLASSES: dict[str, dict[str, Any]] = {"review": {}, "test-submit": {}, "deck-make": {"unique": KEY}}


def new_id() -> str:
    """Return a new id of a request."""
    return os.urandom(8).hex()


def taken_requests(program: Program) -> int:
    """Return how many requests a process has accepted or refused."""
    return program.counters().get("requests.taken", 0)


class RepeatedIdTest(OperationTestCase):
    """A request under an id that was used before gets an error, and is not sent on."""

    def setUp(self) -> None:
        super().setUp()
        wait_until_ready(self.program)
        self.port = self.program.port("platform")
        Client(self.port).call_until_served("review", b"first")

    def ask(self, class_name: str, body: bytes, txn: str, **params: Any) -> dict[str, Any]:
        """Send a request on a connection of its own, and return the answer."""
        client = Client(self.port)
        client.call(class_name, body, txn=txn, **params)
        answer = client.read() or {}
        client.close()
        return answer

    def runs(self) -> Counter[str]:
        """Return how often each id was sent to a worker."""
        return Counter(line["call"] for line in call_lines(*self.workers))

    def wait_until_sent(self, txn: str) -> None:
        """Wait until a request has arrived at a worker."""
        eventually(lambda: self.runs()[txn], f"{txn} to arrive at a worker")

    def test_id_that_comes_again_does_not_run_again(self) -> None:
        """Guards against an id that runs twice: sent again while open, answered, or left by its client."""
        served = list[str]()
        for class_name, params in CLASSES.items():
            for state, body in (("answered", b"x"), ("open", b"hang"), ("left", b"hang")):
                txn = new_id()
                client = Client(self.port)
                client.call(class_name, body, txn=txn, limit=1_500, **params)
                self.wait_until_sent(txn)
                if state == "answered":
                    self.assertIn("result", client.read() or {})
                elif state == "left":
                    client.close()
                    time.sleep(0.2)
                if "error" not in self.ask(class_name, SECOND_BODY, txn, **params):
                    served.append(f"{class_name}, {state}")
        self.assertEqual(served, [])
        sent = [line["call"] for line in call_lines(*self.workers) if line["bytes"] == in_base64(SECOND_BODY)]
        self.assertEqual(sent, [])

    def test_id_that_comes_again_at_the_other_process_of_an_upgrade_does_not_run_again(self) -> None:
        """Guards against an id that runs at both processes of an upgrade."""
        before = [self.served_id() for _ in range(IDS)]
        successor = self.start_router(self.port)
        wait_until_ready(successor)
        taken = taken_requests(self.program)
        between = [self.served_id() for _ in range(IDS)]
        for _ in range(2):
            served = [txn for txn in (*before, *between) if "result" in self.ask("test-submit", b"y", txn)]
            self.assertEqual(served, [])
        # Clients have reached both processes, so that ids came again at the other one.
        self.assertGreater(taken_requests(self.program), taken)
        self.assertGreater(taken_requests(successor), 0)
        self.program.process.terminate()
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        served = [txn for txn in (*before, *between) if "result" in self.ask("test-submit", b"y", txn)]
        self.assertEqual(served, [])
        self.assert_ran_once([*before, *between])

    def served_id(self) -> str:
        """Have a call served that may not run twice, and return its id; a busy router refuses some calls."""

        def try_call() -> str:
            txn = new_id()
            return txn if "result" in self.ask("test-submit", b"x", txn) else ""

        return str(eventually(try_call, "a call to be served"))

    def assert_ran_once(self, ids: list[str]) -> None:
        runs = self.runs()
        self.assertEqual({txn: runs[txn] for txn in ids if runs[txn] != 1}, {})
