"""Slow start: what a worker that has just started gets from all dispatchers together."""

from maplestile.dispatch import api
from tests.helpers import MS, SERVICE_US, Driver, arrival, ended, entry, sends, settings, worker_list

CORES = 2.0  # of a worker


def budget_calls(chosen: api.Settings, share: float) -> float:
    """Return how many calls of `SERVICE_US` may come in one overload window at this share of the capacity."""
    return chosen.overload_multiple * share * CORES * chosen.overload_window_us / SERVICE_US


def test_cold_worker_gets_some_and_never_too_much_from_all_dispatchers_together() -> None:
    """Rule 4 summed over 300 seeds: one cold worker among 20, steady traffic at two thirds of capacity."""
    chosen = settings(router_count=300)
    sent = list[int]()  # when each call went to the cold worker, from its start
    for seed in range(300):
        driver = Driver(chosen, [entry(f"w{i}") for i in range(19)], seed)
        driver.give(worker_list(entry("cold", started_us=driver.now), kind=api.ListKind.DELTA))
        start_us = driver.now
        for call in range(8):
            driver.run(500 * MS + seed * MS)
            for send in sends(driver.give(arrival(1_000 * seed + call, f"f{(call + seed) % 40}"))):
                sent += [driver.now - start_us] if send.worker == "cold" else []
                driver.give(ended(send.call, 0, send.worker, api.Result.OK, SERVICE_US))
    assert sent
    for at_us in sent:
        window_start_us = at_us - chosen.overload_window_us
        calls = sum(window_start_us < other_us <= at_us for other_us in sent)
        risen = max(0, window_start_us) / chosen.slow_start_us
        share = chosen.slow_start_share + (1 - chosen.slow_start_share) * risen
        assert calls <= budget_calls(chosen, share)


def test_loads_that_many_dispatchers_request_at_a_cold_worker_stay_within_its_budget() -> None:
    """A warm worker drains as a cold one comes: each of 100 dispatchers has homes to move. All of them
    together bring the work that three workers of two cores carry."""
    chosen = settings(router_count=100, load_requests_free=1_000)
    arrived = list[int]()  # when the worker started, for each load request that it got
    for seed in range(100):
        driver = Driver(chosen, [entry("w0"), entry("w1"), entry("w2")], seed)
        for call in range(12):
            driver.run(1_700 * MS)
            for send in sends(driver.give(arrival(call, f"f{call % 6}"))):
                driver.give(ended(send.call, 0, send.worker, api.Result.OK, SERVICE_US))
        draining = entry("w2", api.WorkerState.DRAINING)
        cold = entry("cold", started_us=driver.now)
        joined_us = driver.now
        drained = driver.give(worker_list(draining, cold, kind=api.ListKind.DELTA))
        for action in drained + driver.run(chosen.overload_window_us):
            ordered = isinstance(action, api.RequestLoad) and action.worker == "cold"
            arrived += [joined_us] if ordered else []
            if isinstance(action, api.RequestLoad):
                driver.give(api.LoadRequestEnded(action.worker, action.function, api.Result.OK, MS, 1))
    budget = budget_calls(chosen, chosen.slow_start_share)
    assert len(arrived) <= budget + 2 * budget**0.5 + 2


def test_call_rejected_elsewhere_does_not_land_on_a_cold_worker() -> None:
    for seed in range(40):
        driver = Driver(
            settings(router_count=300), [entry("w0"), entry("cold", started_us=1_000_000 * MS)], seed
        )
        driver.give(arrival(seed, "f"))
        if [send.worker for send in sends(driver.actions())] != ["w0"]:
            continue
        later = sends(driver.give(ended(seed, 0, "w0", api.Result.FULL, MS)) + driver.run(300 * MS))
        assert "cold" not in {send.worker for send in later}


def test_settings_without_slow_start_or_overload_window_exclude_no_worker() -> None:
    for chosen in (
        settings(slow_start_us=0),
        settings(overload_window_us=0),
        settings(slow_start_us=0, overload_window_us=0),
    ):
        driver = Driver(chosen, [entry("w0"), entry("w1", started_us=999_999 * MS)])
        assert sends([action for call in range(8) for action in driver.give(arrival(call, f"f{call}"))])
