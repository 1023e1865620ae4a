"""Tests of the log lines and counters that tell which list a router applied and what cold runners may get."""

import json
from collections import Counter
from typing import Any

import pytest

from maplestile.dispatch import api
from maplestile.dispatch.slow_start import BudgetCheck
from maplestile.router import endpoint_log, slow_start_log
from maplestile.router.endpoint_log import MAX_NAMES, EndpointLog
from maplestile.router.slow_start_log import MAX_LINES_PER_WINDOW, WINDOW_US, SlowStartLog
from tests.helpers import MS, START_US, Driver, arrival, entry, settings, worker_list
from tests.standins import Client, NameServer, Worker, eventually, params, start_router

DRAINING = api.WorkerState.DRAINING


class RecordedEvents:
    """Takes the place of a module's event logger, and keeps the fields of each event."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def info(self, event: str, **fields: Any) -> None:
        self.lines.append({"event": event, **fields})


@pytest.fixture
def recorded(monkeypatch: pytest.MonkeyPatch) -> RecordedEvents:
    events = RecordedEvents()
    monkeypatch.setattr(endpoint_log, "events", events)
    monkeypatch.setattr(slow_start_log, "events", events)
    return events


def test_change_of_list_is_logged_once_with_names_and_ages(recorded: RecordedEvents) -> None:
    log = EndpointLog()
    first = [entry("a"), entry("b"), entry("c", DRAINING)]
    second = [
        entry("a", DRAINING),
        entry("b", started_us=START_US),
        entry("c"),
        entry("d", started_us=START_US),
    ]
    assert log.record(1, first, START_US, settings()).by_kind() == {"added": ["a", "b", "c"]}
    changes = log.record(2, second, START_US + 5 * MS, settings())
    assert not log.record(3, second, START_US + 6 * MS, settings()).by_kind()
    removed = log.record(4, second[1:], START_US + 7 * MS, settings())
    assert (changes.added, changes.restarted, changes.draining, changes.resumed) == (
        ["d"],
        ["b"],
        ["a"],
        ["c"],
    )
    assert removed.by_kind() == {"removed": ["a"]}
    assert len(recorded.lines) == 3


def test_line_of_many_changes_is_short(recorded: RecordedEvents) -> None:
    log = EndpointLog()
    log.record(1, [entry("a")], START_US, settings())
    log.record(2, [entry(f"w{number}") for number in range(3_000)], START_US, settings())
    assert len(str(recorded.lines[0])) < 1_000
    assert MAX_NAMES < 3_000


def test_checks_of_cold_runner_are_counted_and_logged_once_a_second(
    recorded: RecordedEvents,
) -> None:
    counters = Counter[str]()
    log = SlowStartLog(counters)
    for number in range(4):
        now_us = START_US + number * WINDOW_US // 2
        log.record(BudgetCheck("cold", now_us, now_us - START_US, number % 2 == 0, 1.0, 2.0, 3.0))
    assert counters == {"slow_start.admitted": 2, "slow_start.refused": 2}
    assert len(recorded.lines) == 2


# Guards against a log that a release of a large fleet floods.
def test_lines_about_many_cold_runners_are_limited(recorded: RecordedEvents) -> None:
    counters = Counter[str]()
    log = SlowStartLog(counters)
    for number in range(3_000):
        now_us = START_US + number * WINDOW_US // 1_000
        log.record(BudgetCheck(f"w{number % 500}", now_us, 0, False, 1.0, 2.0, 3.0))
    assert counters == {"slow_start.refused": 3_000}
    assert len(recorded.lines) == 3 * MAX_LINES_PER_WINDOW


def test_dispatcher_reports_each_check_of_a_cold_worker() -> None:
    driver = Driver(settings(), [entry("cold", started_us=START_US - MS)])
    checks = list[BudgetCheck]()
    driver.dispatcher.slow_start.on_check = checks.append
    driver.give(arrival(1, "f"))
    assert checks and {(check.worker, check.carried_share) for check in checks} == {("cold", 1.0)}
    driver.give(worker_list(entry("warm")))
    checks.clear()
    driver.give(arrival(2, "g"))
    assert not checks


def test_router_logs_restart_of_worker_and_its_budget() -> None:
    worker, names = Worker(), NameServer()
    names.list_workers([worker])
    guarantees = params()["guarantees"] | {"coldUs": 60_000_000}
    program = start_router([worker], names, guarantees=guarantees)
    try:
        client = Client(program.port("platform"))
        # The second query comes after the first reply, by which the router knows that its list is current.
        # Only then does it see that the next start, of 1970, cannot be right, and counts it as now.
        eventually(lambda: names.queries >= 2, "the first reply of the name server")
        program.log.clear()
        names.started = {"s-0": 1}
        names.serial = 2
        line = json.loads(program.find(r'^(\{.*"endpoint list applied".*"restarted": 1.*)'))
        assert line["restarted_runners"] == ["s-0"] and line["version"] == 2 and line["ages_ms"]["s-0"] >= 0
        client.call_until_served("review", b"abc")
        assert program.counters()["slow_start.admitted"] > 0
        client.close()
    finally:
        program.kill()
