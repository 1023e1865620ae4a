"""Clients that leave at an awkward moment: the real program, and workers that hold connections or pause.

`docs/endings.md` lists the moments.
"""

import socket
import time

from tests.router_fixture import RouterTestCase
from tests.standins import HoldingWorker, Worker, call_lines, eventually, in_base64, params

CLOSE_SEEN_S = 0.3  # from then on nothing may begin for a client that has closed
BACKOFF_OVER_S = 3.0  # the backoff after a rejection by a worker is over by then
LOOP_WAIT_OVER_S = 1.5  # longer than any wait of the program's loop


class DisconnectTest(RouterTestCase):
    """Nothing begins for a client that has closed its connection, whatever its call waits for."""

    def test_call_that_waits_for_its_connection_is_not_sent_once_that_comes_up(self) -> None:
        limits = params()["limits"] | {"cancelling": False}
        for ending, changes in (("close", {}), ("interrupt", {}), ("interrupt", {"limits": limits})):
            with self.subTest(ending, changes=changes):
                worker = HoldingWorker()
                self.start(worker, **changes)
                id_ = self.client.call_until_sent(self.program, "review", b"abc")
                self.give_up(ending, id_)
                time.sleep(CLOSE_SEEN_S)
                worker.accept_connections()
                # What comes after it by the same connection shows that it came up, and that it was dropped.
                other = self.connect()
                other.call_until_served("review", b"later")
                self.assertEqual([line["bytes"] for line in call_lines(worker)], [in_base64(b"later")])
                counters = self.program.counters()
                self.assertEqual(counters.get("attempts.moot", 0) + counters.get("attempts.cancelled", 0), 1)
                self.assertNotIn("states.invalid_transitions", counters)
                other.close()
                self.program.kill()

    def test_call_is_not_tried_again_once_its_client_has_closed(self) -> None:
        first = Worker()
        second = Worker()
        self.start(first, second)
        for worker in (first, second):
            worker.pause()  # the attempt is out, and not answered
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

    def test_call_that_is_held_between_tries_is_dropped_with_its_client(self) -> None:
        worker = Worker()
        self.start(worker)
        self.client.call("review", b"full:")
        eventually(lambda: self.program.counters().get("attempts.full"), "the first try")
        self.client.close()
        time.sleep(CLOSE_SEEN_S)
        before = len(call_lines(worker))
        time.sleep(BACKOFF_OVER_S)
        self.assertEqual(len(call_lines(worker)), before)

    def test_client_that_ended_its_side_alone_gets_the_answer_of_what_is_out(self) -> None:
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

    def test_call_that_came_and_was_cancelled_while_the_process_stood_still_is_not_sent(self) -> None:
        worker = Worker()
        self.start(worker)
        self.client.call_until_served("review", b"abc")
        for ending in ("close", "interrupt"):
            self.suspend_process()
            other = self.connect()
            id_ = other.call("review", b"late")
            self.give_up(ending, id_, other)
            time.sleep(LOOP_WAIT_OVER_S)
            self.resume_process()
            time.sleep(CLOSE_SEEN_S)
        self.client.call_until_served("review", b"abc")
        self.assertEqual({line["bytes"] for line in call_lines(worker)}, {in_base64(b"abc")})
