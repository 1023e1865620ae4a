"""Draws the schedule of a trial from its seed."""

import random
import signal
from dataclasses import dataclass

CLOCK_STEPS_S = (0.5, 3.0, 20.0, 400.0, 3600.0)
SIGNAL_SERIES = (
    (signal.SIGHUP,),
    (signal.SIGUSR1, signal.SIGHUP, signal.SIGHUP),
    (signal.SIGHUP, signal.SIGUSR1, signal.SIGHUP, signal.SIGUSR1),
)
STOP_SERIES = ((signal.SIGTERM,), (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1))
MEAN_GAP_S = 0.35  # between two disturbances
QUIET_START_S = 0.5
QUIET_END_S = 1.0  # without disturbances before the end, and without new requests after it


@dataclass(frozen=True)
class ClockStep:
    """The wall clock of a router is stepped."""

    router: int
    seconds: float


@dataclass(frozen=True)
class Signals:
    """A router gets signals in series; one with SIGTERM is replaced once it has ended."""

    router: int
    numbers: tuple[signal.Signals, ...]


@dataclass(frozen=True)
class WorkerFault:
    """A worker resets all its connections, or answers nothing for a while."""

    worker: int
    silent_s: float  # 0 for a reset


@dataclass(frozen=True)
class WorkerDrain:
    """The name server lists a worker as draining for a while."""

    worker: int
    seconds: float


@dataclass(frozen=True)
class Crowd:
    """Many clients connect to a router at once, and each sends some requests."""

    router: int
    clients: int


@dataclass(frozen=True)
class BadClients:
    """Clients that connect to a router at once, and send what is unsound, incomplete or used before."""

    router: int
    clients: int


Disturbance = ClockStep | Signals | WorkerFault | WorkerDrain | Crowd | BadClients


@dataclass(frozen=True)
class Event:
    """A disturbance and its time since the start of the trial."""

    at_s: float
    disturbance: Disturbance


def draw(seed: int, seconds: float, routers: int, workers: int) -> list[Event]:
    """Return the schedule of a trial; the same arguments give the same schedule."""
    source = random.Random(seed)
    events = list[Event]()
    at_s = QUIET_START_S
    while (at_s := at_s + source.expovariate(1 / MEAN_GAP_S)) < seconds - QUIET_END_S:
        events.append(Event(at_s, _draw_disturbance(source, routers, workers)))
    return events


def _draw_disturbance(source: random.Random, routers: int, workers: int) -> Disturbance:
    router = source.randrange(routers)
    worker = source.randrange(workers)
    match source.choices(
        ("clock", "signals", "stop", "reset", "silent", "drain", "crowd", "bad"), (9, 3, 2, 3, 2, 1, 2, 4)
    )[0]:
        case "clock":
            return ClockStep(router, source.choice((-1, 1)) * source.choice(CLOCK_STEPS_S))
        case "signals":
            return Signals(router, source.choice(SIGNAL_SERIES))
        case "stop":
            return Signals(router, source.choice(STOP_SERIES))
        case "reset":
            return WorkerFault(worker, 0.0)
        case "silent":
            return WorkerFault(worker, source.uniform(0.2, 2.5))
        case "drain":
            return WorkerDrain(worker, source.uniform(2.5, 5.0))
        case "bad":
            return BadClients(router, source.randrange(5, 40))
        case _:
            return Crowd(router, source.randrange(20, 60))
