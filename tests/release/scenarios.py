"""The scenarios of release trials: what happens to the fleet, and when."""

import random
from dataclasses import dataclass, replace

from tests.release.workers import Capacity


@dataclass(frozen=True)
class Drain:
    """The name server lists these runners as draining."""

    workers: tuple[int, ...]


@dataclass(frozen=True)
class Restart:
    """New processes of these runners start; they are listed as before until they are ready."""

    workers: tuple[int, ...]


@dataclass(frozen=True)
class Ready:
    """The name server lists these runners as ready, with the times of their starts."""

    workers: tuple[int, ...]


@dataclass(frozen=True)
class LeaveOut:
    """The name server leaves these runners out of its list, until they are ready."""

    workers: tuple[int, ...]


@dataclass(frozen=True)
class LoseLists:
    """The name server answers nothing for a while."""

    seconds: float


@dataclass(frozen=True)
class Hang:
    """These runners answer nothing for a while."""

    workers: tuple[int, ...]
    seconds: float


@dataclass(frozen=True)
class ResetConnections:
    """All connections of these runners are reset."""

    workers: tuple[int, ...]


@dataclass(frozen=True)
class RestartRouter:
    """A router gets SIGTERM, and another one takes its place at once."""

    router: int


Change = Drain | Restart | Ready | LeaveOut | LoseLists | Hang | ResetConnections | RestartRouter
TimedChange = tuple[float, Change]

FAST = Capacity()
SLOW = Capacity(cores=2, speed=0.6)
# Every third runner is of the small kind, whose cores are slower.
MIXED_FLEET = tuple(SLOW if number % 3 == 0 else FAST for number in range(14))


@dataclass(frozen=True)
class Scenario:
    """The fleet, its demand, and the changes by their time in seconds from the start of the clients."""

    name: str
    demand: float  # calls that come, as a share of what all runners of the fleet carry when warm
    end_s: float
    changes: tuple[TimedChange, ...]
    capacities: tuple[Capacity, ...] = MIXED_FLEET
    routers: int = 3
    retries: int = 2  # of each call that was refused

    @property
    def calls_per_s(self) -> float:
        """The rate of first calls."""
        return self.demand * sum(capacity.calls_per_s for capacity in self.capacities)

    def __str__(self) -> str:
        return self.name


DEMAND = 0.8
ONE_RESTART: tuple[TimedChange, ...] = ((4.0, Drain((0,))), (4.5, Restart((0,))), (5.0, Ready((0,))))
WHOLE_FLEET = Scenario(name="one-runner-restarted", demand=DEMAND, end_s=9.0, changes=ONE_RESTART)
STEPS = ((0, 1, 2), (3, 4, 5), (6, 7, 8), (9, 10, 11), (12, 13))
RELEASE = Scenario(
    name="release-of-the-whole-fleet",
    demand=DEMAND,
    end_s=12.5,
    changes=(
        (4.0, Drain(STEPS[0])),
        (5.2, Drain(STEPS[1])),
        (6.4, Drain(STEPS[2])),
        (7.4, Restart(STEPS[0])),
        (7.6, Drain(STEPS[3])),
        (8.8, Ready(STEPS[0])),
        (8.8, Drain(STEPS[4])),
        (10.4, Restart(STEPS[1])),
        (11.2, Ready(STEPS[1])),
    ),
)
# Routers that start in the middle of the release have seen no runner carry anything.
RELEASE_WITH_NEW_ROUTERS = replace(
    RELEASE,
    name="release-and-restart-of-routers",
    changes=tuple(
        sorted(
            (*RELEASE.changes, (7.0, RestartRouter(0)), (8.0, RestartRouter(1)), (8.6, RestartRouter(2))),
            key=lambda pair: pair[0],
        )
    ),
)
# A demand that the runners cannot carry, though none has left.
SURGE = Scenario(
    name="demand-above-the-capacity",
    demand=3.0,
    end_s=10.0,
    capacities=MIXED_FLEET[:5],
    changes=ONE_RESTART,
)
# Most runners have been away for so long that the demand of the whole fleet counts as usual.
LONG_OUTAGE = Scenario(
    name="runner-restarted-in-a-long-outage",
    demand=DEMAND,
    end_s=17.0,
    changes=(
        (1.0, Drain(tuple(range(3, 14)))),
        (10.0, Drain((0,))),
        (11.0, Restart((0,))),
        (12.0, Ready((0,))),
    ),
)

RANDOM_END_S = 14.0
RANDOM_WORKERS = (5, 14)
RANDOM_DEMAND = (0.4, 1.6)
STEP_GAP_S = (0.4, 1.5)  # between the steps of a release
AWAY_S = (0.5, 5.0)  # from the drain of a runner until it is ready again
LISTED_AFTER_S = (0.2, 2.2)  # from the start of a process until it is listed
MAX_STEP = 4  # runners of one step


def draw(seed: int) -> Scenario:
    """Return a random scenario: a release in steps, with other faults beside it."""
    source = random.Random(seed)
    workers = source.randint(*RANDOM_WORKERS)
    changes = _release(source, workers)
    for _ in range(source.randint(1, 4)):
        at_s = source.uniform(2.0, RANDOM_END_S - 3.0)
        victims = tuple(source.sample(range(workers), source.randint(1, 2)))
        seconds = source.uniform(0.3, 3.0)
        fault = source.choice(
            (
                RestartRouter(source.randrange(3)),
                LoseLists(seconds),
                Hang(victims, seconds),
                ResetConnections(victims),
                LeaveOut(victims),
            )
        )
        changes.append((at_s, fault))
        if isinstance(fault, LeaveOut):
            changes.append((at_s + seconds, Ready(victims)))
    changes.sort(key=lambda pair: pair[0])
    return Scenario(
        name=f"seed-{seed}",
        demand=source.uniform(*RANDOM_DEMAND),
        end_s=RANDOM_END_S,
        changes=tuple(changes),
        capacities=tuple(source.choice((FAST, FAST, SLOW)) for _ in range(workers)),
        retries=source.randint(0, 2),
    )


def _release(source: random.Random, workers: int) -> list[TimedChange]:
    """Return the steps of a release; some runners crash instead of a drain."""
    order = source.sample(range(workers), workers)
    changes = list[TimedChange]()
    at_s = source.uniform(2.0, 5.0)
    while order:
        size = source.randint(1, MAX_STEP)
        step, order = tuple(order[:size]), order[size:]
        away_s = source.uniform(*AWAY_S)
        listed_after_s = min(away_s, source.uniform(*LISTED_AFTER_S))
        crashes = source.random() < 0.2
        if not crashes:
            changes.append((at_s, source.choice((Drain, Drain, LeaveOut))(step)))
        changes.append((at_s + away_s - listed_after_s, Restart(step)))
        changes.append((at_s + away_s, Ready(step)))
        at_s += source.uniform(*STEP_GAP_S)
    return changes
