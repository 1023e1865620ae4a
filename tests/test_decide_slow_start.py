"""Tests of slow start: the work that a worker gets from all dispatchers together right after its start."""

from maplestile.dispatch import api
from maplestile.dispatch.served_rate import PEAK_HALF_LIFE_US
from tests.helpers import (
    MS,
    SERVICE_US,
    START_US,
    Driver,
    arrival,
    ended,
    entry,
    sends,
    settings,
    worker_list,
)

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


def serve_calls(driver: Driver, calls_per_s: int, seconds: int, elapsed_us: int = SERVICE_US) -> None:
    """Simulate calls at a steady rate, each of which is answered as soon as it is sent."""
    for number in range(calls_per_s * seconds):
        actions = driver.run(1_000 * MS // calls_per_s)
        call = 1_000_000 + len(driver.log) + number
        for send in sends(actions + driver.give(arrival(call, f"f{number % 12}"))):
            driver.give(ended(send.call, 0, send.worker, api.Result.OK, elapsed_us))


def usual_calls(driver: Driver, worker: str) -> float:
    """Return the calls per second that the worker would get if it were warm."""
    dispatcher = driver.dispatcher
    share = dispatcher.slow_start.carried_share(dispatcher.workers[worker])
    return share * dispatcher.load_rate.call_rate() * 1_000 * MS


# Guards against a cold worker that gets the demand of the whole fleet, once the others have been drained.
def test_usual_calls_of_a_worker_do_not_grow_as_others_drain() -> None:
    names = [f"w{number}" for number in range(6)]
    driver = Driver(settings(), [entry(name) for name in names])
    serve_calls(driver, calls_per_s=30, seconds=20)
    one_call = 1 / 10 / len(names)  # the sums, whose mean age is over 10 s, may just have counted a call
    assert usual_calls(driver, "w0") <= 5 + one_call
    draining = [entry(name, api.WorkerState.DRAINING) for name in names[1:]]
    cold = entry("w0", started_us=driver.now_us)
    driver.give(worker_list(cold, *draining, kind=api.ListKind.DELTA))
    assert usual_calls(driver, "w0") <= 5 + one_call
    driver.run(1_000 * MS)
    assert usual_calls(driver, "w0") <= 5 + one_call


# Guards against a budget that follows a demand which the fleet cannot carry, as of clients that retry.
def test_usual_calls_of_a_worker_do_not_grow_with_calls_that_nobody_serves() -> None:
    driver = Driver(settings(), [entry("w0"), entry("w1")])
    serve_calls(driver, calls_per_s=20, seconds=10)
    for call in range(400):
        driver.run(10 * MS)
        for send in sends(driver.give(arrival(call, "f0"))):
            driver.give(ended(call, 0, send.worker, api.Result.FULL, MS))
    assert usual_calls(driver, "w0") <= 10


# Guards against a budget in microseconds that lasts for more calls once the estimates of their work fall.
def test_a_call_counts_as_one_at_least_after_the_estimates_have_fallen() -> None:
    driver = Driver(settings(), [entry("w0")])
    serve_calls(driver, calls_per_s=10, seconds=10, elapsed_us=2_000 * MS)
    serve_calls(driver, calls_per_s=10, seconds=4, elapsed_us=SERVICE_US)
    function = driver.dispatcher.tiers.functions["f0"]
    assert driver.dispatcher.load_rate.in_mean_calls(function.service_us) == 1
    assert driver.dispatcher.load_rate.in_mean_calls(100 * function.service_us) > 1


# Guards against a router that starts in a release and takes the few runners that run for the whole fleet.
def test_dispatcher_that_has_just_started_shares_its_calls_among_all_listed_workers() -> None:
    draining = [entry(f"w{number}", api.WorkerState.DRAINING) for number in range(9)]
    driver = Driver(settings(), [entry("cold", started_us=START_US), *draining])
    driver.give(arrival(1))
    share = driver.dispatcher.slow_start.carried_share(driver.dispatcher.workers["cold"])
    assert share <= 0.1


def test_fleet_without_a_warm_worker_gets_calls() -> None:
    driver = Driver(settings(), [entry(f"w{number}", started_us=START_US) for number in range(3)])
    serve_calls(driver, calls_per_s=30, seconds=20)
    sent = [at_us - START_US for at_us, action in driver.log if isinstance(action, api.SendAttempt)]
    assert len([at_us for at_us in sent if at_us < 5_000 * MS]) > 10
    assert len([at_us for at_us in sent if at_us > 15_000 * MS]) > 100


def test_served_calls_of_cold_and_draining_workers_are_not_counted() -> None:
    driver = Driver(settings(), [entry("cold", started_us=START_US), entry("draining")])
    served = driver.dispatcher.served_rate
    driver.give(arrival(1))
    for name in ("cold", "draining"):
        draining = entry("draining", api.WorkerState.DRAINING)
        driver.give(worker_list(draining, kind=api.ListKind.DELTA))
        served.record_answer(driver.dispatcher.workers[name])
    assert served.decayed_calls == 0


# Guards against a budget that begins anew when the start of a worker that has got calls is announced.
def test_what_a_worker_got_before_its_start_was_announced_counts() -> None:
    driver = Driver(settings(), [entry("w0"), entry("w1")])
    serve_calls(driver, calls_per_s=40, seconds=4)
    sent = driver.dispatcher.workers["w0"].sends.total(driver.now_us)
    assert sent > 10
    driver.give(worker_list(entry("w0", started_us=driver.now_us - MS), kind=api.ListKind.DELTA))
    assert driver.dispatcher.workers["w0"].sends.total(driver.now_us) == sent


# Guards against a budget that begins anew after one list has left the worker out.
def test_what_a_cold_worker_got_counts_after_one_list_has_left_it_out() -> None:
    cold = entry("cold", started_us=START_US)
    driver = Driver(settings(), [entry("w0"), cold])
    serve_calls(driver, calls_per_s=40, seconds=4)
    sent = driver.dispatcher.workers["cold"].sends.total(driver.now_us)
    assert sent
    driver.give(worker_list(entry("w0"), kind=api.ListKind.FULL))
    driver.run(10 * MS)
    driver.give(worker_list(entry("w0"), cold, kind=api.ListKind.FULL))
    assert driver.dispatcher.workers["cold"].sends.total(driver.now_us) == sent
    overload_window_us = settings().overload_window_us
    driver.give(worker_list(entry("w0"), kind=api.ListKind.FULL))
    driver.run(overload_window_us)
    driver.give(worker_list(entry("w0"), kind=api.ListKind.FULL))
    driver.give(worker_list(entry("w0"), cold, kind=api.ListKind.FULL))
    assert not driver.dispatcher.workers["cold"].sends.total(driver.now_us)


# Guards against a fleet that restarts after a quiet time and gets nothing until it is warm.
def test_fleet_that_restarts_after_a_quiet_time_gets_calls() -> None:
    names = [f"w{number}" for number in range(3)]
    driver = Driver(settings(), [entry(name) for name in names])
    serve_calls(driver, calls_per_s=30, seconds=20)
    driver.run(1_800_000 * MS)
    driver.give(worker_list(*(entry(name, started_us=driver.now_us) for name in names)))
    restarted_us = driver.now_us
    serve_calls(driver, calls_per_s=30, seconds=10)
    sent = [at_us for at_us, action in driver.log if isinstance(action, api.SendAttempt)]
    assert len([at_us for at_us in sent if at_us > restarted_us]) > 20


def test_peak_of_the_served_rate_is_kept_for_days_only() -> None:
    driver = Driver(settings(), [entry("w0"), entry("w1")])
    serve_calls(driver, calls_per_s=20, seconds=20)
    served = driver.dispatcher.served_rate
    before = served.calls_per_weight_us()
    driver.dispatcher.context.now_us += PEAK_HALF_LIFE_US
    assert served.calls_per_weight_us() > 0.4 * before
    driver.dispatcher.context.now_us += 9 * PEAK_HALF_LIFE_US
    assert served.calls_per_weight_us() < 0.01 * before
