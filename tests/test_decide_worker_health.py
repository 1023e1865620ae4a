"""Workers that calls avoid: drains, failure scores, silence, slowness and backoff."""

from dataclasses import replace

from maplestile.dispatch import api
from maplestile.dispatch.outliers import EJECTION_SCORE
from tests.helpers import MS, WORKERS, Driver, arrival, ended, entry, finals, fleet, sends, served, settings


def test_drain_stops_calls_and_load_requests_at_once() -> None:
    d = Driver(settings(), WORKERS)
    home = served(d, 1, "f")
    d.give(fleet(entry(home, api.WorkerState.DRAINING), kind=api.ListKind.DELTA))
    for call in range(2, 30):
        d.give(arrival(call, "f"))
    later = [a for t, a in d.log if t == d.now] + d.run(2_000 * MS)
    assert all(a.worker != home for a in later if isinstance(a, api.SendAttempt))
    assert all(a.worker != home for a in later if isinstance(a, api.RequestLoad) and a.copies)


def test_fast_errors_do_not_attract_traffic() -> None:
    d = Driver(settings(), WORKERS)
    home = served(d, 1, "f", holders=("w0", "w1"))
    hits = 0
    for call in range(2, 22):
        d.run(50 * MS)
        done = d.give(arrival(call, "f"))
        for send in sends(done):
            hits += send.worker == home
            bad = send.worker == home
            d.give(ended(call, 0, send.worker, api.Result.ERROR if bad else api.Result.OK, 5 * MS))
    assert hits <= 4


def test_call_of_much_hinted_work_is_neither_silent_nor_slow_before_its_time() -> None:
    d = Driver(settings(), WORKERS)
    home = served(d, 1, "f")
    hinted = replace(arrival(2, "f", budget_us=10_000 * MS), cost_us=900 * MS)
    assert [s.worker for s in sends(d.give(hinted))] == [home]
    assert not sends(d.run(1_700 * MS))  # many service times of f, but none of this call's own
    assert not d.dispatcher.workers[home].failure_scores
    d.give(ended(2, 0, home, api.Result.OK, 1_700 * MS))
    assert d.dispatcher.tiers.functions["f"].home == home
    d.give(arrival(3, "f", budget_us=10_000 * MS))  # without a hint the same silence is a symptom
    assert sends(d.run(1_700 * MS)) and d.dispatcher.workers[home].failure_scores


def test_broken_connection_moves_no_home_and_counts_once_for_all_it_carried() -> None:
    d = Driver(settings(), WORKERS)
    home = served(d, 1, "f")
    for call in (2, 3):
        assert sends(d.give(arrival(call, "f", "unsafe")))[0].worker == home
    for call in (2, 3):
        assert finals(d.give(ended(call, 0, home, api.Result.RESET))) == [api.FailCall(call)]
    assert sends(d.give(arrival(4, "f")))[0].worker == home  # its copy stands, and it is healthy
    d.give(ended(4, 0, home, api.Result.OK))
    for call in (5, 6, 7):  # a worker whose connections break again and again is left all the same
        for send in sends(d.give(arrival(call, "f", "unsafe"))):
            d.give(ended(call, 0, send.worker, api.Result.RESET))
        d.now += 10 * MS
    assert all(send.worker != home for send in sends(d.give(arrival(8, "f", "unsafe"))))


def test_worker_that_answered_full_is_left_alone_for_a_while() -> None:
    d = Driver(settings(router_count=1), WORKERS[:1])
    home = served(d, 1, "f")
    d.give(arrival(2, "f"))
    d.give(ended(2, 0, home, api.Result.FULL, MS))
    assert not sends(d.give(arrival(3, "f")))
    assert sorted(s.call for s in sends(d.run(300 * MS))) == [2, 3]


def test_symptoms_of_one_group_of_calls_spare_the_others() -> None:
    """Workers that stay silent for one class (or one tenant) go on serving the rest."""
    d = Driver(settings(), WORKERS[:1])
    dispatcher = d.dispatcher
    served(d, 0, "f")
    d.give(arrival(1, "f"))
    d.give(ended(1, 0, "w0", api.Result.ERROR))
    safe, unsafe = d.give(arrival(2, "f")), d.give(arrival(3, "g", "unsafe"))
    assert [s.call for s in sends(safe + unsafe)] == [2, 3]  # the only worker: its score never strands a call
    worker, outliers = dispatcher.workers["w0"], dispatcher.outliers
    assert outliers.failure_score(worker, "safe ") > EJECTION_SCORE > outliers.failure_score(worker, "")


def test_full_to_one_tenant_backs_off_that_tenant_only_and_longer_each_time() -> None:
    d = Driver(settings(), WORKERS[:1])
    pauses = []
    for call in range(3):
        d.run(60_000 * MS)
        d.give(replace(arrival(10 + call, "f"), tenant="b"))  # a copy stands: what is full is no load
        d.give(ended(10 + call, 0, "w0", api.Result.OK, MS))
        d.give(replace(arrival(call, "f"), tenant="a"))
        d.give(ended(call, 0, "w0", api.Result.FULL, MS))
        pauses.append(d.dispatcher.workers["w0"].backoff_until_us["safe a"] - d.now)
    assert pauses[0] < pauses[1] < pauses[2]
    assert sends(d.give(replace(arrival(9, "g"), tenant="b")))


def test_worker_far_behind_the_fleets_pace_gets_one_call_at_a_time() -> None:
    """Its answers come, only late: no symptom of those that silent or failing workers show."""
    d = Driver(settings(router_count=1), [entry(name) for name in "abcd"])
    number, slow_us = 0, 400 * MS

    def call(function: str) -> api.SendAttempt:
        nonlocal number
        number += 1
        (send,) = sends(d.give(replace(arrival(number, function), cost_us=20 * MS)))
        return send

    def answer(send: api.SendAttempt, elapsed_us: int) -> None:
        d.now += 5 * MS
        d.give(ended(send.call, 0, send.worker, api.Result.OK, elapsed_us))

    for _ in range(3):
        for n in range(60):
            send = call(f"f{n}")
            answer(send, slow_us if send.worker == "a" else 20 * MS)
        d.run(500 * MS)
    out = [call(f"f{n}") for n in range(24)]
    assert [s.worker for s in out].count("a") <= 1
    for send in out:
        answer(send, 20 * MS)
    for _ in range(6):  # it answers as the others do again
        for n in range(60):
            answer(call(f"g{n}"), 20 * MS)
        d.run(500 * MS)
    assert [call(f"g{n}").worker for n in range(24)].count("a") > 1
