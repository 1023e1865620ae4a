"""Tests of load requests and their limits, keep-warm requests, and inferred copies."""

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


def test_only_caching_tier_functions_get_keep_warm_requests() -> None:
    driver = Driver(settings(router_count=1), WORKERS)
    for call in range(3):
        home = serve_call(driver, call, "hot")
    serve_call(driver, 10, "once")
    requests = load_requests(driver.run(9_000 * MS))
    assert requests == [api.RequestLoad(home, "hot", 1)]


def test_load_requests_stay_within_quota() -> None:
    driver = Driver(settings(load_requests_free=2, load_requests_per_call=0.0, loads_on_miss=False), WORKERS)
    for call in range(40):
        for send in sends(driver.give(arrival(call, f"f{call % 5}"))):
            driver.give(ended(call, 0, send.worker, api.Result.MISS, MS))
    driver.run(3_000 * MS)
    assert sum(isinstance(action, api.RequestLoad) and action.copies > 0 for _, action in driver.log) == 2


def test_miss_triggers_load_request_and_call_waits_for_copy() -> None:
    driver = Driver(settings(loads_on_miss=False), WORKERS)
    home = serve_call(driver, 1, "f")
    driver.give(arrival(2, "f"))
    actions = driver.give(ended(2, 0, home, api.Result.MISS, MS))
    assert load_requests(actions) == [api.RequestLoad(home, "f", 1)]
    assert sends(driver.run(100 * MS))[0].worker == home


def test_started_dispatcher_assumes_copies_loaded_by_others() -> None:
    driver = Driver(settings(), WORKERS)
    for call in range(6):
        driver.give(arrival(call, f"f{call}"))
    sent = sends(driver.actions())
    assert len(sent) > 2 and not driver.dispatcher.loads.loads  # the cap is two loads here
    for send in sent:
        driver.give(ended(send.call, 0, send.worker, api.Result.OK))
    driver.run(30_000 * MS)  # after this time, it assumes no copies for a function that it has not seen
    driver.give(arrival(50, "new"))
    assert len(driver.dispatcher.loads) == 1


def test_draining_home_triggers_load_at_next_replica_without_a_call() -> None:
    driver = Driver(settings(), WORKERS)
    for call in range(4):
        home = serve_call(driver, call, "f")
    driver.log.clear()
    driver.give(worker_list(entry(home, api.WorkerState.DRAINING), kind=api.ListKind.DELTA))
    driver.run(1_000 * MS)
    (request,) = load_requests(driver.actions())
    replica = driver.dispatcher.tiers.functions["f"].ranking[0].entry.worker
    assert request == api.RequestLoad(replica, "f", 1) and replica != home


def test_copies_are_inferred_only_at_replicas_and_only_after_time_to_load() -> None:
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
    function.copy(replica).replica_since_us = driver.now_us
    assert not copies.is_inferred_warm(function, replica)
    driver.now_us += 5_000 * MS
    dispatcher.handle(driver.now_us, api.CallExpired(0))
    assert copies.is_inferred_warm(function, replica)


def test_call_queues_at_busy_copy_while_another_copy_loads() -> None:
    driver = Driver(settings(), WORKERS)
    home = serve_call(driver, 1, "f")
    driver.run(500 * MS)
    workers = [send.worker for call in (2, 3) for send in sends(driver.give(arrival(call, "f")))]
    assert workers == [home] * 2  # the copy's two lanes are busy now
    actions = driver.give(arrival(4, "f"))
    assert [send.worker for send in sends(actions)] == [home]
    (request,) = load_requests(actions)
    assert request.worker != home and request.copies == 1


def test_few_large_workers_may_load_many_functions_at_once() -> None:
    """With six workers that hold a thousand copies each, a cap of two loads used to hold back most calls."""
    large = Driver(settings(router_count=3, kind_memory_mb=(("k", 400_000.0),)), WORKERS)
    small = Driver(settings(router_count=3), WORKERS)
    for driver in (large, small):  # both have been running for a long time
        serve_call(driver, 100, "old")
        driver.run(30_000 * MS)
        driver.log.clear()
    for call in range(10):
        large.give(arrival(call, f"f{call}"))
    assert len(sends(large.actions())) == 5  # a third of the cap of four loads per worker
    for call in range(10):
        small.give(arrival(call, f"f{call}"))
    assert len(sends(small.actions())) == 2


def test_load_rejected_as_full_does_not_block_loaded_functions() -> None:
    """In a run with large workers, all 4,052 FULL answers were to loads, but blocked the whole call class."""
    driver = Driver(settings(), WORKERS[:1])
    driver.give(arrival(1, "warm"))
    driver.give(ended(1, 0, "w0", api.Result.OK))
    driver.give(arrival(2, "cold"))
    driver.give(ended(2, 0, "w0", api.Result.FULL, 4 * MS))
    assert len(sends(driver.give(arrival(3, "warm")))) == 1
    assert not sends(driver.give(arrival(4, "cold")))


def test_worker_without_memory_gets_no_loads_but_calls_of_loaded_functions() -> None:
    driver = Driver(settings(router_count=1), WORKERS[:1])
    home = serve_call(driver, 1, "loaded")
    (send,) = sends(driver.give(arrival(2, "a")))
    driver.give(ended(2, 0, send.worker, api.Result.FULL, MS))
    assert not sends(driver.give(arrival(3, "b")))  # a load of any function would lack memory as well
    assert [send.worker for send in sends(driver.give(arrival(4, "loaded")))] == [home]
    assert {send.call for send in sends(driver.run(500 * MS))} >= {2}  # the load is tried again soon
