"""Puts lines before the connections of their runners."""

from collections import Counter

from maplestile.requests.connection_table import ConnectionTable
from maplestile.requests.connections import Message, Runner
from maplestile.requests.line_ends import LineEnds
from maplestile.requests.line_writer import LineWriter


class LineSender:
    """Chooses the connection that carries a line."""

    def __init__(
        self,
        runners: dict[str, Runner],
        table: ConnectionTable,
        ends: LineEnds,
        writer: LineWriter,
        counters: Counter[str],
    ) -> None:
        self._runners = runners
        self._table = table
        self._ends = ends
        self._writer = writer
        self._counters = counters

    def enqueue(self, worker: str, message: Message) -> bool:
        """Queue a line at a connection to the runner; false if there is none, or no room."""
        runner = self._runners.get(worker)
        if runner is None:
            return False
        connection = self._table.select(runner, message.tag)
        if connection is None or len(connection.queue) >= self._table.limits.queued_messages:
            self._counters["runners.at_capacity"] += 1
            return False
        if message.attempt is not None:
            self._ends.locations[message.attempt] = (connection, message)
        self._writer.write(connection, message)
        return True

    def requeue(self, runner: Runner, message: Message) -> bool:
        """Queue a line whose connection has ended at another one; true also if it is cancelled by now."""
        if message.attempt is not None and message.attempt not in self._ends.locations:
            return True
        return self._runners.get(runner.uid) is runner and self.enqueue(runner.uid, message)
