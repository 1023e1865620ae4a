"""The scenarios of release trials: what happens to the fleet, and when."""

from dataclasses import dataclass, replace

from tests.release.workers import Capacity


@dataclass(frozen=True)
class Drain:
    """The name server lists these runners as draining."""

    workers: tuple[int, ...]


@dataclass(frozen=True)
class Restart:
    """New processes of these runners start; they are not listed as ready yet."""

    workers: tuple[int, ...]


@dataclass(frozen=True)
class Ready:
    """The name server lists these runners as ready, with the times of their starts."""

    workers: tuple[int, ...]


@dataclass(frozen=True)
class RestartRouter:
    """A router gets SIGTERM, and another one takes its place at once."""

    router: int


Change = Drain | Restart | Ready | RestartRouter


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
    changes: tuple[tuple[float, Change], ...]
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
WHOLE_FLEET = Scenario(
    name="one-runner-restarted",
    demand=DEMAND,
    end_s=9.0,
    changes=((4.0, Drain((0,))), (4.5, Restart((0,))), (5.0, Ready((0,)))),
)
STEPS = ((0, 1, 2), (3, 4, 5), (6, 7, 8), (9, 10, 11), (12, 13))
RELEASE = Scenario(
    name="release-of-the-whole-fleet",
    demand=DEMAND,
    end_s=12.5,
    changes=(
        (4.0, Drain(STEPS[0])),
        (5.2, Drain(STEPS[1])),
        (6.4, Drain(STEPS[2])),
        (7.6, Drain(STEPS[3])),
        (7.4, Restart(STEPS[0])),
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
    changes=(*RELEASE.changes, (7.0, RestartRouter(0)), (8.0, RestartRouter(1)), (8.6, RestartRouter(2))),
)
# A demand that the runners cannot carry, though none has left.
SURGE = Scenario(
    name="demand-above-the-capacity",
    demand=3.0,
    end_s=10.0,
    capacities=MIXED_FLEET[:5],
    changes=((4.0, Drain((0,))), (4.5, Restart((0,))), (5.0, Ready((0,)))),
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
