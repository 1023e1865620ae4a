"""Passes events to the dispatcher, and its actions to the handlers that carry them out."""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from maplestile.dispatch import api
from maplestile.dispatch.dispatcher import Dispatcher

ActionHandlers = Mapping[type, Callable[[Any], None]]  # by the type of action that the handler takes


class DecisionLoop:
    """Passes events to the dispatcher one at a time, and carries out its actions in order."""

    def __init__(
        self, dispatcher: Dispatcher, clock: Callable[[], int], cancel_timer: Callable[[int], None]
    ) -> None:
        """`cancel_timer` is called with the token of each timer that the dispatcher no longer needs."""
        self.dispatcher = dispatcher
        self._cancel_timer = cancel_timer
        # A table, since each call causes several actions and a chain of type checks would slow down each one.
        # It is filled after construction, since the handlers' owners need this loop to pass on their events.
        self.handlers: ActionHandlers = {}
        self._clock = clock
        self._events: deque[api.Event] = deque()
        self._is_handling = False

    def handle(self, event: api.Event) -> None:
        """Pass an event to the dispatcher; one that comes while actions are carried out is queued."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                for action in self.dispatcher.handle(self._clock(), self._events.popleft()):
                    self.handlers[type(action)](action)
                for token in self.dispatcher.take_cancelled_timers():
                    self._cancel_timer(token)
        finally:
            self._is_handling = False
