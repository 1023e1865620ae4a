"""Simulate time and draw random numbers for generated traces.

All events depend only on the seed and on the dispatcher's decisions, not on a clock, on hash order or on a
library whose results differ between machines.
"""

import heapq
from collections.abc import Callable
from random import Random

from maplestile.dispatch import api
from tests.trace_variants import MS

START_US = 1_000_000 * MS  # initial simulated time

Handle = Callable[[int, api.Event], list[api.Action]]  # passes an event to the dispatcher at a time


class Simulation:
    """An event loop in simulated time that passes events to one dispatcher, and its actions to `react`."""

    def __init__(
        self, settings: api.Settings, seed: int, handle: Handle, react: Callable[[api.Action], None]
    ) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.handle = handle
        self.react = react
        self.now_us = START_US
        self.overload_until_us = 0
        self.events = 0  # events handled so far
        self.scheduled = 0  # number of steps scheduled so far; breaks ties between steps at the same time
        self.queue: list[tuple[int, int, Callable[[], None]]] = []  # a heap of time, number and step

    def run_until(self, events: int) -> None:
        """Run scheduled steps until the dispatcher has handled `events` events."""
        while self.events < events:
            self.now_us, _, step = heapq.heappop(self.queue)
            step()

    def give(self, event: api.Event) -> None:
        """Have the dispatcher handle an event now."""
        actions = self.handle(self.now_us, event)
        self.events += 1
        for action in list(actions):
            self.react(action)

    def after(self, delay_us: int, step: Callable[[], None]) -> None:
        """Schedule a step after a delay."""
        self.scheduled += 1
        heapq.heappush(self.queue, (self.now_us + max(0, delay_us), self.scheduled, step))

    def give_after(self, delay_us: int, event: api.Event) -> None:
        """Schedule an event for the dispatcher after a delay."""
        self.after(delay_us, lambda: self.give(event))

    def around(self, mean_us: int) -> int:
        """Return a random time with about this mean."""
        return 1 + self.random.randrange(2 * mean_us)

    def chance(self, probability: float) -> bool:
        """Return True with this probability."""
        return self.random.random() < probability
