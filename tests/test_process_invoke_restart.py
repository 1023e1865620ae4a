"""Tests of what a router has taken on and still owes when its process ends, with real processes."""

import json
import signal
import time

from tests.invoke_fixture import (
    DEFERRED,
    NEVER_REPEATED,
    REPEATABLE,
    REPEATABLE_WITH_KEY,
    InvokeTestCase,
)
from tests.operation_fixture import change_runner, request_operator
from tests.standins import PATIENCE_S, Program, eventually

KILL_AFTER_S = 3.7  # SIGKILL after SIGTERM: the longest deadline, counted as 3 s at most, and 0.7 s
LONG_DEADLINE_MS = "50000"


class RestartTestCase(InvokeTestCase):
    """A router whose process ends, and is started again on its file."""

    def restart(self, *signals: signal.Signals) -> None:
        """End the process by these signals, `KILL_AFTER_S` apart, and start it again on the same file."""
        for number, sent in enumerate(signals):
            if number:
                time.sleep(KILL_AFTER_S)
            self.program.process.send_signal(sent)
        self.program.process.wait(PATIENCE_S)
        self.program = Program("serve", str(self.program.file))
        self.addCleanup(self.program.kill)
        self.port = self.program.port("invoke")

    def defer(self, function: str, body: bytes, **headers: str) -> str:
        """Submit a deferred call with much time, and return its location once an attempt was sent."""
        sent_before = self.program.counters().get("attempts.sent", 0)
        headers = {"Prefer": DEFERRED, "Maplestile_Deadline_Ms": LONG_DEADLINE_MS} | headers
        code, _, received = self.post(function, body, **headers)
        self.assertEqual(code, 202)
        eventually(lambda: self.program.counters().get("attempts.sent", 0) > sent_before, "an attempt")
        return received["location"]

    def wait_until_ended(self, function: str, body: bytes) -> str:
        """Submit a deferred call and wait until a worker has run it; return its location."""
        location = self.defer(function, body)
        time.sleep(0.3)
        return location


class RecordsTest(RestartTestCase):
    """Invocation records across restarts."""

    def test_results_that_wait_to_be_collected_outlive_any_end_of_the_process(self) -> None:
        """Guards against 404 for a call that was accepted with 202, and has run."""
        ends = (signal.SIGTERM,), (signal.SIGTERM, signal.SIGKILL), (signal.SIGKILL,)
        for number, signals in enumerate(ends):
            with self.subTest(signals=signals):
                body = b"%d" % number
                location = self.wait_until_ended(NEVER_REPEATED, body)
                self.restart(*signals)
                first = self.request("GET", location)
                self.assertEqual((first[0], self.run_count(body)), (200, 1))
                self.restart(signal.SIGKILL)
                self.assertEqual(self.request("GET", location)[:2], first[:2])

    def test_pending_call_that_may_not_repeat_gets_one_answer_and_does_not_run_again(self) -> None:
        """Guards against no answer, and against a second run, of a call that was in flight at the end."""
        for function in (NEVER_REPEATED, REPEATABLE_WITH_KEY):
            for signals in ((signal.SIGTERM, signal.SIGKILL), (signal.SIGKILL,)):
                with self.subTest(function=function, signals=signals):
                    body = f"{function} {len(signals)}".encode()
                    self.pause_workers()
                    location = self.defer(function, body)
                    self.restart(*signals)
                    self.resume_workers()
                    status, text, _ = self.final_answer(location)
                    self.assertIn(status, (502, 504))
                    self.assertEqual(self.request("GET", location)[:2], (status, text))
                    time.sleep(0.5)
                    self.assertLessEqual(self.run_count(body), 1)

    def test_pending_call_that_may_repeat_is_run_again(self) -> None:
        """Guards against a failed call where the next process has the time to run it."""
        for signals in ((signal.SIGTERM, signal.SIGKILL), (signal.SIGKILL,)):
            with self.subTest(signals=signals):
                self.pause_workers()
                location = self.defer(REPEATABLE, b"%d" % len(signals))
                self.restart(*signals)
                self.resume_workers()
                self.assertEqual(self.final_answer(location)[0], 200)

    def test_idempotency_key_is_the_same_invocation_after_a_restart(self) -> None:
        """Guards against a call that may not repeat, and runs again under its key after a restart."""
        headers = {"Idempotency_Key": "sheet-7", "Maplestile_Deadline_Ms": LONG_DEADLINE_MS}
        first = self.post(NEVER_REPEATED, b"once", **headers)
        self.assertEqual(first[0], 200)
        self.restart(signal.SIGKILL)
        self.assertEqual(self.post(NEVER_REPEATED, b"once", **headers)[:2], first[:2])
        self.assertEqual(self.run_count(b"once"), 1)
        self.assertEqual(self.post(NEVER_REPEATED, b"other", **headers)[0], 422)

    def test_deadline_passes_while_no_process_runs(self) -> None:
        """Guards against a call that is owed for ever, or one with more time than its caller gave."""
        self.pause_workers()
        location = self.defer(REPEATABLE, b"late", Maplestile_Deadline_Ms="1000")
        self.program.process.kill()
        self.program.process.wait()
        time.sleep(1.1)
        self.restart()
        self.assertEqual(self.request("GET", location)[0], 504)


class CordonsTest(RestartTestCase):
    """Cordons of a router whose file names no folder."""

    def is_suspended(self) -> bool:
        """Return whether the runner `w1` is suspended."""
        status, body = request_operator(self.program, "/v1/runners")
        self.assertEqual(status, 200)
        listed = {runner["id"]: runner["suspended"] for runner in json.loads(body)["runners"]}
        return bool(listed["w1"])

    def test_cordon_outlives_the_process(self) -> None:
        """Guards against calls to a runner that an operator has taken out, after a restart of the router."""
        for action, suspended in (("suspend", True), ("resume", False)):
            self.assertEqual(change_runner(self.program, "w1", action), 204)
            self.restart(signal.SIGKILL)
            self.assertEqual(self.is_suspended(), suspended)


class DiskFullTest(InvokeTestCase):
    """A router that cannot write its records: its folder is on a device without room."""

    def edit_operator_file(self, text: str) -> str:
        return text.replace("[invoke]", '[invoke]\nfolder = "/dev/full/records"\n', 1)

    def test_router_serves_without_a_folder_for_its_records(self) -> None:
        self.assertEqual(self.post(REPEATABLE, b"abc")[0], 200)
        code, _, headers = self.post(REPEATABLE, b"abc", Prefer=DEFERRED)
        self.assertEqual((code, self.final_answer(headers["location"])[0]), (202, 200))
        self.assertTrue(self.program.find("(deferred calls will not outlive this process)"))
