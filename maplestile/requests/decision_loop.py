"""Events to the dispatcher, and its actions to those who carry them out."""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from maplestile.dispatch import api
from maplestile.dispatch.dispatcher import Dispatcher

ActionHandlers = Mapping[type, Callable[[Any], None]]  # by the type of the action, which each takes


class DecisionLoop:
    """Passes one event after the other to the dispatcher, and has its actions carried out in their order."""

    def __init__(self, dispatcher: Dispatcher, clock: Callable[[], int]) -> None:
        self.dispatcher = dispatcher
        # A table, since every call brings several actions about and a chain of comparisons would stand before
        # each. It is set last: those who carry actions out cause events themselves.
        self.handlers: ActionHandlers = {}
        self._clock = clock
        self._events: deque[api.Event] = deque()
        self._acting = False

    def give(self, event: api.Event) -> None:
        """Pass an event to the dispatcher; one that an action brings about waits for the action's turn."""
        self._events.append(event)
        if self._acting:
            return
        self._acting = True
        try:
            while self._events:
                for action in self.dispatcher.handle(self._clock(), self._events.popleft()):
                    self.handlers[type(action)](action)
        finally:
            self._acting = False
