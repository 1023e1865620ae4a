"""Both fronts of one real process: the same calls end the same way, also when a worker dies mid-call."""

import asyncio
import base64
import http.client
import json
import socket
import tempfile
import threading
import time
import unittest
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

from maplestile.tools.load.arrivals import Arrival
from maplestile.tools.load.client import CallTemplate, Load
from tests.standins import ROOT, Client, Program, Worker, eventually

Answer = tuple[int, bytes, dict[str, str]]


class InvokeBase(unittest.TestCase):
    def setUp(self) -> None:
        self.workers = [Worker(), Worker()]
        text = (ROOT / "deploy" / "operator.toml").read_text()
        for old, new in (
            *((f"127.0.0.1:808{n}", "127.0.0.1:0") for n in range(3)),
            ("127.0.0.1:9001", f"127.0.0.1:{self.workers[0].port}"),
            ("127.0.0.1:9002", f"127.0.0.1:{self.workers[1].port}"),
        ):
            text = text.replace(old, new)
        file = Path(tempfile.mkdtemp()) / "operator.toml"
        file.write_text(self.changed(text))
        self.program = Program("serve", str(file))
        self.addCleanup(self.program.kill)
        self.port = self.program.port("invoke")

    def changed(self, text: str) -> str:
        return text

    def ask(self, method: str, path: str, body: bytes = b"", **headers: str) -> Answer:
        link = http.client.HTTPConnection("127.0.0.1", self.port, timeout=20)
        sent = {"Maplestile-Tenant": "shapla-tutors"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        link.request(method, path, body, sent)
        answer = link.getresponse()
        received = {name.lower(): value for name, value in answer.getheaders()}
        found = answer.status, answer.read(), received
        link.close()
        return found

    def post(self, function: str, body: bytes, **headers: str) -> Answer:
        return self.ask("POST", f"/v1/functions/{function}/invocations", body, **headers)

    def final(self, location: str) -> Answer:
        def look() -> Answer | None:
            answer = self.ask("GET", location)
            return answer if answer[0] != 202 else None

        found: Answer = eventually(look, location)
        return found

    def runs(self, body: bytes) -> int:
        text = base64.b64encode(body).decode()
        return sum(call["bytes"] == text for worker in self.workers for call in worker.ran)


class InvokeTest(InvokeBase):
    def test_a_drain_loses_no_call_of_clients_that_keep_their_connections(self) -> None:
        process = self.program.process

        def calls() -> Iterator[Arrival]:
            """200 a second, the stop after 300 of them, and 50 more once the process has ended.

            Where this process stood still, the calls of that time are not made at once: so many at a time
            would meet the load tool's bound and the front's, neither of which this test is about.
            """
            since_end = 0
            due_s = 0.0
            began_s = time.monotonic()
            for n in range(4000):
                if n == 300:
                    process.terminate()
                since_end += process.poll() is not None
                if since_end > 50:
                    return
                due_s = max(due_s + 1 / 200, time.monotonic() - began_s)
                yield Arrival(due_s, "score-bangla")

        load = Load([("127.0.0.1", self.port)], CallTemplate(b"x", "shapla-tutors"), wait_s=20.0)
        result = asyncio.run(load.run(calls(), 230))
        # After its end its address takes no connection, and such a call may go to another router.
        self.assertLessEqual(set(result.ends), {"served", "refused", "nowhere"}, result.ends)
        self.assertGreaterEqual(result.ends["nowhere"], 50)
        self.assertEqual(process.wait(20), 0)

    def test_deferred_call_whose_deadline_ends_while_it_is_polled_has_one_final_answer(self) -> None:
        code, _, headers = self.post(
            "keep-result", b"hang:1", Prefer="respond-async", Maplestile_Deadline_Ms="600"
        )
        self.assertEqual(code, 202)
        seen = list[tuple[int, bytes]]()

        def poll() -> None:
            end = time.monotonic() + 1.5
            while time.monotonic() < end:
                seen.append(self.ask("GET", headers["location"])[:2])

        pollers = [threading.Thread(target=poll) for _ in range(4)]
        for poller in pollers:
            poller.start()
        for poller in pollers:
            poller.join()
        finals = {answer for answer in seen if answer[0] != 202}
        self.assertEqual([status for status, _ in finals], [504])  # one, to all of them
        self.assertEqual(self.ask("DELETE", headers["location"])[0], 409)
        self.assertEqual((self.final(headers["location"])[0], self.runs(b"hang:1")), (504, 1))

    def test_both_fronts_and_both_paths_agree_call_by_call(self) -> None:
        client = Client(self.program.port("platform"))
        self.addCleanup(client.close)
        cases = [
            ("score-bangla", "review", b"abc", 200),
            ("make-cards", "deck-make", b"chapter", 200),
            ("keep-result", "test-submit", b"marks", 200),
            ("keep-result", "test-submit", b"error:1", 502),
            ("keep-result", "test-submit", b"die:1", 502),
            ("keep-result", "test-submit", b"after", 200),
        ]
        for function, class_name, body, status in cases:
            if body.startswith(b"die"):
                # One worker is killed mid-call: the client polls, and the call never runs again.
                code, _, headers = self.post(function, body, Prefer="respond-async", Idempotency_Key="once")
                self.assertEqual(code, 202)
                answer = self.final(headers["location"])
                self.assertEqual((answer[0], self.runs(body)), (status, 1))
                again = self.post(function, body, Idempotency_Key="once")
                self.assertEqual((again[0], again[1], self.runs(body)), (status, answer[1], 1))
                self.assertEqual(self.final(headers["location"]), answer)
                continue
            client.call(class_name, body, item=function, team="shapla-tutors", unique="u")
            platform_answer = client.read() or {}
            plain = self.post(function, body)
            deferred = self.post(function, body, Prefer="respond-async")
            self.assertEqual(deferred[0], 202)
            later = self.final(deferred[2]["location"])
            served = "result" in platform_answer
            self.assertEqual((plain[0], later[0], served), (status, status, status == 200), body)
            self.assertEqual(plain[1], later[1])
            if status == 200:
                self.assertEqual(plain[1], body[::-1])
            self.assertEqual(self.runs(body), 3)

    def test_deferred_result_not_collected_by_its_deadline_is_reported_as_failed(self) -> None:
        headers = {"Prefer": "respond-async", "Maplestile_Deadline_Ms": "300"}
        code, _, accepted = self.post("score-bangla", b"abc", **headers)
        self.assertEqual(code, 202)
        eventually(lambda: self.program.counters().get("answers.served"), "the result")

        def lapsed() -> bool:
            return self.program.counters().get("invoke.lapsed") == 1

        eventually(lapsed, "the deadline")
        code, body, _ = self.ask("GET", accepted["location"])
        self.assertEqual((code, json.loads(body)["status"]), (504, 504))
        self.assertEqual(self.ask("GET", accepted["location"])[1], body)

    def test_connection_is_kept_for_one_call_after_the_other(self) -> None:
        link = http.client.HTTPConnection("127.0.0.1", self.port, timeout=20)
        self.addCleanup(link.close)
        for body in (b"one", b"two", b"three"):
            path, tenant = "/v1/functions/score-bangla/invocations", {"Maplestile-Tenant": "shapla-tutors"}
            link.request("POST", path, body, tenant)
            answer = link.getresponse()
            self.assertEqual((answer.status, answer.read()), (200, body[::-1]))
        self.assertEqual(self.program.counters()["invoke.connections"], 1)
        self.assertFalse([line for line in self.program.log if "Error" in line])

    def raw(self, data: bytes) -> socket.socket:
        link = socket.create_connection(("127.0.0.1", self.port), timeout=20)
        self.addCleanup(link.close)
        link.sendall(data)
        return link

    def test_oversized_body_is_refused_at_its_head_and_the_answer_is_not_lost(self) -> None:
        path = b"/v1/functions/score-bangla/invocations"
        head = b"POST " + path + b" HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n"
        for more in (b"Expect: 100-continue\r\n\r\n", b"\r\n" + b"x" * 100_000):
            self.assertTrue(self.raw(head + more).recv(100).startswith(b"HTTP/1.1 413 "))

    def test_idle_connection_makes_room_for_one_with_a_request(self) -> None:
        self.program.reload(lambda text: text.replace("[limits]", "[limits]\nconnections = 2", 1))
        silent = self.raw(b"")
        eventually(lambda: self.program.counters().get("invoke.connections") == 1, "the silent one")
        partial = self.raw(b"POST /v1/functions/score-bangla/invocations HTTP/1.1\r\nHost: h\r\nContent-Le")
        eventually(lambda: self.program.counters().get("invoke.connections") == 2, "the slow one")
        self.assertEqual(self.post("score-bangla", b"abc")[:2], (200, b"cba"))
        self.assertEqual(silent.recv(1), b"")  # and the one that has sent a part may send the rest
        partial.sendall(b"ngth: 3\r\nMaplestile-Tenant: shapla-tutors\r\n\r\nabc")
        self.assertTrue(partial.recv(100).startswith(b"HTTP/1.1 200 "))

    def until_sent(self, attempts: int) -> None:
        eventually(lambda: self.program.counters().get("attempts.sent") == attempts, "the attempt")

    def test_no_attempt_starts_for_a_client_that_left_and_its_key_is_free_again(self) -> None:
        for worker in self.workers:
            worker.pause()  # the attempt is out, and not answered
        for number, key in enumerate((b"", b"Idempotency-Key: k1\r\n"), 1):
            head = b"POST /v1/functions/score-bangla/invocations HTTP/1.1\r\nHost: h\r\n" + key
            rest = b"Maplestile-Tenant: shapla-tutors\r\nContent-Length: 6\r\n\r\nfull:%d" % number
            connection = self.raw(head + rest)
            self.until_sent(number)
            connection.close()
        time.sleep(0.3)
        for worker in self.workers:
            worker.resume()
        eventually(lambda: self.program.counters().get("attempts.full"), "the answer to the second")
        time.sleep(0.5)
        counters = self.program.counters()
        self.assertEqual(counters["attempts.sent"], 2)
        calls = [line["bytes"] for worker in self.workers for line in worker.lines if line["kind"] == "CALL"]
        self.assertEqual(len(calls), 2)
        # Nothing ran under the key, and nobody got an answer: it may be used for this call, or another.
        answer = self.post("score-bangla", b"abc", Idempotency_Key="k1")
        self.assertEqual(answer[:2], (200, b"cba"))

    def test_call_under_a_key_goes_on_for_the_client_that_still_waits(self) -> None:
        for worker in self.workers:
            worker.pause()
        head = b"POST /v1/functions/score-bangla/invocations HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k2\r\n"
        rest = b"Maplestile-Tenant: shapla-tutors\r\nContent-Length: 3\r\n\r\nabc"
        first = self.raw(head + rest)
        eventually(lambda: self.program.counters().get("attempts.sent"), "the attempt")
        second = self.raw(head + rest)
        eventually(lambda: self.program.counters().get("invoke.requests") == 2, "the second")
        first.close()
        time.sleep(0.3)
        for worker in self.workers:
            worker.resume()
        self.assertTrue(second.recv(100).startswith(b"HTTP/1.1 200 "))
        self.assertEqual(self.runs(b"abc"), 1)

    def test_mistakes_are_answered_with_problem_details(self) -> None:
        for answer, status in (
            (self.post("nobody", b""), 404),
            (self.post("score-bangla", b"", Maplestile_Tenant="x"), 400),
            (self.post("score-bangla", b"", Maplestile_Class="x"), 400),
            (self.post("score-bangla", b"", Maplestile_Deadline_Ms="soon"), 400),
            (self.post("score-bangla", b"a" * 20_000), 413),
            (self.ask("GET", "/v1/invocations/ab"), 404),
            (self.ask("PUT", "/v1/functions/score-bangla/invocations"), 405),
            (self.post("keep-result", b"hang:", Maplestile_Deadline_Ms="200"), 504),
        ):
            self.assertEqual((answer[0], answer[2]["content-type"]), (status, "application/problem+json"))
            self.assertEqual(json.loads(answer[1])["status"], status)

    def test_cancel_ends_a_pending_call_and_its_answer_stays(self) -> None:
        accepted = self.post("keep-result", b"hang:2", Prefer="respond-async")[2]
        eventually(lambda: self.runs(b"hang:2"), "the call")
        code, _, headers = self.ask("GET", accepted["location"])
        self.assertEqual((code, "retry-after" in headers), (202, True))
        self.assertEqual(self.ask("DELETE", accepted["location"])[0], 204)
        self.assertEqual(self.ask("GET", accepted["location"])[0], 410)
        self.assertEqual(self.ask("DELETE", accepted["location"])[0], 204)
        self.assertEqual(self.program.stop(), 0)

    def test_reload_takes_functions_workers_and_limits_and_names_what_needs_a_restart(self) -> None:
        self.assertEqual(self.post("new-cards", b"abc")[0], 404)
        function = '[[function]]\nname = "new-cards"\nclass = "review"\nmemory_mb = 100\n'
        worker = f'[[worker]]\nid = "w3"\naddress = "127.0.0.1:{self.workers[0].port}"\nkind = "quad-std"\n'
        added = f"{function}{worker}[[kind]]"
        report = self.program.reload(lambda text: text.replace("[[kind]]", added).replace("9.7", "9.6"))
        # Nothing is taken: half a file would be a mixture of two.
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
        self.assertEqual((report["taken"], self.post("score-bangla", b"abc")[0]), (["invoke"], 413))


class InvokeAloneTest(InvokeBase):
    """Without the platform's front there is no time by which the process is killed."""

    def changed(self, text: str) -> str:
        before, _, rest = text.partition("[platform]")
        return before + rest[rest.index("[operation]") :]

    def test_drain_ends_though_callers_never_stop(self) -> None:
        """New callers come all the time, so that some call is always pending. Who connects between the last
        accept and the close of the listener is reset by the system (`test_listen.py`), at most once each; all
        others are answered or find a clean close, and the program took in no request but the answered."""
        statuses, faults, ends = set[int](), list[str](), Counter[str]()
        lock = threading.Lock()

        def keep_calling() -> None:
            was_reset = False
            while True:
                try:
                    statuses.add(self.post("score-bangla", b"hang:", Maplestile_Deadline_Ms="500")[0])
                    end = "answered"
                except http.client.RemoteDisconnected:
                    end = "closed"  # a clean close, which the call has crossed
                except ConnectionRefusedError:
                    return
                except ConnectionResetError:
                    end = "reset"
                except OSError as fault:
                    end = "fault"
                    faults.append(repr(fault))
                if was_reset:
                    faults.append(f"{end}, after a reset: the listener was not closed")
                was_reset = end == "reset"
                with lock:
                    ends[end] += 1

        callers = [threading.Thread(target=keep_calling, daemon=True) for _ in range(6)]
        for caller in callers:
            caller.start()
            time.sleep(0.08)
        eventually(lambda: statuses, "answers")
        self.program.process.terminate()
        for caller in callers:
            caller.join(20)
        self.assertEqual((self.program.process.wait(20), faults), (0, []))
        self.assertLessEqual(statuses, {503, 504})
        counters = json.loads(self.program.find(r'^(\{"counters".*)'))["counters"]
        self.assertEqual(counters["invoke.connections"], ends["answered"] + ends["closed"], ends)
        self.assertEqual(counters["invoke.requests"], ends["answered"], ends)

    def test_half_a_request_keeps_no_process_and_finds_a_clean_close(self) -> None:
        half = socket.create_connection(("127.0.0.1", self.port), timeout=20)
        half.sendall(b"POST /v1/functions/score-bangla/invocations HTTP/1.1\r\nContent-Le")
        self.addCleanup(half.close)
        self.assertEqual(self.post("score-bangla", b"abc")[0], 200)  # the half one has been read
        start_s = time.monotonic()
        self.program.process.terminate()
        self.assertEqual(half.recv(100), b"")
        self.assertEqual(self.program.process.wait(20), 0)
        self.assertLess(time.monotonic() - start_s, 4.0)  # and not the 10 s that a request may take

    def deferred(self) -> str:
        """A call that is open, and ends 1.2 s after SIGTERM."""
        for worker in self.workers:
            worker.pause()
        code, _, headers = self.post("make-cards", b"abc", Prefer="respond-async")
        self.assertEqual(code, 202)
        self.program.process.terminate()
        time.sleep(1.2)
        for worker in self.workers:
            worker.resume()
        return headers["location"]

    def test_deferred_result_of_a_drain_waits_for_a_caller_that_keeps_to_retry_after(self) -> None:
        location = self.deferred()
        time.sleep(1.0)  # Retry-After
        self.assertEqual(self.ask("GET", location)[:2], (200, b"cba"))
        self.assertEqual(self.program.process.wait(20), 0)

    def test_deferred_result_that_nobody_collects_keeps_no_process(self) -> None:
        self.deferred()
        start_s = time.monotonic()
        self.assertEqual(self.program.process.wait(20), 0)
        self.assertLess(time.monotonic() - start_s, 4.5)  # and not until its deadline
