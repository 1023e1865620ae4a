"""The core with a pool and a clock of its own: one answer each, whatever comes late, twice or never."""

import pytest

from maplestile.dispatch import api
from maplestile.dispatch.api import Result
from maplestile.requests.core import AttemptId, Core
from maplestile.wire.limits import HandoverLimits, Limits, RequestLimits
from maplestile.wire.messages import Outcome, Request, Verdict
from maplestile.wire.settings import settings_from
from tests.standins import params

START = 1_700_000_000_000_000


class Rig:
    """A pool that records what is requested of it, and a clock that is moved by hand."""

    def __init__(self, limits: Limits | None = None) -> None:
        self.now = START
        self.due = 0
        self.sent: list[AttemptId] = []
        self.cancelled: list[AttemptId] = []
        self.unwritten = set[AttemptId]()  # those that wait for their connection
        chosen = limits or Limits()
        self.core = Core(settings_from(params()), chosen, 7, self, lambda: self.now, self._alarm)
        entries = tuple(
            api.WorkerEntry(f"s-{n}", "east", "std", 2, api.WorkerState.RUNNING, 4.0, 0) for n in range(2)
        )
        self.core.list_changed(api.WorkerListReceived(api.ListKind.CACHED, 1, entries))
        self.answers: list[Outcome] = []

    def _alarm(self, due_us: int) -> None:
        self.due = due_us

    def send(self, attempt: AttemptId, worker: str, request: Request, wait_us: int, until_us: int) -> None:
        self.sent.append(attempt)

    def cancel(self, attempt: AttemptId) -> None:
        self.cancelled.append(attempt)

    def withhold(self, attempt: AttemptId) -> bool:
        return attempt in self.unwritten

    def load(self, tag: int, worker: str, function: str, copies: int) -> None: ...
    def unload(self, worker: str, function: str) -> None: ...
    def check_health(self, tag: int, worker: str) -> None: ...
    def forget_control_request(self, tag: int) -> None: ...
    def close_idle(self, worker: str) -> None: ...

    def submit(self, class_name: str = "review", budget_us: int = 1_000_000, age_us: int = 0) -> int:
        request = Request("t", "f", class_name, budget_us, 100.0, 4)
        return self.core.submit(request, self.now - age_us, self.answers.append)

    def run(self, duration_us: int) -> None:
        end = self.now + duration_us
        while self.due and self.due <= end:
            self.now = max(self.now, self.due)
            self.due = 0
            self.core.tick()
        self.now = end


def test_first_good_answer_is_final_and_late_ones_are_ignored() -> None:
    rig = Rig()
    rig.submit()
    rig.core.attempt_ended(rig.sent[0], Result.OK, b"one")
    rig.core.attempt_ended(rig.sent[0], Result.OK, b"two")
    rig.run(5_000_000)
    assert [answer.body for answer in rig.answers] == [b"one"]
    assert rig.core.counters["attempts.late"] == 1


def test_deadline_counts_from_the_last_byte_and_not_from_when_the_loop_got_to_it() -> None:
    rig = Rig()
    rig.submit("test-submit", budget_us=1_000_000, age_us=50_000)
    rig.run(840_000)
    assert not rig.answers
    rig.run(50_000)
    assert [answer.verdict for answer in rig.answers] == [Verdict.EXPIRED]
    assert rig.cancelled == rig.sent


def test_loop_that_lags_sheds_at_once_with_advice() -> None:
    rig = Rig(Limits(requests=RequestLimits(max_lag_us=100_000)))
    rig.submit(age_us=150_000)
    assert not rig.sent
    assert rig.answers[0].verdict is Verdict.REJECTED and rig.answers[0].retry_after_us > 0


def test_withdrawn_request_gets_no_answer_and_its_attempt_is_cancelled() -> None:
    rig = Rig()
    call = rig.submit()
    rig.core.withdraw(call)
    rig.core.attempt_ended(rig.sent[0], Result.OK, b"late")
    rig.run(5_000_000)
    assert rig.answers == [] and rig.cancelled == rig.sent


def test_unsafe_call_that_may_have_run_fails_at_once_and_is_not_sent_again() -> None:
    rig = Rig()
    rig.submit("test-submit")
    rig.core.attempt_ended(rig.sent[0], Result.RESET)
    assert [(a.verdict, a.ran) for a in rig.answers] == [(Verdict.FAILED, True)]
    rig.run(5_000_000)
    assert len(rig.sent) == 1


def test_attempt_that_never_ran_goes_elsewhere() -> None:
    rig = Rig()
    rig.submit("test-submit")
    rig.core.attempt_ended(rig.sent[0], Result.CONNECT_FAILED)
    rig.run(100_000)
    assert len(rig.sent) == 2 and not rig.answers


def test_deadline_is_met_in_the_midst_of_much_input() -> None:
    """575 calls were lost on a day on which one read's worth of requests outlasted the deadlines."""
    rig = Rig()
    rig.submit("test-submit", budget_us=1_000_000)
    rig.now += 990_000  # the loop is busy and no alarm goes off
    rig.core.catch_up()
    assert [answer.verdict for answer in rig.answers] == [Verdict.EXPIRED]


def test_flood_is_refused() -> None:
    rig = Rig(Limits(requests=RequestLimits(open_requests=1)))
    rig.submit()
    rig.submit()
    assert [answer.verdict for answer in rig.answers] == [Verdict.REJECTED]


def test_bodies_in_hand_are_bounded_by_bytes_and_given_back() -> None:
    rig = Rig(Limits(requests=RequestLimits(open_bytes=3 * Request("", "", "", 1).bytes())))
    calls = [rig.submit() for _ in range(4)]
    assert [answer.verdict for answer in rig.answers] == [Verdict.REJECTED]
    rig.core.withdraw(calls[0])
    rig.core.attempt_ended((calls[1], 0), Result.OK, b"x")
    rig.run(2_000_000)
    assert rig.core.open_bytes == 0 and not rig.core.open


def test_process_that_ends_soon_answers_all_it_takes_before_and_refuses_what_comes_too_late() -> None:
    rig = Rig(Limits(handover=HandoverLimits(min_budget_us=250_000)))
    rig.core.intake.leave_us = START + 1_000_000
    rig.submit(budget_us=5_000_000)
    rig.submit(budget_us=500_000)
    assert len(rig.sent) == 2
    rig.run(800_000)
    rig.submit(budget_us=5_000_000)
    assert (rig.answers[-1].verdict, rig.answers[-1].retry_after_us) == (Verdict.REJECTED, 0)
    rig.run(200_000)
    assert len(rig.answers) == 3 and not rig.core.open


def fail() -> None:
    raise ValueError("a fault of the program")


def test_timer_that_fails_keeps_back_no_later_one() -> None:
    rig = Rig()
    rig.core.at(rig.now + 10_000, fail)
    rig.submit("test-submit", budget_us=1_000_000)
    with pytest.raises(ValueError, match="fault"):
        rig.run(20_000)
    rig.run(1_000_000)
    assert [answer.verdict for answer in rig.answers] == [Verdict.EXPIRED]


def test_timer_that_fails_keeps_back_none_that_is_due_with_it() -> None:
    rig = Rig()
    rig.core.at(rig.now + 10_000, fail)
    rig.submit("test-submit", budget_us=1_000_000)
    rig.now += 1_010_000  # the loop was busy, and all of it is due at once
    with pytest.raises(ValueError, match="fault"):
        rig.core.tick()
    rig.run(10_000)
    assert [answer.verdict for answer in rig.answers] == [Verdict.EXPIRED]


def test_core_that_is_closed_takes_nothing_more_and_ends_what_is_open() -> None:
    rig = Rig()
    rig.submit()
    rig.core.close()
    rig.submit()
    assert [(answer.verdict, answer.retry_after_us) for answer in rig.answers] == [(Verdict.REJECTED, 0)]
    rig.core.attempt_ended(rig.sent[0], Result.OK, b"one")
    assert [answer.verdict for answer in rig.answers] == [Verdict.REJECTED, Verdict.SERVED]
    assert len(rig.sent) == 1
