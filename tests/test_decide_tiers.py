"""Tests of the tiers, homes and replicas of functions, and the cost of choosing a worker."""

from maplestile.dispatch import api
from maplestile.dispatch.state import CACHING, MULTIPLE, SINGLE, Call, Worker
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
)


def test_calls_promote_by_one_tier_and_caching_requires_shorter_gap() -> None:
    driver = Driver(settings(), WORKERS)
    tiers = []
    for call in range(3):
        serve_call(driver, call, "f")
        tiers.append(driver.dispatcher.tiers.functions["f"].tier)
    assert tiers == [SINGLE, MULTIPLE, CACHING]
    for call in range(10, 13):
        driver.run(5_000 * MS)
        serve_call(driver, call * 10, "f")
        serve_call(driver, call * 10 + 1, "f")
        serve_call(driver, call, "rare")
    # Its gap is longer than the aged gap of f.
    assert driver.dispatcher.tiers.functions["rare"].tier == MULTIPLE
    driver.run(9_000 * MS)
    serve_call(driver, 201, "rare")
    serve_call(driver, 202, "rare")
    # By now, f has been idle for so long that its aged gap is the longer one.
    assert driver.dispatcher.tiers.functions["rare"].tier == CACHING


def test_full_tiers_demote_function_with_longest_gap() -> None:
    driver = Driver(settings(kind_memory_mb=(("k", 400.0),)), WORKERS)  # tiers with room for two functions
    for n, function in enumerate(("a", "b", "c", "d", "e")):
        serve_call(driver, 100 + n, function)
    for n in range(12):
        serve_call(driver, 200 + n, "abcde"[n % 5])
    tiers = driver.dispatcher.tiers.tiers
    assert driver.dispatcher.tiers.capacity == 2
    assert len(tiers[CACHING]) <= 2 and len(tiers[MULTIPLE]) <= 2
    assert sum(len(tier) for tier in tiers) == 5


def test_calls_delivered_together_do_not_shorten_the_gap() -> None:
    driver = Driver(settings(), WORKERS)
    serve_call(driver, 1, "rare")
    driver.run(8_000 * MS)
    for call in (2, 3, 4):  # all delivered at the same time, after a stall
        driver.give(arrival(call, "rare"))
    assert driver.dispatcher.tiers.functions["rare"].gap_us >= 8_000 * MS


def test_home_is_last_serving_worker_and_ranking_ignores_seed() -> None:
    workers = {serve_call(Driver(settings(), WORKERS, seed), 1, "f") for seed in range(5)}
    assert len(workers) == 1
    driver = Driver(settings(), WORKERS)
    first = sends(driver.give(arrival(1, "f")))[0].worker
    second = sends(driver.give(ended(1, 0, first, api.Result.FULL)))[0].worker
    driver.run(100 * MS)
    driver.give(ended(1, 1, second, api.Result.OK))
    assert driver.dispatcher.tiers.functions["f"].home == second != first


def test_calls_move_along_ranking_when_lanes_are_busy_or_worker_is_full() -> None:
    driver = Driver(settings(router_count=1), WORKERS[:2])
    home = serve_call(driver, 1, "f")
    workers = [sends(driver.give(arrival(call, "f")))[0].worker for call in (2, 3)]
    assert workers[0] == home
    actions = driver.give(arrival(4, "f"))  # queues at the home, whose lanes are busy
    (request,) = load_requests(actions)
    assert request.worker != home
    driver.give(api.LoadRequestEnded(request.worker, "f", api.Result.OK, 500 * MS, 1))
    overflow_workers = [send.worker for call in (5, 6) for send in sends(driver.give(arrival(call, "f")))]
    assert overflow_workers == [request.worker] * 2
    retries = sends(driver.give(ended(2, 0, home, api.Result.FULL)) + driver.run(40 * MS))
    assert all(send.worker != home for send in retries if send.call == 2)


def test_function_with_a_large_share_of_the_work_gets_more_replicas() -> None:
    dispatcher_settings = settings(router_count=300)
    driver = Driver(dispatcher_settings, [entry(f"w{i}") for i in range(60)])
    used = {"hot": set[str](), "rare": set[str]()}
    for call in range(120):
        driver.run(300 * MS)
        function = "hot" if call % 2 else f"rare-{call}"
        for send in sends(driver.give(arrival(call, function))):
            used["hot" if call % 2 else "rare"].add(send.worker)
            driver.give(ended(call, 0, send.worker, api.Result.OK, 900 * MS if call % 8 == 1 else 100 * MS))
    assert len(used["hot"]) >= 10  # many replicas, and slow answers change the home
    assert driver.dispatcher.placement.replica_count(driver.dispatcher.tiers.functions["rare-118"]) == 1


def test_evicted_functions_leave_no_records_at_workers() -> None:
    driver = Driver(settings(), WORKERS)
    for call in range(2_000):
        serve_call(driver, call, f"f{call}")
    kept = len(driver.dispatcher.tiers.functions)
    assert kept < 500 and len(driver.dispatcher.calls) == 0
    assert sum(len(w.copies) for w in driver.dispatcher.workers.values()) <= kept * len(WORKERS)
    assert len(driver.dispatcher.loads) <= kept


def record_gate_checks(driver: Driver) -> list[str]:
    """Return a list that gets a worker's name each time the send gate checks whether a call may go there."""
    checked = list[str]()
    may_send = driver.dispatcher.gate.may_send

    def record_and_decide(call: Call, worker: Worker) -> bool:
        checked.append(worker.entry.worker)
        return may_send(call, worker)

    driver.dispatcher.gate.may_send = record_and_decide  # type: ignore[method-assign]
    return checked


def test_each_call_checks_only_a_few_workers() -> None:
    """With 90 workers and 300 functions, a call checks at most 12 workers on average."""
    driver = Driver(settings(router_count=300), [entry(f"w{i}") for i in range(90)])
    for call in range(300):
        driver.give(arrival(call, f"f{call}"))
    checked = record_gate_checks(driver)
    for call in range(300, 600):
        attempts = sends(driver.give(arrival(call, f"f{call % 300}")))
        for send in attempts:
            driver.give(ended(send.call, 0, send.worker, api.Result.OK))
    assert len(checked) <= 300 * 12


def test_retry_of_hot_function_checks_only_a_few_replicas() -> None:
    """When full workers rejected a burst of calls, each attempt used to check all replicas."""
    driver = Driver(settings(router_count=300), [entry(f"w{i}") for i in range(90)])
    for call in range(40):
        driver.run(100 * MS)
        for send in sends(driver.give(arrival(call, "hot"))):
            driver.give(ended(call, 0, send.worker, api.Result.OK))
    assert driver.dispatcher.placement.replica_count(driver.dispatcher.tiers.functions["hot"]) > 40
    checked = record_gate_checks(driver)
    for call in range(100, 120):
        for send in sends(driver.give(arrival(call, "hot"))):
            driver.give(ended(call, 0, send.worker, api.Result.FULL, MS))
    assert len(checked) <= 20 * 60
