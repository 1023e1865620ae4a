"""Real routers whose machine's wall clock is stepped: spans of real time stay what they were."""

import json
import os
import signal
import subprocess
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from tests.router_fixture import RouterTestCase
from tests.shims.stepped_clock import SteppedClock
from tests.standins import PATIENCE_S, ROOT, Worker, call_lines, eventually, params

WINDOW_S = 1.5  # deduplication window of the class with keys
INSIDE_WINDOW_S = 0.1
AFTER_WINDOW_S = WINDOW_S + 0.5
LIMIT_MS = 10_000
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
HOUR_S = 3600.0
LATE_S = 0.5  # an answer that comes later than this after its deadline is lost
KILL_AFTER_S = 3.7  # SIGKILL comes no sooner after SIGTERM
# A router of these tests begins no attempt beside one in flight, and cancels none: a call that hangs has one
# attempt until the connection of that attempt breaks.
ONE_ATTEMPT_AT_A_TIME = params()["limits"] | {"mayDuplicate": False, "cancelling": False}


def classes_with_window(window_s: float) -> list[dict[str, Any]]:
    """Return the classes of the tests; workers of one cell drop repeats of a keyed call for `window_s`."""
    window = {"keyScope": "cell", "windowUs": int(window_s * 1e6)}
    return [grade | window for grade in params()["grades"]]


class ClockStepTestCase(RouterTestCase):
    """Starts a router under a clock that the test steps."""

    def start_under_clock(self, *workers: Worker, **changes: Any) -> SteppedClock:
        """Start a router with these workers, and return its wall clock."""
        clock = SteppedClock(Path(tempfile.mkdtemp()) / "clock")
        self.start(*workers, clock=clock, **changes)
        return clock

    def start_with_open_call(self, worker: Worker) -> SteppedClock:
        """Start a router with a call that its worker has not read, and return the router's wall clock."""
        clock = self.start_under_clock(worker)
        self.client.call_until_served("review", b"first")
        worker.pause()
        self.client.call("test-submit", b"abc", LIMIT_MS)
        eventually(lambda: self.program.counters().get("attempts.sent") == 2, "the attempt")
        return clock


class KeyedRepeatTest(ClockStepTestCase):
    """A keyed call whose attempt breaks is sent again only while its deduplication window is open."""

    def calls_after_break(self, step_s: float, wait_s: float) -> int:
        """Return how many workers get a call, the first of which breaks `wait_s` after it arrived.

        The wall clock is stepped by `step_s` meanwhile.
        """
        workers = [Worker(), Worker()]
        clock = self.start_under_clock(
            *workers, grades=classes_with_window(WINDOW_S), limits=ONE_ATTEMPT_AT_A_TIME
        )
        self.client.call_until_sent(self.program, "deck-make", b"hang:", limit_ms=LIMIT_MS, unique=KEY)
        first = eventually(lambda: [worker for worker in workers if worker.ran], "the first attempt")[0]
        clock.step(step_s)
        time.sleep(wait_s)
        first.die()
        eventually(lambda: self.client.has_input() or len(call_lines(*workers)) > 1, "an answer or a repeat")
        return len(call_lines(*workers))

    # Guards against a second run of a keyed call whose window has passed in real time (incident 322331).
    def test_keyed_call_is_not_sent_again_after_its_window_if_the_clock_went_back(self) -> None:
        self.assertEqual(self.calls_after_break(-2 * WINDOW_S, AFTER_WINDOW_S), 1)

    # The same after a step that is longer than any deadline.
    def test_keyed_call_is_not_sent_again_after_its_window_if_the_clock_went_back_an_hour(self) -> None:
        self.assertEqual(self.calls_after_break(-HOUR_S, AFTER_WINDOW_S), 1)

    def test_keyed_call_is_not_sent_again_after_its_window_without_a_step(self) -> None:
        self.assertEqual(self.calls_after_break(0.0, AFTER_WINDOW_S), 1)

    def test_keyed_call_is_sent_again_inside_its_window(self) -> None:
        self.assertEqual(self.calls_after_break(0.0, INSIDE_WINDOW_S), 2)


class DeadlineUnderStepsTest(ClockStepTestCase):
    """A call is answered by its deadline in real time, and not given up before."""

    def seconds_to_answer(self, step_s: float, limit_ms: int) -> float:
        """Return how long a call that no worker answers waits, if the clock is stepped meanwhile."""
        worker = Worker()
        clock = self.start_under_clock(worker)
        self.client.call_until_served("review", b"first")
        started_s = time.monotonic()
        self.client.call("test-submit", b"hang:", limit_ms)
        eventually(lambda: len(worker.ran) == 2, "the attempt")
        clock.step(step_s)
        self.assertIn("error", self.client.read() or {})
        return time.monotonic() - started_s

    # Guards against answers that never come after a step back.
    def test_call_without_an_answer_fails_at_its_deadline_if_the_clock_went_back(self) -> None:
        self.assertLess(self.seconds_to_answer(-HOUR_S, 1_000), 1.0 + LATE_S)

    # Guards against calls that are given up at a step forward.
    def test_call_without_an_answer_fails_at_its_deadline_if_the_clock_went_forward(self) -> None:
        self.assertGreater(self.seconds_to_answer(HOUR_S, 2_000), 1.5)

    def test_call_is_served_if_the_clock_went_forward_meanwhile(self) -> None:
        worker = Worker()
        clock = self.start_with_open_call(worker)
        clock.step(HOUR_S)
        time.sleep(0.2)
        worker.resume()
        self.assertIn("result", self.client.read() or {})


class DrainUnderStepsTest(ClockStepTestCase):
    """A router that was told to stop answers what it owes, and ends in time, whatever the clock does."""

    def drain(self, step_s: float) -> tuple[bool, float]:
        """Stop a router with a call open; return whether it was served, and the seconds until the end."""
        worker = Worker()
        clock = self.start_with_open_call(worker)
        started_s = time.monotonic()
        self.program.process.send_signal(signal.SIGTERM)
        self.program.find("was asked to (stop)")
        clock.step(step_s)
        time.sleep(0.5)
        worker.resume()
        answer = self.client.read() or {}
        self.client.close()
        self.assertEqual(self.program.process.wait(PATIENCE_S), 0)
        return "result" in answer, time.monotonic() - started_s

    # Guards against a drain that gives up its calls at a step forward.
    def test_open_call_is_served_if_the_clock_goes_forward_in_a_drain(self) -> None:
        served, _ = self.drain(HOUR_S)
        self.assertTrue(served)

    # Guards against a drain that is still under way when SIGKILL comes.
    def test_drain_ends_in_time_if_the_clock_goes_back(self) -> None:
        served, seconds = self.drain(-HOUR_S)
        self.assertTrue(served)
        self.assertLess(seconds, KILL_AFTER_S)


class StartTimeTest(unittest.TestCase):
    """A cold runner counts as cold, also where the wall clock is wrong when the router starts."""

    def age_of_new_runner_s(self, step_s: float) -> float:
        """Return how old a runner that has just started is to a router whose clock is off by `step_s`."""
        clock = SteppedClock(Path(tempfile.mkdtemp()) / "clock")
        clock.step(step_s)
        command = [*clock.command("tests.shims.start_time_probe"), str(int(time.time() * 1000))]
        env = {**os.environ, "PYTHONPATH": str(ROOT)}
        return float(subprocess.run(command, capture_output=True, text=True, env=env, check=True).stdout)

    def test_new_runner_of_the_first_list_is_cold_if_the_clock_is_right_or_behind(self) -> None:
        for step_s in (0.0, -HOUR_S):
            self.assertLess(self.age_of_new_runner_s(step_s), PATIENCE_S)

    # Guards against a cold runner of the first list that counts as warm since the clock is ahead.
    def test_new_runner_of_the_first_list_is_cold_if_the_clock_is_ahead(self) -> None:
        self.assertLess(self.age_of_new_runner_s(HOUR_S), PATIENCE_S)


class ClockStepLogTest(ClockStepTestCase):
    """Operators learn of steps of the clock, and of the repeats of keyed calls."""

    def test_steps_are_counted_and_logged(self) -> None:
        clock = self.start_under_clock(Worker())
        eventually(lambda: self.program.counters().get("clock.steps", 0) == 0, "the counters")
        for number, step_s in enumerate((-HOUR_S, 2.0), 1):
            clock.step(step_s)
            self.assertIn(f"{step_s:+.1f}", self.program.find(r"wall clock was stepped by ([-+]\d+\.\d)"))
            self.assertEqual(self.program.counters()["clock.steps"], number)

    def test_repeat_of_keyed_call_is_logged(self) -> None:
        workers = [Worker(), Worker()]
        self.start(*workers, limits=ONE_ATTEMPT_AT_A_TIME)
        self.client.call_until_sent(self.program, "deck-make", b"hang:", limit_ms=LIMIT_MS, unique=KEY)
        first = eventually(lambda: [worker for worker in workers if worker.ran], "the first attempt")[0]
        first.die()
        event = json.loads(self.program.find(r'^(\{.*"event": "keyed call repeated".*)'))
        self.assertEqual((event["attempt"], event["after"]), (1, "reset"))
        self.assertEqual(self.program.counters()["attempts.repeated.reset"], 1)
