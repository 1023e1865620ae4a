"""A fixture that runs real router processes, requests to their operators' fronts, and clients for load."""

import http.client
import tempfile
import threading
import time
import unittest
from collections import Counter

from tests.standins import (
    PATIENCE_S,
    REFUSED,
    Client,
    NameServer,
    Program,
    Worker,
    eventually,
    in_base64,
    start_router,
)

NEVER_REPEATED = "test-submit"  # the class whose calls may not be repeated
CALLS_PER_ROUND = 3


def request_operator(program: Program, path: str, method: str = "GET") -> tuple[int, str]:
    """Send a request to the operators' front, and return the status and body of the response."""
    connection = http.client.HTTPConnection("127.0.0.1", program.port("operator"), timeout=PATIENCE_S)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


def change_runner(program: Program, runner: str, command: str) -> int:
    """Send the command `suspend` or `resume` for a runner, and return the status of the response."""
    return request_operator(program, f"/v1/runners/{runner}/{command}", "PUT")[0]


def scrape_metrics(program: Program) -> dict[str, int]:
    """Return the values of the metrics, by name and labels as they are written."""
    lines = request_operator(program, "/v1/metrics")[1].splitlines()
    samples = (line.split() for line in lines if not line.startswith("#"))
    return {name: int(value) for name, value in samples}


def wait_until_ready(program: Program) -> None:
    """Wait until the router is ready for calls."""
    eventually(lambda: request_operator(program, "/v1/readyz")[0] == 200, "readiness")


class RepeatingCaller(threading.Thread):
    """A client that sends rounds of calls on one connection, until `done` is set.

    If the router closes the connection, it is replaced. The close may cross a round that was just sent: then
    no call of that round is answered, which `crossed` counts. A partly answered round is a fault.
    """

    def __init__(self, port: int, class_name: str) -> None:
        super().__init__(daemon=True)
        self.port = port
        self.class_name = class_name
        self.done = threading.Event()
        self.rounds = 0  # completed rounds
        self.served = 0  # calls with a result
        self.crossed = 0  # calls that got no answer because the connection was closed
        self.faults = list[str]()  # unexpected answers and errors

    def idempotency_key(self, round_number: int, n: int) -> str:
        """Return the key of the n-th call of a round."""
        return f"{self.class_name}-{id(self)}-{round_number}-{n}"

    def run(self) -> None:
        client = Client(self.port)
        while not self.done.is_set():
            bodies = dict[int, bytes]()  # of the open calls, by id
            try:
                self._send_round(client, bodies)
                self._read_answers(client, bodies)
            except OSError as error:
                self.faults.append(repr(error))
                return
            self.rounds += 1
            if bodies:
                self.crossed += len(bodies)
                if len(bodies) < CALLS_PER_ROUND:
                    self.faults.append("the connection closed after only some calls of a round were answered")
                client = Client(self.port)
            time.sleep(0.002)

    def _send_round(self, client: Client, bodies: dict[int, bytes]) -> None:
        # In one write: if this thread were paused between two calls, as on a busy machine, the router could
        # answer the first, find the connection quiet and correctly close it before the others arrive.
        with client.in_one_write():
            for n in range(CALLS_PER_ROUND):
                body = b"%d %d" % (self.rounds, n)
                key = self.idempotency_key(self.rounds, n)
                bodies[client.call(self.class_name, body, unique=key)] = body

    def _read_answers(self, client: Client, bodies: dict[int, bytes]) -> None:
        """Read until all calls are answered or the connection closes; remove answered calls from `bodies`."""
        while bodies:
            answer = client.read()
            if answer is None:
                break
            body = bodies.pop(answer["id"])
            self.served += "result" in answer
            expected = in_base64(body[::-1])
            is_rejected = answer.get("error", {}).get("code") == REFUSED
            if not is_rejected and answer.get("result", {}).get("blob") != expected:
                self.faults.append(str(answer))


def start_callers(port: int) -> list[RepeatingCaller]:
    """Start two callers of each class: calls are repeatable, never repeated, or repeatable with a key."""
    classes = ("review", NEVER_REPEATED, "deck-make")
    callers = [RepeatingCaller(port, name) for name in classes for _ in range(2)]
    for caller in callers:
        caller.start()
    return callers


def stop_callers(callers: list[RepeatingCaller]) -> list[str]:
    """Stop the callers, and return the faults of all."""
    for caller in callers:
        caller.done.set()
        caller.join(PATIENCE_S)
    return [fault for caller in callers for fault in caller.faults]


def serve_calls(client: Client, count: int) -> None:
    """Call `count` functions, each until it is served."""
    for n in range(count):
        client.call_until_served("review", b"x", item=f"f{n}")


class OperationTestCase(unittest.TestCase):
    """A test case with two workers and a router that has an operators' front and a shared folder."""

    def setUp(self) -> None:
        self.workers = [Worker(), Worker()]
        self.names = NameServer()
        self.names.list_workers(self.workers)
        self.folder = tempfile.mkdtemp()
        self.program = self.start_router()

    def start_router(self, port: int = 0) -> Program:
        """Start one more router process with the same folder."""
        program = start_router(self.workers, self.names, self.folder, port)
        self.addCleanup(program.kill)
        return program

    def connect(self) -> Client:
        """Connect a client to the first process."""
        client = Client(self.program.port("platform"))
        self.addCleanup(client.close)
        return client

    def run_counts(self) -> Counter[str]:
        """Return how many times each call ran, by its idempotency key."""
        return Counter(call["head"]["once"] for worker in self.workers for call in worker.ran)

    def assert_no_forbidden_repeats(self) -> None:
        """Check that no never-repeated call ran twice, and no other call ran twice at the same worker.

        A repeatable call may run at two workers: it is hedged if the first does not answer, for example
        because a thread of this test was paused.
        """
        repeated = [key for key, count in self.run_counts().items() if count > 1]
        self.assertEqual([key for key in repeated if key.startswith(NEVER_REPEATED)], [])
        for worker in self.workers:
            at_worker = Counter(call["head"]["once"] for call in worker.ran)
            self.assertEqual([key for key, count in at_worker.items() if count > 1], [])
