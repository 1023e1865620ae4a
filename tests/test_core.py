"""The core with a pool and a clock of its own: one answer each, whatever comes late, twice or never."""

import pytest

from maplestile.dispatch.api import Result
from maplestile.wire.limits import HandoverLimits, Limits, RequestLimits
from maplestile.wire.messages import Request, Verdict
from tests.core_harness import START_US, CoreHarness


def test_first_good_answer_is_final_and_late_ones_are_ignored() -> None:
    harness = CoreHarness()
    harness.submit()
    harness.core.attempt_ended(harness.sent[0], Result.OK, b"one")
    harness.core.attempt_ended(harness.sent[0], Result.OK, b"two")
    harness.run(5_000_000)
    assert [answer.body for answer in harness.answers] == [b"one"]
    assert harness.core.counters["attempts.late"] == 1


def test_deadline_counts_from_the_last_byte_and_not_from_when_the_loop_got_to_it() -> None:
    harness = CoreHarness()
    harness.submit("test-submit", budget_us=1_000_000, age_us=50_000)
    harness.run(840_000)
    assert not harness.answers
    harness.run(50_000)
    assert [answer.verdict for answer in harness.answers] == [Verdict.EXPIRED]
    assert harness.cancelled == harness.sent


def test_loop_that_lags_sheds_at_once_with_advice() -> None:
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


def test_unsafe_call_that_may_have_run_fails_at_once_and_is_not_sent_again() -> None:
    harness = CoreHarness()
    harness.submit("test-submit")
    harness.core.attempt_ended(harness.sent[0], Result.RESET)
    assert [(a.verdict, a.ran) for a in harness.answers] == [(Verdict.FAILED, True)]
    harness.run(5_000_000)
    assert len(harness.sent) == 1


def test_attempt_that_never_ran_goes_elsewhere() -> None:
    harness = CoreHarness()
    harness.submit("test-submit")
    harness.core.attempt_ended(harness.sent[0], Result.CONNECT_FAILED)
    harness.run(100_000)
    assert len(harness.sent) == 2 and not harness.answers


def test_deadline_is_met_in_the_midst_of_much_input() -> None:
    """575 calls were lost on a day on which one read's worth of requests outlasted the deadlines."""
    harness = CoreHarness()
    harness.submit("test-submit", budget_us=1_000_000)
    harness.now += 990_000  # the loop is busy and no alarm goes off
    harness.core.catch_up()
    assert [answer.verdict for answer in harness.answers] == [Verdict.EXPIRED]


def test_flood_is_refused() -> None:
    harness = CoreHarness(Limits(requests=RequestLimits(open_requests=1)))
    harness.submit()
    harness.submit()
    assert [answer.verdict for answer in harness.answers] == [Verdict.REJECTED]


def test_bodies_in_hand_are_bounded_by_bytes_and_given_back() -> None:
    harness = CoreHarness(Limits(requests=RequestLimits(open_bytes=3 * Request("", "", "", 1).bytes())))
    calls = [harness.submit() for _ in range(4)]
    assert [answer.verdict for answer in harness.answers] == [Verdict.REJECTED]
    harness.core.withdraw(calls[0])
    harness.core.attempt_ended((calls[1], 0), Result.OK, b"x")
    harness.run(2_000_000)
    assert harness.core.open_bytes == 0 and not harness.core.open


def test_process_that_ends_soon_answers_all_it_takes_before_and_refuses_what_comes_too_late() -> None:
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
    """Raise, as a timer of a faulty program."""
    raise ValueError("a fault of the program")


def test_timer_that_fails_keeps_back_no_later_one() -> None:
    harness = CoreHarness()
    harness.core.at(harness.now + 10_000, fail)
    harness.submit("test-submit", budget_us=1_000_000)
    with pytest.raises(ValueError, match="fault"):
        harness.run(20_000)
    harness.run(1_000_000)
    assert [answer.verdict for answer in harness.answers] == [Verdict.EXPIRED]


def test_timer_that_fails_keeps_back_none_that_is_due_with_it() -> None:
    harness = CoreHarness()
    harness.core.at(harness.now + 10_000, fail)
    harness.submit("test-submit", budget_us=1_000_000)
    harness.now += 1_010_000  # the loop was busy, and all of it is due at once
    with pytest.raises(ValueError, match="fault"):
        harness.core.tick()
    harness.run(10_000)
    assert [answer.verdict for answer in harness.answers] == [Verdict.EXPIRED]


def test_core_that_is_closed_takes_nothing_more_and_ends_what_is_open() -> None:
    harness = CoreHarness()
    harness.submit()
    harness.core.close()
    harness.submit()
    assert [(answer.verdict, answer.retry_after_us) for answer in harness.answers] == [(Verdict.REJECTED, 0)]
    harness.core.attempt_ended(harness.sent[0], Result.OK, b"one")
    assert [answer.verdict for answer in harness.answers] == [Verdict.REJECTED, Verdict.SERVED]
    assert len(harness.sent) == 1
