"""Copies: load requests and their bounds, keep-warm requests, and copies that are inferred."""

from dataclasses import replace

from maplestile.dispatch import api
from tests.helpers import (
    MS,
    WORKERS,
    Driver,
    arrival,
    ended,
    entry,
    load_requests,
    sends,
    serve_call,
    settings,
    worker_list,
)


def test_function_in_the_caching_tier_gets_a_keep_warm_request_and_others_none() -> None:
    driver = Driver(settings(router_count=1), WORKERS)
    for call in range(3):
        home = serve_call(driver, call, "hot")
    serve_call(driver, 10, "once")
    held = load_requests(driver.run(9_000 * MS))
    assert held == [api.RequestLoad(home, "hot", 1)]


def test_load_requests_stay_in_the_budget() -> None:
    driver = Driver(settings(load_requests_free=2, load_requests_per_call=0.0, loads_on_miss=False), WORKERS)
    for call in range(40):
        for send in sends(driver.give(arrival(call, f"f{call % 5}"))):
            driver.give(ended(call, 0, send.worker, api.Result.MISS, MS))
    driver.run(3_000 * MS)
    assert sum(isinstance(action, api.RequestLoad) and action.copies > 0 for _, action in driver.log) == 2


def test_miss_is_answered_by_a_load_request_and_the_call_waits_for_it() -> None:
    driver = Driver(settings(loads_on_miss=False), WORKERS)
    home = serve_call(driver, 1, "f")
    driver.give(arrival(2, "f"))
    done = driver.give(ended(2, 0, home, api.Result.MISS, MS))
    assert load_requests(done) == [api.RequestLoad(home, "f", 1)]
    assert sends(driver.run(100 * MS))[0].worker == home


def test_one_that_has_just_started_holds_no_first_calls_for_loads_that_others_have_made() -> None:
    driver = Driver(settings(), WORKERS)
    for call in range(6):
        driver.give(arrival(call, f"f{call}"))
    sent = sends(driver.actions())
    assert len(sent) > 2 and not driver.dispatcher.loads.loads  # two loads are the cap here
    for send in sent:
        driver.give(ended(send.call, 0, send.worker, api.Result.OK))
    driver.run(30_000 * MS)  # from then on it knows what it has seen, and a new name's copy must be loaded
    driver.give(arrival(50, "new"))
    assert len(driver.dispatcher.loads) == 1


def test_drain_of_a_home_has_the_copy_loaded_at_the_next_replica_before_a_call_comes() -> None:
    driver = Driver(settings(), WORKERS)
    for call in range(4):
        home = serve_call(driver, call, "f")
    driver.log.clear()
    driver.give(worker_list(entry(home, api.WorkerState.DRAINING), kind=api.ListKind.DELTA))
    driver.run(1_000 * MS)
    (order,) = load_requests(driver.actions())
    replica = driver.dispatcher.tiers.functions["f"].ranking[0].entry.worker
    assert order == api.RequestLoad(replica, "f", 1) and replica != home


def test_copies_are_inferred_at_replicas_alone_and_not_before_others_can_have_loaded_them() -> None:
    driver = Driver(settings(router_count=9), [*WORKERS, entry("w4")])
    for call in range(40):
        serve_call(driver, call, "f")
    dispatcher, function = driver.dispatcher, driver.dispatcher.tiers.functions["f"]
    dispatcher.load_rate.first_call_us -= 60_000 * MS
    function.replica_count, function.home = 1, ""
    copies = dispatcher.warm_copies
    unknown = [w for w in function.ranking[1:] if not copies.is_warm(function, w)]
    assert unknown and not any(copies.is_inferred_warm(function, w) for w in unknown)
    removed = replace(function.ranking[0].entry, state=api.WorkerState.GONE)
    driver.give(worker_list(removed, kind=api.ListKind.DELTA))
    replica = dispatcher.fleet.ranked(function)[0]
    replica.copies.clear()
    function.copy(replica).replica_since_us = driver.now
    assert not copies.is_inferred_warm(function, replica)
    driver.now += 5_000 * MS
    dispatcher.handle(driver.now, api.CallExpired(0))
    assert copies.is_inferred_warm(function, replica)


def test_call_waits_at_a_busy_copy_while_the_next_one_loads() -> None:
    driver = Driver(settings(), WORKERS)
    home = serve_call(driver, 1, "f")
    driver.run(500 * MS)
    workers = [send.worker for call in (2, 3) for send in sends(driver.give(arrival(call, "f")))]
    assert workers == [home] * 2  # all lanes
    done = driver.give(arrival(4, "f"))
    assert [send.worker for send in sends(done)] == [home]
    (order,) = load_requests(done)
    assert order.worker != home and order.copies == 1


def test_few_large_workers_may_load_many_functions_at_once() -> None:
    """On days with six workers of a thousand copies each a cap of two loads held most calls back."""
    large = Driver(settings(router_count=3, kind_memory_mb=(("k", 400_000.0),)), WORKERS)
    small = Driver(settings(router_count=3), WORKERS)
    for driver in (large, small):  # long since started
        serve_call(driver, 100, "old")
        driver.run(30_000 * MS)
        driver.log.clear()
    for call in range(10):
        large.give(arrival(call, f"f{call}"))
    assert len(sends(large.actions())) == 5  # of four loads a worker, a third
    for call in range(10):
        small.give(arrival(call, f"f{call}"))
    assert len(sends(small.actions())) == 2


def test_full_answer_to_a_call_that_needs_a_load_excludes_that_function_there_and_no_other() -> None:
    """4,052 of 4,052 full answers on a day of large workers came to loads, and excluded the whole class."""
    driver = Driver(settings(), WORKERS[:1])
    driver.give(arrival(1, "warm"))
    driver.give(ended(1, 0, "w0", api.Result.OK))
    driver.give(arrival(2, "cold"))
    driver.give(ended(2, 0, "w0", api.Result.FULL, 4 * MS))
    assert len(sends(driver.give(arrival(3, "warm")))) == 1
    assert not sends(driver.give(arrival(4, "cold")))


def test_worker_without_room_for_a_load_is_spared_further_loads_and_no_call_of_what_stands() -> None:
    driver = Driver(settings(router_count=1), WORKERS[:1])
    home = serve_call(driver, 1, "stands")
    (send,) = sends(driver.give(arrival(2, "a")))
    driver.give(ended(2, 0, send.worker, api.Result.FULL, MS))
    assert not sends(driver.give(arrival(3, "b")))  # any function's load would meet the same queue
    assert [send.worker for send in sends(driver.give(arrival(4, "stands")))] == [home]
    assert {send.call for send in sends(driver.run(500 * MS))} >= {2}  # and is tried again soon
