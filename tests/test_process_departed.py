"""Tests of real routers: what a client has sent and left behind unread is not sent on after it has left."""

import contextlib
import threading
import time
import unittest
from typing import Any

from tests.standins import Client, NameServer, Worker, reset_on_close, start_router
from tests.standins.crowd import encoded_call

CALLS = 4_000  # far more than a router reads at once
GONE_S = 0.15  # in which an attempt may still begin after its client has left: 0.1 s and the rules' slack
CROWD = 60  # clients that leave at the same time
CROWD_CALLS = 300


class TimedWorker(Worker):
    """A worker that records when each call arrived."""

    def __init__(self) -> None:
        self.arrived_s = dict[str, float]()
        super().__init__()

    def _answer(self, message: dict[str, Any]) -> dict[str, Any] | bytes | None:
        if message["kind"] == "CALL":
            self.arrived_s[message["call"]] = time.monotonic()
        return super()._answer(message)


class DepartedClientTest(unittest.TestCase):
    """Clients that send much, and close their connections with most of it unread."""

    def setUp(self) -> None:
        self.names = NameServer()
        self.addCleanup(self.names.socket.close)
        self.worker = TimedWorker()
        self.program = start_router([self.worker], self.names, limits={"sockets": 1024})
        self.addCleanup(self.program.kill)
        self.port = self.program.port("platform")
        Client(self.port).call_until_served("review", b"first")

    def send_and_leave(self, calls: int, resets: bool) -> float:
        """Send calls for a moment on a new connection, close it, and return when."""
        client = Client(self.port)
        client.socket.settimeout(0.2)
        data = b"".join(encoded_call(8, number=number) for number in range(1, calls + 1))
        with contextlib.suppress(OSError):  # the router reads no more, or has closed the connection
            client.socket.sendall(data)
        if resets:
            reset_on_close(client.socket)
        client.close()
        return time.monotonic()

    def check_nothing_begins_after(self, gone_s: float) -> None:
        time.sleep(1.0)
        arrived_s = list(self.worker.arrived_s.values())
        late = [at_s - gone_s for at_s in arrived_s if at_s > gone_s + GONE_S]
        self.assertEqual(late, [], f"{len(arrived_s) - len(late)} arrived until the client had left")

    def test_nothing_of_a_client_that_has_left_is_sent_on(self) -> None:
        """Guards against requests that are read, and sent on, long after their client has left."""
        for resets in (False, True):
            with self.subTest(resets=resets):
                self.check_nothing_begins_after(self.send_and_leave(CALLS, resets))

    def test_nothing_of_a_crowd_that_has_left_is_sent_on(self) -> None:
        threads = [
            threading.Thread(target=self.send_and_leave, args=(CROWD_CALLS, number % 2 == 0))
            for number in range(CROWD)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.check_nothing_begins_after(time.monotonic())
        Client(self.port).call_until_served("review", b"after")
