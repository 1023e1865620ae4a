"""Tests of real routers while one client sends small or unsound requests on one connection at full speed."""

import contextlib
import json
import os
import signal
import threading
import time
import unittest
from collections.abc import Callable, Iterator

from tests.standins import Client, NameServer, Worker, start_router
from tests.test_process_memory import LEAST_MEMORY_MB, peak_memory_mb

FLOOD_S = 5.0
OPEN_CALLS = 32  # that one connection may have
PAUSE_S = 0.3  # of the router
CATCH_UP_S = 0.5  # after the pause
OTHER_CALLS = 40
MESSAGES_PER_WRITE = 20


def encoded(message: dict[str, object]) -> bytes:
    """Return a message with its head."""
    body = json.dumps(message).encode()
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def check(number: int) -> bytes:
    """Return a request that needs no worker."""
    return encoded({"jsonrpc": "2.0", "id": number, "method": "check"})


def call_of_new_function(number: int) -> bytes:
    """Return a sound call of a function that was never called before, and that its client waits long for."""
    params = {
        "txn": os.urandom(8).hex(),
        "limit": 600_000,
        "item": f"{number:016x}",
        "info": "memory_mb:0.000001;lanes:1",
        "blob": "eA==",
    }
    return encoded({"jsonrpc": "2.0", "id": number, "method": "review", "params": params})


class Flood(threading.Thread):
    """A client that sends all the time, on a new connection whenever the router closes one."""

    def __init__(self, port: int, message: Callable[[int], bytes], max_open: int = 1 << 30) -> None:
        super().__init__()
        self.port = port
        self.message = message
        self.max_open = max_open  # messages without an answer
        self.sent = 0
        self.done = threading.Event()

    def run(self) -> None:
        while not self.done.is_set():
            client = Client(self.port)
            client.socket.setblocking(False)
            with contextlib.suppress(ConnectionError):
                self._flood(client)
            client.close()

    def _flood(self, client: Client) -> None:
        unsent, answered, sent_before = b"", 0, self.sent
        while not self.done.is_set():
            if not unsent and self.sent - sent_before - answered < self.max_open:
                unsent = b"".join(self.message(self.sent + n) for n in range(1, MESSAGES_PER_WRITE + 1))
                self.sent += MESSAGES_PER_WRITE
            try:
                unsent = unsent[client.socket.send(unsent) :]
            except BlockingIOError:
                time.sleep(0.0005)
            with contextlib.suppress(BlockingIOError):
                data = client.socket.recv(1 << 16)
                if not data:
                    return
                answered += data.count(b"Content-Length")


class FloodTest(unittest.TestCase):
    """One client that sends at full speed, and others that call."""

    def setUp(self) -> None:
        self.names = NameServer()
        self.addCleanup(self.names.socket.close)
        self.worker = Worker()
        self.program = start_router(
            [self.worker], self.names, limits={"sockets": 256, "memory_mb": LEAST_MEMORY_MB}
        )
        self.addCleanup(self.program.kill)
        self.port = self.program.port("platform")
        Client(self.port).call_until_served("review", b"first")

    @contextlib.contextmanager
    def flooded(self, message: Callable[[int], bytes], max_open: int = 1 << 30) -> Iterator[Flood]:
        """Have one client send all the time."""
        flood = Flood(self.port, message, max_open)
        flood.start()
        try:
            yield flood
        finally:
            flood.done.set()
            flood.join()

    def served_calls(self, count: int) -> int:
        """Return how many of some calls, each on a connection of its own, are served."""
        served = 0
        for _ in range(count):
            client = Client(self.port)
            client.call("review", os.urandom(4), limit_ms=3_000)
            served += "result" in (client.read() or {})
            client.close()
        return served

    def test_pause_during_a_flood_does_not_have_the_calls_of_others_refused_for_good(self) -> None:
        """Guards against calls that count as being as old as a pause for as long as one client sends."""
        with self.flooded(check):
            self.program.process.send_signal(signal.SIGSTOP)
            time.sleep(PAUSE_S)
            self.program.process.send_signal(signal.SIGCONT)
            time.sleep(CATCH_UP_S)
            served = self.served_calls(OTHER_CALLS)
        self.assertGreater(served, OTHER_CALLS // 2)

    def test_calls_under_ever_new_names_do_not_exceed_the_least_memory(self) -> None:
        """Guards against records of names, and timers of answered calls, that stay in memory."""
        with self.flooded(call_of_new_function, OPEN_CALLS) as flood:
            until_s = time.monotonic() + FLOOD_S
            served = 0
            while time.monotonic() < until_s:
                served += self.served_calls(1)
        self.assertIsNone(self.program.process.poll())
        self.assertGreater(flood.sent, 1_000)
        self.assertGreater(served, 0)
        self.assertLessEqual(peak_memory_mb(self.program), LEAST_MEMORY_MB)
