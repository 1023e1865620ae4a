"""Connections to the invoke API of a real process: kept, cut short, idle, and closed by their clients."""

import http.client
import time

from tests.invoke_fixture import PARTIAL_HEAD, REPEATABLE, TENANT, InvokeTestCase, invocations_path, post_head
from tests.standins import PATIENCE_S, call_lines, eventually

CLOSE_SEEN_S = 0.3  # from then on nothing may begin for a client that has closed


class ConnectionsTest(InvokeTestCase):
    """What one connection may do, and which one makes room for another."""

    def test_connection_is_kept_for_one_call_after_the_other(self) -> None:
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=PATIENCE_S)
        self.addCleanup(connection.close)
        for body in (b"one", b"two", b"three"):
            connection.request("POST", invocations_path(REPEATABLE), body, {"Maplestile-Tenant": TENANT})
            answer = connection.getresponse()
            self.assertEqual((answer.status, answer.read()), (200, body[::-1]))
        self.assertEqual(self.program.counters()["invoke.connections"], 1)
        self.assertFalse([line for line in self.program.log if "Error" in line])

    def test_oversized_body_is_refused_at_its_head_and_the_answer_is_not_lost(self) -> None:
        length = "Content-Length: 60000000"
        for request in (post_head(length, "Expect: 100-continue"), post_head(length) + b"x" * 100_000):
            self.assertTrue(self.connect_and_send(request).recv(100).startswith(b"HTTP/1.1 413 "))

    def test_idle_connection_makes_room_for_one_with_a_request(self) -> None:
        self.program.reload(lambda text: text.replace("[limits]", "[limits]\nconnections = 2", 1))
        silent = self.connect_and_send(b"")
        eventually(lambda: self.program.counters().get("invoke.connections") == 1, "the silent one")
        partial = self.connect_and_send(PARTIAL_HEAD)
        eventually(lambda: self.program.counters().get("invoke.connections") == 2, "the slow one")
        self.assertEqual(self.post(REPEATABLE, b"abc")[:2], (200, b"cba"))
        self.assertEqual(silent.recv(1), b"")  # and the one that has sent a part may send the rest
        partial.sendall(f"ngth: 3\r\nMaplestile-Tenant: {TENANT}\r\n\r\nabc".encode())
        self.assertTrue(partial.recv(100).startswith(b"HTTP/1.1 200 "))


class DisconnectTest(InvokeTestCase):
    """Clients that close their connections while their calls are open."""

    def test_no_attempt_starts_for_a_client_that_left_and_its_key_is_free_again(self) -> None:
        self.pause_workers()
        for number, key_lines in enumerate(((), ("Idempotency-Key: k1",)), 1):
            head = post_head(*key_lines, f"Maplestile-Tenant: {TENANT}", "Content-Length: 6")
            connection = self.connect_and_send(head + b"full:%d" % number)
            self.until_sent(number)
            connection.close()
        time.sleep(CLOSE_SEEN_S)
        self.resume_workers()
        eventually(lambda: self.program.counters().get("attempts.full"), "the answer to the second")
        time.sleep(0.5)
        counters = self.program.counters()
        self.assertEqual(counters["attempts.sent"], 2)
        self.assertEqual(len(call_lines(*self.workers)), 2)
        # Nothing ran under the key, and nobody got an answer: it may be used for this call, or another.
        answer = self.post(REPEATABLE, b"abc", Idempotency_Key="k1")
        self.assertEqual(answer[:2], (200, b"cba"))

    def test_call_under_a_key_goes_on_for_the_client_that_still_waits(self) -> None:
        self.pause_workers()
        head = post_head("Idempotency-Key: k2", f"Maplestile-Tenant: {TENANT}", "Content-Length: 3")
        first = self.connect_and_send(head + b"abc")
        eventually(lambda: self.program.counters().get("attempts.sent"), "the attempt")
        second = self.connect_and_send(head + b"abc")
        eventually(lambda: self.program.counters().get("invoke.requests") == 2, "the second")
        first.close()
        time.sleep(CLOSE_SEEN_S)
        self.resume_workers()
        self.assertTrue(second.recv(100).startswith(b"HTTP/1.1 200 "))
        self.assertEqual(self.run_count(b"abc"), 1)
