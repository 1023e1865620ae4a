"""Workers that calls avoid: drains, failure scores, silence, slowness and backoff."""

from dataclasses import replace

from maplestile.dispatch import api
from maplestile.dispatch.outliers import EJECTION_SCORE
from tests.helpers import MS, WORKERS, Driver, arrival, ended, entry, finals, fleet, sends, served, settings


def test_drain_stops_calls_and_load_requests_at_once() -> None:
    driver = Driver(settings(), WORKERS)
    home = served(driver, 1, "f")
    driver.give(fleet(entry(home, api.WorkerState.DRAINING), kind=api.ListKind.DELTA))
    for call in range(2, 30):
        driver.give(arrival(call, "f"))
    later = [a for t, a in driver.log if t == driver.now] + driver.run(2_000 * MS)
    assert all(a.worker != home for a in later if isinstance(a, api.SendAttempt))
    assert all(a.worker != home for a in later if isinstance(a, api.RequestLoad) and a.copies)


def test_fast_errors_do_not_attract_traffic() -> None:
    driver = Driver(settings(), WORKERS)
    home = served(driver, 1, "f")
    hits = 0
    for call in range(2, 22):
        driver.run(50 * MS)
        done = driver.give(arrival(call, "f"))
        for send in sends(done):
            hits += send.worker == home
            bad = send.worker == home
            driver.give(ended(call, 0, send.worker, api.Result.ERROR if bad else api.Result.OK, 5 * MS))
    assert hits <= 4


def test_call_of_much_hinted_work_is_neither_silent_nor_slow_before_its_time() -> None:
    driver = Driver(settings(), WORKERS)
    home = served(driver, 1, "f")
    hinted = replace(arrival(2, "f", budget_us=10_000 * MS), cost_us=900 * MS)
    assert [s.worker for s in sends(driver.give(hinted))] == [home]
    assert not sends(driver.run(1_700 * MS))  # many service times of f, but none of this call's own
    assert not driver.dispatcher.workers[home].failure_scores
    driver.give(ended(2, 0, home, api.Result.OK, 1_700 * MS))
    assert driver.dispatcher.tiers.functions["f"].home == home
    driver.give(arrival(3, "f", budget_us=10_000 * MS))  # without a hint the same silence is a symptom
    assert sends(driver.run(1_700 * MS)) and driver.dispatcher.workers[home].failure_scores


def test_broken_connection_moves_no_home_and_counts_once_for_all_it_carried() -> None:
    driver = Driver(settings(), WORKERS)
    home = served(driver, 1, "f")
    for call in (2, 3):
        assert sends(driver.give(arrival(call, "f", "unsafe")))[0].worker == home
    for call in (2, 3):
        assert finals(driver.give(ended(call, 0, home, api.Result.RESET))) == [api.FailCall(call)]
    assert sends(driver.give(arrival(4, "f")))[0].worker == home  # its copy stands, and it is healthy
    driver.give(ended(4, 0, home, api.Result.OK))
    for call in (5, 6, 7):  # a worker whose connections break again and again is left all the same
        for send in sends(driver.give(arrival(call, "f", "unsafe"))):
            driver.give(ended(call, 0, send.worker, api.Result.RESET))
        driver.now += 10 * MS
    assert all(send.worker != home for send in sends(driver.give(arrival(8, "f", "unsafe"))))


def test_worker_that_answered_full_is_left_alone_for_a_while() -> None:
    driver = Driver(settings(router_count=1), WORKERS[:1])
    home = served(driver, 1, "f")
    driver.give(arrival(2, "f"))
    driver.give(ended(2, 0, home, api.Result.FULL, MS))
    assert not sends(driver.give(arrival(3, "f")))
    assert sorted(s.call for s in sends(driver.run(300 * MS))) == [2, 3]


def test_symptoms_of_one_group_of_calls_spare_the_others() -> None:
    """Workers that stay silent for one class (or one tenant) go on serving the rest."""
    driver = Driver(settings(), WORKERS[:1])
    dispatcher = driver.dispatcher
    served(driver, 0, "f")
    driver.give(arrival(1, "f"))
    driver.give(ended(1, 0, "w0", api.Result.ERROR))
    safe, unsafe = driver.give(arrival(2, "f")), driver.give(arrival(3, "g", "unsafe"))
    assert [s.call for s in sends(safe + unsafe)] == [2, 3]  # the only worker: its score never strands a call
    worker, outliers = dispatcher.workers["w0"], dispatcher.outliers
    assert outliers.failure_score(worker, "safe ") > EJECTION_SCORE > outliers.failure_score(worker, "")


def test_full_to_one_tenant_backs_off_that_tenant_only_and_longer_each_time() -> None:
    driver = Driver(settings(), WORKERS[:1])
    pauses = []
    for call in range(3):
        driver.run(60_000 * MS)
        driver.give(replace(arrival(10 + call, "f"), tenant="b"))  # a copy stands: what is full is no load
        driver.give(ended(10 + call, 0, "w0", api.Result.OK, MS))
        driver.give(replace(arrival(call, "f"), tenant="a"))
        driver.give(ended(call, 0, "w0", api.Result.FULL, MS))
        pauses.append(driver.dispatcher.workers["w0"].backoff_until_us["safe a"] - driver.now)
    assert pauses[0] < pauses[1] < pauses[2]
    assert sends(driver.give(replace(arrival(9, "g"), tenant="b")))


def test_worker_far_behind_the_fleets_pace_gets_one_call_at_a_time() -> None:
    """Its answers come, only late: no symptom of those that silent or failing workers show."""
    driver = Driver(settings(router_count=1), [entry(name) for name in "abcd"])
    number, slow_us = 0, 400 * MS

    def call(function: str) -> api.SendAttempt:
        nonlocal number
        number += 1
        (send,) = sends(driver.give(replace(arrival(number, function), cost_us=20 * MS)))
        return send

    def answer(send: api.SendAttempt, elapsed_us: int) -> None:
        driver.now += 5 * MS
        driver.give(ended(send.call, 0, send.worker, api.Result.OK, elapsed_us))

    for _ in range(3):
        for n in range(60):
            send = call(f"f{n}")
            answer(send, slow_us if send.worker == "a" else 20 * MS)
        driver.run(500 * MS)
    out = [call(f"f{n}") for n in range(24)]
    assert [s.worker for s in out].count("a") <= 1
    for send in out:
        answer(send, 20 * MS)
    for _ in range(6):  # it answers as the others do again
        for n in range(60):
            answer(call(f"g{n}"), 20 * MS)
        driver.run(500 * MS)
    assert [call(f"g{n}").worker for n in range(24)].count("a") > 1
