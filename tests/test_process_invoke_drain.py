"""Tests of the drain of a real process with clients of its invoke API."""

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
from tests.invoke_fixture import (
    DEFERRED,
    REPEATABLE,
    REPEATABLE_WITH_KEY,
    TENANT,
    InvokeTestCase,
    invocations_path,
)
from tests.standins import PATIENCE_S, eventually

CALLS_PER_S = 200
CALLS_BEFORE_STOP = 300
CALLS_AFTER_EXIT = 50
MAX_CALLS = 4000  # upper limit: the arrivals normally end soon after the exit
MAX_CONNECTIONS = 230
RETRY_AFTER_S = 1.0  # the `Retry-After` of a pending deferred call
CALL_ENDS_AFTER_S = 1.2  # after SIGTERM
MAX_EXIT_WITH_PARTIAL_REQUEST_S = 4.0  # less than the 10 s that a request may take to arrive
MAX_EXIT_WITH_DEFERRED_RESULT_S = 4.5  # less than the deadline of the call


def arrivals_around_stop(process: subprocess.Popen[str]) -> Iterator[Arrival]:
    """Yield calls at a steady rate, send SIGTERM to the process, and end a few calls after its exit.

    If the test itself was paused, the missed calls are not all made at once: that many open calls would
    exceed the limits of the load tool and of the front, which are not tested here.
    """
    calls_since_exit = 0
    due_s = 0.0
    started_s = time.monotonic()
    for n in range(MAX_CALLS):
        if n == CALLS_BEFORE_STOP:
            process.terminate()
        calls_since_exit += process.poll() is not None
        if calls_since_exit > CALLS_AFTER_EXIT:
            return
        due_s = max(due_s + 1 / CALLS_PER_S, time.monotonic() - started_s)
        yield Arrival(due_s, REPEATABLE)


class ReconnectingCaller(threading.Thread):
    """A client that makes each call on a new connection, until a connection is refused."""

    def __init__(self, fixture: InvokeTestCase) -> None:
        super().__init__(daemon=True)
        self.fixture = fixture
        self.statuses = set[int]()  # of the answers
        self.ends = Counter[str]()  # calls by how they ended
        self.faults = list[str]()  # unexpected errors

    def run(self) -> None:
        was_reset = False
        while (end := self._call()) != "refused":
            if was_reset:
                self.faults.append(f"{end} after a reset: the listener was still open")
            was_reset = end == "reset"
            self.ends[end] += 1

    def _call(self) -> str:
        """Make one call, and return how it ended."""
        try:
            answer = self.fixture.post(REPEATABLE, b"hang:", Maplestile_Deadline_Ms="500")
        except http.client.RemoteDisconnected:
            return "closed"  # a clean close that crossed the call
        except ConnectionRefusedError:
            return "refused"
        except ConnectionResetError:
            return "reset"
        except OSError as error:
            self.faults.append(repr(error))
            return "fault"
        self.statuses.add(answer[0])
        return "answered"


class DrainWithPlatformTest(InvokeTestCase):
    """Drains with a platform front: the platform kills the process after its longest deadline."""

    def test_drain_loses_no_call_on_kept_connections(self) -> None:
        process = self.program.process
        load = Load([("127.0.0.1", self.port)], CallTemplate(b"x", TENANT), wait_s=PATIENCE_S)
        result = asyncio.run(load.run(arrivals_around_stop(process), MAX_CONNECTIONS))
        # After the exit the address accepts no connection ("nowhere"); a client may call another router.
        self.assertLessEqual(set(result.ends), {"served", "refused", "nowhere"}, result.ends)
        self.assertGreaterEqual(result.ends["nowhere"], CALLS_AFTER_EXIT)
        self.assertEqual(process.wait(PATIENCE_S), 0)


class DrainWithoutPlatformTest(InvokeTestCase):
    """Drains without a platform front: the process is not killed at a set time."""

    def edit_operator_file(self, text: str) -> str:
        before, _, rest = text.partition("[platform]")
        return before + rest[rest.index("[operation]") :]

    def test_drain_ends_while_callers_continue(self) -> None:
        """New calls keep coming, so that some call is always pending; the drain must end nevertheless.

        A caller that connects between the last accept and the close of the listener is reset by the system
        (`test_listen.py`), at most once per caller. All other calls are answered or get a clean close, and
        the router reads no request that it does not answer.
        """
        callers = [ReconnectingCaller(self) for _ in range(6)]
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

    def test_partial_request_does_not_delay_exit_and_gets_clean_close(self) -> None:
        partial = self.connect_and_send(
            f"POST {invocations_path(REPEATABLE)} HTTP/1.1\r\nContent-Le".encode()
        )
        self.assertEqual(self.post(REPEATABLE, b"abc")[0], 200)  # by now the partial request has been read
        start_s = time.monotonic()
        self.program.process.terminate()
        self.assertEqual(partial.recv(100), b"")
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        self.assertLess(time.monotonic() - start_s, MAX_EXIT_WITH_PARTIAL_REQUEST_S)

    def stop_during_deferred_call(self) -> str:
        """Send SIGTERM during a deferred call, let the call end soon after, and return its location."""
        self.pause_workers()
        code, _, headers = self.post(REPEATABLE_WITH_KEY, b"abc", Prefer=DEFERRED)
        self.assertEqual(code, 202)
        self.program.process.terminate()
        time.sleep(CALL_ENDS_AFTER_S)
        self.resume_workers()
        return headers["location"]

    def test_deferred_result_can_be_collected_after_retry_after_during_drain(self) -> None:
        location = self.stop_during_deferred_call()
        time.sleep(RETRY_AFTER_S)
        self.assertEqual(self.request("GET", location)[:2], (200, b"cba"))
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)

    def test_uncollected_deferred_result_does_not_delay_exit(self) -> None:
        self.stop_during_deferred_call()
        start_s = time.monotonic()
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        self.assertLess(time.monotonic() - start_s, MAX_EXIT_WITH_DEFERRED_RESULT_S)
