"""Settings, call classes, times and answer kinds that all cases of the explorer share."""

import random
from dataclasses import replace
from typing import Any

from maplestile.dispatch import api
from maplestile.dispatch.api import NEVER_RAN, DeduplicationScope, Idempotency
from maplestile.tools.dispatcher_settings import BASE_SETTINGS, US_PER_MS
from maplestile.tools.explore.events import EventKind
from maplestile.wire import runner as wire
from maplestile.wire.limits import ControlRequestLimits, Limits, RunnerLimits

START_US = 1_000_000_000_000  # simulated time at which every run starts
STEP_US = 100 * US_PER_MS  # how far one `time` event advances the clock
DEADLINE_US = 400 * US_PER_MS  # of every call
DRAIN_US = 300 * US_PER_MS  # from SIGTERM to exit; shorter than a call's deadline, so the exit comes first
LOAD_TIMEOUT_US = 300 * US_PER_MS  # of each load request
DEDUPLICATION_WINDOW_US = 250 * US_PER_MS  # how long a worker drops calls that repeat an idempotency key
LATENCY_OBJECTIVE_US = 200 * US_PER_MS  # of every call class
RUNNER_SILENT_US = 150 * US_PER_MS  # a connection without an answer for this long may be dead
IDLE_STEPS = 12  # before the check for leftovers; longer than any call, load or health check
MAX_ATTEMPTS = 2  # per call under even policy epochs; one fewer under odd epochs
SEED = 7
FUNCTION = "f"  # the only function that is called


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
# Answer kinds on the wire, by the event in which a worker sends them.
ANSWER_KINDS = {
    EventKind.OK: "200",
    EventKind.ERROR: "500",
    EventKind.FULL: "503",
    EventKind.MISS: "404",
}
# Answer kinds that prove that the call did not run.
NEVER_RAN_KINDS = [kind for kind, result in wire.RESULTS.items() if result in NEVER_RAN]


def max_attempts(epoch: int) -> int:
    """Return the maximum number of attempts of a call under a policy epoch."""
    return MAX_ATTEMPTS - epoch % 2


def settings(epoch: int = 0) -> api.Settings:
    """Return the dispatcher's settings under a policy epoch."""
    return replace(
        BASE_SETTINGS,
        classes=tuple(CLASSES.values()),
        zone="a",
        kind_memory_mb=(("k", 4000.0),),
        load_timeout_us=LOAD_TIMEOUT_US,
        max_attempts=max_attempts(epoch),
        epoch=epoch,
        slow_start_share=0.16,
        slow_start_us=18_000 * US_PER_MS,
        overload_multiple=4.0,
    )


def limits() -> Limits:
    """Return the limits of the data path."""
    return Limits(
        runners=RunnerLimits(silent_us=RUNNER_SILENT_US, streams=2),
        control_requests=ControlRequestLimits(load_timeout_us=LOAD_TIMEOUT_US),
    )


class DeterministicRandom(random.Random):
    """A deterministic random source: `random()` is always 0.5, and every choice is the first element."""

    def random(self) -> float:
        """Return 0.5."""
        return 0.5

    def choices(self, population: Any, *_: Any, k: int = 1, **__: Any) -> list[Any]:
        """Return a list of the first element, `k` times."""
        return [population[0]] * k

    def choice(self, seq: Any) -> Any:
        """Return the first element."""
        return seq[0]

    def sample(self, population: Any, k: int, **_: Any) -> list[Any]:
        """Return the first `k` elements."""
        return list(population)[:k]
