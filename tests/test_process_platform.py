"""Tests of a real router process as the platform runs it, with fake workers and a fake name server."""

import contextlib
import resource
import signal
import unittest
from typing import Any

from tests.standins import (
    ITEM,
    PATIENCE_S,
    REFUSED,
    Client,
    NameServer,
    Worker,
    eventually,
    in_base64,
    start_router,
)

DESCRIPTOR_LIMIT = 256
MALFORMED_CALLS: tuple[tuple[str, dict[str, Any]], ...] = (
    ("review", {"blob": "%%%"}),
    ("review", {"limit": "NaN"}),
    ("review", {"blob": "A" * 24_000}),
    ("nobody", {}),
    ("review", {"txn": 5}),
)
MALFORMED_HEADS = (b"Content-Length: 99999999\r\n\r\n", b"Content-Length: -1\r\n\r\n", b"x" * 2_000)


class PlatformTestCase(unittest.TestCase):
    """A test case that starts a router with two workers and connects a client."""

    def setUp(self) -> None:
        self.workers = [Worker(), Worker()]
        self.names = NameServer()
        self.program = start_router(self.workers, self.names)
        self.addCleanup(self.program.kill)
        self.client = Client(self.program.port("platform"))
        self.addCleanup(self.client.close)

    def connect(self) -> Client:
        """Connect another client."""
        return Client(self.program.port("platform"))

    def cancel_lines(self) -> list[dict[str, Any]]:
        """Return the CANCEL lines that the workers received."""
        return [line for worker in self.workers for line in worker.lines if line["kind"] == "CANCEL"]


class CallsTest(PlatformTestCase):
    """Answers to calls, cancellations and malformed input."""

    def test_check_and_calls_are_answered_by_id_in_any_order(self) -> None:
        check = self.client.send("check")
        self.assertEqual(self.client.read(), {"jsonrpc": "2.0", "id": check, "result": {"ready": True}})
        slow = self.client.call("test-submit", b"hang:", limit_ms=600)
        quick = self.client.call("review", b"abc", unique="5c0f")
        self.assertEqual(
            self.client.read(), {"jsonrpc": "2.0", "id": quick, "result": {"blob": in_base64(b"cba")}}
        )
        late = self.client.read()
        assert late is not None
        self.assertEqual(late["id"], slow)
        self.assertNotEqual(late["error"]["code"], REFUSED)  # that would mean that it did not run
        received = next(
            call for worker in self.workers for call in worker.ran if call["bytes"] == in_base64(b"abc")
        )
        self.assertEqual((received["head"]["class"], received["head"]["key"]), ("review", ITEM))
        self.assertEqual(received["head"]["once"], "5c0f")
        eventually(self.cancel_lines, "a CANCEL")

    def test_malformed_input_gets_error_or_close_and_router_keeps_serving(self) -> None:
        for class_name, params in MALFORMED_CALLS:
            id_ = self.client.call(class_name, b"", **params)
            answer = self.client.read()
            assert answer is not None
            self.assertEqual((answer["id"], "error" in answer), (id_, True))
        for head in MALFORMED_HEADS:
            other = self.connect()
            other.socket.sendall(head)
            answer = other.read()
            self.assertTrue(answer is None or "error" in answer)
            self.assertIsNone(other.read())
            other.close()
        self.client.call("review", b"abc")
        self.assertIn("result", self.client.read() or {})
        self.assertEqual(
            self.program.counters()["clients.malformed"], len(MALFORMED_CALLS) + len(MALFORMED_HEADS)
        )

    def test_interrupt_cancels_call_without_answer(self) -> None:
        id_ = self.client.call("test-submit", b"hang:")
        eventually(lambda: [call for worker in self.workers for call in worker.ran], "the call")
        self.client.send("interrupt", {"id": id_}, id_=id_)
        eventually(self.cancel_lines, "a CANCEL")
        check = self.client.send("check")
        answer = self.client.read()
        self.assertEqual((answer or {})["id"], check)
        counters = self.program.counters()
        self.assertEqual(counters["requests.withdrawn"], 1)
        self.assertGreater(counters["loop.longest_us"], 0)


class ConnectionsTest(PlatformTestCase):
    """Many idle connections, and a flood on one connection."""

    def test_silent_connections_do_not_lock_out_others(self) -> None:
        resource.prlimit(
            self.program.process.pid, resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT)
        )
        waiting = self.connect()
        waiting.call_until_served("review", b"abc")
        # This call stays pending until the end of the test.
        pending_id = waiting.call("test-submit", b"hang:", limit_ms=4_000)
        silent = [self.connect() for _ in range(300)]
        other = self.connect()
        other.call_until_served("review", b"abc")
        for client in silent:  # each is closed soon, at most after an error that answers no request
            with contextlib.suppress(ConnectionError):
                self.assertIsNone((client.read() or {}).get("id"))
            client.close()
        other.call_until_served("review", b"abc")
        self.assertEqual((waiting.read() or {})["id"], pending_id)
        counters = self.program.counters()
        self.assertGreater(counters["clients.idle_evicted"], 100)
        self.assertNotIn("clients.rejected", counters)

    def test_closes_flooding_connection_and_serves_others(self) -> None:
        flood = self.connect()
        body = b'{"id":1,"method":"nobody"}'
        flood.socket.sendall(2_000 * (b"Content-Length: %d\r\n\r\n%b" % (len(body), body)))
        self.client.call("review", b"abc")
        self.assertIn("result", self.client.read() or {})
        answers = 0
        with contextlib.suppress(ConnectionError):
            while flood.read() is not None:
                answers += 1
        self.assertLess(answers, 100)
        self.assertLess(len([line for line in self.program.log if "unknown class" in line]), 6)


class NameServerTest(PlatformTestCase):
    """Worker lists of the name server, and a reload that switches to another server."""

    def test_retries_lost_and_truncated_replies_and_avoids_drained_worker(self) -> None:
        self.names.workers = [("s-1", self.workers[1].port, 0), ("s-0", self.workers[0].port, 1)]
        self.names.faults = ["lost", "cut", "lost"]
        self.names.serial = 2
        eventually(lambda: self.program.counters().get("names.lists"), "the list")
        client = self.connect()  # a new one, since a connection has a time limit for its first message
        for n in range(12):
            client.call("review", b"x", item=f"f{n}")
            self.assertIn("result", client.read() or {})
        self.assertEqual((len(self.workers[0].ran), len(self.workers[1].ran)), (0, 12))

    def reload_with(self, text: str) -> dict[str, Any]:
        """Replace the text of the configuration file, reload it, and return the report."""
        return self.program.reload(lambda _: text)

    def test_sighup_switches_name_server_and_rejects_invalid_files(self) -> None:
        other = NameServer()
        other.workers = [("s-1", self.workers[1].port, 0)]
        other.serial = 2
        text = self.program.file.read_text()
        moved = text.replace(f"127.0.0.1:{self.names.port}", f"127.0.0.1:{other.port}")
        pending_id = self.client.call("test-submit", b"hang:", limit_ms=2_000)
        self.check_malformed_files(moved)
        self.assertFalse(other.queries)
        self.check_files_that_need_a_restart(moved)
        self.assertFalse(other.queries)
        report = self.reload_with(moved)
        self.assertEqual((report["ok"], report["taken"], report["restart"]), (True, ["dns"], []))
        eventually(lambda: self.program.counters().get("names.lists"), "the list of the new name server")
        before = self.names.queries
        eventually(lambda: other.queries > 8, "two seconds of queries")
        self.assertEqual(self.names.queries, before)
        for n in range(8):
            self.client.call("review", b"x", item=f"f{n}")
        answers = [self.client.read() or {} for _ in range(9)]
        # Only the call that was pending during the reloads fails, at its deadline.
        self.assertEqual([answer["id"] for answer in answers if "error" in answer], [pending_id])
        self.assertEqual(len([call for call in self.workers[0].ran if call["bytes"] == in_base64(b"x")]), 0)

    def check_malformed_files(self, text: str) -> None:
        """Check that a truncated file, or one with a wrong name or type of a value, is not applied."""
        for malformed in (
            text[:-9],
            "[]",
            text.replace("granularityUs", "odd"),
            text.replace('"Ready"', "7"),
        ):
            report = self.reload_with(malformed)
            self.assertEqual((report["ok"], report["taken"]), (False, []))

    def check_files_that_need_a_restart(self, text: str) -> None:
        """Check that a file with changes that require a restart, or of another customer, is not applied."""
        for place, changed in (
            ("max_attempts", text.replace('"attemptsCap": 5', '"attemptsCap": 4')),
            ("classes", text.replace('"review"', '"exam"')),
        ):
            report = self.reload_with(changed)
            self.assertEqual((report["ok"], report["taken"]), (False, []))
            self.assertEqual(report["restart"], [f"settings.{place}"])
            self.assertIn(f"settings.{place}", report["fault"])


class StopTest(PlatformTestCase):
    """Stopping the process."""

    def test_sigterm_serves_late_requests_and_then_exits(self) -> None:
        self.program.process.send_signal(signal.SIGTERM)
        self.program.find("(asked to stop)")
        self.client.call("review", b"abc")
        self.assertIn("result", self.client.read() or {})
        other = self.connect()
        other.call("review", b"abc")
        self.assertIn("result", other.read() or {})
        other.close()
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        self.assertIn('"requests.taken": 2', self.program.find('^(.*"counters".*)'))
