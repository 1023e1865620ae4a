"""The connections of a pool: selects one for each message, and opens and closes them."""

from collections import Counter
from collections.abc import Callable

from maplestile.dispatch.api import Result
from maplestile.requests.connections import Connection, Runner
from maplestile.requests.idle_timeout import IdleTimeout
from maplestile.requests.states import ConnectionState
from maplestile.wire.limits import RunnerLimits


class ConnectionTable:
    """The connections of a pool that are not closed, in the order in which they were opened."""

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
        """Return a connection for a message to the runner, a new one if needed; None at the limits."""
        max_streams = self.limits.streams
        # An answer is matched to its attempt by the tag alone, so no two with one tag share a connection.
        candidates = [
            connection
            for connection in runner.connections
            if connection.stream_count() < max_streams
            and connection.state is not ConnectionState.UNVERIFIED
            and not connection.has_tag(tag)
        ]
        best = max(candidates, key=_preference, default=None)
        if best is not None and (best.stream_count() or not self._is_stale(best)):
            return best
        return self._open(runner) or best

    def remove(self, connection: Connection) -> None:
        """Remove a connection that is closed."""
        connection.runner.connections.remove(connection)
        del self.connections[connection]

    def close_unused(self, runner: Runner, since_us: int | None = None) -> None:
        """Close the connections that carry no request, or of these only those not used after `since_us`."""
        for connection in list(runner.connections):
            if not connection.stream_count() and (since_us is None or connection.last_used_us <= since_us):
                self._close(connection, Result.RESET)

    def close_unverified(self, runner: Runner) -> None:
        """Close the unverified connections that carry no request."""
        for connection in list(runner.connections):
            if connection.state is ConnectionState.UNVERIFIED and not connection.stream_count():
                self._close(connection, Result.RESET)

    def over_limit(self) -> bool:
        """Return whether there are too many connections; the limit may fall while the process serves."""
        return len(self.connections) > self.limits.connections

    def _is_stale(self, connection: Connection) -> bool:
        """Return whether an idle connection may have been dropped by the other side."""
        idle_us = self._clock() - connection.last_used_us
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
        """Close the connection that has been idle longest; return false if none is idle.

        Without this, idle connections to many runners could use up the limit, and calls to another runner
        would fail as if that runner had refused them.
        """
        idle = (c for c in self.connections if c.state is ConnectionState.UP and not c.stream_count())
        oldest = min(idle, key=_last_use, default=None)
        if oldest is None:
            return False
        self._counters["runners.idle_evicted"] += 1
        self._close(oldest, Result.RESET)
        return True


def _preference(connection: Connection) -> tuple[bool, int, int]:
    """Return the sort key of a connection; the one with the greatest key is used next.

    Established connections come before those still opening, and then those with more streams, so that the
    others become idle and are closed. Among equal ones the one used last is preferred.
    """
    return connection.socket is not None, connection.stream_count(), connection.last_used_us


def _last_use(connection: Connection) -> int:
    return connection.last_used_us
