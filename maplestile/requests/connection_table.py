"""The connections of a pool: which one carries the next line, and when one is opened or closed."""

from collections import Counter
from collections.abc import Callable

from maplestile.dispatch.api import Result
from maplestile.requests.connections import Connection, Runner
from maplestile.requests.idle_timeout import IdleTimeout
from maplestile.requests.states import ConnectionState
from maplestile.wire.limits import RunnerLimits


class ConnectionTable:
    """All connections of a pool that are not closed, in the order in which they were opened."""

    def __init__(
        self,
        limits: RunnerLimits,
        idle_timeout: IdleTimeout,
        dial: Callable[[Connection], None],
        close: Callable[[Connection, Result], None],
        clock: Callable[[], int],
        counters: Counter[str],
    ) -> None:
        self.limits = limits
        self._idle_timeout = idle_timeout
        self._dial = dial
        self._close = close
        self._clock = clock
        self._counters = counters
        self.connections: dict[Connection, None] = {}

    def select(self, runner: Runner, tag: str) -> Connection | None:
        """Return the connection for a line to the runner, opened if need be; None if there is no room."""
        most = self.limits.streams
        # A second copy of the answer that rejected a tag would pass for the answer to its next attempt.
        free = [
            connection
            for connection in runner.connections
            if connection.streams() < most
            and connection.state is not ConnectionState.UNVERIFIED
            and tag not in connection.open
            and tag not in connection.rejected_tags
        ]
        best = max(free, key=_preference, default=None)
        if best is not None and (best.streams() or not self._is_stale(best)):
            return best
        return self._open(runner) or best

    def remove(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        connection.runner.connections.remove(connection)
        del self.connections[connection]

    def close_unused(self, runner: Runner, since_us: int | None = None) -> None:
        """Close what carries nothing, and where a time is given has carried nothing since then."""
        for connection in list(runner.connections):
            if not connection.streams() and (since_us is None or connection.used_us <= since_us):
                self._close(connection, Result.RESET)

    def close_unverified(self, runner: Runner) -> None:
        """Close what was silent for too long and carries nothing any more."""
        for connection in list(runner.connections):
            if connection.state is ConnectionState.UNVERIFIED and not connection.streams():
                self._close(connection, Result.RESET)

    def over_limit(self) -> bool:
        """Return whether there are too many: another process may share the descriptors now."""
        return len(self.connections) > self.limits.connections

    def _is_stale(self, connection: Connection) -> bool:
        idle_us = self._clock() - connection.used_us
        return idle_us >= self._idle_timeout.timeout_us

    def _open(self, runner: Runner) -> Connection | None:
        if len(self.connections) >= self.limits.connections and not self._make_room():
            return None
        now = self._clock()
        connection = Connection(runner, now, now)
        runner.connections.append(connection)
        self.connections[connection] = None
        self._counters["runners.connections"] += 1
        self._dial(connection)
        return connection

    def _make_room(self) -> bool:
        """Close the connection that has carried nothing longest, since descriptors are limited.

        Guards calls to a further runner, where many have left idle connections, from counting as refused
        there.
        """
        idle = (c for c in self.connections if c.state is ConnectionState.UP and not c.streams())
        oldest = min(idle, key=_last_use, default=None)
        if oldest is None:
            return False
        self._counters["runners.idle_evicted"] += 1
        self._close(oldest, Result.RESET)
        return True


def _preference(connection: Connection) -> tuple[bool, int, int]:
    """Order the fullest first, so that others can go idle and be closed; of idle ones the one used last."""
    return connection.socket is not None, connection.streams(), connection.used_us


def _last_use(connection: Connection) -> int:
    return connection.used_us
