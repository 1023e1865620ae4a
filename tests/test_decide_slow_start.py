"""Tests of slow start: the work that a worker gets from all dispatchers together right after its start."""

from maplestile.dispatch import api
from tests.helpers import MS, SERVICE_US, Driver, arrival, ended, entry, sends, settings, worker_list

CORES = 2.0  # cores of a worker


def max_calls(dispatcher_settings: api.Settings, share: float) -> float:
    """Return how many calls of `SERVICE_US` a worker may get per window at this share of its capacity."""
    return (
        dispatcher_settings.overload_multiple
        * share
        * CORES
        * dispatcher_settings.overload_window_us
        / SERVICE_US
    )


def test_calls_of_all_dispatchers_stay_within_cold_worker_limit() -> None:
    """300 dispatchers share 20 workers, one of them cold, with traffic at two thirds of the capacity."""
    dispatcher_settings = settings(router_count=300)
    sent = list[int]()  # times of the calls sent to the cold worker, since its start
    for seed in range(300):
        driver = Driver(dispatcher_settings, [entry(f"w{i}") for i in range(19)], seed)
        driver.give(worker_list(entry("cold", started_us=driver.now_us), kind=api.ListKind.DELTA))
        start_us = driver.now_us
        for call in range(8):
            driver.run(500 * MS + seed * MS)
            for send in sends(driver.give(arrival(1_000 * seed + call, f"f{(call + seed) % 40}"))):
                sent += [driver.now_us - start_us] if send.worker == "cold" else []
                driver.give(ended(send.call, 0, send.worker, api.Result.OK, SERVICE_US))
    assert sent
    for at_us in sent:
        window_start_us = at_us - dispatcher_settings.overload_window_us
        calls = sum(window_start_us < other_us <= at_us for other_us in sent)
        progress = max(0, window_start_us) / dispatcher_settings.slow_start_us
        share = dispatcher_settings.slow_start_share + (1 - dispatcher_settings.slow_start_share) * progress
        assert calls <= max_calls(dispatcher_settings, share)


def test_load_requests_of_all_dispatchers_stay_within_cold_worker_limit() -> None:
    """A warm worker drains as a cold one starts, so each of 100 dispatchers has function homes to move.

    Together, the dispatchers bring as much work as three workers with two cores can carry.
    """
    dispatcher_settings = settings(router_count=100, load_requests_free=1_000)
    requested = list[int]()  # the cold worker's start time, once for each load request sent to it
    for seed in range(100):
        driver = Driver(dispatcher_settings, [entry("w0"), entry("w1"), entry("w2")], seed)
        for call in range(12):
            driver.run(1_700 * MS)
            for send in sends(driver.give(arrival(call, f"f{call % 6}"))):
                driver.give(ended(send.call, 0, send.worker, api.Result.OK, SERVICE_US))
        draining = entry("w2", api.WorkerState.DRAINING)
        cold = entry("cold", started_us=driver.now_us)
        started_us = driver.now_us
        actions = driver.give(worker_list(draining, cold, kind=api.ListKind.DELTA))
        for action in actions + driver.run(dispatcher_settings.overload_window_us):
            is_load_at_cold = isinstance(action, api.RequestLoad) and action.worker == "cold"
            requested += [started_us] if is_load_at_cold else []
            if isinstance(action, api.RequestLoad):
                driver.give(api.LoadRequestEnded(action.worker, action.function, api.Result.OK, MS, 1))
    limit = max_calls(dispatcher_settings, dispatcher_settings.slow_start_share)
    assert len(requested) <= limit + 2 * limit**0.5 + 2


def test_retry_never_goes_to_cold_worker() -> None:
    for seed in range(40):
        driver = Driver(
            settings(router_count=300), [entry("w0"), entry("cold", started_us=1_000_000 * MS)], seed
        )
        driver.give(arrival(seed, "f"))
        if [send.worker for send in sends(driver.actions())] != ["w0"]:
            continue
        retries = sends(driver.give(ended(seed, 0, "w0", api.Result.FULL, MS)) + driver.run(300 * MS))
        assert "cold" not in {send.worker for send in retries}


def test_no_worker_is_excluded_without_slow_start_or_overload_window() -> None:
    for dispatcher_settings in (
        settings(slow_start_us=0),
        settings(overload_window_us=0),
        settings(slow_start_us=0, overload_window_us=0),
    ):
        driver = Driver(dispatcher_settings, [entry("w0"), entry("w1", started_us=999_999 * MS)])
        assert sends([action for call in range(8) for action in driver.give(arrival(call, f"f{call}"))])
