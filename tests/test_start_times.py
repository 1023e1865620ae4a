"""Tests of the estimated start times of workers, which hold also where the router's wall clock is wrong."""

from maplestile.requests.endpoint_list import EndpointList
from maplestile.requests.start_times import MAX_LIST_DELAY_US, MAX_REMOVED, StartTimes
from tests.helpers import MS, entry

HOUR_US = 3_600_000 * MS
START_US = 10 * HOUR_US
OLD = entry("old", started_us=START_US - HOUR_US)
POLL_US = 100 * MS


def confirmed_times(now_us: int = START_US) -> StartTimes:
    """Return the start times of a router whose list has the worker `old` only, confirmed now."""
    times = StartTimes()
    times.update({"old": OLD}, now_us)
    times.mark_current(now_us)
    return times


def estimate_of_new_worker(listed_us: int) -> int:
    """Return the estimate for a worker that appears one poll after a list without it."""
    times, new = confirmed_times(), entry("new", started_us=listed_us)
    times.update({"old": OLD, "new": new}, START_US + POLL_US)
    return times.estimate(new)


def test_start_time_is_as_listed_if_the_clocks_agree() -> None:
    assert estimate_of_new_worker(START_US - 1_000 * MS) == START_US - 1_000 * MS
    assert confirmed_times().estimate(OLD) == OLD.started_us


def test_worker_without_a_start_time_started_long_ago() -> None:
    assert estimate_of_new_worker(0) == 0


# Guards against a cold worker that counts as warm at a router whose clock was ahead from its start on.
def test_new_worker_that_seems_older_than_the_last_list_without_it_has_just_started() -> None:
    assert estimate_of_new_worker(START_US - HOUR_US) == START_US + POLL_US
    assert estimate_of_new_worker(START_US - MAX_LIST_DELAY_US) == START_US - MAX_LIST_DELAY_US


# Guards against a worker that counts as cold for an hour at a router whose clock was behind.
def test_worker_has_started_by_the_time_it_is_listed() -> None:
    assert estimate_of_new_worker(START_US + HOUR_US) == START_US + POLL_US


def test_first_list_is_taken_as_it_is() -> None:
    times = StartTimes()
    times.update({"old": OLD}, START_US)
    assert times.estimate(OLD) == OLD.started_us


def test_estimate_stays_while_the_entry_does() -> None:
    times, new = confirmed_times(), entry("new", started_us=START_US + HOUR_US)
    times.update({"new": new}, START_US + POLL_US)
    times.update({"new": new}, START_US + HOUR_US)
    assert times.estimate(new) == START_US + POLL_US


def test_restart_is_later_than_the_start_before() -> None:
    times, first = confirmed_times(), entry("new", started_us=START_US + HOUR_US)
    times.update({"new": first}, START_US + POLL_US)
    again = entry("new", started_us=START_US + HOUR_US + MS)
    times.update({"new": again}, START_US + POLL_US)
    assert times.estimate(again) > START_US + POLL_US


# Guards against a warm worker that counts as cold since one list, perhaps a stale one, left it out.
def test_worker_that_one_list_left_out_keeps_its_start_time() -> None:
    times, now_us = confirmed_times(), START_US + POLL_US
    times.update({}, now_us)
    times.mark_current(now_us)
    times.update({"old": OLD}, now_us + POLL_US)
    assert times.estimate(OLD) == OLD.started_us


def test_start_times_of_removed_workers_are_bounded() -> None:
    times = StartTimes()
    for number in range(2 * MAX_REMOVED):
        times.update({f"w{number}": entry(f"w{number}", started_us=START_US)}, START_US)
    assert len(times) == MAX_REMOVED + 1


def test_dispatcher_gets_the_estimate_and_a_successor_the_listed_time() -> None:
    endpoints = EndpointList()
    endpoints.apply_list(1, [])
    endpoints.start_times.mark_current(START_US)
    listed = entry("new", started_us=START_US - HOUR_US)
    endpoints.apply_list(2, [(listed, ("127.0.0.1", 80))])
    endpoints.start_times.update(endpoints.entries, START_US + POLL_US)
    assert [e.started_us for e in endpoints.event().entries] == [START_US + POLL_US]
    (target,) = endpoints.as_updates()["updates"][0]["endpoints"]["targets"]
    assert target["boot_ms"] == listed.started_us // MS
