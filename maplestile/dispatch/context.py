"""Holds what the components of one dispatcher share: time, settings, actions, timers and random numbers."""

from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from maplestile.dispatch import api

DEFAULT_KEEP_ALIVE_US = 2_000_000  # used if the settings give no keep-alive time

T = TypeVar("T")


class RandomSource(Protocol):
    """The random functions that decisions use; `random.Random` provides them."""

    def random(self) -> float:
        """Return a random float in the range [0, 1)."""
        ...

    def choice(self, seq: Sequence[T], /) -> T:
        """Return a random element."""
        ...

    def choices(self, population: Sequence[T], weights: Sequence[float], *, k: int) -> list[T]:
        """Return `k` random elements, drawn by weight with replacement."""
        ...

    def sample(self, population: Sequence[T], k: int) -> list[T]:
        """Return `k` random elements, drawn without replacement."""
        ...


class Context:
    """The state shared by all components, which read the current time and append their actions here."""

    def __init__(self, settings: api.Settings, random: RandomSource, salt: int) -> None:
        self.now_us = 0
        self.actions: list[api.Action] = []
        self.random = random
        self.salt = salt  # hash of the seed, so that slow-start limits differ between dispatchers
        self.timers: dict[int, Callable[[], object]] = {}
        self.cancelled_timers: list[int] = []  # tokens of timers that were cancelled during this event
        self.last_token = 0
        self.apply_settings(settings)

    def apply_settings(self, settings: api.Settings) -> None:
        """Use the settings of a new policy from now on."""
        self.settings = settings
        self.classes = {call_class.name: call_class for call_class in settings.classes}
        self.keep_alive_us = settings.keep_alive_us or DEFAULT_KEEP_ALIVE_US

    def set_timer(self, delay_us: float, callback: Callable[[], object]) -> int:
        """Schedule `callback` after the delay, or after one microsecond if that is longer; return a token."""
        self.last_token += 1
        self.timers[self.last_token] = callback
        self.actions.append(api.SetTimer(self.now_us + max(1, int(delay_us)), self.last_token))
        return self.last_token

    def cancel_timer(self, token: int) -> None:
        """Drop a timer's callback, with what it refers to; a timer that has fired, or 0, is ignored."""
        if self.timers.pop(token, None) is not None:
            self.cancelled_timers.append(token)

    def fire_timer(self, token: int) -> None:
        """Call the timer's callback; do nothing if the timer is unknown or has already fired."""
        callback = self.timers.pop(token, None)
        if callback is not None:
            callback()

    def decay_factor(self, since_us: int, half_life_keep_alives: float) -> float:
        """Return the fraction of a value from `since_us` that remains, given its half-life."""
        return float(0.5 ** ((self.now_us - since_us) / (half_life_keep_alives * self.keep_alive_us)))
