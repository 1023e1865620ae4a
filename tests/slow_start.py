"""A fleet of dispatchers before one worker in slow start: what all of them together send there."""

import heapq
import itertools
import math
from dataclasses import dataclass
from random import Random

from maplestile.dispatch import api
from tests.helpers import MS, Driver, arrival, ended, entry, fleet, settings

SERVICE_US = 100 * MS
SECOND_US = 1_000 * MS
BEGIN_US = 1_000_000 * MS  # where a `Driver`'s clock begins
WARM_UP_US = 4 * SECOND_US  # calls before the cold worker is listed


@dataclass(frozen=True)
class Scene:
    """One fleet: its size, its traffic, and which of its calls ask for one function alone."""

    routers: int
    workers: int
    calls_per_s: float  # at one worker, in the mean
    load: float = 0.6  # part of a worker's capacity that those calls take
    hot_share: float = 0.0  # of all calls, those of the function whose first replica is the cold worker
    restarted: bool = False  # three in four routers start anew, without memory, a second after it
    cold_for_us: int = 6 * SECOND_US
    seed: int = 1

    def settings(self) -> api.Settings:
        return settings(router_count=self.routers, load_request_window_us=0)

    def budget(self, since_us: int) -> float:
        """The most calls that may come in the fall time that ends `since_us` after the worker's start."""
        chosen = self.settings()
        risen = min(1.0, max(0, since_us - chosen.overload_window_us) / chosen.slow_start_us)
        share = chosen.slow_start_share + (1 - chosen.slow_start_share) * risen
        calls = (
            chosen.overload_multiple
            * share
            * (self.calls_per_s / self.load)
            * chosen.overload_window_us
            / SECOND_US
        )
        slack = 3 * math.sqrt(calls) + 3 if calls < 30 else 2 * math.sqrt(calls) + 2
        return calls + slack


def hot_function(scene: Scene) -> str:
    """One whose first replica is the cold worker, by the ranking that all share."""
    probe = Driver(scene.settings(), [*warm(scene), entry("cold")])
    for number in itertools.count():
        name = f"hot-{number}"
        probe.give(arrival(number + 1, name))
        if probe.dispatcher.fleet.ranked(probe.dispatcher.tiers.functions[name])[0].entry.worker == "cold":
            return name
    raise AssertionError


def warm(scene: Scene) -> list[api.WorkerEntry]:
    return [entry(f"w{number}") for number in range(scene.workers - 1)]


def play_router(scene: Scene, number: int, hot: str) -> list[int]:
    """When one router sends or requests something at the cold worker, in microseconds after that started."""
    random, chosen = Random(f"{scene.seed}/{number}"), scene.settings()
    rate = scene.calls_per_s * scene.workers / scene.routers
    end_us = BEGIN_US + WARM_UP_US + scene.cold_for_us
    slow_start_us = BEGIN_US + WARM_UP_US
    steps: list[tuple[int, int, str, int, str]] = [(slow_start_us, 0, "cold", 0, "")]
    if scene.restarted and number % 4:
        steps.append((slow_start_us + SECOND_US, 0, "restart", 0, ""))
    at_s, order = 0.0, itertools.count(1)
    while (at_s := at_s + random.expovariate(rate)) * SECOND_US < WARM_UP_US + scene.cold_for_us:
        steps.append((BEGIN_US + int(at_s * SECOND_US), next(order), "call", 0, ""))
    heapq.heapify(steps)
    driver, found = Driver(chosen, warm(scene), scene.seed * 1_000 + number), list[int]()
    before, began = 0, False

    def note() -> None:
        nonlocal before
        for at_us, action in driver.log[before:]:
            if isinstance(action, api.SendAttempt):
                numbers = [n for call, n in driver.dispatcher.attempts if call == action.call]
                answer = (at_us + SERVICE_US, next(order), action.worker, action.call, str(max(numbers)))
                heapq.heappush(steps, answer)
            if isinstance(action, api.SendAttempt | api.RequestLoad) and action.worker == "cold":
                found.append(at_us - slow_start_us)
        before = len(driver.log)

    call = 0
    while steps:
        at_us, _, kind, ended_call, attempt = heapq.heappop(steps)
        if at_us > end_us:
            break
        while driver.timers and min(driver.timers)[0] <= at_us:  # what that sends may end before this step
            driver.run(max(0, min(driver.timers)[0] - driver.now))
            note()
        if steps and steps[0][0] < at_us:
            heapq.heappush(steps, (at_us, next(order), kind, ended_call, attempt))
            continue
        driver.run(max(0, at_us - driver.now))
        if kind == "cold":
            driver.give(fleet(entry("cold", started_us=slow_start_us), kind=api.ListKind.DELTA))
            began = True
        elif kind == "restart":
            workers = [*warm(scene), entry("cold", started_us=slow_start_us)]
            driver = Driver(chosen, workers, scene.seed * 1_000 - number)
            driver.now, before = at_us, 0
            steps = [step for step in steps if step[2] == "call"]
            heapq.heapify(steps)
        elif kind == "call":
            call += 1
            function = hot if random.random() < scene.hot_share else f"f{random.randrange(200)}"
            driver.give(arrival(call, function))
        else:
            driver.give(ended(ended_call, int(attempt), kind, api.Result.OK, SERVICE_US))
        note()
    assert began
    return found


def most_over_budget(scene: Scene) -> tuple[float, int, int]:
    """The greatest part of the budget that any span of the fall time takes, with the calls in it and when."""
    hot, chosen = hot_function(scene), scene.settings()
    sent = sorted(at for number in range(scene.routers) for at in play_router(scene, number, hot))
    worst, first = (0.0, 0, 0), 0
    for last, at in enumerate(sent):
        while sent[first] <= at - chosen.overload_window_us:
            first += 1
        count = last - first + 1
        worst = max(worst, (count / scene.budget(at), count, at))
    return worst
