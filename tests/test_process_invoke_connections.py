"""Tests of connections to the invoke front of a real process: reuse, limits and disconnects."""

import http.client
import time

from tests.invoke_fixture import (
    NEVER_REPEATED,
    PARTIAL_HEAD,
    REPEATABLE,
    TENANT,
    InvokeTestCase,
    invocations_path,
    post_head,
)
from tests.standins import PATIENCE_S, call_lines, eventually

CLOSE_NOTICED_S = 0.3  # time for the router to notice a closed connection


class ConnectionsTest(InvokeTestCase):
    """Reuse of a connection, oversized requests, and eviction of idle connections."""

    def test_connection_is_kept_between_calls(self) -> None:
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=PATIENCE_S)
        self.addCleanup(connection.close)
        for body in (b"one", b"two", b"three"):
            connection.request("POST", invocations_path(REPEATABLE), body, {"Maplestile-Tenant": TENANT})
            answer = connection.getresponse()
            self.assertEqual((answer.status, answer.read()), (200, body[::-1]))
        self.assertEqual(self.program.counters()["invoke.connections"], 1)
        self.assertFalse([line for line in self.program.log if "Error" in line])

    def test_oversized_body_is_rejected_by_its_length_and_client_gets_the_answer(self) -> None:
        length = "Content-Length: 60000000"
        for request in (post_head(length, "Expect: 100-continue"), post_head(length) + b"x" * 100_000):
            self.assertTrue(self.connect_and_send(request).recv(100).startswith(b"HTTP/1.1 413 "))

    def test_idle_connection_is_evicted_for_one_with_a_request(self) -> None:
        self.program.reload(lambda text: text.replace("[limits]", "[limits]\nconnections = 2", 1))
        silent = self.connect_and_send(b"")
        eventually(lambda: self.program.counters().get("invoke.connections") == 1, "the silent connection")
        partial = self.connect_and_send(PARTIAL_HEAD)
        eventually(
            lambda: self.program.counters().get("invoke.connections") == 2,
            "the connection with a partial request",
        )
        self.assertEqual(self.post(REPEATABLE, b"abc")[:2], (200, b"cba"))
        self.assertEqual(silent.recv(1), b"")  # evicted; the partial request may be completed
        partial.sendall(f"ngth: 3\r\nMaplestile-Tenant: {TENANT}\r\n\r\nabc".encode())
        self.assertTrue(partial.recv(100).startswith(b"HTTP/1.1 200 "))


class DisconnectTest(InvokeTestCase):
    """Clients that close their connection during a call."""

    def test_disconnected_client_gets_no_new_attempt_and_frees_its_key(self) -> None:
        self.pause_workers()
        for number, key_lines in enumerate(((), ("Idempotency-Key: k1",)), 1):
            head = post_head(*key_lines, f"Maplestile-Tenant: {TENANT}", "Content-Length: 6")
            connection = self.connect_and_send(head + b"full:%d" % number)
            self.wait_until_sent(number)
            connection.close()
        time.sleep(CLOSE_NOTICED_S)
        self.resume_workers()
        eventually(lambda: self.program.counters().get("attempts.full"), "the answer to the second attempt")
        time.sleep(0.5)
        counters = self.program.counters()
        self.assertEqual(counters["attempts.sent"], 2)
        self.assertEqual(len(call_lines(*self.workers)), 2)
        # Nothing ran with this key and nobody got an answer, so it may be used again, also for another call.
        answer = self.post(REPEATABLE, b"abc", Idempotency_Key="k1")
        self.assertEqual(answer[:2], (200, b"cba"))

    def test_call_with_key_continues_for_client_that_still_waits(self) -> None:
        self.pause_workers()
        head = post_head("Idempotency-Key: k2", f"Maplestile-Tenant: {TENANT}", "Content-Length: 3")
        first = self.connect_and_send(head + b"abc")
        eventually(lambda: self.program.counters().get("attempts.sent"), "the attempt")
        second = self.connect_and_send(head + b"abc")
        eventually(lambda: self.program.counters().get("invoke.requests") == 2, "the second request")
        first.close()
        time.sleep(CLOSE_NOTICED_S)
        self.resume_workers()
        self.assertTrue(second.recv(100).startswith(b"HTTP/1.1 200 "))
        self.assertEqual(self.run_count(b"abc"), 1)

    def test_key_of_a_call_that_was_running_at_its_deadline_runs_nothing_again(self) -> None:
        """Guards against a `test-submit` that runs twice under one idempotency key."""
        deadline_s = 1.0
        headers = {"Idempotency-Key": "k3", "Maplestile-Deadline-Ms": str(int(1000 * deadline_s))}
        lines = [f"POST {invocations_path(NEVER_REPEATED)} HTTP/1.1", "Host: h", "Content-Length: 5"]
        lines += [f"{name}: {value}" for name, value in (headers | {"Maplestile-Tenant": TENANT}).items()]
        first = self.connect_and_send("\r\n".join((*lines, "", "hang:")).encode())
        eventually(lambda: self.run_count(b"hang:") == 1, "the run")
        first.close()
        time.sleep(deadline_s + CLOSE_NOTICED_S)
        repeat = self.request("POST", invocations_path(NEVER_REPEATED), b"hang:", **headers)
        self.assertEqual((repeat[0], self.run_count(b"hang:")), (504, 1))
