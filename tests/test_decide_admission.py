"""Tests that final answers arrive in time, and that calls are rejected or abandoned early under overload."""

from dataclasses import replace

from maplestile.dispatch import api
from maplestile.dispatch.call_router import RETRY_AFTER_US
from maplestile.dispatch.state import Attempt, Call
from tests.helpers import MS, WORKERS, Driver, arrival, final_answers, sends, serve_call, settings


def timed_answers(driver: Driver) -> list[tuple[int, api.Action]]:
    """Return the times and actions of the final answers so far."""
    return [(at_us, action) for at_us, action in driver.log if final_answers([action])]


def test_call_without_workers_is_answered_within_its_budget() -> None:
    driver = Driver(settings(), [])
    driver.give(arrival(1, budget_us=700 * MS))
    start_us = driver.now_us
    driver.run(700 * MS)
    answers = timed_answers(driver)
    assert len(answers) == 1 and answers[0][0] < start_us + 700 * MS


def test_final_answer_uses_most_of_a_short_budget() -> None:
    driver = Driver(settings(), WORKERS[:1])
    driver.give(arrival(1, "f", budget_us=200 * MS))
    assert not final_answers(driver.run(190 * MS))
    assert len(final_answers(driver.run(8 * MS))) == 1  # still before the client's budget ends


def test_high_late_ratio_rejects_calls_and_repeats_more_often() -> None:
    driver = Driver(settings(), WORKERS)
    driver.dispatcher.admission.late_ratio = 0.5
    rejected_new = rejected_repeats = 0
    for call in range(200):
        rejected_new += len(final_answers(driver.give(arrival(2 * call, f"f{call}"))))
        rejected_repeats += len(
            final_answers(driver.give(replace(arrival(2 * call + 1, f"f{call}"), repeat=True)))
        )
    assert 0 < rejected_new < rejected_repeats <= 200


def test_overload_gives_up_safe_call_at_latency_objective_but_not_unsafe_call() -> None:
    driver = Driver(settings(), WORKERS)
    serve_call(driver, 1, "f")
    driver.dispatcher.admission.late_ratio = 0.3
    driver.dispatcher.context.random.random = lambda: 1.0  # type: ignore[method-assign]  # rejects no call
    start_us = driver.now_us
    assert sends(driver.give(arrival(2, "f"))) and sends(driver.give(arrival(3, "g", "unsafe")))
    driver.run(1_000 * MS)
    ((rejected_us, rejection),) = timed_answers(driver)
    assert rejection == api.RejectCall(2, RETRY_AFTER_US) and rejected_us <= start_us + 1_000 * MS
    driver.run(2_500 * MS)
    assert final_answers(driver.actions()) == [api.RejectCall(2, RETRY_AFTER_US), api.FailCall(3)]


def test_final_answer_is_sent_a_margin_before_the_budget_ends() -> None:
    driver = Driver(settings(), WORKERS)
    start_us = driver.now_us
    driver.give(arrival(1, "f", "unsafe", 1_000 * MS))
    driver.run(2_000 * MS)
    (failed_us,) = [at_us for at_us, action in driver.log if isinstance(action, api.FailCall)]
    assert failed_us <= start_us + 900 * MS


def test_calls_late_only_because_of_loads_do_not_raise_late_ratio() -> None:
    """After a release, half of the functions wait for loads while the copies of the others answer in time."""
    driver = Driver(settings(router_count=1), WORKERS[:1])
    serve_call(driver, 1, "f")
    dispatcher = driver.dispatcher
    now_us = driver.now_us
    context = dispatcher.context
    admission = dispatcher.admission
    function = dispatcher.tiers.functions["f"]
    worker = dispatcher.workers["w0"]
    for attempts, counts in (
        ([], False),  # never sent, since it waited for a load
        ([Attempt(0, worker, now_us, True, api.Result.FULL), Attempt(1, worker, now_us, True)], False),
        ([Attempt(0, worker, now_us, True), Attempt(1, worker, now_us, False, api.Result.OK)], True),
    ):
        admission.late_ratio = 0.0
        call = Call(
            2, function, context.classes["safe"], "safe ", now_us, now_us, context.settings, 0, attempts
        )
        worker.last_answer_us[""] = now_us + 1  # the worker is not silent
        admission.record_answer(call, True)
        assert (admission.late_ratio > 0) == counts
