"""Workers that calls avoid: drains, failure scores, silence, slowness and backoff."""

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

PACE_US = 20 * MS  # how long a worker takes for a call of a `PacedFleet`


def test_drain_stops_calls_and_load_requests_at_once() -> None:
    driver = Driver(settings(), WORKERS)
    home = serve_call(driver, 1, "f")
    driver.give(worker_list(entry(home, api.WorkerState.DRAINING), kind=api.ListKind.DELTA))
    for call in range(2, 30):
        driver.give(arrival(call, "f"))
    later = [action for at_us, action in driver.log if at_us == driver.now] + driver.run(2_000 * MS)
    assert all(send.worker != home for send in sends(later))
    assert all(request.worker != home for request in load_requests(later) if request.copies)


def test_fast_errors_do_not_attract_traffic() -> None:
    driver = Driver(settings(), WORKERS)
    home = serve_call(driver, 1, "f")
    hits = 0
    for call in range(2, 22):
        driver.run(50 * MS)
        done = driver.give(arrival(call, "f"))
        for send in sends(done):
            is_home = send.worker == home
            hits += is_home
            driver.give(ended(call, 0, send.worker, api.Result.ERROR if is_home else api.Result.OK, 5 * MS))
    assert hits <= 4


def test_call_of_much_hinted_work_is_neither_silent_nor_slow_before_its_time() -> None:
    driver = Driver(settings(), WORKERS)
    home = serve_call(driver, 1, "f")
    hinted = replace(arrival(2, "f", budget_us=10_000 * MS), cost_us=900 * MS)
    assert [send.worker for send in sends(driver.give(hinted))] == [home]
    assert not sends(driver.run(1_700 * MS))  # many service times of f, but none of this call's own
    assert not driver.dispatcher.workers[home].failure_scores
    driver.give(ended(2, 0, home, api.Result.OK, 1_700 * MS))
    assert driver.dispatcher.tiers.functions["f"].home == home
    driver.give(arrival(3, "f", budget_us=10_000 * MS))  # without a hint the same silence is a symptom
    assert sends(driver.run(1_700 * MS)) and driver.dispatcher.workers[home].failure_scores


def test_broken_connection_moves_no_home_and_counts_once_for_all_it_carried() -> None:
    driver = Driver(settings(), WORKERS)
    home = serve_call(driver, 1, "f")
    for call in (2, 3):
        assert sends(driver.give(arrival(call, "f", "unsafe")))[0].worker == home
    for call in (2, 3):
        assert final_answers(driver.give(ended(call, 0, home, api.Result.RESET))) == [api.FailCall(call)]
    assert sends(driver.give(arrival(4, "f")))[0].worker == home  # its copy is loaded, and it is healthy
    driver.give(ended(4, 0, home, api.Result.OK))
    for call in (5, 6, 7):  # a worker whose connections break again and again is left all the same
        for send in sends(driver.give(arrival(call, "f", "unsafe"))):
            driver.give(ended(call, 0, send.worker, api.Result.RESET))
        driver.now += 10 * MS
    assert all(send.worker != home for send in sends(driver.give(arrival(8, "f", "unsafe"))))


def test_worker_that_answered_full_is_left_alone_for_a_while() -> None:
    driver = Driver(settings(router_count=1), WORKERS[:1])
    home = serve_call(driver, 1, "f")
    driver.give(arrival(2, "f"))
    driver.give(ended(2, 0, home, api.Result.FULL, MS))
    assert not sends(driver.give(arrival(3, "f")))
    assert sorted(send.call for send in sends(driver.run(300 * MS))) == [2, 3]


def test_symptoms_of_one_group_of_calls_spare_the_others() -> None:
    """Workers that stay silent for one class (or one tenant) go on serving the rest."""
    driver = Driver(settings(), WORKERS[:1])
    dispatcher = driver.dispatcher
    serve_call(driver, 0, "f")
    driver.give(arrival(1, "f"))
    driver.give(ended(1, 0, "w0", api.Result.ERROR))
    safe, unsafe = driver.give(arrival(2, "f")), driver.give(arrival(3, "g", "unsafe"))
    assert [send.call for send in sends(safe + unsafe)] == [
        2,
        3,
    ]  # the only worker: its score never strands a call
    worker, outliers = dispatcher.workers["w0"], dispatcher.outliers
    assert outliers.failure_score(worker, "safe ") > EJECTION_SCORE > outliers.failure_score(worker, "")


def test_full_to_one_tenant_backs_off_that_tenant_only_and_longer_each_time() -> None:
    driver = Driver(settings(), WORKERS[:1])
    pauses = []
    for call in range(3):
        driver.run(60_000 * MS)
        driver.give(replace(arrival(10 + call, "f"), tenant="b"))  # a copy is loaded: what is full is no load
        driver.give(ended(10 + call, 0, "w0", api.Result.OK, MS))
        driver.give(replace(arrival(call, "f"), tenant="a"))
        driver.give(ended(call, 0, "w0", api.Result.FULL, MS))
        pauses.append(driver.dispatcher.workers["w0"].backoff_until_us["safe a"] - driver.now)
    assert pauses[0] < pauses[1] < pauses[2]
    assert sends(driver.give(replace(arrival(9, "g"), tenant="b")))


class PacedFleet:
    """Four workers, `a` to `d`, that answer calls of `PACE_US` of work one after the other."""

    def __init__(self) -> None:
        self.driver = Driver(settings(router_count=1), [entry(name) for name in "abcd"])
        self.calls = 0

    def call(self, function: str) -> api.SendAttempt:
        """Have a call arrive, and return its one attempt."""
        self.calls += 1
        (send,) = sends(self.driver.give(replace(arrival(self.calls, function), cost_us=PACE_US)))
        return send

    def answer(self, send: api.SendAttempt, elapsed_us: int = PACE_US) -> None:
        """Have an attempt end well after this time."""
        self.driver.now += 5 * MS
        self.driver.give(ended(send.call, 0, send.worker, api.Result.OK, elapsed_us))

    def serve_rounds(self, rounds: int, prefix: str, pace_of_a_us: int = PACE_US) -> None:
        """Have calls of sixty functions served in each round, by `a` at a pace of its own."""
        for _ in range(rounds):
            for number in range(60):
                send = self.call(f"{prefix}{number}")
                self.answer(send, pace_of_a_us if send.worker == "a" else PACE_US)
            self.driver.run(500 * MS)


def test_worker_far_behind_the_fleets_pace_gets_one_call_at_a_time() -> None:
    """Its answers come, only late: no symptom of those that silent or failing workers show."""
    fleet = PacedFleet()
    fleet.serve_rounds(3, "f", pace_of_a_us=400 * MS)
    in_flight = [fleet.call(f"f{number}") for number in range(24)]
    assert [send.worker for send in in_flight].count("a") <= 1
    for send in in_flight:
        fleet.answer(send)
    fleet.serve_rounds(6, "g")  # it answers as the others do again
    assert [fleet.call(f"g{number}").worker for number in range(24)].count("a") > 1
