"""A timer queue with a resolution of one tick; the driver provides the clock and a single alarm."""

import heapq
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

Callback = Callable[[], object]
MIN_COMPACTED_TICKS = 64  # fewer ticks without callbacks are not worth removing


class Timer(NamedTuple):
    """A callback in the queue, for cancelling it."""

    tick: int
    number: int


class TimerQueue:
    """Callbacks by the tick in which they are due.

    `clock` returns the time in microseconds; `alarm` is called with the time, in microseconds, at which the
    driver must call `run_due`. A tick has one alarm, however many callbacks are due in it.
    """

    __slots__ = ("_alarm", "_armed_tick", "_clock", "_last_number", "_tick_us", "callbacks", "ticks")

    def __init__(self, tick_us: int, clock: Callable[[], int], alarm: Callable[[int], None]) -> None:
        self._tick_us = tick_us
        self._clock = clock
        self._alarm = alarm
        self._armed_tick = 0  # the tick that the alarm is set for; 0 if it is not set
        self._last_number = 0
        self.callbacks: dict[int, dict[int, Callback]] = {}  # by tick and number
        self.ticks: list[int] = []  # the keys of `callbacks`, and some former ones, as a heap

    def call_at(self, due_us: int, callback: Callback) -> Timer:
        """Run the callback in the first tick at or after `due_us`, as the simulator does."""
        tick = -(-due_us // self._tick_us)
        callbacks = self.callbacks.get(tick)
        if callbacks is None:
            callbacks = self.callbacks[tick] = {}
            heapq.heappush(self.ticks, tick)
            self._set_alarm()
        self._last_number += 1
        callbacks[self._last_number] = callback
        return Timer(tick, self._last_number)

    def cancel(self, timer: Timer | None) -> None:
        """Drop a callback, which would else stay in memory until it is due; one that has run is ignored."""
        if timer is None or (callbacks := self.callbacks.get(timer.tick)) is None:
            return
        callbacks.pop(timer.number, None)
        if not callbacks:
            del self.callbacks[timer.tick]
            self._remove_former_ticks()

    def run_due(self) -> None:
        """Run the callbacks that are due; the driver calls this when the alarm goes off.

        Raises what a callback raises; the callbacks that were due after it then run in the next tick.
        """
        due = self._take_due()
        self._armed_tick = 0
        self._set_alarm()  # before the callbacks: if one raises, later timers must still run
        try:
            while due:
                due.popleft()()
        finally:
            for callback in due:  # left over because a callback raised
                self.call_at(self._clock(), callback)

    def run_due_timers(self) -> None:
        """Run the callbacks that are due; called while much input is handled, so that no deadline waits."""
        if self.ticks and self.ticks[0] * self._tick_us <= self._clock():
            self.run_due()

    def _take_due(self) -> deque[Callback]:
        now_tick = self._clock() // self._tick_us
        due = deque[Callback]()
        while self.ticks and self.ticks[0] <= now_tick:
            due += self.callbacks.pop(heapq.heappop(self.ticks), {}).values()
        return due

    def _remove_former_ticks(self) -> None:
        """Remove the ticks without callbacks once they are more than the others."""
        if len(self.ticks) > MIN_COMPACTED_TICKS + 2 * len(self.callbacks):
            self.ticks = list(self.callbacks)
            heapq.heapify(self.ticks)

    def _set_alarm(self) -> None:
        if self.ticks and not 0 < self._armed_tick <= self.ticks[0]:
            self._armed_tick = self.ticks[0]
            self._alarm(self._armed_tick * self._tick_us)
