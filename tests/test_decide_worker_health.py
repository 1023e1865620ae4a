"""Tests of which workers calls avoid: drains, failure scores, silence, slowness and backoff."""

from dataclasses import replace

from maplestile.dispatch import api
from maplestile.dispatch.outliers import EJECTION_SCORE
from tests.helpers import (
    MS,
    WORKERS,
    Driver,
    arrival,
    ended,
    entry,
    final_answers,
    load_requests,
    sends,
    serve_call,
    settings,
    worker_list,
)

NORMAL_ANSWER_US = 20 * MS  # usual time from an attempt to its answer in a `TimedFleet`


def test_drain_stops_calls_and_load_requests_at_once() -> None:
    driver = Driver(settings(), WORKERS)
    home = serve_call(driver, 1, "f")
    driver.give(worker_list(entry(home, api.WorkerState.DRAINING), kind=api.ListKind.DELTA))
    for call in range(2, 30):
        driver.give(arrival(call, "f"))
    actions = [action for at_us, action in driver.log if at_us == driver.now_us] + driver.run(2_000 * MS)
    assert all(send.worker != home for send in sends(actions))
    assert all(request.worker != home for request in load_requests(actions) if request.copies)


def test_fast_errors_do_not_attract_traffic() -> None:
    driver = Driver(settings(), WORKERS)
    home = serve_call(driver, 1, "f")
    home_attempts = 0
    for call in range(2, 22):
        driver.run(50 * MS)
        actions = driver.give(arrival(call, "f"))
        for send in sends(actions):
            is_home = send.worker == home
            home_attempts += is_home
            driver.give(ended(call, 0, send.worker, api.Result.ERROR if is_home else api.Result.OK, 5 * MS))
    assert home_attempts <= 4


def test_long_hinted_call_is_not_taken_for_silence_or_slowness() -> None:
    driver = Driver(settings(), WORKERS)
    home = serve_call(driver, 1, "f")
    hinted = replace(arrival(2, "f", budget_us=10_000 * MS), cost_us=900 * MS)
    assert [send.worker for send in sends(driver.give(hinted))] == [home]
    # The wait is many mean service times of f, but less than twice the call's hint.
    assert not sends(driver.run(1_700 * MS))
    assert not driver.dispatcher.workers[home].failure_scores
    driver.give(ended(2, 0, home, api.Result.OK, 1_700 * MS))
    assert driver.dispatcher.tiers.functions["f"].home == home
    # Without a hint, the same silence counts as a symptom.
    driver.give(arrival(3, "f", budget_us=10_000 * MS))
    assert sends(driver.run(1_700 * MS)) and driver.dispatcher.workers[home].failure_scores


def test_broken_connection_keeps_home_and_counts_once_for_all_its_attempts() -> None:
    driver = Driver(settings(), WORKERS)
    home = serve_call(driver, 1, "f")
    for call in (2, 3):
        assert sends(driver.give(arrival(call, "f", "unsafe")))[0].worker == home
    for call in (2, 3):
        assert final_answers(driver.give(ended(call, 0, home, api.Result.RESET))) == [api.FailCall(call)]
    # The copy is still loaded, and the worker is healthy.
    assert sends(driver.give(arrival(4, "f")))[0].worker == home
    driver.give(ended(4, 0, home, api.Result.OK))
    for call in (5, 6, 7):  # a worker whose connections break repeatedly is avoided nevertheless
        for send in sends(driver.give(arrival(call, "f", "unsafe"))):
            driver.give(ended(call, 0, send.worker, api.Result.RESET))
        driver.now_us += 10 * MS
    assert all(send.worker != home for send in sends(driver.give(arrival(8, "f", "unsafe"))))


def test_worker_that_answered_full_gets_no_calls_for_a_while() -> None:
    driver = Driver(settings(router_count=1), WORKERS[:1])
    home = serve_call(driver, 1, "f")
    driver.give(arrival(2, "f"))
    driver.give(ended(2, 0, home, api.Result.FULL, MS))
    assert not sends(driver.give(arrival(3, "f")))
    assert sorted(send.call for send in sends(driver.run(300 * MS))) == [2, 3]


def test_failures_of_one_group_of_calls_do_not_affect_others() -> None:
    """A worker that fails the calls of one class or tenant may go on serving the others."""
    driver = Driver(settings(), WORKERS[:1])
    dispatcher = driver.dispatcher
    serve_call(driver, 0, "f")
    driver.give(arrival(1, "f"))
    driver.give(ended(1, 0, "w0", api.Result.ERROR))
    safe, unsafe = driver.give(arrival(2, "f")), driver.give(arrival(3, "g", "unsafe"))
    # The failure score of the only worker must not keep a call waiting.
    assert [send.call for send in sends(safe + unsafe)] == [2, 3]
    worker, outliers = dispatcher.workers["w0"], dispatcher.outliers
    assert outliers.failure_score(worker, "safe ") > EJECTION_SCORE > outliers.failure_score(worker, "")


def test_rejections_as_full_back_off_only_that_tenant_and_longer_each_time() -> None:
    driver = Driver(settings(), WORKERS[:1])
    backoffs_us = []
    for call in range(3):
        driver.run(60_000 * MS)
        # This call loads a copy, so that the next call needs no load.
        driver.give(replace(arrival(10 + call, "f"), tenant="b"))
        driver.give(ended(10 + call, 0, "w0", api.Result.OK, MS))
        driver.give(replace(arrival(call, "f"), tenant="a"))
        driver.give(ended(call, 0, "w0", api.Result.FULL, MS))
        backoffs_us.append(driver.dispatcher.workers["w0"].backoff_until_us["safe a"] - driver.now_us)
    assert backoffs_us[0] < backoffs_us[1] < backoffs_us[2]
    assert sends(driver.give(replace(arrival(9, "g"), tenant="b")))


class TimedFleet:
    """Four workers, `a` to `d`, with calls that hint a service time of `NORMAL_ANSWER_US`."""

    def __init__(self) -> None:
        self.driver = Driver(settings(router_count=1), [entry(name) for name in "abcd"])
        self.calls = 0

    def call(self, function: str) -> api.SendAttempt:
        """Simulate the arrival of a call, and return its only attempt."""
        self.calls += 1
        (send,) = sends(self.driver.give(replace(arrival(self.calls, function), cost_us=NORMAL_ANSWER_US)))
        return send

    def answer(self, send: api.SendAttempt, elapsed_us: int = NORMAL_ANSWER_US) -> None:
        """End an attempt successfully, with this answer time."""
        self.driver.now_us += 5 * MS
        self.driver.give(ended(send.call, 0, send.worker, api.Result.OK, elapsed_us))

    def serve_rounds(self, rounds: int, prefix: str, answer_us_of_a: int = NORMAL_ANSWER_US) -> None:
        """Serve a call of each of sixty functions in each round; worker `a` has its own answer time."""
        for _ in range(rounds):
            for number in range(60):
                send = self.call(f"{prefix}{number}")
                self.answer(send, answer_us_of_a if send.worker == "a" else NORMAL_ANSWER_US)
            self.driver.run(500 * MS)


def test_slow_worker_gets_one_call_at_a_time() -> None:
    """A slow worker answers late, but shows none of the symptoms of a silent or failing worker."""
    fleet = TimedFleet()
    fleet.serve_rounds(3, "f", answer_us_of_a=400 * MS)
    in_flight = [fleet.call(f"f{number}") for number in range(24)]
    assert [send.worker for send in in_flight].count("a") <= 1
    for send in in_flight:
        fleet.answer(send)
    fleet.serve_rounds(6, "g")  # worker `a` answers as fast as the others again
    assert [fleet.call(f"g{number}").worker for number in range(24)].count("a") > 1
