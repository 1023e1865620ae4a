"""The drain of a real process with clients of its invoke API."""

import asyncio
import http.client
import json
import subprocess
import threading
import time
from collections import Counter
from collections.abc import Iterator

from maplestile.tools.load.arrivals import Arrival
from maplestile.tools.load.client import CallTemplate, Load
from tests.invoke_fixture import DEFERRED, REPEATABLE, TENANT, WITH_KEY, InvokeTestCase, invocations_path
from tests.standins import PATIENCE_S, eventually

CALLS_PER_S = 200
CALLS_BEFORE_THE_STOP = 300
CALLS_AFTER_THE_END = 50
MAX_CALLS = 4000
CONNECTIONS = 230
RETRY_AFTER_S = 1.0
CALL_ENDS_AFTER_S = 1.2  # from SIGTERM on
END_WITH_PARTIAL_REQUEST_S = 4.0  # less than the 10 s that a request may take
END_WITH_DEFERRED_RESULT_S = 4.5  # and not until the deadline of the call


def arrivals_around_a_stop(process: subprocess.Popen[str]) -> Iterator[Arrival]:
    """Yield calls at a steady rate, stop the process amid them, and yield some more once it has ended.

    Where this process stood still, the calls of that time are not made at once: so many at a time
    would meet the load tool's bound and the front's, neither of which the test is about.
    """
    since_end = 0
    due_s = 0.0
    started_s = time.monotonic()
    for n in range(MAX_CALLS):
        if n == CALLS_BEFORE_THE_STOP:
            process.terminate()
        since_end += process.poll() is not None
        if since_end > CALLS_AFTER_THE_END:
            return
        due_s = max(due_s + 1 / CALLS_PER_S, time.monotonic() - started_s)
        yield Arrival(due_s, REPEATABLE)


class RepeatingCaller(threading.Thread):
    """A client that calls on a new connection each time, until it cannot connect any more."""

    def __init__(self, fixture: InvokeTestCase) -> None:
        super().__init__(daemon=True)
        self.fixture = fixture
        self.statuses = set[int]()
        self.ends = Counter[str]()
        self.faults = list[str]()

    def run(self) -> None:
        was_reset = False
        while (end := self._call()) != "refused":
            if was_reset:
                self.faults.append(f"{end}, after a reset: the listener was not closed")
            was_reset = end == "reset"
            self.ends[end] += 1

    def _call(self) -> str:
        """Call once, and return how that ended."""
        try:
            answer = self.fixture.post(REPEATABLE, b"hang:", Maplestile_Deadline_Ms="500")
        except http.client.RemoteDisconnected:
            return "closed"  # a clean close, which the call has crossed
        except ConnectionRefusedError:
            return "refused"
        except ConnectionResetError:
            return "reset"
        except OSError as fault:
            self.faults.append(repr(fault))
            return "fault"
        self.statuses.add(answer[0])
        return "answered"


class DrainTest(InvokeTestCase):
    """With the platform's front, after whose longest deadline the process is killed."""

    def test_a_drain_loses_no_call_of_clients_that_keep_their_connections(self) -> None:
        process = self.program.process
        load = Load([("127.0.0.1", self.port)], CallTemplate(b"x", TENANT), wait_s=PATIENCE_S)
        result = asyncio.run(load.run(arrivals_around_a_stop(process), CONNECTIONS))
        # After its end its address takes no connection, and such a call may go to another router.
        self.assertLessEqual(set(result.ends), {"served", "refused", "nowhere"}, result.ends)
        self.assertGreaterEqual(result.ends["nowhere"], CALLS_AFTER_THE_END)
        self.assertEqual(process.wait(PATIENCE_S), 0)


class DrainAloneTest(InvokeTestCase):
    """Without the platform's front there is no time by which the process is killed."""

    def changed(self, text: str) -> str:
        before, _, rest = text.partition("[platform]")
        return before + rest[rest.index("[operation]") :]

    def test_drain_ends_though_callers_never_stop(self) -> None:
        """New callers come all the time, so that some call is always pending. Who connects between the last
        accept and the close of the listener is reset by the system (`test_listen.py`), at most once each; all
        others are answered or find a clean close, and the program took in no request but the answered."""
        callers = [RepeatingCaller(self) for _ in range(6)]
        for caller in callers:
            caller.start()
            time.sleep(0.08)
        eventually(lambda: any(caller.statuses for caller in callers), "answers")
        self.program.process.terminate()
        for caller in callers:
            caller.join(PATIENCE_S)
        faults = [fault for caller in callers for fault in caller.faults]
        self.assertEqual((self.program.process.wait(PATIENCE_S), faults), (0, []))
        self.assertLessEqual({status for caller in callers for status in caller.statuses}, {503, 504})
        ends = sum((caller.ends for caller in callers), Counter[str]())
        counters = json.loads(self.program.find(r'^(\{"counters".*)'))["counters"]
        self.assertEqual(counters["invoke.connections"], ends["answered"] + ends["closed"], ends)
        self.assertEqual(counters["invoke.requests"], ends["answered"], ends)

    def test_half_a_request_keeps_no_process_and_finds_a_clean_close(self) -> None:
        partial = self.connect_and_send(
            f"POST {invocations_path(REPEATABLE)} HTTP/1.1\r\nContent-Le".encode()
        )
        self.assertEqual(self.post(REPEATABLE, b"abc")[0], 200)  # the partial one has been read
        start_s = time.monotonic()
        self.program.process.terminate()
        self.assertEqual(partial.recv(100), b"")
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        self.assertLess(time.monotonic() - start_s, END_WITH_PARTIAL_REQUEST_S)

    def stop_with_a_deferred_call(self) -> str:
        """Send SIGTERM while a deferred call is open, let it end soon after, and return its location."""
        self.pause_workers()
        code, _, headers = self.post(WITH_KEY, b"abc", Prefer=DEFERRED)
        self.assertEqual(code, 202)
        self.program.process.terminate()
        time.sleep(CALL_ENDS_AFTER_S)
        self.resume_workers()
        return headers["location"]

    def test_deferred_result_of_a_drain_waits_for_a_caller_that_keeps_to_retry_after(self) -> None:
        location = self.stop_with_a_deferred_call()
        time.sleep(RETRY_AFTER_S)
        self.assertEqual(self.request("GET", location)[:2], (200, b"cba"))
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)

    def test_deferred_result_that_nobody_collects_keeps_no_process(self) -> None:
        self.stop_with_a_deferred_call()
        start_s = time.monotonic()
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        self.assertLess(time.monotonic() - start_s, END_WITH_DEFERRED_RESULT_S)
