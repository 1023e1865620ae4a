"""Tests of clients that leave while their call waits, with the real program and held-up workers.

`docs/endings.md` lists the cases.
"""

import socket
import time

from tests.router_fixture import RouterTestCase
from tests.standins import HoldingWorker, Worker, call_lines, eventually, in_base64, params

CLOSE_SEEN_S = 0.3  # the program notices within this time that a client has closed
BACKOFF_OVER_S = 3.0  # longer than the backoff after a worker's rejection
LOOP_WAIT_OVER_S = 1.5  # longer than any wait of the program's event loop


class DisconnectTest(RouterTestCase):
    """No attempt starts for a client that has closed its connection, whatever its call waits for."""

    def test_call_that_waits_for_a_connection_is_not_sent_when_it_opens(self) -> None:
        limits = params()["limits"] | {"cancelling": False}
        for ending, changes in (("close", {}), ("interrupt", {}), ("interrupt", {"limits": limits})):
            with self.subTest(ending, changes=changes):
                worker = HoldingWorker()
                self.start(worker, **changes)
                id_ = self.client.call_until_sent(self.program, "review", b"abc")
                self.cancel_call(ending, id_)
                time.sleep(CLOSE_SEEN_S)
                worker.accept_connections()
                # A later call over the same connection shows that it was opened and the first call dropped.
                other = self.connect()
                other.call_until_served("review", b"later")
                self.assertEqual([line["bytes"] for line in call_lines(worker)], [in_base64(b"later")])
                counters = self.program.counters()
                self.assertEqual(counters.get("attempts.moot", 0) + counters.get("attempts.cancelled", 0), 1)
                self.assertNotIn("states.invalid_transitions", counters)
                other.close()
                self.program.kill()

    def test_call_is_not_retried_after_its_client_has_closed(self) -> None:
        first = Worker()
        second = Worker()
        self.start(first, second)
        for worker in (first, second):
            worker.pause()  # the attempt is sent, and not answered
        self.client.call("review", b"full:")
        eventually(lambda: self.program.counters().get("attempts.sent"), "the attempt")
        self.client.close()
        time.sleep(CLOSE_SEEN_S)
        for worker in (first, second):
            worker.resume()
        eventually(lambda: self.program.counters().get("attempts.full"), "the answer")
        time.sleep(CLOSE_SEEN_S)
        self.assertEqual(len(call_lines(first, second)), 1)
        self.assertEqual(self.program.counters()["attempts.sent"], 1)

    def test_call_that_waits_for_its_retry_is_dropped_when_its_client_closes(self) -> None:
        worker = Worker()
        self.start(worker)
        self.client.call("review", b"full:")
        eventually(lambda: self.program.counters().get("attempts.full"), "the first attempt")
        self.client.close()
        time.sleep(CLOSE_SEEN_S)
        before = len(call_lines(worker))
        time.sleep(BACKOFF_OVER_S)
        self.assertEqual(len(call_lines(worker)), before)

    def test_client_that_closed_its_sending_side_gets_the_answer_of_a_sent_attempt(self) -> None:
        worker = Worker()
        self.start(worker)
        worker.pause()
        id_ = self.client.call("review", b"abc")
        eventually(lambda: self.program.counters().get("attempts.sent"), "the attempt")
        self.client.socket.shutdown(socket.SHUT_WR)
        time.sleep(CLOSE_SEEN_S)
        worker.resume()
        self.assertEqual(
            self.client.read(), {"jsonrpc": "2.0", "id": id_, "result": {"blob": in_base64(b"cba")}}
        )
        self.assertIsNone(self.client.read())
        self.client.close()

    def test_call_sent_and_cancelled_while_the_process_is_suspended_is_dropped(self) -> None:
        worker = Worker()
        self.start(worker)
        self.client.call_until_served("review", b"abc")
        for ending in ("close", "interrupt"):
            self.suspend_process()
            other = self.connect()
            id_ = other.call("review", b"late")
            self.cancel_call(ending, id_, other)
            time.sleep(LOOP_WAIT_OVER_S)
            self.resume_process()
            time.sleep(CLOSE_SEEN_S)
        self.client.call_until_served("review", b"abc")
        self.assertEqual({line["bytes"] for line in call_lines(worker)}, {in_base64(b"abc")})
