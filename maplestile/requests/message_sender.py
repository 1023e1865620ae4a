"""Assigns messages to connections."""

from collections import Counter

from maplestile.requests.connection_table import ConnectionTable
from maplestile.requests.connections import Message, Runner
from maplestile.requests.message_writer import MessageWriter
from maplestile.requests.result_reporter import ResultReporter


class MessageSender:
    """Selects the connection for each message, and queues the message there."""

    def __init__(
        self,
        runners: dict[str, Runner],
        table: ConnectionTable,
        reporter: ResultReporter,
        writer: MessageWriter,
        counters: Counter[str],
    ) -> None:
        self._runners = runners
        self._table = table
        self._reporter = reporter
        self._writer = writer
        self._counters = counters

    def enqueue(self, worker: str, message: Message) -> bool:
        """Queue a message at a connection to the runner; return false if none can take it."""
        runner = self._runners.get(worker)
        if runner is None:
            return False
        connection = self._table.select(runner, message.tag)
        if connection is None or len(connection.queue) >= self._table.limits.queued_messages:
            self._counters["runners.at_capacity"] += 1
            return False
        if message.attempt is not None:
            self._reporter.locations[message.attempt] = (connection, message)
        self._writer.write(connection, message)
        return True

    def requeue(self, runner: Runner, message: Message) -> bool:
        """Queue a message of a closed connection at another one; return true also if it was cancelled."""
        if message.attempt is not None and message.attempt not in self._reporter.locations:
            return True
        return self._runners.get(runner.uid) is runner and self.enqueue(runner.uid, message)
