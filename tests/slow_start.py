"""Simulate a fleet of routers to measure what they send together to one worker in its slow start."""

import heapq
import itertools
import math
from dataclasses import dataclass, field, replace
from enum import Enum, auto
from random import Random

from maplestile.dispatch import api
from tests.helpers import MS, SERVICE_US, START_US, Driver, arrival, ended, entry, settings, worker_list

SECOND_US = 1_000 * MS
WARM_UP_US = 4 * SECOND_US  # time with calls before the cold worker is listed


@dataclass(frozen=True)
class Scenario:
    """The size and traffic of one fleet, and the share of its calls that go to a single function."""

    routers: int
    workers: int
    calls_per_s: float  # mean rate of calls at one worker
    load: float = 0.6  # fraction of a worker's capacity that those calls take
    hot_share: float = 0.0  # share of calls to the function whose first replica is the cold worker
    restarted: bool = False  # whether three in four routers restart a second after the cold worker's start
    cold_for_us: int = 6 * SECOND_US  # simulated time after the cold worker's start
    seed: int = 1

    def settings(self) -> api.Settings:
        """Return the settings of each router."""
        return settings(router_count=self.routers, load_request_window_us=0)

    def max_calls(self, since_us: int) -> float:
        """Return how many calls are allowed in the overload window that ends `since_us` after the start.

        The result includes slack for random variation.
        """
        router_settings = self.settings()
        progress = min(
            1.0, max(0, since_us - router_settings.overload_window_us) / router_settings.slow_start_us
        )
        share = router_settings.slow_start_share + (1 - router_settings.slow_start_share) * progress
        calls = (
            router_settings.overload_multiple
            * share
            * (self.calls_per_s / self.load)
            * router_settings.overload_window_us
            / SECOND_US
        )
        slack = 3 * math.sqrt(calls) + 3 if calls < 30 else 2 * math.sqrt(calls) + 2
        return calls + slack


def hot_function(scenario: Scenario) -> str:
    """Return the name of a function whose first replica is the cold worker in every router's ranking."""
    driver = Driver(scenario.settings(), [*warm_workers(scenario), entry("cold")])
    for number in itertools.count():
        name = f"hot-{number}"
        driver.give(arrival(number + 1, name))
        if driver.dispatcher.fleet.ranked(driver.dispatcher.tiers.functions[name])[0].entry.worker == "cold":
            return name
    raise AssertionError


def warm_workers(scenario: Scenario) -> list[api.WorkerEntry]:
    """Return the list entries of all workers except the cold one."""
    return [entry(f"w{number}") for number in range(scenario.workers - 1)]


class StepKind(Enum):
    """The kinds of things that happen to a simulated router."""

    COLD_WORKER_LISTED = auto()
    RESTART = auto()
    CALL = auto()
    ATTEMPT_END = auto()


@dataclass(frozen=True, order=True)
class Step:
    """One scheduled step; steps of the same time are performed in the order in which they were added."""

    at_us: int
    order: int
    kind: StepKind = field(compare=False)
    attempt: tuple[int, int] = field(compare=False, default=(0, 0))  # call and number of the ending attempt
    worker: str = field(compare=False, default="")  # worker that answers the ending attempt


class SimulatedRouter:
    """One simulated router with its calls and the answers of the workers."""

    def __init__(self, scenario: Scenario, number: int, hot: str) -> None:
        self.scenario = scenario
        self.hot = hot  # the name of the hot function
        self.random = Random(f"{scenario.seed}/{number}")
        # The seeds before and after a restart.
        self.driver_seeds = (scenario.seed * 1_000 + number, scenario.seed * 1_000 - number)
        self.driver = Driver(scenario.settings(), warm_workers(scenario), self.driver_seeds[0])
        self.slow_start_us = START_US + WARM_UP_US
        self.end_us = self.slow_start_us + scenario.cold_for_us
        self.order = itertools.count(1)
        self.steps = [Step(self.slow_start_us, 0, StepKind.COLD_WORKER_LISTED)]
        if scenario.restarted and number % 4:
            self.steps.append(Step(self.slow_start_us + SECOND_US, 0, StepKind.RESTART))
        self.steps += self.arrivals()
        heapq.heapify(self.steps)
        self.calls = 0
        self.processed = 0  # number of actions in the driver's log that were processed
        self.is_cold_listed = False
        self.sent_to_cold_us: list[int] = []  # times of sends to the cold worker, since its start

    def arrivals(self) -> list[Step]:
        """Return steps for calls at random times, up to the end of the scenario."""
        rate_per_s = self.scenario.calls_per_s * self.scenario.workers / self.scenario.routers
        steps = list[Step]()
        at_s = self.random.expovariate(rate_per_s)
        while at_s * SECOND_US < self.end_us - START_US:
            steps.append(Step(START_US + int(at_s * SECOND_US), next(self.order), StepKind.CALL))
            at_s += self.random.expovariate(rate_per_s)
        return steps

    def run(self) -> list[int]:
        """Run the scenario; return the times of attempts and load requests sent to the cold worker.

        The times are relative to the cold worker's start.
        """
        while self.steps:
            step = heapq.heappop(self.steps)
            if step.at_us > self.end_us:
                break
            self.fire_timers(step.at_us)
            if self.steps and self.steps[0].at_us < step.at_us:  # a fired timer has added an earlier step
                heapq.heappush(self.steps, replace(step, order=next(self.order)))
                continue
            self.driver.run(max(0, step.at_us - self.driver.now_us))
            self.apply(step)
            self.process_new_actions()
        assert self.is_cold_listed
        return self.sent_to_cold_us

    def fire_timers(self, until_us: int) -> None:
        """Fire the due timers one by one, since an attempt sent by one may end before the next."""
        while self.driver.timers and min(self.driver.timers)[0] <= until_us:
            self.driver.run(max(0, min(self.driver.timers)[0] - self.driver.now_us))
            self.process_new_actions()

    def apply(self, step: Step) -> None:
        """Perform a step."""
        match step.kind:
            case StepKind.COLD_WORKER_LISTED:
                self.driver.give(worker_list(self.cold_worker(), kind=api.ListKind.DELTA))
                self.is_cold_listed = True
            case StepKind.RESTART:
                self.restart(step.at_us)
            case StepKind.CALL:
                self.calls += 1
                is_hot = self.random.random() < self.scenario.hot_share
                function = self.hot if is_hot else f"f{self.random.randrange(200)}"
                self.driver.give(arrival(self.calls, function))
            case StepKind.ATTEMPT_END:
                self.driver.give(ended(*step.attempt, step.worker, api.Result.OK, SERVICE_US))

    def restart(self, now_us: int) -> None:
        """Replace the dispatcher with a new one that knows all workers; old attempts never end."""
        workers = [*warm_workers(self.scenario), self.cold_worker()]
        self.driver = Driver(self.scenario.settings(), workers, self.driver_seeds[1])
        self.driver.now_us = now_us
        self.processed = 0
        self.steps = [step for step in self.steps if step.kind is StepKind.CALL]
        heapq.heapify(self.steps)

    def cold_worker(self) -> api.WorkerEntry:
        """Return the entry of the worker in slow start."""
        return entry("cold", started_us=self.slow_start_us)

    def process_new_actions(self) -> None:
        """Schedule the answer to each new attempt, and record what is sent to the cold worker."""
        for at_us, action in self.driver.log[self.processed :]:
            if isinstance(action, api.SendAttempt):
                numbers = [number for call, number in self.driver.dispatcher.attempts if call == action.call]
                attempt = (action.call, max(numbers))
                end_us = at_us + SERVICE_US
                step = Step(end_us, next(self.order), StepKind.ATTEMPT_END, attempt, action.worker)
                heapq.heappush(self.steps, step)
            if isinstance(action, api.SendAttempt | api.RequestLoad) and action.worker == "cold":
                self.sent_to_cold_us.append(at_us - self.slow_start_us)
        self.processed = len(self.driver.log)


def fullest_window(scenario: Scenario) -> tuple[float, int, int]:
    """Return how full the fullest overload window is, as a fraction of its limit, with its calls and end."""
    hot = hot_function(scenario)
    window_us = scenario.settings().overload_window_us
    sent_us = sorted(
        at_us for number in range(scenario.routers) for at_us in SimulatedRouter(scenario, number, hot).run()
    )
    fullest = (0.0, 0, 0)
    first = 0
    for last, at_us in enumerate(sent_us):
        while sent_us[first] <= at_us - window_us:
            first += 1
        count = last - first + 1
        fullest = max(fullest, (count / scenario.max_calls(at_us), count, at_us))
    return fullest
