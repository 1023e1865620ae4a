"""The tiers of functions, their homes and replicas, and what a choice of a worker costs."""

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


def test_functions_are_promoted_one_tier_a_call_and_caching_demands_a_better_gap() -> None:
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
    # Its gap is worse than that of f, aged as it is.
    assert driver.dispatcher.tiers.functions["rare"].tier == MULTIPLE
    driver.run(9_000 * MS)
    serve_call(driver, 201, "rare")
    serve_call(driver, 202, "rare")
    # By now f has been idle for longer than the new gap.
    assert driver.dispatcher.tiers.functions["rare"].tier == CACHING


def test_full_tiers_evict_their_worst_one_tier_down() -> None:
    driver = Driver(settings(kind_memory_mb=(("k", 400.0),)), WORKERS)  # room for two functions
    for n, function in enumerate(("a", "b", "c", "d", "e")):
        serve_call(driver, 100 + n, function)
    for n in range(12):
        serve_call(driver, 200 + n, "abcde"[n % 5])
    tiers = driver.dispatcher.tiers.tiers
    assert driver.dispatcher.tiers.capacity == 2
    assert len(tiers[CACHING]) <= 2 and len(tiers[MULTIPLE]) <= 2
    assert sum(len(tier) for tier in tiers) == 5


def test_backlog_of_a_stall_makes_no_near_zero_gap() -> None:
    driver = Driver(settings(), WORKERS)
    serve_call(driver, 1, "rare")
    driver.run(8_000 * MS)
    for call in (2, 3, 4):  # delivered at once after a stall
        driver.give(arrival(call, "rare"))
    assert driver.dispatcher.tiers.functions["rare"].gap_us >= 8_000 * MS


def test_home_is_who_served_and_unknown_functions_share_a_ranking_without_the_seed() -> None:
    firsts = {serve_call(Driver(settings(), WORKERS, seed), 1, "f") for seed in range(5)}
    assert len(firsts) == 1
    driver = Driver(settings(), WORKERS)
    top = sends(driver.give(arrival(1, "f")))[0].worker
    other = sends(driver.give(ended(1, 0, top, api.Result.FULL)))[0].worker
    driver.run(100 * MS)
    driver.give(ended(1, 1, other, api.Result.OK))
    assert driver.dispatcher.tiers.functions["f"].home == other != top


def test_own_calls_at_the_lanes_and_full_move_on_along_the_ranking() -> None:
    driver = Driver(settings(router_count=1), WORKERS[:2])
    home = serve_call(driver, 1, "f")
    first = [sends(driver.give(arrival(call, "f")))[0].worker for call in (2, 3)]
    assert first[0] == home
    done = driver.give(arrival(4, "f"))  # it waits for a turn here
    (order,) = load_requests(done)
    assert order.worker != home
    driver.give(api.LoadRequestEnded(order.worker, "f", api.Result.OK, 500 * MS, 1))
    crowd = [s.worker for call in (5, 6) for s in sends(driver.give(arrival(call, "f")))]
    assert crowd == [order.worker] * 2
    moved = sends(driver.give(ended(2, 0, home, api.Result.FULL)) + driver.run(40 * MS))
    assert all(s.worker != home for s in moved if s.call == 2)


def test_function_with_a_large_share_of_the_work_gets_more_replicas() -> None:
    chosen = settings(router_count=300)
    driver = Driver(chosen, [entry(f"w{i}") for i in range(60)])
    used = {"hot": set[str](), "rare": set[str]()}
    for call in range(120):
        driver.run(300 * MS)
        function = "hot" if call % 2 else f"rare-{call}"
        for send in sends(driver.give(arrival(call, function))):
            used["hot" if call % 2 else "rare"].add(send.worker)
            driver.give(ended(call, 0, send.worker, api.Result.OK, 900 * MS if call % 8 == 1 else 100 * MS))
    assert len(used["hot"]) >= 10  # drawn among many replicas, and slow answers moved it
    assert driver.dispatcher.placement.replica_count(driver.dispatcher.tiers.functions["rare-118"]) == 1


def test_functions_that_are_forgotten_leave_nothing_at_the_workers() -> None:
    driver = Driver(settings(), WORKERS)
    for call in range(2_000):
        serve_call(driver, call, f"f{call}")
    kept = len(driver.dispatcher.tiers.functions)
    assert kept < 500 and len(driver.dispatcher.calls) == 0
    assert sum(len(w.copies) for w in driver.dispatcher.workers.values()) <= kept * len(WORKERS)
    assert len(driver.dispatcher.loads) <= kept


def record_gate_checks(driver: Driver) -> list[str]:
    """Return a list that gets the name of a worker each time the gate decides whether a call may go there."""
    checked = list[str]()
    may_send = driver.dispatcher.gate.may_send

    def record_and_decide(call: Call, worker: Worker) -> bool:
        checked.append(worker.entry.worker)
        return may_send(call, worker)

    driver.dispatcher.gate.may_send = record_and_decide  # type: ignore[method-assign]
    return checked


def test_rankings_are_not_recomputed_for_each_call_or_outcome() -> None:
    """Work is counted: 90 workers, 300 functions; a call looks at its replicas only."""
    driver = Driver(settings(router_count=300), [entry(f"w{i}") for i in range(90)])
    for call in range(300):
        driver.give(arrival(call, f"f{call}"))
    checked = record_gate_checks(driver)
    for call in range(300, 600):
        done = sends(driver.give(arrival(call, f"f{call % 300}")))
        for send in done:
            driver.give(ended(send.call, 0, send.worker, api.Result.OK))
    assert len(checked) <= 300 * 12


def test_bounced_call_of_a_hot_function_looks_at_few_of_its_replicas() -> None:
    """A burst that bounced off full workers once scanned all replicas at each attempt (hunt day h5ddff9)."""
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
