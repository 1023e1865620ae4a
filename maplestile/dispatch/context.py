"""What the parts of one dispatcher share: the clock, settings, actions, timers and random draws."""

from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from maplestile.dispatch import api

DEFAULT_KEEP_ALIVE_US = 2_000_000  # where the settings name no keep-alive

T = TypeVar("T")


class RandomSource(Protocol):
    """The draws that decisions use; `random.Random` has them, with the dispatcher's own seed."""

    def random(self) -> float:
        """Return a float from 0 up to, and without, 1."""
        ...

    def choice(self, seq: Sequence[T], /) -> T:
        """Return one element."""
        ...

    def choices(self, population: Sequence[T], weights: Sequence[float], *, k: int) -> list[T]:
        """Return `k` elements by their weights, with replacement."""
        ...

    def sample(self, population: Sequence[T], k: int) -> list[T]:
        """Return `k` elements without replacement."""
        ...


class Context:
    """The shared state of one event: the parts read the time here and append their actions here."""

    def __init__(self, settings: api.Settings, random: RandomSource, salt: int) -> None:
        self.now_us = 0
        self.actions: list[api.Action] = []
        self.random = random
        self.salt = salt  # hash of the seed: it makes this dispatcher's slow-start draws its own
        self.timers: dict[int, Callable[[], object]] = {}
        self.last_token = 0
        self.apply_settings(settings)

    def apply_settings(self, settings: api.Settings) -> None:
        """Use another policy's settings from now on."""
        self.settings = settings
        self.classes = {call_class.name: call_class for call_class in settings.classes}
        self.keep_alive_us = settings.keep_alive_us or DEFAULT_KEEP_ALIVE_US

    def set_timer(self, delay_us: float, then: Callable[[], object]) -> None:
        """Have `then` called after at least one microsecond."""
        self.last_token += 1
        self.timers[self.last_token] = then
        self.actions.append(api.SetTimer(self.now_us + max(1, int(delay_us)), self.last_token))

    def fire_timer(self, token: int) -> None:
        """Call what a timer was set for; a timer that is unknown or has fired already does nothing."""
        then = self.timers.pop(token, None)
        if then is not None:
            then()

    def decay_factor(self, since_us: int, half_life_keep_alives: float) -> float:
        """What remains, since a time, of a value that halves in so many keep-alives."""
        return float(0.5 ** ((self.now_us - since_us) / (half_life_keep_alives * self.keep_alive_us)))
