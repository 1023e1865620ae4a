"""Simulated time and chance for generated traces of decisions.

What happens follows from the seed and from the decisions alone: no clock, no hash order, no library whose
results differ between machines.
"""

import heapq
from collections.abc import Callable
from random import Random

from maplestile.dispatch import api
from tests.trace_variants import MS

START_US = 1_000_000 * MS

Handle = Callable[[int, api.Event], list[api.Action]]  # has the dispatcher decide about an event at a time


class Simulation:
    """Gives events to one dispatcher in simulated time, and has `react` follow up on its actions."""

    def __init__(
        self, settings: api.Settings, seed: int, handle: Handle, react: Callable[[api.Action], None]
    ) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.handle = handle
        self.react = react
        self.now_us = START_US
        self.overload_until_us = 0
        self.events = 0  # given so far
        self.scheduled = 0  # steps so far, by which those of one time keep their order
        self.queue: list[tuple[int, int, Callable[[], None]]] = []  # time, number, step

    def run_until(self, events: int) -> None:
        """Run scheduled steps until the dispatcher has got so many events."""
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
        """Schedule a step."""
        self.scheduled += 1
        heapq.heappush(self.queue, (self.now_us + max(0, delay_us), self.scheduled, step))

    def give_after(self, delay_us: int, event: api.Event) -> None:
        """Schedule an event for the dispatcher."""
        self.after(delay_us, lambda: self.give(event))

    def around(self, mean_us: int) -> int:
        """Draw a time with this mean."""
        return 1 + self.random.randrange(2 * mean_us)

    def chance(self, share: float) -> bool:
        """Draw whether something of this probability happens."""
        return self.random.random() < share
