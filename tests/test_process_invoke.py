"""Tests of the invoke API of a real process: call outcomes, deferred calls and reloads."""

import json
import threading
import time

from tests.invoke_fixture import (
    DEFERRED,
    NEVER_REPEATED,
    REPEATABLE,
    REPEATABLE_WITH_KEY,
    TENANT,
    InvokeTestCase,
    invocations_path,
)
from tests.standins import Client, eventually

POLLING_S = 1.5  # well over the deadline of the call


class CallsTest(InvokeTestCase):
    """The outcomes of calls."""

    def test_calls_end_the_same_way_at_both_fronts_and_deferred(self) -> None:
        client = Client(self.program.port("platform"))
        self.addCleanup(client.close)
        for function, class_name, body, status in (
            (REPEATABLE, "review", b"abc", 200),
            (REPEATABLE_WITH_KEY, "deck-make", b"chapter", 200),
            (NEVER_REPEATED, "test-submit", b"marks", 200),
            (NEVER_REPEATED, "test-submit", b"error:1", 502),
        ):
            self.check_agreement(client, function, class_name, body, status)
        self.check_call_of_killed_worker(NEVER_REPEATED, b"die:1", 502)
        self.check_agreement(client, NEVER_REPEATED, "test-submit", b"after", 200)

    def check_agreement(
        self, client: Client, function: str, class_name: str, body: bytes, status: int
    ) -> None:
        """Check that a call ends the same way at both fronts, and also as a deferred call."""
        client.call(class_name, body, item=function, team=TENANT, unique="u")
        platform_answer = client.read() or {}
        synchronous = self.post(function, body)
        deferred = self.post(function, body, Prefer=DEFERRED)
        self.assertEqual(deferred[0], 202)
        collected = self.final_answer(deferred[2]["location"])
        was_served = "result" in platform_answer
        self.assertEqual((synchronous[0], collected[0], was_served), (status, status, status == 200), body)
        self.assertEqual(synchronous[1], collected[1])
        if status == 200:
            self.assertEqual(synchronous[1], body[::-1])
        self.assertEqual(self.run_count(body), 3)

    def check_call_of_killed_worker(self, function: str, body: bytes, status: int) -> None:
        """Check that a call whose worker dies has one final answer, and never runs again under its key."""
        code, _, headers = self.post(function, body, Prefer=DEFERRED, Idempotency_Key="once")
        self.assertEqual(code, 202)
        answer = self.final_answer(headers["location"])
        self.assertEqual((answer[0], self.run_count(body)), (status, 1))
        again = self.post(function, body, Idempotency_Key="once")
        self.assertEqual((again[0], again[1], self.run_count(body)), (status, answer[1], 1))
        self.assertEqual(self.final_answer(headers["location"]), answer)

    def test_errors_have_problem_details(self) -> None:
        for answer, status in (
            (self.post("nobody", b""), 404),
            (self.post(REPEATABLE, b"", Maplestile_Tenant="x"), 400),
            (self.post(REPEATABLE, b"", Maplestile_Class="x"), 400),
            (self.post(REPEATABLE, b"", Maplestile_Deadline_Ms="soon"), 400),
            (self.post(REPEATABLE, b"a" * 20_000), 413),
            (self.request("GET", "/v1/invocations/ab"), 404),
            (self.request("PUT", invocations_path(REPEATABLE)), 405),
            (self.post(NEVER_REPEATED, b"hang:", Maplestile_Deadline_Ms="200"), 504),
        ):
            self.assertEqual((answer[0], answer[2]["content-type"]), (status, "application/problem+json"))
            self.assertEqual(json.loads(answer[1])["status"], status)


class DeferredCallsTest(InvokeTestCase):
    """Deferred calls, whose answers clients poll."""

    def test_deferred_call_past_its_deadline_has_one_final_answer(self) -> None:
        code, _, headers = self.post(NEVER_REPEATED, b"hang:1", Prefer=DEFERRED, Maplestile_Deadline_Ms="600")
        self.assertEqual(code, 202)
        answers = self.poll_from_threads(headers["location"], 4)
        final_answers = {answer for answer in answers if answer[0] != 202}
        # One answer, the same for all pollers.
        self.assertEqual([status for status, _ in final_answers], [504])
        self.assertEqual(self.request("DELETE", headers["location"])[0], 409)
        self.assertEqual((self.final_answer(headers["location"])[0], self.run_count(b"hang:1")), (504, 1))

    def poll_from_threads(self, location: str, count: int) -> list[tuple[int, bytes]]:
        """Poll a deferred call from `count` threads, and return every status and body."""
        answers = list[tuple[int, bytes]]()

        def poll() -> None:
            end_s = time.monotonic() + POLLING_S
            while time.monotonic() < end_s:
                answers.append(self.request("GET", location)[:2])

        pollers = [threading.Thread(target=poll) for _ in range(count)]
        for poller in pollers:
            poller.start()
        for poller in pollers:
            poller.join()
        return answers

    def test_deferred_result_not_collected_by_its_deadline_fails(self) -> None:
        headers = {"Prefer": DEFERRED, "Maplestile_Deadline_Ms": "300"}

        def location_of_lapsed_result() -> str | None:
            """Defer a call, collect nothing; return None if a busy machine had no result by the deadline."""
            before = self.program.counters()
            code, _, accepted = self.post(REPEATABLE, b"abc", **headers)
            self.assertEqual(code, 202)
            lapsed = before.get("invoke.lapsed", 0) + 1
            eventually(lambda: self.program.counters().get("invoke.lapsed") == lapsed, "the deadline")
            served = self.program.counters().get("answers.served", 0)
            return accepted["location"] if served > before.get("answers.served", 0) else None

        location = eventually(location_of_lapsed_result, "a result that nobody collects")
        code, body, _ = self.request("GET", location)
        self.assertEqual((code, json.loads(body)["status"]), (504, 504))
        self.assertEqual(self.request("GET", location)[1], body)

    def test_cancelled_call_stays_cancelled(self) -> None:
        accepted = self.post(NEVER_REPEATED, b"hang:2", Prefer=DEFERRED)[2]
        eventually(lambda: self.run_count(b"hang:2"), "the call")
        code, _, headers = self.request("GET", accepted["location"])
        self.assertEqual((code, "retry-after" in headers), (202, True))
        self.assertEqual(self.request("DELETE", accepted["location"])[0], 204)
        self.assertEqual(self.request("GET", accepted["location"])[0], 410)
        self.assertEqual(self.request("DELETE", accepted["location"])[0], 204)
        self.assertEqual(self.program.stop(), 0)


class ReloadTest(InvokeTestCase):
    """Reloads of a changed operator's file by SIGHUP."""

    def test_reload_applies_changes_or_reports_what_needs_a_restart(self) -> None:
        self.assertEqual(self.post("new-cards", b"abc")[0], 404)
        function = '[[function]]\nname = "new-cards"\nclass = "review"\nmemory_mb = 100\n'
        worker = f'[[worker]]\nid = "w3"\naddress = "127.0.0.1:{self.workers[0].port}"\nkind = "quad-std"\n'
        added = f"{function}{worker}[[kind]]"
        report = self.program.reload(lambda text: text.replace("[[kind]]", added).replace("9.7", "9.6"))
        # Nothing is applied: a file is applied completely or not at all, so that two files are never mixed.
        self.assertEqual((report["ok"], report["taken"]), (False, []))
        self.assertEqual(report["restart"], ["settings.keep_alive_us"])
        self.assertEqual(self.post("new-cards", b"abc")[0], 404)
        report = self.program.reload(lambda text: text.replace("9.6", "9.7"))
        self.assertEqual((report["taken"], report["restart"]), (["known", "invoke"], []))
        self.assertEqual(self.post("new-cards", b"abc")[:2], (200, b"cba"))
        report = self.program.reload(lambda text: text.replace('"new-cards"', "5"))
        self.assertIn("function[3].name", report["fault"])
        self.assertEqual(self.post("new-cards", b"abc")[:2], (200, b"cba"))
        report = self.program.reload(
            lambda text: text.replace("name = 5", 'name = "f"').replace("bytes = 16384", "bytes = 2")
        )
        self.assertEqual((report["taken"], self.post(REPEATABLE, b"abc")[0]), (["invoke"], 413))
