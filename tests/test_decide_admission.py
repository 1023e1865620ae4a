"""Final answers in time, and calls that are refused or given up early in overload."""

from dataclasses import replace

from maplestile.dispatch import api
from maplestile.dispatch.call_router import RETRY_AFTER_US
from maplestile.dispatch.state import Attempt, Call
from tests.helpers import MS, WORKERS, Driver, arrival, final_answers, sends, serve_call, settings


def timed_answers(driver: Driver) -> list[tuple[int, api.Action]]:
    """Return the final answers so far, each with its time."""
    return [(at_us, action) for at_us, action in driver.log if final_answers([action])]


def test_call_without_any_worker_is_answered_before_its_own_budget() -> None:
    driver = Driver(settings(), [])
    driver.give(arrival(1, budget_us=700 * MS))
    start_us = driver.now
    driver.run(700 * MS)
    answers = timed_answers(driver)
    assert len(answers) == 1 and answers[0][0] < start_us + 700 * MS


def test_last_answer_leaves_little_of_a_short_budget_unused() -> None:
    driver = Driver(settings(), WORKERS[:1])
    driver.give(arrival(1, "f", budget_us=200 * MS))
    assert not final_answers(driver.run(190 * MS))
    assert len(final_answers(driver.run(8 * MS))) == 1  # and still before the client's time is up


def test_late_answers_have_new_calls_refused_and_marked_repeats_first() -> None:
    driver = Driver(settings(), WORKERS)
    driver.dispatcher.admission.late_ratio = 0.5
    fresh = repeats = 0
    for call in range(200):
        fresh += len(final_answers(driver.give(arrival(2 * call, f"f{call}"))))
        repeats += len(final_answers(driver.give(replace(arrival(2 * call + 1, f"f{call}"), repeat=True))))
    assert 0 < fresh < repeats <= 200


def test_in_overload_a_safe_call_is_given_up_at_its_latency_objective_and_an_unsafe_one_is_not() -> None:
    driver = Driver(settings(), WORKERS)
    serve_call(driver, 1, "f")
    driver.dispatcher.admission.late_ratio = 0.3
    driver.dispatcher.context.random.random = lambda: 1.0  # type: ignore[method-assign]  # a draw known beforehand
    start_us = driver.now
    assert sends(driver.give(arrival(2, "f"))) and sends(driver.give(arrival(3, "g", "unsafe")))
    driver.run(1_000 * MS)
    ((rejected_us, rejection),) = timed_answers(driver)
    assert rejection == api.RejectCall(2, RETRY_AFTER_US) and rejected_us <= start_us + 1_000 * MS
    driver.run(2_500 * MS)
    assert final_answers(driver.actions()) == [api.RejectCall(2, RETRY_AFTER_US), api.FailCall(3)]


def test_last_answer_leaves_time_for_a_busy_process() -> None:
    driver = Driver(settings(), WORKERS)
    start_us = driver.now
    driver.give(arrival(1, "f", "unsafe", 1_000 * MS))
    driver.run(2_000 * MS)
    (failed_us,) = [at_us for at_us, action in driver.log if isinstance(action, api.FailCall)]
    assert failed_us <= start_us + 900 * MS


def test_calls_that_only_loads_made_late_have_no_others_refused() -> None:
    """After a release half of the functions wait for loads; the others' copies stand, and answer in time."""
    driver = Driver(settings(router_count=1), WORKERS[:1])
    serve_call(driver, 1, "f")
    dispatcher = driver.dispatcher
    now = driver.now
    context = dispatcher.context
    admission = dispatcher.admission
    function = dispatcher.tiers.functions["f"]
    worker = dispatcher.workers["w0"]
    for attempts, counts in (
        ([], False),  # never sent: it waited for a load
        ([Attempt(0, worker, now, True, api.Result.FULL), Attempt(1, worker, now, True)], False),
        ([Attempt(0, worker, now, True), Attempt(1, worker, now, False, api.Result.OK)], True),
    ):
        admission.late_ratio = 0.0
        call = Call(2, function, context.classes["safe"], "safe ", now, now, context.settings, 0, attempts)
        worker.last_answer_us[""] = now + 1  # it is not silent
        admission.record_answer(call, True)
        assert (admission.late_ratio > 0) == counts
