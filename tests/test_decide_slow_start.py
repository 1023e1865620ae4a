"""Slow start: what a worker that has just started gets from all dispatchers together."""

from maplestile.dispatch import api
from tests.helpers import MS, Driver, arrival, ended, entry, fleet, sends, settings


def test_cold_worker_gets_some_and_never_too_much_from_all_dispatchers_together() -> None:
    """Rule 4 summed over 300 seeds: one cold worker among 20, steady traffic at two thirds of capacity."""
    told, cores, sent = settings(router_count=300), 2.0, list[int]()
    for seed in range(300):
        d = Driver(told, [entry(f"w{i}") for i in range(19)], seed)
        d.give(fleet(entry("cold", started_us=d.now), kind=api.ListKind.DELTA))
        begun = d.now
        for call in range(8):
            d.run(500 * MS + seed * MS)
            for send in sends(d.give(arrival(1_000 * seed + call, f"f{(call + seed) % 40}"))):
                sent += [d.now - begun] if send.worker == "cold" else []
                d.give(ended(send.call, 0, send.worker, api.Result.OK, 100 * MS))
    assert sent
    for at in sent:
        work_us = sum(at - told.overload_window_us < t <= at for t in sent) * 100 * MS
        share = (
            told.slow_start_share
            + (1 - told.slow_start_share) * max(0, at - told.overload_window_us) / told.slow_start_us
        )
        assert work_us <= told.overload_multiple * share * cores * told.overload_window_us


def test_loads_that_many_dispatchers_request_at_a_cold_worker_stay_within_its_budget() -> None:
    """A warm worker drains as a cold one comes: each of 100 dispatchers has homes to move. All of them
    together bring the work that three workers of two cores carry."""
    told, cores, arrived = settings(router_count=100, load_requests_free=1_000), 2.0, list[int]()
    for seed in range(100):
        d = Driver(told, [entry("w0"), entry("w1"), entry("w2")], seed)
        for call in range(12):
            d.run(1_700 * MS)
            for send in sends(d.give(arrival(call, f"f{call % 6}"))):
                d.give(ended(send.call, 0, send.worker, api.Result.OK, 100 * MS))
        draining = entry("w2", api.WorkerState.DRAINING)
        cold, joined = entry("cold", started_us=d.now), d.now
        for action in d.give(fleet(draining, cold, kind=api.ListKind.DELTA)) + d.run(told.overload_window_us):
            ordered = isinstance(action, api.RequestLoad) and action.worker == "cold"
            arrived += [joined] if ordered else []
            if isinstance(action, api.RequestLoad):
                d.give(api.LoadRequestEnded(action.worker, action.function, api.Result.OK, MS, 1))
    budget = told.overload_multiple * told.slow_start_share * cores * told.overload_window_us / (100 * MS)
    assert len(arrived) <= budget + 2 * budget**0.5 + 2


def test_call_turned_away_elsewhere_does_not_land_on_a_cold_worker() -> None:
    for seed in range(40):
        d = Driver(settings(router_count=300), [entry("w0"), entry("cold", started_us=1_000_000 * MS)], seed)
        d.give(arrival(seed, "f"))
        if [s.worker for s in sends([a for _, a in d.log])] != ["w0"]:
            continue
        later = sends(d.give(ended(seed, 0, "w0", api.Result.FULL, MS)) + d.run(300 * MS))
        assert "cold" not in {s.worker for s in later}


def test_settings_without_a_time_of_cold_or_of_falling_bar_no_worker() -> None:
    for told in (
        settings(slow_start_us=0),
        settings(overload_window_us=0),
        settings(slow_start_us=0, overload_window_us=0),
    ):
        d = Driver(told, [entry("w0"), entry("w1", started_us=999_999 * MS)])
        assert sends([a for call in range(8) for a in d.give(arrival(call, f"f{call}"))])
