"""Tests of the shutdown of the real program while clients continue: each accepted request gets one answer.

`docs/endings.md` lists the cases.
"""

import contextlib
import json
import select
import signal
import socket
import threading
import time
import unittest

from tests.standins import (
    PATIENCE_S,
    Client,
    NameServer,
    Worker,
    connect_idle_clients,
    eventually,
    start_router,
)

KILLED_S = 3.7  # time from SIGTERM to SIGKILL: the longest deadline, at most 3 s, and 0.7 s more
END_WITH_UNREAD_ANSWERS_S = 4.5  # the process exits within this time although a client reads no answers
LONG_LIMIT_MS = 15_000  # longer than any process here lives after SIGTERM


class SequentialCaller(threading.Thread):
    """A client that sends its next call as soon as it has its answer, until its connection is closed."""

    def __init__(self, port: int) -> None:
        super().__init__(daemon=True)
        self.client = Client(port)
        self.sent = 0
        self.faults = list[str]()

    def run(self) -> None:
        while True:
            try:
                id_ = self.client.call("test-submit", b"abc")
                self.sent += 1
                answer = self.client.read()
            except OSError as fault:
                self.faults.append(repr(fault))
                return
            if answer is None:  # a clean close, which the request crossed
                return
            if answer.get("id") != id_:
                self.faults.append(repr(answer))


class PersistentClient:
    """A client with its own thread that keeps `open_target` requests open until its connection is closed."""

    def __init__(self, port: int, method: str, open_target: int) -> None:
        self.client = Client(port)
        self.method = method
        self.open_target = open_target
        self.open = set[int]()
        self.answered = 0
        self.faults = list[str]()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _send(self) -> None:
        # A broken pipe shows that the router has closed the connection, which the next read finds.
        with contextlib.suppress(BrokenPipeError), self.client.in_one_write():
            for _ in range(max(1, self.open_target // 4)):
                check = self.method == "check"
                self.open.add(self.client.send("check") if check else self.client.call(self.method, b"abc"))

    def _run(self) -> None:
        try:
            while len(self.open) < self.open_target:
                self._send()
            while (answer := self.client.read()) is not None:
                if answer.get("id") not in self.open:
                    self.faults.append(repr(answer))
                self.open.discard(answer["id"])
                self.answered += 1
                if len(self.open) < self.open_target:
                    self._send()
        except OSError as fault:
            self.faults.append(repr(fault))

    def wait_for_close(self) -> list[str]:
        """Wait for the close of the connection, and return the faults found before it."""
        self.thread.join(PATIENCE_S)
        self.client.close()
        return self.faults + (["the connection was not closed in time"] if self.thread.is_alive() else [])


class DrainTest(unittest.TestCase):
    """The process exits, and each request that it accepted gets one answer."""

    def setUp(self) -> None:
        self.worker = Worker()
        self.names = NameServer()
        self.program = start_router([self.worker], self.names)
        self.addCleanup(self.program.kill)
        self.port = self.program.port("platform")

    def test_request_sent_at_the_end_is_answered_or_finds_a_clean_close(self) -> None:
        """Clients send their next call as soon as they have an answer, until the process exits."""
        callers = [SequentialCaller(self.port) for _ in range(8)]
        for caller in callers:
            caller.start()
        eventually(lambda: sum(caller.sent for caller in callers) > 100, "calls")
        self.program.process.send_signal(signal.SIGTERM)
        for caller in callers:
            caller.join(PATIENCE_S)
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        self.assertEqual([fault for caller in callers for fault in caller.faults], [])
        self.assert_answered()

    def assert_answered(self) -> None:
        """Check that each accepted request got one answer."""
        counters = json.loads(self.program.find(r'^(\{"counters".*)'))["counters"]
        answered = sum(count for name, count in counters.items() if name.startswith("answers."))
        self.assertEqual((counters["requests.taken"], counters.get("requests.withdrawn", 0)), (answered, 0))

    def keep_sending(self, method: str, open_target: int) -> PersistentClient:
        """Start a client that never stops and always has about `open_target` requests open."""
        persistent = PersistentClient(self.port, method, open_target)
        eventually(lambda: persistent.answered > open_target, "answers")
        return persistent

    def send_pending_call(self) -> Client:
        """Send a call that stays open until the process exits, so that a request is pending until then."""
        client = Client(self.port)
        client.call("test-submit", b"hang:", limit_ms=LONG_LIMIT_MS)
        self.addCleanup(client.close)
        return client

    def test_clients_that_never_stop_are_closed_before_the_last_answer(self) -> None:
        waiting_client = self.send_pending_call()
        persistent = [self.keep_sending(*kind) for kind in (("review", 4), ("review", 1), ("test-submit", 2))]
        self.program.process.send_signal(signal.SIGTERM)
        self.assertEqual([client.wait_for_close() for client in persistent], [[], [], []])
        self.assertEqual(select.select([waiting_client.socket], [], [], 0)[0], [])
        self.assertIn("error", waiting_client.read() or {})
        self.assertIsNone(waiting_client.read())
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        self.assert_answered()

    def test_clients_with_constantly_unread_input_find_a_clean_close(self) -> None:
        waiting_client = self.send_pending_call()
        persistent = [self.keep_sending("check", 2000), self.keep_sending("check", 2000)]
        self.program.process.send_signal(signal.SIGTERM)
        self.assertEqual([client.wait_for_close() for client in persistent], [[], []])
        self.assertIn("error", waiting_client.read() or {})
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        self.assert_answered()

    def test_process_without_free_descriptors_exits_despite_unaccepted_connections(self) -> None:
        idle = connect_idle_clients(self.port, 8)
        self.program.forbid_new_descriptors()
        waiting = [Client(self.port) for _ in range(4)]
        for client in waiting:
            client.send("check")
        exit_code, elapsed_s = self.program.terminate_and_wait()
        self.assertEqual(exit_code, 0)
        self.assertLess(elapsed_s, KILLED_S)
        for client in (*idle, *waiting):
            client.close()

    def test_call_with_a_later_deadline_is_answered_before_sigkill(self) -> None:
        client = Client(self.port)
        id_ = client.call("test-submit", b"hang:", limit_ms=LONG_LIMIT_MS)
        eventually(lambda: self.worker.ran, "the call")
        started_s = time.monotonic()
        self.program.process.send_signal(signal.SIGTERM)
        answer = client.read() or {}
        self.assertEqual((answer.get("id"), "error" in answer), (id_, True))
        self.assertIsNone(client.read())  # a clean close
        self.assertLess(time.monotonic() - started_s, KILLED_S)
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        # The log shows that the call was answered on purpose. Closing the worker's connection first would
        # have caused an answer, too.
        self.program.find("(nothing is owed)")
        client.close()

    def test_process_exits_although_a_client_never_reads_its_answers(self) -> None:
        unreading = socket.socket()
        unreading.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        unreading.connect(("127.0.0.1", self.port))
        client = Client(self.port, unreading)
        for _ in range(14):
            client.call("review", b"long:")
        eventually(lambda: self.program.counters().get("answers.served", 0) >= 14, "the answers")
        exit_code, elapsed_s = self.program.terminate_and_wait()
        self.assertEqual(exit_code, 0)
        self.assertLess(elapsed_s, END_WITH_UNREAD_ANSWERS_S)
        unreading.close()

    def test_sigterm_during_the_start_ends_the_process(self) -> None:
        for delay_s in (0.0, 0.1, 0.2, 0.3, 0.4, 0.6):
            program = start_router([self.worker], NameServer())
            time.sleep(delay_s)
            program.process.send_signal(signal.SIGTERM)
            try:
                self.assertIn(program.process.wait(PATIENCE_S), (0, -signal.SIGTERM))
                self.assertFalse([line for line in program.log if "Traceback" in line])
            finally:
                program.kill()
