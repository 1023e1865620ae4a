"""Tests of the core: each request gets one answer, whatever results come late, twice or never."""

import gc

import pytest

from maplestile.dispatch.api import Result
from maplestile.dispatch.state import FunctionEntry
from maplestile.wire.limits import HandoverLimits, Limits, RequestLimits
from maplestile.wire.messages import Outcome, Request, Verdict
from tests.core_harness import START_US, CoreHarness


def test_first_successful_answer_is_final_and_later_ones_are_ignored() -> None:
    harness = CoreHarness()
    harness.submit()
    harness.core.attempt_ended(harness.sent[0], Result.OK, b"one")
    harness.core.attempt_ended(harness.sent[0], Result.OK, b"two")
    harness.run(5_000_000)
    assert [answer.body for answer in harness.answers] == [b"one"]
    assert harness.core.counters["attempts.late"] == 1


def test_deadline_counts_from_the_last_byte_received() -> None:
    harness = CoreHarness()
    harness.submit("test-submit", budget_us=1_000_000, age_us=50_000)
    harness.run(840_000)
    assert not harness.answers
    harness.run(50_000)
    assert [answer.verdict for answer in harness.answers] == [Verdict.EXPIRED]
    assert harness.cancelled == harness.sent


def test_request_handled_too_late_is_rejected_with_a_retry_time() -> None:
    harness = CoreHarness(Limits(requests=RequestLimits(max_lag_us=100_000)))
    harness.submit(age_us=150_000)
    assert not harness.sent
    assert harness.answers[0].verdict is Verdict.REJECTED and harness.answers[0].retry_after_us > 0


def test_withdrawn_request_gets_no_answer_and_its_attempt_is_cancelled() -> None:
    harness = CoreHarness()
    call = harness.submit()
    harness.core.withdraw(call)
    harness.core.attempt_ended(harness.sent[0], Result.OK, b"late")
    harness.run(5_000_000)
    assert harness.answers == [] and harness.cancelled == harness.sent


def test_non_idempotent_call_that_may_have_run_fails_without_a_retry() -> None:
    harness = CoreHarness()
    harness.submit("test-submit")
    harness.core.attempt_ended(harness.sent[0], Result.RESET)
    assert [(a.verdict, a.may_have_run) for a in harness.answers] == [(Verdict.FAILED, True)]
    harness.run(5_000_000)
    assert len(harness.sent) == 1


def test_attempt_that_never_ran_is_retried() -> None:
    harness = CoreHarness()
    harness.submit("test-submit")
    harness.core.attempt_ended(harness.sent[0], Result.CONNECT_FAILED)
    harness.run(100_000)
    assert len(harness.sent) == 2 and not harness.answers


def test_deadline_is_met_while_much_input_is_handled() -> None:
    """Handling the requests of one read took longer than the deadlines, and 575 calls were lost."""
    harness = CoreHarness()
    harness.submit("test-submit", budget_us=1_000_000)
    harness.now += 990_000  # the event loop is busy, and no alarm goes off
    harness.core.run_due_timers()
    assert [answer.verdict for answer in harness.answers] == [Verdict.EXPIRED]


def test_request_over_the_limit_of_open_requests_is_rejected() -> None:
    harness = CoreHarness(Limits(requests=RequestLimits(open_requests=1)))
    harness.submit()
    harness.submit()
    assert [answer.verdict for answer in harness.answers] == [Verdict.REJECTED]


def test_bytes_of_open_requests_are_limited_and_released() -> None:
    harness = CoreHarness(Limits(requests=RequestLimits(open_bytes=3 * Request("", "", "", 1).bytes())))
    calls = [harness.submit() for _ in range(4)]
    assert [answer.verdict for answer in harness.answers] == [Verdict.REJECTED]
    harness.core.withdraw(calls[0])
    harness.core.attempt_ended((calls[1], 0), Result.OK, b"x")
    harness.run(2_000_000)
    assert harness.core.open_bytes == 0 and not harness.core.open


def test_exiting_process_answers_accepted_requests_and_rejects_late_ones() -> None:
    harness = CoreHarness(Limits(handover=HandoverLimits(min_budget_us=250_000)))
    harness.core.intake.exit_us = START_US + 1_000_000
    harness.submit(budget_us=5_000_000)
    harness.submit(budget_us=500_000)
    assert len(harness.sent) == 2
    harness.run(800_000)
    harness.submit(budget_us=5_000_000)
    assert (harness.answers[-1].verdict, harness.answers[-1].retry_after_us) == (Verdict.REJECTED, 0)
    harness.run(200_000)
    assert len(harness.answers) == 3 and not harness.core.open


def fail() -> None:
    """Raise an error, as a timer callback with a bug does."""
    raise ValueError("timer callback failed")


def test_failing_timer_does_not_stop_later_timers() -> None:
    harness = CoreHarness()
    harness.core.call_at(harness.now + 10_000, fail)
    harness.submit("test-submit", budget_us=1_000_000)
    with pytest.raises(ValueError, match="timer callback failed"):
        harness.run(20_000)
    harness.run(1_000_000)
    assert [answer.verdict for answer in harness.answers] == [Verdict.EXPIRED]


def test_failing_timer_does_not_stop_timers_due_at_the_same_time() -> None:
    harness = CoreHarness()
    harness.core.call_at(harness.now + 10_000, fail)
    harness.submit("test-submit", budget_us=1_000_000)
    harness.now += 1_010_000  # the event loop was busy, and all timers are due at once
    with pytest.raises(ValueError, match="timer callback failed"):
        harness.core.tick()
    harness.run(10_000)
    assert [answer.verdict for answer in harness.answers] == [Verdict.EXPIRED]


def test_closed_core_rejects_new_requests_and_answers_open_ones() -> None:
    harness = CoreHarness()
    harness.submit()
    harness.core.close()
    harness.submit()
    assert [(answer.verdict, answer.retry_after_us) for answer in harness.answers] == [(Verdict.REJECTED, 0)]
    harness.core.attempt_ended(harness.sent[0], Result.OK, b"one")
    assert [answer.verdict for answer in harness.answers] == [Verdict.REJECTED, Verdict.SERVED]
    assert len(harness.sent) == 1


def fail_at_deadline(unwritten: bool) -> tuple[Outcome, CoreHarness]:
    """Let a call reach its deadline with an attempt in flight; return its outcome."""
    harness = CoreHarness()
    harness.submit("test-submit", budget_us=1_000_000)
    (attempt,) = harness.sent
    if unwritten:
        harness.unwritten_attempts.add(attempt)
    harness.run(1_100_000)
    (outcome,) = harness.answers
    return outcome, harness


def test_call_that_fails_with_a_written_attempt_in_flight_may_have_run() -> None:
    """Guards against a repeat that runs a call again which its runner has had since before the deadline."""
    outcome, harness = fail_at_deadline(unwritten=False)
    assert outcome.may_have_run and not harness.core.in_flight


def test_call_that_fails_with_an_unwritten_attempt_did_not_run() -> None:
    outcome, harness = fail_at_deadline(unwritten=True)
    assert not outcome.may_have_run and not harness.core.in_flight


def test_ended_calls_leave_no_timers_in_memory() -> None:
    """Guards against memory that grows with each call until the time that its client would have waited."""
    harness = CoreHarness()
    timers_before = sum(len(callbacks) for callbacks in harness.core.timers.values())
    for number in range(500):
        harness.submit(budget_us=600_000_000)
        while harness.core.in_flight:
            harness.core.attempt_ended(next(iter(harness.core.in_flight)), Result.OK, b"x")
        if number % 2:
            harness.core.withdraw(harness.submit("test-submit", budget_us=600_000_000))
    for attempt in list(harness.core.in_flight):
        harness.core.attempt_ended(attempt, Result.CANCELLED)
    timers = sum(len(callbacks) for callbacks in harness.core.timers.values())
    assert timers <= timers_before + 10
    assert len(harness.core.dispatcher.context.timers) <= timers_before + 10
    assert len(harness.core.ticks) < 200


def test_cancelled_timer_does_not_run_and_one_that_has_run_is_ignored() -> None:
    harness = CoreHarness()
    ran = list[str]()
    queue = harness.core.timer_queue
    kept = queue.call_at(harness.now + 10_000, lambda: ran.append("kept"))
    cancelled = queue.call_at(harness.now + 10_000, lambda: ran.append("cancelled"))
    queue.cancel(cancelled)
    harness.run(20_000)
    assert ran == ["kept"]
    for timer in (kept, cancelled, None):
        queue.cancel(timer)
    queue.call_at(harness.now + 10_000, lambda: ran.append("later"))
    harness.run(20_000)
    assert ran == ["kept", "later"]


def test_functions_of_ever_new_names_do_not_stay_in_memory() -> None:
    """Guards against memory that grows with each name, also if its calls tell that a copy takes no memory."""
    harness = CoreHarness(Limits(requests=RequestLimits(functions=100)))
    for number in range(2_000):
        harness.now += 1_000
        request = Request("t", f"f{number}", "review", 1_000_000, 1e-6, 1)
        harness.core.submit(request, harness.now, harness.answers.append)
        while harness.core.in_flight:
            harness.core.attempt_ended(next(iter(harness.core.in_flight)), Result.OK, b"x")
    functions = harness.core.dispatcher.tiers.functions
    assert len(functions) <= 100
    assert sum(len(worker.copies) for worker in harness.core.dispatcher.fleet.workers.values()) <= 200
    alive = [entry for entry in gc.get_objects() if isinstance(entry, FunctionEntry)]
    assert len([entry for entry in alive if entry.function.startswith("f")]) <= 110
