"""Operators' requests to the real program, clients that keep calling it, and a fixture for both."""

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
CALLS_AT_A_TIME = 3


def request_operator(program: Program, path: str, method: str = "GET") -> tuple[int, str]:
    """Send a request to the operators' front, and return its status and body."""
    connection = http.client.HTTPConnection("127.0.0.1", program.port("operator"), timeout=PATIENCE_S)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


def change_runner(program: Program, runner: str, command: str) -> int:
    """Have the operators' front `suspend` or `resume` a runner, and return the status."""
    return request_operator(program, f"/v1/runners/{runner}/{command}", "PUT")[0]


def scrape_metrics(program: Program) -> dict[str, int]:
    """Return the metrics of the operators' front, by name and labels."""
    lines = request_operator(program, "/v1/metrics")[1].splitlines()
    samples = (line.split() for line in lines if not line.startswith("#"))
    return {name: int(value) for name, value in samples}


def until_ready(program: Program) -> None:
    """Wait until the program is ready for calls."""
    eventually(lambda: request_operator(program, "/v1/readyz")[0] == 200, "readiness")


class RepeatingCaller(threading.Thread):
    """A client that keeps calling on one connection, some at a time, until `done` is set.

    A connection that ends with nothing open on it is replaced; requests that crossed that end are counted.
    """

    def __init__(self, port: int, class_name: str) -> None:
        super().__init__(daemon=True)
        self.port = port
        self.class_name = class_name
        self.done = threading.Event()
        self.rounds = 0
        self.served = 0
        self.crossed = 0
        self.faults = list[str]()

    def idempotency_key(self, round_number: int, n: int) -> str:
        """Return the key of the n-th call of a round."""
        return f"{self.class_name}-{id(self)}-{round_number}-{n}"

    def run(self) -> None:
        client = Client(self.port)
        while not self.done.is_set():
            bodies = dict[int, bytes]()  # of the calls that are open, by their ids
            try:
                self._send_round(client, bodies)
                self._read_answers(client, bodies)
            except OSError as fault:
                self.faults.append(repr(fault))
                return
            self.rounds += 1
            if bodies:
                self.crossed += len(bodies)
                if len(bodies) < CALLS_AT_A_TIME:
                    self.faults.append("a connection ended with requests open on it")
                client = Client(self.port)
            time.sleep(0.002)

    def _send_round(self, client: Client, bodies: dict[int, bytes]) -> None:
        # In one piece: with a pause of this thread between them, as on a busy machine, the program
        # may answer the first, find the connection quiet and rightly end it before the others come.
        with client.in_one_write():
            for n in range(CALLS_AT_A_TIME):
                body = b"%d %d" % (self.rounds, n)
                key = self.idempotency_key(self.rounds, n)
                bodies[client.call(self.class_name, body, unique=key)] = body

    def _read_answers(self, client: Client, bodies: dict[int, bytes]) -> None:
        """Read until all are answered, or the connection ends; what is answered is taken from `bodies`."""
        while bodies:
            answer = client.read()
            if answer is None:
                break
            body = bodies.pop(answer["id"])
            self.served += "result" in answer
            expected = in_base64(body[::-1])
            refused = answer.get("error", {}).get("code") == REFUSED
            if not refused and answer.get("result", {}).get("blob") != expected:
                self.faults.append(str(answer))


def start_callers(port: int) -> list[RepeatingCaller]:
    """Start two callers of each class: one whose calls may be repeated, one that may not, one with a key."""
    classes = ("review", NEVER_REPEATED, "deck-make")
    callers = [RepeatingCaller(port, name) for name in classes for _ in range(2)]
    for caller in callers:
        caller.start()
    return callers


def stop_callers(callers: list[RepeatingCaller]) -> list[str]:
    """Stop them, and return what was wrong with the answers of all."""
    for caller in callers:
        caller.done.set()
        caller.join(PATIENCE_S)
    return [fault for caller in callers for fault in caller.faults]


class OperationTestCase(unittest.TestCase):
    """Starts a router with an operators' front, two workers and a folder for its cordons and locks."""

    def setUp(self) -> None:
        self.workers = [Worker(), Worker()]
        self.names = NameServer()
        self.names.list_workers(self.workers)
        self.folder = tempfile.mkdtemp()
        self.program = self.start_router()

    def start_router(self, port: int = 0) -> Program:
        """Start one more process with the same folder."""
        program = start_router(self.workers, self.names, self.folder, port)
        self.addCleanup(program.kill)
        return program

    def connect(self) -> Client:
        """Connect a client to the first process."""
        client = Client(self.program.port("platform"))
        self.addCleanup(client.close)
        return client

    def run_counts(self) -> Counter[str]:
        """Return how often each call ran, by its idempotency key."""
        return Counter(call["head"]["once"] for worker in self.workers for call in worker.ran)

    def assert_repeats_are_allowed(self) -> None:
        """Check that no call that may not be repeated ran twice, and no other one twice at the same worker.

        A call that may be repeated is hedged at another worker where its own does not answer, for example
        since a thread of this test was paused.
        """
        twice = [key for key, count in self.run_counts().items() if count > 1]
        self.assertEqual([key for key in twice if key.startswith(NEVER_REPEATED)], [])
        for worker in self.workers:
            at_worker = Counter(call["head"]["once"] for call in worker.ran)
            self.assertEqual([key for key, count in at_worker.items() if count > 1], [])
