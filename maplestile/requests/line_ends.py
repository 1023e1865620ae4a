"""The ends of lines, as they are reported to the core."""

from typing import TYPE_CHECKING

from maplestile.dispatch.api import Result
from maplestile.requests.connections import Message
from maplestile.requests.records import AttemptId
from maplestile.requests.states import AttemptState

if TYPE_CHECKING:
    from maplestile.requests.pool import Pool


class LineEnds:
    """Moves attempts to their last states, and reports what never went out."""

    __slots__ = ("_pool",)

    def __init__(self, pool: "Pool") -> None:
        self._pool = pool

    def leave(self, attempt: AttemptId, state: AttemptState) -> None:
        """Forget an attempt in its last state; its end is the caller's to report."""
        found = self._pool.where.pop(attempt, None)
        if found is not None:
            self._pool.move(found[1], state)

    def end_unsent(self, message: Message, result: Result) -> None:
        """Report a line that never was whole at its runner."""
        pool = self._pool
        pool.move(message, AttemptState.UNSENT)
        if message.attempt is not None:
            pool.where.pop(message.attempt, None)
            pool.core.attempt_ended(message.attempt, result)
        elif message.is_health_check:
            pool.core.probe_ended(message.control_number, result)
        elif message.control_number:
            full = result is Result.SUPERSEDED
            pool.core.order_ended(message.control_number, Result.FULL if full else result)

    def end_control(self, number: int, is_health_check: bool, result: Result) -> None:
        """Report a health check or a load request that has no answer."""
        core = self._pool.core
        ended = core.probe_ended if is_health_check else core.order_ended
        ended(number, result)
