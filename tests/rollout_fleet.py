"""Shared code of the rollout tests with real processes: a fleet, load on it, and calls that hang."""

import base64
import contextlib
import http.client
import json
import subprocess
import sys
import threading
import time
import unittest
from collections import Counter
from typing import Any

from tests.fleet import ROLLOUT_S, Fleet, FleetOptions
from tests.standins import ROOT, eventually

CALLS_PER_SECOND = 40
LOAD_SEED = 4
LOAD_RESULT_TIMEOUT_S = 60.0  # for the load tool to end and print its report
UNSAFE_FUNCTION = "keep-result"  # no call of it may run twice
MIN_UNSAFE_CALLS = 10  # fewer would make the check for calls that ran twice meaningless
MIN_SERVED_SHARE = 0.9
REJECTED_STATUS = 503  # the HTTP status of a rejected call, which may be sent again


class Calls:
    """A process of the load tool, which calls a fleet's invoke fronts for the given number of seconds."""

    def __init__(self, fleet: Fleet, seconds: float) -> None:
        fronts = [f"127.0.0.1:{port}" for port in fleet.invoke_ports]
        functions = [f"--function={name}" for name in ("score-bangla=3", "make-cards", UNSAFE_FUNCTION)]
        schedule = [f"--rate={CALLS_PER_SECOND}", f"--seconds={seconds}", f"--seed={LOAD_SEED}"]
        command = [sys.executable, "-m", "maplestile", "load"]
        self.process = subprocess.Popen(
            [*command, *fronts, *functions, "--tenant=shapla-tutors", *schedule],
            stdout=subprocess.PIPE,
            cwd=ROOT,
        )
        fleet.test.addCleanup(self._end)

    def _end(self) -> None:
        self.process.kill()
        self.process.communicate()

    def result(self) -> dict[str, Any]:
        """Wait until the load tool ends, and return its report."""
        result: dict[str, Any] = json.loads(self.process.communicate(timeout=LOAD_RESULT_TIMEOUT_S)[0])
        return result


class FleetTest(unittest.TestCase):
    """Starts a fleet before each test, and waits until all its processes are ready."""

    step_s = ROLLOUT_S  # so long that a rollout does not halt on a slow machine before the test times out
    toy = False

    def setUp(self) -> None:
        self.fleet = Fleet(self, FleetOptions(step_s=self.step_s, toy=self.toy))
        self.fleet.wait_until_ready()

    def start_rollout(self, number: int, *options: str) -> None:
        """Start a rollout at an agent, and check that it is accepted."""
        exit_code, _, error = self.fleet.run(number, "rollout", "start", *options)
        self.assertEqual((exit_code, error), (0, ""))

    def assert_within_budget(self, budget: int) -> None:
        """Check by the agents' events that instances were out of service, at most `budget` at once."""
        self.assertLessEqual(self.fleet.max_instances_out(), budget)
        self.assertGreater(self.fleet.max_instances_out(), 0)

    def assert_no_call_lost_or_run_twice(self, result: dict[str, Any]) -> None:
        """Check that most calls were served, all others rejected, and that no unsafe call ran twice."""
        self.assertLessEqual(set(result["ends"]), {"served", "refused"}, result)
        self.assertGreater(result["served_share"], MIN_SERVED_SHARE)
        # A safe call may run twice, for instance if a busy machine delays its worker; an unsafe call may not.
        ran = [
            call
            for worker in self.fleet.workers
            for call in worker.ran
            if call["head"]["key"] == UNSAFE_FUNCTION
        ]
        self.assertGreater(len(ran), MIN_UNSAFE_CALLS)
        runs = Counter(call["call"] for call in ran)
        self.assertEqual([call for call, count in runs.items() if count > 1], [])

    def rollout_status(self) -> dict[str, Any]:
        """Return the rollout as the first agent's replica has it, or one with nothing done if there is none.

        The replica may lag a little behind the start of a rollout.
        """
        return self.fleet.status(0).get("rollout") or {"done": []}

    def start_hanging_call(self, number: int) -> "HangingCall":
        """Send a router a call that no worker answers, and wait until the call has reached a worker."""
        call = HangingCall(self.fleet.invoke_ports[number])
        eventually(self._has_hanging_call_arrived, "the hanging call to reach a worker")
        return call

    def _has_hanging_call_arrived(self) -> bool:
        return any(b"hang" in request_body(call) for worker in self.fleet.workers for call in worker.ran)

    def events_named(self, name: str) -> list[dict[str, Any]]:
        """Return the events with this name from all agents, in order of time."""
        return [event for event in self.fleet.events() if event["event"] == name]

    def wait_for_event(self, name: str, instance: str = "") -> None:
        """Wait until an event with this name is logged, for this instance if one is given."""

        def is_logged() -> bool:
            return any(instance in ("", event["instance"]) for event in self.events_named(name))

        eventually(is_logged, f"the event {name} {instance}")

    def wait_until_no_lease(self, number: int) -> None:
        """Wait until the agent's replica has no lease; it may lag behind the reply to a command."""
        eventually(lambda: self.fleet.status(number)["leases"] == [], "the end of all leases")


def request_body(call: dict[str, Any]) -> bytes:
    """Decode the body of a call that a worker received."""
    return base64.b64decode(call["bytes"])


class HangingCall(threading.Thread):
    """A thread that makes a call; with the default body, no worker answers it before its deadline.

    The call is sent again if it is rejected early, as happens when a busy machine makes the router lag.
    """

    EARLY_REJECTION_S = 1.0  # a later rejection counts as the answer

    def __init__(self, port: int, body: bytes = b"hang:") -> None:
        super().__init__(daemon=True)
        self.port = port
        self.body = body
        self.answered = threading.Event()
        self.start()

    def run(self) -> None:
        """Send the call, and send it again after each early rejection."""
        # Longer than a test pauses the router: until a step times out, and the halt is known.
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=ROLLOUT_S)
        headers = {"Maplestile-Tenant": "shapla-tutors", "Maplestile-Deadline-Ms": "5000"}
        with contextlib.suppress(OSError, http.client.HTTPException):  # if a test kills the router
            while True:
                sent_s = time.monotonic()
                connection.request("POST", "/v1/functions/score-bangla/invocations", self.body, headers)
                answer = connection.getresponse()
                answer.read()
                if answer.status != REJECTED_STATUS or time.monotonic() - sent_s > self.EARLY_REJECTION_S:
                    break
            self.answered.set()
