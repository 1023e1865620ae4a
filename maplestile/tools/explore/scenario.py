"""What all cases of the explorer share: settings, classes of calls, times, and kinds of answers."""

import random
from dataclasses import replace
from typing import Any

from maplestile.dispatch import api
from maplestile.dispatch.api import NEVER_RAN, DeduplicationScope, Idempotency
from maplestile.tools.dispatcher_settings import BASE_SETTINGS, US_PER_MS
from maplestile.tools.explore.events import EventKind
from maplestile.wire import runner as wire
from maplestile.wire.limits import ControlRequestLimits, Limits, RunnerLimits

START_US = 1_000_000_000_000  # the simulated clock's first moment
STEP_US = 100 * US_PER_MS  # how far one event `time` moves the clock
DEADLINE_US = 400 * US_PER_MS  # of every call
DRAIN_US = 300 * US_PER_MS  # a process ends before the deadlines of the calls that it has in flight
LOAD_TIMEOUT_US = 300 * US_PER_MS  # of each load request
DEDUPLICATION_WINDOW_US = 250 * US_PER_MS  # for which a worker drops repeats of an idempotency key
LATENCY_OBJECTIVE_US = 200 * US_PER_MS  # the latency objective of every class
RUNNER_SILENT_US = 150 * US_PER_MS
IDLE_STEPS = 12  # without events, after which nothing may be left: longer than any call, load or health check
MAX_ATTEMPTS = 2  # of epoch 0, and of every second one after it
SEED = 7
FUNCTION = "f"  # the one function that all calls are of


def _call_class(
    name: str, idempotency: Idempotency, scope: DeduplicationScope = DeduplicationScope.ALL
) -> api.CallClass:
    window_us = DEDUPLICATION_WINDOW_US if idempotency is Idempotency.WITH_KEY else 0
    return api.CallClass(name, LATENCY_OBJECTIVE_US, DEADLINE_US, idempotency, scope, window_us)


CLASSES = {
    call_class.name: call_class
    for call_class in (
        _call_class("safe", Idempotency.IDEMPOTENT),
        _call_class("unsafe", Idempotency.NOT_IDEMPOTENT),
        *(_call_class(f"keyed-{scope.value}", Idempotency.WITH_KEY, scope) for scope in DeduplicationScope),
    )
}
ANSWER_KINDS = {  # on the wire, by the event that is a worker's answer
    EventKind.OK: "200",
    EventKind.ERROR: "500",
    EventKind.FULL: "503",
    EventKind.MISS: "404",
}
# Answers that prove that a call never ran.
NEVER_RAN_KINDS = [kind for kind, result in wire.RESULTS.items() if result in NEVER_RAN]


def attempts_of(epoch: int) -> int:
    """The attempts that a call may have under a policy epoch."""
    return MAX_ATTEMPTS - epoch % 2


def settings(epoch: int = 0) -> api.Settings:
    """The dispatcher's settings under a policy epoch."""
    return replace(
        BASE_SETTINGS,
        classes=tuple(CLASSES.values()),
        zone="a",
        kind_memory_mb=(("k", 4000.0),),
        load_timeout_us=LOAD_TIMEOUT_US,
        max_attempts=attempts_of(epoch),
        epoch=epoch,
        slow_start_share=0.16,
        slow_start_us=18_000 * US_PER_MS,
        overload_multiple=4.0,
    )


def limits() -> Limits:
    """The limits of the data path."""
    return Limits(
        runners=RunnerLimits(silent_us=RUNNER_SILENT_US, streams=2),
        control_requests=ControlRequestLimits(load_timeout_us=LOAD_TIMEOUT_US),
    )


class DeterministicRandom(random.Random):
    """A source without chance: every choice is the first, and every share one half."""

    def random(self) -> float:
        """Return one half."""
        return 0.5

    def choices(self, population: Any, *_: Any, k: int = 1, **__: Any) -> list[Any]:
        """Return the first of the population, `k` times."""
        return [population[0]] * k

    def choice(self, seq: Any) -> Any:
        """Return the first."""
        return seq[0]

    def sample(self, population: Any, k: int, **_: Any) -> list[Any]:
        """Return the first `k`."""
        return list(population)[:k]
